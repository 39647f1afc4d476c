/*
 * The steps of a roll-out, and the choice of a version for each request.
 */
#include <kcf/rollout.h>

#include <assert.h>
#include <math.h>

const char *const rollout_phase_string[] = {
	"unknown",    "observe",   "ramp",     "full",
	"completing", "completed", "reverted",
};

/*
 * The duration ends with a margin for a slow log, before that all requests go
 * to the new version until none is left at the old one, and before that is the
 * ramp. The rest, more than half, is left to observe a small share. Each part
 * is a fraction of the duration between two limits.
 */
#define MARGIN_FRACTION 0.12
#define MARGIN_MIN_MS 1200
#define MARGIN_MAX_MS 3000
/*
 * Requests of the old version end within some multiples of their mean time.
 * Longer than needed would expose more callers to a version that turns bad when
 * it has all requests.
 */
#define DRAIN_MEANS 3
#define DRAIN_MORE_MS 400
#define DRAIN_FRACTION 0.25
/* Time for the news of a bad answer to come: datagrams, and one answer. */
#define STEP_FRACTION 0.033
#define STEP_MIN_MS 300
#define STEP_MAX_MS 1000
/* For a ramp that begins late, since upstreams were late or cold. */
#define STEP_LATE_MS 200
/* All requests are at the new version for this long before `completed`. */
#define FULL_FRACTION 0.04
#define FULL_MIN_MS 500
#define FULL_MAX_MS 1500
/* Answers in that time, if there are so many requests. */
#define FULL_ANSWERS 20
/* Later than this before the end nothing is waited for any more. */
#define LAST_FRACTION 0.06
#define LAST_MIN_MS 700
#define LAST_MAX_MS 1000
/* Least time under observation, if the new upstreams come late. */
#define OBSERVE_MIN_MS 1500
/* The rate of requests is not known before. */
#define MEASURE_MS 500
/*
 * Part of the limit on requests that the observation may use. The ramp needs
 * about 0.3 of it, and the requests of half a second at full share less than
 * the rest.
 */
#define OBSERVE_PART 0.16
/* Largest share that is observed: both versions are to be compared. */
#define OBSERVE_SHARE_MAX 0.34
/* Requests ahead of an even use of the observation's part. */
#define OBSERVE_AHEAD_MS 800
#define OBSERVE_AHEAD 2.0
/* The last answers are also judged alone, of one to two times this time. */
#define WINDOW_MS 1500
/* Parts of the observed share, and good answers before the next one. */
static const struct {
	double part;
	uint32_t answers;
} observe_steps[] = { { 0.5, 3 }, { 1.0, 10 }, { 1.5, UINT32_MAX } };
static const double ramp_shares[] = { 0.08, 0.2, 0.45, 1.0 };
/* The step that a doubt at full share leads back to. */
#define DOUBT_STEP 1
/* A step of the ramp may use this much more than its share. */
#define RAMP_EXCESS 1.3
/* One answer in this many requests must be in before the next step. */
#define ANSWERED_ONE_IN 4
#define ANSWERED_WAIT_STEPS 3
/* Room of warm upstreams, in multiples of what is outstanding. */
#define ROOM_FACTOR 1.2
/* As much room as the old ones have, but for a few, is enough in any case. */
#define ROOM_PART 0.9
/* Steps of the node before that this one may not have heard of. */
#define SEQ_AHEAD 16
/* A share that is held is held for this long: each change is told to all. */
#define HOLD_MS 500
/* A lease bridges the loss of some messages. */
#define LEASE_FRACTION 0.3
#define LEASE_MIN_MS 500
#define LEASE_MAX_MS 1500
/* Requests that a node may catch up on at once. */
#define CREDIT_MAX 3.0
/* From this credit on a prompt of any hash is taken. */
#define CREDIT_ANY 2.0
/* Prompts among which a share is selected, in multiples of it: a few popular
 * ones may be outside.
 */
#define POSITIONS_FACTOR 2.0

static mstime_t part_(const rollout_t *r, double fraction, mstime_t least,
		      mstime_t most)
{
	return CLAMP((mstime_t)(fraction * (double)r->duration_ms), least,
		     most);
}

