# carob-flowd reads a catalogue of several pages whole, with a store that
# compares keys as they come in the query.
. script/flowdbed.sh
COUNT=120 # of upstreams; the stand-in's page has 50 items

start_store
put_config 1
for ((i = 1; i <= COUNT; i++)); do
	put_upstream "i-$(printf %010x "$i")" ready 80
done
write_settings
start_flowd
wait_for "\"event\":2012.*\"upstreams\":$COUNT"
