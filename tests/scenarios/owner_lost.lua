-- The owner of engines dies under load, and one is frozen: the requests that
-- other nodes had handed to it go on, and new ones wait for the next owner.
-- Nothing is refused, and nobody waits longer than a request may wait for an
-- owner.
local OWNER_WAIT_MS = 8000
local f = start_fleet { engine = { token_ms = 20 } }

-- All requests enter at one node, which hands them on.
local calm_ms = 0
local function run(what, seed, trouble)
	local owner = owner_of(f, SERVICE)
	local entry = other_than(f, owner)
	local load = start_load(entry, { model = MODEL, service = SERVICE, keys = KEY, rate = 40, duration_ms = 12000, chats = 300,
					 max_tokens = 30, stream = true, any = true, seed = seed })
	sleep_ms(3000)
	if trouble then trouble(owner) end
	local report = finish_load(load)
	local count, text = refusals(report)
	say("%s: ok %d of %d, longest %.0f ms; %s", what, report.ok, report.sent, report.total_ms.max, text)
	expect(count == 0 and report.ok == report.sent, "%s: %d of %d answered: %s", what, report.ok, report.sent, text)
	expect(report.total_ms.max <= calm_ms + OWNER_WAIT_MS, "%s: an answer took %.0f ms, without trouble %.0f ms\n%s",
	       what, report.total_ms.max, calm_ms, operator(entry, "GET", "/v1/explain/" .. report.slowest).body)
	return report.total_ms.max
end

calm_ms = run("no trouble", 3)
run("owner killed", 1, function(owner)
	kill(owner)
	owner.gone = true
end)
run("owner frozen", 2, function(owner)
	freeze(owner)
	sleep_ms(6000)
	thaw(owner)
end)
