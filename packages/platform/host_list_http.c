#include <kcf/platform.h>

#include <jansson.h>

#define FETCH_TIMEOUT_MS 3000

typedef struct fetch_call {
	host_list_client_t *client;
	host_list_fn fn;
	void *arg;
} fetch_call_t;

static void deliver_hosts_(const fetch_call_t *f, const json_t *list)
{
	size_t count = json_array_size(list);
	host_entry_t *hosts = g_new0(host_entry_t, count + 1);
	size_t n = 0;
	size_t i;
	json_t *o;

	json_array_foreach ((json_t *)list, i, o) {
		if (json_unpack(o, "{s:s,s:s}", "name", &hosts[n].name, "peer",
				&hosts[n].peer) == 0)
			n++;
	}
	f->fn(f->arg, hosts, n);
	g_free(hosts);
}

static void on_fetched_(void *ctx, http_call_t *call, int http, int status)
{
	fetch_call_t *f = ctx;
	str_t body = http_call_body(call);
	str_t etag = http_call_header(call, "ETag");
	json_t *root = NULL;
	json_t *list = NULL;

	if (http == HTTP_OK && status == 200)
		root = json_loadb(body.data, body.len, 0, NULL);
	list = json_object_get(root, "hosts");
	if (json_is_array(list)) {
		g_free(f->client->etag);
		f->client->etag = etag.len ? str_dup(etag) : NULL;
		deliver_hosts_(f, list);
	} else {
		f->fn(f->arg, NULL, 0);
	}
	json_decref(root);
	g_free(f);
}

static const http_call_ops_t fetch_ops = { .done = on_fetched_ };

static void fetch_(host_list_client_t *h, host_list_fn fn, void *arg)
{
	fetch_call_t *f = g_new0(fetch_call_t, 1);
	char *match =
		h->etag ? g_strdup_printf("If-None-Match: %s", h->etag) : NULL;
	const char *headers[] = { match, NULL };
	http_call_spec_t spec = {
		.method = "GET",
		.url = h->url,
		.headers = headers,
		.deadline = clock_now() + FETCH_TIMEOUT_MS,
	};

	*f = (fetch_call_t){ h, fn, arg };
	http_call_start(h->http, &spec, &fetch_ops, f);
	g_free(match);
}

const host_list_ops_t host_list_http_ops = { fetch_ };
