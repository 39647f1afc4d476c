/*
 * lend - loans of unused power between upstreams.
 */
#ifndef KCF_PRIVATE_LEND_H
#define KCF_PRIVATE_LEND_H

#include "slot.h"

/*
 * lend_unused - lends what idle owned upstreams do not use to some that need
 * it.
 */
void lend_unused(sched_t *s, mstime_t now);

#endif
