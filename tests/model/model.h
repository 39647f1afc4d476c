/*
 * model - each runs one random sequence of events; false if an invariant is
 * violated.
 */
#ifndef KCF_MODEL_H
#define KCF_MODEL_H

#include <glib.h>
#include <stdbool.h>

bool model_config(guint32 seed);
bool model_once(guint32 seed);
bool model_origins(guint32 seed);
bool model_quarantine(guint32 seed);
bool model_rollout(guint32 seed);

#endif
