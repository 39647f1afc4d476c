#include "suites.h"

#include <kcf/backlog.h>

#define START 5000
#define KB 1024
#define MB (1024 * 1024)
#define ENTRIES_MAX 4
#define MANY 4000

/* A small node: cuts end at 56 KB. */
static const backlog_conf_t small = { .node_max = 64 * KB,
				      .entry_max = 40 * KB,
				      .high = 16 * KB,
				      .low = 4 * KB,
				      .pause_max = 1000,
				      .step = 8 * KB };
static const backlog_conf_t unbounded = { .high = 16 * KB, .low = 4 * KB };

/*
 * Entries with bytes held, and the time since their peers last took any, -1 for
 * none offered. Guards against a cut of a caller that reads, of one that holds
 * little beside one that holds much, and of one that cannot read yet.
 */
static const struct {
	const backlog_conf_t *conf;
	struct {
		size_t kb;
		mstime_t idle_ms;
	} entries[ENTRIES_MAX];
	int cut[ENTRIES_MAX + 1]; /* places in order, -1 at the end */
} cuts[] = {
	/* at the bound, not above it */
	{ &small, { { 32, 900 }, { 32, 900 } }, { -1 } },
	/* equal bytes: the one that has read nothing for longest */
	{ &small,
	  { { 20, 500 }, { 20, 4000 }, { 20, 600 }, { 20, 300 } },
	  { 1, 2, -1 } },
	/* equal times: the one that holds most */
	{ &small,
	  { { 5, 900 }, { 30, 900 }, { 10, 900 }, { 20, 900 } },
	  { 1, -1 } },
	/* they differ: bytes times time */
	{ &small, { { 36, 100 }, { 10, 500 }, { 20, 90 } }, { 1, -1 } },
	{ &small, { { 36, 200 }, { 10, 500 }, { 20, 90 } }, { 0, -1 } },
	/* all read now: the one that holds most */
	{ &small, { { 24, 0 }, { 30, 0 }, { 20, 0 } }, { 1, -1 } },
	/* nothing offered, whatever it holds */
	{ &small, { { 38, -1 }, { 20, 0 }, { 8, 1 } }, { 1, -1 } },
	{ &small, { { 38, -1 }, { 38, -1 } }, { -1 } },
	/* more than an entry may hold, though the node has room */
	{ &small, { { 41, 0 }, { 10, 4000 } }, { 0, -1 } },
	{ &small, { { 40, 0 }, { 10, 4000 } }, { -1 } },
	/* no bounds */
	{ &unbounded, { { 4000, 9000 }, { 4000, 9000 } }, { -1 } },
};

START_TEST(test_cuts)
{
	backlog_entry_t e[ENTRIES_MAX] = { 0 };
	mstime_t now = START;
	backlog_t b;

	backlog_init(&b, cuts[_i].conf);
	for (int i = 0; i < ENTRIES_MAX; i++) {
		mstime_t idle_ms = cuts[_i].entries[i].idle_ms;

		backlog_join(&b, &e[i], &e[i]);
		backlog_add(&b, &e[i], cuts[_i].entries[i].kb * KB);
		if (idle_ms >= 0)
			backlog_offer(&b, &e[i], now - idle_ms);
	}
	for (const int *place = cuts[_i].cut; *place >= 0; place++) {
		backlog_entry_t *worst = backlog_choose_cut(&b, now);

		ck_assert_ptr_nonnull(worst);
		ck_assert_int_eq(worst - e, *place);
		ck_assert_ptr_eq(worst->owner, worst);
		backlog_leave(&b, worst);
	}
	ck_assert_ptr_null(backlog_choose_cut(&b, now));
	for (int i = 0; i < ENTRIES_MAX; i++)
		backlog_leave(&b, &e[i]);
	ck_assert_uint_eq(b.held, 0);
	ck_assert_uint_eq(b.oversized, 0);
	backlog_finish(&b);
}
END_TEST

/*
 * Bytes read of an upstream in steps, and taken by its caller. Guards against a
 * pause that an upstream takes for an end, and one that never ends.
 */
