/*
 * Reads feeds from the platform. A few nodes, the readers, do so for all;
 * others only as a fallback, while they cannot sync from another node.
 */
#include "private/gateway.h"

#include <kcf/logline.h>
#include <string.h>

/*
 * Fractions of the limit for platform changes. A reader's long poll and the
 * delays of two sync responses behind it add up to less than the age at which a
 * node falls back to the platform.
 */
#define OPERATORS_WAIT_FRACTION 0.35
/* Polled without waiting: upstreams write more than once a second, so a long
 * poll would return at once.
 */
#define UPSTREAMS_INTERVAL_FRACTION 0.35
#define FALLBACK_AGE_FRACTION 0.7
/* The same while the readers are cut off from the platform: the first nodes
 * that reach it read for the others, and their data has yet to spread.
 */
#define SUBSTITUTE_AGE_FRACTION 0.35
/*
 * Fallback reads a second of the whole fleet: the first of each node, which on
 * small fleets recovers from the loss of all readers within the limit, and
 * later ones, while the platform is unavailable.
 */
#define FALLBACK_FIRST_READS_PER_S 40
#define FALLBACK_READS_PER_S 8
/*
 * One in four starting nodes reads the first page of upstreams at once; the
 * others first wait this long for a sync source. More pages mean a large fleet:
 * each node then reads them at a random time within the spread, unless it has
 * synced by then.
 */
#define START_IMMEDIATE_ONE_IN 4
#define START_DELAY_MS 150
#define START_SPREAD_MS 10000
/* Between reads that requests wait for; callers wait for a third of a second
 * without harm.
 */
#define WANTED_INTERVAL_MS 300
#define RETRY_MS 250
/* Keeps nodes that start together from retrying together. */
#define RETRY_JITTER_MS 250
/* Longest time for a response, in addition to the requested wait. */
#define RESPONSE_MAX_MS 900
/* A page of a scan is large, and many nodes may start together. */
#define PAGE_MAX_MS 2500

static void handle_failure_(feed_state_t *s, int err, mstime_t now)
{
	s->next_read_at =
		now + RETRY_MS +
		g_rand_int_range(s->gateway->rand, 0, RETRY_JITTER_MS);
	counter_add(COUNTER_LOG_ERRORS, 1);
	if (s->wanted_to) {
		s->wanted_to = 0;
		resumes_read_failed(s->gateway, s->feed);
	}
	if (s->down)
		return;
	s->down = true;
	LOG_EVENT(LOG_WARNING, "platform.lost",
		  F_STR("feed", feed_string[s->feed]),
		  F_STR("error", feed_err_string[-err]),
		  F_INT("known_to", (int64_t)s->next_offset),
		  F_INT("age_ms",
			s->current_as_of ? now - s->current_as_of : -1));
}

static mstime_t read_interval_(const feed_state_t *s)
{
	switch (s->feed) {
	case FEED_OPERATORS:
		return 0;
	case FEED_UPSTREAMS:
		return gateway_limit_fraction_ms(s->gateway,
						 UPSTREAMS_INTERVAL_FRACTION);
	case FEED_STREAMS:
		return 0;
	case FEED_NODES:
	default:
		return nodes_read_interval(s->gateway);
	}
}

/* Postpones the remaining pages after a starting node has read the first. */
static void delay_scan_(feed_state_t *s, mstime_t now)
{
	gateway_t *g = s->gateway;

	if (s->loaded || g->phase != GATEWAY_STARTING || g->upstreams_paged)
		return;
	g->upstreams_paged = true;
	s->fallback_at = now + g_rand_int_range(g->rand, 0, START_SPREAD_MS);
}

/* Whether a response is of the epoch that was asked; else it is of no use. */
static bool check_epoch_(feed_state_t *s, const feed_batch_t *batch,
			 mstime_t now)
{
	bool known = s->loaded;

	if (batch->epoch && batch->epoch < s->epoch) {
		s->next_read_at = now + RETRY_MS;
		return false;
	}
	if (batch->epoch <= s->epoch)
		return true;
	feeds_observe_epoch(s->gateway, batch->epoch, now);
	return !known;
}

