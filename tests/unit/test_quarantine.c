#include "suites.h"

#include <kcf/quarantine_report.h>
#include <string.h>

#define NOW 1000000
#define SYSTEM 0xa
#define CRASHING 0xd
#define THING 0xb
#define OTHER 0xc
#define NODES 7
#define CRASHING_REQUEST 0x1d
#define BESIDE 0x1b
#define BESIDE_TOO 0x1c
#define STEPS_MAX 12

static const quarantine_ops_t silent = { 0 };

static quarantine_prompt_t prompt_(const uint64_t *segments)
{
	quarantine_prompt_t p = { .count = 0 };

	while (segments[p.count]) {
		p.segments[p.count] = segments[p.count];
		p.count++;
	}
	return p;
}

typedef enum step_kind {
	STEP_END,
	STEP_LOST,   /* an upstream ends before it begins to answer */
	STEP_CRASH,  /* an upstream ends as it begins to answer */
	STEP_ANSWER, /* some upstream answers */
	STEP_ALIVE,  /* an upstream answers something */
} step_kind_t;

typedef struct step {
	step_kind_t kind;
	mstime_t at;
	uint32_t upstream;
	uint64_t segments[4];
} step_t;

static const struct {
	const char *label;
	step_t steps[STEPS_MAX];
	mstime_t at; /* of the checks */
	bool crashing_held;
	bool sound_held; /* the same without the crashing segment */
} cases[] = {
	{ "nothing", { { STEP_END, 0, 0, { 0 } } }, 1000, false, false },
	{ "one crash is no evidence",
	  { { STEP_CRASH, 0, 1, { SYSTEM, CRASHING, THING } } },
	  1000,
	  false,
	  false },
	{ "two crashes are",
	  { { STEP_CRASH, 0, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 500, 2, { SYSTEM, CRASHING, THING } } },
	  1000,
	  true,
	  false },
	{ "two reports of one end are one crash",
	  { { STEP_CRASH, 0, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 500, 1, { SYSTEM, CRASHING, OTHER } } },
	  1000,
	  false,
	  false },
	{ "upstreams that end together have one cause",
	  { { STEP_CRASH, 0, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 20, 2, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 90, 3, { SYSTEM, CRASHING, THING } } },
	  1000,
	  false,
	  false },
	{ "a segment answered in between is sound",
	  { { STEP_CRASH, 0, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_ANSWER, 200, 3, { SYSTEM, CRASHING } },
	    { STEP_CRASH, 500, 2, { SYSTEM, CRASHING } } },
	  1000,
	  false,
	  false },
	{ "and one answered afterwards",
	  { { STEP_CRASH, 0, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 500, 2, { SYSTEM, CRASHING, THING } },
	    { STEP_ANSWER, 700, 3, { SYSTEM, CRASHING, THING } } },
	  1000,
	  false,
	  false },
	{ "the other segments are answered all the time",
	  { { STEP_CRASH, 0, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_ANSWER, 100, 3, { SYSTEM, THING } },
	    { STEP_CRASH, 500, 2, { SYSTEM, CRASHING, THING } },
	    { STEP_ANSWER, 700, 3, { SYSTEM, THING } } },
	  1000,
	  true,
	  false },
	{ "the segment moves between prompts",
	  { { STEP_CRASH, 0, 1, { SYSTEM, CRASHING, OTHER } },
	    { STEP_CRASH, 500, 2, { THING, CRASHING } } },
	  1000,
	  true,
	  false },
	{ "an upstream that goes on has not crashed",
	  { { STEP_CRASH, 0, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 500, 2, { SYSTEM, CRASHING, THING } },
	    { STEP_ALIVE, 900, 2, { 0 } } },
	  1000,
	  false,
	  false },
	{ "one that answers much later was started again",
	  { { STEP_CRASH, 0, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 500, 2, { SYSTEM, CRASHING, THING } },
	    { STEP_ALIVE, 3000, 2, { 0 } } },
	  4000,
	  true,
	  false },
	{ "a prompt that was sound needs more",
	  { { STEP_ANSWER, 0, 4, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 500, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 1000, 2, { SYSTEM, CRASHING, THING } } },
	  2000,
	  false,
	  false },
	{ "but not much more",
	  { { STEP_ANSWER, 0, 4, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 500, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 1000, 2, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 1500, 3, { SYSTEM, CRASHING, THING } } },
	  2000,
	  true,
	  false },
	{ "what ran beside it is not the cause",
	  { { STEP_CRASH, 0, 1, { SYSTEM, CRASHING } },
	    { STEP_CRASH, 0, 1, { SYSTEM, THING } },
	    { STEP_ANSWER, 100, 9, { SYSTEM } },
	    { STEP_CRASH, 500, 2, { SYSTEM, CRASHING } },
	    { STEP_CRASH, 500, 2, { SYSTEM, THING } },
	    { STEP_ANSWER, 600, 9, { SYSTEM } },
	    { STEP_CRASH, 900, 3, { SYSTEM, CRASHING } } },
	  1000,
	  true,
	  false },
	{ "ends before the answers begin are weak evidence",
	  { { STEP_LOST, 0, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_LOST, 500, 2, { SYSTEM, CRASHING, THING } } },
	  1000,
	  false,
	  false },
	{ "but three of them are enough",
	  { { STEP_LOST, 0, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_LOST, 500, 2, { SYSTEM, CRASHING, THING } },
	    { STEP_ANSWER, 700, 9, { SYSTEM, THING } },
	    { STEP_LOST, 1000, 3, { SYSTEM, CRASHING, THING } } },
	  2000,
	  true,
	  false },
	{ "a hold ends",
	  { { STEP_CRASH, 0, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 500, 2, { SYSTEM, CRASHING, THING } } },
	  501 + QUARANTINE_HOLD_MS,
	  false,
	  false },
	{ "and lasts longer after another crash",
	  { { STEP_CRASH, 0, 1, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 500, 2, { SYSTEM, CRASHING, THING } },
	    { STEP_CRASH, 40000, 3, { SYSTEM, CRASHING, THING } } },
	  40000 + QUARANTINE_HOLD_MS + 1,
	  true,
	  false },
};

