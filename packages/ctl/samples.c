#include "private/samples.h"

#include <assert.h>

void samples_init(samples_t *s)
{
	s->values = g_array_new(FALSE, FALSE, sizeof(double));
}

void samples_finish(samples_t *s)
{
	g_array_unref(s->values);
}

void samples_add(samples_t *s, double value)
{
	g_array_append_val(s->values, value);
}

static gint by_value_(gconstpointer a, gconstpointer b)
{
	double da = *(const double *)a;
	double db = *(const double *)b;

	return (da > db) - (da < db);
}

double samples_at(samples_t *s, double share)
{
	guint at;

	assert(share >= 0 && share <= 1);
	if (!s->values->len)
		return 0;
	g_array_sort(s->values, by_value_);
	at = (guint)(share * (s->values->len - 1) + 0.5);
	return g_array_index(s->values, double, at);
}
