/*
 * Orders to engines: an engine whose report shows another version of a model
 * than the configuration names is ordered to load it, by its owner, under the
 * fencing number of a claim in the log.
 */
#include "private/control.h"

#include <kcf/logline.h>
#include <kcf/orders.h>
#include <stdio.h>
#include <string.h>

#define ORDERS_STREAM "orders"
#define CHECK_INTERVAL_MS 500
#define SEND_TIMEOUT_MS 3000
#define RETRY_MS 3000
#define TRY_ID_MAX 128

typedef enum order_phase {
	ORDER_NONE,
	ORDER_CLAIMING, /* the claim's append is under way */
	ORDER_READING,	/* the claim is to be read back */
	ORDER_WAITING,	/* for its turn */
	ORDER_SENDING,
} order_phase_t;

/* What one owned engine still lacks. */
typedef struct order_need {
	control_t *control;
	char upstream[SCHED_NAME_MAX];
	char model[SCHED_NAME_MAX];
	char version[SCHED_NAME_MAX];
	char attempt_id[TRY_ID_MAX];
	order_phase_t phase;
	mstime_t next;
} order_need_t;

typedef struct order_dispatcher {
	order_claims_t book;
	GHashTable *needs; /* upstream to order_need_t * */
	bool reading;
	uint64_t want; /* offset up to which the stream must be read */
	mstime_t next_check;
	uint64_t next_try;
} order_dispatcher_t;

static void read_(control_t *c);

