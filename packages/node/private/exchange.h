/*
 * exchange - one request, from its arrival to its final answer.
 *
 * A request passes a chain of filters. Each filter passes it on to the next
 * one, answers it, or waits for a message from the control task. Its last
 * filter asks the control task for a placement; the request is then sent to an
 * upstream or forwarded to another node, and sent again after a failure that
 * permits it.
 *
 * An exchange belongs to the relay's thread.
 */
#ifndef KCF_PRIVATE_EXCHANGE_H
#define KCF_PRIVATE_EXCHANGE_H

#include "hop.h"
#include "relay.h"
#include <kcf/counter.h>
#include <kcf/end_proof.h>
#include <kcf/sse.h>

/* Whether a request has run at an upstream, as reported to the caller. */
typedef enum ran {
	RAN_NO,
	RAN_UNKNOWN,
	RAN_YES,
} ran_t;

/* What the path of a request addresses. */
typedef enum route {
	ROUTE_WHERE,
	ROUTE_MODELS,
	ROUTE_CHAT,
	ROUTE_SERVICE,
	ROUTE_JOB,
} route_t;

typedef enum filter_result {
	FILTER_NEXT, /* run the next filter */
	FILTER_WAIT, /* a message or a timer continues the request */
	FILTER_DONE, /* the request was answered */
} filter_result_t;

/* Value of "reason" in a refusal by a node that is not ready. */
extern const char refusal_not_ready[];

/* Why an attempt failed. */
typedef enum failure {
	FAILURE_CONNECT, /* no connection, so nothing was sent */
	FAILURE_MOVED, /* the other node refused: it doesn't own the upstream */
	FAILURE_NODE_DEAD,  /* membership declared the other node dead */
	FAILURE_MISMATCHED, /* answer of another request */
	FAILURE_SILENT,	    /* a stream sent nothing for gap_ms */
	FAILURE_TIMEOUT,
	FAILURE_CONNECTION_LOST,
	FAILURE_EARLY_END,	/* a stream ended without its last event */
	FAILURE_RESUME_REFUSED, /* a resumed stream got another answer */
	FAILURE_UNBOUNDED,	/* an answer or event is longer than allowed */
	FAILURE_DISORDERED,	/* ids of events do not increase */
} failure_t;

/* Indexed by failure_t; written to the trace and the log. */
extern const char *const failure_string[];

/* An answer that is passed on once it is known to be whole. */
typedef struct held_answer {
	int status;
	http_header_t *headers; /* with values of their own */
	end_seen_t end;
	mstime_t asked_at; /* its upstream, last */
} held_answer_t;