static void play_(quarantine_t *q, const step_t *steps)
{
	for (const step_t *s = steps; s->kind != STEP_END; s++) {
		quarantine_prompt_t p = prompt_(s->segments);

		switch (s->kind) {
		case STEP_CRASH:
		case STEP_LOST:
			quarantine_record_crash(q, s->upstream, &p,
						s->kind == STEP_CRASH,
						NOW + s->at);
			break;
		case STEP_ANSWER:
			quarantine_record_answer(q, &p, NOW + s->at);
			break;
		case STEP_ALIVE:
			quarantine_record_alive(q, s->upstream, NOW + s->at - 1,
						NOW + s->at);
			break;
		case STEP_END:
			break;
		}
	}
}

static bool is_held_(quarantine_t *q, const uint64_t *segments, mstime_t at)
{
	quarantine_prompt_t p = prompt_(segments);
	mstime_t retry_ms = 0;
	bool held = quarantine_check(q, &p, 1, at, &retry_ms);

	ck_assert(held == (retry_ms > 0));
	return held;
}

static const uint64_t crashing[] = { SYSTEM, CRASHING, THING, 0 };
static const uint64_t sound[] = { SYSTEM, THING, 0 };

START_TEST(test_hold)
{
	quarantine_t q;

	quarantine_init(&q, 0, &silent, NULL);
	play_(&q, cases[_i].steps);
	ck_assert_msg(is_held_(&q, sound, NOW + cases[_i].at) ==
			      cases[_i].sound_held,
		      "sound: %s", cases[_i].label);
	ck_assert_msg(is_held_(&q, crashing, NOW + cases[_i].at) ==
			      cases[_i].crashing_held,
		      "crashing: %s", cases[_i].label);
	quarantine_finish(&q);
}
END_TEST

