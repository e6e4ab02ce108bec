-- An upstream crashes with requests running. They end as "outcome unknown" and
-- are not run again elsewhere; new requests soon avoid the upstream.
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
host("^fieldline", {service_ms = 1500})
usual_traffic("fieldline", 25, 40, {requests = 1, deadline_ms = 15000,
	cancel = 0, feeds = 0})
run(8)
host("^fieldline-07$", {dead = true})
run(32)
must_hold()