typedef struct exchange {
	uint64_t id;
	relay_t *relay;
	http_request_t *req;
	size_t next_filter; /* index */

	/* identify */
	route_t route;
	char request_id[REQUEST_ID_MAX];
	str_t subpath;	       /* path below the service, without the query */
	GString *subpath_text; /* the same with the query; holds subpath */

	/* authorise */
	char customer[SCHED_NAME_MAX];
	double weight; /* of the customer */

	/* classify */
	char service[SCHED_NAME_MAX];
	char model[SCHED_NAME_MAX];
	bool run_once;		/* the service must not run it twice */
	bool wants_stream;	/* the caller asked for a stream */
	bool sticky;		/* the caller named its chat */
	bool echoes_request_id; /* answers must carry the request id */
	uint64_t chat; /* hash of chat, customer, service, model and adapter */
	int urgency;   /* 0 (first) to 7, RFC 9218 */
	mstime_t deadline;
	mstime_t gap_ms;	    /* longest silence within a stream */
	int64_t prompt_tokens;	    /* estimate */
	quarantine_prompt_t prompt; /* keys of a chat's messages, and of the
				       request */

	/* deferred jobs */
	char job[JOB_ID_MAX]; /* ROUTE_JOB: the job whose state is queried */
	bool job_run;	      /* a node runs a deferred job by it */

	/* run-once */
	char once_key[ONCE_KEY_MAX];
	bool holds_claim;    /* this node granted this try the key */
	hop_once_t once_hop; /* from the node that forwarded the request */

	/* place */
	int hop;	 /* nodes that have forwarded the request */
	uint32_t target; /* key of the upstream that another node chose, or 0 */
	uint32_t exclude[SCHED_EXCLUDE_MAX]; /* upstreams that failed */
	int exclude_count;
	char avoid_node[SCHED_NAME_MAX]; /* node that failed, or empty */
	sched_decision_t placement;
	bool placement_pending; /* awaits MSG_PLACE_REPLY */
	bool has_permit; /* the control task counts the request as running */
	int unreachable_nodes;	 /* failed attempts to connect to a node */
	mstime_t owner_deadline; /* end of the wait for an owner; 0 if unset */
	ev_timer retry_timer;	 /* active during the wait for an owner, or
				    before an upstream is asked again */
	const char *reason;	 /* "reason" of a refusal, or NULL */

	/* send and relay */
	http_call_t *call;
	GString *body;	      /* of an answer that is not streamed */
	held_answer_t *held;  /* NULL for none */
	sse_t sse;	      /* parser of the upstream's stream */
	bool streaming;	      /* the head of a stream was sent to the caller */
	bool stream_finished; /* the last event was received */
	bool rejected;	      /* the answer cannot be used */
	failure_t rejected_why;
	bool paused;		/* reading waits for a slow caller */
	bool maybe_sent;	/* some attempt may have reached an upstream */
	bool maybe_sent_before; /* maybe_sent before the present attempt */
	int64_t last_event_id;	/* last event sent to the caller */
	int attempts;
	int retries; /* limited by RETRIES_MAX */
	mstime_t started;
	mstime_t sent_at;	 /* start of the present attempt */
	mstime_t received_at;	 /* last byte from the upstream */
	mstime_t written_at;	 /* last byte to the caller */
	mstime_t first_token_ms; /* after sent_at, or -1 */
	bool head_seen;		 /* of the present attempt's answer */
	uint32_t lost_upstream;	 /* ended before anything of its answer, or 0 */
	int unanswered_ends;	 /* different upstreams that ended like this */
	bool lost_begun;	 /* it had begun to answer */
	/* from the answer's headers: -1, or 0 for the start id, if absent */
	int64_t reported_prompt_tokens;
	int64_t reported_cached_tokens;
	uint64_t reported_start_id;
	ev_timer check_timer; /* acts on call outside of its callbacks */
	GString *trace;	      /* steps for GET /v1/explain, a line each */
} exchange_t;

/*
 * exchange_new - makes an exchange of a request of the callers' server.
 */
exchange_t *exchange_new(relay_t *relay, http_request_t *req);

/*
 * exchange_run - runs filters until one waits or answers.
 */
void exchange_run(exchange_t *x);

/*
 * exchange_end - answers a request that its node can't wait for any more.
 */
void exchange_end(exchange_t *x);

/*
 * exchange_close - ends the exchange once the caller has its answer or has
 * disconnected, and frees it.
 * @whole: the caller received the complete answer
 */
void exchange_close(exchange_t *x, bool whole);

/*
 * exchange_refuse - sends an application/problem+json answer, the last one.
 * A stream that has begun is cut instead.
 * @title: text for people
 * @ran: whether the request may have run, as far as is known
 * @counter: counter of this kind of refusal
 * @retry_ms: time after which the caller may retry; 0 for no advice
 */
void exchange_refuse(exchange_t *x, unsigned int status, const char *title,
		     ran_t ran, counter_t counter, mstime_t retry_ms);

/*
 * exchange_reply_json - sends a JSON answer of the node itself.
 * @body: reference that the function takes over
 */
void exchange_reply_json(exchange_t *x, unsigned int status, json_t *body);

/*
 * exchange_trace - appends one step to the trace of the request.
 */
