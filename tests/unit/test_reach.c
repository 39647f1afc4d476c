#include "suites.h"

#include <kcf/reach.h>

#define A 0xa1
#define B 0xb2
#define C 0xc3
#define STEPS_MAX 16

typedef enum step_kind {
	STEP_END,
	STEP_ANSWER,  /* at */
	STEP_SILENCE, /* at, of an attempt sent at the other time */
	STEP_REPORT,  /* at, of an answer at the other time */
	STEP_EXPECT,  /* the state at this time */
} step_kind_t;

typedef struct step {
	step_kind_t kind;
	mstime_t at;
	uint32_t upstream;
	mstime_t other;
	reach_state_t state;
} step_t;

#define ANSWER(at, upstream)                                                   \
	{                                                                      \
		STEP_ANSWER, at, upstream, 0, 0                                \
	}
#define SILENCE(at, upstream, sent)                                            \
	{                                                                      \
		STEP_SILENCE, at, upstream, sent, 0                            \
	}
#define REPORT(at, upstream, answered)                                         \
	{                                                                      \
		STEP_REPORT, at, upstream, answered, 0                         \
	}
#define EXPECT(at, state)                                                      \
	{                                                                      \
		STEP_EXPECT, at, 0, 0, state                                   \
	}

static const struct {
	const char *label;
	step_t steps[STEPS_MAX];
} cases[] = {
	{ "nothing is known",
	  { EXPECT(0, REACH_OPEN), EXPECT(9000, REACH_OPEN) } },
	{ "idle, others are answered",
	  { REPORT(100, A, 50), REPORT(600, B, 500), REPORT(1100, A, 1050),
	    EXPECT(2000, REACH_OPEN) } },
	{ "silent attempts without other nodes",
	  { ANSWER(0, A), SILENCE(700, A, 100), SILENCE(1200, B, 600),
	    SILENCE(1700, C, 1100), EXPECT(2000, REACH_OPEN) } },
	{ "one covered attempt is a doubt",
	  { ANSWER(0, A), SILENCE(700, A, 100), EXPECT(700, REACH_OPEN),
	    REPORT(800, A, 300), EXPECT(800, REACH_DOUBTFUL) } },
	{ "also if the report comes first",
	  { ANSWER(0, A), REPORT(400, A, 300), EXPECT(400, REACH_OPEN),
	    SILENCE(700, A, 100), EXPECT(700, REACH_DOUBTFUL) } },
	{ "an answer of any upstream ends it at once",
	  { ANSWER(0, A), SILENCE(700, A, 100), REPORT(800, A, 300),
	    EXPECT(800, REACH_DOUBTFUL), ANSWER(801, B),
	    EXPECT(801, REACH_OPEN), REPORT(900, A, 700),
	    EXPECT(900, REACH_OPEN), REPORT(1200, A, 1000),
	    EXPECT(1200, REACH_OPEN) } },
	{ "a doubt passes",
	  { SILENCE(700, A, 100), REPORT(800, A, 300),
	    EXPECT(100 + REACH_EVIDENCE_MS, REACH_DOUBTFUL),
	    EXPECT(101 + REACH_EVIDENCE_MS, REACH_OPEN) } },
	{ "reports older than the silence",
	  { ANSWER(0, A), REPORT(400, A, 380), REPORT(500, B, 490),
	    SILENCE(900, A, 400), SILENCE(1000, B, 500), REPORT(1300, A, 390),
	    EXPECT(1500, REACH_OPEN) } },
	{ "a report of another upstream says nothing of it",
	  { ANSWER(0, A), SILENCE(700, A, 100), REPORT(800, B, 300),
	    EXPECT(1000, REACH_OPEN) } },
	{ "echo of an answer to this node, its time on the network left out",
	  { ANSWER(100, A), SILENCE(700, A, 101), REPORT(710, A, 140),
	    EXPECT(1000, REACH_OPEN) } },
	{ "an attempt sent before the last answer",
	  { ANSWER(0, A), ANSWER(200, B), SILENCE(700, A, 100),
	    REPORT(800, A, 600), EXPECT(800, REACH_OPEN) } },
	{ "a broken stream that is older than the last answer",
	  { ANSWER(2900, A), SILENCE(3000, A, 200), SILENCE(3000, B, 300),
	    REPORT(3200, A, 3100), REPORT(3200, B, 3100),
	    EXPECT(3500, REACH_OPEN) } },
	{ "two upstreams, alternating with reports",
	  { ANSWER(0, A), SILENCE(700, A, 100), REPORT(750, A, 300),
	    SILENCE(1200, B, 600), EXPECT(1200, REACH_DOUBTFUL),
	    REPORT(1250, B, 750), EXPECT(1250, REACH_CUT) } },
	{ "the same, reports late and out of order",
	  { ANSWER(0, A), SILENCE(700, A, 100), SILENCE(1200, B, 600),
	    EXPECT(1200, REACH_OPEN), REPORT(1250, B, 750),
	    EXPECT(1250, REACH_DOUBTFUL), REPORT(1300, A, 300),
	    EXPECT(1300, REACH_CUT) } },
	{ "refused at once",
	  { ANSWER(0, A), SILENCE(100, A, 100), SILENCE(100, B, 100),
	    REPORT(400, A, 250), REPORT(400, B, 250),
	    EXPECT(400, REACH_DOUBTFUL), SILENCE(600, C, 600),
	    REPORT(800, C, 700), EXPECT(800, REACH_CUT) } },
	{ "no answer before: the node starts in a cut",
	  { SILENCE(700, A, 100), REPORT(750, A, 300), SILENCE(1200, B, 600),
	    REPORT(1250, B, 750), EXPECT(1250, REACH_CUT) } },
	{ "the only upstream that was tried",
	  { SILENCE(700, A, 100), REPORT(750, A, 300), SILENCE(1200, A, 600),
	    REPORT(1250, A, 750), EXPECT(1250, REACH_DOUBTFUL),
	    SILENCE(1700, A, 1100), REPORT(1750, A, 1250),
	    EXPECT(1750, REACH_CUT) } },
	{ "many attempts there before one report are one",
	  { SILENCE(700, A, 100), SILENCE(900, A, 300), SILENCE(1200, A, 600),
	    SILENCE(1400, A, 800), SILENCE(1700, A, 1100),
	    REPORT(1900, A, 1850), EXPECT(1900, REACH_DOUBTFUL) } },
	{ "one upstream crashed, the other is out of reach",
	  { SILENCE(100, A, 100), SILENCE(700, B, 100), REPORT(750, B, 300),
	    SILENCE(1200, B, 600), REPORT(1250, B, 750),
	    EXPECT(1250, REACH_DOUBTFUL), SILENCE(1700, B, 1100),
	    REPORT(1750, B, 1250), EXPECT(1750, REACH_CUT) } },
	{ "all were silent to all, and others are answered first",
	  { ANSWER(0, A), SILENCE(700, A, 100), SILENCE(1200, B, 600),
	    SILENCE(1700, C, 1100), EXPECT(2000, REACH_OPEN),
	    REPORT(2050, A, 2010), REPORT(2050, B, 2010), REPORT(2200, C, 2150),
	    REPORT(2250, A, 2200), EXPECT(2300, REACH_DOUBTFUL),
	    ANSWER(2400, B), EXPECT(2400, REACH_OPEN), REPORT(2500, A, 2390),
	    EXPECT(9000, REACH_OPEN) } },
	{ "evidence is too far apart",
	  { SILENCE(700, A, 100), REPORT(750, A, 300),
	    EXPECT(750, REACH_DOUBTFUL), SILENCE(4600, B, 4500),
	    REPORT(4750, B, 4700), EXPECT(4750, REACH_DOUBTFUL) } },
	{ "only an answer ends a cut while others are answered",
	  { SILENCE(700, A, 100), REPORT(750, A, 300), SILENCE(1200, B, 600),
	    REPORT(1250, B, 750), EXPECT(1250, REACH_CUT),
	    REPORT(5000, C, 4900), EXPECT(9000, REACH_CUT),
	    REPORT(9500, C, 9400), EXPECT(14000, REACH_CUT), ANSWER(14001, C),
	    EXPECT(14001, REACH_OPEN), REPORT(14100, A, 14090),
	    EXPECT(20000, REACH_OPEN) } },
	{ "or that nobody is answered any more",
	  { SILENCE(700, A, 100), REPORT(750, A, 300), SILENCE(1200, B, 600),
	    REPORT(1250, B, 750), EXPECT(750 + REACH_QUIET_MS, REACH_CUT),
	    EXPECT(751 + REACH_QUIET_MS, REACH_OPEN), REPORT(8000, A, 7900),
	    EXPECT(8000, REACH_OPEN) } },
	{ "cut, whole and cut again",
	  { SILENCE(700, A, 100), REPORT(750, A, 300), SILENCE(1200, B, 600),
	    REPORT(1250, B, 750), EXPECT(1250, REACH_CUT), ANSWER(1400, A),
	    EXPECT(1400, REACH_OPEN), SILENCE(2000, C, 1410),
	    REPORT(2100, C, 1800), EXPECT(2100, REACH_DOUBTFUL),
	    SILENCE(2500, A, 1900), REPORT(2550, A, 2050),
	    EXPECT(2550, REACH_CUT), ANSWER(2600, B),
	    EXPECT(2600, REACH_OPEN) } },
};

