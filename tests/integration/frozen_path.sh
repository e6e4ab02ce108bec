# All open paths to two upstreams lose every packet from now on, while paths
# that are opened later work.
set -euo pipefail
. script/testbed.sh
bed_start
bed_start_callers callers 16
sleep 3
for k in 1 2; do
	bed_command fabric \
		"{\"command\":\"freeze\",\"relay\":\"upstream-$k\",\"count\":1000}"
done
bed_wait_end callers
bed_require callers answered 50
bed_judge frozen-path
