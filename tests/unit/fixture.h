/*
 * fixture - small configurations for tests.
 */
#ifndef KCF_FIXTURE_H
#define KCF_FIXTURE_H

#include <kcf/config.h>

/*
 * fixture_put - applies a record with one resource at the next offset.
 * @body: JSON text, or NULL to delete
 */
void fixture_put(config_t *c, resource_kind_t kind, const char *name,
		 const char *body);

/*
 * fixture_put_engine - adds engine "e<i>" of service "svc", alternately in data
 * centres d1 and d2.
 */
void fixture_put_engine(config_t *c, int i, int slots, int ramp_s);

/*
 * fixture_put_fleet - adds data centres d1 and d2, service "svc" of model "m",
 * plain service "plain", customer "c" with key "key", and upstreams e0, e1, ...
 * of 8 slots without a ramp.
 */
void fixture_put_fleet(config_t *c, int upstreams);

#endif
