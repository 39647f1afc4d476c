-- Words for a store that comes back as an older copy, under streams of upstreams with software versions.
HEARTBEAT_MS = 1200
COPY_AGE_MS = 3000
SETTLED_MS = 6000 -- nodes have read what is in force, and the record of versions is written
local STREAM = { events = 100, gap_ms = 60, slots = 64 }

local function options(version)
	local o = { version = version }
	for k, v in pairs(STREAM) do o[k] = v end
	return o
end

local function streams_only() return { route("/stream/", "streaming", "engines", { stream_resume = true, timeout_ms = 12000 }) } end

-- A fleet of its own for each play, since versions are known for 30 s.
function fresh_site(count)
	local reports = f and f.callers
	if f then
		for _, p in ipairs(f.gateways) do kill(p) end
		for _, p in ipairs(f.runners) do
			if p.pid then kill(p) end
		end
		kill(f.store)
	end
	f = start_site { gateways = count, retry_burst = 1000, engine = options("v1") }
	f.callers = reports
	configure(f, 2, streams_only())
	fault(f.store, { heartbeat_ms = HEARTBEAT_MS })
	sleep_ms(SETTLED_MS)
end

function add_version(version)
	local r = start_runner(f, "engine-" .. version, "engines", "dc-1", options(version))
	announce(f, r, { version = version, slot_count = STREAM.slots })
	return r
end

function take_copy() fault(f.store, { copy = true }) end

-- The store is away, and back as its copy; the operator writes the configuration again, upstreams their entries.
function restore(away_ms)
	fault(f.store, { busy = 1 })
	sleep_ms(away_ms)
	fault(f.store, { restore = true })
	fault(f.store, { busy = 0 })
	configure(f, 2, streams_only())
end

function begin_load(seed, ms, rate)
	return start_callers(f, { to = callers_of(f), path = "/stream/long", rate = rate, duration_ms = ms, timeout_ms = 12000, tries = 40,
				  pause_ms = 250, seed = seed, distinct = "", resume = "" })
end
