-- A flow's token that is used at another service is not accepted there.
-- wrong: ignore-service misrouted
-- wrong: any-service misrouted
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
traffic{service = "fieldline", then_service = "certvault", rate = 10,
	requests = 3, post = 0.5, seconds = 15}
traffic{service = "certvault", rate = 5, requests = 3, post = 0.5,
	seconds = 15}
run(15)
must_hold()
