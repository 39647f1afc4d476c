/*
 * fleet_roles - what each node of a fleet does for the others.
 *
 * All nodes compute the same order from the names of the live nodes. Its first
 * nodes read the platform for all, the next ones pass on what those know, and
 * callers are sent to as many of the first as the load needs. Two views that
 * differ by some nodes differ in few places. Pure logic: no socket, no clock.
 */
#ifndef KCF_FLEET_ROLES_H
#define KCF_FLEET_ROLES_H

#include <glib.h>
#include <kcf/clock.h>

/* A live node. */
typedef struct fleet_roles_node {
	uint32_t key; /* hash of its name */
	const char *data_centre;
	const void *data;	/* of the owner of the list */
	guint data_centre_rank; /* nodes of its data centre that come before it
				 */
} fleet_roles_node_t;

/* Number of nodes that serve callers: grows at once, shrinks slowly. */
typedef struct fleet_roles_serving {
	guint count;
	mstime_t shrink_at;
} fleet_roles_serving_t;

/*
 * fleet_roles_rank - sorts nodes: by turns one of each data centre, so that
 * any first part of the order is spread over all of them.
 */
void fleet_roles_rank(fleet_roles_node_t *nodes, guint count);

/*
 * fleet_roles_reader_count - how many of the first nodes read the platform for
 * all.
 */
guint fleet_roles_reader_count(guint count);

/*
 * fleet_roles_sync_source - the node that another one asks for news.
 * @at:   place in the order of the one that asks, behind the readers
 * @turn: counts the failures; each one leads to another source
 *
 * Return: a place in the order, always before @at.
 */
guint fleet_roles_sync_source(guint rank, guint count, guint attempt);

/*
 * fleet_roles_serving_count - how many of the first nodes callers are sent to.
 * @outstanding: requests of the whole fleet that upstreams work on
 */
guint fleet_roles_serving_count(fleet_roles_serving_t *s, guint count,
				double outstanding, mstime_t now);

#endif
