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
#include <kcf/fleet_roles.h>
#include <kcf/gateway.h>
#include <kcf/latency.h>
#include <kcf/member.h>
#include <kcf/shares.h>

/* Callers take no more addresses than this. */
#define GATEWAY_DIRECTORY_MAX 64
/* A node that starts hears of most others within this. */
#define GATEWAY_SETTLE_MS 4000

typedef struct gateway gateway_t;

/* Newest record of a key. */
typedef struct feed_entry {
	char *key;
	GBytes *data; /* NULL once the key is dropped */
	uint64_t offset;
	uint64_t changed; /* offset of the last record that changed more than
			     a heartbeat */
	bool seen;	  /* in the pass over all keys that is under way */
} feed_entry_t;

/* What is known of one feed. */
typedef struct feed_state {
	gateway_t *gateway;
	feed_t feed;
	GHashTable *entries;	/* char * to feed_entry_t * */
	uint64_t next;		/* first offset that is not known */
	uint64_t news;		/* offset after the last change that was more
				   than a heartbeat */
	uint64_t complete_from; /* removals before are not known one by one */
	bool loaded;		/* all keys have been read once */
	mstime_t current_at;	/* all that was written before is known */
	/* reading from the platform */
	http_call_t *call;
	mstime_t asked_at;
	mstime_t next_at;
	mstime_t own_at;   /* when a node that nobody tells reads, or 0 */
	mstime_t heard_at; /* last answer of the platform */
	uint64_t pass_end; /* end of the feed as the pass began */
	char *pass_after;  /* last key of the pass, NULL outside of one */
	bool passing;
	bool down; /* the platform does not answer */
	/* removals that may only be lapses of an outage */
	mstime_t hold_until;
	int removals; /* since the outage ended */
} feed_state_t;

/* An answer to another node, ready to be sent. */
typedef struct mirror_text {
	GBytes *bytes;
	bool deflated;
	mstime_t at; /* when it was made */
	/* of each feed: from which offset on, and the last news in it */
	uint64_t from[FEED_COUNT];
	uint64_t news[FEED_COUNT];
} mirror_text_t;

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
	feed_client_t feeds;
	feed_state_t states[FEED_COUNT];
	http_call_t *mirror_call;
	mstime_t mirror_asked_at;
	mstime_t mirror_next_at;
	guint mirror_turn;	     /* goes on when a source is no use */
	guint mirror_answers;	     /* taken so far */
	GPtrArray *mirror_waiters;   /* other nodes that wait for news */
	mirror_text_t mirror_whole;  /* all that is known */
	mirror_text_t mirror_behind; /* for those that lack the configuration */
	mirror_text_t mirror_recent; /* the last other answer */
	bool seed;	 /* others are told to start with this node */
	bool crowded;	 /* as this node started, it saw many upstreams */
	bool publishing; /* a key of the nodes' feed is being written */
	mstime_t unknown_since; /* its address belongs to no member, or 0 */
	members_t members;
	GArray *plan; /* fleet_roles_node_t, live nodes in the fleet's order */
	int plan_at;  /* place of this node, -1 while it is not live */
	int sharers;  /* nodes that share limits */
	int told_nodes; /* the same, as others told at the start; 0 for never */
	GPtrArray
		*told_serving; /* char *, callers' addresses, from the start */
	bool plan_old;
	fleet_roles_serving_t serving;
	mstime_t serving_told_at; /* when a node nearer to the platform told of
				     it, 0 for never */
	mstime_t reported_at; /* last load that an upstream told this node */
	int loads_told;	      /* messages with loads, so far */
	byte_budget_t budget;
	int socket;
	ev_io socket_io;
	mstime_t loads_at; /* when loads are told next */
	uint64_t incarnation;
	balance_t balance;
	shares_t shares;      /* what customers have outstanding */
	route_table_t *table; /* NULL before the first */
	latency_t first_byte[ROUTE_KIND_COUNT];
	latency_t whole[ROUTE_KIND_COUNT]; /* answered requests */
	GHashTable *budgets;		   /* service to retry_budget_t * */
	GRand *rand;
	GHashTable *forwards; /* forward_t * */
	size_t answers;	      /* bytes of plain answers that are held */
	phase_t phase;
	mstime_t started_at;
	mstime_t stop_at; /* when SIGTERM came */
	mstime_t last_request_at;
	mstime_t looked_at; /* present time of the last iteration */
	mstime_t woke_at;   /* what was known before must be read again */
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
bool gateway_informed(const gateway_t *g);
bool gateway_ready(const gateway_t *g);
/* A part of the users' bound for what the platform says. */
mstime_t gateway_part_ms(const gateway_t *g, double part);
/* What a node that starts is told must be as new as this. */
mstime_t gateway_start_floor(const gateway_t *g);
/* A node that has just started knows few of the others. */
bool gateway_young(const gateway_t *g, mstime_t now);
/* What is known has changed, or is newer. */
void gateway_learned(gateway_t *g, mstime_t now);
/* Whether a request that ends by a deadline can end before the node stops. */
bool gateway_takes(const gateway_t *g, mstime_t deadline);

