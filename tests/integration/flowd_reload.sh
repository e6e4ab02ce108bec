# Settings of carob-flowd are read again on SIGHUP and when their file changes;
# a document that is refused leaves the old settings in force.
set -euo pipefail
BIN=${CAROB_BIN:-build/bin}
BED=$(mktemp -d "${TMPDIR:-/tmp}/carob-flowd.XXXXXX")
NET=127.$((64 + $$ / 200 % 64)).$((1 + $$ % 200))
trap 'kill "$pid" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$BED"' EXIT

write_settings() { # contact_ms [more JSON members]
	cat >"$BED/next.json" <<-JSON
		{"instance": "test-1", "zone": "hou-a", "packets": "$NET.1:5700",
		 "readiness": "$NET.1:5701", "metrics": "$NET.1:5702",
		 "store": "$NET.2:5703", "contact_ms": $1 ${2:-}}
	JSON
	mv "$BED/next.json" "$BED/settings.json"
}

wait_for() { # text in the log
	for _ in {1..200}; do
		! grep -q "$1" "$BED/log" || return 0
		kill -0 "$pid" 2>/dev/null || break
		sleep 0.05
	done
	echo "no \"$1\" in the log:" >&2
	tail -n 5 "$BED/log" >&2
	return 1
}

write_settings 4000
"$BIN/carob-flowd" --settings "$BED/settings.json" >"$BED/log" 2>&1 &
pid=$!
wait_for '"event":1007.*"contact_ms":4000'

write_settings 4100
kill -HUP "$pid"
wait_for '"event":1007.*"contact_ms":4100'

write_settings 4200 ', "colour": "red"'
kill -HUP "$pid"
wait_for '"event":1004.*colour'

write_settings 4300
wait_for '"event":1007.*"contact_ms":4300'

kill -TERM "$pid"
wait_for '"event":1003'
