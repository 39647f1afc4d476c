-- Guards against requests with one prompt segment crashing upstream after upstream.
dofile(scenarios .. "/gateway_words.lua")
local CRASH, SYSTEM, THING = "dead0001", "5c1e07a2", "91bd3f06"
-- A crash tells nothing of one segment; enough to tell it from chance, and one that was on its way.
local CRASHES_MAX = 4
local REQUESTS = 12
local f = start_site { engine = { events = 4, crash_segment = CRASH } }
for i = 4, 14 do start_runner(f, "engine-" .. i, "engines", "dc-" .. i % 3 + 1, { events = 4, crash_segment = CRASH }) end

local function segments(...)
	local own = string.format("%08x", now_ms() & 0xffffffff)
	return { Model = "m", ["Token-Usage"] = "1460,80", ["Prompt-Prefix"] = table.concat({ ... }, ":40,") .. ":40," .. own .. ":9" }
end

local function is_alive(r) return http { url = "http://" .. r.address .. "/stats", timeout_ms = 500 }.status == 200 end

-- Runners that have crashed; the platform removes their entries.
local function bury_crashed()
	for _, r in ipairs(f.runners) do
		if not r.gone and not is_alive(r) then
			r.gone = true
			store_drop(f, "keyed.servers", r.name)
		end
	end
	local n = 0
	for _, r in ipairs(f.runners) do n = n + (r.gone and 1 or 0) end
	return n
end

for _, g in ipairs(f.gateways) do
	wait_for("engine-14 is known", 4000, function()
		return http { url = "http://" .. g.admin .. "/v1/status" }.body:find("engine-14", 1, true)
	end)
	for _ = 1, 4 do expect(send(g, "/stream/calm", { headers = segments(SYSTEM, THING) }).status == 200, "not served while calm") end
end

local sound, served, refused = 0, 0, 0
for i = 1, REQUESTS do
	local g = f.gateways[i % #f.gateways + 1]
	local r = send(g, "/stream/crash", { headers = segments(SYSTEM, CRASH, THING) })
	expect(r.status ~= 200 or r.err, "a request that crashes its upstream was answered: %s", r.status)
	refused = refused + (r.status == 503 and 1 or 0)
	bury_crashed()
	sleep_ms(300)
	for _, o in ipairs(f.gateways) do
		sound = sound + 1
		served = served + (send(o, "/stream/sound", { headers = segments(SYSTEM, THING) }).status == 200 and 1 or 0)
	end
end
local crashed = bury_crashed()
expect(crashed <= CRASHES_MAX, "%d of %d requests with one segment crashed %d upstreams", REQUESTS, REQUESTS, crashed)
expect(refused >= REQUESTS - CRASHES_MAX, "%d of %d were refused", refused, REQUESTS)
expect(served == sound, "%d of %d sound requests with the same customer and other segments were served", served, sound)
