# The availability zones are cut off from each other, and one of them from the
# platform, for long enough that failure detection notices; then all
# connections are restored.
set -euo pipefail
. script/testbed.sh
bed_start
bed_start_callers callers 20
sleep 3
bed_command fabric '{"command":"cut","from":"macon-a","to":"macon-b"}'
bed_command fabric '{"command":"cut","from":"macon-b","to":"platform"}'
sleep 7
bed_command fabric '{"command":"heal"}'
bed_wait_end callers
bed_require callers answered 50
GAP_MS=12000 bed_judge zone-cut
