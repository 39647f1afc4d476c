#include "suites.h"

#include "../../packages/gateway/private/gateway.h"
#include "../../platform/platform_protocol.h"

#include <kcf/logline.h>

#define NOW 1000000
#define UPSTREAMS 8

static gateway_t one;
static gateway_t two;
static gateway_t third;

static void init_(gateway_t *g)
{
	*g = (gateway_t){ .protocol = &platform_protocol };
	balance_init(&g->balance, "dc-a", 1);
	versions_init(&g->versions, NOW);
	g->forwards = g_hash_table_new(NULL, NULL);
	resumes_init(g);
	feeds_init(g);
}

static void finish_(gateway_t *g)
{
	feeds_finish(g);
	resumes_finish(g);
	versions_finish(&g->versions);
	g_hash_table_destroy(g->forwards);
	balance_finish(&g->balance);
	route_table_unref(g->table);
}

static void setup_(void)
{
	logline_setup("test", LOG_CRIT);
	init_(&one);
	init_(&two);
	init_(&third);
}

static void teardown_(void)
{
	finish_(&one);
	finish_(&two);
	finish_(&third);
}

static void put_(gateway_t *g, int i, uint64_t offset)
{
	char key[16];
	char *data = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"10.0.0.%d:80\",\"zone\":\"z\""
		",\"version\":\"v1\",\"slot_count\":8,\"state\":\"ready\"}",
		i + 1);
	feed_record_t r = { .offset = offset };

	g_snprintf(key, sizeof(key), "u-%d", i);
	r.key = str_of(key);
	r.data = str_of(data);
	feeds_apply_record(&g->feed_states[FEED_UPSTREAMS], &r, NOW);
	g_free(data);
}

static void remove_(gateway_t *g, int i, uint64_t offset)
{
	char key[16];
	feed_record_t r = { .offset = offset, .removed = true };

	g_snprintf(key, sizeof(key), "u-%d", i);
	r.key = str_of(key);
	feeds_apply_record(&g->feed_states[FEED_UPSTREAMS], &r, NOW);
}

static bool knows_(const gateway_t *g, const char *id)
{
	return g_hash_table_contains(g->balance.by_id, id);
}

static void put_all_(gateway_t *g)
{
	for (int i = 0; i < UPSTREAMS; i++)
		put_(g, i, (uint64_t)i);
	feeds_set_current(&g->feed_states[FEED_UPSTREAMS], NOW, UPSTREAMS);
}

static void sync_(const gateway_t *from, gateway_t *to)
{
	feed_state_t *s = &to->feed_states[FEED_UPSTREAMS];
	GString *bytes = g_string_new(NULL);
	json_t *feed = feed_sync_encode(&from->feed_states[FEED_UPSTREAMS],
					s->next_offset, NOW, bytes);
	str_t payload = { bytes->str, bytes->len };

	feed_sync_apply(s, feed, &payload, NOW, NOW);
	ck_assert_uint_eq(payload.len, 0);
	json_decref(feed);
	g_string_free(bytes, TRUE);
}

START_TEST(test_older_records_are_ignored)
{
	put_all_(&one);
	remove_(&one, 0, 20);
	put_(&one, 0, 12);
	ck_assert(!knows_(&one, "u-0"));
	put_(&one, 0, 21);
	ck_assert(knows_(&one, "u-0"));
}
END_TEST

START_TEST(test_older_configuration_is_ignored)
{
	feed_state_t *s = &one.feed_states[FEED_OPERATORS];
	feed_record_t r = {
		.key = str_of("config"),
		.data = str_of("{\"version\":9,\"routes\":[]}"),
		.offset = 4,
	};
	GString *bytes = g_string_new(NULL);
	str_t payload;
	json_t *feed;

	feeds_apply_record(s, &r, NOW);
	r.data = str_of("{\"version\":8,\"routes\":[]}");
	r.offset = 5;
	feeds_apply_record(s, &r, NOW);
	ck_assert_uint_eq(one.table->version, 9);
	r.data = str_of("not a manifest");
	r.offset = 6;
	feeds_apply_record(s, &r, NOW);
	ck_assert_uint_eq(one.table->version, 9);
	/* Other nodes get the record in force, not the last one written. */
	feeds_set_current(s, NOW, 7);
	feed = feed_sync_encode(s, 0, NOW, bytes);
	payload = (str_t){ bytes->str, bytes->len };
	feed_sync_apply(&two.feed_states[FEED_OPERATORS], feed, &payload, NOW,
			NOW);
	json_decref(feed);
	g_string_free(bytes, TRUE);
	ck_assert_uint_eq(two.table->version, 9);
}
END_TEST

/* A truncated response is not applied, and an outdated one is skipped. */
START_TEST(test_sync_of_truncated_response)
{
	feed_state_t *s = &two.feed_states[FEED_UPSTREAMS];
	GString *bytes = g_string_new(NULL);
	json_t *feed;
	str_t payload;

	put_all_(&one);
	feed = feed_sync_encode(&one.feed_states[FEED_UPSTREAMS], 0, NOW,
				bytes);
	payload = (str_t){ bytes->str, bytes->len - 1 };
	feed_sync_apply(s, feed, &payload, NOW, NOW);
	ck_assert(!s->loaded);
	ck_assert(!s->scanning);
	/* The payload of a feed that is not applied is skipped. */
	feeds_set_current(s, NOW, UPSTREAMS + 1);
	payload = (str_t){ bytes->str, bytes->len };
	feed_sync_apply(s, feed, &payload, NOW, NOW);
	ck_assert_uint_eq(payload.len, 0);
	json_decref(feed);
	g_string_free(bytes, TRUE);
}
END_TEST

START_TEST(test_sync_of_all_records)
{
	put_all_(&one);
	sync_(&one, &two);
	ck_assert(two.feed_states[FEED_UPSTREAMS].loaded);
	ck_assert_uint_eq(two.feed_states[FEED_UPSTREAMS].next_offset,
			  UPSTREAMS);
	for (int i = 0; i < UPSTREAMS; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "u-%d", i);
		ck_assert(knows_(&two, id));
	}
	remove_(&one, 3, UPSTREAMS);
	feeds_set_current(&one.feed_states[FEED_UPSTREAMS], NOW, UPSTREAMS + 1);
	sync_(&one, &two);
	ck_assert(!knows_(&two, "u-3"));
}
END_TEST

/* A sync completes a node's scan of a platform that does not respond. */
START_TEST(test_sync_ends_a_scan)
{
	feed_state_t *s = &two.feed_states[FEED_UPSTREAMS];

	feeds_begin_scan(&one.feed_states[FEED_UPSTREAMS]);
	put_all_(&one);
	feeds_end_scan(&one.feed_states[FEED_UPSTREAMS], UPSTREAMS, NOW, NOW);
	feeds_begin_scan(s);
	sync_(&one, &two);
	ck_assert(s->loaded);
	ck_assert(!s->scanning);
	ck_assert(knows_(&two, "u-0"));
}
END_TEST

START_TEST(test_sync_from_unloaded_node)
{
	sync_(&one, &two);
	ck_assert(!two.feed_states[FEED_UPSTREAMS].loaded);
}
END_TEST

