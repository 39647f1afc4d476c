/*
 * gateway - state of a node that sends requests directly to upstreams.
 *
 * gateway.c    start, readiness, stop, reload and the directory
 * feeds.c      the known records of the platform's feeds
 * reader.c     reads feeds from the platform
 * feed_sync.c  copies feeds between nodes
 * nodes.c      discovery for nodes without members
 * peers.c      membership, ranking of nodes, load gossip
 * crashes.c    reports of crashed upstreams between nodes
 * resumes.c    streams that callers take up, and their versions
 * starts.c     which start of an upstream a connection reaches
 * version_record.c  versions of each service in the platform's log
 * version_entries.c  entries that were written after that record's mark
 * stream_log.c  versions that began streams in the platform's log
 * forward.c    one request: routing, retries, final response
 * rollouts.c   roll-outs of new versions, rollout_ops.c what they need
 * send.c       one attempt: the request to an upstream
 * answer.c     one attempt: the response of an upstream
 * warmths.c    upstreams that have prompts cached, between nodes
 * backlogs.c   bounds of what is held for slow callers and upstreams
 * relays.c      requests that pass through one other node, at both of them
 * work_gossip.c  pending prompt tokens and paces between nodes
 * admin.c      operators' interface and metrics
 */
#ifndef KCF_PRIVATE_GATEWAY_H
#define KCF_PRIVATE_GATEWAY_H

#include "warmths.h"
#include "backlogs.h"
#include <kcf/byte_budget.h>
#include <kcf/counter.h>
#include <kcf/fleet_roles.h>
#include <kcf/gateway.h>
#include <kcf/latency.h>
#include <kcf/link_loss.h>
#include <kcf/member.h>
#include <kcf/origins.h>
#include <kcf/quarantine_gossip.h>
#include <kcf/reach.h>
#include <kcf/shares.h>
#include <kcf/sharing.h>
#include <kcf/start_order.h>

#include "rollouts.h"
#include "work_gossip.h"

/* Callers use at most this many addresses of a directory response. */
#define GATEWAY_DIRECTORY_MAX 64
#define GATEWAY_DISCOVERY_MS SHARING_DISCOVERY_MS

typedef struct gateway gateway_t;

/* Latest record of a key. */
typedef struct feed_entry {
	char *key;
	GBytes *data; /* NULL once the key is removed */
	uint64_t epoch;
	uint64_t offset;
	bool corrected;	     /* newer than the log's record at this offset */
	bool contested;	     /* it does not tell that its start lives */
	start_order_t order; /* of an upstream, kept after its removal */
	mstime_t removed_at;
	uint64_t change_offset; /* of the last record that was not only a
				   heartbeat */
	bool seen;		/* in the current scan */
} feed_entry_t;

/* Where the records that are being applied come from. */
typedef enum feed_source {
	FEED_FROM_PLATFORM,
	FEED_FROM_NODE,
} feed_source_t;

/* Parallel to feed_source_t. */
extern const char *const feed_source_string[];

/* State of one feed. */
typedef struct feed_state {
	gateway_t *gateway;
	feed_t feed;
	feed_source_t source;
	GHashTable *entries;  /* char * to feed_entry_t * */
	uint64_t next_offset; /* first offset that is not known */
	uint64_t changes_end; /* offset after the last record that was not only
				 a heartbeat */
	uint64_t removals_complete_from; /* removals from here on are known */
	uint64_t epoch;			 /* of the offsets above */
	bool loaded;			 /* all keys have been read once */
	bool complete;			 /* all keys of the epoch are known */
	/* Entries of older epochs that are not written again are dropped then,
	 * or 0.
	 */
	mstime_t drop_older_at;
	/* All is asked for then, as another node differs; 0 for never. */
	mstime_t ask_all_at;
	mstime_t current_as_of; /* all records written before are known */
	/* Records from this offset on were written after this time. */
	uint64_t end_offset;
	mstime_t end_at;
	/* reading from the platform */
	http_call_t *call;
	mstime_t requested_at;
	mstime_t next_read_at;
	/* Requests wait for all that was written before, or 0. */
	mstime_t wanted_to;
	mstime_t wanted_read_at; /* not before */
	mstime_t fallback_at; /* next read of a node that cannot sync, or 0 */
	/* An outage is counted from here: before, the platform responded to
	 * this node or to one that it copies from, or was not asked.
	 */
	mstime_t outage_from;
	uint64_t scan_end;   /* end of the feed when the scan began */
	mstime_t scan_as_of; /* when its first page was asked for */
	char *scan_after;    /* last key of the previous page, or NULL */
	bool scanning;
	feed_source_t scan_source; /* only its records count as found */
	bool down;		   /* the platform does not respond */
	/* removals that may only be entries that expired in an outage */
	mstime_t defer_until;
	int removals_since_outage;
} feed_state_t;

