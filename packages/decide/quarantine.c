#include <kcf/quarantine.h>

#include <assert.h>
#include <string.h>

/* Answered segments that are remembered. */
#define ANSWERED_MAX 4096
/*
 * Crashes of several upstreams within this time have a common cause, such as a
 * failed rack, and count once.
 */
#define COINCIDENT_MS 150
/* Nodes differ by less than this in the time at which they see an end. */
#define ALIVE_MARGIN_MS 250
/* An upstream that answers later may have been started again under its id. */
#define ALIVE_MAX_MS 1000
/* Most doublings of QUARANTINE_HOLD_MS. */
#define HOLD_DOUBLINGS_MAX 4
/* Nodes try held requests one after the other, this long apart. */
#define TRIAL_SPACING_MS 1000
/* A trial without an outcome is over after this. */
#define TRIAL_MAX_MS 10000

void quarantine_init(quarantine_t *q, double trial_delay,
		     const quarantine_ops_t *ops, void *ctx)
{
	assert(q && ops && trial_delay >= 0 && trial_delay <= 1);
	*q = (quarantine_t){ .trial_delay = trial_delay,
			     .ops = ops,
			     .ctx = ctx };
	lru_init(&q->answered, ANSWERED_MAX, QUARANTINE_KEEP_MS);
}

void quarantine_finish(quarantine_t *q)
{
	assert(q);
	lru_finish(&q->answered);
}

static bool contains_(const quarantine_prompt_t *p, uint64_t segment)
{
	for (int i = 0; i < p->count; i++) {
		if (p->segments[i] == segment)
			return true;
	}
	return false;
}

static bool contains_all_(const quarantine_prompt_t *p,
			  const quarantine_prompt_t *part)
{
	for (int i = 0; i < part->count; i++) {
		if (!contains_(p, part->segments[i]))
			return false;
	}
	return true;
}

static bool equal_(const quarantine_prompt_t *a, const quarantine_prompt_t *b)
{
	return a->count == b->count && contains_all_(a, b);
}

/* When a segment was last answered, or 0. */
static mstime_t answered_at_(const quarantine_t *q, uint64_t segment)
{
	const lru_entry_t *e = lru_get(&q->answered, 0, segment);

	return e ? e->used_at : 0;
}

static void intersect_(quarantine_prompt_t *p, const quarantine_prompt_t *other)
{
	int count = 0;

	for (int i = 0; i < p->count; i++) {
		if (contains_(other, p->segments[i]))
			p->segments[count++] = p->segments[i];
	}
	p->count = count;
}

/*
 * What can be held against a prompt: the segments of each crash that were not
 * answered since, none if the upstream goes on.
 */
typedef struct evidence {
	quarantine_prompt_t open[QUARANTINE_CRASHES_MAX]; /* of each crash */
	int count;
} evidence_t;

static void collect_evidence_(const quarantine_t *q, evidence_t *e)
{
	e->count = q->crash_count;
	for (int i = 0; i < e->count; i++) {
		const quarantine_crash_t *c = &q->crashes[i];
		quarantine_prompt_t *open = &e->open[i];

		open->count = 0;
		for (int k = 0; k < c->prompt.count && !c->alive; k++) {
			uint64_t segment = c->prompt.segments[k];

			if (answered_at_(q, segment) <= c->at)
				open->segments[open->count++] = segment;
		}
	}
}

/* Whether an earlier crash of the list has the segment, at any upstream or at
 * one.
 */
static bool is_in_earlier_(const quarantine_t *q, const evidence_t *e,
			   int index, uint64_t segment, bool same_upstream)
{
	for (int i = 0; i < index; i++) {
		if (same_upstream &&
		    q->crashes[i].upstream != q->crashes[index].upstream)
			continue;
		if (contains_(&e->open[i], segment))
			return true;
	}
	return false;
}

/* The hold that a segment would give, without its end. */
static void sum_crashes_(const quarantine_t *q, const evidence_t *e,
			 uint64_t segment, quarantine_hold_t *hold, int *needed)
{
	mstime_t counted_at = 0;

	*hold = (quarantine_hold_t){ 0 };
	*needed = QUARANTINE_CRASHES_STRONG;
	for (int i = 0; i < e->count; i++) {
		const quarantine_crash_t *c = &q->crashes[i];

		if (!contains_(&e->open[i], segment))
			continue;
		if (!hold->crashes) {
			hold->prompt = e->open[i];
			hold->first_at = c->at;
		}
		intersect_(&hold->prompt, &e->open[i]);
		hold->last_at = c->at;
		if (c->weak)
			*needed = QUARANTINE_CRASHES_WEAK;
		if (hold->crashes && (c->at - counted_at <= COINCIDENT_MS ||
				      is_in_earlier_(q, e, i, segment, true)))
			continue;
		hold->crashes++;
		counted_at = c->at;
	}
}

