/*
 * Requests that pass through one other node: of a node that has lost its own
 * links to upstreams, and at the node that helps it.
 */
#include "private/forward.h"

#include <assert.h>
#include <kcf/datagram.h>
#include <kcf/logline.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A node that has reported loads within this time reaches upstreams. Each
 * report goes to one of the others.
 */
#define HEARD_MAX_MS 3000
/* A node that could not help is not asked again for this long. */
#define AVOID_MS 1000
/* Nodes that have not been heard of for so long are forgotten. */
#define FORGET_MS 60000
/* Nodes in a region connect within this time, also on slow hosts. */
#define CONNECT_MAX_MS 300
/* Other nodes keep idle connections longer. */
#define IDLE_MAX_MS 3000
/* Requests of this node that one other has at a time. */
#define OUTSTANDING_MAX 256
/* Requests of other nodes that this one has at a time. */
#define RELAYED_MAX 512
/* Another node may help at once. */
#define RETRY_AFTER_UNABLE_MS 200
#define URL_MAX 64
#define MAC_BYTES 16
#define MAC_SIZE (2 * MAC_BYTES + 1)
#define ORDER_TEXT_MAX 256

static const char verdict_ok[] = "ok";
static const char verdict_unable[] = "unable";

static void on_request_(void *ctx, http_request_t *req);
static void on_closed_(void *ctx, http_request_t *req, bool whole);

const http_server_ops_t relays_server_ops = { on_request_, on_closed_,
					      forward_on_taken };

void relays_init(gateway_t *g)
{
	reach_init(&g->reach);
	g->helpers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void relays_finish(gateway_t *g)
{
	g_hash_table_destroy(g->helpers);
	reach_finish(&g->reach);
}

bool relays_is_cut(const gateway_t *g)
{
	return g->reach.state == REACH_CUT;
}

/* Decides anew whether this node is cut. */
static void update_(gateway_t *g, mstime_t now)
{
	const reach_t *r = &g->reach;

	if (!reach_update(&g->reach, now))
		return;
	counter_set(GAUGE_REACH_STATE, r->state);
	counter_add(COUNTER_CUTS, r->state == REACH_CUT);
	LOG_EVENT(LOG_NOTICE, "reach.changed",
		  F_STR("state", reach_state_string[r->state]),
		  F_INT("answer_age_ms",
			r->answered_at > 0 ? now - r->answered_at : -1),
		  F_INT("report_age_ms",
			r->reported_at > 0 ? now - r->reported_at : -1),
		  F_INT("upstreams", (int64_t)g_hash_table_size(r->upstreams)),
		  F_INT("open", (int64_t)g_hash_table_size(g->forwards)));
}

void relays_record_silence(gateway_t *g, uint32_t upstream, mstime_t sent_at,
			   mstime_t now)
{
	reach_record_silence(&g->reach, upstream, sent_at, now);
	update_(g, now);
}

/* A random upstream that takes a health check, or NULL. */
static const balance_upstream_t *probed_(gateway_t *g, mstime_t now)
{
	const balance_upstream_t *found = NULL;
	GHashTableIter iter;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&iter, g->balance.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const balance_upstream_t *u = value;

		if (u->leaving || u->announced_leaving || now < u->cold_until)
			continue;
		if (!g_rand_int_range(g->rand, 0, ++n))
			found = u;
	}
	return found;
}

void relays_tick(gateway_t *g, mstime_t now)
{
	const balance_upstream_t *u;

	update_(g, now);
	if (!g->table || !reach_probe_due(&g->reach, now))
		return;
	u = probed_(g, now);
	if (u)
		crashes_ask_health(g, u, true, now);
}

static gboolean is_forgotten_(gpointer address, gpointer value, gpointer now)
{
	const relay_helper_t *h = value;

	(void)address;
	return !h->outstanding &&
	       *(const mstime_t *)now - h->heard_at > FORGET_MS;
}

void relays_hear(gateway_t *g, const char *from, mstime_t now)
{
	relay_helper_t *h = g_hash_table_lookup(g->helpers, from);

	if (!h) {
		g_hash_table_foreach_remove(g->helpers, is_forgotten_, &now);
		h = g_new0(relay_helper_t, 1);
		g_hash_table_insert(g->helpers, g_strdup(from), h);
	}
	h->heard_at = now;
}

