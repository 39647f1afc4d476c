#include "suites.h"

#include <kcf/balance.h>
#include <kcf/versions.h>

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

static void put_upstream_(int i, const char *data_centre, mstime_t now)
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

static void put_upstreams_(int n)
{
	for (int i = 0; i < n; i++)
		put_upstream_(i, "dc-a", NOW);
}

/* Each reports three outstanding requests. */
static void put_busy_upstreams_(int n)
{
	GHashTableIter iter;
	gpointer u;

	put_upstreams_(n);
	g_hash_table_iter_init(&iter, b.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &u))
		balance_apply_report(u, 3, 0, NOW);
}

static balance_pick_t choose_(uint64_t affinity, mstime_t now)
{
	balance_request_t request = { .service = SERVICE,
				      .affinity = affinity };

	return balance_choose(&b, &request, now);
}

static void check_max_outstanding_(int most)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		ck_assert_int_le(((balance_upstream_t *)value)->own_outstanding,
				 most);
}

START_TEST(test_no_upstream)
{
	balance_pick_t p = choose_(0, NOW);

	ck_assert_ptr_null(p.upstream);
	ck_assert_int_eq(p.reason, BALANCE_NO_UPSTREAM);
	ck_assert_int_gt(p.retry_ms, 0);
}
END_TEST

