/*
 * The store comes back from a copy that is some seconds old. Some seconds later
 * one node is killed, and callers take its streams up at the other nodes.
 */
#include "../rig-2/rig.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 7
#define UPSTREAMS 4
#define STREAMS 24
#define EVENTS 40
#define GAP_MS 60
#define DEADLINE_MS 8000
/* Traffic starts so long after the machines do. */
#define LEAD_MS 10000
/* From the return of the store; contact_ms is 3000. */
#ifndef SETTLE_MS
#define SETTLE_MS 6000
#endif
#define COPY_AGE_MS 3000
#define AWAY_MS 500
#define TRIES 3
#define PAUSE_MS 300

static const char manifest[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r-chat\",\"host\":\"" RIG_HOST
	"\",\"path_prefix\":\"/chat/\",\"route_type\":\"streaming\","
	"\"timeout_ms\":8000,\"target_latency_ms\":600,\"priority\":0,"
	"\"service\":\"engines\",\"max_attempts\":2,\"public\":false,"
	"\"session_affinity\":true,\"stream_resume\":true,"
	"\"target_itl_ms\":300}],\"services\":[{\"name\":\"engines\","
	"\"health_path\":\"/healthz\",\"max_connections\":360,"
	"\"protocol\":\"h1\",\"tls_enabled\":false,\"cold_start_s\":0,"
	"\"cold_per_s\":0}],"
	"\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"" RIG_KEY "\"]}]}";

/* The operator writes it again after a drill. */
static void configure(void)
{
	rig_put("keyed.op", "config", manifest);
	rig_record("configuration 1 is written");
}

/* The store is away for a moment, and is then as its copy. */
static void drill(void)
{
	rig_store_fault("{\"copy\":true}");
	rig_record("a copy of the store is taken");
	rig_sleep_ms(COPY_AGE_MS);
	if (rig_trouble) {
		rig_store_fault("{\"busy\":1}");
		rig_sleep_ms(AWAY_MS);
		rig_store_fault("{\"restore\":true}");
		rig_store_fault("{\"busy\":0}");
		rig_record("the store is back, as its copy");
	}
	configure();
}

typedef struct caller {
	int number;
	int events; /* that have come so far */
	rig_answer_t first, last;
	bool taken_up, goes_on;
	pthread_t thread;
} caller_t;

static void ask(caller_t *c, const char *address, const char *id,
		const char *headers, rig_answer_t *a, int *events)
{
	char path[64];
	rig_request_t r = { .address = address,
			    .path = path,
			    .id = id,
			    .headers = headers,
			    .deadline_ms = DEADLINE_MS,
			    .events = events };

	snprintf(path, sizeof(path), "/chat/stream/%d", c->number);
	*a = rig_ask(&r);
}

static void *run(void *arg)
{
	caller_t *c = arg;
	char id[32];

	snprintf(id, sizeof(id), "first-%d", c->number);
	ask(c, rig_nodes[0].callers, id, NULL, &c->first, &c->events);
	rig_record("%s at %s: status %d, events 1 to %d, %s", id,
		   rig_nodes[0].name, c->first.status, c->first.last_event,
		   c->first.whole ? "whole" : "broken off");
	if (c->first.whole || !c->first.last_event)
		return NULL;
	c->taken_up = true;
	for (int i = 0; i < TRIES && !c->goes_on; i++) {
		rig_node_t *n = &rig_nodes[1 + (c->number + i) % (NODES - 1)];
		char again[32], headers[128];

		if (i)
			rig_sleep_ms(
				c->last.retry_after_s > 0
					? (int)(c->last.retry_after_s * 1000)
					: PAUSE_MS);
		snprintf(again, sizeof(again), "again-%d-%d", c->number, i + 1);
		snprintf(headers, sizeof(headers),
			 "Last-Event-Id: %d\r\nResumes: %s\r\n",
			 c->first.last_event, id);
		ask(c, n->callers, again, headers, &c->last, NULL);
		c->goes_on = c->last.status == 200 &&
			     c->last.first_event == c->first.last_event + 1;
		rig_record("%s takes %s up after %d at %s: status %d, events "
			   "%d to %d, %s%s",
			   again, id, c->first.last_event, n->name,
			   c->last.status, c->last.first_event,
			   c->last.last_event,
			   c->last.whole ? "whole" : "broken off",
			   c->last.status == 200 ? "" : c->last.text);
	}
	return NULL;
}

static void *run_new(void *arg)
{
	caller_t *c = arg;
	rig_node_t *n = &rig_nodes[1 + c->number % (NODES - 1)];
	char id[32];

	snprintf(id, sizeof(id), "new-%d", c->number);
	ask(c, n->callers, id, NULL, &c->first, NULL);
	c->goes_on = c->first.status == 200 && c->first.first_event == 1;
	rig_record("%s at %s: status %d, events %d to %d, %s", id, n->name,
		   c->first.status, c->first.first_event, c->first.last_event,
		   c->first.whole ? "whole" : "broken off");
	return NULL;
}

int main(int argc, char **argv)
{
	static caller_t old[STREAMS], fresh[STREAMS];
	int waiting = STREAMS, taken_up = 0, go_on = 0, begun = 0;
	char options[64];

	rig_init(argc > 1 ? argv[1] : "record.txt");
	rig_start_store();
	configure();
	snprintf(options, sizeof(options), "--events %d --gap-ms %d --slots 64",
		 EVENTS, GAP_MS);
	for (int i = 0; i < UPSTREAMS; i++) {
		char id[32], zone[16];

		snprintf(id, sizeof(id), "engine-%d", i + 1);
		snprintf(zone, sizeof(zone), "baires-%c", 'a' + i % 3);
		rig_start_upstream(id, "engines", zone, options);
	}
	rig_start_nodes(NODES);
	rig_sleep_ms(LEAD_MS);
	drill();
	rig_sleep_ms(SETTLE_MS);

	for (int i = 0; i < STREAMS; i++) {
		old[i].number = i;
		pthread_create(&old[i].thread, NULL, run, &old[i]);
	}
	for (int i = 0; i < 200 && waiting; i++) {
		rig_sleep_ms(10);
		waiting = 0;
		for (int k = 0; k < STREAMS; k++)
			waiting += old[k].events < 5;
	}
	if (waiting)
		rig_cannot_run("streams have not begun");
	rig_record("%s is killed", rig_nodes[0].name);
	rig_kill(&rig_nodes[0].pid);
	for (int i = 0; i < STREAMS; i++) {
		fresh[i].number = i;
		pthread_create(&fresh[i].thread, NULL, run_new, &fresh[i]);
	}
	rig_sleep_ms(500);
	rig_start_node(&rig_nodes[0]);
	for (int i = 0; i < STREAMS; i++) {
		pthread_join(old[i].thread, NULL);
		pthread_join(fresh[i].thread, NULL);
		taken_up += old[i].taken_up;
		go_on += old[i].goes_on;
		begun += fresh[i].goes_on;
	}
	rig_record("%d of %d streams that were taken up go on, %d of %d new "
		   "ones begin",
		   go_on, taken_up, begun, STREAMS);
	if (taken_up < 12 || !begun)
		rig_cannot_run("too few streams");
	return rig_end((double)go_on / taken_up < 0.5 * begun / STREAMS
			       ? RIG_BROKEN
			       : RIG_HELD);
}
