/*
 * Load estimates from reports, and the gossip of reports between nodes.
 */
#include "private/balance.h"

#include <math.h>

/* Time constant at which reported requests end; they last about a second. */
#define REPORT_DECAY_MS 1000.0
/*
 * Time constant of the mean load at an upstream: longer than a burst of
 * requests, shorter than prompts stay at an upstream.
 */
#define REMOTE_MEAN_MS 8000.0
/* BALANCE_HISTORY_STEPS of these cover the time for which a report is fresh. */
#define HISTORY_STEP_MS 64
/*
 * One entry in this many is sent in rotation rather than for being new, so that
 * nodes that join late learn all loads.
 */
#define ROTATED_DIVISOR 4
/* An answer that names no rate may belong to a request of this long before. */
#define RATE_SETTLE_MS 1000

void balance_count_own(balance_upstream_t *u, int change, mstime_t now)
{
	mstime_t step = now / HISTORY_STEP_MS;

	u->own_outstanding += change;
	u->history[step % BALANCE_HISTORY_STEPS] =
		(balance_history_t){ step, u->own_outstanding };
}

void balance_set_remote(balance_upstream_t *u, int remote, mstime_t at)
{
	double weight =
		1 - exp(-(double)(at - u->reported_at) / REMOTE_MEAN_MS);

	u->remote_mean +=
		(u->reported_at ? weight : 1) * (remote - u->remote_mean);
	u->remote_outstanding = remote;
	u->reported_at = at;
}

/* Estimated fraction of the reported requests that have not ended yet. */
static double unfinished_fraction_(const balance_upstream_t *u, mstime_t now)
{
	return exp(-(double)(now - u->reported_at) / REPORT_DECAY_MS);
}

/*
 * Reported requests end and others arrive: as the report ages, the estimate
 * moves from the reported value to the mean of this upstream, and later to the
 * mean of all candidates.
 */
double balance_estimate_remote(const balance_upstream_t *u, double mean,
			       mstime_t now)
{
	double age = (double)(now - u->reported_at);

	if (!u->reported_at)
		return mean;
	return mean + exp(-age / REMOTE_MEAN_MS) * (u->remote_mean - mean) +
	       unfinished_fraction_(u, now) *
		       (u->remote_outstanding - u->remote_mean);
}

double balance_remaining_remote(const balance_upstream_t *u, mstime_t now)
{
	return u->reported_at
		       ? unfinished_fraction_(u, now) * u->remote_outstanding
		       : 0;
}

static int own_outstanding_at_(const balance_upstream_t *u, mstime_t at)
{
	const balance_history_t *found = NULL;

	for (int i = 0; i < BALANCE_HISTORY_STEPS; i++) {
		const balance_history_t *p = &u->history[i];

		if (p->step <= at / HISTORY_STEP_MS &&
		    (!found || p->step > found->step))
			found = p;
	}
	return found ? found->own_outstanding : 0;
}

static gint newest_first_(gconstpointer a, gconstpointer b)
{
	const balance_upstream_t *ua = *(balance_upstream_t *const *)a;
	const balance_upstream_t *ub = *(balance_upstream_t *const *)b;

	return (ub->reported_at > ua->reported_at) -
	       (ub->reported_at < ua->reported_at);
}

static GPtrArray *fresh_reports_(const balance_t *b, mstime_t now)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (balance_has_fresh_report(value, now))
			g_ptr_array_add(list, value);
	}
	g_ptr_array_sort(list, newest_first_);
	return list;
}

u_int balance_collect_gossip(balance_t *b, mstime_t now, balance_load_t *out,
			     u_int max)
{
	GPtrArray *list = fresh_reports_(b, now);
	guint newest = MIN(list->len, max - max / ROTATED_DIVISOR);
	guint rest = MAX(1, list->len - newest);
	guint count = MIN(list->len, max);

	for (guint i = 0; i < count; i++) {
		guint at = i < newest ? i : newest + b->gossip_cursor++ % rest;
		const balance_upstream_t *u = list->pdata[at];

		out[i] = (balance_load_t){ u->key,
					   u->remote_outstanding +
						   u->own_outstanding,
					   now - u->reported_at,
					   u->reports_rate,
					   u->reported_per_s,
					   u->reports_brittle,
					   u->reported_turned_per_s };
	}
	g_ptr_array_unref(list);
	return count;
}

/* Learns of a rate, or of its end, from an answer to another node. */
static void apply_rate_(balance_t *b, balance_upstream_t *u,
			const balance_load_t *load, mstime_t at)
{
	if (!load->states_rate) {
		u->reports_rate = false;
		return;
	}
	if (load->per_s < 0)
		balance_omit_rate(b, u, at - RATE_SETTLE_MS, at);
	else if (at > u->rate_limit.ending_at)
		balance_name_rate(b, u, load->per_s, at);
}

static void apply_brittle_(balance_t *b, balance_upstream_t *u,
			   const balance_load_t *load, mstime_t at)
{
	if (!load->states_brittle)
		u->reports_brittle = false;
	else if (load->turned_per_s < 0)
		balance_omit_brittle(b, u, at - RATE_SETTLE_MS, at);
	else
		balance_name_brittle(b, u, load->turned_per_s, at);
}

void balance_apply_gossip(balance_t *b, const balance_load_t *load,
			  mstime_t now)
{
	balance_upstream_t *u =
		g_hash_table_lookup(b->by_key, GUINT_TO_POINTER(load->key));
	mstime_t at = now - load->age_ms;

	if (!u || load->age_ms < 0 || at <= u->reported_at)
		return;
	balance_set_remote(
		u, MAX(0, load->outstanding - own_outstanding_at_(u, at)), at);
	apply_rate_(b, u, load, at);
	apply_brittle_(b, u, load, at);
}
