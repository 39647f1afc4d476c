-- Guards against ends of answers without framing whose caller, time or node ends while they wait for their proof.
dofile(scenarios .. "/gateway_words.lua")
local REPORT_MS = 250
local f = start_site { counter = { report_ms = REPORT_MS }, engine = { events = 8, gap_ms = 5, report_ms = REPORT_MS }, gateways = 2 }
local g, other = f.gateways[1], f.gateways[2]
everywhere(f.runners, "unframed", -1)

for _, path in ipairs { "/hold/", "/safe/", "/stream/", "/once/stream/" } do
	local left, late = {}, {}
	for i = 1, 8 do
		left[i] = ask(g, path .. "left", { timeout_ms = 120 })
		late[i] = ask(g, path .. "late", { left = 150 })
	end
	local a, b = http_start(left), http_start(late)
	for _, r in ipairs(http_finish(a)) do expect(r.err, "%s: %s came in time", path, r.status) end
	for _, r in ipairs(http_finish(b)) do
		expect(r.status == 504 or (r.status == 200 and r.err), "%s: %s %s", path, r.status, r.err)
	end
	expect(send(g, path .. "calm").status == 200, "%s: not served any more", path)
end

local load = {}
for i = 1, 12 do load[i] = ask(g, (i % 2 == 0 and "/hold/" or "/once/stream/") .. "stop") end
load = http_start(load)
sleep_ms(120)
stop(g)
for _, r in ipairs(http_finish(load)) do expect(r.status == 200 and not r.err, "at the end: %s %s", r.status, r.err) end
expect(wait_exit(g, 10000) == 0, "the node has not ended well: %s", read_file(f.dir .. "/g1.err"))
expect(send(other, "/hold/calm").status == 200, "the other node does not serve")