/* Acts on a feed that was read up to its end. */
static void finish_read_(feed_state_t *s, mstime_t now)
{
	if (s->feed == FEED_NODES)
		nodes_update(s->gateway, now);
	gateway_feeds_updated(s->gateway, now);
}

static void on_scan_page_(void *arg, int err, const feed_batch_t *batch)
{
	feed_state_t *s = arg;
	mstime_t now = clock_now();

	s->call = NULL;
	if (!check_epoch_(s, batch, now))
		return;
	/* The scan resumes after the last key that it has read. */
	if (err) {
		handle_failure_(s, err, now);
		return;
	}
	s->source = FEED_FROM_PLATFORM;
	feeds_record_response(s, now);
	if (!s->scan_after) {
		s->scan_end = batch->next_offset;
		s->scan_as_of = s->requested_at;
	}
	for (size_t i = 0; i < batch->count; i++)
		feeds_apply_record(s, &batch->records[i], now);
	g_clear_pointer(&s->scan_after, g_free);
	if (batch->has_more && batch->count) {
		s->scan_after = str_dup(batch->records[batch->count - 1].key);
		s->next_read_at = s->wanted_read_at = now;
		delay_scan_(s, now);
		return;
	}
	s->next_read_at = now + RETRY_MS;
	/* A response older than the known records does not prove removals. */
	if (s->scan_end < s->next_offset) {
		feeds_cancel_scan(s);
	} else {
		feeds_end_scan(s, s->scan_end, s->scan_as_of, now);
		s->next_read_at = now;
	}
	finish_read_(s, now);
}

static void on_read_(void *arg, int err, const feed_batch_t *batch)
{
	feed_state_t *s = arg;
	mstime_t now = clock_now();

	s->call = NULL;
	if (!check_epoch_(s, batch, now))
		return;
	if (err == FEED_EEXPIRED) {
		feeds_record_response(s, now);
		LOG_EVENT(LOG_NOTICE, "feed.expired",
			  F_STR("feed", feed_string[s->feed]),
			  F_INT("next", (int64_t)s->next_offset));
		s->source = FEED_FROM_PLATFORM;
		feeds_begin_scan(s);
		s->next_read_at = s->wanted_read_at = now;
		return;
	}
	if (err) {
		handle_failure_(s, err, now);
		return;
	}
	s->source = FEED_FROM_PLATFORM;
	feeds_record_response(s, now);
	for (size_t i = 0; i < batch->count; i++)
		feeds_apply_record(s, &batch->records[i], now);
	s->next_read_at = MAX(s->requested_at + read_interval_(s), now);
	if (batch->next_offset < s->next_offset) {
		/* The response is older than the known records. */
		s->next_read_at = now + RETRY_MS;
		return;
	}
	if (batch->has_more) {
		feeds_set_current(s, s->current_as_of, batch->next_offset);
		s->next_read_at = s->wanted_read_at = now;
	} else {
		/* Only a read that waits is answered at its end. */
		bool at_end = s->feed == FEED_OPERATORS && !batch->count;

		feeds_set_current(s, at_end ? now : s->requested_at,
				  batch->next_offset);
		feeds_set_end(s, batch->next_offset, s->requested_at);
	}
	finish_read_(s, now);
}

/* Whether requests wait for a read. */
static bool is_wanted_(const feed_state_t *s)
{
	return s->wanted_to > s->current_as_of;
}

static void send_request_(feed_state_t *s, mstime_t now)
{
	feed_client_t *c = &s->gateway->feed_client;
	mstime_t wait = s->feed == FEED_OPERATORS
				? gateway_limit_fraction_ms(
					  s->gateway, OPERATORS_WAIT_FRACTION)
				: 0;

	s->requested_at = now;
	if (is_wanted_(s))
		s->wanted_read_at = now + WANTED_INTERVAL_MS;
	feeds_record_request(s, read_interval_(s), now);
	if (!s->complete && !s->scanning) {
		s->source = FEED_FROM_PLATFORM;
		feeds_begin_scan(s);
	}
	if (s->scanning) {
		counter_add(COUNTER_STORE_NEWEST_CALLS, 1);
		s->call = c->ops->read_latest(c, s->feed, s->scan_after,
					      now + PAGE_MAX_MS, on_scan_page_,
					      s);
	} else {
		counter_add(COUNTER_STORE_READ_CALLS, 1);
		s->call = c->ops->read_from(c, s->feed, s->next_offset, wait,
					    now + wait + RESPONSE_MAX_MS,
					    on_read_, s);
	}
}

