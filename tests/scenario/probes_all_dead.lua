-- Health probes report all upstreams as unhealthy although they work: the
-- instances do not act on such reports, and no request is refused.
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
usual_traffic("fieldline", 30, 20)
run(5)
host("^fieldline", {unhealthy = true})
run(15)
local seen = must_hold()
expect("refused", seen.refused == 0, seen.refused)
