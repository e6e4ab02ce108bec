-- Measures balance, goodput, and flows broken by changes, for both deployments
-- and four load balancing policies.

local deployments = {
	{name = "ga-central", manifest = "examples/ga-central.json",
		zones = "aabbc", service = "fieldline", slots = 42, other =
		"certvault", other_slots = 12, joins = "macon-a"},
	{name = "hou", manifest = "examples/hou.json", zones = "abcda",
		service = "berthdesk", slots = 28, other = "manifestyard",
		other_slots = 8, joins = "hou-b"},
}
local policies = {"carobtrail", "two-choices", "consistent-hashing",
	"round-robin"}

local SERVICE_S = 0.2
-- Mean time that a request holds a slot, with the usual share of cancellations.
local HOLD_S = 0.131
local LOAD = 0.6 -- share of the slots in use
local REQUESTS = 4

local function begin_deployment(d, policy)
	deployment{manifest = d.manifest, zones = d.zones, policy = policy}
end

local function load_services(d, seconds)
	local per_slot = LOAD / HOLD_S / REQUESTS
	usual_traffic(d.service, d.slots * per_slot, seconds)
	usual_traffic(d.other, d.other_slots * per_slot, seconds, {feeds = 1})
end

local function put(d, policy, figure, value)
	record{deployment = d.name, policy = policy, figure = figure,
		value = value}
end

local function put_broken(d, policy, figure)
	close()
	run(20)
	local seen = verdict()
	put(d, policy, figure, seen.broken_flows + seen.broken_sessions)
	return seen
end

local function steady(d, policy)
	begin_deployment(d, policy)
	load_services(d, 50)
	run(10)
	begin_window()
	run(40)
	local s, other = stats(d.service), stats(d.other)
	put(d, policy, "imbalance steady", s.imbalance)
	put(d, policy, "imbalance steady, small service", other.imbalance)
	put(d, policy, "abandoned share of slot time",
		s.abandoned_s / s.busy_s)
	local seen = put_broken(d, policy, "broken flows steady")
	put(d, policy, "refused steady", seen.refused / seen.calls)
end

-- Applies a change after 10 s, and measures imbalance from 10 s after it.
local function change(d, policy, name, apply)
	begin_deployment(d, policy)
	load_services(d, 60)
	run(10)
	apply(d)
	run(10)
	begin_window()
	run(40)
	put(d, policy, "imbalance after " .. name, stats(d.service).imbalance)
	local seen = put_broken(d, policy, "broken flows, " .. name)
	put(d, policy, "outcome unknown, " .. name, seen.unknown)
end

local function join(d)
	start(9, d.joins)
end

local function leave_one()
	leave(2)
end

local function kill_one()
	kill(2)
end

local function drain_one(d)
	drain(d.service .. "-03")
end

local function overload(d, policy, times, requests)
	begin_deployment(d, policy)
	traffic{service = d.service, rate = times * d.slots / SERVICE_S /
		requests, requests = requests, think_ms = 400, post = 0.5,
		deadline_ms = 2000, retry = true, seconds = 20}
	run(6)
	begin_window()
	run(14)
	local s = stats(d.service)
	local kind = requests > 1 and " sessions" or ""
	put(d, policy, ("goodput %dx%s"):format(times, kind),
		s.useful_s / (s.slots * s.seconds))
end

local function leaving_upstream(d, policy)
	begin_deployment(d, policy)
	load_services(d, 30)
	run(10)
	drain_one(d)
	run(20)
	put(d, policy, "seconds until a leaving upstream gets nothing new",
		last_new(d.service .. "-03"))
end

for _, d in ipairs(deployments) do
	for _, policy in ipairs(policies) do
		steady(d, policy)
		change(d, policy, "join", join)
		change(d, policy, "leave", leave_one)
		change(d, policy, "drain", drain_one)
		change(d, policy, "death", kill_one)
		for times = 1, 3 do
			overload(d, policy, times, 1)
		end
		overload(d, policy, 3, 4)
		leaving_upstream(d, policy)
	end
end
