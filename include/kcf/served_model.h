/*
 * served_model - simulates a service: engines with slots and prompt caches,
 * callers that send bursts of requests, and nodes whose load reports are late.
 *
 * The nodes choose engines with the code of the product (balance). Time is
 * simulated: the same settings and seed give the same result.
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
	mstime_t arrivals_ms; /* time span of the arrivals */
	int nodes;
	int engines;
	int data_centres;    /* engines and nodes are assigned round-robin */
	int slots;	     /* requests that an engine runs concurrently */
	int cache_prompts;   /* prompts in the cache of an engine */
	int prompt_count;    /* distinct prompts */
	double skew;	     /* Zipf exponent of their popularity, 0: uniform */
	double hot_fraction; /* fraction of arrivals with the hot prompt */
	mstime_t hot_at;     /* start of these arrivals */
	double requests_per_s; /* arrivals */
	double mean_burst; /* mean number of requests in a burst at a node */
	double warm_ms;	   /* time to the first token, prompt in the cache */
	double cold_ms; /* time to the first token, prompt not in the cache */
	double work_ms; /* mean time from the first token to the last */
	double work_sigma;	     /* standard deviation of log(work_ms) */
	mstime_t gossip_interval_ms; /* per node */
	mstime_t drain_at;	     /* when the first data centre is drained */
	mstime_t restore_at; /* unless later than drain_at, never drained */
	mstime_t add_at;     /* when engines with empty caches are added */
	int added_engines;
	bool copies;	   /* engines copy prompts from each other */
	bool share_warmth; /* nodes tell each other of warm engines */
} served_conf_t;

typedef struct served_result {
	int arrivals;
	int refused;
	int warm_hits;	/* prompt was in the cache */
	int reread;	/* read although another engine had it in the cache */
	int over_limit; /* arrived at an engine above the load limit */
	double over_limit_worst; /* highest fraction in five seconds */
	int peak_load;		 /* highest load of an engine */
	double first_p50_ms;	 /* time to the first token */
	double first_p95_ms;
} served_result_t;

/* Requests that arrived within one second. */
typedef struct served_second {
	int arrivals;
	int warm_hits; /* prompt was in the cache */
	int peak_load; /* highest load of an engine that got one */
} served_second_t;

/*
 * served_conf_init - default settings: a service of a small deployment.
 */
void served_conf_init(served_conf_t *conf);

/*
 * served_run - runs a simulation until the last answer.
 * @seconds: array of served_second_t, one entry a second, or NULL
 */
void served_run(const served_conf_t *conf, served_result_t *result,
		GArray *seconds);

#endif
