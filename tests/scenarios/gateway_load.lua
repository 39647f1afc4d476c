-- Many callers at once, through all nodes: every answer is whole, no upstream
-- gets more than its slots for long, and nothing runs twice.
dofile(scenarios .. "/gateway_words.lua")
local f = start_site()
local to = callers_of(f)

local plain = start_callers(f, { to = to, path = "/safe/x", rate = 150, duration_ms = 4000, seed = 1 })
local holds = start_callers(f, { to = to, path = "/hold/x", rate = 40, duration_ms = 4000, seed = 2 })
local streams = start_callers(f, { to = to, path = "/stream/x", rate = 60, duration_ms = 4000, seed = 3 })

local function all_whole(what, r)
	expect(r.whole == r.sent and r.sent > 0, "%s: %s", what, json_encode(r))
	expect(r.ms.p99 <= 1000, "%s: p99 %.0f ms", what, r.ms.p99)
end

local p, h, s = finish_callers(plain), finish_callers(holds), finish_callers(streams)
all_whole("plain", p)
all_whole("holds", h)
all_whole("streams", s)
expect(s.events == 5 * s.sent, "%d events of %d streams", s.events, s.sent)
for _, r in ipairs(f.runners) do
	for id, n in pairs(seen(r).runs) do expect(n == 1, "%s ran %d times at %s", id, n, r.name) end
end