/* An encoded response to other nodes. */
typedef struct feed_sync_response {
	GBytes *bytes;
	bool deflated;
	mstime_t created_at;
	uint64_t epoch[FEED_COUNT];
	uint64_t from_offset[FEED_COUNT]; /* first offset included */
	uint64_t changes_end[FEED_COUNT]; /* of each feed at created_at */
} feed_sync_response_t;

typedef enum phase {
	GATEWAY_STARTING, /* has no current configuration yet */
	GATEWAY_READY,
	GATEWAY_STOPPING,
} phase_t;

/* Parallel to phase_t. */
extern const char *const phase_string[];

/* Another node as a way to upstreams. */
typedef struct relay_helper {
	mstime_t heard_at;    /* its last report of loads */
	mstime_t avoid_until; /* it could not help */
	int outstanding;      /* requests of this node that it has */
} relay_helper_t;

/* Entries that the record of versions does not cover, as they are read. */
typedef struct version_entries {
	bool reading;
	uint64_t epoch; /* of these offsets */
	uint64_t from;
	uint64_t next;
	mstime_t read_at; /* not before, after a failure */
} version_entries_t;

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
	http_server_t relays; /* other nodes' requests */
	http_client_t upstreams;
	http_client_t store; /* the platform and other nodes */
	feed_client_t feed_client;
	feed_state_t feed_states[FEED_COUNT];
	http_call_t *sync_call;
	mstime_t sync_requested_at;
	mstime_t sync_next_at;
	guint sync_source_turn;	 /* advanced to use another source */
	bool sync_source_ranked; /* the source of its rank, or a reader */
	/* Until then this node also reads the platform, as it does not answer
	 * those that this node copies from.
	 */
	mstime_t sources_cut_until;
	guint sync_response_count;
	guint sync_failures; /* since the last response */
	mstime_t sync_failed_since;
	/* Until then this node asks for all that another one knows, since what
	 * it has read itself may be of an older copy of the log; 0 once it has.
	 */
	mstime_t first_copy_until;
	bool sync_only_merges;		/* the request is for this alone */
	GPtrArray *sync_waiters;	/* waiter_t *, wait for a change */
	feed_sync_response_t sync_full; /* with all records */
	feed_sync_response_t
		sync_with_config; /* for nodes that lack the configuration */
	feed_sync_response_t sync_recent; /* for all other nodes */
	bool is_seed;	      /* its address is among the configured seeds */
	bool upstreams_paged; /* the first scan takes several pages */
	bool publishing;      /* a key of FEED_NODES is being written */
	mstime_t seed_unknown_since; /* the address under this node's key
					belongs to no member, or 0 */
	members_t members;
	GArray *ranking;	  /* fleet_roles_node_t, live nodes by rank */
	int own_rank;		  /* -1 while this node is not live */
	sharing_t sharing;	  /* nodes that share limits */
	GPtrArray *start_serving; /* char *, callers' addresses of serving
				     nodes, from a sync source */
	bool ranking_stale;
	fleet_roles_serving_t serving;
	mstime_t serving_received_at; /* from a sync source, 0 if unset */
	mstime_t load_reported_at;    /* last report of an upstream */
	int load_messages_sent;
	byte_budget_t control_budget;
	int socket;
	ev_io socket_io;
	mstime_t next_gossip_at;
	work_gossip_t work_gossip;
	uint64_t incarnation;
	quarantine_t quarantine;
	GHashTable *end_waits;	  /* end_wait_t * */
	bool crashes_hold_is_new; /* requests under way may be part of it */
	quarantine_gossip_t crash_gossip;
	warmths_t warmths;
	versions_t versions;
	origins_t origins;
	byte_budget_t origins_budget;
	rollouts_t rollouts;
	byte_budget_t rollouts_budget;
	/* the record of versions in the platform's log */
	bool record_wanted;  /* a request waits for it */
	bool record_writing; /* record_change is being written */
	versions_change_t record_change;
	uint64_t record_epoch;	   /* of the log */
	mstime_t record_due_since; /* a change is due, or 0 */
	mstime_t record_write_at;  /* not before, after a failure */
	mstime_t record_read_at;   /* not before, while it is incomplete */
	version_entries_t version_entries;
	/* the log of streams there */
	GByteArray *stream_batch; /* to be written by this node */
	bool stream_log_writing;
	mstime_t stream_log_written_at;
	guint stream_log_slot; /* of the next batch */
	balance_t balance;
	shares_t shares;       /* outstanding requests of each customer */
	admission_t admission; /* recent requests of each service */
	route_table_t *table;  /* NULL before the first */
	latency_t latency_first_byte[ROUTE_KIND_COUNT];
	latency_t latency_total[ROUTE_KIND_COUNT];
	reach_t reach;
	GHashTable *helpers; /* char *, node's address to relay_helper_t * */
	int relayed;	     /* open requests of other nodes */
	GHashTable *retry_budgets; /* service to retry_budget_t * */
	GRand *rand;
	GHashTable *forwards; /* forward_t *, open requests of callers */
	backlogs_t backlogs;
	link_loss_t link_loss; /* of the links to callers */
	size_t buffered_bytes; /* of plain responses, see RESPONSE_BODY_* */
	phase_t phase;
	mstime_t started_at;
	mstime_t stopping_since; /* time of SIGTERM */
	bool ended; /* its loop has, no request is begun any more */
	mstime_t last_request_at;
	mstime_t last_iteration_at;
	mstime_t late_at; /* the loop went on after it had stood for a while */
	mstime_t data_valid_from; /* older data must be read again before use */
	ev_timer tick;
	ev_check iteration;
	ev_prepare flush;
	ev_signal terminate;
	ev_signal interrupt;
	ev_signal reload;
	mstime_t flushed_at;
};

