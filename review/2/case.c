/*
 * A stream that its upstream ends inside an event looks whole to the caller.
 */
#include "../stand/stand.h"

#include <stdio.h>
#include <string.h>

#define EVENTS 8
#define GAP_MS 40
#define TRIES 6

enum mode { SOUND, STOPS_INSIDE_EVENT };

/* Stops in the middle of an event and ends its answer properly. */
static bool answer_(upstream_t *u, int fd, const request_t *q)
{
	bool stops = u->mode == STOPS_INSIDE_EVENT;
	char last[16];
	int from;

	header_of(q->head, "Last-Event-Id", last, sizeof(last));
	from = *last ? last[0] - '0' : 0;
	note("upstream  %s runs %s from event %d", u->id, q->id, from + 1);
	if (!send_stream_head(u, fd, q))
		return false;
	for (int i = from + 1; i <= EVENTS; i++) {
		char event[TEXT_MAX * 2];

		if (closes_within(fd, GAP_MS))
			return false;
		snprintf(event, sizeof(event), "id: %d\ndata: %s-%d\n\n", i,
			 q->id, i);
		if (stops && i > EVENTS / 2) {
			event[strlen(event) / 2] = '\0';
			note("upstream  %s stops inside event %d of %s", u->id,
			     i, q->id);
			return send_chunk(fd, event) && send_chunk(fd, "");
		}
		if (!send_chunk(fd, event))
			return false;
	}
	note("upstream  %s ends %s whole", u->id, q->id);
	return send_chunk(fd, "");
}

static bool has_last_event_(const outcome_t *o, const char *id)
{
	char last[TEXT_MAX * 2];

	snprintf(last, sizeof(last), "id: %d\ndata: %s-%d\n\n", EVENTS, id,
		 EVENTS);
	return strstr(o->body, last) != NULL;
}

int main(int argc, char **argv)
{
	static const char *const paths[] = { "/once/a", "/again/a" };
	upstream_t *u[2];
	int early = 0;
	int whole = 0;

	stand_init(argc > 1 ? argv[1] : ".");
	store_configure(
		7,
		"{\"name\":\"once\",\"host\":\"" STAND_HOST "\","
		"\"path_prefix\":\"/once/\",\"route_type\":\"streaming\","
		"\"timeout_ms\":8000,\"target_latency_ms\":600,\"priority\":0,"
		"\"service\":\"writer\",\"max_attempts\":1,\"public\":false,"
		"\"session_affinity\":true,\"stream_resume\":false,"
		"\"target_itl_ms\":300},"
		"{\"name\":\"again\",\"host\":\"" STAND_HOST "\","
		"\"path_prefix\":\"/again/\",\"route_type\":\"streaming\","
		"\"timeout_ms\":8000,\"target_latency_ms\":600,\"priority\":0,"
		"\"service\":\"writer\",\"max_attempts\":2,\"public\":false,"
		"\"session_affinity\":true,\"stream_resume\":true,"
		"\"target_itl_ms\":300}",
		"{\"name\":\"writer\",\"health_path\":\"/healthz\","
		"\"max_connections\":360,\"cold_start_s\":0,\"cold_per_s\":0}");
	u[0] = upstream_start("i-1", "writer", "z-1", 64, answer_);
	u[1] = upstream_start("i-2", "writer", "z-2", 64, answer_);
	node_add("node-1", "z-1");
	node_add("node-2", "z-2");
	node_add("node-3", "z-3");
	for (int i = 0; i < node_count; i++)
		node_start(&nodes[i]);
	nodes_wait();
	u[0]->mode = trouble ? STOPS_INSIDE_EVENT : SOUND;
	for (int i = 0; i < 2 * TRIES; i++) {
		char id[TEXT_MAX];
		outcome_t o;

		snprintf(id, sizeof(id), "try%02d", i);
		caller_try(&nodes[i % node_count], "POST", paths[i % 2], id, "",
			   8000, &o);
		if (o.status != 200 || !o.whole)
			continue;
		whole++;
		if (!has_last_event_(&o, id)) {
			note("caller    %s looks complete without its last "
			     "event",
			     id);
			early++;
		}
	}
	if (!whole)
		stand_fail("no stream was served");
	stand_judge(early > 0,
		    "%d of %d streams that look complete lack their last event",
		    early, whole);
}
