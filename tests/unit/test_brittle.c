#include "suites.h"

#include <kcf/brittle.h>
#include <math.h>
#include <stdio.h>

#define STEP_MS 2
#define RUN_MS 18000
/* The upstreams are brittle from here. */
#define LEAD_MS 3000
#define FALLEN_MS 3000
#define WINDOW_MS 1000
#define CUT_MS 2000
#define REPORT_STEPS 150
#define WAY_MS 10 /* at most, each way */
#define SEEDS 3
#define KEY(i) (((uint64_t)(i) + 1) * 0x9e3779b97f4a7c15U)

typedef enum stage { STAGE_SENT, STAGE_RUNS, STAGE_ANSWERED } stage_t;

typedef struct request {
	guint node;
	guint upstream;
	stage_t stage;
	bool turned_away;
	mstime_t next_at;
} request_t;

typedef struct upstream {
	int running;
	int past[REPORT_STEPS]; /* ring, by step: what reports say */
	GArray *turned_at;	/* mstime_t */
	mstime_t fallen_until;
} upstream_t;

typedef struct view {
	brittle_t brittle;
	int own;
} view_t;

typedef struct node {
	view_t *views; /* by upstream */
	rate_limit_place_t place;
	mstime_t cut_until; /* it takes all others for dead */
} node_t;

/* A fleet before the brittle upstreams of one service. */
static const struct {
	const char *what;
	guint nodes;
	guint upstreams;
	int slots;
	int turned_per_s;
	int run_ms;
	double load;  /* offered, in multiples of what the slots run */
	guint cuts;   /* nodes cut off, one after another */
	guint apart;  /* nodes cut off all the time */
	double least; /* fraction of the smaller of load and slots served */
} cases[] = {
	{ "small", 7, 6, 4, 4, 100, 1.7, 0, 0, 0.6 },
	{ "small, moderate load", 7, 6, 4, 4, 100, 0.6, 0, 0, 0.6 },
	{ "small, long runs", 7, 6, 8, 3, 1000, 1.7, 0, 0, 0.8 },
	{ "small, nodes cut off", 7, 6, 8, 3, 500, 1.7, 4, 0, 0.75 },
	{ "small, nodes apart", 7, 6, 8, 3, 500, 1.7, 0, 3, 0.7 },
	{ "middle", 59, 50, 8, 4, 500, 1.7, 0, 0, 0.8 },
	{ "middle, nodes cut off", 59, 50, 8, 4, 500, 1.7, 4, 0, 0.75 },
	{ "middle, nodes apart", 59, 50, 8, 4, 500, 1.7, 0, 3, 0.75 },
	{ "large", 295, 250, 8, 4, 500, 1.7, 0, 0, 0.8 },
	{ "large, moderate load", 295, 250, 8, 4, 500, 0.6, 0, 0, 0.8 },
	{ "large, nodes cut off", 295, 250, 8, 4, 500, 1.7, 4, 0, 0.75 },
	{ "large, nodes apart", 295, 250, 8, 4, 500, 1.7, 0, 3, 0.75 },
};

static struct {
	GRand *rand;
	node_t *nodes;
	upstream_t *upstreams;
	GArray *requests; /* request_t */
	uint64_t *keys;
	guint falls;
	double busy_ms;	 /* of slots, while brittle */
	guint came;	 /* while brittle */
	int most_turned; /* by one upstream in a second, while brittle */
} s;

static int draw_(int below)
{
	return g_rand_int_range(s.rand, 0, below);
}

static void share_(int c, guint i, mstime_t now)
{
	node_t *n = &s.nodes[i];
	bool cut = now < n->cut_until;

	n->place = (rate_limit_place_t){ cut ? 0 : i, cut ? 1 : cases[c].nodes,
					 (mstime_t)i % 40 };
	for (guint k = 0; k < cases[c].upstreams; k++)
		brittle_share(&n->views[k].brittle, cut ? &s.keys[i] : s.keys,
			      n->place.count, n->place.index, KEY(k) ^ 77,
			      cases[c].slots, cases[c].nodes);
}

static void start_(int c, guint32 seed)
{
	s.rand = g_rand_new_with_seed(seed);
	s.nodes = g_new0(node_t, cases[c].nodes);
	s.upstreams = g_new0(upstream_t, cases[c].upstreams);
	s.requests = g_array_new(FALSE, FALSE, sizeof(request_t));
	s.keys = g_new(uint64_t, cases[c].nodes);
	s.falls = s.came = 0;
	s.most_turned = 0;
	s.busy_ms = 0;
	for (guint k = 0; k < cases[c].upstreams; k++)
		s.upstreams[k].turned_at =
			g_array_new(FALSE, FALSE, sizeof(mstime_t));
	for (guint i = 0; i < cases[c].nodes; i++) {
		s.keys[i] = KEY(i);
		if (i < cases[c].apart)
			s.nodes[i].cut_until = RUN_MS;
	}
	for (guint i = 0; i < cases[c].nodes; i++) {
		s.nodes[i].views = g_new0(view_t, cases[c].upstreams);
		for (guint k = 0; k < cases[c].upstreams; k++)
			brittle_name(&s.nodes[i].views[k].brittle,
				     cases[c].turned_per_s, 1);
		share_(c, i, 1);
	}
}