/*
 * A recently started node knows few members and would often rank itself among
 * the readers. Until it has discovered the others, only seeds read.
 */
bool reader_is_self(const gateway_t *g, mstime_t now)
{
	if (gateway_recently_started(g, now))
		return g->is_seed;
	return g->own_rank >= 0 &&
	       (guint)g->own_rank < fleet_roles_reader_count(g->ranking->len);
}

/* Random delay that keeps the whole fleet to a rate of reads. */
static mstime_t random_delay_(const gateway_t *g, int per_s)
{
	mstime_t nodes = MAX(1, (mstime_t)g->ranking->len);
	mstime_t all = MAX(RETRY_MS, nodes * MSEC_PER_SEC / per_s);

	return g_rand_int_range(g->rand, 0, (gint32)all);
}

static bool is_fresh_(const feed_state_t *s, mstime_t now)
{
	double fraction = now < s->gateway->sources_cut_until
				  ? SUBSTITUTE_AGE_FRACTION
				  : FALLBACK_AGE_FRACTION;

	return s->complete &&
	       now - s->current_as_of <=
		       gateway_limit_fraction_ms(s->gateway, fraction);
}

static mstime_t start_delay_(const gateway_t *g)
{
	return g->members.self->key % START_IMMEDIATE_ONE_IN ? START_DELAY_MS
							     : 0;
}

/* Whether a node whose data is not fresh should read the platform now. */
static bool fallback_due_(feed_state_t *s, mstime_t now)
{
	const gateway_t *g = s->gateway;

	if (is_fresh_(s, now)) {
		s->fallback_at = 0;
		return false;
	}
	if (!s->fallback_at)
		s->fallback_at =
			s->loaded ? now + random_delay_(
						  g, FALLBACK_FIRST_READS_PER_S)
				  : g->started_at + start_delay_(g);
	if (now < s->fallback_at)
		return false;
	/* Upstreams come first: their number shows whether the fleet is large.
	 */
	if (!s->loaded && s->feed == FEED_OPERATORS &&
	    !g->feed_states[FEED_UPSTREAMS].loaded)
		return false;
	/* A scan in progress continues with its next page. */
	if (s->scan_after && !s->down)
		return true;
	s->fallback_at =
		now + RETRY_MS + 2 * random_delay_(g, FALLBACK_READS_PER_S);
	return true;
}

static bool read_due_(feed_state_t *s, bool reader, mstime_t now)
{
	if (s->call)
		return false;
	if (is_wanted_(s) && now >= s->wanted_read_at)
		return true;
	if (s->feed == FEED_STREAMS || now < s->next_read_at)
		return false;
	if (s->feed == FEED_NODES)
		return nodes_read_due(s->gateway, now);
	return reader || fallback_due_(s, now);
}

void reader_tick(gateway_t *g, mstime_t now)
{
	bool reader = reader_is_self(g, now);

	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *s = &g->feed_states[i];

		feeds_apply_deferred_removals(s, now);
		if (read_due_(s, reader, now))
			send_request_(s, now);
	}
}

void reader_want(gateway_t *g, feed_t feed, mstime_t to)
{
	feed_state_t *s = &g->feed_states[feed];

	s->wanted_to = MAX(s->wanted_to, to);
	reader_tick(g, clock_now());
}

void reader_resume(gateway_t *g, mstime_t gap, mstime_t now)
{
	for (int i = 0; i < FEED_COUNT; i++) {
		feed_state_t *s = &g->feed_states[i];

		/* A pause of this process is not an outage of the platform. */
		s->outage_from = MAX(s->outage_from, now - gap);
		if (s->call) {
			http_call_cancel(s->call);
			s->call = NULL;
		}
		s->next_read_at = now;
		s->fallback_at = now;
	}
}