/* A single removal right after an outage is genuine and not deferred. */
START_TEST(test_single_removal_after_outage)
{
	put_all_(&one);
	one.feed_states[FEED_UPSTREAMS].defer_until = NOW + 2000;
	remove_(&one, 0, 10);
	ck_assert(!knows_(&one, "u-0"));
}
END_TEST

START_TEST(test_mass_removal_is_deferred)
{
	int left = 0;

	put_all_(&one);
	one.feed_states[FEED_UPSTREAMS].defer_until = NOW + 2000;
	for (int i = 0; i < UPSTREAMS; i++)
		remove_(&one, i, 10 + (uint64_t)i);
	left = (int)g_hash_table_size(one.balance.by_id);
	ck_assert_int_ge(left, UPSTREAMS / 2);
}
END_TEST

/*
 * After an outage a node left deferred removals out of its sync responses but
 * sent an offset behind them, so that other nodes never learned of them.
 */
START_TEST(test_deferred_removals_are_not_skipped)
{
	feed_state_t *s = &two.feed_states[FEED_UPSTREAMS];

	put_all_(&one);
	put_all_(&two);
	one.feed_states[FEED_UPSTREAMS].defer_until = NOW + 2000;
	for (int i = 0; i < 4; i++)
		remove_(&one, i, 10 + (uint64_t)i);
	feeds_set_current(&one.feed_states[FEED_UPSTREAMS], NOW, 14);
	sync_(&one, &two);
	ck_assert(s->next_offset <= 10 || !knows_(&two, "u-0"));
	ck_assert(s->next_offset <= 13 || !knows_(&two, "u-3"));
}
END_TEST

/*
 * A recently started node has read the latest record of each key and knows no
 * earlier removals. It sent another node only the changes after that node's
 * offset, without a removal among them.
 */
START_TEST(test_removals_before_a_scan_are_synced)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];

	put_all_(&two);
	/* u-0 was removed at offset 8, before this pass over all keys. */
	feeds_begin_scan(s);
	for (int i = 1; i < UPSTREAMS; i++)
		put_(&one, i, (uint64_t)i);
	feeds_end_scan(s, 9, NOW, NOW);
	sync_(&one, &two);
	ck_assert(two.feed_states[FEED_UPSTREAMS].next_offset <= 8 ||
		  !knows_(&two, "u-0"));
	ck_assert(knows_(&two, "u-1"));
}
END_TEST

/* The same through a node that never knew the removed key. */
START_TEST(test_removals_are_synced_over_two_nodes)
{
	gateway_t three;
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];

	init_(&three);
	put_all_(&three);
	feeds_begin_scan(s);
	for (int i = 1; i < UPSTREAMS; i++)
		put_(&one, i, (uint64_t)i);
	feeds_end_scan(s, 9, NOW, NOW);
	sync_(&one, &two);
	sync_(&two, &three);
	ck_assert(three.feed_states[FEED_UPSTREAMS].next_offset <= 8 ||
		  !knows_(&three, "u-0"));
	finish_(&three);
}
END_TEST

/*
 * A starting node syncs from one that was cut off from the platform. It must
 * not use upstreams that have left in the meantime.
 */
static const struct {
	mstime_t age;
	mstime_t since_start;
	guint responses;
	bool platform_down;
	bool current;
} start_cases[] = {
	{ 200, 100, 1, false, true },
	{ 1100, 100, 1, false, true },
	/* Too old: the platform may have newer data, */
	{ 10000, 100, 1, false, false },
	{ 10000, 1500, 9, false, false },
	{ 10000, 2500, 1, false, false },
	/* unless it is down, or several responses had nothing newer. */
	{ 10000, 2500, 1, true, true },
	{ 10000, 2500, 3, false, true },
};

START_TEST(test_start_with_stale_data)
{
	gateway_conf_t conf = { .apply_limit_ms = 2000 };
	mstime_t now = clock_now();
	gateway_t *g = &one;

	g->conf = &conf;
	g->started_at = now - start_cases[_i].since_start;
	g->data_valid_from = gateway_oldest_start_data(g);
	g->sync_response_count = start_cases[_i].responses;
	g->table = route_table_new(1);
	for (int i = 0; i <= FEED_UPSTREAMS; i++) {
		feed_state_t *s = &g->feed_states[i];

		s->down = start_cases[_i].platform_down;
		feeds_set_current(s, g->started_at - start_cases[_i].age, 1);
	}
	ck_assert_int_eq(gateway_data_is_current(g), start_cases[_i].current);
}
END_TEST

/*
 * For two seconds after an outage readers withheld the configuration from other
 * nodes, because removals of upstreams were still deferred.
 */
START_TEST(test_configuration_after_an_outage)
{
	for (int i = 0; i <= FEED_UPSTREAMS; i++) {
		feed_state_t *s = &one.feed_states[i];
		GString *bytes = g_string_new(NULL);
		json_t *feed;

		feeds_set_current(s, NOW, 1);
		s->outage_from = NOW;
		feeds_record_response(s, NOW + 8000);
		feed = feed_sync_encode(s, 0, NOW + 8000, bytes);
		ck_assert_int_eq(json_is_true(json_object_get(feed, "loaded")),
				 i == FEED_OPERATORS);
		json_decref(feed);
		g_string_free(bytes, TRUE);
	}
}
END_TEST

/* Heartbeats only advance offsets; other records wake waiting nodes. */
START_TEST(test_heartbeats_are_not_changes)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	uint64_t changes_end;

	put_all_(&one);
	changes_end = s->changes_end;
	put_(&one, 3, 20);
	ck_assert_uint_eq(s->changes_end, changes_end);
	remove_(&one, 3, 21);
	ck_assert_uint_eq(s->changes_end, 22);
}
END_TEST

/*
 * A large configuration was encoded anew for each of a dozen waiting nodes, and
 * callers' requests were delayed meanwhile.
 */
START_TEST(test_response_is_encoded_once)
{
	uint64_t first[] = { 1, UPSTREAMS };
	uint64_t other[] = { 1, UPSTREAMS - 3 };
	uint64_t behind[] = { 3, 300 };
	feed_record_t r = {
		.key = str_of("config"),
		.data = str_of("{\"version\":9,\"routes\":[]}"),
		.offset = 4,
	};
	GBytes *bytes;

	one.ranking = g_array_new(FALSE, FALSE, sizeof(fleet_roles_node_t));
	one.own_rank = -1;
	feeds_set_current(&one.feed_states[FEED_OPERATORS], NOW, 1);
	put_all_(&one);
	bytes = g_bytes_ref(feed_sync_response_for(&one, first, NOW)->bytes);
	ck_assert_ptr_eq(feed_sync_response_for(&one, other, NOW + 5)->bytes,
			 bytes);
	feeds_apply_record(&one.feed_states[FEED_OPERATORS], &r, NOW + 6);
	ck_assert_ptr_ne(feed_sync_response_for(&one, first, NOW + 6)->bytes,
			 bytes);
	ck_assert_ptr_eq(feed_sync_response_for(&one, first, NOW + 6)->bytes,
			 feed_sync_response_for(&one, other, NOW + 7)->bytes);
	/* Nodes that lack it share a response whatever their offsets. */
	g_bytes_unref(bytes);
	bytes = g_bytes_ref(
		feed_sync_response_for(&one, behind, NOW + 8)->bytes);
	ck_assert_ptr_eq(feed_sync_response_for(&one, first, NOW + 9)->bytes,
			 bytes);
	ck_assert_ptr_eq(feed_sync_response_for(&one, behind, NOW + 9)->bytes,
			 bytes);
	g_bytes_unref(bytes);
	g_clear_pointer(&one.sync_recent.bytes, g_bytes_unref);
	g_clear_pointer(&one.sync_with_config.bytes, g_bytes_unref);
	g_array_unref(one.ranking);
}
END_TEST

