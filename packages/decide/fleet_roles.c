#include <kcf/fleet_roles.h>

#include <assert.h>
#include <kcf/str.h>
#include <math.h>
#include <string.h>

/* One may fail while the platform refuses the other. */
#define READERS_MIN 2
/* Larger fleets have more data centres; they tolerate the loss of two. */
#define READERS_MAX 3
/* Nodes in a fleet from which on it has READERS_MAX. */
#define READERS_MAX_NODES 32
/* Each costs its reader some hundred bytes a second of answers. */
#define SYNC_NODES_PER_READER 12
/*
 * This load takes a tenth of the processor time of the smallest hosts
 * (docs/CAPACITY.md), which leaves room for a surge to several times the load
 * until callers get the next directory answer.
 */
#define OUTSTANDING_PER_SERVING_NODE 20.0
/* With fewer, the loss of one would be a notable loss of capacity. */
#define SERVING_MIN 15
/* Longer than callers cache a directory answer. */
#define SHRINK_DELAY_MS 15000

static gint by_data_centre_and_key_(gconstpointer a, gconstpointer b)
{
	const fleet_roles_node_t *na = a;
	const fleet_roles_node_t *nb = b;
	int order = strcmp(na->data_centre, nb->data_centre);

	return order ? order : (na->key > nb->key) - (na->key < nb->key);
}

static gint by_data_centre_rank_(gconstpointer a, gconstpointer b)
{
	const fleet_roles_node_t *na = a;
	const fleet_roles_node_t *nb = b;

	if (na->data_centre_rank != nb->data_centre_rank)
		return (na->data_centre_rank > nb->data_centre_rank) -
		       (na->data_centre_rank < nb->data_centre_rank);
	return strcmp(na->data_centre, nb->data_centre);
}

void fleet_roles_rank(fleet_roles_node_t *nodes, guint count)
{
	assert(nodes || !count);
	/* qsort must not be passed a null pointer, even for no elements. */
	if (!count)
		return;
	qsort(nodes, count, sizeof(*nodes), by_data_centre_and_key_);
	for (guint i = 0; i < count; i++) {
		bool same = i && !strcmp(nodes[i].data_centre,
					 nodes[i - 1].data_centre);

		nodes[i].data_centre_rank =
			same ? nodes[i - 1].data_centre_rank + 1 : 0;
	}
	qsort(nodes, count, sizeof(*nodes), by_data_centre_rank_);
}

guint fleet_roles_reader_count(guint count)
{
	return count < READERS_MAX_NODES ? READERS_MIN : READERS_MAX;
}

guint fleet_roles_sync_source(guint rank, guint count, guint attempt)
{
	guint readers = fleet_roles_reader_count(count);
	guint direct = readers * SYNC_NODES_PER_READER;

	assert(rank >= readers);
	if (rank < readers + direct)
		return (rank + attempt) % readers;
	return readers + (rank + attempt) % direct;
}

guint fleet_roles_serving_count(fleet_roles_serving_t *s, guint count,
				double outstanding, mstime_t now)
{
	guint target =
		(guint)ceil(MAX(0, outstanding) / OUTSTANDING_PER_SERVING_NODE);

	assert(s);
	target = MAX(target, SERVING_MIN);
	if (target >= s->count || now >= s->shrink_at) {
		s->count = target;
		s->shrink_at = now + SHRINK_DELAY_MS;
	}
	return MIN(s->count, count);
}
