/*
 * view - typed, immutable copy of the resources in force.
 *
 * A new one is built after each change. Tasks share it by reference count.
 */
#ifndef KCF_VIEW_H
#define KCF_VIEW_H

#include <kcf/placement.h>
#include <kcf/config.h>
#include <kcf/str.h>

typedef enum service_type {
	SERVICE_MODEL,
	SERVICE_PLAIN,
} service_type_t;

typedef struct data_centre {
	char *name;
	char *region;
	bool drained;
	double power_cap_w; /* 0 if unlimited */
	double ramp_s;
	uint64_t version;
} data_centre_t;

/* Calls that may run at most once. */
typedef struct once_rule {
	char *method;
	char *path; /* a trailing * matches any suffix */
} once_rule_t;

typedef struct service {
	char *name;
	service_type_t type;
	int64_t timeout_ms;
	int64_t gap_ms; /* a stream silent for longer is broken */
	int64_t queue_max;
	bool echoes_request_id;
	GArray *once_rules; /* once_rule_t */
} service_t;

typedef struct upstream {
	char *name;
	uint32_t key;	/* low half of hash; names it in load gossip */
	uint64_t hash;	/* for ranking */
	uint64_t group; /* upstreams of one group have the same owner */
	bool regional;	/* the group spans the data centres of its region */
	char *address;
	const service_t *service;
	const data_centre_t *data_centre;
	GPtrArray *models; /* char *; NULL serves all models of the service */
	bool leaving;	   /* being drained */
	int slots;	   /* most requests outstanding at a time */
	int floor;	   /* requests allowed at the start of its ramp */
	double ramp_s;	   /* duration of the slow start */
	double weight;	   /* capacity relative to other upstreams */
	int64_t cache_tokens; /* size of its prefix cache */
	double idle_w;	      /* power without requests */
	double slot_w;	      /* additional power of each slot in use */
	bool fencing;	      /* rejects orders with an older fencing token */
	uint64_t version;
} upstream_t;

typedef struct model {
	char *name;
	const service_t *service;
	GPtrArray *adapters; /* char * */
	char *model_version;
} model_t;

typedef struct customer {
	char *name;
	double weight;
	GPtrArray *services; /* char *; NULL allows all */
} customer_t;

typedef struct host {
	char *name;
	bool drained;
} host_t;

typedef struct view {
	gint refs;
	uint64_t applied;   /* offset of the last record in it */
	double load_bound;  /* factor: most load of one, to the mean of all */
	double power_cap_w; /* 0 if unlimited */
	placement_t placement;
	double weight_loads_per_s; /* of the weight store; 0 if unlimited */
	GPtrArray *data_centres;
	GPtrArray *services;
	GPtrArray *upstreams;
	GPtrArray *models;
	GPtrArray *customers;
	GPtrArray *hosts;
	GHashTable *by_name; /* "Kind/name" to entry */
	GHashTable *by_key;  /* SHA-256 in hexadecimal to customer_t * */
} view_t;

/*
 * view_new - view of the present configuration, with one reference.
 */
view_t *view_new(const config_t *c);
/*
 * view_ref, view_unref - add and drop a reference, from any thread; dropping
 * the last one frees the view.
 */
view_t *view_ref(view_t *v);
void view_unref(view_t *v);

/*
 * view_find - typed entry of a kind by name, or NULL.
 */
void *view_find(const view_t *v, resource_kind_t kind, const char *name);

/*
 * view_customer_by_key - customer that a key belongs to, or NULL.
 * @sha256: hash of the key, hexadecimal, lower case
 */
const customer_t *view_customer_by_key(const view_t *v, const char *sha256);

/*
 * customer_may_use - whether a customer may use a service.
 */
bool customer_may_use(const customer_t *c, const service_t *s);

/*
 * service_runs_once - whether a call of a service may run at most once.
 */
bool service_runs_once(const service_t *s, str_t method, str_t path);

/*
 * upstream_serves_model - whether an upstream serves a model of its service.
 */
bool upstream_serves_model(const upstream_t *u, const char *model);

/*
 * upstream_accepts_work - whether the configuration allows new work for an
 * upstream: neither it nor its data centre is drained.
 */
bool upstream_accepts_work(const upstream_t *u);

#endif
