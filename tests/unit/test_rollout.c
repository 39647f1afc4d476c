/*
 * Steps and evidence of a roll-out, played for one node that is told all at
 * once. Guards against bad versions that reach more callers than the limit
 * allows, and good ones that are not completed.
 */
#include "suites.h"

#include <kcf/rollout.h>

#define STEP_MS 10
#define NEWS_MS 200
#define SEEDS 40
#define UPSTREAMS 8
#define SLOTS 1000

/* How often answers of a version fail, or take eight times as long. */
typedef struct plight {
	double failed;
	double slow;
} plight_t;

static const struct {
	const char *what;
	double per_s;
	int duration_s;
	bool good;
	plight_t old;
	plight_t new; /* from a time and a share on, the same if good */
	int from_ms;
	double from_share;
	bool one_route; /* of four */
	bool cold;	/* caches, and upstreams for 3 s */
	int late_ms;	/* upstreams come then */
	bool none;	/* they never do */
	bool whole;	/* the limit is the whole one */
} cases[] = {
	{ "good", 740, 12, true },
	{ "good, small", 20, 14, true },
	{ "good, very little", 1, 12, true },
	{ "good, no traffic", 0, 12, true },
	{ "good, both fail", 740, 12, true, .old = { 0.2, 0.1 } },
	{ "good, both fail, small", 40, 14, true, .old = { 0.3, 0.1 } },
	{ "good, cold", 740, 14, true, .cold = true },
	{ "good, late", 740, 14, true, .cold = true, .late_ms = 3000 },
	{ "good, very late", 740, 14, true, .late_ms = 8000 },
	{ "no upstream", 740, 12, .none = true },
	{ "fails at once", 740, 12, .new = { 1, 0 } },
	{ "fails, small", 20, 12, .new = { 0.6, 0 } },
	{ "fails in part", 740, 12, .new = { 0.1, 0 } },
	{ "fails late", 740, 12, .new = { 0.5, 0 }, .from_ms = 3000 },
	{ "fails late, small", 40, 12, .new = { 0.5, 0 }, .from_ms = 3000 },
	{ "fails in the ramp", 740, 12, .new = { 0.5, 0 }, .from_ms = 8000 },
	{ "fails under load", 740, 12, .new = { 0.5, 0 }, .from_share = 0.2 },
	{ "fails under load, small", 40, 14, .new = { 0.6, 0 },
	  .from_share = 0.4 },
	{ "fails on a route", 740, 12, .old = { 0.05, 0 }, .new = { 0.7, 0 },
	  .one_route = true },
	{ "fails on a route, late", 200, 14, .new = { 0.7, 0 }, .from_ms = 3000,
	  .one_route = true },
	{ "slow", 740, 12, .new = { 0, 1 } },
	{ "slow, cold", 740, 14, .new = { 0, 1 }, .cold = true },
	{ "slow, small", 30, 14, .new = { 0, 0.8 } },
	{ "slow late", 740, 16, .new = { 0, 0.6 }, .from_ms = 2600 },
	{ "slow under load", 740, 12, .new = { 0, 0.8 }, .from_share = 0.2 },
	{ "fails at full share", 740, 12, .new = { 0.5, 0 }, .from_share = 1,
	  .whole = true },
	{ "fails at full share, small", 40, 12, .new = { 0.5, 0 },
	  .from_share = 1, .whole = true },
};

static const rollout_bounds_t bounds = { 0.1, 50, 5000 };

typedef struct pending {
	bool used;
	mstime_t at;
	rollout_answer_t answer;
} pending_t;

static struct {
	GRand *rand;
	rollout_t rollout;
	rollout_tally_t tally;
	rollout_pace_t pace;
	GArray *pending; /* rollout_answer_t and its time */
	double due;
	uint32_t all;
	uint32_t to_new;
} s;

static bool draw_(double p)
{
	return g_rand_double(s.rand) < p;
}

/* A request that arrives and the answer that it will get. */
static void send_(int c, mstime_t now)
{
	rollout_side_t side = rollout_choose(
		&s.rollout, draw_(0.5) ? g_rand_double(s.rand) : -1, now);
	bool cold = cases[c].cold && side == ROLLOUT_NEW;
	uint32_t route = 1 + (uint32_t)g_rand_int_range(s.rand, 0, 4);
	bool bad = !cases[c].good && side == ROLLOUT_NEW &&
		   now >= cases[c].from_ms &&
		   s.rollout.share >= cases[c].from_share &&
		   (!cases[c].one_route || route == 1);
	const plight_t *p = bad ? &cases[c].new : &cases[c].old;
	int factor = draw_(p->slow) ? 8 : 1;
	pending_t pending = { .answer = {
				      .route = route,
				      .side = side,
				      .upstream = (uint32_t)g_rand_int(s.rand),
				      .failed = draw_(p->failed),
				      .timed = !cold || now >= 3000,
				      .cache_may_miss = cold && draw_(0.5),
				      .first_ms =
					      g_rand_int_range(s.rand, 40, 90) *
					      factor,
				      .objective_ms = 500,
			      } };

	/* A cache without the prompt costs some hundred milliseconds. */
	if (pending.answer.cache_may_miss)
		pending.answer.first_ms += 300;
	pending.answer.whole_ms = pending.answer.first_ms +
				  g_rand_int_range(s.rand, 100, 500) * factor;
	pending.at =
		now + (pending.answer.failed ? 20 : pending.answer.whole_ms);
	g_array_append_val(s.pending, pending);
	rollout_count_request(&s.tally, side);
	s.all++;
	s.to_new += side == ROLLOUT_NEW;
}

