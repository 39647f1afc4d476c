/*
 * gateway - state of a node that sends requests straight to upstreams.
 *
 * gateway.c  start, readiness, stop, reload and the directory
 * feeds.c    what is known of the platform's feeds
 * reader.c   reading them from the platform
 * mirror.c   asking other nodes for them, and telling
 * nodes.c    where nodes that know no other find one
 * peers.c    membership, what each node does for the others
 * forward.c  one request: what to do next
 * send.c     one sending of a request
 * answer.c   answers of upstreams to callers
 * admin.c    operators' calls and metrics
 */
#ifndef KCF_PRIVATE_GATEWAY_H
#define KCF_PRIVATE_GATEWAY_H

#include <kcf/byte_budget.h>
#include <kcf/counter.h>
#include <kcf/fleet_plan.h>
#include <kcf/gateway.h>
#include <kcf/latency.h>
#include <kcf/member.h>
#include <kcf/shares.h>

/* Callers take no more addresses than this. */
#define GATEWAY_DIRECTORY_MAX 64
/* A node that starts hears of most others within this. */
#define GATEWAY_DISCOVERY_MS 4000

typedef struct gateway gateway_t;

/* Newest record of a key. */
typedef struct feed_entry {
	char *key;
	GBytes *data; /* NULL once the key is dropped */
	uint64_t offset;
	uint64_t change_offset; /* offset of the last record that changed more
			     than a heartbeat */
	bool seen; /* in the pass over all keys that is under way */
} feed_entry_t;

/* What is known of one feed. */
typedef struct feed_state {
	gateway_t *gateway;
	feed_t feed;
	GHashTable *entries;  /* char * to feed_entry_t * */
	uint64_t next_offset; /* first offset that is not known */
	uint64_t changes_end; /* offset after the last change that was more
			 than a heartbeat */
	uint64_t removals_complete_from; /* removals before are not known one by
					    one */
	bool loaded;			 /* all keys have been read once */
	mstime_t current_as_of; /* all that was written before is known */
	/* reading from the platform */
	http_call_t *call;
	mstime_t requested_at;
	mstime_t next_read_at;
	mstime_t fallback_at; /* when a node that nobody tells reads, or 0 */
	mstime_t last_response_at; /* last answer of the platform */
	uint64_t scan_end;	   /* end of the feed as the pass began */
	char *scan_after; /* last key of the pass, NULL outside of one */
	bool scanning;
	bool down; /* the platform does not answer */
	/* removals that may only be lapses of an outage */
	mstime_t defer_until;
	int removals_since_outage; /* since the outage ended */
} feed_state_t;

/* An answer to another node, ready to be sent. */
typedef struct feed_sync_response {
	GBytes *bytes;
	bool deflated;
	mstime_t created_at; /* when it was made */
	/* of each feed: from which offset on, and the last news in it */
	uint64_t from_offset[FEED_COUNT];
	uint64_t changes_end[FEED_COUNT];
} feed_sync_response_t;

typedef enum phase {
	GATEWAY_STARTING, /* knows no configuration yet */
	GATEWAY_READY,
	GATEWAY_STOPPING,
} phase_t;

/* Parallel to phase_t. */
extern const char *const phase_string[];

