# Settings of carob-flowd are read again on SIGHUP and when their file changes;
# a document that is refused leaves the old settings in force.
. script/flowdbed.sh

write_settings ', "contact_ms": 4000'
start_flowd
wait_for '"event":1007.*"contact_ms":4000'

write_settings ', "contact_ms": 4100'
kill -HUP "$flowd"
wait_for '"event":1007.*"contact_ms":4100'

write_settings ', "contact_ms": 4200, "colour": "red"'
kill -HUP "$flowd"
wait_for '"event":1004.*colour'

write_settings ', "contact_ms": 4300'
wait_for '"event":1007.*"contact_ms":4300'

kill -TERM "$flowd"
wait_for '"event":1003'
