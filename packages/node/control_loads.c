/*
 * Polls the upstreams that this node owns for their load, within the budget for
 * control traffic.
 */
#include "private/control.h"

#include <kcf/logline.h>
#include <string.h>

#define POLL_INTERVAL_MS 1000
/* An idle upstream is polled in every second round. */
#define IDLE_POLL_ROUNDS 2
#define POLL_TIMEOUT_MS 900
/* Approximate size of a poll: request and answer with their headers. */
#define POLL_BYTES 400
/* Polls leave this fraction of the budget to membership probes. */
#define BUDGET_POLL_FRACTION 0.2

typedef struct poll {
	control_t *control;
	uint32_t key;
} poll_t;

static void apply_report_(control_t *c, uint32_t key, str_t body)
{
	json_t *root =
		json_loadb(body.data ? body.data : "", body.len, 0, NULL);
	json_int_t outstanding = 0;
	json_int_t start_id = 0;
	sched_report_t r = { .key = key };
	const upstream_t *u;

	r.ok = json_unpack(root, "{s:I,s:I}", "outstanding", &outstanding,
			   "start_id", &start_id) == 0;
	r.outstanding = (int)CLAMP(outstanding, 0, G_MAXINT);
	r.start_id = (uint64_t)start_id;
	sched_apply_report(&c->sched, clock_now(), &r);
	u = sched_find_upstream(&c->sched, key);
	if (u)
		orders_check_report(c, u, json_object_get(root, "models"));
	json_decref(root);
}

static void on_polled_(void *ctx, http_call_t *call, int err, int status)
{
	poll_t *p = ctx;
	control_t *c = p->control;

	g_hash_table_remove(c->polls_in_flight, GUINT_TO_POINTER(p->key));
	if (err == HTTP_OK && status == 200) {
		apply_report_(c, p->key, http_call_body(call));
	} else {
		sched_report_t r = { .key = p->key };

		sched_apply_report(&c->sched, clock_now(), &r);
	}
	g_free(p);
}

static const http_call_ops_t poll_ops = { .done = on_polled_ };

static void poll_(control_t *c, const upstream_t *u, mstime_t now)
{
	char *url = g_strdup_printf("http://%s/load", u->address);
	http_call_spec_t spec = {
		.method = "GET",
		.url = url,
		.deadline = now + POLL_TIMEOUT_MS,
	};
	poll_t *p = g_new0(poll_t, 1);

	p->control = c;
	p->key = u->key;
	g_hash_table_add(c->polls_in_flight, GUINT_TO_POINTER(u->key));
	http_call_start(&c->http, &spec, &poll_ops, p);
	g_free(url);
}

/*
 * An upstream without a report yet is urgent: requests for it wait until the
 * first one arrives.
 */
static bool may_poll_(control_t *c, mstime_t now, const upstream_t *u)
{
	bool urgent = sched_awaits_report(&c->sched, u);

	if (g_hash_table_contains(c->polls_in_flight, GUINT_TO_POINTER(u->key)))
		return false;
	if (!urgent && c->poll_rounds % IDLE_POLL_ROUNDS &&
	    sched_is_upstream_idle(&c->sched, u))
		return false;
	if ((urgent ||
	     byte_budget_has_fraction(&c->budget, now, BUDGET_POLL_FRACTION)) &&
	    byte_budget_spend(&c->budget, now, POLL_BYTES, urgent))
		return true;
	counter_add(COUNTER_CONTROL_DROPPED, 1);
	return false;
}

/* Continues with the upstream at which the last round ran out of budget. */
void load_poll_tick(control_t *c, mstime_t now)
{
	GPtrArray *owned;
	guint first = c->poll_cursor;

	if (now < c->next_poll)
		return;
	c->next_poll = now + POLL_INTERVAL_MS;
	c->poll_rounds++;
	owned = sched_list_owned(&c->sched);
	for (guint i = 0; i < owned->len; i++) {
		guint at = (first + i) % owned->len;
		const upstream_t *u = owned->pdata[at];

		if (!may_poll_(c, now, u))
			continue;
		c->poll_cursor = at + 1;
		counter_add(COUNTER_CONTROL_SENT_BYTES, POLL_BYTES);
		poll_(c, u, now);
	}
	g_ptr_array_unref(owned);
}
