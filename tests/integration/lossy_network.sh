# Packets are lost, duplicated, delayed and reordered on every link.
set -euo pipefail
. script/testbed.sh
bed_start
bed_command fabric '{"command":"fault","from":"any","to":"any","drop":0.02,
"duplicate":0.05,"reorder":0.1,"reorder_ms":20,"delay_ms":1,"jitter_ms":3}'
bed_start_callers callers 12
bed_wait_end callers
bed_require callers answered 50
bed_judge lossy-network
