# The store returns from a copy that is some seconds old. carob-flowd lists all
# entries again, in several pages, keeps to what it knew until the entries have
# been written again, and applies changes whose revisions were given out before.
. script/flowdbed.sh
COUNT=120 # upstreams; a page of carob-store has 50 items

store_command() {
	"$BIN/carob-command" "$NET.1:5702" "$1" >/dev/null
}

# Waits until a line of the metrics matches: wait_for_metric PATTERN
wait_for_metric() {
	for _ in {1..100}; do
		! fetch_metrics | grep -q "^$1\$" || return 0
		sleep 0.1
	done
	echo "no metric matches \"$1\":" >&2
	fetch_metrics | grep -E "carob_(store|upstreams)" >&2
	return 1
}

fetch_metrics() {
	exec 3<>"/dev/tcp/$NET.2/5702"
	printf 'GET /metrics HTTP/1.0\r\n\r\n' >&3
	tr -d '\r' <&3
	exec 3>&-
}

start_store
store_put_config 5
for ((i = 1; i <= COUNT; i++)); do
	store_put_upstream "i-$(printf %010x "$i")" ready 80
done
write_settings
start_flowd
wait_for_log "\"event\":2012.*\"upstreams\":$COUNT"
sleep 1.2 # for a copy
store_put_upstream i-0000000001 draining 80
store_put_config 7
wait_for_log '"event":2010.*"version":7'
wait_for_metric 'carob_upstreams{state="draining"} 1'

store_command '{"command":"restore","age_ms":1000,"down_ms":300}'
wait_for_log '"event":2015.*"era":2'
wait_for_metric 'carob_store_era 2'
wait_for_metric "carob_upstreams{state=\"ready\"} $((COUNT - 1))"
wait_for_metric 'carob_upstreams{state="draining"} 1'
wait_for_metric 'carob_configuration_version 7'

# Operator and hosts write theirs again, and two upstreams begin to drain with
# revisions that the store has given out before.
store_put_config 7
store_put_upstream i-0000000001 draining 80
store_put_upstream i-0000000002 draining 80
wait_for_metric 'carob_upstreams{state="draining"} 2'
# The entries are compared once more when hosts have had time to write.
sleep 3
wait_for_metric 'carob_upstreams{state="draining"} 2'
wait_for_metric 'carob_store_era_changes 1'

store_command '{"command":"restore","age_ms":0}'
store_command '{"command":"restore","age_ms":0}'
wait_for_metric 'carob_store_era 4'
wait_for_metric "carob_upstreams{state=\"ready\"} $((COUNT - 2))"