/* The same reports give the same holds, in any order and any number. */
START_TEST(test_order_of_reports)
{
	static const uint32_t order[][3] = {
		{ 0, 1, 2 }, { 2, 1, 0 }, { 1, 1, 2 }, { 2, 0, 1 }
	};
	const uint64_t prompts[][4] = { { SYSTEM, CRASHING, THING },
					{ SYSTEM, CRASHING, OTHER },
					{ SYSTEM, CRASHING, THING } };

	for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
		quarantine_t q;

		quarantine_init(&q, 0, &silent, NULL);
		for (int k = 0; k < 3; k++) {
			uint32_t n = order[i][k];
			quarantine_crash_t c = { .upstream = n,
						 .at = NOW + 300 * n,
						 .prompt =
							 prompt_(prompts[n]) };

			quarantine_merge_crash(&q, &c, NOW + 1000);
			ck_assert(!quarantine_merge_crash(&q, &c, NOW + 1000));
		}
		ck_assert(is_held_(&q, crashing, NOW + 1000));
		ck_assert(!is_held_(&q, sound, NOW + 1000));
		quarantine_finish(&q);
	}
}
END_TEST

/* After a hold one node sends one request; the others wait for its outcome. */
START_TEST(test_trial)
{
	quarantine_t q;
	quarantine_prompt_t p = prompt_(crashing);
	mstime_t end = NOW + 500 + QUARANTINE_HOLD_MS;
	mstime_t retry_ms;

	quarantine_init(&q, 0.5, &silent, NULL);
	quarantine_record_crash(&q, 1, &p, true, NOW);
	quarantine_record_crash(&q, 2, &p, true, NOW + 500);
	ck_assert(quarantine_check(&q, &p, NODES, end + 1000, &retry_ms));
	ck_assert(!quarantine_check(&q, &p, NODES, end + 4000, &retry_ms));
	ck_assert(quarantine_check(&q, &p, NODES, end + 4001, &retry_ms));
	if (_i) {
		quarantine_record_crash(&q, 3, &p, true, end + 4100);
		ck_assert(quarantine_check(&q, &p, NODES, end + 30000,
					   &retry_ms));
	} else {
		ck_assert(quarantine_record_answer(&q, &p, end + 4100));
		ck_assert_int_eq(q.hold_count, 0);
		ck_assert(!quarantine_check(&q, &p, NODES, end + 4200,
					    &retry_ms));
	}
	quarantine_finish(&q);
}
END_TEST

START_TEST(test_expires)
{
	quarantine_t q;
	quarantine_prompt_t p = prompt_(crashing);

	quarantine_init(&q, 0, &silent, NULL);
	quarantine_record_crash(&q, 1, &p, true, NOW);
	quarantine_record_crash(&q, 2, &p, true, NOW + 500);
	quarantine_tick(&q, NOW + QUARANTINE_KEEP_MS + 501);
	ck_assert_int_eq(q.crash_count, 0);
	ck_assert_int_eq(q.hold_count, 0);
	quarantine_finish(&q);
}
END_TEST

/* Masses of made-up segments take no room from what is held back. */
START_TEST(test_bounded)
{
	quarantine_t q;
	quarantine_prompt_t p = prompt_(crashing);

	quarantine_init(&q, 0, &silent, NULL);
	quarantine_record_crash(&q, 1, &p, true, NOW);
	quarantine_record_crash(&q, 2, &p, true, NOW + 500);
	for (uint32_t i = 0; i < 100000; i++) {
		const uint64_t made_up[] = { SYSTEM, 1000 + i, 0 };
		quarantine_prompt_t other = prompt_(made_up);

		if (i < 1000)
			quarantine_record_crash(&q, 10 + i, &other, true,
						NOW + 600 + i);
		quarantine_record_answer(&q, &other, NOW + 2000 + i);
	}
	ck_assert_int_le(q.crash_count, QUARANTINE_CRASHES_MAX);
	ck_assert_uint_le(g_hash_table_size(q.answered.map), 4096);
	ck_assert(is_held_(&q, crashing, NOW + 3000));
	ck_assert(!is_held_(&q, sound, NOW + 3000));
	quarantine_finish(&q);
}
END_TEST

