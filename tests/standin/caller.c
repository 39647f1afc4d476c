/*
 * caller - callers of the users' platform, as an open load: they come at random
 * moments, whether or not earlier answers are there, and take them in whole.
 * They may send a request again, and take a stream up where it broke off. Some
 * may read slowly, or leave midway and take the stream up at the next node.
 * With
 * --silence-ms and --twice a stream is taken up beside an answer that goes on;
 * each of the two answers is checked alone.
 *
 * Prints one JSON report: answers by status, events, times in milliseconds.
 */
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <jansson.h>
#include <kcf/http_client.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static gchar *to;
static gchar *host = "site.example";
static gchar *key = "key-one";
static gchar *path = "/safe/x";
static gdouble rate = 100;
static gint duration_ms = 5000;
static gint timeout_ms = 5000;
static gint body_bytes = 200;
static gint seed = 1;
static gint tries = 1;
static gint pause_ms = 50;
static gboolean distinct;
static gboolean resume;
static gdouble leave;
static gdouble back;
static gdouble twice;
static gint silence_ms;
static gdouble slow;
static gint events_whole;
static gint64 stride = 1;
static gboolean marked;
static gint read_ms = 30;
static gint rest_ms = 250;
static gdouble rest_spread;
static gint receive_bytes;

static const GOptionEntry entries[] = {
	{ "to", 0, 0, G_OPTION_ARG_STRING, &to, "Addresses, in turn",
	  "IP:PORT,..." },
	{ "host", 0, 0, G_OPTION_ARG_STRING, &host, "Host header", "NAME" },
	{ "key", 0, 0, G_OPTION_ARG_STRING, &key, "Customer's key", "KEY" },
	{ "path", 0, 0, G_OPTION_ARG_STRING, &path, "Request target", "PATH" },
	{ "rate", 0, 0, G_OPTION_ARG_DOUBLE, &rate, "Requests a second", "N" },
	{ "duration-ms", 0, 0, G_OPTION_ARG_INT, &duration_ms,
	  "Time of arrivals", "MS" },
	{ "timeout-ms", 0, 0, G_OPTION_ARG_INT, &timeout_ms,
	  "A caller gives up", "MS" },
	{ "body-bytes", 0, 0, G_OPTION_ARG_INT, &body_bytes, "Of each request",
	  "N" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Of the arrivals", "N" },
	{ "tries", 0, 0, G_OPTION_ARG_INT, &tries,
	  "Of one request, after failures", "N" },
	{ "pause-ms", 0, 0, G_OPTION_ARG_INT, &pause_ms, "Before a next try",
	  "MS" },
	{ "distinct", 0, 0, G_OPTION_ARG_NONE, &distinct,
	  "A target for each request", NULL },
	{ "resume", 0, 0, G_OPTION_ARG_NONE, &resume,
	  "Take streams up after their last event", NULL },
	{ "leave", 0, 0, G_OPTION_ARG_DOUBLE, &leave,
	  "Of the callers, leave midway once; with --resume and --events",
	  "SHARE" },
	{ "back", 0, 0, G_OPTION_ARG_DOUBLE, &back,
	  "Of the tries with --resume, name an earlier event than the last one",
	  "SHARE" },
	{ "twice", 0, 0, G_OPTION_ARG_DOUBLE, &twice,
	  "Of the callers, take a stream up at two nodes at once", "SHARE" },
	{ "silence-ms", 0, 0, G_OPTION_ARG_INT, &silence_ms,
	  "Come back once, with --resume, and read the silent answer on, 0: "
	  "not",
	  "MS" },
	{ "slow", 0, 0, G_OPTION_ARG_DOUBLE, &slow,
	  "Of the callers, read slowly", "SHARE" },
	{ "read-ms", 0, 0, G_OPTION_ARG_INT, &read_ms,
	  "A caller that reads slowly reads for so long", "MS" },
	{ "rest-ms", 0, 0, G_OPTION_ARG_INT, &rest_ms,
	  "It rests for so long at most", "MS" },
	{ "rest-spread", 0, 0, G_OPTION_ARG_DOUBLE, &rest_spread,
	  "Up to this part less, drawn for each caller", "SHARE" },
	{ "receive-bytes", 0, 0, G_OPTION_ARG_INT, &receive_bytes,
	  "The kernel takes in for it, 0: its own bound", "N" },
	{ "events", 0, 0, G_OPTION_ARG_INT, &events_whole,
	  "Of a whole stream, 0: not checked", "N" },
	{ "stride", 0, 0, G_OPTION_ARG_INT64, &stride,
	  "Between the ids of two events", "N" },
	{ "marked", 0, 0, G_OPTION_ARG_NONE, &marked,
	  "Check the marks of events: whole ones, without --resume of one run",
	  NULL },
	{ 0 },
};

#define ID_MAX 48
#define RUN_MARK " run="
/* Added to the number of each try of a second caller. */
#define SECOND_TRIES 100

typedef struct caller {
	struct timespec came; /* milliseconds are too coarse for loopback */
	int serial;
	int tries;
	mstime_t deadline;
	char id[ID_MAX];	   /* of the current try */
	char first_id[ID_MAX];	   /* of the try that brought the first event */
	char version[ID_MAX];	   /* that wrote the first event */
	char run[ID_MAX];	   /* that wrote the first event */
	char read_version[ID_MAX]; /* in the event that is being read */
	char read_run[ID_MAX];	   /* in the event that is being read */
	int64_t event_id;	   /* of the event that is being read */
	int64_t last_event;	   /* 0 before the first */
	int events;
	int disordered;	  /* events that do not follow the one before */
	int leaves_after; /* events; 0 to stay */
	bool reads_slowly;
	int rest_ms;
	bool rests;
	bool early;   /* ended as whole before the last event */
	bool joined;  /* events of two versions */
	bool mixed;   /* events of two runs */
	int torn;     /* events that are not whole */
	bool second;  /* takes up what another caller reads on */
	bool parted;  /* a second one has come for it, or may not */
	bool resumes; /* the current try */
	bool resumed; /* some node has answered such a try */
	GString *line;
	GString *path; /* node and last event of each try */
	http_call_t *call;
	ev_timer again;
	ev_timer away;
	ev_timer turn;
	ev_timer silence;
} caller_t;

static struct {
	struct ev_loop *loop;
	http_client_t http;
	ev_timer arrival;
	gsl_rng *rng;
	char **nodes;
	guint node_count;
	GString *body;
	mstime_t ends;
	int serial; /* of the next caller */
	int sent;
	int open;
	int whole;   /* 200 to the end */
	int refused; /* 503 */
	int other;   /* another status to the end */
	int failed;  /* no whole answer */
	int events;
	int joined;	    /* streams with events of two versions */
	int mixed;	    /* streams with events of two runs */
	int torn;	    /* events that are not whole */
	int early;	    /* streams that ended as whole too early */
	int left;	    /* callers that left midway */
	int seconds;	    /* callers that came beside another one */
	int backed;	    /* tries that named an earlier event */
	int disordered;	    /* events that do not follow the one before */
	json_t *faulty;	    /* the streams counted as such, in words */
	int resumed;	    /* streams whose resume was answered */
	int resumed_whole;  /* of these, those that went on to the end */
	GArray *ms;	    /* double, of whole ones */
	GArray *refused_ms; /* double, of refused ones */
	int timeless;	    /* refused without the time to come back */
	json_t *promised;   /* ids of requests refused as not run */
} all;

static double since_ms_(const struct timespec *t)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)(now.tv_sec - t->tv_sec) * 1e3 +
	       (double)(now.tv_nsec - t->tv_nsec) / 1e6;
}

