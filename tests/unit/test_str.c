#include "suites.h"

#include <kcf/address.h>
#include <kcf/str.h>

static const struct {
	const char *text;
	bool ok;
	int64_t value;
} numbers[] = {
	{ "0", true, 0 },
	{ "42", true, 42 },
	{ "-7", true, -7 },
	{ "9223372036854775807", true, INT64_MAX },
	{ "9223372036854775808", false, 0 },
	{ "", false, 0 },
	{ "-", false, 0 },
	{ " 1", false, 0 },
	{ "1 ", false, 0 },
	{ "1x", false, 0 },
	{ "0x10", false, 0 },
	{ "111111111111111111111111111111", false, 0 },
};

START_TEST(test_to_int)
{
	int64_t v = 0;

	ck_assert(str_to_int(str_of(numbers[_i].text), &v) == numbers[_i].ok);
	ck_assert_int_eq(v, numbers[_i].value);
}
END_TEST

static const struct {
	const char *text;
	bool ok;
} addresses[] = {
	{ "127.0.0.1:80", true },
	{ "127.0.0.1:65535", true },
	{ "127.0.0.1:0", false },
	{ "127.0.0.1:65536", false },
	{ "127.0.0.1", false },
	{ "localhost:80", false },
	{ "1.2.3.4.5:80", false },
	{ "", false },
	{ "127.0.0.1:8a", false },
	{ "999.0.0.1:80", false },
	{ "255.255.255.255.255:1", false },
};

START_TEST(test_address)
{
	struct sockaddr_in sa;
	char text[ADDRESS_TEXT_MAX];

	ck_assert(address_parse(addresses[_i].text, &sa) == addresses[_i].ok);
	if (!addresses[_i].ok)
		return;
	address_format(&sa, text);
	ck_assert_str_eq(text, addresses[_i].text);
}
END_TEST

START_TEST(test_views)
{
	str_t s = str_of("abcdef");

	ck_assert(str_starts_with(s, str_of("abc")));
	ck_assert(!str_starts_with(str_of("ab"), str_of("abc")));
	ck_assert(str_eq(str_skip(s, 4), str_of("ef")));
	ck_assert(str_eq(str_skip(s, 9), STR_NONE));
	ck_assert(str_hash64(s, 1) != str_hash64(s, 2));
}
END_TEST

Suite *str_suite(void)
{
	Suite *s = suite_create("str");
	TCase *t = tcase_create("str");

	tcase_add_loop_test(t, test_to_int, 0,
			    sizeof(numbers) / sizeof(numbers[0]));
	tcase_add_loop_test(t, test_address, 0,
			    sizeof(addresses) / sizeof(addresses[0]));
	tcase_add_test(t, test_views);
	suite_add_tcase(s, t);
	return s;
}