static bool is_tried_(const forward_t *f, uint32_t key)
{
	for (int i = 0; f->way && i < f->way->tried_count; i++) {
		if (f->way->tried[i] == key)
			return true;
	}
	return false;
}

static relay_helper_t *helper_(const gateway_t *g, const member_t *m)
{
	return g_hash_table_lookup(g->helpers, m->peer);
}

static bool can_help_(const forward_t *f, const member_t *m, mstime_t now)
{
	const gateway_t *g = f->gateway;
	const relay_helper_t *h;

	if (m == g->members.self || m->state != MEMBER_LIVE ||
	    strcmp(m->region, g->conf->region) != 0 || is_tried_(f, m->key))
		return false;
	h = helper_(g, m);
	return h && now - h->heard_at <= HEARD_MAX_MS &&
	       now >= h->avoid_until && h->outstanding < OUTSTANDING_MAX;
}

/* Cuts often take a data centre whole; else the one with fewer requests. */
static const member_t *better_(const gateway_t *g, const member_t *a,
			       const member_t *b)
{
	bool near_a = !strcmp(a->data_centre, g->conf->data_centre);
	bool near_b = !strcmp(b->data_centre, g->conf->data_centre);

	if (near_a != near_b)
		return near_a ? b : a;
	return helper_(g, b)->outstanding < helper_(g, a)->outstanding ? b : a;
}

/* The better of two random nodes that can help, or NULL. */
static const member_t *choose_(const forward_t *f, mstime_t now)
{
	const gateway_t *g = f->gateway;
	const member_t *two[2] = { NULL, NULL };
	int n = 0;

	for (guint i = 0; i < g->ranking->len; i++) {
		const member_t *m = gateway_peers_at_rank(g, i);
		int at = n;

		if (!can_help_(f, m, now))
			continue;
		/* Reservoir sampling: all pairs are equally likely. */
		if (++n > 2)
			at = g_rand_int_range(g->rand, 0, n);
		if (at < 2)
			two[at] = m;
	}
	return n > 1 ? better_(g, two[0], two[1]) : two[0];
}

/* What the keyed hash covers besides the fields of the header itself. */
static void sign_(const gateway_t *g, const inbound_request_t *in,
		  const char *fields, char *out)
{
	unsigned char mac[MAC_BYTES];
	char *text = g_strdup_printf("relay %s\n%.*s\n%.*s\n%.*s\n%.*s", fields,
				     (int)in->id.len, in->id.data,
				     (int)in->method.len, in->method.data,
				     (int)in->host.len, in->host.data,
				     (int)in->target.len, in->target.data);

	crypto_generichash(mac, sizeof(mac), (const unsigned char *)text,
			   strlen(text), g->conf->peer_key, PEER_KEY_BYTES);
	sodium_bin2hex(out, MAC_SIZE, mac, sizeof(mac));
	g_free(text);
}

/* Signed fields: time, nonce, arrivals, flags and name of the sending node. */
static void format_fields_(const relay_order_t *o, mstime_t wall, char *out)
{
	snprintf(out, ORDER_TEXT_MAX, "%" G_GINT64_FORMAT " %s %d %d %d %d %s",
		 wall, o->nonce, o->arrivals, o->may_have_run, o->began,
		 o->counted, o->from);
}

static char *order_line_(const forward_t *f)
{
	const gateway_t *g = f->gateway;
	relay_order_t o = { .arrivals = f->deliveries,
			    .may_have_run = f->may_have_run,
			    .began = f->stream_begun,
			    .counted = f->counted };
	char fields[ORDER_TEXT_MAX];
	char mac[MAC_SIZE];

	g_strlcpy(o.from, g->conf->name, sizeof(o.from));
	g_strlcpy(o.nonce, f->way->nonce, sizeof(o.nonce));
	format_fields_(&o, clock_wall(), fields);
	sign_(g, &f->in, fields, mac);
	return g_strdup_printf(RELAY_HEADER ": %s %s", mac, fields);
}