static void end_event_(caller_t *c)
{
	c->events++;
	if (!*c->version)
		g_strlcpy(c->version, c->read_version, ID_MAX);
	if (!*c->run)
		g_strlcpy(c->run, c->read_run, ID_MAX);
	if (c->event_id <= 0)
		return;
	if (!c->last_event)
		g_strlcpy(c->first_id, c->id, ID_MAX);
	if (c->event_id != c->last_event + 1) {
		c->disordered++;
		g_string_append_printf(c->path,
				       " [%" G_GINT64_FORMAT
				       " after %" G_GINT64_FORMAT "]",
				       c->event_id, c->last_event);
	}
	c->last_event = c->event_id;
	c->event_id = 0;
	if (c->leaves_after && c->last_event >= c->leaves_after)
		ev_timer_start(all.loop, &c->away);
}

/* "...-N run=NAME." */
static void read_mark_(caller_t *c, const char *text)
{
	char *number = g_strdup_printf("-%" G_GINT64_FORMAT " ", c->event_id);
	const char *run = strstr(text, RUN_MARK);

	if (run && g_str_has_suffix(run, ".") && strstr(text, number)) {
		g_strlcpy(c->read_run, run + strlen(RUN_MARK), ID_MAX);
		c->mixed = c->mixed || (!resume && *c->run &&
					strcmp(c->run, c->read_run) != 0);
	} else {
		c->torn++;
	}
	g_free(number);
}

