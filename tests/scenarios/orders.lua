-- Orders to engines under fencing numbers: each engine loads the version that
-- the configuration names, one that ignores fences never goes back, and loads
-- keep to the weight store's rate; an owner is killed, another frozen.
local RATE = 4
local f = start_fleet {
	edit = function(resources)
		for _, r in ipairs(resources) do
			if r.name == "site" then r.body.weight_loads_per_s = RATE end
			if r.kind == "Upstream" and r.name:match("%-[13579]$") then r.body.fencing = false end
		end
	end,
}
local n = f.nodes[1]
for _, e in ipairs(f.engines) do
	fault(e, { models = { [MODEL] = "1" }, ignore_fences = e.name:match("%-[13579]$") and 1 or 0 })
end
sleep_ms(1500)

local function wait_version(version, ms)
	wait_for("all engines have version " .. version, ms, function()
		for _, e in ipairs(f.engines) do
			if stats(e).models[MODEL] ~= version then return false end
		end
		return true
	end)
end

change(n, "Model", MODEL, { version = "2" })
sleep_ms(1000)
kill(f.nodes[4])
wait_version("2", 60000)
change(n, "Model", MODEL, { version = "3" })
sleep_ms(700)
freeze(f.nodes[5])
sleep_ms(2000)
change(n, "Model", MODEL, { version = "4" })
sleep_ms(6000)
thaw(f.nodes[5])
wait_version("4", 90000)
sleep_ms(3000)

local times = {}
for _, e in ipairs(f.engines) do
	local fence, version = 0, 0
	for _, o in ipairs(stats(e).orders) do
		expect(o.fence >= fence, "%s: fence %d after %d", e.name, o.fence, fence)
		expect(tonumber(o.version) >= version, "%s: version %s after %d", e.name, o.version, version)
		fence, version = o.fence, tonumber(o.version)
		times[#times + 1] = o.at
	end
	expect(stats(e).models[MODEL] == "4", "%s ends with version %s", e.name, stats(e).models[MODEL])
end
table.sort(times)
-- Turns are 1/RATE apart; a node looks for its turn every 500 ms.
for i = 1, #times do
	local j = i
	while j < #times and times[j + 1] < times[i] + 2000 do j = j + 1 end
	expect(j - i + 1 <= 2 * RATE + 2, "%d loads within 2 s", j - i + 1)
end
say("%d loads", #times)
