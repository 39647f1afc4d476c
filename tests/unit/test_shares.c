#include "suites.h"

#include <kcf/balance.h>
#include <kcf/shares.h>
#include <string.h>

#define SERVICE "engines"
#define ENGINES 3
#define SLOTS 6
#define WORK_MS 15
#define LENGTH_MS 5000
#define NOW 1000000
#define LATER (NOW + 1900)
#define OTHERS 9
#define SEEDS 7

static const struct {
	const char *what;
	int outstanding[4]; /* of customers a to d */
	bool over[4];
} cases[] = {
	{ "nothing", { 0 }, { 0 } },
	{ "alone", { 50 }, { 0 } },
	{ "even", { 5, 5, 5, 5 }, { 0 } },
	{ "one has one and a half times an even part", { 6, 3, 3, 4 }, { 0 } },
	{ "one has more", { 20, 2, 3, 3 }, { true } },
	{ "another one", { 2, 3, 20, 3 }, { false, false, true } },
};

START_TEST(test_over)
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
			      "%s: %s", cases[_i].what, names[i]);
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

/* A customer that has nothing yet wants a part too, for a while. */
START_TEST(test_who_asks_wants_a_part)
{
	shares_t s;

	shares_init(&s);
	for (int i = 0; i < 5; i++)
		shares_add_outstanding(&s, SERVICE, "a", 1, NOW);
	ck_assert(!shares_check_request(&s, SERVICE, "a", NOW));
	ck_assert(!shares_check_request(&s, SERVICE, "b", NOW));
	/* A clump is not much of late. */
	ck_assert(!shares_check_request(&s, SERVICE, "a", NOW + 50));
	ck_assert(shares_check_request(&s, SERVICE, "a", NOW + 1000));
	ck_assert(!shares_check_request(&s, SERVICE, "a", NOW + 60000));
	shares_finish(&s);
}
END_TEST

/* A service with a queue at each engine, and one node. */
typedef struct play {
	balance_t balance;
	shares_t shares;
	GQueue running; /* of work_t, in the order of their ends */
	mstime_t free_at[ENGINES][SLOTS]; /* when each slot is free */
	GRand *rand;
	int asked[OTHERS + 1];
	int refused[OTHERS + 1];
} play_t;

typedef struct work {
	balance_upstream_t *at;
	char customer[16];
	mstime_t end;
} work_t;

static gint by_end_(gconstpointer a, gconstpointer b, gpointer arg)
{
	const work_t *wa = a;
	const work_t *wb = b;

	(void)arg;
	return (wa->end > wb->end) - (wa->end < wb->end);
}

/* The first slot that is free takes the work; returns its end. */
static mstime_t run_(mstime_t *free_at, mstime_t now)
{
	int first = 0;

	for (int i = 1; i < SLOTS; i++) {
		if (free_at[i] < free_at[first])
			first = i;
	}
	free_at[first] = MAX(now, free_at[first]) + WORK_MS;
	return free_at[first];
}

static void ask_(play_t *p, int customer, mstime_t now)
{
	balance_request_t ask = { .service = SERVICE };
	work_t *w = g_new0(work_t, 1);
	balance_pick_t pick;

	g_snprintf(w->customer, sizeof(w->customer), "c-%d", customer);
	ask.over_share =
		shares_check_request(&p->shares, SERVICE, w->customer, now);
	pick = balance_choose(&p->balance, &ask, now);
	p->asked[customer]++;
	if (!pick.upstream) {
		ck_assert_int_eq(pick.reason, ask.over_share
						      ? BALANCE_OVER_SHARE
						      : BALANCE_FULL);
		ck_assert_int_gt(pick.retry_ms, 0);
		p->refused[customer]++;
		g_free(w);
		return;
	}
	w->at = pick.upstream;
	w->end = run_(p->free_at[atoi(w->at->id + strlen("u-"))], now);
	shares_add_outstanding(&p->shares, SERVICE, w->customer, 1, now);
	g_queue_insert_sorted(&p->running, w, by_end_, NULL);
}

static void end_(play_t *p, mstime_t now)
{
	work_t *w = g_queue_peek_head(&p->running);

	while (w && w->end <= now) {
		g_queue_pop_head(&p->running);
		balance_end_request(w->at, BALANCE_OK, -1, now);
		shares_add_outstanding(&p->shares, SERVICE, w->customer, -1,
				       now);
		g_free(w);
		w = g_queue_peek_head(&p->running);
	}
}

/* In a millisecond; a broken rate by chance. */
static int arrivals_(play_t *p, double rate)
{
	int whole = (int)rate;

	return whole + (g_rand_double(p->rand) < rate - whole);
}

static void start_play_(play_t *p, guint32 seed)
{
	*p = (play_t){ 0 };
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

static void finish_play_(play_t *p)
{
	end_(p, G_MAXINT64);
	shares_finish(&p->shares);
	balance_finish(&p->balance);
	g_rand_free(p->rand);
}

/*
 * Load: nine customers that ask for half of what the engines can do, and one
 * that asks for four times all of it. One in a hundred is the most of the
 * others that may be refused; four fifths of what they leave is used.
 */
START_TEST(test_one_customer_does_not_crowd_out_the_others)
{
	double per_ms = (double)ENGINES * SLOTS / WORK_MS;
	int asked = 0;
	int refused = 0;
	play_t p;

	start_play_(&p, (guint32)_i);
	for (mstime_t now = NOW; now < NOW + LENGTH_MS; now++) {
		end_(&p, now);
		for (int n = arrivals_(&p, 4 * per_ms); n; n--)
			ask_(&p, 0, now);
		for (int i = 1; i <= OTHERS; i++) {
			if (arrivals_(&p, per_ms / 2 / OTHERS))
				ask_(&p, i, now);
		}
	}
	for (int i = 1; i <= OTHERS; i++) {
		asked += p.asked[i];
		refused += p.refused[i];
	}
	ck_assert_int_gt(p.refused[0], 0);
	ck_assert_msg(refused * 100 <= asked, "%d of %d refused", refused,
		      asked);
	/* What the others leave is used. */
	ck_assert_double_ge(p.asked[0] - p.refused[0],
			    0.4 * per_ms * LENGTH_MS);
	finish_play_(&p);
}
END_TEST

Suite *shares_suite(void)
{
	Suite *s = suite_create("shares");
	TCase *c = tcase_create("shares");

	tcase_add_loop_test(c, test_over, 0, G_N_ELEMENTS(cases));
	tcase_add_test(c, test_who_asks_wants_a_part);
	tcase_add_loop_test(c, test_one_customer_does_not_crowd_out_the_others,
			    1, SEEDS);
	suite_add_tcase(s, c);
	return s;
}
