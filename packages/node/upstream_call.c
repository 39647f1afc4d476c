#include "private/exchange.h"

#include <kcf/logline.h>
#include <stdio.h>
#include <string.h>

#define ATTEMPTS_MAX 6
/* Buffered bytes at which reading from the upstream stops and goes on. */
#define STREAM_HIGH_BYTES (256 * 1024)
#define STREAM_LOW_BYTES (64 * 1024)
#define ANSWER_MAX_BYTES (32 * 1024 * 1024)
#define RETRY_AFTER_BROKEN_MS 1000
/* Heartbeats to another node within the gap after which it gives up. */
#define PEER_BEATS 3

/* Headers that end at this node or are set by it. */
static const char *const own_headers[] = {
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

/* Headers of an answer that reach the caller. */
static const char *const answer_headers[] = {
	"Content-Type",
	"Location",
	"ETag",
	"Last-Modified",
	"Cache-Control",
	"Retry-After",
	"X-Cached-Tokens",
	"X-Prompt-Tokens",
	"X-Upstream",
	"X-Retry-After-Ms",
	"Idempotent-Replayed",
	"X-Start-Id",
	NULL,
};

#define ANSWER_HEADERS_MAX (G_N_ELEMENTS(answer_headers) + 5)

static void on_head_(void *ctx, http_call_t *call, int status);
static void on_data_(void *ctx, http_call_t *call, str_t data);
static void on_done_(void *ctx, http_call_t *call, int err, int status);
static void on_kick_(struct ev_loop *loop, ev_timer *w, int revents);
static void release_(exchange_t *x, sched_result_t result);
static void failed_(exchange_t *x, sched_result_t result, bool unsent,
		    const char *why);
static void finish_stream_(exchange_t *x);
static void kick_(exchange_t *x);

static const http_call_ops_t call_ops = { on_head_, on_data_, on_done_ };

static void add_header_(void *arg, const char *name, str_t value)
{
	GPtrArray *lines = arg;

	for (const char *const *own = own_headers; *own; own++) {
		if (!g_ascii_strcasecmp(*own, name))
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

/* The caller's key is for the fleet; upstreams do not get to see it. */
static void drop_authorization_(GPtrArray *lines)
{
	for (guint i = 0; i < lines->len;) {
		if (is_authorization_(lines->pdata[i]))
			g_ptr_array_remove_index(lines, i);
		else
			i++;
	}
}

/* Whether this node may let a run-once request run. */
static bool settled_(const exchange_t *x)
{
	return x->once_held || x->once_hop == HOP_ONCE_SETTLED;
}

static void add_loads_(const exchange_t *x, GPtrArray *lines)
{
	if (!x->placed.loads[0])
		return;
	counter_add(COUNTER_CONTROL_SENT_BYTES,
		    (int64_t)strlen(x->placed.loads));
	g_ptr_array_add(lines,
			g_strdup_printf(LOADS_HEADER ": %s", x->placed.loads));
}

static GPtrArray *headers_(exchange_t *x)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	char hop_text[HOP_TEXT_MAX];
	hop_t hop = { x->placed.hop, x->placed.target, HOP_ONCE_OPEN };

	if (x->once || x->route == ROUTE_JOB)
		hop.once = settled_(x) ? HOP_ONCE_SETTLED : HOP_ONCE_HERE;

	http_request_each_header(x->req, add_header_, lines);
	g_ptr_array_add(lines,
			g_strdup_printf("X-Request-Id: %s", x->request_id));
	g_ptr_array_add(lines, g_strdup_printf("X-Customer: %s", x->customer));
	if (x->sticky)
		g_ptr_array_add(lines, g_strdup_printf("X-Chat-Key: %016lx",
						       (unsigned long)x->chat));
	g_ptr_array_add(
		lines, g_strdup_printf("X-Deadline-Ms: %lld",
				       (long long)(x->deadline - clock_now())));
	if (x->last_id > 0)
		g_ptr_array_add(lines, g_strdup_printf("Last-Event-ID: %lld",
						       (long long)x->last_id));
	if (x->placed.verdict == SCHED_FORWARD) {
		hop_format(x->relay->settings->peer_key, x->request_id, &hop,
			   hop_text);
		g_ptr_array_add(lines,
				g_strdup_printf(HOP_HEADER ": %s", hop_text));
		add_loads_(x, lines);
	} else {
		drop_authorization_(lines);
	}
	g_ptr_array_add(lines, NULL);
	return lines;
}

static char *url_(const exchange_t *x)
{
	str_t query = http_request_query_string(x->req);
	str_t path = http_request_path(x->req);
	const char *node;

	if (x->placed.verdict == SCHED_RUN)
		return g_strdup_printf("http://%s%s", x->placed.address,
				       x->subpath_text
					       ? x->subpath_text->str
					       : "/v1/chat/completions");
	node = roster_find(x->relay->roster, x->placed.node);
	return g_strdup_printf("%s://%s%.*s%s%.*s",
			       settings_caller_scheme(x->relay->settings),
			       node ? node : "", (int)path.len, path.data,
			       query.len ? "?" : "", (int)query.len,
			       query.len ? query.data : "");
}

void exchange_send(exchange_t *x)
{
	GPtrArray *headers = headers_(x);
	char *url = url_(x);
	char *method = str_dup(http_request_method(x->req));
	http_call_spec_t spec = {
		.method = method,
		.url = url,
		.headers = (const char *const *)headers->pdata,
		.body = http_request_body(x->req),
		.deadline = x->deadline,
		/* A pooled connection may be resent on by the library. */
		.fresh = x->once,
	};

	x->attempts++;
	x->sent_at = clock_now();
	x->heard_at = x->sent_at;
	x->first_token_ms = -1;
	x->crossed = false;
	x->paused = false;
	g_string_truncate(x->body, 0);
	sse_reset(&x->events);
	if (x->placed.verdict == SCHED_FORWARD)
		counter_add(COUNTER_FORWARDED, 1);
	x->call = http_call_start(&x->relay->upstreams, &spec, &call_ops, x);
	g_free(method);
	g_free(url);
	g_ptr_array_unref(headers);
}

static bool is_stream_(http_call_t *call)
{
	return str_starts(http_call_header(call, "Content-Type"),
			  str_of("text/event-stream"));
}

static int64_t number_header_(http_call_t *call, const char *name)
{
	int64_t v;

	return str_to_int(http_call_header(call, name), &v) ? v : -1;
}

static size_t collect_headers_(exchange_t *x, http_call_t *call,
			       http_header_t *out)
{
	size_t n = 0;

	for (const char *const *name = answer_headers; *name; name++) {
		str_t value = http_call_header(call, *name);

		if (value.data)
			out[n++] = (http_header_t){ *name, value.data };
	}
	out[n++] = (http_header_t){ "X-Request-Id", x->request_id };
	if (x->placed.verdict == SCHED_RUN)
		out[n++] = (http_header_t){ "X-Upstream", x->placed.upstream };
	if (x->placed.verdict == SCHED_RUN && x->placed.loads[0])
		out[n++] = (http_header_t){ LOADS_HEADER, x->placed.loads };
	out[n] = (http_header_t){ NULL, NULL };
	return n;
}

static void begin_stream_(exchange_t *x, http_call_t *call)
{
	http_header_t headers[ANSWER_HEADERS_MAX];

	if (x->streaming)
		return;
	collect_headers_(x, call, headers);
	x->streaming = true;
	x->wrote_at = clock_now();
	http_stream_begin(x->req, 200, headers);
}

static void on_head_(void *ctx, http_call_t *call, int status)
{
	exchange_t *x = ctx;
	str_t echo = http_call_header(call, "X-Request-Id");

	x->sent = true;
	x->heard_at = clock_now();
	if (x->echoes && !str_eq(echo, str_of(x->request_id))) {
		x->crossed = true;
		kick_(x);
		return;
	}
	if (x->placed.verdict == SCHED_FORWARD)
		exchange_post_loads(x, http_call_header(call, LOADS_HEADER));
	x->told_prompt = number_header_(call, "X-Prompt-Tokens");
	x->told_cached = number_header_(call, "X-Cached-Tokens");
	x->told_start = (uint64_t)MAX(0, number_header_(call, "X-Start-Id"));
	if (status == 200 && is_stream_(call))
		begin_stream_(x, call);
}

static void take_event_(exchange_t *x, const sse_event_t *e)
{
	if (e->comment || x->finished)
		return;
	if (e->id >= 0) {
		/* A resumed stream may begin before what was sent already. */
		if (e->id <= x->last_id)
			return;
		x->last_id = e->id;
	}
	if (x->first_token_ms < 0)
		x->first_token_ms = x->heard_at - x->sent_at;
	if (str_eq(e->data, str_of("[DONE]")))
		x->finished = true;
	http_stream_write(x->req, e->raw);
	x->wrote_at = x->heard_at;
}

static void on_data_(void *ctx, http_call_t *call, str_t data)
{
	exchange_t *x = ctx;
	sse_event_t event;

	x->heard_at = clock_now();
	if (x->crossed)
		return;
	if (!x->streaming || !is_stream_(call)) {
		if (x->body->len + data.len <= ANSWER_MAX_BYTES)
			g_string_append_len(x->body, data.data,
					    (gssize)data.len);
		return;
	}
	if (!sse_feed(&x->events, data)) {
		x->crossed = true;
		kick_(x);
		return;
	}
	while (sse_next(&x->events, &event))
		take_event_(x, &event);
	if (http_stream_pending(x->req) > STREAM_HIGH_BYTES)
		kick_(x);
}

/* Whether a member of a problem answer has a value. */
static bool problem_says_(const exchange_t *x, const char *member,
			  const char *value)
{
	json_t *root = json_loadb(x->body->str, x->body->len, 0, NULL);
	const char *text = json_string_value(json_object_get(root, member));
	bool same = !g_strcmp0(text, value);

	json_decref(root);
	return same;
}

/* What a problem answer of another node says of the run, RAN_YES for others. */
static ran_t told_ran_(const exchange_t *x, int status)
{
	if (x->placed.verdict != SCHED_FORWARD || status < 400)
		return RAN_YES;
	if (problem_says_(x, "ran", "no"))
		return RAN_NO;
	if (problem_says_(x, "ran", "unknown"))
		return RAN_UNKNOWN;
	return RAN_YES;
}

static void end_once_(exchange_t *x, int status, str_t body, const char *type)
{
	ran_t told = told_ran_(x, status);

	if (told == RAN_YES)
		exchange_once_end(x, true, status, body, type);
	else
		exchange_once_end(x, told == RAN_UNKNOWN, 0, STR_NONE, "");
}

static void reply_whole_(exchange_t *x, http_call_t *call, int status)
{
	http_header_t headers[ANSWER_HEADERS_MAX];
	str_t body = { x->body->str, x->body->len };
	char *type = str_dup(http_call_header(call, "Content-Type"));

	collect_headers_(x, call, headers);
	if (x->once_held)
		end_once_(x, status, body, type);
	http_reply(x->req, (unsigned int)status, headers, body);
	g_free(type);
}

/* An upstream's own statement that it has not run the request. */
static bool says_not_run_(const exchange_t *x)
{
	return problem_says_(x, "ran", "no");
}

/* Another node does not own the upstream any more; views differ for a while. */
static bool says_moved_(const exchange_t *x)
{
	return x->placed.verdict == SCHED_FORWARD &&
	       problem_says_(x, "title", sched_refusal_string[REFUSE_MOVED]);
}

static bool is_refusal_(int status)
{
	return status == 429 || status == 503;
}

static void refused_(exchange_t *x, http_call_t *call)
{
	int64_t retry_s = number_header_(call, "Retry-After");
	int64_t retry_ms = number_header_(call, "X-Retry-After-Ms");
	ran_t ran = x->once && !says_not_run_(x) ? RAN_UNKNOWN : RAN_NO;

	release_(x, SCHED_UPSTREAM_REFUSED);
	if (retry_ms < 0)
		retry_ms = MAX(0, retry_s) * MSEC_PER_SEC;
	exchange_refuse(x, 503, "upstream refused for load", ran,
			COUNTER_REFUSED_UPSTREAM,
			retry_ms ? retry_ms : RETRY_AFTER_BROKEN_MS);
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	exchange_t *x = ctx;
	bool streamed = x->streaming && is_stream_(call);

	x->call = NULL;
	ev_timer_stop(x->relay->task.loop, &x->kick);
	if (err != HTTP_ECONNECT && err != HTTP_EURL)
		x->sent = true;
	if (x->crossed) {
		counter_add(COUNTER_CROSSED, 1);
		failed_(x, SCHED_BROKEN, false, "crossed");
	} else if (err == HTTP_ECONNECT || err == HTTP_EURL) {
		failed_(x, SCHED_CONNECT_FAILED, true, "connect");
	} else if (streamed && x->finished) {
		finish_stream_(x);
	} else if (err != HTTP_OK) {
		failed_(x, SCHED_BROKEN, false, http_err_string[-err]);
	} else if (streamed) {
		failed_(x, SCHED_BROKEN, false, "stream ended early");
	} else if (is_refusal_(status) && says_moved_(x)) {
		failed_(x, SCHED_CONNECT_FAILED, true, "moved");
	} else if (is_refusal_(status)) {
		refused_(x, call);
	} else if (x->streaming) {
		/* A stream that has begun cannot become another answer. */
		failed_(x, SCHED_BROKEN, false, "resume refused");
	} else {
		release_(x, SCHED_DONE);
		exchange_trace(x, "answered status=%d bytes=%zu", status,
			       x->body->len);
		reply_whole_(x, call, status);
	}
}

static void finish_stream_(exchange_t *x)
{
	release_(x, SCHED_DONE);
	exchange_trace(x, "stream ended last=%lld", (long long)x->last_id);
	http_stream_end(x->req, true);
}

static void release_(exchange_t *x, sched_result_t result)
{
	message_t *m;

	if (!x->permit)
		return;
	x->permit = false;
	m = message_new(MSG_RELEASE);
	m->release = (sched_outcome_t){
		.id = x->id,
		.result = result,
		.prompt_tokens = x->told_prompt,
		.cached_tokens = x->told_cached,
		.start_id = x->told_start,
		.first_token_ms = x->first_token_ms,
	};
	if (result == SCHED_DONE && x->told_cached >= 0) {
		counter_add(COUNTER_CACHED_TOKENS, x->told_cached);
		counter_add(COUNTER_PROMPT_TOKENS, MAX(0, x->told_prompt));
	}
	task_post(x->relay->control, m);
}

static void exclude_(exchange_t *x)
{
	if (x->placed.verdict == SCHED_FORWARD) {
		g_strlcpy(x->avoid, x->placed.node, sizeof(x->avoid));
		return;
	}
	if (x->excluded < SCHED_EXCLUDE_MAX)
		x->exclude[x->excluded++] = x->placed.key;
}

/* Retries come out of a budget, a share of the requests. */
static bool take_retry_(exchange_t *x)
{
	if (x->attempts >= ATTEMPTS_MAX || x->relay->retry_budget < 1)
		return false;
	x->relay->retry_budget -= 1;
	return true;
}

/*
 * One attempt has failed. What may run again is placed again; a stream goes on
 * from the last event that the caller has.
 */
static void failed_(exchange_t *x, sched_result_t result, bool unsent,
		    const char *why)
{
	bool may_run_again =
		x->route != ROUTE_JOB && (!x->once || (unsent && settled_(x)));
	bool in_time = clock_now() < x->deadline;

	release_(x, result);
	exchange_trace(x, "failed why=\"%s\" attempt=%d", why, x->attempts);
	LOG_EVENT(LOG_NOTICE, "attempt.failed", F_STR("request", x->request_id),
		  F_STR("why", why), F_STR("upstream", x->placed.upstream),
		  F_STR("node", x->placed.node), F_INT("attempt", x->attempts));
	if (may_run_again && in_time && take_retry_(x)) {
		counter_add(COUNTER_RETRIES, 1);
		if (x->streaming)
			counter_add(COUNTER_RESUMED, 1);
		if (result == SCHED_CONNECT_FAILED || x->attempts > 1)
			exclude_(x);
		x->target = 0;
		exchange_place(x);
		return;
	}
	exchange_refuse(x, in_time ? 502 : 504,
			in_time ? "upstream failed" : "deadline has passed",
			unsent && !x->sent && (!x->once || settled_(x))
				? RAN_NO
				: RAN_UNKNOWN,
			COUNTER_REFUSED_UPSTREAM, RETRY_AFTER_BROKEN_MS);
}

void exchange_abort(exchange_t *x, sched_result_t result)
{
	ev_timer_stop(x->relay->task.loop, &x->kick);
	if (x->call) {
		x->sent = true;
		http_call_cancel(x->call);
		x->call = NULL;
	}
	release_(x, result);
}

/* libcurl forbids ending a call inside its own functions. */
static void kick_(exchange_t *x)
{
	if (ev_is_active(&x->kick))
		return;
	ev_timer_init(&x->kick, on_kick_, 0, 0);
	x->kick.data = x;
	ev_timer_start(x->relay->task.loop, &x->kick);
}

static void on_kick_(struct ev_loop *loop, ev_timer *w, int revents)
{
	exchange_t *x = w->data;

	(void)loop;
	(void)revents;
	if (!x->call)
		return;
	if (x->crossed) {
		http_call_cancel(x->call);
		x->call = NULL;
		counter_add(COUNTER_CROSSED, 1);
		failed_(x, SCHED_BROKEN, false, "crossed");
		return;
	}
	if (http_stream_pending(x->req) > STREAM_HIGH_BYTES) {
		x->paused = true;
		http_call_pause(x->call, true);
	}
}

static void heartbeat_(exchange_t *x, mstime_t now)
{
	static const char beat[] = ": heartbeat\n\n";

	mstime_t interval = x->relay->settings->caller_heartbeat_ms;

	/* Another node waits no longer than the gap: tell it in time. */
	if (x->hop > 0)
		interval = MIN(interval, x->gap_ms / PEER_BEATS);
	if (now - x->wrote_at < interval)
		return;
	x->wrote_at = now;
	http_stream_write(x->req, str_of(beat));
}

void exchange_sweep(exchange_t *x, mstime_t now)
{
	if (x->paused && x->call &&
	    http_stream_pending(x->req) < STREAM_LOW_BYTES) {
		x->paused = false;
		x->heard_at = now;
		http_call_pause(x->call, false);
	}
	if (x->streaming && !x->finished)
		heartbeat_(x, now);
	if (!x->call || x->paused || !x->streaming || x->finished)
		return;
	if (now - x->heard_at <= x->gap_ms)
		return;
	/* Silence: the connection may be dead while the engine is not. */
	http_call_cancel(x->call);
	x->call = NULL;
	failed_(x, SCHED_BROKEN, false, "silent");
}
