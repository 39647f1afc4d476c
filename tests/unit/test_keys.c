#include "../../packages/node/private/hop.h"
#include "../../packages/node/private/once_key.h"
#include "suites.h"

#include <string.h>

static const unsigned char peer_key[PEER_KEY_BYTES] = { 1, 2, 3 };
static const unsigned char other_peer_key[PEER_KEY_BYTES] = { 3, 2, 1 };

static const hop_t valid_hops[] = {
	{ 0, 0, HOP_ONCE_NONE },
	{ 2, 0xdeadbeef, HOP_ONCE_CLAIMED },
	{ 1, 7, HOP_ONCE_RESOLVE_HERE },
};

START_TEST(test_hop)
{
	char text[HOP_TEXT_MAX];
	hop_t got = { 0 };

	hop_format(peer_key, "req-1", &valid_hops[_i], text);
	ck_assert(hop_parse(peer_key, "req-1", str_of(text), &got));
	ck_assert_int_eq(got.count, valid_hops[_i].count);
	ck_assert_uint_eq(got.target, valid_hops[_i].target);
	ck_assert_int_eq(got.once, valid_hops[_i].once);
	ck_assert(!hop_parse(peer_key, "req-2", str_of(text), &got));
	ck_assert(!hop_parse(other_peer_key, "req-1", str_of(text), &got));
	text[0]++;
	ck_assert(!hop_parse(peer_key, "req-1", str_of(text), &got));
}
END_TEST

static const char *const malformed_hops[] = {
	"",
	"x",
	"1.2",
	"1.00000000.0.",
	"1.00000000.9.00",
	"-1.0.0.0",
	"1.00000000.1.000102030405060708090a0b0c0d0e0f00112233445566778899000",
};

START_TEST(test_malformed_hop)
{
	hop_t got;

	ck_assert(!hop_parse(peer_key, "r", str_of(malformed_hops[_i]), &got));
}
END_TEST

Suite *hop_suite(void)
{
	Suite *s = suite_create("hop");
	TCase *t = tcase_create("hop");

	tcase_add_loop_test(t, test_hop, 0, G_N_ELEMENTS(valid_hops));
	tcase_add_loop_test(t, test_malformed_hop, 0,
			    G_N_ELEMENTS(malformed_hops));
	suite_add_tcase(s, t);
	return s;
}

static const struct {
	const char *text;
	bool ok;
} key_forms[] = {
	{ "1796342000-hold-77", true },
	{ "1796342000-a", true },
	{ "1796342000-", false },
	{ "1796342000", false },
	{ "17963420-hold", false },
	{ "hold-77", false },
	{ "", false },
	{ "1796342000-a/b", false },
	{ "1796342000-a b", false },
	{ "0000000000-a", false },
};

START_TEST(test_key_form)
{
	ck_assert(once_key_is_valid(str_of(key_forms[_i].text)) ==
		  key_forms[_i].ok);
}
END_TEST

START_TEST(test_issued_key)
{
	char text[ISSUED_KEY_MAX];
	char scoped[128];
	issued_key_t got;

	once_key_issue(peer_key, "baires-1-a", 0x123456, 1796342000000, text);
	ck_assert(once_key_is_valid(str_of(text)));
	ck_assert(once_key_parse_issued(peer_key, str_of(text), &got));
	ck_assert_str_eq(got.node, "baires-1-a");
	ck_assert_uint_eq(got.incarnation, 0x123456);
	ck_assert_int_eq(got.issued_at_s, 1796342000);
	ck_assert(!once_key_parse_issued(other_peer_key, str_of(text), &got));
	/* The longest node name fits into ISSUED_KEY_MAX. */
	once_key_issue(peer_key,
		       "a23456789012345678901234567890123456789012345678901234"
		       "567890123",
		       UINT32_MAX, 1796342000000, text);
	ck_assert(once_key_is_valid(str_of(text)));
	ck_assert(once_key_parse_issued(peer_key, str_of(text), &got));
	once_key_issue(peer_key, "baires-1-a", 0x123456, 1796342000000, text);
	ck_assert(
		!once_key_parse_issued(peer_key, str_of("1796342000-a"), &got));
	ck_assert(once_key_scope("c", "s", str_of("1796342000-a"), scoped,
				 sizeof(scoped)));
	ck_assert(str_eq(once_key_unscoped(scoped), str_of("1796342000-a")));
	ck_assert_int_eq(once_key_time_s(str_of("1796342000-a")), 1796342000);
	ck_assert(!once_key_scope("c", "s", str_of("1796342000-a"), scoped, 8));
}
END_TEST

Suite *once_key_suite(void)
{
	Suite *s = suite_create("once_key");
	TCase *t = tcase_create("once_key");

	tcase_add_loop_test(t, test_key_form, 0, G_N_ELEMENTS(key_forms));
	tcase_add_test(t, test_issued_key);
	suite_add_tcase(s, t);
	return s;
}