/* Where the clock of a case starts. */
static const mstime_t starts[] = { 0, 1, 777, 1000000, 1LL << 31, 1LL << 52 };

static void play_(const char *label, const step_t *steps, mstime_t start)
{
	mstime_t now = 0;
	reach_t r;

	reach_init(&r);
	for (const step_t *s = steps; s->kind != STEP_END; s++) {
		/* Updates in between change nothing but what is due. */
		for (; now < s->at; now += 10)
			reach_update(&r, start + now);
		now = s->at;
		if (s->kind == STEP_ANSWER)
			reach_record_answer(&r, s->upstream, start + now);
		else if (s->kind == STEP_SILENCE)
			reach_record_silence(&r, s->upstream, start + s->other,
					     start + now);
		else if (s->kind == STEP_REPORT)
			reach_record_report(&r, s->upstream, start + s->other);
		if (s->kind == STEP_ANSWER)
			ck_assert_int_eq(r.state, REACH_OPEN);
		reach_update(&r, start + now);
		ck_assert(!reach_update(&r, start + now));
		ck_assert_msg(s->kind != STEP_EXPECT || r.state == s->state,
			      "%s, from %lld: %s at %lld instead of %s", label,
			      (long long)start, reach_state_string[r.state],
			      (long long)now, reach_state_string[s->state]);
	}
	reach_finish(&r);
}