START_TEST(test_cleared)
{
	quarantine_t q;
	quarantine_prompt_t p = prompt_(sound);
	quarantine_prompt_t none = { .count = 0 };

	quarantine_init(&q, 0, &silent, NULL);
	ck_assert(!quarantine_is_cleared(&q, 1, &none, NOW));
	ck_assert(!quarantine_is_cleared(&q, 1, &p, NOW));
	quarantine_record_answer(&q, &p, NOW);
	ck_assert(quarantine_is_cleared(&q, 1, &p, NOW + 100));
	quarantine_record_crash(&q, 1, &p, true, NOW + 200);
	/* Another request's report of the same end. */
	ck_assert(quarantine_is_cleared(&q, 1, &p, NOW + 300));
	ck_assert(!quarantine_is_cleared(&q, 2, &p, NOW + 300));
	ck_assert(!quarantine_is_cleared(&q, 1, &p,
					 NOW + QUARANTINE_HOLD_MS + 1));
	quarantine_finish(&q);
}
END_TEST

/* Reports survive the way over the network. */
START_TEST(test_report)
{
	static const unsigned char key[DATAGRAM_KEY_BYTES] = "key";
	unsigned char data[DATAGRAM_MAX];
	quarantine_prompt_t p = { .count = QUARANTINE_SEGMENTS_MAX };
	quarantine_prompt_t common = prompt_(sound);
	quarantine_t from;
	quarantine_t to;
	size_t len;

	for (int i = 0; i < p.count; i++)
		p.segments[i] = (uint64_t)i + 1;
	p.request = CRASHING_REQUEST;
	quarantine_init(&from, 0, &silent, NULL);
	quarantine_init(&to, 0, &silent, NULL);
	for (uint32_t i = 1; i <= 20; i++)
		quarantine_record_crash(&from, i, &p, true, NOW + 300 * i);
	quarantine_record_answer(&from, &common, NOW + 7000);
	while (quarantine_has_unsent(&from)) {
		quarantine_report_t r;
		peer_crash_report_t got;

		quarantine_report_fill(&from, &r, NOW + 7001);
		ck_assert_int_eq(
			datagram_encode_crashes(key, &r.message, data, &len),
			DATAGRAM_OK);
		ck_assert_uint_eq(datagram_proc((str_t){ (char *)data, len }),
				  PEER_CRASHES);
		ck_assert_int_eq(datagram_decode_crashes(
					 key, (str_t){ (char *)data, len },
					 clock_wall(), &got),
				 DATAGRAM_OK);
		quarantine_report_apply(&to, &got, NOW + 7001);
		datagram_free_crashes(&got);
		data[len - 1] ^= 1;
		ck_assert_int_eq(datagram_decode_crashes(
					 key, (str_t){ (char *)data, len },
					 clock_wall(), &got),
				 DATAGRAM_EMAC);
	}
	ck_assert_int_eq(to.crash_count, from.crash_count);
	ck_assert_int_eq(to.hold_count, 1);
	ck_assert_int_eq(to.holds[0].prompt.count, from.holds[0].prompt.count);
	ck_assert_uint_eq(to.holds[0].prompt.request, CRASHING_REQUEST);
	ck_assert_int_eq(to.holds[0].crashes, from.holds[0].crashes);
	quarantine_finish(&from);
	quarantine_finish(&to);
}
END_TEST

/* Requests without segments, or whose segments are answered in others. */
typedef struct request_step {
	step_kind_t kind;
	mstime_t at;
	uint32_t upstream;
	uint64_t request;
	uint64_t segments[3];
} request_step_t;

