# Four instances in two zones share their load: each knows the others' load and
# the number of instances, also of the other zone. Guards against views that
# outlive a stopped reader or a stopped instance, against sockets and packets
# while load is not shared, and against views that end with the store.
. script/flowdbed.sh
COUNT=4

start_instance() { # index [share_load]
	local zone=hou-a
	[ "$1" -le 2 ] || zone=hou-b
	cat >"$TESTBED_DIR/flowd-$1.json" <<-JSON
		{"instance": "test-$1", "zone": "$zone", "packets": "$NET.1$1:5700",
		 "readiness": "$NET.1$1:5701", "metrics": "$NET.1$1:5702",
		 "store": "$NET.1:5701", "relay": "$NET.1$1:5703",
		 "relay_upstreams": 1, "share_load": ${2:-true}}
	JSON
	"$BIN/carob-flowd" --settings "$TESTBED_DIR/flowd-$1.json" \
		>>"$TESTBED_DIR/log-$1" 2>&1 &
	PID_OF[$1]=$!
	PIDS+=("$!")
}

get() { # index path
	exec 3<>"/dev/tcp/$NET.1$1/5702" || return 0
	printf 'GET %s HTTP/1.0\r\n\r\n' "$2" >&3
	tr -d '\r' <&3
	exec 3>&-
}

metric() { # index name
	get "$1" /metrics 2>/dev/null | sed -n "s/^carob_$2 //p"
}

# The load of the others on the only upstream, as an instance knows it
others_load() { # index
	get "$1" "/explain?caller=100.64.0.9:4000&route=198.18.0.1:443" \
		2>/dev/null | sed -n 's/.*"others_load":\([0-9.]*\).*/\1/p'
}

# Waits until a metric has a value: expect_metric INDEX NAME VALUE
expect_metric() {
	for _ in {1..400}; do
		[ "$(metric "$1" "$2")" != "$3" ] || return 0
		sleep 0.1
	done
	echo "$2 of instance $1 is $(metric "$1" "$2"), expected $3" >&2
	tail -n 3 "$TESTBED_DIR/log-$1" >&2
	return 1
}

# Sends a SYN and its copies to the first instance, so that a request stays in
# progress.
keep_request() {
	local syn='\x00\x00\x11\x22\x33\x44\x00\x00\x00\x00\x20\x00\x00\x00\x64\x40\x00\x07\xc6\x12\x00\x01\x9c\x41\x01\xbb\x00\x00\x00\x00\xa1\xb2\xc3\xd5'
	while :; do
		printf "$syn" >"/dev/udp/$NET.11/5700" || true
		sleep 0.3
	done
}

# Waits until an instance knows of about one request of the others
expect_load() { # index
	for _ in {1..100}; do
		case $(others_load "$1") in
		0.[89]* | 1.[01]*) return 0 ;;
		esac
		sleep 0.1
	done
	echo "instance $1 knows of load $(others_load "$1"), expected 1" >&2
	return 1
}

# Whether an instance has a UDP socket on the port of its relay
has_socket() { # index
	local a b
	IFS=. read -r _ a b <<<"$NET"
	grep -q "$(printf '%02X%02X%02X7F:1647' "1$1" "$b" "$a")" /proc/net/udp
}

declare -A PID_OF
start_store
store=${PIDS[-1]}
store_put_config 1
store_put_upstream i-2a ready 80

# Not shared: no socket, no packet.
start_instance 1 false
expect_metric 1 reader 1
if has_socket 1; then
	echo "a socket for load is open although share_load is false" >&2
	exit 1
fi
[ "$(metric 1 load_bytes_sent)" = 0 ]
[ "$(metric 1 load_interval_ms)" = 0 ]
kill -TERM "${PID_OF[1]}"
wait "${PID_OF[1]}"

for ((i = 1; i <= COUNT; i++)); do start_instance "$i"; done
for ((i = 1; i <= COUNT; i++)); do
	expect_metric "$i" load_known 1
	expect_metric "$i" load_zone_instances 2
	expect_metric "$i" load_all_instances 4
done
has_socket 1
keep_request &
PIDS+=("$!")
for i in 2 3 4; do expect_load "$i"; done
[[ $(others_load 1) == 0.0 ]]

# An instance that is stopped is left out; the reader's views expire.
reader=1
[ "$(metric 1 reader)" = 1 ] || reader=2
other=$((3 - reader))
kill -STOP "${PID_OF[$reader]}"
expect_metric "$other" load_known 0
expect_metric 3 load_all_instances 2
kill -CONT "${PID_OF[$reader]}"
for ((i = 1; i <= COUNT; i++)); do
	expect_metric "$i" load_known 1
	expect_metric "$i" load_all_instances 4
done
for ((i = 1; i <= COUNT; i++)); do
	[ "$(metric "$i" 'load_rejected{reason="malformed"}')" = 0 ]
	[ "$(metric "$i" 'load_rejected{reason="forged"}')" = 0 ]
done

# The store is gone, and with it the readers' leases: load is still shared.
kill -KILL "$store"
sleep 9
for ((i = 1; i <= COUNT; i++)); do
	[ "$(metric "$i" load_known)" = 1 ]
	[ "$(metric "$i" load_all_instances)" = 4 ]
done