static void finish_(int c)
{
	for (guint i = 0; i < cases[c].nodes; i++)
		g_free(s.nodes[i].views);
	for (guint k = 0; k < cases[c].upstreams; k++)
		g_array_unref(s.upstreams[k].turned_at);
	g_free(s.nodes);
	g_free(s.upstreams);
	g_free(s.keys);
	g_array_unref(s.requests);
	g_rand_free(s.rand);
}

/* A request comes to one node. */
static void come_(int c, mstime_t now)
{
	guint i = (guint)draw_((int)cases[c].nodes);
	guint first = (guint)draw_((int)cases[c].upstreams);
	node_t *n = &s.nodes[i];

	s.came += now >= LEAD_MS;
	for (guint j = 0; j < cases[c].upstreams; j++) {
		guint k = (first + j) % cases[c].upstreams;
		upstream_t *u = &s.upstreams[k];
		view_t *v = &n->views[k];
		int past = u->past[(now / STEP_MS + 1) % REPORT_STEPS];
		request_t r = { i, k, STAGE_SENT, false,
				now + 1 + draw_(WAY_MS) };

		if (now < u->fallen_until ||
		    !brittle_allows(&v->brittle, &n->place, KEY(k), v->own,
				    past < cases[c].slots * 3 / 4, now))
			continue;
		brittle_spend(&v->brittle, &n->place, KEY(k), v->own, now);
		v->own++;
		g_array_append_val(s.requests, r);
		return;
	}
}

/* All that is under way there ends without an answer. */
static void fall_(guint k, mstime_t now)
{
	upstream_t *u = &s.upstreams[k];

	s.falls++;
	u->fallen_until = now + FALLEN_MS;
	u->running = 0;
	g_array_set_size(u->turned_at, 0);
	for (guint j = 0; j < s.requests->len; j++) {
		request_t *r = &g_array_index(s.requests, request_t, j);

		if (r->upstream != k)
			continue;
		r->stage = STAGE_ANSWERED;
		r->next_at = now;
	}
}

static void arrive_(int c, request_t *r, mstime_t now)
{
	upstream_t *u = &s.upstreams[r->upstream];
	mstime_t after = now - WINDOW_MS;

	if (now < u->fallen_until) {
		r->stage = STAGE_ANSWERED;
		return;
	}
	if (u->running < cases[c].slots) {
		u->running++;
		r->stage = STAGE_RUNS;
		/* Between half and one and a half of the mean. */
		r->next_at = now + cases[c].run_ms / 2 + draw_(cases[c].run_ms);
		return;
	}
	r->stage = STAGE_ANSWERED;
	r->turned_away = true;
	r->next_at = now + 1 + draw_(WAY_MS);
	if (now < LEAD_MS)
		return;
	g_array_append_val(u->turned_at, now);
	while (g_array_index(u->turned_at, mstime_t, 0) <= after)
		g_array_remove_index(u->turned_at, 0);
	s.most_turned = MAX(s.most_turned, (int)u->turned_at->len);
	if ((int)u->turned_at->len > cases[c].turned_per_s)
		fall_(r->upstream, now);
}

static void end_(const request_t *r, mstime_t now)
{
	view_t *v = &s.nodes[r->node].views[r->upstream];

	v->own--;
	if (r->turned_away)
		brittle_turned_away(&v->brittle, now);
}

static void step_(int c, mstime_t now)
{
	for (guint j = s.requests->len; j-- > 0;) {
		request_t *r = &g_array_index(s.requests, request_t, j);

		if (now < r->next_at)
			continue;
		if (r->stage == STAGE_ANSWERED) {
			end_(r, now);
			g_array_remove_index_fast(s.requests, j);
		} else if (r->stage == STAGE_RUNS) {
			s.upstreams[r->upstream].running--;
			r->stage = STAGE_ANSWERED;
			r->next_at = now + 1 + draw_(WAY_MS);
		} else {
			arrive_(c, r, now);
		}
	}
	for (guint k = 0; k < cases[c].upstreams; k++) {
		upstream_t *u = &s.upstreams[k];

		u->past[now / STEP_MS % REPORT_STEPS] = u->running;
		if (now >= LEAD_MS)
			s.busy_ms += (double)u->running * STEP_MS;
	}
}