static const struct {
	const backlog_conf_t *conf;
	struct {
		mstime_t ms; /* since the step before */
		size_t add_kb;
		size_t take_kb;
		bool pauses; /* after it */
	} steps[8];
} pauses[] = {
	/* the caller keeps up */
	{ &small,
	  { { 1, 10, 10, false }, { 1, 16, 0, false }, { 1, 10, 26, false } } },
	/* it reads again in time */
	{ &small,
	  { { 1, 17, 0, true },
	    { 300, 0, 10, true },
	    { 300, 0, 4, false },
	    { 1, 13, 0, false },
	    { 1, 1, 0, true } } },
	/* it reads nothing: a step more each second */
	{ &small,
	  { { 1, 17, 0, true },
	    { 999, 0, 0, true },
	    { 1, 0, 0, false },
	    { 1, 8, 0, false },
	    { 1, 1, 0, true },
	    { 1000, 0, 0, false },
	    { 1, 9, 0, true } } },
	/* and from the start once it has read */
	{ &small,
	  { { 1, 17, 0, true },
	    { 1000, 0, 0, false },
	    { 1, 9, 0, true },
	    { 10, 0, 23, false },
	    { 1, 14, 0, true } } },
	/* without a known memory a pause lasts until it reads */
	{ &unbounded,
	  { { 1, 17, 0, true }, { 9000, 0, 12, true }, { 1, 0, 1, false } } },
};

START_TEST(test_pauses)
{
	backlog_entry_t e = { 0 };
	mstime_t now = START;
	backlog_t b;

	backlog_init(&b, pauses[_i].conf);
	backlog_join(&b, &e, NULL);
	backlog_offer(&b, &e, now);
	for (int i = 0; pauses[_i].steps[i].ms; i++) {
		now += pauses[_i].steps[i].ms;
		backlog_add(&b, &e, pauses[_i].steps[i].add_kb * KB);
		backlog_take(&b, &e, pauses[_i].steps[i].take_kb * KB, now);
		if (backlog_must_pause(&e))
			backlog_pause(&e, now);
		else
			backlog_read_on(&b, &e, now);
		ck_assert_msg(!!e.paused_at == pauses[_i].steps[i].pauses,
			      "step %d", i);
	}
	backlog_leave(&b, &e);
	backlog_finish(&b);
}
END_TEST

/* Guards against bytes that are counted twice, or not given back. */
START_TEST(test_accounts)
{
	backlog_entry_t a = { 0 };
	backlog_entry_t c = { 0 };
	backlog_t b;

	backlog_init(&b, &small);
	backlog_join(&b, &a, NULL);
	backlog_join(&b, &c, NULL);
	backlog_add(&b, &a, 10 * KB);
	backlog_add(&b, &c, 50 * KB);
	backlog_drop(&b, &a, 2 * KB);
	ck_assert_int_eq(a.taken_at, 0);
	backlog_take(&b, &a, 3 * KB, START);
	ck_assert_int_eq(a.taken_at, START);
	ck_assert_uint_eq(b.held, 55 * KB);
	/* What waits in the kernel is the node's memory as well. */
	backlog_set_unread(&b, &a, 20 * KB);
	ck_assert_uint_eq(b.held, 75 * KB);
	backlog_restart(&b, &a);
	ck_assert_uint_eq(b.held, 55 * KB);
	backlog_leave(&b, &a);
	ck_assert_uint_eq(b.held, 50 * KB);
	/* What has left, as a caller that is cut, adds nothing. */
	backlog_add(&b, &a, KB);
	backlog_set_unread(&b, &a, KB);
	backlog_take(&b, &a, KB, START);
	ck_assert_uint_eq(b.held, 50 * KB);
	backlog_leave(&b, &a);
	backlog_leave(&b, &c);
	ck_assert(!backlog_is_over(&b));
	backlog_finish(&b);
}
END_TEST

/* Memory of a node, bytes of requests that it accepts. */
static const struct {
	size_t memory;
	size_t bodies;
} nodes[] = { { 160 * MB, 32 * MB },
	      { 512 * MB, 32 * MB },
	      { 64 * MB, 12 * MB } };

/*
 * Thousands of callers that read nothing. Guards against a node that holds more
 * than its bound, callers that are cut though there is room, and looks at all
 * entries for each few bytes.
 */
START_TEST(test_many_callers)
{
	backlog_limits_t l = backlog_limits(nodes[_i].memory, nodes[_i].bodies);
	backlog_entry_t *e = g_new0(backlog_entry_t, MANY);
	size_t most = 0;
	size_t added = 0;
	int looks = 0;
	int cut = 0;
	backlog_t b;

	/* A quarter is for the process itself. */
	ck_assert_uint_le(l.answers.node_max + nodes[_i].bodies,
			  nodes[_i].memory * 3 / 4);
	backlog_init(&b, &l.answers);
	for (int i = 0; i < MANY; i++)
		backlog_join(&b, &e[i], NULL);
	for (int i = 0; i < MANY * 64; i++) {
		backlog_entry_t *to = &e[i % MANY];
		backlog_entry_t *worst;

		if (!to->member)
			continue;
		added -= b.held;
		backlog_offer(&b, to, START + i);
		backlog_add(&b, to, 4 * KB);
		added += b.held;
		most = MAX(most, b.held);
		if (!backlog_is_over(&b))
			continue;
		looks++;
		while ((worst = backlog_choose_cut(&b, START + i))) {
			backlog_leave(&b, worst);
			cut++;
		}
		ck_assert_uint_ge(b.held, l.answers.node_max * 3 / 4);
	}
	ck_assert_uint_le(most, l.answers.node_max + l.answers.cost + 4 * KB);
	ck_assert_int_ge(cut, 1);
	ck_assert_uint_le((size_t)looks, added / (l.answers.node_max / 8) + 1);
	for (int i = 0; i < MANY; i++)
		backlog_leave(&b, &e[i]);
	backlog_finish(&b);
	g_free(e);
}
END_TEST

