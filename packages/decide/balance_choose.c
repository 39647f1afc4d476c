/*
 * Chooses the upstream of a request.
 */
#include "private/balance.h"

#include <kcf/rank.h>

#include <assert.h>
#include <math.h>
#include <string.h>

/*
 * A prompt spills from its preferred upstream at a load between two limits,
 * each a multiple of the mean load plus a slack. A hash of the prompt and the
 * upstream selects the point between them, so that few prompts leave an
 * overloaded upstream at a time, the same ones on every node. The margin up to
 * the load limit (BALANCE_LIMIT_FACTOR) is for load that reports don't show
 * yet.
 */
#define SPILL_MIN_FACTOR 1.25
#define SPILL_MIN_SLACK 2.0
#define SPILL_MAX_FACTOR 1.6
#define SPILL_MAX_SLACK 2.5
/*
 * While one version gets few requests, the mean load of all upstreams may be
 * half of that of the others, and their load limit is no more than the load
 * limit's slack above their own mean. They are kept within this of it.
 */
#define RESTRICTED_MIN_SLACK 0.5
#define RESTRICTED_MAX_SLACK 2.0
/* Outstanding requests per slot at which another one would wait too long. */
#define FULL_PER_SLOT 3
/* The same for a customer above its share; the rest is for other customers. */
#define FULL_PER_SLOT_OVER_SHARE 2
/* Interval of probe requests to an unhealthy upstream. */
#define PROBE_INTERVAL_MS 700
/* Load of a hot prompt at each of its upstreams, as a fraction of the mean. */
#define HOT_LOAD_FRACTION 0.5
/* Scales the upper 53 bits of a hash to the range from 0 to below 1. */
#define HASH_TO_FRACTION (1.0 / 9007199254740992.0)
/* Load of a brittle upstream, in parts of its slots, up to which nodes without
 * a part try it.
 */
#define BRITTLE_TRY_LOAD 0.75
/* Time until the upstream entries have been read again. */
#define RETRY_NO_UPSTREAM_MS 300
/* Time until a cold upstream may get its next request. */
#define RETRY_COLD_MS 150

const char *const balance_reason_string[] = {
	"first",      "spill",	     "hot",  "least",	       "trial",
	"baseline",   "no upstream", "full", "over its share", "cold",
	"rate limit", "reserved",    "late", "work",
};

static int copy_preference_(const balance_affinity_t *entry,
			    const balance_upstream_t *u);

typedef struct choice {
	int index; /* -1 for none */
	double slot_load;
	double score;
} choice_t;

/*
 * Load per slot. Half a request is added for another data centre and up to one
 * at random, to decide between upstreams of equal load.
 */
static double load_per_slot_(balance_t *b, const candidates_t *c, guint i)
{
	const balance_upstream_t *u = c->list[i];
	double distance = strcmp(u->data_centre, b->data_centre) ? 0.5 : 0;

	return (c->loads[i] + distance + g_rand_double(b->rand)) / u->slots;
}

static void keep_lower_load_(choice_t *best, int index, double slot_load)
{
	if (best->index >= 0 && best->slot_load <= slot_load)
		return;
	best->index = index;
	best->slot_load = slot_load;
}

static void keep_higher_score_(choice_t *best, int index, double score)
{
	if (best->index >= 0 && best->score >= score)
		return;
	best->index = index;
	best->score = score;
}

/*
 * Number of upstreams over which a prompt is spread, so that it adds about
 * HOT_LOAD_FRACTION of the mean load to each. Nodes need not exchange the share
 * of a prompt, since all of them see about the same one.
 */
static int hot_fanout_(const balance_t *b, const candidates_t *c, double share)
{
	/* Without reports, other nodes are assumed to be like this one. */
	double all = MAX(c->mean_load * c->count,
			 (double)c->own_outstanding * b->node_count);
	double load = share * all;

	return MAX(1, (int)(load / (HOT_LOAD_FRACTION *
				    MAX(c->mean_load, SPILL_MIN_SLACK)) +
			    0.5));
}

/* Upstreams that have the prompt by what nodes tell, newest first. */
typedef struct told {
	uint32_t keys[WARMTH_PLACES];
	int count;
	bool ready; /* it can be copied from one of them */
} told_t;

