-- The usual load without failures: no request is lost, run twice or refused,
-- and no flow is broken.
-- wrong: match-by-mid-only misrouted
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
usual_traffic("fieldline", 30, 20)
usual_traffic("certvault", 8, 20)
run(20)
local seen = must_hold()
expect("refused", seen.refused == 0, seen.refused)
