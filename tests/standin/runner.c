/*
 * runner - an upstream of the users' platform, with the faults of real ones.
 *
 * It writes its answers byte by byte on a socket, a thread a connection, since
 * no HTTP library gives wrong answers on purpose. It counts how often each
 * request ran. Faults come with POST /fault {"mode": ..., "count": N}; a
 * count of -1 lasts until the next one. {"health": ...} is that of the health
 * path.
 *
 * POST /cut {"source": "IP", "how": ...} cuts the link to a node, which is
 * known by the address its connections come from. "" lifts the cut:
 *   silent (nothing passes, new connections open), reset (open ones, and new
 *   ones), new_refused (open ones go on, new ones are reset), one_way
 *   (requests come, answers do not pass)
 *
 * Mode "troubled" breaks a third of the answers to streams, drawn from --seed
 * and the request's id: the answer ends or is reset between two events or
 * inside one, ends as if whole inside one, or is silent for a while and goes
 * on; or the request is refused.
 *
 * Mode "status LINE" answers with that status line, "early READ END LINE" when
 * so many bytes of the request's body are in: a part of an answer without a
 * length, which ends at once ("end") or with a reset ("reset").
 *
 * Mode "bad KIND PERCENT AFTER_MS LOAD PREFIX" is a bad version: from AFTER_MS
 * after the fault on, and while at least LOAD requests run, so many of a
 * hundred requests whose target begins with PREFIX fail (KIND "fail") or take
 * eight times as long ("slow").
 * Mode "preempts PERCENT MIN MAX" makes so many of a hundred streams stop once
 * in the middle, for MIN to MAX ms, and go on. Mode "reads_late READ" reads so
 * many bytes of a stream's request's body before it answers, and the others
 * between its events. Mode "unread READ" reads so many bytes of the request's
 * body and no more. Mode "unframed_stall" sends half of an answer without
 * framing, and no more; "unframed_identity_stall" and "unframed_overlong_stall"
 * also name a transfer coding that marks no end, and a length beyond any
 * number.
 * With --unread a part of the requests have the last byte of their body unread
 * until the answer has ended, so that the process's end resets the connection.
 * With --pieces each event comes in so many parts.
 *
 * With --born it names its start in GET /api/report, else it refuses that.
 * POST /fault {"report_cut": true} has it answer that in part, without framing.
 *
 * With --waits it has room for as many requests as it has slots, and for so
 * many that wait; it refuses the others at once. POST /fault {"brittle": N,
 * "waits": M} makes it say that it is brittle, 0 ends it. Some time after
 * that M may wait, and it falls over when it refuses more than N for want of
 * room in one second.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <kcf/address.h>
#include <kcf/clock.h>
#include <kcf/str.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define BACKLOG 256
#define LATE_MS 60
#define LONG_MS 1500
#define PART_MS 20
/* A crash right after the head: the head arrives alone. */
#define HEAD_LEAD_MS 5
#define DRIP_MS 100
#define SILENT_MIN_MS 1500
#define SILENT_MAX_MS 4000
/* One stream in so many has long events. */
#define BIG_EVERY 5
#define ENDLESS_BLOCK 16384
#define SEND_BUFFER 65536
#define MODE_MAX 128
/* Of each request; all of them are in each answer to /stats. */
#define BODY_NOTED_MAX_BYTES 4096
/* From the first answer that says that it is brittle until it is. */
#define BRITTLE_LEAD_MS 3000
#define BRITTLE_WINDOW_MS 1000
#define FALLEN_MS 3000
#define SLOW_FACTOR 8

typedef enum cut {
	CUT_NONE,
	CUT_SILENT,
	CUT_RESET,
	CUT_NEW_REFUSED,
	CUT_ONE_WAY,
} cut_t;

static const char *const cut_words[] = { "", "silent", "reset", "new_refused",
					 "one_way" };

typedef struct connection {
	int fd;
	struct in_addr source;
	bool lost;	/* bytes were held back: it ends with the cut */
	bool swallowed; /* some of an answer did not pass, nor does its end */
} connection_t;

typedef struct request {
	GString *head;
	GString *body;
	char *method;
	char *target;
	char *id;
	size_t left; /* bytes of the body that are read after the answer */
	int64_t last_event;
	bool stream;
	bool reused; /* not the first on its connection */
	bool big;    /* has long events */
	size_t rest; /* bytes of the body that have not been read */
	const char *before_answer; /* sent right before it, or NULL */
} request_t;

/* Where the second copy of a refusal comes. */
typedef enum copy_place {
	COPY_NONE,
	COPY_BEHIND, /* at once */
	COPY_BEFORE, /* once the next request is in, before it is run */
	COPY_PIECES, /* the same, in two parts */
	COPY_WITH,   /* in one write with the next answer, before it */
	COPY_AFTER,  /* behind the next answer */
	COPY_PLACE_COUNT,
} copy_place_t;

static const char *const copy_place_string[] = { "none",   "behind", "before",
						 "pieces", "with",   "after" };

/* A copy that is due on a connection. */
typedef struct copy {
	char *text; /* NULL for none */
	copy_place_t place;
} copy_t;

static struct {
	GMutex lock;
	json_t *runs;	  /* request id to number of runs */
	json_t *arrivals; /* what was seen of each request */
	int running;
	int most;
	int begun;   /* runs since the start */
	int aborted; /* callers that closed before the end */
	int connections;
	char mode[MODE_MAX];
	int count;
	mstime_t mode_at;      /* when the mode was set */
	char health[MODE_MAX]; /* "copied" or "down", until the next one */
	int copies_at_checks;  /* that came before a health answer */
	GHashTable *cuts;      /* source address to cut_t */
	GPtrArray *open;       /* connection_t */
	GCond lifted;
	int waiting;
	GCond room;  /* a slot is free, or connections were lost */
	int brittle; /* N, 0 while it is not */
	int brittle_waits;
	mstime_t brittle_from;
	GArray *turned_at; /* mstime_t, refusals of the last second */
	int turned_away;   /* for want of room, since the start */
	int falls;
	int reports; /* asked for */
	bool report_cut;
	int listener;
	mstime_t fallen_until;
} state;

/* Of this thread. */
static _Thread_local connection_t *own;
static _Thread_local int own_run; /* number of the run of its request */
static _Thread_local request_t *own_request;
static _Thread_local GString *own_in; /* what follows it */

static gchar *listen_address;
static gchar *own_id;
static gchar *second_id;
static gchar *id_header;
static gchar *refusal_body;
static gint events = 5;
static gint gap_ms = 10;
static gint delay_ms = 5;
static gint slots = 8;
static gint pace; /* told as a fourth figure, 0: not */
static gint waits = -1;
static gchar *crash_segment;
static gchar *crash_body;
static gchar *version;
static gint seed;
static gint big_bytes;
static gboolean marked;
static gint event_bytes;
static gint answer_bytes;
static gint unread_ms;
static gint64 born;
static gint report_ms;
static gint report_ends;
static gint unframed;
static gint unread;
static gint pieces = 1;
static gint64 stride = 1;

