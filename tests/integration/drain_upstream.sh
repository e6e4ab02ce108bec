# An upstream is drained under load. Flows that begin when the new manifest is
# in force are not placed on it; its existing flows stay and lose no request.
set -euo pipefail
. script/testbed.sh

# Prints the request ids of the ledger lines with a text:
# request_ids LEDGER TEXT
request_ids() {
	grep -F "$2" "$TESTBED_DIR/$1.ledger" | grep -o '"rid":"[0-9a-f]*"' | sort -u
}

testbed_start
testbed_start_callers early 16 1
sleep 3
UPSTREAM_STATE[4]=draining
testbed_write_manifest
testbed_publish
testbed_wait_in_force 2
testbed_start_callers late 6 2
testbed_wait_exit late
testbed_wait_exit early
testbed_require_min early answered 50
testbed_require_min late answered 50
testbed_require_zero early unknown
testbed_require_zero late unknown
testbed_check_ledgers drain-upstream

request_ids upstream '"upstream":"fieldline-4"' >"$TESTBED_DIR/drained"
request_ids early '"kind":"call"' >"$TESTBED_DIR/early"
request_ids late '"kind":"call"' >"$TESTBED_DIR/late"
# The check below only means something if the upstream got flows before.
[ "$(comm -12 "$TESTBED_DIR/drained" "$TESTBED_DIR/early" | wc -l)" -ge 10 ]
if [ -n "$(comm -12 "$TESTBED_DIR/drained" "$TESTBED_DIR/late")" ]; then
	echo "new flows were placed on the draining upstream fieldline-4" >&2
	exit 1
fi
