#include "suites.h"

#include "../../packages/gateway/private/gateway.h"
#include "../../platform/platform_protocol.h"

#include <kcf/logline.h>

#define NOW 1000000
#define UPSTREAMS 8

static gateway_t one;
static gateway_t two;

static void init_(gateway_t *g)
{
	*g = (gateway_t){ .protocol = &platform_protocol };
	balance_init(&g->balance, "dc-a", 1);
	feeds_init(g);
}

static void finish_(gateway_t *g)
{
	feeds_finish(g);
	balance_finish(&g->balance);
	route_table_unref(g->table);
}

static void setup_(void)
{
	logline_setup("test", LOG_CRIT);
	init_(&one);
	init_(&two);
}

static void teardown_(void)
{
	finish_(&one);
	finish_(&two);
}

static void put_(gateway_t *g, int i, uint64_t offset)
{
	char key[16];
	char *data = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"10.0.0.%d:80\",\"zone\":\"z\""
		",\"slot_count\":8,\"state\":\"ready\"}",
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
	/* Another node learns what is in force, not what was written last. */
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

/* An answer that ends early, or that is not for this node, misleads nobody. */
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
	/* Bytes of a feed that is not taken are passed over. */
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

/* The platform does not answer a node that has just started. */
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

/* One that leaves right after an outage has really left. */
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
 * hunt-85ce-7 on nautica-ruteo: a node in the time after an outage left its
 * held removals out of what it told, but told of an offset after them.
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
 * trouble-2 --seed 720569245954 on nautica-ruteo: a node that has just started
 * reads the newest record of each key, and knows of no removal before. It told
 * another node of what came after that one's offset, the removal left out.
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

/* The same with a node in between that never knew the key. */
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
 * A node that starts is told by one that was cut off from the platform: what
 * left meanwhile must not be used again.
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
	/* Too old: the platform may know better, */
	{ 10000, 100, 1, false, false },
	{ 10000, 1500, 9, false, false },
	{ 10000, 2500, 1, false, false },
	/* unless it does not answer, or several know nothing newer. */
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
 * trouble-3 of nautica-ruteo-grown: for two seconds after an outage readers
 * told no configuration, as they did not vouch for upstreams.
 */
START_TEST(test_configuration_after_an_outage)
{
	for (int i = 0; i <= FEED_UPSTREAMS; i++) {
		feed_state_t *s = &one.feed_states[i];
		GString *bytes = g_string_new(NULL);
		json_t *feed;

		feeds_set_current(s, NOW, 1);
		s->last_response_at = NOW;
		feeds_record_response(s, NOW + 8000);
		feed = feed_sync_encode(s, 0, NOW + 8000, bytes);
		ck_assert_int_eq(json_is_true(json_object_get(feed, "loaded")),
				 i == FEED_OPERATORS);
		json_decref(feed);
		g_string_free(bytes, TRUE);
	}
}
END_TEST

/* What others are told at once, and what only advances an offset. */
START_TEST(test_heartbeats_are_not_changes)
{
	feed_state_t *s = &one.feed_states[FEED_UPSTREAMS];
	uint64_t news;

	put_all_(&one);
	news = s->changes_end;
	put_(&one, 3, 20);
	ck_assert_uint_eq(s->changes_end, news);
	remove_(&one, 3, 21);
	ck_assert_uint_eq(s->changes_end, 22);
}
END_TEST

/*
 * trouble-3 of nautica-ruteo-grown and trouble-2 --seed 830347761512 of
 * nautica-ruteo-large: a large configuration was written anew for each of a
 * dozen nodes that waited for it, while callers' requests waited too.
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

	one.ranking = g_array_new(FALSE, FALSE, sizeof(plan_node_t));
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
	/* Nor when those that lack it are behind by different steps. */
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