static const GOptionEntry entries[] = {
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &listen_address, "Address",
	  "IP:PORT" },
	{ "id", 0, 0, G_OPTION_ARG_STRING, &own_id, "Id of this start", "ID" },
	{ "also", 0, 0, G_OPTION_ARG_STRING, &second_id,
	  "Another id that it answers to", "ID" },
	{ "id-header", 0, 0, G_OPTION_ARG_STRING, &id_header,
	  "Header of a request's id, Attempt-Id if not given", "NAME" },
	{ "refusal-body", 0, 0, G_OPTION_ARG_STRING, &refusal_body,
	  "Body of refusals", "TEXT" },
	{ "events", 0, 0, G_OPTION_ARG_INT, &events, "Events of a stream",
	  "N" },
	{ "gap-ms", 0, 0, G_OPTION_ARG_INT, &gap_ms, "Between events", "MS" },
	{ "delay-ms", 0, 0, G_OPTION_ARG_INT, &delay_ms, "Time of a call",
	  "MS" },
	{ "slots", 0, 0, G_OPTION_ARG_INT, &slots, "Told to callers", "N" },
	{ "pace", 0, 0, G_OPTION_ARG_INT, &pace, "Told to callers, 0: not",
	  "N" },
	{ "waits", 0, 0, G_OPTION_ARG_INT, &waits,
	  "Requests that may wait for a slot, -1: room for all", "N" },
	{ "crash-segment", 0, 0, G_OPTION_ARG_STRING, &crash_segment,
	  "Crashes when it answers a prompt with this segment", "ID" },
	{ "crash-body", 0, 0, G_OPTION_ARG_STRING, &crash_body,
	  "Crashes when it runs a request with this in its body", "TEXT" },
	{ "version", 0, 0, G_OPTION_ARG_STRING, &version,
	  "Written in each event", "NAME" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Of mode troubled", "N" },
	{ "big-bytes", 0, 0, G_OPTION_ARG_INT, &big_bytes,
	  "Added to each event of one stream in five", "N" },
	{ "marked", 0, 0, G_OPTION_ARG_NONE, &marked,
	  "Name the run at the end of each event", NULL },
	{ "event-bytes", 0, 0, G_OPTION_ARG_INT, &event_bytes,
	  "Added to the data of each event", "N" },
	{ "answer-bytes", 0, 0, G_OPTION_ARG_INT, &answer_bytes,
	  "Added to each plain answer", "N" },
	{ "unread-ms", 0, 0, G_OPTION_ARG_INT, &unread_ms,
	  "End an answer of which nothing is read for so long", "MS" },
	{ "report-ms", 0, 0, G_OPTION_ARG_INT, &report_ms,
	  "Time until GET /api/report is answered", "MS" },
	{ "report-ends", 0, 0, G_OPTION_ARG_INT, &report_ends,
	  "End the connection after each Nth GET /api/report", "N" },
	{ "unframed", 0, 0, G_OPTION_ARG_INT, &unframed,
	  "Of a hundred answers, have neither a length nor chunks", "N" },
	{ "unread", 0, 0, G_OPTION_ARG_INT, &unread,
	  "Of a hundred requests, have bytes unread while they run", "N" },
	{ "pieces", 0, 0, G_OPTION_ARG_INT, &pieces,
	  "Parts of each event, over half of the time to the next", "N" },
	{ "stride", 0, 0, G_OPTION_ARG_INT64, &stride,
	  "Between the ids of two events", "N" },
	{ "born", 0, 0, G_OPTION_ARG_INT64, &born, "Wall time of its start",
	  "MS" },
	{ 0 },
};

static void request_clear_(request_t *r)
{
	g_string_free(r->head, TRUE);
	g_string_free(r->body, TRUE);
	g_free(r->method);
	g_free(r->target);
	g_free(r->id);
}

/* Value of a header, to be freed; empty when absent. */
static char *header_(const request_t *r, const char *name)
{
	char *mark = g_strdup_printf("\r\n%s: ", name);
	char *at = strcasestr(r->head->str, mark);
	size_t skip = strlen(mark);

	g_free(mark);
	if (!at)
		return g_strdup("");
	at += skip;
	return g_strndup(at, strcspn(at, "\r"));
}

/* Under the lock. */
static cut_t cut_of_(struct in_addr source)
{
	return (cut_t)GPOINTER_TO_INT(g_hash_table_lookup(
		state.cuts, GUINT_TO_POINTER(source.s_addr)));
}

static cut_t own_cut_(void)
{
	cut_t cut;

	g_mutex_lock(&state.lock);
	cut = cut_of_(own->source);
	g_mutex_unlock(&state.lock);
	return cut;
}

static bool is_lost_(void)
{
	bool lost;

	g_mutex_lock(&state.lock);
	lost = own->lost;
	g_mutex_unlock(&state.lock);
	return lost;
}

/* Waits while nothing passes; false when the connection is lost. */
static bool passes_(void)
{
	bool lost;

	g_mutex_lock(&state.lock);
	while (cut_of_(own->source) == CUT_SILENT)
		g_cond_wait(&state.lifted, &state.lock);
	lost = own->lost;
	g_mutex_unlock(&state.lock);
	return !lost;
}

static bool fill_(int fd, GString *in)
{
	char data[4096];
	/* What follows stays in the socket. */
	ssize_t n = recv(fd, data, unread ? 1 : sizeof(data), 0);

	if (!passes_() || n <= 0)
		return false;
	g_string_append_len(in, data, n);
	return true;
}

static void parse_(request_t *r)
{
	char **words = g_strsplit(r->head->str, " ", 3);
	char *last = header_(r, "Last-Event-Id");

	r->method = g_strdup(words[0]);
	r->target = g_strdup(words[1] ? words[1] : "");
	r->id = header_(r, id_header);
	r->last_event = *last ? g_ascii_strtoll(last, NULL, 10) / stride : 0;
	r->stream = strstr(r->target, "/stream/") != NULL;
	r->big = big_bytes && g_str_hash(r->id) % BIG_EVERY == 0;
	g_free(last);
	g_strfreev(words);
}

/* Bytes of the body that are read before the request is served. */
static size_t read_before_(request_t *r, size_t want)
{
	unsigned long early;

	g_mutex_lock(&state.lock);
	if (*r->id && state.count &&
	    (sscanf(state.mode, "early %lu", &early) == 1 ||
	     sscanf(state.mode, "unread %lu", &early) == 1))
		want = MIN(want, early);
	if (r->stream && state.count && want > 0 &&
	    sscanf(state.mode, "reads_late %lu", &early) == 1) {
		r->rest = want - MIN(want, early);
		want -= r->rest;
	}
	g_mutex_unlock(&state.lock);
	return want;
}

