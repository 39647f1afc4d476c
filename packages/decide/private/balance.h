/*
 * balance - what its modules share.
 */
#ifndef KCF_PRIVATE_BALANCE_H
#define KCF_PRIVATE_BALANCE_H

#include <kcf/balance.h>

/*
 * balance_told - whether the last report of an upstream counts as present.
 */
bool balance_told(const balance_upstream_t *u, mstime_t now);

/*
 * balance_note_foreign - takes what others have outstanding, by a report.
 * @at: time of the report, later than that of the one before
 */
void balance_note_foreign(balance_upstream_t *u, int foreign, mstime_t at);

/*
 * balance_foreign - what others are taken to have outstanding now.
 * @mean: over the upstreams that reports tell of
 */
double balance_foreign(const balance_upstream_t *u, double mean, mstime_t now);

/*
 * balance_left - what is left of others' work where no new work comes.
 */
double balance_left(const balance_upstream_t *u, mstime_t now);

/*
 * balance_add_mine - counts requests of this node that start (1) or end (-1).
 */
void balance_add_mine(balance_upstream_t *u, int change, mstime_t now);

/*
 * balance_free_if_unused - frees an upstream that was removed, once nothing is
 * outstanding there.
 */
void balance_free_if_unused(balance_upstream_t *u);

#endif