/* gateway.c */
/* Whether configuration and upstreams are recent enough to serve requests. */
bool gateway_data_is_current(const gateway_t *g);
bool gateway_ready(const gateway_t *g);
/* A fraction of the limit within which platform changes must apply. */
mstime_t gateway_limit_fraction_ms(const gateway_t *g, double fraction);
/* Data from before this time is too old for a starting node. */
mstime_t gateway_oldest_start_data(const gateway_t *g);
/* Whether the node started so recently that it knows few members. */
bool gateway_recently_started(const gateway_t *g, mstime_t now);
/* Acts on feeds that have changed or are known up to a later time. */
void gateway_feeds_updated(gateway_t *g, mstime_t now);
/* Whether a request with this deadline ends before the node exits. */
bool gateway_can_finish_by(const gateway_t *g, mstime_t deadline);

/* feeds.c */
/* Entries that expired in an outage are republished within two seconds. */
#define FEEDS_DEFER_REMOVALS_MS 2200

void feeds_init(gateway_t *g);
void feeds_finish(gateway_t *g);
/*
 * feeds_record_request - records that the platform is asked.
 * @interval_ms: between reads of this feed by a node that reads regularly
 */
void feeds_record_request(feed_state_t *s, mstime_t interval_ms, mstime_t now);
/* Records a response of the platform; after an outage, defers removals. */
void feeds_record_response(feed_state_t *s, mstime_t now);
/* Defers removals as another node does that has seen an outage. */
void feeds_defer_removals(feed_state_t *s, mstime_t until);
/* Once the delays are over, removes what was not published again. */
void feeds_apply_deferred_removals(feed_state_t *s, mstime_t now);
/*
 * feeds_observe_epoch - learns the epoch of the platform's log. With a new one
 * all feeds are read anew; what was known stays in force until it is replaced.
 * @epoch: 0 is ignored
 */
void feeds_observe_epoch(gateway_t *g, uint64_t epoch, mstime_t now);
/*
 * feeds_take_ask_all - whether the next request to another node is for all that
 * it knows, as one differed before; once each time.
 */
bool feeds_take_ask_all(feed_state_t *s, mstime_t now);
/* Whether copies still tell of the removal of an upstream. */
bool feeds_is_recently_removed(const feed_entry_t *e, mstime_t now);
/*
 * feeds_apply_record - applies a record unless a newer one of its key is known.
 */
