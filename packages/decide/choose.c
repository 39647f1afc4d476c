#include "private/choose.h"
#include <kcf/rank.h>

#include <math.h>
#include <string.h>

/*
 * Standard deviations by which the load from other nodes may have dropped since
 * it was reported.
 */
#define REMOTE_DEVIATIONS 1.5
/* The same for own requests whose end is not known here yet. */
#define ENDED_DEVIATIONS 3

sched_upstream_t *choose_lookup(const sched_t *s, uint32_t key)
{
	return g_hash_table_lookup(s->upstreams, GUINT_TO_POINTER(key));
}

static bool is_excluded_(const sched_request_t *r, uint32_t key)
{
	for (int i = 0; i < r->exclude_count; i++) {
		if (r->exclude[i] == key)
			return true;
	}
	return false;
}

bool choose_can_serve(const sched_request_t *r, const sched_upstream_t *u)
{
	if (!u->config || !u->in_service || is_excluded_(r, u->key))
		return false;
	if (strcmp(u->config->service->name, r->service) != 0)
		return false;
	if (r->avoid_node[0] && u->owner &&
	    !strcmp(u->owner->name, r->avoid_node))
		return false;
	return !r->model[0] || upstream_serves_model(u->config, r->model);
}

static bool in_region_(const sched_t *s, const sched_upstream_t *u)
{
	return !strcmp(u->config->data_centre->region, s->region);
}

static totals_t sum_totals_(const sched_t *s, mstime_t now,
			    const service_t *service)
{
	totals_t t = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const sched_upstream_t *u = value;

		if (!u->config ||
		    strcmp(u->config->service->name, service->name) != 0)
			continue;
		if (!sched_upstream_alive(u, now) || !in_region_(s, u))
			continue;
		if (!u->in_service && !sched_upstream_load(u, now))
			continue;
		t.outstanding += sched_upstream_expected_load(u, now);
		t.slots += u->config->slots;
		t.variance += sched_upstream_load_variance(u, now);
		t.expected_ends += sched_upstream_expected_ends(u);
	}
	return t;
}

/* A request compares many upstreams against the same sums. */
static totals_t cached_totals_(const sched_t *s, mstime_t now,
			       const service_t *service)
{
	totals_cache_t *c = s->totals_cache;

	if (c->service != service || c->now != now ||
	    c->load_epoch != s->load_epoch) {
		c->service = service;
		c->now = now;
		c->load_epoch = s->load_epoch;
		c->totals = sum_totals_(s, now, service);
	}
	return c->totals;
}

/*
 * Load that an upstream must be below to be sent one more request: load_bound
 * times the mean, plus one request of slack. The mean counts what runs at the
 * upstreams, without requests that have not arrived yet or may have ended.
 */
static int load_bound_(const sched_t *s, mstime_t now,
		       const sched_upstream_t *u, bound_estimate_t estimate)
{
	totals_t t = cached_totals_(s, now, u->config->service);
	double outstanding =
		t.outstanding + 1 - ENDED_DEVIATIONS * sqrt(t.expected_ends);

	if (!t.slots)
		return u->config->slots;
	if (estimate == BOUND_CONSERVATIVE)
		outstanding -= REMOTE_DEVIATIONS * sqrt(t.variance);
	return (int)floor(s->view->load_bound * MAX(0, outstanding) *
			  u->config->slots / t.slots) +
	       1;
}

bool choose_is_bounded(const sched_t *s)
{
	return s->view->placement == PLACEMENT_BOUNDED;
}

bool choose_has_capacity(const sched_t *s, mstime_t now,
			 const sched_upstream_t *u, const char *customer,
			 bound_estimate_t estimate)
{
	int load = sched_upstream_load(u, now);
	int limit = sched_upstream_limit(u, s, now);

	if (u->owned && (now < u->wait_report_until || now < s->paused_until))
		return false;
	if (!choose_is_bounded(s))
		return load < limit;
	return load < limit - sched_upstream_reserve(u, now, customer, limit) &&
	       load < load_bound_(s, now, u, estimate);
}

static bool matches_filter_(mstime_t now, const sched_upstream_t *u,
			    rank_filter_t filter)
{
	switch (filter) {
	case RANK_STABLE:
		return sched_upstream_weight(u, now) == WEIGHT_STABLE;
	case RANK_OWNED:
		return u->owned;
	default:
		return true;
	}
}

