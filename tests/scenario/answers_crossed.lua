-- Each flow uses one CoAP token for all its requests, and packets are
-- duplicated and reordered: every response belongs to the caller's request.
-- wrong: match-by-mid-only misrouted
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
network{duplicate = 0.2, reorder = 0.3}
traffic{service = "fieldline", rate = 20, requests = 8, think_ms = 5,
	post = 0.5, cancel = 0.5, cancel_ms = 60, deadline_ms = 5000,
	tokens_reused = true, seconds = 20}
run(20)
network{duplicate = 0, reorder = 0}
must_hold()
