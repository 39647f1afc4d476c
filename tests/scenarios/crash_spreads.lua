-- Guards against chats with one message, or one call, crashing upstream after upstream, at nodes with owners.
local CRASH = "a message that crashes"
-- Without a sign that an answer had begun it takes one more crash to tell it from chance.
local CRASHES_MAX = { [true] = 3, [false] = 4 }
local REQUESTS = 8
nautica()
local f = start_fleet { example = "nautica", nodes = 3 }
for _, e in ipairs(f.engines) do fault(e, { crash_text = CRASH }) end

local function ask(n, stream, own, ...)
	local list = { { role = "system", content = "You write listings." } }
	for _, text in ipairs { ... } do list[#list + 1] = { role = "user", content = text } end
	list[#list + 1] = { role = "user", content = own }
	return chat(n, { chat = own, timeout_ms = 5000, body = json_encode { model = MODEL, stream = stream, max_tokens = 3, messages = list } })
end

for _, u in ipairs(f.services) do fault(u, { crash_text = CRASH }) end

local function is_alive(e) return http { url = "http://" .. e.address .. "/stats", timeout_ms = 500 }.status == 200 end

-- Upstreams that have crashed since the last call, started again.
local function revive(list)
	local n = 0
	for _, e in ipairs(list or f.engines) do
		if not is_alive(e) then
			n = n + 1
			restart(e)
			fault(e, { crash_text = CRASH })
		end
	end
	return n
end

for _, stream in ipairs { true, false } do
	local crashing = CRASH .. (stream and " streams" or " whole answers")
	local crashes, sound, served, at_once = 0, 0, 0, 0
	for i = 1, REQUESTS do
		local n = f.nodes[i % #f.nodes + 1]
		local r = ask(n, stream, "turn " .. i, "an earlier turn", crashing)
		expect(r.status ~= 200 or r.err, "stream=%s: a chat that crashes its engine was answered: %s", stream, r.status)
		at_once = at_once + (problem(r).reason == "held_back" and problem(r).ran == "no" and 1 or 0)
		crashes = crashes + revive()
		sleep_ms(1500)
		for _, o in ipairs(f.nodes) do
			sound = sound + 1
			local a = ask(o, stream, "other turn " .. i .. o.name, "an earlier turn")
			served = served + (a.status == 200 and not a.err and 1 or 0)
		end
	end
	say("stream=%s: %d crashes, %d held back, %d of %d sound ones served", stream, crashes, at_once, served, sound)
	expect(crashes <= CRASHES_MAX[stream], "stream=%s: %d chats crashed %d engines", stream, REQUESTS, crashes)
	expect(at_once >= REQUESTS - CRASHES_MAX[stream], "stream=%s: %d of %d were held back", stream, at_once, REQUESTS)
	expect(served == sound, "stream=%s: %d of %d sound chats were served", stream, served, sound)
end

-- The same call of a plain service, again and again; it answers at once or not at all.
local crashes, sound, served, at_once = 0, 0, 0, 0
for i = 1, REQUESTS do
	local n = f.nodes[i % #f.nodes + 1]
	local r = call(n, PLAIN, "POST", "/lookups", { body = CRASH, timeout_ms = 5000 })
	expect(r.status ~= 200, "a call that crashes its upstream was answered")
	at_once = at_once + (problem(r).reason == "held_back" and problem(r).ran == "no" and 1 or 0)
	crashes = crashes + revive(f.services)
	sleep_ms(1500)
	for _, o in ipairs(f.nodes) do
		sound = sound + 1
		served = served + (call(o, PLAIN, "POST", "/lookups", { body = "sound " .. i .. o.name, timeout_ms = 5000 }).status == 200 and 1 or 0)
	end
end
say("plain calls: %d crashes, %d held back, %d of %d sound ones served", crashes, at_once, served, sound)
expect(crashes <= CRASHES_MAX[true], "one call crashed %d upstreams", crashes)
expect(at_once >= REQUESTS - CRASHES_MAX[true], "%d of %d calls were held back", at_once, REQUESTS)
expect(served == sound, "%d of %d sound calls were served", served, sound)