/* feeds.c */
void feeds_init(gateway_t *g);
void feeds_finish(gateway_t *g);
/* The platform has answered. */
void feeds_heard(feed_state_t *s, mstime_t now);
/* Drops entries whose removal was held and that nothing has taken back. */
void feeds_end_hold(feed_state_t *s, mstime_t now);
/*
 * feeds_take - applies a record unless a newer one of its key is known.
 */
void feeds_take(feed_state_t *s, const feed_record_t *r, mstime_t now);
/*
 * feeds_current - all that a feed held at a time is known.
 */
void feeds_current(feed_state_t *s, mstime_t at, uint64_t next);
/*
 * feeds_begin_pass, feeds_end_pass - all keys are read anew; those that were
 * not taken in between are gone.
 * @end: of the feed as the pass began
 * @at: when the pass began
 */
void feeds_begin_pass(feed_state_t *s);
void feeds_end_pass(feed_state_t *s, uint64_t end, mstime_t at, mstime_t now);
/*
 * feeds_drop_pass - ends a pass over the platform's keys that is under way, as
 * another source has all of them.
 */
void feeds_drop_pass(feed_state_t *s);

/* reader.c */
void reader_tick(gateway_t *g, mstime_t now);
/* Whether this node reads the platform for others. */
bool reader_is(const gateway_t *g, mstime_t now);
/* The process has stood still for some time. */
void reader_woken(gateway_t *g, mstime_t gap, mstime_t now);

/* nodes.c */
/* How often the feed of nodes is read, and whether this node does so now. */
mstime_t nodes_interval(const gateway_t *g);
bool nodes_due(const gateway_t *g, mstime_t now);
/* The feed of nodes has been read. */
void nodes_take(gateway_t *g, mstime_t now);

/* mirror.c */
void mirror_init(gateway_t *g);
/* Answers all who wait. */
void mirror_finish(gateway_t *g);
void mirror_tick(gateway_t *g, mstime_t now);
/* Something has been learned; who waits for it is answered. */
void mirror_news(gateway_t *g, mstime_t now);
/* A node that asked has closed its connection. */
void mirror_closed(http_request_t *req);
void mirror_reply(gateway_t *g, http_request_t *req);
/*
 * mirror_text_for - the answer to a node.
 * @from: first offset of each feed that it lacks, operators and upstreams
 *
 * Return: kept until the next call.
 */
const mirror_text_t *mirror_text_for(gateway_t *g, const uint64_t *from,
				     mstime_t now);
/*
 * mirror_feed - what is known of a feed from an offset on.
 * @after: takes the records' bytes, which follow the JSON text as they are: to
 *	   write a large configuration as a string of JSON, and to read it, is
 *	   half of what its change costs a node
 *
 * Return: a new reference.
 */
json_t *mirror_feed(const feed_state_t *s, uint64_t from, mstime_t now,
		    GString *after);
/*
 * mirror_read - the JSON text of another node's answer, NULL when it is none.
 * @after: set to the records' bytes behind it
 */
json_t *mirror_read(str_t body, str_t *after);
/*
 * mirror_take - takes what another node knows of a feed.
 * @after: the bytes behind the JSON text; those of this feed are taken off
 */
void mirror_take(feed_state_t *s, const json_t *feed, str_t *after,
		 mstime_t asked_at, mstime_t now);

/* peers.c */
bool gateway_peers_start(gateway_t *g);
void gateway_peers_stop(gateway_t *g);
void gateway_peers_tick(gateway_t *g, mstime_t now);
/*
 * gateway_peers_serving - callers' addresses of the nodes to be used; texts
 * belong to the members.
 * @data_centre: of the caller; its nodes come first when not all fit
 */
GPtrArray *gateway_peers_serving(gateway_t *g, str_t data_centre, guint most);
/* Number of nodes that callers are sent to. */
guint gateway_peers_serving_count(gateway_t *g, mstime_t now);
/* The same, as another node tells it. */
void gateway_peers_take_serving(gateway_t *g, guint count, mstime_t now);
/* A node that is not held to be gone, or NULL. */
const member_t *gateway_peers_any(gateway_t *g);
/* The same, one that is ready. */
const member_t *gateway_peers_any_live(gateway_t *g);
/* The node at a place of the fleet's order, or NULL. */
const member_t *gateway_peers_planned(const gateway_t *g, guint at);
/* Number of nodes that share limits, this one included. */
int gateway_peers_count(const gateway_t *g);

/* admin.c */
extern const http_server_ops_t admin_server_ops;
extern const http_server_ops_t metrics_server_ops;

/* forward.c */
extern const http_server_ops_t forward_server_ops;
void forwards_tick(gateway_t *g);

/* A call that is no caller's request is over; nothing was kept with it. */
void gateway_closed(void *ctx, http_request_t *req, bool whole);

/* Answers a call that is no caller's request. */
void gateway_reply_json(http_request_t *req, unsigned int status,
			const char *text);

/* The same with a tree, whose reference is taken. */
void gateway_reply_tree(http_request_t *req, json_t *root);

/* Where a node tells others of its feeds, on the operators' interface. */
#define GATEWAY_FEEDS_PATH "/v2/feeds"

#endif
