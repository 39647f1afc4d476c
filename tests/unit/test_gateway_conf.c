#include "suites.h"

#include <kcf/gateway.h>
#include <kcf/logline.h>
#include <unistd.h>

#define NODE "[node]\nname = \"n\"\ndata_centre = \"d\"\nregion = \"r\"\n"
#define LISTEN                                                                 \
	"[listen]\ncallers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\n"   \
	"directory = \"127.0.0.1:3\"\nadmin = \"127.0.0.1:4\"\n"               \
	"peers = \"127.0.0.1:5\"\n"
#define KEY "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define PEERS "[peers]\nkey = \"" KEY "\"\nseeds = [\"127.0.0.2:9\"]\n"
#define STORE "[store]\naddress = \"127.0.0.1:6\"\n"
#define RETRIES "[retries]\nratio = 0.2\nburst = 5\nwindow_s = 10\n"
#define COMPLETE NODE LISTEN PEERS STORE RETRIES

static char *file;
static GPtrArray *faults;
static gateway_conf_t conf;

static void setup_(void)
{
	int fd = g_file_open_tmp("kcf-conf-XXXXXX", &file, NULL);

	ck_assert_int_ge(fd, 0);
	close(fd);
	faults = g_ptr_array_new_with_free_func(g_free);
}

static void teardown_(void)
{
	gateway_conf_finish(&conf);
	g_ptr_array_unref(faults);
	unlink(file);
	g_free(file);
}

static int load_(const char *text)
{
	ck_assert(g_file_set_contents(file, text, -1, NULL));
	return gateway_conf_load(&conf, file, faults);
}

static const struct {
	const char *text;
	placement_t placement;
} placements[] = {
	{ COMPLETE, PLACEMENT_BOUNDED },
	{ COMPLETE "[placement]\n", PLACEMENT_BOUNDED },
	{ COMPLETE "[placement]\nchoice = \"bounded\"\n", PLACEMENT_BOUNDED },
	{ COMPLETE "[placement]\nchoice = \"random\"\n", PLACEMENT_RANDOM },
	{ COMPLETE "[placement]\nchoice = \"least_loaded\"\n",
	  PLACEMENT_LEAST_LOADED },
	{ COMPLETE "[placement]\nchoice = \"hash\"\n", PLACEMENT_HASH },
};

START_TEST(test_placement)
{
	ck_assert_int_eq(load_(placements[_i].text), SETTINGS_OK);
	ck_assert_int_eq(conf.placement, placements[_i].placement);
}
END_TEST

/* Roll-outs are off unless all limits are given. */
static const struct {
	const char *text;
	double share;
} rollouts[] = {
	{ COMPLETE, 0 },
	{ COMPLETE "[rollouts]\n\n\n\n", 0 },
	{ COMPLETE "[rollouts]\nshare = 0.1\n", 0 },
	{ COMPLETE "[rollouts]\nshare = 0.1\ntolerance = 50\n", 0 },
	{ COMPLETE "[rollouts]\nshare = 0.1\ntolerance = 50\n"
		   "rollback_ms = 5000\n",
	  0.1 },
};

START_TEST(test_rollouts)
{
	ck_assert_int_eq(load_(rollouts[_i].text), SETTINGS_OK);
	ck_assert(conf.rollouts.share == rollouts[_i].share);
	ck_assert_int_eq(conf.rollouts.tolerance,
			 rollouts[_i].share > 0 ? 50 : 0);
}
END_TEST

START_TEST(test_complete_settings)
{
	ck_assert_int_eq(load_(COMPLETE "[log]\nlevel = \"debug\"\n"),
			 SETTINGS_OK);
	ck_assert_str_eq(conf.name, "n");
	ck_assert_str_eq(conf.callers, "127.0.0.1:1");
	ck_assert_ptr_null(conf.metrics);
	ck_assert_uint_eq(conf.seeds->len, 1);
	/* All nodes use the same port for datagrams. */
	ck_assert_str_eq(conf.seeds->pdata[0], "127.0.0.2:5");
	ck_assert_int_eq(conf.retries.window_ms, 10000);
	ck_assert_int_eq(conf.log_level, LOG_DEBUG);
}
END_TEST