void feeds_apply_record(feed_state_t *s, const feed_record_t *r, mstime_t now);
/*
 * feeds_observe_version - the version that an upstream's record names may have
 * begun streams, whether or not the record is applied.
 */
void feeds_observe_version(gateway_t *g, const feed_record_t *r,
			   feed_source_t source, mstime_t now);
/* All records of a feed that were written before this time are known. */
mstime_t feeds_known_to(const gateway_t *g, feed_t feed);
/*
 * feeds_set_current - marks all records written before a time as known.
 * @next_offset: offset after the last of them
 */
void feeds_set_current(feed_state_t *s, mstime_t as_of, uint64_t next_offset);
/*
 * feeds_set_end - the platform's log ended at an offset, or before it.
 * @at: before the platform said so
 */
void feeds_set_end(feed_state_t *s, uint64_t end_offset, mstime_t at);
/*
 * feeds_begin_scan, feeds_end_scan - a scan reads the latest record of every
 * key from the current source; keys without a record of that source applied in
 * between are removed. Records of another source may arrive meanwhile.
 * @end:   end of the feed when the scan began
 * @as_of: time when the scan began
 */
void feeds_begin_scan(feed_state_t *s);
void feeds_end_scan(feed_state_t *s, uint64_t end, mstime_t as_of,
		    mstime_t now);
/*
 * feeds_cancel_scan - cancels a scan of the platform in progress, if any, when
 * a sync source has all records.
 */
void feeds_cancel_scan(feed_state_t *s);

/* reader.c */
void reader_tick(gateway_t *g, mstime_t now);
/* Whether this node is a reader: it reads the platform for other nodes. */
bool reader_is_self(const gateway_t *g, mstime_t now);
/*
 * reader_want - reads a feed for requests that wait, soon and without the other
 * conditions on reads.
 * @to: all that was written before is wanted
 */
void reader_want(gateway_t *g, feed_t feed, mstime_t to);
/* Restarts all reads after a pause of the process. */
void reader_resume(gateway_t *g, mstime_t gap, mstime_t now);

/* nodes.c */
/* How often FEED_NODES is read, and whether this node reads it now. */
mstime_t nodes_read_interval(const gateway_t *g);
bool nodes_read_due(const gateway_t *g, mstime_t now);
/* Applies FEED_NODES after a read: seeds, and this reader's own key. */
void nodes_update(gateway_t *g, mstime_t now);

/* feed_sync.c */
void feed_sync_init(gateway_t *g);
/* Responds to all waiting nodes. */
void feed_sync_stop(gateway_t *g);
void feed_sync_finish(gateway_t *g);
void feed_sync_tick(gateway_t *g, mstime_t now);
/* Responds to nodes for which there is a change, or whose wait is over. */
void feed_sync_notify_waiters(gateway_t *g, mstime_t now);
/* Drops a waiting request whose connection was closed. */
void feed_sync_on_closed(http_request_t *req);
/* Responds to another node, now or when there is a change. */
void feed_sync_reply(gateway_t *g, http_request_t *req);
/*
 * feed_sync_response_for - encodes the response to a node, or reuses one.
 * @from: first offset that it lacks of each feed, operators and upstreams
 *
 * Return: owned by the gateway, valid until the next call.
 */
const feed_sync_response_t *
feed_sync_response_for(gateway_t *g, const uint64_t *from, mstime_t now);
/*
 * feed_sync_encode - encodes the records of a feed from an offset on.
 * @payload: receives the records' data, sent unescaped behind the JSON text.
 *           Writing and parsing a large configuration as a JSON string is half
 *           of what its change costs a node.
 *
 * Return: a new reference.
 */
json_t *feed_sync_encode(const feed_state_t *s, uint64_t from, mstime_t now,
			 GString *payload);
/*
 * feed_sync_parse - parses the JSON text of another node's response.
 * @payload: receives the bytes behind the JSON text
 *
 * Return: a new reference, NULL if the text is malformed.
 */
json_t *feed_sync_parse(str_t body, str_t *payload);
/*
 * feed_sync_apply - applies the records of a feed from another node.
 * @payload:      advanced past the data of this feed
 * @requested_at: time, by this node's clock, to which the feed's age refers
 *
 * Return: whether all entries in force there were applied.
 */
