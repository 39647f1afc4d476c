/*
 * samples - measured values and their percentiles.
 */
#ifndef KCF_PRIVATE_SAMPLES_H
#define KCF_PRIVATE_SAMPLES_H

#include <glib.h>

typedef struct samples {
	GArray *values; /* double */
} samples_t;

void samples_init(samples_t *s);
void samples_finish(samples_t *s);
void samples_add(samples_t *s, double value);

/*
 * samples_at - value below which a share of the samples lies; 0 without any.
 * @share: 0 to 1
 */
double samples_at(samples_t *s, double share);

#endif
