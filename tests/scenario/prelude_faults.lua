-- Failures that can be combined into pairs. Each function causes one of them.

faults = {
	kill = function() kill(2) end,
	join = function() start(9, "warner-c") end,
	leave = function() leave(3) end,
	drain = function() drain("fieldline-03", "certvault-02") end,
	cold = function()
		host("^fieldline-05$", {cold_s = 5, cold_factor = 10})
	end,
	shed = function() host("^fieldline-06$", {shedding = true}) end,
	die = function() host("^fieldline-08$", {dead = true}) end,
	lie = function()
		host("^fieldline-(09|10)$", {frozen_report = true})
		host("^fieldline", {unhealthy = true})
	end,
	silence = function()
		for id = 1, 5 do
			silence(id, "fieldline-11")
		end
	end,
	network = function()
		network{loss = 0.02, duplicate = 0.05, reorder = 0.1}
	end,
	cut = function() cut("macon-a", true) end,
}

-- Failures that may break flows and sessions: those of an upstream that dies
-- are lost, and those of an upstream in a zone that is cut off cannot go on if
-- their caller reaches the other side.
breaks = {die = true, cut = true}


local function run_pair(one, two)
	print(one .. " and " .. two)
	deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
	usual_traffic("fieldline", 25, 14, {deadline_ms = 8000})
	usual_traffic("certvault", 5, 14, {deadline_ms = 8000})
	run(4)
	faults[one]()
	run(0.7)
	faults[two]()
	run(5)
	cut("macon-a", false)
	network{loss = 0, duplicate = 0, reorder = 0}
	run(4)
	local broken = breaks[one] or breaks[two]
	must_hold{broken_flows = broken, broken_sessions = broken}
end

-- Runs each pair of failures that `wanted` accepts in a simulation of its own.
function run_pairs(wanted)
	local names = {}
	for name in pairs(faults) do
		names[#names + 1] = name
	end
	table.sort(names)
	for i = 1, #names do
		for j = i + 1, #names do
			if wanted(names[i], names[j]) then
				run_pair(names[i], names[j])
			end
		end
	end
end
