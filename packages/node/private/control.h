/*
 * control - the task that owns membership, configuration and decisions.
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
#include <kcf/settings.h>
#include <kcf/task.h>

/* A change that an operator waits for. */
typedef struct pending_change {
	char id[64];
	http_request_t *req; /* NULL once the operator is gone */
	resource_kind_t kind;
	char *name;
	bool deletes;
	mstime_t deadline;
} pending_change_t;

/* An operator's stream of changes. */
typedef struct watcher {
	http_request_t *req;
	resource_kind_t kind; /* KIND_COUNT for all */
} watcher_t;

struct once_book;
struct job_book;
struct order_desk;

typedef struct control {
	task_t task;
	relay_t *relay;
	const settings_t *settings;
	uint64_t incarnation;
	node_phase_t phase;
	mstime_t leave_at; /* end of a graceful stop, or 0 */
	mstime_t ready_at; /* earliest time of being ready */
	void (*stopped)(void *arg);
	void *stopped_arg;

	http_client_t http;
	http_server_t operators;
	ev_timer tick;
	ev_timer pump; /* while requests wait */

	/* peers */
	int socket;
	ev_io socket_io;
	members_t members;
	budget_t budget;
	bool roster_changed;
	bool isolated;
	mstime_t next_hosts;
	mstime_t next_push;
	guint push_cursor;
	mstime_t next_push_all;
	uint64_t pushed_sum;
	host_list_client_t hosts;

	/* configuration */
	config_t config;
	log_client_t log;
	uint64_t scan_next; /* where the search for a snapshot goes on */
	bool log_reading;
	bool log_ok;	/* the last read succeeded */
	bool caught_up; /* the end of the stream has been seen */
	mstime_t next_read;
	mstime_t next_keep;
	mstime_t next_catch_up;
	GHashTable *changes; /* id to pending_change_t * */
	GPtrArray *watchers; /* watcher_t * */

	/* decisions */
	sched_t sched;
	mstime_t next_loads;
	guint load_rounds;
	guint poll_cursor;
	GHashTable *polling; /* keys of upstreams whose report is awaited */

	/* run-once */
	struct once_book *once;
	struct job_book *jobs;
	struct order_desk *orders;

	/* cached prefixes on the move */
	GQueue *moves; /* sched_move_t * */
	int moving;
	double moves_saved; /* that may be started now */
	mstime_t moves_filled;

	/* explanations */
	GHashTable *traces; /* request id to GString * */
	GQueue *trace_order;
} control_t;

/*
 * control_init - prepares the task.
 * @stopped: called on the task's thread once a graceful stop is complete
 */
void control_init(control_t *c, const settings_t *settings,
		  uint64_t incarnation, void (*stopped)(void *arg), void *arg);
bool control_start(control_t *c, relay_t *relay);
void control_stop(control_t *c);
void control_finish(control_t *c);

/*
 * control_rejoin - makes a ready node a joining one until a time.
 */
void control_rejoin(control_t *c, mstime_t until);

/*
 * control_leave - begins a graceful stop; to be posted through the task.
 */
void control_leave(control_t *c);

/* control_peers.c */
bool peers_start(control_t *c);
void peers_stop(control_t *c);
void peers_tick(control_t *c, mstime_t now);
void peers_send_loan(control_t *c, const char *node, const power_loan_t *loan);
void peers_roster(control_t *c, mstime_t now);
/*
 * peers_check_pause - joins anew when the process stood still; to be called
 * before anything is decided.
 */
void peers_check_pause(control_t *c, mstime_t now);
/*
 * peers_stamp - present wall time as in load gossip.
 */
uint32_t peers_stamp(void);

/* control_config.c */
void stream_start(control_t *c);
void stream_stop(control_t *c);
void stream_tick(control_t *c, mstime_t now);
/*
 * stream_propose - appends an operator's change and remembers who waits.
 */
void stream_propose(control_t *c, http_request_t *req,
		    const config_proposal_t *p);
void stream_operator_gone(control_t *c, http_request_t *req);
/*
 * stream_caught_up - whether the configuration is as new as any heard of.
 */
bool stream_caught_up(const control_t *c);

/* control_loads.c */
void loads_tick(control_t *c, mstime_t now);

/* control_once.c */
void once_start(control_t *c);
void once_stop(control_t *c);
void once_tick(control_t *c, mstime_t now);
void once_begin(control_t *c, const once_claim_t *q);
void once_end(control_t *c, const once_claim_t *q);

/* control_jobs.c */
void jobs_start(control_t *c);
void jobs_stop(control_t *c);
void jobs_tick(control_t *c, mstime_t now);
void jobs_submit(control_t *c, const job_submit_t *q);
void jobs_ask(control_t *c, const job_query_t *q);

/* control_orders.c */
void orders_start(control_t *c);
void orders_stop(control_t *c);
void orders_tick(control_t *c, mstime_t now);
/*
 * orders_take_report - compares an engine's model versions with those wanted.
 * @models: object of model to version, or NULL
 */
void orders_take_report(control_t *c, const upstream_t *u,
			const json_t *models);

/* control_moves.c */
void moves_add(control_t *c, const sched_move_t *m);
void moves_tick(control_t *c, mstime_t now);

/* operators.c */
bool operators_start(control_t *c);
void operators_stop(control_t *c);
void operators_reload_tls(control_t *c);
void operators_notify(control_t *c, const resource_t *r);
void operators_problem(http_request_t *req, unsigned int status,
		       const char *title, const char *ran, GPtrArray *faults);
void operators_json(http_request_t *req, unsigned int status, json_t *body,
		    const char *etag);

#endif
