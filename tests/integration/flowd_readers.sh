# Three instances of a zone: one of them reads the platform for the others. They
# get changes through it, and read the platform themselves when it is killed or
# stopped, until another one has taken its place.
. script/flowdbed.sh
COUNT=3

start_instance() { # index
	cat >"$TESTBED_DIR/flowd-$1.json" <<-JSON
		{"instance": "test-$1", "zone": "hou-a", "packets": "$NET.1$1:5700",
		 "readiness": "$NET.1$1:5701", "metrics": "$NET.1$1:5702",
		 "store": "$NET.1:5701", "relay": "$NET.1$1:5703",
		 "relay_upstreams": 1}
	JSON
	"$BIN/carob-flowd" --settings "$TESTBED_DIR/flowd-$1.json" \
		>>"$TESTBED_DIR/log-$1" 2>&1 &
	PID_OF[$1]=$!
	PIDS+=("$!")
}

fetch_metrics() { # index
	exec 3<>"/dev/tcp/$NET.1$1/5702" || return 0
	printf 'GET /metrics HTTP/1.0\r\n\r\n' >&3
	tr -d '\r' <&3
	exec 3>&-
}

metric() { # index name
	fetch_metrics "$1" 2>/dev/null | sed -n "s/^carob_$2 //p"
}

# Prints the index of the instance that reads for the zone: find_reader [NOT]
find_reader() {
	local i
	for _ in {1..400}; do
		for ((i = 1; i <= COUNT; i++)); do
			[ "$i" != "${1:-}" ] || continue
			if [ "$(metric "$i" reader)" = 1 ]; then
				echo "$i"
				return 0
			fi
		done
		sleep 0.1
	done
	echo "no instance reads for the zone" >&2
	tail -n 2 "$TESTBED_DIR"/log-* >&2
	return 1
}

# Waits until a configuration is in force at an instance, for 3 s at most:
# expect_version INDEX VERSION
expect_version() {
	for _ in {1..60}; do
		[ "$(metric "$1" configuration_version)" != "$2" ] || return 0
		sleep 0.05
	done
	echo "instance $1 does not have version $2 in force after 3 s" >&2
	tail -n 3 "$TESTBED_DIR/log-$1" >&2
	return 1
}

# Waits until an instance shows a number of evacuated zones, for 3 s at most:
# expect_evacuated INDEX NUMBER
expect_evacuated() {
	for _ in {1..60}; do
		[ "$(metric "$1" zones_evacuated)" != "$2" ] || return 0
		sleep 0.05
	done
	echo "instance $1 does not show $2 evacuated zones after 3 s" >&2
	return 1
}

# Waits until an instance has logged an evacuation that it got from a reader
expect_evacuated_by_reader() { # index
	for _ in {1..60}; do
		! grep -q '"event":2031.*"source":"reader"' "$TESTBED_DIR/log-$1" || return 0
		sleep 0.05
	done
	echo "instance $1 did not get the evacuation from a reader" >&2
	return 1
}

# Waits until an instance has got a response from a reader
expect_relayed() { # index
	for _ in {1..100}; do
		[ "$(metric "$1" relayed_answers)" = 0 ] || return 0
		sleep 0.1
	done
	echo "instance $1 does not read from a reader" >&2
	return 1
}

declare -A PID_OF
start_store
store_put_config 1
store_put_upstream i-2a ready 80
for ((i = 1; i <= COUNT; i++)); do start_instance "$i"; done
reader=$(find_reader)
for ((i = 1; i <= COUNT; i++)); do
	[ "$i" = "$reader" ] || expect_relayed "$i"
done
store_put_config 2
for ((i = 1; i <= COUNT; i++)); do expect_version "$i" 2; done

# An evacuation reaches the others through the reader.
store_put op/evacuate/hou-b '{}'
for ((i = 1; i <= COUNT; i++)); do expect_evacuated "$i" 1; done
for ((i = 1; i <= COUNT; i++)); do
	[ "$i" = "$reader" ] || expect_evacuated_by_reader "$i"
done
store_remove op/evacuate/hou-b
for ((i = 1; i <= COUNT; i++)); do expect_evacuated "$i" 0; done

# Stopped: the others notice that it does not answer.
kill -STOP "${PID_OF[$reader]}"
store_put_config 3
for ((i = 1; i <= COUNT; i++)); do
	[ "$i" = "$reader" ] || expect_version "$i" 3
done
next=$(find_reader "$reader")
kill -CONT "${PID_OF[$reader]}"
expect_version "$reader" 3

# Killed, while a change comes.
kill -KILL "${PID_OF[$next]}"
store_put_config 4
for ((i = 1; i <= COUNT; i++)); do
	[ "$i" = "$next" ] || expect_version "$i" 4
done
start_instance "$next"
find_reader >/dev/null

# The store comes back from a copy, without the leases.
sleep 1.2
"$BIN/carob-command" "$NET.1:5702" '{"command":"restore","age_ms":500}' >/dev/null
store_put_config 6
for ((i = 1; i <= COUNT; i++)); do expect_version "$i" 6; done
find_reader >/dev/null
