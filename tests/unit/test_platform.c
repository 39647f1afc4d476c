#include "suites.h"

#include "../../platform/platform_protocol.h"

#include <arpa/inet.h>
#include <ev.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define NOW 5000
#define ADDRESS "127.0.9.4"
#define DEADLINE_MS 3000

static const struct {
	const char *text; /* as published */
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
	  "\"version\":\"v1\","
	  "\"slot_count\":8,\"state\":\"draining\",\"cold_remaining_ms\":250}",
	  true, true, NOW + 250, 0 },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"version\":\"v1\","
	  "\"slot_count\":8.0,\"state\":\"ready\",\"born\":1.7e12}",
	  true, false, 0, 1700000000000 },
	/* fields missing or of another type */
	{ "{\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":\"v1\","
	  "\"slot_count\":8,"
	  "\"state\":\"ready\"}" },
	{ "{\"service\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"version\":\"v1\","
	  "\"slot_count\":8,\"state\":\"ready\"}" },
	{ "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\","
	  "\"version\":\"v1\","
	  "\"slot_count\":8,\"state\":\"ready\"}" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"version\":\"v1\","
	  "\"slot_count\":0,\"state\":\"ready\"}" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"version\":\"v1\","
	  "\"slot_count\":\"8\",\"state\":\"ready\"}" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"version\":\"v1\","
	  "\"slot_count\":8,\"state\":\"odd\"}" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"version\":\"v1\","
	  "\"slot_count\":8,\"state\":\"ready\",\"born\":\"x\"}" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"version\":\"v1\","
	  "\"slot_count\":8,\"state\":\"ready\",\"cold_remaining_ms\":-1}" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slot_count\":8,\"state\":\"ready\"}" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slot_count\":8,\"state\":\"ready\",\"version\":1}" },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	  "\"slot_count\":8,\"state\":\"ready\",\"version\":\"\"}" },
	/* not a JSON object */
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
	bool ok = platform_parse_upstream_record(&r, NOW, &spec, &holder);

	ck_assert_int_eq(ok, entries[_i].ok);
	if (ok) {
		ck_assert_int_eq(spec.leaving, entries[_i].leaving);
		ck_assert_int_eq(spec.cold_until, entries[_i].cold_until);
		ck_assert_uint_eq(spec.start_id, entries[_i].start);
		ck_assert_str_eq(spec.version, "v1");
		ck_assert_int_eq(spec.slots, 8);
		ck_assert_str_eq(spec.service, "s");
	}
	json_decref(holder);
}
END_TEST

static const struct {
	const char *text;
	bool ok;
	double per_s;
} rates[] = {
	{ "5", true, 5 },
	{ "4.8", true, 4.8 },
	{ "0", true, 0 },
	{ "0.25", true, 0.25 },
	{ ".5", true, 0.5 },
	{ "7.", true, 7 },
	{ "99999999999999999999", true, 1e20 },
	{ "" },
	{ "." },
	{ "-1" },
	{ "+1" },
	{ "1e9" },
	{ "nan" },
	{ "inf" },
	{ "0x10" },
	{ "1,5" },
	{ "1.2.3" },
	{ "5 a second" },
	{ "111111111111111111111111111111111" },
};

