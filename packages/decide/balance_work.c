/*
 * Choice by expected time to the first output, and the gossip about it.
 */
#include "private/balance.h"

#include <assert.h>
#include <kcf/rank.h>
#include <math.h>
#include <string.h>

/*
 * An upstream must be better than the chosen one by this part of the route's
 * latency objective before a request leaves a warm cache for it. Smaller
 * differences are within the error of what a node knows.
 */
#define MARGIN_FRACTION 0.1
/* Objective of routes that state none. */
#define OBJECTIVE_DEFAULT_MS 500

static work_rate_t *get_rate_(balance_t *b, const char *service)
{
	work_rate_t *r = g_hash_table_lookup(b->work_rates, service);

	if (!r) {
		r = g_new0(work_rate_t, 1);
		g_hash_table_insert(b->work_rates, g_strdup(service), r);
	}
	return r;
}

static double tokens_per_ms_(balance_t *b, const char *service)
{
	return work_rate_tokens_per_ms(get_rate_(b, service));
}

bool balance_work_is_active(const candidates_t *c, mstime_t now)
{
	for (guint i = 0; i < c->count; i++) {
		if (work_is_reported(&c->list[i]->work, now))
			return true;
	}
	return false;
}

static bool is_cached_at_(const balance_affinity_t *entry,
			  const balance_upstream_t *u)
{
	for (int i = 0; entry && i < BALANCE_WARM_MAX; i++) {
		if (entry->warm_ids[i] == u->local_id)
			return true;
	}
	return false;
}

/* Whether other nodes have told that an upstream has the prompt. */
static bool is_told_(const work_choice_t *w, const balance_upstream_t *u)
{
	for (int i = 0; i < w->told_count; i++) {
		if (w->told_keys[i] == u->key)
			return true;
	}
	return false;
}

static bool is_cached_(const work_choice_t *w, const balance_upstream_t *u)
{
	return is_cached_at_(w->entry, u) || is_told_(w, u);
}

static bool can_be_copied_(const work_choice_t *w)
{
	return (w->entry && w->entry->warm_ids[0]) || w->told_ready;
}

/* What a request costs at one upstream before its first output. */
typedef struct cost {
	double prefill; /* expected tokens */
	double copy_ms;
	double repeated; /* tokens that another upstream prefills already */
} cost_t;

/*
 * The shared parts are cached where this node has seen them, or has been told
 * of. Other upstreams copy them from there, unless they are only being
 * prefilled. A prompt of which nobody knows may have been read for other nodes
 * at the upstream ranked first: the others copy from it.
 */
static cost_t cost_at_(const work_choice_t *w, const work_rate_t *rate,
		       int index)
{
	const work_tokens_t *tokens = &w->request->tokens;
	const balance_upstream_t *u = w->candidates->list[index];
	bool copied = can_be_copied_(w);
	double cold = copied ? 0 : work_cold_fraction(rate);
	cost_t cost = { .prefill = tokens->own };

	if (is_cached_(w, u))
		return cost;
	/* Other nodes tell at once where they have a prompt prefilled. */
	if (!w->request->affinity || (w->told_all && !copied))
		cold = 1;
	cost.prefill += cold * tokens->shared;
	if (index != w->preferred || copied)
		cost.copy_ms = work_copy_ms((1 - cold) * tokens->shared);
	if (w->told_count && !copied)
		cost.repeated = tokens->shared;
	return cost;
}

static double expected_ms_(const work_choice_t *w, const work_rate_t *rate,
			   int index, mstime_t now)
{
	cost_t cost = cost_at_(w, rate, index);

	return work_expected_ms(&w->candidates->list[index]->work, cost.prefill,
				work_rate_tokens_per_ms(rate), now) +
	       cost.copy_ms;
}

/*
 * Expected time with the harm to other requests: what is prefilled twice delays
 * those beside it as well.
 */
static double harm_ms_(const work_choice_t *w, const work_rate_t *rate,
		       int index, mstime_t now)
{
	cost_t cost = cost_at_(w, rate, index);
	double tokens_per_ms = work_rate_tokens_per_ms(rate);

	return work_expected_ms(&w->candidates->list[index]->work, cost.prefill,
				tokens_per_ms, now) +
	       cost.copy_ms + cost.repeated / tokens_per_ms;
}

/* Order in which upstreams are used that are about equally good. */
static double rank_(const work_choice_t *w, int index)
{
	const candidates_t *c = w->candidates;
	const balance_upstream_t *u = c->list[index];

	if (!w->request->affinity)
		return -(double)c->loads[index] / u->slots;
	if (is_cached_(w, u))
		return HUGE_VAL;
	return rank_score(w->request->affinity, u->hash, 1);
}

/* A policy for comparison, which ignores caches. */
static int choose_least_work_(const work_choice_t *w, const work_rate_t *rate,
			      int chosen, mstime_t now)
{
	const candidates_t *c = w->candidates;
	double least = HUGE_VAL;
	int best = chosen;

	for (guint i = 0; i < w->allowed_count; i++) {
		int index = w->allowed[i];
		const balance_upstream_t *u = c->list[index];
		/* Less than a millisecond for each request, for equal times. */
		double ms =
			work_expected_ms(&u->work, 0,
					 work_rate_tokens_per_ms(rate), now) +
			(double)c->loads[index] / u->slots;

		if (ms >= least)
			continue;
		best = index;
		least = ms;
	}
	return best;
}

