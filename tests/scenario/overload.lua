-- Three times the load that the slots can process, from callers that retry
-- after Max-Age: the slots stay busy, and no upstream has to shed load.
-- wrong: ignore-slots shed
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
traffic{service = "fieldline", rate = 630, requests = 1, post = 0.5,
	deadline_ms = 2000, retry = true, seconds = 14}
run(6)
begin_window()
run(8)
local s = stats("fieldline")
local goodput = s.useful_s / (s.slots * s.seconds)
must_hold()
expect("goodput", goodput >= 0.95, goodput)
expect("shed", s.shed == 0, s.shed)