static void answer_(mstime_t now)
{
	for (guint i = 0; i < s.pending->len; i++) {
		const pending_t *p = &g_array_index(s.pending, pending_t, i);
		rollout_answer_t a = p->answer;
		mstime_t waited = now - (p->at - a.whole_ms);

		/* Too long a wait counts before its end. */
		if (!a.failed && now < p->at) {
			a.first_ms = MIN(a.first_ms, waited);
			a.whole_ms = waited;
			if (!rollout_is_slow(&s.pace, &a))
				continue;
		} else if (now < p->at) {
			continue;
		}
		rollout_count_answer(&s.tally, &a,
				     rollout_is_slow(&s.pace, &a));
		g_array_remove_index_fast(s.pending, i--);
	}
}

static guint old_open_(void)
{
	guint n = 0;

	for (guint i = 0; i < s.pending->len; i++)
		n += g_array_index(s.pending, pending_t, i).answer.side ==
		     ROLLOUT_OLD;
	return n;
}

static void decide_(int c, rollout_tally_t *news, mstime_t now)
{
	bool here = !cases[c].none && now >= cases[c].late_ms;
	rollout_view_t view = {
		.sum = *news,
		.new_upstreams = here ? UPSTREAMS : 0,

		.old_slots = SLOTS,
		.new_warm_slots =
			here && (!cases[c].cold || now >= 3000) ? SLOTS : 0,
		.demand = s.pending->len,
		.all_follow = true,
	};

	view.sum.open_once = old_open_();
	rollout_decide(&s.rollout, &view, now);
	s.rollout.lease_until = now + rollout_lease_ms(&s.rollout);
	if (s.rollout.phase == ROLLOUT_COMPLETING)
		rollout_settle(&s.rollout, ROLLOUT_COMPLETED, now);
	if (news->route_count)
		s.pace = rollout_pace_of(&news->routes[0]);
	*news = s.tally;
}

static void play_(int c, guint32 seed)
{
	rollout_tally_t news = { 0 };
	double bound;
	mstime_t now;

	s.rand = g_rand_new_with_seed(seed);
	s.pending = g_array_new(FALSE, FALSE, sizeof(pending_t));
	s.tally = (rollout_tally_t){ 0 };
	s.pace = (rollout_pace_t){ 0 };
	s.due = 0;
	s.all = 0;
	s.to_new = 0;
	rollout_init(&s.rollout, &bounds, cases[c].duration_s * MSEC_PER_SEC,
		     0.5, 0);
	rollout_begin(&s.rollout, 0);
	for (now = 0; now < cases[c].duration_s * MSEC_PER_SEC;
	     now += STEP_MS) {
		if (s.rollout.phase == ROLLOUT_COMPLETED)
			break;
		for (s.due += cases[c].per_s * STEP_MS / MSEC_PER_SEC;
		     s.due >= 1; s.due--)
			send_(c, now);
		answer_(now);
		if (now % NEWS_MS == 0)
			decide_(c, &news, now);
	}
	ck_assert_msg(s.rollout.phase == (cases[c].good ? ROLLOUT_COMPLETED
							: ROLLOUT_REVERTED),
		      "%s, seed %u: %s (%s), %u of %u requests", cases[c].what,
		      seed, rollout_phase_string[s.rollout.phase],
		      s.rollout.reason, s.to_new, s.all);
	bound = bounds.share * s.all + bounds.tolerance;
	ck_assert_msg(cases[c].good ||
			      s.to_new <= bound / (cases[c].whole ? 1 : 2),
		      "%s, seed %u: %u of %u requests reached it",
		      cases[c].what, seed, s.to_new, s.all);
	g_array_unref(s.pending);
	g_rand_free(s.rand);
}

START_TEST(ends_as_it_should)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++)
		play_(_i, seed);
}
END_TEST