START_TEST(test_rate)
{
	double per_s = -1;

	ck_assert_int_eq(platform_parse_rate(str_of(rates[_i].text), &per_s),
			 rates[_i].ok);
	if (rates[_i].ok)
		ck_assert_double_eq_tol(per_s, rates[_i].per_s,
					rates[_i].per_s * 1e-9 + 1e-12);
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
	"\"max_connections\":360,\"health_path\":\"/live\"},"
	"{\"name\":\"s2\",\"health_path\":7},"
	"{\"name\":\"s3\",\"health_path\":\"/a b\"}],"
	"\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",7,\"k2\"],"
	"\"priority\":1}]}";

START_TEST(test_manifest)
{
	feed_record_t r = { .key = str_of("config"), .data = str_of(manifest) };
	const routing_route_t *route;
	operator_change_t change;

	platform_parse_operator_record(&r, &change);
	ck_assert_int_eq(change.kind, CHANGE_ROUTE_TABLE);
	ck_assert_uint_eq(change.table->version, 7);
	ck_assert_uint_eq(change.table->routes->len, 2);
	ck_assert(change.table->keyed);
	route = route_table_match(change.table, str_of("h"), str_of("/a/1"));
	ck_assert_int_eq(route->kind, ROUTE_KIND_STREAM);
	ck_assert_int_eq(route->timeout_ms, 8000);
	ck_assert_int_eq(route->latency_objective_ms, 600);
	ck_assert_int_eq(route->max_attempts, 2);
	ck_assert(route->affinity && route->resumable && !route->open);
	ck_assert_uint_eq(route->targets->len, 2);
	/* A route of an unknown kind is run at most once. */
	route = route_table_match(change.table, str_of("h"), str_of("/b/1"));
	ck_assert_int_eq(route->kind, ROUTE_KIND_NON_IDEMPOTENT);
	ck_assert(route->open);
	ck_assert_str_eq(route_table_customer(change.table, str_of("k2"))->name,
			 "t");
	ck_assert_str_eq(route_table_service(change.table, "s1")->health_path,
			 "/live");
	ck_assert(!route_table_service(change.table, "s2")->health_path);
	ck_assert(!route_table_service(change.table, "s3")->health_path);
	ck_assert(!route_table_service(change.table, "s4"));
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
	{ "config", "{}", false, CHANGE_INVALID },
	{ "config", "x", false, CHANGE_INVALID },
	{ "config", "{\"version\":1}", false, CHANGE_INVALID },
	{ "config", "", true, CHANGE_NONE },
	{ "evacuate/dc-a", "{}", false, CHANGE_DATA_CENTRE, true },
	{ "evacuate/dc-a", "", true, CHANGE_DATA_CENTRE, false },
	{ "evacuate/", "{}", false, CHANGE_NONE },
	{ "other", "{}", false, CHANGE_NONE },
	{ "rollout/s", "{\"service\":\"s\",\"to\":\"v2\",\"duration_s\":12.5}",
	  false, CHANGE_ROLLOUT },
	{ "rollout/s", "", true, CHANGE_ROLLOUT },
	{ "rollout/s", "{\"to\":\"v2\"}", false, CHANGE_INVALID },
	{ "rollout/s", "{\"duration_s\":12}", false, CHANGE_INVALID },
	{ "rollout/s", "{\"to\":\"v2\",\"duration_s\":-1}", false,
	  CHANGE_INVALID },
	{ "rollout/", "{\"to\":\"v2\",\"duration_s\":12}", false,
	  CHANGE_INVALID },
};

START_TEST(test_operator_change)
{
	feed_record_t r = { .key = str_of(changes[_i].key),
			    .data = str_of(changes[_i].data),
			    .removed = changes[_i].removed };
	operator_change_t change;

	platform_parse_operator_record(&r, &change);
	ck_assert_int_eq(change.kind, changes[_i].kind);
	ck_assert_int_eq(change.drained, changes[_i].out);
	if (change.kind == CHANGE_DATA_CENTRE)
		ck_assert_str_eq(change.data_centre, "dc-a");
	if (change.kind == CHANGE_INVALID)
		ck_assert_ptr_nonnull(change.error);
	if (change.kind != CHANGE_ROLLOUT)
		return;
	ck_assert_str_eq(change.rollout.service, "s");
	ck_assert_str_eq(change.rollout.to, r.removed ? "" : "v2");
	ck_assert_int_eq(change.rollout.duration_ms, r.removed ? 0 : 12500);
}
END_TEST

/* What nodes write is read by others, and by their successors. */
START_TEST(test_rollout_status)
{
	static const rollout_phase_t phases[] = { ROLLOUT_OBSERVE,
						  ROLLOUT_COMPLETED,
						  ROLLOUT_REVERTED };

	for (size_t i = 0; i < G_N_ELEMENTS(phases); i++) {
		rollout_status_t s = { "s", "v2", phases[i], 7, 8, 9, "why" };
		char *key = platform_rollout_status_key("s");
		char *text = platform_format_rollout_status(&s);
		feed_record_t r = { .key = str_of(key), .data = str_of(text) };
		rollout_status_t out;

		ck_assert(platform_parse_rollout_status(&r, &out));
		ck_assert_str_eq(out.service, s.service);
		ck_assert_str_eq(out.to, s.to);
		ck_assert_int_eq(out.phase, s.phase);
		ck_assert_uint_eq(out.order, s.order);
		ck_assert_int_eq(out.began_at, s.began_at);
		ck_assert_uint_eq(out.requests, s.requests);
		r.data = str_of("{\"to\":\"v2\",\"state\":\"new word\"}");
		ck_assert(!platform_parse_rollout_status(&r, &out));
		r.key = str_of("seed/1");
		ck_assert(!platform_parse_rollout_status(&r, &out));
		g_free(key);
		g_free(text);
	}
}
END_TEST

#define ENDS(end) "\0\0\0\0\0\0\0" end "\0\0\0\0\0\0\0\0"
#define BYTES(text)                                                            \
	{                                                                      \
		text, sizeof(text) - 1                                         \
	}

static const struct {
	str_t body;
	uint64_t from;
	int err;
	guint records;
	uint64_t next;
	bool removed; /* the last record */
} logs[] = {
	{ BYTES(ENDS("\5") "\0\0\0\3\1kv"), 4, FEED_OK, 1, 5, false },
	{ BYTES(ENDS("\5") "\0\0\0\2\1k"), 4, FEED_OK, 1, 5, true },
	{ BYTES(ENDS("\6") "\0\0\0\3\1kv\0\0\0\2\1k"), 4, FEED_OK, 2, 6, true },
	/* no new records; a log that ends before the requested offset */
	{ BYTES(ENDS("\4")), 4, FEED_OK, 0, 4, false },
	{ BYTES(ENDS("\3")), 4, FEED_OK, 0, 3, false },
	/* records without a valid key are skipped but have an offset */
	{ BYTES(ENDS("\6") "\0\0\0\0\0\0\0\3\1kv"), 4, FEED_OK, 1, 6, false },
	{ BYTES(ENDS("\5") "\0\0\0\2\7k"), 4, FEED_OK, 0, 5, false },
	/* a truncated record is read again */
	{ BYTES(ENDS("\5") "\0\0\0\x09\1kv"), 4, FEED_OK, 0, 4, false },
	{ BYTES(ENDS("\5") "\0\0"), 4, FEED_OK, 0, 4, false },
	{ BYTES("short"), 4, FEED_EBAD, 0, 0, false },
};

START_TEST(test_log_records)
{
	GArray *records = g_array_new(FALSE, TRUE, sizeof(feed_record_t));
	uint64_t next = 0;

	ck_assert_int_eq(platform_parse_log_records(
				 logs[_i].body, logs[_i].from, records, &next),
			 logs[_i].err);
	ck_assert_uint_eq(records->len, logs[_i].records);
	ck_assert_uint_eq(next, logs[_i].next);
	if (records->len)
		ck_assert_int_eq(
			g_array_index(records, feed_record_t, records->len - 1)
				.removed,
			logs[_i].removed);
	g_array_unref(records);
}
END_TEST

/* An answer of the log without framing, of which each beginning is sent. */
typedef struct cut_log {
	const char *head;
	str_t body;
	int listener;
	char address[32];
} cut_log_t;

typedef struct cut_result {
	bool done;
	int err;
	size_t count;
	uint64_t next;
	bool has_more;
} cut_result_t;

static gpointer serve_parts_(gpointer data)
{
	const cut_log_t *l = data;

	for (size_t len = 0; len <= l->body.len; len++) {
		char request[1024];
		int fd = accept(l->listener, NULL, NULL);

		ck_assert(recv(fd, request, sizeof(request), 0) > 0);
		send(fd, l->head, strlen(l->head), MSG_NOSIGNAL);
		send(fd, l->body.data, len, MSG_NOSIGNAL);
		close(fd);
	}
	return NULL;
}

static GThread *start_log_(cut_log_t *l)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);

	l->head = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n\r\n";
	l->listener = socket(AF_INET, SOCK_STREAM, 0);
	sa.sin_addr.s_addr = inet_addr(ADDRESS);
	ck_assert(!bind(l->listener, (struct sockaddr *)&sa, sizeof(sa)));
	ck_assert(!listen(l->listener, 1));
	ck_assert(!getsockname(l->listener, (struct sockaddr *)&sa, &len));
	g_snprintf(l->address, sizeof(l->address), ADDRESS ":%d",
		   ntohs(sa.sin_port));
	return g_thread_new("log", serve_parts_, l);
}