/* Load: repeated prompts, one request at a time. */
START_TEST(test_prompt_stays_warm)
{
	put_upstreams_(9);
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

/* Load: prompts are repeated after empty upstreams were added. */
START_TEST(test_prompt_stays_when_upstreams_are_added)
{
	balance_upstream_t *before[40];

	put_upstreams_(9);
	for (uint64_t prompt = 1; prompt < 40; prompt++) {
		before[prompt] = choose_(prompt, NOW).upstream;
		balance_end_request(before[prompt], BALANCE_OK, 10, NOW);
	}
	for (int i = 9; i < 18; i++)
		put_upstream_(i, "dc-a", NOW);
	for (uint64_t prompt = 1; prompt < 40; prompt++) {
		balance_pick_t p = choose_(prompt, NOW + 1000);

		ck_assert_ptr_eq(p.upstream, before[prompt]);
		balance_end_request(p.upstream, BALANCE_OK, 10, NOW);
	}
}
END_TEST

/* Load: all requests have the same prompt, and none ends. */
START_TEST(test_hot_prompt_spills_within_limit)
{
	put_upstreams_(9);
	for (int i = 0; i < 90; i++) {
		balance_pick_t p = choose_(7, NOW);

		ck_assert_ptr_nonnull(p.upstream);
		if (p.reason == BALANCE_SPILL)
			ck_assert_ptr_nonnull(p.copy_source);
	}
	check_max_outstanding_(2 * 90 / 9 + 3);
}
END_TEST

/*
 * Load: hot prompts while a data centre is drained. Its upstreams count as idle
 * ones in the mean load.
 */
START_TEST(test_limit_counts_drained_upstreams)
{
	for (int i = 0; i < 12; i++)
		put_upstream_(i, i < 4 ? "dc-b" : "dc-a", NOW);
	balance_set_drained(&b, "dc-b", true, NOW);
	for (int i = 0; i < 48; i++)
		ck_assert_ptr_nonnull(
			choose_((uint64_t)i % 3 + 1, NOW).upstream);
	check_max_outstanding_(2 * 48 / 12 + 3);
}
END_TEST

/* Load: requests are sent after the time of a report received by gossip. */
START_TEST(test_old_report_misses_later_requests)
{
	balance_load_t load = { .outstanding = 6, .age_ms = 400 };
	balance_pick_t p = { 0 };

	put_upstreams_(1);
	for (int i = 0; i < 2; i++)
		p = choose_(0, NOW);
	for (int i = 0; i < 3; i++)
		p = choose_(0, NOW + 700);
	load.key = p.upstream->key;
	balance_apply_gossip(&b, &load, NOW + 1000);
	/* Two of the six are this node's, sent before the report. */
	ck_assert_int_eq(p.upstream->remote_outstanding, 4);
	p = choose_(0, NOW + 1000);
	ck_assert_int_eq(p.load, 9);
}
END_TEST

/* Load: requests end after the time of a report received by gossip. */
START_TEST(test_old_report_counts_ended_requests)
{
	balance_load_t load = { .outstanding = 6, .age_ms = 400 };
	balance_pick_t p = { 0 };

	put_upstreams_(1);
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

/* Load: 30 upstreams with three requests each; some requests share a prompt. */
static const struct {
	int every;   /* one request in this many has the prompt */
	guint least; /* upstreams that it is sent to */
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

	put_busy_upstreams_(30);
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

/*
 * Sends a request with a prompt. If the upstream isn't warm, the source of the
 * copy must be a warm one, if there is any.
 * @warm: set of warm upstreams
 */
static balance_upstream_t *request_prompt_(uint64_t prompt, GHashTable *warm)
{
	balance_pick_t p = choose_(prompt, NOW);

	if (g_hash_table_size(warm) && !g_hash_table_contains(warm, p.upstream))
		ck_assert(g_hash_table_contains(warm, p.copy_source));
	balance_mark_warm(&b, prompt, p.upstream, NOW);
	balance_end_request(p.upstream, BALANCE_OK, 10, NOW);
	g_hash_table_add(warm, p.upstream);
	return p.upstream;
}

/*
 * Load: a burst for each of several prompts; the first upstream of each prompt
 * is removed after one request.
 */
START_TEST(test_hot_prompt_is_copied)
{
	GHashTable *warm = g_hash_table_new(NULL, NULL);

	put_busy_upstreams_(40);
	for (uint64_t prompt = 1; prompt <= 20; prompt++) {
		g_hash_table_remove_all(warm);
		balance_remove_upstream(&b, request_prompt_(prompt, warm)->id);
		g_hash_table_remove_all(warm);
		for (int i = 0; i < 10; i++)
			request_prompt_(prompt, warm);
	}
	g_hash_table_unref(warm);
}
END_TEST

/* A retry of a request must not make its prompt count as hot. */
START_TEST(test_retried_prompt_is_not_hot)
{
	put_upstreams_(12);
	for (uint64_t prompt = 1; prompt <= 40; prompt++) {
		balance_pick_t p = choose_(prompt, NOW);
		balance_request_t request = {
			.service = SERVICE,
			.affinity = prompt,
			.exclude = { p.upstream->local_id },
			.exclude_count = 1
		};
		balance_pick_t q = balance_choose(&b, &request, NOW);

		ck_assert_int_ne(p.reason, BALANCE_HOT);
		ck_assert_int_ne(q.reason, BALANCE_HOT);
	}
}
END_TEST

START_TEST(test_same_order_on_every_node)
{
	balance_t other;
	balance_request_t request = { .service = SERVICE };

	put_upstreams_(9);
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

		request.affinity = prompt;
		q = balance_choose(&other, &request, NOW);
		ck_assert_str_eq(p.upstream->id, q.upstream->id);
		balance_end_request(p.upstream, BALANCE_OK, 1, NOW);
		balance_end_request(q.upstream, BALANCE_OK, 1, NOW);
	}
	balance_finish(&other);
}
END_TEST

static const struct {
	int nodes;   /* that this one hears, and itself */
	int senders; /* also those that it does not hear any more */
	double per_s;
	int most; /* requests in one second, all nodes together */
} cold_cases[] = {
	{ 1, 1, 23, 39 },
	{ 7, 7, 23, 39 },
	{ 3, 3, 10, 20 },
	/* cut off from the others, or one of two halves */
	{ 1, 7, 23, 39 },
	{ 4, 7, 10, 20 },
};

/* Load: at every node, far more than a cold upstream's rate limit. */
START_TEST(test_cold_upstream_gets_limited_rate)
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
	b.sender_count = cold_cases[_i].senders;
	balance_put_upstream(&b, &spec, NOW);
	for (mstime_t now = NOW + 3000; now < NOW + 4000; now++) {
		balance_pick_t p = choose_(0, now);

		if (p.upstream)
			sent++;
		else
			ck_assert_int_eq(p.reason, BALANCE_COLD);
	}
	ck_assert_int_ge(sent, 1);
	ck_assert_int_le(sent * cold_cases[_i].senders, cold_cases[_i].most);
}
END_TEST

START_TEST(test_drained_and_leaving)
{
	balance_spec_t spec = { .id = "u-0",
				.service = SERVICE,
				.address = "127.0.0.1:9000",
				.data_centre = "dc-a",
				.slots = 8,
				.leaving = true };

	put_upstream_(0, "dc-a", NOW);
	put_upstream_(1, "dc-b", NOW);
	balance_set_drained(&b, "dc-b", true, NOW);
	ck_assert_str_eq(choose_(0, NOW).upstream->id, "u-0");
	ck_assert(balance_put_upstream(&b, &spec, NOW));
	ck_assert_ptr_null(choose_(0, NOW).upstream);
	balance_set_drained(&b, "dc-b", false, NOW);
	ck_assert_str_eq(choose_(0, NOW).upstream->id, "u-1");
}
END_TEST

/* Load: one upstream fails all its requests, the others none. */
START_TEST(test_unhealthy_upstream_is_avoided_and_probed)
{
	int failures = 0;
	int later_failures = 0;

	put_upstreams_(4);
	for (int i = 0; i < 400; i++) {
		balance_pick_t p = choose_(0, NOW + i * 10);
		bool fails = !strcmp(p.upstream->id, "u-2");

		failures += fails;
		later_failures += fails && i >= 200;
		balance_end_request(p.upstream,
				    fails ? BALANCE_FAILED : BALANCE_OK, 10,
				    NOW + i * 10);
	}
	ck_assert_int_gt(failures, 0);
	ck_assert_int_ge(later_failures, 1);
	/* One probe in 700 ms. */
	ck_assert_int_le(later_failures, 4);
}
END_TEST

static balance_upstream_t *make_unhealthy_(const char *id)
{
	balance_upstream_t *u = g_hash_table_lookup(b.by_id, id);

	ck_assert_ptr_nonnull(u);
	for (int i = 0; i < 8; i++)
		balance_count_overdue(u);
	return u;
}

/*
 * Load: the data centre of an unhealthy upstream is restored, so that the
 * upstream is cold. Probes must stay within its rate limit.
 */
START_TEST(test_probe_respects_cold_rate)
{
	balance_service_t limits = { 0.5 };
	const balance_upstream_t *unhealthy;
	int probes = 0;

	balance_set_service_limits(&b, SERVICE, &limits);
	for (int i = 0; i < 4; i++)
		put_upstream_(i, i == 2 ? "dc-b" : "dc-a", NOW);
	unhealthy = make_unhealthy_("u-2");
	balance_set_drained(&b, "dc-b", true, NOW);
	balance_set_drained(&b, "dc-b", false, NOW);
	for (mstime_t now = NOW; now < NOW + 2900; now += 10) {
		balance_pick_t p = choose_(0, now);
		bool fails = p.upstream == unhealthy;

		probes += fails;
		balance_end_request(p.upstream,
				    fails ? BALANCE_FAILED : BALANCE_OK, 10,
				    now);
	}
	ck_assert_int_ge(probes, 1);
	/* 0.5 a second, and one token in the bucket. */
	ck_assert_int_le(probes, 2);
}
END_TEST

/* Load: an unhealthy upstream is full with requests of other nodes. */
START_TEST(test_full_upstream_gets_no_probe)
{
	balance_upstream_t *unhealthy;

	put_upstreams_(4);
	unhealthy = make_unhealthy_("u-2");
	for (int i = 0; i < 4; i++) {
		balance_pick_t p = choose_(0, NOW);

		balance_apply_report(p.upstream, 1, 0, NOW);
		balance_end_request(p.upstream, BALANCE_FAILED, 10, NOW);
	}
	balance_apply_report(unhealthy, 40, 0, NOW + 700);
	for (int i = 0; i < 50; i++) {
		balance_pick_t p = choose_(0, NOW + 700 + i);

		ck_assert_ptr_ne(p.upstream, unhealthy);
		balance_end_request(p.upstream, BALANCE_OK, 10, NOW + 700 + i);
	}
}
END_TEST

/* Load: the only upstream with a report is full. */
START_TEST(test_unknown_load_refuses_nothing)
{
	balance_upstream_t *full;

	put_upstreams_(4);
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

START_TEST(test_common_failures_exclude_no_upstream)
{
	put_upstreams_(4);
	for (int i = 0; i < 100; i++) {
		balance_pick_t p = choose_(0, NOW + i);

		ck_assert_ptr_nonnull(p.upstream);
		balance_end_request(p.upstream, BALANCE_FAILED, 10, NOW + i);
	}
}
END_TEST

/* Load: one prompt, no request ends; 8 slots, full at 24 requests. */
static const struct {
	placement_t placement;
	int count;
	int least; /* lowest outstanding count of an upstream */
	int most;  /* highest one */
} baselines[] = {
	{ PLACEMENT_BOUNDED, 40, 0, 2 * 10 + 3 },
	{ PLACEMENT_LEAST_LOADED, 40, 9, 11 },
	{ PLACEMENT_RANDOM, 40, 1, 24 },
	{ PLACEMENT_HASH, 24, 0, 24 },
	/* Baselines send nothing to a full upstream either. */
	{ PLACEMENT_HASH, 40, 0, 24 },
	{ PLACEMENT_RANDOM, 96, 24, 24 },
};

START_TEST(test_baselines)
{
	GHashTableIter iter;
	gpointer value;
	int least = G_MAXINT;
	int most = 0;

	put_upstreams_(4);
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
	put_upstreams_(1);
	for (int i = 0; i < 24; i++)
		ck_assert_ptr_nonnull(choose_(0, NOW).upstream);
	ck_assert_int_eq(choose_(0, NOW).reason, BALANCE_FULL);
}
END_TEST

/*
 * Load: many requests are refused at the same time. Their retries must be
 * spaced at this node's share of the rate at which slots become free, up to a
 * maximum delay.
 */
static const struct {
	int nodes;
	int refused;
	int most; /* retries within any tenth of a second */
} retry_cases[] = {
	{ 1, 50, 22 },
	{ 5, 50, 6 },
	{ 5, 2000, 2000 },
};

START_TEST(test_retries_are_spaced)
{
	GArray *at = g_array_new(FALSE, FALSE, sizeof(mstime_t));
	balance_pick_t p;
	guint first = 0;

	put_upstreams_(1);
	b.node_count = retry_cases[_i].nodes;
	/* 8 slots and a latency of 40 ms: a slot becomes free every 5 ms. */
	balance_end_request(choose_(0, NOW).upstream, BALANCE_OK, 40, NOW);
	for (int i = 0; i < 24; i++)
		ck_assert_ptr_nonnull(choose_(0, NOW).upstream);
	for (int i = 0; i < retry_cases[_i].refused; i++) {
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
		ck_assert_int_le((int)(i - first + 1), retry_cases[_i].most);
	}
	/* Later, a refusal is not delayed by those retries. */
	p = choose_(0, NOW + 10000);
	ck_assert_int_le(p.retry_ms, 250);
	g_array_unref(at);
}
END_TEST

/* Removing an entry must not free an upstream with outstanding requests. */
START_TEST(test_removed_while_in_use)
{
	balance_pick_t p;

	put_upstreams_(1);
	p = choose_(0, NOW);
	ck_assert(balance_remove_upstream(&b, "u-0"));
	ck_assert(!balance_remove_upstream(&b, "u-0"));
	ck_assert_str_eq(p.upstream->id, "u-0");
	balance_end_request(p.upstream, BALANCE_OK, 10, NOW);
}
END_TEST

/* A new start under the same id is a new upstream without statistics. */
START_TEST(test_new_start_is_another_upstream)
{
	balance_spec_t spec = { .id = "u-0",
				.service = SERVICE,
				.address = "127.0.0.1:9000",
				.data_centre = "dc-a",
				.start_id = 1,
				.slots = 8 };
	balance_pick_t old;
	uint64_t local_id;

	balance_put_upstream(&b, &spec, NOW);
	old = choose_(0, NOW);
	local_id = old.upstream->local_id;
	ck_assert(!balance_put_upstream(&b, &spec, NOW));
	spec.start_id = 2;
	ck_assert(balance_put_upstream(&b, &spec, NOW));
	ck_assert_uint_ne(choose_(0, NOW).upstream->local_id, local_id);
	/* A request sent to the old start still ends there. */
	balance_end_request(old.upstream, BALANCE_OK, 10, NOW);
}
END_TEST

#define AWAY_MS 1400
#define KEPT_MS 600000

/* When an answer names a rate, or announces the leave: at an entry that then
 * lapses, while it is away, or after its return, by a request from before.
 */
typedef enum said_when { SAID_BEFORE, SAID_AWAY, SAID_AFTER } said_when_t;

static const struct {
	said_when_t when;
	bool leaves;
	bool names;
	uint64_t next_start;
	mstime_t away_ms;
	bool leaving;
	bool limited;
} lapse_cases[] = {
	{ SAID_BEFORE, false, true, 1, AWAY_MS, false, true },
	{ SAID_AWAY, false, true, 1, AWAY_MS, false, true },
	{ SAID_AFTER, false, true, 1, AWAY_MS, false, true },
	{ SAID_BEFORE, true, false, 1, AWAY_MS, true, false },
	{ SAID_AWAY, true, false, 1, AWAY_MS, true, false },
	{ SAID_AFTER, true, false, 1, AWAY_MS, true, false },
	{ SAID_BEFORE, true, true, 1, AWAY_MS, true, true },
	{ SAID_BEFORE, false, false, 1, AWAY_MS, false, false },
	/* A new start has said nothing yet. */
	{ SAID_BEFORE, true, true, 2, AWAY_MS, false, false },
	{ SAID_AFTER, true, true, 2, AWAY_MS, false, false },
	{ SAID_BEFORE, false, true, 1, KEPT_MS - 1, false, true },
};

/* Guards against what an upstream has said of itself being forgotten when its
 * entry lapses and comes back.
 */
START_TEST(test_statements_outlive_an_entry)
{
	balance_spec_t spec = { .id = "u-0",
				.service = SERVICE,
				.address = "127.0.0.1:9000",
				.data_centre = "dc-a",
				.start_id = 1,
				.slots = 8 };
	balance_upstream_t *old;
	const balance_upstream_t *u;
	mstime_t back = NOW + lapse_cases[_i].away_ms;

	balance_put_upstream(&b, &spec, NOW);
	old = choose_(0, NOW).upstream;
	for (said_when_t now = SAID_BEFORE; now <= SAID_AFTER; now++) {
		if (now == SAID_AWAY)
			balance_remove_upstream(&b, "u-0");
		spec.start_id = lapse_cases[_i].next_start;
		if (now == SAID_AFTER)
			balance_put_upstream(&b, &spec, back);
		if (lapse_cases[_i].when != now)
			continue;
		if (lapse_cases[_i].names)
			balance_name_rate(&b, old, 1.0,
					  now == SAID_AFTER ? back : NOW);
		if (lapse_cases[_i].names)
			balance_name_brittle(&b, old, 4,
					     now == SAID_AFTER ? back : NOW);
		if (lapse_cases[_i].leaves)
			balance_announce_leaving(
				&b, old, now == SAID_AFTER ? back : NOW);
	}
	u = g_hash_table_lookup(b.by_id, "u-0");
	ck_assert_int_eq(u->leaving, lapse_cases[_i].leaving);
	ck_assert_int_eq(u->rate_limit.active, lapse_cases[_i].limited);
	ck_assert_int_eq(u->brittle.active, lapse_cases[_i].limited);
	balance_end_request(old, BALANCE_OK, 10, back);
}
END_TEST

/* A rate that ended while the entry was away does not hold afterwards. */
START_TEST(test_ended_rate_is_not_kept)
{
	balance_upstream_t *u;

	put_upstreams_(1);
	u = choose_(0, NOW).upstream;
	balance_name_rate(&b, u, 1.0, NOW);
	balance_remove_upstream(&b, "u-0");
	ck_assert(balance_omit_rate(&b, u, NOW + 1, NOW + 10));
	put_upstream_(0, "dc-a", NOW + AWAY_MS);
	balance_end_request(u, BALANCE_OK, 10, NOW + AWAY_MS);
	u = g_hash_table_lookup(b.by_id, "u-0");
	ck_assert_int_eq(u->rate_limit.ending_at, NOW + 10);
}
END_TEST

/* A brittle upstream gets no more than this node's part, and no retry after a
 * refusal by another one.
 */
START_TEST(test_brittle_upstreams_get_parts)
{
	balance_request_t request = { .service = SERVICE };
	const uint64_t keys[] = { 1, 2 };
	int sent = 0;

	put_upstreams_(2);
	for (int i = 0; i < 2; i++)
		balance_name_brittle(
			&b, g_hash_table_lookup(b.by_id, i ? "u-1" : "u-0"), 4,
			NOW);
	ck_assert_ptr_null(choose_(0, NOW).upstream);
	balance_share_rates(&b, keys, 2, 0, NOW);
	request.no_brittle = true;
	ck_assert_ptr_null(balance_choose(&b, &request, NOW).upstream);
	while (choose_(0, NOW).upstream)
		sent++;
	ck_assert_int_eq(sent, 2 * 8 / 2);
}
END_TEST

/* A node that was cut off just before takes no parts of the others. */
START_TEST(test_missing_nodes_keep_their_parts)
{
	const uint64_t keys[] = { 1, 2, 3, 4 };
	const balance_upstream_t *u;

	put_upstreams_(1);
	u = g_hash_table_lookup(b.by_id, "u-0");
	balance_share_rates(&b, keys, 4, 0, NOW);
	balance_share_rates(&b, keys, 1, 0, NOW + 10000);
	balance_name_brittle(&b, g_hash_table_lookup(b.by_id, "u-0"), 4,
			     NOW + 10000);
	balance_share_rates(&b, keys, 1, 0, NOW + 10000);
	ck_assert_int_eq(u->brittle.part, 2);
	balance_share_rates(&b, keys, 1, 0, NOW + 20000);
	ck_assert_int_eq(u->brittle.part, 8);
}
END_TEST

/* Nodes that held no share of a rate did not learn that it had ended. */
START_TEST(test_rates_are_gossiped)
{
	balance_spec_t spec = { .id = "u",
				.service = "s",
				.address = "10.0.0.1:80",
				.data_centre = "dc",
				.slots = 8 };
	balance_load_t load;
	balance_t nodes[2];
	balance_upstream_t *u[2];

	for (int i = 0; i < 2; i++) {
		balance_init(&nodes[i], "dc", 1);
		balance_put_upstream(&nodes[i], &spec, 1000);
		u[i] = g_hash_table_lookup(nodes[i].by_id, "u");
	}
	balance_apply_report(u[0], 1, 8, 1000);
	balance_name_rate(&nodes[0], u[0], 2.5, 1000);
	balance_name_brittle(&nodes[0], u[0], 3, 1000);
	ck_assert_uint_eq(balance_collect_gossip(&nodes[0], 1100, &load, 1), 1);
	balance_apply_gossip(&nodes[1], &load, 1150);
	ck_assert(u[1]->rate_limit.active);
	ck_assert_double_eq(u[1]->rate_limit.per_s, 2.5);
	ck_assert(u[1]->brittle.active);
	ck_assert_int_eq(u[1]->brittle.turned_per_s, 3);
	/* A report of before the rate does not end it, a later one does. */
	load = (balance_load_t){ u[0]->key, 1, 10, true, -1, true, -1 };
	balance_apply_gossip(&nodes[1], &load, 1500);
	ck_assert_int_eq(u[1]->rate_limit.ending_at, 0);
	ck_assert(u[1]->brittle.active);
	balance_apply_gossip(&nodes[1], &load, 4000);
	ck_assert_int_eq(u[1]->rate_limit.ending_at, 3990);
	ck_assert(!u[1]->brittle.active);
	/* Nor does a report of an older build. */
	load = (balance_load_t){ u[0]->key, 1, 10, false, 0 };
	balance_apply_gossip(&nodes[0], &load, 5000);
	ck_assert(u[0]->rate_limit.active && !u[0]->rate_limit.ending_at);
	ck_assert(u[0]->brittle.active);
	for (int i = 0; i < 2; i++)
		balance_finish(&nodes[i]);
}
END_TEST

static void put_start_(const char *id, const char *address, uint64_t start_id,
		       const char *version)
{
	balance_spec_t spec = { .id = id,
				.service = SERVICE,
				.address = address,
				.data_centre = "dc-a",
				.version = version,
				.start_id = start_id,
				.slots = 8 };

	balance_put_upstream(&b, &spec, NOW);
}

/*
 * A stream is begun at start 1 of an upstream, of version v1, over a connection
 * that has reached one process since NOW.
 */
static const struct {
	const char *label;
	mstime_t alive_at; /* of that start, after the stream was begun */
	const char *id;	   /* of an entry that comes then, or NULL */
	uint64_t start_id;
	const char *version;
	bool gone;
	balance_trust_t trust;
} begin_cases[] = {
	{ "no heartbeat since", NOW - 1, NULL, 0, NULL, false,
	  BALANCE_TRUST_UNSURE },
	{ "a heartbeat since", NOW, NULL, 0, NULL, false, BALANCE_TRUST_SURE },
	{ "another version under the id", NOW - 1, "u", 2, "v2", false,
	  BALANCE_TRUST_NONE },
	{ "another version after a heartbeat", NOW, "u", 2, "v2", false,
	  BALANCE_TRUST_NONE },
	{ "another start of that version", NOW - 1, "u", 2, "v1", false,
	  BALANCE_TRUST_NONE },
	{ "the entry is removed", NOW - 1, NULL, 0, NULL, true,
	  BALANCE_TRUST_UNSURE },
	{ "removed, and another id at the address", NOW - 1, "w", 2, "v2", true,
	  BALANCE_TRUST_SURE },
	{ "another id at the address", NOW - 1, "w", 2, "v2", false,
	  BALANCE_TRUST_SURE },
	{ "an earlier id at the address", NOW - 1, "w", 0, "v2", false,
	  BALANCE_TRUST_UNSURE },
};

START_TEST(test_version_of_an_earlier_start_is_not_trusted)
{
	const balance_upstream_t *u;
	balance_begin_t begin;
	uint32_t version;

	put_start_("u", "127.0.0.1:9000", 1, "v1");
	u = g_hash_table_lookup(b.by_id, "u");
	balance_describe_begin(u, NOW, 0, &begin);
	balance_record_alive(&b, u->key, begin_cases[_i].alive_at);
	if (begin_cases[_i].id)
		put_start_(begin_cases[_i].id, "127.0.0.1:9000",
			   begin_cases[_i].start_id, begin_cases[_i].version);
	if (begin_cases[_i].gone)
		balance_remove_upstream(&b, "u");
	ck_assert_msg(balance_check_start(&b, &begin, &version) ==
			      begin_cases[_i].trust,
		      "%s", begin_cases[_i].label);
}
END_TEST

/*
 * A stream is begun at an upstream whose entry is that of start 2, of version
 * v2. On the connection start 3 has named itself.
 */
static const struct {
	const char *label;
	mstime_t alive_at; /* of start 2, after the stream was begun */
	uint64_t start_id; /* of an entry that comes then, 0 for none */
	balance_trust_t trust;
} named_cases[] = {
	{ "no entry of it", NOW - 1, 0, BALANCE_TRUST_UNSURE },
	{ "a late heartbeat of the start before", NOW + 1, 0,
	  BALANCE_TRUST_UNSURE },
	{ "its entry", NOW - 1, 3, BALANCE_TRUST_SURE },
	{ "the entry of the start after it", NOW - 1, 4, BALANCE_TRUST_NONE },
};

START_TEST(test_version_of_a_start_that_names_itself)
{
	balance_upstream_t *u;
	balance_begin_t begin;
	balance_trust_t trust;
	uint32_t version = 0;

	put_start_("u", "127.0.0.1:9000", 2, "v2");
	u = g_hash_table_lookup(b.by_id, "u");
	balance_describe_begin(u, NOW, 3, &begin);
	balance_record_alive(&b, u->key, named_cases[_i].alive_at);
	if (named_cases[_i].start_id)
		put_start_("u", "127.0.0.1:9000", named_cases[_i].start_id,
			   "v3");
	trust = balance_check_start(&b, &begin, &version);
	ck_assert_msg(trust == named_cases[_i].trust, "%s",
		      named_cases[_i].label);
	if (trust == BALANCE_TRUST_SURE)
		ck_assert_uint_eq(version, versions_key(SERVICE, "v3"));
}
END_TEST

/* Whether a connection reaches start 1 of an upstream, alive at NOW. */
static const struct {
	const char *label;
	mstime_t since;
	uint64_t named;
	mstime_t entries_alive_at;
	bool reaches;
} reach_cases[] = {
	{ "no connection", MSTIME_NEVER, 0, 0, false },
	{ "opened before the heartbeat", NOW - 1, 0, 0, true },
	{ "opened at it", NOW, 0, 0, true },
	{ "opened since", NOW + 1, 0, 0, false },
	{ "opened since, but the entry would have lapsed", NOW + 1, 0, NOW + 1,
	  true },
	{ "opened since, named", NOW + 1, 1, 0, true },
	{ "another named", NOW + 1, 2, 0, false },
	{ "opened before, another named", NOW - 1, 2, NOW + 1, false },
};

START_TEST(test_connection_that_reaches_the_start)
{
	const balance_upstream_t *u;

	put_start_("u", "127.0.0.1:9000", 1, "v1");
	u = g_hash_table_lookup(b.by_id, "u");
	balance_record_alive(&b, u->key, NOW);
	b.entries_alive_at = reach_cases[_i].entries_alive_at;
	ck_assert_msg(balance_is_start(&b, u, reach_cases[_i].since,
				       reach_cases[_i].named) ==
			      reach_cases[_i].reaches,
		      "%s", reach_cases[_i].label);
}
END_TEST

/* What is known of the start of the only upstream of a version. */
static const struct {
	const char *label;
	bool proven;
	mstime_t nameless_until;
	bool refuted;
	balance_trust_t trust;
	bool ended;
} trust_cases[] = {
	{ "it can be asked", false, 0, false, BALANCE_TRUST_UNKNOWN },
	{ "it can be asked again", false, NOW, false, BALANCE_TRUST_UNKNOWN },
	{ "a request is known to reach it", true, 0, false,
	  BALANCE_TRUST_SURE },
	{ "it has not answered", false, NOW + 1, false, BALANCE_TRUST_UNSURE },
	{ "it may have ended when it was asked", false, NOW + 1, false,
	  BALANCE_TRUST_REFUTED, true },
	{ "it may have, and has been asked since", true, NOW + 1, false,
	  BALANCE_TRUST_SURE, true },
	{ "it may have, and can be asked again", false, NOW, false,
	  BALANCE_TRUST_UNKNOWN, true },
	{ "it does not name its start", false, MSTIME_NEVER, false,
	  BALANCE_TRUST_UNSURE },
	{ "nor does it need to", true, MSTIME_NEVER, false,
	  BALANCE_TRUST_SURE },
	{ "another start has answered", false, 0, true, BALANCE_TRUST_REFUTED },
	{ "another has, and an older connection reached it", true, 0, true,
	  BALANCE_TRUST_REFUTED },
};

START_TEST(test_stream_goes_on_where_the_start_is_proven)
{
	balance_request_t request = { .service = SERVICE };
	balance_upstream_t *u;

	put_start_("u", "127.0.0.1:9000", 1, "v1");
	u = g_hash_table_lookup(b.by_id, "u");
	ck_assert(!u->proven && !u->nameless_until && !u->refuted);
	u->proven = trust_cases[_i].proven;
	u->nameless_until = trust_cases[_i].nameless_until;
	u->refuted = trust_cases[_i].refuted;
	u->ended = trust_cases[_i].ended;
	request.version = u->version_key;
	ck_assert_msg(balance_best_trust(&b, &request, NOW) ==
			      trust_cases[_i].trust,
		      "%s", trust_cases[_i].label);
	for (int least = BALANCE_TRUST_NONE; least <= BALANCE_TRUST_SURE;
	     least++) {
		balance_pick_t pick;

		request.least_trust = (balance_trust_t)least;
		pick = balance_choose(&b, &request, NOW);
		ck_assert(!pick.upstream ==
			  (least > (int)trust_cases[_i].trust));
		if (pick.upstream)
			balance_end_request(u, BALANCE_OK, 1, NOW);
	}
	request.version++;
	ck_assert_int_eq(balance_best_trust(&b, &request, NOW),
			 BALANCE_TRUST_NONE);
}
END_TEST

/* What others tell of prompt 7, which this node has not seen. */
typedef struct told_case {
	const char *guards; /* against this failure */
	bool shared;	    /* the service uses it */
	int told;	 /* rank of the upstream among those for the prompt */
	int own_load;	 /* requests of this node there */
	int remote_load; /* reported by it */
	bool leaving;
	bool seen;   /* this node has had the prompt read elsewhere */
	bool placed; /* on that upstream */
	bool copied; /* from it */
} told_case_t;

static const told_case_t told_cases[] = {
	{ "nodes decide otherwise while no pace is reported", false, 3, 0, 3,
	  false, false, false, false },
	{ "a prompt is read again beside a warm upstream", true, 3, 0, 3, false,
	  false, true, false },
	{ "a warm upstream above the spill limit gets more", true, 3, 0, 12,
	  false, false, false, true },
	{ "the load limit of this node's own requests is exceeded", true, 3, 12,
	  3, false, false, false, true },
	{ "a leaving upstream gets a request", true, 3, 0, 3, true, false,
	  false, true },
	{ "what others tell moves a prompt that is warm here", true, 3, 0, 3,
	  false, true, false, false },
	{ "the preferred upstream is named as its own source", true, 0, 0, 3,
	  false, false, true, false },
};

/* The upstreams in the order in which the prompt is placed on them. */
static balance_upstream_t *ranked_(uint64_t prompt, int rank)
{
	balance_request_t request = { .service = SERVICE, .affinity = prompt };
	balance_upstream_t *u = NULL;
	balance_t other;

	/* Another node, so that this one has not seen the prompt. */
	balance_init(&other, "dc-a", 1);
	for (int i = 0; i < 9; i++) {
		char id[16];
		char address[24];
		balance_spec_t spec = { .id = id,
					.service = SERVICE,
					.address = address,
					.data_centre = "dc-a",
					.slots = 8 };

		g_snprintf(id, sizeof(id), "u-%d", i);
		g_snprintf(address, sizeof(address), "127.0.0.1:%d", 9000 + i);
		balance_put_upstream(&other, &spec, NOW);
	}
	for (int i = 0; i <= rank; i++) {
		balance_affinity_t *entry =
			g_hash_table_lookup(other.affinities, &prompt);

		if (entry)
			entry->preferred_id = 0;
		u = balance_choose(&other, &request, NOW).upstream;
		request.exclude[request.exclude_count++] = u->local_id;
		balance_end_request(u, BALANCE_OK, 10, NOW);
	}
	u = g_hash_table_lookup(b.by_id, u->id);
	balance_finish(&other);
	return u;
}

START_TEST(test_told_upstream_is_used)
{
	const told_case_t *t = &told_cases[_i];
	balance_upstream_t *u;
	warmth_t warmth;
	balance_pick_t p;

	warmth_init(&warmth);
	put_busy_upstreams_(9);
	b.warmth = &warmth;
	u = ranked_(7, t->told);
	if (t->shared)
		ck_assert(balance_share_warmth(&b, SERVICE));
	if (t->seen) {
		p = choose_(7, NOW);
		balance_mark_warm(&b, 7, p.upstream, NOW);
		balance_end_request(p.upstream, BALANCE_OK, 10, NOW);
	}
	warmth_apply(&warmth, &(warmth_pair_t){ 7, u->key, 100 }, NOW);
	u->remote_outstanding = t->remote_load;
	u->own_outstanding = t->own_load;
	u->leaving = t->leaving;
	p = choose_(7, NOW);
	ck_assert_ptr_nonnull(p.upstream);
	ck_assert_msg((p.upstream == u) == t->placed, "%s", t->guards);
	ck_assert_msg((p.copy_source == u) == t->copied, "%s", t->guards);
	ck_assert_int_eq(p.place_told, t->placed);
	ck_assert_int_eq(p.copy_told, t->copied);
	b.warmth = NULL;
	warmth_finish(&warmth);
}
END_TEST

/*
 * Guards against wrong information that is used more than once: the prompt is
 * not where others told. And against upstreams that left, or start again under
 * the same id, as sources.
 */
START_TEST(test_wrong_warmth_is_used_once)
{
	balance_upstream_t *other;
	balance_upstream_t *u;
	warmth_t warmth;
	balance_pick_t p;
	uint32_t keys[WARMTH_PLACES];

	warmth_init(&warmth);
	put_busy_upstreams_(9);
	b.warmth = &warmth;
	balance_share_warmth(&b, SERVICE);
	u = ranked_(7, 3);
	u->remote_outstanding = 12;
	warmth_apply(&warmth, &(warmth_pair_t){ 7, u->key, 100 }, NOW);
	p = choose_(7, NOW);
	ck_assert_ptr_eq(p.copy_source, u);
	balance_mark_warm(&b, 7, p.upstream, NOW + 10);
	balance_end_request(p.upstream, BALANCE_OK, 10, NOW + 10);
	u->remote_outstanding = 3;
	/* Requests with other prompts, so that this one is not hot. */
	for (uint64_t i = 0; i < 30; i++)
		balance_end_request(choose_(100 + i, NOW + 10).upstream,
				    BALANCE_OK, 10, NOW + 10);
	other = choose_(7, NOW + 20).upstream;
	ck_assert_ptr_eq(other, p.upstream);
	balance_end_request(other, BALANCE_OK, 10, NOW + 30);
	warmth_apply(&warmth, &(warmth_pair_t){ 8, u->key, 0 }, NOW);
	ck_assert_int_eq(warmth_find(&warmth, 8, NOW, keys), 1);
	balance_remove_upstream(&b, u->id);
	ck_assert_int_eq(warmth_find(&warmth, 8, NOW, keys), 0);
	/* One whose entry this node has not read yet is passed over. */
	warmth_apply(&warmth, &(warmth_pair_t){ 9, 12345, 0 }, NOW);
	p = choose_(9, NOW);
	ck_assert_ptr_nonnull(p.upstream);
	ck_assert(!p.place_told && !p.copy_told);
	b.warmth = NULL;
	warmth_finish(&warmth);
}
END_TEST

/* Guards against first requests at several nodes that each read a prompt. */
START_TEST(test_first_read_is_told_when_sent)
{
	uint32_t keys[WARMTH_PLACES];
	warmth_t warmth;
	balance_pick_t p;

	warmth_init(&warmth);
	put_busy_upstreams_(9);
	b.warmth = &warmth;
	choose_(6, NOW);
	ck_assert(!warmth_has_news(&warmth));
	balance_share_warmth(&b, SERVICE);
	p = choose_(7, NOW);
	ck_assert_int_eq(warmth_find(&warmth, 7, NOW, keys), 1);
	ck_assert_uint_eq(keys[0], p.upstream->key);
	ck_assert(warmth_has_news(&warmth));
	b.warmth = NULL;
	warmth_finish(&warmth);
}
END_TEST

/* Load: a version that is rolled out, or was reverted, beside the old one. */
static const struct {
	const char *avoid;
	bool others;
	const char *barred;
	const char *chosen; /* NULL for none */
} avoided[] = {
	{ "new", false, NULL, "old" }, { "new", true, NULL, "new" },
	{ "new", false, "old", NULL }, { "new", true, "old", "new" },
	{ "other", true, NULL, NULL },
};

static void put_version_(int i, const char *version)
{
	char id[16];
	balance_spec_t spec = { .id = id,
				.service = SERVICE,
				.address = "127.0.0.1:9000",
				.data_centre = "dc-a",
				.version = version,
				.slots = 8 };

	g_snprintf(id, sizeof(id), "%s-%d", version, i);
	balance_put_upstream(&b, &spec, NOW);
}

static uint32_t key_(const char *version)
{
	return version ? versions_key(SERVICE, version) : 0;
}

START_TEST(test_version_is_avoided)
{
	balance_request_t request = {
		.service = SERVICE,
		.affinity = 7,
		.avoid_version = key_(avoided[_i].avoid),
		.avoid_others = avoided[_i].others,
		.barred_version = key_(avoided[_i].barred),
	};
	balance_pick_t pick;

	put_version_(1, "old");
	put_version_(2, "new");
	for (int i = 0; i < 10; i++) {
		pick = balance_choose(&b, &request, NOW);
		ck_assert_int_eq(pick.upstream != NULL,
				 avoided[_i].chosen != NULL);
		if (pick.upstream)
			ck_assert_str_eq(pick.upstream->version,
					 avoided[_i].chosen);
	}
}
END_TEST

/*
 * Load: prompts, one of them hot, while half of the upstreams get nothing. The
 * limit counts those, so that the others have to be kept even.
 */
START_TEST(test_others_stay_within_the_limit)
{
	balance_request_t request = { .service = SERVICE,
				      .avoid_version = key_("new") };
	int first = 0;

	for (int i = 0; i < 6; i++) {
		put_version_(i, "old");
		put_version_(i, "new");
	}
	for (int i = 0; i < 72; i++) {
		balance_pick_t pick;

		request.affinity = i % 3 ? (uint64_t)i : 1000;
		pick = balance_choose(&b, &request, NOW);
		ck_assert_ptr_nonnull(pick.upstream);
		first += pick.reason == BALANCE_FIRST;
		check_max_outstanding_((int)(2.0 * (i + 1) / 12) + 3);
	}
	/* And caches are still used. */
	ck_assert_int_gt(first, 72 / 4);
}
END_TEST

Suite *balance_suite(void)
{
	Suite *s = suite_create("balance");
	TCase *c = tcase_create("balance");

	tcase_add_checked_fixture(c, setup_, finish_);
	tcase_add_test(c, test_brittle_upstreams_get_parts);
	tcase_add_test(c, test_missing_nodes_keep_their_parts);
	tcase_add_loop_test(c, test_statements_outlive_an_entry, 0,
			    G_N_ELEMENTS(lapse_cases));
	tcase_add_test(c, test_ended_rate_is_not_kept);
	tcase_add_test(c, test_rates_are_gossiped);
	tcase_add_test(c, test_no_upstream);
	tcase_add_test(c, test_prompt_stays_warm);
	tcase_add_test(c, test_prompt_stays_when_upstreams_are_added);
	tcase_add_test(c, test_hot_prompt_spills_within_limit);
	tcase_add_test(c, test_limit_counts_drained_upstreams);
	tcase_add_test(c, test_old_report_misses_later_requests);
	tcase_add_test(c, test_old_report_counts_ended_requests);
	tcase_add_loop_test(c, test_hot_prompt_is_shared, 0,
			    G_N_ELEMENTS(hot_cases));
	tcase_add_test(c, test_hot_prompt_is_copied);
	tcase_add_test(c, test_retried_prompt_is_not_hot);
	tcase_add_test(c, test_same_order_on_every_node);
	tcase_add_loop_test(c, test_cold_upstream_gets_limited_rate, 0,
			    G_N_ELEMENTS(cold_cases));
	tcase_add_test(c, test_drained_and_leaving);
	tcase_add_test(c, test_unhealthy_upstream_is_avoided_and_probed);
	tcase_add_test(c, test_probe_respects_cold_rate);
	tcase_add_test(c, test_full_upstream_gets_no_probe);
	tcase_add_test(c, test_unknown_load_refuses_nothing);
	tcase_add_test(c, test_common_failures_exclude_no_upstream);
	tcase_add_loop_test(c, test_baselines, 0, G_N_ELEMENTS(baselines));
	tcase_add_test(c, test_full);
	tcase_add_loop_test(c, test_retries_are_spaced, 0,
			    G_N_ELEMENTS(retry_cases));
	tcase_add_loop_test(c, test_version_is_avoided, 0,
			    G_N_ELEMENTS(avoided));
	tcase_add_test(c, test_others_stay_within_the_limit);
	tcase_add_test(c, test_removed_while_in_use);
	tcase_add_test(c, test_new_start_is_another_upstream);
	tcase_add_loop_test(c, test_version_of_an_earlier_start_is_not_trusted,
			    0, G_N_ELEMENTS(begin_cases));
	tcase_add_loop_test(c, test_version_of_a_start_that_names_itself, 0,
			    G_N_ELEMENTS(named_cases));
	tcase_add_loop_test(c, test_connection_that_reaches_the_start, 0,
			    G_N_ELEMENTS(reach_cases));
	tcase_add_loop_test(c, test_stream_goes_on_where_the_start_is_proven, 0,
			    G_N_ELEMENTS(trust_cases));
	tcase_add_loop_test(c, test_told_upstream_is_used, 0,
			    G_N_ELEMENTS(told_cases));
	tcase_add_test(c, test_wrong_warmth_is_used_once);
	tcase_add_test(c, test_first_read_is_told_when_sent);
	suite_add_tcase(s, c);
	return s;
}
