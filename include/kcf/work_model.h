/*
 * work_model - simulates a service whose engines prefill prompts in chunks
 * between the output tokens of other requests, at a pace that changes, and
 * nodes whose knowledge is old.
 *
 * The nodes choose engines with the code of the product (balance). Time is
 * simulated: the same settings and seed give the same result.
 */
#ifndef KCF_WORK_MODEL_H
#define KCF_WORK_MODEL_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>

/* How nodes choose engines. */
typedef enum work_policy {
	WORK_POLICY_COUNTS, /* as without reported paces */
	WORK_POLICY_RANDOM,
	WORK_POLICY_LEAST_REQUESTS,
	WORK_POLICY_LEAST_WORK, /* least expected time, caches ignored */
	WORK_POLICY_EXPECTED,	/* the product's, with reported paces */
	WORK_POLICY_COUNT,
} work_policy_t;

/* Parallel to work_policy_t. */
extern const char *const work_policy_string[];

typedef enum work_kind {
	WORK_KIND_LONG,
	WORK_KIND_SHORT,
	WORK_KIND_CHECK, /* yes or no */
	WORK_KIND_COUNT,
} work_kind_t;

/* Parallel to work_kind_t. */
extern const char *const work_kind_string[];

typedef struct work_kind_conf {
	double per_s;
	int prompts;	      /* distinct shared parts */
	double shared_tokens; /* mean */
	double own_tokens;    /* mean */
	int events;	      /* mean */
	mstime_t objective_ms;
} work_kind_conf_t;

typedef struct work_conf {
	work_policy_t policy;
	guint32 seed;
	mstime_t arrivals_ms;
	mstime_t skip_ms; /* requests that arrive before are not measured */
	int nodes;
	int engines;
	int slots;
	work_kind_conf_t kinds[WORK_KIND_COUNT];
	double shared_sigma; /* standard deviation of log(shared tokens) */
	int shared_max;	     /* longest shared part */
	double skew;	     /* Zipf exponent of the prompts' popularity */
	double mean_burst;   /* requests that reach a node together */
	int tokens_per_event;
	double tokens_per_ms; /* prefill rate at the normal pace */
	int chunk_tokens;     /* prefilled between two output tokens */
	double step_ms;	      /* of one output token, at the normal pace */
	double step_slot_ms;  /* in addition for each running request */
	int cache_tokens;     /* of an engine */
	double copy_tokens_per_ms;
	double copy_setup_ms;
	int slow_pace;
	double slow_fraction; /* of the time */
	mstime_t pace_ms;     /* after which the pace changes */
	double pace_lie;      /* fraction of engines that report a false pace */
	double hint_error;    /* hints are off by up to this factor */
	double loss;	      /* fraction of messages that are lost */
	mstime_t gossip_interval_ms;
} work_conf_t;

typedef struct work_result {
	int arrivals; /* measured, as all that follows */
	int refused;
	int over_limit;		    /* arrived at an engine above the limit */
	double shared_tokens_again; /* prefilled although cached elsewhere */
	double shared_tokens_first; /* prefilled and cached nowhere */
	double tokens_copied;
	double notice_bytes; /* of messages about long prefills, all nodes */
	GArray *first_ms[WORK_KIND_COUNT]; /* double, time to first output */
	GArray *wait_ms[WORK_KIND_COUNT];  /* double, part before the prefill */
} work_result_t;

/*
 * work_conf_init - default settings: 69 nodes and 60 engines.
 */
void work_conf_init(work_conf_t *conf);

/*
 * work_result_init, work_result_finish - the result of several runs.
 */
void work_result_init(work_result_t *r);
void work_result_finish(work_result_t *r);

/*
 * work_result_quantile - quantile of times; sorts them.
 * @fraction: 0 to 1
 */
double work_result_quantile(GArray *times, double fraction);

/*
 * work_model_run - runs a simulation until the last answer and adds to the
 * result.
 */
void work_model_run(const work_conf_t *conf, work_result_t *result);

#endif
