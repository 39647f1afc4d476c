/*
 * sched - decides where and when each request runs.
 *
 * Pure logic: callers pass in events with their time and receive decisions
 * through callbacks; there is no I/O and no clock. Each upstream has one owner
 * among the nodes, and all requests for it pass through that owner, so that its
 * load, ramp, queue and cached chats are known in one place. A node knows the
 * load of the upstreams that it does not own from gossip.
 */
#ifndef KCF_SCHED_H
#define KCF_SCHED_H

#include <kcf/datagram.h>
#include <kcf/lru.h>
#include <kcf/power.h>
#include <kcf/view.h>

/* Most times a request is forwarded; one more if an upstream failed it. */
#define SCHED_HOPS_MAX 2
/* Interval of sched_dispatch. */
#define SCHED_DISPATCH_INTERVAL_MS 20
#define SCHED_EXCLUDE_MAX 4
#define SCHED_NAME_MAX 64
/* Size of the text that sched_format_loads writes, with its end. */
#define SCHED_LOADS_MAX 256

typedef struct sched_request {
	uint64_t id;
	uint64_t chat; /* hash of chat, customer, model and adapter */
	bool sticky; /* later requests of the chat may use its cached prefix */
	char service[SCHED_NAME_MAX];
	char model[SCHED_NAME_MAX]; /* empty for plain services */
	char customer[SCHED_NAME_MAX];
	double weight; /* of the customer */
	int urgency;   /* 0 to 7, RFC 9218 */
	mstime_t deadline;
	int64_t prompt_tokens;
	int hop;	 /* times that it was forwarded */
	uint32_t target; /* key of the upstream chosen by another node, or 0 */
	uint32_t exclude[SCHED_EXCLUDE_MAX]; /* keys of upstreams that failed */
	int exclude_count;
	char avoid_node[SCHED_NAME_MAX]; /* unreachable node, or empty */
} sched_request_t;

typedef enum sched_verdict {
	SCHED_RUN,     /* send it to an upstream */
	SCHED_FORWARD, /* send it to another node */
	SCHED_REFUSE,
} sched_verdict_t;

typedef enum sched_refusal {
	REFUSE_NO_UPSTREAM, /* none in service can run the request */
	REFUSE_OVERLOAD,    /* the queue is full */
	REFUSE_DEADLINE,    /* cannot start before its deadline */
	REFUSE_MOVED,	    /* the ownership of the upstream is changing */
	REFUSE_HELD,	    /* its prompt has crashed upstreams */
	SCHED_REFUSAL_COUNT,
} sched_refusal_t;

/* Indexed by sched_refusal_t: problem titles and machine-readable reasons. */
extern const char *const sched_refusal_string[];
extern const char *const sched_refusal_reason[];

/*
 * sched_refusal_reason_of - the static string that equals a reason received in
 * a message, or NULL for an unknown one.
 */
const char *sched_refusal_reason_of(const char *text);

typedef struct sched_decision {
	uint64_t id;
	mstime_t decided_at; /* set by the receiver of the callback */
	sched_verdict_t verdict;
	/* SCHED_RUN */
	char upstream[SCHED_NAME_MAX];
	char address[SCHED_NAME_MAX];
	uint32_t key;
	uint64_t start_id; /* as last reported, or 0 */
	bool warm;	   /* the chat's prefix is assumed to be cached there */
	/* SCHED_FORWARD */
	char node[SCHED_NAME_MAX];
	int hop;
	uint32_t target;
	/* SCHED_REFUSE */
	char loads[SCHED_LOADS_MAX]; /* see sched_format_loads */
	sched_refusal_t refusal;
	mstime_t retry_after_ms;
} sched_decision_t;

typedef enum sched_result {
	SCHED_DONE,
	SCHED_CONNECT_FAILED,
	SCHED_CONNECTION_LOST, /* failed after the connection was made */
	SCHED_UPSTREAM_REFUSED,
	SCHED_ABANDONED, /* cancelled, for instance by the caller */
} sched_result_t;

