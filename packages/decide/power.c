#include <kcf/power.h>

#include <assert.h>
#include <math.h>

static double max_watts_(const upstream_t *u);
static double share_of_cap_(const view_t *v, const upstream_t *u, double cap,
			    const data_centre_t *within);

void power_loans_init(power_loans_t *loans)
{
	assert(loans);
	loans->lent = g_array_new(FALSE, FALSE, sizeof(power_loan_t));
	loans->borrowed = g_array_new(FALSE, FALSE, sizeof(power_loan_t));
}

void power_loans_finish(power_loans_t *loans)
{
	g_array_unref(loans->lent);
	g_array_unref(loans->borrowed);
}

double power_share(const view_t *v, const upstream_t *u)
{
	double share = 0;

	if (v->power_cap_w > 0)
		share = share_of_cap_(v, u, v->power_cap_w, NULL);
	if (u->data_centre->power_cap_w > 0) {
		double local = share_of_cap_(v, u, u->data_centre->power_cap_w,
					     u->data_centre);

		share = share > 0 ? MIN(share, local) : local;
	}
	return share;
}

int power_slots(const upstream_t *u, double watts)
{
	double slots;

	if (u->slot_w <= 0)
		return u->slots;
	slots = floor((watts - u->idle_w) / u->slot_w + 1e-9);
	return (int)CLAMP(slots, 0, (double)u->slots);
}

double power_watts(const upstream_t *u, int outstanding)
{
	return u->idle_w + u->slot_w * outstanding;
}

void power_lend(power_loans_t *loans, mstime_t now, uint32_t donor,
		uint32_t borrower, double watts)
{
	power_loan_t loan = { donor, borrower, watts,
			      now + POWER_LOAN_MS + POWER_LOAN_GUARD_MS };

	g_array_append_val(loans->lent, loan);
}

void power_borrow(power_loans_t *loans, mstime_t now, uint32_t donor,
		  uint32_t borrower, double watts, mstime_t expires)
{
	power_loan_t loan = { donor, borrower, watts,
			      MIN(expires, now + POWER_LOAN_MS) };

	if (loan.expires > now)
		g_array_append_val(loans->borrowed, loan);
}

static double sum_loans_(const GArray *loans, mstime_t now, uint32_t upstream,
			 bool lent)
{
	double watts = 0;

	for (guint i = 0; i < loans->len; i++) {
		const power_loan_t *l = &g_array_index(loans, power_loan_t, i);
		uint32_t party = lent ? l->donor : l->borrower;

		if (party == upstream && l->expires > now)
			watts += l->watts;
	}
	return watts;
}

double power_net_borrowed(const power_loans_t *loans, mstime_t now,
			  uint32_t upstream)
{
	return sum_loans_(loans->borrowed, now, upstream, false) -
	       sum_loans_(loans->lent, now, upstream, true);
}

static void expire_loans_(GArray *loans, mstime_t now)
{
	for (guint i = 0; i < loans->len;) {
		if (g_array_index(loans, power_loan_t, i).expires > now)
			i++;
		else
			g_array_remove_index_fast(loans, i);
	}
}

void power_expire(power_loans_t *loans, mstime_t now)
{
	expire_loans_(loans->lent, now);
	expire_loans_(loans->borrowed, now);
}

static double max_watts_(const upstream_t *u)
{
	return u->idle_w + u->slot_w * u->slots;
}

/*
 * Each upstream gets its idle power; the rest of the cap is divided in
 * proportion to the power that each could draw above idle.
 */
static double share_of_cap_(const view_t *v, const upstream_t *u, double cap,
			    const data_centre_t *within)
{
	double idle = 0;
	double busy = 0;

	for (guint i = 0; i < v->upstreams->len; i++) {
		const upstream_t *other = v->upstreams->pdata[i];

		if (within && other->data_centre != within)
			continue;
		idle += other->idle_w;
		busy += max_watts_(other) - other->idle_w;
	}
	if (busy <= 0)
		return max_watts_(u);
	return u->idle_w +
	       MAX(0.0, cap - idle) * (max_watts_(u) - u->idle_w) / busy;
}
