#include "suites.h"

#include "../../platform/platform_speech.h"

#include <string.h>

#define NOW 5000

static const struct {
	const char *text; /* bytes as written */
	bool ok;
	bool leaving;
	int64_t cold_until;
	uint64_t start;
} entries[] = {
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slot_count\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,"
	  "\"born\":17,\"sequence\":1,\"version\":\"v1\",\"later\":[]}",
	  true, false, 0, 17 },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slot_count\":8,\"state\":\"draining\",\"cold_remaining_ms\":250}",
	  true, true, NOW + 250, 0 },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slot_count\":8.0,\"state\":\"ready\",\"born\":1.7e12}",
	  true, false, 0, 1700000000000 },
	/* fields missing or of another type */
	{ "{\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slot_count\":8,"
	  "\"state\":\"ready\"}" },
	{ "{\"service\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slot_count\":8,\"state\":\"ready\"}" },
	{ "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\","
	  "\"slot_count\":8,\"state\":\"ready\"}" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slot_count\":0,\"state\":\"ready\"}" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slot_count\":\"8\",\"state\":\"ready\"}" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slot_count\":8,\"state\":\"odd\"}" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slot_count\":8,\"state\":\"ready\",\"born\":\"x\"}" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slot_count\":8,\"state\":\"ready\",\"cold_remaining_ms\":-1}" },
	/* bytes that cannot be read */
	{ "" },
	{ "{" },
	{ "[]" },
	{ "\xff\xfe" },
};

START_TEST(test_upstream_entry)
{
	feed_record_t r = { .key = str_of("u"),
			    .data = str_of(entries[_i].text) };
	json_t *holder = NULL;
	balance_spec_t spec;
	bool ok = platform_upstream_entry(&r, NOW, &spec, &holder);

	ck_assert_int_eq(ok, entries[_i].ok);
	if (ok) {
		ck_assert_int_eq(spec.leaving, entries[_i].leaving);
		ck_assert_int_eq(spec.cold_until, entries[_i].cold_until);
		ck_assert_uint_eq(spec.start, entries[_i].start);
		ck_assert_int_eq(spec.slots, 8);
		ck_assert_str_eq(spec.service, "s");
	}
	json_decref(holder);
}
END_TEST

static const char manifest[] =
	"{\"version\":7,\"unknown\":{},\"routes\":["
	"{\"name\":\"r1\",\"host\":\"h\",\"path_prefix\":\"/a/\","
	"\"route_type\":\"streaming\",\"timeout_ms\":8000,"
	"\"target_latency_ms\":600,\"priority\":2,\"max_attempts\":2,"
	"\"session_affinity\":true,\"stream_resume\":true,"
	"\"target_itl_ms\":300,\"traffic_split\":[{\"service\":\"s1\","
	"\"weight\":90},{\"service\":\"s2\",\"weight\":10}]},"
	"{\"host\":\"h\",\"path_prefix\":\"/b/\",\"route_type\":\"new kind\","
	"\"service\":\"s2\",\"public\":true},"
	"{\"name\":\"no host\",\"path_prefix\":\"/c/\"}],"
	"\"services\":[{\"name\":\"s1\",\"cold_per_s\":23.5,"
	"\"max_connections\":360}],"
	"\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",7,\"k2\"],"
	"\"priority\":1}]}";

START_TEST(test_manifest)
{
	feed_record_t r = { .key = str_of("config"), .data = str_of(manifest) };
	const routing_route_t *route;
	operator_change_t change;

	platform_operator_change(&r, &change);
	ck_assert_int_eq(change.kind, CHANGE_TABLE);
	ck_assert_uint_eq(change.table->version, 7);
	ck_assert_uint_eq(change.table->routes->len, 2);
	ck_assert(change.table->keyed);
	route = route_table_match(change.table, str_of("h"), str_of("/a/1"));
	ck_assert_int_eq(route->kind, ROUTE_KIND_STREAM);
	ck_assert_int_eq(route->timeout_ms, 8000);
	ck_assert_int_eq(route->objective_ms, 600);
	ck_assert_int_eq(route->event_gap_ms, 300);
	ck_assert_int_eq(route->attempts, 2);
	ck_assert(route->affinity && route->resumable && !route->open);
	ck_assert_uint_eq(route->targets->len, 2);
	/* A kind that is not known is run at most once. */
	route = route_table_match(change.table, str_of("h"), str_of("/b/1"));
	ck_assert_int_eq(route->kind, ROUTE_KIND_NON_IDEMPOTENT);
	ck_assert(route->open);
	ck_assert_str_eq(route_table_customer(change.table, str_of("k2"))->name,
			 "t");
	route_table_unref(change.table);
}
END_TEST

static const struct {
	const char *key;
	const char *data;
	bool removed;
	operator_change_kind_t kind;
	bool out;
} changes[] = {
	{ "config", "{}", false, CHANGE_BAD },
	{ "config", "x", false, CHANGE_BAD },
	{ "config", "{\"version\":1}", false, CHANGE_BAD },
	{ "config", "", true, CHANGE_NONE },
	{ "evacuate/dc-a", "{}", false, CHANGE_DATA_CENTRE, true },
	{ "evacuate/dc-a", "", true, CHANGE_DATA_CENTRE, false },
	{ "evacuate/", "{}", false, CHANGE_NONE },
	{ "other", "{}", false, CHANGE_NONE },
};

START_TEST(test_operator_change)
{
	feed_record_t r = { .key = str_of(changes[_i].key),
			    .data = str_of(changes[_i].data),
			    .removed = changes[_i].removed };
	operator_change_t change;

	platform_operator_change(&r, &change);
	ck_assert_int_eq(change.kind, changes[_i].kind);
	ck_assert_int_eq(change.out, changes[_i].out);
	if (change.kind == CHANGE_DATA_CENTRE)
		ck_assert_str_eq(change.data_centre, "dc-a");
	if (change.kind == CHANGE_BAD)
		ck_assert_ptr_nonnull(change.error);
}
END_TEST

Suite *platform_suite(void)
{
	Suite *s = suite_create("platform");
	TCase *c = tcase_create("platform");

	tcase_add_loop_test(c, test_upstream_entry, 0, G_N_ELEMENTS(entries));
	tcase_add_test(c, test_manifest);
	tcase_add_loop_test(c, test_operator_change, 0, G_N_ELEMENTS(changes));
	suite_add_tcase(s, c);
	return s;
}
