#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define RECORDS_MAX 16384
#define VALUE_MAX 8192
#define TOPICS 4
#define BACKLOG 256
#define READY_MAX_MS 15000

bool trouble = true;
node_t nodes[NODES_MAX];
int node_count;

static upstream_t upstreams[UPSTREAMS_MAX];
static int upstream_count;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t started_at;
static char work[TEXT_MAX];
static int net_a;
static int net_b;
static char store_address[32];

int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&t, NULL);
}

static void vnote_(const char *fmt, va_list args)
{
	pthread_mutex_lock(&record_lock);
	if (record) {
		fprintf(record, "%9.3f  ",
			(double)(now_ms() - started_at) / 1000);
		vfprintf(record, fmt, args);
		fputc('\n', record);
		fflush(record);
	}
	pthread_mutex_unlock(&record_lock);
}

void note(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vnote_(fmt, args);
	va_end(args);
}

/* Ends the processes that were started, and only these. */
void stand_exit(int status)
{
	char command[TEXT_MAX + 16];

	for (int i = 0; i < node_count; i++) {
		if (nodes[i].pid <= 0)
			continue;
		kill(nodes[i].pid, SIGCONT);
		kill(nodes[i].pid, SIGKILL);
		waitpid(nodes[i].pid, NULL, 0);
	}
	if (work[0] && !getenv("KEEP")) {
		for (int i = 0; i < node_count; i++) {
			snprintf(command, sizeof(command), "%s/%s.toml", work,
				 nodes[i].name);
			unlink(command);
			snprintf(command, sizeof(command), "%s/%s.log", work,
				 nodes[i].name);
			unlink(command);
		}
		rmdir(work);
	}
	fflush(NULL);
	_exit(status);
}

void stand_judge(bool broken, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vnote_(fmt, args);
	va_end(args);
	va_start(args, fmt);
	vprintf(fmt, args);
	va_end(args);
	printf("\n%s\n", broken ? "broken" : "held");
	note("%s", broken ? "the rule is broken" : "the rule held");
	stand_exit(broken ? BROKEN : HELD);
}

void stand_fail(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vnote_(fmt, args);
	va_end(args);
	va_start(args, fmt);
	vfprintf(stderr, fmt, args);
	va_end(args);
	fputc('\n', stderr);
	stand_exit(CANNOT_RUN);
}

static bool parse_address_(const char *text, struct sockaddr_in *sa)
{
	char ip[32];
	const char *colon = strchr(text, ':');

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

static int listen_(const char *address)
{
	struct sockaddr_in sa;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || !parse_address_(address, &sa))
		stand_fail("no socket for %s", address);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, BACKLOG))
		stand_fail("cannot listen on %s", address);
	return fd;
}