/* "VERSION/..." */
static void read_version_(caller_t *c, const char *text)
{
	const char *end = strchr(text, '/');

	if (!end)
		return;
	g_strlcpy(c->read_version, text, MIN((size_t)(end - text) + 1, ID_MAX));
	if (!*c->version || !strcmp(c->version, c->read_version))
		return;
	if (!c->joined)
		g_string_append_printf(
			c->path, " [%" G_GINT64_FORMAT " of %s, not %s]",
			c->event_id, c->read_version, c->version);
	c->joined = true;
}

static void read_line_(caller_t *c)
{
	const char *line = c->line->str;

	if (!*line) {
		end_event_(c);
	} else if (g_str_has_prefix(line, "id: ")) {
		c->event_id = g_ascii_strtoll(line + strlen("id: "), NULL, 10);
		/* Another id than an upstream writes is that of no event. */
		c->event_id = c->event_id % stride ? G_MAXINT64
						   : c->event_id / stride;
	} else if (g_str_has_prefix(line, "data: ")) {
		read_version_(c, line + strlen("data: "));
		if (marked)
			read_mark_(c, line + strlen("data: "));
	}
	g_string_truncate(c->line, 0);
}

static void on_data_(void *ctx, http_call_t *call, str_t data)
{
	caller_t *c = ctx;

	(void)call;
	if (ev_is_active(&c->silence))
		ev_timer_again(all.loop, &c->silence);
	for (size_t i = 0; i < data.len; i++) {
		if (data.data[i] == '\n')
			read_line_(c);
		else
			g_string_append_c(c->line, data.data[i]);
	}
}

static void close_if_over_(void)
{
	if (!all.open && !ev_is_active(&all.arrival))
		ev_break(all.loop, EVBREAK_ALL);
}

static void caller_free_(caller_t *c)
{
	g_string_free(c->line, TRUE);
	g_string_free(c->path, TRUE);
	g_free(c);
}

/* Names a stream that breaks a check. */
static void note_faulty_(const caller_t *c)
{
	char *text = g_strdup_printf(
		"%s:%s%s%s%s%s%s", c->id, c->path->str,
		c->joined ? " joined" : "", c->mixed ? " mixed" : "",
		c->torn ? " torn" : "", c->disordered ? " disordered" : "",
		c->early ? " early" : "");

	json_array_append_new(all.faulty, json_string(text));
	g_free(text);
}

static void count_end_(const caller_t *c, http_call_t *call, int err,
		       int status)
{
	double ms = since_ms_(&c->came);

	all.events += c->events;
	all.joined += c->joined;
	all.mixed += c->mixed;
	all.torn += c->torn;
	all.early += c->early;
	all.disordered += c->disordered;
	if (c->joined || c->mixed || c->early || c->disordered || c->torn)
		note_faulty_(c);
	all.resumed += c->resumed;
	all.resumed_whole += c->resumed && !err && status == 200;
	if (err) {
		all.failed++;
	} else if (status == 200) {
		all.whole++;
		g_array_append_val(all.ms, ms);
	} else if (status == 503 || status == 429) {
		all.refused++;
		all.timeless += !http_call_header(call, "Retry-After").len;
		g_array_append_val(all.refused_ms, ms);
		json_array_append_new(all.promised, json_string(c->id));
	} else {
		all.other++;
	}
}

