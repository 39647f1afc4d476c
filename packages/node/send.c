/*
 * Starts one attempt of a request, at an upstream or at another node.
 */
#include "private/exchange.h"

#include <string.h>

/* Hop-by-hop headers, those meant for this node, and those that it sets. */
static const char *const unforwarded_headers[] = {
	"host",
	"content-length",
	"connection",
	"transfer-encoding",
	"keep-alive",
	"te",
	"trailer",
	"upgrade",
	"expect",
	"proxy-connection",
	"x-request-id",
	"x-kcf-hop",
	"x-kcf-loads",
	"last-event-id",
	"x-deadline-ms",
	"x-customer",
	"x-chat-key",
	"prefer",
	NULL,
};

static void forward_header_(void *arg, const char *name, str_t value)
{
	GPtrArray *lines = arg;

	for (const char *const *unforwarded = unforwarded_headers; *unforwarded;
	     unforwarded++) {
		if (!g_ascii_strcasecmp(*unforwarded, name))
			return;
	}
	g_ptr_array_add(lines, g_strdup_printf("%s: %.*s", name, (int)value.len,
					       value.data));
}

static bool is_authorization_(gconstpointer line)
{
	return !g_ascii_strncasecmp(line,
				    "authorization:", strlen("authorization:"));
}

/* The caller's key is meant for the nodes and is not sent to upstreams. */
static void drop_authorization_(GPtrArray *lines)
{
	for (guint i = 0; i < lines->len;) {
		if (is_authorization_(lines->pdata[i]))
			g_ptr_array_remove_index(lines, i);
		else
			i++;
	}
}

static void add_loads_header_(const exchange_t *x, GPtrArray *lines)
{
	if (!x->placement.loads[0])
		return;
	counter_add(COUNTER_CONTROL_SENT_BYTES,
		    (int64_t)strlen(x->placement.loads));
	g_ptr_array_add(lines, g_strdup_printf(LOADS_HEADER ": %s",
					       x->placement.loads));
}

static GPtrArray *build_headers_(exchange_t *x)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	char hop_text[HOP_TEXT_MAX];
	hop_t hop = { x->placement.hop, x->placement.target, HOP_ONCE_NONE };

	if (x->run_once || x->route == ROUTE_JOB)
		hop.once = exchange_has_claim(x) ? HOP_ONCE_CLAIMED
						 : HOP_ONCE_RESOLVE_HERE;

	http_request_each_header(x->req, forward_header_, lines);
	g_ptr_array_add(lines,
			g_strdup_printf("X-Request-Id: %s", x->request_id));
	g_ptr_array_add(lines, g_strdup_printf("X-Customer: %s", x->customer));
	if (x->sticky)
		g_ptr_array_add(lines, g_strdup_printf("X-Chat-Key: %016lx",
						       (unsigned long)x->chat));
	g_ptr_array_add(
		lines, g_strdup_printf("X-Deadline-Ms: %lld",
				       (long long)(x->deadline - clock_now())));
	if (x->last_event_id > 0)
		g_ptr_array_add(lines,
				g_strdup_printf("Last-Event-ID: %lld",
						(long long)x->last_event_id));
	if (x->placement.verdict == SCHED_FORWARD) {
		hop_format(x->relay->settings->peer_key, x->request_id, &hop,
			   hop_text);
		g_ptr_array_add(lines,
				g_strdup_printf(HOP_HEADER ": %s", hop_text));
		add_loads_header_(x, lines);
	} else {
		drop_authorization_(lines);
	}
	g_ptr_array_add(lines, NULL);
	return lines;
}

static char *build_url_(const exchange_t *x)
{
	str_t query = http_request_query_string(x->req);
	str_t path = http_request_path(x->req);
	const char *node;

	if (x->placement.verdict == SCHED_RUN)
		return g_strdup_printf("http://%s%s", x->placement.address,
				       x->subpath_text
					       ? x->subpath_text->str
					       : "/v1/chat/completions");
	node = roster_caller_address(x->relay->roster, x->placement.node);
	return g_strdup_printf("%s://%s%.*s%s%.*s",
			       settings_caller_scheme(x->relay->settings),
			       node ? node : "", (int)path.len, path.data,
			       query.len ? "?" : "", (int)query.len,
			       query.len ? query.data : "");
}

void exchange_send(exchange_t *x)
{
	GPtrArray *headers = build_headers_(x);
	char *url = build_url_(x);
	char *method = str_dup(http_request_method(x->req));
	http_call_spec_t spec = {
		.method = method,
		.url = url,
		.headers = (const char *const *)headers->pdata,
		.body = http_request_body(x->req),
		.deadline = x->deadline,
		/* On a reused connection, libcurl may send a request twice. */
		.fresh = x->run_once,
	};

	/* Nodes answer once; an upstream's refusal may come twice. */
	if (x->placement.verdict == SCHED_RUN)
		spec.tag = str_hash64(str_of(x->request_id), 0) | 1;

	x->attempts++;
	/* Assumed until a failure proves the contrary. */
	x->maybe_sent_before = x->maybe_sent;
	x->maybe_sent = true;
	x->sent_at = clock_now();
	x->received_at = x->sent_at;
	x->first_token_ms = -1;
	x->head_seen = false;
	x->rejected = false;
	x->paused = false;
	g_string_truncate(x->body, 0);
	sse_reset(&x->sse);
	if (x->placement.verdict == SCHED_FORWARD)
		counter_add(COUNTER_FORWARDED, 1);
	x->call = http_call_start(&x->relay->upstreams, &spec,
				  &exchange_call_ops, x);
	g_free(method);
	g_free(url);
	g_ptr_array_unref(headers);
}