static const struct {
	const char *label;
	request_step_t steps[STEPS_MAX];
	mstime_t at; /* of the checks */
	bool crashing_held;
	bool beside_held;
} request_cases[] = {
	{ "one crash is no evidence",
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST, { 0 } } },
	  1000,
	  false,
	  false },
	{ "two crashes are, whether or not the answer had begun",
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 500, 2, CRASHING_REQUEST, { 0 } } },
	  1000,
	  true,
	  false },
	{ "a retry crashes the next upstream at once",
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 40, 2, CRASHING_REQUEST, { 0 } } },
	  1000,
	  true,
	  false },
	{ "two reports of one end are one crash",
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 300, 1, CRASHING_REQUEST, { 0 } } },
	  1000,
	  false,
	  false },
	{ "others ran beside it at two of three ends",
	  { { STEP_LOST, 0, 1, BESIDE, { 0 } },
	    { STEP_LOST, 1, 1, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 50, 2, BESIDE, { 0 } },
	    { STEP_LOST, 51, 2, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 900, 3, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 901, 3, BESIDE_TOO, { 0 } } },
	  1000,
	  true,
	  false },
	{ "what ran beside it is answered",
	  { { STEP_LOST, 0, 1, BESIDE, { 0 } },
	    { STEP_LOST, 1, 1, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 50, 2, BESIDE, { 0 } },
	    { STEP_ANSWER, 90, 3, BESIDE, { 0 } },
	    { STEP_LOST, 95, 3, CRASHING_REQUEST, { 0 } } },
	  1000,
	  true,
	  false },
	{ "an answer ends the hold",
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 500, 2, CRASHING_REQUEST, { 0 } },
	    { STEP_ANSWER, 600, 3, CRASHING_REQUEST, { 0 } } },
	  1000,
	  false,
	  false },
	{ "a request that was answered before needs more",
	  { { STEP_ANSWER, 0, 4, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 100, 1, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 500, 2, CRASHING_REQUEST, { 0 } } },
	  1000,
	  false,
	  false },
	{ "but not much more",
	  { { STEP_ANSWER, 0, 4, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 100, 1, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 500, 2, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 900, 3, CRASHING_REQUEST, { 0 } } },
	  1000,
	  true,
	  false },
	{ "its segments are answered in others",
	  { { STEP_CRASH, 0, 1, CRASHING_REQUEST, { SYSTEM, THING } },
	    { STEP_ANSWER, 100, 4, BESIDE, { SYSTEM, THING } },
	    { STEP_CRASH, 500, 2, CRASHING_REQUEST, { SYSTEM, THING } },
	    { STEP_ANSWER, 600, 4, BESIDE_TOO, { SYSTEM, THING } } },
	  1000,
	  true,
	  false },
	{ "its segments are in no other request",
	  { { STEP_CRASH, 0, 1, CRASHING_REQUEST, { SYSTEM, THING } },
	    { STEP_CRASH, 500, 2, CRASHING_REQUEST, { SYSTEM, THING } } },
	  1000,
	  true,
	  false },
	{ "a segment that other requests have too",
	  { { STEP_CRASH, 0, 1, CRASHING_REQUEST, { SYSTEM, THING } },
	    { STEP_CRASH, 500, 2, CRASHING_REQUEST, { SYSTEM, THING } },
	    { STEP_CRASH, 900, 3, BESIDE, { SYSTEM, THING } } },
	  1000,
	  true,
	  true },
	{ "an upstream that goes on has not crashed",
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 500, 2, CRASHING_REQUEST, { 0 } },
	    { STEP_ALIVE, 900, 2, 0, { 0 } } },
	  1000,
	  false,
	  false },
	{ "the fourth crash leaves a trial",
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 500, 2, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 31000, 3, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 92000, 4, CRASHING_REQUEST, { 0 } } },
	  92000 + 4 * QUARANTINE_HOLD_MS + 1,
	  false,
	  false },
	{ "the fifth does not",
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 500, 2, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 31000, 3, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 92000, 4, CRASHING_REQUEST, { 0 } },
	    { STEP_LOST, 213000, 5, CRASHING_REQUEST, { 0 } } },
	  550000,
	  true,
	  false },
};

static quarantine_prompt_t request_prompt_(uint64_t request,
					   const uint64_t *segments)
{
	quarantine_prompt_t p = prompt_(segments);

	p.request = request;
	return p;
}

