/*
 * warm - where a chat's prefix is cached.
 *
 * For upstreams that this node owns, by the model of their cache; for those of
 * other nodes, by the upstreams to which this node has forwarded the chat.
 */
#ifndef KCF_PRIVATE_WARM_H
#define KCF_PRIVATE_WARM_H

#include "choose.h"

/*
 * warm_with_capacity - upstream that has the chat cached and has capacity; the
 * preferred upstream if no upstream is known to have the chat cached.
 * @earliest: set if no owned upstream with the chat cached has capacity: the
 *            one of them that would start the request first, or NULL
 *
 * Return: NULL if none has capacity.
 */
sched_upstream_t *warm_with_capacity(sched_t *s, mstime_t now,
				     sched_upstream_t *preferred,
				     const sched_request_t *r,
				     sched_upstream_t **earliest);

/*
 * warm_max_wait_ms - longest time that a request should wait for an upstream
 * that has its prefix cached.
 */
mstime_t warm_max_wait_ms(const sched_upstream_t *u, const sched_request_t *r);

/*
 * warm_note_placement - records that a chat is forwarded to an upstream of
 * another node.
 */
void warm_note_placement(sched_t *s, mstime_t now, const sched_request_t *r,
			 const sched_upstream_t *u);

#endif