int connect_to(const char *address)
{
	struct sockaddr_in sa;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (!parse_address_(address, &sa) ||
	    connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

bool send_all(int fd, const void *data, size_t len)
{
	const char *p = data;

	while (len) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		p += n;
		len -= (size_t)n;
	}
	return true;
}

bool send_text(int fd, const char *fmt, ...)
{
	char text[HEAD_MAX];
	va_list args;
	int len;

	va_start(args, fmt);
	len = vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	return len >= 0 && (size_t)len < sizeof(text) &&
	       send_all(fd, text, (size_t)len);
}

bool closes_within(int fd, int64_t ms)
{
	int64_t ends = now_ms() + ms;

	for (;;) {
		struct pollfd p = { .fd = fd, .events = POLLRDHUP };
		int64_t left = ends - now_ms();

		if (left <= 0)
			return false;
		if (poll(&p, 1, (int)left) > 0)
			return true;
	}
}

void header_of(const char *head, const char *name, char *out, size_t max)
{
	char mark[TEXT_MAX];
	const char *at;
	size_t len;

	out[0] = '\0';
	snprintf(mark, sizeof(mark), "\r\n%s:", name);
	at = strcasestr(head, mark);
	if (!at)
		return;
	at += strlen(mark);
	at += strspn(at, " ");
	len = strcspn(at, "\r");
	if (len >= max)
		len = max - 1;
	memcpy(out, at, len);
	out[len] = '\0';
}

/* Bytes of a connection that were read too far. */
typedef struct input {
	int fd;
	char data[HEAD_MAX];
	size_t len;
} input_t;

static bool fill_(input_t *in)
{
	ssize_t n;

	if (in->len + 1 >= sizeof(in->data))
		return false;
	n = recv(in->fd, in->data + in->len, sizeof(in->data) - 1 - in->len, 0);
	if (n <= 0)
		return false;
	in->len += (size_t)n;
	in->data[in->len] = '\0';
	return true;
}

static void take_(input_t *in, size_t len)
{
	memmove(in->data, in->data + len, in->len - len + 1);
	in->len -= len;
}

static bool read_body_(input_t *in, request_t *q, size_t want)
{
	size_t got = want < in->len ? want : in->len;

	q->body = calloc(1, want + 1);
	q->body_len = want;
	memcpy(q->body, in->data, got);
	take_(in, got);
	while (got < want) {
		ssize_t n = recv(in->fd, q->body + got, want - got, 0);

		if (n <= 0)
			return false;
		got += (size_t)n;
	}
	return true;
}

static void drop_body_(request_t *q)
{
	free(q->body);
	q->body = NULL;
	q->body_len = 0;
}

static bool read_request_(input_t *in, request_t *q)
{
	char length[32];
	char *end;

	while (!(end = strstr(in->data, "\r\n\r\n"))) {
		if (!fill_(in))
			return false;
	}
	snprintf(q->head, sizeof(q->head), "%.*s", (int)(end + 2 - in->data),
		 in->data);
	take_(in, (size_t)(end + 4 - in->data));
	if (sscanf(q->head, "%15s %255s", q->method, q->target) != 2)
		return false;
	header_of(q->head, "Attempt-Id", q->id, sizeof(q->id));
	header_of(q->head, "Content-Length", length, sizeof(length));
	return read_body_(in, q, strtoul(length, NULL, 10));
}

/* A listening socket and what answers its requests. */
typedef struct server {
	int listener;
	int fd;
	bool (*fn)(void *arg, int fd, const request_t *q);
	void *arg;
} server_t;

static void *on_connection_(void *arg)
{
	server_t *s = arg;
	input_t *in = calloc(1, sizeof(*in));
	request_t *q = calloc(1, sizeof(*q));
	bool kept = true;

	in->fd = s->fd;
	while (kept && read_request_(in, q)) {
		kept = s->fn(s->arg, s->fd, q);
		drop_body_(q);
	}
	drop_body_(q);
	close(s->fd);
	free(q);
	free(in);
	free(s);
	return NULL;
}

static void start_thread_(void *(*fn)(void *arg), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 * 1024);
	if (pthread_create(&thread, &attr, fn, arg))
		stand_fail("no thread");
	pthread_attr_destroy(&attr);
}

static void *on_listener_(void *arg)
{
	server_t *s = arg;

	for (;;) {
		server_t *c;
		int one = 1;
		int fd = accept4(s->listener, NULL, NULL, SOCK_CLOEXEC);

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = malloc(sizeof(*c));
		*c = *s;
		c->fd = fd;
		start_thread_(on_connection_, c);
	}
	return NULL;
}

static void serve_(const char *address,
		   bool (*fn)(void *arg, int fd, const request_t *q), void *arg)
{
	server_t *s = calloc(1, sizeof(*s));

	s->listener = listen_(address);
	s->fn = fn;
	s->arg = arg;
	start_thread_(on_listener_, s);
}

/* The store. */

typedef struct entry {
	char key[TEXT_MAX];
	char *data; /* NULL drops the key */
	size_t len;
} entry_t;

typedef struct topic {
	const char *name;
	entry_t list[RECORDS_MAX];
	int64_t end;
} topic_t;