static bool request_is_held_(quarantine_t *q, uint64_t request,
			     const uint64_t *segments, mstime_t at)
{
	quarantine_prompt_t p = request_prompt_(request, segments);
	mstime_t retry_ms = 0;
	bool held = quarantine_check(q, &p, 1, at, &retry_ms);

	ck_assert(held == (retry_ms > 0));
	return held;
}

static void play_requests_(quarantine_t *q, const request_step_t *steps)
{
	for (const request_step_t *s = steps; s->kind != STEP_END; s++) {
		quarantine_prompt_t p =
			request_prompt_(s->request, s->segments);

		if (s->kind == STEP_ANSWER)
			quarantine_record_answer(q, &p, NOW + s->at);
		else if (s->kind == STEP_ALIVE)
			quarantine_record_alive(q, s->upstream, NOW + s->at - 1,
						NOW + s->at);
		else
			quarantine_record_crash(q, s->upstream, &p,
						s->kind == STEP_CRASH,
						NOW + s->at);
	}
}

START_TEST(test_hold_request)
{
	const uint64_t *segments = request_cases[_i].steps[0].segments;
	mstime_t at = NOW + request_cases[_i].at;
	quarantine_t q;

	quarantine_init(&q, 0, &silent, NULL);
	play_requests_(&q, request_cases[_i].steps);
	ck_assert_msg(request_is_held_(&q, BESIDE, segments, at) ==
			      request_cases[_i].beside_held,
		      "beside: %s", request_cases[_i].label);
	ck_assert_msg(!request_is_held_(&q, BESIDE_TOO, segments, at) ||
			      request_cases[_i].beside_held,
		      "beside too: %s", request_cases[_i].label);
	ck_assert_msg(request_is_held_(&q, CRASHING_REQUEST, segments, at) ==
			      request_cases[_i].crashing_held,
		      "crashing: %s", request_cases[_i].label);
	quarantine_finish(&q);
}
END_TEST

typedef struct check_step {
	step_kind_t kind;
	mstime_t at;
	uint32_t upstream;
	uint64_t request;
} check_step_t;

/* Which upstreams a node asks whether they go on, in order; 0 ends the list. */
static const struct {
	const char *label;
	check_step_t steps[4];
	mstime_t at;
	uint32_t checked[3];
} check_cases[] = {
	{ "none without a crash", { { STEP_END, 0, 0, 0 } }, 500, { 0 } },
	{ "not at once: answers may tell",
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST } },
	  200,
	  { 0 } },
	{ "the upstream that ended",
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST } },
	  500,
	  { 1 } },
	{ "each upstream", /* of a request that was sent on */
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST },
	    { STEP_LOST, 40, 2, CRASHING_REQUEST } },
	  500,
	  { 1, 2 } },
	{ "once for all requests that it ended under",
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST },
	    { STEP_LOST, 0, 1, BESIDE },
	    { STEP_LOST, 10, 1, BESIDE_TOO } },
	  500,
	  { 1 } },
	{ "none of which an answer has told",
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST }, { STEP_ALIVE, 300, 1, 0 } },
	  500,
	  { 0 } },
	{ "not when it may have been started again",
	  { { STEP_LOST, 0, 1, CRASHING_REQUEST } },
	  1100,
	  { 0 } },
};

START_TEST(test_check)
{
	mstime_t at = NOW + check_cases[_i].at;
	quarantine_t told;
	quarantine_t q;
	uint32_t upstream;

	quarantine_init(&q, 0, &silent, NULL);
	quarantine_init(&told, 0, &silent, NULL);
	for (const check_step_t *s = check_cases[_i].steps; s->kind != STEP_END;
	     s++) {
		quarantine_prompt_t p = { .request = s->request };

		if (s->kind == STEP_ALIVE)
			quarantine_record_alive(&q, s->upstream,
						NOW + s->at - 1, NOW + s->at);
		else
			quarantine_record_crash(&q, s->upstream, &p, false,
						NOW + s->at);
	}
	for (int i = 0; i < q.crash_count; i++) {
		quarantine_report_t r;

		quarantine_report_fill(&q, &r, at);
		quarantine_report_apply(&told, &r.message, at);
	}
	for (const uint32_t *u = check_cases[_i].checked; *u; u++) {
		ck_assert_msg(quarantine_next_check(&q, at, &upstream), "%s",
			      check_cases[_i].label);
		ck_assert_msg(upstream == *u, "%s: %u", check_cases[_i].label,
			      upstream);
	}
	ck_assert_msg(!quarantine_next_check(&q, at, &upstream), "%s: more",
		      check_cases[_i].label);
	ck_assert_msg(!quarantine_next_check(&told, at, &upstream),
		      "%s: by another node", check_cases[_i].label);
	quarantine_finish(&q);
	quarantine_finish(&told);
}
END_TEST

