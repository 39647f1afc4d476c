#include "fixture.h"
#include "suites.h"

#include <kcf/sched.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define ENGINES 10
#define CHATS 400
/* A request counts as arrived at its engine after this time. */
#define ARRIVAL_MS 60
/* With a slow path, requests of the last steps may still be in transit. */
#define BURST_STEP_MS 20
#define BURST_STEPS 90
#define BURST_STEPS_IN_TRANSIT 2

/* The scheduler of node "self", driven without sockets. */
static struct {
	config_t config;
	sched_t sched;
	sched_decision_t last;
	int decisions;
	int runs;
	int refused;
	int loans;
	int moves;
	int outstanding[ENGINES];
	uint64_t next_id;
	mstime_t now;
} t;

static void on_decided_(void *ctx, const sched_decision_t *d)
{
	(void)ctx;
	t.last = *d;
	t.decisions++;
	t.refused += d->verdict == SCHED_REFUSE;
	if (d->verdict != SCHED_RUN)
		return;
	t.runs++;
	t.outstanding[atoi(d->upstream + 1)]++;
}

static void on_send_loan_(void *ctx, const char *node, const power_loan_t *loan)
{
	(void)ctx;
	(void)node;
	(void)loan;
	t.loans++;
}

static void on_health_changed_(void *ctx, const char *upstream,
			       const char *what)
{
	(void)ctx;
	(void)upstream;
	(void)what;
}

static void on_move_cache_(void *ctx, const sched_move_t *m)
{
	(void)ctx;
	ck_assert_str_ne(m->from, m->to);
	t.moves++;
}

static const sched_ops_t ops = { on_decided_, on_send_loan_, on_health_changed_,
				 on_move_cache_ };

static void set_nodes_(const char *other)
{
	GPtrArray *nodes = g_ptr_array_new_with_free_func(sched_node_free);

	g_ptr_array_add(nodes, sched_node_new("self", "d1", "r"));
	if (other)
		g_ptr_array_add(nodes, sched_node_new(other, "d2", "r"));
	sched_set_nodes(&t.sched, t.now, nodes);
}

static void update_view_(void)
{
	view_t *v = view_new(&t.config);

	sched_set_view(&t.sched, t.now, v);
	view_unref(v);
}

static void setup_(void)
{
	memset(&t, 0, sizeof(t));
	t.now = 100000;
	config_init(&t.config);
	fixture_put_fleet(&t.config, ENGINES);
	sched_init(&t.sched, "self", "d1", "r", 7, &ops, NULL);
	update_view_();
	set_nodes_(NULL);
}

static void teardown_(void)
{
	sched_finish(&t.sched);
	config_finish(&t.config);
}

static sched_request_t make_request_(uint64_t chat)
{
	sched_request_t r = { .id = ++t.next_id,
			      .chat = str_hash64((str_t){ (char *)&chat, 8 },
						 1),
			      .sticky = true,
			      .service = "svc",
			      .model = "m",
			      .customer = "c",
			      .weight = 1,
			      .urgency = 3,
			      .deadline = t.now + 60000,
			      .prompt_tokens = 100 };

	return r;
}

static uint64_t place_chat_(uint64_t chat)
{
	sched_request_t r = make_request_(chat);

	sched_place(&t.sched, t.now, &r);
	return r.id;
}

/* Places requests one by one; each arrives before the next is placed. */
static void place_spaced_(uint64_t first_chat, int count)
{
	for (int i = 0; i < count; i++) {
		place_chat_(first_chat + (uint64_t)i);
		t.now += ARRIVAL_MS;
	}
}

/* Makes the service too large for one owner. */
static void make_large_service_(void)
{
	for (int e = 0; e < ENGINES; e++)
		fixture_put_engine(&t.config, e, 100, 0);
	update_view_();
}

static void release_(uint64_t id, int engine, sched_result_t result)
{
	sched_outcome_t o = { .id = id,
			      .result = result,
			      .prompt_tokens = 100,
			      .cached_tokens = 100,
			      .first_token_ms = 10 };

	t.outstanding[engine]--;
	sched_release(&t.sched, t.now, &o);
}

static void report_failures_(int engine, int times)
{
	char name[16];
	sched_report_t r = { 0 };

	snprintf(name, sizeof(name), "e%d", engine);
	r.key = (uint32_t)str_hash64(str_of(name), 0);
	while (times--)
		sched_apply_report(&t.sched, t.now, &r);
}

