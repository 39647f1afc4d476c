#include "suites.h"

#include <kcf/admission.h>
#include <kcf/balance.h>
#include <kcf/peak_model.h>
#include <kcf/str.h>
#include <stdio.h>

#define SERVICE "plain"
#define NOW 1000000
#define HOLD_MS 60
#define LEAST_MS 25
#define SLOTS 6
#define UPSTREAMS 3
#define NODES 69
#define SEEDS 40
/* Draws that cover the range of limits. */
#define DRAWS 2000

static admission_view_t view_(int load, double service_load)
{
	return (admission_view_t){ .load = load,
				   .slots = SLOTS,
				   .service_load = service_load,
				   .service_slots = SLOTS * UPSTREAMS,
				   .hold_ms = HOLD_MS,
				   .least_ms = LEAST_MS };
}

static uint64_t hash_(int i)
{
	return str_hash64((str_t){ (const char *)&i, sizeof(i) }, 1);
}

static const struct {
	const char *label;
	admission_claim_t claim;
	int load;
	/* Fractions of the requests that are admitted. */
	double least;
	double most;
	admission_verdict_t verdict; /* of the others */
} decisions[] = {
	{ "idle", { .objective_ms = 300, .deadline = NOW + 4000 }, 0, 1, 1 },
	{ "the last free slot", { .objective_ms = 300 }, SLOTS - 1, 1, 1 },
	{ "the last free slot, above its share",
	  { .objective_ms = 300, .surplus = true },
	  SLOTS - 1,
	  1,
	  1 },
	{ "the last free slot, already late",
	  { .objective_ms = 300, .late = true },
	  SLOTS - 1,
	  1,
	  1 },
	{ "a wait that all bear", { .objective_ms = 300 }, 2 * SLOTS, 1, 1 },
	{ "a wait that some bear",
	  { .objective_ms = 300 },
	  SLOTS * 3 - 3,
	  0.2,
	  0.8,
	  ADMISSION_BUSY },
	{ "three per slot, no objective",
	  { 0 },
	  SLOTS * 3,
	  0,
	  0,
	  ADMISSION_BUSY },
	{ "a shorter objective",
	  { .objective_ms = 125 },
	  2 * SLOTS,
	  0,
	  0,
	  ADMISSION_BUSY },
	{ "an objective that no request can meet is not a reason",
	  { .objective_ms = 20 },
	  SLOTS + 2,
	  1,
	  1 },
	{ "upstreams that order by urgency wait less for it",
	  { .objective_ms = 20, .ordered = true },
	  2 * SLOTS,
	  1,
	  1 },
	{ "one more urgent class has a reserve",
	  { .objective_ms = 300, .outranked = 1 },
	  SLOTS * 3 - 5,
	  0.2,
	  0.8,
	  ADMISSION_RESERVED },
	{ "a customer above its share",
	  { .objective_ms = 300, .surplus = true },
	  SLOTS + 4,
	  0,
	  0,
	  ADMISSION_SURPLUS },
	{ "late ones do not make others wait",
	  { .objective_ms = 300, .late = true },
	  SLOTS,
	  0,
	  0,
	  ADMISSION_BUSY },
	{ "the rest of a stream is not surplus, late or outranked",
	  { .objective_ms = 300,
	    .begun = true,
	    .late = true,
	    .surplus = true,
	    .outranked = 2,
	    .above_even = true },
	  SLOTS * 3 - 2,
	  1,
	  1 },
	{ "the rest of a stream, no room",
	  { .objective_ms = 300, .begun = true },
	  SLOTS * 3,
	  0,
	  0,
	  ADMISSION_BUSY },
	{ "a deadline that short requests can meet",
	  { .objective_ms = 300, .deadline = NOW + 30 },
	  0,
	  1,
	  1 },
	{ "a customer above an even share leaves a reserve",
	  { .objective_ms = 300, .above_even = true },
	  SLOTS * 2 + 2,
	  0,
	  0.8,
	  ADMISSION_RESERVED },
	{ "a deadline before the end of the wait",
	  { .objective_ms = 300, .deadline = NOW + 80 },
	  SLOTS + 6,
	  0,
	  0,
	  ADMISSION_LATE },
	{ "a deadline before any end",
	  { .objective_ms = 300, .deadline = NOW + 20 },
	  0,
	  0,
	  0,
	  ADMISSION_LATE },
};

