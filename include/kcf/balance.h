/*
 * balance - chooses the upstream of each request that a node sends directly.
 *
 * Every node computes its choice from the same upstream entries, so that
 * requests with the same prompt reach the same warm cache from any node. A
 * prompt stays where it is warm when upstreams are added. The requests of other
 * nodes are known from the load that upstreams report with their answers; nodes
 * forward these reports to each other by gossip. Pure logic: no socket, no
 * clock.
 */
#ifndef KCF_BALANCE_H
#define KCF_BALANCE_H

#include <glib.h>
#include <kcf/admission.h>
#include <kcf/brittle.h>
#include <kcf/clock.h>
#include <kcf/placement.h>
#include <kcf/rate_limit.h>
#include <kcf/str.h>
#include <kcf/warmth.h>
#include <kcf/work.h>

#define BALANCE_EXCLUDE_MAX 8
/*
 * Limit on the load of one upstream: the mean load of its service times a
 * factor (cap_factor in the rules of the service), plus the slack given there.
 */
#define BALANCE_LIMIT_FACTOR 2.0
#define BALANCE_LIMIT_SLACK 3.0
/*
 * Warm upstreams remembered per prompt. One is too few: a rolling replacement
 * may stop the newest ones before their entries say so.
 */
#define BALANCE_WARM_MAX 3
/*
 * Load reports in one gossip message. In large fleets, few reports sent often
 * reach all nodes sooner than many sent seldom.
 */
#define BALANCE_GOSSIP_MAX 8
/* Size of such a message on the network, for node names of 20 bytes. */
#define BALANCE_GOSSIP_BYTES 320
/* Uses 2.1 KB/s of the 4 KB/s that each node may spend on control traffic. */
#define BALANCE_GOSSIP_INTERVAL_MS 150

/* The published entry of an upstream. */
typedef struct balance_spec {
	const char *id;
	const char *service;
	const char *address; /* ip:port */
	const char *data_centre;
	const char *version; /* of its software */
	uint64_t start_id;   /* differs for each start of the process */
	uint64_t heartbeat;  /* number of entries that this start has written */
	int slots;	     /* requests that it runs concurrently */
	bool leaving;
	mstime_t cold_until; /* end of its slow start, 0 when it is not cold */
} balance_spec_t;

/* Outstanding requests of this node at the end of a time step. */
typedef struct balance_history {
	mstime_t step;
	int own_outstanding;
} balance_history_t;

/* Covers more time than a report stays fresh. */
#define BALANCE_HISTORY_STEPS 32

typedef struct balance_upstream {
	uint64_t local_id; /* never reused within a process */
	char *id;
	char *service;
	char *address;
	char *data_centre;
	char *version;
	uint64_t start_id;
	uint64_t hash; /* of id */
	uint32_t key;  /* hash of id and start_id, identifies it in gossip */
	uint32_t version_key; /* see versions_key */
	int slots;
	bool leaving;
	bool announced_leaving; /* in an answer, which its entry cannot revoke
				 */
	bool removed;
	/* What ties the entry to the process that answers at its address. */
	mstime_t alive_at; /* it wrote its entry then, or later */
	bool proven;	   /* the next request is known to reach it */
	bool contested;	   /* another start has written its entry */
	/* Its entry was that of another start until then, or 0. */
	mstime_t replaced_at;
	bool refuted; /* a later start has answered */
	/* It does not name its start when it is asked before, or has not. */
	mstime_t nameless_until;
	mstime_t silent_at; /* the last question that it did not answer, or 0 */
	bool ended;	    /* it may have ended since */
	int silences;	    /* questions in a row that it has not answered */
	mstime_t unanswered_at; /* the last question after an answer's end that
				   it has not answered, 0 for none */
	mstime_t next_opening_at; /* of a connection that heartbeats prove */
	mstime_t cold_until;
	mstime_t ejected_until; /* gets no requests until then */
	mstime_t next_probe_at; /* while it is unhealthy */
	double cold_tokens;	/* token bucket for requests while it is cold */
	mstime_t cold_tokens_at;
	int own_outstanding;				  /* of this node */
	balance_history_t history[BALANCE_HISTORY_STEPS]; /* ring, by step */
	int remote_outstanding; /* of other nodes, by the last report */
	double remote_mean;	/* moving mean over some seconds */
	mstime_t reported_at; /* time of the last report, 0 before the first */
	double failure_rate;  /* moving mean, 0 to 1 */
	double latency_ms;    /* moving mean, 0 before the first answer */
	double least_ms;      /* moving minimum of the same, without waiting */
	double hold_ms; /* mean time that a request runs, 0 before one ended */
	int outcome_count;    /* requests in failure_rate */
	mstime_t idle_max_ms; /* it closes idle connections after this */
	rate_limit_t rate_limit;
	brittle_t brittle;
	/* what the last reported answer says of it, see balance_load_t */
	bool reports_rate;
	double reported_per_s;
	bool reports_brittle;
	int reported_turned_per_s;
	work_state_t work;
} balance_upstream_t;