static void report_load_(int engine, int outstanding, uint64_t start_id)
{
	char name[16];
	sched_report_t r = { .ok = true,
			     .outstanding = outstanding,
			     .start_id = start_id };

	snprintf(name, sizeof(name), "e%d", engine);
	r.key = (uint32_t)str_hash64(str_of(name), 0);
	sched_apply_report(&t.sched, t.now, &r);
}

/*
 * While the load grows, no engine ever exceeds the load bound, which has one
 * request of slack.
 */
START_TEST(test_load_bound)
{
	for (int i = 0; i < 8 * ENGINES; i++) {
		int max = 0;
		int sum = 0;

		place_chat_((uint64_t)(i % 40));
		t.now += ARRIVAL_MS;
		for (int e = 0; e < ENGINES; e++) {
			max = MAX(max, t.outstanding[e]);
			sum += t.outstanding[e];
		}
		ck_assert_int_le(max, (int)floor(1.25 * sum / ENGINES) + 1);
	}
}
END_TEST

/* Without other load a returning chat goes to the same engine each time. */
START_TEST(test_returning_chat)
{
	char engine[SCHED_NAME_MAX];

	for (uint64_t chat = 0; chat < 50; chat++) {
		uint64_t id = place_chat_(chat);

		g_strlcpy(engine, t.last.upstream, sizeof(engine));
		ck_assert(!t.last.warm);
		release_(id, atoi(engine + 1), SCHED_DONE);
		id = place_chat_(chat);
		ck_assert_str_eq(t.last.upstream, engine);
		ck_assert(t.last.warm);
		release_(id, atoi(engine + 1), SCHED_DONE);
	}
}
END_TEST

/* Places all chats, each released at once, and records their engines. */
static void place_and_release_all_(int *engine_of)
{
	for (int chat = 0; chat < CHATS; chat++) {
		uint64_t id = place_chat_((uint64_t)chat);

		ck_assert_int_eq(t.last.verdict, SCHED_RUN);
		engine_of[chat] = atoi(t.last.upstream + 1);
		release_(id, engine_of[chat], SCHED_DONE);
	}
}

/*
 * When an engine is lost, only its chats move. It returns with an empty cache,
 * so that chats that are cached elsewhere by now stay there.
 */
START_TEST(test_engine_lost_and_returned)
{
	int before[CHATS];
	int without[CHATS];
	int after[CHATS];

	place_and_release_all_(before);
	report_failures_(3, 3);
	place_and_release_all_(without);
	for (int i = 0; i < CHATS; i++) {
		ck_assert_int_ne(without[i], 3);
		if (before[i] != 3)
			ck_assert_int_eq(without[i], before[i]);
	}
	report_load_(3, 0, 9);
	t.now += 5000;
	place_and_release_all_(after);
	for (int i = 0; i < CHATS; i++)
		ck_assert_int_eq(after[i], without[i]);
	/* New chats may be placed there. */
	for (uint64_t chat = 1000; chat < 1400 && !t.outstanding[3]; chat++)
		place_chat_(chat);
	ck_assert_int_gt(t.outstanding[3], 0);
}
END_TEST

START_TEST(test_flapping_engine)
{
	for (int flap = 0; flap < 6; flap++) {
		report_failures_(3, 3);
		t.now += 1000;
		report_load_(3, 0, 9);
		t.now += 1000;
	}
	/* It responds, but has not been stable for long enough. */
	for (uint64_t chat = 0; chat < 200; chat++)
		release_(place_chat_(chat), atoi(t.last.upstream + 1),
			 SCHED_DONE);
	ck_assert_int_eq(t.outstanding[3], 0);
	t.now += 60000;
	for (uint64_t chat = 1000; chat < 1200 && !t.outstanding[3]; chat++)
		place_chat_(chat);
	ck_assert_int_gt(t.outstanding[3], 0);
}
END_TEST

/* Requests sent by others count against the limit. */
START_TEST(test_remote_load)
{
	for (int e = 0; e < ENGINES; e++)
		report_load_(e, 8, 1);
	place_chat_(1);
	ck_assert_int_eq(t.runs, 0);
	report_load_(4, 0, 1);
	sched_tick(&t.sched, t.now += 300);
	ck_assert_int_eq(t.runs, 1);
	ck_assert_str_eq(t.last.upstream, "e4");
}
END_TEST