/* A platform whose response about upstreams the test sends itself. */
static struct {
	feed_fn fn;
	void *arg;
} asked;

static http_call_t *keep_scan_(feed_client_t *c, feed_t feed, const char *after,
			       mstime_t deadline, feed_fn fn, void *arg)
{
	(void)c;
	(void)after;
	(void)deadline;
	if (feed == FEED_UPSTREAMS) {
		asked.fn = fn;
		asked.arg = arg;
	}
	return NULL;
}

static http_call_t *keep_read_(feed_client_t *c, feed_t feed, uint64_t from,
			       mstime_t wait_ms, mstime_t deadline, feed_fn fn,
			       void *arg)
{
	(void)from;
	(void)wait_ms;
	return keep_scan_(c, feed, NULL, deadline, fn, arg);
}

#define ANSWER_LATE_MS 20

static const feed_client_ops_t kept_ops = { .read_latest = keep_scan_,
					    .read_from = keep_read_ };

/* Lets a node send its first reads as a seed that has just started. */
static void start_seed_(gateway_t *g, gateway_conf_t *conf)
{
	g->conf = conf;
	g->feed_client.ops = &kept_ops;
	g->is_seed = true;
	g->started_at = clock_now();
	g->own_rank = -1;
	g->rand = g_rand_new_with_seed(1);
	g->ranking = g_array_new(FALSE, FALSE, sizeof(fleet_roles_node_t));
	g->members.by_name = g_hash_table_new(g_str_hash, g_str_equal);
	feed_sync_init(g);
	reader_tick(g, clock_now());
}

static void stop_seed_(gateway_t *g)
{
	feed_sync_finish(g);
	g_hash_table_destroy(g->members.by_name);
	g_array_unref(g->ranking);
	g_rand_free(g->rand);
}

/* A copy from another node hid that a scan had not found an upstream. */
START_TEST(test_scan_removes_what_a_copy_brought_meanwhile)
{
	gateway_conf_t conf = { .apply_limit_ms = 2000 };
	feed_batch_t batch = { .next_offset = UPSTREAMS + 1 };

	put_all_(&one);
	start_seed_(&two, &conf);
	sync_(&one, &two);
	ck_assert(knows_(&two, "u-0"));
	/* The platform removed u-0 at the next offset; the others are left out
	 * for brevity.
	 */
	asked.fn(asked.arg, FEED_OK, &batch);
	ck_assert(two.feed_states[FEED_UPSTREAMS].next_offset <= UPSTREAMS ||
		  !knows_(&two, "u-0"));
	stop_seed_(&two);
}
END_TEST

static void answer_later_(const feed_batch_t *batch)
{
	g_usleep(ANSWER_LATE_MS * 1000);
	asked.fn(asked.arg, FEED_OK, batch);
}

/* What an answer has was written before its question, or the first of several.
 */
START_TEST(test_known_up_to_the_question)
{
	gateway_conf_t conf = { .apply_limit_ms = 2000 };
	feed_record_t r = { .key = str_of("u-0") };
	feed_batch_t page = {
		.records = &r, .count = 1, .has_more = true, .next_offset = 5
	};
	feed_batch_t end = { .next_offset = 5 };
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	mstime_t asked_at;

	start_seed_(&one, &conf);
	asked_at = s->requested_at;
	answer_later_(&page);
	s->next_read_at = 0;
	reader_tick(&one, clock_now());
	answer_later_(&end);
	ck_assert(s->complete);
	ck_assert_int_eq(s->current_as_of, asked_at);
	s->next_read_at = 0;
	reader_tick(&one, clock_now());
	asked_at = s->requested_at;
	answer_later_(&end);
	ck_assert_int_eq(s->current_as_of, asked_at);
	stop_seed_(&one);
}
END_TEST

/*
 * What one node has written another one reads that has just started. Its
 * entries may be older than a doubt, and it passes the doubt's age on.
 */
START_TEST(test_stream_log_keeps_doubts)
{
	origin_doubt_t doubt = { .stream = 7,
				 .begin = { 1, 2, 3, 4, NOW - 500 } };
	const origin_doubt_t *read;

	two.started_at = NOW;
	ck_assert(gateway_recently_started(&two, NOW));
	one.ranking = g_array_new(FALSE, TRUE, sizeof(fleet_roles_node_t));
	stream_log_init(&one);
	stream_log_note(&one, 5, 9);
	stream_log_note_doubt(&one, &doubt);
	stream_log_note(&one, 6, 8);
	stream_log_apply(&two,
			 (str_t){ (const char *)one.stream_batch->data,
				  one.stream_batch->len },
			 NOW);
	ck_assert_uint_eq(origins_get(&two.origins, 5, NOW), 9);
	ck_assert_uint_eq(origins_get(&two.origins, 6, NOW), 8);
	ck_assert_uint_eq(origins_get(&two.origins, 7, NOW), 0);
	ck_assert_uint_eq(two.origins.doubts->len, 1);
	read = &g_array_index(two.origins.doubts, origin_doubt_t, 0);
	ck_assert_uint_eq(read->stream, 7);
	ck_assert_uint_eq(read->begin.id, 1);
	ck_assert_uint_eq(read->begin.address, 2);
	ck_assert_uint_eq(read->begin.start_id, 3);
	ck_assert_uint_eq(read->begin.version, 4);
	ck_assert_int_eq(read->begin.since, NOW);
	/* The end of a batch that was cut is no doubt. */
	stream_log_apply(
		&two,
		(str_t){ (const char *)one.stream_batch->data + 12, 4 * 12 },
		NOW);
	ck_assert_uint_eq(two.origins.doubts->len, 1);
	stream_log_finish(&one);
	g_array_unref(one.ranking);
}
END_TEST

Suite *feed_scan_suite(void)
{
	Suite *s = suite_create("feed_scan");
	TCase *c = tcase_create("feed_scan");

	tcase_add_checked_fixture(c, setup_, teardown_);
	tcase_add_test(c, test_stream_log_keeps_doubts);
	tcase_add_test(c, test_scan_removes_what_a_copy_brought_meanwhile);
	suite_add_tcase(s, c);
	return s;
}

/* Nodes that others read for took their first own read for an outage's end. */
START_TEST(test_removals_are_not_deferred_after_copies)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];

	put_all_(&one);
	s->outage_from = NOW;
	s->source = FEED_FROM_NODE;
	feeds_set_current(s, NOW + 20000, UPSTREAMS + 5);
	s->source = FEED_FROM_PLATFORM;
	feeds_record_response(s, NOW + 20400);
	for (int i = 0; i < UPSTREAMS / 2; i++)
		remove_(&one, i, 20 + (uint64_t)i);
	for (int i = 0; i < UPSTREAMS / 2; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "u-%d", i);
		ck_assert(!knows_(&one, id));
	}
}
END_TEST

