# carobctl explains where a flow goes through carob-flowd, and why.
. script/flowdbed.sh

explain() { # arguments...
	"$BIN/carobctl" --json explain --metrics "$NET.2:5702" \
		--caller 100.64.0.7:4000 "$@"
}

expect() { # text explanation
	[[ "$2" == *"$1"* ]] || {
		echo "expected $1 in: $2" >&2
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
# echo fields need all of 32 bits
expect '"decision":"unknown_tag"' "$(explain --route 198.18.0.1:443 --tag 4294967295)"
expect '"decision":"no_route"' "$(explain --route 198.18.0.1:80)"
! explain --route nowhere >"$BED/bad" 2>&1 || exit 1
grep -q -- "--route" "$BED/bad"