START_TEST(test_ramp_after_restart)
{
	fixture_put(&t.config, KIND_UPSTREAM, "e0",
		    "{\"service\":\"svc\",\"data_centre\":\"d1\",\"address\":"
		    "\"127.0.0.1:9\",\"slots\":8,\"floor\":1,\"ramp_s\":10}");
	for (int e = 1; e < ENGINES; e++) {
		char name[16];

		snprintf(name, sizeof(name), "e%d", e);
		fixture_put(&t.config, KIND_UPSTREAM, name, NULL);
	}
	update_view_();
	t.now += 20000;
	report_load_(0, 0, 1);
	place_spaced_(0, 8);
	ck_assert_int_eq(t.outstanding[0], 8);
	for (uint64_t id = 1; id <= 8; id++)
		release_(id, 0, SCHED_DONE);
	report_load_(0, 0, 2);
	for (int i = 0; i < 8; i++)
		place_chat_((uint64_t)i);
	ck_assert_int_eq(t.outstanding[0], 1);
	/* The ramp: never more than floor + (slots - floor) * age / 10 s. */
	for (int tenth = 0; tenth <= 10; tenth++) {
		sched_tick(&t.sched, t.now);
		ck_assert_int_le(t.outstanding[0], 1 + 7 * tenth / 10);
		t.now += 1000;
	}
}
END_TEST

START_TEST(test_deadline)
{
	sched_request_t r;

	place_spaced_(0, 8 * ENGINES);
	ck_assert_int_eq(t.runs, 8 * ENGINES);
	r = make_request_(1000);
	r.deadline = t.now + 1;
	sched_place(&t.sched, t.now, &r);
	ck_assert_int_eq(t.last.verdict, SCHED_REFUSE);
	ck_assert_int_eq(t.last.refusal, REFUSE_DEADLINE);
	ck_assert_int_gt(t.last.retry_after_ms, 0);
	r = make_request_(1001);
	r.deadline = t.now + 2000;
	sched_place(&t.sched, t.now, &r);
	ck_assert_int_eq(t.refused, 1);
	sched_tick(&t.sched, t.now + 2000);
	ck_assert_int_eq(t.refused, 2);
}
END_TEST

START_TEST(test_queue_full)
{
	int sent = 0;

	while (!t.refused && sent < 10000) {
		place_chat_((uint64_t)sent);
		sent++;
	}
	ck_assert_int_eq(t.last.refusal, REFUSE_OVERLOAD);
	ck_assert_int_ge(sent, 8 * ENGINES);
	ck_assert_int_lt(sent, 8 * ENGINES + 50 * ENGINES + 2);
}
END_TEST

START_TEST(test_drained_data_centre)
{
	fixture_put(&t.config, KIND_DATA_CENTRE, "d2",
		    "{\"region\":\"r\",\"state\":\"out\"}");
	update_view_();
	for (uint64_t chat = 0; chat < 40; chat++)
		place_chat_(chat);
	for (int e = 1; e < ENGINES; e += 2)
		ck_assert_int_eq(t.outstanding[e], 0);
}
END_TEST

/* Each cached chat of a leaving engine is moved once. */
START_TEST(test_move_cache)
{
	int on_e0 = 0;

	for (uint64_t chat = 0; chat < 100; chat++) {
		uint64_t id = place_chat_(chat);
		int engine = atoi(t.last.upstream + 1);

		on_e0 += engine == 0;
		release_(id, engine, SCHED_DONE);
	}
	fixture_put(&t.config, KIND_UPSTREAM, "e0",
		    "{\"service\":\"svc\",\"data_centre\":\"d1\",\"address\":"
		    "\"127.0.0.1:9\",\"slots\":8,\"ramp_s\":0,\"state\":"
		    "\"leaving\",\"cache_tokens\":10000}");
	update_view_();
	ck_assert_int_gt(on_e0, 0);
	ck_assert_int_eq(t.moves, on_e0);
}
END_TEST

/* Requests queued at an upstream that is drained run elsewhere. */
START_TEST(test_drained_with_queue)
{
	int before;

	place_spaced_(0, 8 * ENGINES + 10);
	before = t.decisions;
	fixture_put(&t.config, KIND_DATA_CENTRE, "d2",
		    "{\"region\":\"r\",\"state\":\"out\"}");
	update_view_();
	for (uint64_t id = 1; id <= 8 * ENGINES; id++)
		sched_release(&t.sched, t.now, &(sched_outcome_t){ .id = id });
	sched_tick(&t.sched, t.now += 300);
	ck_assert_int_eq(t.decisions, before + 10);
	ck_assert_int_eq(t.refused, 0);
}
END_TEST

