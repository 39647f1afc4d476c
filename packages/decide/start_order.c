#include <kcf/start_order.h>

#include <assert.h>
#include <glib.h>

/*
 * Between two writes that are no repetition; upstreams write a little less
 * often.
 */
#define WRITES_APART_MIN_MS 1000
/*
 * An upstream that lives does not miss as many writes in a row, and those that
 * are carried out late seldom are as far apart.
 */
#define SILENCE_MIN_MS 4500

static bool is_former_(const start_order_t *o, uint64_t start_id)
{
	for (int i = 0; start_id && i < START_ORDER_FORMER_MAX; i++) {
		if (o->former[i] == start_id)
			return true;
	}
	return false;
}

int start_order_compare(const start_order_t *o, uint64_t start_id,
			uint64_t heartbeat)
{
	assert(o);
	if (start_id != o->start_id)
		return start_id < o->start_id || start_id <= o->overruled ||
				       is_former_(o, start_id)
			       ? -1
			       : 1;
	if (heartbeat != o->heartbeat)
		return heartbeat < o->heartbeat ? -1 : 1;
	return 0;
}

/* Whether both the clock and the order of writes put it before. */
static bool is_past_(const start_order_t *o, uint64_t start_id)
{
	return start_id < o->start_id && is_former_(o, start_id);
}

bool start_order_contend(start_order_t *o, uint64_t start_id,
			 uint64_t heartbeat, bool left, mstime_t now)
{
	mstime_t apart_ms = left || is_past_(o, start_id) ? SILENCE_MIN_MS
							  : WRITES_APART_MIN_MS;

	assert(o && start_id != o->start_id);
	/* One that is not told is none that could be compared later. */
	if (!start_id)
		return false;
	if (!is_past_(o, start_id)) {
		o->disputed = true;
		o->goes_on_since = 0;
	}
	if (start_id != o->rival) {
		o->rival = start_id;
		o->rival_heartbeat = heartbeat;
		o->rival_since = now;
		return false;
	}
	/* Some do not count what they write. */
	return now - o->rival_since >= apart_ms &&
	       (heartbeat > o->rival_heartbeat ||
		now - o->rival_since >= SILENCE_MIN_MS);
}

static void add_former_(start_order_t *o, uint64_t start_id)
{
	if (!start_id)
		return;
	o->former[o->former_next] = start_id;
	o->former_next = (o->former_next + 1) % START_ORDER_FORMER_MAX;
}

void start_order_tell(start_order_t *o, uint64_t overruled)
{
	assert(o);
	o->overruled = MAX(o->overruled, overruled);
}

void start_order_set_disputed(start_order_t *o, bool disputed)
{
	assert(o);
	o->disputed = disputed;
	o->goes_on_since = 0;
}

/* A single write after a rival's may be one that is late. */
static void go_on_(start_order_t *o, mstime_t now)
{
	o->rival = 0;
	if (!o->disputed)
		return;
	if (!o->goes_on_since)
		o->goes_on_since = now;
	else if (now - o->goes_on_since >= WRITES_APART_MIN_MS)
		o->disputed = false;
}

void start_order_put(start_order_t *o, uint64_t start_id, uint64_t heartbeat,
		     mstime_t read_at)
{
	assert(o);
	if (start_id == o->start_id) {
		if (read_at)
			go_on_(o, read_at);
	} else {
		bool overrules =
			start_order_compare(o, start_id, heartbeat) < 0;
		uint64_t last = MAX(o->overruled, o->start_id);

		/* Others may still know any of the starts before. */
		o->overruled = overrules		 ? MAX(last, start_id)
			       : o->overruled > start_id ? o->overruled
							 : 0;
		for (int i = 0; i < START_ORDER_FORMER_MAX; i++) {
			if (o->former[i] == start_id)
				o->former[i] = 0;
		}
		add_former_(o, o->start_id);
		o->disputed = false;
		o->rival = 0;
		o->since = read_at;
	}
	o->start_id = start_id;
	o->heartbeat = heartbeat;
}