void exchange_trace(exchange_t *x, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/*
 * exchange_request_placement - asks the control task where to run the request.
 */
void exchange_request_placement(exchange_t *x);

/*
 * exchange_handle_placement - sends or refuses the request as the control task
 * decided.
 */
void exchange_handle_placement(exchange_t *x, const sched_decision_t *a);

/*
 * exchange_handle_once_reply - continues a run-once request after the control
 * task's reply to MSG_ONCE_BEGIN.
 */
void exchange_handle_once_reply(exchange_t *x, const once_reply_t *r);

/*
 * exchange_report_answered - tells the control task that the upstream has begun
 * to answer.
 */
void exchange_report_answered(exchange_t *x);

/*
 * exchange_retry_claim - runs filter_once again, to find the present owner of
 * the run-once key.
 */
void exchange_retry_claim(exchange_t *x);

/*
 * exchange_report_once_end - reports the end of a run-once try to the control
 * task and gives up the claim.
 * @ran: the try may have run
 * @status: of the upstream's answer, 0 if there is none
 */
void exchange_report_once_end(exchange_t *x, bool ran, int status, str_t body,
			      const char *content_type);

/*
 * exchange_handle_job_reply - answers a query of a deferred job, or forwards it
 * to the node that the reply names.
 */
void exchange_handle_job_reply(exchange_t *x, const job_reply_t *r);

/*
 * exchange_handle_where_reply - answers GET /v1/where.
 */
void exchange_handle_where_reply(exchange_t *x, const where_reply_t *w);

/*
 * exchange_post_loads - passes a LOADS_HEADER of another node on to the control
 * task. Empty and overlong values are ignored.
 */
void exchange_post_loads(exchange_t *x, str_t loads);

/*
 * exchange_send - starts an attempt at the upstream or node in x->placement.
 */
void exchange_send(exchange_t *x);

/*
 * exchange_abort - cancels the call, if any, stops the timers and releases the
 * permit.
 */
void exchange_abort(exchange_t *x, sched_result_t result);

/*
 * exchange_check_end - finds out whether the upstream goes on whose answer is
 * held; ends with exchange_end_held. Meanwhile x->call is the call that asks.
 */
void exchange_check_end(exchange_t *x);

/*
 * exchange_end_held - passes the held answer on, or fails the attempt.
 */
void exchange_end_held(exchange_t *x, bool whole);

/*
 * exchange_drop_held - forgets the held answer, if there is one.
 */
void exchange_drop_held(exchange_t *x);

/* Callbacks of the call to an upstream or another node. */
extern const http_call_ops_t exchange_call_ops;

/*
 * exchange_has_claim - whether this try of a run-once request holds its key,
 * granted by this node or by the node that forwarded the request.
 */
bool exchange_has_claim(const exchange_t *x);

/*
 * exchange_release_permit - reports the end of the attempt to the control task,
 * if that counts the request as running.
 */
void exchange_release_permit(exchange_t *x, sched_result_t result);

/*
 * exchange_handle_failure - retries after a failed attempt, or sends the final
 * refusal. A request that may run again is placed again; a stream resumes after
 * the last event that the caller has.
 */
void exchange_handle_failure(exchange_t *x, failure_t why);

/*
 * exchange_wait_for_owner - delays a placement until the nodes agree on the
 * owners of the upstreams. Only the first node of a request waits, so that the
 * waits of several hops do not add up.
 *
 * Return: false when the request was forwarded to this node or its time to
 * wait is over.
 */
bool exchange_wait_for_owner(exchange_t *x);

/*
 * exchange_check_node - fails an attempt at a node that the present roster
 * lists as dead.
 */
void exchange_check_node(exchange_t *x);

/*
 * exchange_check_timeouts - resumes a paused call, sends heartbeats and fails
 * an attempt whose stream is silent; called periodically.
 */
void exchange_check_timeouts(exchange_t *x, mstime_t now);

/* The filters, in their order. */

/*
 * filter_identify - reads request id, route and the headers of a hop.
 */
filter_result_t filter_identify(exchange_t *x);

/*
 * filter_authorise - finds the customer by its bearer key.
 */
filter_result_t filter_authorise(exchange_t *x);

/*
 * filter_classify - finds service, model, deadline and chat; answers what needs
 * no upstream.
 */
filter_result_t filter_classify(exchange_t *x);

/*
 * filter_defer - stores a request as a deferred job when its caller does not
 * wait for the answer ("Prefer: respond-async", RFC 7240).
 */
filter_result_t filter_defer(exchange_t *x);

/*
 * filter_once - claims the idempotency key of a run-once request.
 */
filter_result_t filter_once(exchange_t *x);

/*
 * filter_place - asks for a placement.
 */
filter_result_t filter_place(exchange_t *x);

#endif
