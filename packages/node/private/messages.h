/*
 * messages - messages between the relay task and the control task of a node.
 *
 * The receiver of a message frees it with message_free. The id of a query, its
 * reply and a placement is that of the relay's exchange.
 */
#ifndef KCF_PRIVATE_MESSAGES_H
#define KCF_PRIVATE_MESSAGES_H

#include <kcf/jobs.h>
#include <kcf/quarantine.h>
#include <kcf/sched.h>
#include <kcf/view.h>

typedef enum message_type {
	/* relay to control */
	MSG_PLACE,	  /* asks for a placement */
	MSG_CANCEL,	  /* withdraws a MSG_PLACE */
	MSG_RELEASE,	  /* how a placed request ended */
	MSG_CRASH,	  /* an upstream ended before anything of an answer */
	MSG_ANSWERED,	  /* an upstream has begun to answer a prompt */
	MSG_WHERE,	  /* GET /v1/where */
	MSG_TRACE,	  /* steps of a closed request, to be kept */
	MSG_LOADS,	  /* value of a LOADS_HEADER */
	MSG_ONCE_BEGIN,	  /* claims a run-once key */
	MSG_ONCE_END,	  /* how a try with a claim ended */
	MSG_JOB_SUBMIT,	  /* stores a deferred job */
	MSG_JOB_QUERY,	  /* state of a deferred job */
	MSG_NODE_REFUSED, /* the host of a node refused a connection */
	/* control to relay */
	MSG_PLACE_REPLY,
	MSG_VIEW,
	MSG_ROSTER,
	MSG_PHASE,	/* main posts it to the control task */
	MSG_RELOAD_TLS, /* read the certificates again; also from main */
	MSG_WHERE_REPLY,
	MSG_ONCE_REPLY,
	MSG_JOB_REPLY, /* to MSG_JOB_SUBMIT and MSG_JOB_QUERY */
} message_type_t;

/* Life cycle of a node. */
typedef enum node_phase {
	PHASE_JOINING,
	PHASE_READY,
	PHASE_LEAVING,
} node_phase_t;

typedef struct roster_entry {
	char *name;
	char *caller_address; /* where the node serves callers */
	bool alive;	      /* not declared dead by the membership */
} roster_entry_t;

/* The known nodes. Immutable once posted; shared by reference count. */
typedef struct roster {
	gint refs;
	GPtrArray *entries; /* roster_entry_t * */
} roster_t;

/*
 * roster_new - an empty roster with one reference.
 */
roster_t *roster_new(void);

/*
 * roster_add - adds a node; the texts are copied.
 */
void roster_add(roster_t *r, const char *name, const char *caller_address,
		bool alive);

/*
 * roster_caller_address - where a node serves callers, or NULL if it is
 * unknown.
 * @r: may be NULL
 */
const char *roster_caller_address(const roster_t *r, const char *name);

/*
 * roster_is_alive - whether a node is known and not declared dead.
 * @r: may be NULL
 */
bool roster_is_alive(const roster_t *r, const char *name);

roster_t *roster_ref(roster_t *r);

/*
 * roster_unref - drops a reference.
 * @r: may be NULL
 */
void roster_unref(roster_t *r);

/* Addresses in MSG_WHERE_REPLY. */
#define WHERE_ADDRESSES_MAX 4
/* Sizes in bytes, with the closing zero. */
#define ADDRESS_MAX 32
#define REQUEST_ID_MAX 64
#define ONCE_KEY_MAX 320

typedef struct place_query {
	sched_request_t request;
	quarantine_prompt_t prompt;
	uint32_t lost_upstream; /* ended before anything of an answer, or 0 */
	bool lost_begun;	/* it had begun to answer */
} place_query_t;

/* What became of an attempt at an upstream, for the quarantine. */
typedef struct attempt_report {
	uint32_t upstream;
	quarantine_prompt_t prompt;
	bool begun; /* MSG_CRASH: the answer had begun */
} attempt_report_t;

