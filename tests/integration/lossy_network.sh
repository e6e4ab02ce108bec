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
# Each lost packet can be found in the fabric's log, with its CoAP header.
grep -q '"event":6001,.*"cause":"chance".*"head":"[0-9a-f]\{8,32\}"' "$TESTBED_DIR/fabric.log"
