-- An availability zone is cut off from the others and from the platform for
-- ten seconds, five times. Both sides go on serving, and balance the load
-- together again afterwards. The mean imbalance of five windows is checked: in
-- one window of 14 s, each upstream has only about 75 random service times,
-- whose differences make up most of the imbalance.
-- wrong: forget-owner doubled 2
-- seed: 8
local CUTS = 5
deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
usual_traffic("fieldline", 30, 40 * CUTS, {deadline_ms = 8000})
local imbalance = 0
for _ = 1, CUTS do
	run(8)
	cut("warner-c", true)
	run(10)
	cut("warner-c", false)
	run(8)
	begin_window()
	run(14)
	imbalance = imbalance + stats("fieldline").imbalance / CUTS
end
-- Feeds whose caller reaches only instances on the other side of the cut may
-- break.
must_hold{broken_flows = true}
expect("imbalance", imbalance <= 1.25, imbalance)
