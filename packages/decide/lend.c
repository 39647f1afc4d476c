#include "private/gossip.h"
#include "private/lend.h"
#include "private/place.h"

#include <string.h>

/* Headroom that a lender keeps, in requests. */
#define LEND_KEEP 1

void sched_take_loan(sched_t *s, mstime_t now, const peer_loan_t *l,
		     mstime_t left_ms)
{
	slot_t *sl = choose_slot(s, l->borrower);

	if (!sl || !sl->owned)
		return;
	power_borrow(&s->power, now, l->donor, l->borrower,
		     l->milliwatts / 1000.0, now + left_ms);
	place_pump(s, now, sl);
}

/* Whether two upstreams draw on the same caps. */
static bool same_cap_(const sched_t *s, const slot_t *a, const slot_t *b)
{
	if (a->up->data_centre == b->up->data_centre)
		return true;
	(void)s;
	return a->up->data_centre->power_cap_w <= 0 &&
	       b->up->data_centre->power_cap_w <= 0;
}

static slot_t *borrower_for_(const sched_t *s, mstime_t now,
			     const slot_t *donor)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;
		peer_load_t l;

		if (!sl->up || sl == donor || !same_cap_(s, sl, donor))
			continue;
		gossip_entry(s, now, 0, sl, &l);
		if (l.weight & WEIGHT_SHORT_OF_POWER)
			return sl;
	}
	return NULL;
}

static void lend_one_(sched_t *s, mstime_t now, slot_t *donor)
{
	double share = power_share(s->view, donor->up);
	double balance = power_balance(&s->power, now, donor->key);
	double room;
	power_loan_t loan = { .donor = donor->key };
	slot_t *borrower;

	if (share <= 0 || donor->up->slot_w <= 0)
		return;
	/* What has lately been used, and one more request, stays here. */
	room = share + balance -
	       power_watts(donor->up, MAX(donor->out_max, donor->out_max_last) +
					      donor->foreign + LEND_KEEP);
	room = MIN(room, (share - donor->up->idle_w) / 2 + MIN(0, balance));
	if (room < donor->up->slot_w)
		return;
	borrower = borrower_for_(s, now, donor);
	if (!borrower)
		return;
	loan.borrower = borrower->key;
	loan.watts = MIN(room, borrower->up->slot_w * 2);
	loan.expires = now + POWER_LOAN_MS;
	/* Donor first: its own limit is down before anybody hears of it. */
	power_lend(&s->power, now, loan.donor, loan.borrower, loan.watts);
	if (borrower->owned)
		power_borrow(&s->power, now, loan.donor, loan.borrower,
			     loan.watts, loan.expires);
	else if (borrower->owner)
		s->ops->lend(s->ctx, borrower->owner->name, &loan);
}

void lend_spare(sched_t *s, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *sl = value;

		if (sl->owned && sl->up && !sl->down &&
		    !fairq_length(&sl->queue))
			lend_one_(s, now, sl);
	}
}