/* The segment with most crashes, if they are enough for a hold. */
static bool find_hold_(const quarantine_t *q, const evidence_t *e,
		       quarantine_hold_t *best, uint64_t *segment)
{
	best->crashes = 0;
	for (int i = 0; i < e->count; i++) {
		for (int k = 0; k < e->open[i].count; k++) {
			uint64_t candidate = e->open[i].segments[k];
			quarantine_hold_t hold;
			int needed;

			if (is_in_earlier_(q, e, i, candidate, false))
				continue;
			sum_crashes_(q, e, candidate, &hold, &needed);
			if (hold.crashes < needed ||
			    hold.crashes <= best->crashes)
				continue;
			hold.until =
				hold.last_at + (QUARANTINE_HOLD_MS
						<< MIN(hold.crashes - needed,
						       HOLD_DOUBLINGS_MAX));
			*best = hold;
			*segment = candidate;
		}
	}
	return best->crashes > 0;
}

/*
 * Takes the crashes that a hold explains out of the evidence, with all that
 * else ran at their upstreams.
 */
static void mark_explained_(quarantine_t *q, evidence_t *e, uint64_t segment)
{
	bool supports[QUARANTINE_CRASHES_MAX];

	for (int i = 0; i < e->count; i++)
		supports[i] = contains_(&e->open[i], segment);
	for (int i = 0; i < e->count; i++) {
		for (int k = 0; supports[i] && k < e->count; k++) {
			if (q->crashes[k].upstream != q->crashes[i].upstream)
				continue;
			q->crashes[k].explained = true;
			e->open[k].count = 0;
		}
	}
}

static quarantine_hold_t *find_equal_(quarantine_hold_t *list, int count,
				      const quarantine_hold_t *hold)
{
	for (int i = 0; i < count; i++) {
		if (equal_(&list[i].prompt, &hold->prompt))
			return &list[i];
	}
	return NULL;
}

/* Why a hold is not in force any more. */
static const char *release_reason_(const quarantine_t *q,
				   const quarantine_hold_t *hold, mstime_t now)
{
	for (int i = 0; i < q->hold_count; i++) {
		if (contains_all_(&hold->prompt, &q->holds[i].prompt))
			return "narrowed";
	}
	for (int i = 0; i < hold->prompt.count; i++) {
		if (answered_at_(q, hold->prompt.segments[i]) > hold->first_at)
			return "answered";
	}
	return now - hold->first_at > QUARANTINE_KEEP_MS ? "expired"
							 : "no crash";
}

static void announce_changes_(quarantine_t *q, quarantine_hold_t *before,
			      int before_count, mstime_t now)
{
	for (int i = 0; i < q->hold_count; i++) {
		quarantine_hold_t *h = &q->holds[i];
		const quarantine_hold_t *old =
			find_equal_(before, before_count, h);

		if (old && old->crashes == h->crashes)
			h->trial_until = old->trial_until;
		else if (q->ops->held)
			q->ops->held(q->ctx, h);
	}
	for (int i = 0; i < before_count; i++) {
		if (q->ops->released &&
		    !find_equal_(q->holds, q->hold_count, &before[i]))
			q->ops->released(q->ctx, &before[i],
					 release_reason_(q, &before[i], now));
	}
}

/* Computes the holds from the crashes and answers that are there. */
static void judge_(quarantine_t *q, mstime_t now)
{
	quarantine_hold_t before[QUARANTINE_HOLDS_MAX];
	int before_count = q->hold_count;
	uint64_t segment = 0;
	evidence_t e;

	memcpy(before, q->holds, sizeof(before));
	for (int i = 0; i < q->crash_count; i++)
		q->crashes[i].explained = false;
	q->hold_count = 0;
	collect_evidence_(q, &e);
	while (q->hold_count < QUARANTINE_HOLDS_MAX &&
	       find_hold_(q, &e, &q->holds[q->hold_count], &segment)) {
		q->hold_count++;
		mark_explained_(q, &e, segment);
	}
	announce_changes_(q, before, before_count, now);
}

bool quarantine_check(quarantine_t *q, const quarantine_prompt_t *prompt,
		      int nodes, mstime_t now, mstime_t *retry_ms)
{
	assert(q && prompt && retry_ms);
	for (int i = 0; i < q->hold_count; i++) {
		quarantine_hold_t *h = &q->holds[i];
		mstime_t until = h->until + (mstime_t)(q->trial_delay * nodes *
						       TRIAL_SPACING_MS);

		if (!contains_all_(prompt, &h->prompt))
			continue;
		until = MAX(until, h->trial_until);
		if (now < until) {
			*retry_ms = until - now;
			return true;
		}
		h->trial_until = now + TRIAL_MAX_MS;
	}
	return false;
}

