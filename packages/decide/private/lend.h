/*
 * lend - loans of unused power between upstreams that share a power cap.
 */
#ifndef KCF_PRIVATE_LEND_H
#define KCF_PRIVATE_LEND_H

#include "sched_upstream.h"

/*
 * lend_unused - lends power that owned upstreams without waiting requests do
 * not use to upstreams that are limited by power.
 */
void lend_unused(sched_t *s, mstime_t now);

#endif