/* Neither the platform nor any other node has told of the platform since. */
START_TEST(test_removals_are_deferred_after_an_outage)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];

	put_all_(&one);
	s->outage_from = NOW;
	feeds_set_current(s, NOW + 1000, UPSTREAMS + 5);
	feeds_record_response(s, NOW + 5000);
	ck_assert_int_gt(s->defer_until, NOW + 5000);
}
END_TEST

/* After an outage, nodes starved of copies each saw another outage. */
START_TEST(test_stale_copies_are_no_outage)
{
	gateway_conf_t conf = { .apply_limit_ms = 2000 };
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	feed_batch_t batch = { .next_offset = UPSTREAMS };

	put_all_(&one);
	s->outage_from = clock_now() - 20000;
	feeds_set_current(s, clock_now() - 5000, UPSTREAMS);
	start_seed_(&one, &conf);
	asked.fn(asked.arg, FEED_OK, &batch);
	ck_assert_int_le(s->defer_until, clock_now());
	stop_seed_(&one);
}
END_TEST

/* The same node, but the platform leaves its reads without response. */
START_TEST(test_failed_reads_are_an_outage)
{
	gateway_conf_t conf = { .apply_limit_ms = 2000 };
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	feed_batch_t batch = { .next_offset = UPSTREAMS };

	put_all_(&one);
	feeds_set_current(s, clock_now() - 5000, UPSTREAMS);
	s->outage_from = clock_now() - 5000;
	s->down = true;
	start_seed_(&one, &conf);
	asked.fn(asked.arg, FEED_OK, &batch);
	ck_assert_int_gt(s->defer_until, clock_now());
	stop_seed_(&one);
}
END_TEST

/* A node that has read nothing in an outage learns of it with a copy. */
START_TEST(test_copies_tell_of_an_outage)
{
	feed_state_t *s = &two.feed_states[FEED_UPSTREAMS];

	put_all_(&one);
	put_all_(&two);
	one.feed_states[FEED_UPSTREAMS].defer_until = NOW + 2000;
	sync_(&one, &two);
	ck_assert_int_eq(s->defer_until, NOW + 2000);
	for (int i = 0; i < UPSTREAMS; i++)
		remove_(&two, i, 10 + (uint64_t)i);
	ck_assert_int_ge(g_hash_table_size(two.balance.by_id), UPSTREAMS / 2);
}
END_TEST

Suite *feed_outage_suite(void)
{
	Suite *s = suite_create("feed_outage");
	TCase *c = tcase_create("feed_outage");

	tcase_add_checked_fixture(c, setup_, teardown_);
	tcase_add_test(c, test_removals_are_not_deferred_after_copies);
	tcase_add_test(c, test_removals_are_deferred_after_an_outage);
	tcase_add_test(c, test_stale_copies_are_no_outage);
	tcase_add_test(c, test_failed_reads_are_an_outage);
	tcase_add_test(c, test_copies_tell_of_an_outage);
	suite_add_tcase(s, c);
	return s;
}

/* A state of an upstream as its record says, NULL for a removal. */
#define ENTRY(state, start, heartbeat)                                         \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","       \
	"\"version\":\"v1\",\"slot_count\":8,\"state\":\"" state               \
	"\",\"born\":" #start ",\"sequence\":" #heartbeat "}"

/* What is in service after two records of one upstream. */
static const struct {
	const char *known;
	uint64_t known_epoch;
	const char *next;
	uint64_t next_epoch;
	bool in_service;
} epoch_cases[] = {
	/* The restored log has an older record of a start that has left. */
	{ ENTRY("draining", 5, 9), 1, ENTRY("ready", 5, 8), 2, false },
	{ ENTRY("draining", 5, 9), 1, ENTRY("ready", 5, 9), 2, false },
	/* The same, and a record of an earlier start. */
	{ ENTRY("ready", 5, 1), 1, ENTRY("draining", 4, 70), 2, true },
	/* The upstream has written again, or has started anew. */
	{ ENTRY("ready", 5, 9), 1, ENTRY("draining", 5, 10), 2, false },
	{ ENTRY("draining", 5, 9), 1, ENTRY("ready", 6, 1), 2, true },
	/* A removal that was written after the restore. */
	{ ENTRY("ready", 5, 9), 1, NULL, 2, false },
	/* Another node still has the log of before the restore. */
	{ ENTRY("ready", 5, 8), 2, ENTRY("draining", 5, 9), 1, false },
	{ ENTRY("ready", 5, 9), 2, ENTRY("draining", 5, 8), 1, true },
	{ ENTRY("draining", 5, 9), 2, ENTRY("ready", 4, 90), 1, false },
	/* It has seen the entry removed, which has no content of its own. */
	{ ENTRY("ready", 5, 9), 2, NULL, 1, false },
	{ ENTRY("ready", 5, 10), 2, NULL, 1, true },
	/* Within an epoch a write that was carried out late. */
	{ ENTRY("draining", 5, 9), 1, ENTRY("ready", 5, 3), 1, false },
	{ ENTRY("draining", 5, 2), 1, ENTRY("ready", 4, 90), 1, false },
	{ ENTRY("ready", 5, 9), 1, ENTRY("draining", 4, 70), 1, true },
	/* A start that leaves does not change its mind, in whatever order. */
	{ ENTRY("ready", 5, 9), 1, ENTRY("draining", 5, 3), 1, false },
	/* The next heartbeat, a new start, and a second writer's count. */
	{ ENTRY("draining", 5, 9), 1, ENTRY("ready", 5, 10), 1, true },
	{ ENTRY("draining", 5, 9), 1, ENTRY("ready", 6, 1), 1, true },
	{ ENTRY("draining", 5, 9), 1, ENTRY("ready", 5, 9), 1, true },
};

START_TEST(test_order_over_epochs)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	feed_record_t known = { .key = str_of("u"), .offset = 40 };
	feed_record_t next = { .key = str_of("u"), .offset = 41 };
	const balance_upstream_t *u;

	known.data = str_of(epoch_cases[_i].known);
	known.epoch = epoch_cases[_i].known_epoch;
	next.removed = !epoch_cases[_i].next;
	if (!next.removed)
		next.data = str_of(epoch_cases[_i].next);
	next.epoch = epoch_cases[_i].next_epoch;
	next.start_id = next.removed ? 5 : 0;
	next.heartbeat = next.removed ? 9 : 0;
	feeds_set_current(s, NOW, 40);
	feeds_observe_epoch(&one, known.epoch, NOW);
	feeds_apply_record(s, &known, NOW);
	feeds_observe_epoch(&one, next.epoch, NOW);
	feeds_apply_record(s, &next, NOW);
	u = g_hash_table_lookup(one.balance.by_id, "u");
	ck_assert_int_eq(u && !u->leaving, epoch_cases[_i].in_service);
}
END_TEST

/* What an upstream says before or after its removal, which a node reads from
 * the platform.
 */
static const struct {
	const char *late;
	bool in_service;
} late_cases[] = {
	{ ENTRY("ready", 5, 8), false },  { ENTRY("ready", 5, 9), false },
	{ ENTRY("ready", 4, 90), false }, { ENTRY("ready", 5, 10), true },
	{ ENTRY("ready", 6, 1), true },
};

/* Guards against an upstream that a late write brings back, here and at a node
 * that has read nothing but that write.
 */
