/*
 * group - assigns upstreams to groups; all upstreams of a group have one owner.
 *
 * The load bound of an engine is relative to the mean load of all engines of
 * its service. A node that owns all of them knows the mean exactly. Nodes that
 * own one or two each learn of the other loads late, and in a small fleet these
 * are a large fraction of the mean. So a group is as large as one owner can
 * handle.
 */
#ifndef KCF_PRIVATE_GROUP_H
#define KCF_PRIVATE_GROUP_H

#include <kcf/view.h>

/* Slots of upstreams that one owner can handle. */
#define GROUP_SLOTS_MAX 256

/*
 * group_upstreams - sets the group of each upstream. The upstreams of a service
 * in a region are one group if their slots fit; else those in each data centre
 * are divided into groups.
 * @upstreams: upstream_t *
 */
void group_upstreams(GPtrArray *upstreams);

#endif