static topic_t topics[TOPICS] = {
	{ .name = "keyed.op" },
	{ .name = "keyed.servers" },
	{ .name = "keyed.status" },
	{ .name = "keyed.streams" },
};
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_news = PTHREAD_COND_INITIALIZER;

static topic_t *find_topic_(const char *name)
{
	for (int i = 0; i < TOPICS; i++) {
		if (!strcmp(topics[i].name, name))
			return &topics[i];
	}
	return NULL;
}

static void append_(topic_t *t, const char *key, const char *data, size_t len)
{
	entry_t *e;

	if (t->end >= RECORDS_MAX)
		stand_fail("the store is full");
	pthread_mutex_lock(&store_lock);
	e = &t->list[t->end++];
	snprintf(e->key, sizeof(e->key), "%s", key);
	if (data && len) {
		e->data = malloc(len);
		memcpy(e->data, data, len);
		e->len = len;
	}
	pthread_cond_broadcast(&store_news);
	pthread_mutex_unlock(&store_lock);
}

void store_put(const char *topic, const char *key, const char *value)
{
	append_(find_topic_(topic), key, value, strlen(value));
}

void store_drop(const char *topic, const char *key)
{
	append_(find_topic_(topic), key, NULL, 0);
}

void store_configure(int version, const char *routes, const char *services)
{
	char text[VALUE_MAX];

	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":[%s],\"services\":[%s],"
		 "\"limits\":{\"max_header_bytes\":16384,"
		 "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
		 "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"%s\","
		 "\"api_keys\":[\"%s\"],\"priority\":1}]}",
		 version, routes, services, STAND_TENANT, STAND_KEY);
	store_put("keyed.op", "config", text);
	note("store     config %d is written", version);
}

/* Value of a field of the query, empty if absent. */
static void query_of_(const char *target, const char *name, char *out,
		      size_t max)
{
	const char *at = strchr(target, '?');
	size_t len = strlen(name);

	out[0] = '\0';
	while (at) {
		at++;
		if (!strncmp(at, name, len) && at[len] == '=') {
			snprintf(out, max, "%.*s",
				 (int)strcspn(at + len + 1, "&"), at + len + 1);
			return;
		}
		at = strchr(at, '&');
	}
}

static bool reply_(int fd, int status, const char *type, const void *data,
		   size_t len)
{
	return send_text(fd,
			 "HTTP/1.1 %d Status\r\nContent-Type: %s\r\n"
			 "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n",
			 status, type, len) &&
	       send_all(fd, data, len);
}

static bool reply_json_(int fd, int status, const char *text)
{
	return reply_(fd, status, "application/json", text, strlen(text));
}

static void encode_(FILE *out, const unsigned char *p, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";

	for (size_t i = 0; i < len; i += 3) {
		unsigned int v = (unsigned int)p[i] << 16;

		v |= i + 1 < len ? (unsigned int)p[i + 1] << 8 : 0;
		v |= i + 2 < len ? (unsigned int)p[i + 2] : 0;
		fputc(digits[v >> 18 & 63], out);
		fputc(digits[v >> 12 & 63], out);
		fputc(i + 1 < len ? digits[v >> 6 & 63] : '=', out);
		fputc(i + 2 < len ? digits[v & 63] : '=', out);
	}
}

static bool is_newest_(const topic_t *t, int64_t at)
{
	for (int64_t i = at + 1; i < t->end; i++) {
		if (!strcmp(t->list[i].key, t->list[at].key))
			return false;
	}
	return t->list[at].data != NULL;
}

