#include "suites.h"

#include <kcf/balance.h>

#define NOW 1000000
#define SERVICE "engines"

static balance_t b;

static void setup_(void)
{
	balance_init(&b, "dc-a", 1);
}

static void finish_(void)
{
	balance_finish(&b);
}

static void put_(int i, const char *data_centre, mstime_t now)
{
	char id[16];
	char address[24];
	balance_spec_t spec = { .id = id,
				.service = SERVICE,
				.address = address,
				.data_centre = data_centre,
				.slots = 8 };

	g_snprintf(id, sizeof(id), "u-%d", i);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", 9000 + i);
	balance_put_upstream(&b, &spec, now);
}

static void put_many_(int n)
{
	for (int i = 0; i < n; i++)
		put_(i, "dc-a", NOW);
}

/* Three requests are outstanding at each. */
static void put_many_busy_(int n)
{
	GHashTableIter iter;
	gpointer u;

	put_many_(n);
	g_hash_table_iter_init(&iter, b.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &u))
		balance_apply_report(u, 3, 0, NOW);
}

static balance_pick_t choose_(uint64_t affinity, mstime_t now)
{
	balance_request_t ask = { .service = SERVICE, .affinity = affinity };

	return balance_choose(&b, &ask, now);
}

/* No upstream has more outstanding than this. */
static void expect_at_most_(int most)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		ck_assert_int_le(((balance_upstream_t *)value)->own_outstanding,
				 most);
}

START_TEST(test_nothing_in_service)
{
	balance_pick_t p = choose_(0, NOW);

	ck_assert_ptr_null(p.upstream);
	ck_assert_int_eq(p.reason, BALANCE_NO_UPSTREAM);
	ck_assert_int_gt(p.retry_ms, 0);
}
END_TEST

/* Load: the same prompts again and again, few at a time. */
START_TEST(test_prompt_stays_warm)
{
	put_many_(9);
	for (uint64_t prompt = 1; prompt < 40; prompt++) {
		balance_pick_t first = choose_(prompt, NOW);

		balance_end_request(first.upstream, BALANCE_OK, 10, NOW);
		for (int i = 0; i < 5; i++) {
			balance_pick_t again = choose_(prompt, NOW + i);

			ck_assert_ptr_eq(again.upstream, first.upstream);
			balance_end_request(again.upstream, BALANCE_OK, 10,
					    NOW);
		}
	}
}
END_TEST

/* Load: prompts return while empty upstreams are added. */
START_TEST(test_prompt_stays_when_upstreams_are_added)
{
	balance_upstream_t *before[40];

	put_many_(9);
	for (uint64_t prompt = 1; prompt < 40; prompt++) {
		before[prompt] = choose_(prompt, NOW).upstream;
		balance_end_request(before[prompt], BALANCE_OK, 10, NOW);
	}
	for (int i = 9; i < 18; i++)
		put_(i, "dc-a", NOW);
	for (uint64_t prompt = 1; prompt < 40; prompt++) {
		balance_pick_t p = choose_(prompt, NOW + 1000);

		ck_assert_ptr_eq(p.upstream, before[prompt]);
		balance_end_request(p.upstream, BALANCE_OK, 10, NOW);
	}
}
END_TEST

/* Load: one prompt gets all the traffic, and nothing ends. */
START_TEST(test_hot_prompt_spills_within_bound)
{
	put_many_(9);
	for (int i = 0; i < 90; i++) {
		balance_pick_t p = choose_(7, NOW);

		ck_assert_ptr_nonnull(p.upstream);
		if (p.reason == BALANCE_SPILL)
			ck_assert_ptr_nonnull(p.copy_source);
	}
	expect_at_most_(2 * 90 / 9 + 3);
}
END_TEST

/* Load: hot prompts while a data centre is out; its upstreams count as idle. */
START_TEST(test_bound_counts_upstreams_that_are_out)
{
	for (int i = 0; i < 12; i++)
		put_(i, i < 4 ? "dc-b" : "dc-a", NOW);
	balance_set_drained(&b, "dc-b", true, NOW);
	for (int i = 0; i < 48; i++)
		ck_assert_ptr_nonnull(
			choose_((uint64_t)i % 3 + 1, NOW).upstream);
	expect_at_most_(2 * 48 / 12 + 3);
}
END_TEST

