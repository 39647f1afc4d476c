/*
 * group - which upstreams have one owner together.
 *
 * The bound on an engine's load refers to the mean of all. A node that owns all
 * engines of a service knows that mean exactly; nodes that own one or two each
 * know it late, and in a small fleet what they do not know is a large part of
 * it. So upstreams are owned together as far as one node can bear their work.
 */
#ifndef KCF_PRIVATE_GROUP_H
#define KCF_PRIVATE_GROUP_H

#include <kcf/view.h>

/* Slots that one node bears. */
#define GROUP_SLOTS_MAX 256

/*
 * group_upstreams - sets the group of each upstream: all of a service in a
 * region while their slots fit, else parts of its data centres.
 * @upstreams: upstream_t *
 */
void group_upstreams(GPtrArray *upstreams);

#endif
