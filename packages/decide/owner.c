#include "private/owner.h"

#include <kcf/rank.h>
#include <string.h>

/* How near a node is to an upstream; the last is preferred. */
typedef enum locality {
	LOCALITY_REMOTE,
	LOCALITY_REGION,
	LOCALITY_DATA_CENTRE,
	LOCALITY_COUNT,
} locality_t;

static bool host_is_drained_(const view_t *v, const char *name)
{
	const host_t *h = view_find(v, KIND_HOST, name);

	return h && h->drained;
}

static bool data_centre_is_drained_(const view_t *v, const char *name)
{
	const data_centre_t *dc = view_find(v, KIND_DATA_CENTRE, name);

	return dc && dc->drained;
}

void owner_mark_drained(GPtrArray *nodes, const view_t *v)
{
	for (guint i = 0; v && i < nodes->len; i++) {
		sched_node_t *n = nodes->pdata[i];

		n->drained = host_is_drained_(v, n->name) ||
			     data_centre_is_drained_(v, n->data_centre);
	}
}

static int locality_(const sched_node_t *n, const upstream_t *u)
{
	locality_t locality = LOCALITY_REMOTE;

	if (!u->regional && !strcmp(n->data_centre, u->data_centre->name))
		locality = LOCALITY_DATA_CENTRE;
	else if (!strcmp(n->region, u->data_centre->region))
		locality = LOCALITY_REGION;
	return (int)locality + (n->drained ? 0 : LOCALITY_COUNT);
}

const sched_node_t *owner_of(const GPtrArray *nodes, const upstream_t *u)
{
	const sched_node_t *best = NULL;
	double best_score = 0;
	int best_locality = 0;

	for (guint i = 0; i < nodes->len; i++) {
		const sched_node_t *n = nodes->pdata[i];
		int locality = locality_(n, u);
		double score;

		if (best && locality < best_locality)
			continue;
		score = rank_score(u->group, n->hash, 1);
		if (!best || locality > best_locality || score > best_score) {
			best = n;
			best_score = score;
			best_locality = locality;
		}
	}
	return best;
}

const sched_node_t *owner_of_partition(const GPtrArray *nodes,
				       uint64_t partition)
{
	const sched_node_t *best = NULL;
	double best_score = 0;

	for (guint i = 0; i < nodes->len; i++) {
		const sched_node_t *n = nodes->pdata[i];
		double score = rank_score(partition, n->hash, 1);

		if (score > best_score) {
			best = n;
			best_score = score;
		}
	}
	return best;
}