START_TEST(test_late_write_after_removal)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	feed_record_t r = { .key = str_of("u"),
			    .data = str_of(ENTRY("ready", 5, 9)),
			    .offset = 40 };
	feed_record_t gone = { .key = str_of("u"),
			       .removed = true,
			       .offset = 41 };

	feeds_begin_scan(s);
	feeds_apply_record(s, &r, NOW);
	feeds_end_scan(s, 41, NOW, NOW);
	feeds_apply_record(s, &gone, NOW);
	r.data = str_of(late_cases[_i].late);
	r.offset = 42;
	feeds_apply_record(s, &r, NOW);
	feeds_set_current(s, NOW, 43);
	ck_assert_int_eq(knows_(&one, "u"), late_cases[_i].in_service);

	s = &two.feed_states[FEED_UPSTREAMS];
	feeds_begin_scan(s);
	feeds_apply_record(s, &r, NOW);
	feeds_end_scan(s, 43, NOW, NOW);
	ck_assert(knows_(&two, "u"));
	s->next_offset = 0;
	sync_(&one, &two);
	ck_assert_int_eq(knows_(&two, "u"), late_cases[_i].in_service);
}
END_TEST

/* A node that has read only a late write takes what another one has in force.
 */
START_TEST(test_copy_corrects_a_late_write)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	feed_record_t r = { .key = str_of("u"),
			    .data = str_of(ENTRY("draining", 5, 2)),
			    .offset = 40 };
	const balance_upstream_t *u;

	feeds_begin_scan(s);
	feeds_apply_record(s, &r, NOW);
	feeds_end_scan(s, 41, NOW, NOW);
	r.data = str_of(ENTRY("ready", 4, 70));
	r.offset = 41;
	feeds_apply_record(s, &r, NOW);
	feeds_set_current(s, NOW, 42);
	s = &two.feed_states[FEED_UPSTREAMS];
	feeds_begin_scan(s);
	feeds_apply_record(s, &r, NOW);
	feeds_end_scan(s, 42, NOW, NOW);
	s->next_offset = 0;
	sync_(&one, &two);
	u = g_hash_table_lookup(two.balance.by_id, "u");
	ck_assert(u && u->leaving);
}
END_TEST

/* Guards against heartbeats that are read out of corrections of other nodes. */
START_TEST(test_correction_is_no_heartbeat)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	feed_record_t r = { .key = str_of("u"),
			    .data = str_of(ENTRY("ready", 5, 2)),
			    .offset = 40 };
	const balance_upstream_t *u;

	feeds_apply_record(s, &r, NOW);
	feeds_set_end(s, 41, NOW);
	r.offset = 41;
	r.corrected = true;
	feeds_apply_record(s, &r, NOW);
	u = g_hash_table_lookup(one.balance.by_id, "u");
	ck_assert(u && u->alive_at < NOW);
	r.offset = 42;
	r.corrected = false;
	r.data = str_of(ENTRY("ready", 5, 3));
	feeds_apply_record(s, &r, NOW);
	ck_assert(u->alive_at == NOW);
}
END_TEST

/* The record of an upstream, which is read after some time. */
static void write_(gateway_t *g, const char *data, uint64_t offset,
		   mstime_t after)
{
	feed_state_t *s = &g->feed_states[FEED_UPSTREAMS];
	feed_record_t r = { .key = str_of("u"), .offset = offset };

	r.removed = !data;
	if (data)
		r.data = str_of(data);
	s->source = FEED_FROM_PLATFORM;
	feeds_apply_record(s, &r, NOW + after);
	feeds_set_current(s, NOW + after, offset + 1);
}

static bool in_service_(const gateway_t *g)
{
	const balance_upstream_t *u =
		g_hash_table_lookup(g->balance.by_id, "u");

	return u && !u->leaving;
}

static uint64_t start_of_(const gateway_t *g)
{
	const balance_upstream_t *u =
		g_hash_table_lookup(g->balance.by_id, "u");

	return u ? u->start_id : 0;
}

/* What a start that has left wrote last, NULL for its removal. */
static const char *const left_cases[] = { ENTRY("draining", 9, 2), NULL };

/* Guards against several late writes of the start before that bring back an
 * upstream which has left.
 */
START_TEST(test_late_writes_after_leaving)
{
	write_(&one, ENTRY("ready", 9, 1), 40, 0);
	write_(&one, left_cases[_i], 41, 1200);
	write_(&one, ENTRY("ready", 4, 70), 42, 2000);
	write_(&one, ENTRY("ready", 4, 71), 43, 3200);
	write_(&one, ENTRY("ready", 4, 72), 44, 4400);
	ck_assert(!in_service_(&one));
	/* One that goes on is a start whose clock went back. */
	write_(&one, ENTRY("ready", 4, 74), 45, 6800);
	ck_assert(in_service_(&one));
}
END_TEST

/* Guards against a single late write, of a start between two of which the
 * second one's clock went back, that brings back an upstream which has left.
 */
START_TEST(test_late_write_between_clocks)
{
	write_(&one, ENTRY("ready", 9, 1), 40, 0);
	write_(&one, ENTRY("ready", 5, 1), 41, 1200);
	write_(&one, ENTRY("ready", 5, 2), 42, 2400);
	write_(&one, ENTRY("draining", 5, 3), 43, 3600);
	write_(&one, ENTRY("ready", 7, 4), 44, 4000);
	ck_assert_uint_eq(start_of_(&one), 5);
	ck_assert(!in_service_(&one));
}
END_TEST

/* Guards against a correction that counts as a write of the start before, so
 * that the next one, whose clock went back, does not come into force.
 */
START_TEST(test_correction_between_two_writes)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	feed_record_t r = { .key = str_of("u"),
			    .data = str_of(ENTRY("ready", 9, 1)),
			    .offset = 42,
			    .corrected = true };

	write_(&one, r.data.data, 40, 0);
	write_(&one, ENTRY("ready", 5, 1), 41, 600);
	s->source = FEED_FROM_NODE;
	feeds_apply_record(s, &r, NOW + 700);
	ck_assert_uint_eq(start_of_(&one), 9);
	write_(&one, ENTRY("ready", 5, 2), 43, 1800);
	ck_assert_uint_eq(start_of_(&one), 5);
}
END_TEST

/* Guards against a late write that counts as a sign of life of a start that
 * has ended, while the next one, whose clock went back, is not in force yet.
 */
START_TEST(test_late_write_of_a_disputed_start)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	const balance_upstream_t *u;

	write_(&one, ENTRY("ready", 9, 1), 40, 0);
	write_(&one, ENTRY("ready", 5, 1), 41, 1200);
	feeds_set_end(s, 42, NOW + 1200);
	write_(&one, ENTRY("ready", 9, 2), 42, 1900);
	u = g_hash_table_lookup(one.balance.by_id, "u");
	ck_assert(u->alive_at < NOW + 1200 && u->contested);
	feeds_set_end(s, 43, NOW + 1900);
	write_(&one, ENTRY("ready", 9, 3), 43, 3100);
	ck_assert(u->alive_at == NOW + 1900 && !u->contested);
}
END_TEST

