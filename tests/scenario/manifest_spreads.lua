-- Generations reach the instances at different times, while one instance is
-- paused and one zone is cut off. In the end all instances have the newest
-- generation, and none applied an older one after a newer one.
-- wrong: revert reverts
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
usual_traffic("fieldline", 20, 30, {post = 1, deadline_ms = 20000})
run(5)
drain("fieldline-01")
run(0.1)
drain("fieldline-02")
run(0.1)
activate("fieldline-01")
run(3)
local took, behind = in_force()
expect("behind", behind == 0, behind)
expect("slow", took <= 3, took)
freeze(2)
cut("macon-b", true)
drain("fieldline-04")
run(0.3)
activate("fieldline-02")
run(5)
wake(2)
cut("macon-b", false)
run(3)
took, behind = in_force()
expect("behind", behind == 0, behind)
run(15)
must_hold{broken_flows = true}
