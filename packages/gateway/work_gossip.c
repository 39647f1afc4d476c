#include "private/work_gossip.h"

#include <assert.h>
#include <glib.h>

void work_gossip_init(work_gossip_t *w, uint32_t node,
		      const work_gossip_ops_t *ops, void *ctx)
{
	assert(w && ops);
	*w = (work_gossip_t){ .ops = ops, .ctx = ctx, .node = node };
}

void work_gossip_notify(work_gossip_t *w, const work_entry_t *entry,
			int read_ms, mstime_t now)
{
	bool known;
	peer_work_entry_t wire;
	peer_work_t m;
	int nodes;
	int left;

	assert(w && entry);
	nodes = w->ops->count(w->ctx, now);
	left = work_notice_count(&w->notices, read_ms, nodes, now);
	if (!left)
		return;
	known = entry->pace > 0 && entry->pace_age_ms >= 0;
	/* An age does not require synchronised clocks. */
	wire = (peer_work_entry_t){
		.prompt = entry->prompt,
		.upstream = entry->key,
		.tokens = (u_int)MAX(0, entry->tokens),
		.pace = known ? (u_int)entry->pace : 0,
		.age_ms = known ? (u_int)entry->pace_age_ms : 0,
	};
	m = (peer_work_t){ .sent = (u_quad_t)clock_wall(),
			   .node = w->node,
			   .list = { 1, &wire } };
	for (; left; left--) {
		const char *to = w->ops->target(
			w->ctx, (int)(w->turn++ % (unsigned int)nodes));

		if (to)
			w->ops->send(w->ctx, to, &m);
	}
}

void work_gossip_receive(work_gossip_t *w, const peer_work_t *m, mstime_t now)
{
	assert(w && m);
	if (m->node == w->node)
		return;
	for (u_int i = 0; i < m->list.list_len; i++) {
		const peer_work_entry_t *p = &m->list.list_val[i];
		work_entry_t entry = {
			.prompt = p->prompt,
			.key = p->upstream,
			.tokens = (int)MIN(p->tokens, G_MAXINT),
			.pace = (int)MIN(p->pace, G_MAXINT),
			.pace_age_ms = (mstime_t)p->age_ms,
		};

		w->ops->apply(w->ctx, m->node, &entry, now);
	}
}
