#include "suites.h"

#include <kcf/balance.h>
#include <kcf/shares.h>
#include <string.h>

#define SERVICE "engines"
#define ENGINES 3
#define SLOTS 6
#define WORK_MS 15
#define DURATION_MS 5000
#define NOW 1000000
#define LATER (NOW + 1900)
#define OTHER_CUSTOMERS 9
#define SEEDS 7

static const struct {
	const char *label;
	int outstanding[4]; /* of customers a to d */
	bool over[4];
} cases[] = {
	{ "nothing", { 0 }, { 0 } },
	{ "alone", { 50 }, { 0 } },
	{ "even", { 5, 5, 5, 5 }, { 0 } },
	{ "one has one and a half times an even share", { 6, 3, 3, 4 }, { 0 } },
	{ "one has more", { 20, 2, 3, 3 }, { true } },
	{ "another one", { 2, 3, 20, 3 }, { false, false, true } },
};

START_TEST(test_over_share)
{
	const char *const names[] = { "a", "b", "c", "d" };
	shares_t s;

	shares_init(&s);
	for (int i = 0; i < 4; i++) {
		for (int n = 0; n < cases[_i].outstanding[i]; n++) {
			shares_check_request(&s, SERVICE, names[i], NOW);
			shares_add_outstanding(&s, SERVICE, names[i], 1, NOW);
		}
	}
	for (int i = 0; i < 4; i++) {
		if (!cases[_i].outstanding[i])
			continue;
		ck_assert_msg(shares_check_request(&s, SERVICE, names[i],
						   LATER) == cases[_i].over[i],
			      "%s: %s", cases[_i].label, names[i]);
		ck_assert(
			!shares_check_request(&s, "another", names[i], LATER));
	}
	for (int i = 0; i < 4; i++) {
		for (int n = 0; n < cases[_i].outstanding[i]; n++)
			shares_add_outstanding(&s, SERVICE, names[i], -1,
					       LATER);
		ck_assert(!shares_check_request(&s, SERVICE, names[i], LATER));
	}
	shares_finish(&s);
}
END_TEST

/* A customer counts as active from its first request on, for a while. */
START_TEST(test_new_customer_gets_a_share)
{
	shares_t s;

	shares_init(&s);
	for (int i = 0; i < 5; i++)
		shares_add_outstanding(&s, SERVICE, "a", 1, NOW);
	ck_assert(!shares_check_request(&s, SERVICE, "a", NOW));
	ck_assert(!shares_check_request(&s, SERVICE, "b", NOW));
	/* A short burst does not exceed the share. */
	ck_assert(!shares_check_request(&s, SERVICE, "a", NOW + 50));
	ck_assert(shares_check_request(&s, SERVICE, "a", NOW + 1000));
	ck_assert(!shares_check_request(&s, SERVICE, "a", NOW + 60000));
	shares_finish(&s);
}
END_TEST

/* Simulates a service with a queue at each engine, and one node. */
typedef struct simulation {
	balance_t balance;
	shares_t shares;
	GQueue running;			  /* of running_request_t *, by end */
	mstime_t free_at[ENGINES][SLOTS]; /* when each slot is free */
	GRand *rand;
	int requests[OTHER_CUSTOMERS + 1];
	int refused[OTHER_CUSTOMERS + 1];
} simulation_t;

typedef struct running_request {
	balance_upstream_t *upstream;
	char customer[16];
	mstime_t end;
} running_request_t;

static gint by_end_(gconstpointer a, gconstpointer b, gpointer arg)
{
	const running_request_t *wa = a;
	const running_request_t *wb = b;

	(void)arg;
	return (wa->end > wb->end) - (wa->end < wb->end);
}

/* Runs a request in the slot that is free first; returns its end. */
static mstime_t occupy_slot_(mstime_t *free_at, mstime_t now)
{
	int first = 0;

	for (int i = 1; i < SLOTS; i++) {
		if (free_at[i] < free_at[first])
			first = i;
	}
	free_at[first] = MAX(now, free_at[first]) + WORK_MS;
	return free_at[first];
}

