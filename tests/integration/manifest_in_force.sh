# Output and exit status of carobctl: a new manifest that is in force on every
# instance, a publication that another one preceded, a platform that is down, an
# instance that starts meanwhile, explanations, and reuse of an address.
set -euo pipefail
. script/testbed.sh

ctl=$BIN/carobctl

# Fails unless a command exits with this status; its output is in $BED/said:
# status_is STATUS COMMAND...
status_is() {
	local expected=$1 status=0
	shift
	"$@" >"$BED/said" 2>&1 || status=$?
	[ "$status" -eq "$expected" ] && return
	echo "exit status $status instead of $expected: $*" >&2
	cat "$BED/said" >&2
	return 1
}

bed_start
bed_in_force 1

UPSTREAM_STATE[4]=draining
bed_write_manifest
status_is 9 "$ctl" publish -p "$NET.1:8500" -b 7 "$BED/manifest.json"
grep -q "generation 8 was to follow 7, but generation 1 is in force" \
	"$BED/said"
status_is 0 "$ctl" publish -p "$NET.1:8500" -b 1 "$BED/manifest.json"
bed_in_force 2

status_is 0 "$ctl" explain -n "$NET.31:7002" -s "$BED/secret" -S fieldline
grep -q '"generation": 2' "$BED/said"
[ "$(grep -c '"new_flows": false' "$BED/said")" -eq 1 ]
status_is 3 "$ctl" explain -n "$NET.31:7002" -s "$BED/secret" -S nothing
status_is 2 "$ctl" explain -n "$NET.31:7002" -s "$BED/secret" -t 00
status_is 0 "$ctl" show -p "$NET.1:8500" -d ga-central -n "$NET.31:7002" \
	-s "$BED/secret"
grep -q "platform: generation 2, publish" "$BED/said"
grep -q "4 instances: 0 behind generation 2, 0 without an answer" "$BED/said"

bed_command platform '{"command":"faults","down":true}'
UPSTREAM_STATE[4]=active
bed_write_manifest
status_is 10 "$ctl" publish -p "$NET.1:8500" "$BED/manifest.json"
bed_in_force 2
kill -KILL "${PID_OF[entry-2]}"
bed_wait_end entry-2
bed_start_instance 2
bed_in_force 2 15

# The platform is slow, and its responses to three writes are lost.
bed_command platform '{"command":"faults","lose_answers":3,"delay_ms":20}'
status_is 0 "$ctl" publish -p "$NET.1:8500" "$BED/manifest.json"
bed_in_force 3 30

# The address of certvault's second upstream is reused for fieldline. This is
# refused while certvault uses it, and until all instances have confirmed a
# generation without it.
confirm=(--confirm "$NET.31:7002" -s "$BED/secret")
CERTVAULTS=(5)
FIELDLINES=(1 2 3 4 6)
bed_write_manifest
status_is 2 "$ctl" publish -p "$NET.1:8500" "${confirm[@]}" "$BED/manifest.json"
grep -q "its address: service 2 used it" "$BED/said"
FIELDLINES=(1 2 3 4)
bed_write_manifest
status_is 0 "$ctl" publish -p "$NET.1:8500" "$BED/manifest.json"
bed_in_force 4 5
FIELDLINES=(1 2 3 4 6)
bed_write_manifest
status_is 2 "$ctl" publish -p "$NET.1:8500" "$BED/manifest.json"
grep -q "service 2 used it until generation 4" "$BED/said"
kill -STOP "${PID_OF[entry-4]}"
status_is 10 "$ctl" publish -p "$NET.1:8500" "${confirm[@]}" "$BED/manifest.json"
grep -q "nothing was changed" "$BED/said"
kill -CONT "${PID_OF[entry-4]}"
bed_in_force 4 15
status_is 0 "$ctl" publish -p "$NET.1:8500" "${confirm[@]}" "$BED/manifest.json"
bed_in_force 5 5