/* The first in the order of the prompt among the allowed up to a limit. */
static int first_within_(const work_choice_t *w, const double *harm_ms,
			 double limit_ms, int chosen)
{
	double best_rank = -HUGE_VAL;
	int best = chosen;

	for (guint i = 0; i < w->allowed_count; i++) {
		double rank;

		if (harm_ms[i] > limit_ms)
			continue;
		rank = rank_(w, w->allowed[i]);
		if (rank <= best_rank)
			continue;
		best = w->allowed[i];
		best_rank = rank;
	}
	return best;
}

/*
 * All nodes take the first in the order of the prompt that is about as good as
 * the best, so that a prompt moves to few upstreams.
 */
int balance_choose_by_work(balance_t *b, const work_choice_t *w, int chosen,
			   mstime_t now)
{
	const work_rate_t *rate;
	mstime_t objective = w->request->objective_ms;
	double margin =
		MARGIN_FRACTION *
		(double)(objective > 0 ? objective : OBJECTIVE_DEFAULT_MS);
	double least = HUGE_VAL;
	double *harm_ms;
	int best = chosen;

	assert(b && w && chosen >= 0);
	rate = get_rate_(b, w->request->service);
	if (b->least_work)
		return choose_least_work_(w, rate, chosen, now);
	harm_ms = g_new(double, w->allowed_count + 1);
	for (guint i = 0; i < w->allowed_count; i++) {
		harm_ms[i] = harm_ms_(w, rate, w->allowed[i], now);
		least = MIN(least, harm_ms[i]);
	}
	if (harm_ms_(w, rate, chosen, now) > least + margin)
		best = first_within_(w, harm_ms, least + margin, chosen);
	g_free(harm_ms);
	return best;
}

void balance_begin_work(balance_t *b, const work_choice_t *w, int index,
			mstime_t now, balance_pick_t *pick)
{
	const work_tokens_t *tokens = &w->request->tokens;
	balance_upstream_t *u = w->candidates->list[index];
	const work_rate_t *rate;

	pick->expected_ms = -1;
	pick->work = (work_request_t){ 0 };
	if (!w->candidates->work_known)
		return;
	rate = get_rate_(b, w->request->service);
	pick->expected_ms =
		(int)MIN(expected_ms_(w, rate, index, now), G_MAXINT);
	pick->read_ms = (int)MIN(
		work_read_ms(&u->work, cost_at_(w, rate, index).prefill,
			     work_rate_tokens_per_ms(rate), now),
		G_MAXINT);
	pick->work.known_cached = is_cached_at_(w->entry, u);
	pick->work.first = index == w->preferred;
	pick->work.may_copy = can_be_copied_(w);
	work_begin(&u->work, tokens, cost_at_(w, rate, index).prefill,
		   work_rate_tokens_per_ms(rate), now, &pick->work);
}

void balance_record_output(balance_t *b, balance_upstream_t *u,
			   work_request_t *work, mstime_t sent_at, mstime_t now)
{
	work_rate_t *rate;

	assert(b && u && work);
	if (!work->waiting)
		return;
	rate = get_rate_(b, u->service);
	work_learn(rate, work, MAX(0, now - sent_at), u->work.pace);
	work_first_output(&u->work, work, work_rate_tokens_per_ms(rate), now);
}

void balance_end_work(balance_t *b, balance_upstream_t *u, work_request_t *work,
		      mstime_t now)
{
	assert(b && u && work);
	work_end(&u->work, work, tokens_per_ms_(b, u->service), now);
}

bool balance_report_pace(balance_t *b, balance_upstream_t *u, int pace,
			 mstime_t now)
{
	bool known;

	assert(b && u);
	known = g_hash_table_contains(b->work_rates, u->service);
	if (!work_report_pace(&u->work, pace, now) || known)
		return false;
	get_rate_(b, u->service);
	return true;
}

mstime_t balance_normal_latency(balance_t *b, const balance_upstream_t *u,
				const balance_pick_t *pick, mstime_t latency_ms)
{
	mstime_t base;

	assert(b && u && pick);
	if (pick->expected_ms <= 0 || latency_ms < 0)
		return latency_ms;
	base = (mstime_t)get_rate_(b, u->service)->base_ms;
	return MAX(latency_ms - pick->expected_ms, MIN(latency_ms, base));
}

void balance_describe_work(balance_t *b, const balance_upstream_t *u,
			   uint64_t prompt, mstime_t now, work_entry_t *out)
{
	double rate;

	assert(b && u && out);
	rate = tokens_per_ms_(b, u->service);
	*out = (work_entry_t){ prompt, u->key,
			       (int)work_own_pending(&u->work, rate, now),
			       u->work.pace_at ? u->work.pace : 0,
			       now - u->work.pace_at };
}

void balance_apply_work(balance_t *b, uint64_t node, const work_entry_t *entry,
			mstime_t now)
{
	balance_upstream_t *u =
		g_hash_table_lookup(b->by_key, GUINT_TO_POINTER(entry->key));

	if (!u)
		return;
	if (entry->pace > 0 && entry->pace_age_ms >= 0)
		balance_report_pace(b, u, entry->pace,
				    now - entry->pace_age_ms);
	if (entry->tokens > 0)
		work_report_pending(&u->work, node, entry->tokens, now);
	if (entry->prompt && balance_shares_warmth(b, u->service))
		warmth_observe(b->warmth, entry->prompt, u->key, now);
}

void balance_work_totals(const balance_t *b, mstime_t now, double *tokens,
			 double *pace)
{
	GHashTableIter iter;
	gpointer value;
	int count = 0;

	assert(b && tokens && pace);
	*tokens = 0;
	*pace = 0;
	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const balance_upstream_t *u = value;

		*tokens += u->work.own_pending;
		if (!work_is_reported(&u->work, now))
			continue;
		*pace += work_pace(&u->work, now);
		count++;
	}
	if (count)
		*pace /= count;
}
