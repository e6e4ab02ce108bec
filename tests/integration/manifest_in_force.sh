# Checks output and exit status of carobctl when a manifest comes into force on
# every instance, when a publication names a base generation that is not in
# force, as after a lost race, when the platform is down, when the platform is
# slow and loses responses, for explanations, and when an address is reused. An
# instance that starts while the platform is down gets the generation in force.
set -euo pipefail
. script/testbed.sh

ctl=$BIN/carobctl

# Fails unless a command exits with this status, and writes its output to
# $TESTBED_DIR/output: expect_status STATUS COMMAND...
expect_status() {
	local expected=$1 status=0
	shift
	"$@" >"$TESTBED_DIR/output" 2>&1 || status=$?
	[ "$status" -eq "$expected" ] && return
	echo "exit status $status instead of $expected: $*" >&2
	cat "$TESTBED_DIR/output" >&2
	return 1
}

testbed_start
testbed_wait_in_force 1

UPSTREAM_STATE[4]=draining
testbed_write_manifest
expect_status 9 "$ctl" publish -p "$NET.1:8500" -b 7 "$TESTBED_DIR/manifest.json"
grep -q "generation 8 was to follow 7, but generation 1 is in force" \
	"$TESTBED_DIR/output"
expect_status 0 "$ctl" publish -p "$NET.1:8500" -b 1 "$TESTBED_DIR/manifest.json"
testbed_wait_in_force 2

expect_status 0 "$ctl" explain -n "$NET.31:7002" -s "$TESTBED_DIR/secret" -S fieldline
grep -q '"generation": 2' "$TESTBED_DIR/output"
[ "$(grep -c '"new_flows": false' "$TESTBED_DIR/output")" -eq 1 ]
expect_status 3 "$ctl" explain -n "$NET.31:7002" -s "$TESTBED_DIR/secret" -S nothing
expect_status 2 "$ctl" explain -n "$NET.31:7002" -s "$TESTBED_DIR/secret" -t 00
expect_status 0 "$ctl" show -p "$NET.1:8500" -d ga-central -n "$NET.31:7002" \
	-s "$TESTBED_DIR/secret"
grep -q "platform: generation 2, publish" "$TESTBED_DIR/output"
grep -q "4 instances: 0 behind generation 2, 0 without an answer" "$TESTBED_DIR/output"

testbed_command platform '{"command":"faults","down":true}'
UPSTREAM_STATE[4]=active
testbed_write_manifest
expect_status 10 "$ctl" publish -p "$NET.1:8500" "$TESTBED_DIR/manifest.json"
testbed_wait_in_force 2
kill -KILL "${PID_OF[entry-2]}"
testbed_wait_exit entry-2
testbed_start_instance 2
testbed_wait_in_force 2 15

# The platform is slow, and its responses to three writes are lost.
testbed_command platform '{"command":"faults","lose_answers":3,"delay_ms":20}'
expect_status 0 "$ctl" publish -p "$NET.1:8500" "$TESTBED_DIR/manifest.json"
testbed_wait_in_force 3 30

# The address of certvault's second upstream is reused for fieldline. This is
# refused while certvault uses it, and until all instances have confirmed a
# generation without it.
confirm=(--confirm "$NET.31:7002" -s "$TESTBED_DIR/secret")
CERTVAULTS=(5)
FIELDLINES=(1 2 3 4 6)
testbed_write_manifest
expect_status 2 "$ctl" publish -p "$NET.1:8500" "${confirm[@]}" "$TESTBED_DIR/manifest.json"
grep -q "its address: service 2 used it" "$TESTBED_DIR/output"
FIELDLINES=(1 2 3 4)
testbed_write_manifest
expect_status 0 "$ctl" publish -p "$NET.1:8500" "$TESTBED_DIR/manifest.json"
testbed_wait_in_force 4 5
FIELDLINES=(1 2 3 4 6)
testbed_write_manifest
expect_status 2 "$ctl" publish -p "$NET.1:8500" "$TESTBED_DIR/manifest.json"
grep -q "service 2 used it until generation 4" "$TESTBED_DIR/output"
kill -STOP "${PID_OF[entry-4]}"
expect_status 10 "$ctl" publish -p "$NET.1:8500" "${confirm[@]}" "$TESTBED_DIR/manifest.json"
grep -q "nothing was changed" "$TESTBED_DIR/output"
kill -CONT "${PID_OF[entry-4]}"
testbed_wait_in_force 4 15
expect_status 0 "$ctl" publish -p "$NET.1:8500" "${confirm[@]}" "$TESTBED_DIR/manifest.json"
testbed_wait_in_force 5 5
