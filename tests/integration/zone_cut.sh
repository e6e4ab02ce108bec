# The availability zones are cut off from each other, and one of them from the
# platform, for long enough that failure detection notices; then all
# connections are restored.
set -euo pipefail
. script/testbed.sh
testbed_start
testbed_start_callers callers 20
sleep 3
testbed_command fabric '{"command":"cut","from":"macon-a","to":"macon-b"}'
testbed_command fabric '{"command":"cut","from":"macon-b","to":"platform"}'
sleep 7
testbed_command fabric '{"command":"heal"}'
testbed_wait_exit callers
testbed_require_min callers answered 50
GAP_MS=12000 testbed_check_ledgers zone-cut
