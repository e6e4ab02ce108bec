-- An upstream runs requests, but all packets that it sends are lost. Requests
-- that may have run there end as "outcome unknown" and run nowhere else.
-- wrong: retry-after-timeout doubled
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
usual_traffic("fieldline", 40, 30, {requests = 1, post = 1, cancel = 0, feeds = 0,
	deadline_ms = 12000})
run(8)
host("^fieldline-07$", {mute = true})
run(9)
host("^fieldline-07$", {mute = false})
run(13)
must_hold()
