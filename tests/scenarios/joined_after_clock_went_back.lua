-- Guards against streams of two versions after upstreams started again with a clock that is behind the one before.
names_start, clock_back_max_ms, gateways, play_s = false, 30000, 6, 25
plays = { "same_id_nodes" }
dofile(scenarios .. "/stream_order.lua")
