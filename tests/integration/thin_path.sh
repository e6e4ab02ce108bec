# Requests of all kinds pass from callers through fabric and entry instances to
# upstreams, without any failure.
set -euo pipefail
. script/testbed.sh
bed_start
bed_start_callers callers 5
bed_wait_end callers
bed_require callers answered 50
bed_require callers cancelled 20
bed_require callers notifications 100
bed_judge thin-path
