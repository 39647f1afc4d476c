-- Guards against streams that miss events or get one twice where they are taken up at two nodes at once, beside an answer
-- that goes on, or from an earlier event than the last one that was sent; ids have gaps and need more than 32 bits.
play_s, plays, unframed, id_stride, more_options = 14, { "losses" }, 30, 1000000007, { unread = 30 }
dofile(scenarios .. "/stream_order.lua")
