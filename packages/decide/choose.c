#include "private/choose.h"
#include <kcf/rank.h>

#include <math.h>
#include <string.h>

/* Standard deviations by which others' loads may have fallen unheard. */
#define STALE_DEVIATIONS 1.5
/* The same for own requests that have ended at the upstream, but not here. */
#define ENDED_DEVIATIONS 3

slot_t *choose_slot(const sched_t *s, uint32_t key)
{
	return g_hash_table_lookup(s->slots, GUINT_TO_POINTER(key));
}

static bool excluded_(const sched_request_t *r, uint32_t key)
{
	for (int i = 0; i < r->excluded; i++) {
		if (r->exclude[i] == key)
			return true;
	}
	return false;
}

bool choose_fits(const sched_request_t *r, const slot_t *sl)
{
	if (!sl->up || !sl->open || excluded_(r, sl->key))
		return false;
	if (strcmp(sl->up->service->name, r->service) != 0)
		return false;
	if (r->avoid[0] && sl->owner && !strcmp(sl->owner->name, r->avoid))
		return false;
	return !r->model[0] || upstream_serves_model(sl->up, r->model);
}

static bool in_region_(const sched_t *s, const slot_t *sl)
{
	return !strcmp(sl->up->data_centre->region, s->region);
}

static totals_t totals_(const sched_t *s, mstime_t now,
			const service_t *service)
{
	totals_t t = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const slot_t *sl = value;

		if (!sl->up ||
		    strcmp(sl->up->service->name, service->name) != 0)
			continue;
		if (!slot_alive(sl, now) || !in_region_(s, sl))
			continue;
		if (!sl->open && !slot_load(sl, now))
			continue;
		t.out += slot_load_there(sl, now);
		t.slots += sl->up->slots;
		t.variance += slot_variance(sl, now);
		t.ended += slot_ended(sl);
	}
	return t;
}

/* The sum over all upstreams is the same for all that one request compares. */
static totals_t cached_totals_(const sched_t *s, mstime_t now,
			       const service_t *service)
{
	choose_cache_t *c = s->cache;

	if (c->service != service || c->now != now || c->epoch != s->epoch) {
		c->service = service;
		c->now = now;
		c->epoch = s->epoch;
		c->totals = totals_(s, now, service);
	}
	return c->totals;
}

/*
 * Largest load within load_bound times the mean, one request of slack. The
 * mean is taken as it is at the upstreams: without requests that have not
 * arrived there yet, or may have ended there already.
 */
static int bound_(const sched_t *s, mstime_t now, const slot_t *sl,
		  certainty_t certainty)
{
	totals_t t = cached_totals_(s, now, sl->up->service);
	double out = t.out + 1 - ENDED_DEVIATIONS * sqrt(t.ended);

	if (!t.slots)
		return sl->up->slots;
	if (certainty == CERTAIN)
		out -= STALE_DEVIATIONS * sqrt(t.variance);
	return (int)floor(s->view->load_bound * MAX(0, out) * sl->up->slots /
			  t.slots) +
	       1;
}

bool choose_bounded(const sched_t *s)
{
	return s->view->placement == PLACEMENT_BOUNDED;
}

bool choose_has_room(const sched_t *s, mstime_t now, const slot_t *sl,
		     const char *customer, certainty_t certainty)
{
	int load = slot_load(sl, now);
	int limit = slot_limit(sl, s, now);

	if (sl->owned && (now < sl->hold_until || now < s->hold_all_until))
		return false;
	if (!choose_bounded(s))
		return load < limit;
	return load < limit - slot_reserve(sl, now, customer, limit) &&
	       load < bound_(s, now, sl, certainty);
}

static bool passes_(mstime_t now, const slot_t *sl, rank_filter_t filter)
{
	switch (filter) {
	case RANK_SETTLED:
		return slot_weight(sl, now) == WEIGHT_SETTLED;
	case RANK_OWNED:
		return sl->owned;
	default:
		return true;
	}
}

