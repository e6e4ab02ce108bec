-- A graceful stop interrupts no request and breaks no flow.
-- wrong: drain-drops unknown
deployment{manifest = "examples/hou.json", zones = "abcda"}
usual_traffic("berthdesk", 40, 40)
usual_traffic("manifestyard", 8, 40)
run(8)
leave(1)
run(32)
local seen = must_hold()
expect("unknown", seen.unknown == 0, seen.unknown)
expect("still_running", not is_running(1), 1)