static void on_part_(void *arg, int err, const feed_batch_t *batch)
{
	*(cut_result_t *)arg =
		(cut_result_t){ true, err, batch->count, batch->next_offset,
				batch->has_more };
}

static cut_result_t read_part_(feed_client_t *c, struct ev_loop *loop,
			       bool latest, uint64_t from)
{
	cut_result_t result = { 0 };
	mstime_t deadline = clock_now() + DEADLINE_MS;

	if (latest)
		c->ops->read_latest(c, FEED_UPSTREAMS, NULL, deadline, on_part_,
				    &result);
	else
		c->ops->read_from(c, FEED_UPSTREAMS, from, 0, deadline,
				  on_part_, &result);
	while (!result.done)
		ev_run(loop, EVRUN_ONCE);
	return result;
}

/* What is missing of an answer is read again, and removes nothing. */
static void check_records_(size_t len, const cut_result_t *r)
{
	/* Where the records end. */
	static const size_t ends[] = { 23, 29, 36 };
	size_t whole = 0;

	while (whole < G_N_ELEMENTS(ends) && len >= ends[whole])
		whole++;
	ck_assert_msg(r->err == (len < 16 ? FEED_EBAD : FEED_OK), "%zu: %d",
		      len, r->err);
	if (r->err)
		return;
	ck_assert_msg(r->count == whole, "%zu: %zu records", len, r->count);
	ck_assert_msg(r->next == 4 + whole, "%zu: next is %lld", len,
		      (long long)r->next);
	ck_assert_msg(r->has_more == (whole < G_N_ELEMENTS(ends)), "%zu: %d",
		      len, r->has_more);
}

