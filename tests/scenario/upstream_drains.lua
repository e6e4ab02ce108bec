-- A draining upstream gets no new flows after two seconds and keeps the flows
-- that it has.
-- wrong: place-on-draining draining_got_new
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
usual_traffic("fieldline", 40, 30)
usual_traffic("certvault", 8, 30)
run(8)
drain("fieldline-03", "certvault-01")
run(22)
local last = math.max(last_new("fieldline-03"), last_new("certvault-01"))
expect("draining_got_new", last <= 2, last)
local seen = must_hold()
expect("unknown", seen.unknown == 0, seen.unknown)