/* Load: requests go out after the report that another node tells of. */
START_TEST(test_old_report_lacks_what_was_sent_since)
{
	balance_load_t load = { .outstanding = 6, .age_ms = 400 };
	balance_pick_t p = { 0 };

	put_many_(1);
	for (int i = 0; i < 2; i++)
		p = choose_(0, NOW);
	for (int i = 0; i < 3; i++)
		p = choose_(0, NOW + 700);
	load.key = p.upstream->key;
	balance_apply_gossip(&b, &load, NOW + 1000);
	/* Two of the six are this node's; three more came after the report. */
	ck_assert_int_eq(p.upstream->remote_outstanding, 4);
	p = choose_(0, NOW + 1000);
	ck_assert_int_eq(p.load, 9);
}
END_TEST

/* Load: requests have ended since the report. */
START_TEST(test_old_report_still_has_what_has_ended_since)
{
	balance_load_t load = { .outstanding = 6, .age_ms = 400 };
	balance_pick_t p = { 0 };

	put_many_(1);
	for (int i = 0; i < 3; i++)
		p = choose_(0, NOW);
	balance_end_request(p.upstream, BALANCE_OK, 10, NOW + 800);
	balance_end_request(p.upstream, BALANCE_OK, 10, NOW + 900);
	load.key = p.upstream->key;
	balance_apply_gossip(&b, &load, NOW + 1000);
	ck_assert_int_eq(p.upstream->remote_outstanding, 3);
	p = choose_(0, NOW + 1000);
	ck_assert_int_eq(p.load, 4);
}
END_TEST

/* Load: 30 upstreams with three requests each; a part asks for one prompt. */
static const struct {
	int every;   /* each so-manieth request asks for it */
	guint least; /* upstreams that it goes to */
	guint most;
} hot_cases[] = {
	{ 1, 25, 30 },
	{ 3, 12, 30 },
	{ 10, 1, 12 },
	{ 100, 1, 1 },
};

START_TEST(test_hot_prompt_is_shared)
{
	GHashTable *used = g_hash_table_new(NULL, NULL);

	put_many_busy_(30);
	for (int i = 1; i <= 1000; i++) {
		bool hot = i % hot_cases[_i].every == 0;
		balance_pick_t p = choose_(hot ? 7 : 1000 + (uint64_t)i, NOW);

		if (hot)
			g_hash_table_add(used, p.upstream);
		balance_end_request(p.upstream, BALANCE_OK, 10, NOW);
	}
	ck_assert_uint_ge(g_hash_table_size(used), hot_cases[_i].least);
	ck_assert_uint_le(g_hash_table_size(used), hot_cases[_i].most);
	g_hash_table_unref(used);
}
END_TEST

/* Sends one request of a prompt; an upstream that lacks the prompt gets it
 * from one that has it, if there is any. @hold: those that have it
 */
static balance_upstream_t *ask_(uint64_t prompt, GHashTable *hold)
{
	balance_pick_t p = choose_(prompt, NOW);

	if (g_hash_table_size(hold) && !g_hash_table_contains(hold, p.upstream))
		ck_assert(g_hash_table_contains(hold, p.copy_source));
	balance_mark_warm(&b, prompt, p.upstream, NOW);
	balance_end_request(p.upstream, BALANCE_OK, 10, NOW);
	g_hash_table_add(hold, p.upstream);
	return p.upstream;
}

/* Load: bursts for one prompt after the other, whose first upstream vanishes.
 */
START_TEST(test_hot_prompt_is_copied)
{
	GHashTable *hold = g_hash_table_new(NULL, NULL);

	put_many_busy_(40);
	for (uint64_t prompt = 1; prompt <= 20; prompt++) {
		g_hash_table_remove_all(hold);
		balance_remove_upstream(&b, ask_(prompt, hold)->id);
		g_hash_table_remove_all(hold);
		for (int i = 0; i < 10; i++)
			ask_(prompt, hold);
	}
	g_hash_table_unref(hold);
}
END_TEST

/* A prompt that comes once and is sent again after a failure is not hot. */
START_TEST(test_retried_prompt_is_not_hot)
{
	put_many_(12);
	for (uint64_t prompt = 1; prompt <= 40; prompt++) {
		balance_pick_t p = choose_(prompt, NOW);
		balance_request_t ask = { .service = SERVICE,
					  .affinity = prompt,
					  .exclude = { p.upstream->local_id },
					  .exclude_count = 1 };
		balance_pick_t q = balance_choose(&b, &ask, NOW);

		ck_assert_int_ne(p.reason, BALANCE_HOT);
		ck_assert_int_ne(q.reason, BALANCE_HOT);
	}
}
END_TEST

