/*
 * route_table - the configuration in force: routes, services, customers and
 * their keys.
 */
#ifndef KCF_ROUTE_TABLE_H
#define KCF_ROUTE_TABLE_H

#include <glib.h>
#include <kcf/clock.h>
#include <kcf/str.h>

typedef enum route_kind {
	ROUTE_KIND_IDEMPOTENT,
	ROUTE_KIND_NON_IDEMPOTENT,
	ROUTE_KIND_STREAM,
	ROUTE_KIND_COUNT,
} route_kind_t;

/* Parallel to route_kind_t. */
extern const char *const route_kind_string[];

/* One of the services over which the requests of a route are split. */
typedef struct route_target {
	char *service;
	double weight;
} route_target_t;

typedef struct routing_route {
	char *name;
	char *host;
	char *prefix;
	route_kind_t kind;
	mstime_t timeout_ms;	       /* until the final answer */
	mstime_t latency_objective_ms; /* 0 if unset */
	mstime_t stream_gap_ms;	       /* objective for pauses in a stream */
	int priority;		       /* 0 is first */
	int max_attempts; /* upstreams that a request may be sent to */
	bool open;	  /* needs no key */
	bool affinity;	  /* prompts share segments */
	bool resumable;	  /* streams may resume at another upstream */
	GArray *targets;  /* route_target_t */
} routing_route_t;

typedef struct routing_service {
	char *name;
	double cold_per_s; /* request rate of a cold upstream, 0: unlimited */
	char *health_path; /* of its upstreams, or NULL */
} routing_service_t;

typedef struct routing_customer {
	char *name;
	int priority; /* -1: the priority of the route */
} routing_customer_t;

typedef struct route_table {
	uint64_t version;
	bool keyed;	       /* customers are identified by keys */
	GPtrArray *routes;     /* routing_route_t * */
	GPtrArray *services;   /* routing_service_t * */
	GHashTable *by_host;   /* host to GPtrArray *, longest prefix first */
	GHashTable *customers; /* key to routing_customer_t * */
	int refs;
} route_table_t;

/*
 * route_table_new - creates an empty table of a version, with one reference.
 */
route_table_t *route_table_new(uint64_t version);
route_table_t *route_table_ref(route_table_t *t);
void route_table_unref(route_table_t *t);

/*
 * route_table_add_route - adds a route; the table takes ownership.
 */
void route_table_add_route(route_table_t *t, routing_route_t *route);

/*
 * route_table_add_key - adds a key that identifies a customer.
 */
void route_table_add_key(route_table_t *t, const char *key,
			 const char *customer, int priority);

/*
 * route_table_add_service - adds the limits of a service.
 * @health_path: of its upstreams, or NULL
 */
void route_table_add_service(route_table_t *t, const char *name,
			     double cold_per_s, const char *health_path);

/*
 * route_table_service - the service with a name, or NULL.
 */
const routing_service_t *route_table_service(const route_table_t *t,
					     const char *name);

/*
 * route_table_match - the route of a host whose prefix is the longest one that
 * a path starts with, or NULL.
 * @host: as sent; a port and the case of letters are ignored
 */
const routing_route_t *route_table_match(const route_table_t *t, str_t host,
					 str_t path);

/*
 * route_table_customer - the customer of a key, or NULL.
 */
const routing_customer_t *route_table_customer(const route_table_t *t,
					       str_t key);

/*
 * routing_route_new - creates a route without targets that allows one attempt.
 */
routing_route_t *routing_route_new(void);
void routing_route_free(void *route);

/*
 * routing_route_pick_target - picks the service of a request, by weight.
 * @position: random number from 0 to 1, uniformly distributed
 *
 * Return: its name, or NULL when the route has no service.
 */
const char *routing_route_pick_target(const routing_route_t *r,
				      double position);

#endif
