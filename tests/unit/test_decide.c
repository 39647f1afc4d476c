#include "suites.h"

#include <kcf/fairq.h>
#include <kcf/limit.h>
#include <kcf/lru.h>
#include <kcf/power.h>
#include <kcf/rank.h>
#include <math.h>
#include <string.h>

START_TEST(test_rank_share)
{
	int first = 0;

	for (uint64_t chat = 0; chat < 10000; chat++)
		first += rank_score(chat, 1, 3) > rank_score(chat, 2, 1);
	/* Three quarters, within five standard deviations. */
	ck_assert_int_gt(first, 7500 - 220);
	ck_assert_int_lt(first, 7500 + 220);
	ck_assert(rank_score(1, 1, 0) == 0);
}
END_TEST

/* A lower weight moves only chats of the entry whose weight is lowered. */
START_TEST(test_rank_moves)
{
	for (uint64_t chat = 0; chat < 2000; chat++) {
		double a = rank_score(chat, 1, 1);
		double b = rank_score(chat, 2, 1);
		double lower = rank_score(chat, 1, 0.5);

		ck_assert(lower < a);
		if (b > a)
			ck_assert(b > lower);
	}
}
END_TEST

Suite *rank_suite(void)
{
	Suite *s = suite_create("rank");
	TCase *t = tcase_create("rank");

	tcase_add_test(t, test_rank_share);
	tcase_add_test(t, test_rank_moves);
	suite_add_tcase(s, t);
	return s;
}

START_TEST(test_lru)
{
	lru_t l;

	lru_init(&l, 10, 1000);
	lru_put(&l, 0, 1, 11, 4);
	lru_put(&l, 1, 2, 22, 4);
	ck_assert_uint_eq(lru_get(&l, 2, 1)->value, 11);
	lru_put(&l, 3, 1, 12, 4);
	lru_put(&l, 4, 3, 33, 4);
	ck_assert_ptr_null(lru_get(&l, 5, 2));
	ck_assert_uint_eq(lru_get(&l, 5, 1)->value, 12);
	ck_assert_ptr_null(lru_get(&l, 1004, 1));
	lru_expire(&l, 1004);
	ck_assert_int_eq(l.weight, 4);
	lru_set_weight_max(&l, 1);
	ck_assert_int_eq(l.weight, 0);
	lru_put(&l, 9, 4, 0, 5);
	ck_assert_ptr_null(lru_get(&l, 9, 4));
	lru_finish(&l);
}
END_TEST

Suite *lru_suite(void)
{
	Suite *s = suite_create("lru");
	TCase *t = tcase_create("lru");

	tcase_add_test(t, test_lru);
	suite_add_tcase(s, t);
	return s;
}

static const struct {
	mstime_t at;
	int expected;
} ramp[] = { { 0, 2 },	 { 250, 4 },   { 500, 6 },
	     { 999, 9 }, { 1000, 10 }, { 5000, 10 } };

START_TEST(test_limit_ramp)
{
	limit_t l;

	limit_init(&l, 10, 2, 0, 1000);
	ck_assert_int_eq(limit_now(&l, ramp[_i].at), ramp[_i].expected);
}
END_TEST

static const struct {
	limit_event_t event;
	int times;
	int expected; /* after events a second apart, from 10 */
} events[] = {
	{ LIMIT_REFUSED, 1, 7 },  { LIMIT_FAILED, 1, 5 },
	{ LIMIT_FAILED, 9, 1 },	  { LIMIT_SLOW, 1, 9 },
	{ LIMIT_SUCCESS, 5, 10 },
};

START_TEST(test_limit_events)
{
	limit_t l;

	limit_init(&l, 10, 2, 0, 0);
	for (int i = 0; i < events[_i].times; i++)
		limit_note(&l, i * 1000, events[_i].event);
	ck_assert_int_eq(limit_now(&l, 100000), events[_i].expected);
	for (int i = 0; i < 200; i++)
		limit_note(&l, 100000, LIMIT_SUCCESS);
	ck_assert_int_eq(limit_now(&l, 100000), 10);
	limit_restart(&l, 100000, 1000);
	ck_assert_int_eq(limit_now(&l, 100000), 2);
}
END_TEST

/* A burst of failures within one interval decreases the limit once. */
START_TEST(test_limit_failure_burst)
{
	limit_t l;

	limit_init(&l, 10, 2, 0, 0);
	for (int i = 0; i < 50; i++)
		limit_note(&l, i, LIMIT_FAILED);
	ck_assert_int_eq(limit_now(&l, 50), 5);
}
END_TEST

Suite *limit_suite(void)
{
	Suite *s = suite_create("limit");
	TCase *t = tcase_create("limit");

	tcase_add_loop_test(t, test_limit_ramp, 0, G_N_ELEMENTS(ramp));
	tcase_add_loop_test(t, test_limit_events, 0, G_N_ELEMENTS(events));
	tcase_add_test(t, test_limit_failure_burst);
	suite_add_tcase(s, t);
	return s;
}

