/*
 * Which upstreams have prompts cached: messages between nodes.
 */
#include "private/warmths.h"

#include <assert.h>
#include <kcf/counter.h>

/*
 * As much as membership and loads may use. Where 1,000 prompts move within 10 s
 * (a data centre is drained), half of the 100 new pairs a second reach all
 * nodes.
 */
#define NEWS_BYTES_PER_S 4096
/* A reply of REPLY_MESSAGES once a second. */
#define REPLY_BYTES_PER_S 4608
#define REPLY_MESSAGES 4
/* Pairs in one message of what is new, 740 bytes. */
#define NEWS_PAIRS_MAX 40
/* Messages in one tick, to different nodes. */
#define FANOUT 2
/* Random choices for them; in a small fleet most fall on the same nodes. */
#define CHOICES_MAX 8
/*
 * A node that has just started asks this many nodes, so that at least one reply
 * comes if a tenth of the datagrams is lost.
 */
#define ASKS 3
#define ASK_INTERVAL_MS 400

void warmths_init(warmths_t *s, const warmths_ops_t *ops, void *ctx)
{
	assert(s && ops && ops->random_peer && ops->send && ops->share &&
	       ops->wall);
	*s = (warmths_t){ .ops = ops, .ctx = ctx };
	s->news.rate = NEWS_BYTES_PER_S;
	s->replies.rate = REPLY_BYTES_PER_S;
	warmth_init(&s->table);
}

void warmths_finish(warmths_t *s)
{
	warmth_finish(&s->table);
}

void warmths_activate(warmths_t *s)
{
	assert(s);
	if (s->active)
		return;
	s->active = true;
	s->asks_left = ASKS;
}

static size_t send_(warmths_t *s, const char *to, const warmth_pair_t *pairs,
		    guint count)
{
	peer_warm_t list[PEER_WARMTH_MAX];
	peer_warmth_t m = { .sent = (u_quad_t)s->ops->wall(s->ctx),
			    .wanted = !count,
			    .list = { count, list } };

	for (guint i = 0; i < count; i++)
		list[i] = (peer_warm_t){ pairs[i].prompt, pairs[i].key,
					 (u_int)pairs[i].age_ms };
	return s->ops->send(s->ctx, to, &m);
}

static void ask_(warmths_t *s, mstime_t now)
{
	const char *to;

	if (!s->asks_left || now < s->next_ask_at)
		return;
	to = s->ops->random_peer(s->ctx);
	if (!to)
		return;
	s->asks_left--;
	s->next_ask_at = now + ASK_INTERVAL_MS;
	byte_budget_spend(&s->news, now, (int64_t)send_(s, to, NULL, 0), true);
}

/* A node other than the one before, or NULL. */
static const char *choose_peer_(const warmths_t *s, const char *before)
{
	for (int i = 0; i < CHOICES_MAX; i++) {
		const char *to = s->ops->random_peer(s->ctx);

		if (to != before)
			return to;
	}
	return NULL;
}

static void tell_(warmths_t *s, mstime_t now)
{
	warmth_pair_t pairs[NEWS_PAIRS_MAX];
	const char *to = NULL;

	for (int i = 0; i < FANOUT && warmth_has_news(&s->table) &&
			byte_budget_has_fraction(&s->news, now, 0);
	     i++) {
		guint count;

		to = choose_peer_(s, to);
		if (!to)
			return;
		count = warmth_take_news(&s->table, pairs, NEWS_PAIRS_MAX, now);
		if (!count)
			return;
		byte_budget_spend(&s->news, now,
				  (int64_t)send_(s, to, pairs, count), true);
		counter_add(COUNTER_WARMTH_TOLD, count);
	}
}

void warmths_tick(warmths_t *s, mstime_t now)
{
	assert(s);
	if (!s->active)
		return;
	ask_(s, now);
	tell_(s, now);
}

static void reply_(warmths_t *s, const char *to, mstime_t now)
{
	warmth_pair_t pairs[REPLY_MESSAGES * PEER_WARMTH_MAX];
	guint count =
		warmth_list_newest(&s->table, pairs, G_N_ELEMENTS(pairs), now);

	for (guint i = 0;
	     i < count && byte_budget_has_fraction(&s->replies, now, 0);
	     i += PEER_WARMTH_MAX) {
		guint part = MIN(count - i, PEER_WARMTH_MAX);
		size_t bytes = send_(s, to, &pairs[i], part);

		byte_budget_spend(&s->replies, now, (int64_t)bytes, true);
		counter_add(COUNTER_WARMTH_TOLD, part);
	}
}

void warmths_receive(warmths_t *s, const peer_warmth_t *m, const char *from,
		     mstime_t now)
{
	assert(s && m && from);
	if (m->wanted) {
		reply_(s, from, now);
		return;
	}
	for (u_int i = 0; i < m->list.list_len; i++) {
		const peer_warm_t *p = &m->list.list_val[i];
		warmth_pair_t pair = { p->prompt, p->upstream,
				       (mstime_t)p->age_ms };

		if (s->ops->share(s->ctx, pair.key) &&
		    warmth_apply(&s->table, &pair, now))
			counter_add(COUNTER_WARMTH_LEARNT, 1);
	}
}