/* Whether the last byte of its body waits in the socket. */
static bool leaves_unread_(const request_t *r)
{
	return *r->id && (int)(g_str_hash(r->id) / 7 % 100) < unread;
}

/* Reads one request; in keeps what follows it. */
static bool read_request_(int fd, GString *in, request_t *r)
{
	char *end;
	char *length;
	size_t want;

	while (!(end = strstr(in->str, "\r\n\r\n"))) {
		if (in->len > HEAD_MAX || !fill_(fd, in))
			return false;
	}
	*r = (request_t){ .head = g_string_new_len(in->str,
						   end + 2 - in->str) };
	g_string_erase(in, 0, end + 4 - in->str);
	parse_(r);
	length = header_(r, "Content-Length");
	want = read_before_(r, (size_t)g_ascii_strtoull(length, NULL, 10));
	g_free(length);
	if (want && leaves_unread_(r)) {
		r->left = 1;
		want--;
	}
	r->body = g_string_new(NULL);
	while (in->len < want) {
		if (!fill_(fd, in))
			return false;
	}
	g_string_append_len(r->body, in->str, (gssize)want);
	g_string_erase(in, 0, (gssize)want);
	return true;
}

/* Reads so many of the bytes that are left of the body. */
static bool read_rest_(int fd, size_t bytes)
{
	request_t *r = own_request;
	GString *in = own_in;

	bytes = MIN(bytes, r->rest);
	while (in->len < bytes) {
		if (!fill_(fd, in))
			return false;
	}
	g_string_erase(in, 0, (gssize)bytes);
	r->rest -= bytes;
	return true;
}

/* Of the body, what was left until the answer had ended. */
static bool read_left_(int fd, GString *in, size_t left)
{
	while (in->len < left) {
		if (!fill_(fd, in))
			return false;
	}
	g_string_erase(in, 0, (gssize)left);
	return true;
}

