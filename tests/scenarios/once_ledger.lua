-- Guards against requests that may run once running twice, or after a refusal, while nodes and connections fail.
-- KCF_LEDGER_S, KCF_LEDGER_NODES, KCF_LEDGER_RATE: seconds, nodes and requests a second of a long run by hand.
dofile(scenarios .. "/gateway_words.lua")
local SECONDS = tonumber(os.getenv("KCF_LEDGER_S") or "12")
local NODES = tonumber(os.getenv("KCF_LEDGER_NODES") or "6")
local RATE = tonumber(os.getenv("KCF_LEDGER_RATE") or "300")
math.randomseed(tonumber(os.getenv("KCF_SEED") or "1"))
local f = start_site()
configure(f, 2, { route("/hold/", "non_idempotent", "counter", { max_attempts = 3 }) })
for i = 3, 8 do
	local r = start_runner(f, "counter-" .. i, "counter", "dc-" .. i % 3 + 1, { slots = 64, also = "twin-" .. i })
	announce(f, { name = "twin-" .. i, service = r.service, dc = r.dc, address = r.address, born = r.born })
end
for i = #f.gateways + 1, NODES do
	local g = { name = "g" .. i, dc = "dc-" .. (i - 1) % 3 + 1, callers = address(4, i, 8001), readiness = address(4, i, 8002),
		    directory = address(4, i, 8003), admin = address(4, i, 8004), peers = address(4, i, 8005) }
	f.gateways[i] = g
	start_gateway(f, g)
end
for _, g in ipairs(f.gateways) do wait_for(g.name .. " is ready", 10000, function() return is_ready(g) end) end

local callers = {}
for seed = 1, 3 do
	callers[seed] = start_callers(f, { to = callers_of(f), path = "/hold/x", rate = RATE / 3,
					   duration_ms = SECONDS * 1000, timeout_ms = 1500, seed = seed })
end

local modes = { "shed", "other", "close", "reset", "cut", "extra", "extra_late", "copy", "copy_late", "error", "busy",
		"garbage", "crossed", "stale_refusal", "unframed_reset" }
for _, status in ipairs { 421, 503, 429, 408, 400 } do
	for _, place in ipairs { "behind", "before", "pieces", "with", "after" } do modes[#modes + 1] = "refuse " .. status .. " " .. place end
end
local ends = now_ms() + SECONDS * 1000
while now_ms() < ends do
	for _ = 1, 3 do
		set_fault(f["counter-" .. math.random(8)], modes[math.random(#modes)], math.random(5))
	end
	local g = f.gateways[math.random(#f.gateways)]
	local act = math.random(4)
	if act == 1 then
		kill(g)
		start_gateway(f, g)
	elseif act == 2 then
		freeze(g)
		sleep_ms(math.random(100, 900))
		thaw(g)
	end
	sleep_ms(math.random(50, 300))
end

local promised, sent, answered = {}, 0, 0
for _, p in ipairs(callers) do
	local report = finish_callers(p)
	sent, answered = sent + report.sent, answered + report.whole
	for _, id in ipairs(report.promised) do promised[id] = true end
end
sleep_ms(500)
local ran, twice, broken = 0, {}, {}
local total = {}
for _, r in ipairs(f.runners) do
	for id, n in pairs(seen(r).runs) do total[id] = (total[id] or 0) + n end
end
local refused = 0
for _ in pairs(promised) do refused = refused + 1 end
for id, n in pairs(total) do
	ran = ran + 1
	if n > 1 then twice[#twice + 1] = id end
	if promised[id] then broken[#broken + 1] = id end
end
say("%d requests, %d ran, %d served, %d refused, %d twice, %d after a refusal", sent, ran, answered, refused, #twice, #broken)
expect(#twice == 0, "%d requests ran twice, the first %s", #twice, twice[1])
expect(#broken == 0, "%d requests were refused and ran, the first %s", #broken, broken[1])
expect(answered > sent / 2, "only %d of %d requests were served", answered, sent)
