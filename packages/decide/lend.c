#include "private/gossip.h"
#include "private/lend.h"
#include "private/place.h"

#include <string.h>

/* Requests above its recent peak for which a donor keeps power. */
#define LEND_HEADROOM 1

void sched_apply_loan(sched_t *s, mstime_t now, const peer_loan_t *l,
		      mstime_t remaining_ms)
{
	sched_upstream_t *u = choose_lookup(s, l->borrower);

	if (!u || !u->owned)
		return;
	power_borrow(&s->loans, now, l->donor, l->borrower,
		     l->milliwatts / 1000.0, now + remaining_ms);
	place_dispatch(s, now, u);
}

/* Whether two upstreams draw on the same caps. */
static bool same_cap_(const sched_t *s, const sched_upstream_t *a,
		      const sched_upstream_t *b)
{
	if (a->config->data_centre == b->config->data_centre)
		return true;
	(void)s;
	return a->config->data_centre->power_cap_w <= 0 &&
	       b->config->data_centre->power_cap_w <= 0;
}

static sched_upstream_t *find_borrower_(const sched_t *s, mstime_t now,
					const sched_upstream_t *donor)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_upstream_t *u = value;
		peer_load_t l;

		if (!u->config || u == donor || !same_cap_(s, u, donor))
			continue;
		gossip_fill_load(s, now, 0, u, &l);
		if (l.weight & WEIGHT_POWER_LIMITED)
			return u;
	}
	return NULL;
}

static void lend_from_(sched_t *s, mstime_t now, sched_upstream_t *donor)
{
	double share_w = power_share(s->view, donor->config);
	double net_borrowed_w = power_net_borrowed(&s->loans, now, donor->key);
	double spare_w;
	power_loan_t loan = { .donor = donor->key };
	sched_upstream_t *borrower;

	if (share_w <= 0 || donor->config->slot_w <= 0)
		return;
	/* Keep what recent requests have drawn, and LEND_HEADROOM more. */
	spare_w =
		share_w + net_borrowed_w -
		power_watts(donor->config,
			    MAX(donor->own_peak, donor->own_peak_previous) +
				    donor->remote_outstanding + LEND_HEADROOM);
	spare_w = MIN(spare_w, (share_w - donor->config->idle_w) / 2 +
				       MIN(0, net_borrowed_w));
	if (spare_w < donor->config->slot_w)
		return;
	borrower = find_borrower_(s, now, donor);
	if (!borrower)
		return;
	loan.borrower = borrower->key;
	loan.watts = MIN(spare_w, borrower->config->slot_w * 2);
	loan.expires = now + POWER_LOAN_MS;
	/*
	 * The donor's limit is lowered before the borrower's is raised, so that
	 * their sum never exceeds the cap.
	 */
	power_lend(&s->loans, now, loan.donor, loan.borrower, loan.watts);
	if (borrower->owned)
		power_borrow(&s->loans, now, loan.donor, loan.borrower,
			     loan.watts, loan.expires);
	else if (borrower->owner)
		s->ops->send_loan(s->ctx, borrower->owner->name, &loan);
}

void lend_unused(sched_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sched_upstream_t *u = value;

		if (u->owned && u->config && !u->down &&
		    !fairq_length(&u->queue))
			lend_from_(s, now, u);
	}
}
