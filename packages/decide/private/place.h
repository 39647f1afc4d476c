/*
 * place - where a request goes: runs here, is handed on, waits or is refused.
 */
#ifndef KCF_PRIVATE_PLACE_H
#define KCF_PRIVATE_PLACE_H

#include "choose.h"

/*
 * place_arrivals - counts requests as arrived whose time on the way is over.
 */
void place_arrivals(sched_t *s, mstime_t now);

/*
 * place_pump - starts waiting requests of an upstream while it has room.
 */
void place_pump(sched_t *s, mstime_t now, slot_t *sl);

/*
 * place_again - places all waiting requests of an upstream anew.
 */
void place_again(sched_t *s, mstime_t now, slot_t *sl);

/*
 * place_tick - refuses what cannot start in time, starts what can, and moves
 * what has waited long.
 */
void place_tick(sched_t *s, mstime_t now, slot_t *sl);

#endif