static mstime_t end_(const rollout_t *r)
{
	return r->started_at + r->duration_ms;
}

static mstime_t step_ms_(const rollout_t *r)
{
	return part_(r, STEP_FRACTION, STEP_MIN_MS, STEP_MAX_MS);
}

/* When the status should be written. */
static mstime_t write_at_(const rollout_t *r)
{
	return end_(r) -
	       part_(r, MARGIN_FRACTION, MARGIN_MIN_MS, MARGIN_MAX_MS);
}

/* After it, whatever is decided is written. */
static mstime_t last_at_(const rollout_t *r)
{
	return end_(r) - part_(r, LAST_FRACTION, LAST_MIN_MS, LAST_MAX_MS);
}

static mstime_t ramp_at_(const rollout_t *r)
{
	mstime_t longest = part_(r, DRAIN_FRACTION, 0, r->duration_ms);
	mstime_t at = write_at_(r) - MIN(r->drain_ms, longest) -
		      step_ms_(r) * ((int)G_N_ELEMENTS(ramp_shares) - 1);

	return MAX(at, r->started_at);
}

void rollout_init(rollout_t *r, const rollout_bounds_t *bounds,
		  mstime_t duration_ms, double phase_offset, mstime_t now)
{
	assert(r && bounds);
	*r = (rollout_t){ .bounds = *bounds,
			  .duration_ms = duration_ms,
			  .started_at = now,
			  .counted_from = now,
			  .phase_since = now,
			  .step_since = now,
			  .reason = "order",
			  .credit = phase_offset };
}

mstime_t rollout_lease_ms(const rollout_t *r)
{
	assert(r);
	return CLAMP((mstime_t)(LEASE_FRACTION * (double)r->bounds.rollback_ms),
		     LEASE_MIN_MS, LEASE_MAX_MS);
}

static bool is_final_(rollout_phase_t phase)
{
	return phase == ROLLOUT_COMPLETED || phase == ROLLOUT_REVERTED;
}

static void enter_(rollout_t *r, rollout_phase_t phase, double share,
		   const char *reason, mstime_t now)
{
	if (r->phase != phase)
		r->phase_since = now;
	r->phase = phase;
	r->share = share;
	r->held = false;
	r->reason = reason;
	r->step_since = now;
	r->seq++;
}

void rollout_begin(rollout_t *r, mstime_t now)
{
	assert(r);
	if (r->phase == ROLLOUT_UNKNOWN)
		enter_(r, ROLLOUT_OBSERVE, 0, "no earlier state", now);
}

void rollout_take_over(rollout_t *r, mstime_t now)
{
	assert(r);
	r->seq += SEQ_AHEAD;
	if (r->phase == ROLLOUT_RAMP || r->phase == ROLLOUT_FULL ||
	    r->phase == ROLLOUT_COMPLETING) {
		r->ramp_step = 0;
		enter_(r, ROLLOUT_RAMP, ramp_shares[0],
		       "another node decided before", now);
	}
}

static uint32_t requests_(const rollout_t *r, const rollout_view_t *v,
			  rollout_side_t side)
{
	return MAX(v->sum.requests[side], r->floor[side]);
}

static uint32_t count_answers_(const rollout_tally_t *t)
{
	uint32_t n = 0;

	for (guint i = 0; i < t->route_count; i++)
		n += t->routes[i].sides[ROLLOUT_NEW].answered;
	return n;
}

static uint32_t answers_(const rollout_view_t *v)
{
	return count_answers_(&v->sum);
}

/* Of the new version in this step of the ramp. */
static uint32_t step_answers_(const rollout_t *r, const rollout_view_t *v)
{
	uint32_t before = count_answers_(&r->before);

	return answers_(v) - MIN(answers_(v), before);
}

/* Requests of the service a millisecond, 0 while unknown. */
static double rate_(const rollout_t *r, const rollout_view_t *v, mstime_t now)
{
	mstime_t elapsed = now - r->counted_from;

	if (elapsed < MEASURE_MS)
		return 0;
	return ((double)requests_(r, v, ROLLOUT_OLD) +
		requests_(r, v, ROLLOUT_NEW)) /
	       (double)elapsed;
}

