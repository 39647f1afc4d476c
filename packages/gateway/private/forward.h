/*
 * forward - one request, from its arrival to its final response.
 *
 * A request may take several attempts, each of which sends it to one upstream.
 */
#ifndef KCF_PRIVATE_FORWARD_H
#define KCF_PRIVATE_FORWARD_H

#include "gateway.h"
#include <kcf/coalesce.h>
#include <kcf/end_proof.h>
#include <kcf/sse.h>

/* Attempts of one request, whatever its route allows. */
#define FORWARD_ATTEMPTS_MAX BALANCE_EXCLUDE_MAX

/* Why an attempt failed. */
typedef enum fault {
	FAULT_CONNECT,	  /* nothing was sent */
	FAULT_SHED,	  /* refused, not executed */
	FAULT_INSTANCE,	  /* another instance has the address, not executed */
	FAULT_DISCONNECT, /* the connection broke */
	FAULT_TIMEOUT,	  /* no response in time */
	FAULT_MISMATCH,	  /* response to another request, or unusable */
	FAULT_ERROR,	  /* the upstream returned a server error */
	FAULT_RESUME,	  /* the stream could not be resumed */
	FAULT_UNBOUNDED,  /* more bytes than any response may have */
	FAULT_STALLED,	  /* a stream without events */
	FAULT_INCOMPLETE, /* ended without an error, but not whole */
	FAULT_UNABLE,	  /* another node cannot help, not executed */
	FAULT_DISORDERED, /* ids of events do not increase; never retried */
	FAULT_COUNT,
} fault_t;

/* Parallel to fault_t. */
extern const char *const fault_string[];

/* What marks the end of a response. */
typedef enum framing {
	FRAMING_CONNECTION, /* nothing else does */
	FRAMING_LENGTH,
	FRAMING_CHUNKS,
} framing_t;

/* What a stream that is taken up waits for. */
typedef enum resume_wait {
	RESUME_WAITS_FOR_HOMES,
	RESUME_WAITS_FOR_RECORD,
	RESUME_WAITS_FOR_FEED,
	RESUME_WAITS_FOR_ORIGIN, /* until its first node is sure */
	RESUME_WAITS_FOR_START,	 /* of an upstream, until one is sure */
} resume_wait_t;

/* What becomes of a stream that has to go on. */
typedef enum resume_step {
	RESUME_GOES_ON,
	RESUME_WAITS, /* until heartbeats have told more */
	RESUME_LOST,  /* its version is not known in time, or not where */
} resume_step_t;

/* Tells nodes of requests that one passes on; callers can't form it. */
#define RELAY_HEADER "X-Kcf-Relay"
/* A request is passed to at most this many nodes, one after the other. */
#define RELAY_HELPERS_MAX 3
/* Hexadecimal digits of a nonce and the closing zero. */
#define RELAY_NONCE_SIZE 17
#define RELAY_ANSWER_MAX 64

/* A request of another node's caller, which that node has passed on. */
typedef struct relay_order {
	char from[64]; /* that node's name */
	char nonce[RELAY_NONCE_SIZE];
	int arrivals;		       /* that upstreams may have had before */
	bool may_have_run;	       /* before */
	bool began;		       /* its stream, in this request */
	bool counted;		       /* in that node's retry budget */
	bool accepted;		       /* else nothing has been done for it */
	bool silent;		       /* the last attempt met silence */
	char answer[RELAY_ANSWER_MAX]; /* value of the response's header */
} relay_order_t;

/* The way of a request through another node. */
typedef struct relay_way {
	relay_helper_t *helper; /* counts it as outstanding, or NULL */
	char via[MEMBER_ADDRESS_MAX];
	char nonce[RELAY_NONCE_SIZE];	   /* of the current try */
	bool unable;			   /* what that node said of itself */
	uint32_t tried[RELAY_HELPERS_MAX]; /* keys of nodes */
	int tried_count;
} relay_way_t;

/* The current attempt as a roll-out counts it, see rollout_ops.c. */
typedef struct forward_rollout {
	bool counted; /* its service has a roll-out */
	bool judged;  /* its answer is counted */
	rollout_side_t side;
	uint32_t upstream; /* key */
	bool cold;
	bool may_miss; /* the upstream may lack the prompt */
	fault_t fault; /* why it failed, or FAULT_COUNT */
} forward_rollout_t;

typedef struct end_wait end_wait_t;

/* The end of an answer that only its connection marked, see ends.c. */
typedef struct answer_end {
	end_wait_t *wait; /* while it waits for its proof, or NULL */
	end_seen_t seen;
	mstime_t until; /* it is proven, or does not count */
} answer_end_t;