START_TEST(test_same_order_on_every_node)
{
	balance_t other;
	balance_request_t ask = { .service = SERVICE };

	put_many_(9);
	balance_init(&other, "dc-b", 2);
	for (int i = 8; i >= 0; i--) {
		char id[16];
		balance_spec_t spec = { .id = id,
					.service = SERVICE,
					.address = "127.0.0.1:1",
					.data_centre = "dc-a",
					.slots = 8 };

		g_snprintf(id, sizeof(id), "u-%d", i);
		balance_put_upstream(&other, &spec, NOW);
	}
	for (uint64_t prompt = 1; prompt < 40; prompt++) {
		balance_pick_t p = choose_(prompt, NOW);
		balance_pick_t q;

		ask.affinity = prompt;
		q = balance_choose(&other, &ask, NOW);
		ck_assert_str_eq(p.upstream->id, q.upstream->id);
		balance_end_request(p.upstream, BALANCE_OK, 1, NOW);
		balance_end_request(q.upstream, BALANCE_OK, 1, NOW);
	}
	balance_finish(&other);
}
END_TEST

static const struct {
	int nodes;
	double per_s;
	int most; /* in one second, all nodes together */
} cold_cases[] = {
	{ 1, 23, 39 },
	{ 7, 23, 39 },
	{ 3, 10, 20 },
};

/* Load: far more than a cold upstream bears, at every node. */
START_TEST(test_cold_upstream_bears_little)
{
	balance_service_t limits = { cold_cases[_i].per_s };
	balance_spec_t spec = { .id = "cold",
				.service = SERVICE,
				.address = "127.0.0.1:1",
				.data_centre = "dc-a",
				.slots = 500,
				.cold_until = NOW + 10000 };
	int sent = 0;

	balance_set_service_limits(&b, SERVICE, &limits);
	b.node_count = cold_cases[_i].nodes;
	balance_put_upstream(&b, &spec, NOW);
	for (mstime_t now = NOW + 3000; now < NOW + 4000; now++) {
		balance_pick_t p = choose_(0, now);

		if (p.upstream)
			sent++;
		else
			ck_assert_int_eq(p.reason, BALANCE_COLD);
	}
	ck_assert_int_ge(sent, 1);
	ck_assert_int_le(sent * cold_cases[_i].nodes, cold_cases[_i].most);
}
END_TEST

START_TEST(test_out_and_leaving)
{
	balance_spec_t spec = { .id = "u-0",
				.service = SERVICE,
				.address = "127.0.0.1:9000",
				.data_centre = "dc-a",
				.slots = 8,
				.leaving = true };

	put_(0, "dc-a", NOW);
	put_(1, "dc-b", NOW);
	balance_set_drained(&b, "dc-b", true, NOW);
	ck_assert_str_eq(choose_(0, NOW).upstream->id, "u-0");
	ck_assert(balance_put_upstream(&b, &spec, NOW));
	ck_assert_ptr_null(choose_(0, NOW).upstream);
	balance_set_drained(&b, "dc-b", false, NOW);
	ck_assert_str_eq(choose_(0, NOW).upstream->id, "u-1");
}
END_TEST

/* Load: one upstream fails what it gets, the others do not. */
START_TEST(test_unsound_upstream_is_left_and_tried)
{
	int bad = 0;
	int late = 0;

	put_many_(4);
	for (int i = 0; i < 400; i++) {
		balance_pick_t p = choose_(0, NOW + i * 10);
		bool fails = !strcmp(p.upstream->id, "u-2");

		bad += fails;
		late += fails && i >= 200;
		balance_end_request(p.upstream,
				    fails ? BALANCE_FAILED : BALANCE_OK, 10,
				    NOW + i * 10);
	}
	ck_assert_int_gt(bad, 0);
	ck_assert_int_ge(late, 1);
	/* One request in 700 ms. */
	ck_assert_int_le(late, 4);
}
END_TEST

/* Makes an upstream unsound. */
static balance_upstream_t *spoil_(const char *id)
{
	balance_upstream_t *u = g_hash_table_lookup(b.by_id, id);

	ck_assert_ptr_nonnull(u);
	for (int i = 0; i < 8; i++)
		balance_count_overdue(u);
	return u;
}

/* Load: an unsound upstream comes back with its data centre, cold. */
START_TEST(test_trial_keeps_to_cold_rate)
{
	balance_service_t limits = { 0.5 };
	const balance_upstream_t *bad;
	int tried = 0;

	balance_set_service_limits(&b, SERVICE, &limits);
	for (int i = 0; i < 4; i++)
		put_(i, i == 2 ? "dc-b" : "dc-a", NOW);
	bad = spoil_("u-2");
	balance_set_drained(&b, "dc-b", true, NOW);
	balance_set_drained(&b, "dc-b", false, NOW);
	for (mstime_t now = NOW; now < NOW + 2900; now += 10) {
		balance_pick_t p = choose_(0, now);
		bool fails = p.upstream == bad;

		tried += fails;
		balance_end_request(p.upstream,
				    fails ? BALANCE_FAILED : BALANCE_OK, 10,
				    now);
	}
	ck_assert_int_ge(tried, 1);
	/* 0.5 a second, one saved up. */
	ck_assert_int_le(tried, 2);
}
END_TEST