typedef struct where_query {
	uint64_t id;
	char service[SCHED_NAME_MAX];
	uint64_t chat; /* hash as in sched_request_t, or 0 */
} where_query_t;

typedef struct where_reply {
	uint64_t id;
	char addresses[WHERE_ADDRESSES_MAX][ADDRESS_MAX];
	int count;
} where_reply_t;

/* Steps of one request, kept for GET /v1/explain. */
typedef struct trace {
	char request_id[REQUEST_ID_MAX];
	GString *steps; /* a line of key=value pairs for each step */
} trace_t;

/* Claim of a run-once key, and the end of the try that held it. */
typedef struct once_claim {
	uint64_t id;
	char key[ONCE_KEY_MAX]; /* customer, service and the caller's key */
	/* MSG_ONCE_BEGIN: forwarded to this node as key owner; resolve here */
	bool resolve_here;
	/* MSG_ONCE_END */
	bool ran;     /* the try may have run */
	int status;   /* of the upstream's answer, 0 if there is none */
	GBytes *body; /* of the upstream's answer, or NULL */
	char content_type[SCHED_NAME_MAX];
} once_claim_t;

typedef enum once_verdict {
	ONCE_RUN,	 /* this try holds the key and may run */
	ONCE_REPLAY,	 /* an earlier try ran; its outcome is attached */
	ONCE_NOT_KEPT,	 /* an earlier try ran; its answer is not known */
	ONCE_UNKNOWN,	 /* an earlier try may have run */
	ONCE_BUSY,	 /* another try is running */
	ONCE_FORWARD,	 /* another node owns the key */
	ONCE_NOT_RUN,	 /* not resolved, but no try of the key has run */
	ONCE_UNRESOLVED, /* not resolved; some try may have run */
	ONCE_EXPIRED,	 /* the key is too old */
} once_verdict_t;

typedef struct once_reply {
	uint64_t id;
	once_verdict_t verdict;
	char key[ONCE_KEY_MAX];
	char node[SCHED_NAME_MAX]; /* ONCE_FORWARD: the key owner */
	/* ONCE_REPLAY: the recorded answer; body may be NULL */
	int status;
	GBytes *body;
	char content_type[SCHED_NAME_MAX];
	mstime_t retry_after_ms; /* for refusals that may be retried */
} once_reply_t;

/* A request to be stored as a deferred job. */
typedef struct job_submit {
	uint64_t id;
	char job[JOB_ID_MAX];
	char customer[SCHED_NAME_MAX];
	char *method;
	char *path; /* with the query */
	char *body;
	char *chat;	/* value of X-Chat-Id, or empty */
	char *once_key; /* value of Idempotency-Key, or empty */
} job_submit_t;

typedef struct job_query {
	uint64_t id;
	char job[JOB_ID_MAX];
	char customer[SCHED_NAME_MAX];
	bool answer_here; /* forwarded to this node; do not forward again */
} job_query_t;

/* An answer, or the node that has it. */
typedef struct job_reply {
	uint64_t id;
	char node[SCHED_NAME_MAX]; /* forward the query there, unless empty */
	unsigned int status;
	GBytes *body;
} job_reply_t;

typedef struct message {
	message_type_t type;
	union {
		place_query_t place;
		attempt_report_t attempt;
		uint64_t cancel;
		sched_outcome_t release;
		where_query_t where;
		trace_t trace;
		char loads[SCHED_LOADS_MAX];
		once_claim_t once;
		sched_decision_t place_reply;
		view_t *view;
		roster_t *roster;
		node_phase_t phase;
		where_reply_t where_reply;
		once_reply_t once_reply;
		job_submit_t job_submit;
		job_query_t job_query;
		job_reply_t job_reply;
		char node[SCHED_NAME_MAX]; /* MSG_NODE_REFUSED */
	};
} message_t;

/*
 * message_new - a message whose content is all zero.
 */
message_t *message_new(message_type_t type);

/*
 * message_free - frees a message with what it still refers to; the receiver
 * clears what it keeps.
 */
void message_free(message_t *m);

#endif