START_TEST(test_events)
{
	for (size_t i = 0; i < G_N_ELEMENTS(starts); i++)
		play_(cases[_i].label, cases[_i].steps, starts[i]);
}
END_TEST

#define UPSTREAMS 3
#define RUN_MS 14000
/* Another node gets an answer of each upstream this often, and reports it. */
#define REPORT_EACH_MS 150
/* Network time that a report's age leaves out. */
#define HOP_MS 20
/* An attempt is given up after this. */
#define GIVE_UP_MS 1500
#define FAST_MS 15
#define SLOW_MS 1200
#define RUNS 20
#define DECIDED_MS 2500

typedef enum cut_kind {
	CUT_NONE,
	CUT_SILENT,
	CUT_REFUSED,
	CUT_HALF_OPEN, /* refused, while a stream goes on */
	CUT_LOSSY,     /* each second attempt is lost */
} cut_kind_t;

typedef struct span {
	mstime_t from;
	mstime_t until;
} span_t;

/* A node that sends to three upstreams in turn, beside other nodes. */
static const struct {
	const char *label;
	double per_s;
	cut_kind_t kind;
	span_t cuts[2];	    /* of this node */
	mstime_t fails_ms;  /* until an attempt is refused or overdue */
	mstime_t gossip_ms; /* most until a report arrives */
	guint down;	    /* upstreams that are silent to all nodes */
	span_t downs[2];
	span_t slow;	    /* all upstreams take SLOW_MS */
	mstime_t report_ms; /* between reports of an upstream, if not usual */
	bool refuses;	    /* an upstream that is down refuses at once */
	bool alone;	    /* no other node */
	bool next;	    /* a failed request goes to the next upstream */
	bool never_cut;	    /* in no state but open and doubtful */
	bool never_doubt;   /* nor doubtful */
} runs[] = {
	{ "no fault", 2, .gossip_ms = 1000, .never_cut = true,
	  .never_doubt = true },
	{ "silent cut, 2 a second, late gossip",
	  2,
	  CUT_SILENT,
	  { { 4000, 9000 } },
	  .fails_ms = 1200,
	  .gossip_ms = 1000 },
	{ "silent cut, soon overdue",
	  2,
	  CUT_SILENT,
	  { { 4000, 9000 } },
	  .fails_ms = 100,
	  .gossip_ms = 1000 },
	{ "silent cut, requests go to the next upstream",
	  2,
	  CUT_SILENT,
	  { { 4000, 9000 } },
	  .fails_ms = 600,
	  .gossip_ms = 1000,
	  .next = true },
	{ "silent cut, many requests",
	  50,
	  CUT_SILENT,
	  { { 4000, 9000 } },
	  .fails_ms = 600,
	  .gossip_ms = 1000 },
	{ "reset cut",
	  2,
	  CUT_REFUSED,
	  { { 4000, 9000 } },
	  .fails_ms = 0,
	  .gossip_ms = 1000 },
	{ "reset cut, requests go to the next upstream",
	  2,
	  CUT_REFUSED,
	  { { 4000, 9000 } },
	  .fails_ms = 0,
	  .gossip_ms = 1000,
	  .next = true },
	{ "connects fail late",
	  2,
	  CUT_REFUSED,
	  { { 4000, 9000 } },
	  .fails_ms = 300,
	  .gossip_ms = 1000 },
	{ "cut of most nodes: few reports",
	  2,
	  CUT_SILENT,
	  { { 4000, 9000 } },
	  .fails_ms = 600,
	  .gossip_ms = 300,
	  .report_ms = 600 },
	{ "two cuts, shortly after each other",
	  2,
	  CUT_SILENT,
	  { { 3000, 6500 }, { 7500, 11500 } },
	  .fails_ms = 600,
	  .gossip_ms = 1000 },
	{ "start in a cut",
	  2,
	  CUT_SILENT,
	  { { 0, 5000 } },
	  .fails_ms = 1200,
	  .gossip_ms = 1000 },
	{ "cut, one upstream is down as well",
	  8,
	  CUT_SILENT,
	  { { 4000, 9000 } },
	  .fails_ms = 600,
	  .gossip_ms = 1000,
	  .down = 1,
	  .downs = { { 4500, 13000 } } },
	{ "cut that goes on in an outage",
	  8,
	  CUT_SILENT,
	  { { 3000, 7000 } },
	  .fails_ms = 600,
	  .gossip_ms = 1000,
	  .down = UPSTREAMS,
	  .downs = { { 6500, 13500 } } },
	{ "half open",
	  2,
	  CUT_HALF_OPEN,
	  { { 4000, 9000 } },
	  .fails_ms = 0,
	  .gossip_ms = 1000,
	  .never_cut = true },
	{ "lossy",
	  4,
	  CUT_LOSSY,
	  { { 4000, 9000 } },
	  .fails_ms = 600,
	  .gossip_ms = 1000,
	  .never_cut = true },
	{ "cut, and no other nodes",
	  2,
	  CUT_SILENT,
	  { { 4000, 9000 } },
	  .fails_ms = 600,
	  .alone = true,
	  .never_cut = true,
	  .never_doubt = true },
	{ "one upstream is silent for 0.8 s", 2, .fails_ms = 600,
	  .gossip_ms = 1000, .down = 1,
	  .downs = { { 4000, 4800 }, { 6000, 6800 } }, .never_cut = true },
	{ "for 1.8 s", 2, .fails_ms = 600, .gossip_ms = 1000, .down = 1,
	  .downs = { { 4000, 5800 }, { 7000, 8800 } }, .never_cut = true },
	{ "for 1.8 s, many requests, soon overdue", 50, .fails_ms = 100,
	  .gossip_ms = 1000, .down = 1,
	  .downs = { { 4000, 5800 }, { 7000, 8800 } }, .never_cut = true },
	{ "one upstream crashed", 2, .gossip_ms = 1000, .down = 1,
	  .downs = { { 4000, RUN_MS } }, .refuses = true, .never_cut = true,
	  .never_doubt = true },
	{ "all upstreams crashed", 2, .gossip_ms = 1000, .down = UPSTREAMS,
	  .downs = { { 4000, RUN_MS } }, .refuses = true, .never_cut = true,
	  .never_doubt = true },
	{ "all upstreams crashed and come back", 2, .gossip_ms = 1000,
	  .down = UPSTREAMS, .downs = { { 3000, 5000 }, { 8000, 11000 } },
	  .refuses = true, .never_cut = true },
	{ "all upstreams fall silent and go on", 2, .fails_ms = 600,
	  .gossip_ms = 1000, .down = UPSTREAMS,
	  .downs = { { 3000, 4800 }, { 8000, 11000 } }, .never_cut = true },
	{ "the same, many requests and fast gossip", 50, .fails_ms = 100,
	  .gossip_ms = 0, .down = UPSTREAMS,
	  .downs = { { 3000, 4800 }, { 8000, 11000 } }, .never_cut = true },
	{ "all upstreams are suddenly slow", 2, .fails_ms = 600,
	  .gossip_ms = 1000, .slow = { 4000, 9000 }, .never_cut = true },
	{ "the same, many requests", 50, .fails_ms = 600, .gossip_ms = 1000,
	  .slow = { 4000, 9000 }, .never_cut = true },
	{ "no requests", 0, .gossip_ms = 1000, .never_cut = true,
	  .never_doubt = true },
};

