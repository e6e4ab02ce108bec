# All open paths to two upstreams lose every packet from now on, while paths
# that are opened later work.
set -euo pipefail
. script/testbed.sh
testbed_start
testbed_start_callers callers 16
sleep 3
for k in 1 2; do
	testbed_command fabric \
		"{\"command\":\"freeze\",\"relay\":\"upstream-$k\",\"count\":1000}"
done
testbed_wait_exit callers
testbed_require_min callers answered 50
testbed_check_ledgers frozen-path
