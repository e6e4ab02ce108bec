# Starts carob-store and carob-flowd on loopback addresses of their own, for the
# integration tests of carob-flowd. Sourced; everything lives in $BED and ends
# with the shell.
#   $NET.1:5701 the store, :5702 its commands
#   $NET.2:5700 carob-flowd's packets, :5701 readiness, :5702 metrics
set -euo pipefail
BIN=${CAROB_BIN:-build/bin}
BED=$(mktemp -d "${TMPDIR:-/tmp}/carob-flowd.XXXXXX")
NET=127.$((64 + $$ / 200 % 64)).$((1 + $$ % 200))
PIDS=()
trap 'kill "${PIDS[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$BED"' EXIT

start_store() {
	echo "{\"listen\":\"$NET.1:5701\",\"command\":\"$NET.1:5702\"}" >"$BED/store.json"
	"$BIN/carob-store" --settings "$BED/store.json" 2>/dev/null &
	PIDS+=("$!")
	sleep 0.3
}

put() { # key value
	local value=${2//[$'\n\t']/}
	"$BIN/carob-command" "$NET.1:5702" "{\"command\":\"put\",\"key\":\"$1\",
	\"value\":\"${value//\"/\\\"}\"}" >/dev/null
}

put_upstream() { # id state port
	put "servers/$1" "{\"service\":\"s\",\"zone\":\"hou-a\",\"version\":\"v1\",
	\"slots\":2,\"state\":\"$2\",\"cold_ms\":0,\"seq\":1,
	\"address\":\"127.0.0.9:$3\"}"
}

put_config() { # version
	put op/config "{\"version\":$1,\"limits\":{},\"routes\":[{
	\"hostname\":\"198.18.0.1\",\"prefix\":\"/443/\",
	\"route_type\":\"safe\",\"service\":\"s\"}]}"
}

write_settings() { # [more JSON members]
	cat >"$BED/next.json" <<-JSON
		{"instance": "test-1", "zone": "hou-a", "packets": "$NET.2:5700",
		 "readiness": "$NET.2:5701", "metrics": "$NET.2:5702",
		 "store": "$NET.1:5701" ${1:-}}
	JSON
	mv "$BED/next.json" "$BED/flowd.json"
}

start_flowd() {
	"$BIN/carob-flowd" --settings "$BED/flowd.json" >"$BED/log" 2>&1 &
	flowd=$!
	PIDS+=("$flowd")
}

wait_for() { # text in the log of carob-flowd
	for _ in {1..200}; do
		! grep -q "$1" "$BED/log" || return 0
		kill -0 "$flowd" 2>/dev/null || break
		sleep 0.05
	done
	echo "no \"$1\" in the log:" >&2
	tail -n 5 "$BED/log" >&2
	return 1
}