/* How a request that ran has ended. */
typedef struct sched_outcome {
	uint64_t id;
	sched_result_t result;
	int64_t prompt_tokens;	 /* as reported by the engine, or -1 */
	int64_t cached_tokens;	 /* as reported by the engine, or -1 */
	uint64_t start_id;	 /* of the upstream, or 0 */
	mstime_t first_token_ms; /* from sending to the first token, or -1 */
} sched_outcome_t;

/* Load report of an upstream. */
typedef struct sched_report {
	uint32_t key;
	bool ok; /* false when the load query failed */
	int outstanding;
	uint64_t start_id;
} sched_report_t;

/* A node that may own upstreams. */
typedef struct sched_node {
	char *name;
	char *data_centre;
	char *region;
	uint64_t hash;
	bool drained; /* by configuration: takes no new work */
} sched_node_t;

/* A chat whose cached prefix is to be moved off an upstream that leaves. */
typedef struct sched_move {
	uint64_t chat;
	char from[SCHED_NAME_MAX]; /* addresses */
	char to[SCHED_NAME_MAX];
} sched_move_t;

typedef struct sched_ops {
	/* A request is to run, be forwarded or be refused. */
	void (*decided)(void *ctx, const sched_decision_t *d);
	/* Sends a loan to the owner of the borrowing upstream. */
	void (*send_loan)(void *ctx, const char *node,
			  const power_loan_t *loan);
	/* An upstream's health changed: "up", "down" or "restarted". */
	void (*health_changed)(void *ctx, const char *upstream,
			       const char *what);
	/*
	 * An owned upstream is taken out of service by configuration; called
	 * for each cached chat, the most recently used first.
	 */
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
	GHashTable *partition_nodes; /* partition to sched_node_t * */
	/*
	 * Of nodes: those that own other upstreams of a service and region of
	 * which this node owns some.
	 */
	GPtrArray *co_owners;
	guint owned_count;	  /* number of upstreams owned */
	GHashTable *upstreams;	  /* key to sched_upstream_t * */
	GHashTable *permits;	  /* request id to permit_t * */
	GQueue *in_transit;	  /* requests that may not have arrived yet */
	lru_t *remote_placements; /* upstreams of other nodes, by chat */
	power_loans_t loans;
	mstime_t next_peak_window;
	mstime_t next_lend;
	guint load_cursor;   /* where sched_fill_loads continues */
	uint64_t load_epoch; /* incremented by each change of a load */
	struct totals_cache *totals_cache;
	mstime_t paused_until; /* no request is sent before, see sched_pause */
	GRand *rand;
} sched_t;

/*
 * sched_init - creates a scheduler without view and nodes; until both are set
 * it refuses all requests.
 * @self, @data_centre, @region: of this node
 * @seed: for random choices
 */
void sched_init(sched_t *s, const char *self, const char *data_centre,
		const char *region, guint32 seed, const sched_ops_t *ops,
		void *ctx);
void sched_finish(sched_t *s);

/*
 * sched_set_view - installs a new view of the configuration; upstreams that it
 * takes out of service have their waiting requests placed elsewhere.
 */
void sched_set_view(sched_t *s, mstime_t now, view_t *view);

/*
 * sched_set_nodes - installs the nodes that may own upstreams.
 * @nodes: sched_node_t *; the scheduler takes the reference
 */
void sched_set_nodes(sched_t *s, mstime_t now, GPtrArray *nodes);

/*
 * sched_place - places a request; ops->decided is called at once, or later if
 * the request has to wait.
 */
void sched_place(sched_t *s, mstime_t now, const sched_request_t *r);

/*
 * sched_cancel - removes a waiting request without a decision.
 */
void sched_cancel(sched_t *s, mstime_t now, uint64_t id);

/*
 * sched_release - records the end of a request that was run.
 */
void sched_release(sched_t *s, mstime_t now, const sched_outcome_t *o);

/*
 * sched_apply_report - applies a load report of an owned upstream.
 */
