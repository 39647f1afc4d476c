#include "suites.h"

#include <kcf/logline.h>
#include <string.h>

static const struct {
	const char *value;
	const char *expected;
} values[] = {
	{ "plain", "plain" },
	{ "", "\"\"" },
	{ "two words", "\"two words\"" },
	{ "a=b", "\"a=b\"" },
	{ "say \"no\"", "\"say \\\"no\\\"\"" },
	{ "line\nbreak", "\"line\\x0abreak\"" },
};

START_TEST(test_value)
{
	GString *line = g_string_new(NULL);
	const log_field_t fields[] = { F_STR("k", values[_i].value),
				       F_INT("n", -3),
				       { 0 } };
	char *suffix =
		g_strdup_printf(" event=e k=%s n=-3\n", values[_i].expected);

	logline_format(line, LOG_INFO, "e", fields);
	ck_assert(g_str_has_prefix(line->str, "<6>ts="));
	ck_assert(g_str_has_suffix(line->str, suffix));
	ck_assert_ptr_eq(strchr(line->str, '\n'), line->str + line->len - 1);
	g_free(suffix);
	g_string_free(line, TRUE);
}
END_TEST

START_TEST(test_level)
{
	ck_assert_int_eq(logline_parse_level("debug"), LOG_DEBUG);
	ck_assert_int_eq(logline_parse_level("loud"), -1);
}
END_TEST

Suite *logline_suite(void)
{
	Suite *s = suite_create("logline");
	TCase *t = tcase_create("logline");

	tcase_add_loop_test(t, test_value, 0,
			    sizeof(values) / sizeof(values[0]));
	tcase_add_test(t, test_level);
	suite_add_tcase(s, t);
	return s;
}
