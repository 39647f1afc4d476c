/*
 * latency - latency histograms for /metrics.
 */
#ifndef KCF_LATENCY_H
#define KCF_LATENCY_H

#include <glib.h>
#include <kcf/clock.h>

typedef struct latency {
	void *histogram; /* milliseconds */
	double sum;	 /* milliseconds */
	uint64_t count;
} latency_t;

/*
 * latency_init - sets up an empty histogram with bounds from 1 ms to 30 s.
 */
void latency_init(latency_t *l);
void latency_finish(latency_t *l);

/*
 * latency_add - counts one latency; negative values count as 0.
 */
void latency_add(latency_t *l, mstime_t ms);

/*
 * latency_render - appends the histogram in the Prometheus text format.
 * @name:   name of the metric
 * @labels: comma-separated pairs of the form key="value"
 */
void latency_render(const latency_t *l, const char *name, const char *labels,
		    GString *out);

#endif
