# carobctl explain tells which upstream carob-flowd chooses for a flow, and why.
. script/flowdbed.sh

# Explains a packet of one caller: explain OPTION...
explain() {
	"$BIN/carobctl" --json explain --metrics "$NET.2:5702" \
		--caller 100.64.0.7:4000 "$@"
}

# Fails unless a text is part of an explanation: expect TEXT EXPLANATION
expect() {
	[[ "$2" == *"$1"* ]] || {
		echo "$1 is not in the explanation: $2" >&2
		exit 1
	}
}

start_store
put_config 7
put_upstream i-2a draining 80
put_upstream i-2b ready 81
write_settings
start_flowd
wait_for '"event":2012'

new=$(explain --route 198.18.0.1:443)
expect '"decision":"placed"' "$new"
expect '"id":"i-2b"' "$new"
expect '"configuration_version":7' "$new"
open=$(explain --route 198.18.0.1:443 --tag 42) # 0x2a
expect '"decision":"by_tag"' "$open"
expect '"state":"draining"' "$open"
# The echo field has 32 bits, and a tag in it may use them all.
expect '"decision":"unknown_tag"' "$(explain --route 198.18.0.1:443 --tag 4294967295)"
expect '"decision":"no_route"' "$(explain --route 198.18.0.1:80)"
! explain --route nowhere >"$BED/bad" 2>&1 || exit 1
grep -q -- "--route" "$BED/bad"
