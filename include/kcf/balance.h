/*
 * balance - chooses the upstream of each request that a node sends directly.
 *
 * Every node computes its choice from the same entries, so that requests with
 * the same prompt reach the same warm cache from any node. A prompt stays where
 * it is warm when upstreams are added. What other nodes have sent is known
 * through the load that upstreams report with their answers; nodes tell each
 * other of these reports. Pure logic: no socket, no clock.
 */
#ifndef KCF_BALANCE_H
#define KCF_BALANCE_H

#include <glib.h>
#include <kcf/clock.h>
#include <kcf/placement.h>
#include <kcf/str.h>

#define BALANCE_EXCLUDE_MAX 8
/*
 * The users' bound on the load of one upstream: so many times the mean of its
 * service (their cap_factor), and the slack that their rules name.
 */
#define BALANCE_LIMIT_FACTOR 2.0
#define BALANCE_LIMIT_SLACK 3.0
/*
 * Upstreams that are remembered as holders of a prompt: a rolling replacement
 * may take the newest ones away before their entries say so.
 */
#define BALANCE_WARM_MAX 3
/*
 * Newest loads that a node tells one other node at a time. In large fleets few
 * at a time, told often, reach all nodes sooner than many told seldom.
 */
#define BALANCE_GOSSIP_MAX 8
/* Size of such a message on the network, for nodes with names of 20 bytes. */
#define BALANCE_GOSSIP_BYTES 320
/* How often each node sends one; 2.1 KB/s of the users' 4 KB/s for control. */
#define BALANCE_GOSSIP_INTERVAL_MS 150

/* What is published of one upstream. */
typedef struct balance_spec {
	const char *id;
	const char *service;
	const char *address; /* ip:port */
	const char *data_centre;
	uint64_t start_id; /* differs for each start of the process */
	int slots;	   /* requests that it runs at a time */
	bool leaving;
	mstime_t cold_until; /* 0 when it is not cold */
} balance_spec_t;

/* Outstanding requests of this node at the end of a step of time. */
typedef struct balance_history {
	mstime_t step;
	int own_outstanding;
} balance_history_t;

/* Steps that are remembered, one entry each; more than a report is valid. */
#define BALANCE_HISTORY_STEPS 32

typedef struct balance_upstream {
	uint64_t local_id; /* never used twice in a process */
	char *id;
	char *service;
	char *address;
	char *data_centre;
	uint64_t start_id;
	uint64_t hash;
	uint32_t key; /* short name of this start between nodes */
	int slots;
	bool leaving;
	bool removed;
	mstime_t cold_until;
	mstime_t ejected_until; /* not used before, whatever its entry says */
	mstime_t next_probe_at; /* next request while it is held unsound */
	double cold_tokens;	/* requests that it may get now while cold */
	mstime_t cold_tokens_at;
	int own_outstanding; /* outstanding requests of this node */
	balance_history_t history[BALANCE_HISTORY_STEPS]; /* of mine, by step */
	int remote_outstanding; /* of others, at the last report */
	double remote_mean;	/* moving mean of foreign over some seconds */
	mstime_t reported_at;	/* of the last report, or 0 */
	double failure_rate;	/* moving share of failed requests, 0 to 1 */
	double latency_ms;	/* moving mean, 0 before the first answer */
	int samples;
	mstime_t idle_max_ms; /* it closes idle connections after this */
} balance_upstream_t;

/* What one node tells another of an upstream's load. */
typedef struct balance_load {
	uint32_t key;	 /* of the upstream */
	int outstanding; /* requests there, of all nodes */
	mstime_t age_ms; /* of the report it comes from */
} balance_load_t;

/* Limits that hold for all upstreams of a service. */
typedef struct balance_service {
	double cold_per_s; /* requests a second of a cold upstream, 0: any */
} balance_service_t;

typedef struct balance {
	GHashTable *by_id;	      /* char * to balance_upstream_t * */
	GHashTable *by_key;	      /* uint32_t to balance_upstream_t * */
	guint gossip_cursor;	      /* where balance_collect_gossip goes on */
	GHashTable *services;	      /* char * to balance_service_t * */
	GHashTable *affinities;	      /* affinity to balance_affinity_t * */
	mstime_t affinities_swept_at; /* homes */
	GHashTable *last_retry_at; /* service to double *, last return in ms */
	uint64_t prompt_count;	   /* asked for so far */
	GHashTable *drained;	   /* data centres that get no work */
	char *data_centre;	   /* of this node */
	placement_t placement;
	int node_count;		/* that share limits */
	uint64_t last_local_id; /* given out */
	GRand *rand;
} balance_t;

/* Where prompts with the same shared parts were last sent. */
typedef struct balance_affinity {
	uint64_t preferred_id; /* of the upstream, 0 before the first choice */
	/* Those that answered last, newest first, 0 for none. */
	uint64_t warm_ids[BALANCE_WARM_MAX];
	mstime_t used_at;
	double share;	   /* moving share of this node's prompts, */
	uint64_t share_at; /* as of this many */
} balance_affinity_t;

