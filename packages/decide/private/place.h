/*
 * place - where a request goes: runs here, is handed on, waits or is refused.
 */
#ifndef KCF_PRIVATE_PLACE_H
#define KCF_PRIVATE_PLACE_H

#include "choose.h"

/*
 * place_note_arrivals - counts requests as arrived whose time on the way is
 * over.
 */
void place_note_arrivals(sched_t *s, mstime_t now);

/*
 * place_dispatch - starts waiting requests of an upstream while it has room.
 */
void place_dispatch(sched_t *s, mstime_t now, sched_upstream_t *u);

/*
 * place_redistribute - places all waiting requests of an upstream anew.
 */
void place_redistribute(sched_t *s, mstime_t now, sched_upstream_t *u);

/*
 * place_tick - refuses what cannot start in time, starts what can, and moves
 * what has waited long.
 */
void place_tick(sched_t *s, mstime_t now, sched_upstream_t *u);

#endif
