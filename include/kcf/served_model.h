/*
 * served_model - a model of the served systems: engines with batches and
 * caches, callers that come in clumps, and nodes that know loads late.
 *
 * The nodes' choices are those of the product (balance). Time is simulated: the
 * same settings and seed give the same result.
 */
#ifndef KCF_SERVED_MODEL_H
#define KCF_SERVED_MODEL_H

#include <glib.h>
#include <kcf/clock.h>
#include <kcf/placement.h>
#include <stdbool.h>

typedef struct served_conf {
	placement_t placement;
	guint32 seed;
	mstime_t arrivals_ms; /* of the arrivals */
	int nodes;
	int engines;
	int data_centres;  /* engines and nodes are spread over them in turn */
	int slots;	   /* requests that an engine runs at a time */
	int cache_prompts; /* prompts that an engine keeps */
	int prompt_count;  /* different ones */
	double skew;	   /* exponent of their popularity, 0: all alike */
	double hot_fraction;   /* of arrivals that ask for one prompt, */
	mstime_t hot_at;       /* from then on */
	double requests_per_s; /* arrivals */
	double mean_burst;     /* mean number that arrives at a node together */
	double warm_ms;	       /* until the first token, prompt in the cache */
	double cold_ms;	       /* the same, prompt not in the cache */
	double work_ms;	       /* mean from the first token to the last */
	double work_sigma;     /* deviation of the logarithm of work_ms */
	mstime_t
		gossip_interval_ms; /* each node tells its loads to one other */
	mstime_t drain_at;	    /* the first data centre is taken out, */
	mstime_t restore_at;	    /* and back in; equal for never */
	mstime_t add_at;	    /* empty engines are added */
	int added_engines;
} served_conf_t;

typedef struct served_result {
	int arrivals;
	int refused;
	int warm_hits;		 /* served from a cache */
	int over_limit;		 /* met an engine above the users' bound */
	double over_limit_worst; /* largest share of them in five seconds */
	int peak_load;		 /* highest load of an engine */
	double first_p50_ms;	 /* until the first token */
	double first_p95_ms;
} served_result_t;

/* What arrived within one second. */
typedef struct served_second {
	int arrivals;
	int warm_hits; /* of those, served from a cache */
	int peak_load; /* highest load that one met */
} served_second_t;

/*
 * served_conf_init - a service as the users' smaller deployments have it.
 */
void served_conf_init(served_conf_t *conf);

/*
 * served_run - plays the arrivals and waits for the last answer.
 * @seconds: of served_second_t, gets one entry a second, or NULL
 */
void served_run(const served_conf_t *conf, served_result_t *result,
		GArray *seconds);

#endif
