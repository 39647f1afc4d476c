-- Guards against a prompt that is read again at a node that has not seen it, although another node knows a warm runner.
dofile(scenarios .. "/gateway_words.lua")
local PROMPTS = 8
local f = start_site { engine = { pace = 250 } }
local warm = f["engine-1"]

local function metric(g, name)
	local body = http { url = "http://" .. g.admin .. "/metrics", timeout_ms = 500 }.body or ""
	return tonumber(body:match("\n" .. name:gsub("[%p]", "%%%0") .. " (%d+)"))
end

-- Names of the runners that got the requests for all prompts through a node.
local function places_of(g)
	local places = {}
	for i = 1, PROMPTS do
		local id = fresh_id()
		local r = send(g, "/stream/p", { id = id, headers = { Model = "m", ["Token-Usage"] = "900,10",
			["Prompt-Prefix"] = "p" .. i .. ":800,own" .. id .. ":100" } })
		expect(r.status == 200, "prompt %d: %s", i, r.status)
		for _, runner in ipairs(f.runners) do
			if runs_of({ runners = { runner } }, id) > 0 then places[#places + 1] = runner.name end
		end
	end
	return places
end

local function expect_warm(g)
	for i, name in ipairs(places_of(g)) do
		expect(name == warm.name, "%s had prompt %d read at %s", g.name, i, name)
	end
	expect(metric(g, 'kcf_warmth_used_total{for="placement"}') >= PROMPTS, "%s counts no use", g.name)
end

-- All prompts are read at the only runner, then others come, which are the first in order for most prompts.
for i = 2, 3 do store_drop(f, "keyed.servers", "engine-" .. i) end
sleep_ms(2000)
places_of(f.gateways[1])
for i = 2, 3 do
	wait_for("another node learns the prompts", 3000, function()
		return metric(f.gateways[i], 'kcf_warmth_pairs_total{change="learnt"}') >= PROMPTS
	end)
	announce(f, f["engine-" .. i])
end
sleep_ms(2000)
expect_warm(f.gateways[2])

-- A node that starts asks once it has heard of a pace.
local late = f.gateways[3]
kill(late)
sleep_ms(500)
start_gateway(f, late)
wait_for("it is ready", 8000, function() return is_ready(late) end)
send(late, "/stream/q", { headers = { Model = "m" } })
wait_for("it learns the prompts", 3000, function()
	return (metric(late, 'kcf_warmth_pairs_total{change="learnt"}') or 0) >= PROMPTS
end)
expect_warm(late)

-- Once there is nothing new, nothing is told.
sleep_ms(1500)
local before = metric(f.gateways[2], 'kcf_warmth_pairs_total{change="told"}')
sleep_ms(1500)
expect(metric(f.gateways[2], 'kcf_warmth_pairs_total{change="told"}') == before, "pairs are told without end")
