/*
 * Sends orders to engines. When the report of an engine shows another version
 * of a model than the configuration, the engine's owner claims the order in the
 * log, waits for its turn at the weight store, and orders the engine to load
 * the version, with the claim's offset as fencing token.
 */
#include "private/control.h"

#include <kcf/logline.h>
#include <kcf/orders.h>
#include <stdio.h>
#include <string.h>

#define ORDERS_STREAM "orders"
#define TICK_INTERVAL_MS 500
#define SEND_TIMEOUT_MS 3000
#define RETRY_MS 3000
#define ATTEMPT_ID_MAX 128

typedef enum order_phase {
	ORDER_IDLE,
	ORDER_CLAIMING, /* the claim is being appended */
	ORDER_READING,	/* the claim is to be read back */
	ORDER_WAITING,	/* for the claim's turn */
	ORDER_SENDING,
} order_phase_t;

/* A model version that an owned engine is to load. */
typedef struct pending_order {
	control_t *control;
	char upstream[SCHED_NAME_MAX];
	char model[SCHED_NAME_MAX];
	char version[SCHED_NAME_MAX];
	char attempt_id[ATTEMPT_ID_MAX];
	order_phase_t phase;
	mstime_t next_attempt;
} pending_order_t;

typedef struct order_dispatcher {
	order_claims_t claims;
	GHashTable *pending_orders; /* upstream to pending_order_t * */
	bool reading;
	uint64_t read_up_to; /* the stream must be read to this offset */
	mstime_t next_check;
	uint64_t attempt_count;
} order_dispatcher_t;

static void read_stream_(control_t *c);

