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
 * balance_free_if_unused - frees an upstream that was removed, once nothing is
 * outstanding there.
 */
void balance_free_if_unused(balance_upstream_t *u);

#endif
