/*
 * Collects the upstreams that a request may go to, with their load and health.
 */
#include "private/balance.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/* With fewer outcomes an upstream counts as healthy. */
#define OUTCOMES_MIN 4
/*
 * An upstream is unhealthy if its failure rate is above UNHEALTHY_FAILURE_RATE
 * and above a multiple of the mean of the others, or if its latency is above a
 * multiple of theirs.
 */
#define UNHEALTHY_FAILURE_RATE 0.25
#define UNHEALTHY_FAILURE_FACTOR 2.0
#define UNHEALTHY_LATENCY_FACTOR 3.0
/*
 * Where upstreams report their pace, an upstream is slow by itself only if it
 * takes this part of a request's objective beyond what was expected. A node of
 * a large fleet has few samples of each upstream, and leaving one makes others
 * prefill its prompts again.
 */
#define HEALTHY_OBJECTIVE_FRACTION 0.5
/* Lower latencies always count as healthy. */
#define UNHEALTHY_LATENCY_MIN_MS 60
/*
 * Part of a cold upstream's rate limit that is used. The rest is a margin for
 * nodes whose count of the fleet is out of date.
 */
#define COLD_RATE_FRACTION 0.9

static bool is_excluded_(const balance_request_t *request,
			 const balance_upstream_t *u)
{
	for (int i = 0; i < request->exclude_count; i++) {
		if (request->exclude[i] == u->local_id)
			return true;
	}
	return false;
}

/* Whether a request is kept off the version of an upstream. */
static bool is_avoided_(const balance_request_t *request,
			const balance_upstream_t *u)
{
	if (request->barred_version &&
	    u->version_key == request->barred_version)
		return true;
	return request->avoid_version &&
	       (u->version_key == request->avoid_version) !=
		       request->avoid_others;
}

static bool is_available_(const balance_t *b, const balance_upstream_t *u,
			  const balance_request_t *request, mstime_t now)
{
	return !u->leaving && now >= u->ejected_until &&
	       !strcmp(u->service, request->service) &&
	       !g_hash_table_contains(b->drained, u->data_centre) &&
	       !is_avoided_(request, u) && !is_excluded_(request, u);
}

balance_trust_t balance_best_trust(const balance_t *b,
				   const balance_request_t *request,
				   mstime_t now)
{
	balance_trust_t best = BALANCE_TRUST_NONE;
	GHashTableIter iter;
	gpointer value;

	assert(b && request && request->version);
	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const balance_upstream_t *)value)->version_key ==
			    request->version &&
		    is_available_(b, value, request, now))
			best = MAX(best, balance_trust(value, now));
	}
	return best;
}

/*
 * Mean outstanding requests of other nodes per candidate. The first reports
 * come from the upstreams that get most requests, so their mean is too high for
 * the rest. For candidates without a report, other nodes are assumed to have as
 * many requests outstanding as this one, at most the mean of the reports.
 */
static double mean_remote_(const balance_t *b, const candidates_t *c,
			   mstime_t now)
{
	double sum = 0;
	double assumed;
	double n = 0;

	for (guint i = 0; i < c->count; i++) {
		if (!balance_has_fresh_report(c->list[i], now))
			continue;
		sum += c->list[i]->remote_outstanding;
		n++;
	}
	if (n <= 0)
		return 0;
	assumed = MIN(sum / n, (double)c->own_outstanding *
				       (b->node_count - 1) / c->count);
	return sum / c->count + assumed * (c->count - n) / c->count;
}

static int estimate_load_(const balance_upstream_t *u, double mean_remote,
			  mstime_t now)
{
	double remote = balance_estimate_remote(u, mean_remote, now);

	return u->own_outstanding + (int)(MAX(0, remote) + 0.5);
}