bool feed_sync_apply(feed_state_t *s, const json_t *feed, str_t *payload,
		     mstime_t requested_at, mstime_t now);

/* peers.c */
/* An upstream of the service has reported its pace. */
void gateway_peers_share_warmth(gateway_t *g, const char *service);

/*
 * gateway_peers_notify_work - tells other nodes if a request begins a long
 * prefill.
 * @pick:   of the request, with an upstream
 * @prompt: hash of its shared prompt, or 0
 */
void gateway_peers_notify_work(gateway_t *g, const balance_pick_t *pick,
			       uint64_t prompt);
/*
 * gateway_peers_notify_pace - tells other nodes of the first pace of a service,
 * so that all choose by work from then on.
 */
void gateway_peers_notify_pace(gateway_t *g, const balance_upstream_t *u);
bool gateway_peers_start(gateway_t *g);
void gateway_peers_stop(gateway_t *g);
void gateway_peers_tick(gateway_t *g, mstime_t now);
/*
 * gateway_peers_serving - callers' addresses of the serving nodes; the strings
 * belong to the gateway.
 * @data_centre: of the caller; its nodes come first
 */
GPtrArray *gateway_peers_serving(gateway_t *g, str_t data_centre, guint max);
/* Number of serving nodes: those that the directory offers to callers. */
guint gateway_peers_serving_count(gateway_t *g, mstime_t now);
/* Applies the count of a sync source; 0 is ignored. */
void gateway_peers_set_serving_count(gateway_t *g, guint count, mstime_t now);
/* A random other node that is neither dead nor suspect, or NULL. */
const member_t *gateway_peers_random(gateway_t *g);
/* A random live node, maybe this one, or NULL. */
const member_t *gateway_peers_random_live(gateway_t *g);
/* The live node of a rank, or NULL. */
const member_t *gateway_peers_at_rank(const gateway_t *g, guint rank);
/* Number of nodes that share limits, this one included. */
int gateway_peers_sharing_count(const gateway_t *g);
/*
 * Whether this node and those in reach may have been cut off from others since
 * a time: more are lost than are lost one by one, or nobody is heard.
 */
bool gateway_peers_may_be_cut(const gateway_t *g, mstime_t since);

/* Divides the request rates that upstreams name among the serving nodes. */
void gateway_peers_share_rates(gateway_t *g, mstime_t now);

/* crashes.c */
void crashes_init(gateway_t *g);
void crashes_finish(gateway_t *g);
void crashes_tick(gateway_t *g, mstime_t now);
void crashes_receive(gateway_t *g, const peer_crash_report_t *m,
		     const char *from);

/*
 * crashes_ask_health - asks an upstream's health path; an answer shows that the
 * upstream goes on and that this node reaches it.
 * @probe: the question is whether this node reaches upstreams
 */
void crashes_ask_health(gateway_t *g, const balance_upstream_t *u, bool probe,
			mstime_t now);

/* ends.c */
void ends_init(gateway_t *g);
void ends_finish(gateway_t *g);

/* relays.c */
void relays_init(gateway_t *g);
void relays_finish(gateway_t *g);
void relays_tick(gateway_t *g, mstime_t now);
/* Load reports have come from a node: it reaches upstreams. */
void relays_hear(gateway_t *g, const char *from, mstime_t now);
/* Whether this node has lost its own links to upstreams. */
bool relays_is_cut(const gateway_t *g);
/* An attempt or a probe has met silence. */
void relays_record_silence(gateway_t *g, uint32_t upstream, mstime_t sent_at,
			   mstime_t now);
extern const http_server_ops_t relays_server_ops;

/* resumes.c */
void resumes_init(gateway_t *g);
void resumes_finish(gateway_t *g);
void resumes_tick(gateway_t *g, mstime_t now);
void resumes_receive(gateway_t *g, const peer_origins_t *m, const char *from);
/* The record of versions was read. */
void resumes_record_read(gateway_t *g);
/* A feed that requests wait for could not be read. */
void resumes_read_failed(gateway_t *g, feed_t feed);
/* A configuration came into force. */
void resumes_apply_table(gateway_t *g);
/* The entry of an upstream is new or has changed. */
void resumes_observe(gateway_t *g, const char *id, mstime_t now);
/*
 * resumes_hear_version - an upstream of a version was known at a time.
 * @from: who says so, for the log
 */