static bool may_try_again_(const caller_t *c, int err, int status)
{
	if (c->tries >= tries || clock_now() + pause_ms >= c->deadline ||
	    (!err && status < 500))
		return false;
	return !c->last_event || resume;
}

/* Ends what belongs to the current try. */
static void end_try_(caller_t *c, const char *how)
{
	c->call = NULL;
	ev_timer_stop(all.loop, &c->away);
	ev_timer_stop(all.loop, &c->turn);
	ev_timer_stop(all.loop, &c->silence);
	g_string_append_printf(c->path, " %s to %" G_GINT64_FORMAT ";", how,
			       c->last_event);
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	caller_t *c = ctx;

	end_try_(c, err ? http_err_string[-err] : "done");
	c->resumed = c->resumed || (c->resumes && status);
	c->early = c->early || (events_whole && !err && status == 200 &&
				c->last_event != events_whole);
	if (may_try_again_(c, err, status)) {
		ev_timer_set(&c->again, pause_ms / 1e3, 0);
		ev_timer_start(all.loop, &c->again);
		return;
	}
	all.open--;
	count_end_(c, call, err, status);
	caller_free_(c);
	close_if_over_();
}

static bool on_head_(void *ctx, http_call_t *call, int status)
{
	caller_t *c = ctx;

	(void)call;
	c->resumed = c->resumed || (c->resumes && status);
	return true;
}

static const http_call_ops_t call_ops = {
	.head = on_head_,
	.data = on_data_,
	.done = on_done_,
};

static void on_away_(struct ev_loop *loop, ev_timer *w, int revents)
{
	caller_t *c = w->data;

	(void)revents;
	http_call_cancel(c->call);
	end_try_(c, "left");
	c->leaves_after = 0;
	all.left++;
	ev_timer_set(&c->again, pause_ms / 1e3, 0);
	ev_timer_start(loop, &c->again);
}

static void on_turn_(struct ev_loop *loop, ev_timer *w, int revents)
{
	caller_t *c = w->data;

	(void)revents;
	c->rests = !c->rests;
	/* A caller that reads slowly reads and rests in turn. */
	ev_timer_set(w, (c->rests ? c->rest_ms : read_ms) / 1e3, 0);
	ev_timer_start(loop, w);
	http_call_pause(c->call, c->rests);
}

static void add_line_(GPtrArray *lines, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);

static void add_line_(GPtrArray *lines, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	g_ptr_array_add(lines, g_strdup_vprintf(fmt, args));
	va_end(args);
}

/* Names an earlier event than the last one. */
static void go_back_(caller_t *c)
{
	if (c->last_event < 2 || back <= 0 || gsl_rng_uniform(all.rng) >= back)
		return;
	c->last_event = 1 + (int64_t)gsl_rng_uniform_int(
				    all.rng, (gulong)c->last_event - 1);
	g_string_append_printf(c->path, " back to %" G_GINT64_FORMAT ";",
			       c->last_event);
	all.backed++;
}