/* The same where the next start's first write is read after a restore. */
START_TEST(test_dispute_after_a_restore)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	const balance_upstream_t *u;

	feeds_observe_epoch(&one, 1, NOW);
	write_(&one, ENTRY("ready", 9, 1), 40, 0);
	feeds_observe_epoch(&one, 2, NOW);
	write_(&one, ENTRY("ready", 5, 1), 20, 1200);
	feeds_set_end(s, 21, NOW + 1200);
	write_(&one, ENTRY("ready", 9, 2), 21, 1300);
	u = g_hash_table_lookup(one.balance.by_id, "u");
	ck_assert(u && u->start_id == 9);
	ck_assert(u->alive_at < NOW + 1200 && u->contested);
}
END_TEST

/* The same at a node that copies from the one that has read it. */
START_TEST(test_dispute_is_told)
{
	const balance_upstream_t *u;

	write_(&one, ENTRY("ready", 9, 1), 40, 0);
	sync_(&one, &two);
	write_(&one, ENTRY("ready", 5, 1), 41, 1200);
	write_(&one, ENTRY("ready", 9, 2), 42, 1900);
	sync_(&one, &two);
	u = g_hash_table_lookup(two.balance.by_id, "u");
	ck_assert(u && u->contested);
	/* It begins to read by itself. */
	feeds_set_end(&two.feed_states[FEED_UPSTREAMS], 43, NOW + 1900);
	write_(&two, ENTRY("ready", 9, 3), 43, 2000);
	ck_assert(u->alive_at < NOW + 1900 && u->contested);
	write_(&one, ENTRY("ready", 9, 3), 43, 2000);
	write_(&one, ENTRY("ready", 9, 4), 44, 3100);
	sync_(&one, &two);
	ck_assert(!u->contested);
}
END_TEST

/* Guards against an entry that vouches for the time in which it was that of
 * another start.
 */
START_TEST(test_entry_of_another_start)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	const balance_upstream_t *u;

	write_(&one, ENTRY("ready", 9, 1), 40, 0);
	write_(&one, ENTRY("ready", 5, 1), 41, 1200);
	write_(&one, ENTRY("ready", 5, 2), 42, 2400);
	write_(&one, ENTRY("ready", 9, 2), 43, 3600);
	write_(&one, ENTRY("ready", 9, 3), 44, 4800);
	u = g_hash_table_lookup(one.balance.by_id, "u");
	ck_assert(u && u->start_id == 9);
	ck_assert(!balance_is_start(&one.balance, u, NOW + 100, 0));
	feeds_set_current(s, NOW + 10000, 45);
	ck_assert(balance_is_start(&one.balance, u, NOW + 100, 0));
}
END_TEST

#define FUZZ_SEEDS 2000
#define FUZZ_WRITES_MAX 64
#define FUZZ_EVENTS 24
/* Writes of the start that lives on, until all know it. */
#define FUZZ_LIVE_WRITES 14
#define FUZZ_HEARTBEAT_MS 1200
#define FUZZ_MAX_S 30

/* A log that two nodes read, and a third that copies from them. */
typedef struct fuzz {
	GRand *rand;
	char *log[FUZZ_WRITES_MAX]; /* NULL for a removal */
	uint64_t end;
	uint64_t copied; /* end of the copy to which a restore goes back */
	uint64_t epoch;
	uint64_t heartbeat;
	mstime_t after;
} fuzz_t;

static const int fuzz_starts[] = { 4, 5, 7, 9, 12 };

static void fuzz_write_(fuzz_t *z, int start, const char *state)
{
	z->log[z->end++] = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
		"\"zone\":\"z\",\"version\":\"v%d\",\"slot_count\":8,"
		"\"state\":\"%s\",\"born\":%d,\"sequence\":%d}",
		start, state, start, (int)++z->heartbeat);
}

/* Reads the latest record, then what came after it. */
static void fuzz_read_(fuzz_t *z, gateway_t *g)
{
	feed_state_t *s = &g->feed_states[FEED_UPSTREAMS];
	mstime_t now = NOW + z->after;

	feeds_observe_epoch(g, z->epoch, now);
	s->source = FEED_FROM_PLATFORM;
	if (!s->complete) {
		feeds_begin_scan(s);
		if (z->end && z->log[z->end - 1])
			write_(g, z->log[z->end - 1], z->end - 1, z->after);
		feeds_end_scan(s, z->end, now, now);
	}
	while (s->next_offset < z->end)
		write_(g, z->log[s->next_offset], s->next_offset, z->after);
	feeds_apply_deferred_removals(s, now);
}

static void fuzz_copy_(gateway_t *from, gateway_t *to, mstime_t after)
{
	feed_state_t *s = &to->feed_states[FEED_UPSTREAMS];
	const feed_state_t *source = &from->feed_states[FEED_UPSTREAMS];
	GString *bytes = g_string_new(NULL);
	mstime_t now = NOW + after;
	json_t *feed;
	str_t payload;

	feeds_observe_epoch(from, s->epoch, now);
	feed = feed_sync_encode(source,
				s->epoch != source->epoch ||
						feeds_take_ask_all(s, now)
					? 0
					: s->next_offset,
				now, bytes);
	payload = (str_t){ bytes->str, bytes->len };
	feed_sync_apply(s, feed, &payload, now, now);
	feeds_apply_deferred_removals(s, now);
	json_decref(feed);
	g_string_free(bytes, TRUE);
}

static void fuzz_restart_(gateway_t *g)
{
	finish_(g);
	init_(g);
}

static void fuzz_restore_(fuzz_t *z)
{
	for (uint64_t i = z->copied; i < z->end; i++)
		g_clear_pointer(&z->log[i], g_free);
	z->end = z->copied;
	z->epoch++;
}

static void fuzz_event_(fuzz_t *z)
{
	gateway_t *const nodes[] = { &one, &two, &third };
	int from = g_rand_int_range(z->rand, 0, 2);
	int start = g_rand_int_range(z->rand, 0, G_N_ELEMENTS(fuzz_starts));

	switch (g_rand_int_range(z->rand, 0, 11)) {
	case 0:
	case 1:
	case 2:
		fuzz_write_(z, fuzz_starts[start],
			    g_rand_int_range(z->rand, 0, 4) ? "ready"
							    : "draining");
		break;
	case 3:
		z->log[z->end++] = NULL;
		break;
	case 4:
	case 5:
		fuzz_read_(z, nodes[from]);
		break;
	case 6:
		fuzz_copy_(nodes[from], &third, z->after);
		break;
	case 7:
		/* One that is cut off from the platform copies. */
		fuzz_copy_(nodes[from ? 2 : 1], &one, z->after);
		break;
	case 8:
		z->copied = z->end;
		break;
	case 9:
		fuzz_restore_(z);
		break;
	case 10:
		fuzz_restart_(nodes[g_rand_int_range(z->rand, 0, 3)]);
		break;
	}
	z->after += g_rand_int_range(z->rand, 0, 1500);
}

/* Guards against starts that are lost for good, and nodes that go on to differ,
 * whatever was written before.
 */
