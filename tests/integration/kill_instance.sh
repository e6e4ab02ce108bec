# An instance is killed under load and later restarted; the fabric goes on
# sending packets to it for a while. Requests in flight at the instance may end
# as "outcome unknown"; none may be lost or run twice, and feeds are resumed.
set -euo pipefail
. script/testbed.sh
bed_start
bed_start_callers callers 14
sleep 3
kill -KILL "${PID_OF[entry-2]}"
sleep 2
bed_spray 2 false
sleep 2
bed_start_instance 2
bed_wait_instance 2
bed_spray 2 true
bed_wait_end callers
bed_require callers answered 50
bed_judge kill-instance
