/*
 * fleet_roles - assigns the roles of the nodes in a fleet.
 *
 * Every node computes the same ranking from the names and data centres of the
 * live nodes. The nodes ranked first are the readers, which read the platform
 * for all; the others sync from them, directly or through one more node.
 * Callers are directed to as many of the nodes ranked first as the load needs.
 * Membership views that differ by a few nodes give rankings that differ in few
 * places. Pure logic: no socket, no clock.
 */
#ifndef KCF_FLEET_ROLES_H
#define KCF_FLEET_ROLES_H

#include <glib.h>
#include <kcf/clock.h>

/* A live node. */
typedef struct fleet_roles_node {
	uint32_t key; /* hash of its name */
	const char *data_centre;
	const void *user_data;	/* for the owner of the list */
	guint data_centre_rank; /* within its data centre, set by ranking */
} fleet_roles_node_t;

/* Number of nodes that serve callers; grows at once, shrinks after a delay. */
typedef struct fleet_roles_serving {
	guint count;
	mstime_t shrink_at;
} fleet_roles_serving_t;

/*
 * fleet_roles_rank - sorts nodes by rank, taking one of each data centre in
 * turn, so that the nodes ranked first are spread over all data centres.
 */
void fleet_roles_rank(fleet_roles_node_t *nodes, guint count);

/*
 * fleet_roles_reader_count - how many of the nodes ranked first are readers;
 * may exceed the number of nodes.
 */
guint fleet_roles_reader_count(guint count);

/*
 * fleet_roles_sync_source - the node from which another one syncs its feeds.
 * @rank: of the node that syncs, not a reader
 * @attempt: counts failures; each one selects another source
 *
 * Return: rank of the source, always lower than @rank.
 */
guint fleet_roles_sync_source(guint rank, guint count, guint attempt);

/*
 * fleet_roles_serving_count - how many of the nodes ranked first serve callers.
 * @outstanding: requests of the whole fleet that upstreams work on
 */
guint fleet_roles_serving_count(fleet_roles_serving_t *s, guint count,
				double outstanding, mstime_t now);

#endif