/* Sends a request for the first time, or once more at the next node. */
static void try_(caller_t *c)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	guint node = (guint)(c->serial + c->tries) % all.node_count;
	mstime_t now = clock_now();
	GString *url = g_string_new(NULL);
	http_call_spec_t spec = {
		.method = "POST",
		.body = { all.body->str, all.body->len },
		.deadline = c->deadline,
		.single = true, /* an id is used once */
	};

	g_string_printf(url, "http://%s%s", all.nodes[node], path);
	if (distinct)
		g_string_append_printf(url, "/%d-%d", seed, c->serial);
	g_snprintf(c->id, ID_MAX, "caller-%d-%d", seed, c->serial);
	if (c->tries)
		g_snprintf(c->id, ID_MAX, "caller-%d-%d-%d", seed, c->serial,
			   c->tries + (c->second ? SECOND_TRIES : 0));
	c->tries++;
	go_back_(c);
	c->event_id = 0;
	*c->read_version = *c->read_run = '\0';
	g_string_truncate(c->line, 0);
	add_line_(lines, "Host: %s", host);
	add_line_(lines, "X-Api-Key: %s", key);
	add_line_(lines, "Deadline-Ms: %d", (int)(c->deadline - now));
	add_line_(lines, "Attempt-Id: %s", c->id);
	c->resumes = c->last_event > 0;
	if (c->resumes) {
		add_line_(lines, "Last-Event-Id: %" G_GINT64_FORMAT,
			  c->last_event * stride);
		add_line_(lines, "Resumes: %s", c->first_id);
	}
	g_ptr_array_add(lines, NULL);
	spec.url = url->str;
	spec.headers = (const char *const *)lines->pdata;
	g_string_append_printf(c->path, " %s", all.nodes[node]);
	c->call = http_call_start(&all.http, &spec, &call_ops, c);
	if (silence_ms && !c->parted)
		ev_timer_again(all.loop, &c->silence);
	if (c->reads_slowly) {
		c->rests = false;
		ev_timer_set(&c->turn, read_ms / 1e3, 0);
		ev_timer_start(all.loop, &c->turn);
	}
	g_ptr_array_unref(lines);
	g_string_free(url, TRUE);
}

static void on_again_(struct ev_loop *loop, ev_timer *w, int revents);
static void on_silence_(struct ev_loop *loop, ev_timer *w, int revents);

static caller_t *caller_new_(void)
{
	caller_t *c = g_new0(caller_t, 1);

	c->line = g_string_new(NULL);
	c->path = g_string_new(NULL);
	ev_init(&c->again, on_again_);
	ev_timer_init(&c->away, on_away_, 0, 0);
	ev_init(&c->turn, on_turn_);
	ev_timer_init(&c->silence, on_silence_, 0, silence_ms / 1e3);
	c->again.data = c->away.data = c->turn.data = c->silence.data = c;
	all.sent++;
	all.open++;
	return c;
}

/* The same stream, from the same event, at the node after. */
static void part_(caller_t *c)
{
	caller_t *o = caller_new_();

	o->serial = c->serial;
	o->tries = c->tries;
	o->deadline = c->deadline;
	o->came = c->came;
	o->second = o->parted = c->parted = true;
	o->last_event = c->last_event;
	if (o->last_event) {
		g_strlcpy(o->first_id, c->first_id, ID_MAX);
		g_strlcpy(o->version, c->version, ID_MAX);
		g_strlcpy(o->run, c->run, ID_MAX);
	}
	g_string_append_printf(o->path, "%s beside;", c->path->str);
	all.seconds++;
	try_(o);
}

static void on_silence_(struct ev_loop *loop, ev_timer *w, int revents)
{
	caller_t *c = w->data;

	(void)revents;
	ev_timer_stop(loop, w);
	if (c->tries < tries)
		part_(c);
}

static void on_again_(struct ev_loop *loop, ev_timer *w, int revents)
{
	caller_t *c = w->data;
	bool parts = c->last_event && !c->parted && twice > 0 &&
		     gsl_rng_uniform(all.rng) < twice;

	(void)loop;
	(void)revents;
	try_(c);
	if (parts)
		part_(c);
}

static void come_(void)
{
	caller_t *c = caller_new_();

	c->serial = all.serial++;
	c->deadline = clock_now() + timeout_ms;
	if (leave > 0 && gsl_rng_uniform(all.rng) < leave)
		c->leaves_after =
			1 + (int)gsl_rng_uniform_int(all.rng,
						     (gulong)events_whole - 1);
	c->reads_slowly = slow > 0 && gsl_rng_uniform(all.rng) < slow;
	c->rest_ms = rest_ms;
	if (c->reads_slowly && rest_spread > 0)
		c->rest_ms -=
			(int)(gsl_rng_uniform(all.rng) * rest_spread * rest_ms);
	clock_gettime(CLOCK_MONOTONIC, &c->came);
	try_(c);
}