typedef struct forward {
	gateway_t *gateway;
	http_request_t *req;
	inbound_request_t in;
	route_table_t *table;
	const routing_route_t *route;
	const routing_customer_t *customer; /* NULL on open routes */
	const char *service;
	mstime_t received_at;
	mstime_t deadline; /* of the final response */

	/* attempts so far */
	uint64_t tried_ids[FORWARD_ATTEMPTS_MAX]; /* upstreams' local ids */
	int attempt_count;
	int deliveries; /* attempts that may have reached an upstream */
	bool may_have_run;
	bool met_brittle;	 /* a brittle upstream had no room for it */
	bool suspect;		 /* its upstream crashed, maybe because of it */
	admission_claim_t claim; /* zeroed before it is placed */
	balance_pick_t pick;
	/* Address of the pick's copy_source, which may go before it is used. */
	char copy_source[MEMBER_ADDRESS_MAX];
	char upstream_id[64]; /* of the last attempt, for the log */
	char version[64];     /* of that upstream's software */

	/* the stream, see resumes.c */
	uint64_t stream;	/* its key, 0 if unknown */
	uint32_t bound_version; /* key of the only one that may go on, or 0 */
	bool origin_noted;
	bool origin_told;	   /* other nodes were told of the version */
	resume_wait_t resume_wait; /* while resume_timer runs */
	feed_t awaited;		   /* RESUME_WAITS_FOR_FEED */
	int resume_asks;
	bool resume_asked;	       /* the homes of the stream */
	bool resume_read;	       /* the record of versions */
	bool resume_logged;	       /* the log of streams */
	bool resume_refreshed;	       /* the entries of upstreams */
	uint32_t homes[ORIGINS_ASKED]; /* keys of those that were asked */
	int home_count;
	unsigned int untold; /* bits of those that know nothing of it */
	ev_timer resume_timer;
	balance_begin_t begun; /* without an id if it began elsewhere */
	bool begun_sure;
	mstime_t start_wait_until; /* 0 before it has waited */
	fault_t waiting_fault;	   /* FAULT_COUNT if it is not placed yet */

	/* which start the upstream is, see starts.c */
	http_call_t *question; /* while it is asked */
	int questions;
	bool asked;	       /* the selected upstream */
	int answers_lost;      /* its answers that proved nothing */
	bool moving;	       /* another upstream has it already */
	bool unproven;	       /* the request was not written for that */
	fault_t placing_fault; /* why it was placed; FAULT_COUNT at first */
	bool retry_granted;    /* of the budget, and not used yet */
	bool unplaceable;      /* no start is known that may go on with it */

	/* passed from node to node, see relays.c */
	relay_order_t *order; /* NULL for this node's own callers */
	/* NULL while it is sent to upstreams directly; once it is not, it never
	 * is again.
	 */
	relay_way_t *way;
	bool counted; /* in the retry budget of the node that tried it first */

	/* the current attempt */
	balance_upstream_t
		*selected; /* counts the request as outstanding, or NULL */
	http_call_t *call;
	forward_rollout_t rollout;
	mstime_t sent_at;
	mstime_t first_at; /* first byte of the response, 0 before */
	upstream_response_t response;
	uint64_t connection;	   /* number of that of the last call, or 0 */
	uint64_t connection_order; /* of the request on it, from 1 */
	bool event_seen;	   /* an event, or a part of a plain body */
	framing_t framing;
	mstime_t progress_at;	    /* last event or part of the body */
	int64_t progress_bytes;	    /* received at the first check without
				       progress, or -1 */
	int64_t unproductive_bytes; /* read without progress */
	bool caller_disconnected;   /* before the request was written */
	bool failing; /* to be ended outside of the client's callbacks */
	fault_t failing_fault;
	bool no_alternative; /* stalled, and no other upstream is available */
	backlog_entry_t unsent; /* of the request, what the upstream has not
				   read */
	GString *body;
	answer_end_t end;
	GArray *headers;       /* of a plain answer, or NULL */
	GStringChunk *strings; /* copies of them, or NULL */
	sse_t sse;

	/* the response to the caller */
	bool stream_begun;
	bool event_missing; /* an upstream began one that did not come whole */
	bool unnumbered;    /* no id that the stream could be resumed after */
	bool done;
	coalesce_t coalesce;	/* events held in the caller's stream */
	bool lossy;		/* the caller's connection has lost packets */
	link_watch_t watch;	/* of that connection */
	backlog_entry_t answer; /* what is held for the caller */
	size_t replied_bytes;	/* of a plain body, counted as buffered */
	mstime_t read_on_at;	/* end of the last pause, 0 before */
	int64_t last_event_id;	/* last one sent to the caller, -1 for none */
	const char *outcome;	/* for the log */

	ev_timer deadline_timer;
	ev_timer deferred_timer; /* acts on a call outside of its callbacks */
	ev_timer flush_timer;	 /* writes the events that are held */
	ev_timer overdue_timer;	 /* runs when the response is overdue */
} forward_t;

