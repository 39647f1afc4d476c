#include <kcf/reach.h>

#include <assert.h>
#include <string.h>

/* Silent upstreams that others are answered by; one alone may be the cause. */
#define CUT_UPSTREAMS 2
/* Covered attempts, each after the report of the one before, at one upstream.
 */
#define CUT_ROUNDS 3
/* A report's age leaves out its time on the network. */
#define REPORT_ERROR_MS 50
/* Times closer to each other than this are kept once. */
#define SPACING_MS 100
#define TIMES_MAX (REACH_EVIDENCE_MS / SPACING_MS + 1)

const char *const reach_state_string[] = { "open", "doubtful", "cut" };

/* In ascending order. */
typedef struct times {
	mstime_t at[TIMES_MAX];
	guint count;
} times_t;

typedef struct upstream {
	times_t silent;	  /* starts of attempts */
	times_t reported; /* answers to other nodes */
} upstream_t;

/* The covered attempts at all upstreams. */
typedef struct evidence {
	int upstreams;
	int rounds;	     /* most at one upstream */
	mstime_t first_end;  /* earliest report that covers an attempt */
	mstime_t last_start; /* start of the last covered attempt */
} evidence_t;

void reach_init(reach_t *r)
{
	assert(r);
	*r = (reach_t){ .answered_at = INT64_MIN,
			.reported_at = INT64_MIN,
			.next_probe_at = INT64_MIN };
	r->upstreams = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void reach_finish(reach_t *r)
{
	assert(r);
	g_hash_table_destroy(r->upstreams);
	*r = (reach_t){ 0 };
}

static void drop_first_(times_t *t, guint count)
{
	memmove(t->at, t->at + count, (t->count - count) * sizeof(t->at[0]));
	t->count -= count;
}

static void insert_(times_t *t, mstime_t at)
{
	guint i = t->count;

	while (i > 0 && t->at[i - 1] > at)
		i--;
	if (i > 0 && at - t->at[i - 1] < SPACING_MS)
		return;
	if (i < t->count && t->at[i] - at < SPACING_MS)
		return;
	if (t->count == TIMES_MAX) {
		if (i == 0)
			return;
		drop_first_(t, 1);
		i--;
	}
	memmove(t->at + i + 1, t->at + i, (t->count - i) * sizeof(t->at[0]));
	t->at[i] = at;
	t->count++;
}

static void forget_before_(times_t *t, mstime_t from)
{
	guint count = 0;

	while (count < t->count && t->at[count] < from)
		count++;
	drop_first_(t, count);
}

/* The entry of an upstream; NULL if there are too many. */
static upstream_t *get_upstream_(reach_t *r, uint32_t key)
{
	gpointer id = GUINT_TO_POINTER(key);
	upstream_t *u = g_hash_table_lookup(r->upstreams, id);

	if (u || g_hash_table_size(r->upstreams) >= REACH_UPSTREAMS_MAX)
		return u;
	u = g_new0(upstream_t, 1);
	g_hash_table_insert(r->upstreams, id, u);
	return u;
}

void reach_record_answer(reach_t *r, uint32_t upstream, mstime_t now)
{
	assert(r);
	(void)upstream;
	r->answered_at = MAX(r->answered_at, now);
	r->state = REACH_OPEN;
}

void reach_record_silence(reach_t *r, uint32_t upstream, mstime_t sent_at,
			  mstime_t now)
{
	upstream_t *u;

	assert(r && sent_at <= now);
	if (sent_at <= r->answered_at || sent_at < now - REACH_EVIDENCE_MS)
		return;
	u = get_upstream_(r, upstream);
	if (u)
		insert_(&u->silent, sent_at);
}

void reach_record_report(reach_t *r, uint32_t upstream, mstime_t answered_at)
{
	upstream_t *u;

	assert(r);
	if (answered_at - REPORT_ERROR_MS <= r->answered_at)
		return;
	r->reported_at = MAX(r->reported_at, answered_at);
	u = get_upstream_(r, upstream);
	if (u)
		insert_(&u->reported, answered_at);
}

/* Adds an upstream's covered attempts. */
static void add_evidence_(evidence_t *e, const upstream_t *u)
{
	mstime_t round_end = INT64_MIN;
	int rounds = 0;
	guint k = 0;

	for (guint i = 0; i < u->silent.count; i++) {
		mstime_t start = u->silent.at[i];
		mstime_t covered_from = start + REPORT_ERROR_MS;

		while (k < u->reported.count &&
		       u->reported.at[k] <= covered_from)
			k++;
		if (k == u->reported.count)
			break;
		e->first_end = MIN(e->first_end, u->reported.at[k]);
		e->last_start = MAX(e->last_start, start);
		if (start > round_end) {
			rounds++;
			round_end = u->reported.at[k];
		}
	}
	e->upstreams += rounds > 0;
	e->rounds = MAX(e->rounds, rounds);
}

/* Forgets what is old and collects the rest. */
static evidence_t collect_(reach_t *r, mstime_t now)
{
	evidence_t e = { .first_end = INT64_MAX, .last_start = INT64_MIN };
	mstime_t from = now - REACH_EVIDENCE_MS;
	GHashTableIter iter;
	gpointer value;

	if (r->answered_at >= from)
		from = r->answered_at + 1;
	g_hash_table_iter_init(&iter, r->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		upstream_t *u = value;

		forget_before_(&u->silent, from);
		forget_before_(&u->reported, from);
		if (!u->silent.count && !u->reported.count)
			g_hash_table_iter_remove(&iter);
		else
			add_evidence_(&e, u);
	}
	return e;
}

static reach_state_t decide_(const evidence_t *e)
{
	if (!e->upstreams)
		return REACH_OPEN;
	if (e->rounds >= CUT_ROUNDS)
		return REACH_CUT;
	if (e->upstreams >= CUT_UPSTREAMS && e->last_start > e->first_end)
		return REACH_CUT;
	return REACH_DOUBTFUL;
}

bool reach_update(reach_t *r, mstime_t now)
{
	evidence_t e;
	bool changed;

	assert(r);
	e = collect_(r, now);
	/* A node that is cut hardly tries, so old evidence does not end it. */
	if (r->state != REACH_CUT || r->reported_at < now - REACH_QUIET_MS)
		r->state = decide_(&e);
	changed = r->state != r->updated_state;
	r->updated_state = r->state;
	return changed;
}

bool reach_probe_due(reach_t *r, mstime_t now)
{
	assert(r);
	if (r->state != REACH_CUT || now < r->next_probe_at)
		return false;
	r->next_probe_at = now + REACH_PROBE_MS;
	return true;
}
