/*
 * owner - which node owns an upstream, the same in equal views.
 */
#ifndef KCF_PRIVATE_OWNER_H
#define KCF_PRIVATE_OWNER_H

#include <kcf/sched.h>

/*
 * owner_mark_drained - notes which nodes the configuration keeps work off; they
 * own upstreams only where there are no others.
 * @nodes: sched_node_t *
 */
void owner_mark_drained(GPtrArray *nodes, const view_t *v);

/*
 * owner_of - node that owns an upstream, or NULL without nodes.
 * @nodes: sched_node_t *
 */
const sched_node_t *owner_of(const GPtrArray *nodes, const upstream_t *u);

/*
 * owner_of_partition - node that a number falls to, or NULL without nodes.
 * @nodes: sched_node_t *
 */
const sched_node_t *owner_of_partition(const GPtrArray *nodes,
				       uint64_t partition);

#endif