START_TEST(test_part_of_a_log_taken_for_its_end)
{
	cut_log_t logs_cut[] = {
		{ .body = BYTES(ENDS("\7") "\0\0\0\3\1kv"
					   "\0\0\0\2\1k"
					   "\0\0\0\3\1lv") },
		{ .body = BYTES("{\"end_offset\":7,\"entries\":[{\"key\":\"k\","
				"\"data\":\"dg==\",\"offset\":4}],"
				"\"has_more\":false}") },
	};
	bool latest = _i;
	cut_log_t *l = &logs_cut[_i];
	GThread *thread = start_log_(l);
	struct ev_loop *loop = ev_loop_new(0);
	http_client_t http;
	feed_client_t c = { &platform_feed_ops, &http, l->address };

	http_client_init(&http, loop);
	for (size_t len = 0; len <= l->body.len; len++) {
		cut_result_t r = read_part_(&c, loop, latest, 4);

		if (!latest)
			check_records_(len, &r);
		else
			ck_assert_msg(r.err == (len < l->body.len ? FEED_EBAD
								  : FEED_OK),
				      "%zu: %d", len, r.err);
	}
	g_thread_join(thread);
	http_client_finish(&http);
	ev_loop_destroy(loop);
	close(l->listener);
}
END_TEST

