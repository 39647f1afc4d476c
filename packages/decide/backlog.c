#include <kcf/backlog.h>

#include <assert.h>

/* Watermarks of the bytes that wait for a slow caller. */
#define HIGH_BYTES (256 * 1024)
#define LOW_BYTES (64 * 1024)
/*
 * Upstreams end an answer that stays unread for some seconds: a pause is
 * shorter than any of these times. As much as before it is read then; the
 * kernel of an upstream lets it write on only once a third of its buffer has
 * been taken.
 */
#define PAUSE_MAX_MS 1000
#define STEP_BYTES HIGH_BYTES
/*
 * Part of a node's memory for answers and connections. A fifth is for requests,
 * the rest for the process itself and for what malloc cannot give back, see
 * docs/design/backlog.md. Of a node whose memory connections have taken, a
 * smaller part is left for answers.
 */
#define ANSWERS_DIVISOR 2
#define ANSWERS_MIN_DIVISOR 16
/* Of an answer: the block that libmicrohttpd reads into (16 KB), and what the
 * kernel takes of it (16 KB, and as much for its own structures).
 */
#define ANSWER_COST_BYTES (48 * 1024)
/* Part of the room for requests that upstreams may leave unread; new requests
 * are refused when all of it is taken.
 */
#define REQUESTS_FRACTION 0.75
/* Payload; the kernel's own bound for both is several megabytes. */
#define UNSENT_MAX_BYTES (16 * 1024)
#define UNREAD_MAX_BYTES (128 * 1024)
/* Cuts end at this part below the node's bound, so that one look at all entries
 * is for many bytes.
 */
#define RELIEF_DIVISOR 8
/* While none can be cut, all entries are looked at that often. */
#define BARREN_MS 50

backlog_limits_t backlog_limits(size_t memory, size_t bodies)
{
	backlog_limits_t l = {
		.answers = { .high = HIGH_BYTES, .low = LOW_BYTES },
	};

	if (!memory)
		return l;
	l.answers.node_max = memory / ANSWERS_DIVISOR;
	l.answers.node_min = memory / ANSWERS_MIN_DIVISOR;
	l.answers.cost = ANSWER_COST_BYTES;
	l.answers.entry_max = MIN(BACKLOG_ENTRY_MAX_BYTES, l.answers.node_max);
	l.answers.pause_max = PAUSE_MAX_MS;
	l.answers.step = STEP_BYTES;
	l.requests.node_max = (size_t)((double)bodies * REQUESTS_FRACTION);
	l.unsent_max = UNSENT_MAX_BYTES;
	l.unread_max = UNREAD_MAX_BYTES;
	return l;
}

void backlog_init(backlog_t *b, const backlog_conf_t *conf)
{
	assert(b && conf && conf->low <= conf->high);
	*b = (backlog_t){ .conf = *conf, .entries = g_ptr_array_new() };
}

void backlog_finish(backlog_t *b)
{
	assert(b && !b->entries->len && !b->held);
	g_clear_pointer(&b->entries, g_ptr_array_unref);
}

void backlog_join(backlog_t *b, backlog_entry_t *e, void *owner)
{
	assert(b && e && !e->member);
	*e = (backlog_entry_t){ .owner = owner,
				.limit = b->conf.high,
				.place = b->entries->len,
				.member = true };
	g_ptr_array_add(b->entries, e);
}

static bool is_oversized_(const backlog_t *b, const backlog_entry_t *e)
{
	return b->conf.entry_max && e->held > b->conf.entry_max;
}

static void set_held_(backlog_t *b, backlog_entry_t *e, size_t held)
{
	b->oversized -= is_oversized_(b, e);
	b->held = b->held - e->held + held;
	e->held = held;
	b->oversized += is_oversized_(b, e);
}

void backlog_leave(backlog_t *b, backlog_entry_t *e)
{
	backlog_entry_t *last;

	assert(b && e);
	if (!e->member)
		return;
	set_held_(b, e, 0);
	backlog_set_unread(b, e, 0);
	b->held -= e->offered ? b->conf.cost : 0;
	e->offered = false;
	last = b->entries->pdata[b->entries->len - 1];
	g_ptr_array_remove_index_fast(b->entries, e->place);
	last->place = e->place;
	e->member = false;
}

