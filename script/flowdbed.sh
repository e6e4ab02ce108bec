# Testbed with carob-store and carob-flowd on loopback addresses, sourced by the
# integration tests of carob-flowd. All files are in $TESTBED_DIR; when the
# shell exits, the processes are killed and $TESTBED_DIR is removed.
#   $NET.1  carob-store: key-value API :5701, commands :5702
#   $NET.2  carob-flowd: packets :5700, readiness :5701, metrics :5702
set -euo pipefail
BIN=${CAROB_BIN:-build/bin}
TESTBED_DIR=$(mktemp -d "${TMPDIR:-/tmp}/carob-flowd.XXXXXX")
NET=127.$((64 + $$ / 200 % 64)).$((1 + $$ % 200))
PIDS=()
trap 'kill "${PIDS[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$TESTBED_DIR"' EXIT

start_store() {
	echo "{\"listen\":\"$NET.1:5701\",\"command\":\"$NET.1:5702\"}" >"$TESTBED_DIR/store.json"
	"$BIN/carob-store" --settings "$TESTBED_DIR/store.json" 2>/dev/null &
	PIDS+=("$!")
	sleep 0.3
}

# Writes a value into the store: store_put KEY VALUE
store_put() {
	local value=${2//[$'\n\t']/}
	"$BIN/carob-command" "$NET.1:5702" "{\"command\":\"put\",\"key\":\"$1\",
	\"value\":\"${value//\"/\\\"}\"}" >/dev/null
}

store_remove() { # key
	"$BIN/carob-command" "$NET.1:5702" "{\"command\":\"remove\",\"key\":\"$1\"}" >/dev/null
}

# Registers an upstream: store_put_upstream ID STATE PORT
store_put_upstream() {
	store_put "servers/$1" "{\"service\":\"s\",\"zone\":\"hou-a\",\"version\":\"v1\",
	\"slots\":2,\"state\":\"$2\",\"cold_ms\":0,\"seq\":1,
	\"address\":\"127.0.0.9:$3\"}"
}

# Writes a configuration with one route: store_put_config VERSION
store_put_config() {
	store_put op/config "{\"version\":$1,\"limits\":{},\"routes\":[{
	\"hostname\":\"198.18.0.1\",\"prefix\":\"/443/\",
	\"route_type\":\"safe\",\"service\":\"s\"}]}"
}

# Writes the settings of carob-flowd: write_settings [MORE_JSON_MEMBERS]
write_settings() {
	cat >"$TESTBED_DIR/next.json" <<-JSON
		{"instance": "test-1", "zone": "hou-a", "packets": "$NET.2:5700",
		 "readiness": "$NET.2:5701", "metrics": "$NET.2:5702",
		 "store": "$NET.1:5701" ${1:-}}
	JSON
	mv "$TESTBED_DIR/next.json" "$TESTBED_DIR/flowd.json"
}

start_flowd() {
	"$BIN/carob-flowd" --settings "$TESTBED_DIR/flowd.json" >"$TESTBED_DIR/log" 2>&1 &
	flowd=$!
	PIDS+=("$flowd")
}

# Waits until a pattern matches in carob-flowd's log: wait_for_log PATTERN
wait_for_log() {
	for _ in {1..200}; do
		! grep -q "$1" "$TESTBED_DIR/log" || return 0
		kill -0 "$flowd" 2>/dev/null || break
		sleep 0.05
	done
	echo "carob-flowd's log does not match \"$1\", it ends with:" >&2
	tail -n 5 "$TESTBED_DIR/log" >&2
	return 1
}