static bool send_(int fd, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

static bool send_(int fd, const char *fmt, ...)
{
	va_list args;
	cut_t cut = own_cut_();
	char *text;
	size_t len;
	bool ok;

	/* As into the buffer of a socket whose bytes do not arrive. */
	if (cut == CUT_SILENT || cut == CUT_ONE_WAY) {
		own->swallowed = true;
		return true;
	}
	if (is_lost_())
		return false;
	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	len = strlen(text);
	ok = send(fd, text, len, MSG_NOSIGNAL) == (ssize_t)len;
	g_free(text);
	return ok;
}

static void send_json_(int fd, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	send_(fd, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
	      strlen(text), text);
	free(text);
	json_decref(body);
}

static void set_fault_(const request_t *r)
{
	json_t *f = json_loadb(r->body->str, r->body->len, 0, NULL);
	const char *mode = json_string_value(json_object_get(f, "mode"));
	const char *health = json_string_value(json_object_get(f, "health"));
	json_t *brittle = json_object_get(f, "brittle");
	json_t *report_cut = json_object_get(f, "report_cut");

	g_mutex_lock(&state.lock);
	if (brittle) {
		state.brittle = (int)json_integer_value(brittle);
		state.brittle_waits =
			(int)json_integer_value(json_object_get(f, "waits"));
		state.brittle_from = clock_now() + BRITTLE_LEAD_MS;
		g_array_set_size(state.turned_at, 0);
	} else if (report_cut) {
		state.report_cut = json_is_true(report_cut);
	} else if (health) {
		g_strlcpy(state.health, health, sizeof(state.health));
	} else {
		g_strlcpy(state.mode, mode ? mode : "", sizeof(state.mode));
		state.count =
			(int)json_integer_value(json_object_get(f, "count"));
		state.mode_at = clock_now();
	}
	g_mutex_unlock(&state.lock);
	json_decref(f);
}

static void reset_(int fd)
{
	struct linger now = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/*
 * Under the lock. Their threads wake up and close them with a reset.
 * source: NULL for all
 */
static void lose_connections_(const struct in_addr *source)
{
	for (guint i = 0; i < state.open->len; i++) {
		connection_t *c = state.open->pdata[i];

		if (source && c->source.s_addr != source->s_addr)
			continue;
		c->lost = true;
		reset_(c->fd);
		shutdown(c->fd, SHUT_RD);
	}
}

static bool set_cut_(const request_t *r)
{
	json_t *f = json_loadb(r->body->str, r->body->len, 0, NULL);
	const char *from = json_string_value(json_object_get(f, "source"));
	const char *how = json_string_value(json_object_get(f, "how"));
	struct in_addr source;
	size_t cut = 0;
	cut_t before;
	bool ok;

	while (how && cut < G_N_ELEMENTS(cut_words) &&
	       strcmp(cut_words[cut], how) != 0)
		cut++;
	ok = how && cut < G_N_ELEMENTS(cut_words) && from &&
	     inet_pton(AF_INET, from, &source) == 1;
	if (ok) {
		g_mutex_lock(&state.lock);
		before = cut_of_(source);
		g_hash_table_insert(state.cuts, GUINT_TO_POINTER(source.s_addr),
				    GINT_TO_POINTER((int)cut));
		if (before == CUT_SILENT || before == CUT_ONE_WAY ||
		    cut == CUT_RESET)
			lose_connections_(&source);
		g_cond_broadcast(&state.lifted);
		g_mutex_unlock(&state.lock);
	}
	json_decref(f);
	return ok;
}

static json_t *stats_(void)
{
	json_t *o;

	g_mutex_lock(&state.lock);
	o = json_pack("{s:O,s:O,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i}", "runs",
		      state.runs, "arrivals", state.arrivals, "running",
		      state.running, "most", state.most, "aborted",
		      state.aborted, "connections", state.connections,
		      "copies_at_checks", state.copies_at_checks, "turned_away",
		      state.turned_away, "falls", state.falls, "reports",
		      state.reports);
	o = json_deep_copy(o);
	g_mutex_unlock(&state.lock);
	return o;
}

/* The fault for this request, to be freed. */
static char *take_fault_(void)
{
	char *mode = g_strdup("");

	g_mutex_lock(&state.lock);
	if (state.count) {
		g_free(mode);
		mode = g_strdup(state.mode);
		if (state.count > 0)
			state.count--;
	}
	g_mutex_unlock(&state.lock);
	return mode;
}

static void note_arrival_(const request_t *r)
{
	static const char *const names[] = {
		"Tenant",	   "X-Api-Key",	    "Target-Instance",
		"Deadline-Ms",	   "Last-Event-Id", "Kv-From",
		"Cache-Retention", "Pin-Ms",	    "Kv-Replica",
		"X-Own",	   "X-Hop",	    "Request-Priority",
		"Kv-Fetch",	   "Resumes"
	};
	char from[INET_ADDRSTRLEN];
	json_t *o = json_pack("{s:s,s:s,s:s,s:I,s:s%}", "id", r->id, "method",
			      r->method, "target", r->target, "at",
			      (json_int_t)clock_now(), "body", r->body->str,
			      MIN(r->body->len, BODY_NOTED_MAX_BYTES));

	json_object_set_new(o, "reused", json_boolean(r->reused));
	json_object_set_new(o, "from",
			    json_string(inet_ntop(AF_INET, &own->source, from,
						  sizeof(from))));
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *v = header_(r, names[i]);

		if (*v)
			json_object_set_new(o, names[i], json_string(v));
		g_free(v);
	}
	g_mutex_lock(&state.lock);
	json_array_append_new(state.arrivals, o);
	g_mutex_unlock(&state.lock);
}

/* Under the lock. */
static void fall_(mstime_t now)
{
	state.falls++;
	state.fallen_until = now + FALLEN_MS;
	g_array_set_size(state.turned_at, 0);
	lose_connections_(NULL);
	g_cond_broadcast(&state.room);
	/* Wakes up the thread that accepts. */
	shutdown(state.listener, SHUT_RDWR);
}

/* Under the lock. */
static void turn_away_(mstime_t now)
{
	mstime_t after = now - BRITTLE_WINDOW_MS;
	GArray *at = state.turned_at;

	state.turned_away++;
	if (!state.brittle || now < state.brittle_from)
		return;
	g_array_append_val(at, now);
	while (g_array_index(at, mstime_t, 0) <= after)
		g_array_remove_index(at, 0);
	if (at->len > (guint)state.brittle && now >= state.fallen_until)
		fall_(now);
}

/* Under the lock. */
static int waits_allowed_(mstime_t now)
{
	return state.brittle && now >= state.brittle_from ? state.brittle_waits
							  : waits;
}

typedef enum room {
	ROOM_FOUND,
	ROOM_NONE,
	ROOM_LOST, /* the connection was, meanwhile */
} room_t;

/* Under the lock. Waits for a slot, if one more may wait. */
static room_t find_room_(void)
{
	mstime_t now = clock_now();

	if (waits < 0 || state.running < slots)
		return ROOM_FOUND;
	if (state.waiting >= waits_allowed_(now)) {
		turn_away_(now);
		return ROOM_NONE;
	}
	state.waiting++;
	while (state.running >= slots && !own->lost)
		g_cond_wait(&state.room, &state.lock);
	state.waiting--;
	return own->lost ? ROOM_LOST : ROOM_FOUND;
}

static room_t begin_run_(const request_t *r)
{
	json_int_t n;
	room_t room;

	g_mutex_lock(&state.lock);
	room = find_room_();
	if (room != ROOM_FOUND) {
		g_mutex_unlock(&state.lock);
		return room;
	}
	n = json_integer_value(json_object_get(state.runs, r->id));
	json_object_set_new(state.runs, r->id, json_integer(n + 1));
	own_run = ++state.begun;
	state.running++;
	state.most = MAX(state.most, state.running);
	g_mutex_unlock(&state.lock);
	return ROOM_FOUND;
}

static void end_run_(bool aborted)
{
	g_mutex_lock(&state.lock);
	state.running--;
	state.aborted += aborted;
	/* All, as one that is signalled may have lost its connection. */
	g_cond_broadcast(&state.room);
	g_mutex_unlock(&state.lock);
}

/* Waits; false when the caller closes meanwhile. */
static bool pause_(int fd, int ms)
{
	struct pollfd p = { .fd = fd, .events = POLLRDHUP };
	mstime_t ends = clock_now() + ms;

	if (poll(&p, 1, ms) == 0)
		return true;
	if (own_cut_() != CUT_SILENT)
		return false;
	/* A close does not come through a silent link. */
	if (ms < 0)
		return passes_() && false;
	g_usleep((gulong)MAX(ends - clock_now(), 0) * G_TIME_SPAN_MILLISECOND);
	return !is_lost_();
}

/* "Server-Brittle" as all answers name it, to be freed. */
static char *brittle_line_(void)
{
	int n;

	g_mutex_lock(&state.lock);
	n = state.brittle;
	g_mutex_unlock(&state.lock);
	return n ? g_strdup_printf("Server-Brittle: %d\r\n", n) : g_strdup("");
}

static void head_(int fd, const request_t *r, int status, const char *mode)
{
	char *brittle = brittle_line_();

	send_(fd, "HTTP/1.1 %d Status\r\n%s: %s\r\n", status, id_header,
	      strcmp(mode, "crossed") ? r->id : "another");
	if (strcmp(mode, "unsigned") != 0)
		send_(fd, "Response-Signature: sig-%s-%s\r\n", own_id, r->id);
	if (!strcmp(mode, "encoded"))
		send_(fd, "Content-Encoding: gzip\r\n");
	if (strstr(mode, "identity"))
		send_(fd, "Transfer-Encoding: identity\r\n");
	if (strstr(mode, "overlong"))
		send_(fd, "Content-Length: 99999999999999999999\r\n");
	if (!strncmp(mode, "limit", 5))
		send_(fd, "Server-Limit: %s\r\n", mode + 5);
	if (!strncmp(mode, "leaving", 7))
		send_(fd, "Server-Leaving: %s\r\n", mode + 7);
	send_(fd, "%sServer-Load: %d,%d,%d", brittle, state.running,
	      state.waiting, slots);
	if (pace)
		send_(fd, ",%d", pace);
	send_(fd, "\r\nKeep-Alive: timeout=5\r\n");
	g_free(brittle);
}

/* Whether the answer's end is marked by more than that of its connection. */
static bool is_framed_(const request_t *r, const char *mode)
{
	return strncmp(mode, "unframed", 8) != 0 &&
	       (int)(g_str_hash(r->id) / BIG_EVERY % 100) >= unframed;
}

/* Whether half of an answer without framing is sent, and no more. */
static bool stalls_(const char *mode)
{
	return !strncmp(mode, "unframed", 8) &&
	       g_str_has_suffix(mode, "_stall");
}

/* The whole plain answer; false when the connection must end. */
static bool plain_(int fd, const request_t *r, const char *mode)
{
	char *more = g_strnfill((gsize)answer_bytes, ' ');
	char *body = g_strdup_printf("{\"from\":\"%s\",\"id\":\"%s\"%s}",
				     own_id, r->id, more);
	int status = !strcmp(mode, "error") ? 500 : 200;
	bool framed = is_framed_(r, mode);
	size_t len = strlen(body);

	if (!strcmp(mode, "busy"))
		status = 503;
	head_(fd, r, status, mode);
	if (framed)
		send_(fd, "Content-Length: %zu\r\n", len);
	if (!strcmp(mode, "cut") || !strcmp(mode, "unframed_reset") ||
	    stalls_(mode))
		len /= 2;
	send_(fd, "\r\n%.*s", (int)len, body);
	if (g_str_has_suffix(mode, "_late"))
		pause_(fd, LATE_MS);
	if (!strncmp(mode, "copy", 4)) {
		head_(fd, r, 200, "");
		send_(fd, "Content-Length: %zu\r\n\r\n%s", len, body);
	}
	if (!strncmp(mode, "extra", 5)) {
		head_(fd, r, 200, "crossed");
		send_(fd, "Content-Length: 5\r\n\r\nextra");
	}
	if (!strcmp(mode, "unframed_reset")) {
		pause_(fd, LATE_MS);
		reset_(fd);
	}
	if (stalls_(mode))
		pause_(fd, -1);
	g_free(more);
	g_free(body);
	return framed && strcmp(mode, "cut") != 0;
}

static bool chunk_(int fd, const char *text)
{
	return send_(fd, "%zx\r\n%s\r\n", strlen(text), text);
}

/* A part of a stream, which ends with its connection unless it is framed. */
static bool piece_(int fd, bool framed, const char *text)
{
	return framed ? chunk_(fd, text) : send_(fd, "%s", text);
}

static bool body_crashes_(const request_t *r)
{
	return crash_body && strstr(r->body->str, crash_body);
}

static bool crashes_(const request_t *r)
{
	char *segments = header_(r, "Prompt-Prefix");
	bool found = crash_segment && strstr(segments, crash_segment);

	g_free(segments);
	return found || body_crashes_(r);
}

static char *event_text_(const request_t *r, int64_t i)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text,
			"id: %" G_GINT64_FORMAT
			"\ndata: %s%s%s-%" G_GINT64_FORMAT,
			i * stride, version ? version : "", version ? "/" : "",
			r->id, i);
	if (r->big) {
		g_string_append_c(text, ' ');
		for (int n = 0; n < big_bytes; n++)
			g_string_append_c(text, 'x');
	}
	if (marked && event_bytes)
		g_string_append_c(text, ' ');
	for (int n = 0; n < event_bytes; n++)
		g_string_append_c(text, '.');
	if (marked)
		g_string_append_printf(text, " run=%s.%d.%d.", own_id, getpid(),
				       own_run);
	g_string_append(text, "\n\n");
	return g_string_free(text, FALSE);
}

