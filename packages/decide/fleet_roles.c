#include <kcf/fleet_roles.h>

#include <assert.h>
#include <kcf/str.h>
#include <math.h>
#include <string.h>

/* One may be lost while the other is turned away by the platform; */
#define READERS_MIN 2
/* larger fleets, which have more data centres, bear the loss of two. */
#define READERS_MAX 3
#define READERS_MAX_NODES 32
/* Nodes that ask one reader: its answers are some hundred bytes a second. */
#define READER_SOURCES 12
/*
 * Outstanding requests for each node that serves: a tenth of the processor time
 * of the smallest hosts (docs/CAPACITY.md), which leaves room for a surge of
 * several times as much until the next directory answers.
 */
#define SERVING_OUTSTANDING 20.0
/* Fewer would make the loss of one a notable loss of service. */
#define SERVING_MIN 15
/* Longer than callers keep an answer of the directory. */
#define SHRINK_MS 15000

static gint by_data_centre_(gconstpointer a, gconstpointer b)
{
	const fleet_roles_node_t *na = a;
	const fleet_roles_node_t *nb = b;
	int order = strcmp(na->data_centre, nb->data_centre);

	return order ? order : (na->key > nb->key) - (na->key < nb->key);
}

static gint by_round_(gconstpointer a, gconstpointer b)
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
	/* qsort takes no empty list without memory. */
	if (!count)
		return;
	qsort(nodes, count, sizeof(*nodes), by_data_centre_);
	for (guint i = 0; i < count; i++) {
		bool same = i && !strcmp(nodes[i].data_centre,
					 nodes[i - 1].data_centre);

		nodes[i].data_centre_rank =
			same ? nodes[i - 1].data_centre_rank + 1 : 0;
	}
	qsort(nodes, count, sizeof(*nodes), by_round_);
}

guint fleet_roles_reader_count(guint count)
{
	return count < READERS_MAX_NODES ? READERS_MIN : READERS_MAX;
}

guint fleet_roles_sync_source(guint at, guint count, guint turn)
{
	guint readers = fleet_roles_reader_count(count);
	guint direct = readers * READER_SOURCES;

	assert(at >= readers);
	if (at < readers + direct)
		return (at + turn) % readers;
	return readers + (at + turn) % direct;
}

guint fleet_roles_serving_count(fleet_roles_serving_t *s, guint count,
				double outstanding, mstime_t now)
{
	guint wanted = (guint)ceil(MAX(0, outstanding) / SERVING_OUTSTANDING);

	assert(s);
	wanted = MAX(wanted, SERVING_MIN);
	if (wanted >= s->count || now >= s->shrink_at) {
		s->count = wanted;
		s->shrink_at = now + SHRINK_MS;
	}
	return MIN(s->count, count);
}
