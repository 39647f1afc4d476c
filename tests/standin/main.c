#include "standin.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define MAX_BODY (16 * 1024 * 1024)
#define MAX_HEADER (64 * 1024)
#define MAX_CONNECTIONS 20000
#define IDLE_S 600

static standin_options_t opts = { .prefill_tps = 20000,
				  .token_ms = 10,
				  .cache_tokens = 100000 };
static gchar *mode;
static gchar *listen_address;
static gchar *name;
static const standin_ops_t *ops;

static const GOptionEntry entries[] = {
	{ "mode", 0, 0, G_OPTION_ARG_STRING, &mode,
	  "engine, service, log, hosts, weights or store", "MODE" },
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &listen_address, "Address",
	  "IP:PORT" },
	{ "name", 0, 0, G_OPTION_ARG_STRING, &name, "Name", "NAME" },
	{ "prefill-tps", 0, 0, G_OPTION_ARG_INT, &opts.prefill_tps,
	  "Prompt tokens a second", "N" },
	{ "token-ms", 0, 0, G_OPTION_ARG_INT, &opts.token_ms,
	  "Time between tokens", "MS" },
	{ "cache-tokens", 0, 0, G_OPTION_ARG_INT, &opts.cache_tokens,
	  "Prefix cache", "N" },
	{ "lag-ms", 0, 0, G_OPTION_ARG_INT, &opts.lag_ms, "Lag of reports",
	  "MS" },
	{ "delay-ms", 0, 0, G_OPTION_ARG_INT, &opts.delay_ms,
	  "Time of a plain call", "MS" },
	{ "retention-ms", 0, 0, G_OPTION_ARG_INT, &opts.retention_ms,
	  "Life of log records", "MS" },
	{ "rate", 0, 0, G_OPTION_ARG_INT, &opts.rate, "Limit a second", "N" },
	{ 0 },
};

void standin_json(http_request_t *r, unsigned int status, json_t *body)
{
	char *id = str_dup(http_request_header(r, "X-Request-Id"));
	const http_header_t headers[] = {
		{ "Content-Type", "application/json" },
		{ *id ? "X-Request-Id" : NULL, id },
		{ NULL, NULL },
	};
	char *text = json_dumps(body, JSON_COMPACT);

	http_reply(r, status, headers, str_of(text));
	g_free(id);
	free(text);
	json_decref(body);
}

void standin_switch(const json_t *switches, const char *key, int *value)
{
	json_t *v = json_object_get(switches, key);

	if (json_is_integer(v))
		*value = (int)json_integer_value(v);
	else if (json_is_boolean(v))
		*value = json_is_true(v);
}

static void on_request_(void *ctx, http_request_t *r)
{
	str_t path = http_request_path(r);
	str_t body = http_request_body(r);
	json_t *switches;

	(void)ctx;
	http_request_ends_with_connection(r);
	if (str_eq(path, str_of("/stats"))) {
		standin_json(r, 200, ops->stats());
	} else if (str_eq(path, str_of("/fault"))) {
		switches = json_loadb(body.data, body.len, 0, NULL);
		ops->fault(switches);
		json_decref(switches);
		standin_json(r, 200, json_object());
	} else {
		ops->request(r);
	}
}

static void on_closed_(void *ctx, http_request_t *r, bool whole)
{
	(void)ctx;
	if (ops->closed)
		ops->closed(r, whole);
}

static const http_server_ops_t server_ops = { on_request_, on_closed_ };

static void on_signal_(struct ev_loop *loop, ev_signal *w, int revents)
{
	(void)w;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

int main(int argc, char **argv)
{
	static const standin_ops_t *const all[] = { &engine_ops,  &service_ops,
						    &log_ops,	  &hosts_ops,
						    &weights_ops, &store_ops };
	GOptionContext *context = g_option_context_new(NULL);
	struct ev_loop *loop = ev_default_loop(0);
	http_server_t server;
	http_server_conf_t conf = { .max_body = MAX_BODY,
				    .max_header = MAX_HEADER,
				    .max_connections = MAX_CONNECTIONS,
				    .idle_timeout_s = IDLE_S };
	ev_signal terminate;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || !mode ||
	    !listen_address)
		return 2;
	g_option_context_free(context);
	for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
		if (!strcmp(all[i]->mode, mode))
			ops = all[i];
	}
	if (!ops)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	opts.listen = listen_address;
	opts.name = name ? name : listen_address;
	conf.address = listen_address;
	ops->init(loop, &opts);
	if (http_server_init(&server, loop, &conf, &server_ops, NULL)) {
		fprintf(stderr, "cannot listen on %s\n", listen_address);
		return 1;
	}
	ev_signal_init(&terminate, on_signal_, SIGTERM);
	ev_signal_start(loop, &terminate);
	ev_run(loop, 0);
	http_server_finish(&server);
	return 0;
}
