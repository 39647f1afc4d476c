#include "suites.h"

#include <glib.h>
#include <kcf/end_proof.h>

#define SENT 1000
#define SEEN 1290
#define OLDER 900
#define YOUNGER 1300

static const struct {
	const char *label;
	end_seen_t end;
	end_reply_t reply;
	end_verdict_t verdict;
} cases[] = {
	{ "the start names itself again",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN, .received = true, .named = 5, .since = YOUNGER },
	  END_ALIVE },
	{ "also after a pause",
	  { 5, SENT, SEEN, 2000 },
	  { .asked_at = SEEN, .received = true, .named = 5, .since = YOUNGER },
	  END_ALIVE },
	{ "a later start",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN, .received = true, .named = 6, .since = YOUNGER },
	  END_GONE },
	{ "another start whose clock is behind",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN, .received = true, .named = 4, .since = YOUNGER },
	  END_GONE },
	{ "a start that has not checked in, on an older connection",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN, .received = true, .named = 6, .since = OLDER },
	  END_ALIVE },
	{ "no name, on an older connection",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN,
	    .received = true,
	    .nameless = true,
	    .since = OLDER },
	  END_ALIVE },
	{ "the same after a pause",
	  { 5, SENT, SEEN, 2000 },
	  { .asked_at = SEEN,
	    .received = true,
	    .nameless = true,
	    .since = OLDER },
	  END_ALIVE },
	{ "no name, at once",
	  { 5, SENT, SEEN, 100 },
	  { .asked_at = SEEN,
	    .received = true,
	    .nameless = true,
	    .since = YOUNGER },
	  END_ALIVE },
	{ "no name, an end that came late",
	  { 5, SENT, SEEN, 101 },
	  { .asked_at = SEEN,
	    .received = true,
	    .nameless = true,
	    .since = YOUNGER },
	  END_UNPROVEN },
	{ "no name, nothing known of the end",
	  { 5, SENT, SEEN, -1 },
	  { .asked_at = SEEN,
	    .received = true,
	    .nameless = true,
	    .since = YOUNGER },
	  END_UNPROVEN },
	{ "no name, an end behind bytes that had to wait",
	  { 5, SENT, SEEN, 3, true },
	  { .asked_at = SEEN,
	    .received = true,
	    .nameless = true,
	    .since = YOUNGER },
	  END_UNPROVEN },
	{ "the same, named",
	  { 5, SENT, SEEN, 3, true },
	  { .asked_at = SEEN, .received = true, .named = 5, .since = YOUNGER },
	  END_ALIVE },
	{ "busy, may name itself later",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN, .received = true, .since = YOUNGER },
	  END_UNPROVEN },
	{ "no name, asked late",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN + 50,
	    .received = true,
	    .nameless = true,
	    .since = YOUNGER },
	  END_UNPROVEN },
	{ "no name, asked late on an older connection",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN + 50,
	    .received = true,
	    .nameless = true,
	    .since = OLDER },
	  END_ALIVE },
	{ "no name, after a question that was lost",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN,
	    .lost_at = SEEN - 100,
	    .received = true,
	    .nameless = true,
	    .since = YOUNGER },
	  END_UNPROVEN },
	{ "no name, one was lost before",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN,
	    .lost_at = SEEN - 101,
	    .received = true,
	    .nameless = true,
	    .since = YOUNGER },
	  END_ALIVE },
	{ "a name after a question that was lost",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN,
	    .lost_at = SEEN,
	    .received = true,
	    .named = 5,
	    .since = YOUNGER },
	  END_ALIVE },
	{ "taken in, not answered",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN, .silent = true, .since = YOUNGER },
	  END_ALIVE },
	{ "the same, an end that came late",
	  { 5, SENT, SEEN, 101 },
	  { .asked_at = SEEN, .silent = true, .since = YOUNGER },
	  END_UNPROVEN },
	{ "the same, on an older connection",
	  { 5, SENT, SEEN, 2000 },
	  { .asked_at = SEEN, .silent = true, .since = OLDER },
	  END_ALIVE },
	{ "nobody listens",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN, .refused = true },
	  END_GONE },
	{ "no answer",
	  { 5, SENT, SEEN, 3 },
	  { .asked_at = SEEN, .nameless = true },
	  END_UNPROVEN },
};

START_TEST(test_verdict)
{
	ck_assert_msg(end_proof_judge(&cases[_i].end, &cases[_i].reply) ==
			      cases[_i].verdict,
		      "%s", cases[_i].label);
}
END_TEST

Suite *end_proof_suite(void)
{
	Suite *s = suite_create("end_proof");
	TCase *c = tcase_create("end_proof");

	tcase_add_loop_test(c, test_verdict, 0, G_N_ELEMENTS(cases));
	suite_add_tcase(s, c);
	return s;
}
