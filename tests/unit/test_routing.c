#include "suites.h"

#include <kcf/retry_budget.h>
#include <kcf/route_table.h>

static route_table_t *table;

static void add_(const char *host, const char *prefix)
{
	routing_route_t *r = routing_route_new();

	r->name = g_strdup(prefix);
	r->host = g_strdup(host);
	r->prefix = g_strdup(prefix);
	route_table_add_route(table, r);
}

static void setup_(void)
{
	table = route_table_new(3);
	add_("a.example", "/x/");
	add_("a.example", "/x/y/");
	add_("a.example", "/z/");
	add_("B.example", "/x/");
	route_table_add_key(table, "k1", "acme", 2);
}

static void finish_(void)
{
	route_table_unref(table);
}

static const struct {
	const char *host;
	const char *path;
	const char *prefix; /* of the route, NULL for none */
} matches[] = {
	{ "a.example", "/x/1", "/x/" },
	{ "a.example", "/x/y/1", "/x/y/" },
	{ "A.Example:8080", "/x/", "/x/" },
	{ "a.example", "/x", NULL },
	{ "a.example", "/xx/1", NULL },
	{ "a.example", "/%78/1", NULL },
	{ "a.example", "/z/../x/1", "/z/" },
	{ "b.example", "/x/1", "/x/" },
	{ "b.example", "/z/1", NULL },
	{ "c.example", "/x/1", NULL },
	{ "", "/x/1", NULL },
};

START_TEST(test_match)
{
	const routing_route_t *r = route_table_match(
		table, str_of(matches[_i].host), str_of(matches[_i].path));

	if (!matches[_i].prefix)
		ck_assert_ptr_null(r);
	else
		ck_assert_str_eq(r->prefix, matches[_i].prefix);
}
END_TEST

static const struct {
	const char *key;
	const char *customer;
} keys[] = {
	{ "k1", "acme" },
	{ "k", NULL },
	{ "k11", NULL },
	{ "", NULL },
};

START_TEST(test_key)
{
	const routing_customer_t *c =
		route_table_customer(table, str_of(keys[_i].key));

	if (!keys[_i].customer)
		ck_assert_ptr_null(c);
	else
		ck_assert_str_eq(c->name, keys[_i].customer);
}
END_TEST

static const struct {
	double position;
	const char *service;
} weight_cases[] = {
	{ 0, "nine" },
	{ 0.89, "nine" },
	{ 0.91, "one" },
	{ 1, "one" },
};

START_TEST(test_weights)
{
	routing_route_t *r = routing_route_new();
	route_target_t targets[] = { { g_strdup("none"), 0 },
				     { g_strdup("nine"), 90 },
				     { g_strdup("one"), 10 } };

	ck_assert_ptr_null(
		routing_route_pick_target(r, weight_cases[_i].position));
	g_array_append_vals(r->targets, targets, G_N_ELEMENTS(targets));
	ck_assert_str_eq(
		routing_route_pick_target(r, weight_cases[_i].position),
		weight_cases[_i].service);
	routing_route_free(r);
}
END_TEST

/* Limits on the retries of all nodes together in any window. */
static const struct {
	int nodes;
	int per_s; /* requests at each node */
	double ratio;
	double burst;
} budget_cases[] = {
	{ 1, 100, 0.2, 54 },
	{ 7, 20, 0.2, 54 },
	{ 7, 1, 0.1, 30 },
	{ 3, 0, 0.2, 54 },
};

/* Load: every request fails, and each node retries whenever allowed. */
START_TEST(test_budget_in_any_window)
{
	retry_budget_conf_t conf = { budget_cases[_i].ratio,
				     budget_cases[_i].burst, 10000 };
	retry_budget_t r = { 0 };
	GArray *retries = g_array_new(FALSE, FALSE, sizeof(mstime_t));
	int sent = 0;

	for (mstime_t now = 5000000; now < 5040000; now += 10) {
		while (budget_cases[_i].per_s &&
		       sent * 1000 < budget_cases[_i].per_s * (now - 5000000)) {
			retry_budget_count_request(&r, &conf, now);
			sent++;
		}
		if (retry_budget_spend(&r, &conf, budget_cases[_i].nodes, now))
			g_array_append_val(retries, now);
	}
	for (guint i = 0; i < retries->len; i++) {
		mstime_t from = g_array_index(retries, mstime_t, i);
		int n = 0;

		for (guint j = i; j < retries->len; j++)
			n += g_array_index(retries, mstime_t, j) < from + 10000;
		ck_assert_double_le(
			n * budget_cases[_i].nodes,
			budget_cases[_i].ratio * budget_cases[_i].per_s * 10 *
					budget_cases[_i].nodes +
				budget_cases[_i].burst);
	}
	g_array_unref(retries);
}
END_TEST

Suite *routing_suite(void)
{
	Suite *s = suite_create("routing");
	TCase *c = tcase_create("routing");

	tcase_add_checked_fixture(c, setup_, finish_);
	tcase_add_loop_test(c, test_match, 0, G_N_ELEMENTS(matches));
	tcase_add_loop_test(c, test_key, 0, G_N_ELEMENTS(keys));
	tcase_add_loop_test(c, test_weights, 0, G_N_ELEMENTS(weight_cases));
	tcase_add_loop_test(c, test_budget_in_any_window, 0,
			    G_N_ELEMENTS(budget_cases));
	suite_add_tcase(s, c);
	return s;
}
