/*
 * route_table - what the configuration in force allows: routes, services,
 * customers and their keys.
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

/* One of the services that share the work of a route. */
typedef struct route_target {
	char *service;
	double weight;
} route_target_t;

typedef struct routing_route {
	char *name;
	char *host;
	char *prefix;
	route_kind_t kind;
	mstime_t timeout_ms;	       /* longest time until the final answer */
	mstime_t latency_objective_ms; /* latency objective */
	mstime_t stream_gap_ms; /* longest pause in a stream that is on time */
	int priority;		/* 0 is first */
	int max_attempts;	/* upstreams that one request may be sent to */
	bool open;		/* needs no key */
	bool affinity;		/* prompts share parts */
	bool resumable;		/* streams may go on at another upstream */
	GArray *targets;	/* route_target_t */
} routing_route_t;

typedef struct routing_service {
	char *name;
	double cold_per_s; /* requests a second that a cold upstream bears */
} routing_service_t;

typedef struct routing_customer {
	char *name;
	int priority; /* -1: that of the route */
} routing_customer_t;

typedef struct route_table {
	uint64_t version;
	bool keyed;	       /* customers are known by their keys */
	GPtrArray *routes;     /* routing_route_t * */
	GPtrArray *services;   /* routing_service_t * */
	GHashTable *by_host;   /* host to GPtrArray *, longest prefix first */
	GHashTable *customers; /* key to routing_customer_t * */
	int refs;
} route_table_t;

/*
 * route_table_new - an empty table of a version, with one reference.
 */
route_table_t *route_table_new(uint64_t version);
route_table_t *route_table_ref(route_table_t *t);
void route_table_unref(route_table_t *t);

/*
 * route_table_add_route - adds a route; the table owns it from now on.
 */
void route_table_add_route(route_table_t *t, routing_route_t *route);

/*
 * route_table_add_key - lets a key stand for a customer.
 */
void route_table_add_key(route_table_t *t, const char *key,
			 const char *customer, int priority);

/*
 * route_table_add_service - adds the limits of a service.
 */
void route_table_add_service(route_table_t *t, const char *name,
			     double cold_per_s);

/*
 * route_table_match - the route of a host and path: that with the longest
 * prefix, or NULL.
 * @host: as sent; a port and the case of letters do not matter
 */
const routing_route_t *route_table_match(const route_table_t *t, str_t host,
					 str_t path);

/*
 * route_table_customer - the customer of a key, or NULL.
 */
const routing_customer_t *route_table_customer(const route_table_t *t,
					       str_t key);

/*
 * routing_route_new - a route without targets, for one attempt.
 */
routing_route_t *routing_route_new(void);
void routing_route_free(void *route);

/*
 * routing_route_pick_target - the service for a request.
 * @number: 0 to 1, evenly spread
 *
 * Return: its name, or NULL when the route has no service.
 */
const char *routing_route_pick_target(const routing_route_t *r,
				      double position);

#endif