void backlog_offer(backlog_t *b, backlog_entry_t *e, mstime_t now)
{
	assert(b && e && now);
	if (!e->member || e->offered)
		return;
	e->offered = true;
	e->taken_at = now;
	b->held += b->conf.cost;
}

void backlog_add(backlog_t *b, backlog_entry_t *e, size_t bytes)
{
	assert(b && e);
	if (e->member)
		set_held_(b, e, e->held + bytes);
}

void backlog_take(backlog_t *b, backlog_entry_t *e, size_t bytes, mstime_t now)
{
	assert(b && e && now);
	if (!e->member || !bytes)
		return;
	set_held_(b, e, e->held - MIN(bytes, e->held));
	e->taken_at = now;
}

void backlog_keep(backlog_entry_t *e, size_t bytes)
{
	assert(e);
	if (e->member)
		e->kept += bytes;
}

void backlog_hand_out(backlog_entry_t *e, mstime_t now)
{
	assert(e && now);
	/* It had taken in all that it was offered. */
	if (e->kept && e->offered && e->held <= e->kept)
		e->taken_at = now;
	e->kept = 0;
}

void backlog_drop(backlog_t *b, backlog_entry_t *e, size_t bytes)
{
	assert(b && e);
	if (e->member)
		set_held_(b, e, e->held - MIN(bytes, e->held));
}

void backlog_set_unread(backlog_t *b, backlog_entry_t *e, size_t bytes)
{
	assert(b && e);
	if (!e->member)
		return;
	b->held = b->held - e->unread + bytes;
	e->unread = bytes;
}

bool backlog_must_pause(const backlog_entry_t *e)
{
	assert(e);
	return e->member && !e->paused_at && e->held > e->limit;
}

void backlog_pause(backlog_entry_t *e, mstime_t now)
{
	assert(e && now);
	e->paused_at = now;
}

void backlog_restart(backlog_t *b, backlog_entry_t *e)
{
	assert(b && e);
	e->paused_at = 0;
	e->limit = b->conf.high;
	backlog_set_unread(b, e, 0);
}

bool backlog_read_on(backlog_t *b, backlog_entry_t *e, mstime_t now)
{
	const backlog_conf_t *c = &b->conf;
	bool waited;

	assert(b && e);
	if (!e->paused_at)
		return false;
	waited = c->pause_max && now - e->paused_at >= c->pause_max;
	if (e->held > c->low && !waited)
		return false;
	backlog_restart(b, e);
	e->limit =
		e->held <= c->low ? c->high : MAX(c->high, e->held + c->step);
	return true;
}

void backlog_set_connections(backlog_t *b, size_t count)
{
	assert(b);
	b->base = count * BACKLOG_CONNECTION_BYTES;
}

/* 0 for none */
static size_t bound_(const backlog_t *b)
{
	const backlog_conf_t *c = &b->conf;

	return MAX(c->node_max - MIN(b->base, c->node_max), c->node_min);
}

bool backlog_is_over(const backlog_t *b)
{
	assert(b);
	return b->oversized || (b->conf.node_max && b->held > bound_(b));
}

/* A peer that reads now counts with a millisecond. */
static double weight_(const backlog_t *b, const backlog_entry_t *e,
		      mstime_t now)
{
	if (!e->offered)
		return 0;
	return (double)(e->held + e->unread + b->conf.cost) *
	       (double)(now - e->taken_at + 1);
}

backlog_entry_t *backlog_choose_cut(backlog_t *b, mstime_t now)
{
	size_t node_max = bound_(b);
	backlog_entry_t *worst = NULL;

	assert(b && now);
	if (now < b->barren_until)
		return NULL;
	if (!b->conf.node_max ||
	    b->held <= node_max - node_max / RELIEF_DIVISOR)
		b->cutting = false;
	else if (b->held > node_max)
		b->cutting = true;
	if (!b->cutting && !b->oversized)
		return NULL;
	for (guint i = 0; i < b->entries->len; i++) {
		backlog_entry_t *e = b->entries->pdata[i];

		if (e->held + e->unread <= e->kept ||
		    (!b->cutting && !is_oversized_(b, e)))
			continue;
		if (weight_(b, e, now) > (worst ? weight_(b, worst, now) : 0))
			worst = e;
	}
	if (!worst)
		b->barren_until = now + BARREN_MS;
	return worst;
}
