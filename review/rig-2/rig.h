/*
 * rig - what the scripts of this review share: a store, upstreams and nodes as
 * separate processes on loopback addresses, and callers.
 *
 * Nodes are started with the command of deploy/system.toml and with
 * deploy/settings.tmpl filled in as for the smallest deployment. Store and
 * upstreams are the project's stand-ins.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RIG_HOST "site.example"
#define RIG_KEY "key-one"
#define RIG_NODES_MAX 12
#define RIG_UPSTREAMS_MAX 16

enum { RIG_HELD = 0, RIG_BROKEN = 1, RIG_CANNOT_RUN = 2 };

typedef struct rig_node {
	char name[32], zone[16], ip[32];
	char callers[48], readiness[48], admin[48], file[128];
	int pid;
} rig_node_t;

typedef struct rig_upstream {
	char id[32], service[32], zone[16], address[48], version[16];
	int64_t born;
	int pid;
	bool announced; /* and writes its entry each 1.2 s */
	int sequence;
	int64_t next_beat;
} rig_upstream_t;

typedef struct rig_answer {
	int status; /* 0: none */
	bool whole;
	bool event_stream;
	int first_event, last_event; /* of a stream, 0: none */
	bool disordered;	     /* ids of events that are not the next */
	double retry_after_s;	     /* -1: none */
	char text[4096];	     /* begin of the body */
	size_t length;		     /* of the body */
} rig_answer_t;

typedef struct rig_request {
	const char *address; /* of a node */
	const char *method;  /* POST if NULL */
	const char *path;
	const char *id;
	const char *key;     /* RIG_KEY if NULL */
	const char *headers; /* further lines with their ends, or NULL */
	const char *body;    /* "order" if NULL */
	int deadline_ms;     /* time for which the caller waits */
	int *events; /* set to the last event's id as events come, or NULL */
} rig_request_t;

extern bool rig_trouble;
extern rig_node_t rig_nodes[RIG_NODES_MAX];
extern int rig_node_count;
extern rig_upstream_t rig_upstreams[RIG_UPSTREAMS_MAX];
extern int rig_upstream_count;

/* Ends with RIG_CANNOT_RUN where something cannot be started. */
void rig_init(const char *record_file);
void rig_start_store(void);
/* Puts a record; NULL removes the key. */
void rig_put(const char *topic, const char *key, const char *value);
void rig_store_fault(const char *json);
/*
 * Starts an upstream of version v1 and writes its entry.
 * options: of kcf-runner, split at spaces
 */
rig_upstream_t *rig_start_upstream(const char *id, const char *service,
				   const char *zone, const char *options);
void rig_upstream_fault(const rig_upstream_t *u, const char *json);
/* Its process ends; another one starts under its id, of that software version,
 * and answers. It writes nothing until rig_announce.
 */
void rig_end_upstream(rig_upstream_t *u);
void rig_restart_upstream(rig_upstream_t *u, const char *version,
			  const char *options);
/* Writes its entry, and again each 1.2 s while its process runs. */
void rig_announce(rig_upstream_t *u);
/* Starts nodes at once, as many in each of three zones, and waits for them. */
void rig_start_nodes(int count);
void rig_start_node(rig_node_t *n);
bool rig_is_ready(const rig_node_t *n);
void rig_signal(int pid, int number);
/* Kills, and takes the process' end. */
void rig_kill(int *pid);
/* Sends a request and reads its answer. */
rig_answer_t rig_ask(const rig_request_t *r);
/* What an upstream tells of its runs and arrivals, as JSON; to be freed. */
char *rig_stats(const rig_upstream_t *u);

int64_t rig_now_ms(void);
void rig_sleep_ms(int ms);
/* Writes a line with the time to the record. */
void rig_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void rig_cannot_run(const char *why) __attribute__((noreturn));
/* Ends all processes. Return: for main */
int rig_end(int verdict);

#endif
