-- An instance is paused for longer than the deadline of its requests, and
-- resumes with outdated state: no expired request is run, and none runs twice.
-- wrong: run-expired expired_runs
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
usual_traffic("fieldline", 60, 30, {deadline_ms = 2000})
run(6)
freeze(1)
run(5)
wake(1)
run(6)
freeze(3)
run(0.8)
wake(3)
run(13)
must_hold()