static bool reply_newest_(int fd, const topic_t *t)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	bool first = true;
	bool ok;

	pthread_mutex_lock(&store_lock);
	fputs("{\"entries\":[", out);
	for (int64_t i = 0; i < t->end; i++) {
		const entry_t *e = &t->list[i];

		if (!is_newest_(t, i))
			continue;
		fprintf(out, "%s{\"key\":\"%s\",\"data\":\"", first ? "" : ",",
			e->key);
		encode_(out, (const unsigned char *)e->data, e->len);
		fprintf(out, "\",\"offset\":%lld}", (long long)i);
		first = false;
	}
	fprintf(out, "],\"has_more\":false,\"end_offset\":%lld}",
		(long long)t->end);
	pthread_mutex_unlock(&store_lock);
	fclose(out);
	ok = reply_(fd, 200, "application/json", text, len);
	free(text);
	return ok;
}

static void put_number_(FILE *out, uint64_t v, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--)
		fputc((int)(v >> (8 * i) & 255), out);
}

static bool reply_records_(int fd, const topic_t *t, int64_t from)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	bool ok;

	pthread_mutex_lock(&store_lock);
	put_number_(out, (uint64_t)t->end, 8);
	put_number_(out, 0, 8);
	for (int64_t i = from; i < t->end; i++) {
		const entry_t *e = &t->list[i];
		size_t key_len = strlen(e->key);

		put_number_(out, 1 + key_len + e->len, 4);
		put_number_(out, key_len, 1);
		fwrite(e->key, 1, key_len, out);
		if (e->len)
			fwrite(e->data, 1, e->len, out);
	}
	pthread_mutex_unlock(&store_lock);
	fclose(out);
	ok = reply_(fd, 200, "application/octet-stream", text, len);
	free(text);
	return ok;
}

static bool read_log_(int fd, const topic_t *t, const request_t *q)
{
	char source[32];
	char wait[32];
	struct timespec until;
	int64_t from;

	query_of_(q->target, "source", source, sizeof(source));
	query_of_(q->target, "wait_ms", wait, sizeof(wait));
	from = strtoll(source, NULL, 10);
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += strtol(wait, NULL, 10) % 1000 * 1000000;
	until.tv_sec +=
		strtol(wait, NULL, 10) / 1000 + until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	pthread_mutex_lock(&store_lock);
	while (from >= t->end && *wait && *wait != '0' &&
	       !pthread_cond_timedwait(&store_news, &store_lock, &until))
		;
	pthread_mutex_unlock(&store_lock);
	return reply_records_(fd, t, from);
}

static bool append_log_(int fd, topic_t *t, const request_t *q)
{
	const unsigned char *p = (const unsigned char *)q->body;
	size_t left = q->body_len;
	char text[96];
	int64_t first = t->end;

	while (left > 5) {
		size_t len = (size_t)p[0] << 24 | (size_t)p[1] << 16 |
			     (size_t)p[2] << 8 | p[3];
		size_t key_len = p[4];
		char key[TEXT_MAX];

		if (len + 4 > left || key_len + 1 > len)
			return reply_json_(fd, 400, "{}");
		snprintf(key, sizeof(key), "%.*s", (int)key_len,
			 (const char *)p + 5);
		append_(t, key, (const char *)p + 5 + key_len,
			len - 1 - key_len);
		p += 4 + len;
		left -= 4 + len;
	}
	snprintf(text, sizeof(text), "{\"offset\":%lld,\"end_offset\":%lld}",
		 (long long)first, (long long)t->end);
	return reply_json_(fd, 200, text);
}

static bool on_store_(void *arg, int fd, const request_t *q)
{
	char name[64];
	topic_t *t;

	(void)arg;
	query_of_(q->target, "topic", name, sizeof(name));
	t = find_topic_(name);
	if (!t)
		return reply_json_(fd, 404, "{}");
	if (!strncmp(q->target, "/api/log-newest", 15))
		return reply_newest_(fd, t);
	if (!strncmp(q->target, "/api/log-read", 13))
		return read_log_(fd, t, q);
	if (strncmp(q->target, "/api/log-append", 15) != 0)
		return reply_json_(fd, 404, "{}");
	if (t == &topics[0] || t == &topics[1])
		return reply_json_(fd, 403, "{}");
	return append_log_(fd, t, q);
}