/*
 * A request that crashed five upstreams is held as long as it keeps coming, at
 * a node that sees it and at one that is only told; not after it stayed away.
 */
START_TEST(test_final)
{
	quarantine_prompt_t p = { .request = CRASHING_REQUEST };
	mstime_t now = NOW;
	mstime_t retry_ms;
	quarantine_t told;
	quarantine_t q;

	quarantine_init(&q, 0, &silent, NULL);
	quarantine_init(&told, 0, &silent, NULL);
	for (uint32_t i = 0; i < QUARANTINE_CRASHES_FINAL; i++)
		quarantine_record_crash(&q, i, &p, false, NOW + 300 * i);
	for (; now < NOW + 10 * QUARANTINE_KEEP_MS; now += 60000) {
		quarantine_report_t r;

		quarantine_tick(&q, now);
		quarantine_tick(&told, now);
		ck_assert(quarantine_check(&q, &p, NODES, now, &retry_ms));
		quarantine_report_fill(&q, &r, now);
		quarantine_report_apply(&told, &r.message, now);
		ck_assert(quarantine_is_held(&told, &p, now));
	}
	now += QUARANTINE_KEEP_MS + 1;
	quarantine_tick(&q, now);
	ck_assert(!quarantine_check(&q, &p, NODES, now, &retry_ms));
	quarantine_finish(&q);
	quarantine_finish(&told);
}
END_TEST

/* Many connections that break take no room from a request that is held. */
START_TEST(test_bounded_requests)
{
	quarantine_prompt_t p = { .request = CRASHING_REQUEST };
	quarantine_t q;

	quarantine_init(&q, 0, &silent, NULL);
	quarantine_record_crash(&q, 1, &p, false, NOW);
	quarantine_record_crash(&q, 2, &p, false, NOW + 500);
	for (uint32_t i = 0; i < 10000; i++) {
		quarantine_prompt_t other = { .request = 1000 + i };

		quarantine_record_crash(&q, 10 + i % 3, &other, false,
					NOW + 600 + i);
		quarantine_record_answer(&q, &other, NOW + 700 + i);
	}
	ck_assert_int_le(q.crash_count, QUARANTINE_CRASHES_MAX);
	ck_assert_uint_le(g_hash_table_size(q.answered_requests.map), 4096);
	ck_assert(quarantine_is_held(&q, &p, NOW + 20000));
	quarantine_finish(&q);
}
END_TEST

Suite *quarantine_suite(void)
{
	Suite *s = suite_create("quarantine");
	TCase *c = tcase_create("quarantine");

	tcase_add_loop_test(c, test_hold, 0, G_N_ELEMENTS(cases));
	tcase_add_test(c, test_order_of_reports);
	tcase_add_loop_test(c, test_trial, 0, 2);
	tcase_add_test(c, test_expires);
	tcase_add_test(c, test_bounded);
	tcase_add_test(c, test_cleared);
	tcase_add_test(c, test_report);
	tcase_add_loop_test(c, test_hold_request, 0,
			    G_N_ELEMENTS(request_cases));
	tcase_add_loop_test(c, test_check, 0, G_N_ELEMENTS(check_cases));
	tcase_add_test(c, test_final);
	tcase_add_test(c, test_bounded_requests);
	suite_add_tcase(s, c);
	return s;
}