struct gateway {
	gateway_conf_t *conf;
	const char *conf_file;
	const protocol_ops_t *protocol;
	struct ev_loop *loop;
	http_server_t callers;
	http_server_t readiness;
	http_server_t directory;
	http_server_t admin;
	http_server_t metrics;
	http_client_t upstreams;
	http_client_t store; /* and other nodes */
	feed_client_t feed_client;
	feed_state_t feed_states[FEED_COUNT];
	http_call_t *sync_call;
	mstime_t sync_requested_at;
	mstime_t sync_next_at;
	guint sync_source_turn;		/* goes on when a source is no use */
	guint sync_response_count;	/* taken so far */
	GPtrArray *sync_waiters;	/* other nodes that wait for news */
	feed_sync_response_t sync_full; /* all that is known */
	feed_sync_response_t
		sync_with_config; /* for those that lack the configuration */
	feed_sync_response_t sync_recent; /* the last other answer */
	bool is_seed;	      /* others are told to start with this node */
	bool upstreams_paged; /* as this node started, it saw many upstreams */
	bool publishing;      /* a key of the nodes' feed is being written */
	mstime_t
		seed_unknown_since; /* its address belongs to no member, or 0 */
	members_t members;
	GArray *ranking;   /* plan_node_t, live nodes in the fleet's order */
	int own_rank;	   /* place of this node, -1 while it is not live */
	int sharing_nodes; /* nodes that share limits */
	int start_sharing_nodes; /* the same, as others told at the start; 0 for
				    never */
	GPtrArray
		*start_serving; /* char *, callers' addresses, from the start */
	bool ranking_stale;
	plan_size_t serving;
	mstime_t serving_received_at; /* when a node nearer to the platform told
				     of it, 0 for never */
	mstime_t load_reported_at; /* last load that an upstream told this node
				    */
	int load_messages_sent;	   /* messages with loads, so far */
	budget_t control_budget;
	int socket;
	ev_io socket_io;
	mstime_t next_gossip_at; /* when loads are told next */
	uint64_t incarnation;
	balance_t balance;
	shares_t shares;      /* what customers have outstanding */
	route_table_t *table; /* NULL before the first */
	latency_t latency_first_byte[ROUTE_KIND_COUNT];
	latency_t latency_total[ROUTE_KIND_COUNT]; /* answered requests */
	GHashTable *retry_budgets; /* service to retry_budget_t * */
	GRand *rand;
	GHashTable *forwards;  /* forward_t * */
	size_t buffered_bytes; /* bytes of plain answers that are held */
	phase_t phase;
	mstime_t started_at;
	mstime_t stopping_since; /* when SIGTERM came */
	mstime_t last_request_at;
	mstime_t last_iteration_at; /* present time of the last iteration */
	mstime_t data_valid_from; /* what was known before must be read again */
	ev_timer tick;
	ev_check iteration;
	ev_prepare flush;
	ev_signal terminate;
	ev_signal interrupt;
	ev_signal reload;
	mstime_t flushed_at;
};

/* gateway.c */
/* Whether what is known may be acted on. */
bool gateway_data_is_current(const gateway_t *g);
bool gateway_ready(const gateway_t *g);
/* A part of the users' bound for what the platform says. */
mstime_t gateway_limit_fraction_ms(const gateway_t *g, double fraction);
/* What a node that starts is told must be as new as this. */
mstime_t gateway_oldest_start_data(const gateway_t *g);
/* A node that has just started knows few of the others. */
bool gateway_recently_started(const gateway_t *g, mstime_t now);
/* What is known has changed, or is newer. */
void gateway_feeds_updated(gateway_t *g, mstime_t now);
/* Whether a request that ends by a deadline can end before the node stops. */
bool gateway_can_finish_by(const gateway_t *g, mstime_t deadline);

/* feeds.c */
void feeds_init(gateway_t *g);
void feeds_finish(gateway_t *g);
/* The platform has answered. */
void feeds_record_response(feed_state_t *s, mstime_t now);
/* Drops entries whose removal was held and that nothing has taken back. */
void feeds_apply_deferred_removals(feed_state_t *s, mstime_t now);
/*
 * feeds_apply_record - applies a record unless a newer one of its key is known.
 */
void feeds_apply_record(feed_state_t *s, const feed_record_t *r, mstime_t now);
/*
 * feeds_set_current - all that a feed held at a time is known.
 */
void feeds_set_current(feed_state_t *s, mstime_t as_of, uint64_t next_offset);
/*
 * feeds_begin_scan, feeds_end_scan - all keys are read anew; those that were
 * not taken in between are gone.
 * @end: of the feed as the pass began
 * @at: when the pass began
 */
void feeds_begin_scan(feed_state_t *s);
void feeds_end_scan(feed_state_t *s, uint64_t end, mstime_t as_of,
		    mstime_t now);
/*
 * feeds_cancel_scan - ends a pass over the platform's keys that is under way,
 * as another source has all of them.
 */
void feeds_cancel_scan(feed_state_t *s);