/* Load: an unsound upstream has all that it can take, of other nodes. */
START_TEST(test_full_upstream_gets_no_trial)
{
	balance_upstream_t *bad;

	put_many_(4);
	bad = spoil_("u-2");
	for (int i = 0; i < 4; i++) {
		balance_pick_t p = choose_(0, NOW);

		balance_apply_report(p.upstream, 1, 0, NOW);
		balance_end_request(p.upstream, BALANCE_FAILED, 10, NOW);
	}
	balance_apply_report(bad, 40, 0, NOW + 700);
	for (int i = 0; i < 50; i++) {
		balance_pick_t p = choose_(0, NOW + 700 + i);

		ck_assert_ptr_ne(p.upstream, bad);
		balance_end_request(p.upstream, BALANCE_OK, 10, NOW + 700 + i);
	}
}
END_TEST

/* Load: the only upstream that anything is known of has all it can take. */
START_TEST(test_unknown_load_refuses_nothing)
{
	balance_upstream_t *full;

	put_many_(4);
	full = g_hash_table_lookup(b.by_id, "u-2");
	balance_apply_report(full, 24, 0, NOW);
	for (int i = 0; i < 50; i++) {
		balance_pick_t p = choose_(0, NOW);

		ck_assert_ptr_nonnull(p.upstream);
		ck_assert_ptr_ne(p.upstream, full);
		balance_end_request(p.upstream, BALANCE_OK, 10, NOW);
	}
}
END_TEST

START_TEST(test_all_unsound_is_nobody)
{
	put_many_(4);
	for (int i = 0; i < 100; i++) {
		balance_pick_t p = choose_(0, NOW + i);

		ck_assert_ptr_nonnull(p.upstream);
		balance_end_request(p.upstream, BALANCE_FAILED, 10, NOW + i);
	}
}
END_TEST

/* Load: one prompt, nothing ends; slots are 8, full is 24. */
static const struct {
	placement_t placement;
	int count;
	int least; /* outstanding at any upstream, lowest and */
	int most;  /* highest */
} baselines[] = {
	{ PLACEMENT_BOUNDED, 40, 0, 2 * 10 + 3 },
	{ PLACEMENT_LEAST_LOADED, 40, 9, 11 },
	{ PLACEMENT_RANDOM, 40, 1, 24 },
	{ PLACEMENT_HASH, 24, 0, 24 },
	/* Admission holds for baselines as well. */
	{ PLACEMENT_HASH, 40, 0, 24 },
	{ PLACEMENT_RANDOM, 96, 24, 24 },
};

START_TEST(test_baselines)
{
	GHashTableIter iter;
	gpointer value;
	int least = G_MAXINT;
	int most = 0;

	put_many_(4);
	b.placement = baselines[_i].placement;
	for (int i = 0; i < baselines[_i].count; i++) {
		balance_pick_t p = choose_(7, NOW);

		ck_assert_ptr_nonnull(p.upstream);
		if (b.placement != PLACEMENT_BOUNDED)
			ck_assert_int_eq(p.reason, BALANCE_BASELINE);
	}
	g_hash_table_iter_init(&iter, b.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const balance_upstream_t *u = value;

		least = MIN(least, u->own_outstanding);
		most = MAX(most, u->own_outstanding);
	}
	ck_assert_int_ge(least, baselines[_i].least);
	ck_assert_int_le(most, baselines[_i].most);
	if (b.placement == PLACEMENT_HASH)
		ck_assert_int_eq(most, 24);
}
END_TEST

START_TEST(test_full)
{
	put_many_(1);
	for (int i = 0; i < 24; i++)
		ck_assert_ptr_nonnull(choose_(0, NOW).upstream);
	ck_assert_int_eq(choose_(0, NOW).reason, BALANCE_FULL);
}
END_TEST

/*
 * Load: many are refused at the same moment. They are told to come back at the
 * pace at which places get free, this node's part of it, and not too late.
 */
static const struct {
	int nodes;
	int refused;
	int most; /* within any tenth of a second */
} return_cases[] = {
	{ 1, 50, 22 },
	{ 5, 50, 6 },
	{ 5, 2000, 2000 },
};