void orders_start(control_t *c)
{
	c->orders = g_new0(order_dispatcher_t, 1);
	order_claims_init(&c->orders->claims);
	c->orders->pending_orders =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void orders_stop(control_t *c)
{
	order_claims_finish(&c->orders->claims);
	g_hash_table_destroy(c->orders->pending_orders);
	g_free(c->orders);
	c->orders = NULL;
}

/* First model whose version differs between report and configuration. */
static const model_t *outdated_model_(const control_t *c, const upstream_t *u,
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
	pending_order_t *n =
		g_hash_table_lookup(c->orders->pending_orders, u->name);
	const model_t *m = outdated_model_(c, u, models);

	if (!m) {
		if (n && n->phase == ORDER_IDLE)
			g_hash_table_remove(c->orders->pending_orders, u->name);
		return;
	}
	if (!n) {
		n = g_new0(pending_order_t, 1);
		n->control = c;
		g_strlcpy(n->upstream, u->name, sizeof(n->upstream));
		g_hash_table_insert(c->orders->pending_orders, n->upstream, n);
	}
	if (n->phase != ORDER_IDLE)
		return;
	g_strlcpy(n->model, m->name, sizeof(n->model));
	g_strlcpy(n->version, m->model_version, sizeof(n->version));
}

typedef struct order_call {
	control_t *control;
	char upstream[SCHED_NAME_MAX];
	char attempt_id[ATTEMPT_ID_MAX];
} order_call_t;

/* Order that a call was made for; NULL when it has a newer attempt. */
static pending_order_t *order_of_call_(const order_call_t *o)
{
	pending_order_t *n;

	if (!o->control->orders)
		return NULL;
	n = g_hash_table_lookup(o->control->orders->pending_orders,
				o->upstream);
	return n && !strcmp(n->attempt_id, o->attempt_id) ? n : NULL;
}

static order_call_t *new_call_(const pending_order_t *n)
{
	order_call_t *o = g_new0(order_call_t, 1);

	o->control = n->control;
	g_strlcpy(o->upstream, n->upstream, sizeof(o->upstream));
	g_strlcpy(o->attempt_id, n->attempt_id, sizeof(o->attempt_id));
	return o;
}

static void retry_later_(pending_order_t *n)
{
	n->phase = ORDER_IDLE;
	n->next_attempt = clock_now() + RETRY_MS;
}

static void on_claim_appended_(void *arg, int err, uint64_t offset)
{
	order_call_t *o = arg;
	pending_order_t *n = order_of_call_(o);

	if (n && err) {
		/* If it was appended after all, it only delays other claims. */
		retry_later_(n);
	} else if (n) {
		n->phase = ORDER_READING;
		o->control->orders->read_up_to =
			MAX(o->control->orders->read_up_to, offset);
		read_stream_(o->control);
	}
	g_free(o);
}

static mstime_t load_interval_ms_(const control_t *c)
{
	double rate = c->sched.view->weight_loads_per_s;

	return rate > 0 ? (mstime_t)(MSEC_PER_SEC / rate) : 0;
}

static void append_claim_(pending_order_t *n)
{
	control_t *c = n->control;
	char *record;

	snprintf(n->attempt_id, sizeof(n->attempt_id), "%s/%lx/%lu",
		 c->settings->name->str, (unsigned long)c->incarnation,
		 (unsigned long)++c->orders->attempt_count);
	n->phase = ORDER_CLAIMING;
	record = order_claim_record(n->upstream, n->attempt_id,
				    load_interval_ms_(c));
	c->log.ops->append(&c->log, ORDERS_STREAM, str_of(record),
			   on_claim_appended_, new_call_(n));
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
		order_apply_record(&c->orders->claims, batch->records[i].offset,
				   batch->records[i].appended_at,
				   batch->records[i].body);
	c->orders->claims.next_offset =
		MAX(c->orders->claims.next_offset, batch->first_offset);
	if (c->orders->claims.next_offset < batch->next_offset)
		read_stream_(c);
}

static void read_stream_(control_t *c)
{
	if (c->orders->reading)
		return;
	c->orders->reading = true;
	c->log.ops->read(&c->log, ORDERS_STREAM, c->orders->claims.next_offset,
			 0, on_read_, c);
}

static void on_sent_(void *ctx, http_call_t *call, int err, int status)
{
	order_call_t *o = ctx;
	pending_order_t *n = order_of_call_(o);

	(void)call;
	LOG_EVENT(LOG_NOTICE, "order.sent", F_STR("upstream", o->upstream),
		  F_INT("err", err), F_INT("status", status));
	if (n)
		retry_later_(n);
	g_free(o);
}

static const http_call_ops_t send_ops = { .done = on_sent_ };

static void send_order_(pending_order_t *n, const upstream_t *u,
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
	http_call_start(&n->control->http, &spec, &send_ops, new_call_(n));
	free(text);
	json_decref(o);
	g_free(url);
}

/*
 * Sends an order once its claim has been read back and its turn has come; tries
 * again later if a later claim has replaced it or it is about to expire.
 */
static void send_if_due_(pending_order_t *n, const upstream_t *u)
{
	control_t *c = n->control;
	const order_claim_t *claim =
		order_find_claim(&c->orders->claims, n->upstream);
	mstime_t wall = clock_wall();

	if (n->phase == ORDER_READING &&
	    c->orders->claims.next_offset > c->orders->read_up_to)
		n->phase = ORDER_WAITING;
	if (n->phase != ORDER_WAITING)
		return;
	if (!claim || strcmp(claim->attempt_id, n->attempt_id) != 0 ||
	    wall > claim->expires - ORDER_SEND_MARGIN_MS)
		retry_later_(n);
	else if (order_may_send(claim, wall, u->fencing))
		send_order_(n, u, claim);
}

void orders_tick(control_t *c, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;
	bool waiting = false;

	if (now < c->orders->next_check || c->phase != PHASE_READY)
		return;
	c->orders->next_check = now + TICK_INTERVAL_MS;
	g_hash_table_iter_init(&iter, c->orders->pending_orders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pending_order_t *n = value;
		const upstream_t *u =
			view_find(c->sched.view, KIND_UPSTREAM, n->upstream);
		const char *owner = u ? sched_owner(&c->sched, u) : NULL;

		if (!owner || strcmp(owner, c->settings->name->str) != 0) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (n->phase == ORDER_IDLE && now >= n->next_attempt)
			append_claim_(n);
		else
			send_if_due_(n, u);
		waiting = waiting || n->phase == ORDER_READING ||
			  n->phase == ORDER_WAITING;
	}
	/* Another node's later claim must be seen before the order is sent. */
	if (waiting)
		read_stream_(c);
}