START_TEST(test_live_start_prevails)
{
	for (guint32 seed = 1; seed <= FUZZ_SEEDS; seed++) {
		fuzz_t z = { .rand = g_rand_new_with_seed(seed), .epoch = 1 };
		int live;

		setup_();
		for (int i = 0; i < FUZZ_EVENTS; i++)
			fuzz_event_(&z);
		live = fuzz_starts[g_rand_int_range(z.rand, 0,
						    G_N_ELEMENTS(fuzz_starts))];
		for (int i = 0; i < FUZZ_LIVE_WRITES; i++) {
			fuzz_write_(&z, live, "ready");
			z.after += FUZZ_HEARTBEAT_MS;
			fuzz_read_(&z, &one);
			fuzz_read_(&z, &two);
			fuzz_copy_(i % 2 ? &one : &two, &third, z.after);
		}
		ck_assert_msg(start_of_(&one) == (uint64_t)live &&
				      start_of_(&two) == (uint64_t)live &&
				      start_of_(&third) == (uint64_t)live,
			      "seed %u: start %d, known %d, %d, %d", seed, live,
			      (int)start_of_(&one), (int)start_of_(&two),
			      (int)start_of_(&third));
		for (uint64_t i = 0; i < z.end; i++)
			g_free(z.log[i]);
		g_rand_free(z.rand);
		teardown_();
	}
}
END_TEST

/* Guards against a start that one node knows to have come after another by its
 * clock, and that counts as the latest at nodes that know a later one.
 */
START_TEST(test_overruled_clock_of_an_older_epoch)
{
	feeds_observe_epoch(&two, 1, NOW);
	write_(&two, ENTRY("ready", 9, 1), 40, 0);
	write_(&two, ENTRY("ready", 5, 1), 41, 1200);
	write_(&two, ENTRY("ready", 5, 2), 42, 2400);
	ck_assert_uint_eq(start_of_(&two), 5);
	feeds_observe_epoch(&one, 2, NOW);
	write_(&one, ENTRY("draining", 12, 3), 30, 2400);
	sync_(&two, &one);
	ck_assert_uint_eq(start_of_(&one), 12);
	ck_assert(!in_service_(&one));
}
END_TEST

/* What a node knows that is told by another one of a start whose clock went
 * back, or of the one after it.
 */
static const struct {
	const char *label;
	const char *writes[4]; /* after ENTRY("ready", 9, 1) */
	const char *known;
	uint64_t in_force;
} told_cases[] = {
	{ "the start before",
	  { ENTRY("ready", 5, 1), ENTRY("ready", 5, 2) },
	  ENTRY("ready", 9, 1),
	  5 },
	{ "a start before that",
	  { ENTRY("ready", 5, 1), ENTRY("ready", 5, 2) },
	  ENTRY("ready", 7, 1),
	  5 },
	{ "the start before, and another has come after",
	  { ENTRY("ready", 5, 1), ENTRY("ready", 5, 2), ENTRY("ready", 7, 1),
	    ENTRY("ready", 7, 2) },
	  ENTRY("ready", 9, 1),
	  7 },
	{ "nothing", { ENTRY("ready", 5, 1), ENTRY("ready", 5, 2) }, NULL, 5 },
};

START_TEST(test_overruled_clock_is_told)
{
	uint64_t offset = 40;

	write_(&one, ENTRY("ready", 9, 1), offset, 0);
	if (told_cases[_i].known)
		write_(&two, told_cases[_i].known, offset, 0);
	for (int i = 0; i < 4 && told_cases[_i].writes[i]; i++)
		write_(&one, told_cases[_i].writes[i], ++offset,
		       1200 * (i + 1));
	sync_(&one, &two);
	ck_assert_msg(start_of_(&two) == told_cases[_i].in_force, "%s: %d",
		      told_cases[_i].label, (int)start_of_(&two));
	/* It tells others in turn. */
	write_(&third, ENTRY("ready", 9, 1), 40, 0);
	sync_(&two, &third);
	ck_assert_msg(start_of_(&third) == told_cases[_i].in_force, "%s: %d",
		      told_cases[_i].label, (int)start_of_(&third));
}
END_TEST

/* A node that started from the older copy takes what another one still knows.
 */
START_TEST(test_copy_corrects_a_restored_log)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	feed_record_t r = { .key = str_of("u"),
			    .data = str_of(ENTRY("draining", 5, 9)),
			    .offset = 40 };

	feeds_observe_epoch(&one, 1, NOW);
	feeds_apply_record(s, &r, NOW);
	feeds_set_current(s, NOW, 41);
	r.data = str_of(ENTRY("ready", 5, 7));
	r.offset = 12;
	for (int i = 0; i < 2; i++) {
		gateway_t *g = i ? &two : &one;

		s = &g->feed_states[FEED_UPSTREAMS];
		feeds_observe_epoch(g, 2, NOW);
		feeds_begin_scan(s);
		feeds_apply_record(s, &r, NOW);
		feeds_end_scan(s, 20, NOW, NOW);
	}
	two.feed_states[FEED_UPSTREAMS].next_offset = 0;
	sync_(&one, &two);
	ck_assert(((const balance_upstream_t *)g_hash_table_lookup(
			   two.balance.by_id, "u"))
			  ->leaving);
}
END_TEST

/* Guards against a start that an older copy of the log brings back, as its
 * clock had been overruled there. */
START_TEST(test_overruled_start_of_an_older_copy)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	feed_record_t r = { .key = str_of("u"),
			    .data = str_of(ENTRY("draining", 7, 9)),
			    .offset = 12 };
	const balance_upstream_t *u;

	feeds_observe_epoch(&one, 2, NOW);
	feeds_apply_record(s, &r, NOW);
	r = (feed_record_t){ .key = str_of("u"),
			     .data = str_of(ENTRY("ready", 3, 40)),
			     .epoch = 1,
			     .offset = 40,
			     .overruled = 5 };
	feeds_apply_record(s, &r, NOW);
	u = g_hash_table_lookup(one.balance.by_id, "u");
	ck_assert(u && u->leaving && u->start_id == 7);
}
END_TEST

/* Guards against entries that a restored log lacks and that each further scan
 * keeps.
 */
START_TEST(test_missing_after_two_scans)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];

	feeds_observe_epoch(&one, 1, NOW);
	put_all_(&one);
	feeds_observe_epoch(&one, 2, NOW);
	for (mstime_t at = NOW; at <= NOW + 5000; at += 5000) {
		feeds_begin_scan(s);
		put_(&one, 0, 0);
		feeds_end_scan(s, 1, at, at);
	}
	feeds_apply_deferred_removals(s, NOW + 5900);
	ck_assert(knows_(&one, "u-0") && knows_(&one, "u-1"));
	feeds_apply_deferred_removals(s, NOW + 6100);
	ck_assert(knows_(&one, "u-0") && !knows_(&one, "u-1"));
}
END_TEST

/* What the restored log lacks is used until it had time to be written again. */
START_TEST(test_missing_after_a_restore)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];

	feeds_observe_epoch(&one, 1, NOW);
	put_all_(&one);
	feeds_observe_epoch(&one, 2, NOW);
	feeds_begin_scan(s);
	put_(&one, 0, 0);
	feeds_end_scan(s, 1, NOW, NOW);
	feeds_apply_deferred_removals(s, NOW + 2000);
	ck_assert(knows_(&one, "u-0") && knows_(&one, "u-1"));
	feeds_apply_deferred_removals(s, NOW + 10000);
	ck_assert(knows_(&one, "u-0") && !knows_(&one, "u-1"));
}
END_TEST

