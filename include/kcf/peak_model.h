/*
 * peak_model - simulates a plain service of few slots in a traffic peak: its
 * upstreams queue what they cannot run and reject what their queues cannot
 * hold; callers come back once after a Retry-After that they accept.
 *
 * The nodes choose with the code of the product (balance, shares, admission).
 * Time is simulated: the same settings and seed give the same result.
 */
#ifndef KCF_PEAK_MODEL_H
#define KCF_PEAK_MODEL_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>

#define PEAK_KINDS 2
#define PEAK_CUSTOMERS_MAX 64

typedef struct peak_kind {
	const char *name;
	double per_s; /* requests, before the factor of the peak */
	int urgency;  /* 0 is most urgent */
	mstime_t objective_ms;
	mstime_t deadline_ms;
	double late_worth; /* of a response after the objective; else 1 */
} peak_kind_t;

typedef struct peak_conf {
	guint32 seed;
	bool admission; /* as if an upstream had reported its pace */
	mstime_t arrivals_ms;
	mstime_t calm_ms; /* without the peak, at the start */
	int nodes;
	int upstreams;
	int slots;
	int queue; /* requests that wait at an upstream */
	int customers;
	double factor;	     /* of the traffic in the peak */
	double large_factor; /* of the first customer's, on top of it */
	double wave;	     /* amplitude, as a fraction */
	mstime_t wave_ms;
	double clump;	/* mean requests that a customer sends at once */
	double work_ms; /* mean */
	double work_sigma;
	double long_share;  /* of the requests, take LONG_FACTOR as long */
	double slow_share;  /* of the steps in which an upstream is slow */
	double slow_factor; /* of the work then */
	mstime_t slow_step_ms;
	mstime_t report_min_ms; /* age of reports as other nodes have them */
	mstime_t report_max_ms;
	peak_kind_t kinds[PEAK_KINDS];
} peak_conf_t;

typedef struct peak_tally {
	int requests;
	int in_time; /* by the objective, from the first try */
	int late;
	int rejected;
	int lost;	   /* not answered by the deadline */
	int rejections;	   /* tries, those that came back included */
	int tries_in_time; /* by the objective, from the try that was served */
	double worth;
} peak_tally_t;

typedef struct peak_result {
	peak_tally_t kinds[PEAK_KINDS];
	peak_tally_t large; /* the first customer */
	peak_tally_t others;
	double use; /* of the slots during the arrivals */
} peak_result_t;

/*
 * peak_conf_init - sets the service of 18 slots that docs/design/overview.md
 * describes, at twice its traffic.
 */
void peak_conf_init(peak_conf_t *c);

/*
 * peak_run - plays the arrivals until the last request has ended.
 */
void peak_run(const peak_conf_t *conf, peak_result_t *out);

/*
 * peak_tally_add - adds the counts of another run.
 */
void peak_tally_add(peak_tally_t *sum, const peak_tally_t *t);

#endif
