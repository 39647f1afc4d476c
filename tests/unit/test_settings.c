#include "suites.h"

#include <kcf/settings.h>
#include <string.h>
#include <syslog.h>

#define KEY64 "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define HEAD                                                                   \
	"[node]\nname = \"a\"\ndata_centre = \"d\"\nregion = \"r\"\n"          \
	"[callers]\nlisten = \"127.0.0.1:1\"\n"
#define OPERATORS                                                              \
	"[operators]\nlisten = \"127.0.0.1:2\"\n"                              \
	"keys = [{ operator = \"ana\", sha256 = \"" KEY64 "\" }]\n"
#define PEERS "[peers]\nlisten = \"127.0.0.1:3\"\nkey = \"" KEY64 "\"\n"
#define PLATFORM                                                               \
	"[platform]\nlog = \"http://127.0.0.1:4\"\n"                           \
	"host_list = \"http://127.0.0.1:5\"\n"
#define GOOD HEAD OPERATORS PEERS PLATFORM

static const struct {
	const char *text;
	int err;
	guint faults;
	const char *first; /* begins the first fault */
} files[] = {
	{ GOOD, SETTINGS_OK, 0, NULL },
	{ GOOD "[log]\nlevel = \"debug\"\n", SETTINGS_OK, 0, NULL },
	{ "name = ", SETTINGS_ESYNTAX, 1, "line 1: " },
	{ "", SETTINGS_EFAULTS, 5, NULL },
	{ GOOD "[log]\nlevel = \"loud\"\n", SETTINGS_EFAULTS, 1,
	  "line 17: log.level: must be one of" },
	{ GOOD "[extra]\nx = 1\n", SETTINGS_EFAULTS, 1,
	  "line 16: extra: unknown field" },
	{ HEAD "max_body_bytes = \"big\"\nmax_connections = 0\n" OPERATORS PEERS
		  PLATFORM,
	  SETTINGS_EFAULTS, 2, NULL },
	{ HEAD "tls_cert = \"a.pem\"\n" OPERATORS PEERS PLATFORM,
	  SETTINGS_EFAULTS, 2, "line 5: callers: tls_ca is needed" },
	{ "[node]\nname = \"No\"\ndata_centre = \"d\"\nregion = \"r\"\n"
	  "[callers]\nlisten = \"host:1\"\n" OPERATORS PEERS PLATFORM,
	  SETTINGS_EFAULTS, 2, NULL },
};

START_TEST(test_files)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	settings_t s;

	settings_init(&s);
	ck_assert_int_eq(settings_parse(&s, str_of(files[_i].text), faults),
			 files[_i].err);
	ck_assert_uint_eq(faults->len, files[_i].faults);
	if (files[_i].first)
		ck_assert_msg(
			g_str_has_prefix(faults->pdata[0], files[_i].first),
			"%s", (char *)faults->pdata[0]);
	/* Nothing is half applied. */
	ck_assert_str_eq(s.name->str, files[_i].err ? "" : "a");
	settings_finish(&s);
	g_ptr_array_unref(faults);
}
END_TEST

START_TEST(test_values)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	settings_t s;

	settings_init(&s);
	settings_parse(&s, str_of(GOOD "[log]\nlevel = \"debug\"\n"), faults);
	ck_assert_str_eq(s.peer_listen->str, "127.0.0.1:3");
	ck_assert_int_eq(s.peer_key[31], 0x1f);
	ck_assert_int_eq(s.log_level, LOG_DEBUG);
	ck_assert_int_eq(s.peer_budget, 4096);
	ck_assert_uint_eq(s.operator_names->len, 1);
	settings_finish(&s);
	g_ptr_array_unref(faults);
}
END_TEST

Suite *settings_suite(void)
{
	Suite *s = suite_create("settings");
	TCase *t = tcase_create("settings");

	tcase_add_loop_test(t, test_files, 0, sizeof(files) / sizeof(files[0]));
	tcase_add_test(t, test_values);
	suite_add_tcase(s, t);
	return s;
}