bool quarantine_is_held(const quarantine_t *q,
			const quarantine_prompt_t *prompt, mstime_t now)
{
	assert(q && prompt);
	for (int i = 0; i < q->hold_count; i++) {
		if (now < q->holds[i].until &&
		    contains_all_(prompt, &q->holds[i].prompt))
			return true;
	}
	return false;
}

/* Last crash of a request with a segment, at another upstream. */
static mstime_t last_crash_(const quarantine_t *q, uint64_t segment,
			    uint32_t upstream)
{
	mstime_t at = 0;

	for (int i = 0; i < q->crash_count; i++) {
		const quarantine_crash_t *c = &q->crashes[i];

		if (!c->alive && c->upstream != upstream &&
		    contains_(&c->prompt, segment))
			at = MAX(at, c->at);
	}
	return at;
}

bool quarantine_is_cleared(const quarantine_t *q, uint32_t upstream,
			   const quarantine_prompt_t *prompt, mstime_t now)
{
	assert(q && prompt);
	for (int i = 0; i < prompt->count; i++) {
		uint64_t segment = prompt->segments[i];
		mstime_t at = answered_at_(q, segment);

		if (!at || now - at > QUARANTINE_HOLD_MS ||
		    at <= last_crash_(q, segment, upstream))
			return false;
	}
	return prompt->count > 0;
}

int quarantine_count_crashes(const quarantine_t *q,
			     const quarantine_prompt_t *prompt)
{
	quarantine_hold_t hold;
	evidence_t e;
	int most = 0;
	int needed;

	assert(q && prompt);
	collect_evidence_(q, &e);
	for (int i = 0; i < e.count; i++) {
		if (q->crashes[i].explained)
			e.open[i].count = 0;
	}
	for (int i = 0; i < prompt->count; i++) {
		sum_crashes_(q, &e, prompt->segments[i], &hold, &needed);
		most = MAX(most, hold.crashes);
	}
	return most;
}

static quarantine_crash_t *find_crash_(quarantine_t *q,
				       const quarantine_crash_t *like)
{
	for (int i = 0; i < q->crash_count; i++) {
		quarantine_crash_t *c = &q->crashes[i];

		if (c->upstream == like->upstream &&
		    equal_(&c->prompt, &like->prompt))
			return c;
	}
	return NULL;
}

static void remove_crash_(quarantine_t *q, int index)
{
	q->crash_count--;
	memmove(&q->crashes[index], &q->crashes[index + 1],
		(size_t)(q->crash_count - index) * sizeof(q->crashes[0]));
}

/* Keeps the order by time, which is the same at all nodes. */
static quarantine_crash_t *insert_crash_(quarantine_t *q,
					 const quarantine_crash_t *crash)
{
	int at = q->crash_count++;

	for (; at > 0 && q->crashes[at - 1].at > crash->at; at--)
		q->crashes[at] = q->crashes[at - 1];
	q->crashes[at] = *crash;
	return &q->crashes[at];
}

/* Crashes that are part of a hold, then those with strong evidence. */
static int usefulness_(const quarantine_crash_t *c)
{
	return 2 * c->explained + !c->weak;
}

/* Makes room: the oldest of the least useful goes. */
static void remove_least_useful_(quarantine_t *q)
{
	int found = 0;

	for (int i = 1; i < q->crash_count; i++) {
		if (usefulness_(&q->crashes[i]) <
		    usefulness_(&q->crashes[found]))
			found = i;
	}
	remove_crash_(q, found);
}

/* Whether each segment was answered at some time. */
static bool is_known_(const quarantine_t *q, const quarantine_prompt_t *prompt)
{
	for (int i = 0; i < prompt->count; i++) {
		if (!answered_at_(q, prompt->segments[i]))
			return false;
	}
	return true;
}

static void add_crash_(quarantine_t *q, const quarantine_crash_t *crash,
		       mstime_t now)
{
	quarantine_crash_t *c;

	if (q->crash_count == QUARANTINE_CRASHES_MAX)
		remove_least_useful_(q);
	c = insert_crash_(q, crash);
	c->unsent = true;
	c->weak = c->weak || is_known_(q, &c->prompt);
	if (q->ops->suspected)
		q->ops->suspected(q->ctx, c);
	judge_(q, now);
}

void quarantine_record_crash(quarantine_t *q, uint32_t upstream,
			     const quarantine_prompt_t *prompt, bool begun,
			     mstime_t now)
{
	quarantine_crash_t c = { .upstream = upstream,
				 .at = now,
				 .prompt = *prompt,
				 .weak = !begun };

	assert(q && prompt && prompt->count <= QUARANTINE_SEGMENTS_MAX);
	if (prompt->count && !find_crash_(q, &c))
		add_crash_(q, &c, now);
}

