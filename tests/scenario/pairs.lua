-- All pairs of different failures, except those with a zone that is cut off.
dofile("tests/scenario/prelude_faults.lua")
run_pairs(function(one, two)
	return one ~= "cut" and two ~= "cut"
end)
