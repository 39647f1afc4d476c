#include <kcf/work.h>

#include <assert.h>
#include <glib.h>
#include <math.h>

/*
 * A pace changes about every 600 ms, so a report of this age says nothing about
 * the present one. Before, the chance that it still holds falls evenly.
 */
#define PACE_VALID_MS 600.0
/* Paces above this are taken for errors of the upstream. */
#define PACE_MAX 1000
/* Longer than the pauses between reports in a fleet with little traffic. */
#define REPORTED_VALID_MS 5000
/*
 * Prefill rate before the first sample: the lowest one observed. A rate that is
 * too low only makes a node more careful with prompts that are not cached.
 */
#define RATE_INITIAL 50.0
/*
 * Rates outside of this range do not come from a prefill: below, the request
 * has waited; above, the prompt was cached or copied. 51 to 157 tokens/ms were
 * observed.
 */
#define RATE_MIN 20.0
#define RATE_MAX 250.0
/*
 * A prompt that seems to be prefilled faster than this multiple of the rate was
 * cached, and its request has waited.
 */
#define COLD_RATE_FACTOR 1.5
/* With fewer tokens, the time without prefill hides the rate. */
#define RATE_SAMPLE_MIN_TOKENS 2000
/* With fewer tokens, the prefill takes a few milliseconds. */
#define BASE_SAMPLE_MAX_TOKENS 500
/*
 * Some samples are cached prompts that have waited, and look like a fast
 * prefill. Of a mean they would make twice the true rate in the model; this
 * quantile is near it.
 */
#define RATE_QUANTILE 0.35
#define RATE_STEP 0.1
/* Weights of the newest sample in the moving means. */
#define BASE_WEIGHT 0.05
#define COLD_WEIGHT 0.05
/* Later samples have COLD_WEIGHT. */
#define COUNTED_MAX 1000
/* Samples before the moving mean of cold prompts is used. */
#define COLD_SAMPLES_MIN 10
/*
 * Part of the pending tokens that counts until the first output, however long
 * ago their request was sent: the pace or the rate may be worse than assumed.
 */
#define LEFT_MIN_FRACTION 0.1
/* Copies between upstreams: half of the rate observed, twice the setup. */
#define COPY_TOKENS_PER_MS 290.0
#define COPY_SETUP_MS 5.0
/* More tokens than any request has; protects the sums. */
#define TOKENS_MAX 10000000

double work_rate_tokens_per_ms(const work_rate_t *r)
{
	return r->tokens_per_ms > 0 ? r->tokens_per_ms : RATE_INITIAL;
}

double work_cold_fraction(const work_rate_t *r)
{
	return r->unknown_count < COLD_SAMPLES_MIN ? 1 : r->unknown_cold;
}

static void learn_base_(work_rate_t *r, double ms)
{
	r->base_ms += (r->base_ms > 0 ? BASE_WEIGHT : 1) * (ms - r->base_ms);
}

static void learn_cold_(work_rate_t *r, bool cold)
{
	/* The plain mean of the first samples, then the moving one. */
	double weight = MAX(COLD_WEIGHT, 1.0 / (r->unknown_count + 1));

	r->unknown_count = MIN(r->unknown_count + 1, COUNTED_MAX);
	r->unknown_cold += weight * ((cold ? 1 : 0) - r->unknown_cold);
}

/* Moves a quantile of the samples by a step in the direction of this one. */
static void learn_rate_(work_rate_t *r, double rate)
{
	double before = work_rate_tokens_per_ms(r);
	double below = rate < before ? 1 : 0;

	r->tokens_per_ms =
		CLAMP(before * exp(RATE_STEP * (RATE_QUANTILE - below)),
		      RATE_MIN, RATE_MAX);
}

void work_learn(work_rate_t *r, const work_request_t *request, mstime_t ms,
		int pace)
{
	double tokens = (double)request->own +
			(request->known_cached ? 0 : request->shared);
	double normal_ms = (double)ms * WORK_PACE_NORMAL /
			   CLAMP(pace, WORK_PACE_NORMAL, PACE_MAX);
	double rate;

	assert(r && ms >= 0);
	if (!request->waiting || !tokens)
		return;
	if (tokens <= BASE_SAMPLE_MAX_TOKENS)
		learn_base_(r, normal_ms);
	if (tokens < RATE_SAMPLE_MIN_TOKENS)
		return;
	rate = tokens / MAX(1.0, normal_ms - r->base_ms);
	if (rate < RATE_MIN)
		return;
	if (request->first && !request->known_cached && !request->may_copy)
		learn_cold_(r, rate <= COLD_RATE_FACTOR *
					       work_rate_tokens_per_ms(r));
	if (rate > RATE_MAX)
		return;
	if (request->may_copy && !request->known_cached)
		return;
	learn_rate_(r, rate);
}