static slot_t *rank_pass_(const sched_t *s, mstime_t now,
			  const sched_request_t *r, rank_filter_t filter,
			  bool near, bool held)
{
	GHashTableIter iter;
	gpointer value;
	slot_t *best = NULL;
	double best_score = 0;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		uint32_t weight;
		double score;

		if (!choose_fits(r, sl) || !slot_alive(sl, now))
			continue;
		if (near && !in_region_(s, sl))
			continue;
		weight = MIN(slot_weight(sl, now), WEIGHT_FULL);
		if (held)
			weight = MAX(weight, 1);
		score = rank_score(r->chat, sl->up->hash,
				   sl->up->weight * weight / WEIGHT_FULL);
		if (score <= best_score || !passes_(now, sl, filter))
			continue;
		best = sl;
		best_score = score;
	}
	return best;
}

/* Best of the region, else of all; upstreams held back only if need be. */
slot_t *choose_ranked(const sched_t *s, mstime_t now, const sched_request_t *r,
		      rank_filter_t filter)
{
	slot_t *best = rank_pass_(s, now, r, filter, true, false);

	if (!best)
		best = rank_pass_(s, now, r, filter, false, false);
	if (!best)
		best = rank_pass_(s, now, r, filter, false, true);
	return best;
}

/*
 * Least loaded upstream of the region that has room; among equals the one that
 * ranks first, so that nodes which know the same do not all choose the same.
 */
slot_t *choose_least_loaded(const sched_t *s, mstime_t now,
			    const sched_request_t *r, certainty_t certainty)
{
	GHashTableIter iter;
	gpointer value;
	slot_t *best = NULL;
	double best_load = 0;
	double best_score = 0;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		double load;
		double score;

		if (!choose_fits(r, sl) || !slot_alive(sl, now) ||
		    !in_region_(s, sl) || !slot_weight(sl, now) ||
		    !choose_has_room(s, now, sl, r->customer, certainty))
			continue;
		load = (double)slot_load(sl, now) / sl->up->slots;
		score = rank_score(r->chat, sl->up->hash, sl->up->weight);
		if (best && (load > best_load ||
			     (load == best_load && score <= best_score)))
			continue;
		best = sl;
		best_load = load;
		best_score = score;
	}
	return best;
}

bool choose_warm(const slot_t *sl, mstime_t now, const sched_request_t *r)
{
	return r->sticky && sl->owned && lru_get(&sl->warm, now, r->chat);
}

/*
 * First-ranked upstream of a chat. While the one that ranks first has been
 * away of late, the chat may be warm on the one that ranked first without it,
 * and stays there until cold.
 */
slot_t *choose_home(const sched_t *s, mstime_t now, const sched_request_t *r)
{
	slot_t *first = choose_ranked(s, now, r, RANK_ANY);
	slot_t *settled;

	if (!first || !r->sticky || slot_weight(first, now) == WEIGHT_SETTLED)
		return first;
	settled = rank_pass_(s, now, r, RANK_SETTLED, true, false);
	if (!settled)
		return first;
	if (settled->owned)
		return choose_warm(settled, now, r) ? settled : first;
	return r->hop == 0 ? settled : first;
}

/* One way of choosing an upstream for a request that comes from a caller. */
typedef struct placement_ops {
	/* NULL when none is in service. */
	slot_t *(*choose)(sched_t *s, mstime_t now, const sched_request_t *r);
} placement_ops_t;

static slot_t *by_home_(sched_t *s, mstime_t now, const sched_request_t *r)
{
	return choose_home(s, now, r);
}

static slot_t *by_random_(sched_t *s, mstime_t now, const sched_request_t *r)
{
	sched_request_t any = *r;

	any.chat = ((uint64_t)g_rand_int(s->rand) << 32) | g_rand_int(s->rand);
	return choose_ranked(s, now, &any, RANK_ANY);
}

static slot_t *by_load_(sched_t *s, mstime_t now, const sched_request_t *r)
{
	slot_t *sl = choose_least_loaded(s, now, r, LIKELY);

	return sl ? sl : by_random_(s, now, r);
}

static slot_t *by_hash_(sched_t *s, mstime_t now, const sched_request_t *r)
{
	return choose_ranked(s, now, r, RANK_ANY);
}

static const placement_ops_t placements[PLACEMENT_COUNT] = {
	[PLACEMENT_BOUNDED] = { by_home_ },
	[PLACEMENT_RANDOM] = { by_random_ },
	[PLACEMENT_LEAST_LOADED] = { by_load_ },
	[PLACEMENT_HASH] = { by_hash_ },
};

slot_t *choose_first(sched_t *s, mstime_t now, const sched_request_t *r)
{
	return placements[s->view->placement].choose(s, now, r);
}
