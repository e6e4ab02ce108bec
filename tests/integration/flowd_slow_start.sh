# Settings, configuration and entries reach the pace of carob-flowd: it defers
# SYNs to a cold upstream whose service states a rate, and says so.
. script/flowdbed.sh

# A SYN from 100.64.0.7:40001 to 198.18.0.1:443, as the users' pages show it.
SYN='\x00\x00\x11\x22\x33\x44\x00\x00\x00\x00\x20\x00\x00\x00\x64\x40\x00\x07\xc6\x12\x00\x01\x9c\x41\x01\xbb\x00\x00\x00\x00\xa1\xb2\xc3\xd5'

start_store
store_put op/config '{"version":1,"limits":{},"services":[{"name":"s",
"cold_per_s":0.001,"cold_start_s":60}],"routes":[{"hostname":"198.18.0.1",
"prefix":"/443/","route_type":"safe","service":"s"}]}'
# Without cold_ms: cold_start_s applies.
store_put servers/i-2a '{"service":"s","zone":"hou-a","version":"v1","slots":2,
"state":"ready","seq":1,"address":"127.0.0.9:80"}'
write_settings ',"cold_overage":1.5,"cold_slack":0'
start_flowd
wait_for_log '"event":2012'
printf "$SYN" >"/dev/udp/$NET.2/5700"
wait_for_log '"event":4010.*"decision":"pace_deferred"'
wait_for_log '"event":5020.*"upstream":"i-2a".*"bounded":1'
exec 3<>"/dev/tcp/$NET.2/5702"
printf 'GET /metrics HTTP/1.0\r\n\r\n' >&3
grep -qx 'carob_paced_upstreams 1' <&3
# Without the settings nothing is paced.
write_settings
kill -HUP "$flowd"
wait_for_log '"event":1007'
sleep 0.2
printf "$SYN" >"/dev/udp/$NET.2/5700"
wait_for_log '"event":4010.*"decision":"placed"'