static void cut_(int c, guint *cut, mstime_t now)
{
	for (guint i = 0; i < cases[c].nodes; i++) {
		if (s.nodes[i].cut_until && now >= s.nodes[i].cut_until) {
			s.nodes[i].cut_until = 0;
			share_(c, i, now);
		}
	}
	if (*cut >= cases[c].cuts || now < LEAD_MS + *cut * CUT_MS)
		return;
	s.nodes[*cut].cut_until = now + CUT_MS;
	share_(c, (*cut)++, now);
}

START_TEST(test_falls_and_places_left_empty)
{
	int slots = (int)cases[_i].upstreams * cases[_i].slots;
	double per_step = cases[_i].load * slots * STEP_MS / cases[_i].run_ms;
	double least = cases[_i].least * MIN(1, cases[_i].load);

	for (guint32 seed = 0; seed < SEEDS; seed++) {
		double due = 0;
		double used;
		guint cut = 0;

		start_(_i, seed);
		for (mstime_t now = STEP_MS; now < RUN_MS; now += STEP_MS) {
			cut_(_i, &cut, now);
			step_(_i, now);
			due -= per_step;
			while (due < 0) {
				come_(_i, now);
				due -= log(1 - g_rand_double(s.rand));
			}
		}
		used = s.busy_ms / (slots * (double)(RUN_MS - LEAD_MS));
		printf("%s, seed %u: %u falls, at most %d turned away in a "
		       "second, %.2f of the slots used\n",
		       cases[_i].what, seed, s.falls, s.most_turned, used);
		ck_assert_msg(s.falls <= 2 + cases[_i].upstreams / 10,
			      "%s, seed %u: %u falls", cases[_i].what, seed,
			      s.falls);
		ck_assert_msg(used >= least, "%s, seed %u: %.2f used",
			      cases[_i].what, seed, used);
		finish_(_i);
	}
}
END_TEST

static const struct {
	guint nodes;
	int slots;
} division_cases[] = { { 1, 8 }, { 6, 4 }, { 7, 8 }, { 59, 8 }, { 295, 64 } };

/* Each slot belongs to one node. */
START_TEST(test_parts_fit)
{
	guint count = division_cases[_i].nodes;
	uint64_t *keys = g_new(uint64_t, count);
	int sum = 0;

	for (guint i = 0; i < count; i++)
		keys[i] = KEY(i);
	for (guint i = 0; i <= count; i++) {
		brittle_t b = { 0 };

		brittle_name(&b, 4, 1000);
		brittle_share(&b, keys, count, i, 77, division_cases[_i].slots,
			      count);
		ck_assert(i < count || !b.part);
		sum += b.part;
	}
	ck_assert_int_eq(sum, division_cases[_i].slots);
	g_free(keys);
}
END_TEST

START_TEST(test_life)
{
	rate_limit_place_t unknown = { 0 };
	brittle_t b = { 0 };

	ck_assert(brittle_allows(&b, &unknown, 1, 100, false, 1000));
	ck_assert(brittle_name(&b, 4, 1000));
	ck_assert(!brittle_name(&b, 4, 1100));
	/* Its part is not known yet. */
	ck_assert(!brittle_allows(&b, &unknown, 1, 0, true, 1100));
	brittle_share(&b, (const uint64_t[]){ 5 }, 1, 0, 1, 8, 1);
	ck_assert(brittle_allows(&b, &unknown, 1, 7, false, 1200));
	ck_assert(!brittle_allows(&b, &unknown, 1, 8, false, 1200));
	brittle_turned_away(&b, 1200);
	ck_assert(!brittle_allows(&b, &unknown, 1, 0, true, 1449));
	ck_assert(brittle_allows(&b, &unknown, 1, 0, true, 1450));
	ck_assert(!brittle_omit(&b, 1050));
	ck_assert(brittle_omit(&b, 1100));
	ck_assert(!brittle_omit(&b, 1200));
	ck_assert(brittle_allows(&b, &unknown, 1, 100, false, 2000));
}
END_TEST

Suite *brittle_suite(void)
{
	Suite *suite = suite_create("brittle");
	TCase *c = tcase_create("brittle");

	tcase_set_timeout(c, 100);
	tcase_add_loop_test(c, test_falls_and_places_left_empty, 0,
			    G_N_ELEMENTS(cases));
	tcase_add_loop_test(c, test_parts_fit, 0, G_N_ELEMENTS(division_cases));
	tcase_add_test(c, test_life);
	suite_add_tcase(suite, c);
	return suite;
}