/* A load report as nodes forward it to each other. */
typedef struct balance_load {
	uint32_t key;	     /* of the upstream */
	int outstanding;     /* requests of all nodes */
	mstime_t age_ms;     /* of the report */
	bool states_rate;    /* whether the answer's request rate is known */
	double per_s;	     /* the rate that it names, below 0 for none */
	bool states_brittle; /* whether it is known if the answer names that */
	int turned_per_s;    /* see brittle_name, below 0 for none */
} balance_load_t;

/* What an upstream's answers say of its start, kept while its entry is away. */
typedef struct balance_statement {
	mstime_t kept_until;
	bool leaving;
	rate_limit_t rate_limit;
	brittle_t brittle;
} balance_statement_t;

/* Limits that hold for all upstreams of a service. */
typedef struct balance_service {
	double cold_per_s; /* request rate of a cold upstream, 0: unlimited */
} balance_service_t;

typedef struct balance {
	GHashTable *by_id;	/* char * to balance_upstream_t * */
	GHashTable *by_key;	/* uint32_t to balance_upstream_t * */
	GHashTable *statements; /* uint32_t key to balance_statement_t * */
	guint gossip_cursor;	/* into the reports that are sent in rotation */
	GHashTable *services;	/* char * to balance_service_t * */
	warmth_t *warmth;	/* what the fleet tells, or NULL */
	GHashTable *warmth_services; /* set of char *, that use it */
	GHashTable *affinities;	     /* affinity to balance_affinity_t * */
	mstime_t affinities_swept_at;
	GHashTable *last_retry_at; /* service to double *, in ms */
	GHashTable *work_rates;	   /* char * service to work_rate_t * */
	uint64_t prompt_count;	   /* requests with a prompt so far */
	GHashTable *drained;	   /* set of data centres */
	char *data_centre;	   /* of this node */
	placement_t placement;
	bool least_work;  /* for comparison: always the least expected time */
	int node_count;	  /* nodes that share the limits */
	int sender_count; /* those that may send, some of them unheard */
	guint most_nodes; /* that have served lately */
	mstime_t most_nodes_until;
	rate_limit_place_t place; /* of this node among those that serve */
	uint64_t last_local_id;
	mstime_t entries_alive_at; /* alive_at of all, or before */
	bool pace_reported; /* an upstream has; admission_decide is in force */
	GRand *rand;
} balance_t;

/* Affinity entry: where requests with the same shared prompt were sent. */
typedef struct balance_affinity {
	uint64_t preferred_id; /* local_id of an upstream, 0 if unset */
	/* Upstreams that answered last, newest first, 0 if unset. */
	uint64_t warm_ids[BALANCE_WARM_MAX];
	mstime_t used_at;
	double share;	   /* moving fraction of this node's prompts */
	uint64_t share_at; /* prompt_count when share was computed */
} balance_affinity_t;

/* Whether the start that an entry describes is the one that would answer. */
typedef enum balance_trust {
	BALANCE_TRUST_NONE,    /* there is no such upstream */
	BALANCE_TRUST_REFUTED, /* another start has answered, or may */
	BALANCE_TRUST_UNSURE,  /* nothing can tell before its next heartbeat */
	BALANCE_TRUST_UNKNOWN, /* it can be asked */
	BALANCE_TRUST_SURE,    /* a request is known to reach it */
} balance_trust_t;

/* An upstream as it was known when a stream was begun there. */
typedef struct balance_begin {
	uint64_t id;	  /* hash, see balance_upstream_t */
	uint64_t address; /* hash */
	uint64_t start_id;
	uint32_t version; /* see versions_key; 0 if the start is known, and its
			     version is not */
	mstime_t since;	  /* its connection has reached one process */
} balance_begin_t;

