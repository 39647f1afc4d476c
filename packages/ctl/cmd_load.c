/*
 * load - drives a workload of returning chats against callers' interface.
 *
 * Requests arrive at random times at a given rate, whatever the answers take,
 * so that slow answers are not hidden by fewer requests.
 */
#include "private/load.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define TURN_BYTES 256
/* Tries of one request at other nodes when its node cannot be used. */
#define TRIES_MAX 8
#define TRY_AGAIN_S 0.2
typedef struct shot {
	load_t *load;
	chat_load_t *chat;
	int64_t started_us;
	int64_t first_us;
	GString *tail; /* end of the body */
	char *request_id;
	char *once_key;
	int64_t last_id; /* of the stream's events so far */
	int tries;
	ev_timer again;
	bool once;
} shot_t;

static void count_(GHashTable *table, const char *what)
{
	int64_t *n = g_hash_table_lookup(table, what);

	if (!n) {
		n = g_new0(int64_t, 1);
		g_hash_table_insert(table, g_strdup(what), n);
	}
	(*n)++;
}

static void send_(shot_t *s);
static void start_shot_(shot_t *s);

static char *prompt_(const load_t *l, const chat_load_t *chat)
{
	size_t len =
		(size_t)l->o.prompt_bytes + (size_t)chat->turns * TURN_BYTES;
	char *text = g_malloc(len + 1);
	size_t id_len = strlen(chat->id);

	for (size_t i = 0; i < len; i++)
		text[i] = chat->id[i % id_len];
	text[len] = '\0';
	return text;
}

static char *body_(const load_t *l, const chat_load_t *chat)
{
	char *prompt = prompt_(l, chat);
	json_t *o = json_pack("{s:s,s:b,s:i,s:[{s:s,s:s}]}", "model",
			      l->o.model, "stream", (int)l->o.stream,
			      "max_tokens", l->o.max_tokens, "messages", "role",
			      "user", "content", prompt);
	char *dump = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	g_free(prompt);
	return dump;
}

static void finish_(shot_t *s)
{
	load_t *l = s->load;

	s->chat->busy = false;
	l->open--;
	ev_timer_stop(l->ctl->loop, &s->again);
	g_string_free(s->tail, TRUE);
	g_free(s->request_id);
	g_free(s->once_key);
	g_free(s);
	if (!l->open && clock_now() >= l->ends)
		ev_break(l->ctl->loop, EVBREAK_ALL);
}

static void count_refusal_(load_t *l, shot_t *s, int err, int status)
{
	json_t *body = json_loadb(s->tail->str, s->tail->len, 0, NULL);
	const char *title = json_string_value(json_object_get(body, "title"));
	char *what = err ? g_strdup(http_err_string[-err])
			 : g_strdup_printf("%d %s", status, title ? title : "");

	count_(l->reasons, what);
	l->customers[s->chat->customer].refused++;
	g_free(what);
	json_decref(body);
}

static int64_t number_(http_call_t *call, const char *name)
{
	int64_t v;

	return str_to_int(http_call_header(call, name), &v) ? v : 0;
}

/* Whether the time of warming up is over. */
static bool counts_(const load_t *l)
{
	return clock_now() >= l->started + l->o.warmup_ms;
}

static void note_answer_(load_t *l, const shot_t *s, http_call_t *call,
			 double total)
{
	customer_load_t *c = &l->customers[s->chat->customer];

	if (!counts_(l))
		return;
	l->ok++;
	c->ok++;
	samples_add(&l->total_ms, total);
	samples_add(&c->total_ms, total);
	if (total > l->slowest_ms) {
		l->slowest_ms = total;
		g_free(l->slowest);
		l->slowest = g_strdup(s->request_id);
	}
	if (s->first_us)
		samples_add(&l->first_ms,
			    (double)(s->first_us - s->started_us) /
				    MSEC_PER_SEC);
	l->prompt += number_(call, "X-Prompt-Tokens");
	l->cached += number_(call, "X-Cached-Tokens");
}

/*
 * What a router that knows every cache would have reused: all that the chat's
 * last engine held, unless that engine has started anew since.
 */