static void compute_means_(candidates_t *c, int total)
{
	int with_latency = 0;
	int with_hold = 0;

	for (guint i = 0; i < c->count; i++) {
		const balance_upstream_t *u = c->list[i];

		c->mean_load += c->loads[i];
		c->listed_load += c->loads[i];
		c->mean_failure_rate += u->failure_rate;
		c->slots += u->slots;
		c->mean_hold_ms += u->hold_ms;
		with_hold += u->hold_ms > 0;
		if (u->least_ms > 0 &&
		    (c->least_ms <= 0 || u->least_ms < c->least_ms))
			c->least_ms = u->least_ms;
		if (u->latency_ms > 0) {
			c->mean_latency_ms += u->latency_ms;
			with_latency++;
		}
	}
	if (c->count) {
		c->listed_load /= c->count;
		c->mean_load /= total;
		c->mean_failure_rate /= c->count;
	}
	if (with_latency)
		c->mean_latency_ms /= with_latency;
	if (with_hold)
		c->mean_hold_ms /= with_hold;
}

void balance_collect_candidates(const balance_t *b,
				const balance_request_t *request, mstime_t now,
				candidates_t *c)
{
	guint size = g_hash_table_size(b->by_id);
	GHashTableIter iter;
	gpointer value;
	double remote;
	int total = 0;

	*c = (candidates_t){ .list = g_new(balance_upstream_t *, size + 1),
			     .loads = g_new(int, size + 1),
			     .restricted = request->avoid_version != 0 };
	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const balance_upstream_t *u = value;

		if (is_available_(b, u, request, now)) {
			c->list[c->count++] = value;
			c->own_outstanding += u->own_outstanding;
		} else if (!strcmp(u->service, request->service)) {
			c->mean_load += u->own_outstanding +
					balance_remaining_remote(u, now);
		} else {
			continue;
		}
		total++;
	}
	c->healthy_latency_ms = UNHEALTHY_LATENCY_MIN_MS;
	c->work_known = balance_work_is_active(c, now);
	if (c->work_known)
		c->healthy_latency_ms = MAX(UNHEALTHY_LATENCY_MIN_MS,
					    (double)request->objective_ms *
						    HEALTHY_OBJECTIVE_FRACTION);
	remote = mean_remote_(b, c, now);
	for (guint i = 0; i < c->count; i++)
		c->loads[i] = estimate_load_(c->list[i], remote, now);
	compute_means_(c, total);
}

void balance_free_candidates(candidates_t *c)
{
	g_free(c->list);
	g_free(c->loads);
}

bool balance_is_unhealthy(const candidates_t *c, const balance_upstream_t *u)
{
	double others_rate = c->mean_failure_rate;
	double others_latency = c->mean_latency_ms;

	if (u->outcome_count < OUTCOMES_MIN || c->count < 2)
		return false;
	others_rate =
		(others_rate * c->count - u->failure_rate) / (c->count - 1);
	if (u->failure_rate > UNHEALTHY_FAILURE_RATE &&
	    u->failure_rate > UNHEALTHY_FAILURE_FACTOR * others_rate)
		return true;
	others_latency =
		(others_latency * c->count - u->latency_ms) / (c->count - 1);
	return u->latency_ms > c->healthy_latency_ms && others_latency > 0 &&
	       u->latency_ms > UNHEALTHY_LATENCY_FACTOR * others_latency;
}

static double cold_rate_(const balance_t *b, const balance_upstream_t *u)
{
	const balance_service_t *s =
		g_hash_table_lookup(b->services, u->service);
	int nodes = MAX(1, MAX(b->node_count, b->sender_count));

	return s ? s->cold_per_s * COLD_RATE_FRACTION / nodes : 0;
}

bool balance_is_cold(const balance_t *b, const balance_upstream_t *u,
		     mstime_t now)
{
	return now < u->cold_until && cold_rate_(b, u) > 0;
}

bool balance_cold_rate_allows(const balance_t *b, balance_upstream_t *u,
			      mstime_t now)
{
	if (!balance_is_cold(b, u, now))
		return true;
	u->cold_tokens += (double)(now - u->cold_tokens_at) * cold_rate_(b, u) /
			  MSEC_PER_SEC;
	u->cold_tokens = MIN(u->cold_tokens, 1.0);
	u->cold_tokens_at = now;
	return u->cold_tokens >= 1.0;
}
