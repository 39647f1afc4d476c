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
 * warm_with_room - where the chat is warm and one more request has room; its
 * home while it is warm nowhere.
 * @soonest: receives, when none of these has room, the owned upstream where the
 *           chat is warm and would start first, or NULL
 *
 * Return: NULL when none has room.
 */
slot_t *warm_with_room(sched_t *s, mstime_t now, slot_t *home,
		       const sched_request_t *r, slot_t **soonest);

/*
 * warm_worth_ms - time that a warm cache is worth waiting for.
 */
mstime_t warm_worth_ms(const slot_t *sl, const sched_request_t *r);

/*
 * warm_remember - notes that the chat is sent to an upstream of another node.
 */
void warm_remember(sched_t *s, mstime_t now, const sched_request_t *r,
		   const slot_t *sl);

#endif
