#include "private/choose.h"
#include "private/gossip.h"

#include <stdio.h>
#include <string.h>

void sched_take_load(sched_t *s, mstime_t now, const peer_load_t *l)
{
	slot_t *sl = choose_slot(s, l->upstream);

	if (!sl || sl->owned)
		return;
	if (sl->peer_heard && (int32_t)(l->stamp - sl->peer_stamp) <= 0)
		return;
	s->epoch++;
	sl->peer_out = (int)l->outstanding;
	sl->peer_limit = (int)l->limit;
	sl->peer_weight = l->weight;
	sl->peer_stamp = l->stamp;
	sl->peer_heard = now;
	sl->handed = 0;
}

void gossip_entry(const sched_t *s, mstime_t now, uint32_t stamp, slot_t *sl,
		  peer_load_t *l)
{
	*l = (peer_load_t){ .upstream = sl->key };
	if (!sl->owned) {
		l->stamp = sl->peer_stamp;
		l->outstanding = (u_int)sl->peer_out;
		l->limit = (u_int)sl->peer_limit;
		l->weight = sl->peer_weight;
		return;
	}
	l->stamp = stamp;
	l->outstanding = (u_int)slot_load(sl, now);
	l->limit = (u_int)slot_limit(sl, s, now);
	l->weight = slot_weight(sl, now) | slot_start_tag(sl->start_id);
	if (fairq_length(&sl->queue) && l->outstanding >= l->limit &&
	    limit_now(&sl->limit, now) > (int)l->limit)
		l->weight |= WEIGHT_SHORT_OF_POWER;
}

u_int sched_fill_loads(sched_t *s, mstime_t now, uint32_t stamp,
		       peer_load_t *loads, u_int max, bool own_only)
{
	GList *all = g_hash_table_get_values(s->slots);
	guint size = g_hash_table_size(s->slots);
	u_int n = 0;

	for (GList *l = all; l && n < max; l = l->next) {
		slot_t *sl = l->data;

		if (sl->owned && sl->up)
			gossip_entry(s, now, stamp, sl, &loads[n++]);
	}
	for (guint i = 0; !own_only && i < size && n < max; i++) {
		slot_t *sl = g_list_nth_data(all, s->load_cursor++ % size);

		if (!sl->owned && sl->peer_heard)
			gossip_entry(s, now, stamp, sl, &loads[n++]);
	}
	g_list_free(all);
	return n;
}

uint64_t sched_own_load(const sched_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t sum = 0;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		peer_load_t l;

		if (!sl->owned || !sl->up)
			continue;
		gossip_entry(s, now, 0, sl, &l);
		sum += str_hash64((str_t){ (char *)&l, sizeof(l) }, 0);
	}
	return sum;
}

void sched_loads_text(const sched_t *s, mstime_t now, uint32_t stamp, char *out)
{
	GHashTableIter iter;
	gpointer value;
	size_t used = 0;

	out[0] = '\0';
	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		peer_load_t l;
		char text[64];
		int n;

		if (!sl->owned || !sl->up)
			continue;
		gossip_entry(s, now, stamp, sl, &l);
		n = snprintf(text, sizeof(text), "%x:%x:%x:%x:%x,", l.upstream,
			     l.stamp, l.outstanding, l.limit, l.weight);
		if (used + (size_t)n >= SCHED_LOADS_MAX)
			return;
		memcpy(out + used, text, (size_t)n + 1);
		used += (size_t)n;
	}
}

void sched_take_loads_text(sched_t *s, mstime_t now, str_t text)
{
	char *copy = str_dup(text);
	char **parts = g_strsplit(copy, ",", -1);

	for (char **p = parts; *p; p++) {
		peer_load_t l;

		if (sscanf(*p, "%x:%x:%x:%x:%x", &l.upstream, &l.stamp,
			   &l.outstanding, &l.limit, &l.weight) == 5)
			sched_take_load(s, now, &l);
	}
	g_strfreev(parts);
	g_free(copy);
}