/* What is to come. */
typedef struct event {
	step_kind_t kind;
	mstime_t at;
	guint upstream;
	mstime_t other;
	guint tries;
} event_t;

typedef struct world {
	GRand *rand;
	GArray *events; /* event_t, in any order */
	guint turn;	/* upstream of the next attempt */
	guint sent;
	guint tries; /* of the request of the next attempt, before it */
} world_t;

static bool is_in_(const span_t *spans, guint count, mstime_t t)
{
	for (guint i = 0; i < count; i++) {
		if (spans[i].from <= t && t < spans[i].until)
			return true;
	}
	return false;
}

static bool is_cut_(int run, mstime_t t)
{
	return is_in_(runs[run].cuts, 2, t);
}

static bool is_down_(int run, guint upstream, mstime_t t)
{
	return upstream < runs[run].down && is_in_(runs[run].downs, 2, t);
}

static mstime_t latency_(int run, mstime_t t)
{
	return is_in_(&runs[run].slow, 1, t) ? SLOW_MS : FAST_MS;
}

static void plan_(world_t *w, step_kind_t kind, mstime_t at, guint upstream,
		  mstime_t other)
{
	event_t e = { kind, at, upstream, other, w->tries };

	g_array_append_val(w->events, e);
}

static void plan_report_(world_t *w, int run, guint upstream, mstime_t at)
{
	gint32 most = (gint32)runs[run].gossip_ms;

	plan_(w, STEP_REPORT,
	      at + g_rand_int_range(w->rand, HOP_MS, HOP_MS + most + 1),
	      upstream, at + HOP_MS);
}