static void note_ideal_(load_t *l, chat_load_t *chat, const char *upstream,
			int64_t start_id, int64_t prompt)
{
	int64_t *newest = g_hash_table_lookup(l->starts, upstream);
	const int64_t *last;

	if (!newest) {
		newest = g_new0(int64_t, 1);
		g_hash_table_insert(l->starts, g_strdup(upstream), newest);
	}
	*newest = MAX(*newest, start_id);
	last = chat->upstream ? g_hash_table_lookup(l->starts, chat->upstream)
			      : NULL;
	if (counts_(l) && last && *last == chat->start_id)
		l->ideal += MIN(chat->prompt, prompt);
	g_free(chat->upstream);
	chat->upstream = g_strdup(upstream);
	chat->start_id = start_id;
	chat->prompt = prompt;
}

static bool complete_(const shot_t *s)
{
	if (!s->load->o.stream || s->once)
		return true;
	return strstr(s->tail->str, "[DONE]");
}

/* The next address of the last answer; none means to ask again. */
static void next_address_(chat_load_t *chat)
{
	chat->address++;
	if (chat->address >= ADDRESSES_MAX || !chat->addresses[chat->address])
		chat->valid_until = 0;
}

static void on_again_(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	start_shot_(w->data);
}

static int64_t last_event_(const shot_t *s)
{
	const char *at = g_strrstr(s->tail->str, "\n\n");
	const char *id = NULL;
	int64_t last = s->last_id;

	/* Only whole events count. */
	if (at)
		id = g_strrstr_len(s->tail->str, at - s->tail->str, "id: ");
	if (id)
		last = MAX(last, g_ascii_strtoll(id + 4, NULL, 10));
	return last;
}

/*
 * As a caller would: when the node is gone or not ready, or a stream broke,
 * ask where to go and go on there. Refusals for load are not tried again.
 */
static bool try_again_(shot_t *s, int err, int status)
{
	load_t *l = s->load;
	bool gone = http_unsent(err) || (!err && status == 503 &&
					 strstr(s->tail->str, "not ready"));
	bool broke = err == HTTP_ECUT && (l->o.stream || s->once);

	if (l->o.direct || s->tries >= TRIES_MAX || !(gone || broke))
		return false;
	s->tries++;
	l->again++;
	s->last_id = last_event_(s);
	g_string_truncate(s->tail, 0);
	next_address_(s->chat);
	ev_timer_init(&s->again, on_again_, TRY_AGAIN_S, 0);
	s->again.data = s;
	ev_timer_start(l->ctl->loop, &s->again);
	return true;
}

static void note_point_(load_t *l, double total_ms, bool ok)
{
	load_point_t point = {
		.at_s = (double)(clock_now() - l->started) / MSEC_PER_SEC,
		.total_ms = total_ms,
		.ok = ok,
	};

	g_array_append_val(l->timeline, point);
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	shot_t *s = ctx;
	load_t *l = s->load;
	double total = (double)(clock_now_us() - s->started_us) / MSEC_PER_SEC;
	char *upstream;

	if (try_again_(s, err, status))
		return;
	note_point_(l, total, !err && status == 200 && complete_(s));
	if (err || status != 200) {
		count_refusal_(l, s, err, status);
		finish_(s);
		return;
	}
	if (!complete_(s)) {
		count_(l->reasons, "stream cut");
		finish_(s);
		return;
	}
	note_answer_(l, s, call, total);
	upstream = str_dup(http_call_header(call, "X-Upstream"));
	if (counts_(l))
		count_(l->upstreams, upstream);
	note_ideal_(l, s->chat, upstream, number_(call, "X-Start-Id"),
		    number_(call, "X-Prompt-Tokens"));
	g_free(upstream);
	s->chat->turns++;
	finish_(s);
}

static void on_data_(void *ctx, http_call_t *call, str_t data)
{
	shot_t *s = ctx;

	(void)call;
	if (!s->first_us)
		s->first_us = clock_now_us();
	g_string_append_len(s->tail, data.data, (gssize)data.len);
	if (s->tail->len > 4096)
		g_string_erase(s->tail, 0, (gssize)(s->tail->len - 1024));
}

static const http_call_ops_t shot_ops = { .data = on_data_, .done = on_done_ };

