# Sends random, truncated and oversized packets to every listening socket of
# the instances while callers work. No instance crashes, and no request is
# lost, run twice or answered wrongly.
set -euo pipefail
. script/testbed.sh

# Appends random bytes to $bytes, as escapes for printf: append_random COUNT
append_random() {
	local i
	for ((i = 0; i < $1; i++)); do
		bytes+=$(printf '\\x%02x' $((RANDOM % 256)))
	done
}

# Sends $bytes: send_udp ADDRESS PORT. A refused datagram is not an error.
send_udp() {
	printf "$bytes" >"/dev/udp/$1/$2" 2>/dev/null || true
}

# Sends $bytes: send_tcp ADDRESS PORT. A closed connection is not an error.
send_tcp() {
	(trap '' PIPE && printf "$bytes" >"/dev/tcp/$1/$2") 2>/dev/null || true
}

testbed_start
testbed_start_callers callers 14
RANDOM=${SEED:-1}
for round in {1..40}; do
	k=$((1 + RANDOM % 4))
	# A CoAP header, GET or POST, with a token length and random bytes.
	bytes="\\x4$((RANDOM % 10))\\x0$((1 + RANDOM % 2))"
	append_random $((RANDOM % 60))
	send_udp "$NET.1$k" 5701
	send_udp "$NET.1$k" 5702
	bytes=
	append_random $((1 + RANDOM % 120))
	send_udp "$NET.1$k" 5701
	send_udp "$NET.1$k" 7001
	send_tcp "$NET.1$k" 7002
done
bytes='\x44\x01\x00\x01'
append_random 3000
for k in "${INSTANCES[@]}"; do
	send_udp "$NET.1$k" 5701
	send_udp "$NET.1$k" 7001
	send_tcp "$NET.1$k" 7002
done
testbed_wait_exit callers
testbed_require_min callers answered 50
testbed_require_zero callers unknown
testbed_check_ledgers bad-input