static void send_(forward_t *f)
{
	gateway_t *g = f->gateway;
	char url[URL_MAX];
	char *method = str_dup(f->in.method);
	char *target = str_dup(f->in.target);
	outbound_request_t out = {
		.remaining_ms = MAX(1, f->deadline - clock_now()),
		.urgency = -1,
		.last_event_id = f->last_event_id,
		.omit = RELAY_HEADER,
	};
	GPtrArray *headers = g->protocol->build_relay_headers(f->req, &out);
	http_call_spec_t spec = {
		.method = method,
		.url = url,
		.target = target,
		.body = http_request_body(f->req),
		.body_stays = true,
		.deadline = MSTIME_NEVER,
		.bare = true,
		.single = true,
		.connect_max_ms = CONNECT_MAX_MS,
		.idle_max_ms = IDLE_MAX_MS,
	};

	g_ptr_array_insert(headers, 0, order_line_(f));
	spec.headers = (const char *const *)headers->pdata;
	snprintf(url, sizeof(url), "http://%s/", f->way->via);
	forward_start_call(f, &spec);
	g_ptr_array_unref(headers);
	g_free(method);
	g_free(target);
}

bool relays_start(forward_t *f)
{
	gateway_t *g = f->gateway;
	const member_t *m;
	relay_way_t *w;

	assert(!f->selected && !f->call);
	if (f->order || (f->way && f->way->tried_count >= RELAY_HELPERS_MAX))
		return false;
	m = choose_(f, clock_now());
	if (!m)
		return false;
	if (!f->way)
		f->way = g_new0(relay_way_t, 1);
	w = f->way;
	w->tried[w->tried_count++] = m->key;
	w->helper = helper_(g, m);
	w->helper->outstanding++;
	w->unable = false;
	g_strlcpy(w->via, m->peer, sizeof(w->via));
	snprintf(w->nonce, sizeof(w->nonce), "%08x%08x", g_rand_int(g->rand),
		 g_rand_int(g->rand));
	counter_add(COUNTER_RELAYS_SENT, 1);
	send_(f);
	return true;
}

void relays_end_call(forward_t *f)
{
	if (!f->way || !f->way->helper)
		return;
	f->way->helper->outstanding--;
	f->way->helper = NULL;
}

/* Whether the fault is that of the node, or of the way to it. */
static bool is_helpers_(fault_t why)
{
	return why == FAULT_UNABLE || why == FAULT_CONNECT ||
	       why == FAULT_DISCONNECT || why == FAULT_TIMEOUT;
}

void relays_record_fault(forward_t *f, fault_t why)
{
	relay_way_t *w = f->way;
	relay_helper_t *h = g_hash_table_lookup(f->gateway->helpers, w->via);
	mstime_t now = clock_now();

	relays_end_call(f);
	if (why == FAULT_CONNECT)
		f->deliveries--;
	if (h && is_helpers_(why))
		h->avoid_until = now + AVOID_MS;
	/* What it has reported before says nothing any more. */
	if (h && why == FAULT_UNABLE)
		h->heard_at = 0;
	LOG_EVENT(LOG_NOTICE, "relay.failed", F_VIEW("request", f->in.id),
		  F_STR("why", fault_string[why]), F_STR("via", w->via),
		  F_INT("status", f->response.status),
		  F_INT("arrivals", f->deliveries),
		  F_INT("tries", w->tried_count), F_INT("ms", now - f->sent_at),
		  F_INT("last_event", f->last_event_id));
}

bool relays_parse_response(forward_t *f, http_call_t *call)
{
	relay_way_t *w = f->way;
	str_t header = http_call_header(call, RELAY_HEADER);
	char text[RELAY_ANSWER_MAX];
	char nonce[RELAY_NONCE_SIZE];
	char verdict[sizeof(verdict_unable)];
	int arrivals;

	if (!header.len || header.len >= sizeof(text))
		return false;
	memcpy(text, header.data, header.len);
	text[header.len] = '\0';
	if (sscanf(text, "%16s %6s %d", nonce, verdict, &arrivals) != 3 ||
	    strcmp(nonce, w->nonce) != 0)
		return false;
	w->unable = !strcmp(verdict, verdict_unable);
	f->deliveries = CLAMP(arrivals, 0, INT16_MAX);
	/* Refusals of that node itself have no id, but the nonce. */
	if (f->response.status >= 300)
		f->response.mismatched = false;
	f->response.not_executed = f->response.wrong_instance = false;
	return true;
}

