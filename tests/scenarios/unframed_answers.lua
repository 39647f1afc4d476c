-- Guards against parts of answers without framing that look complete though their upstream's process ended.
dofile(scenarios .. "/gateway_words.lua")
local EVENTS, HALF, CALM = 8, 4, 24
local f = start_site { engine = { events = EVENTS, gap_ms = 5 }, retry_ratio = 10, retry_burst = 300 }
local g, other = f.gateways[1], f.gateways[2]
local engines = { f["engine-1"], f["engine-2"], f["engine-3"] }
local counters = { f["counter-1"], f["counter-2"] }
local bad = {}
local function check(ok, ...)
	if not ok then bad[#bad + 1] = string.format(...) end
end

local function is_whole(path, id, body)
	if path:find("/stream/") then return body == events_of(id, 1, EVENTS) end
	return body:gsub('"from":"[%w-]+"', "") == '{,"id":"' .. id .. '"}'
end

-- Under its id; it checks in at once or not at all.
local function start_again(r, checks_in)
	r.born = wall_ms()
	for i, w in ipairs(r.argv) do
		if w == "--born" then r.argv[i + 1] = tostring(r.born) end
	end
	spawn_runner(f, r)
	wait_for(r.name .. " answers", 5000, function()
		return http { url = "http://" .. r.address .. "/stats", timeout_ms = 500 }.status == 200
	end)
	if checks_in then announce(f, r) end
end

local cases = {
	-- path, upstreams, outcome
	{ "/safe/", counters, "whole" },
	{ "/hold/", counters, "failed" },
	{ "/stream/", engines, "whole" },
	{ "/once/stream/", engines, "cut" },
}

-- The process ends, and the next one answers before its first check-in, after it or not at all.
for _, comes in ipairs { "gone", "back", "known" } do
	for _, c in ipairs(cases) do
		local path, list, outcome = table.unpack(c)
		local id = fresh_id()
		everywhere(list, "unframed_stall", -1)
		local load = http_start { ask(g, path .. "x", { id = id }) }
		local r = runner_of(list, id)
		everywhere(list, "", 0)
		sleep_ms(60)
		kill(r)
		if comes ~= "gone" then start_again(r, comes == "known") end
		local a = http_finish(load)[1]
		local what = string.format("%s, its upstream %s", path, comes)
		if outcome == "whole" then
			check(a.status == 200 and not a.err and is_whole(path, id, a.body), "%s: %s %s %q", what, a.status, a.err, a.body)
		elseif outcome == "failed" then
			check(a.status == 502, "%s: %s %q", what, a.status, a.body)
			check(runs_of({ runners = { r == list[1] and list[2] or list[1] } }, id) == 0, "%s: runs at another upstream", what)
		else
			check(a.status == 200 and a.err and a.body == events_of(id, 1, HALF), "%s: %s %s %q", what, a.status, a.err, a.body)
		end
		if comes == "gone" then start_again(r, true) end
		if comes == "back" then announce(f, r) end
		wait_for("requests are served again", 6000, function() return send(g, path .. "calm").status == 200 end)
		sleep_ms(500)
	end
end

-- Upstreams that go on: each answer is whole, at its only try.
everywhere(engines, "unframed", -1)
everywhere(counters, "unframed", -1)
for _, c in ipairs(cases) do
	for i = 1, CALM do
		local id = fresh_id()
		local a = send(i % 2 == 0 and g or other, c[1] .. i, { id = id })
		check(a.status == 200 and not a.err and is_whole(c[1], id, a.body), "%s, calm: %s %s %q", c[1], a.status, a.err, a.body)
		check(runs_of(f, id) == 1, "%s, calm: %d runs", c[1], runs_of(f, id))
	end
end
expect(#bad == 0, "%s", table.concat(bad, "\n"))
