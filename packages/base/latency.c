#include <kcf/latency.h>

#include <assert.h>
#include <gsl/gsl_histogram.h>

/* Bounds of the buckets; latency objectives lie between 100 and 1500 ms. */
static const double bounds_ms[] = {
	0,   1,	  2,   5,    10,   20,	 50,   100,  150,   200,  300,
	400, 600, 800, 1000, 1500, 2000, 3000, 5000, 10000, 30000
};
#define BUCKET_COUNT (G_N_ELEMENTS(bounds_ms) - 1)

void latency_init(latency_t *l)
{
	assert(l);
	*l = (latency_t){ .histogram = gsl_histogram_alloc(BUCKET_COUNT) };
	gsl_histogram_set_ranges(l->histogram, bounds_ms, BUCKET_COUNT + 1);
}

void latency_finish(latency_t *l)
{
	gsl_histogram_free(l->histogram);
	l->histogram = NULL;
}

void latency_add(latency_t *l, mstime_t ms)
{
	double v = (double)MAX(0, ms);

	l->sum += v;
	l->count++;
	/* Longer latencies are counted in the +Inf bucket only. */
	if (v < bounds_ms[BUCKET_COUNT])
		gsl_histogram_increment(l->histogram, v);
}

void latency_render(const latency_t *l, const char *name, const char *labels,
		    GString *out)
{
	double cumulative = 0;

	for (size_t i = 0; i < BUCKET_COUNT; i++) {
		cumulative += gsl_histogram_get(l->histogram, i);
		g_string_append_printf(out, "%s_bucket{%s,le=\"%g\"} %.0f\n",
				       name, labels, bounds_ms[i + 1],
				       cumulative);
	}
	g_string_append_printf(out,
			       "%s_bucket{%s,le=\"+Inf\"} %" G_GUINT64_FORMAT
			       "\n%s_sum{%s} %.0f\n"
			       "%s_count{%s} %" G_GUINT64_FORMAT "\n",
			       name, labels, l->count, name, labels, l->sum,
			       name, labels, l->count);
}