/* An event in --pieces parts, and the time to the next. */
static bool event_(int fd, bool framed, const char *text)
{
	size_t len = strlen(text) / (size_t)pieces;
	bool ok = true;

	for (int i = 1; ok && i < pieces; i++, text += len) {
		char *part = g_strndup(text, len);

		ok = piece_(fd, framed, part) &&
		     pause_(fd, gap_ms / 2 / (pieces - 1));
		g_free(part);
	}
	return ok && piece_(fd, framed, text) &&
	       pause_(fd, pieces > 1 ? gap_ms / 2 : gap_ms);
}

typedef enum trouble {
	TROUBLE_NONE,
	TROUBLE_END,
	TROUBLE_RESET,
	TROUBLE_END_INSIDE,
	TROUBLE_RESET_INSIDE,
	TROUBLE_WHOLE_INSIDE,
	TROUBLE_SILENT,
	TROUBLE_REFUSE,
	TROUBLE_COUNT,
} trouble_t;

typedef struct plight {
	trouble_t trouble;
	int64_t event; /* after it, or inside it */
	int silent_ms;
} plight_t;

static plight_t draw_plight_(const request_t *r, const char *mode)
{
	plight_t p = { 0 };
	GRand *rand;
	int percent;
	int min_ms;
	int max_ms;

	if (r->last_event < events && sscanf(mode, "preempts %d %d %d",
					     &percent, &min_ms, &max_ms) == 3) {
		rand = g_rand_new_with_seed(g_str_hash(r->id) ^
					    g_str_hash(own_id) ^ (guint32)seed);
		if (g_rand_int_range(rand, 0, 100) < percent) {
			p.trouble = TROUBLE_SILENT;
			p.event = g_rand_int_range(
				rand, (gint32)r->last_event + 1, events + 1);
			p.silent_ms =
				g_rand_int_range(rand, min_ms, max_ms + 1);
		}
		g_rand_free(rand);
		return p;
	}
	if (strcmp(mode, "troubled") != 0 || r->last_event >= events)
		return p;
	rand = g_rand_new_with_seed(g_str_hash(r->id) ^ g_str_hash(own_id) ^
				    (guint32)seed);
	if (g_rand_int_range(rand, 0, 3) == 0) {
		p.trouble = (trouble_t)g_rand_int_range(rand, TROUBLE_END,
							TROUBLE_COUNT);
		p.event = g_rand_int_range(rand, (gint32)r->last_event + 1,
					   events + 1);
		p.silent_ms = g_rand_int_range(rand, SILENT_MIN_MS,
					       SILENT_MAX_MS + 1);
		/* Nothing would tell such an end from that of the stream. */
		if (p.trouble == TROUBLE_END && !is_framed_(r, mode))
			p.trouble = TROUBLE_RESET;
	}
	g_rand_free(rand);
	return p;
}

static bool is_inside_(trouble_t trouble)
{
	return trouble == TROUBLE_END_INSIDE ||
	       trouble == TROUBLE_RESET_INSIDE ||
	       trouble == TROUBLE_WHOLE_INSIDE;
}

/* Sends a text whose parts, between "|", come apart. */
static bool parts_(int fd, bool framed, const char *text)
{
	char **parts = g_strsplit(text, "|", -1);
	bool ok = true;

	for (int i = 0; ok && parts[i]; i++) {
		ok = !i || pause_(fd, PART_MS);
		if (ok && *parts[i])
			ok = piece_(fd, framed, parts[i]);
	}
	g_strfreev(parts);
	return ok;
}

static size_t parts_len_(const char *text)
{
	size_t len = 0;

	for (; *text; text++)
		len += *text != '|';
	return len;
}

/*
 * "ends FRAMING N TEXT": N events, then TEXT, then a sound end of the answer. A
 * request that goes on after the Nth event gets the other events whole; with
 * "ends_empty" it gets none. With "breaks" the connection is reset in place of
 * the end, unless a request goes on; with "breaks_again" such a request gets
 * the last event once more. False when the mode is none of these.
 */
