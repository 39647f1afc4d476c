/*
 * messages - what the tasks of a node post to each other.
 *
 * A message is one allocation that its receiver frees with message_free.
 */
#ifndef KCF_PRIVATE_MESSAGES_H
#define KCF_PRIVATE_MESSAGES_H

#include <kcf/jobs.h>
#include <kcf/sched.h>
#include <kcf/view.h>

typedef enum message_type {
	/* relay to control */
	MSG_PLACE,
	MSG_CANCEL,
	MSG_RELEASE,
	MSG_WHERE,
	MSG_TRACE,
	MSG_LOADS,
	MSG_ONCE_BEGIN,
	MSG_ONCE_END,
	MSG_JOB_SUBMIT,
	MSG_JOB_QUERY,
	MSG_NODE_REFUSED, /* a node's host refused a connection */
	/* control to relay */
	MSG_PLACE_ANSWER,
	MSG_VIEW,
	MSG_ROSTER,
	MSG_PHASE,
	MSG_RELOAD_TLS, /* certificates are to be read again */
	MSG_WHERE_ANSWER,
	MSG_ONCE_ANSWER,
	MSG_JOB_ANSWER,
} message_type_t;

/* Life of a node. */
typedef enum node_phase {
	PHASE_JOINING,
	PHASE_READY,
	PHASE_LEAVING,
} node_phase_t;

/* Callers' addresses of the nodes; immutable, shared by reference count. */
typedef struct roster_entry {
	char *name;
	char *caller_address;
	bool alive; /* not held dead */
} roster_entry_t;

typedef struct roster {
	gint refs;
	GPtrArray *entries; /* roster_entry_t * */
} roster_t;

roster_t *roster_new(void);
void roster_add(roster_t *r, const char *name, const char *callers, bool alive);
const char *roster_caller_address(const roster_t *r, const char *name);
bool roster_is_alive(const roster_t *r, const char *name);
roster_t *roster_ref(roster_t *r);
void roster_unref(roster_t *r);

/* Addresses in MSG_WHERE_ANSWER. */
#define WHERE_ADDRESSES_MAX 4
#define ADDRESS_MAX 32
#define REQUEST_ID_MAX 64
#define ONCE_KEY_MAX 320

typedef struct where_query {
	uint64_t id;
	char service[SCHED_NAME_MAX];
	uint64_t chat;
} where_query_t;

typedef struct where_reply {
	uint64_t id;
	char addresses[WHERE_ADDRESSES_MAX][ADDRESS_MAX];
	int count;
} where_reply_t;

/* How one request went, kept for operators' questions. */
typedef struct trace {
	char request_id[REQUEST_ID_MAX];
	GString *steps; /* one line of key=value pairs a step */
} trace_t;

/* What a run-once request asks of the record of its key. */
typedef struct once_claim {
	uint64_t id;
	char key[ONCE_KEY_MAX]; /* customer, service and the caller's key */
	bool resolve_here; /* MSG_ONCE_BEGIN: another node wants it settled here
			    */
	bool ran;	   /* MSG_ONCE_END: whether it may have run */
	int status;	   /* of the upstream's answer, 0 for none */
	GBytes *body;	   /* of the upstream's answer, or NULL */
	char content_type[SCHED_NAME_MAX];
} once_claim_t;

typedef enum once_verdict {
	ONCE_RUN,	 /* this try is the one that runs */
	ONCE_REPLAY,	 /* it ran before; the outcome is given */
	ONCE_UNKNOWN,	 /* it may have run */
	ONCE_BUSY,	 /* another try is running now */
	ONCE_FORWARD,	 /* another node settles this key */
	ONCE_NOT_RUN,	 /* cannot be settled now; the key has not run */
	ONCE_UNRESOLVED, /* cannot be settled now; the key may have run */
	ONCE_EXPIRED,	 /* the key is too old */
} once_verdict_t;

typedef struct once_reply {
	uint64_t id;
	once_verdict_t verdict;
	char key[ONCE_KEY_MAX];
	char node[SCHED_NAME_MAX]; /* ONCE_FORWARD */
	int status;
	GBytes *body;
	char content_type[SCHED_NAME_MAX];
	mstime_t retry_after_ms;
} once_reply_t;

/* A request to be kept as a deferred job. */
typedef struct job_submit {
	uint64_t id;
	char job[JOB_ID_MAX];
	char customer[SCHED_NAME_MAX];
	char *method;
	char *path;
	char *body;
	char *chat;
	char *once_key;
} job_submit_t;

typedef struct job_query {
	uint64_t id;
	char job[JOB_ID_MAX];
	char customer[SCHED_NAME_MAX];
	bool answer_here; /* another node wants it answered here */
} job_query_t;

/* Either a node to ask, or an answer. */
typedef struct job_reply {
	uint64_t id;
	char node[SCHED_NAME_MAX];
	unsigned int status;
	GBytes *body;
} job_reply_t;

typedef struct message {
	message_type_t type;
	union {
		sched_request_t place;
		uint64_t cancel;
		sched_outcome_t release;
		where_query_t where;
		trace_t trace;
		char loads[SCHED_LOADS_MAX];
		once_claim_t once;
		sched_answer_t place_answer;
		view_t *view;
		roster_t *roster;
		node_phase_t phase;
		where_reply_t where_reply;
		once_reply_t once_reply;
		job_submit_t job_submit;
		job_query_t job_query;
		job_reply_t job_reply;
		char node[SCHED_NAME_MAX];
	};
} message_t;

message_t *message_new(message_type_t type);
void message_free(message_t *m);

#endif