START_TEST(test_forward)
{
	int forwarded = 0;

	make_large_service_();
	set_nodes_("other");
	for (uint64_t chat = 0; chat < 100; chat++) {
		uint64_t id = place_chat_(chat);

		if (t.last.verdict == SCHED_FORWARD) {
			ck_assert_str_eq(t.last.node, "other");
			ck_assert_int_eq(t.last.hop, 1);
			forwarded++;
		} else {
			release_(id, atoi(t.last.upstream + 1), SCHED_DONE);
		}
	}
	/* Half of the engines are nearest to the other node. */
	ck_assert_int_gt(forwarded, 20);
	ck_assert_int_lt(forwarded, 80);
}
END_TEST

/* A small service has one owner, in whichever data centres its engines are. */
START_TEST(test_small_service_one_owner)
{
	int forwarded = 0;

	set_nodes_("other");
	for (uint64_t chat = 0; chat < 50; chat++) {
		uint64_t id = place_chat_(chat);

		if (t.last.verdict == SCHED_FORWARD)
			forwarded++;
		else
			release_(id, atoi(t.last.upstream + 1), SCHED_DONE);
	}
	ck_assert(forwarded == 0 || forwarded == 50);
}
END_TEST

/* Nodes of a drained data centre own nothing while there are other nodes. */
START_TEST(test_drained_owner)
{
	char dc[16];

	set_nodes_("other");
	snprintf(dc, sizeof(dc), "d%d", _i + 1);
	fixture_put(&t.config, KIND_DATA_CENTRE, dc,
		    "{\"region\":\"r\",\"state\":\"out\"}");
	update_view_();
	place_chat_(1);
	ck_assert_int_eq(t.last.verdict, _i ? SCHED_RUN : SCHED_FORWARD);
}
END_TEST

/*
 * Requests in transit don't count towards the mean load, so that a burst starts
 * gradually, also when the path is slow.
 */
START_TEST(test_burst)
{
	int runs[BURST_STEPS + 1]; /* at the start of each step */

	for (uint64_t chat = 0; chat < 60; chat++)
		place_chat_(chat);
	for (int e = 0; e < ENGINES; e++)
		ck_assert_int_le(t.outstanding[e], 1);
	runs[0] = t.runs;
	for (int step = 0; step < BURST_STEPS; step++) {
		int arrived = step < BURST_STEPS_IN_TRANSIT
				      ? 0
				      : runs[step - BURST_STEPS_IN_TRANSIT];

		t.now += BURST_STEP_MS;
		sched_dispatch(&t.sched, t.now);
		/* Waiting requests may move to another engine at each tick. */
		if (step % 5 == 4)
			sched_tick(&t.sched, t.now);
		for (int e = 0; e < ENGINES; e++)
			ck_assert_int_le(t.outstanding[e],
					 (int)(1.25 * (arrived + 1) / ENGINES) +
						 1);
		runs[step + 1] = t.runs;
	}
	ck_assert_int_eq(t.runs, 60);
	ck_assert(!sched_dispatch(&t.sched, t.now));
}
END_TEST

/*
 * Requests of others are expected to end some time after they were reported;
 * the mean load decreases accordingly.
 */
START_TEST(test_remote_load_ends)
{
	for (int e = 0; e < ENGINES; e++)
		report_load_(e, 5, 1);
	t.now += 60000;
	for (int e = 1; e < ENGINES; e++)
		report_load_(e, 0, 1);
	for (uint64_t chat = 0; chat < 40; chat++)
		place_chat_(chat);
	for (int e = 1; e < ENGINES; e++)
		ck_assert_int_le(t.outstanding[e], 1);
}
END_TEST

/*
 * The only engine with the chat cached is at its load bound. Waiting for it
 * pays off for a long prompt, not for a short one.
 */
static const struct {
	int64_t prompt_tokens;
	bool waits;
} warm_waits[] = {
	{ 20, false },
	{ 100000, true },
};

START_TEST(test_warm_wait)
{
	sched_request_t r = make_request_(1);
	int engine;

	r.prompt_tokens = 2;
	sched_place(&t.sched, t.now, &r);
	engine = atoi(t.last.upstream + 1);
	t.now += ARRIVAL_MS;
	r = make_request_(1);
	r.prompt_tokens = warm_waits[_i].prompt_tokens;
	t.decisions = 0;
	sched_place(&t.sched, t.now, &r);
	ck_assert(t.decisions == !warm_waits[_i].waits);
	ck_assert_int_eq(t.outstanding[engine], 1);
}
END_TEST

