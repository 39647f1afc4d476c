-- Guards against chats with one message crashing engine after engine, at nodes with owners.
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

local function is_alive(e) return http { url = "http://" .. e.address .. "/stats", timeout_ms = 500 }.status == 200 end

-- Engines that have crashed since the last call, started again.
local function revive()
	local n = 0
	for _, e in ipairs(f.engines) do
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