/* Upstreams. */

void upstream_check_in(upstream_t *u)
{
	char text[1024];

	u->sequence++;
	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		 "\"version\":\"%s\",\"slot_count\":%d,\"state\":\"%s\","
		 "\"cold_remaining_ms\":0,\"born\":%lld,\"sequence\":%lld}",
		 u->service, u->address, u->zone, u->version, u->slots,
		 u->state, (long long)u->born, (long long)u->sequence);
	store_put("keyed.servers", u->id, text);
	u->in_store = true;
}

static void *on_check_in_(void *arg)
{
	upstream_t *u = arg;

	for (;;) {
		sleep_ms(HEARTBEAT_MS);
		if (u->checks_in)
			upstream_check_in(u);
	}
	return NULL;
}

static bool on_upstream_(void *arg, int fd, const request_t *q)
{
	upstream_t *u = arg;
	char instance[TEXT_MAX];
	bool kept;

	if (!strcmp(q->target, "/healthz"))
		return send_text(fd,
				 "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
				 "Server-Load: %d,0,%d\r\n"
				 "Content-Length: 0\r\n\r\n",
				 u->id, u->running, u->slots);
	header_of(q->head, "Target-Instance", instance, sizeof(instance));
	if (*instance && strcmp(instance, u->id) != 0)
		return send_text(fd,
				 "HTTP/1.1 421 Misdirected Request\r\n"
				 "Instance-Id: %s\r\nAttempt-Id: %s\r\n"
				 "Content-Length: 0\r\n\r\n",
				 u->id, q->id);
	__atomic_add_fetch(&u->running, 1, __ATOMIC_SEQ_CST);
	kept = u->answer(u, fd, q);
	__atomic_sub_fetch(&u->running, 1, __ATOMIC_SEQ_CST);
	return kept;
}

upstream_t *
upstream_start(const char *id, const char *service, const char *zone, int slots,
	       bool (*answer)(upstream_t *u, int fd, const request_t *q))
{
	upstream_t *u = &upstreams[upstream_count++];

	if (upstream_count > UPSTREAMS_MAX)
		stand_fail("too many upstreams");
	snprintf(u->id, sizeof(u->id), "%s", id);
	snprintf(u->service, sizeof(u->service), "%s", service);
	snprintf(u->zone, sizeof(u->zone), "%s", zone);
	snprintf(u->version, sizeof(u->version), "v1");
	snprintf(u->state, sizeof(u->state), "ready");
	snprintf(u->address, sizeof(u->address), "127.%d.%d.%d:8080", net_a,
		 net_b, 100 + upstream_count);
	u->born = wall_ms();
	u->slots = slots;
	u->checks_in = true;
	u->answer = answer;
	serve_(u->address, on_upstream_, u);
	upstream_check_in(u);
	start_thread_(on_check_in_, u);
	return u;
}

static bool send_head_(const upstream_t *u, int fd, const request_t *q,
		       int status)
{
	return send_text(fd,
			 "HTTP/1.1 %d Status\r\nAttempt-Id: %s\r\n"
			 "Response-Signature: sig.%s.%s\r\n"
			 "Server-Load: %d,0,%d\r\nKeep-Alive: timeout=5\r\n",
			 status, q->id, u->id, q->id, u->running, u->slots);
}

bool send_plain(const upstream_t *u, int fd, const request_t *q, int status,
		const char *more, const char *body)
{
	return send_head_(u, fd, q, status) &&
	       send_text(fd, "%sContent-Length: %zu\r\n\r\n%s", more,
			 strlen(body), body);
}

bool send_stream_head(const upstream_t *u, int fd, const request_t *q)
{
	return send_head_(u, fd, q, 200) &&
	       send_text(fd, "Content-Type: text/event-stream\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n");
}

bool send_chunk(int fd, const char *text)
{
	return send_text(fd, "%zx\r\n%s\r\n", strlen(text), text);
}

/* Nodes. */

