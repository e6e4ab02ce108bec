# carob-flowd reads a catalogue of several pages whole, with a store that
# compares keys as they come in the query.
set -euo pipefail
BIN=${CAROB_BIN:-build/bin}
BED=$(mktemp -d "${TMPDIR:-/tmp}/carob-flowd.XXXXXX")
NET=127.$((64 + $$ / 200 % 64)).$((1 + $$ % 200))
COUNT=120 # of upstreams; the stand-in's page has 50 items
PIDS=()
trap 'kill "${PIDS[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$BED"' EXIT

put() { # key value
	"$BIN/carob-command" "$NET.1:5702" "{\"command\":\"put\",\"key\":\"$1\",
	\"value\":\"${2//\"/\\\"}\"}" >/dev/null
}

wait_for() { # text in the daemon's log
	for _ in {1..100}; do
		! grep -q "$1" "$BED/log" || return 0
		sleep 0.05
	done
	echo "no \"$1\" in the log:" >&2
	tail -n 3 "$BED/log" >&2
	return 1
}

echo "{\"listen\":\"$NET.1:5701\",\"command\":\"$NET.1:5702\"}" >"$BED/store.json"
"$BIN/carob-store" --settings "$BED/store.json" 2>/dev/null &
PIDS+=("$!")
sleep 0.3
put op/config '{"version":1,"routes":[{"hostname":"198.18.0.1","prefix":"/443/","route_type":"safe","service":"s"}],"limits":{}}'
for ((i = 1; i <= COUNT; i++)); do
	put "servers/i-$(printf %010x "$i")" '{"service":"s","zone":"hou-a","version":"v1","slots":2,"state":"ready","cold_ms":0,"seq":1,"address":"127.0.0.9:80"}'
done
cat >"$BED/flowd.json" <<-JSON
	{"instance": "test", "zone": "hou-a", "packets": "$NET.2:5700",
	 "readiness": "$NET.2:5701", "store": "$NET.1:5701"}
JSON
"$BIN/carob-flowd" --settings "$BED/flowd.json" >"$BED/log" 2>&1 &
PIDS+=("$!")
wait_for "\"event\":2012.*\"upstreams\":$COUNT"