/* Slots were lost when a further figure followed them. */
static const struct {
	const char *text;
	int outstanding; /* -1 if malformed */
	int slots;
	int pace;
} loads[] = {
	{ "3,2,64", 5, 64, 0 },
	{ "3,2,64,250", 5, 64, 250 },
	{ "3,2,64,100,7", 5, 64, 100 },
	{ "3,2,64,100,7,later", 5, 64, 100 },
	{ "3,2,64,", 5, 64, 0 },
	{ "3,2,64,odd", 5, 64, 0 },
	{ "3,2,64,-5", 5, 64, 0 },
	{ "3,2,,250", 5, 0, 250 },
	{ "3,2", 5, 0, 0 },
	{ "3", -1, 0, 0 },
	{ "", -1, 0, 0 },
};

START_TEST(test_load)
{
	upstream_response_t r = { 0 };

	platform_parse_load(str_of(loads[_i].text), &r);
	ck_assert_int_eq(r.outstanding, loads[_i].outstanding);
	ck_assert_int_eq(r.slots, loads[_i].slots);
	ck_assert_int_eq(r.pace, loads[_i].pace);
}
END_TEST

/* Headers that a caller omits or gets wrong must not give wild counts. */
static const struct {
	const char *prompt;
	const char *usage;
	const char *hint;
	work_tokens_t tokens;
} tokens[] = {
	{ "a:10500,q:1300", "11800,500", "384", { 10500, 1300, 384 } },
	{ "a:700,b:300,q:130", "1130,100", "384", { 1000, 130, 100 } },
	{ "q:130", "130,100", "", { 0, 130, 100 } },
	{ "a,q", "1130,100", "", { 0, 1130, 100 } },
	{ "a:700,q", "1130,", "40", { 700, 430, 40 } },
	{ "a:700,q:130", "", "", { 700, 130, 0 } },
	{ "", "", "", { 0, 0, 0 } },
	{ "a:-5,q:x", "-1,-1", "-3", { 0, 0, 0 } },
	{ "a:99999999999,q:1", "odd", "1e9", { 10000000, 1, 0 } },
};

START_TEST(test_tokens)
{
	work_tokens_t t = { 0 };

	platform_parse_tokens(str_of(tokens[_i].prompt),
			      str_of(tokens[_i].usage), str_of(tokens[_i].hint),
			      &t);
	ck_assert_int_eq(t.shared, tokens[_i].tokens.shared);
	ck_assert_int_eq(t.own, tokens[_i].tokens.own);
	ck_assert_int_eq(t.output, tokens[_i].tokens.output);
}
END_TEST

Suite *platform_suite(void)
{
	Suite *s = suite_create("platform");
	TCase *c = tcase_create("platform");

	tcase_add_loop_test(c, test_rate, 0, G_N_ELEMENTS(rates));
	tcase_add_loop_test(c, test_load, 0, G_N_ELEMENTS(loads));
	tcase_add_loop_test(c, test_tokens, 0, G_N_ELEMENTS(tokens));
	tcase_add_loop_test(c, test_upstream_entry, 0, G_N_ELEMENTS(entries));
	tcase_add_test(c, test_manifest);
	tcase_add_test(c, test_rollout_status);
	tcase_add_loop_test(c, test_operator_change, 0, G_N_ELEMENTS(changes));
	tcase_add_loop_test(c, test_log_records, 0, G_N_ELEMENTS(logs));
	tcase_add_loop_test(c, test_part_of_a_log_taken_for_its_end, 0, 2);
	suite_add_tcase(s, c);
	return s;
}
