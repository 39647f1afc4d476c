/*
 * owner - assigns upstreams and partitions to nodes, with the same result on
 * all nodes that know the same view and nodes.
 */
#ifndef KCF_PRIVATE_OWNER_H
#define KCF_PRIVATE_OWNER_H

#include <kcf/sched.h>

/*
 * owner_mark_drained - sets the drained flag of nodes whose host or data centre
 * is drained by the configuration; they own upstreams only if there are no
 * other nodes.
 * @nodes: sched_node_t *
 */
void owner_mark_drained(GPtrArray *nodes, const view_t *v);

/*
 * owner_of - node that owns an upstream, or NULL without nodes. Nodes that are
 * not drained come first, then those nearest to the upstream, then the rank.
 * @nodes: sched_node_t *
 */
const sched_node_t *owner_of(const GPtrArray *nodes, const upstream_t *u);

/*
 * owner_of_partition - node to which a partition is assigned, or NULL without
 * nodes.
 * @nodes: sched_node_t *
 */
const sched_node_t *owner_of_partition(const GPtrArray *nodes,
				       uint64_t partition);

#endif