static const struct {
	const char *text;
	mstime_t hold_ms;
	coalesce_on_t on;
} streams[] = {
	{ COMPLETE, 0, COALESCE_ON_LOSS },
	{ COMPLETE "[streams]\ncoalesce_ms = 80\n", 80, COALESCE_ON_LOSS },
	{ COMPLETE "[streams]\ncoalesce_ms = 60\ncoalesce_on = \"all\"\n", 60,
	  COALESCE_ON_ALL },
};

START_TEST(test_streams)
{
	ck_assert_int_eq(load_(streams[_i].text), SETTINGS_OK);
	ck_assert_int_eq(conf.coalesce.hold_ms, streams[_i].hold_ms);
	ck_assert_int_eq(conf.coalesce.on, streams[_i].on);
}
END_TEST

static const struct {
	const char *line;
	int64_t memory;
} memories[] = {
	{ "", 0 },
	{ "memory_mb = 0\n", 0 },
	{ "memory_mb = 160\n", 160 * 1024 * 1024 },
	{ "memory_mb = 0.5\n", 512 * 1024 },
};

START_TEST(test_memory)
{
	char *text = g_strconcat(NODE, memories[_i].line,
				 LISTEN PEERS STORE RETRIES, NULL);

	ck_assert_int_eq(load_(text), SETTINGS_OK);
	ck_assert_int_eq(conf.memory, memories[_i].memory);
	g_free(text);
}
END_TEST

static const char *const invalid[] = {
	"",
	"[node",
	LISTEN PEERS STORE RETRIES,
	NODE PEERS STORE RETRIES,
	NODE LISTEN STORE RETRIES,
	NODE LISTEN PEERS RETRIES,
	NODE LISTEN PEERS STORE,
	COMPLETE "[placement]\nchoice = \"nearest\"\n",
	COMPLETE "[placement]\nchoice = 1\n",
	COMPLETE "[log]\nlevel = \"loud\"\n",
	COMPLETE "[streams]\ncoalesce_ms = 101\n",
	COMPLETE "[streams]\ncoalesce_on = \"some\"\n",
	NODE "memory_mb = -1\n" LISTEN PEERS STORE RETRIES,
	COMPLETE "[unknown]\nword = 1\n",
	NODE LISTEN "[peers]\nkey = \"00\"\n" STORE RETRIES,
	NODE LISTEN PEERS "[store]\naddress = \"host\"\n" RETRIES,
};

START_TEST(test_invalid_settings_are_reported)
{
	ck_assert_int_lt(load_(invalid[_i]), 0);
	ck_assert_uint_ge(faults->len, 1);
}
END_TEST

START_TEST(test_missing_file)
{
	ck_assert_int_eq(gateway_conf_load(&conf, "/nowhere/x.toml", faults),
			 SETTINGS_EREAD);
	ck_assert_uint_eq(faults->len, 1);
}
END_TEST

Suite *gateway_conf_suite(void)
{
	Suite *s = suite_create("gateway_conf");
	TCase *c = tcase_create("conf");

	tcase_add_checked_fixture(c, setup_, teardown_);
	tcase_add_loop_test(c, test_rollouts, 0, G_N_ELEMENTS(rollouts));
	tcase_add_loop_test(c, test_placement, 0, G_N_ELEMENTS(placements));
	tcase_add_test(c, test_complete_settings);
	tcase_add_loop_test(c, test_memory, 0, G_N_ELEMENTS(memories));
	tcase_add_loop_test(c, test_streams, 0, G_N_ELEMENTS(streams));
	tcase_add_loop_test(c, test_invalid_settings_are_reported, 0,
			    G_N_ELEMENTS(invalid));
	tcase_add_test(c, test_missing_file);
	suite_add_tcase(s, c);
	return s;
}
