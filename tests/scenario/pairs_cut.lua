-- A zone that is cut off, paired with each other failure.
dofile("tests/scenario/prelude_faults.lua")
run_pairs(function(one, two)
	return one == "cut" or two == "cut"
end)