/* Requests that the observation may use. */
static double observe_cap_(const rollout_t *r, double rate)
{
	return OBSERVE_PART * (r->bounds.share * rate * (double)r->duration_ms +
			       r->bounds.tolerance);
}

static double observe_ms_(const rollout_t *r)
{
	return (double)MAX(OBSERVE_MIN_MS, ramp_at_(r) - r->observed_since);
}

static double observe_share_(const rollout_t *r, double rate, uint32_t answers)
{
	double even = rate > 0 ? observe_cap_(r, rate) / (rate * observe_ms_(r))
			       : OBSERVE_SHARE_MAX;
	size_t i = 0;

	while (answers >= observe_steps[i].answers)
		i++;
	return MIN(OBSERVE_SHARE_MAX, even * observe_steps[i].part);
}

static bool is_allowance_left_(const rollout_t *r, const rollout_view_t *v,
			       double rate, mstime_t now)
{
	double used = requests_(r, v, ROLLOUT_NEW);
	double since = (double)(now - r->observed_since);

	if (r->phase == ROLLOUT_OBSERVE)
		return used <
		       OBSERVE_AHEAD +
			       observe_cap_(r, rate) *
				       MIN(1, (since + OBSERVE_AHEAD_MS) /
						      observe_ms_(r));
	if (r->phase == ROLLOUT_RAMP) {
		since = (double)MAX(now - r->step_since, step_ms_(r));
		return used - r->before.requests[ROLLOUT_NEW] <
		       OBSERVE_AHEAD + rate * r->share * RAMP_EXCESS * since;
	}
	return true;
}

static void begin_step_(rollout_t *r, const rollout_view_t *v)
{
	r->before = v->sum;
	r->before.requests[ROLLOUT_NEW] = requests_(r, v, ROLLOUT_NEW);
}

static bool has_room_(const rollout_t *r, const rollout_view_t *v, double share,
		      mstime_t now)
{
	double needed = MIN(v->demand * ROOM_FACTOR, v->old_slots * ROOM_PART);

	if (v->new_warm_slots > 0 && v->new_warm_slots >= needed * share)
		return true;
	return v->cold_per_s > 0 &&
	       v->cold_per_s >=
		       rate_(r, v, now) * MSEC_PER_SEC * share * ROOM_FACTOR;
}

/* Whether enough answers of this step are in to judge it. */
static bool is_step_judged_(const rollout_t *r, const rollout_view_t *v,
			    mstime_t now)
{
	uint32_t sent =
		requests_(r, v, ROLLOUT_NEW) - r->before.requests[ROLLOUT_NEW];
	uint32_t answered = step_answers_(r, v);

	return answered * ANSWERED_ONE_IN >= sent ||
	       now - r->step_since >= step_ms_(r) * ANSWERED_WAIT_STEPS;
}

/* Of a ramp that has begun. */
static mstime_t ramp_step_ms_(const rollout_t *r)
{
	mstime_t left = last_at_(r) - r->drain_ms - r->phase_since;

	return CLAMP(left / ((int)G_N_ELEMENTS(ramp_shares) - 1), STEP_LATE_MS,
		     step_ms_(r));
}

/* Until when a step may wait, if so many others follow. */
static mstime_t latest_(const rollout_t *r, int others)
{
	return last_at_(r) - r->drain_ms - others * STEP_LATE_MS;
}

/* The next share of the ramp that is above the present one. */
static void ramp_up_(rollout_t *r, const rollout_view_t *v, mstime_t now)
{
	int last = (int)G_N_ELEMENTS(ramp_shares) - 1;
	int next = r->phase == ROLLOUT_RAMP ? r->ramp_step + 1 : 0;

	while (next < last && ramp_shares[next] <= r->share)
		next++;
	if (!has_room_(r, v, ramp_shares[next], now) ||
	    (now < latest_(r, last - next) && rollout_is_doubtful(&v->sum)))
		return;
	r->ramp_step = next;
	enter_(r, next < last ? ROLLOUT_RAMP : ROLLOUT_FULL, ramp_shares[next],
	       "nothing against the new version", now);
	begin_step_(r, v);
}

