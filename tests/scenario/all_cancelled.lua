-- Every request is cancelled before it finishes. Upstreams stop the cancelled
-- work, so that little slot time is abandoned and the slots become free.
-- wrong: cancel-keeps-slot starved
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
host("^fieldline", {service_ms = 2000})
traffic{service = "fieldline", rate = 60, requests = 1, post = 0.5,
	cancel = 1, cancel_ms = 300, deadline_ms = 10000, seconds = 25}
run(5)
begin_window()
run(20)
local s = stats("fieldline")
-- Requests that come now find free slots.
traffic{service = "fieldline", rate = 10, requests = 1, deadline_ms = 4000,
	seconds = 10}
local seen = must_hold()
expect("starved", seen.refused == 0, seen.refused)
expect("abandoned", s.abandoned_s <= 0.05 * s.busy_s,
	s.abandoned_s / s.busy_s)