static void forget_addresses_(chat_load_t *chat)
{
	for (int i = 0; i < ADDRESSES_MAX; i++)
		g_clear_pointer(&chat->addresses[i], g_free);
	chat->address = 0;
}

static void on_where_(void *ctx, http_call_t *call, int err, int status)
{
	shot_t *s = ctx;
	str_t body = http_call_body(call);
	json_t *root = NULL;
	json_t *list;
	json_t *v;
	size_t i;

	if (!err && status == 200)
		root = json_loadb(body.data, body.len, 0, NULL);
	list = json_object_get(root, "addresses");
	if (json_array_size(list)) {
		forget_addresses_(s->chat);
		json_array_foreach (list, i, v)
			if (i < ADDRESSES_MAX)
				s->chat->addresses[i] =
					g_strdup(json_string_value(v));
		s->chat->valid_until =
			clock_now() +
			json_integer_value(json_object_get(root, "valid_ms"));
	}
	json_decref(root);
	send_(s);
}

static const http_call_ops_t where_ops = { .done = on_where_ };

static void ask_where_(shot_t *s)
{
	load_t *l = s->load;
	char *url = g_strdup_printf(
		"http://%s/v1/where?service=%s&chat=%s&model=%s",
		l->ctl->callers, l->o.service, s->chat->id, l->o.model);
	char *auth = g_strdup_printf("Authorization: Bearer %s",
				     l->customers[s->chat->customer].key);
	const char *headers[] = { auth, NULL };
	http_call_spec_t spec = { .method = "GET",
				  .url = url,
				  .headers = headers,
				  .deadline = clock_now() + MSEC_PER_SEC };

	http_call_start(&l->ctl->http, &spec, &where_ops, s);
	g_free(url);
	g_free(auth);
}

static void send_(shot_t *s)
{
	load_t *l = s->load;
	const char *known = s->chat->addresses[s->chat->address];
	const char *address = l->o.direct ? l->o.direct
			      : known	  ? known
					  : l->ctl->callers;
	char *url = g_strdup_printf("http://%s%s", address,
				    s->once ? l->o.once_path
					    : "/v1/chat/completions");
	char *body = body_(l, s->chat);
	char *auth = g_strdup_printf("Authorization: Bearer %s",
				     l->customers[s->chat->customer].key);
	char *chat = g_strdup_printf("X-Chat-Id: %s", s->chat->id);
	char *deadline = g_strdup_printf("X-Deadline-Ms: %d", l->o.deadline_ms);
	char *id = g_strdup_printf("X-Request-Id: %s", s->request_id);
	char *key = g_strdup_printf("Idempotency-Key: %s", s->once_key);
	char *last =
		g_strdup_printf("Last-Event-ID: %lld", (long long)s->last_id);
	const char *headers[] = { "Content-Type: application/json",
				  auth,
				  chat,
				  deadline,
				  id,
				  NULL,
				  NULL };
	http_call_spec_t spec = { .method = "POST",
				  .url = url,
				  .headers = headers,
				  .body = str_of(body),
				  .deadline = MSTIME_NEVER };

	if (s->once)
		headers[5] = key;
	else if (s->last_id)
		headers[5] = last;
	http_call_start(&l->ctl->http, &spec, &shot_ops, s);
	free(body);
	g_free(url);
	g_free(auth);
	g_free(chat);
	g_free(deadline);
	g_free(id);
	g_free(key);
	g_free(last);
}

static void start_shot_(shot_t *s)
{
	const load_t *l = s->load;

	if (l->o.direct || l->o.any || clock_now() < s->chat->valid_until)
		send_(s);
	else
		ask_where_(s);
}

static bool surging_(const load_t *l, int *customer, double *factor)
{
	int from;
	int to;
	mstime_t at = clock_now() - l->started;

	return l->o.surge &&
	       sscanf(l->o.surge, "%d:%lf:%d:%d", customer, factor, &from,
		      &to) == 4 &&
	       at >= from && at < to && *customer < l->customer_count;
}