/* Guards against a request that is rejected, or let in, for a wrong reason. */
START_TEST(test_decisions)
{
	admission_view_t view = view_(decisions[_i].load, SLOTS * UPSTREAMS);
	int admitted = 0;

	for (int i = 0; i < DRAWS; i++) {
		admission_claim_t claim = decisions[_i].claim;
		admission_verdict_t verdict;

		claim.hash = hash_(i);
		verdict = admission_decide(&claim, &view, NOW);
		if (verdict == ADMISSION_ADMIT)
			admitted++;
		else if (decisions[_i].verdict != ADMISSION_RESERVED ||
			 verdict != ADMISSION_BUSY)
			ck_assert_msg(verdict == decisions[_i].verdict,
				      "%s: %d", decisions[_i].label, verdict);
	}
	ck_assert_msg(admitted >= decisions[_i].least * DRAWS &&
			      admitted <= decisions[_i].most * DRAWS,
		      "%s: %d of %d", decisions[_i].label, admitted, DRAWS);
}
END_TEST

/*
 * Guards against rejections while the service has room: less than half of the
 * slots in use and a free one at an upstream, whatever the request.
 */
START_TEST(test_room_is_never_refused)
{
	for (int i = 0; i < DRAWS; i++) {
		admission_claim_t claim = {
			.hash = hash_(i),
			.objective_ms = i % 3 * 150,
			.deadline = i % 2 ? NOW + 4000 : 0,
			.outranked = i % 5,
			.surplus = i & 4,
			.late = i & 8,
			.ordered = i & 16,
		};
		admission_view_t view =
			view_(i % SLOTS, SLOTS * UPSTREAMS / 2.0 - 1);

		ck_assert_int_eq(admission_decide(&claim, &view, NOW),
				 ADMISSION_ADMIT);
	}
}
END_TEST

/* Guards against a more urgent request that is rejected where another is not.
 */
START_TEST(test_urgent_first)
{
	for (int load = 0; load < 4 * SLOTS; load++) {
		admission_view_t view = view_(load, load * UPSTREAMS);

		for (int i = 0; i < DRAWS / 10; i++) {
			admission_claim_t urgent = { .hash = hash_(i),
						     .objective_ms = 300 };
			admission_claim_t other = urgent;

			other.outranked = 1;
			if (admission_decide(&other, &view, NOW) ==
			    ADMISSION_ADMIT)
				ck_assert_int_eq(
					admission_decide(&urgent, &view, NOW),
					ADMISSION_ADMIT);
		}
	}
}
END_TEST

static admission_claim_t arrive_(admission_t *a, const char *customer,
				 int urgency, mstime_t left, mstime_t now)
{
	static int serial;
	admission_arrival_t arrival = { .service = SERVICE,
					.customer = customer,
					.kind = urgency ? "look" : "book",
					.urgency = urgency,
					.size = 1,
					.capacity_per_s = 40,
					.objective_ms = 300,
					.deadline = now + left,
					.hash = hash_(serial++) };
	admission_claim_t claim;

	admission_record_arrival(a, &arrival, now, &claim);
	return claim;
}

/* Guards against a reserve for urgent requests that do not come. */
START_TEST(test_outranked)
{
	admission_t a;

	admission_init(&a);
	ck_assert_int_eq(arrive_(&a, "a", 3, 4000, NOW).outranked, 0);
	ck_assert_int_eq(arrive_(&a, "a", 0, 4000, NOW + 1).outranked, 0);
	ck_assert_int_eq(arrive_(&a, "b", 3, 4000, NOW + 2).outranked, 1);
	ck_assert_int_eq(arrive_(&a, "b", 2, 4000, NOW + 3).outranked, 1);
	ck_assert_int_eq(arrive_(&a, "b", 99, 4000, NOW + 4).outranked, 3);
	ck_assert_int_eq(arrive_(&a, "b", 3, 4000, NOW + 60000).outranked, 0);
	/* Names that no longer come make room for others. */
	for (int i = 0; i < 100; i++) {
		char name[16];
		admission_arrival_t other = { .service = SERVICE,
					      .customer = "a",
					      .kind = name,
					      .urgency = 1,
					      .size = 1,
					      .hash = 1 };
		admission_claim_t claim;

		snprintf(name, sizeof(name), "r-%d", i);
		admission_record_arrival(&a, &other, NOW + 70000, &claim);
		ck_assert_int_eq(claim.outranked, 0);
	}
	ck_assert_int_eq(arrive_(&a, "b", 3, 4000, NOW + 70001).outranked, 1);
	admission_finish(&a);
}
END_TEST