/* Guards against an upstream that nodes which copy drop, though it has written
 * again what the restored log lacks.
 */
START_TEST(test_written_again_after_a_restore)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];

	feeds_observe_epoch(&one, 1, NOW);
	write_(&one, ENTRY("ready", 5, 1), 40, 0);
	sync_(&one, &two);
	feeds_observe_epoch(&one, 2, NOW);
	feeds_begin_scan(s);
	feeds_end_scan(s, 20, NOW, NOW);
	feeds_observe_epoch(&two, 2, NOW);
	sync_(&one, &two);
	/* Others write before it. */
	feeds_set_current(s, NOW, 45);
	sync_(&one, &two);
	ck_assert(knows_(&two, "u"));
	write_(&one, ENTRY("ready", 5, 2), 45, 600);
	sync_(&one, &two);
	feeds_apply_deferred_removals(&two.feed_states[FEED_UPSTREAMS],
				      NOW + 10000);
	ck_assert(knows_(&two, "u"));
}
END_TEST

/* A held request for changes was answered with offsets of another epoch. */
START_TEST(test_changes_of_another_epoch_are_not_applied)
{
	feed_state_t *s = &two.feed_states[FEED_UPSTREAMS];
	GString *bytes = g_string_new(NULL);
	json_t *feed;
	str_t payload;

	feeds_observe_epoch(&two, 1, NOW);
	put_all_(&two);
	feeds_observe_epoch(&one, 2, NOW);
	put_all_(&one);
	feed = feed_sync_encode(&one.feed_states[FEED_UPSTREAMS], UPSTREAMS,
				NOW, bytes);
	payload = (str_t){ bytes->str, bytes->len };
	feed_sync_apply(s, feed, &payload, NOW, NOW);
	ck_assert_uint_eq(s->epoch, 2);
	ck_assert(!s->complete);
	ck_assert_uint_eq(s->next_offset, 0);
	json_decref(feed);
	g_string_free(bytes, TRUE);
}
END_TEST

Suite *feed_epochs_suite(void)
{
	Suite *s = suite_create("feed_epochs");
	TCase *c = tcase_create("feed_epochs");

	tcase_add_checked_fixture(c, setup_, teardown_);
	tcase_add_loop_test(c, test_order_over_epochs, 0,
			    G_N_ELEMENTS(epoch_cases));
	tcase_add_loop_test(c, test_late_write_after_removal, 0,
			    G_N_ELEMENTS(late_cases));
	tcase_add_test(c, test_copy_corrects_a_late_write);
	tcase_add_test(c, test_copy_corrects_a_restored_log);
	tcase_add_test(c, test_correction_is_no_heartbeat);
	tcase_add_test(c, test_overruled_start_of_an_older_copy);
	tcase_add_loop_test(c, test_late_writes_after_leaving, 0,
			    G_N_ELEMENTS(left_cases));
	tcase_add_test(c, test_late_write_between_clocks);
	tcase_add_test(c, test_correction_between_two_writes);
	tcase_add_test(c, test_late_write_of_a_disputed_start);
	tcase_add_test(c, test_dispute_after_a_restore);
	tcase_add_test(c, test_dispute_is_told);
	tcase_add_test(c, test_entry_of_another_start);
	tcase_add_test(c, test_overruled_clock_of_an_older_epoch);
	tcase_add_loop_test(c, test_overruled_clock_is_told, 0,
			    G_N_ELEMENTS(told_cases));
	tcase_add_test(c, test_missing_after_a_restore);
	tcase_add_test(c, test_missing_after_two_scans);
	tcase_add_test(c, test_written_again_after_a_restore);
	tcase_add_test(c, test_changes_of_another_epoch_are_not_applied);
	suite_add_tcase(s, c);
	c = tcase_create("feed_epochs_any");
	tcase_set_timeout(c, FUZZ_MAX_S);
	tcase_add_test(c, test_live_start_prevails);
	suite_add_tcase(s, c);
	return s;
}

/* A copy that comes before the end of a scan leads less far than the scan. */
START_TEST(test_versions_after_a_scan_behind_a_copy)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	versions_copy_t copy = { .complete = true };

	feeds_begin_scan(s);
	feeds_end_scan(s, 5, NOW, NOW);
	versions_copy(&one.versions, &copy, NOW);
	feeds_begin_scan(s);
	versions_copy(&one.versions, &copy, NOW);
	ck_assert(versions_is_complete(&one.versions, NOW));
	feeds_end_scan(s, 9, NOW, NOW);
	ck_assert(!versions_is_complete(&one.versions, NOW));
	ck_assert(versions_is_restoring(&one.versions));
}
END_TEST

/* A scan that is dropped leaves the reads where they were. */
START_TEST(test_versions_after_a_cancelled_scan)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];

	feeds_begin_scan(s);
	feeds_end_scan(s, 5, NOW, NOW);
	feeds_begin_scan(s);
	feeds_cancel_scan(s);
	ck_assert_uint_eq(one.versions.seen_from, 5);
}
END_TEST

/* A record that is read late names a version all the same. */
START_TEST(test_versions_of_older_records)
{
	feed_record_t r = {
		.key = str_of("u-0"),
		.data = str_of("{\"service\":\"s\",\"address\":\"10.0.0.1:80\""
			       ",\"zone\":\"z\",\"version\":\"v2\","
			       "\"slot_count\":8,\"state\":\"ready\"}"),
		.offset = 4,
	};

	put_(&one, 0, 7);
	feeds_apply_record(&one.feed_states[FEED_UPSTREAMS], &r, NOW);
	ck_assert(versions_find(&one.versions, versions_key("s", "v2")));
	ck_assert(versions_find(&one.versions, versions_key("s", "v1")));
	ck_assert(!balance_has_version(&one.balance, versions_key("s", "v2")));
}
END_TEST

Suite *feeds_suite(void)
{
	Suite *s = suite_create("feeds");
	TCase *c = tcase_create("feeds");

	tcase_add_checked_fixture(c, setup_, teardown_);
	tcase_add_test(c, test_older_records_are_ignored);
	tcase_add_test(c, test_older_configuration_is_ignored);
	tcase_add_test(c, test_sync_of_truncated_response);
	tcase_add_test(c, test_sync_of_all_records);
	tcase_add_test(c, test_sync_ends_a_scan);
	tcase_add_test(c, test_known_up_to_the_question);
	tcase_add_test(c, test_versions_after_a_scan_behind_a_copy);
	tcase_add_test(c, test_versions_after_a_cancelled_scan);
	tcase_add_test(c, test_versions_of_older_records);
	tcase_add_test(c, test_sync_from_unloaded_node);
	tcase_add_test(c, test_single_removal_after_outage);
	tcase_add_test(c, test_mass_removal_is_deferred);
	tcase_add_test(c, test_deferred_removals_are_not_skipped);
	tcase_add_test(c, test_removals_before_a_scan_are_synced);
	tcase_add_test(c, test_removals_are_synced_over_two_nodes);
	tcase_add_loop_test(c, test_start_with_stale_data, 0,
			    G_N_ELEMENTS(start_cases));
	tcase_add_test(c, test_configuration_after_an_outage);
	tcase_add_test(c, test_heartbeats_are_not_changes);
	tcase_add_test(c, test_response_is_encoded_once);
	suite_add_tcase(s, c);
	return s;
}
