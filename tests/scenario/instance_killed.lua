-- An instance is killed. Requests in flight there end as "outcome unknown";
-- none runs twice, and callers register their feeds again after Max-Age.
-- wrong: forget-owner doubled
-- wrong: false-not-run false_not_run
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
usual_traffic("fieldline", 40, 20)
usual_traffic("certvault", 10, 20)
run(8)
kill(2)
run(12)
local seen = must_hold()
-- The 42 slots and their queues limit the requests in flight at one instance of
-- five.
expect("too_many_unknown", seen.unknown <= 30, seen.unknown)
