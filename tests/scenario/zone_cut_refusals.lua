-- A zone is cut off while all upstreams are overloaded. Idempotent requests
-- whose owner is on the other side of the cut may run on this side; then no
-- refusal may state that they were not run.
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
usual_traffic("fieldline", 150, 30, {post = 0, cancel = 0, feeds = 0})
run(8)
cut("macon-b", true)
run(6)
cut("macon-b", false)
run(16)
must_hold{broken_sessions = true}