static bool ends_(int fd, const request_t *r, const char *mode, bool *kept)
{
	char **words = g_strsplit(mode, " ", 4);
	bool breaks = g_str_has_prefix(mode, "breaks");
	bool matches = (breaks || g_str_has_prefix(mode, "ends")) &&
		       g_strv_length(words) == 4;
	int64_t last = matches ? g_ascii_strtoll(words[2], NULL, 10) : 0;
	int64_t first = r->last_event + 1;
	const char *tail = matches ? words[3] : "";
	GString *body = g_string_new(NULL);
	const char *framing;

	if (matches && last && r->last_event >= last) {
		last = strcmp(words[0], "ends_empty") ? events : 0;
		first -= !strcmp(words[0], "breaks_again");
		breaks = false;
		tail = "";
	}
	for (int64_t i = first; i <= last; i++) {
		char *event = event_text_(r, i);

		g_string_append(body, event);
		g_free(event);
	}
	g_string_append(body, tail);
	framing = matches ? words[1] : "";
	if (matches) {
		head_(fd, r, 200, "");
		send_(fd, "Content-Type: text/event-stream\r\n");
	}
	if (!strcmp(framing, "chunks")) {
		send_(fd, "Transfer-Encoding: chunked\r\n\r\n");
		*kept = parts_(fd, true, body->str) &&
			(breaks || send_(fd, "0\r\n\r\n"));
	} else if (!strcmp(framing, "length")) {
		send_(fd, "Content-Length: %zu\r\n\r\n",
		      parts_len_(body->str) + breaks);
		*kept = parts_(fd, false, body->str);
	} else if (matches) {
		send_(fd, "\r\n");
		parts_(fd, false, body->str);
		*kept = false;
	}
	if (matches && breaks) {
		/* A reset drops what the other side has not read. */
		pause_(fd, PART_MS);
		reset_(fd);
		*kept = false;
	}
	g_string_free(body, TRUE);
	g_strfreev(words);
	return matches;
}

/* After an event at which an answer breaks; false when it ends there. */
static bool suffer_(int fd, const plight_t *p, bool *whole)
{
	if (p->trouble == TROUBLE_SILENT)
		return pause_(fd, p->silent_ms);
	if (p->trouble == TROUBLE_RESET || p->trouble == TROUBLE_RESET_INSIDE)
		reset_(fd);
	*whole = p->trouble == TROUBLE_WHOLE_INSIDE;
	return false;
}

static bool stream_(int fd, const request_t *r, const char *mode)
{
	bool framed = is_framed_(r, mode);
	plight_t plight = draw_plight_(r, mode);
	size_t late_bytes = r->rest / (size_t)events + 1;
	bool whole = false;

	head_(fd, r, 200, mode);
	send_(fd, "Content-Type: text/event-stream\r\n%s\r\n",
	      framed ? "Transfer-Encoding: chunked\r\n" : "");
	if (!strcmp(mode, "unframed_head"))
		return false;
	if (crashes_(r)) {
		pause_(fd, HEAD_LEAD_MS);
		_exit(1);
	}
	for (int64_t i = r->last_event + 1; i <= events; i++) {
		char *event = event_text_(r, i);

		if (i > events / 2 &&
		    (!strcmp(mode, "cut") || !strcmp(mode, "unframed_cut")))
			event[strlen(event) / 2] = '\0';
		if (i == plight.event && is_inside_(plight.trouble))
			event[strlen(event) / 2] = '\0';
		if (!event_(fd, framed, event) || !read_rest_(fd, late_bytes)) {
			g_free(event);
			return false;
		}
		g_free(event);
		if (i == events / 2 && stalls_(mode))
			return pause_(fd, -1) && false;
		if (i == plight.event && !suffer_(fd, &plight, &whole))
			return whole && framed && send_(fd, "0\r\n\r\n");
		if (i > events / 2 && !strcmp(mode, "drip")) {
			while (pause_(fd, DRIP_MS) && chunk_(fd, ":"))
				;
			return false;
		}
		if (i > events / 2 &&
		    (!strcmp(mode, "cut") || !strcmp(mode, "unframed_cut") ||
		     !strcmp(mode, "reset"))) {
			if (*mode == 'r')
				reset_(fd);
			return false;
		}
	}
	/* With bytes that are not read the end would be a reset. */
	return read_rest_(fd, r->rest) && framed && send_(fd, "0\r\n\r\n");
}

/* Bytes that come until the other side closes: what comes before them, and
 * what is repeated.
 */
static const struct {
	const char *mode;
	const char *before;
	const char *repeated;
} endless[] = {
	{ "endless_status", "HTTP/1.1 200 ", "xxxxxxxxxxxxxxxx" },
	{ "endless_header", "HTTP/1.1 200 OK\r\nX-Long: ", "yyyyyyyyyyyyyyyy" },
	{ "endless_headers", "HTTP/1.1 200 OK\r\n", "X-Next: value\r\n" },
	{ "endless_1xx", "", "HTTP/1.1 102 Processing\r\n\r\n" },
	{ "endless_length", "%sContent-Length: 900000000000\r\n\r\n",
	  "zzzzzzzzzzzzzzzz" },
	{ "endless_body", "%s\r\n", "zzzzzzzzzzzzzzzz" },
	{ "endless_chunks", "%sTransfer-Encoding: chunked\r\n\r\n",
	  "10\r\nzzzzzzzzzzzzzzzz\r\n" },
	{ "endless_chunk_size", "%sTransfer-Encoding: chunked\r\n\r\n",
	  "0000000000000000" },
	{ "endless_extension",
	  "%sTransfer-Encoding: chunked\r\n\r\n5;ext=", "eeeeeeeeeeeeeeee" },
	{ "endless_trailers",
	  "%sTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
	  "X-Next: value\r\n" },
	{ "endless_event",
	  "%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
	  "zzzzzzzzzzzzzzzz" },
	{ "endless_comments", "%sContent-Type: text/event-stream\r\n\r\n",
	  ": comment\n\n" },
};

static char *own_head_(const request_t *r, const char *status_line)
{
	return g_strdup_printf("%s\r\n%s: %s\r\n"
			       "Response-Signature: sig-%s-%s\r\n",
			       status_line, id_header, r->id, own_id, r->id);
}

/* False when the mode is neither "status" nor "early". */
static bool status_line_(int fd, const request_t *r, const char *mode,
			 bool *kept)
{
	bool early = g_str_has_prefix(mode, "early ");
	char **words = g_strsplit(mode, " ", early ? 4 : 2);
	bool matches = early || g_str_has_prefix(mode, "status ");
	char *head;

	if (matches) {
		head = own_head_(r, words[early ? 3 : 1]);
		send_(fd, "%s%s\r\n{}", head,
		      early ? "" : "Content-Length: 2\r\n");
		g_free(head);
		*kept = !early;
	}
	if (early && !strcmp(words[2], "reset")) {
		pause_(fd, PART_MS);
		reset_(fd);
	} else if (early) {
		shutdown(fd, SHUT_WR);
		pause_(fd, LONG_MS);
	}
	g_strfreev(words);
	return matches;
}

