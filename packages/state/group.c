#include "private/group.h"

#include <kcf/rank.h>

static char *region_area_(const upstream_t *u)
{
	return g_strdup_printf("region/%s/%s", u->data_centre->region,
			       u->service->name);
}

static char *data_centre_area_(const upstream_t *u)
{
	return g_strdup_printf("data centre/%s/%s", u->data_centre->name,
			       u->service->name);
}

/* Takes ownership of area. */
static void add_slots_(GHashTable *sums, char *area, int slots)
{
	int sum = GPOINTER_TO_INT(g_hash_table_lookup(sums, area));

	g_hash_table_replace(sums, area, GINT_TO_POINTER(sum + slots));
}

/*
 * Group within its area that an upstream is hashed to, 1 to count. Rendezvous
 * hashing: few upstreams change groups when the count changes.
 */
static uint64_t subgroup_(const upstream_t *u, int count)
{
	double best_score = 0;
	uint64_t best = 0;

	for (uint64_t i = 1; i <= (uint64_t)count; i++) {
		double score = rank_score(u->hash, i, 1);

		if (score > best_score) {
			best_score = score;
			best = i;
		}
	}
	return best;
}

static void set_group_(upstream_t *u, GHashTable *sums)
{
	char *area = region_area_(u);
	int slots = GPOINTER_TO_INT(g_hash_table_lookup(sums, area));
	uint64_t subgroup = 0;

	u->regional = slots <= GROUP_SLOTS_MAX;
	if (!u->regional) {
		g_free(area);
		area = data_centre_area_(u);
		slots = GPOINTER_TO_INT(g_hash_table_lookup(sums, area));
		subgroup = subgroup_(u, (slots + GROUP_SLOTS_MAX - 1) /
						GROUP_SLOTS_MAX);
	}
	u->group = str_hash64(str_of(area), subgroup);
	g_free(area);
}

void group_upstreams(GPtrArray *upstreams)
{
	GHashTable *sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < upstreams->len; i++) {
		const upstream_t *u = upstreams->pdata[i];

		add_slots_(sums, region_area_(u), u->slots);
		add_slots_(sums, data_centre_area_(u), u->slots);
	}
	for (guint i = 0; i < upstreams->len; i++)
		set_group_(upstreams->pdata[i], sums);
	g_hash_table_destroy(sums);
}