/*
 * One of 24 customers sends eight times what each of the others does, through a
 * node that sees one of 69 requests. Guards against a rate that is not seen in
 * so few requests, and against customers that are taken for it.
 */
START_TEST(test_surplus)
{
	enum { CUSTOMERS = 24, RUN_MS = 120000 };
	double per_ms = 2 * 110.0 / NODES / CUSTOMERS / 1000;
	GRand *rand = g_rand_new_with_seed((guint32)_i);
	int requests[2] = { 0 };
	int surplus[2] = { 0 };
	admission_t a;

	admission_init(&a);
	for (mstime_t t = 0; t < RUN_MS; t++) {
		for (int c = 0; c < CUSTOMERS; c++) {
			char name[16];

			if (g_rand_double(rand) >= per_ms * (c ? 1 : 8))
				continue;
			snprintf(name, sizeof(name), "c-%d", c);
			requests[c > 0]++;
			surplus[c > 0] +=
				arrive_(&a, name, 0, 4000, NOW + t).surplus;
		}
	}
	/* More than a half is above twice an even share. */
	ck_assert_msg(surplus[0] * 10 >= requests[0] * 4, "%d of %d",
		      surplus[0], requests[0]);
	ck_assert_msg(surplus[1] * 100 <= requests[1] * 3, "%d of %d",
		      surplus[1], requests[1]);
	admission_finish(&a);
	g_rand_free(rand);
}
END_TEST

/*
 * Two customers of a service that can run 40 requests a second. Guards against
 * one that takes the place of the other, since it has most of all requests.
 */
START_TEST(test_surplus_of_two)
{
	admission_t a;
	int surplus = 0;
	int requests = 0;

	admission_init(&a);
	for (mstime_t t = 0; t < 20000; t += 4) {
		if (t % 200 == 0)
			ck_assert(!arrive_(&a, "little", 0, 4000, NOW + t)
					   .surplus);
		if (t < 5000)
			continue;
		/* Its rate is known after a second. */
		if (t < 6000) {
			arrive_(&a, "large", 0, 4000, NOW + t);
			continue;
		}
		requests++;
		surplus += arrive_(&a, "large", 0, 4000, NOW + t).surplus;
	}
	/* 250 a second, of which 35 fit. */
	ck_assert_msg(surplus * 10 >= requests * 7, "%d of %d", surplus,
		      requests);
	admission_finish(&a);
}
END_TEST

/* Guards against a clump that counts as surplus, or an only customer. */
START_TEST(test_clump_is_no_surplus)
{
	admission_t a;

	admission_init(&a);
	for (int i = 0; i < 50; i++)
		ck_assert(!arrive_(&a, "a", 0, 4000, NOW + i).surplus);
	for (int i = 0; i < 3; i++)
		ck_assert(!arrive_(&a, "b", 0, 4000, NOW + 60000).surplus);
	admission_finish(&a);
}
END_TEST

/*
 * Requests that came back have less time left than first ones. Guards against
 * callers with different deadlines that are taken for them.
 */
START_TEST(test_late)
{
	admission_arrival_t stream = { .service = SERVICE,
				       .customer = "a",
				       .kind = "stream",
				       .size = 1,
				       .ordered = true,
				       .objective_ms = 300,
				       .hash = 1 };
	admission_claim_t claim;
	admission_t a;

	admission_init(&a);
	ck_assert(!arrive_(&a, "a", 0, 4000, NOW).late);
	ck_assert(arrive_(&a, "a", 0, 2700, NOW + 1).late);
	ck_assert(!arrive_(&a, "a", 0, 3950, NOW + 2).late);
	/* Its objective has not passed yet. */
	ck_assert(!arrive_(&a, "a", 0, 3750, NOW + 3).late);
	for (int i = 0; i < 300; i++)
		arrive_(&a, "a", 0, 1000 + i * 37 % 3000, NOW + 4 + i);
	ck_assert(!arrive_(&a, "a", 0, 2000, NOW + 400).late);
	/* Streams that are taken up have less time left. */
	for (int i = 0; i < 20; i++) {
		stream.deadline = NOW + 500 + (i < 19 ? 4000 : 1000);
		admission_record_arrival(&a, &stream, NOW + 500, &claim);
		ck_assert(!claim.late);
	}
	admission_finish(&a);
}
END_TEST

