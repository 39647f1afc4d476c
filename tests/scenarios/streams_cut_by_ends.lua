-- Guards against streams without framing that look complete though their upstream's process ended.
unframed, play_s, plays = 50, 12, { "ends", "ends_renamed" }
dofile(scenarios .. "/stream_order.lua")
