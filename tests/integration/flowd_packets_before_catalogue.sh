# A packet that arrives while carob-flowd has not read its catalogue yet waits,
# and is steered as soon as it has.
. script/flowdbed.sh

# A SYN from 100.64.0.7:40001 to 198.18.0.1:443, as the users' pages show it.
SYN='\x00\x00\x11\x22\x33\x44\x00\x00\x00\x00\x20\x00\x00\x00\x64\x40\x00\x07\xc6\x12\x00\x01\x9c\x41\x01\xbb\x00\x00\x00\x00\xa1\xb2\xc3\xd5'

start_store
write_settings
start_flowd
wait_for_log '"event":2012' # an empty catalogue
printf "$SYN" >"/dev/udp/$NET.2/5700"
sleep 0.2
if grep -q '"event":4010' "$TESTBED_DIR/log"; then
	echo "carob-flowd decided without a catalogue" >&2
	exit 1
fi
store_put_config 1
store_put_upstream i-2a ready 80
wait_for_log '"event":4010.*"caller":"100.64.0.7:40001".*"decision":"placed"'