double work_pace(const work_state_t *s, mstime_t now)
{
	double age = (double)(now - s->pace_at);
	double excess =
		CLAMP(s->pace, WORK_PACE_NORMAL, PACE_MAX) - WORK_PACE_NORMAL;

	if (!s->pace_at || age >= PACE_VALID_MS)
		return WORK_PACE_NORMAL;
	return WORK_PACE_NORMAL + excess * (1 - MAX(0, age) / PACE_VALID_MS);
}

bool work_is_reported(const work_state_t *s, mstime_t now)
{
	return s->pace_at && now - s->pace_at < REPORTED_VALID_MS;
}

/* Tokens that an upstream prefills in a time. */
static double prefilled_(const work_state_t *s, double rate, mstime_t ms,
			 mstime_t now)
{
	return rate * (double)MAX(0, ms) * WORK_PACE_NORMAL / work_pace(s, now);
}

double work_own_pending(const work_state_t *s, double rate, mstime_t now)
{
	double left = s->own_left - prefilled_(s, rate, now - s->left_at, now);

	return CLAMP(left, s->own_pending * LEFT_MIN_FRACTION, s->own_pending);
}

double work_pending(const work_state_t *s, double rate, mstime_t now)
{
	double sum = work_own_pending(s, rate, now);

	assert(rate > 0);
	for (int i = 0; i < WORK_REPORTS_MAX; i++) {
		const work_report_t *r = &s->reports[i];

		if (r->at)
			sum += MAX(0, r->tokens - prefilled_(s, rate,
							     now - r->at, now));
	}
	return sum;
}

static void set_left_(work_state_t *s, double rate, mstime_t now)
{
	s->own_left = work_own_pending(s, rate, now);
	s->left_at = now;
}

void work_begin(work_state_t *s, const work_tokens_t *tokens, double prefill,
		double rate, mstime_t now, work_request_t *out)
{
	assert(s && tokens && out && !out->waiting && prefill >= 0 && rate > 0);
	out->shared = tokens->shared;
	out->own = tokens->own;
	out->prefill = MIN(prefill, TOKENS_MAX);
	out->held = MIN((double)tokens->shared + tokens->own + tokens->output,
			TOKENS_MAX);
	out->waiting = true;
	set_left_(s, rate, now);
	s->own_pending += out->prefill;
	s->own_left += out->prefill;
	s->own_waiting++;
	s->own_held += out->held;
}

void work_first_output(work_state_t *s, work_request_t *request, double rate,
		       mstime_t now)
{
	assert(s && request);
	if (!request->waiting)
		return;
	set_left_(s, rate, now);
	s->own_waiting--;
	/* Sums of fractions may leave a rest. */
	s->own_pending =
		s->own_waiting ? MAX(0, s->own_pending - request->prefill) : 0;
	s->own_left = MIN(s->own_left, s->own_pending);
	request->prefill = 0;
	request->waiting = false;
}

void work_end(work_state_t *s, work_request_t *request, double rate,
	      mstime_t now)
{
	work_first_output(s, request, rate, now);
	s->own_held = MAX(0, s->own_held - request->held);
	*request = (work_request_t){ 0 };
}

bool work_report_pace(work_state_t *s, int pace, mstime_t at)
{
	if (pace <= 0 || at < s->pace_at)
		return false;
	s->pace = pace;
	s->pace_at = at;
	return true;
}

void work_report_pending(work_state_t *s, uint64_t node, double tokens,
			 mstime_t at)
{
	work_report_t *slot = &s->reports[0];

	/* The node's own entry, or else the oldest one. */
	for (int i = 0; i < WORK_REPORTS_MAX; i++) {
		work_report_t *r = &s->reports[i];

		if (r->at && r->node == node) {
			slot = r;
			break;
		}
		if (r->at < slot->at)
			slot = r;
	}
	if (at < slot->at)
		return;
	*slot = (work_report_t){ node, CLAMP(tokens, 0, TOKENS_MAX), at };
}

double work_expected_ms(const work_state_t *s, double prefill, double rate,
			mstime_t now)
{
	return work_read_ms(s, work_pending(s, rate, now) + prefill, rate, now);
}

double work_read_ms(const work_state_t *s, double prefill, double rate,
		    mstime_t now)
{
	assert(s && rate > 0);
	return prefill / rate * work_pace(s, now) / WORK_PACE_NORMAL;
}

int work_notice_count(work_notices_t *n, int read_ms, int nodes, mstime_t now)
{
	int64_t regained =
		(now - n->refilled_at) * WORK_NOTICE_BYTES_PER_S / MSEC_PER_SEC;
	int count;

	assert(n && nodes >= 0);
	if (read_ms < WORK_NOTICE_MIN_MS)
		return 0;
	n->spent = MAX(0, n->spent - regained);
	n->refilled_at = now;
	count = (int)MIN(nodes, (WORK_NOTICE_BURST_BYTES - n->spent) /
					WORK_NOTICE_BYTES);
	n->spent += (int64_t)count * WORK_NOTICE_BYTES;
	return count;
}

double work_copy_ms(double tokens)
{
	return tokens > 0 ? COPY_SETUP_MS + tokens / COPY_TOKENS_PER_MS : 0;
}
