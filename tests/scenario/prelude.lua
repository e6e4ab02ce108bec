-- Functions for scenarios; run before each of them.

local failed = {}
local manifest

-- Records a failure under `name` unless `holds`; `seen` is the value measured.
function expect(name, holds, seen)
	if not holds then
		failed[#failed + 1] = name
		print(("FAILED %s: %s"):format(name, tostring(seen)))
	end
end

-- Returns the names of the expectations that failed.
function failures()
	return failed
end

-- Starts a simulation with a manifest and one entry instance for each letter
-- of `zones`; "aabbc" starts two in each of the first two zones and one in the
-- third.
function deployment(options)
	manifest = read_file(options.manifest)
	begin(options.policy or "carobtrail", options.fault or wrong)
	publish(manifest)
	local names = zone_names()
	local id = 0
	for letter in options.zones:gmatch(".") do
		id = id + 1
		start(id, names[letter:byte() - ("a"):byte() + 1])
	end
	for name, ms in pairs(options.service_ms or {}) do
		host("^" .. name, {service_ms = ms})
	end
	run(1)
end

local function set_state(name, state)
	local text, count = manifest:gsub(
		'("name": "' .. name:gsub("%-", "%%-") .. '".-"state": ")%a+',
		"%1" .. state)
	assert(count == 1, "upstream not found in the manifest: " .. name)
	manifest = text
end

-- Publishes a manifest in which these upstreams drain.
function drain(...)
	for _, name in ipairs({...}) do
		set_state(name, "draining")
	end
	publish(manifest)
end

-- Publishes a manifest in which these upstreams are active.
function activate(...)
	for _, name in ipairs({...}) do
		set_state(name, "active")
	end
	publish(manifest)
end

-- Publishes a manifest without this upstream.
function remove(name)
	local pattern = '%s*{[^{}]*"name": "' .. name:gsub("%-", "%%-")
		.. '"[^{}]*},?'
	local text, count = manifest:gsub(pattern, "")
	assert(count == 1, "upstream not found in the manifest: " .. name)
	manifest = text:gsub(",(%s*%])", "%1")
	publish(manifest)
end

-- Publishes the manifest after replacing all matches of a Lua pattern.
function edit(pattern, replacement)
	local text, count = manifest:gsub(pattern, replacement)
	assert(count > 0, "the pattern does not match the manifest")
	manifest = text
	publish(manifest)
end

-- Starts the usual load of a service: flows of several requests, most of which
-- are cancelled, and feeds.
function usual_traffic(service, rate, seconds, options)
	options = options or {}
	traffic{service = service, rate = rate, requests = options.requests or 4,
		think_ms = 400, post = options.post or 0.5, cancel = options.cancel or 0.6,
		cancel_ms = options.cancel_ms or 150,
		deadline_ms = options.deadline_ms or 5000,
		retry = options.retry ~= false, seconds = seconds}
	if options.feeds ~= 0 then
		traffic{service = service, rate = options.feeds or 2,
			feed_s = options.feed_s or 20, seconds = seconds}
	end
end

-- Lets open requests finish, checks the ledgers and expects what must hold in
-- every scenario. Counts named in `allowed` may be other than 0. Returns the
-- result of verdict().
function must_hold(allowed)
	allowed = allowed or {}
	close()
	run(20)
	local seen = verdict()
	for _, name in ipairs{"lost", "doubled", "false_not_run", "misrouted",
			"broken_flows", "broken_sessions", "reverts",
			"expired_runs"} do
		expect(name, allowed[name] or seen[name] == 0, seen[name])
	end
	print(("%d calls: %d answered, %d cancelled, %d refused, %d unknown")
		:format(seen.calls, seen.answered, seen.cancelled, seen.refused,
			seen.unknown))
	expect("no_work", seen.answered > 0, seen.answered)
	return seen
end