bool quarantine_merge_crash(quarantine_t *q, const quarantine_crash_t *crash,
			    mstime_t now)
{
	quarantine_crash_t *c;
	quarantine_crash_t merged;
	bool changed;

	assert(q && crash);
	if (!crash->prompt.count || now - crash->at > QUARANTINE_KEEP_MS)
		return false;
	c = find_crash_(q, crash);
	if (!c) {
		add_crash_(q, crash, now);
		return true;
	}
	merged = *c;
	/* Each hop adds its delay to the time: the earliest is the best. */
	merged.at = MIN(c->at, crash->at);
	merged.alive = c->alive || crash->alive;
	merged.weak = c->weak || crash->weak;
	changed = merged.alive != c->alive || merged.weak != c->weak;
	merged.unsent = c->unsent || changed;
	remove_crash_(q, (int)(c - q->crashes));
	insert_crash_(q, &merged);
	if (changed)
		judge_(q, now);
	return changed;
}

/* Whether an answer at a time clears a segment of some crash. */
static bool clears_crash_(const quarantine_t *q, uint64_t segment,
			  mstime_t before, mstime_t at)
{
	for (int i = 0; i < q->crash_count; i++) {
		const quarantine_crash_t *c = &q->crashes[i];

		if (c->at >= before && c->at < at &&
		    contains_(&c->prompt, segment))
			return true;
	}
	return false;
}

static bool put_answered_(quarantine_t *q, uint64_t segment, mstime_t at)
{
	mstime_t before = answered_at_(q, segment);

	if (at <= before)
		return false;
	lru_put(&q->answered, at, segment, 0, 1);
	return clears_crash_(q, segment, before, at);
}

bool quarantine_record_answer(quarantine_t *q,
			      const quarantine_prompt_t *prompt, mstime_t now)
{
	bool changed = false;

	assert(q && prompt);
	for (int i = 0; i < prompt->count; i++)
		changed = put_answered_(q, prompt->segments[i], now) || changed;
	if (changed)
		judge_(q, now);
	return changed;
}

bool quarantine_merge_answered(quarantine_t *q,
			       const quarantine_answered_t *answered,
			       mstime_t now)
{
	assert(q && answered);
	if (!put_answered_(q, answered->segment, MIN(answered->at, now)))
		return false;
	judge_(q, now);
	return true;
}

void quarantine_record_alive(quarantine_t *q, uint32_t upstream,
			     mstime_t sent_at, mstime_t now)
{
	bool changed = false;

	assert(q);
	for (int i = 0; i < q->crash_count; i++) {
		quarantine_crash_t *c = &q->crashes[i];

		if (c->upstream != upstream || c->alive ||
		    sent_at <= c->at + ALIVE_MARGIN_MS ||
		    now > c->at + ALIVE_MAX_MS)
			continue;
		c->alive = true;
		c->unsent = true;
		changed = true;
	}
	if (changed)
		judge_(q, now);
}

bool quarantine_has_unsent(const quarantine_t *q)
{
	for (int i = 0; i < q->crash_count; i++) {
		if (q->crashes[i].unsent)
			return true;
	}
	return false;
}

int quarantine_collect(quarantine_t *q, quarantine_crash_t *out, int max)
{
	int count = 0;

	assert(q && out);
	for (int i = 0; i < q->crash_count && count < max; i++) {
		if (!q->crashes[i].unsent)
			continue;
		q->crashes[i].unsent = false;
		out[count++] = q->crashes[i];
	}
	if (count)
		return count;
	while (count < MIN(max, q->crash_count))
		out[count++] = q->crashes[q->cursor++ % (guint)q->crash_count];
	return count;
}

static bool is_collected_(const quarantine_answered_t *list, int count,
			  uint64_t segment)
{
	for (int i = 0; i < count; i++) {
		if (list[i].segment == segment)
			return true;
	}
	return false;
}

int quarantine_collect_answered(const quarantine_t *q, mstime_t now,
				quarantine_answered_t *out, int max)
{
	int count = 0;

	assert(q && out);
	for (int i = 0; i < q->crash_count; i++) {
		const quarantine_crash_t *c = &q->crashes[i];

		for (int k = 0; k < c->prompt.count && count < max; k++) {
			uint64_t segment = c->prompt.segments[k];
			mstime_t at = answered_at_(q, segment);

			if (at > c->at && at <= now &&
			    !is_collected_(out, count, segment))
				out[count++] =
					(quarantine_answered_t){ segment, at };
		}
	}
	return count;
}

void quarantine_tick(quarantine_t *q, mstime_t now)
{
	int before = q->crash_count;

	lru_expire(&q->answered, now);
	for (int i = 0; i < q->crash_count;) {
		if (now - q->crashes[i].at > QUARANTINE_KEEP_MS)
			remove_crash_(q, i);
		else
			i++;
	}
	if (q->crash_count != before)
		judge_(q, now);
}