/* reader.c */
void reader_tick(gateway_t *g, mstime_t now);
/* Whether this node reads the platform for others. */
bool reader_is_self(const gateway_t *g, mstime_t now);
/* The process has stood still for some time. */
void reader_resume(gateway_t *g, mstime_t gap, mstime_t now);

/* nodes.c */
/* How often the feed of nodes is read, and whether this node does so now. */
mstime_t nodes_read_interval(const gateway_t *g);
bool nodes_read_due(const gateway_t *g, mstime_t now);
/* The feed of nodes has been read. */
void nodes_update(gateway_t *g, mstime_t now);

/* mirror.c */
void feed_sync_init(gateway_t *g);
/* Answers all who wait. */
void feed_sync_finish(gateway_t *g);
void feed_sync_tick(gateway_t *g, mstime_t now);
/* Something has been learned; who waits for it is answered. */
void feed_sync_notify_waiters(gateway_t *g, mstime_t now);
/* A node that asked has closed its connection. */
void feed_sync_on_closed(http_request_t *req);
void feed_sync_reply(gateway_t *g, http_request_t *req);
/*
 * feed_sync_response_for - the answer to a node.
 * @from: first offset of each feed that it lacks, operators and upstreams
 *
 * Return: kept until the next call.
 */
const feed_sync_response_t *
feed_sync_response_for(gateway_t *g, const uint64_t *from, mstime_t now);
/*
 * feed_sync_encode - what is known of a feed from an offset on.
 * @payload: takes the records' bytes, which follow the JSON text as they are:
 *to write a large configuration as a string of JSON, and to read it, is half of
 *what its change costs a node
 *
 * Return: a new reference.
 */
json_t *feed_sync_encode(const feed_state_t *s, uint64_t from, mstime_t now,
			 GString *payload);
/*
 * feed_sync_parse - the JSON text of another node's answer, NULL when it is
 * none.
 * @payload: set to the records' bytes behind it
 */
json_t *feed_sync_parse(str_t body, str_t *payload);
/*
 * feed_sync_apply - takes what another node knows of a feed.
 * @payload: the bytes behind the JSON text; those of this feed are taken off
 */
void feed_sync_apply(feed_state_t *s, const json_t *feed, str_t *payload,
		     mstime_t requested_at, mstime_t now);

/* peers.c */
bool gateway_peers_start(gateway_t *g);
void gateway_peers_stop(gateway_t *g);
void gateway_peers_tick(gateway_t *g, mstime_t now);
/*
 * gateway_peers_serving - callers' addresses of the nodes to be used; texts
 * belong to the members.
 * @data_centre: of the caller; its nodes come first when not all fit
 */
GPtrArray *gateway_peers_serving(gateway_t *g, str_t data_centre, guint max);
/* Number of nodes that callers are sent to. */
guint gateway_peers_serving_count(gateway_t *g, mstime_t now);
/* The same, as another node tells it. */
void gateway_peers_set_serving_count(gateway_t *g, guint count, mstime_t now);
/* A node that is not held to be gone, or NULL. */
const member_t *gateway_peers_random(gateway_t *g);
/* The same, one that is ready. */
const member_t *gateway_peers_random_live(gateway_t *g);
/* The node at a place of the fleet's order, or NULL. */
const member_t *gateway_peers_at_rank(const gateway_t *g, guint rank);
/* Number of nodes that share limits, this one included. */
int gateway_peers_sharing_count(const gateway_t *g);

/* admin.c */
extern const http_server_ops_t admin_server_ops;
extern const http_server_ops_t metrics_server_ops;

/* forward.c */
extern const http_server_ops_t forward_server_ops;
void forwards_tick(gateway_t *g);

/* A call that is no caller's request is over; nothing was kept with it. */
void gateway_ignore_closed(void *ctx, http_request_t *req, bool whole);

/* Answers a call that is no caller's request. */
void gateway_reply_json(http_request_t *req, unsigned int status,
			const char *text);

/* The same with a tree, whose reference is taken. */
void gateway_reply_json_tree(http_request_t *req, json_t *root);

/* Where a node tells others of its feeds, on the operators' interface. */
#define GATEWAY_FEEDS_PATH "/v2/feeds"

#endif
