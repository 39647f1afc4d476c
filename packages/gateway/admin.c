#include "private/gateway.h"

#include <kcf/json_text.h>
#include <string.h>

static void render_latencies_(const gateway_t *g, GString *text)
{
	g_string_append(text, "# TYPE kcf_latency_ms histogram\n");
	for (int i = 0; i < ROUTE_KIND_COUNT; i++) {
		char labels[64];

		g_snprintf(labels, sizeof(labels),
			   "kind=\"%s\",until=\"first_byte\"",
			   route_kind_string[i]);
		latency_render(&g->latency_first_byte[i], "kcf_latency_ms",
			       labels, text);
		g_snprintf(labels, sizeof(labels), "kind=\"%s\",until=\"end\"",
			   route_kind_string[i]);
		latency_render(&g->latency_total[i], "kcf_latency_ms", labels,
			       text);
	}
}

static void reply_metrics_(const gateway_t *g, http_request_t *req)
{
	static const http_header_t headers[] = {
		{ "Content-Type", "text/plain; version=0.0.4" }, { NULL, NULL }
	};
	GString *text = g_string_new(NULL);

	counter_render(text);
	render_latencies_(g, text);
	http_reply(req, 200, headers, (str_t){ text->str, text->len });
	g_string_free(text, TRUE);
}

void gateway_reply_json(http_request_t *req, unsigned int status,
			const char *text)
{
	static const http_header_t headers[] = {
		{ "Content-Type", "application/json" }, { NULL, NULL }
	};

	http_reply(req, status, headers, str_of(text));
}

void gateway_reply_json_tree(http_request_t *req, json_t *root)
{
	char *text = json_text(root);

	gateway_reply_json(req, 200, text);
	g_free(text);
}

static json_t *upstream_json_(const balance_upstream_t *u, mstime_t now)
{
	return json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:b,s:f,s:i,s:i,s:I,s:f,s:f,s:I}", "id",
		u->id, "service", u->service, "address", u->address,
		"data_centre", u->data_centre, "version", u->version, "leaving",
		u->leaving, "limit_per_s",
		u->rate_limit.active ? u->rate_limit.per_s : -1.0, "mine",
		u->own_outstanding, "foreign", u->remote_outstanding,
		"load_age_ms",
		(json_int_t)(u->reported_at ? now - u->reported_at : -1),
		"failures", u->failure_rate, "latency_ms", u->latency_ms,
		"cold_ms", (json_int_t)MAX(0, u->cold_until - now));
}

static void reply_status_(gateway_t *g, http_request_t *req)
{
	json_t *list = json_array();
	mstime_t now = clock_now();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->balance.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append_new(list, upstream_json_(value, now));
	gateway_reply_json_tree(
		req, json_pack("{s:s,s:s,s:s,s:I,s:o}", "node", g->conf->name,
			       "phase", phase_string[g->phase], "reach",
			       reach_state_string[g->reach.state], "config",
			       g->table ? (json_int_t)g->table->version : -1,
			       "upstreams", list));
}

static json_t *version_json_(const version_t *v, mstime_t now)
{
	char key[16];

	g_snprintf(key, sizeof(key), "%08x", v->key);
	return json_pack("{s:s,s:s,s:s,s:I,s:b}", "service", v->service,
			 "version", v->name, "key", key, "seen_age_ms",
			 (json_int_t)(v->seen ? now - v->seen_at : -1),
			 "recorded", v->recorded);
}

/* Versions that may have begun streams, and whether any may be missing. */
static void reply_versions_(gateway_t *g, http_request_t *req)
{
	json_t *list = json_array();
	mstime_t now = clock_now();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->versions.by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append_new(list, version_json_(value, now));
	gateway_reply_json_tree(
		req, json_pack("{s:b,s:s,s:I,s:i,s:o}", "complete",
			       versions_is_complete(&g->versions, now), "basis",
			       versions_basis_text(&g->versions, now),
			       "stream_life_ms",
			       (json_int_t)g->versions.life_ms, "streams",
			       (int)g_hash_table_size(g->origins.streams.map),
			       "versions", list));
}

static void on_admin_(void *ctx, http_request_t *req)
{
	gateway_t *g = ctx;
	str_t path = http_request_path(req);

	if (str_eq(path, str_of(GATEWAY_FEEDS_PATH)))
		feed_sync_reply(g, req);
	else if (str_eq(path, str_of("/v1/status")))
		reply_status_(g, req);
	else if (str_eq(path, str_of("/v1/quarantine")))
		gateway_reply_json_tree(
			req,
			quarantine_report_json(&g->quarantine, clock_now()));
	else if (str_eq(path, str_of("/v1/versions")))
		reply_versions_(g, req);
	else if (str_eq(path, str_of("/v1/rollouts")))
		gateway_reply_json_tree(
			req, rollouts_json(&g->rollouts, clock_now()));
	else if (str_eq(path, str_of("/metrics")))
		reply_metrics_(g, req);
	else if (str_eq(path, str_of("/healthz")))
		gateway_reply_json(req, 200, "{}");
	else
		gateway_reply_json(req, 404, "{\"error\":\"no such path\"}");
}

static void on_metrics_(void *ctx, http_request_t *req)
{
	reply_metrics_(ctx, req);
}

static void on_admin_closed_(void *ctx, http_request_t *req, bool whole)
{
	(void)ctx;
	(void)whole;
	feed_sync_on_closed(req);
}

void gateway_ignore_closed(void *ctx, http_request_t *req, bool whole)
{
	(void)ctx;
	(void)req;
	(void)whole;
}

const http_server_ops_t admin_server_ops = { on_admin_, on_admin_closed_ };
const http_server_ops_t metrics_server_ops = { on_metrics_,
					       gateway_ignore_closed };