/* forward.c */

/*
 * forward_accept - begins to serve a request.
 * @order: of the node that has passed it on, taken over; or NULL
 */
void forward_accept(gateway_t *g, http_request_t *req, relay_order_t *order);

/*
 * forward_attempt_failed - records a failed attempt, then retries or ends the
 * request.
 */
void forward_attempt_failed(forward_t *f, fault_t why);

/*
 * forward_record_fault - logs a failed attempt and reports it to the balancer.
 */
void forward_record_fault(forward_t *f, fault_t why);

/*
 * forward_place - sends a request to an upstream for the first time, or refuses
 * it.
 */
void forward_place(forward_t *f);

/*
 * forward_retry - starts another attempt, if one is allowed.
 *
 * Return: false when none is allowed or no upstream is eligible.
 */
bool forward_retry(forward_t *f, fault_t why);

/*
 * forward_retry_or_end - the same, and ends the request when it returns false.
 * @why: FAULT_COUNT for a request that was not sent yet
 */
void forward_retry_or_end(forward_t *f, fault_t why);

/*
 * forward_describe - fills in what the balancer is asked.
 */
void forward_describe(const forward_t *f, balance_request_t *request);

/*
 * forward_move - replaces the current attempt, which is still in progress, by
 * one at another upstream.
 *
 * Return: false when this is not allowed or no other upstream is eligible; the
 * current attempt then continues.
 */
bool forward_move(forward_t *f, fault_t why);

/*
 * forward_log_fault - writes the log line of a failed attempt.
 */
void forward_log_fault(const forward_t *f, const char *upstream, fault_t why);

/*
 * forward_can_retry - whether the route allows the request to run again, at
 * another upstream; does not check the retry budget.
 */
bool forward_can_retry(const forward_t *f);

/*
 * forward_refuse - ends a request with a response of this node's own.
 * @retry_ms: delay for Retry-After, 0 for no such header
 */
void forward_refuse(forward_t *f, unsigned int status, const char *why,
		    counter_t counter, mstime_t retry_ms);

/*
 * forward_release - ends the request at the selected upstream, in the counts
 * of the balancer and of its customer's share.
 */
void forward_release(forward_t *f, balance_outcome_t outcome);

/*
 * forward_drop_body - frees the buffered body of a response.
 */
void forward_drop_body(forward_t *f);

/*
 * forward_complete - marks a request as answered; logs and measures it.
 */
void forward_complete(forward_t *f, unsigned int status, const char *outcome);

/* crashes.c */

/*
 * crashes_check - whether the request is held back, since it or its prompt has
 * crashed upstreams.
 * @retry_ms: receives the delay after which the caller may retry
 */
bool crashes_check(forward_t *f, mstime_t *retry_ms);

/*
 * crashes_refuse_held - refuses the request if it is held back.
 */
bool crashes_refuse_held(forward_t *f);

/*
 * crashes_record - records a failed attempt if its upstream ended as it began
 * to answer.
 *
 * Return: whether the request may be the cause, and is not to be sent again.
 */
bool crashes_record(forward_t *f, fault_t why);

/*
 * crashes_record_answer - records that the answer has begun soundly.
 */
void crashes_record_answer(forward_t *f);

/* relays.c */

/*
 * relays_start - sends the request to another node that reaches upstreams.
 *
 * Return: false if there is none, or the request has come from another node.
 */
bool relays_start(forward_t *f);

/*
 * relays_end_call - the current call to another node is over.
 */
void relays_end_call(forward_t *f);

/*
 * relays_record_fault - logs a failed attempt through another node.
 */
void relays_record_fault(forward_t *f, fault_t why);

/*
 * relays_parse_response - takes what another node says of its response.
 *
 * Return: false if the response is not to this try.
 */
bool relays_parse_response(forward_t *f, http_call_t *call);

/*
 * relays_fault - what the response of a node that cannot help amounts to.
 */
fault_t relays_fault(const forward_t *f);

/*
 * relays_admit - refuses a request of another node if this one cannot help.
 */
bool relays_admit(forward_t *f);

/*
 * relays_answer_header - value of RELAY_HEADER in the response to another node.
 */
const char *relays_answer_header(forward_t *f, unsigned int status);

/* resumes.c */

/*
 * resumes_resolve - finds the version that began a stream which the caller
 * takes up.
 *
 * Return: false if the request waits for other nodes or the platform, and is
 * placed later, or if it was refused.
 */
bool resumes_resolve(forward_t *f);

/*
 * resumes_check - whether a stream that is bound to a version may be sent on.
 */
resume_step_t resumes_check(forward_t *f);

