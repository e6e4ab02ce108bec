# Packets are lost, duplicated, delayed and reordered on every link.
set -euo pipefail
. script/testbed.sh
testbed_start
testbed_command fabric '{"command":"fault","from":"any","to":"any","drop":0.02,
"duplicate":0.05,"reorder":0.1,"reorder_ms":20,"delay_ms":1,"jitter_ms":3}'
testbed_start_callers callers 12
testbed_wait_exit callers
testbed_require_min callers answered 50
testbed_check_ledgers lossy-network