/*
 * After a takeover the ramp of an engine starts above the requests that it
 * runs; that of one which restarted in between starts at its floor.
 */
static const struct {
	uint64_t start_id;
	int outstanding;
	int max;
} takeovers[] = {
	{ 7, 4, 5 },
	{ 8, 4, 4 },
	{ 8, 0, 1 },
};

START_TEST(test_takeover_ramp)
{
	/* Gossip with the tag of start id 7, as another node would send it. */
	peer_load_t gossip[ENGINES];

	fixture_put(&t.config, KIND_SITE, "site", "{\"load_bound\":100}");
	update_view_();
	for (int e = 0; e < ENGINES; e++)
		report_load_(e, 0, 7);
	ck_assert_int_eq(
		sched_fill_loads(&t.sched, t.now, 1, gossip, ENGINES, true),
		ENGINES);
	sched_finish(&t.sched);
	sched_init(&t.sched, "self", "d1", "r", 7, &ops, NULL);
	for (int e = 0; e < ENGINES; e++)
		fixture_put_engine(&t.config, e, 8, 10);
	update_view_();
	for (int e = 0; e < ENGINES; e++)
		sched_apply_load(&t.sched, t.now, &gossip[e]);
	set_nodes_(NULL);
	t.now += 1000;
	for (int e = 0; e < ENGINES; e++)
		report_load_(e, takeovers[_i].outstanding,
			     takeovers[_i].start_id);
	for (int i = 0; i < 400; i++)
		place_chat_((uint64_t)i);
	for (int e = 0; e < ENGINES; e++)
		ck_assert_int_le(t.outstanding[e] + takeovers[_i].outstanding,
				 takeovers[_i].max);
	ck_assert_int_eq(t.outstanding[0] + takeovers[_i].outstanding,
			 takeovers[_i].max);
}
END_TEST

/*
 * A new owner sends nothing until a load report has shown which requests of the
 * former owner still run.
 */
START_TEST(test_takeover_waits_for_report)
{
	char name[16];

	set_nodes_("other");
	for (int e = 0; e < ENGINES; e++) {
		peer_load_t l = { .stamp = 1, .limit = 8, .weight = 1002 };

		snprintf(name, sizeof(name), "e%d", e);
		l.upstream = (uint32_t)str_hash64(str_of(name), 0);
		sched_apply_load(&t.sched, t.now, &l);
	}
	set_nodes_(NULL);
	for (int e = 1; e < ENGINES; e += 2)
		ck_assert_int_eq(t.outstanding[e], 0);
	for (uint64_t chat = 0; chat < 40; chat++)
		place_chat_(chat);
	for (int e = 1; e < ENGINES; e += 2)
		ck_assert_int_eq(t.outstanding[e], 0);
	for (int e = 0; e < ENGINES; e++)
		report_load_(e, 0, 1);
	sched_tick(&t.sched, t.now += 300);
	for (uint64_t chat = 100; chat < 140; chat++)
		place_chat_(chat);
	ck_assert_int_gt(t.outstanding[1] + t.outstanding[3] + t.outstanding[5],
			 0);
}
END_TEST

/* A request that was forwarded SCHED_HOPS_MAX times runs here or is refused. */
START_TEST(test_hop_limit)
{
	set_nodes_("other");
	for (uint64_t chat = 0; chat < 100; chat++) {
		sched_request_t r = make_request_(chat);

		r.hop = SCHED_HOPS_MAX;
		sched_place(&t.sched, t.now, &r);
		ck_assert_int_ne(t.last.verdict, SCHED_FORWARD);
		if (t.last.verdict == SCHED_RUN)
			release_(r.id, atoi(t.last.upstream + 1), SCHED_DONE);
	}
}
END_TEST

START_TEST(test_avoid_node)
{
	make_large_service_();
	set_nodes_("other");
	for (uint64_t chat = 0; chat < 50; chat++) {
		sched_request_t r = make_request_(chat);

		g_strlcpy(r.avoid_node, "other", sizeof(r.avoid_node));
		sched_place(&t.sched, t.now, &r);
		ck_assert_int_eq(t.last.verdict, SCHED_RUN);
		release_(r.id, atoi(t.last.upstream + 1), SCHED_DONE);
	}
}
END_TEST

