/*
 * forward - one request from its caller to its final answer.
 */
#ifndef KCF_PRIVATE_FORWARD_H
#define KCF_PRIVATE_FORWARD_H

#include "gateway.h"
#include <kcf/sse.h>

/* Upstreams that one request is tried at, whatever its route allows. */
#define FORWARD_ATTEMPTS_MAX BALANCE_EXCLUDE_MAX

/* Why a sending of a request failed. */
typedef enum fault {
	FAULT_CONNECT,	  /* nothing was sent */
	FAULT_SHED,	  /* refused, not run */
	FAULT_INSTANCE,	  /* another process has the address, not run */
	FAULT_DISCONNECT, /* the connection broke */
	FAULT_TIMEOUT,	  /* no answer in time */
	FAULT_MISMATCH,	  /* answer of another request, or none at all */
	FAULT_ERROR,	  /* the upstream failed it */
	FAULT_RESUME,	  /* the stream could not go on */
	FAULT_UNBOUNDED,  /* bytes without end */
	FAULT_STALLED,	  /* a stream without events */
} fault_t;

/* Parallel to fault_t. */
extern const char *const fault_string[];

typedef struct forward {
	gateway_t *gateway;
	http_request_t *req;
	inbound_request_t in;
	route_table_t *table;
	const routing_route_t *route;
	const routing_customer_t *customer; /* NULL on open routes */
	const char *service;
	mstime_t received_at;
	mstime_t deadline; /* of the final answer */

	/* upstreams */
	uint64_t tried_ids[FORWARD_ATTEMPTS_MAX]; /* numbers */
	int attempt_count;
	int deliveries; /* upstreams that may have got it */
	bool may_have_run;
	balance_pick_t pick;
	char upstream_id[64]; /* the last one it was sent to, for the log */

	/* the present sending */
	balance_upstream_t
		*selected; /* counted as outstanding there, or NULL */
	http_call_t *call;
	mstime_t sent_at;
	mstime_t first_at; /* first byte of the answer, 0 before */
	upstream_response_t response;
	mstime_t progress_at;	  /* last piece of the answer */
	int64_t progress_bytes;	  /* received by some time after it, or -1 */
	bool caller_disconnected; /* the caller, before the request was sent */
	bool failing; /* to be ended outside of the client's functions */
	fault_t failing_fault;
	bool no_alternative; /* stalled, and there is nowhere else to go on */
	GString *body;
	sse_t sse;

	/* the answer */
	bool stream_begun; /* a stream to the caller */
	bool done;
	bool paused;
	int64_t last_event_id; /* that the caller has, -1 for none */
	const char *outcome;   /* for the log */

	ev_timer deadline_timer; /* at the deadline */
	ev_timer deferred_timer; /* ends a broken call */
	ev_timer overdue_timer;	 /* when an answer is overdue */
} forward_t;

/* forward.c */

/*
 * forward_attempt_failed - a sending has failed; sends again or ends the
 * request.
 */
void forward_attempt_failed(forward_t *f, fault_t why);

/*
 * forward_record_fault - the present upstream has failed the request.
 */
void forward_record_fault(forward_t *f, fault_t why);

/*
 * forward_retry - sends the request once more, if it may be.
 *
 * Return: false when it may not, or when no upstream takes it.
 */
bool forward_retry(forward_t *f, fault_t why);

/*
 * forward_move - goes on at another upstream and leaves the present one, which
 * is still at work.
 *
 * Return: false when it may not, or when no other upstream takes it; the
 * present sending goes on then.
 */
bool forward_move(forward_t *f, fault_t why);

/*
 * forward_log_fault - writes the log line of a failed sending.
 */
void forward_log_fault(const forward_t *f, const char *upstream, fault_t why);

/*
 * forward_can_retry - whether the request may run again and is allowed
 * another upstream; the retry budget is not asked.
 */
bool forward_can_retry(const forward_t *f);

/*
 * forward_refuse - ends a request with an answer of this node's own.
 * @retry_ms: when the caller may come back, 0 to say nothing
 */
void forward_refuse(forward_t *f, unsigned int status, const char *why,
		    counter_t counter, mstime_t retry_ms);

/*
 * forward_release - the upstream has no more to do with the request.
 */
void forward_release(forward_t *f, balance_outcome_t outcome);

/*
 * forward_drop_body - forgets what was held of a plain answer.
 */
void forward_drop_body(forward_t *f);

/*
 * forward_complete - the request has its final answer.
 */
void forward_complete(forward_t *f, unsigned int status, const char *outcome);

/* send.c */

/*
 * forward_send - sends the request to its present upstream, unless its caller
 * has left by the time that it would be written.
 */
void forward_send(forward_t *f);

/*
 * forward_end_call - ends the present call; its upstream stays accounted for.
 */
void forward_end_call(forward_t *f);

/*
 * forward_cancel - ends the present sending and frees its place.
 */
void forward_cancel(forward_t *f, balance_outcome_t outcome);

/* answer.c */
extern const http_call_ops_t forward_call_ops;

/*
 * forward_check_progress - ends a sending that brings bytes but no answer.
 */
void forward_check_progress(forward_t *f, mstime_t now);

/*
 * forward_resume_read - goes on with an answer that waited for its caller.
 */
void forward_resume_read(forward_t *f);

#endif
