/*
 * stand - what a case needs besides the nodes: a store, upstreams, callers,
 * and a record of what was sent, answered and run.
 *
 * All of them are threads of the case's process; nodes are processes of their
 * own. Every case has addresses in 127/8 of its own.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define STAND_HOST "site.example"
#define STAND_KEY "key-of-acme"
#define STAND_TENANT "acme"
#define TEXT_MAX 192
#define HEAD_MAX 32768
#define NODES_MAX 8
#define UPSTREAMS_MAX 8
#define HEARTBEAT_MS 1200

/* Exit status of a case. */
#define HELD 0
#define BROKEN 1
#define CANNOT_RUN 2

typedef struct request {
	char head[HEAD_MAX]; /* request line and headers */
	char *body;
	size_t body_len;
	char method[16];
	char target[256];
	char id[TEXT_MAX];
} request_t;

typedef struct upstream upstream_t;

struct upstream {
	char id[TEXT_MAX];
	char service[32];
	char zone[32];
	char version[32];
	char address[32];
	char state[16];
	int64_t born;
	int64_t sequence;
	int slots;
	int running;
	bool checks_in; /* writes its entry */
	bool in_store;	/* its entry is there */
	/* Answers one request on a connection; false closes it. */
	bool (*answer)(upstream_t *u, int fd, const request_t *q);
	int mode; /* of the case */
};

typedef struct node {
	char name[32];
	char zone[32];
	char ip[32];
	char callers[32];
	char readiness[32];
	pid_t pid; /* 0 while it does not run */
} node_t;

/* The outcome of one try of a caller. */
typedef struct outcome {
	int status;	/* 0 without an answer */
	bool whole;	/* the answer ended as its framing says */
	bool is_signed; /* with Response-Signature */
	int64_t ms;	/* until the end */
	char body[4096];
	size_t body_len;
} outcome_t;

extern bool trouble; /* false with TROUBLE=0 */
extern node_t nodes[NODES_MAX];
extern int node_count;

/* Reads TROUBLE, opens record.txt in folder, chooses addresses, starts the
 * store.
 */
void stand_init(const char *folder);
/* Ends all processes and the case. */
void stand_exit(int status) __attribute__((noreturn));
/* Judges: BROKEN with a line in the record, or HELD. */
void stand_judge(bool broken, const char *fmt, ...)
	__attribute__((noreturn, format(printf, 2, 3)));
void stand_fail(const char *fmt, ...)
	__attribute__((noreturn, format(printf, 1, 2)));

int64_t now_ms(void);
int64_t wall_ms(void);
void sleep_ms(int64_t ms);
void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

void store_put(const char *topic, const char *key, const char *value);
void store_drop(const char *topic, const char *key);
/* Writes a configuration with the given JSON routes and services. */
void store_configure(int version, const char *routes, const char *services);

upstream_t *
upstream_start(const char *id, const char *service, const char *zone, int slots,
	       bool (*answer)(upstream_t *u, int fd, const request_t *q));
/* Writes the entry now, as the upstream's next check-in. */
void upstream_check_in(upstream_t *u);

void node_add(const char *name, const char *zone);
void node_start(node_t *n);
/* Waits until all nodes are ready and know each other. */
void nodes_wait(void);
bool node_is_ready(const node_t *n);

/* Value of a header in a head, empty if absent. */
void header_of(const char *head, const char *name, char *out, size_t max);
bool send_all(int fd, const void *data, size_t len);
bool send_text(int fd, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* A plain answer with the headers of a sound upstream and some more. */
bool send_plain(const upstream_t *u, int fd, const request_t *q, int status,
		const char *more, const char *body);
/* Head of a stream in chunks; then its chunks. */
bool send_stream_head(const upstream_t *u, int fd, const request_t *q);
bool send_chunk(int fd, const char *text);
/* Whether the other side closes within some time. */
bool closes_within(int fd, int64_t ms);

/* One try of a caller on a channel of its own, recorded. */
void caller_try(const node_t *n, const char *method, const char *path,
		const char *id, const char *headers, int64_t limit_ms,
		outcome_t *o);
/* A connection to "ip:port", or -1. */
int connect_to(const char *address);

#endif