/* Answers of both versions, and whether they are against the new one. */
static const struct {
	rollout_counts_t old;
	rollout_counts_t new;
	bool single;
	bool against;
} evidence_cases[] = {
	{ { .answered = 100 },
	  { .answered = 2, .failed = 2, .upstreams = 3 },
	  false,
	  false },
	{ { .answered = 200 },
	  { .answered = 4, .failed = 3, .upstreams = 3 },
	  false,
	  true },
	/* One upstream that crashes says nothing of the version. */
	{ { .answered = 100 },
	  { .answered = 8, .failed = 8, .upstreams = 1 },
	  false,
	  false },
	{ { .answered = 100 },
	  { .answered = 8, .failed = 8, .upstreams = 1 },
	  true,
	  true },
	{ { .answered = 100 },
	  { .answered = 12, .failed = 12, .upstreams = 1 },
	  false,
	  true },
	{ { .answered = 100, .failed = 30 },
	  { .answered = 40, .failed = 15, .upstreams = 7 },
	  false,
	  false },
	{ { .answered = 500, .timed = 500 },
	  { .answered = 6, .timed = 6, .slow = 6, .upstreams = 3 },
	  false,
	  true },
	{ { .answered = 500, .timed = 500, .slow = 100 },
	  { .answered = 50, .timed = 50, .slow = 12, .upstreams = 3 },
	  false,
	  false },
	/* None of the old version to compare with. */
	{ { 0 }, { .answered = 8, .failed = 8, .upstreams = 3 }, false, false },
};

START_TEST(compares_both_versions)
{
	rollout_tally_t t = { .route_count = 1 };

	t.routes[0].sides[ROLLOUT_OLD] = evidence_cases[_i].old;
	t.routes[0].sides[ROLLOUT_NEW] = evidence_cases[_i].new;
	ck_assert_int_eq(
		rollout_find_fault(&t, NULL, evidence_cases[_i].single) != NULL,
		evidence_cases[_i].against);
}
END_TEST

/* Repeated and late messages, and a node that starts again. */
START_TEST(merges_counts_of_nodes)
{
	static const struct {
		uint32_t key;
		uint64_t incarnation;
		uint32_t requests;
		uint32_t sum;
	} messages[] = {
		{ 1, 1, 5, 5 },	 { 1, 1, 9, 9 },  { 1, 1, 5, 9 },
		{ 2, 1, 3, 12 }, { 1, 2, 1, 13 }, { 1, 1, 9, 13 },
		{ 1, 2, 4, 16 },
	};
	rollout_evidence_t e;
	rollout_tally_t sum;

	rollout_evidence_init(&e);
	for (size_t i = 0; i < G_N_ELEMENTS(messages); i++) {
		rollout_node_t node = { .key = messages[i].key,
					.incarnation =
						messages[i].incarnation };

		node.tally.requests[ROLLOUT_NEW] = messages[i].requests;
		rollout_evidence_put(&e, &node);
		rollout_evidence_sum(&e, 0, &sum);
		ck_assert_uint_eq(sum.requests[ROLLOUT_NEW], messages[i].sum);
	}
	rollout_evidence_finish(&e);
}
END_TEST

/* Nodes that hear nothing go back to the old version by themselves. */
START_TEST(lease_ends)
{
	rollout_t r;
	rollout_state_t full = { .phase = ROLLOUT_FULL, .share = 1, .seq = 3 };
	rollout_state_t bad = { .phase = ROLLOUT_REVERTED, .seq = 4 };

	rollout_init(&r, &bounds, 12000, 0, 1000);
	ck_assert_int_eq(rollout_choose(&r, -1, 1000), ROLLOUT_OLD);
	rollout_adopt(&r, &full, 2000);
	ck_assert_int_eq(rollout_choose(&r, -1, 2100), ROLLOUT_NEW);
	ck_assert_int_lt(rollout_lease_ms(&r), bounds.rollback_ms / 2);
	ck_assert_int_eq(rollout_choose(&r, -1, 2000 + rollout_lease_ms(&r)),
			 ROLLOUT_OLD);
	rollout_adopt(&r, &bad, 4000);
	rollout_adopt(&r, &full, 4100);
	ck_assert_int_eq(rollout_choose(&r, -1, 4100), ROLLOUT_OLD);
	rollout_settle(&r, ROLLOUT_COMPLETED, 4200);
	ck_assert_int_eq(rollout_choose(&r, -1, 60000), ROLLOUT_NEW);
}
END_TEST

Suite *rollout_suite(void)
{
	Suite *suite = suite_create("rollout");
	TCase *tc = tcase_create("rollout");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, ends_as_it_should, 0, G_N_ELEMENTS(cases));
	tcase_add_loop_test(tc, compares_both_versions, 0,
			    G_N_ELEMENTS(evidence_cases));
	tcase_add_test(tc, merges_counts_of_nodes);
	tcase_add_test(tc, lease_ends);
	suite_add_tcase(suite, tc);
	return suite;
}