static const struct {
	double service_load;
	mstime_t left;
	bool hopeless; /* no slot before the deadline */
} retries[] = {
	{ 18, 4000 }, { 54, 4000 },  { 54, 1200 },  { 54, 300 },
	{ 54, 200 },  { 300, 4000 }, { 300, 1100 }, { 300, 900, true },
};

/*
 * Guards against a Retry-After that callers do not accept, that differs between
 * nodes, or that lets one with more time left pass another.
 */
START_TEST(test_retry_times)
{
	admission_view_t view = view_(SLOTS, retries[_i].service_load);
	double sum = 0;

	for (int i = 0; i < DRAWS; i++) {
		admission_claim_t claim = { .hash = hash_(i),
					    .deadline =
						    NOW + retries[_i].left };
		admission_claim_t longer = claim;
		mstime_t ms = admission_retry_ms(&claim, &view, NOW);

		longer.deadline += 500;
		ck_assert_int_eq(ms, admission_retry_ms(&claim, &view, NOW));
		ck_assert_int_gt(ms, 0);
		sum += (double)ms;
		if (retries[_i].hopeless) {
			ck_assert_int_gt(ms, retries[_i].left);
			continue;
		}
		ck_assert_int_le(ms, retries[_i].left / 3);
		ck_assert_int_le(ms, admission_retry_ms(&longer, &view, NOW));
	}
	/* They come one after the other, not all at the end. */
	if (retries[_i].left == 4000 && retries[_i].service_load < 100)
		ck_assert_double_lt(sum / DRAWS, 0.8 * 4000 / 3);
}
END_TEST

static const struct {
	const char *label;
	bool pace;
	int load;
	admission_claim_t claim;
	balance_reason_t reason;
} picks[] = {
	{ "no pace, surplus",
	  false,
	  16,
	  { .surplus = true },
	  BALANCE_LEAST_LOADED },
	{ "no pace, late",
	  false,
	  4,
	  { .deadline = NOW + 1 },
	  BALANCE_LEAST_LOADED },
	{ "no pace, full", false, 24, { 0 }, BALANCE_FULL },
	{ "pace, room", true, 7, { .surplus = true }, BALANCE_LEAST_LOADED },
	{ "pace, surplus", true, 16, { .surplus = true }, BALANCE_OVER_SHARE },
	{ "pace, late", true, 4, { .deadline = NOW + 1 }, BALANCE_LATE },
	{ "pace, outranked", true, 21, { .outranked = 2 }, BALANCE_RESERVED },
	{ "pace, full", true, 24, { 0 }, BALANCE_FULL },
};

/*
 * Guards against decisions that change at upstreams that report no pace, and
 * against reasons and return times that get lost on the way.
 */
START_TEST(test_balance_asks)
{
	balance_spec_t spec = { .id = "u-0",
				.service = SERVICE,
				.address = "127.0.0.1:1",
				.data_centre = "dc-a",
				.slots = 8 };
	balance_request_t request = { .service = SERVICE,
				      .claim = picks[_i].claim };
	balance_pick_t pick;
	balance_t b;

	balance_init(&b, "dc-a", 1);
	balance_put_upstream(&b, &spec, NOW - 1000);
	pick = balance_choose(&b, &(balance_request_t){ .service = SERVICE },
			      NOW - 100);
	balance_record_hold(pick.upstream, HOLD_MS);
	balance_apply_report(pick.upstream, picks[_i].load + 1, 8, NOW);
	balance_end_request(pick.upstream, BALANCE_OK, HOLD_MS, NOW);
	b.pace_reported = picks[_i].pace;
	pick = balance_choose(&b, &request, NOW);
	if (picks[_i].reason == BALANCE_LEAST_LOADED) {
		ck_assert_msg(pick.upstream, "%s: %s", picks[_i].label,
			      balance_reason_string[pick.reason]);
		balance_end_request(pick.upstream, BALANCE_OK, 1, NOW);
	} else {
		ck_assert_msg(!pick.upstream, "%s", picks[_i].label);
		ck_assert_msg(pick.reason == picks[_i].reason, "%s: %s",
			      picks[_i].label,
			      balance_reason_string[pick.reason]);
		ck_assert_int_gt(pick.retry_ms, 0);
	}
	balance_finish(&b);
}
END_TEST