typedef struct ranking {
	int fanout; /* upstreams to spread the prompt over */
	const balance_affinity_t *entry; /* of the prompt, or NULL */
	choice_t preferred;		 /* highest score, at any load */
	choice_t runner_up;		 /* second highest score */
	choice_t first_fit; /* highest score within the spill limit */
	told_t told;
	choice_t told_fit; /* the same among those told of */
	bool has_own;	   /* this node knows where the prompt is, by itself */
	choice_t least_loaded;
	choice_t least_loaded_any; /* unhealthy ones included */
	int probe;		   /* unhealthy one due for a probe, or -1 */
	int *eligible;		   /* all that have capacity for the request */
	guint eligible_count;
	bool any_cold; /* one was left out at its cold rate limit */
	bool any_rate_limited;
	mstime_t rate_wait_ms; /* shortest of those */
	bool any_full;
	admission_verdict_t verdict; /* the mildest of those */
} ranking_t;

static void update_preferred_(ranking_t *r, int index, double score)
{
	if (r->preferred.index >= 0 && r->preferred.score >= score) {
		keep_higher_score_(&r->runner_up, index, score);
		return;
	}
	r->runner_up = r->preferred;
	keep_higher_score_(&r->preferred, index, score);
}

/* Load up to which an upstream gets requests of a prompt. */
static double spill_limit_(const candidates_t *c, const balance_upstream_t *u,
			   uint64_t affinity)
{
	double lowest = c->mean_load * SPILL_MIN_FACTOR + SPILL_MIN_SLACK;
	double highest = c->mean_load * SPILL_MAX_FACTOR + SPILL_MAX_SLACK;
	uint64_t hash = str_hash64(
		(str_t){ (const char *)&affinity, sizeof(affinity) }, u->hash);

	/* The mean of all is far below the load of the few that are left. */
	if (c->restricted) {
		lowest = MAX(lowest, c->listed_load + RESTRICTED_MIN_SLACK);
		highest = MAX(highest, c->listed_load + RESTRICTED_MAX_SLACK);
	}
	return lowest +
	       (highest - lowest) * (double)(hash >> 11) * HASH_TO_FRACTION;
}

static bool is_within_spill_limit_(const candidates_t *c, int index,
				   uint64_t affinity)
{
	return c->loads[index] + 1 <= spill_limit_(c, c->list[index], affinity);
}

/*
 * What is told reaches many nodes at once, each with first requests that the
 * others' reports don't show yet: the lowest spill limit holds for all prompts.
 */
static bool is_within_told_limit_(const candidates_t *c, int index)
{
	return c->loads[index] + 1 <=
	       c->mean_load * SPILL_MIN_FACTOR + SPILL_MIN_SLACK;
}

/* Load that is only estimated must not lead to a refusal. */
static bool is_full_(const balance_request_t *request,
		     const balance_upstream_t *u, int load, mstime_t now)
{
	int known_load =
		balance_has_fresh_report(u, now) ? load : u->own_outstanding;
	int factor =
		request->over_share ? FULL_PER_SLOT_OVER_SHARE : FULL_PER_SLOT;

	return known_load >= u->slots * factor;
}

/*
 * Whether one more request would put an upstream over the load limit. Only what
 * must stay at few upstreams can: others go to one with less load.
 */
static bool is_over_limit_(const candidates_t *c, guint i, mstime_t now)
{
	const balance_upstream_t *u = c->list[i];
	int known_load = balance_has_fresh_report(u, now) ? c->loads[i]
							  : u->own_outstanding;

	return known_load + 1 >
	       c->mean_load * BALANCE_LIMIT_FACTOR + BALANCE_LIMIT_SLACK;
}

/* Room by a report is that of slots: a brittle one may let none wait. */
static bool brittle_has_room_(const balance_t *b,
			      const balance_request_t *request,
			      const candidates_t *c, guint i, mstime_t now)
{
	balance_upstream_t *u = c->list[i];
	bool has_room = balance_has_fresh_report(u, now) &&
			c->loads[i] < u->slots * BRITTLE_TRY_LOAD;

	if (request->no_brittle && u->brittle.active)
		return false;
	return brittle_allows(&u->brittle, &b->place, u->key,
			      u->own_outstanding, has_room, now);
}

static told_t find_told_(const balance_t *b, const balance_request_t *request,
			 mstime_t now)
{
	told_t told = { .count = 0 };

	if (request->affinity && balance_shares_warmth(b, request->service))
		told.count = warmth_find(b->warmth, request->affinity, now,
					 told.keys);
	for (int i = 0; i < told.count; i++)
		told.ready = told.ready ||
			     warmth_is_ready(b->warmth, request->affinity,
					     told.keys[i], now);
	return told;
}

