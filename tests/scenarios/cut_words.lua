-- Words for nodes that are cut off from the store and other nodes, and still reach callers and upstreams.
local function ip(at) return at:match("[%d.]+") end

-- To be called with the site before its nodes start.
function may_be_cut(site)
	for _, g in ipairs(site.gateways) do
		g.source = ip(g.callers)
		g.cut_file = site.dir .. "/" .. g.name .. ".cut"
		os.remove(g.cut_file)
	end
end

-- how: of kcf-source; list: nodes and stores.
function cut_off(g, how, list)
	local lines = { how }
	for _, other in ipairs(list) do lines[#lines + 1] = other.source or ip(other.address) end
	local path = g.cut_file .. ".new"
	local out = assert(io.open(path, "w"))
	out:write(table.concat(lines, "\n"), "\n")
	out:close()
	assert(os.rename(path, g.cut_file))
end

function rejoin(g) os.remove(g.cut_file) end