fault_t relays_fault(const forward_t *f)
{
	switch (f->response.status) {
	case 502:
		return FAULT_DISCONNECT;
	case 504:
		return FAULT_TIMEOUT;
	default:
		return FAULT_UNABLE;
	}
}

/* The fields of the header and their signature, if it is valid. */
static relay_order_t *parse_order_(const gateway_t *g, str_t header,
				   const inbound_request_t *in)
{
	char text[ORDER_TEXT_MAX + MAC_SIZE];
	char expected[MAC_SIZE];
	const char *fields = text + MAC_SIZE;
	relay_order_t o = { 0 };
	int may_have_run;
	int began;
	int counted;
	mstime_t wall;

	if (header.len <= MAC_SIZE || header.len >= sizeof(text))
		return NULL;
	memcpy(text, header.data, header.len);
	text[header.len] = '\0';
	sign_(g, in, fields, expected);
	if (sodium_memcmp(text, expected, MAC_SIZE - 1) != 0)
		return NULL;
	if (sscanf(fields, "%" G_GINT64_FORMAT " %16s %d %d %d %d %63[^\n]",
		   &wall, o.nonce, &o.arrivals, &may_have_run, &began, &counted,
		   o.from) != 7)
		return NULL;
	if (llabs(clock_wall() - wall) > DATAGRAM_AGE_MAX_MS)
		return NULL;
	o.may_have_run = may_have_run;
	o.began = began;
	o.counted = counted;
	return g_memdup2(&o, sizeof(o));
}

static void on_request_(void *ctx, http_request_t *req)
{
	gateway_t *g = ctx;
	inbound_request_t in;
	relay_order_t *order;

	g->protocol->parse_request(req, &in);
	order = parse_order_(g, http_request_header(req, RELAY_HEADER), &in);
	if (order) {
		forward_accept(g, req, order);
		return;
	}
	LOG_EVENT(LOG_NOTICE, "relay.rejected", F_VIEW("request", in.id));
	counter_add(COUNTER_REFUSED_AUTH, 1);
	gateway_reply_json(req, 403, "{\"error\":\"not a node\"}");
}

static void on_closed_(void *ctx, http_request_t *req, bool whole)
{
	if (http_request_user(req))
		forward_server_ops.closed(ctx, req, whole);
}

bool relays_admit(forward_t *f)
{
	const gateway_t *g = f->gateway;
	const char *why = NULL;

	if (!f->order)
		return true;
	if (relays_is_cut(g))
		why = "this node is cut as well";
	else if (g->relayed > RELAYED_MAX)
		why = "this node helps with too many";
	if (why)
		forward_refuse(f, 503, why, COUNTER_REFUSED_NOT_READY,
			       RETRY_AFTER_UNABLE_MS);
	return !why;
}

/* Whether a response only tells of this node's own links. */
static bool is_unable_(const forward_t *f, unsigned int status)
{
	const relay_order_t *o = f->order;

	if (!o->accepted)
		return true;
	if (status < 502)
		return false;
	if (relays_is_cut(f->gateway))
		return true;
	/* Nothing was sent: another node may reach other upstreams. */
	if (status == 503)
		return o->silent || f->pick.reason == BALANCE_NO_UPSTREAM;
	return o->silent && f->gateway->reach.state == REACH_DOUBTFUL;
}

const char *relays_answer_header(forward_t *f, unsigned int status)
{
	relay_order_t *o = f->order;
	bool unable = is_unable_(f, status);

	counter_add(COUNTER_RELAYS_UNABLE, unable);
	snprintf(o->answer, sizeof(o->answer), "%s %s %d", o->nonce,
		 unable ? verdict_unable : verdict_ok, f->deliveries);
	return o->answer;
}
