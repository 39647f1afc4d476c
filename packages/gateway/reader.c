/*
 * Reading the platform: a few nodes do it for all, the others only while
 * nobody can tell them.
 */
#include "private/gateway.h"

#include <kcf/logline.h>
#include <string.h>

/*
 * Times as parts of the users' bound for what the platform says. A reader's
 * wait and the holds of two nodes in between add up to less than the age at
 * which a node reads for itself.
 */
#define OPERATORS_WAIT_PART 0.35
/* Upstreams write more than once a second: a wait would end at once. */
#define UPSTREAMS_INTERVAL_PART 0.35
#define OWN_READ_PART 0.7
/*
 * Reads a second of all nodes together that nobody can tell: the first of each
 * node, which ends the loss of all readers within the users' bound on small
 * fleets, and those after it, while the platform is away.
 */
#define FIRST_READS_PER_S 40
#define OWN_READS_PER_S 8
/*
 * One of so many nodes that start reads the first page of upstreams at once;
 * the others wait so long for one that can tell them. Where there are more
 * pages, there are many nodes too: they go on later, one after the other, if
 * still nobody tells them.
 */
#define START_AT_ONCE 4
#define START_PATIENCE_MS 150
#define START_SPREAD_MS 10000
#define RETRY_MS 250
/* Nodes that start together do not come again together. */
#define RETRY_SPREAD_MS 250
/* Longest time for an answer, beside the wait that was asked for. */
#define ANSWER_MAX_MS 900
/* A page of all keys is large; many nodes that start together wait for theirs.
 */
#define PAGE_MAX_MS 2500

static void failed_(feed_state_t *s, int err, mstime_t now)
{
	s->next_at = now + RETRY_MS +
		     g_rand_int_range(s->gateway->rand, 0, RETRY_SPREAD_MS);
	counter_add(COUNTER_LOG_ERRORS, 1);
	if (s->down)
		return;
	s->down = true;
	LOG_EVENT(LOG_WARNING, "platform.lost",
		  F_STR("feed", feed_string[s->feed]),
		  F_STR("error", feed_err_string[-err]),
		  F_INT("known_to", (int64_t)s->next),
		  F_INT("age_ms", s->current_at ? now - s->current_at : -1));
}

static mstime_t interval_(const feed_state_t *s)
{
	switch (s->feed) {
	case FEED_OPERATORS:
		return 0;
	case FEED_UPSTREAMS:
		return gateway_part_ms(s->gateway, UPSTREAMS_INTERVAL_PART);
	case FEED_NODES:
	default:
		return nodes_interval(s->gateway);
	}
}

/* A starting node has read the first of several pages. */
static void wait_for_others_(feed_state_t *s, mstime_t now)
{
	gateway_t *g = s->gateway;

	if (s->loaded || g->phase != GATEWAY_STARTING || g->crowded)
		return;
	g->crowded = true;
	s->own_at = now + g_rand_int_range(g->rand, 0, START_SPREAD_MS);
}

static void on_newest_(void *arg, int err, const feed_batch_t *batch)
{
	feed_state_t *s = arg;
	mstime_t now = clock_now();

	s->call = NULL;
	/* The pass goes on at the key that it has come to. */
	if (err) {
		failed_(s, err, now);
		return;
	}
	feeds_heard(s, now);
	if (!s->pass_after)
		s->pass_end = batch->next;
	for (size_t i = 0; i < batch->count; i++)
		feeds_take(s, &batch->records[i], now);
	g_clear_pointer(&s->pass_after, g_free);
	if (batch->more && batch->count) {
		s->pass_after = str_dup(batch->records[batch->count - 1].key);
		s->next_at = now;
		wait_for_others_(s, now);
		return;
	}
	s->passing = false;
	s->next_at = now + RETRY_MS;
	/* An answer older than what is known says nothing of removals. */
	if (s->pass_end >= s->next) {
		feeds_end_pass(s, s->pass_end, s->asked_at, now);
		s->next_at = now;
	}
	if (s->feed == FEED_NODES)
		nodes_take(s->gateway, now);
	gateway_learned(s->gateway, now);
}

