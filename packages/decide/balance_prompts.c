/*
 * Affinity entries: where recently requested prompts are warm, and how large a
 * part of the requests they make.
 */
#include "private/balance.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/* An engine keeps a prompt about this long after its last request. */
#define AFFINITY_IDLE_MS 30000
#define AFFINITY_SWEEP_MS 5000
/* Weight of one request in the moving share of each prompt. */
#define PROMPT_WEIGHT (1.0 / 16)
/* Smaller shares are ignored: a single recent request gives less. */
#define HOT_SHARE_MIN (1.5 * PROMPT_WEIGHT)

static gboolean is_idle_(gpointer key, gpointer value, gpointer arg)
{
	const balance_affinity_t *entry = value;
	const mstime_t *now = arg;

	(void)key;
	return *now - entry->used_at > AFFINITY_IDLE_MS;
}

balance_affinity_t *balance_get_affinity(balance_t *b, uint64_t affinity,
					 mstime_t now)
{
	balance_affinity_t *entry;
	uint64_t *key;

	if (now - b->affinities_swept_at > AFFINITY_SWEEP_MS) {
		b->affinities_swept_at = now;
		g_hash_table_foreach_remove(b->affinities, is_idle_, &now);
	}
	entry = g_hash_table_lookup(b->affinities, &affinity);
	if (entry)
		return entry;
	key = g_new(uint64_t, 1);
	*key = affinity;
	entry = g_new0(balance_affinity_t, 1);
	entry->used_at = now;
	entry->share_at = b->prompt_count;
	g_hash_table_insert(b->affinities, key, entry);
	return entry;
}

static double decayed_share_(const balance_t *b,
			     const balance_affinity_t *entry)
{
	double prompts_since = (double)(b->prompt_count - entry->share_at);

	return entry->share * pow(1 - PROMPT_WEIGHT, prompts_since);
}

void balance_count_prompt(balance_t *b, balance_affinity_t *entry)
{
	b->prompt_count++;
	entry->share = decayed_share_(b, entry) + PROMPT_WEIGHT;
	entry->share_at = b->prompt_count;
}

double balance_prompt_share(const balance_t *b, const balance_affinity_t *entry)
{
	double share = decayed_share_(b, entry);

	return share < HOT_SHARE_MIN ? 0 : share;
}

void balance_set_preferred(balance_t *b, uint64_t affinity, uint64_t local_id,
			   mstime_t now)
{
	balance_affinity_t *entry = balance_get_affinity(b, affinity, now);

	entry->preferred_id = local_id;
	entry->used_at = now;
}

void balance_mark_warm(balance_t *b, uint64_t affinity,
		       const balance_upstream_t *u, mstime_t now)
{
	balance_affinity_t *entry;
	int at = 0;

	assert(b && u);
	if (!affinity)
		return;
	entry = balance_get_affinity(b, affinity, now);
	while (at < BALANCE_WARM_MAX - 1 && entry->warm_ids[at] != u->local_id)
		at++;
	memmove(&entry->warm_ids[1], entry->warm_ids,
		(size_t)at * sizeof(entry->warm_ids[0]));
	entry->warm_ids[0] = u->local_id;
	entry->used_at = now;
	/* An upstream that was removed since is not warm for anyone. */
	if (balance_shares_warmth(b, u->service) && !u->removed)
		warmth_learn(b->warmth, affinity, u->key, now);
}

bool balance_share_warmth(balance_t *b, const char *service)
{
	assert(b && service);
	if (g_hash_table_contains(b->warmth_services, service))
		return false;
	return g_hash_table_add(b->warmth_services, g_strdup(service));
}

bool balance_shares_warmth(const balance_t *b, const char *service)
{
	return b->warmth && g_hash_table_contains(b->warmth_services, service);
}

bool balance_is_warm(const balance_t *b, uint64_t affinity,
		     const balance_upstream_t *u)
{
	const balance_affinity_t *entry;

	assert(b && u);
	entry = g_hash_table_lookup(b->affinities, &affinity);
	for (int i = 0; entry && i < BALANCE_WARM_MAX; i++) {
		if (entry->warm_ids[i] == u->local_id)
			return true;
	}
	return false;
}