static bool is_told_(const told_t *told, const balance_upstream_t *u)
{
	for (int i = 0; i < told->count; i++) {
		if (told->keys[i] == u->key)
			return true;
	}
	return false;
}

static admission_view_t admission_view_(const candidates_t *c, int load,
					int slots)
{
	return (admission_view_t){ .load = load,
				   .slots = slots,
				   .service_load = c->mean_load * c->count,
				   .service_slots = c->slots,
				   .hold_ms = c->mean_hold_ms,
				   .least_ms = c->least_ms };
}

/* Whether an upstream takes a request; keeps the mildest reason against it. */
static bool admits_(const balance_t *b, const balance_request_t *request,
		    const candidates_t *c, guint i, mstime_t now,
		    admission_verdict_t *mildest)
{
	const balance_upstream_t *u = c->list[i];
	bool fresh = balance_has_fresh_report(u, now);
	admission_view_t view = admission_view_(
		c, fresh ? c->loads[i] : u->own_outstanding, u->slots);
	admission_verdict_t verdict;

	if (!b->pace_reported || c->mean_hold_ms <= 0)
		return !is_full_(request, u, c->loads[i], now);
	verdict = admission_decide(&request->claim, &view, now);
	if (verdict != ADMISSION_ADMIT &&
	    (*mildest == ADMISSION_ADMIT || verdict < *mildest))
		*mildest = verdict;
	return verdict == ADMISSION_ADMIT;
}

static void rank_candidates_(balance_t *b, const balance_request_t *request,
			     const candidates_t *c, mstime_t now, ranking_t *r)
{
	balance_affinity_t *entry =
		request->affinity
			? balance_get_affinity(b, request->affinity, now)
			: NULL;
	uint64_t preferred_id = entry ? entry->preferred_id : 0;

	if (entry && !request->exclude_count)
		balance_count_prompt(b, entry);
	*r = (ranking_t){ .fanout = entry ? hot_fanout_(b, c,
							balance_prompt_share(
								b, entry))
					  : 1,
			  .entry = entry,
			  .preferred = { -1 },
			  .runner_up = { -1 },
			  .first_fit = { -1 },
			  .told = find_told_(b, request, now),
			  .told_fit = { -1 },
			  .least_loaded = { -1 },
			  .least_loaded_any = { -1 },
			  .probe = -1,
			  .eligible = g_new(int, c->count + 1) };
	for (guint i = 0; i < c->count; i++) {
		balance_upstream_t *u = c->list[i];
		double score =
			u->local_id == preferred_id
				? HUGE_VAL
				: rank_score(request->affinity, u->hash, 1);
		double slot_load = load_per_slot_(b, c, i);

		if (request->version &&
		    (request->version != u->version_key ||
		     balance_trust(u, now) < request->least_trust))
			continue;
		if (request->no_refuted && u->refuted)
			continue;
		update_preferred_(r, (int)i, score);
		r->has_own =
			r->has_own || (entry && copy_preference_(entry, u));
		if (!admits_(b, request, c, i, now, &r->verdict) ||
		    (request->version && is_over_limit_(c, i, now)) ||
		    !brittle_has_room_(b, request, c, i, now)) {
			r->any_full = true;
			continue;
		}
		if (!balance_cold_rate_allows(b, u, now)) {
			r->any_cold = true;
			continue;
		}
		if (!rate_limit_allows(&u->rate_limit, &b->place, u->key,
				       now)) {
			mstime_t wait = rate_limit_wait_ms(&u->rate_limit);

			r->rate_wait_ms = r->any_rate_limited
						  ? MIN(r->rate_wait_ms, wait)
						  : wait;
			r->any_rate_limited = true;
			continue;
		}
		r->eligible[r->eligible_count++] = (int)i;
		keep_lower_load_(&r->least_loaded_any, (int)i, slot_load);
		if (balance_is_unhealthy(c, u)) {
			if (now >= u->next_probe_at && !u->own_outstanding)
				r->probe = (int)i;
			continue;
		}
		keep_lower_load_(&r->least_loaded, (int)i, slot_load);
		if (!is_within_spill_limit_(c, (int)i, request->affinity))
			continue;
		keep_higher_score_(&r->first_fit, (int)i, score);
		if (is_told_(&r->told, u) && is_within_told_limit_(c, (int)i))
			keep_higher_score_(&r->told_fit, (int)i, score);
	}
}

