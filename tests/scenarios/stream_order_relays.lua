-- Guards against streams that break over the node that helps another one, also to callers over HTTP/1.0, while either of
-- them is harmed and upstreams end.
play_s, plays, unframed, more_options = 18, { "old_relay" }, 50, { unread = 30, pieces = 3 }
dofile(scenarios .. "/stream_order.lua")
