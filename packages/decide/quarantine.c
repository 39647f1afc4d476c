#include <kcf/quarantine.h>

#include <assert.h>
#include <string.h>

/* Answered segments that are remembered, and as many requests. */
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
/*
 * An upstream is asked whether it goes on after this; of a busy one the answers
 * to other requests have told by then.
 */
#define CHECK_DELAY_MS 400
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
	lru_init(&q->answered_requests, ANSWERED_MAX, QUARANTINE_KEEP_MS);
}

void quarantine_finish(quarantine_t *q)
{
	assert(q);
	lru_finish(&q->answered);
	lru_finish(&q->answered_requests);
}

/* The keys of a prompt, those of its segments first. */
static int key_count_(const quarantine_prompt_t *p)
{
	return p->count + (p->request != 0);
}

static uint64_t key_at_(const quarantine_prompt_t *p, int index)
{
	return index < p->count ? p->segments[index] : p->request;
}

static bool contains_(const quarantine_prompt_t *p, uint64_t key)
{
	for (int i = 0; i < key_count_(p); i++) {
		if (key_at_(p, i) == key)
			return true;
	}
	return false;
}

static bool contains_all_(const quarantine_prompt_t *p,
			  const quarantine_prompt_t *part)
{
	for (int i = 0; i < key_count_(part); i++) {
		if (!contains_(p, key_at_(part, i)))
			return false;
	}
	return true;
}

static bool equal_(const quarantine_prompt_t *a, const quarantine_prompt_t *b)
{
	return a->count == b->count && a->request == b->request &&
	       contains_all_(a, b);
}

/* When a key was last answered, or 0. */
static mstime_t answered_at_(const quarantine_t *q, uint64_t key)
{
	const lru_entry_t *e = lru_get(&q->answered, 0, key);

	if (!e)
		e = lru_get(&q->answered_requests, 0, key);
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
	if (p->request != other->request)
		p->request = 0;
}

/*
 * What can be held against a prompt: the keys of each crash that were not
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

		*open = (quarantine_prompt_t){ .count = 0 };
		if (c->alive)
			continue;
		if (answered_at_(q, c->prompt.request) <= c->at)
			open->request = c->prompt.request;
		for (int k = 0; k < c->prompt.count; k++) {
			uint64_t segment = c->prompt.segments[k];

			if (answered_at_(q, segment) <= c->at)
				open->segments[open->count++] = segment;
		}
	}
}

/* Whether an earlier crash of the list has the key, at any upstream or at one.
 */
static bool is_in_earlier_(const quarantine_t *q, const evidence_t *e,
			   int index, uint64_t key, bool same_upstream)
{
	for (int i = 0; i < index; i++) {
		if (same_upstream &&
		    q->crashes[i].upstream != q->crashes[index].upstream)
			continue;
		if (contains_(&e->open[i], key))
			return true;
	}
	return false;
}

/* The hold that a key would give, without its end. */
static void sum_crashes_(const quarantine_t *q, const evidence_t *e,
			 uint64_t key, quarantine_hold_t *hold, int *needed)
{
	mstime_t counted_at = 0;

	*hold = (quarantine_hold_t){ 0 };
	*needed = QUARANTINE_CRASHES_STRONG;
	for (int i = 0; i < e->count; i++) {
		const quarantine_crash_t *c = &q->crashes[i];
		bool whole = key == c->prompt.request;

		if (!contains_(&e->open[i], key))
			continue;
		if (!hold->crashes) {
			hold->prompt = e->open[i];
			hold->first_at = c->at;
		}
		intersect_(&hold->prompt, &e->open[i]);
		hold->last_at = c->at;
		if (whole ? c->known : c->weak)
			*needed = QUARANTINE_CRASHES_WEAK;
		/* One request is at one upstream after the other. */
		if (hold->crashes &&
		    ((!whole && c->at - counted_at <= COINCIDENT_MS) ||
		     is_in_earlier_(q, e, i, key, true)))
			continue;
		hold->crashes++;
		counted_at = c->at;
	}
}

static mstime_t hold_until_(const quarantine_hold_t *h, int needed)
{
	if (h->prompt.request && h->crashes >= QUARANTINE_CRASHES_FINAL)
		return MSTIME_NEVER;
	return h->last_at + (QUARANTINE_HOLD_MS
			     << MIN(h->crashes - needed, HOLD_DOUBLINGS_MAX));
}

/* The key with most crashes, if they are enough for a hold. */
static bool find_hold_(const quarantine_t *q, const evidence_t *e,
		       quarantine_hold_t *best, uint64_t *key)
{
	best->crashes = 0;
	for (int i = 0; i < e->count; i++) {
		for (int k = 0; k < key_count_(&e->open[i]); k++) {
			uint64_t candidate = key_at_(&e->open[i], k);
			quarantine_hold_t hold;
			int needed;

			if (is_in_earlier_(q, e, i, candidate, false))
				continue;
			sum_crashes_(q, e, candidate, &hold, &needed);
			if (hold.crashes < needed ||
			    hold.crashes <= best->crashes)
				continue;
			hold.until = hold_until_(&hold, needed);
			*best = hold;
			*key = candidate;
		}
	}
	return best->crashes > 0;
}

