-- Guards against whole answers without framing that fail while their upstream takes long to name its start.
dofile(scenarios .. "/gateway_words.lua")
local CALM, REPORT_MS = 6, 600
local f = start_site { engine = { events = 8, gap_ms = 5, report_ms = REPORT_MS }, counter = { report_ms = REPORT_MS } }
local bad = {}
everywhere(f.runners, "unframed", -1)
for _, path in ipairs { "/safe/", "/hold/", "/stream/", "/once/stream/" } do
	for i = 1, CALM do
		local id = fresh_id()
		local a = send(f.gateways[1], path .. i, { id = id })
		if a.status ~= 200 or a.err or runs_of(f, id) ~= 1 then
			bad[#bad + 1] = string.format("%s: %s %s, %d runs", path, a.status, a.err, runs_of(f, id))
		end
	end
end
expect(#bad == 0, "%d of %d: %s", #bad, 4 * CALM, table.concat(bad, "\n"))
