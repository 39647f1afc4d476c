#include "suites.h"

#include <glib.h>
#include <kcf/start_order.h>

#define WRITES_MAX 8
#define NOW 1000000

/* A write, and the start that is in force after it. */
typedef struct write {
	mstime_t at;
	uint64_t start;
	uint64_t heartbeat;
	uint64_t in_force;
} write_t;

static const struct {
	const char *label;
	write_t writes[WRITES_MAX]; /* up to one without a start */
} cases[] = {
	{ "starts whose clocks go on",
	  { { 0, 5, 1, 5 }, { 1200, 5, 2, 5 }, { 2000, 6, 1, 6 } } },
	{ "a write of the start before that is carried out late",
	  { { 0, 5, 1, 5 },
	    { 800, 6, 1, 6 },
	    { 900, 5, 2, 6 },
	    { 2000, 6, 2, 6 } } },
	{ "two such writes at once, and no others for long",
	  { { 0, 5, 1, 5 },
	    { 800, 6, 1, 6 },
	    { 4000, 5, 2, 6 },
	    { 4010, 5, 3, 6 } } },
	{ "the same write twice",
	  { { 0, 6, 1, 6 }, { 900, 5, 2, 6 }, { 2500, 5, 2, 6 } } },
	{ "a clock that went back",
	  { { 0, 6, 1, 6 },
	    { 1200, 6, 2, 6 },
	    { 2000, 3, 1, 6 },
	    { 3200, 3, 2, 3 },
	    { 4400, 3, 3, 3 } } },
	{ "late writes of the start before it",
	  { { 0, 6, 1, 6 },
	    { 700, 3, 1, 6 },
	    { 1900, 3, 2, 3 },
	    { 2000, 6, 2, 3 },
	    { 3100, 3, 3, 3 },
	    { 3900, 6, 3, 3 } } },
	{ "the start in force goes on between the others' writes",
	  { { 0, 6, 1, 6 },
	    { 700, 3, 1, 6 },
	    { 1200, 6, 2, 6 },
	    { 1900, 3, 2, 6 },
	    { 2400, 6, 3, 6 },
	    { 3100, 3, 3, 6 } } },
	{ "one that was taken for gone comes back into force",
	  { { 0, 6, 1, 6 },
	    { 700, 3, 1, 6 },
	    { 1900, 3, 2, 3 },
	    { 2500, 6, 2, 3 },
	    { 3700, 6, 3, 6 } } },
	{ "clocks that go back twice, and then on",
	  { { 0, 9, 1, 9 },
	    { 900, 5, 1, 9 },
	    { 2100, 5, 2, 5 },
	    { 3000, 4, 1, 5 },
	    { 4200, 4, 2, 4 },
	    { 5000, 7, 1, 4 },
	    { 6200, 7, 2, 7 },
	    { 7000, 10, 1, 10 } } },
	{ "a late write of a start between that was not known",
	  { { 0, 9, 1, 9 },
	    { 1200, 4, 1, 9 },
	    { 2400, 4, 2, 4 },
	    { 3000, 7, 3, 4 },
	    { 3600, 4, 3, 4 } } },
	{ "another start before the first has written twice",
	  { { 0, 9, 1, 9 },
	    { 900, 5, 1, 9 },
	    { 2100, 4, 1, 9 },
	    { 3300, 4, 2, 4 } } },
	{ "writes of the start before that are late, while the next is silent",
	  { { 0, 5, 1, 5 },
	    { 1200, 5, 2, 5 },
	    { 2000, 6, 1, 6 },
	    { 3200, 6, 2, 6 },
	    { 4000, 5, 3, 6 },
	    { 5200, 5, 4, 6 },
	    { 6400, 5, 5, 6 } } },
	{ "a late write of a start that was not known, whose clock was ahead",
	  { { 0, 5, 1, 5 },
	    { 600, 9, 7, 9 },
	    { 1200, 5, 2, 9 },
	    { 2400, 5, 3, 9 },
	    { 4800, 5, 5, 9 },
	    { 6000, 5, 6, 5 },
	    { 7200, 5, 7, 5 } } },
	{ "two late writes of a former start between two writes",
	  { { 0, 5, 1, 5 },
	    { 800, 6, 1, 6 },
	    { 2000, 6, 2, 6 },
	    { 2050, 5, 2, 6 },
	    { 3100, 5, 3, 6 },
	    { 3200, 6, 3, 6 } } },
	{ "two late writes after the last one of a start that leaves",
	  { { 0, 5, 1, 5 },
	    { 800, 6, 1, 6 },
	    { 2000, 6, 2, 6 },
	    { 2100, 5, 2, 6 },
	    { 3300, 5, 3, 6 } } },
	{ "one that does not count, and the only one that writes",
	  { { 0, 9, 0, 9 },
	    { 900, 5, 0, 9 },
	    { 2100, 5, 0, 9 },
	    { 3300, 5, 0, 9 },
	    { 4500, 5, 0, 9 },
	    { 5700, 5, 0, 5 } } },
	{ "upstreams that do not count what they write",
	  { { 0, 9, 0, 9 },
	    { 900, 5, 0, 9 },
	    { 2100, 5, 0, 9 },
	    { 2200, 9, 0, 9 } } },
};

