#include "private/owner.h"

#include <kcf/rank.h>
#include <string.h>

/* How well a node suits an upstream; the best of these come first. */
typedef enum fit {
	FIT_ELSEWHERE,
	FIT_REGION,
	FIT_DATA_CENTRE,
	FIT_COUNT,
} fit_t;

static bool host_out_(const view_t *v, const char *name)
{
	const host_t *h = view_find(v, KIND_HOST, name);

	return h && h->drained;
}

static bool data_centre_out_(const view_t *v, const char *name)
{
	const data_centre_t *dc = view_find(v, KIND_DATA_CENTRE, name);

	return dc && dc->drained;
}

void owner_mark_out(GPtrArray *nodes, const view_t *v)
{
	for (guint i = 0; v && i < nodes->len; i++) {
		sched_node_t *n = nodes->pdata[i];

		n->out = host_out_(v, n->name) ||
			 data_centre_out_(v, n->data_centre);
	}
}

static int fit_(const sched_node_t *n, const upstream_t *u)
{
	fit_t fit = FIT_ELSEWHERE;

	if (!u->regional && !strcmp(n->data_centre, u->data_centre->name))
		fit = FIT_DATA_CENTRE;
	else if (!strcmp(n->region, u->data_centre->region))
		fit = FIT_REGION;
	return (int)fit + (n->out ? 0 : FIT_COUNT);
}

const sched_node_t *owner_of(const GPtrArray *nodes, const upstream_t *u)
{
	const sched_node_t *best = NULL;
	double best_score = 0;
	int best_fit = 0;

	for (guint i = 0; i < nodes->len; i++) {
		const sched_node_t *n = nodes->pdata[i];
		int fit = fit_(n, u);
		double score;

		if (best && fit < best_fit)
			continue;
		score = rank_score(u->group, n->hash, 1);
		if (!best || fit > best_fit || score > best_score) {
			best = n;
			best_score = score;
			best_fit = fit;
		}
	}
	return best;
}

const sched_node_t *owner_of_number(const GPtrArray *nodes, uint64_t number)
{
	const sched_node_t *best = NULL;
	double best_score = 0;

	for (guint i = 0; i < nodes->len; i++) {
		const sched_node_t *n = nodes->pdata[i];
		double score = rank_score(number, n->hash, 1);

		if (score > best_score) {
			best = n;
			best_score = score;
		}
	}
	return best;
}