void orders_start(control_t *c)
{
	c->orders = g_new0(order_dispatcher_t, 1);
	order_claims_init(&c->orders->book);
	c->orders->needs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void orders_stop(control_t *c)
{
	order_claims_finish(&c->orders->book);
	g_hash_table_destroy(c->orders->needs);
	g_free(c->orders);
	c->orders = NULL;
}

/* First model whose version the report shows to be another one. */
static const model_t *outdated_(const control_t *c, const upstream_t *u,
				const json_t *models)
{
	const view_t *v = c->sched.view;

	for (guint i = 0; i < v->models->len; i++) {
		const model_t *m = v->models->pdata[i];
		const char *has =
			json_string_value(json_object_get(models, m->name));

		if (has && m->model_version[0] && m->service == u->service &&
		    upstream_serves_model(u, m->name) &&
		    strcmp(has, m->model_version) != 0)
			return m;
	}
	return NULL;
}

void orders_check_report(control_t *c, const upstream_t *u,
			 const json_t *models)
{
	order_need_t *n = g_hash_table_lookup(c->orders->needs, u->name);
	const model_t *m = outdated_(c, u, models);

	if (!m) {
		if (n && n->phase == ORDER_NONE)
			g_hash_table_remove(c->orders->needs, u->name);
		return;
	}
	if (!n) {
		n = g_new0(order_need_t, 1);
		n->control = c;
		g_strlcpy(n->upstream, u->name, sizeof(n->upstream));
		g_hash_table_insert(c->orders->needs, n->upstream, n);
	}
	if (n->phase != ORDER_NONE)
		return;
	g_strlcpy(n->model, m->name, sizeof(n->model));
	g_strlcpy(n->version, m->model_version, sizeof(n->version));
}

typedef struct order_call {
	control_t *control;
	char upstream[SCHED_NAME_MAX];
	char attempt_id[TRY_ID_MAX];
} order_call_t;

/* The need that a call was made for; NULL when it has moved on. */
static order_need_t *need_of_(const order_call_t *o)
{
	order_need_t *n;

	if (!o->control->orders)
		return NULL;
	n = g_hash_table_lookup(o->control->orders->needs, o->upstream);
	return n && !strcmp(n->attempt_id, o->attempt_id) ? n : NULL;
}

static order_call_t *call_for_(const order_need_t *n)
{
	order_call_t *o = g_new0(order_call_t, 1);

	o->control = n->control;
	g_strlcpy(o->upstream, n->upstream, sizeof(o->upstream));
	g_strlcpy(o->attempt_id, n->attempt_id, sizeof(o->attempt_id));
	return o;
}

static void put_back_(order_need_t *n)
{
	n->phase = ORDER_NONE;
	n->next = clock_now() + RETRY_MS;
}

static void on_claimed_(void *arg, int err, uint64_t offset)
{
	order_call_t *o = arg;
	order_need_t *n = need_of_(o);

	if (n && err) {
		/* A claim that was appended all the same only delays others. */
		put_back_(n);
	} else if (n) {
		n->phase = ORDER_READING;
		o->control->orders->want =
			MAX(o->control->orders->want, offset);
		read_(o->control);
	}
	g_free(o);
}

static mstime_t gap_ms_(const control_t *c)
{
	double rate = c->sched.view->weight_loads_per_s;

	return rate > 0 ? (mstime_t)(MSEC_PER_SEC / rate) : 0;
}

static void claim_(order_need_t *n)
{
	control_t *c = n->control;
	char *record;

	snprintf(n->attempt_id, sizeof(n->attempt_id), "%s/%lx/%lu",
		 c->settings->name->str, (unsigned long)c->incarnation,
		 (unsigned long)++c->orders->next_try);
	n->phase = ORDER_CLAIMING;
	record = order_claim_record(n->upstream, n->attempt_id, gap_ms_(c));
	c->log.ops->append(&c->log, ORDERS_STREAM, str_of(record), on_claimed_,
			   call_for_(n));
	g_free(record);
}

static void on_read_(void *arg, int err, const log_batch_t *batch)
{
	control_t *c = arg;

	if (!c->orders)
		return;
	c->orders->reading = false;
	if (err)
		return;
	for (size_t i = 0; i < batch->count; i++)
		order_apply_record(&c->orders->book, batch->records[i].offset,
				   batch->records[i].at,
				   batch->records[i].body);
	c->orders->book.next_offset =
		MAX(c->orders->book.next_offset, batch->first);
	if (c->orders->book.next_offset < batch->next)
		read_(c);
}

static void read_(control_t *c)
{
	if (c->orders->reading)
		return;
	c->orders->reading = true;
	c->log.ops->read(&c->log, ORDERS_STREAM, c->orders->book.next_offset, 0,
			 on_read_, c);
}

static void on_sent_(void *ctx, http_call_t *call, int err, int status)
{
	order_call_t *o = ctx;
	order_need_t *n = need_of_(o);

	(void)call;
	LOG_EVENT(LOG_NOTICE, "order.sent", F_STR("upstream", o->upstream),
		  F_INT("err", err), F_INT("status", status));
	if (n)
		put_back_(n);
	g_free(o);
}

static const http_call_ops_t send_ops = { .done = on_sent_ };

static void send_(order_need_t *n, const upstream_t *u,
		  const order_claim_t *claim)
{
	json_t *o = json_pack("{s:s,s:s,s:s,s:I}", "order", "load", "model",
			      n->model, "version", n->version, "fence",
			      (json_int_t)claim->offset);
	char *text = json_dumps(o, JSON_COMPACT);
	char *url = g_strdup_printf("http://%s/orders", u->address);
	http_call_spec_t spec = { .method = "POST",
				  .url = url,
				  .body = str_of(text),
				  .deadline = clock_now() + SEND_TIMEOUT_MS,
				  .fresh = true };

	n->phase = ORDER_SENDING;
	http_call_start(&n->control->http, &spec, &send_ops, call_for_(n));
	free(text);
	json_decref(o);
	g_free(url);
}

/* A claim that is read back waits for its turn, and may be overtaken. */
static void advance_(order_need_t *n, const upstream_t *u)
{
	control_t *c = n->control;
	const order_claim_t *claim =
		order_find_claim(&c->orders->book, n->upstream);
	mstime_t wall = clock_wall();

	if (n->phase == ORDER_READING &&
	    c->orders->book.next_offset > c->orders->want)
		n->phase = ORDER_WAITING;
	if (n->phase != ORDER_WAITING)
		return;
	if (!claim || strcmp(claim->attempt_id, n->attempt_id) != 0 ||
	    wall > claim->expires - ORDER_GUARD_MS)
		put_back_(n);
	else if (order_may_send(claim, wall, u->fencing))
		send_(n, u, claim);
}

void orders_tick(control_t *c, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	bool waiting = false;

	if (now < c->orders->next_check || c->phase != PHASE_READY)
		return;
	c->orders->next_check = now + CHECK_INTERVAL_MS;
	g_hash_table_iter_init(&iter, c->orders->needs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		order_need_t *n = value;
		const upstream_t *u =
			view_find(c->sched.view, KIND_UPSTREAM, n->upstream);
		const char *owner = u ? sched_owner(&c->sched, u) : NULL;

		if (!owner || strcmp(owner, c->settings->name->str) != 0) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (n->phase == ORDER_NONE && now >= n->next)
			claim_(n);
		else
			advance_(n, u);
		waiting = waiting || n->phase == ORDER_READING ||
			  n->phase == ORDER_WAITING;
	}
	/* Whether somebody else has claimed since is seen before each turn. */
	if (waiting)
		read_(c);
}
