/*
 * power - shares of the power caps, and loans between them.
 *
 * Each upstream's share is computed from the configuration alone, the same on
 * every node, so that the sum of all shares is never above a cap whatever the
 * nodes believe of each other. An owner lends unused watts by lowering its own
 * upstream first; the borrower raises itself when the loan arrives. A lost
 * message therefore loses watts until the loan expires, and never adds any.
 */
#ifndef KCF_POWER_H
#define KCF_POWER_H

#include <glib.h>
#include <kcf/clock.h>
#include <kcf/view.h>

/* Longest life of a loan. */
#define POWER_LOAN_MS 10000
/* The donor counts a loan this much longer than the borrower. */
#define POWER_LOAN_GUARD_MS 2000

typedef struct power_loan {
	uint32_t donor;
	uint32_t borrower;
	double watts;
	mstime_t expires;
} power_loan_t;

typedef struct power_loans {
	GArray *lent; /* power_loan_t, of upstreams owned here */
	GArray *borrowed;
} power_loans_t;

void power_loans_init(power_loans_t *loans);
void power_loans_finish(power_loans_t *loans);

/*
 * power_share - watts that an upstream may draw by configuration.
 *
 * Return: a positive number of watts, or 0 when no cap applies to it.
 */
double power_share(const view_t *v, const upstream_t *u);

/*
 * power_slots - outstanding requests that some watts allow.
 */
int power_slots(const upstream_t *u, double watts);

/*
 * power_watts - watts that some outstanding requests draw.
 */
double power_watts(const upstream_t *u, int outstanding);

/*
 * power_lend - notes a loan before it is sent to the borrower's owner.
 */
void power_lend(power_loans_t *loans, mstime_t now, uint32_t donor,
		uint32_t borrower, double watts);

/*
 * power_borrow - notes a loan that has arrived.
 * @expires: as counted by the receiver; late ones are refused
 */
void power_borrow(power_loans_t *loans, mstime_t now, uint32_t donor,
		  uint32_t borrower, double watts, mstime_t expires);

/*
 * power_net_borrowed - watts to be added to an upstream's share at a time:
 * borrowed less lent.
 */
double power_net_borrowed(const power_loans_t *loans, mstime_t now,
			  uint32_t upstream);

/*
 * power_expire - forgets loans that are over.
 */
void power_expire(power_loans_t *loans, mstime_t now);

#endif