static balance_pick_t refuse_admission_(const balance_request_t *request,
					const candidates_t *c,
					const ranking_t *r, mstime_t now)
{
	static const balance_reason_t reasons[] = {
		[ADMISSION_BUSY] = BALANCE_FULL,
		[ADMISSION_RESERVED] = BALANCE_RESERVED,
		[ADMISSION_SURPLUS] = BALANCE_OVER_SHARE,
		[ADMISSION_LATE] = BALANCE_LATE,
	};
	admission_view_t view = admission_view_(
		c, (int)c->mean_load, c->slots / (int)MAX(c->count, 1));

	return (balance_pick_t){ .reason = reasons[r->verdict],
				 .retry_ms = admission_retry_ms(&request->claim,
								&view, now) };
}

static balance_pick_t refuse_(balance_t *b, const balance_request_t *request,
			      const candidates_t *c, const ranking_t *r,
			      mstime_t now)
{
	if (r->any_cold)
		return (balance_pick_t){ .reason = BALANCE_COLD,
					 .retry_ms = RETRY_COLD_MS };
	if (r->any_rate_limited)
		return (balance_pick_t){ .reason = BALANCE_RATE_LIMITED,
					 .retry_ms = r->rate_wait_ms };
	if (r->verdict != ADMISSION_ADMIT)
		return refuse_admission_(request, c, r, now);
	if (r->any_full)
		return (balance_pick_t){ .reason = request->over_share
							   ? BALANCE_OVER_SHARE
							   : BALANCE_FULL,
					 .retry_ms = balance_retry_delay(
						 b, request->service, c, now) };
	return (balance_pick_t){ .reason = BALANCE_NO_UPSTREAM,
				 .retry_ms = RETRY_NO_UPSTREAM_MS };
}

static gint higher_score_first_(gconstpointer a, gconstpointer b)
{
	const choice_t *ca = a;
	const choice_t *cb = b;

	return (cb->score > ca->score) - (cb->score < ca->score);
}

/*
 * Picks one at random of the first upstreams by score, as many as fanout, that
 * are healthy and within the spill limit. Returns -1 if there is none.
 */
static int choose_hot_(balance_t *b, const balance_request_t *request,
		       const candidates_t *c, const ranking_t *r, int fanout)
{
	GArray *fitting = g_array_new(FALSE, FALSE, sizeof(choice_t));
	int index = -1;

	for (guint i = 0; i < r->eligible_count; i++) {
		const balance_upstream_t *u = c->list[r->eligible[i]];
		choice_t choice = { r->eligible[i], 0,
				    rank_score(request->affinity, u->hash, 1) };

		if (!balance_is_unhealthy(c, u) &&
		    is_within_spill_limit_(c, choice.index, request->affinity))
			g_array_append_val(fitting, choice);
	}
	g_array_sort(fitting, higher_score_first_);
	if (fitting->len) {
		gint32 n = (gint32)MIN(fitting->len, (guint)fanout);
		gint32 i = g_rand_int_range(b->rand, 0, n);

		index = g_array_index(fitting, choice_t, i).index;
	}
	g_array_unref(fitting);
	return index;
}

/*
 * Load of the preferred upstream in multiples of the load limit, rounded up. A
 * prompt may be hot on all other nodes and new to this one; its requests must
 * then not all spill to the upstream ranked second.
 */
static int overload_ratio_(const candidates_t *c, const ranking_t *r)
{
	double allowed =
		c->mean_load * BALANCE_LIMIT_FACTOR + BALANCE_LIMIT_SLACK;

	if (r->preferred.index < 0)
		return 1;
	return (int)ceil(c->loads[r->preferred.index] / allowed);
}

static int choose_bounded_(balance_t *b, const balance_request_t *request,
			   const candidates_t *c, const ranking_t *r,
			   balance_reason_t *reason)
{
	int fanout = MAX(r->fanout, overload_ratio_(c, r));
	int index = fanout > 1 ? choose_hot_(b, request, c, r, fanout) : -1;

	if (index >= 0) {
		*reason = BALANCE_HOT;
		return index;
	}
	/* Instead of one that would have to read the prompt again. */
	if (!r->has_own && r->told_fit.index >= 0) {
		*reason = BALANCE_FIRST;
		return r->told_fit.index;
	}
	if (request->affinity && r->first_fit.index >= 0) {
		*reason = r->first_fit.index == r->preferred.index
				  ? BALANCE_FIRST
				  : BALANCE_SPILL;
		return r->first_fit.index;
	}
	*reason = BALANCE_LEAST_LOADED;
	return r->least_loaded.index >= 0 ? r->least_loaded.index
					  : r->least_loaded_any.index;
}