/*
 * resumes_may_move - whether a stream that is not over may be moved now: an
 * upstream of its version is proven, or no proof is wanted. If not, upstreams
 * are asked, so that it may be later.
 */
bool resumes_may_move(forward_t *f);

/*
 * resumes_wait - waits until resumes_check says otherwise, and sends the stream
 * on or ends it.
 * @why: see forward_retry_or_end
 */
void resumes_wait(forward_t *f, fault_t why);

/*
 * resumes_refuse - refuses a stream that may go on once heartbeats have come.
 */
void resumes_refuse(forward_t *f);

/*
 * resumes_wanted_trust - the trust that is wanted in an upstream where a stream
 * goes on: the highest that there is, and never less than may be.
 */
balance_trust_t resumes_wanted_trust(const forward_t *f,
				     const balance_request_t *request);

/*
 * resumes_check_start - notes when the selected upstream, which has sent the
 * first event of an attempt, may not be the start that its entry describes.
 */
void resumes_check_start(const forward_t *f);

/*
 * resumes_bind - binds a stream to the version of the selected upstream, which
 * has sent its first event.
 */
void resumes_bind(forward_t *f);

/* starts.c */

/*
 * starts_send - sends the request to the selected upstream; a stream whose
 * service has several versions once it is known which start it will reach, or
 * to another upstream.
 */
void starts_send(forward_t *f);

/*
 * starts_check - whether the request may be written on its call's connection.
 */
bool starts_check(const forward_t *f);

/*
 * starts_send_again - sends the request once more that was not written since
 * starts_check forbade it.
 */
void starts_send_again(forward_t *f);

/*
 * starts_end_question - cancels the question of a request, if there is one.
 */
void starts_end_question(forward_t *f);

/*
 * starts_may_ask - whether upstreams may still be asked for the request.
 */
bool starts_may_ask(const forward_t *f);

/* rollout_ops.c */

/*
 * rollout_direct - restricts what the balancer is asked to a version.
 */
rollouts_way_t rollout_direct(forward_t *f, balance_request_t *request,
			      mstime_t now);

/*
 * rollout_relax - lifts the restriction if no upstream was found, where that is
 * allowed.
 */
bool rollout_relax(forward_t *f, balance_request_t *request,
		   rollouts_way_t way);

/*
 * rollout_note_sent - the request is sent to the selected upstream.
 */
void rollout_note_sent(forward_t *f, mstime_t now);

/*
 * rollout_note_end - the current attempt is over.
 */
void rollout_note_end(forward_t *f, balance_outcome_t outcome, mstime_t now);

/*
 * rollout_check_wait - counts an answer that has taken too long already.
 */
void rollout_check_wait(forward_t *f, mstime_t now);

/* send.c */

/* Time for which a connection to an upstream may be idle and is used again. */
mstime_t send_idle_max(const balance_upstream_t *u);

/*
 * forward_send - sends the request to the selected upstream. It is not written
 * if its caller has closed the connection by then.
 */
void forward_send(forward_t *f);

/*
 * forward_start_call - begins an attempt.
 */
void forward_start_call(forward_t *f, const http_call_spec_t *spec);

/*
 * forward_record_silence - records that the upstream of the current attempt
 * has sent nothing.
 */
void forward_record_silence(forward_t *f);

/*
 * forward_end_call - cancels the current call; the request still counts as
 * outstanding at the upstream.
 */
void forward_end_call(forward_t *f);

/*
 * forward_cancel - cancels the current call and releases the upstream.
 */
void forward_cancel(forward_t *f, balance_outcome_t outcome);

/* ends.c */

/*
 * ends_check - finds out whether the selected upstream, which has ended its
 * answer with the connection of a call that is done, goes on. answer_end is
 * called later.
 */
void ends_check(forward_t *f, const http_call_t *call);

/*
 * ends_cancel - the request does not wait any more.
 */
void ends_cancel(forward_t *f);

/* answer.c */
extern const http_call_ops_t forward_call_ops;

/*
 * answer_end - ends an answer for which ends_check was called.
 * @whole: false if it has failed
 */
void answer_end(forward_t *f, bool whole);

/*
 * answer_drop_headers - frees the headers of a body whose end waits.
 */
void answer_drop_headers(forward_t *f);

/*
 * forward_check_progress - ends an attempt that receives bytes but makes no
 * progress, and ends or moves a stalled stream.
 */
void forward_check_progress(forward_t *f, mstime_t now);

/*
 * forward_resume_read - resumes a paused response once its caller has read
 * enough, or the pause has lasted too long.
 */
void forward_resume_read(forward_t *f);

/*
 * forward_check_upload - notes what the upstream has read of the request.
 */
void forward_check_upload(forward_t *f, mstime_t now);

#endif
