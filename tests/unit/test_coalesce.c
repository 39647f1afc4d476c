#include "suites.h"

#include <glib.h>
#include <kcf/coalesce.h>
#include <kcf/link_loss.h>

#define START 5000
#define EVENTS 40
#define EVENT_BYTES 30
#define PACKET_MAX_BYTES 1460
#define GAP_MS 300

/* Streams with an event each so many milliseconds. Guards against events that
 * are later than allowed, pauses that callers do not accept, and a first event
 * that waits.
 */
static const struct {
	mstime_t hold_ms;
	coalesce_on_t on;
	bool lossy;
	bool urgent;
	mstime_t gap_ms;
	mstime_t interval_ms;
	size_t bytes;
	int writes_min; /* by the stream's end, which writes the rest */
	int writes_max;
	mstime_t delay_max_ms; /* of any event */
} streams[] = {
	/* off, and connections without loss */
	{ 0, COALESCE_ON_ALL, true, false, GAP_MS, 10, EVENT_BYTES, 40, 40, 0 },
	{ 80, COALESCE_ON_LOSS, false, false, GAP_MS, 10, EVENT_BYTES, 40, 40,
	  0 },
	/* a route that names no longest pause */
	{ 80, COALESCE_ON_ALL, true, false, 0, 10, EVENT_BYTES, 40, 40, 0 },
	/* comments, and streams of other nodes' callers */
	{ 80, COALESCE_ON_ALL, true, true, GAP_MS, 10, EVENT_BYTES, 40, 40, 0 },
	/* fewer packets */
	{ 80, COALESCE_ON_LOSS, true, false, GAP_MS, 10, EVENT_BYTES, 4, 7,
	  80 },
	{ 80, COALESCE_ON_ALL, false, false, GAP_MS, 30, EVENT_BYTES, 12, 15,
	  80 },
	{ 1000, COALESCE_ON_ALL, false, false, 10000, 10, EVENT_BYTES, 4, 7,
	  COALESCE_HOLD_MAX_MS },
	/* short pauses only */
	{ 80, COALESCE_ON_ALL, false, false, 40, 5, EVENT_BYTES, 10, 14, 20 },
	/* pauses of the stream's own leave no time */
	{ 80, COALESCE_ON_ALL, false, false, GAP_MS, 160, EVENT_BYTES, 40, 40,
	  0 },
	/* full packets do not wait */
	{ 80, COALESCE_ON_ALL, false, false, GAP_MS, 10, 1400, 40, 40, 0 },
	{ 80, COALESCE_ON_ALL, false, false, GAP_MS, 1, 700, 20, 21, 1 },
};

typedef struct run {
	coalesce_t state;
	coalesce_conf_t conf;
	int writes;
	mstime_t written_at;
	mstime_t waiting_since; /* of the oldest event held, 0 for none */
	mstime_t delay_max_ms;
	mstime_t gap_max_ms;
} run_t;

static void write_(run_t *r, mstime_t now)
{
	if (r->written_at)
		r->gap_max_ms = MAX(r->gap_max_ms, now - r->written_at);
	if (r->waiting_since)
		r->delay_max_ms = MAX(r->delay_max_ms, now - r->waiting_since);
	r->written_at = now;
	r->waiting_since = 0;
	r->writes++;
}

static void run_to_(run_t *r, mstime_t now)
{
	mstime_t due = r->state.flush_at;

	if (!due || due > now)
		return;
	coalesce_flushed(&r->state, due);
	write_(r, due);
}

