/*
 * Loads of upstreams as nodes tell them to each other.
 */
#include "private/balance.h"

#include <math.h>

/* The work that a report tells of ends at this pace; requests last about a
 * second.
 */
#define REPORT_FADES_MS 1000.0
/* What is usual at an upstream: longer than a clump, shorter than prompts stay.
 */
#define USUAL_MS 8000.0
/* Together the steps reach as far back as a report is valid. */
#define PAST_STEP_MS 64
/* Part of what is told that is not chosen for being new, for late joiners. */
#define OTHERS_PARTS 4

void balance_add_mine(balance_upstream_t *u, int change, mstime_t now)
{
	mstime_t step = now / PAST_STEP_MS;

	u->mine += change;
	u->past[step % BALANCE_PAST_STEPS] = (balance_past_t){ step, u->mine };
}

void balance_note_foreign(balance_upstream_t *u, int foreign, mstime_t at)
{
	double weight = 1 - exp(-(double)(at - u->told_at) / USUAL_MS);

	u->usual += (u->told_at ? weight : 1) * (foreign - u->usual);
	u->foreign = foreign;
	u->told_at = at;
}

/* Part of what a report told of that is still there. */
static double fade_(const balance_upstream_t *u, mstime_t now)
{
	return exp(-(double)(now - u->told_at) / REPORT_FADES_MS);
}

/*
 * What a report told of ends, and other work comes: the older the report, the
 * more is what is usual there taken for the present, and later the mean.
 */
double balance_foreign(const balance_upstream_t *u, double mean, mstime_t now)
{
	double age = (double)(now - u->told_at);

	if (!u->told_at)
		return mean;
	return mean + exp(-age / USUAL_MS) * (u->usual - mean) +
	       fade_(u, now) * (u->foreign - u->usual);
}

double balance_left(const balance_upstream_t *u, mstime_t now)
{
	return u->told_at ? fade_(u, now) * u->foreign : 0;
}

/* Outstanding requests of this node at a past time. */
static int mine_at_(const balance_upstream_t *u, mstime_t at)
{
	const balance_past_t *found = NULL;

	for (int i = 0; i < BALANCE_PAST_STEPS; i++) {
		const balance_past_t *p = &u->past[i];

		if (p->step <= at / PAST_STEP_MS &&
		    (!found || p->step > found->step))
			found = p;
	}
	return found ? found->mine : 0;
}

static gint by_age_(gconstpointer a, gconstpointer b)
{
	const balance_upstream_t *ua = *(balance_upstream_t *const *)a;
	const balance_upstream_t *ub = *(balance_upstream_t *const *)b;

	return (ub->told_at > ua->told_at) - (ub->told_at < ua->told_at);
}

static GPtrArray *reported_(const balance_t *b, mstime_t now)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (balance_told(value, now))
			g_ptr_array_add(list, value);
	}
	g_ptr_array_sort(list, by_age_);
	return list;
}

u_int balance_fill_loads(balance_t *b, mstime_t now, balance_load_t *out,
			 u_int max)
{
	GPtrArray *list = reported_(b, now);
	guint top = MIN(list->len, max - max / OTHERS_PARTS);
	guint rest = MAX(1, list->len - top);
	guint count = MIN(list->len, max);

	for (guint i = 0; i < count; i++) {
		guint at = i < top ? i : top + b->load_cursor++ % rest;
		const balance_upstream_t *u = list->pdata[at];

		out[i] = (balance_load_t){ u->key, u->foreign + u->mine,
					   now - u->told_at };
	}
	g_ptr_array_unref(list);
	return count;
}

void balance_take_load(balance_t *b, const balance_load_t *load, mstime_t now)
{
	balance_upstream_t *u =
		g_hash_table_lookup(b->by_key, GUINT_TO_POINTER(load->key));
	mstime_t at = now - load->age_ms;

	if (!u || load->age_ms < 0 || at <= u->told_at)
		return;
	balance_note_foreign(u, MAX(0, load->outstanding - mine_at_(u, at)),
			     at);
}
