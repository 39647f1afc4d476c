#include "suites.h"

#include <kcf/latency.h>
#include <string.h>

static const struct {
	mstime_t ms;
	const char *counted;	 /* line of the lowest bucket that counts it */
	const char *not_counted; /* line of the highest that does not */
} cases[] = {
	{ 0, "m_bucket{k=\"v\",le=\"1\"} 1\n", NULL },
	{ 1, "m_bucket{k=\"v\",le=\"2\"} 1\n",
	  "m_bucket{k=\"v\",le=\"1\"} 0\n" },
	{ 250, "m_bucket{k=\"v\",le=\"300\"} 1\n",
	  "m_bucket{k=\"v\",le=\"200\"} 0\n" },
	{ 40000, "m_bucket{k=\"v\",le=\"+Inf\"} 1\n",
	  "m_bucket{k=\"v\",le=\"30000\"} 0\n" },
	{ -5, "m_bucket{k=\"v\",le=\"1\"} 1\n", NULL },
};

START_TEST(test_buckets)
{
	GString *out = g_string_new(NULL);
	latency_t l;

	latency_init(&l);
	latency_add(&l, cases[_i].ms);
	latency_render(&l, "m", "k=\"v\"", out);
	ck_assert_ptr_nonnull(strstr(out->str, cases[_i].counted));
	if (cases[_i].not_counted)
		ck_assert_ptr_nonnull(strstr(out->str, cases[_i].not_counted));
	ck_assert_ptr_nonnull(strstr(out->str, "m_count{k=\"v\"} 1\n"));
	latency_finish(&l);
	g_string_free(out, TRUE);
}
END_TEST

Suite *latency_suite(void)
{
	Suite *s = suite_create("latency");
	TCase *c = tcase_create("latency");

	tcase_add_loop_test(c, test_buckets, 0, G_N_ELEMENTS(cases));
	suite_add_tcase(s, c);
	return s;
}
