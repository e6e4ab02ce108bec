# carob-flowd reads all pages of a catalogue from a store that compares keys in
# the form in which they stand in the query, without percent-decoding them.
. script/flowdbed.sh
COUNT=120 # upstreams; a page of carob-store has 50 items

start_store
store_put_config 1
for ((i = 1; i <= COUNT; i++)); do
	store_put_upstream "i-$(printf %010x "$i")" ready 80
done
write_settings
start_flowd
wait_for_log "\"event\":2012.*\"upstreams\":$COUNT"