/* Goes back to a smaller share until a doubt is over, if there is time left. */
static bool ramp_down_(rollout_t *r, const rollout_view_t *v, mstime_t now)
{
	int last = (int)G_N_ELEMENTS(ramp_shares) - 1;

	if (now >= latest_(r, last - DOUBT_STEP) ||
	    !rollout_is_doubtful(&v->sum))
		return false;
	r->ramp_step = DOUBT_STEP;
	enter_(r, ROLLOUT_RAMP, ramp_shares[DOUBT_STEP], "in doubt", now);
	begin_step_(r, v);
	return true;
}

static void observe_(rollout_t *r, const rollout_view_t *v, double rate,
		     mstime_t now)
{
	double share;

	if (!r->observed_since && v->new_upstreams)
		r->observed_since = now;
	if (!r->observed_since || now - r->counted_from < MEASURE_MS)
		return;
	if (now >= ramp_at_(r) && now - r->observed_since >= OBSERVE_MIN_MS) {
		ramp_up_(r, v, now);
		if (r->phase != ROLLOUT_OBSERVE)
			return;
	}
	share = observe_share_(r, rate, answers_(v));
	/* A share that only follows the rate is no step. */
	if (r->share > 0 && fabs(share - r->share) < r->share / 4)
		return;
	enter_(r, ROLLOUT_OBSERVE, share, "share to observe", now);
}

static bool is_proven_(const rollout_t *r, const rollout_view_t *v)
{
	/* Without any request nobody is harmed, and nothing can be learned. */
	return answers_(v) > 0 ||
	       (!requests_(r, v, ROLLOUT_NEW) && !requests_(r, v, ROLLOUT_OLD));
}

static void full_(rollout_t *r, const rollout_view_t *v, mstime_t now)
{
	const rollout_tally_t *sum = &v->sum;
	mstime_t least = part_(r, FULL_FRACTION, FULL_MIN_MS, FULL_MAX_MS);
	const char *reason = NULL;

	if (!is_proven_(r, v) || now - r->phase_since < FULL_MIN_MS)
		return;
	if (v->all_follow && !sum->open_once && !sum->open_streams &&
	    now - r->phase_since >= least &&
	    ((step_answers_(r, v) >= FULL_ANSWERS &&
	      !rollout_is_doubtful(sum)) ||
	     now >= write_at_(r)))
		reason = "all requests are at the new version";
	else if (v->all_follow && !sum->open_once && now >= write_at_(r))
		reason = "only streams are left at the old version";
	else if (now >= last_at_(r))
		reason = v->all_follow ? "time is up, requests are left"
				       : "time is up, some node is silent";
	if (reason)
		enter_(r, ROLLOUT_COMPLETING, 1, reason, now);
}

static const char *late_reason_(const rollout_t *r, const rollout_view_t *v,
				mstime_t now)
{
	if (!r->observed_since)
		return "no upstream of the new version";
	if (!is_proven_(r, v))
		return "no answer of the new version";
	if (!has_room_(r, v, 1, now))
		return "too few warm upstreams";
	return "time is up";
}

/* Whether a step is due that ends the roll-out at the old version. */
static const char *revert_reason_(const rollout_t *r, const rollout_view_t *v,
				  mstime_t now)
{
	bool single = v->new_upstreams < 2;
	const char *fault = rollout_find_fault(&v->sum, NULL, single);

	if (!fault)
		fault = rollout_find_fault(&v->sum, &r->before, single);
	if (fault)
		return fault;
	if (now < last_at_(r) || r->phase == ROLLOUT_COMPLETING)
		return NULL;
	if (r->phase != ROLLOUT_FULL || !is_proven_(r, v))
		return late_reason_(r, v, now);
	return NULL;
}

