/*
 * place - runs, forwards, queues or refuses each request.
 */
#ifndef KCF_PRIVATE_PLACE_H
#define KCF_PRIVATE_PLACE_H

#include "choose.h"

/*
 * place_note_arrivals - counts requests as arrived TRANSIT_MS after they were
 * sent.
 */
void place_note_arrivals(sched_t *s, mstime_t now);

/*
 * place_dispatch - starts waiting requests of an upstream while it has
 * capacity.
 */
void place_dispatch(sched_t *s, mstime_t now, sched_upstream_t *u);

/*
 * place_redistribute - empties the queue of an upstream and places its requests
 * again.
 */
void place_redistribute(sched_t *s, mstime_t now, sched_upstream_t *u);

/*
 * place_tick - handles the queue of an owned upstream: refuses requests whose
 * deadline has passed, starts those that fit, and moves the next one if it has
 * waited long.
 */
void place_tick(sched_t *s, mstime_t now, sched_upstream_t *u);

#endif