static int choose_least_loaded_(balance_t *b, const balance_request_t *request,
				const candidates_t *c, const ranking_t *r,
				balance_reason_t *reason)
{
	(void)b;
	(void)request;
	(void)c;
	*reason = BALANCE_BASELINE;
	return r->least_loaded_any.index;
}

static int choose_random_(balance_t *b, const balance_request_t *request,
			  const candidates_t *c, const ranking_t *r,
			  balance_reason_t *reason)
{
	(void)request;
	(void)c;
	*reason = BALANCE_BASELINE;
	if (!r->eligible_count)
		return -1;
	return r->eligible[g_rand_int_range(b->rand, 0,
					    (gint32)r->eligible_count)];
}

static int choose_hash_(balance_t *b, const balance_request_t *request,
			const candidates_t *c, const ranking_t *r,
			balance_reason_t *reason)
{
	choice_t best = { -1 };

	if (!request->affinity)
		return choose_random_(b, request, c, r, reason);
	*reason = BALANCE_BASELINE;
	for (guint i = 0; i < r->eligible_count; i++) {
		const balance_upstream_t *u = c->list[r->eligible[i]];

		keep_higher_score_(&best, r->eligible[i],
				   rank_score(request->affinity, u->hash, 1));
	}
	return best.index;
}

/* Returns an index into the list of candidates, or -1 for none. */
typedef int (*placement_fn)(balance_t *b, const balance_request_t *request,
			    const candidates_t *c, const ranking_t *r,
			    balance_reason_t *reason);

static const placement_fn placements[PLACEMENT_COUNT] = {
	[PLACEMENT_BOUNDED] = choose_bounded_,
	[PLACEMENT_RANDOM] = choose_random_,
	[PLACEMENT_LEAST_LOADED] = choose_least_loaded_,
	[PLACEMENT_HASH] = choose_hash_,
};

static work_choice_t describe_choice_(const balance_t *b,
				      const balance_request_t *request,
				      const candidates_t *c, const ranking_t *r)
{
	return (work_choice_t){
		.request = request,
		.candidates = c,
		.entry = r->entry,
		.preferred = r->preferred.index,
		.told_keys = r->told.keys,
		.told_count = r->told.count,
		.told_ready = r->told.ready,
		.told_all = balance_shares_warmth(b, request->service),
	};
}

/*
 * Healthy upstreams within the spill limit. Only these may replace the choice
 * of the rules above, so that those rules hold for the replacement as well.
 */
static int choose_by_work_(balance_t *b, const balance_request_t *request,
			   const candidates_t *c, const ranking_t *r,
			   int chosen, mstime_t now, balance_reason_t *reason)
{
	work_choice_t w = describe_choice_(b, request, c, r);
	int best;

	w.allowed = g_new(int, r->eligible_count + 1);
	for (guint i = 0; i < r->eligible_count; i++) {
		int index = r->eligible[i];

		if (!balance_is_unhealthy(c, c->list[index]) &&
		    is_within_spill_limit_(c, index, request->affinity))
			w.allowed[w.allowed_count++] = index;
	}
	best = balance_choose_by_work(b, &w, chosen, now);
	g_free(w.allowed);
	if (best != chosen)
		*reason = BALANCE_WORK;
	return best;
}

static int choose_index_(balance_t *b, const balance_request_t *request,
			 const candidates_t *c, const ranking_t *r,
			 mstime_t now, balance_reason_t *reason)
{
	bool probe = r->probe >= 0 && !request->exclude_count &&
		     b->placement == PLACEMENT_BOUNDED;

	if (!probe) {
		int index = placements[b->placement](b, request, c, r, reason);

		if (index < 0 || b->placement != PLACEMENT_BOUNDED ||
		    request->version || !c->work_known)
			return index;
		return choose_by_work_(b, request, c, r, index, now, reason);
	}
	c->list[r->probe]->next_probe_at = now + PROBE_INTERVAL_MS;
	*reason = BALANCE_PROBE;
	return r->probe;
}

/*
 * Rank of an upstream as the source of a copy of the prompt, 0 for none. The
 * upstreams that answered last come before the preferred one.
 */