static int pick_customer_(load_t *l)
{
	double at;
	int surger = -1;
	double factor = 1;
	double sum = l->share_sum;

	if (surging_(l, &surger, &factor))
		sum += (factor - 1) * l->customers[surger].share;
	at = g_rand_double(l->rand) * sum;
	for (int i = 0; i < l->customer_count; i++) {
		at -= l->customers[i].share * (i == surger ? factor : 1);
		if (at < 0)
			return i;
	}
	return 0;
}

/* A chat of the customer that is not waiting for an answer. */
static chat_load_t *pick_chat_(load_t *l, int customer)
{
	int per = MAX(1, l->o.chats / l->customer_count);

	for (int i = 0; i < per; i++) {
		int at = customer * per + g_rand_int_range(l->rand, 0, per);

		if (!l->chats[at].busy)
			return &l->chats[at];
	}
	return NULL;
}

static void shoot_(load_t *l)
{
	chat_load_t *chat = pick_chat_(l, pick_customer_(l));
	shot_t *s;

	if (!chat) {
		l->skipped++;
		return;
	}
	s = g_new0(shot_t, 1);
	s->load = l;
	s->chat = chat;
	s->tail = g_string_new(NULL);
	s->started_us = clock_now_us();
	s->request_id =
		g_strdup_printf("load-%d-%lld", l->o.seed, (long long)l->sent);
	s->once_key = g_strdup_printf("%lld-load-%d-%lld",
				      (long long)(clock_wall() / MSEC_PER_SEC),
				      l->o.seed, (long long)l->sent);
	s->once = l->o.once_path && g_rand_double(l->rand) < l->o.once_share;
	chat->busy = true;
	l->open++;
	l->sent++;
	l->once_sent += s->once;
	start_shot_(s);
}

static void on_arrival_(struct ev_loop *loop, ev_timer *w, int revents)
{
	load_t *l = w->data;
	double rate = l->o.rate;
	double factor = 1;
	int surger;

	(void)revents;
	if (clock_now() >= l->ends) {
		if (!l->open)
			ev_break(loop, EVBREAK_ALL);
		return;
	}
	shoot_(l);
	if (surging_(l, &surger, &factor))
		rate *= 1 + (factor - 1) * l->customers[surger].share /
				    l->share_sum;
	ev_timer_set(w, -log(1 - g_rand_double(l->rand)) / rate, 0);
	ev_timer_start(loop, w);
}

static void make_chats_(load_t *l)
{
	int per;

	l->o.chats = MAX(l->o.chats, l->customer_count);
	per = l->o.chats / l->customer_count;
	l->chats = g_new0(chat_load_t, (gsize)l->o.chats);
	for (int i = 0; i < l->o.chats; i++) {
		l->chats[i].id = g_strdup_printf("load-%d-%d", l->o.seed, i);
		l->chats[i].customer = MIN(i / per, l->customer_count - 1);
	}
}

ctl_exit_t cmd_load(ctl_t *c, int argc, char **argv)
{
	load_t *l = g_new0(load_t, 1);
	json_t *report;
	char *text;

	l->ctl = c;
	l->o = (load_options_t){ .chats = 100,
				 .prompt_bytes = 2048,
				 .max_tokens = 16,
				 .deadline_ms = 60000,
				 .seed = 1 };
	if (!load_options_parse(&l->o, argc, argv) ||
	    !load_options_customers(l))
		return CTL_USAGE;
	l->rand = g_rand_new_with_seed((guint32)l->o.seed);
	l->reasons =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->upstreams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->starts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	l->timeline = g_array_new(FALSE, FALSE, sizeof(load_point_t));
	samples_init(&l->total_ms);
	samples_init(&l->first_ms);
	make_chats_(l);
	l->started = clock_now();
	l->ends = l->started + l->o.duration_ms;
	ev_timer_init(&l->arrival, on_arrival_, 0, 0);
	l->arrival.data = l;
	ev_timer_start(c->loop, &l->arrival);
	ev_run(c->loop, 0);
	report = load_report(l);
	text = json_dumps(report, c->json ? JSON_COMPACT : JSON_INDENT(2));
	printf("%s\n", text);
	free(text);
	json_decref(report);
	if (l->o.plot && !load_plot(l, l->o.plot))
		return CTL_FAILED;
	return CTL_FINE;
}
