# An instance is killed under load and later restarted; the fabric goes on
# sending packets to it for a while. Requests in flight at the instance may end
# as "outcome unknown"; none may be lost or run twice, and feeds are resumed.
set -euo pipefail
. script/testbed.sh
testbed_start
testbed_start_callers callers 14
sleep 3
kill -KILL "${PID_OF[entry-2]}"
sleep 2
testbed_set_receiving 2 false
sleep 2
testbed_start_instance 2
testbed_wait_instance 2
testbed_set_receiving 2 true
testbed_wait_exit callers
testbed_require_min callers answered 50
testbed_check_ledgers kill-instance
