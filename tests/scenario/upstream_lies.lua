-- The load reports of one upstream are frozen while it is idle, those of
-- another while it is loaded; a third one reports itself as unhealthy. The
-- upstream that seems idle does not get much more work than others.
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
host("^fieldline-01$", {frozen_report = true})
host("^fieldline-02$", {unhealthy = true})
usual_traffic("fieldline", 30, 40)
run(10)
host("^fieldline-04$", {frozen_report = true})
run(10)
begin_window()
run(20)
local use = stats("fieldline").use
must_hold()
expect("frozen_report", use["fieldline-01"] <= 1.25 * use["fieldline-03"],
	use["fieldline-01"])
