/*
 * exchange - one request from its caller to its final answer.
 *
 * A request runs through a chain of filters. Each filter either lets it pass,
 * answers it, or waits for a message after which the chain goes on.
 */
#ifndef KCF_PRIVATE_EXCHANGE_H
#define KCF_PRIVATE_EXCHANGE_H

#include "hop.h"
#include "relay.h"
#include <kcf/counter.h>
#include <kcf/sse.h>

/* Whether a request has run at an upstream, as told to the caller. */
typedef enum ran {
	RAN_NO,
	RAN_UNKNOWN,
	RAN_YES,
} ran_t;

typedef enum route {
	ROUTE_WHERE,
	ROUTE_MODELS,
	ROUTE_CHAT,
	ROUTE_SERVICE,
	ROUTE_JOB,
} route_t;

typedef enum filter_result {
	FILTER_NEXT, /* go on with the next filter */
	FILTER_WAIT, /* exchange_continue will be called */
	FILTER_DONE, /* the request has its answer */
} filter_result_t;

/* Reason of a refusal by a node that is not ready. */
extern const char refusal_not_ready[];

/* Why an attempt has failed. */
typedef enum failure {
	FAILURE_CONNECT,   /* nothing was sent */
	FAILURE_MOVED,	   /* the other node does not own the upstream */
	FAILURE_NODE_DEAD, /* the other node is dead */
	FAILURE_MISMATCHED,
	FAILURE_SILENT,
	FAILURE_TIMEOUT,
	FAILURE_CONNECTION_LOST,
	FAILURE_EARLY_END,
	FAILURE_RESUME_REFUSED,
} failure_t;

/* Parallel to failure_t. */
extern const char *const failure_string[];

typedef struct exchange {
	uint64_t id;
	relay_t *relay;
	http_request_t *req;
	size_t next_filter; /* index of the filter that is next */

	/* identify */
	route_t route;
	char request_id[REQUEST_ID_MAX];
	str_t subpath; /* below the service, query included */
	GString *subpath_text;

	/* authorise */
	char customer[SCHED_NAME_MAX];
	double weight;

	/* classify */
	char service[SCHED_NAME_MAX];
	char model[SCHED_NAME_MAX];
	bool run_once;
	bool wants_stream; /* the caller asked for a stream */
	bool sticky;
	bool echoes_request_id;
	uint64_t chat;
	int urgency;
	mstime_t deadline;
	mstime_t gap_ms;
	int64_t prompt_tokens;

	/* deferred jobs */
	char job[JOB_ID_MAX]; /* that is asked for, or that this is the run of
			       */
	bool job_run;

	/* run-once */
	char once_key[ONCE_KEY_MAX];
	bool holds_claim;    /* this try is the one that may run */
	hop_once_t once_hop; /* as told by the node that handed it on */

	/* place */
	int hop;
	uint32_t target;
	uint32_t exclude[SCHED_EXCLUDE_MAX];
	int exclude_count;
	char avoid_node[SCHED_NAME_MAX];
	sched_answer_t placement;
	bool placement_pending;	 /* a question is open at the control task */
	bool has_permit;	 /* the control task counts it as running */
	int unreachable_nodes;	 /* that could not be reached */
	mstime_t owner_deadline; /* end of waiting for an owner; 0 before */
	ev_timer retry_timer;	 /* while it waits for an owner */
	const char *reason;	 /* of a refusal, for programs; NULL for none */

	/* send and relay */
	http_call_t *call;
	GString *body; /* of an answer that is not streamed */
	sse_t sse;
	bool streaming;	      /* the head of a stream has gone to the caller */
	bool stream_finished; /* the last event was seen */
	bool mismatched;      /* the answer belongs to another request */
	bool paused;
	bool maybe_sent; /* bytes may have reached an upstream at some time */
	bool maybe_sent_before; /* the same before this attempt */
	int64_t last_event_id;
	int attempts;
	int retries; /* after attempts that may have reached an upstream */
	mstime_t started;
	mstime_t sent_at;
	mstime_t received_at; /* last byte from upstream */
	mstime_t written_at;  /* last byte to the caller */
	mstime_t first_token_ms;
	int64_t reported_prompt_tokens;
	int64_t reported_cached_tokens;
	uint64_t reported_start_id;
	ev_timer check_timer; /* looks at the call outside of its own functions
			       */
	GString *trace;
} exchange_t;

