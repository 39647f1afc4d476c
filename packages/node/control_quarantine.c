/*
 * Holds back chats whose messages crash upstreams, together with other nodes.
 */
#include "private/control.h"

/* Ends of the connections to one upstream within this time are one end. */
#define SAME_END_MS 1000

static const char *random_peer_(void *ctx)
{
	return peers_random(ctx);
}

static size_t send_report_(void *ctx, const char *to,
			   const peer_crash_report_t *r)
{
	return peers_send_crashes(ctx, to, r);
}

static const quarantine_gossip_ops_t gossip_ops = { random_peer_,
						    send_report_ };

static const quarantine_ops_t ops = { quarantine_log_suspected,
				      quarantine_log_held,
				      quarantine_log_released };

void chat_quarantine_start(control_t *c)
{
	uint64_t hash = str_hash64(str_of(c->settings->name->str), 0);

	c->upstream_ends = g_hash_table_new(NULL, NULL);
	quarantine_init(&c->quarantine, (double)hash / (double)UINT64_MAX, &ops,
			NULL);
	quarantine_gossip_init(&c->crash_gossip, &c->quarantine, &gossip_ops, c,
			       clock_now());
}

void chat_quarantine_stop(control_t *c)
{
	quarantine_finish(&c->quarantine);
	g_hash_table_destroy(c->upstream_ends);
}

void chat_quarantine_tick(control_t *c, mstime_t now)
{
	quarantine_tick(&c->quarantine, now);
	counter_set(GAUGE_QUARANTINE_HOLDS, c->quarantine.hold_count);
	quarantine_gossip_tick(&c->crash_gossip, now);
}

void chat_quarantine_receive(control_t *c, const peer_crash_report_t *r,
			     const char *from)
{
	quarantine_gossip_receive(&c->crash_gossip, r, from, clock_now());
}

/*
 * Key of the last end of an upstream. All its requests pass through this node,
 * which sees their ends within SAME_END_MS; start ids are known too late.
 */
static uint32_t end_key_(control_t *c, uint32_t upstream)
{
	gpointer at = g_hash_table_lookup(c->upstream_ends,
					  GUINT_TO_POINTER(upstream));
	uint64_t seed = (uint64_t)GPOINTER_TO_SIZE(at);

	return (uint32_t)str_hash64(
		(str_t){ (const char *)&upstream, sizeof(upstream) }, seed);
}

static void note_end_(control_t *c, uint32_t upstream, mstime_t now)
{
	gpointer key = GUINT_TO_POINTER(upstream);
	mstime_t at = (mstime_t)GPOINTER_TO_SIZE(
		g_hash_table_lookup(c->upstream_ends, key));

	if (now - at > SAME_END_MS)
		g_hash_table_insert(c->upstream_ends, key,
				    GSIZE_TO_POINTER((gsize)now));
}

/*
 * Whether a request may have crashed its last upstream. Engines that send the
 * head with the first token give no sign of having begun to answer; what only
 * waited there is sent again unless an earlier crash fits too.
 */
static bool is_suspect_(control_t *c, const place_query_t *q, mstime_t now)
{
	if (!q->lost_upstream)
		return false;
	if (!q->lost_begun)
		return quarantine_count_crashes(&c->quarantine, &q->prompt) > 1;
	return !quarantine_is_cleared(
		&c->quarantine, end_key_(c, q->lost_upstream), &q->prompt, now);
}

bool chat_quarantine_check(control_t *c, const place_query_t *q, mstime_t now,
			   mstime_t *retry_ms)
{
	if (quarantine_check(&c->quarantine, &q->prompt,
			     (int)c->sched.nodes->len, now, retry_ms))
		return true;
	*retry_ms = 0;
	return is_suspect_(c, q, now);
}

void chat_quarantine_record(control_t *c, const attempt_report_t *r,
			    mstime_t now)
{
	note_end_(c, r->upstream, now);
	quarantine_record_crash(&c->quarantine, end_key_(c, r->upstream),
				&r->prompt, r->begun, now);
	quarantine_gossip_flush(&c->crash_gossip, now);
}

void chat_quarantine_record_answer(control_t *c, const attempt_report_t *r,
				   mstime_t now)
{
	quarantine_record_answer(&c->quarantine, &r->prompt, now);
}