static const struct {
	const char *mark;
	const char *value;
} fixed_values[] = {
	{ "{{region}}", "r" },
	{ "{{bounds.grace_s}}", "8" },
	{ "{{limits.max_fds}}", "4100" },
	{ "{{port_range.0}}", "7340" },
	{ "{{bounds.ttl_max_s}}", "5" },
	{ "{{bounds.drain_ms}}", "2000" },
	{ "{{bounds.config_apply_ms}}", "2000" },
	{ "{{bounds.retry_ratio}}", "0.2" },
	{ "{{bounds.retry_burst}}", "54" },
	{ "{{bounds.retry_window_s}}", "10" },
};

static void replace_(char *text, size_t max, const char *mark,
		     const char *value)
{
	char *at;

	while ((at = strstr(text, mark))) {
		size_t rest = strlen(at + strlen(mark));
		size_t len = strlen(value);

		if (strlen(text) + len >= max)
			stand_fail("settings are too long");
		memmove(at + len, at + strlen(mark), rest + 1);
		for (size_t i = 0; i < len; i++)
			at[i] = value[i];
	}
}

static void replace_address_(char *text, size_t max, const char *mark,
			     const node_t *n, int port)
{
	char address[64];

	snprintf(address, sizeof(address), "%s:%d", n->ip, port);
	replace_(text, max, mark, address);
}

/* The seeds, as the section of the template renders them. */
static void replace_seeds_(char *text, size_t max)
{
	char seeds[256] = "";

	for (int i = 0; i < node_count && i < 3; i++) {
		size_t len = strlen(seeds);

		snprintf(seeds + len, sizeof(seeds) - len, "%s\"%s:8229\"",
			 i ? "," : "", nodes[i].ip);
	}
	replace_(text, max, "{{#seed_nodes}}\"{{.}}\"{{,}}{{/seed_nodes}}",
		 seeds);
}

/* Fills in deploy/settings.tmpl as the platform does. */
static void write_settings_(const node_t *n, const char *path)
{
	char text[VALUE_MAX] = "";
	FILE *in = fopen("deploy/settings.tmpl", "r");
	FILE *out = fopen(path, "w");

	if (!in || !out)
		stand_fail("cannot write the settings");
	if (!fread(text, 1, sizeof(text) / 2, in))
		stand_fail("cannot read the template");
	fclose(in);
	replace_(text, sizeof(text), "{{node_name}}", n->name);
	replace_(text, sizeof(text), "{{zone}}", n->zone);
	replace_(text, sizeof(text), "{{ip}}", n->ip);
	replace_(text, sizeof(text), "{{platform.address}}", store_address);
	replace_address_(text, sizeof(text), "{{listen_addrs.http}}", n, 8227);
	replace_address_(text, sizeof(text), "{{listen_addrs.readiness}}", n,
			 8220);
	replace_address_(text, sizeof(text), "{{listen_addrs.registry}}", n,
			 8224);
	replace_address_(text, sizeof(text), "{{listen_addrs.admin}}", n, 8229);
	replace_seeds_(text, sizeof(text));
	for (size_t i = 0; i < sizeof(fixed_values) / sizeof(*fixed_values);
	     i++)
		replace_(text, sizeof(text), fixed_values[i].mark,
			 fixed_values[i].value);
	if (strstr(text, "{{"))
		stand_fail("the template has a field that is not known here: "
			   "%.40s",
			   strstr(text, "{{"));
	fputs(text, out);
	fclose(out);
}

void node_add(const char *name, const char *zone)
{
	node_t *n = &nodes[node_count++];

	if (node_count > NODES_MAX)
		stand_fail("too many nodes");
	snprintf(n->name, sizeof(n->name), "%s", name);
	snprintf(n->zone, sizeof(n->zone), "%s", zone);
	snprintf(n->ip, sizeof(n->ip), "127.%d.%d.%d", net_a, net_b,
		 10 + node_count);
	snprintf(n->callers, sizeof(n->callers), "%s:8227", n->ip);
	snprintf(n->readiness, sizeof(n->readiness), "%s:8220", n->ip);
}

