#include "private/backlogs.h"

#include <assert.h>
#include <kcf/counter.h>
#include <malloc.h>

/* Memory is given back when so much less is held than before. */
#define TRIM_MIN_BYTES (8 * 1024 * 1024)
#define TRIM_INTERVAL_MS 1000
/*
 * Longer blocks are given back as they are freed. glibc raises its own bound
 * to the size of the longest block that it has seen freed.
 */
#define MAPPED_MIN_BYTES (128 * 1024)
#define TOP_MAX_BYTES (1024 * 1024)

static void on_cut_(struct ev_loop *loop, ev_timer *w, int revents);

void backlogs_init(backlogs_t *b, struct ev_loop *loop,
		   const backlog_limits_t *limits, const backlogs_ops_t *ops)
{
	assert(b && loop && limits && ops);
	*b = (backlogs_t){ .loop = loop, .ops = ops };
	backlog_init(&b->answers, &limits->answers);
	backlog_init(&b->requests, &limits->requests);
	if (limits->answers.node_max) {
		mallopt(M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
		mallopt(M_TRIM_THRESHOLD, TOP_MAX_BYTES);
	}
	ev_timer_init(&b->timer, on_cut_, 0, 0);
	b->timer.data = b;
}

void backlogs_finish(backlogs_t *b)
{
	assert(b);
	ev_timer_stop(b->loop, &b->timer);
	backlog_finish(&b->answers);
	backlog_finish(&b->requests);
}

void backlogs_check(backlogs_t *b)
{
	if (ev_is_active(&b->timer) ||
	    (!backlog_is_over(&b->answers) && !backlog_is_over(&b->requests)))
		return;
	ev_timer_set(&b->timer, 0, 0);
	ev_timer_start(b->loop, &b->timer);
}

/* What was freed between blocks that are in use stays with the process else. */
static void trim_(backlogs_t *b, mstime_t now)
{
	size_t held = b->answers.held + b->requests.held;

	b->peak = MAX(b->peak, held);
	if (!b->answers.conf.node_max || b->peak - held < TRIM_MIN_BYTES ||
	    now - b->trimmed_at < TRIM_INTERVAL_MS)
		return;
	malloc_trim(0);
	b->peak = held;
	b->trimmed_at = now;
}

void backlogs_tick(backlogs_t *b, mstime_t now)
{
	assert(b && now);
	backlogs_check(b);
	counter_set(GAUGE_HELD_ANSWERS, (int64_t)b->answers.held);
	counter_set(GAUGE_HELD_REQUESTS, (int64_t)b->requests.held);
	trim_(b, now);
}

static void cut_(backlog_t *b, counter_t counter,
		 void (*fn)(void *owner, const backlogs_cut_t *cut))
{
	mstime_t now = clock_now();
	backlog_entry_t *e;

	while ((e = backlog_choose_cut(b, now))) {
		backlogs_cut_t cut = {
			.held = e->held + e->unread,
			.idle_ms = now - e->taken_at,
			.node_held = b->held,
			.node_max = b->conf.node_max,
			.connection_bytes = b->base,
			.node_entries = b->entries->len,
		};

		counter_add(counter, 1);
		backlog_leave(b, e);
		fn(e->owner, &cut);
	}
}

static void on_cut_(struct ev_loop *loop, ev_timer *w, int revents)
{
	backlogs_t *b = w->data;

	(void)loop;
	(void)revents;
	cut_(&b->answers, COUNTER_SLOW_CALLERS_CUT, b->ops->cut_answer);
	cut_(&b->requests, COUNTER_SLOW_REQUESTS_CUT, b->ops->cut_request);
}
