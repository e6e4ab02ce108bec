# carobctl explains where a flow goes through carob-flowd, and why.
set -euo pipefail
BIN=${CAROB_BIN:-build/bin}
BED=$(mktemp -d "${TMPDIR:-/tmp}/carob-flowd.XXXXXX")
NET=127.$((64 + $$ / 200 % 64)).$((1 + $$ % 200))
PIDS=()
trap 'kill "${PIDS[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$BED"' EXIT

put() { # key value
	"$BIN/carob-command" "$NET.1:5702" "{\"command\":\"put\",\"key\":\"$1\",
	\"value\":\"${2//\"/\\\"}\"}" >/dev/null
}

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

echo "{\"listen\":\"$NET.1:5701\",\"command\":\"$NET.1:5702\"}" >"$BED/store.json"
"$BIN/carob-store" --settings "$BED/store.json" 2>/dev/null &
PIDS+=("$!")
sleep 0.3
put op/config '{"version":7,"routes":[{"hostname":"198.18.0.1","prefix":"/443/","route_type":"safe","service":"s"}],"limits":{}}'
put servers/i-2a '{"service":"s","zone":"hou-a","version":"v1","slots":2,"state":"draining","cold_ms":0,"seq":1,"address":"127.0.0.9:80"}'
put servers/i-2b '{"service":"s","zone":"hou-a","version":"v1","slots":2,"state":"ready","cold_ms":0,"seq":1,"address":"127.0.0.9:81"}'
cat >"$BED/flowd.json" <<-JSON
	{"instance": "test", "zone": "hou-a", "packets": "$NET.2:5700",
	 "readiness": "$NET.2:5701", "metrics": "$NET.2:5702",
	 "store": "$NET.1:5701"}
JSON
"$BIN/carob-flowd" --settings "$BED/flowd.json" >"$BED/log" 2>&1 &
PIDS+=("$!")
for _ in {1..100}; do
	! grep -q '"event":2012' "$BED/log" || break
	sleep 0.05
done

new=$(explain --route 198.18.0.1:443)
expect '"decision":"placed"' "$new"
expect '"id":"i-2b"' "$new"
expect '"configuration_version":7' "$new"
open=$(explain --route 198.18.0.1:443 --tag 42) # 0x2a
expect '"decision":"by_tag"' "$open"
expect '"state":"draining"' "$open"
expect '"decision":"unknown_tag"' "$(explain --route 198.18.0.1:443 --tag 43690)"
expect '"decision":"no_route"' "$(explain --route 198.18.0.1:80)"
! explain --route nowhere >"$BED/bad" 2>&1 || exit 1
grep -q -- "--route" "$BED/bad"
