# Sourced by the run.sh of a case, from the folder of the case. Starts instances
# with the command of deploy/system.toml and settings as platform/settings.json.in
# gives them on a small deployment, and then the stand-in.
#   play SCENARIO INSTANCES [FUNCTION]
# FUNCTION runs beside the stand-in; it may call restart.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
WORK=$(mktemp -d "${TMPDIR:-/tmp}/carob-review.XXXXXX")
NET=127.$((64 + $$ / 200 % 64)).$((1 + $$ % 200))
PIDS=()
INSTANCES=()

finish() {
	exec 2>/dev/null
	kill -KILL "${PIDS[@]}"
	wait
	rm -rf "$WORK"
}
trap finish EXIT

# Writes the settings of an instance: write_settings NUMBER ZONE
write_settings() {
	local ip=$NET.$((10 + $1))
	cat >"$WORK/settings-$1.json" <<-JSON
		{
			"instance": "frontend-$2-$1",
			"zone": "$2",
			"packets": "$ip:7100",
			"readiness": "$ip:7101",
			"metrics": "$ip:9464",
			"store": "$NET.1:7001",
			"relay": "$ip:7720",
			"share_load": true,
			"first_start": true,
			"contact_ms": 4000,
			"apply_ms": 3000,
			"stop_grace_s": 6,
			"link_mbps": 1500.0,
			"log_level": "info"
		}
	JSON
}

start_instance() { # number
	target/bin/carob-flowd --settings "$WORK/settings-$1.json" \
		>>"$WORK/log-$1" 2>&1 &
	INSTANCES[$1]=$!
	PIDS+=("$!")
}

# Stops an instance as the platform does (SIGTERM) and starts it again when it
# has ended: restart NUMBER
restart() {
	kill -TERM "${INSTANCES[$1]}"
	wait "${INSTANCES[$1]}"
	start_instance "$1"
}

play() {
	local i status standin
	[ -x "$ROOT/target/bin/carob-flowd" ] && [ -x "$ROOT/review/bin/standin" ] || {
		echo "build the deploy file and review/build.sh first" >&2
		exit 2
	}
	cd "$ROOT" || exit 2
	for ((i = 0; i < $2; i++)); do
		write_settings "$i" macon-a
		start_instance "$i"
	done
	RECORD=$CASE/record.txt timeout 110 \
		review/bin/standin "$1" "$NET.0" "$2" &
	standin=$!
	PIDS+=("$standin")
	[ $# -lt 3 ] || "$3"
	wait "$standin"
	status=$?
	[ "$status" -le 1 ] || status=2
	for ((i = 0; i < $2; i++)); do
		echo "-- log of instance $i: state of upstreams, reads of the store" >>"$CASE/record.txt"
		grep -E '"event":(2003|2004|2010|5001|1001|1002),' "$WORK/log-$i" |
			tail -n 20 >>"$CASE/record.txt"
	done
	exit "$status"
}
