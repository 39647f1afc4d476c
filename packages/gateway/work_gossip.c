#include "private/work_gossip.h"

#include <assert.h>
#include <glib.h>
#include <kcf/balance.h>

G_STATIC_ASSERT(WORK_GOSSIP_MAX <= PEER_WORK_MAX);

void work_gossip_init(work_gossip_t *w, uint32_t node,
		      const work_gossip_ops_t *ops, void *ctx)
{
	assert(w && ops);
	*w = (work_gossip_t){ .ops = ops, .ctx = ctx, .node = node };
}

static void send_(work_gossip_t *w, const work_entry_t *entries, u_int count,
		  const char *to)
{
	peer_work_entry_t wire[WORK_GOSSIP_MAX];
	peer_work_t m = { .sent = (u_quad_t)clock_wall(),
			  .node = w->node,
			  .list = { count, wire } };

	for (u_int i = 0; i < count; i++) {
		const work_entry_t *e = &entries[i];
		bool known = e->pace > 0 && e->pace_age_ms >= 0;

		/* An age does not require synchronised clocks. */
		wire[i] = (peer_work_entry_t){
			.upstream = e->key,
			.tokens = (u_int)MAX(0, e->tokens),
			.pace = known ? (u_int)e->pace : 0,
			.age_ms = known ? (u_int)e->pace_age_ms : 0,
		};
	}
	w->ops->send(w->ctx, to, &m);
}

void work_gossip_tick(work_gossip_t *w, mstime_t now)
{
	work_entry_t entries[WORK_GOSSIP_MAX];
	const char *to;
	u_int count;

	assert(w);
	if (now < w->next_at)
		return;
	/* Ticks are coarser than the interval: a late message shortens the next
	 * interval.
	 */
	w->next_at = MAX(w->next_at, now - BALANCE_GOSSIP_INTERVAL_MS) +
		     BALANCE_GOSSIP_INTERVAL_MS;
	count = w->ops->collect(w->ctx, now, entries);
	if (!count)
		return;
	to = w->ops->target(w->ctx, now);
	if (to)
		send_(w, entries, count, to);
}

void work_gossip_receive(work_gossip_t *w, const peer_work_t *m, mstime_t now)
{
	assert(w && m);
	if (m->node == w->node)
		return;
	for (u_int i = 0; i < m->list.list_len; i++) {
		const peer_work_entry_t *p = &m->list.list_val[i];
		work_entry_t entry = {
			.key = p->upstream,
			.tokens = (int)MIN(p->tokens, G_MAXINT),
			.pace = (int)MIN(p->pace, G_MAXINT),
			.pace_age_ms = (mstime_t)p->age_ms,
		};

		w->ops->apply(w->ctx, m->node, &entry, now);
	}
}
