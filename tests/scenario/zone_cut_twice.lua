-- A zone is cut off and reconnected, twice.
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
usual_traffic("fieldline", 25, 22, {deadline_ms = 12000})
run(4)
for _ = 1, 2 do
	cut("macon-b", true)
	run(4)
	cut("macon-b", false)
	run(3)
end
run(5)
must_hold{broken_flows = true, broken_sessions = true}
