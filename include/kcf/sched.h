/*
 * sched - decides where and when each request runs.
 *
 * Pure logic: it takes events with their time and answers through a table of
 * functions; it opens no socket and reads no clock. Each upstream has one
 * owner among the nodes, and all work for it passes through that owner, so
 * that its load, ramp, queue and warm chats are known in one place. What a
 * node does not own it knows by gossip.
 */
#ifndef KCF_SCHED_H
#define KCF_SCHED_H

#include <kcf/datagram.h>
#include <kcf/lru.h>
#include <kcf/power.h>
#include <kcf/view.h>

/* A request is handed on by at most this many nodes. */
#define SCHED_HOPS_MAX 2
/* Interval of sched_dispatch. */
#define SCHED_DISPATCH_INTERVAL_MS 20
#define SCHED_EXCLUDE_MAX 4
#define SCHED_NAME_MAX 64
#define SCHED_LOADS_MAX 256

typedef struct sched_request {
	uint64_t id;
	uint64_t chat; /* hash of chat, customer, model and adapter */
	bool sticky;   /* belongs to a chat that may return */
	char service[SCHED_NAME_MAX];
	char model[SCHED_NAME_MAX]; /* empty for plain services */
	char customer[SCHED_NAME_MAX];
	double weight; /* of the customer */
	int urgency;   /* 0 to 7, RFC 9218 */
	mstime_t deadline;
	int64_t prompt_tokens;
	int hop;	 /* nodes that have handed it on */
	uint32_t target; /* key of the upstream chosen by another node, or 0 */
	uint32_t exclude[SCHED_EXCLUDE_MAX]; /* upstreams that failed it */
	int exclude_count;
	char avoid_node[SCHED_NAME_MAX]; /* node that could not be reached */
} sched_request_t;

typedef enum sched_verdict {
	SCHED_RUN,
	SCHED_FORWARD,
	SCHED_REFUSE,
} sched_verdict_t;

typedef enum sched_refusal {
	REFUSE_NO_UPSTREAM, /* none is in service for this request */
	REFUSE_OVERLOAD,    /* queue is full */
	REFUSE_DEADLINE,    /* would not start in time */
	REFUSE_MOVED,	    /* ownership moved while it waited */
	SCHED_REFUSAL_COUNT,
} sched_refusal_t;

/* Parallel to sched_refusal_t: for people, and for programs. */
extern const char *const sched_refusal_string[];
extern const char *const sched_refusal_reason[];

/*
 * sched_refusal_reason_of - the constant of a reason read from a message, or
 * NULL when there is none of that name.
 */
const char *sched_refusal_reason_of(const char *text);

typedef struct sched_decision {
	uint64_t id;
	mstime_t decided_at; /* when it was decided; set by who passes it on */
	sched_verdict_t verdict;
	/* SCHED_RUN */
	char upstream[SCHED_NAME_MAX];
	char address[SCHED_NAME_MAX];
	uint32_t key;
	bool warm; /* the engine is believed to hold the chat's prefix */
	/* SCHED_FORWARD */
	char node[SCHED_NAME_MAX];
	int hop;
	uint32_t target;
	/* SCHED_REFUSE */
	char loads[SCHED_LOADS_MAX]; /* of this node's upstreams, as text */
	sched_refusal_t refusal;
	mstime_t retry_after_ms;
} sched_decision_t;

typedef enum sched_result {
	SCHED_DONE,
	SCHED_CONNECT_FAILED,
	SCHED_CONNECTION_LOST,
	SCHED_UPSTREAM_REFUSED,
	SCHED_ABANDONED, /* the caller went away */
} sched_result_t;

/* How a request that ran has ended. */
typedef struct sched_outcome {
	uint64_t id;
	sched_result_t result;
	int64_t prompt_tokens;	 /* as told by the engine, or -1 */
	int64_t cached_tokens;	 /* as told by the engine, or -1 */
	uint64_t start_id;	 /* of the upstream, or 0 */
	mstime_t first_token_ms; /* after sending, or -1 */
} sched_outcome_t;

/* Load report of an upstream. */
typedef struct sched_report {
	uint32_t key;
	bool ok; /* false when the upstream did not answer */
	int outstanding;
	uint64_t start_id;
} sched_report_t;

/* A node that may own upstreams. */
typedef struct sched_node {
	char *name;
	char *data_centre;
	char *region;
	uint64_t hash;
	bool drained; /* the configuration keeps work off it */
} sched_node_t;

/* A chat whose cached prefix should move before its upstream is gone. */
typedef struct sched_move {
	uint64_t chat;
	char from[SCHED_NAME_MAX]; /* addresses */
	char to[SCHED_NAME_MAX];
} sched_move_t;

typedef struct sched_ops {
	void (*decided)(void *ctx, const sched_decision_t *a);
	/* Sends a loan to the owner of the borrowing upstream. */
	void (*send_loan)(void *ctx, const char *node,
			  const power_loan_t *loan);
	/* An upstream's health changed. */
	void (*health_changed)(void *ctx, const char *upstream,
			       const char *what);
	/* An owned upstream leaves by plan; called for each warm chat. */
	void (*move_cache)(void *ctx, const sched_move_t *m);
} sched_ops_t;