static void on_read_(void *arg, int err, const feed_batch_t *batch)
{
	feed_state_t *s = arg;
	mstime_t now = clock_now();

	s->call = NULL;
	if (err == FEED_EEXPIRED) {
		feeds_heard(s, now);
		LOG_EVENT(LOG_NOTICE, "feed.expired",
			  F_STR("feed", feed_string[s->feed]),
			  F_INT("next", (int64_t)s->next));
		feeds_begin_pass(s);
		s->next_at = now;
		return;
	}
	if (err) {
		failed_(s, err, now);
		return;
	}
	feeds_heard(s, now);
	for (size_t i = 0; i < batch->count; i++)
		feeds_take(s, &batch->records[i], now);
	s->next_at = MAX(s->asked_at + interval_(s), now);
	if (batch->next < s->next) {
		/* The answer is older than what is known. */
		s->next_at = now + RETRY_MS;
		return;
	}
	feeds_current(s, batch->count ? s->asked_at : now, batch->next);
	if (s->feed == FEED_NODES)
		nodes_take(s->gateway, now);
	gateway_learned(s->gateway, now);
}

static void ask_(feed_state_t *s, mstime_t now)
{
	feed_client_t *c = &s->gateway->feeds;
	mstime_t wait =
		s->feed == FEED_OPERATORS
			? gateway_part_ms(s->gateway, OPERATORS_WAIT_PART)
			: 0;

	s->asked_at = now;
	if (!s->loaded && !s->passing)
		feeds_begin_pass(s);
	if (s->passing) {
		counter_add(COUNTER_STORE_NEWEST_CALLS, 1);
		s->call = c->ops->newest(c, s->feed, s->pass_after,
					 now + PAGE_MAX_MS, on_newest_, s);
	} else {
		counter_add(COUNTER_STORE_READ_CALLS, 1);
		s->call = c->ops->read(c, s->feed, s->next, wait,
				       now + wait + ANSWER_MAX_MS, on_read_, s);
	}
}

/*
 * A node that is new knows few others and would often take itself for one of
 * the first. Until it knows more, the seeds read.
 */
bool reader_is(const gateway_t *g, mstime_t now)
{
	if (gateway_young(g, now))
		return g->seed;
	return g->plan_at >= 0 &&
	       (guint)g->plan_at < fleet_roles_reader_count(g->plan->len);
}

/* A time until a read of this node, so that all together keep to a rate. */
static mstime_t drawn_(const gateway_t *g, int per_s)
{
	mstime_t nodes = MAX(1, (mstime_t)g->plan->len);
	mstime_t all = MAX(RETRY_MS, nodes * MSEC_PER_SEC / per_s);

	return g_rand_int_range(g->rand, 0, (gint32)all);
}

static bool fresh_(const feed_state_t *s, mstime_t now)
{
	return s->loaded && now - s->current_at <=
				    gateway_part_ms(s->gateway, OWN_READ_PART);
}

static mstime_t patience_(const gateway_t *g)
{
	return g->members.self->key % START_AT_ONCE ? START_PATIENCE_MS : 0;
}

/* Nobody told this node in time: whether it is its turn to read. */
static bool own_turn_(feed_state_t *s, mstime_t now)
{
	const gateway_t *g = s->gateway;

	if (fresh_(s, now)) {
		s->own_at = 0;
		return false;
	}
	if (!s->own_at)
		s->own_at = s->loaded ? now + drawn_(g, FIRST_READS_PER_S)
				      : g->started_at + patience_(g);
	if (now < s->own_at)
		return false;
	/* First the feed whose size tells whether there are many nodes. */
	if (!s->loaded && s->feed == FEED_OPERATORS &&
	    !g->states[FEED_UPSTREAMS].loaded)
		return false;
	/* The next pages of a pass that is under way. */
	if (s->pass_after && !s->down)
		return true;
	s->own_at = now + RETRY_MS + 2 * drawn_(g, OWN_READS_PER_S);
	return true;
}

static bool due_(feed_state_t *s, bool reader, mstime_t now)
{
	if (s->call || now < s->next_at)
		return false;
	if (s->feed == FEED_NODES)
		return nodes_due(s->gateway, now);
	return reader || own_turn_(s, now);
}

void reader_tick(gateway_t *g, mstime_t now)
{
	bool reader = reader_is(g, now);

	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *s = &g->states[i];

		if (s->feed == FEED_UPSTREAMS)
			feeds_end_hold(s, now);
		if (due_(s, reader, now))
			ask_(s, now);
	}
}

void reader_woken(gateway_t *g, mstime_t gap, mstime_t now)
{
	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *s = &g->states[i];

		/* Silence of this process is no outage of the platform. */
		s->heard_at = MAX(s->heard_at, now - gap);
		if (s->call) {
			http_call_cancel(s->call);
			s->call = NULL;
		}
		s->next_at = now;
		s->own_at = now;
	}
}