static int copy_preference_(const balance_affinity_t *entry,
			    const balance_upstream_t *u)
{
	int preference = entry->preferred_id == u->local_id ? 1 : 0;

	for (int i = 0; i < BALANCE_WARM_MAX; i++) {
		if (entry->warm_ids[i] == u->local_id)
			preference = 1 + BALANCE_WARM_MAX - i;
	}
	/* A leaving upstream may stop before its entry says so: use it last. */
	return preference && !u->leaving ? preference + BALANCE_WARM_MAX + 1
					 : preference;
}

/* The upstream that others told of last, other than the chosen one, or NULL. */
static const balance_upstream_t *told_source_(const balance_t *b,
					      const told_t *told,
					      const balance_upstream_t *chosen)
{
	const balance_upstream_t *leaving = NULL;

	for (int i = 0; i < told->count; i++) {
		const balance_upstream_t *u =
			balance_find_key(b, told->keys[i]);

		if (!u || u == chosen ||
		    strcmp(u->service, chosen->service) != 0)
			continue;
		if (!u->leaving)
			return u;
		leaving = leaving ? leaving : u;
	}
	return leaving;
}

/*
 * Upstream that the chosen one may copy the prompt from: one that this node
 * knows to be warm, or else one that others told of. Without any this is the
 * best ranked other candidate; if no cache has the prompt, the failed lookup
 * costs little.
 */
static const balance_upstream_t *
copy_source_(const balance_t *b, const candidates_t *c, const ranking_t *r,
	     const balance_upstream_t *chosen, bool *by_told)
{
	const choice_t *other = &r->preferred;
	const balance_upstream_t *best = NULL;
	GHashTableIter iter;
	gpointer value;
	int best_preference = 0;

	if (copy_preference_(r->entry, chosen))
		return NULL;
	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		int preference = copy_preference_(r->entry, value);

		if (preference <= best_preference)
			continue;
		best_preference = preference;
		best = value;
	}
	if (!best) {
		best = told_source_(b, &r->told, chosen);
		*by_told = best;
	}
	if (best)
		return best;
	if (other->index >= 0 && c->list[other->index] == chosen)
		other = &r->runner_up;
	return other->index >= 0 ? c->list[other->index] : NULL;
}

balance_pick_t balance_choose(balance_t *b, const balance_request_t *request,
			      mstime_t now)
{
	balance_pick_t pick = { 0 };
	candidates_t c;
	ranking_t r;
	work_choice_t w;
	int index;

	assert(b && request && request->service);
	balance_collect_candidates(b, request, now, &c);
	rank_candidates_(b, request, &c, now, &r);
	index = choose_index_(b, request, &c, &r, now, &pick.reason);
	if (index < 0) {
		pick = refuse_(b, request, &c, &r, now);
	} else {
		pick.upstream = c.list[index];
		pick.load = c.loads[index];
		pick.load_age_ms = pick.upstream->reported_at
					   ? now - pick.upstream->reported_at
					   : -1;
		balance_count_own(pick.upstream, 1, now);
		if (request->affinity)
			pick.copy_source = copy_source_(
				b, &c, &r, pick.upstream, &pick.copy_told);
		w = describe_choice_(b, request, &c, &r);
		balance_begin_work(b, &w, index, now, &pick);
		pick.place_told = pick.reason == BALANCE_FIRST &&
				  index == r.told_fit.index && !r.has_own;
		/* Others may wait for this read rather than repeat it. */
		if (request->affinity && !r.told.count && !r.has_own &&
		    balance_shares_warmth(b, request->service))
			warmth_begin_prefill(b->warmth, request->affinity,
					     pick.upstream->key, now);
		/* A spill leaves the preferred upstream as it is, and so does
		 * a request that could not go to all.
		 */
		if (request->affinity && !request->version &&
		    !request->avoid_version && pick.reason == BALANCE_FIRST)
			balance_set_preferred(b, request->affinity,
					      pick.upstream->local_id, now);
		if (balance_is_cold(b, pick.upstream, now))
			pick.upstream->cold_tokens -= 1;
		brittle_spend(&pick.upstream->brittle, &b->place,
			      pick.upstream->key,
			      pick.upstream->own_outstanding - 1, now);
		rate_limit_spend(&pick.upstream->rate_limit, &b->place,
				 pick.upstream->key, now);
	}
	pick.mean_load = c.mean_load;
	g_free(r.eligible);
	balance_free_candidates(&c);
	return pick;
}
