#include "private/choose.h"
#include "private/gossip.h"

#include <stdio.h>
#include <string.h>

void sched_apply_load(sched_t *s, mstime_t now, const peer_load_t *l)
{
	sched_upstream_t *u = choose_lookup(s, l->upstream);

	if (!u || u->owned)
		return;
	if (u->peer_updated_at && (int32_t)(l->stamp - u->peer_stamp) <= 0)
		return;
	s->load_epoch++;
	u->peer_outstanding = (int)l->outstanding;
	u->peer_limit = (int)l->limit;
	u->peer_weight = l->weight;
	u->peer_stamp = l->stamp;
	u->peer_updated_at = now;
	u->forwarded = 0;
}

void gossip_fill_load(const sched_t *s, mstime_t now, uint32_t stamp,
		      sched_upstream_t *u, peer_load_t *l)
{
	*l = (peer_load_t){ .upstream = u->key };
	if (!u->owned) {
		l->stamp = u->peer_stamp;
		l->outstanding = (u_int)u->peer_outstanding;
		l->limit = (u_int)u->peer_limit;
		l->weight = u->peer_weight;
		return;
	}
	l->stamp = stamp;
	l->outstanding = (u_int)sched_upstream_load(u, now);
	l->limit = (u_int)sched_upstream_limit(u, s, now);
	l->weight = sched_upstream_weight(u, now) |
		    sched_upstream_start_tag(u->start_id);
	if (fairq_length(&u->queue) && l->outstanding >= l->limit &&
	    limit_now(&u->limit, now) > (int)l->limit)
		l->weight |= WEIGHT_POWER_LIMITED;
}

u_int sched_fill_loads(sched_t *s, mstime_t now, uint32_t stamp,
		       peer_load_t *loads, u_int max, bool own_only)
{
	GList *all = g_hash_table_get_values(s->upstreams);
	guint size = g_hash_table_size(s->upstreams);
	u_int n = 0;

	for (GList *l = all; l && n < max; l = l->next) {
		sched_upstream_t *u = l->data;

		if (u->owned && u->config)
			gossip_fill_load(s, now, stamp, u, &loads[n++]);
	}
	for (guint i = 0; !own_only && i < size && n < max; i++) {
		sched_upstream_t *u =
			g_list_nth_data(all, s->load_cursor++ % size);

		if (!u->owned && u->peer_updated_at)
			gossip_fill_load(s, now, stamp, u, &loads[n++]);
	}
	g_list_free(all);
	return n;
}

uint64_t sched_own_loads_digest(const sched_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t sum = 0;

	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_upstream_t *u = value;
		peer_load_t l;

		if (!u->owned || !u->config)
			continue;
		gossip_fill_load(s, now, 0, u, &l);
		sum += str_hash64((str_t){ (char *)&l, sizeof(l) }, 0);
	}
	return sum;
}

void sched_format_loads(const sched_t *s, mstime_t now, uint32_t stamp,
			char *out)
{
	GHashTableIter iter;
	gpointer value;
	size_t used = 0;

	out[0] = '\0';
	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_upstream_t *u = value;
		peer_load_t l;
		char text[64];
		int n;

		if (!u->owned || !u->config)
			continue;
		gossip_fill_load(s, now, stamp, u, &l);
		n = snprintf(text, sizeof(text), "%x:%x:%x:%x:%x,", l.upstream,
			     l.stamp, l.outstanding, l.limit, l.weight);
		if (used + (size_t)n >= SCHED_LOADS_MAX)
			return;
		memcpy(out + used, text, (size_t)n + 1);
		used += (size_t)n;
	}
}

void sched_parse_loads(sched_t *s, mstime_t now, str_t text)
{
	char *copy = str_dup(text);
	char **entries = g_strsplit(copy, ",", -1);

	for (char **p = entries; *p; p++) {
		peer_load_t l;

		if (sscanf(*p, "%x:%x:%x:%x:%x", &l.upstream, &l.stamp,
			   &l.outstanding, &l.limit, &l.weight) == 5)
			sched_apply_load(s, now, &l);
	}
	g_strfreev(entries);
	g_free(copy);
}
