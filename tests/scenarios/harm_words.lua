-- Words for plays in which nodes are killed, stopped and paused, and come back; f is the site.
DARK_MAX_MS = 2800
local ALL_DARK_MAX_MS = 1000

-- What is done when; beside the logs of the nodes.
local log = assert(io.open(f.dir .. "/play.log", "w"))
log:setvbuf("line")
function note(fmt, ...) log:write(wall_ms(), " ", string.format(fmt, ...), "\n") end

-- Nodes: each is up, or comes back at a moment or once it has ended.

function hurt(g)
	local how = math.random(3)
	g.back_at = now_ms() + 100 + math.random(DARK_MAX_MS - 100)
	if how == 1 then
		kill(g)
		g.hurt = "killed"
	elseif how == 2 then
		stop(g)
		g.hurt = "stopped"
	else
		freeze(g)
		g.hurt = "paused"
	end
	note("%s %s", g.name, g.hurt)
end

function mend(g, now)
	if g.hurt == "paused" and now >= g.back_at then
		thaw(g)
		g.hurt = nil
		note("%s goes on", g.name)
	elseif g.hurt == "stopped" and exited(g.pid) then
		g.hurt = "killed"
	end
	if g.hurt == "killed" and now >= g.back_at then
		note("%s starts", g.name)
		start_gateway(f, g)
		g.hurt = nil
	end
end

function hurt_one()
	local up = {}
	for _, g in ipairs(f.gateways) do
		if not g.hurt then up[#up + 1] = g end
	end
	if #up > 1 then hurt(up[math.random(#up)]) end
end

local function kill_all()
	local back_at = now_ms() + 100 + math.random(ALL_DARK_MAX_MS - 100)
	local up = {}
	for _, g in ipairs(f.gateways) do
		if g.hurt ~= "killed" then up[#up + 1] = g end
		g.hurt, g.back_at = "killed", back_at
	end
	note("all killed")
	-- All at once; kill waits for the end of each.
	for _, g in ipairs(up) do kill_process(g.pid, 9) end
	for _, g in ipairs(up) do wait_exit(g, 5000) end
end

function hurt_one_or_all()
	if math.random(8) == 1 then kill_all() else hurt_one() end
end