static void send_request_(simulation_t *p, int customer, mstime_t now)
{
	balance_request_t request = { .service = SERVICE };
	running_request_t *w = g_new0(running_request_t, 1);
	balance_pick_t pick;

	g_snprintf(w->customer, sizeof(w->customer), "c-%d", customer);
	request.over_share =
		shares_check_request(&p->shares, SERVICE, w->customer, now);
	pick = balance_choose(&p->balance, &request, now);
	p->requests[customer]++;
	if (!pick.upstream) {
		ck_assert_int_eq(pick.reason, request.over_share
						      ? BALANCE_OVER_SHARE
						      : BALANCE_FULL);
		ck_assert_int_gt(pick.retry_ms, 0);
		p->refused[customer]++;
		g_free(w);
		return;
	}
	w->upstream = pick.upstream;
	w->end = occupy_slot_(p->free_at[atoi(w->upstream->id + strlen("u-"))],
			      now);
	shares_add_outstanding(&p->shares, SERVICE, w->customer, 1, now);
	g_queue_insert_sorted(&p->running, w, by_end_, NULL);
}

static void end_requests_(simulation_t *p, mstime_t now)
{
	running_request_t *w = g_queue_peek_head(&p->running);

	while (w && w->end <= now) {
		g_queue_pop_head(&p->running);
		balance_end_request(w->upstream, BALANCE_OK, -1, now);
		shares_add_outstanding(&p->shares, SERVICE, w->customer, -1,
				       now);
		g_free(w);
		w = g_queue_peek_head(&p->running);
	}
}

/* Arrivals in a millisecond; the fraction of the rate is drawn at random. */
static int arrivals_(simulation_t *p, double rate)
{
	int whole = (int)rate;

	return whole + (g_rand_double(p->rand) < rate - whole);
}

static void start_simulation_(simulation_t *p, guint32 seed)
{
	*p = (simulation_t){ 0 };
	balance_init(&p->balance, "dc-a", 1);
	shares_init(&p->shares);
	g_queue_init(&p->running);
	p->rand = g_rand_new_with_seed(seed);
	for (int i = 0; i < ENGINES; i++) {
		char id[16];
		balance_spec_t spec = { .id = id,
					.service = SERVICE,
					.address = "127.0.0.1:1",
					.data_centre = "dc-a",
					.slots = SLOTS };

		g_snprintf(id, sizeof(id), "u-%d", i);
		balance_put_upstream(&p->balance, &spec, NOW);
	}
}

static void finish_simulation_(simulation_t *p)
{
	end_requests_(p, G_MAXINT64);
	shares_finish(&p->shares);
	balance_finish(&p->balance);
	g_rand_free(p->rand);
}

/*
 * Load: nine customers that together send half of what the engines can serve,
 * and one that sends four times what they can serve. At most one percent of the
 * requests of the nine may be refused. At least four fifths of the capacity
 * that they leave must be used.
 */
START_TEST(test_one_customer_does_not_crowd_out_the_others)
{
	double per_ms = (double)ENGINES * SLOTS / WORK_MS;
	int requests = 0;
	int refused = 0;
	simulation_t p;

	start_simulation_(&p, (guint32)_i);
	for (mstime_t now = NOW; now < NOW + DURATION_MS; now++) {
		end_requests_(&p, now);
		for (int n = arrivals_(&p, 4 * per_ms); n; n--)
			send_request_(&p, 0, now);
		for (int i = 1; i <= OTHER_CUSTOMERS; i++) {
			if (arrivals_(&p, per_ms / 2 / OTHER_CUSTOMERS))
				send_request_(&p, i, now);
		}
	}
	for (int i = 1; i <= OTHER_CUSTOMERS; i++) {
		requests += p.requests[i];
		refused += p.refused[i];
	}
	ck_assert_int_gt(p.refused[0], 0);
	ck_assert_msg(refused * 100 <= requests, "%d of %d refused", refused,
		      requests);
	/* Four fifths of the half that the others leave. */
	ck_assert_double_ge(p.requests[0] - p.refused[0],
			    0.4 * per_ms * DURATION_MS);
	finish_simulation_(&p);
}
END_TEST

Suite *shares_suite(void)
{
	Suite *s = suite_create("shares");
	TCase *c = tcase_create("shares");

	tcase_add_loop_test(c, test_over_share, 0, G_N_ELEMENTS(cases));
	tcase_add_test(c, test_new_customer_gets_a_share);
	tcase_add_loop_test(c, test_one_customer_does_not_crowd_out_the_others,
			    1, SEEDS);
	suite_add_tcase(s, c);
	return s;
}
