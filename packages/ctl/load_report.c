#include "private/load.h"

static json_t *table_(GHashTable *table)
{
	json_t *o = json_object();
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, &value))
		json_object_set_new(o, key, json_integer(*(int64_t *)value));
	return o;
}

static json_t *percentiles_(samples_t *s)
{
	return json_pack("{s:f,s:f,s:f,s:f,s:f}", "p50", samples_at(s, 0.5),
			 "p90", samples_at(s, 0.9), "p95", samples_at(s, 0.95),
			 "p99", samples_at(s, 0.99), "max", samples_at(s, 1.0));
}

static double skew_(GHashTable *upstreams)
{
	GHashTableIter iter;
	gpointer value;
	int64_t max = 0;
	int64_t sum = 0;

	g_hash_table_iter_init(&iter, upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		max = MAX(max, *(int64_t *)value);
		sum += *(int64_t *)value;
	}
	return sum ? (double)max * g_hash_table_size(upstreams) / (double)sum
		   : 0;
}

static json_t *customers_(load_t *l)
{
	json_t *list = json_array();

	for (int i = 0; i < l->customer_count; i++) {
		customer_load_t *c = &l->customers[i];

		json_array_append_new(
			list, json_pack("{s:i,s:I,s:I,s:o}", "customer", i,
					"ok", (json_int_t)c->ok, "refused",
					(json_int_t)c->refused, "total_ms",
					percentiles_(&c->total_ms)));
	}
	return list;
}

static json_t *counts_report_(const load_t *l)
{
	double seconds = (double)l->o.duration_ms / MSEC_PER_SEC;

	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:f}", "sent",
			 (json_int_t)l->sent, "skipped", (json_int_t)l->skipped,
			 "again", (json_int_t)l->again, "ok", (json_int_t)l->ok,
			 "once", (json_int_t)l->once_sent, "ok_per_s",
			 (double)l->ok / seconds);
}

json_t *load_report(load_t *l)
{
	json_t *o = counts_report_(l);
	double prompt = (double)MAX(1, l->prompt);

	json_object_set_new(o, "total_ms", percentiles_(&l->total_ms));
	json_object_set_new(o, "first_ms", percentiles_(&l->first_ms));
	json_object_set_new(o, "slowest",
			    json_string(l->slowest ? l->slowest : ""));
	json_object_set_new(o, "reuse", json_real((double)l->cached / prompt));
	json_object_set_new(o, "ideal_reuse",
			    json_real((double)l->ideal / prompt));
	json_object_set_new(o, "skew", json_real(skew_(l->upstreams)));
	json_object_set_new(o, "upstreams", table_(l->upstreams));
	json_object_set_new(o, "refused", table_(l->reasons));
	json_object_set_new(o, "customers", customers_(l));
	return o;
}
