-- The experiment tool: the same settings give the same report; settings that
-- make no sense are refused; the picture is written.
local function experiment(args)
	local argv = { "--output", "json", "experiment", "--seeds", "3", "--seconds", "10" }
	for _, a in ipairs(args) do argv[#argv + 1] = a end
	return ctl(argv)
end

local OUT = { "--out-from", "1", "--out-to", "9" }
local status, out, err = experiment(OUT)
expect(status == 0, "exit %d, %s", status, err)
local _, again = experiment(OUT)
expect(out == again, "two reports of the same settings differ")

local by_name = {}
for _, p in ipairs(json_decode(out).placements) do by_name[p.placement] = p end
for _, name in ipairs { "bounded", "least_loaded", "hash", "random" } do
	local p = by_name[name]
	expect(p and p.arrivals == by_name.bounded.arrivals, "%s did not get the same arrivals: %s", name, out)
end
expect(by_name.bounded.broken_seeds == 0, "the product breaks the users' rule: %s", out)
expect(by_name.bounded.warm > by_name["least_loaded"].warm, "affinity gains nothing: %s", out)

for _, row in ipairs {
	{ { "--seeds", "0" }, 2 },
	{ { "--nodes", "0" }, 2 },
	{ { "--rate", "-1" }, 2 },
	{ { "--data-centres", "1", "--out-to", "5" }, 2 },
	{ { "--no-such-option" }, 2 },
	{ { "word" }, 2 },
	{ { "--plot", work_dir .. "/nowhere/p.png" }, 1 },
	{ { "--plot", work_dir .. "/p.png" }, 0 },
} do
	local got, _, complaint = experiment(row[1])
	expect(got == row[2], "%s: exit %d, %s", table.concat(row[1], " "), got, complaint)
	expect(got == 0 or complaint:find("kcfctl: ", 1, true), "%s: no complaint", table.concat(row[1], " "))
end
local file = io.open(work_dir .. "/p.png", "rb")
expect(file and file:read(4) == "\137PNG", "no picture")
file:close()
