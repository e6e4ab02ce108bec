# carob-flowd reads its settings again on SIGHUP and when their file changes.
# If a settings file is refused, the old settings stay in force.
. script/flowdbed.sh

write_settings ', "contact_ms": 4000'
start_flowd
wait_for_log '"event":1007.*"contact_ms":4000'

write_settings ', "contact_ms": 4100'
kill -HUP "$flowd"
wait_for_log '"event":1007.*"contact_ms":4100'

write_settings ', "contact_ms": 4200, "colour": "red"'
kill -HUP "$flowd"
wait_for_log '"event":1004.*colour'

write_settings ', "contact_ms": 4300'
wait_for_log '"event":1007.*"contact_ms":4300'

kill -TERM "$flowd"
wait_for_log '"event":1003'