START_TEST(test_refused_come_back_one_after_the_other)
{
	GArray *at = g_array_new(FALSE, FALSE, sizeof(mstime_t));
	balance_pick_t p;
	guint first = 0;

	put_many_(1);
	b.node_count = return_cases[_i].nodes;
	/* 8 slots and answers after 40 ms: a place each 5 ms. */
	balance_end_request(choose_(0, NOW).upstream, BALANCE_OK, 40, NOW);
	for (int i = 0; i < 24; i++)
		ck_assert_ptr_nonnull(choose_(0, NOW).upstream);
	for (int i = 0; i < return_cases[_i].refused; i++) {
		p = choose_(0, NOW);
		ck_assert_ptr_null(p.upstream);
		ck_assert_int_gt(p.retry_ms, 0);
		ck_assert_int_le(p.retry_ms, 2000);
		g_array_append_val(at, p.retry_ms);
	}
	for (guint i = 0; i < at->len; i++) {
		while (g_array_index(at, mstime_t, first) + 100 <=
		       g_array_index(at, mstime_t, i))
			first++;
		ck_assert_int_le((int)(i - first + 1), return_cases[_i].most);
	}
	/* Later nothing is left of the crowd. */
	p = choose_(0, NOW + 10000);
	ck_assert_int_le(p.retry_ms, 250);
	g_array_unref(at);
}
END_TEST

/* An entry that goes away must not take memory that is still in use. */
START_TEST(test_removed_while_in_use)
{
	balance_pick_t p;

	put_many_(1);
	p = choose_(0, NOW);
	ck_assert(balance_remove_upstream(&b, "u-0"));
	ck_assert(!balance_remove_upstream(&b, "u-0"));
	ck_assert_str_eq(p.upstream->id, "u-0");
	balance_end_request(p.upstream, BALANCE_OK, 10, NOW);
}
END_TEST

/* Another start under the same id knows nothing of the one before. */
START_TEST(test_new_start_is_another_upstream)
{
	balance_spec_t spec = { .id = "u-0",
				.service = SERVICE,
				.address = "127.0.0.1:9000",
				.data_centre = "dc-a",
				.start_id = 1,
				.slots = 8 };
	balance_pick_t old;
	uint64_t number;

	balance_put_upstream(&b, &spec, NOW);
	old = choose_(0, NOW);
	number = old.upstream->local_id;
	ck_assert(!balance_put_upstream(&b, &spec, NOW));
	spec.start_id = 2;
	ck_assert(balance_put_upstream(&b, &spec, NOW));
	ck_assert_uint_ne(choose_(0, NOW).upstream->local_id, number);
	/* What ran at the old start still ends there. */
	balance_end_request(old.upstream, BALANCE_OK, 10, NOW);
}
END_TEST

Suite *balance_suite(void)
{
	Suite *s = suite_create("balance");
	TCase *c = tcase_create("balance");

	tcase_add_checked_fixture(c, setup_, finish_);
	tcase_add_test(c, test_nothing_in_service);
	tcase_add_test(c, test_prompt_stays_warm);
	tcase_add_test(c, test_prompt_stays_when_upstreams_are_added);
	tcase_add_test(c, test_hot_prompt_spills_within_bound);
	tcase_add_test(c, test_bound_counts_upstreams_that_are_out);
	tcase_add_test(c, test_old_report_lacks_what_was_sent_since);
	tcase_add_test(c, test_old_report_still_has_what_has_ended_since);
	tcase_add_loop_test(c, test_hot_prompt_is_shared, 0,
			    G_N_ELEMENTS(hot_cases));
	tcase_add_test(c, test_hot_prompt_is_copied);
	tcase_add_test(c, test_retried_prompt_is_not_hot);
	tcase_add_test(c, test_same_order_on_every_node);
	tcase_add_loop_test(c, test_cold_upstream_bears_little, 0,
			    G_N_ELEMENTS(cold_cases));
	tcase_add_test(c, test_out_and_leaving);
	tcase_add_test(c, test_unsound_upstream_is_left_and_tried);
	tcase_add_test(c, test_trial_keeps_to_cold_rate);
	tcase_add_test(c, test_full_upstream_gets_no_trial);
	tcase_add_test(c, test_unknown_load_refuses_nothing);
	tcase_add_test(c, test_all_unsound_is_nobody);
	tcase_add_loop_test(c, test_baselines, 0, G_N_ELEMENTS(baselines));
	tcase_add_test(c, test_full);
	tcase_add_loop_test(c, test_refused_come_back_one_after_the_other, 0,
			    G_N_ELEMENTS(return_cases));
	tcase_add_test(c, test_removed_while_in_use);
	tcase_add_test(c, test_new_start_is_another_upstream);
	suite_add_tcase(s, c);
	return s;
}
