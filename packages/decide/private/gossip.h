/*
 * gossip - loads of upstreams as nodes tell them to each other.
 */
#ifndef KCF_PRIVATE_GOSSIP_H
#define KCF_PRIVATE_GOSSIP_H

#include "slot.h"

/*
 * gossip_fill_load - what this node tells of one upstream.
 */
void gossip_fill_load(const sched_t *s, mstime_t now, uint32_t stamp,
		      sched_upstream_t *u, peer_load_t *l);

#endif
