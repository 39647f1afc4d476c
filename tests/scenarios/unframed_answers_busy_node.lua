-- Guards against parts of answers that look complete since a node was busy while an upstream that names no start started again.
names_start = false
dofile(scenarios .. "/gateway_words.lua")
local ROUNDS, BUSY_MS = 6, 40
local f = start_site { gateways = 1 }
local g, r = f.gateways[1], f["counter-1"]
remove_runner(f, f["counter-2"])
sleep_ms(500)
local bad = 0
for i = 1, ROUNDS do
	set_fault(r, "unframed_stall", -1)
	local load = http_start { ask(g, "/hold/x") }
	sleep_ms(15)
	freeze(g)
	local gone = { name = r.name, pid = r.pid }
	kill_process(gone.pid, 9)
	spawn_runner(f, r)
	sleep_ms(BUSY_MS)
	thaw(g)
	wait_exit(gone, 2000)
	-- The address may not have been free when it was started.
	if exited(r.pid) then spawn_runner(f, r) end
	local a = http_finish(load)[1]
	if a.status == 200 and not a.err then bad = bad + 1 end
	announce(f, r, { sequence = i + 1, born = wall_ms() })
	sleep_ms(1500)
end
expect(bad == 0, "%d of %d look complete", bad, ROUNDS)
