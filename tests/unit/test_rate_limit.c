#include "suites.h"

#include <kcf/rate_limit.h>
#include <string.h>

#define NODES_MAX 300
#define STEP_MS 5
#define RUN_MS 40000
#define LEARN_MS 3000
#define WINDOW_MS 4000
#define SEED 77
#define SEEDS 4
/* What the users allow in a window. */
#define ALLOWED(per_s) (1.5 * (per_s)*WINDOW_MS / MSEC_PER_SEC + 5)

typedef struct node {
	rate_limit_t limit;
	rate_limit_place_t place;
	mstime_t cut_until; /* it knows fewer nodes */
	mstime_t started_at;
} node_t;

/* A fleet before one upstream that names a rate. */
typedef struct fleet {
	GRand *rand;
	node_t nodes[NODES_MAX];
	guint count;
	double per_s;
	GArray *sent; /* mstime_t of requests of nodes that know the rate */
} fleet_t;

static const struct {
	const char *what;
	guint nodes;
	double per_s;
	double load_per_s; /* of each node */
	bool faults;	   /* cuts, restarts and pauses */
	double used_min;   /* fraction of the rate that is used */
} fleet_cases[] = {
	{ "small fleet", 7, 4.8, 14, false, 0.7 },
	{ "small fleet, faults", 7, 4.8, 14, true, 0.4 },
	{ "small rate", 7, 0.4, 14, false, 0.5 },
	{ "no requests at all", 7, 0, 14, false, 0 },
	{ "large rate", 9, 400, 60, false, 0.7 },
	{ "little load", 9, 50, 1, false, 0 },
	{ "large fleet", 295, 5, 6, false, 0.6 },
	{ "large fleet, faults", 295, 5, 6, true, 0.3 },
	{ "large fleet, many idle", 295, 5, 0.05, false, 0 },
};

/* Divides the rate as a node does with what it knows of the others. */
static void share_(fleet_t *f, guint i, mstime_t now)
{
	uint64_t keys[NODES_MAX];
	node_t *n = &f->nodes[i];
	guint count = 0;
	guint own = 0;

	for (guint k = 0; k < f->count; k++) {
		/* A node that is cut off takes every other one for dead. */
		if (now < n->cut_until && k != i && (i + k) % 2)
			continue;
		own = k == i ? count : own;
		keys[count++] = k * 0x9e3779b9U;
	}
	n->place = (rate_limit_place_t){ own, count, (mstime_t)i % 40 };
	n->limit.holder_share =
		rate_limit_share(keys, count, own, SEED, f->per_s);
}

static void disturb_(fleet_t *f, mstime_t now)
{
	guint i = (guint)g_rand_int_range(f->rand, 0, (gint32)f->count);
	node_t *n = &f->nodes[i];

	if (g_rand_int_range(f->rand, 0, 2)) {
		n->cut_until = now + 2000;
		return;
	}
	memset(&n->limit, 0, sizeof(n->limit));
	n->started_at = now;
}

static void step_(fleet_t *f, guint i, double load_per_s, mstime_t now)
{
	node_t *n = &f->nodes[i];
	bool knew = n->limit.active;

	if (g_rand_double(f->rand) > load_per_s * STEP_MS / MSEC_PER_SEC)
		return;
	if (!rate_limit_allows(&n->limit, &n->place, SEED, now))
		return;
	rate_limit_spend(&n->limit, &n->place, SEED, now);
	if (knew)
		g_array_append_val(f->sent, now);
	rate_limit_name(&n->limit, f->per_s, now);
	share_(f, i, now);
}

static guint busiest_window_(const GArray *sent, mstime_t from)
{
	guint most = 0;
	guint first = 0;

	for (guint i = 0; i < sent->len; i++) {
		mstime_t at = g_array_index(sent, mstime_t, i);

		while (g_array_index(sent, mstime_t, first) < from ||
		       g_array_index(sent, mstime_t, first) <= at - WINDOW_MS) {
			if (first == i)
				break;
			first++;
		}
		if (at >= from)
			most = MAX(most, i - first + 1);
	}
	return most;
}

