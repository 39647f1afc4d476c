-- An engine that leaves by plan hands its cached prefixes on: its chats find
-- them where they go next.
local f = start_fleet { engine = { cache_tokens = 1000000, token_ms = 2 } }
local n = f.nodes[1]
local text = string.rep("long report ", 200)

local function turn(i)
	local r = chat(n, { chat = "warm-" .. i, text = text, tokens = 2 })
	expect(r.status == 200, "chat %d: %s", i, r.body)
	return r.headers["X-Upstream"], tonumber(r.headers["X-Cached-Tokens"])
end

local homes, leaving = {}, f.engines[3].name
local moved = {}
for i = 1, 150 do
	homes[i] = turn(i)
	if homes[i] == leaving then moved[#moved + 1] = i end
end
expect(#moved > 3, "only %d chats on the engine", #moved)
change(n, "Upstream", leaving, { state = "leaving" })
sleep_ms(3000)
local warm = 0
for _, i in ipairs(moved) do
	local upstream, cached = turn(i)
	expect(upstream ~= leaving, "chat %d went to the leaving engine", i)
	if cached > 0 then warm = warm + 1 end
end
say("%d of %d chats of the leaving engine are warm at the next", warm, #moved)
expect(warm >= 0.9 * #moved, "%d of %d chats are warm", warm, #moved)
