# Instances are restarted gracefully one after another; no request is
# interrupted.
set -euo pipefail
. script/testbed.sh
bed_start
bed_start_callers callers 20
sleep 2
for k in 2 3; do
	bed_spray $k false
	kill -TERM "${PID_OF[entry-$k]}"
	bed_wait_end "entry-$k" 30
	bed_start_instance $k
	bed_wait_instance $k
	bed_spray $k true
	sleep 1
done
bed_wait_end callers
bed_require callers answered 50
bed_forbid callers unknown
bed_judge graceful-restart
