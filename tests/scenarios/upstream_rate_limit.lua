-- Guards against more requests at an upstream than the rate that it names, summed over all nodes.
dofile(scenarios .. "/gateway_words.lua")
local LIMIT_PER_S = 4
local LEARN_MS, WINDOW_MS, RUN_MS = 3000, 4000, 10000
local ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_MS / 1000 + 5
local f = start_site { gateways = 5 }
sleep_ms(4500) -- nodes that have just started know few others

-- Load at all nodes; how many requests were served and refused, and the longest Retry-After.
local function load(ms)
	local r = { sent = 0, served = 0, refused = 0, retry_s = 0 }
	local until_ms = now_ms() + ms
	while now_ms() < until_ms do
		local list = {}
		for i, g in ipairs(f.gateways) do list[i] = ask(g, "/safe/x") end
		for _, a in ipairs(http_finish(http_start(list))) do
			r.sent = r.sent + 1
			r.served = r.served + (a.status == 200 and 1 or 0)
			r.refused = r.refused + ((a.status == 429 or a.status == 503) and 1 or 0)
			r.retry_s = math.max(r.retry_s, tonumber((a.headers or {})["Retry-After"] or (a.headers or {})["retry-after"]) or 0)
		end
		sleep_ms(20)
	end
	return r
end

-- The most arrivals within a window, of those after a time.
local function busiest(r, from)
	local at, most = {}, 0
	for _, a in ipairs(seen(r).arrivals) do
		if a.at >= from then at[#at + 1] = a.at end
	end
	table.sort(at)
	for i = 1, #at do
		local n = 0
		for j = i, #at do n = n + (at[j] < at[i] + WINDOW_MS and 1 or 0) end
		most = math.max(most, n)
	end
	return most
end

local limited, free = f["counter-1"], f["counter-2"]
set_fault(limited, "limit" .. LIMIT_PER_S, -1)
local from = now_ms() + LEARN_MS
local r = load(LEARN_MS + RUN_MS)
local most = busiest(limited, from)
say("%d requests, %d served, at most %d in 4 s at the limited upstream (allowed %d)", r.sent, r.served, most, ALLOWED)
expect(most <= ALLOWED, "%d requests in 4 s at an upstream that takes %d a second", most, LIMIT_PER_S)
expect(r.served == r.sent, "%d of %d served while another upstream has room", r.served, r.sent)
local used = 0
for _, a in ipairs(seen(limited).arrivals) do used = used + (a.at >= from and 1 or 0) end
expect(used >= LIMIT_PER_S * RUN_MS / 1000 / 2, "only %d requests in 10 s at an upstream that takes %d a second", used, LIMIT_PER_S)

-- All upstreams of the service are limited: the rest is refused at once.
set_fault(free, "limit" .. LIMIT_PER_S, -1)
from = now_ms() + LEARN_MS
r = load(LEARN_MS + RUN_MS)
for _, u in ipairs { limited, free } do
	most = busiest(u, from)
	expect(most <= ALLOWED, "%s: %d requests in 4 s, all upstreams limited", u.name, most)
end
expect(r.served + r.refused == r.sent, "%d of %d were neither served nor refused", r.sent - r.served - r.refused, r.sent)
expect(r.served >= 2 * LIMIT_PER_S * RUN_MS / 1000 / 2, "%d served within both limits", r.served)

-- The limits end.
for _, u in ipairs { limited, free } do set_fault(u, "", 0) end
load(12000)
r = load(2000)
expect(r.served == r.sent, "%d of %d served after the limits ended", r.served, r.sent)