typedef struct balance_request {
	const char *service;
	uint64_t affinity; /* hash of the shared prompt, 0 if unset */
	uint64_t exclude[BALANCE_EXCLUDE_MAX]; /* local_id of upstreams */
	int exclude_count;
	uint32_t version; /* key of the only one that fits, 0 for any */
	/* Key of a version that is excluded, 0 for none; or all others are. */
	uint32_t avoid_version;
	bool avoid_others;
	uint32_t barred_version;     /* is excluded in any case, 0 for none */
	balance_trust_t least_trust; /* of those of that version */
	bool no_refuted; /* none whose entry is that of an earlier start */
	bool no_brittle; /* was refused by a brittle upstream */
	bool over_share; /* its customer uses more than its share */
	work_tokens_t tokens;
	mstime_t objective_ms;	 /* of its latency, 0 if unset */
	admission_claim_t claim; /* see admission_decide */
} balance_request_t;

typedef enum balance_reason {
	BALANCE_FIRST,	      /* preferred upstream of the affinity */
	BALANCE_SPILL,	      /* ranked lower, as those above are loaded */
	BALANCE_HOT,	      /* one of several that share a hot prompt */
	BALANCE_LEAST_LOADED, /* without affinity, or none fits it */
	BALANCE_PROBE,	      /* unhealthy, tested for recovery */
	BALANCE_BASELINE,     /* by a placement for comparison */
	BALANCE_NO_UPSTREAM,  /* none is available */
	BALANCE_FULL,	      /* all are at capacity */
	BALANCE_OVER_SHARE,   /* the rest is reserved for other customers */
	BALANCE_COLD,	      /* only cold ones are left, at their rate limit */
	BALANCE_RATE_LIMITED, /* the rest takes no more requests a second */
	BALANCE_RESERVED,     /* the rest is for more urgent requests */
	BALANCE_LATE,	      /* no upstream can answer before its deadline */
	BALANCE_WORK,	      /* the first output is expected sooner there */
	BALANCE_REASON_COUNT,
} balance_reason_t;

/* Parallel to balance_reason_t. */
extern const char *const balance_reason_string[];

typedef struct balance_pick {
	balance_upstream_t *upstream; /* NULL for a refusal */
	balance_reason_t reason;
	/* Likely caches the prompt that the upstream lacks, or NULL. */
	const balance_upstream_t *copy_source;
	bool copy_told;	      /* known only from what nodes tell each other */
	bool place_told;      /* the same of the chosen one */
	mstime_t retry_ms;    /* for refusals: when capacity is likely */
	int load;	      /* estimated outstanding requests there */
	double mean_load;     /* per upstream of the service */
	mstime_t load_age_ms; /* of the last report, -1 without one */
	work_request_t work;  /* to be ended before balance_end_request */
	int expected_ms;      /* until the first output, -1 without a pace */
	int read_ms;	      /* part of it in which the prompt is prefilled */
} balance_pick_t;

typedef enum balance_outcome {
	BALANCE_OK,
	BALANCE_FAILED,
	BALANCE_ABANDONED, /* given up; leaves the failure rate as it is */
	BALANCE_SHED,	   /* refused because of overload, not run */
} balance_outcome_t;

/*
 * balance_init - initialises an empty set of upstreams.
 * @data_centre: of this node, copied
 * @seed: of the random choices
 */
void balance_init(balance_t *b, const char *data_centre, guint32 seed);

/*
 * balance_finish - releases the set; none of its upstreams may be used after.
 */
void balance_finish(balance_t *b);

/*
 * balance_put_upstream - adds or updates the entry of an upstream. A new start,
 * service, version, address or data centre makes it a new upstream without
 * statistics.
 *
 * Return: true when the entry changed more than its heartbeat.
 */
bool balance_put_upstream(balance_t *b, const balance_spec_t *spec,
			  mstime_t now);

/*
 * balance_remove_upstream - removes an upstream; it stays valid until its last
 * outstanding request ends.
 *
 * Return: false when there was none.
 */
bool balance_remove_upstream(balance_t *b, const char *id);

/*
 * balance_set_contested - whether another start has written under the id of an
 * upstream, so that the entry does not tell that the one in force lives.
 */
void balance_set_contested(balance_t *b, const char *id, bool contested);

/*
 * balance_record_alive - records that a start of an upstream wrote its entry
 * then, or later.
 * @key: one that is not known is ignored
 */
void balance_record_alive(balance_t *b, uint32_t key, mstime_t at);

/*
 * balance_is_start - whether what answers over a connection is the start that
 * an upstream's entry describes.
 * @since: from which on the connection has reached one process
 * @named: start that has named itself there, 0 for none
 */
bool balance_is_start(const balance_t *b, const balance_upstream_t *u,
		      mstime_t since, uint64_t named);

/*
 * balance_describe_begin - fills in an upstream at which a stream is begun.
 * @since: from which on the connection has reached one process
 * @named: start that has named itself on the connection, 0 for none
 */
