/*
 * control - the task that owns membership, configuration and placement.
 *
 * It runs on its own thread. The relay task, which serves callers, reaches it
 * by messages only (messages.h).
 */
#ifndef KCF_PRIVATE_CONTROL_H
#define KCF_PRIVATE_CONTROL_H

#include "messages.h"
#include "relay.h"
#include <kcf/byte_budget.h>
#include <kcf/config.h>
#include <kcf/counter.h>
#include <kcf/http_client.h>
#include <kcf/http_server.h>
#include <kcf/member.h>
#include <kcf/platform.h>
#include <kcf/quarantine_gossip.h>
#include <kcf/settings.h>
#include <kcf/task.h>

/* A proposed change whose result an operator waits for. */
typedef struct pending_change {
	char id[64];
	http_request_t *req; /* NULL once the operator has disconnected */
	resource_kind_t kind;
	char *name;
	bool deletes;
	mstime_t deadline;
} pending_change_t;

/* An operator's open watch: a response that streams changes. */
typedef struct watcher {
	http_request_t *req;
	resource_kind_t kind; /* KIND_COUNT for all */
} watcher_t;

struct once_coordinator;
struct job_executor;
struct order_dispatcher;

typedef struct control {
	task_t task;
	relay_t *relay;
	const settings_t *settings;
	uint64_t incarnation;
	node_phase_t phase;
	mstime_t leave_deadline; /* end of the graceful stop, or 0 */
	mstime_t earliest_ready; /* not ready before this time */
	void (*on_stopped)(void *arg);
	void *on_stopped_arg;

	http_client_t http;
	http_server_t operators;
	ev_timer tick;
	ev_timer dispatch_timer; /* active while requests are queued */

	/* peers */
	int socket; /* for datagrams between nodes */
	ev_io socket_io;
	members_t members;
	byte_budget_t budget;
	quarantine_t quarantine;
	quarantine_gossip_t crash_gossip;
	GHashTable *upstream_ends; /* upstream's key to the time of its last end
				    */
	bool roster_changed;
	bool isolated; /* no peer answers */
	mstime_t next_host_list_fetch;
	mstime_t next_load_push; /* to sched.co_owners */
	guint load_push_cursor;
	mstime_t next_load_push_all;  /* to all nodes */
	uint64_t pushed_loads_digest; /* at the last push */
	host_list_client_t host_list;

	/* configuration */
	config_t config;
	log_client_t log;
	uint64_t snapshot_scan_offset; /* next to scan for a snapshot, or 0 */
	bool log_reading;
	bool log_ok;	/* the last read succeeded */
	bool caught_up; /* the end of the stream has been reached */
	mstime_t next_read;
	mstime_t next_snapshot_check;
	mstime_t next_peer_fetch;
	GHashTable *pending_changes; /* id to pending_change_t * */
	GPtrArray *watchers;	     /* watcher_t * */

	/* placement */
	sched_t sched;
	mstime_t next_poll;
	guint poll_rounds;
	guint poll_cursor;
	GHashTable *polls_in_flight; /* keys of upstreams */

	/* run-once keys, jobs and orders, kept in the platform's log */
	struct once_coordinator *once;
	struct job_executor *jobs;
	struct order_dispatcher *orders;

	/* moves of cached prefixes between upstreams */
	GQueue *pending_moves; /* sched_move_t * */
	int moves_in_flight;
	double move_allowance;	    /* moves that may start now */
	mstime_t move_allowance_at; /* time of the last refill */

	/* traces of requests, for operators */
	GHashTable *traces;  /* request id to trace_t * */
	GQueue *trace_order; /* trace_t *, oldest first; owns them */
} control_t;

/*
 * control_init - initialises the task without starting it.
 * @incarnation: greater than that of any earlier process of this node
 * @on_stopped: called on the task's thread once a graceful stop is complete
 */
void control_init(control_t *c, const settings_t *settings,
		  uint64_t incarnation, void (*on_stopped)(void *arg),
		  void *arg);
/*
 * control_start - starts the task's thread; false when it could not open its
 * sockets.
 */
bool control_start(control_t *c, relay_t *relay);
/*
 * control_stop - stops the thread and waits for its end.
 */
void control_stop(control_t *c);
/*
 * control_finish - releases everything. The task has been stopped or never ran.
 */
void control_finish(control_t *c);

/*
 * control_rejoin - returns a ready node to PHASE_JOINING.
 * @until: earliest time at which it is ready again
 */
void control_rejoin(control_t *c, mstime_t until);

/*
 * control_leave - begins a graceful stop. Other threads post MSG_PHASE instead.
 */
void control_leave(control_t *c);

/*
 * Each module below has a start, a stop and mostly a tick function, which the
 * task calls on its thread; ticks come ten times a second.
 */

/* control_peers.c */
bool peers_start(control_t *c);
void peers_stop(control_t *c);
void peers_tick(control_t *c, mstime_t now);
/*
 * peers_send_loan - sends a power loan to the node that borrows.
 */
