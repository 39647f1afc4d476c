#include "suites.h"

#include <kcf/resource.h>
#include <kcf/schema.h>

static const struct {
	resource_kind_t kind;
	const char *body;
	guint faults;
} bodies[] = {
	{ KIND_SITE, "{}", 0 },
	{ KIND_SITE, "{\"load_bound\":1.25,\"power_cap_w\":1e6}", 0 },
	{ KIND_SITE, "{\"load_bound\":0.5}", 1 },
	{ KIND_SITE, "{\"load_bound\":\"x\",\"odd\":1}", 2 },
	{ KIND_SITE, "[]", 1 },
	{ KIND_DATA_CENTRE, "{\"region\":\"r\",\"state\":\"out\"}", 0 },
	{ KIND_DATA_CENTRE, "{\"state\":\"gone\"}", 2 },
	{ KIND_SERVICE,
	  "{\"type\":\"plain\",\"once\":[{\"method\":\"POST\","
	  "\"path\":\"/holds\"}]}",
	  0 },
	{ KIND_SERVICE, "{\"type\":\"plain\",\"once\":[{\"method\":1}]}", 2 },
	{ KIND_SERVICE, "{\"type\":\"plain\",\"once\":{}}", 1 },
	{ KIND_UPSTREAM,
	  "{\"service\":\"s\",\"data_centre\":\"d\","
	  "\"address\":\"127.0.0.1:9\"}",
	  0 },
	{ KIND_UPSTREAM,
	  "{\"service\":\"S!\",\"data_centre\":\"d\","
	  "\"address\":\"host:9\",\"slots\":1.5}",
	  3 },
	{ KIND_CUSTOMER, "{\"keys\":[\"00\"]}", 1 },
	{ KIND_CUSTOMER, "{\"keys\":[\"zz\"],\"weight\":0}", 2 },
};

START_TEST(test_bodies)
{
	json_t *body = json_loads(bodies[_i].body, 0, NULL);
	GPtrArray *faults = schema_faults_new();
	bool ok = schema_check(body, resource_fields(bodies[_i].kind), "",
			       faults);

	ck_assert(ok == !bodies[_i].faults);
	ck_assert_uint_eq(faults->len, bodies[_i].faults);
	g_ptr_array_unref(faults);
	json_decref(body);
}
END_TEST

static const struct {
	const char *name;
	bool ok;
} names[] = {
	{ "a", true },
	{ "baires-1", true },
	{ "a.b_c-9", true },
	{ "", false },
	{ "A", false },
	{ "-a", false },
	{ "a/b", false },
	{ "a b", false },
	{ "a234567890123456789012345678901234567890123456789012345678901234",
	  false },
};

START_TEST(test_names)
{
	ck_assert(schema_name_ok(str_of(names[_i].name)) == names[_i].ok);
}
END_TEST

Suite *schema_suite(void)
{
	Suite *s = suite_create("schema");
	TCase *t = tcase_create("schema");

	tcase_add_loop_test(t, test_bodies, 0,
			    sizeof(bodies) / sizeof(bodies[0]));
	tcase_add_loop_test(t, test_names, 0, sizeof(names) / sizeof(names[0]));
	suite_add_tcase(s, t);
	return s;
}
