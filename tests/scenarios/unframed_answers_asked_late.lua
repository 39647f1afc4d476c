-- Guards against parts of answers that look complete since an upstream that names no start was asked when the next one was there.
names_start = false
dofile(scenarios .. "/gateway_words.lua")
local ROUNDS = 10
local f = start_site { counter = { report_ms = 200 }, gateways = 1 }
local g, r = f.gateways[1], f["counter-1"]
remove_runner(f, f["counter-2"])
sleep_ms(500)
local bad = {}
for i = 1, ROUNDS do
	set_fault(r, "unframed", -1)
	-- The question after this one's end is open when the process ends.
	local first = http_start { ask(g, "/hold/first") }
	sleep_ms(40)
	set_fault(r, "unframed_stall", -1)
	local second = http_start { ask(g, "/hold/second") }
	sleep_ms(40)
	-- The next one answers within 50 ms, which a wait for the end of this one would take alone.
	local gone = { name = r.name, pid = r.pid }
	kill_process(gone.pid, 9)
	spawn_runner(f, r)
	wait_exit(gone, 2000)
	http_finish(first)
	local a = http_finish(second)[1]
	if a.status == 200 and not a.err then bad[#bad + 1] = string.format("%q", a.body) end
	-- The address may not have been free when it was started.
	if exited(r.pid) then spawn_runner(f, r) end
	announce(f, r, { sequence = i + 1, born = wall_ms() })
	sleep_ms(1500)
end
expect(#bad == 0, "%d of %d look complete: %s", #bad, ROUNDS, table.concat(bad, ", "))