typedef struct balance_request {
	const char *service;
	uint64_t affinity; /* hash of the shared prompt, 0 for none */
	uint64_t exclude[BALANCE_EXCLUDE_MAX]; /* numbers of upstreams */
	int exclude_count;
	bool over_share; /* of a customer that has more than its share */
} balance_request_t;

typedef enum balance_reason {
	BALANCE_FIRST,	      /* first in the order of the affinity */
	BALANCE_SPILL,	      /* a later one; those before bear too much */
	BALANCE_HOT,	      /* one of several that share a prompt */
	BALANCE_LEAST_LOADED, /* least loaded */
	BALANCE_PROBE,	      /* held unsound, asked whether it recovered */
	BALANCE_BASELINE,     /* by a placement to compare with */
	BALANCE_NO_UPSTREAM,  /* no upstream is in service */
	BALANCE_FULL,	      /* all have more than they bear */
	BALANCE_OVER_SHARE,   /* what is left is kept for other customers */
	BALANCE_COLD,	      /* only cold ones are left, and none bears more */
	BALANCE_REASON_COUNT,
} balance_reason_t;

/* Parallel to balance_reason_t. */
extern const char *const balance_reason_string[];

typedef struct balance_pick {
	balance_upstream_t *upstream; /* NULL when there is none */
	balance_reason_t reason;
	/* Likely holds the prompt that the upstream lacks, or NULL. */
	const balance_upstream_t *copy_source;
	mstime_t retry_ms;    /* for refusals: when a place is likely */
	int load;	      /* believed outstanding requests there */
	double mean_load;     /* of the service */
	mstime_t load_age_ms; /* of the last report, -1 for none */
} balance_pick_t;

typedef enum balance_outcome {
	BALANCE_OK,
	BALANCE_FAILED,
	BALANCE_ABANDONED, /* says nothing about the upstream */
	BALANCE_SHED,	   /* refused for load, not run */
} balance_outcome_t;

/*
 * balance_init - an empty set.
 * @data_centre: of this node, copied
 * @seed: of the random choices
 */
void balance_init(balance_t *b, const char *data_centre, guint32 seed);

/*
 * balance_finish - releases the set; none of its upstreams may be used after.
 */
void balance_finish(balance_t *b);

/*
 * balance_put_upstream - takes the entry of an upstream; a new start forgets
 * what was known of the old one.
 *
 * Return: true when the entry changed more than its heartbeat.
 */
bool balance_put_upstream(balance_t *b, const balance_spec_t *spec,
			  mstime_t now);

/*
 * balance_remove_upstream - forgets an upstream.
 *
 * Return: false when there was none.
 */
bool balance_remove_upstream(balance_t *b, const char *id);

/*
 * balance_set_service_limits - takes the limits of a service.
 */
void balance_set_service_limits(balance_t *b, const char *service,
				const balance_service_t *limits);

/*
 * balance_set_drained - takes a data centre out, or back in. Its upstreams
 * start slowly when it returns.
 */
void balance_set_drained(balance_t *b, const char *data_centre, bool drained,
			 mstime_t now);

/*
 * balance_choose - chooses an upstream; the choice is counted as outstanding
 * until balance_end_request.
 */
balance_pick_t balance_choose(balance_t *b, const balance_request_t *request,
			      mstime_t now);

/*
 * balance_mark_warm - an upstream has answered a request with a prompt, and
 * holds the prompt's shared parts from now on.
 * @affinity: hash of the shared prompt, 0 for none
 */
void balance_mark_warm(balance_t *b, uint64_t affinity,
		       const balance_upstream_t *u, mstime_t now);

/*
 * balance_end_request - a request has ended at an upstream.
 * @latency_ms: until the first byte, or -1
 */
void balance_end_request(balance_upstream_t *u, balance_outcome_t outcome,
			 mstime_t latency_ms, mstime_t now);

/*
 * balance_count_overdue - a request has no answer though it should; it stays
 * outstanding.
 */
void balance_count_overdue(balance_upstream_t *u);

/*
 * balance_eject - another process has the address, or none.
 */
void balance_eject(balance_upstream_t *u, mstime_t until);

/*
 * balance_apply_report - an upstream's own count of outstanding requests, that
 * of the answer included.
 */
void balance_apply_report(balance_upstream_t *u, int outstanding, int slots,
			  mstime_t now);

/*
 * balance_collect_gossip - what to tell another node: the newest reports first,
 * then others by turns.
 * @max: entries that out has room for
 *
 * Return: number of entries written.
 */
u_int balance_collect_gossip(balance_t *b, mstime_t now, balance_load_t *out,
			     u_int max);

/*
 * balance_apply_gossip - takes what another node tells, if it is newer than
 * what is known. It is compared with what this node had there at the time of
 * the report, not now.
 */
void balance_apply_gossip(balance_t *b, const balance_load_t *load,
			  mstime_t now);

/*
 * balance_total_outstanding - requests of all nodes that upstreams work on, as
 * far as reports tell.
 */
double balance_total_outstanding(const balance_t *b, mstime_t now);

/*
 * balance_mean_latency - mean time to the first byte in a service, 0 if
 * unknown.
 */
double balance_mean_latency(const balance_t *b, const char *service);

#endif
