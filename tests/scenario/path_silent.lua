-- The open paths to an upstream lose every packet from now on; paths that are
-- opened later work. Feeds and sessions stay on their upstream and use a new
-- path.
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
usual_traffic("fieldline", 30, 40, {feeds = 4, deadline_ms = 8000})
run(8)
for id = 1, 5 do
	silence(id, "fieldline-01")
end
run(32)
must_hold()