static sched_upstream_t *rank_matching_(const sched_t *s, mstime_t now,
					const sched_request_t *r,
					rank_filter_t filter, bool region_only,
					bool include_zero_weight)
{
	GHashTableIter iter;
	gpointer value;
	sched_upstream_t *best = NULL;
	double best_score = 0;

	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_upstream_t *u = value;
		uint32_t weight;
		double score;

		if (!choose_can_serve(r, u) || !sched_upstream_alive(u, now))
			continue;
		if (region_only && !in_region_(s, u))
			continue;
		weight = MIN(sched_upstream_weight(u, now), WEIGHT_FULL);
		if (include_zero_weight)
			weight = MAX(weight, 1);
		score = rank_score(r->chat, u->config->hash,
				   u->config->weight * weight / WEIGHT_FULL);
		if (score <= best_score || !matches_filter_(now, u, filter))
			continue;
		best = u;
		best_score = score;
	}
	return best;
}

sched_upstream_t *choose_by_rank(const sched_t *s, mstime_t now,
				 const sched_request_t *r, rank_filter_t filter)
{
	sched_upstream_t *best = rank_matching_(s, now, r, filter, true, false);

	if (!best)
		best = rank_matching_(s, now, r, filter, false, false);
	if (!best)
		best = rank_matching_(s, now, r, filter, false, true);
	return best;
}

sched_upstream_t *choose_least_loaded(const sched_t *s, mstime_t now,
				      const sched_request_t *r,
				      bound_estimate_t estimate)
{
	GHashTableIter iter;
	gpointer value;
	sched_upstream_t *best = NULL;
	double best_load = 0;
	double best_score = 0;

	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_upstream_t *u = value;
		double load;
		double score;

		if (!choose_can_serve(r, u) || !sched_upstream_alive(u, now) ||
		    !in_region_(s, u) || !sched_upstream_weight(u, now) ||
		    !choose_has_capacity(s, now, u, r->customer, estimate))
			continue;
		load = (double)sched_upstream_load(u, now) / u->config->slots;
		score = rank_score(r->chat, u->config->hash, u->config->weight);
		if (best && (load > best_load ||
			     (load == best_load && score <= best_score)))
			continue;
		best = u;
		best_load = load;
		best_score = score;
	}
	return best;
}

bool choose_is_warm(const sched_upstream_t *u, mstime_t now,
		    const sched_request_t *r)
{
	return r->sticky && u->owned && lru_get(&u->cached_chats, now, r->chat);
}

sched_upstream_t *choose_preferred(const sched_t *s, mstime_t now,
				   const sched_request_t *r)
{
	sched_upstream_t *first = choose_by_rank(s, now, r, RANK_ANY);
	sched_upstream_t *stable;

	if (!first || !r->sticky ||
	    sched_upstream_weight(first, now) == WEIGHT_STABLE)
		return first;
	stable = rank_matching_(s, now, r, RANK_STABLE, true, false);
	if (!stable)
		return first;
	if (stable->owned)
		return choose_is_warm(stable, now, r) ? stable : first;
	return r->hop == 0 ? stable : first;
}

/* First choice of an upstream by one placement. */
typedef struct placement_ops {
	/* Returns NULL if none is in service. */
	sched_upstream_t *(*choose)(sched_t *s, mstime_t now,
				    const sched_request_t *r);
} placement_ops_t;

static sched_upstream_t *by_affinity_(sched_t *s, mstime_t now,
				      const sched_request_t *r)
{
	return choose_preferred(s, now, r);
}

static sched_upstream_t *by_random_(sched_t *s, mstime_t now,
				    const sched_request_t *r)
{
	sched_request_t random = *r;

	random.chat =
		((uint64_t)g_rand_int(s->rand) << 32) | g_rand_int(s->rand);
	return choose_by_rank(s, now, &random, RANK_ANY);
}

static sched_upstream_t *by_load_(sched_t *s, mstime_t now,
				  const sched_request_t *r)
{
	sched_upstream_t *u = choose_least_loaded(s, now, r, BOUND_EXPECTED);

	return u ? u : by_random_(s, now, r);
}

static sched_upstream_t *by_hash_(sched_t *s, mstime_t now,
				  const sched_request_t *r)
{
	return choose_by_rank(s, now, r, RANK_ANY);
}

static const placement_ops_t placement_table[PLACEMENT_COUNT] = {
	[PLACEMENT_BOUNDED] = { by_affinity_ },
	[PLACEMENT_RANDOM] = { by_random_ },
	[PLACEMENT_LEAST_LOADED] = { by_load_ },
	[PLACEMENT_HASH] = { by_hash_ },
};

sched_upstream_t *choose_by_placement(sched_t *s, mstime_t now,
				      const sched_request_t *r)
{
	return placement_table[s->view->placement].choose(s, now, r);
}
