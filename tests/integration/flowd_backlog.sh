# More changes than one response of the store can hold are made during an
# outage of the store. carob-flowd then reads the whole list, and has the
# newest configuration within seconds.
. script/flowdbed.sh
CHANGES=4000 # over 1 KB each as the store sends them, more than 4 MB in total

# Sets how the store treats requests: set_store_mode serve|reset
set_store_mode() {
	"$BIN/carob-command" "$NET.1:5702" "{\"command\":\"mode\",\"mode\":\"$1\"}" >/dev/null
}

padding=$(printf 'x%.0s' {1..800})

start_store
store_put_config 1
store_put_upstream i-2a ready 80
write_settings
start_flowd
wait_for_log '"event":2010.*"version":1,'
set_store_mode reset
wait_for_log '"event":2003'
"$BIN/carob-command" "$NET.1:5702" "{\"command\":\"put\",\"key\":\"notes\",
\"value\":\"$padding\",\"times\":$CHANGES}" >/dev/null
store_put_config 2
set_store_mode serve
wait_for_log '"event":2010.*"version":2,'
