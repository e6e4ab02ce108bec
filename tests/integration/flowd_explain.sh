# carobctl explain tells which upstream carob-flowd chooses for a flow, and why.
. script/flowdbed.sh

# Explains a packet of one caller: explain OPTION...
explain() {
	"$BIN/carobctl" --json explain --metrics "$NET.2:5702" \
		--caller 100.64.0.7:4000 "$@"
}

# Fails unless an explanation contains a text: expect_contains TEXT EXPLANATION
expect_contains() {
	[[ "$2" == *"$1"* ]] || {
		echo "$1 is not in the explanation: $2" >&2
		exit 1
	}
}

start_store
store_put_config 7
store_put_upstream i-2a draining 80
store_put_upstream i-2b ready 81
write_settings
start_flowd
wait_for_log '"event":2012'

new=$(explain --route 198.18.0.1:443)
expect_contains '"decision":"placed"' "$new"
expect_contains '"id":"i-2b"' "$new"
expect_contains '"configuration_version":7' "$new"
open=$(explain --route 198.18.0.1:443 --tag 42) # 0x2a
expect_contains '"decision":"by_tag"' "$open"
expect_contains '"state":"draining"' "$open"
# The echo field has 32 bits, and a tag in it may use them all.
expect_contains '"decision":"unknown_tag"' "$(explain --route 198.18.0.1:443 --tag 4294967295)"
expect_contains '"evacuated_zones":[]' "$new"
expect_contains '"decision":"no_route"' "$(explain --route 198.18.0.1:80)"
! explain --route nowhere >"$TESTBED_DIR/bad" 2>&1 || exit 1
grep -q -- "--route" "$TESTBED_DIR/bad"

# An evacuation of the only zone takes effect while the instance runs, and also
# if the instance starts during it.
store_put op/evacuate/hou-a '{}'
wait_for_log '"event":2031.*"zone":"hou-a"'
for restart in false true; do
	if $restart; then
		kill "$flowd" && wait "$flowd" || true
		start_flowd
		wait_for_log '"event":2031.*"zone":"hou-a"'
		wait_for_log '"event":2012'
	fi
	new=$(explain --route 198.18.0.1:443)
	expect_contains '"decision":"no_upstream"' "$new"
	expect_contains '"evacuated_zones":["hou-a"]' "$new"
	open=$(explain --route 198.18.0.1:443 --tag 43)
	expect_contains '"decision":"by_tag"' "$open"
	expect_contains '"evacuated":true' "$open"
done
store_remove op/evacuate/hou-a
wait_for_log '"event":2032.*"zone":"hou-a"'
expect_contains '"decision":"placed"' "$(explain --route 198.18.0.1:443)"

# A configuration that is sent has to be newer than the one in force.
check='{"version":8,"routes":[],"services":[],"limits":{"idle_timeout_ms":1}}'
"$BIN/carobctl" check --instance "$NET.2:5702" - <<<"$check" >"$TESTBED_DIR/check" ||
	[ $? -eq 1 ]
status=0
"$BIN/carobctl" check --instance "$NET.2:5702" - <<<"${check/8/7}" \
	>"$TESTBED_DIR/check" || status=$?
expect_contains "expected a version above 7" "$(cat "$TESTBED_DIR/check")"
[ "$status" -eq 2 ]