void peers_send_loan(control_t *c, const char *node, const power_loan_t *loan);
/*
 * peers_publish_roster - gives the present members to scheduler and relay.
 */
void peers_publish_roster(control_t *c, mstime_t now);
/*
 * peers_check_pause - rejoins the fleet when this process was paused. Called
 * before anything is decided.
 */
void peers_check_pause(control_t *c, mstime_t now);
/*
 * peers_random - address of a random other node, or NULL.
 */
const char *peers_random(control_t *c);
/*
 * peers_send_crashes - sends a crash report; returns its bytes, 0 if it was not
 * sent.
 */
size_t peers_send_crashes(control_t *c, const char *to,
			  const peer_crash_report_t *r);
/*
 * peers_gossip_stamp - present wall time in the unit of load gossip, 10 ms.
 */
uint32_t peers_gossip_stamp(void);

/* control_quarantine.c */
void chat_quarantine_start(control_t *c);
void chat_quarantine_stop(control_t *c);
void chat_quarantine_tick(control_t *c, mstime_t now);
void chat_quarantine_receive(control_t *c, const peer_crash_report_t *r,
			     const char *from);
/*
 * chat_quarantine_check - whether a request is held back.
 * @retry_ms: receives the delay after which the caller may retry
 */
bool chat_quarantine_check(control_t *c, const place_query_t *q, mstime_t now,
			   mstime_t *retry_ms);
/*
 * chat_quarantine_record - records that an upstream ended before anything of an
 * answer.
 */
void chat_quarantine_record(control_t *c, const attempt_report_t *r,
			    mstime_t now);
void chat_quarantine_record_answer(control_t *c, const attempt_report_t *r,
				   mstime_t now);

/* control_config.c */
void config_stream_start(control_t *c);
void config_stream_stop(control_t *c);
void config_stream_tick(control_t *c, mstime_t now);
/*
 * config_stream_propose - appends an operator's change to the log; the request
 * is answered once the record is read back, or after a time limit.
 */
void config_stream_propose(control_t *c, http_request_t *req,
			   const config_proposal_t *p);
/*
 * config_stream_operator_disconnected - drops the request of pending changes;
 * the changes themselves stand.
 */
void config_stream_operator_disconnected(control_t *c, http_request_t *req);
/*
 * config_stream_caught_up - whether the stream has been read to its end once
 * and no member reports a later record as applied.
 */
bool config_stream_caught_up(const control_t *c);

/* control_loads.c */
/*
 * load_poll_tick - polls owned upstreams for their load when a round is due.
 */
void load_poll_tick(control_t *c, mstime_t now);

/* control_once.c */
void once_start(control_t *c);
void once_stop(control_t *c);
void once_tick(control_t *c, mstime_t now);
/*
 * once_begin_attempt - answers a claim to a run-once key, now or later, with
 * MSG_ONCE_REPLY.
 */
void once_begin_attempt(control_t *c, const once_claim_t *q);
/*
 * once_end_attempt - records how an attempt ended that was allowed to run.
 */
void once_end_attempt(control_t *c, const once_claim_t *q);

/* control_jobs.c */
void jobs_start(control_t *c);
void jobs_stop(control_t *c);
void jobs_tick(control_t *c, mstime_t now);
/*
 * jobs_submit - appends a job to the log, then answers with MSG_JOB_REPLY.
 */
void jobs_submit(control_t *c, const job_submit_t *q);
/*
 * jobs_query - answers with a job's state, or with the node to ask.
 */
void jobs_query(control_t *c, const job_query_t *q);

/* control_orders.c */
void orders_start(control_t *c);
void orders_stop(control_t *c);
void orders_tick(control_t *c, mstime_t now);
/*
 * orders_check_report - compares an engine's model versions with the configured
 * ones, and notes which engine needs an order.
 * @models: object of model to version, or NULL
 */
void orders_check_report(control_t *c, const upstream_t *u,
			 const json_t *models);

/* control_moves.c */
/*
 * moves_add - queues the move of a chat's cached prefix; dropped when the queue
 * is full.
 */
void moves_add(control_t *c, const sched_move_t *m);
void moves_tick(control_t *c, mstime_t now);

/* operators.c */
bool operators_start(control_t *c);
void operators_stop(control_t *c);
/*
 * operators_reload_tls - reads certificate and key again.
 */
void operators_reload_tls(control_t *c);
/*
 * operators_notify_watchers - writes a changed resource to all open watches of
 * its kind.
 * @r: NULL does nothing
 */
void operators_notify_watchers(control_t *c, const resource_t *r);
/*
 * operators_reply_problem - answers with an application/problem+json body.
 * @ran:    whether the request took effect: "yes", "no" or "unknown"
 * @faults: schema_fault_t *, or NULL
 */
void operators_reply_problem(http_request_t *req, unsigned int status,
			     const char *title, const char *ran,
			     GPtrArray *faults);
/*
 * operators_reply_json - answers with a JSON body.
 * @body: its reference is taken over
 * @etag: NULL for none
 */
void operators_reply_json(http_request_t *req, unsigned int status,
			  json_t *body, const char *etag);

#endif
