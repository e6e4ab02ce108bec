-- Each failure occurs twice in a row, at different instances or upstreams
-- where the function uses its argument.
local faults = {
	kill = function(n) kill(n) end,
	leave = function(n) leave(n) end,
	kill_and_restart = function(n)
		kill(2)
		run(0.5)
		start(2, "macon-a")
	end,
	drain = function(n)
		drain("fieldline-0" .. n)
		run(0.5)
		activate("fieldline-0" .. n)
	end,
	freeze = function(n)
		freeze(1)
		run(4)
		wake(1)
	end,
	die = function(n)
		host("^fieldline-04$", {dead = true})
		run(2)
		host("^fieldline-04$", {dead = false})
	end,
	silence = function(n)
		for id = 1, 5 do
			silence(id, "fieldline-11")
		end
	end,
}
-- Failures that break flows and sessions.
local breaks = {die = true}

local names = {}
for name in pairs(faults) do
	names[#names + 1] = name
end
table.sort(names)

for _, name in ipairs(names) do
	print(name .. " twice")
	deployment{manifest = "examples/ga-central.json", zones = "aabbc"}
	usual_traffic("fieldline", 25, 22, {deadline_ms = 12000})
	run(4)
	faults[name](1)
	run(3)
	faults[name](3)
	run(8)
	must_hold{broken_flows = breaks[name], broken_sessions = breaks[name]}
end
