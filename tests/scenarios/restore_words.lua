-- Words for a store that comes back as an older copy, under streams of upstreams with software versions.
HEARTBEAT_MS = 1200
COPY_AGE_MS = 3000
SETTLED_MS = 6000 -- nodes have read what is in force, and the record of versions is written
local STREAM = { events = 100, gap_ms = 60, slots = 64 }

local function options(version)
	local o = { version = version }
	for k, v in pairs(STREAM) do o[k] = v end
	o.events = upstream_events or o.events -- set by a scenario before
	return o
end

local function streams_only() return { route("/stream/", "streaming", "engines", { stream_resume = true, timeout_ms = 12000 }) } end

-- A fleet of its own for each play, since versions are known for 30 s.
-- before_start is called with the site before its nodes start.
function fresh_site(count, before_start)
	local reports = f and f.callers
	if f then
		for _, p in ipairs(f.gateways) do kill(p) end
		for _, p in ipairs(f.runners) do
			if p.pid then kill(p) end
		end
		kill(f.store)
	end
	f = start_site { gateways = count, retry_burst = 1000, engine = options("v1"), each = before_start }
	f.callers = reports
	configure(f, 2, streams_only())
	fault(f.store, { heartbeat_ms = HEARTBEAT_MS })
	sleep_ms(SETTLED_MS)
end

function add_version(version, name)
	local r = start_runner(f, name or "engine-" .. version, "engines", "dc-1", options(version))
	r.version = version
	announce(f, r, { version = version, slot_count = STREAM.slots })
	return r
end

function take_copy(site) fault((site or f).store, { copy = true }) end

-- The store is away, and back as its copy; the operator writes the configuration again, upstreams their entries.
function restore(away_ms)
	fault(f.store, { busy = 1 })
	sleep_ms(away_ms)
	fault(f.store, { restore = true })
	fault(f.store, { busy = 0 })
	configure(f, 2, streams_only())
end

function begin_load(seed, ms, rate, list)
	return start_callers(f, { to = callers_of(f, list), path = "/stream/long", rate = rate, duration_ms = ms, timeout_ms = 12000, tries = 40,
				  pause_ms = 250, seed = seed, distinct = "", resume = "" })
end

function check_in(list)
	for _, r in ipairs(list) do announce(f, r, { version = r.version, slot_count = STREAM.slots }) end
end

-- Upstreams end, and start again at their addresses in another version, under their ids or under new ones; they do not check in yet.
function start_unannounced_as(list, version, renamed)
	for _, r in ipairs(list) do
		kill(r)
		if renamed then
			store_drop(f, "keyed.servers", r.name)
			r.name = r.name:match("^[^.]+") .. "." .. wall_ms()
		end
		r.born = wall_ms()
		for i, word in ipairs(r.argv) do
			if word == "--id" then r.argv[i + 1] = r.name end
			if word == "--version" then r.argv[i + 1] = version end
			if word == "--born" then r.argv[i + 1] = tostring(r.born) end
		end
		spawn_runner(f, r)
	end
	for _, r in ipairs(list) do
		wait_for(r.name .. " answers", 5000, function()
			return http { url = "http://" .. r.address .. "/stats", timeout_ms = 500 }.status == 200
		end)
		r.version = version
	end
end

function start_again_as(list, version, renamed)
	start_unannounced_as(list, version, renamed)
	check_in(list)
end

function engines_of_site()
	local list = {}
	for _, r in ipairs(f.runners) do
		if r.service == "engines" then list[#list + 1] = r end
	end
	return list
end

-- The node that writes the record of versions.
function writer_of_record()
	for _, g in ipairs(f.gateways) do
		if log_of(g):find("version.recorded", 1, true) then return g end
	end
	error("no node has written the record")
end