void balance_describe_begin(const balance_upstream_t *u, mstime_t since,
			    uint64_t named, balance_begin_t *out);

/*
 * balance_find_begin - the upstream that is known under the id, or NULL.
 */
const balance_upstream_t *balance_find_begin(const balance_t *b,
					     const balance_begin_t *begin);

/*
 * balance_is_at - whether an upstream has the address at which a stream was
 * begun.
 */
bool balance_is_at(const balance_upstream_t *u, const balance_begin_t *begin);

/*
 * balance_check_start - whether a stream was begun at the version that the
 * entry named when its request was sent, or which version the start has that
 * named itself. Another upstream would have refused the id, but a later start
 * under the same id may have another version.
 * @version: receives the version if the return is BALANCE_TRUST_SURE
 *
 * Return: BALANCE_TRUST_SURE, BALANCE_TRUST_UNSURE while the start may still
 * write its entry, or BALANCE_TRUST_NONE after another start has come.
 */
balance_trust_t balance_check_start(const balance_t *b,
				    const balance_begin_t *begin,
				    uint32_t *version);

/*
 * balance_best_trust - the highest trust in an upstream that a request may go
 * to.
 * @request: with a version
 */
balance_trust_t balance_best_trust(const balance_t *b,
				   const balance_request_t *request,
				   mstime_t now);

/*
 * balance_find_key - the upstream with a key; NULL when there is none.
 */
const balance_upstream_t *balance_find_key(const balance_t *b, uint32_t key);

/*
 * balance_has_refuted - whether another start than that of its entry has
 * answered at an upstream of a service.
 */
bool balance_has_refuted(const balance_t *b, const char *service);

/*
 * balance_has_version - whether an upstream with this version is known.
 * @version: see versions_key
 */
bool balance_has_version(const balance_t *b, uint32_t version);

/*
 * balance_announce_leaving - records that an upstream has announced its leaving
 * in an answer. It gets no more requests from this node until it starts anew,
 * whatever its entry says.
 *
 * Return: false when that was known.
 */
bool balance_announce_leaving(balance_t *b, balance_upstream_t *u,
			      mstime_t now);

/*
 * balance_name_rate - records the request rate that an answer names.
 * @per_s: at least 0, of all nodes together
 *
 * Return: whether it is new or has changed.
 */
bool balance_name_rate(balance_t *b, balance_upstream_t *u, double per_s,
		       mstime_t now);

/*
 * balance_omit_rate - records that an answer names no rate.
 * @sent_at: of its request
 *
 * Return: whether a rate begins to end.
 */
bool balance_omit_rate(balance_t *b, balance_upstream_t *u, mstime_t sent_at,
		       mstime_t now);

/*
 * balance_name_brittle - records that an answer names its upstream brittle.
 * @turned_per_s: see brittle_name
 *
 * Return: whether that is new or has changed.
 */
bool balance_name_brittle(balance_t *b, balance_upstream_t *u, int turned_per_s,
			  mstime_t now);

/*
 * balance_omit_brittle - records that an answer does not.
 * @sent_at: of its request
 *
 * Return: whether it ends.
 */
bool balance_omit_brittle(balance_t *b, balance_upstream_t *u, mstime_t sent_at,
			  mstime_t now);

/*
 * balance_share_rates - divides the named rates and the slots of brittle
 * upstreams among the nodes.
 * @keys: of the nodes that serve, in an order that they agree on
 * @own:  index of this node, or count if it does not serve
 */
void balance_share_rates(balance_t *b, const uint64_t *keys, guint count,
			 guint own, mstime_t now);

/*
 * balance_set_service_limits - sets the limits of a service.
 */
void balance_set_service_limits(balance_t *b, const char *service,
				const balance_service_t *limits);

/*
 * balance_set_drained - drains a data centre or restores it. After a restore
 * its upstreams start slowly.
 */
void balance_set_drained(balance_t *b, const char *data_centre, bool drained,
			 mstime_t now);

/*
 * balance_choose - chooses an upstream; the request counts as outstanding there
 * until balance_end_request.
 */
balance_pick_t balance_choose(balance_t *b, const balance_request_t *request,
			      mstime_t now);

/*
 * balance_mark_warm - records that an upstream answered a request with a prompt
 * and so has its shared segments in the cache.
 * @affinity: hash of the shared prompt, 0 if unset
 */
void balance_mark_warm(balance_t *b, uint64_t affinity,
		       const balance_upstream_t *u, mstime_t now);

/*
 * balance_share_warmth - from now on a service uses what nodes tell each other
 * of upstreams that have prompts cached; b->warmth learns from its requests.
 *
 * Return: false if it did before.
 */