typedef struct sched {
	const sched_ops_t *ops;
	void *ctx;
	char *self;
	char *data_centre;
	char *region;
	view_t *view;
	GPtrArray *nodes;	     /* sched_node_t * */
	GHashTable *partition_nodes; /* sched_node_for_partition: number to
					sched_node_t * */
	GPtrArray *co_owners;  /* those of nodes that own upstreams of services
			       which this node owns others of */
	guint owned_count;     /* number of upstreams owned */
	GHashTable *upstreams; /* key to sched_upstream_t * */
	GHashTable *permits;   /* request id to permit_t * */
	GQueue *in_transit;    /* requests on their way to upstreams */
	lru_t *remote_placements; /* where chats were sent at other nodes */
	power_loans_t loans;
	mstime_t next_peak_window;
	mstime_t next_lend;
	guint load_cursor;
	uint64_t load_epoch; /* grows with each change of a load */
	struct totals_cache *totals_cache;
	mstime_t paused_until; /* after a pause of this process */
	GRand *rand;
} sched_t;

/*
 * sched_init - a scheduler without view and nodes; it refuses everything.
 * @self, @data_centre, @region: of this node
 * @seed: of the random choices
 */
void sched_init(sched_t *s, const char *self, const char *data_centre,
		const char *region, guint32 seed, const sched_ops_t *ops,
		void *ctx);
void sched_finish(sched_t *s);

/*
 * sched_set_view - takes a new picture of the configuration.
 */
void sched_set_view(sched_t *s, mstime_t now, view_t *view);

/*
 * sched_set_nodes - takes the nodes that may own upstreams.
 * @nodes: sched_node_t *, owned by the scheduler from now on
 */
void sched_set_nodes(sched_t *s, mstime_t now, GPtrArray *nodes);

/*
 * sched_place - takes a request; the answer comes now or later.
 */
void sched_place(sched_t *s, mstime_t now, const sched_request_t *r);

/*
 * sched_cancel - forgets a request that still waits; no answer comes.
 */
void sched_cancel(sched_t *s, mstime_t now, uint64_t id);

/*
 * sched_release - tells how a request that ran has ended.
 */
void sched_release(sched_t *s, mstime_t now, const sched_outcome_t *o);

/*
 * sched_apply_report - takes a load report of an owned upstream.
 */
void sched_apply_report(sched_t *s, mstime_t now, const sched_report_t *r);

/*
 * sched_apply_load - takes gossip of an upstream's load.
 */
void sched_apply_load(sched_t *s, mstime_t now, const peer_load_t *l);

/*
 * sched_apply_loan - takes a loan of power.
 * @remaining_ms: life that is left of it
 */
void sched_apply_loan(sched_t *s, mstime_t now, const peer_loan_t *l,
		      mstime_t remaining_ms);

/*
 * sched_fill_loads - gossip of loads, owned upstreams first.
 * @stamp: wall time in hundredths of a second
 *
 * @own_only: leave out what is only known by gossip
 *
 * Return: number of entries written, at most max.
 */
u_int sched_fill_loads(sched_t *s, mstime_t now, uint32_t stamp,
		       peer_load_t *loads, u_int max, bool own_only);

/*
 * sched_own_loads_digest - a number that changes when a load of an owned
 * upstream does.
 */
uint64_t sched_own_loads_digest(const sched_t *s, mstime_t now);

/*
 * sched_format_loads - loads of owned upstreams for a header between nodes.
 * @stamp: wall time in hundredths of a second
 * @out: SCHED_LOADS_MAX bytes; what does not fit is left out
 */
void sched_format_loads(const sched_t *s, mstime_t now, uint32_t stamp,
			char *out);

/*
 * sched_parse_loads - takes such a header; malformed parts are ignored.
 */
void sched_parse_loads(sched_t *s, mstime_t now, str_t text);

/*
 * sched_tick - lets time pass: ramps, deadlines of waiting requests, loans.
 */
void sched_tick(sched_t *s, mstime_t now);

/*
 * sched_dispatch - starts waiting requests as others reach their upstreams; to
 * be called every SCHED_DISPATCH_INTERVAL_MS while requests wait.
 *
 * Return: true while any waits.
 */
bool sched_dispatch(sched_t *s, mstime_t now);

/*
 * sched_pause - sends nothing until a time, since leases may have lapsed.
 */
void sched_pause(sched_t *s, mstime_t until);

/*
 * sched_owner - name of the node that owns an upstream, or NULL.
 */
const char *sched_owner(const sched_t *s, const upstream_t *config);

/*
 * sched_node_for_partition - node that a number falls to, the same in equal
 * views; NULL without nodes. Answers are kept until the nodes change.
 */
const char *sched_node_for_partition(const sched_t *s, uint64_t partition);

/*
 * sched_list_owned - upstreams owned by this node; the array is the caller's.
 */
GPtrArray *sched_list_owned(const sched_t *s);

/*
 * sched_find_upstream - upstream of a key, or NULL.
 */
const upstream_t *sched_find_upstream(const sched_t *s, uint32_t key);

/*
 * sched_upstream_is_idle - whether an owned upstream has no work and is
 * healthy.
 */
bool sched_upstream_is_idle(const sched_t *s, const upstream_t *config);

/*
 * sched_upstream_is_unreported - whether an owned upstream has not told its
 * load to this node yet.
 */
bool sched_upstream_is_unreported(const sched_t *s, const upstream_t *config);

/*
 * sched_node_for_chat - node to which a caller is best sent for a chat, or
 * NULL.
 * @chat: 0 for no chat
 */
const char *sched_node_for_chat(sched_t *s, mstime_t now, const char *service,
				uint64_t chat);

/*
 * sched_status - what is known of each upstream, for operators; a new
 * reference.
 */
json_t *sched_status(const sched_t *s, mstime_t now);

/*
 * sched_node_new - an entry for sched_set_nodes.
 */
sched_node_t *sched_node_new(const char *name, const char *data_centre,
			     const char *region);
void sched_node_free(void *node);

#endif
