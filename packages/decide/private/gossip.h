/*
 * gossip - exchange of upstream loads between nodes.
 */
#ifndef KCF_PRIVATE_GOSSIP_H
#define KCF_PRIVATE_GOSSIP_H

#include "sched_upstream.h"

/*
 * gossip_fill_load - fills in the gossip entry of one upstream: measured here
 * for owned ones, repeated from the last gossip for others.
 * @stamp: of entries of owned upstreams
 */
void gossip_fill_load(const sched_t *s, mstime_t now, uint32_t stamp,
		      sched_upstream_t *u, peer_load_t *l);

#endif