/*
 * exchange_new - takes a request of the callers' server.
 */
exchange_t *exchange_new(relay_t *relay, http_request_t *req);

/*
 * exchange_run - runs filters until one waits or answers.
 */
void exchange_run(exchange_t *x);

/*
 * exchange_close - the caller is gone or has its answer; frees the exchange.
 */
void exchange_close(exchange_t *x, bool whole);

/*
 * exchange_refuse - final problem answer.
 * @counter: counter of the refusal's kind
 * @retry_ms: time after which the caller may come back; 0 for none
 */
void exchange_refuse(exchange_t *x, unsigned int status, const char *title,
		     ran_t ran, counter_t counter, mstime_t retry_ms);

/*
 * exchange_reply_json - final JSON answer of the node itself.
 */
void exchange_reply_json(exchange_t *x, unsigned int status, json_t *body);

/*
 * exchange_trace - notes one step for the explanation of the request.
 */
void exchange_trace(exchange_t *x, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/*
 * exchange_request_placement - asks the control task for a place.
 */
void exchange_request_placement(exchange_t *x);

/*
 * exchange_handle_placement - takes the control task's answer.
 */
void exchange_handle_placement(exchange_t *x, const sched_answer_t *a);

/*
 * exchange_handle_once_reply - takes the answer on a run-once key.
 */
void exchange_handle_once_reply(exchange_t *x, const once_reply_t *r);

/*
 * exchange_retry_claim - asks once more who settles the run-once key.
 */
void exchange_retry_claim(exchange_t *x);

/*
 * exchange_report_once_end - tells the control task how a run-once try ended.
 */
void exchange_report_once_end(exchange_t *x, bool ran, int status, str_t body,
			      const char *content_type);

/*
 * exchange_handle_job_reply - takes the answer on a deferred job.
 */
void exchange_handle_job_reply(exchange_t *x, const job_reply_t *r);

/*
 * exchange_handle_where_reply - takes the addresses for a caller.
 */
void exchange_handle_where_reply(exchange_t *x, const where_reply_t *w);

/*
 * exchange_post_loads - hands loads that another node told to the control
 * task.
 */
void exchange_post_loads(exchange_t *x, str_t loads);

/*
 * exchange_send - starts the call to the place given.
 */
void exchange_send(exchange_t *x);

/*
 * exchange_abort - closes the call, if there is one, and gives up the permit.
 */
void exchange_abort(exchange_t *x, sched_result_t result);

/* What a call to an upstream or another node tells the exchange. */
extern const http_call_ops_t exchange_call_ops;

/*
 * exchange_has_claim - whether this node may let a run-once request run.
 */
bool exchange_has_claim(const exchange_t *x);

/*
 * exchange_release_permit - gives the permit back, if there is one.
 */
void exchange_release_permit(exchange_t *x, sched_result_t result);

/*
 * exchange_handle_failure - an attempt has failed. What may run again is placed
 * again; a stream goes on from the last event that the caller has. Else the
 * request gets its final answer.
 */
void exchange_handle_failure(exchange_t *x, failure_t why);

/*
 * exchange_wait_for_owner - lets a request of which nothing was sent wait until
 * the nodes agree who owns the upstreams. Only the caller's first node waits,
 * so that waits do not add up along the hops.
 *
 * Return: false when it must not wait, or has waited for long enough.
 */
bool exchange_wait_for_owner(exchange_t *x);

/*
 * exchange_check_node - a new roster is in force: fails an attempt at a node
 * that is dead.
 */
void exchange_check_node(exchange_t *x);

/*
 * exchange_check_timeouts - looks at silence, deadlines and heartbeats.
 */
void exchange_check_timeouts(exchange_t *x, mstime_t now);

/* The filters, in order. */
filter_result_t filter_identify(exchange_t *x);
filter_result_t filter_authorise(exchange_t *x);
filter_result_t filter_classify(exchange_t *x);
filter_result_t filter_defer(exchange_t *x);
filter_result_t filter_once(exchange_t *x);
filter_result_t filter_place(exchange_t *x);

#endif