START_TEST(test_stream)
{
	run_t r = { .conf = { streams[_i].hold_ms, streams[_i].on } };
	coalesce_event_t event = { streams[_i].bytes, streams[_i].urgent,
				   streams[_i].lossy, streams[_i].gap_ms };
	mstime_t now = START;

	for (int i = 0; i < EVENTS; i++, now += streams[_i].interval_ms) {
		run_to_(&r, now);
		ck_assert_int_eq(r.writes > 0, i > 0);
		if (!r.waiting_since)
			r.waiting_since = now;
		if (!coalesce_add(&r.state, &r.conf, &event, now))
			write_(&r, now);
		ck_assert_uint_lt(r.state.held,
				  MAX(PACKET_MAX_BYTES, event.bytes));
	}
	/* The end comes with the last event. */
	now -= streams[_i].interval_ms;
	if (r.waiting_since)
		write_(&r, now);
	ck_assert_int_ge(r.writes, streams[_i].writes_min);
	ck_assert_int_le(r.writes, streams[_i].writes_max);
	ck_assert_int_le(r.delay_max_ms, streams[_i].delay_max_ms);
	ck_assert_int_le(r.gap_max_ms,
			 MAX(streams[_i].interval_ms, streams[_i].gap_ms / 2));
}
END_TEST

/* Guards against a comment that waits, and events that are written after it. */
START_TEST(test_comment_writes_all)
{
	coalesce_conf_t conf = { 80, COALESCE_ON_ALL };
	coalesce_event_t event = { EVENT_BYTES, false, false, GAP_MS };
	coalesce_event_t comment = { 3, true, false, GAP_MS };
	coalesce_t c = { 0 };

	ck_assert(!coalesce_add(&c, &conf, &event, START));
	ck_assert(coalesce_add(&c, &conf, &event, START + 1));
	ck_assert(coalesce_add(&c, &conf, &event, START + 2));
	ck_assert_int_eq(c.flush_at, START + 81);
	ck_assert(!coalesce_add(&c, &conf, &comment, START + 3));
	ck_assert_int_eq(c.flush_at, 0);
	ck_assert_uint_eq(c.held, 0);
}
END_TEST

START_TEST(test_names)
{
	ck_assert_int_eq(coalesce_parse_on(NULL), COALESCE_ON_LOSS);
	ck_assert_int_eq(coalesce_parse_on("loss"), COALESCE_ON_LOSS);
	ck_assert_int_eq(coalesce_parse_on("all"), COALESCE_ON_ALL);
	ck_assert_int_eq(coalesce_parse_on("some"), COALESCE_ON_COUNT);
}
END_TEST

/*
 * Guards against links without loss on which events are held, and against
 * lossy ones that are not noticed.
 */
static const struct {
	const char *links;
	int writes; /* before the last look */
	int every;  /* each such write stays unacknowledged, 0: none */
	int rtt_ms;
	int held_ms; /* for so long */
	bool lossy;
} links[] = {
	{ "no loss", 10000, 0, 5, 0, false },
	{ "one packet in a thousand", 10000, 1000, 5, 250, true },
	{ "one packet in ten thousand", 30000, 10000, 5, 250, false },
	{ "acknowledgements that are delayed", 10000, 10, 5, 50, false },
	{ "a long way", 10000, 10, 80, 250, false },
};

START_TEST(test_links)
{
	link_loss_t l = { 0 };
	link_watch_t w = { 0 };
	mstime_t now = 1000000;

	for (int i = 1; i <= links[_i].writes; i++) {
		bool held = links[_i].every && i % links[_i].every == 0;

		link_loss_count_write(&l);
		link_loss_watch(&l, &w, 0, links[_i].rtt_ms, now, now + 50);
		now += 50;
		for (int t = 50; held && t <= links[_i].held_ms; t += 50)
			link_loss_watch(&l, &w, 90, links[_i].rtt_ms, now,
					now + t);
		now += held ? links[_i].held_ms : 0;
	}
	ck_assert_msg(link_loss_is_lossy(&l) == links[_i].lossy, "%s",
		      links[_i].links);
}
END_TEST

Suite *coalesce_suite(void)
{
	Suite *s = suite_create("coalesce");
	TCase *t = tcase_create("coalesce");

	tcase_add_loop_test(t, test_stream, 0, G_N_ELEMENTS(streams));
	tcase_add_test(t, test_comment_writes_all);
	tcase_add_test(t, test_names);
	tcase_add_loop_test(t, test_links, 0, G_N_ELEMENTS(links));
	suite_add_tcase(s, t);
	return s;
}
