-- An instance joins: the upstreams stay evenly loaded, and no request ends as
-- "outcome unknown".
deployment{manifest = "examples/ga-central.json", zones = "aabb"}
usual_traffic("fieldline", 40, 30)
run(8)
start(9, "warner-c")
run(10)
begin_window()
run(12)
local imbalance = stats("fieldline").imbalance
local seen = must_hold()
expect("unknown", seen.unknown == 0, seen.unknown)
expect("imbalance", imbalance <= 1.25, imbalance)
