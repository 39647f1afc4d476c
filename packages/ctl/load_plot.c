#include "private/load.h"
#include "private/plot.h"

#include <math.h>
#include <stdio.h>

#define STEP_S 1.0

/* What ended within one step. */
typedef struct step {
	samples_t total_ms;
	double ok;
	double refused;
} step_t;

static size_t step_count_(const load_t *l)
{
	double last = 0;

	for (guint i = 0; i < l->timeline->len; i++) {
		const load_point_t *p =
			&g_array_index(l->timeline, load_point_t, i);

		last = MAX(last, p->at_s);
	}
	return (size_t)(last / STEP_S) + 1;
}

static step_t *steps_(const load_t *l, size_t count)
{
	step_t *steps = g_new0(step_t, count);

	for (size_t i = 0; i < count; i++)
		samples_init(&steps[i].total_ms);
	for (guint i = 0; i < l->timeline->len; i++) {
		const load_point_t *p =
			&g_array_index(l->timeline, load_point_t, i);
		step_t *step = &steps[(size_t)(p->at_s / STEP_S)];

		if (p->ok) {
			samples_add(&step->total_ms, p->total_ms);
			step->ok += 1 / STEP_S;
		} else {
			step->refused += 1 / STEP_S;
		}
	}
	return steps;
}

static double *percentile_(step_t *steps, size_t count, double share)
{
	double *values = g_new0(double, count);

	for (size_t i = 0; i < count; i++)
		values[i] = steps[i].ok > 0
				    ? samples_at(&steps[i].total_ms, share)
				    : NAN;
	return values;
}

bool load_plot(const load_t *l, const char *path)
{
	size_t count = step_count_(l);
	step_t *steps = steps_(l, count);
	double *p50 = percentile_(steps, count, 0.5);
	double *p99 = percentile_(steps, count, 0.99);
	double *ok = g_new0(double, count);
	double *refused = g_new0(double, count);
	const plot_chart_t charts[] = {
		{ "time of an answer, ms",
		  2,
		  { { "p50", p50 }, { "p99", p99 } } },
		{ "requests a second",
		  2,
		  { { "whole", ok }, { "refused", refused } } },
	};
	int err;

	for (size_t i = 0; i < count; i++) {
		ok[i] = steps[i].ok;
		refused[i] = steps[i].refused;
		samples_finish(&steps[i].total_ms);
	}
	err = plot_write(path, charts, G_N_ELEMENTS(charts), count, STEP_S);
	if (err)
		fprintf(stderr, "kcfctl: %s: %s\n", path,
			plot_err_string[-err]);
	g_free(p50);
	g_free(p99);
	g_free(ok);
	g_free(refused);
	g_free(steps);
	return !err;
}