void sched_apply_report(sched_t *s, mstime_t now, const sched_report_t *r);

/*
 * sched_apply_load - applies gossip of the load of another node's upstream;
 * older entries than the last one are ignored.
 */
void sched_apply_load(sched_t *s, mstime_t now, const peer_load_t *l);

/*
 * sched_apply_loan - applies a power loan to an owned upstream.
 * @remaining_ms: time until the loan expires
 */
void sched_apply_loan(sched_t *s, mstime_t now, const peer_loan_t *l,
		      mstime_t remaining_ms);

/*
 * sched_fill_loads - fills in load gossip, owned upstreams first.
 * @stamp: wall time in hundredths of a second
 * @own_only: leaves out upstreams of other nodes
 *
 * Return: number of entries written, at most max.
 */
u_int sched_fill_loads(sched_t *s, mstime_t now, uint32_t stamp,
		       peer_load_t *loads, u_int max, bool own_only);

/*
 * sched_own_loads_digest - value that changes with the gossip about owned
 * upstreams.
 */
uint64_t sched_own_loads_digest(const sched_t *s, mstime_t now);

/*
 * sched_format_loads - formats the loads of owned upstreams for a header
 * between nodes.
 * @stamp: wall time in hundredths of a second
 * @out: SCHED_LOADS_MAX bytes; what does not fit is left out
 */
void sched_format_loads(const sched_t *s, mstime_t now, uint32_t stamp,
			char *out);

/*
 * sched_parse_loads - applies the value of such a header; malformed entries
 * are ignored.
 */
void sched_parse_loads(sched_t *s, mstime_t now, str_t text);

/*
 * sched_tick - periodic work: refuses waiting requests whose deadline passed,
 * starts or moves others, and makes and expires loans.
 */
void sched_tick(sched_t *s, mstime_t now);

/*
 * sched_dispatch - starts waiting requests as those in transit arrive; to be
 * called every SCHED_DISPATCH_INTERVAL_MS while requests wait.
 *
 * Return: true while any request waits.
 */
bool sched_dispatch(sched_t *s, mstime_t now);

/*
 * sched_pause - starts no request until a time, since other nodes may have
 * taken over upstreams while this process was suspended.
 */
void sched_pause(sched_t *s, mstime_t until);

/*
 * sched_owner - name of the node that owns an upstream, or NULL.
 */
const char *sched_owner(const sched_t *s, const upstream_t *config);

/*
 * sched_node_for_partition - name of the node to which a partition is assigned,
 * the same on all nodes that know the same nodes; NULL without nodes. Results
 * are cached until the nodes change.
 */
const char *sched_node_for_partition(const sched_t *s, uint64_t partition);

/*
 * sched_list_owned - upstream_t * of the upstreams that this node owns; the
 * caller frees the array.
 */
GPtrArray *sched_list_owned(const sched_t *s);

/*
 * sched_find_upstream - configuration of an upstream by key, or NULL.
 */
const upstream_t *sched_find_upstream(const sched_t *s, uint32_t key);

/*
 * sched_is_upstream_idle - whether an owned upstream is healthy and has no
 * outstanding requests.
 */
bool sched_is_upstream_idle(const sched_t *s, const upstream_t *config);

/*
 * sched_awaits_report - whether this node has received no load report
 * of an owned upstream yet.
 */
bool sched_awaits_report(const sched_t *s, const upstream_t *config);

/*
 * sched_node_for_chat - node that owns the preferred upstream of a chat, or
 * NULL.
 * @chat: 0 for no chat
 */
const char *sched_node_for_chat(sched_t *s, mstime_t now, const char *service,
				uint64_t chat);

/*
 * sched_status - JSON array with the state of each upstream, for operators; a
 * new reference.
 */
json_t *sched_status(const sched_t *s, mstime_t now);

/*
 * sched_node_new - creates an entry for sched_set_nodes.
 */
sched_node_t *sched_node_new(const char *name, const char *data_centre,
			     const char *region);
void sched_node_free(void *node);

#endif
