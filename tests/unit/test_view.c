#include "fixture.h"
#include "suites.h"

#include <kcf/view.h>

static const struct {
	const char *method;
	const char *path;
	bool once;
} calls[] = {
	{ "POST", "/holds", true },   { "POST", "/holds/1", false },
	{ "GET", "/holds", false },   { "PUT", "/r/9", true },
	{ "PUT", "/r/", true },	      { "PUT", "/r", false },
	{ "POST", "/holdsx", false },
};

START_TEST(test_once)
{
	config_t c;
	view_t *v;

	config_init(&c);
	fixture_fleet(&c, 0);
	v = view_new(&c);
	ck_assert(service_runs_once(view_find(v, KIND_SERVICE, "plain"),
				    str_of(calls[_i].method),
				    str_of(calls[_i].path)) == calls[_i].once);
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
	fixture_fleet(&c, 3);
	fixture_put(&c, KIND_DATA_CENTRE, "d2",
		    "{\"region\":\"r\",\"state\":\"out\"}");
	v = view_new(&c);
	customer = view_customer_of(
		v, "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f8"
		   "26b683");
	ck_assert_str_eq(customer->name, "c");
	ck_assert(
		customer_may_use(customer, view_find(v, KIND_SERVICE, "svc")));
	ck_assert(!customer_may_use(customer,
				    view_find(v, KIND_SERVICE, "plain")));
	u = view_find(v, KIND_UPSTREAM, "e0");
	ck_assert(upstream_open(u));
	ck_assert(upstream_serves(u, "m"));
	ck_assert(!upstream_open(view_find(v, KIND_UPSTREAM, "e1")));
	ck_assert_ptr_null(view_find(v, KIND_UPSTREAM, "e9"));
	view_unref(v);
	config_finish(&c);
}
END_TEST

Suite *view_suite(void)
{
	Suite *s = suite_create("view");
	TCase *t = tcase_create("view");

	tcase_add_loop_test(t, test_once, 0, G_N_ELEMENTS(calls));
	tcase_add_test(t, test_fleet);
	suite_add_tcase(s, t);
	return s;
}
