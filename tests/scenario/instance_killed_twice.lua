-- An instance is killed, restarted, killed again and restarted.
-- wrong: forget-owner doubled
deployment{manifest = "examples/hou.json", zones = "abcda"}
host("^berthdesk", {service_ms = 300})
usual_traffic("berthdesk", 40, 25)
usual_traffic("manifestyard", 6, 25)
run(6)
kill(5)
run(2)
start(5, "hou-a")
run(5)
kill(5)
run(2)
start(5, "hou-a")
run(10)
must_hold()