static const struct {
	const char *label;
	double factor;
	double large_factor;
	int urgencies[PEAK_KINDS];
} peaks[] = {
	{ "half of the traffic", 0.5, 1, { 1, 2 } },
	{ "one and a half", 1.5, 1, { 1, 2 } },
	{ "twice", 2, 1, { 1, 2 } },
	{ "twice, look-ups first", 2, 1, { 2, 1 } },
	{ "twice, alike", 2, 1, { 1, 1 } },
	{ "one and a half, one customer eight times", 1.5, 8, { 1, 1 } },
	{ "twice, one customer eight times", 2, 8, { 1, 2 } },
};

static peak_result_t play_(int i, bool admission, double large_factor)
{
	peak_result_t sum = { 0 };
	peak_conf_t conf;

	peak_conf_init(&conf);
	conf.admission = admission;
	conf.factor = peaks[i].factor;
	conf.large_factor = large_factor;
	for (int k = 0; k < PEAK_KINDS; k++)
		conf.kinds[k].urgency = peaks[i].urgencies[k];
	for (int seed = 1; seed <= SEEDS; seed++) {
		peak_result_t r;

		conf.seed = (guint32)seed;
		peak_run(&conf, &r);
		for (int k = 0; k < PEAK_KINDS; k++)
			peak_tally_add(&sum.kinds[k], &r.kinds[k]);
		peak_tally_add(&sum.large, &r.large);
		peak_tally_add(&sum.others, &r.others);
	}
	return sum;
}

static double served_(const peak_tally_t *t)
{
	return (double)(t->requests - t->rejected - t->lost) / t->requests;
}

static double worth_(const peak_tally_t *t)
{
	return t->worth / t->requests;
}

/*
 * Forty seeds of a peak. Guards against kinds that are served less often than
 * less urgent ones or earn much less, customers that are crowded out, and an
 * admission that costs more than it brings.
 */
START_TEST(test_peak)
{
	peak_result_t before = play_(_i, false, peaks[_i].large_factor);
	peak_result_t r = play_(_i, true, peaks[_i].large_factor);
	const peak_tally_t *first = &r.kinds[0];
	const peak_tally_t *second = &r.kinds[1];
	double worth = (r.large.worth + r.others.worth) /
		       (r.large.requests + r.others.requests);
	double worth_before = (before.large.worth + before.others.worth) /
			      (before.large.requests + before.others.requests);

	if (peaks[_i].urgencies[1] < peaks[_i].urgencies[0]) {
		first = &r.kinds[1];
		second = &r.kinds[0];
	}
	printf("%s: worth %.3f (%.3f before)\n", peaks[_i].label, worth,
	       worth_before);
	/* The rate of rejections is below that of long requests. */
	if (peaks[_i].factor < 1)
		ck_assert_int_le(first->rejected + second->rejected,
				 first->requests / 1000);
	if (peaks[_i].urgencies[0] != peaks[_i].urgencies[1])
		ck_assert_double_ge(served_(first), served_(second));
	ck_assert_double_ge(worth_(second), 0.9 * worth_(first));
	/* What exceeds a customer's share is rejected for others: those gain.
	 */
	ck_assert_double_ge(worth, 0.98 * worth_before);
	if (peaks[_i].large_factor > 1) {
		peak_result_t calm = play_(_i, true, 1);

		ck_assert_double_ge(served_(&r.others),
				    0.9 * served_(&calm.others));
		ck_assert_double_gt(served_(&r.others),
				    served_(&before.others));
		ck_assert_double_gt(worth_(&r.others), worth_(&before.others));
		ck_assert_double_gt(served_(&r.others), served_(&r.large));
	}
}
END_TEST

Suite *admission_suite(void)
{
	Suite *s = suite_create("admission");
	TCase *c = tcase_create("admission");

	tcase_set_timeout(c, 100);
	tcase_add_loop_test(c, test_decisions, 0, G_N_ELEMENTS(decisions));
	tcase_add_test(c, test_room_is_never_refused);
	tcase_add_test(c, test_urgent_first);
	tcase_add_test(c, test_outranked);
	tcase_add_loop_test(c, test_surplus, 1, 8);
	tcase_add_test(c, test_surplus_of_two);
	tcase_add_test(c, test_clump_is_no_surplus);
	tcase_add_test(c, test_late);
	tcase_add_loop_test(c, test_retry_times, 0, G_N_ELEMENTS(retries));
	tcase_add_loop_test(c, test_balance_asks, 0, G_N_ELEMENTS(picks));
	tcase_add_loop_test(c, test_peak, 0, G_N_ELEMENTS(peaks));
	suite_add_tcase(s, c);
	return s;
}