/* An engine that lost its cache is detected by the tokens in its responses. */
START_TEST(test_cache_lost)
{
	uint64_t id = 0;
	sched_outcome_t o = { .result = SCHED_DONE,
			      .prompt_tokens = 100,
			      .cached_tokens = 0,
			      .first_token_ms = 10 };

	for (int turn = 0; turn < 4; turn++) {
		id = place_chat_(1);
		ck_assert(t.last.warm == (turn > 0));
		o.id = id;
		sched_release(&t.sched, t.now, &o);
	}
	place_chat_(1);
	ck_assert(!t.last.warm);
}
END_TEST

START_TEST(test_pause)
{
	sched_pause(&t.sched, t.now + 1000);
	place_chat_(1);
	ck_assert_int_eq(t.decisions, 0);
	sched_tick(&t.sched, t.now + 900);
	ck_assert_int_eq(t.decisions, 0);
	sched_tick(&t.sched, t.now + 1000);
	ck_assert_int_eq(t.runs, 1);
}
END_TEST

/* The engines never draw more than the power cap, and use most of it. */
START_TEST(test_power)
{
	double watts = 0;

	for (int e = 0; e < ENGINES; e++) {
		char name[16];
		char body[256];

		snprintf(name, sizeof(name), "e%d", e);
		snprintf(body, sizeof(body),
			 "{\"service\":\"svc\",\"data_centre\":\"d1\","
			 "\"address\":\"127.0.0.%d:9\",\"slots\":8,"
			 "\"floor\":8,\"ramp_s\":0,\"idle_w\":100,"
			 "\"slot_w\":50}",
			 e + 1);
		fixture_put(&t.config, KIND_UPSTREAM, name, body);
	}
	fixture_put(&t.config, KIND_SITE, "site", "{\"power_cap_w\":3000}");
	update_view_();
	for (int i = 0; i < 100; i++) {
		place_chat_((uint64_t)i);
		watts = 100.0 * ENGINES + 50.0 * t.runs;
		ck_assert(watts <= 3000);
	}
	for (int i = 0; i < 50; i++)
		sched_tick(&t.sched, t.now += 100);
	watts = 100.0 * ENGINES + 50.0 * t.runs;
	ck_assert(watts <= 3000);
	ck_assert(watts >= 2500);
}
END_TEST

START_TEST(test_cancel)
{
	uint64_t id;

	place_spaced_(0, 8 * ENGINES);
	id = place_chat_(1000);
	sched_cancel(&t.sched, t.now, id);
	release_(1, 0, SCHED_DONE);
	ck_assert_int_eq(t.runs, 8 * ENGINES);
}
END_TEST

Suite *sched_suite(void)
{
	Suite *s = suite_create("sched");
	TCase *tc = tcase_create("sched");

	tcase_add_checked_fixture(tc, setup_, teardown_);
	tcase_add_test(tc, test_load_bound);
	tcase_add_test(tc, test_returning_chat);
	tcase_add_test(tc, test_engine_lost_and_returned);
	tcase_add_test(tc, test_flapping_engine);
	tcase_add_test(tc, test_remote_load);
	tcase_add_test(tc, test_ramp_after_restart);
	tcase_add_test(tc, test_deadline);
	tcase_add_test(tc, test_queue_full);
	tcase_add_test(tc, test_drained_data_centre);
	tcase_add_test(tc, test_drained_with_queue);
	tcase_add_test(tc, test_move_cache);
	tcase_add_test(tc, test_forward);
	tcase_add_test(tc, test_small_service_one_owner);
	tcase_add_loop_test(tc, test_drained_owner, 0, 2);
	tcase_add_test(tc, test_burst);
	tcase_add_test(tc, test_remote_load_ends);
	tcase_add_loop_test(tc, test_warm_wait, 0, G_N_ELEMENTS(warm_waits));
	tcase_add_loop_test(tc, test_takeover_ramp, 0, G_N_ELEMENTS(takeovers));
	tcase_add_test(tc, test_takeover_waits_for_report);
	tcase_add_test(tc, test_hop_limit);
	tcase_add_test(tc, test_avoid_node);
	tcase_add_test(tc, test_cache_lost);
	tcase_add_test(tc, test_pause);
	tcase_add_test(tc, test_power);
	tcase_add_test(tc, test_cancel);
	suite_add_tcase(s, tc);
	return s;
}