START_TEST(test_sum_over_the_fleet)
{
	for (guint32 seed = 0; seed < SEEDS; seed++) {
		fleet_t *f = g_new0(fleet_t, 1);
		double used;

		f->rand = g_rand_new_with_seed(seed);
		f->count = fleet_cases[_i].nodes;
		f->per_s = fleet_cases[_i].per_s;
		f->sent = g_array_new(FALSE, FALSE, sizeof(mstime_t));
		for (mstime_t now = 1; now < RUN_MS; now += STEP_MS) {
			if (fleet_cases[_i].faults && now % 500 == 1)
				disturb_(f, now);
			for (guint i = 0; i < f->count; i++) {
				if (now % 500 == 1)
					share_(f, i, now);
				step_(f, i, fleet_cases[_i].load_per_s, now);
			}
		}
		ck_assert_msg(
			busiest_window_(f->sent, LEARN_MS) <= ALLOWED(f->per_s),
			"%s, seed %u: %u in a window", fleet_cases[_i].what,
			seed, busiest_window_(f->sent, LEARN_MS));
		used = f->sent->len * 1000.0 / RUN_MS;
		ck_assert_msg(used >= fleet_cases[_i].used_min * f->per_s,
			      "%s, seed %u: %.2f a second used",
			      fleet_cases[_i].what, seed, used);
		g_array_unref(f->sent);
		g_rand_free(f->rand);
		g_free(f);
	}
}
END_TEST

START_TEST(test_end_of_a_rate)
{
	rate_limit_place_t alone = { 0, 1, 0 };
	rate_limit_t l = { 0 };
	int sent[6] = { 0 }; /* by half seconds */

	ck_assert(rate_limit_name(&l, 2, 1000));
	ck_assert(!rate_limit_name(&l, 2, 1500));
	/* The answer to a request from before the rate proves nothing. */
	ck_assert(!rate_limit_omit(&l, 1400, 1600));
	ck_assert(rate_limit_omit(&l, 1600, 2000));
	ck_assert(!rate_limit_omit(&l, 1700, 2100));
	l.holder_share = 0.7;
	for (mstime_t now = 2000; now < 5000; now += STEP_MS) {
		if (!rate_limit_allows(&l, &alone, SEED, now))
			continue;
		rate_limit_spend(&l, &alone, SEED, now);
		sent[(now - 2000) / 500]++;
	}
	/* It rises step by step, and then nothing is held back. */
	for (int i = 1; i < 4; i++)
		ck_assert_int_gt(sent[i], sent[i - 1]);
	ck_assert(!l.active);
	ck_assert_int_eq(sent[4], 500 / STEP_MS);
	ck_assert_int_eq(sent[5], 500 / STEP_MS);
}
END_TEST

START_TEST(test_wait_is_told)
{
	rate_limit_t l = { .active = true, .per_s = 2, .holder_share = 0.5 };

	ck_assert_int_eq(rate_limit_wait_ms(&l), 1000);
	l.tokens = 0.5;
	ck_assert_int_eq(rate_limit_wait_ms(&l), 500);
	l.holder_share = 0;
	ck_assert_int_eq(rate_limit_wait_ms(&l), 2000);
}
END_TEST

Suite *rate_limit_suite(void)
{
	Suite *s = suite_create("rate_limit");
	TCase *c = tcase_create("rate_limit");

	tcase_set_timeout(c, 60);
	tcase_add_loop_test(c, test_sum_over_the_fleet, 0,
			    G_N_ELEMENTS(fleet_cases));
	tcase_add_test(c, test_end_of_a_rate);
	tcase_add_test(c, test_wait_is_told);
	suite_add_tcase(s, c);
	return s;
}
