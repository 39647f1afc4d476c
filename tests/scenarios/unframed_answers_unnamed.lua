-- The same, at upstreams that do not name their start.
names_start = false
dofile(scenarios .. "/unframed_answers.lua")