/* Guards against a node that is full before its connections are counted, and
 * one that holds nothing for callers once they are.
 */
static const struct {
	size_t connections;
	size_t held_mb;
	bool over;
} loads[] = {
	{ 0, 79, false },   { 0, 81, true },	{ 1000, 44, false },
	{ 1000, 46, true }, { 9000, 9, false }, { 9000, 11, true },
};

START_TEST(test_connections)
{
	backlog_limits_t l = backlog_limits((size_t)160 * MB, (size_t)32 * MB);
	backlog_entry_t e[32] = { 0 };
	backlog_t b;

	backlog_init(&b, &l.answers);
	for (size_t i = 0; i < G_N_ELEMENTS(e); i++) {
		backlog_join(&b, &e[i], NULL);
		backlog_add(&b, &e[i],
			    loads[_i].held_mb * MB / G_N_ELEMENTS(e));
	}
	backlog_set_connections(&b, loads[_i].connections);
	ck_assert_int_eq(backlog_is_over(&b), loads[_i].over);
	for (size_t i = 0; i < G_N_ELEMENTS(e); i++)
		backlog_leave(&b, &e[i]);
	backlog_finish(&b);
}
END_TEST

/*
 * Two peers over the bound: one that has taken all but what the node keeps
 * back for it, one that has taken nothing since it was offered something.
 */
static const struct {
	size_t kept, offered; /* MB of the first one */
	bool handed_out;
	bool only_second; /* is cut */
} keeps[] = {
	{ 30, 0, false, true },
	{ 30, 0, true, true },
	{ 10, 20, false, false },
	{ 0, 30, false, false },
};

START_TEST(test_kept)
{
	backlog_limits_t l = backlog_limits((size_t)100 * MB, (size_t)32 * MB);
	backlog_entry_t e[2] = { 0 };
	backlog_t b;

	backlog_init(&b, &l.answers);
	b.conf.entry_max = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(e); i++) {
		backlog_join(&b, &e[i], NULL);
		backlog_offer(&b, &e[i], 1000 + (mstime_t)i * 50);
	}
	backlog_add(&b, &e[0], keeps[_i].offered * MB);
	backlog_add(&b, &e[0], keeps[_i].kept * MB);
	backlog_keep(&e[0], keeps[_i].kept * MB);
	backlog_add(&b, &e[1], 25 * MB);
	if (keeps[_i].handed_out)
		backlog_hand_out(&e[0], 1100);
	ck_assert(backlog_is_over(&b));
	ck_assert_ptr_eq(backlog_choose_cut(&b, 1101),
			 &e[keeps[_i].only_second]);
	for (size_t i = 0; i < G_N_ELEMENTS(e); i++)
		backlog_leave(&b, &e[i]);
	backlog_finish(&b);
}
END_TEST

/* Nodes whose settings name no memory hold as much as before, and cut none. */
START_TEST(test_no_memory)
{
	backlog_limits_t l = backlog_limits(0, 32 * MB);

	ck_assert_uint_eq(l.answers.high, 256 * KB);
	ck_assert_uint_eq(l.answers.low, 64 * KB);
	ck_assert_uint_eq(l.answers.node_max + l.answers.entry_max +
				  l.requests.node_max + l.requests.entry_max,
			  0);
	ck_assert_int_eq(l.answers.pause_max, 0);
	ck_assert_int_eq(l.unsent_max + l.unread_max, 0);
}
END_TEST

Suite *backlog_suite(void)
{
	Suite *s = suite_create("backlog");
	TCase *t = tcase_create("backlog");

	tcase_add_loop_test(t, test_cuts, 0, G_N_ELEMENTS(cuts));
	tcase_add_loop_test(t, test_pauses, 0, G_N_ELEMENTS(pauses));
	tcase_add_test(t, test_accounts);
	tcase_add_loop_test(t, test_many_callers, 0, G_N_ELEMENTS(nodes));
	tcase_add_loop_test(t, test_connections, 0, G_N_ELEMENTS(loads));
	tcase_add_loop_test(t, test_kept, 0, G_N_ELEMENTS(keeps));
	tcase_add_test(t, test_no_memory);
	suite_add_tcase(s, t);
	return s;
}