/* The command of deploy/system.toml, with the path of these settings. */
static void execute_(const char *settings, const char *log)
{
	char variable[TEXT_MAX + 32];
	char path[TEXT_MAX * 4];
	char program[] = "target/kingcupforkd";
	char option[] = "--gateway";
	char file[TEXT_MAX];
	char *argv[] = { program, option, file, NULL };
	char *env[] = { path, variable, NULL };
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	snprintf(file, sizeof(file), "%s", settings);
	snprintf(variable, sizeof(variable), "KINGCUPFORK_CONFIG=%s", settings);
	snprintf(path, sizeof(path), "PATH=%s", getenv("PATH"));
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execve(program, argv, env);
	_exit(127);
}

void node_start(node_t *n)
{
	char settings[TEXT_MAX + 64];
	char log[TEXT_MAX + 64];

	snprintf(settings, sizeof(settings), "%s/%s.toml", work, n->name);
	snprintf(log, sizeof(log), "%s/%s.log", work, n->name);
	write_settings_(n, settings);
	n->pid = fork();
	if (n->pid < 0)
		stand_fail("cannot fork");
	if (!n->pid)
		execute_(settings, log);
	note("%-9s is started", n->name);
}

/* Reads an answer whole; returns its status, 0 for none. */
static void read_answer_(int fd, int64_t ends, outcome_t *o);

static int get_(const char *address, const char *path, outcome_t *o)
{
	int fd = connect_to(address);

	*o = (outcome_t){ 0 };
	if (fd < 0)
		return 0;
	if (send_text(fd, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, address))
		read_answer_(fd, now_ms() + 1000, o);
	close(fd);
	return o->status;
}

bool node_is_ready(const node_t *n)
{
	outcome_t o;

	return get_(n->readiness, "/api/readyz", &o) == 200;
}

static int addresses_(const node_t *n)
{
	char address[64];
	outcome_t o;
	int count = 0;

	snprintf(address, sizeof(address), "%s:8224", n->ip);
	if (get_(address, "/api/lookup?name=" STAND_HOST "&region=r&zone=z-1",
		 &o) != 200)
		return 0;
	for (const char *at = o.body; (at = strstr(at, ":8227")); at++)
		count++;
	return count;
}

void nodes_wait(void)
{
	int64_t ends = now_ms() + READY_MAX_MS;
	bool all = false;

	while (!all) {
		all = true;
		for (int i = 0; i < node_count; i++)
			all = all && node_is_ready(&nodes[i]) &&
			      addresses_(&nodes[i]) == node_count;
		if (!all && now_ms() > ends)
			stand_fail("the nodes are not ready");
		sleep_ms(100);
	}
	note("all nodes are ready");
}

/* Callers. */

static bool wait_readable_(int fd, int64_t ends)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	int64_t left = ends - now_ms();

	return left > 0 && poll(&p, 1, (int)left) > 0;
}

static bool fill_until_(input_t *in, int64_t ends)
{
	return wait_readable_(in->fd, ends) && fill_(in);
}

static void keep_(outcome_t *o, const char *data, size_t len)
{
	if (len > sizeof(o->body) - 1 - o->body_len)
		len = sizeof(o->body) - 1 - o->body_len;
	memcpy(o->body + o->body_len, data, len);
	o->body_len += len;
	o->body[o->body_len] = '\0';
}

static void read_chunks_(input_t *in, int64_t ends, outcome_t *o)
{
	for (;;) {
		char *line;
		size_t size;
		size_t skip;

		while (!(line = strstr(in->data, "\r\n"))) {
			if (!fill_until_(in, ends))
				return;
		}
		size = strtoul(in->data, NULL, 16);
		skip = (size_t)(line - in->data) + 2;
		while (in->len < skip + size + 2) {
			if (!fill_until_(in, ends))
				return;
		}
		keep_(o, in->data + skip, size);
		take_(in, skip + size + 2);
		if (!size) {
			o->whole = true;
			return;
		}
	}
}