/* False when the mode is none of these. */
static bool endless_(int fd, const request_t *r, const char *mode)
{
	for (size_t i = 0; i < G_N_ELEMENTS(endless); i++) {
		const char *before = endless[i].before;
		GString *block;
		char *head;

		if (strcmp(endless[i].mode, mode) != 0)
			continue;
		block = g_string_new(NULL);
		head = own_head_(r, "HTTP/1.1 200 OK");
		while (block->len < ENDLESS_BLOCK)
			g_string_append(block, endless[i].repeated);
		if (g_str_has_prefix(before, "%s")) {
			send_(fd, "%s", head);
			before += strlen("%s");
		}
		send_(fd, "%s", before);
		while (send(fd, block->str, block->len, MSG_NOSIGNAL) > 0)
			;
		g_string_free(block, TRUE);
		g_free(head);
		return true;
	}
	return false;
}

/* id: of the request, or NULL for a refusal that came too late for its own */
static char *refusal_text_(const char *id, int status)
{
	char *brittle = brittle_line_();
	char *text = g_strdup_printf(
		"HTTP/1.1 %d Refused\r\nNot-Executed: 1\r\n"
		"%s%s%s%s%sContent-Length: %zu\r\n\r\n%s",
		status, id ? id_header : "", id ? ": " : "", id ? id : "",
		id ? "\r\n" : "", brittle, strlen(refusal_body), refusal_body);

	g_free(brittle);
	return text;
}

static void refuse_(int fd, const char *id, int status)
{
	char *text = refusal_text_(id, status);

	send_(fd, "%s", text);
	g_free(text);
}

static bool refuse_full_(int fd, const request_t *r)
{
	head_(fd, r, 503, "");
	return send_(fd, "Not-Executed: 1\r\nContent-Length: %zu\r\n\r\n%s",
		     strlen(refusal_body), refusal_body);
}

static copy_place_t copy_place_(const char *name)
{
	copy_place_t place = COPY_NONE;

	for (int i = 0; i < COPY_PLACE_COUNT; i++) {
		if (!strcmp(copy_place_string[i], name))
			place = (copy_place_t)i;
	}
	return place;
}

/* "refuse STATUS PLACE": false when the mode is another. */
static bool refuse_twice_(int fd, const request_t *r, const char *mode,
			  copy_t *copy)
{
	char **words = g_strsplit(mode, " ", 3);
	bool matches = g_strv_length(words) == 3 && !strcmp(words[0], "refuse");
	char *text;

	if (matches) {
		text = refusal_text_(r->id, atoi(words[1]));
		copy->place = copy_place_(words[2]);
		send_(fd, "%s%s", text, copy->place == COPY_BEHIND ? text : "");
		g_free(copy->text);
		copy->text = copy->place > COPY_BEHIND ? g_strdup(text) : NULL;
		g_free(text);
	}
	g_strfreev(words);
	return matches;
}

/* Sends what of a copy is due before the next request is run. */
static void send_copy_before_(int fd, const copy_t *copy)
{
	size_t half = copy->text ? strlen(copy->text) / 2 : 0;

	if (!copy->text)
		return;
	if (copy->place == COPY_BEFORE)
		send_(fd, "%s", copy->text);
	if (copy->place != COPY_PIECES)
		return;
	send_(fd, "%.*s", (int)half, copy->text);
	pause_(fd, LATE_MS);
	send_(fd, "%s", copy->text + half);
}

static void answer_check_(int fd, copy_t *copy)
{
	char health[MODE_MAX];
	char *brittle = brittle_line_();
	char *text;

	g_mutex_lock(&state.lock);
	g_strlcpy(health, state.health, sizeof(health));
	state.copies_at_checks += copy->text != NULL;
	g_mutex_unlock(&state.lock);
	send_copy_before_(fd, copy);
	g_clear_pointer(&copy->text, g_free);
	text = g_strdup_printf("HTTP/1.1 %d Status\r\nInstance-Id: %s\r\n"
			       "%sContent-Length: 0\r\n\r\n",
			       strcmp(health, "down") ? 200 : 500, own_id,
			       brittle);
	g_free(brittle);
	send_(fd, "%s", text);
	if (!strcmp(health, "copied"))
		*copy = (copy_t){ g_strdup(text), COPY_BEFORE };
	g_free(text);
}

/* False when the connection ends after it. */
static bool report_(int fd)
{
	bool cut;
	int n;

	g_mutex_lock(&state.lock);
	n = ++state.reports;
	cut = state.report_cut;
	g_mutex_unlock(&state.lock);
	if (report_ms)
		g_usleep((gulong)report_ms * 1000);
	if (cut) {
		send_(fd, "HTTP/1.1 200 OK\r\n\r\n{\"state\":\"re");
		return false;
	}
	if (born)
		send_json_(fd, json_pack("{s:s,s:i,s:I}", "state", "ready",
					 "active", state.running, "born",
					 (json_int_t)born));
	else
		refuse_(fd, NULL, 400);
	return !report_ends || n % report_ends;
}

/* What mode "bad" comes to for a request; other modes stay as they are. */
static const char *worsen_(const request_t *r, const char *mode)
{
	char kind[MODE_MAX];
	char prefix[MODE_MAX];
	int percent;
	int after_ms;
	int load;
	bool bad;

	if (sscanf(mode, "bad %s %d %d %d %s", kind, &percent, &after_ms, &load,
		   prefix) != 5)
		return mode;
	g_mutex_lock(&state.lock);
	bad = clock_now() - state.mode_at >= after_ms &&
	      state.running >= load && g_str_has_prefix(r->target, prefix) &&
	      (int)(g_str_hash(r->id) % 100) < percent;
	g_mutex_unlock(&state.lock);
	if (!bad)
		return "";
	return strcmp(kind, "slow") ? "error" : "slow";
}

static bool run_(int fd, const request_t *r, const char *mode)
{
	room_t room = begin_run_(r);
	bool kept;

	if (room != ROOM_FOUND)
		return room == ROOM_NONE && refuse_full_(fd, r);
	if (!strcmp(mode, "hang") || g_str_has_prefix(mode, "unread ")) {
		end_run_(!pause_(fd, -1));
		return false;
	}
	mode = worsen_(r, mode);
	if (!strcmp(mode, "slow"))
		pause_(fd, delay_ms * (SLOW_FACTOR - 1));
	if (!pause_(fd, strcmp(mode, "long") ? delay_ms : LONG_MS)) {
		end_run_(true);
		return false;
	}
	if (!r->stream && body_crashes_(r))
		_exit(1);
	if (!strcmp(mode, "close") || (!strcmp(mode, "reset") && !r->stream)) {
		if (*mode == 'r')
			reset_(fd);
		end_run_(false);
		return false;
	}
	if (endless_(fd, r, mode)) {
		end_run_(true);
		return false;
	}
	if (ends_(fd, r, mode, &kept) || status_line_(fd, r, mode, &kept)) {
		end_run_(false);
		return kept;
	}
	if (!strcmp(mode, "garbage")) {
		send_(fd, "\x16\x03\x01 no answer at all\r\n\r\n");
		end_run_(false);
		return false;
	}
	if (r->before_answer)
		send_(fd, "%s", r->before_answer);
	kept = r->stream && strcmp(mode, "error") != 0 ? stream_(fd, r, mode)
						       : plain_(fd, r, mode);
	end_run_(r->stream && !kept && (!*mode || !strcmp(mode, "drip")));
	return kept;
}

