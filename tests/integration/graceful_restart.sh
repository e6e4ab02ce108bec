# Instances are restarted gracefully one after another; no request is
# interrupted.
set -euo pipefail
. script/testbed.sh
testbed_start
testbed_start_callers callers 20
sleep 2
for k in 2 3; do
	testbed_set_receiving $k false
	kill -TERM "${PID_OF[entry-$k]}"
	testbed_wait_exit "entry-$k" 30
	testbed_start_instance $k
	testbed_wait_instance $k
	testbed_set_receiving $k true
	sleep 1
done
testbed_wait_exit callers
testbed_require_min callers answered 50
testbed_require_zero callers unknown
testbed_check_ledgers graceful-restart