static void write_(start_order_t *o, const write_t *w)
{
	int order = start_order_compare(o, w->start, w->heartbeat);

	if (order >= 0 || (w->start != o->start_id &&
			   start_order_contend(o, w->start, w->heartbeat, false,
					       NOW + w->at)))
		start_order_put(o, w->start, w->heartbeat, NOW + w->at);
}

START_TEST(test_start_in_force)
{
	start_order_t o = { 0 };

	for (int i = 0; i < WRITES_MAX && cases[_i].writes[i].start; i++) {
		const write_t *w = &cases[_i].writes[i];
		write_(&o, w);
		ck_assert_msg(o.start_id == w->in_force, "%s: start %d at %d",
			      cases[_i].label, (int)o.start_id, (int)w->at);
	}
}
END_TEST

/* Guards against one write that names no start in place of one that does. */
START_TEST(test_unnamed_write)
{
	start_order_t o = { 0 };

	start_order_put(&o, 5, 1, NOW);
	ck_assert(start_order_compare(&o, 0, 7) < 0);
	ck_assert(!start_order_contend(&o, 0, 7, false, NOW + 5000));
	ck_assert(!start_order_contend(&o, 0, 8, false, NOW + 7000));
	ck_assert(!o.disputed);
}
END_TEST

/* Whether the start in force may be one that has ended, after all writes. */
static const struct {
	const char *label;
	write_t writes[WRITES_MAX];
	bool disputed;
} dispute_cases[] = {
	{ "one start", { { 0, 5, 1 }, { 1200, 5, 2 } }, false },
	{ "a start whose clock is behind has written",
	  { { 0, 6, 1 }, { 1200, 5, 1 } },
	  true },
	{ "a late write of the one in force after that",
	  { { 0, 6, 1 }, { 1200, 5, 1 }, { 1300, 6, 2 } },
	  true },
	{ "two of them at once",
	  { { 0, 6, 1 }, { 1200, 5, 1 }, { 1300, 6, 2 }, { 1310, 6, 3 } },
	  true },
	{ "the other one has written between them",
	  { { 0, 6, 1 },
	    { 1200, 5, 1 },
	    { 1300, 6, 2 },
	    { 2400, 5, 2 },
	    { 2500, 6, 3 } },
	  true },
	{ "it goes on",
	  { { 0, 6, 1 }, { 1200, 5, 1 }, { 1300, 6, 2 }, { 2500, 6, 3 } },
	  false },
	{ "the other one comes into force",
	  { { 0, 6, 1 }, { 1200, 5, 1 }, { 2400, 5, 2 } },
	  false },
	{ "a late write of a start that the next one has followed",
	  { { 0, 5, 1 }, { 800, 6, 1 }, { 900, 5, 2 } },
	  false },
};

START_TEST(test_disputed_start)
{
	start_order_t o = { 0 };

	for (int i = 0; i < WRITES_MAX && dispute_cases[_i].writes[i].start;
	     i++)
		write_(&o, &dispute_cases[_i].writes[i]);
	ck_assert_msg(o.disputed == dispute_cases[_i].disputed, "%s",
		      dispute_cases[_i].label);
}
END_TEST

Suite *start_order_suite(void)
{
	Suite *s = suite_create("start_order");
	TCase *c = tcase_create("start_order");

	tcase_add_loop_test(c, test_start_in_force, 0, G_N_ELEMENTS(cases));
	tcase_add_test(c, test_unnamed_write);
	tcase_add_loop_test(c, test_disputed_start, 0,
			    G_N_ELEMENTS(dispute_cases));
	suite_add_tcase(s, c);
	return s;
}
