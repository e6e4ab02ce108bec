# Requests of all kinds pass from callers through fabric and entry instances to
# upstreams, without any failure.
set -euo pipefail
. script/testbed.sh
testbed_start
testbed_start_callers callers 5
testbed_wait_exit callers
testbed_require_min callers answered 50
testbed_require_min callers cancelled 20
testbed_require_min callers notifications 100
testbed_check_ledgers thin-path