/* When an upstream that is asked at a time answers. */
static mstime_t answer_at_(int run, guint upstream, mstime_t t)
{
	mstime_t at = t + latency_(run, t);

	while (is_down_(run, upstream, at))
		at++;
	return at;
}

static bool is_lost_(const world_t *w, int run, mstime_t sent_at, mstime_t at)
{
	if (runs[run].kind == CUT_LOSSY)
		return is_cut_(run, sent_at) && w->sent % 2;
	return is_cut_(run, sent_at) || is_cut_(run, at);
}

static void send_(world_t *w, int run, guint tries, mstime_t now)
{
	guint upstream = w->turn++ % UPSTREAMS;
	mstime_t fails_at = now + runs[run].fails_ms;
	mstime_t at = answer_at_(run, upstream, now);
	bool lost = is_lost_(w, run, now, at);

	w->sent++;
	w->tries = tries + 1;
	if (runs[run].refuses && is_down_(run, upstream, now)) {
		plan_(w, STEP_SILENCE, now, upstream, now);
		return;
	}
	if (lost || (at > fails_at && runs[run].fails_ms))
		plan_(w, STEP_SILENCE, fails_at, upstream, now);
	if (lost || at > now + GIVE_UP_MS)
		return;
	plan_(w, STEP_ANSWER, at, upstream, 0);
	if (!runs[run].alone)
		plan_report_(w, run, upstream, at);
}