/*
 * Takes the crashes that a hold explains out of the evidence, with all that
 * else ran at their upstreams. While a request is held as a whole, one of its
 * segments may still be the cause.
 */
static void mark_explained_(quarantine_t *q, evidence_t *e, uint64_t key,
			    bool whole)
{
	bool supports[QUARANTINE_CRASHES_MAX];

	for (int i = 0; i < e->count; i++) {
		supports[i] = contains_(&e->open[i], key);
		q->crashes[i].held = q->crashes[i].held || supports[i];
	}
	for (int i = 0; i < e->count; i++) {
		for (int k = 0; supports[i] && k < e->count; k++) {
			if (q->crashes[k].upstream != q->crashes[i].upstream)
				continue;
			q->crashes[k].explained = !whole || !supports[k];
			e->open[k] = (quarantine_prompt_t){ .count = 0 };
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
	for (int i = 0; i < key_count_(&hold->prompt); i++) {
		if (answered_at_(q, key_at_(&hold->prompt, i)) > hold->first_at)
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
	uint64_t key = 0;
	evidence_t e;

	memcpy(before, q->holds, sizeof(before));
	for (int i = 0; i < q->crash_count; i++) {
		q->crashes[i].explained = false;
		q->crashes[i].held = false;
	}
	q->hold_count = 0;
	collect_evidence_(q, &e);
	while (q->hold_count < QUARANTINE_HOLDS_MAX &&
	       find_hold_(q, &e, &q->holds[q->hold_count], &key)) {
		mark_explained_(q, &e, key,
				q->holds[q->hold_count].prompt.request != 0);
		q->hold_count++;
	}
	announce_changes_(q, before, before_count, now);
}

/* Crashes are remembered as long as callers repeat what caused them. */
static void note_seen_(quarantine_t *q, const quarantine_hold_t *h,
		       mstime_t now)
{
	for (int i = 0; i < q->crash_count; i++) {
		if (contains_all_(&q->crashes[i].prompt, &h->prompt))
			q->crashes[i].seen_at = now;
	}
}

bool quarantine_check(quarantine_t *q, const quarantine_prompt_t *prompt,
		      int nodes, mstime_t now, mstime_t *retry_ms)
{
	assert(q && prompt && retry_ms);
	for (int i = 0; i < q->hold_count; i++) {
		quarantine_hold_t *h = &q->holds[i];
		mstime_t until;

		if (!contains_all_(prompt, &h->prompt))
			continue;
		note_seen_(q, h, now);
		if (h->until == MSTIME_NEVER) {
			*retry_ms = QUARANTINE_KEEP_MS;
			return true;
		}
		until = h->until +
			(mstime_t)(q->trial_delay * nodes * TRIAL_SPACING_MS);
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
			e.open[i] = (quarantine_prompt_t){ .count = 0 };
	}
	for (int i = 0; i < key_count_(prompt); i++) {
		sum_crashes_(q, &e, key_at_(prompt, i), &hold, &needed);
		most = MAX(most, hold.crashes);
	}
	return most;
}

static bool is_expired_(const quarantine_crash_t *c, mstime_t now)
{
	return now - MAX(c->at, c->seen_at) > QUARANTINE_KEEP_MS;
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
	if (c->alive)
		return 0;
	return 1 + 2 * c->held + !(c->weak && c->known);
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
	c->known = c->known || answered_at_(q, c->prompt.request);
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
				 .seen_at = now,
				 .check_at = now + CHECK_DELAY_MS,
				 .prompt = *prompt,
				 .weak = !begun };

	assert(q && prompt && prompt->count <= QUARANTINE_SEGMENTS_MAX);
	if (key_count_(prompt) && !find_crash_(q, &c))
		add_crash_(q, &c, now);
}

bool quarantine_merge_crash(quarantine_t *q, const quarantine_crash_t *crash,
			    mstime_t now)
{
	quarantine_crash_t *c;
	quarantine_crash_t merged;
	bool changed;

	assert(q && crash);
	if (!key_count_(&crash->prompt) || is_expired_(crash, now))
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
	merged.known = c->known || crash->known;
	merged.seen_at = MAX(c->seen_at, crash->seen_at);
	changed = merged.alive != c->alive || merged.weak != c->weak ||
		  merged.known != c->known;
	merged.unsent = c->unsent || changed;
	remove_crash_(q, (int)(c - q->crashes));
	insert_crash_(q, &merged);
	if (changed)
		judge_(q, now);
	return changed;
}

/* Whether an answer at a time clears a key of some crash. */
static bool clears_crash_(const quarantine_t *q, uint64_t key, mstime_t before,
			  mstime_t at)
{
	for (int i = 0; i < q->crash_count; i++) {
		const quarantine_crash_t *c = &q->crashes[i];

		if (c->at >= before && c->at < at && contains_(&c->prompt, key))
			return true;
	}
	return false;
}

static bool put_answered_(quarantine_t *q, lru_t *answered, uint64_t key,
			  mstime_t at)
{
	mstime_t before = answered_at_(q, key);

	if (at <= before)
		return false;
	lru_put(answered, at, key, 0, 1);
	return clears_crash_(q, key, before, at);
}

bool quarantine_record_answer(quarantine_t *q,
			      const quarantine_prompt_t *prompt, mstime_t now)
{
	bool changed = false;

	assert(q && prompt);
	for (int i = 0; i < prompt->count; i++)
		changed = put_answered_(q, &q->answered, prompt->segments[i],
					now) ||
			  changed;
	if (prompt->request)
		changed = put_answered_(q, &q->answered_requests,
					prompt->request, now) ||
			  changed;
	if (changed)
		judge_(q, now);
	return changed;
}

static bool is_request_(const quarantine_t *q, uint64_t key)
{
	for (int i = 0; i < q->crash_count; i++) {
		if (q->crashes[i].prompt.request == key)
			return true;
	}
	return false;
}

bool quarantine_merge_answered(quarantine_t *q,
			       const quarantine_answered_t *answered,
			       mstime_t now)
{
	lru_t *list;

	assert(q && answered);
	list = is_request_(q, answered->key) ? &q->answered_requests
					     : &q->answered;
	if (!put_answered_(q, list, answered->key, MIN(answered->at, now)))
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

bool quarantine_next_check(quarantine_t *q, mstime_t now, uint32_t *upstream)
{
	bool found = false;

	assert(q && upstream);
	for (int i = 0; i < q->crash_count; i++) {
		quarantine_crash_t *c = &q->crashes[i];

		if (!c->check_at || now < c->check_at ||
		    (found && c->upstream != *upstream))
			continue;
		c->check_at = 0;
		if (c->alive || now > c->at + ALIVE_MAX_MS)
			continue;
		*upstream = c->upstream;
		found = true;
	}
	return found;
}

bool quarantine_has_unsent(const quarantine_t *q)
{
	for (int i = 0; i < q->crash_count; i++) {
		if (q->crashes[i].unsent)
			return true;
	}
	return false;
}

/* Adds crashes from the cursor on, up to max in all. */
static int collect_rotating_(quarantine_t *q, guint *cursor, bool held_only,
			     quarantine_crash_t *out, int count, int max)
{
	int before = count;

	for (int i = 0; i < q->crash_count && count < max; i++) {
		const quarantine_crash_t *c =
			&q->crashes[(*cursor)++ % (guint)q->crash_count];
		bool taken = held_only && !c->held;

		for (int k = 0; k < before; k++)
			taken = taken || (out[k].upstream == c->upstream &&
					  equal_(&out[k].prompt, &c->prompt));
		if (!taken)
			out[count++] = *c;
	}
	return count;
}

int quarantine_collect(quarantine_t *q, quarantine_crash_t *out, int max)
{
	int count = 0;

	assert(q && out);
	for (int pass = 0; pass < 2; pass++) {
		for (int i = 0; i < q->crash_count && count < max; i++) {
			quarantine_crash_t *c = &q->crashes[i];

			if (!c->unsent || c->held != !pass)
				continue;
			c->unsent = false;
			out[count++] = *c;
		}
	}
	if (count)
		return count;
	/* What holds rest on matters most to a node that lacks it. */
	count = collect_rotating_(q, &q->held_cursor, true, out, 0, max / 2);
	return collect_rotating_(q, &q->cursor, false, out, count, max);
}

static bool is_collected_(const quarantine_answered_t *list, int count,
			  uint64_t key)
{
	for (int i = 0; i < count; i++) {
		if (list[i].key == key)
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

		for (int k = 0; k < key_count_(&c->prompt) && count < max;
		     k++) {
			uint64_t key = key_at_(&c->prompt, k);
			mstime_t at = answered_at_(q, key);

			if (at > c->at && at <= now &&
			    !is_collected_(out, count, key))
				out[count++] =
					(quarantine_answered_t){ key, at };
		}
	}
	return count;
}

void quarantine_tick(quarantine_t *q, mstime_t now)
{
	int before = q->crash_count;

	lru_expire(&q->answered, now);
	lru_expire(&q->answered_requests, now);
	for (int i = 0; i < q->crash_count;) {
		if (is_expired_(&q->crashes[i], now))
			remove_crash_(q, i);
		else
			i++;
	}
	if (q->crash_count != before)
		judge_(q, now);
}
