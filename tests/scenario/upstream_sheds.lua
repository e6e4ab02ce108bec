-- An upstream sheds all requests. New work runs elsewhere, and requests of
-- flows that are assigned to the upstream are refused as "not run" at once.
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
usual_traffic("fieldline", 30, 30)
run(8)
host("^fieldline-05$", {shedding = true})
run(8)
begin_window()
run(4)
local shed = stats("fieldline").shed
host("^fieldline-05$", {shedding = false})
run(10)
must_hold()
expect("sheds_go_on", shed <= 40, shed)