/* Lets all nodes do what is due. */
static void act_(world_t *w, int run, reach_t *r, mstime_t phase, mstime_t now)
{
	double per_s = runs[run].per_s;
	mstime_t spacing = per_s > 0 ? (mstime_t)(MSEC_PER_SEC / per_s) : 0;
	mstime_t each =
		runs[run].report_ms ? runs[run].report_ms : REPORT_EACH_MS;
	bool due = spacing && now % spacing == phase % spacing;

	for (guint i = 0; i < UPSTREAMS && !runs[run].alone; i++) {
		mstime_t at = now + latency_(run, now);

		if ((now + i * 40) % each == 0 && !is_down_(run, i, now) &&
		    !is_down_(run, i, at))
			plan_report_(w, run, i, at);
	}
	if (runs[run].kind == CUT_HALF_OPEN && now % 200 == 0)
		plan_(w, STEP_ANSWER, now, 0, 0);
	if (reach_probe_due(r, now) || (r->state != REACH_CUT && due))
		send_(w, run, 0, now);
}

static void apply_(world_t *w, int run, reach_t *r, mstime_t now)
{
	for (guint i = 0; i < w->events->len; i++) {
		event_t e = g_array_index(w->events, event_t, i);

		if (e.at > now)
			continue;
		g_array_remove_index_fast(w->events, i--);
		if (e.kind == STEP_ANSWER)
			reach_record_answer(r, e.upstream, now);
		else if (e.kind == STEP_REPORT)
			reach_record_report(r, e.upstream, e.other);
		else
			reach_record_silence(r, e.upstream, e.other, now);
		if (e.kind == STEP_SILENCE && runs[run].next &&
		    e.tries < UPSTREAMS)
			send_(w, run, e.tries, now);
	}
}

static bool must_be_cut_(int run, mstime_t t)
{
	for (guint i = 0; i < 2; i++) {
		const span_t *cut = &runs[run].cuts[i];

		if (!runs[run].never_cut && t >= cut->from + DECIDED_MS &&
		    t < cut->until)
			return true;
	}
	return false;
}

/*
 * A cut is left as a probe is answered, or in an outage some time after the
 * last report.
 */
static bool may_be_cut_(int run, mstime_t t)
{
	mstime_t later = REACH_PROBE_MS * (runs[run].down + 1) + 2 * FAST_MS;

	if (runs[run].down == UPSTREAMS)
		later = REACH_QUIET_MS;
	for (guint i = 0; i < 2; i++) {
		const span_t *cut = &runs[run].cuts[i];

		if (!runs[run].never_cut && t >= cut->from &&
		    t < cut->until + later)
			return true;
	}
	return false;
}

static void check_(int run, const reach_t *r, mstime_t phase, mstime_t now)
{
	bool right = r->state == REACH_CUT ? may_be_cut_(run, now)
					   : !must_be_cut_(run, now);

	if (runs[run].never_doubt)
		right = r->state == REACH_OPEN;
	ck_assert_msg(right, "%s, phase %lld: %s at %lld", runs[run].label,
		      (long long)phase, reach_state_string[r->state],
		      (long long)now);
}

START_TEST(test_fleet)
{
	for (guint32 seed = 0; seed < RUNS; seed++) {
		mstime_t phase = 1 + (mstime_t)seed * 500 / RUNS;
		world_t w = { g_rand_new_with_seed(seed),
			      g_array_new(FALSE, FALSE, sizeof(event_t)), seed,
			      0, 0 };
		reach_t r;

		reach_init(&r);
		for (mstime_t now = 0; now < RUN_MS; now++) {
			apply_(&w, _i, &r, now);
			reach_update(&r, now);
			act_(&w, _i, &r, phase, now);
			check_(_i, &r, phase, now);
		}
		reach_finish(&r);
		g_array_unref(w.events);
		g_rand_free(w.rand);
	}
}
END_TEST