static void read_length_(input_t *in, size_t want, int64_t ends, outcome_t *o)
{
	while (in->len < want) {
		if (!fill_until_(in, ends))
			return;
	}
	keep_(o, in->data, want);
	o->whole = true;
}

static void read_answer_(int fd, int64_t ends, outcome_t *o)
{
	input_t *in = calloc(1, sizeof(*in));
	char value[TEXT_MAX];
	char *end = NULL;
	char *head;

	in->fd = fd;
	while (!(end = strstr(in->data, "\r\n\r\n"))) {
		if (!fill_until_(in, ends)) {
			free(in);
			return;
		}
	}
	head = strndup(in->data, (size_t)(end + 2 - in->data));
	take_(in, (size_t)(end + 4 - in->data));
	o->status = (int)strtol(head + strcspn(head, " "), NULL, 10);
	header_of(head, "Response-Signature", value, sizeof(value));
	o->is_signed = *value;
	header_of(head, "Transfer-Encoding", value, sizeof(value));
	if (*value) {
		read_chunks_(in, ends, o);
	} else {
		header_of(head, "Content-Length", value, sizeof(value));
		read_length_(in, strtoul(value, NULL, 10), ends, o);
	}
	free(head);
	free(in);
}

void caller_try(const node_t *n, const char *method, const char *path,
		const char *id, const char *headers, int64_t limit_ms,
		outcome_t *o)
{
	int64_t began = now_ms();
	int fd = connect_to(n->callers);

	*o = (outcome_t){ 0 };
	note("caller    %s %s %s is sent to %s, time limit %lld ms", method,
	     path, id, n->name, (long long)limit_ms);
	if (fd >= 0 &&
	    send_text(fd,
		      "%s %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\n"
		      "Attempt-Id: %s\r\nDeadline-Ms: %lld\r\n%s"
		      "Content-Length: 0\r\n\r\n",
		      method, path, STAND_HOST, STAND_KEY, id,
		      (long long)limit_ms, headers))
		read_answer_(fd, began + limit_ms + 1000, o);
	if (fd >= 0)
		close(fd);
	o->ms = now_ms() - began;
	note("caller    %s gets %d, %s, after %lld ms, %zu bytes", id,
	     o->status, o->whole ? "whole" : "not whole", (long long)o->ms,
	     o->body_len);
}

static bool is_free_(int last)
{
	struct sockaddr_in sa;
	char address[32];
	bool ok;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	snprintf(address, sizeof(address), "127.%d.%d.%d:8227", net_a, net_b,
		 last);
	ok = fd >= 0 && parse_address_(address, &sa) &&
	     !bind(fd, (struct sockaddr *)&sa, sizeof(sa));
	if (fd >= 0)
		close(fd);
	return ok;
}

void stand_init(const char *folder)
{
	const char *setting = getenv("TROUBLE");
	char path[TEXT_MAX * 2];
	unsigned int seed = (unsigned int)(getpid() + wall_ms());

	signal(SIGPIPE, SIG_IGN);
	started_at = now_ms();
	trouble = !setting || strcmp(setting, "0") != 0;
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record = fopen(path, "w");
	if (!record)
		stand_fail("cannot write %s", path);
	do {
		net_a = 20 + (int)(rand_r(&seed) % 200);
		net_b = 1 + (int)(rand_r(&seed) % 250);
	} while (!is_free_(11));
	snprintf(work, sizeof(work), "/tmp/review-XXXXXX");
	if (!mkdtemp(work))
		stand_fail("no temporary folder");
	snprintf(store_address, sizeof(store_address), "127.%d.%d.9:8223",
		 net_a, net_b);
	serve_(store_address, on_store_, NULL);
	note("trouble: %s", trouble ? "yes" : "no");
}
