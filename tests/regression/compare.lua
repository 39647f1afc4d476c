-- Compares journal entries of whole scores with recorded figures, or records
-- them. Globals: entries (files), recorded or record (file).

-- The users' bench calls less than this noise, for a site and for a day's price.
local WORTH_NOISE, PRICE_NOISE = 0.03, 0.03

local function figures(file)
	local e = json_decode(assert(read_file(file), file))
	local days = {}
	for _, d in ipairs(e.days) do
		local prices, rules = {}, 0
		for _ in pairs(d.rules or {}) do rules = rules + 1 end
		for _, p in ipairs(d.prices) do
			if p[3] > 0 then prices[p[1]] = p[3] end
		end
		days[d.name] = { worth = d.G, slot = d.slot, gate = d.gate, rules = rules, prices = prices }
	end
	-- Entries of some sites name it in the command alone.
	local site = type(e.site) == "string" and e.site or e.argv[1]:match("([^/]+)%.toml$")
	return site, { score = e.score, gate = e.figures.gate, id = e.id, head = e.env.head, days = days }
end

-- Mean worth over the standard days with trouble.
local function troubled(site)
	local sum, n = 0, 0
	for name, d in pairs(site.days) do
		if not name:find("^fresh") and d.slot ~= "quiet" then sum, n = sum + d.worth, n + 1 end
	end
	return n > 0 and sum / n or 0
end

local function each_entry(fn)
	for file in entries:gmatch("%S+") do
		local e = json_decode(assert(read_file(file), file))
		if e.cmd == "score" then fn(figures(file)) end
	end
end

if record then
	local old = read_file(record)
	local all = old and #old > 0 and json_decode(old) or {}
	each_entry(function(name, site)
		all[name] = site
		say("recorded %s: score %.3f, worth %.3f (%s)", name, site.score, troubled(site), site.id)
	end)
	local out = assert(io.open(record, "w"))
	out:write(json_encode(all), "\n")
	out:close()
	return
end

local fallen = {}
local function fell(fmt, ...) fallen[#fallen + 1] = string.format(fmt, ...) end
local known = json_decode(assert(read_file(recorded), recorded))
each_entry(function(name, site)
	local before = known[name]
	if site.gate ~= 1 then fell("%s: gate failed", name) end
	for day, d in pairs(site.days) do
		if d.rules > 0 then fell("%s %s: %d rules broken", name, day, d.rules) end
	end
	if not before then
		say("%s: no figures recorded", name)
		return
	end
	say("%s: score %.3f, worth %.3f; recorded %.3f, %.3f", name, site.score, troubled(site), before.score, troubled(before))
	if troubled(site) < troubled(before) - WORTH_NOISE then fell("%s: worth over the days with trouble", name) end
	for day, d in pairs(site.days) do
		local b = before.days[day]
		for price, v in pairs(b and d.prices or {}) do
			if v > (b.prices[price] or 0) + PRICE_NOISE then
				fell("%s %s: %s cost %.3f, recorded %.3f", name, day, price, v, b.prices[price] or 0)
			end
		end
	end
end)
for _, line in ipairs(fallen) do say("FELL %s", line) end
expect(#fallen == 0, "%d fell", #fallen)