void resumes_hear_version(gateway_t *g, const char *service, const char *name,
			  mstime_t seen_at, const char *from);
/* The version that began a stream of another node; false if it was known. */
bool resumes_learn(gateway_t *g, uint64_t stream, uint32_t version,
		   mstime_t now);
/* Another node is not sure of versions that may have begun streams. */
void resumes_receive_doubts(gateway_t *g, const peer_doubts_t *m);
/* Asks all nodes for the versions that may have begun streams. */
void resumes_ask_versions(gateway_t *g);
void resumes_receive_versions(gateway_t *g, const peer_versions_t *m,
			      const char *from);
/* Heartbeats of upstreams may have been read. */
void resumes_feeds_updated(gateway_t *g);
/* Whether streams of a service may have been begun by several versions. */
bool resumes_is_mixed(const gateway_t *g, const char *service);

/* starts.c */
/* Whether the start that a stream goes on at may be of another version. */
bool starts_may_matter(const gateway_t *g, const char *service);
/* Whether a connection to a process reaches the start of an upstream's entry.
 */
bool starts_is_proven(const gateway_t *g, const balance_upstream_t *u,
		      http_peer_t peer);
/* Finds the upstreams of a version that idle connections are proven to reach.
 */
void starts_observe(gateway_t *g, uint32_t version);
/* Asks some upstreams of a version which start they are, or opens connections
 * that the next heartbeats prove.
 */
void starts_open(gateway_t *g, uint32_t version);
/* Asks an upstream for its start, on whatever connection there is. */
http_call_t *starts_ask(gateway_t *g, const balance_upstream_t *u,
			const http_call_ops_t *ops, void *ctx);
/*
 * starts_take_answer - takes an answer to starts_ask, which has no error.
 *
 * Return: the start that it names, or 0.
 */
uint64_t starts_take_answer(gateway_t *g, balance_upstream_t *u,
			    http_call_t *call, int status);

/* version_record.c */
/* Writes what the record lacks; one reader does for the whole fleet. */
void version_record_tick(gateway_t *g, mstime_t now);
/* Reads the record, and what it does not cover; resumes_record_read follows. */
void version_record_read(gateway_t *g);
/* Applies the record after a read of FEED_NODES. */
void version_record_apply(gateway_t *g, mstime_t now);

/* version_entries.c */
/* Reads entries that were not seen, if the record needs them. */
void version_entries_tick(gateway_t *g, mstime_t now);
/* The same once the record was read; resumes_record_read follows. */
void version_entries_read(gateway_t *g, mstime_t now);

/* stream_log.c */
void stream_log_init(gateway_t *g);
void stream_log_finish(gateway_t *g);
/* The node that writes for all, or NULL. */
const member_t *stream_log_writer(const gateway_t *g);
/* The version that began a stream; kept if this node writes. */
void stream_log_note(gateway_t *g, uint64_t stream, uint32_t version);
/* The same for a version that is not sure. */
void stream_log_note_doubt(gateway_t *g, const origin_doubt_t *doubt);
void stream_log_tick(gateway_t *g, mstime_t now);
/* Applies one batch that was read. */
void stream_log_apply(gateway_t *g, str_t data, mstime_t now);

/* rollout_ops.c */
extern const rollouts_ops_t gateway_rollouts_ops;

/* admin.c */
extern const http_server_ops_t admin_server_ops;
extern const http_server_ops_t metrics_server_ops;

/* forward.c */
extern const http_server_ops_t forward_server_ops;
/* What waits for a caller has been taken in by its connection. */
void forward_on_taken(void *ctx, http_request_t *req, size_t bytes);

/* answer.c */
extern const backlogs_ops_t answer_backlogs_ops;

/* forward.c */
void forwards_tick(gateway_t *g);

/*
 * forwards_end - ends the open requests of a node that has to exit.
 */
void forwards_end(gateway_t *g);

/* The closed callback of interfaces that keep no state for a request. */
void gateway_ignore_closed(void *ctx, http_request_t *req, bool whole);

/* Replies with a JSON text. */
void gateway_reply_json(http_request_t *req, unsigned int status,
			const char *text);

/* Replies with a JSON tree and releases it. */
void gateway_reply_json_tree(http_request_t *req, json_t *root);

/* Path of the feeds for other nodes, on the operators' interface. */
#define GATEWAY_FEEDS_PATH "/v2/feeds"

#endif