/* Time that cut_ takes. */
#define CUT_MS 130

/* Brings a node into a cut as soon as can be. */
static void cut_(reach_t *r, mstime_t start)
{
	reach_record_silence(r, A, start + 1, start + 1);
	reach_record_report(r, A, start + 60);
	reach_record_silence(r, B, start + 70, start + 70);
	reach_record_report(r, B, start + CUT_MS);
	ck_assert(reach_update(r, start + CUT_MS));
	ck_assert_int_eq(r->state, REACH_CUT);
}

START_TEST(test_probes)
{
	mstime_t start = starts[_i];
	mstime_t last = start;
	reach_t r;
	int count = 0;

	reach_init(&r);
	ck_assert(!reach_probe_due(&r, start));
	cut_(&r, start);
	for (int i = 0; i < 10 * REACH_PROBE_MS; i++) {
		mstime_t now = start + CUT_MS + i;

		if (i % MSEC_PER_SEC == 0)
			reach_record_report(&r, A, now);
		reach_update(&r, now);
		if (!reach_probe_due(&r, now))
			continue;
		ck_assert(!count || now - last == REACH_PROBE_MS);
		last = now;
		count++;
	}
	ck_assert_int_eq(count, 10);
	/* A cut that ends and comes again keeps the interval. */
	reach_record_answer(&r, A, last + 10);
	ck_assert(!reach_probe_due(&r, last + REACH_PROBE_MS));
	ck_assert(reach_update(&r, last + 10));
	cut_(&r, last + 10);
	ck_assert(!reach_probe_due(&r, last + 10 + CUT_MS));
	ck_assert(!reach_probe_due(&r, last + REACH_PROBE_MS - 1));
	ck_assert(reach_probe_due(&r, last + REACH_PROBE_MS));
	reach_finish(&r);
}
END_TEST

/* Upstreams of a fleet in which all are started again and again. */
START_TEST(test_bounded)
{
	mstime_t start = starts[_i];
	uint32_t key = 1;
	reach_t r;

	reach_init(&r);
	for (mstime_t t = 1; t < 20000; t += 10) {
		for (int i = 0; i < 20; i++, key++) {
			reach_record_silence(&r, key, start + t, start + t);
			reach_record_report(&r, key + 7, start + t);
		}
		ck_assert_uint_le(g_hash_table_size(r.upstreams),
				  REACH_UPSTREAMS_MAX);
		reach_update(&r, start + t);
	}
	ck_assert_uint_gt(g_hash_table_size(r.upstreams), 0);
	reach_update(&r, start + 20000 + REACH_EVIDENCE_MS);
	ck_assert_uint_eq(g_hash_table_size(r.upstreams), 0);
	/* One upstream, without an update. */
	for (mstime_t t = 30000; t < 60000; t++) {
		reach_record_silence(&r, A, start + t, start + t);
		reach_record_report(&r, A, start + t + 1);
		reach_record_report(&r, A, start + t - t * 7919 % 3000);
	}
	ck_assert_uint_eq(g_hash_table_size(r.upstreams), 1);
	reach_update(&r, start + 60000);
	ck_assert_int_eq(r.state, REACH_CUT);
	/* An answer makes all of it old. */
	reach_record_answer(&r, A, start + 60001);
	reach_update(&r, start + 60001);
	ck_assert_int_eq(r.state, REACH_OPEN);
	ck_assert_uint_eq(g_hash_table_size(r.upstreams), 0);
	reach_finish(&r);
}
END_TEST

Suite *reach_suite(void)
{
	Suite *s = suite_create("reach");
	TCase *c = tcase_create("reach");

	tcase_set_timeout(c, 60);
	tcase_add_loop_test(c, test_events, 0, G_N_ELEMENTS(cases));
	tcase_add_loop_test(c, test_fleet, 0, G_N_ELEMENTS(runs));
	tcase_add_loop_test(c, test_probes, 0, G_N_ELEMENTS(starts));
	tcase_add_loop_test(c, test_bounded, 0, G_N_ELEMENTS(starts));
	suite_add_tcase(s, c);
	return s;
}