/* Customers with an upper-case name have weight 3, the others weight 1. */
static const struct {
	const char *pushed; /* pairs of customer and urgency */
	const char *popped; /* index of each request, as dequeued */
} queues[] = {
	{ "a3a3a3b3", "0312" },	      /* a burst delays only its customer */
	{ "a3a1a2", "120" },	      /* urgency within a customer */
	{ "a7b3b3", "120" },	      /* background last */
	{ "a7b7a7", "012" },	      /* background is fair as well */
	{ "A3A3A3A3b3b3", "401253" }, /* weight 3 against 1 */
};

START_TEST(test_fairq)
{
	const char *p = queues[_i].pushed;
	size_t n = strlen(p) / 2;
	fairq_t q;
	uint64_t id;
	void *user;
	GString *got = g_string_new(NULL);

	fairq_init(&q);
	for (size_t i = 0; i < n; i++) {
		char name[2] = { p[2 * i], '\0' };

		fairq_push(&q, i, name, g_ascii_isupper(p[2 * i]) ? 3 : 1,
			   p[2 * i + 1] - '0', 0, MSTIME_NEVER, NULL);
	}
	while (fairq_peek(&q)) {
		uint64_t next = fairq_peek(&q)->id;

		ck_assert(fairq_pop(&q, &id, &user));
		ck_assert_uint_eq(id, next);
		g_string_append_c(got, (char)('0' + id));
	}
	ck_assert_uint_eq(got->len, n);
	if (_i == 4) {
		/* Three of the first four are of the customer of weight 3. */
		int heavy = 0;

		for (int i = 0; i < 4; i++)
			heavy += got->str[i] < '4';
		ck_assert_int_eq(heavy, 3);
	} else {
		ck_assert_str_eq(got->str, queues[_i].popped);
	}
	g_string_free(got, TRUE);
	fairq_finish(&q);
}
END_TEST

START_TEST(test_fairq_ahead)
{
	fairq_t q;

	fairq_init(&q);
	for (uint64_t i = 0; i < 100; i++)
		fairq_push(&q, i, "surge", 1, 3, 0, MSTIME_NEVER, NULL);
	ck_assert_uint_eq(fairq_ahead(&q, "surge"), 100);
	ck_assert_uint_eq(fairq_ahead(&q, "calm"), 1);
	for (uint64_t i = 0; i < 100; i++)
		fairq_remove(&q, i);
	ck_assert_uint_eq(fairq_length(&q), 0);
	fairq_finish(&q);
}
END_TEST

Suite *fairq_suite(void)
{
	Suite *s = suite_create("fairq");
	TCase *t = tcase_create("fairq");

	tcase_add_loop_test(t, test_fairq, 0, G_N_ELEMENTS(queues));
	tcase_add_test(t, test_fairq_ahead);
	suite_add_tcase(s, t);
	return s;
}

static view_t *power_view_(data_centre_t *dc, upstream_t *ups, int n)
{
	view_t *v = g_new0(view_t, 1);

	v->power_cap_w = 1000;
	v->upstreams = g_ptr_array_new();
	for (int i = 0; i < n; i++) {
		ups[i] = (upstream_t){ .slots = 4 * (i + 1),
				       .idle_w = 20,
				       .slot_w = 50,
				       .data_centre = dc };
		g_ptr_array_add(v->upstreams, &ups[i]);
	}
	return v;
}

START_TEST(test_power_shares)
{
	data_centre_t dc = { .power_cap_w = 0 };
	upstream_t ups[4];
	view_t *v = power_view_(&dc, ups, 4);
	double sum = 0;
	double watts = 0;

	for (int i = 0; i < 4; i++) {
		double share = power_share(v, &ups[i]);

		sum += share;
		watts += power_watts(&ups[i], power_slots(&ups[i], share));
	}
	ck_assert(fabs(sum - 1000) < 1e-6);
	ck_assert(watts <= 1000);
	dc.power_cap_w = 500;
	ck_assert(power_share(v, &ups[0]) < 100);
	g_ptr_array_unref(v->upstreams);
	g_free(v);
}
END_TEST

START_TEST(test_power_loans)
{
	power_loans_t donor;
	power_loans_t borrower;

	power_loans_init(&donor);
	power_loans_init(&borrower);
	power_lend(&donor, 0, 1, 2, 100);
	ck_assert(power_net_borrowed(&donor, 0, 1) == -100);
	power_borrow(&borrower, 500, 1, 2, 100, 500 + POWER_LOAN_MS * 9);
	ck_assert(power_net_borrowed(&borrower, 500, 2) == 100);
	/* The borrower never counts more than the donor has given up. */
	for (mstime_t t = 500; t < 20000; t += 100)
		ck_assert(power_net_borrowed(&borrower, t, 2) +
				  power_net_borrowed(&donor, t, 1) <=
			  0);
	power_expire(&donor, 20000);
	power_expire(&borrower, 20000);
	ck_assert_uint_eq(donor.lent->len + borrower.borrowed->len, 0);
	power_borrow(&borrower, 500, 1, 2, 100, 400);
	ck_assert_uint_eq(borrower.borrowed->len, 0);
	power_loans_finish(&donor);
	power_loans_finish(&borrower);
}
END_TEST

Suite *power_suite(void)
{
	Suite *s = suite_create("power");
	TCase *t = tcase_create("power");

	tcase_add_test(t, test_power_shares);
	tcase_add_test(t, test_power_loans);
	suite_add_tcase(s, t);
	return s;
}