/* Forgets the good answers of long ago. */
static void move_window_(rollout_t *r, const rollout_view_t *v, mstime_t now)
{
	if (r->phase != ROLLOUT_OBSERVE || now - r->window_at < WINDOW_MS)
		return;
	r->before = r->window;
	r->window = v->sum;
	r->window_at = now;
}

static void measure_drain_(rollout_t *r, const rollout_view_t *v)
{
	mstime_t longest = 0;

	for (guint i = 0; i < v->sum.route_count; i++)
		longest = MAX(
			longest,
			(mstime_t)rollout_pace_of(&v->sum.routes[i]).whole_ms);
	r->drain_ms = longest * DRAIN_MEANS + DRAIN_MORE_MS +
		      part_(r, FULL_FRACTION, FULL_MIN_MS, FULL_MAX_MS);
}

bool rollout_decide(rollout_t *r, const rollout_view_t *v, mstime_t now)
{
	uint32_t before;
	const char *reason;
	double rate;
	bool held;

	assert(r && v);
	before = r->seq;
	if (is_final_(r->phase) || r->phase == ROLLOUT_UNKNOWN)
		return false;
	rate = rate_(r, v, now);
	measure_drain_(r, v);
	move_window_(r, v, now);
	for (int side = 0; side < ROLLOUT_SIDE_COUNT; side++)
		r->floor[side] = requests_(r, v, side);
	reason = revert_reason_(r, v, now);
	if (reason) {
		enter_(r, ROLLOUT_REVERTED, 0, reason, now);
		return true;
	}
	if (r->phase == ROLLOUT_OBSERVE)
		observe_(r, v, rate, now);
	else if (r->phase == ROLLOUT_RAMP &&
		 now - r->step_since >= ramp_step_ms_(r) &&
		 is_step_judged_(r, v, now))
		ramp_up_(r, v, now);
	else if (r->phase == ROLLOUT_FULL && !ramp_down_(r, v, now))
		full_(r, v, now);
	held = r->share > 0 && !is_allowance_left_(r, v, rate, now);
	if (held && !r->held)
		r->held_at = now;
	if (held != r->held && (held || now - r->held_at >= HOLD_MS)) {
		r->held = held;
		r->seq++;
	}
	return r->seq != before;
}

bool rollout_adopt(rollout_t *r, const rollout_state_t *s, mstime_t now)
{
	rollout_phase_t before;

	assert(r && s);
	before = r->phase;
	if (is_final_(r->phase) || s->phase == ROLLOUT_UNKNOWN)
		return false;
	if (r->phase != s->phase)
		r->phase_since = now;
	r->phase = s->phase;
	r->share = s->share;
	r->held = false;
	r->seq = s->seq;
	r->reason = "told by another node";
	r->started_at = r->start_assumed ? now - s->age_ms
					 : MIN(r->started_at, now - s->age_ms);
	r->start_assumed = false;
	if (!r->observed_since && s->requests[ROLLOUT_NEW])
		r->observed_since = now;
	for (int side = 0; side < ROLLOUT_SIDE_COUNT; side++)
		r->floor[side] = MAX(r->floor[side], s->requests[side]);
	r->lease_until = now + rollout_lease_ms(r);
	return r->phase != before;
}

void rollout_settle(rollout_t *r, rollout_phase_t phase, mstime_t now)
{
	assert(r && is_final_(phase));
	if (r->phase == phase)
		return;
	enter_(r, phase, phase == ROLLOUT_COMPLETED,
	       "record in the platform's log", now);
}

rollout_side_t rollout_choose(rollout_t *r, double position, mstime_t now)
{
	assert(r);
	if (r->phase == ROLLOUT_COMPLETED)
		return ROLLOUT_NEW;
	if (is_final_(r->phase) || r->held || now >= r->lease_until)
		return ROLLOUT_OLD;
	if (r->share >= 1)
		return ROLLOUT_NEW;
	r->credit = MIN(CREDIT_MAX, r->credit + r->share);
	if (r->credit < 1)
		return ROLLOUT_OLD;
	if (position >= r->share * POSITIONS_FACTOR && r->credit < CREDIT_ANY)
		return ROLLOUT_OLD;
	r->credit -= 1;
	return ROLLOUT_NEW;
}
