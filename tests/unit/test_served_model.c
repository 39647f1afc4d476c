#include "suites.h"

#include <kcf/served_model.h>

/* Fraction of requests in five seconds that may exceed the load limit. */
#define OVER_LIMIT_MAX 0.03
#define SEEDS 40
/* Simulating a large fleet takes a second. */
#define SEEDS_LARGE 8

typedef struct limit_case {
	const char *load;
	bool large; /* a fleet in which load reports spread slowly */
	double requests_per_s;
	mstime_t drain_at;
	mstime_t restore_at;
	mstime_t add_at;
	int added_engines;
	double hot_fraction;
	mstime_t hot_at;
} limit_case_t;

static const limit_case_t limit_cases[] = {
	{ "steady", false, 100, 0, 0, 0, 0 },
	{ "a data centre is drained", false, 100, 1000, 25000, 0, 0 },
	{ "a data centre is drained, many callers", false, 200, 1000, 25000, 0,
	  0 },
	{ "empty engines are added", false, 100, 0, 0, 2000, 5 },
	{ "many empty engines are added", false, 200, 0, 0, 2000, 9 },
	{ "large", true, 430, 0, 0, 0, 0 },
	{ "large, empty engines are added", true, 430, 0, 0, 2000, 15 },
	{ "large, a data centre is drained", true, 430, 1000, 14000, 0, 0 },
	{ "one prompt is hot", false, 100, 0, 0, 0, 0, 0.28, 4000 },
	{ "large, one prompt is hot", true, 430, 0, 0, 0, 0, 0.28, 4000 },
	{ "large, one prompt is hot from the start", true, 430, 0, 0, 0, 0,
	  0.28, 0 },
};

static void enlarge_(served_conf_t *conf)
{
	conf->arrivals_ms = 15000;
	conf->nodes = 78;
	conf->engines = 65;
	conf->data_centres = 4;
	conf->prompt_count = 1000;
	conf->work_ms = 790;
}

static void check_limit_(const limit_case_t *k)
{
	guint32 seeds = k->large ? SEEDS_LARGE : SEEDS;

	for (guint32 seed = 1; seed <= seeds; seed++) {
		served_conf_t conf;
		served_result_t r;

		served_conf_init(&conf);
		if (k->large)
			enlarge_(&conf);
		conf.seed = seed;
		conf.requests_per_s = k->requests_per_s;
		conf.drain_at = k->drain_at;
		conf.restore_at = k->restore_at;
		conf.add_at = k->add_at;
		conf.added_engines = k->added_engines;
		conf.hot_fraction = k->hot_fraction;
		conf.hot_at = k->hot_at;
		served_run(&conf, &r, NULL);
		ck_assert_int_gt(r.arrivals, 0);
		ck_assert_int_eq(r.refused, 0);
		ck_assert_msg(
			r.over_limit_worst <= OVER_LIMIT_MAX,
			"%s, seed %u: %.3f of the requests in five seconds",
			k->load, seed, r.over_limit_worst);
	}
}

/* Load: bursts at nodes that learn the engines' loads with a delay. */
START_TEST(test_few_requests_exceed_the_load_limit)
{
	check_limit_(&limit_cases[_i]);
}
END_TEST

START_TEST(test_same_seed_same_result)
{
	served_conf_t conf;
	served_result_t a;
	served_result_t b;

	served_conf_init(&conf);
	conf.seed = 7;
	served_run(&conf, &a, NULL);
	served_run(&conf, &b, NULL);
	ck_assert_int_eq(a.arrivals, b.arrivals);
	ck_assert_int_eq(a.warm_hits, b.warm_hits);
	ck_assert_int_eq(a.over_limit, b.over_limit);
	ck_assert_int_eq(a.peak_load, b.peak_load);
	ck_assert(a.over_limit_worst == b.over_limit_worst);
	ck_assert(a.first_p95_ms == b.first_p95_ms);
	conf.seed = 8;
	served_run(&conf, &b, NULL);
	ck_assert_int_ne(a.arrivals, b.arrivals);
}
END_TEST

START_TEST(test_seconds_add_up)
{
	GArray *seconds = g_array_new(FALSE, TRUE, sizeof(served_second_t));
	served_conf_t conf;
	served_result_t r;
	int arrivals = 0;
	int warm = 0;
	int peak = 0;

	served_conf_init(&conf);
	conf.seed = 3;
	conf.arrivals_ms = 5000;
	served_run(&conf, &r, seconds);
	for (guint i = 0; i < seconds->len; i++) {
		const served_second_t *s =
			&g_array_index(seconds, served_second_t, i);

		arrivals += s->arrivals;
		warm += s->warm_hits;
		peak = MAX(peak, s->peak_load);
	}
	ck_assert_int_eq(arrivals, r.arrivals - r.refused);
	ck_assert_int_eq(warm, r.warm_hits);
	ck_assert_int_eq(peak, r.peak_load);
	g_array_unref(seconds);
}
END_TEST

/* Load: repeated prompts. */
START_TEST(test_prompts_find_warm_caches)
{
	served_conf_t conf;
	served_result_t bounded;
	served_result_t other;

	served_conf_init(&conf);
	conf.seed = 1;
	served_run(&conf, &bounded, NULL);
	for (int i = PLACEMENT_RANDOM; i < PLACEMENT_COUNT; i++) {
		if (i == PLACEMENT_HASH)
			continue;
		conf.placement = (placement_t)i;
		served_run(&conf, &other, NULL);
		ck_assert_int_gt(bounded.warm_hits, other.warm_hits);
		ck_assert(bounded.first_p50_ms < other.first_p50_ms);
	}
}
END_TEST

/* Load: more than the engines can serve. Excess requests queue for slots. */
START_TEST(test_overload_queues_before_the_slots)
{
	served_conf_t conf;
	served_result_t r;

	served_conf_init(&conf);
	conf.seed = 1;
	conf.slots = 4;
	conf.arrivals_ms = 5000;
	served_run(&conf, &r, NULL);
	ck_assert_int_gt(r.refused, 0);
	ck_assert(r.first_p95_ms > conf.cold_ms);
}
END_TEST

Suite *served_model_suite(void)
{
	Suite *s = suite_create("served_model");
	TCase *c = tcase_create("model");

	tcase_set_timeout(c, 60);
	tcase_add_loop_test(c, test_few_requests_exceed_the_load_limit, 0,
			    G_N_ELEMENTS(limit_cases));
	tcase_add_test(c, test_same_seed_same_result);
	tcase_add_test(c, test_seconds_add_up);
	tcase_add_test(c, test_prompts_find_warm_caches);
	tcase_add_test(c, test_overload_queues_before_the_slots);
	suite_add_tcase(s, c);
	return s;
}
