/*
 * warm - where a chat's prefix is cached.
 *
 * Of the upstreams that this node owns it is a model of each one's cache; of
 * others, the places to which this node has sent the chat.
 */
#ifndef KCF_PRIVATE_WARM_H
#define KCF_PRIVATE_WARM_H

#include "choose.h"

/*
 * warm_with_capacity - where the chat is warm and one more request has room;
 * its home while it is warm nowhere.
 * @soonest: receives, when none of these has room, the owned upstream where the
 *           chat is warm and would start first, or NULL
 *
 * Return: NULL when none has room.
 */
sched_upstream_t *warm_with_capacity(sched_t *s, mstime_t now,
				     sched_upstream_t *preferred,
				     const sched_request_t *r,
				     sched_upstream_t **earliest);

/*
 * warm_max_wait_ms - time that a warm cache is worth waiting for.
 */
mstime_t warm_max_wait_ms(const sched_upstream_t *u, const sched_request_t *r);

/*
 * warm_note_placement - notes that the chat is sent to an upstream of another
 * node.
 */
void warm_note_placement(sched_t *s, mstime_t now, const sched_request_t *r,
			 const sched_upstream_t *u);

#endif