static bool serve_(int fd, request_t *r, copy_t *copy)
{
	char *target = header_(r, "Target-Instance");
	bool other = *target && strcmp(target, own_id) != 0 &&
		     (!second_id || strcmp(target, second_id) != 0);
	char *mode;
	bool kept = true;
	g_free(target);
	if (!strcmp(r->target, "/stats")) {
		send_json_(fd, stats_());
		return true;
	}
	if (!strcmp(r->target, "/fault")) {
		set_fault_(r);
		send_json_(fd, json_object());
		return true;
	}
	if (!strcmp(r->target, "/load")) {
		send_json_(fd, json_pack("{s:i,s:i}", "outstanding",
					 state.running, "start_id", getpid()));
		return true;
	}
	if (!strcmp(r->target, "/cut")) {
		if (!set_cut_(r))
			return false;
		send_json_(fd, json_object());
		return true;
	}
	if (!strcmp(r->target, "/healthz")) {
		answer_check_(fd, copy);
		return true;
	}
	if (!strcmp(r->target, "/api/report")) {
		return report_(fd);
	}
	note_arrival_(r);
	send_copy_before_(fd, copy);
	if (copy->place == COPY_WITH)
		r->before_answer = copy->text;
	mode = take_fault_();
	if (refuse_twice_(fd, r, mode, copy)) {
		g_free(mode);
		return true;
	}
	if (other || !strcmp(mode, "other"))
		refuse_(fd, r->id, 421);
	else if (!strcmp(mode, "other_leaving"))
		send_(fd, "HTTP/1.1 421 Refused\r\nServer-Leaving: 1\r\n"
			  "Content-Length: 0\r\n\r\n");
	else if (!strcmp(mode, "shed") ||
		 (r->stream && draw_plight_(r, mode).trouble == TROUBLE_REFUSE))
		refuse_(fd, r->id, 503);
	else if (!strcmp(mode, "stale_answer")) {
		/* To an earlier request on this connection. */
		if (r->reused) {
			head_(fd, r, 200, "crossed");
			send_(fd, "Content-Length: 5\r\n\r\nstale");
		}
		kept = run_(fd, r, "long");
	} else if (!strcmp(mode, "stale_refusal")) {
		/* It belongs to an earlier request on this connection. */
		if (r->reused)
			refuse_(fd, NULL, 503);
		kept = run_(fd, r, "");
	} else
		kept = run_(fd, r, mode);
	if (copy->text && copy->place == COPY_AFTER && kept)
		send_(fd, "%s", copy->text);
	g_free(copy->text);
	copy->text = NULL;
	g_free(mode);
	return kept;
}

/* False when it is refused. */
static bool note_connection_(connection_t *c)
{
	cut_t cut;

	g_mutex_lock(&state.lock);
	state.connections++;
	cut = cut_of_(c->source);
	if (cut == CUT_RESET || cut == CUT_NEW_REFUSED ||
	    clock_now() < state.fallen_until)
		c->lost = true;
	else
		g_ptr_array_add(state.open, c);
	g_mutex_unlock(&state.lock);
	return !c->lost;
}

static void end_connection_(connection_t *c)
{
	g_mutex_lock(&state.lock);
	while (c->swallowed && !c->lost &&
	       (cut_of_(c->source) == CUT_SILENT ||
		cut_of_(c->source) == CUT_ONE_WAY))
		g_cond_wait(&state.lifted, &state.lock);
	g_ptr_array_remove_fast(state.open, c);
	if (c->lost || c->swallowed)
		reset_(c->fd);
	close(c->fd);
	g_mutex_unlock(&state.lock);
	g_free(c);
}

/* A small buffer, so that what is not read is seen soon. */
static void bound_sends_(int fd)
{
	struct timeval most = { unread_ms / 1000, unread_ms % 1000 * 1000 };
	int size = SEND_BUFFER;

	if (!unread_ms)
		return;
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &most, sizeof(most));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
}

static gpointer connection_(gpointer data)
{
	GString *in = g_string_new(NULL);
	copy_t copy = { 0 };
	request_t r;
	bool kept = true;
	bool reused = false;

	own = data;
	own_in = in;
	bound_sends_(own->fd);
	while (kept && read_request_(own->fd, in, &r)) {
		r.reused = reused;
		reused = true;
		own_request = &r;
		kept = serve_(own->fd, &r, &copy) &&
		       read_rest_(own->fd, r.rest);
		kept = read_left_(own->fd, in, r.left) && kept;
		request_clear_(&r);
	}
	g_free(copy.text);
	g_string_free(in, TRUE);
	end_connection_(own);
	return NULL;
}

static int listen_(void)
{
	struct sockaddr_in sa;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (!address_parse(listen_address, &sa))
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, BACKLOG))
		return -1;
	return fd;
}

/* Waits while it has fallen over, and listens again. */
static int get_up_(int fd)
{
	mstime_t until;

	g_mutex_lock(&state.lock);
	until = state.fallen_until;
	g_mutex_unlock(&state.lock);
	if (clock_now() >= until)
		return fd;
	close(fd);
	while (clock_now() < until)
		g_usleep((gulong)(until - clock_now()) *
			 G_TIME_SPAN_MILLISECOND);
	fd = listen_();
	g_mutex_lock(&state.lock);
	state.listener = fd;
	g_mutex_unlock(&state.lock);
	return fd;
}

/* Accepts one connection; none when the listening socket is shut down. */
static void accept_(int fd)
{
	struct sockaddr_in peer = { 0 };
	socklen_t len = sizeof(peer);
	connection_t *c;
	int on = 1;
	int one = accept(fd, (struct sockaddr *)&peer, &len);

	if (one < 0)
		return;
	/* Head and body are written apart. */
	setsockopt(one, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c = g_new0(connection_t, 1);
	c->fd = one;
	c->source = peer.sin_addr;
	if (note_connection_(c))
		g_thread_unref(g_thread_new("connection", connection_, c));
	else
		end_connection_(c);
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	int fd;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    !listen_address || !own_id)
		return 2;
	g_option_context_free(context);
	if (!id_header)
		id_header = g_strdup("Attempt-Id");
	if (!refusal_body)
		refusal_body = g_strdup("");
	signal(SIGPIPE, SIG_IGN);
	state.runs = json_object();
	state.arrivals = json_array();
	state.cuts = g_hash_table_new(NULL, NULL);
	state.open = g_ptr_array_new();
	state.turned_at = g_array_new(FALSE, FALSE, sizeof(mstime_t));
	fd = listen_();
	state.listener = fd;
	for (; fd >= 0; fd = get_up_(fd))
		accept_(fd);
	return 1;
}