bool balance_share_warmth(balance_t *b, const char *service);

/*
 * balance_is_warm - whether an upstream is one of those that last answered a
 * request with a prompt.
 */
bool balance_is_warm(const balance_t *b, uint64_t affinity,
		     const balance_upstream_t *u);

/*
 * balance_end_request - records the end of a request; frees an upstream that
 * was removed and has no other.
 * @latency_ms: until the first byte, or -1
 */
void balance_end_request(balance_upstream_t *u, balance_outcome_t outcome,
			 mstime_t latency_ms, mstime_t now);

/*
 * balance_record_output - records that the first output of a request has come,
 * and learns from its time.
 * @work: of the pick
 * @sent_at: of the request
 */
void balance_record_output(balance_t *b, balance_upstream_t *u,
			   work_request_t *work, mstime_t sent_at,
			   mstime_t now);

/*
 * balance_end_work - records that a request no longer occupies its upstream;
 * called before balance_end_request.
 * @work: of the pick
 */
void balance_end_work(balance_t *b, balance_upstream_t *u, work_request_t *work,
		      mstime_t now);

/*
 * balance_report_pace - applies the pace that an upstream's answer names.
 * @pace: ignored unless above 0
 *
 * Return: whether it is the first one of its service.
 */
bool balance_report_pace(balance_t *b, balance_upstream_t *u, int pace,
			 mstime_t now);

/*
 * balance_normal_latency - the time to the first output of a request without
 * what its own prompt and those before it were expected to take. An upstream
 * that was sent long prompts is not slow.
 * @latency_ms: as measured, or -1
 */
mstime_t balance_normal_latency(balance_t *b, const balance_upstream_t *u,
				const balance_pick_t *pick,
				mstime_t latency_ms);

/*
 * balance_describe_work - fills in the report for other nodes about one
 * upstream.
 * @prompt: hash of the shared prompt that it begins to prefill, or 0
 */
void balance_describe_work(balance_t *b, const balance_upstream_t *u,
			   uint64_t prompt, mstime_t now, work_entry_t *out);

/*
 * balance_apply_work - applies a report of another node. Entries of upstreams
 * that are not known are ignored.
 * @node: key of that node
 */
void balance_apply_work(balance_t *b, uint64_t node, const work_entry_t *entry,
			mstime_t now);

/*
 * balance_work_totals - pending tokens of this node's requests and mean
 * expected pace of the upstreams that report one.
 * @pace: receives 0 when there is none
 */
void balance_work_totals(const balance_t *b, mstime_t now, double *tokens,
			 double *pace);

/*
 * balance_record_hold - records how long a request was at an upstream, before
 * balance_end_request.
 * @total_ms: from when it was sent to the end of its response
 */
void balance_record_hold(balance_upstream_t *u, mstime_t total_ms);

/*
 * balance_count_overdue - counts a failure for a request that has had no answer
 * in due time; the request stays outstanding.
 */
void balance_count_overdue(balance_upstream_t *u);

/*
 * balance_eject - sends an upstream no requests for a while, because its
 * address belongs to another process or to none.
 */
void balance_eject(balance_upstream_t *u, mstime_t until);

/*
 * balance_apply_report - applies a load report that came with an answer.
 * @outstanding: the upstream's own count, the answered request included
 * @slots: 0 if unknown
 */
void balance_apply_report(balance_upstream_t *u, int outstanding, int slots,
			  mstime_t now);

/*
 * balance_collect_gossip - selects the load reports for another node: mostly
 * the newest, the rest in rotation.
 * @max: entries that out has room for
 *
 * Return: number of entries written.
 */
u_int balance_collect_gossip(balance_t *b, mstime_t now, balance_load_t *out,
			     u_int max);

/*
 * balance_apply_gossip - applies a load report from another node if it is newer
 * than the last one. This node's own requests are subtracted as of the time of
 * the report, not as of now.
 */
void balance_apply_gossip(balance_t *b, const balance_load_t *load,
			  mstime_t now);

/*
 * balance_total_outstanding - estimates the outstanding requests of all nodes
 * from fresh reports, 0 without any.
 */
double balance_total_outstanding(const balance_t *b, mstime_t now);

/*
 * balance_mean_latency - mean time to the first byte in a service, in
 * milliseconds, 0 if unknown.
 */
double balance_mean_latency(const balance_t *b, const char *service);

/*
 * balance_capacity - requests a second that the upstreams of a service can run;
 * 0 if unknown.
 */
double balance_capacity(const balance_t *b, const char *service);

#endif
