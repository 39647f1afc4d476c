/*
 * Prompts that were asked for of late: where they are warm, how many ask.
 */
#include "private/balance.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/* An engine keeps a prompt that nobody asks for about this long. */
#define HOME_IDLE_MS 30000
#define HOME_SWEEP_MS 5000
/* Weight of one prompt in the moving share of each. */
#define PROMPT_WEIGHT (1.0 / 16)
/* A share below this says nothing: the prompt came once of late. */
#define HOT_SHARE (1.5 * PROMPT_WEIGHT)

static gboolean idle_(gpointer key, gpointer value, gpointer arg)
{
	const balance_affinity_t *home = value;
	const mstime_t *now = arg;

	(void)key;
	return *now - home->used_at > HOME_IDLE_MS;
}

balance_affinity_t *balance_get_affinity(balance_t *b, uint64_t affinity,
					 mstime_t now)
{
	balance_affinity_t *home;
	uint64_t *key;

	if (now - b->affinities_swept_at > HOME_SWEEP_MS) {
		b->affinities_swept_at = now;
		g_hash_table_foreach_remove(b->affinities, idle_, &now);
	}
	home = g_hash_table_lookup(b->affinities, &affinity);
	if (home)
		return home;
	key = g_new(uint64_t, 1);
	*key = affinity;
	home = g_new0(balance_affinity_t, 1);
	home->used_at = now;
	home->share_at = b->prompt_count;
	g_hash_table_insert(b->affinities, key, home);
	return home;
}

static double decayed_(const balance_t *b, const balance_affinity_t *home)
{
	double others = (double)(b->prompt_count - home->share_at);

	return home->share * pow(1 - PROMPT_WEIGHT, others);
}

void balance_count_prompt(balance_t *b, balance_affinity_t *home)
{
	b->prompt_count++;
	home->share = decayed_(b, home) + PROMPT_WEIGHT;
	home->share_at = b->prompt_count;
}

double balance_prompt_share(const balance_t *b, const balance_affinity_t *home)
{
	double share = decayed_(b, home);

	return share < HOT_SHARE ? 0 : share;
}

void balance_set_preferred(balance_t *b, uint64_t affinity, uint64_t number,
			   mstime_t now)
{
	balance_affinity_t *home = balance_get_affinity(b, affinity, now);

	home->preferred_id = number;
	home->used_at = now;
}

void balance_mark_warm(balance_t *b, uint64_t affinity,
		       const balance_upstream_t *u, mstime_t now)
{
	balance_affinity_t *home;
	int at = 0;

	assert(b && u);
	if (!affinity)
		return;
	home = balance_get_affinity(b, affinity, now);
	while (at < BALANCE_WARM_MAX - 1 && home->warm_ids[at] != u->local_id)
		at++;
	memmove(&home->warm_ids[1], home->warm_ids,
		(size_t)at * sizeof(home->warm_ids[0]));
	home->warm_ids[0] = u->local_id;
	home->used_at = now;
}
