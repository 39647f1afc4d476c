-- Guards against a question to an upstream whose entry was replaced, under the same start, while an end waited for it.
dofile(scenarios .. "/gateway_words.lua")
local f = start_site { counter = { report_ms = 600 }, gateways = 1 }
local g, r = f.gateways[1], f["counter-1"]
remove_runner(f, f["counter-2"])
sleep_ms(500)
set_fault(r, "unframed", -1)
for round = 1, 3 do
	local first = http_start { ask(g, "/hold/first") }
	sleep_ms(400)
	announce(f, r, { version = "v" .. 2 * round, sequence = 2 * round })
	sleep_ms(200)
	local second = http_start { ask(g, "/hold/second") }
	http_finish(first)
	-- The entry of the first one is gone; other memory takes its place.
	for i = 1, 8 do announce(f, r, { version = "v" .. 2 * round + 1, sequence = 2 * round + 1, zone = "dc-" .. i }) end
	http_finish(second)
	expect(not exited(g.pid), "the node has ended: %s", read_file(f.dir .. "/g1.err"))
	wait_for("requests are served", 6000, function() return is_ready(g) end)
end