static void on_arrival_(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)revents;
	if (clock_now() >= all.ends) {
		close_if_over_();
		return;
	}
	come_();
	ev_timer_set(w, gsl_ran_exponential(all.rng, 1 / rate), 0);
	ev_timer_start(loop, w);
}

static double at_(const GArray *ms, double share)
{
	const double *values = (const double *)(void *)ms->data;

	if (!ms->len)
		return 0;
	return gsl_stats_quantile_from_sorted_data(values, 1, ms->len, share);
}

static json_t *quantiles_(GArray *ms)
{
	gsl_sort((double *)(void *)ms->data, 1, ms->len);
	return json_pack("{s:f,s:f,s:f,s:f}", "p50", at_(ms, 0.5), "p95",
			 at_(ms, 0.95), "p99", at_(ms, 0.99), "max",
			 at_(ms, 1.0));
}

static void report_(void)
{
	json_t *report;
	char *text;

	report = json_pack(
		"{s:O,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,"
		"s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:O,s:o,s:o}",
		"promised", all.promised, "sent", all.sent, "whole", all.whole,
		"refused", all.refused, "other", all.other, "failed",
		all.failed, "events", all.events, "joined", all.joined,
		"disordered", all.disordered, "resumed", all.resumed,
		"resumed_whole", all.resumed_whole, "timeless", all.timeless,
		"mixed", all.mixed, "torn", all.torn, "early", all.early,
		"left", all.left, "seconds", all.seconds, "backed", all.backed,
		"faulty", all.faulty, "ms", quantiles_(all.ms), "refused_ms",
		quantiles_(all.refused_ms));
	text = json_dumps(report, JSON_COMPACT);
	puts(text);
	free(text);
	json_decref(report);
}

static bool options_(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, &argc, &argv, &error);
	if (!ok) {
		fprintf(stderr, "kcf-caller: %s\n", error->message);
		g_error_free(error);
	} else if (!to || rate <= 0 || duration_ms <= 0 || body_bytes < 0 ||
		   (leave > 0 && (!resume || events_whole < 2)) ||
		   ((back > 0 || twice > 0 || silence_ms) && !resume)) {
		fprintf(stderr, "usage: kcf-caller --to IP:PORT,... [...]\n");
		ok = false;
	}
	g_option_context_free(context);
	return ok;
}

int main(int argc, char **argv)
{
	if (!options_(argc, argv))
		return 2;
	signal(SIGPIPE, SIG_IGN);
	all.loop = ev_default_loop(0);
	all.nodes = g_strsplit(to, ",", 0);
	all.node_count = g_strv_length(all.nodes);
	all.body = g_string_new(NULL);
	for (int i = 0; i < body_bytes; i++)
		g_string_append_c(all.body, (char)('a' + i % 26));
	all.ms = g_array_new(FALSE, FALSE, sizeof(double));
	all.refused_ms = g_array_new(FALSE, FALSE, sizeof(double));
	all.promised = json_array();
	all.faulty = json_array();
	all.rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(all.rng, (gulong)seed);
	http_client_init(&all.http, all.loop);
	all.http.unread_max = receive_bytes;
	all.ends = clock_now() + duration_ms;
	ev_timer_init(&all.arrival, on_arrival_, 0, 0);
	ev_timer_start(all.loop, &all.arrival);
	ev_run(all.loop, 0);
	report_();
	http_client_finish(&all.http);
	gsl_rng_free(all.rng);
	g_array_unref(all.ms);
	g_array_unref(all.refused_ms);
	json_decref(all.promised);
	json_decref(all.faulty);
	g_string_free(all.body, TRUE);
	g_strfreev(all.nodes);
	return 0;
}
