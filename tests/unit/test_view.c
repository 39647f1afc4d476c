#include "fixture.h"
#include "suites.h"

#include <kcf/view.h>

static const struct {
	const char *method;
	const char *path;
	bool once;
} once_calls[] = {
	{ "POST", "/holds", true },   { "POST", "/holds/1", false },
	{ "GET", "/holds", false },   { "PUT", "/r/9", true },
	{ "PUT", "/r/", true },	      { "PUT", "/r", false },
	{ "POST", "/holdsx", false },
};

START_TEST(test_once_rules)
{
	config_t c;
	view_t *v;

	config_init(&c);
	fixture_put_fleet(&c, 0);
	v = view_new(&c);
	ck_assert(service_runs_once(view_find(v, KIND_SERVICE, "plain"),
				    str_of(once_calls[_i].method),
				    str_of(once_calls[_i].path)) ==
		  once_calls[_i].once);
	view_unref(v);
	config_finish(&c);
}
END_TEST

START_TEST(test_fleet)
{
	config_t c;
	view_t *v;
	const customer_t *customer;
	const upstream_t *u;

	config_init(&c);
	fixture_put_fleet(&c, 3);
	fixture_put(&c, KIND_DATA_CENTRE, "d2",
		    "{\"region\":\"r\",\"state\":\"out\"}");
	v = view_new(&c);
	customer = view_customer_by_key(
		v, "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f8"
		   "26b683");
	ck_assert_str_eq(customer->name, "c");
	ck_assert(
		customer_may_use(customer, view_find(v, KIND_SERVICE, "svc")));
	ck_assert(!customer_may_use(customer,
				    view_find(v, KIND_SERVICE, "plain")));
	u = view_find(v, KIND_UPSTREAM, "e0");
	ck_assert(upstream_accepts_work(u));
	ck_assert(upstream_serves_model(u, "m"));
	ck_assert(!upstream_accepts_work(view_find(v, KIND_UPSTREAM, "e1")));
	ck_assert_ptr_null(view_find(v, KIND_UPSTREAM, "e9"));
	view_unref(v);
	config_finish(&c);
}
END_TEST

/*
 * Services whose slots fit one owner or not, and the expected number of groups.
 */
static const struct {
	int engines;
	int slots;
	bool regional;
	guint fewest;
	guint most;
} groups[] = {
	{ 1, 8, true, 1, 1 },	  { 10, 8, true, 1, 1 },
	{ 16, 16, true, 1, 1 },	  { 17, 16, false, 2, 2 },
	{ 40, 64, false, 4, 10 }, { 2, 1000, false, 2, 2 },
};

static GHashTable *upstreams_by_name_(const view_t *v)
{
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < v->upstreams->len; i++) {
		upstream_t *u = v->upstreams->pdata[i];

		g_hash_table_insert(by_name, u->name, u);
	}
	return by_name;
}

START_TEST(test_groups)
{
	GHashTable *distinct = g_hash_table_new(g_int64_hash, g_int64_equal);
	config_t c;
	view_t *v;

	config_init(&c);
	fixture_put_fleet(&c, 0);
	for (int i = 0; i < groups[_i].engines; i++)
		fixture_put_engine(&c, i, groups[_i].slots, 0);
	v = view_new(&c);
	for (guint i = 0; i < v->upstreams->len; i++) {
		upstream_t *u = v->upstreams->pdata[i];

		ck_assert(u->regional == groups[_i].regional);
		g_hash_table_add(distinct, &u->group);
	}
	ck_assert_uint_ge(g_hash_table_size(distinct), groups[_i].fewest);
	ck_assert_uint_le(g_hash_table_size(distinct), groups[_i].most);
	g_hash_table_destroy(distinct);
	view_unref(v);
	config_finish(&c);
}
END_TEST

/* Adding an engine moves few others to another group. */
START_TEST(test_groups_stable)
{
	config_t c;
	view_t *before;
	view_t *after;
	GHashTable *by_name;
	guint moved = 0;

	config_init(&c);
	fixture_put_fleet(&c, 0);
	for (int i = 0; i < 40; i++)
		fixture_put_engine(&c, i, 64, 0);
	before = view_new(&c);
	fixture_put_engine(&c, 40, 64, 0);
	after = view_new(&c);
	by_name = upstreams_by_name_(after);
	for (guint i = 0; i < before->upstreams->len; i++) {
		const upstream_t *u = before->upstreams->pdata[i];
		const upstream_t *now = g_hash_table_lookup(by_name, u->name);

		moved += u->group != now->group;
	}
	ck_assert_uint_le(moved, 10);
	g_hash_table_destroy(by_name);
	view_unref(before);
	view_unref(after);
	config_finish(&c);
}
END_TEST

Suite *view_suite(void)
{
	Suite *s = suite_create("view");
	TCase *t = tcase_create("view");

	tcase_add_loop_test(t, test_once_rules, 0, G_N_ELEMENTS(once_calls));
	tcase_add_test(t, test_fleet);
	tcase_add_loop_test(t, test_groups, 0, G_N_ELEMENTS(groups));
	tcase_add_test(t, test_groups_stable);
	suite_add_tcase(s, t);
	return s;
}
