/*
 * power - the upstreams' shares of the power caps, and loans between them.
 *
 * Each share is computed from the configuration alone, with the same result on
 * every node. The sum of all shares therefore never exceeds a cap, whatever the
 * nodes know of each other. A loan lowers the limit of the donor before it is
 * sent and raises that of the borrower when it arrives: if the message is lost,
 * the power is unused until the loan expires, but the cap is never exceeded.
 */
#ifndef KCF_POWER_H
#define KCF_POWER_H

#include <glib.h>
#include <kcf/clock.h>
#include <kcf/view.h>

/* Longest duration of a loan. */
#define POWER_LOAN_MS 10000
/* The donor counts a loan this much longer, for the time of the message. */
#define POWER_LOAN_GUARD_MS 2000

typedef struct power_loan {
	uint32_t donor;
	uint32_t borrower;
	double watts;
	mstime_t expires;
} power_loan_t;

typedef struct power_loans {
	GArray *lent;	  /* power_loan_t, by upstreams owned here */
	GArray *borrowed; /* power_loan_t, by upstreams owned here */
} power_loans_t;

void power_loans_init(power_loans_t *loans);
void power_loans_finish(power_loans_t *loans);

/*
 * power_share - watts that an upstream may draw, from the configuration.
 *
 * Return: the share in watts, or 0 if no cap applies to the upstream.
 */
double power_share(const view_t *v, const upstream_t *u);

/*
 * power_slots - number of requests that an upstream may run with @watts.
 */
int power_slots(const upstream_t *u, double watts);

/*
 * power_watts - watts that an upstream draws with @outstanding requests.
 */
double power_watts(const upstream_t *u, int outstanding);

/*
 * power_lend - records a loan; called before it is sent to the borrower's
 * owner.
 */
void power_lend(power_loans_t *loans, mstime_t now, uint32_t donor,
		uint32_t borrower, double watts);

/*
 * power_borrow - records a loan that has arrived; an expired one is ignored.
 * @expires: by the receiver's clock; at most POWER_LOAN_MS from now counts
 */
void power_borrow(power_loans_t *loans, mstime_t now, uint32_t donor,
		  uint32_t borrower, double watts, mstime_t expires);

/*
 * power_net_borrowed - watts to be added to an upstream's share now: borrowed
 * less lent.
 */
double power_net_borrowed(const power_loans_t *loans, mstime_t now,
			  uint32_t upstream);

/*
 * power_expire - removes expired loans.
 */
void power_expire(power_loans_t *loans, mstime_t now);

#endif
