#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define STORE_PROGRAM "target/review-2/kcf-standin"
#define UPSTREAM_PROGRAM "target/review-2/kcf-runner"
#define READ_MAX (1 << 20)
#define READY_MAX_MS 15000
#define HEARTBEAT_MS 1200

bool rig_trouble;
rig_node_t rig_nodes[RIG_NODES_MAX];
int rig_node_count;
rig_upstream_t rig_upstreams[RIG_UPSTREAMS_MAX];
int rig_upstream_count;

static FILE *record;
static pthread_mutex_t upstreams_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char folder[64];
static int net; /* second byte of all addresses */
static int store_pid;
static char store_address[48];
static int64_t began_ms;

int64_t rig_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

static int64_t wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

void rig_sleep_ms(int ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000L };

	while (nanosleep(&ts, &ts) && errno == EINTR)
		;
}

void rig_record(const char *fmt, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%9.3f s  ", (double)(rig_now_ms() - began_ms) / 1000);
	va_start(args, fmt);
	vfprintf(record, fmt, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

void rig_kill(int *pid)
{
	if (*pid <= 0)
		return;
	kill(*pid, SIGCONT);
	kill(*pid, SIGKILL);
	waitpid(*pid, NULL, 0);
	*pid = 0;
}

void rig_signal(int pid, int number)
{
	kill(pid, number);
}

static void end_all(void)
{
	char command[128];

	for (int i = 0; i < rig_node_count; i++)
		rig_kill(&rig_nodes[i].pid);
	for (int i = 0; i < rig_upstream_count; i++)
		rig_kill(&rig_upstreams[i].pid);
	rig_kill(&store_pid);
	if (getenv("KEEP"))
		return;
	snprintf(command, sizeof(command), "rm -rf '%s'", folder);
	if (folder[0] && system(command))
		fprintf(stderr, "cannot remove %s\n", folder);
}

int rig_end(int verdict)
{
	static const char *const words[] = { "the rule held",
					     "THE RULE WAS BROKEN",
					     "the case could not run" };

	rig_record("%s", words[verdict]);
	pthread_mutex_lock(&upstreams_lock);
	end_all();
	printf("%s\n", words[verdict]);
	return verdict;
}

void rig_cannot_run(const char *why)
{
	rig_record("cannot run: %s", why);
	exit(rig_end(RIG_CANNOT_RUN));
}

static void on_signal(int number)
{
	(void)number;
	for (int i = 0; i < rig_node_count; i++)
		if (rig_nodes[i].pid > 0)
			kill(rig_nodes[i].pid, SIGKILL);
	for (int i = 0; i < rig_upstream_count; i++)
		if (rig_upstreams[i].pid > 0)
			kill(rig_upstreams[i].pid, SIGKILL);
	if (store_pid > 0)
		kill(store_pid, SIGKILL);
	_exit(RIG_CANNOT_RUN);
}

static bool parse(const char *address, struct sockaddr_in *sa)
{
	char ip[32];
	int port;

	if (sscanf(address, "%31[^:]:%d", ip, &port) != 2)
		return false;
	*sa = (struct sockaddr_in){ .sin_family = AF_INET,
				    .sin_port = htons((uint16_t)port) };
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

/* Whether nobody listens in the network that is to be used. */
static bool is_free(int candidate)
{
	static const int ports[] = { 8220, 8223, 8224, 8227, 8229, 9464, 7340 };
	bool all = true;

	for (size_t i = 0; all && i < sizeof(ports) / sizeof(ports[0]); i++) {
		char address[48];
		struct sockaddr_in sa;
		int one = 1;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		snprintf(address, sizeof(address), "127.%d.1.1:%d", candidate,
			 ports[i]);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		all = parse(address, &sa) &&
		      !bind(fd, (struct sockaddr *)&sa, sizeof(sa));
		close(fd);
	}
	return all;
}

void rig_init(const char *record_file)
{
	const char *trouble = getenv("TROUBLE");

	began_ms = rig_now_ms();
	rig_trouble = !trouble || strcmp(trouble, "0") != 0;
	record = fopen(record_file, "w");
	if (!record) {
		perror(record_file);
		exit(RIG_CANNOT_RUN);
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	strcpy(folder, "/tmp/kcf-review-XXXXXX");
	if (!mkdtemp(folder))
		rig_cannot_run("no temporary folder");
	for (int i = 0; i < 90 && !net; i++) {
		int candidate = 100 + (getpid() + i * 37) % 90;

		if (is_free(candidate))
			net = candidate;
	}
	if (!net)
		rig_cannot_run("no free ports");
	rig_record("trouble: %d", rig_trouble);
}

/* Its output goes to a file of the temporary folder. */
static int start(const char *name, const char *settings, char **argv)
{
	char out[128];
	int pid;

	snprintf(out, sizeof(out), "%s/%s.out", folder, name);
	pid = fork();
	if (!pid) {
		int fd = open(out, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, 1);
		dup2(fd, 2);
		if (settings)
			setenv("KINGCUPFORK_CONFIG", settings, 1);
		execv(argv[0], argv);
		_exit(127);
	}
	if (pid < 0)
		rig_cannot_run("cannot start a process");
	return pid;
}

static int connect_to(const char *address, int timeout_ms)
{
	struct sockaddr_in sa;
	struct pollfd p;
	int err = 0;
	socklen_t len = sizeof(err);
	int fd;

	if (!parse(address, &sa))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	p = (struct pollfd){ fd, POLLOUT, 0 };
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) &&
	    (errno != EINPROGRESS || poll(&p, 1, timeout_ms) < 1 ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) || err)) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool send_all(int fd, const char *data, size_t len, int64_t until)
{
	while (len) {
		struct pollfd p = { fd, POLLOUT, 0 };
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n > 0) {
			data += n;
			len -= (size_t)n;
			continue;
		}
		if (errno != EAGAIN || rig_now_ms() >= until ||
		    poll(&p, 1, (int)(until - rig_now_ms())) < 1)
			return false;
	}
	return true;
}

typedef struct reading {
	char *raw; /* as it came */
	size_t raw_len;
	char *body; /* without the marks of chunks */
	size_t body_len;
	size_t head_len; /* 0 until the head is in */
	bool chunked;
	long length; /* -1: none */
	size_t at;   /* next byte of raw */
	long left;   /* of the current chunk */
	bool whole;
} reading_t;

static char *find_header(reading_t *r, const char *name)
{
	static _Thread_local char value[256];
	size_t len = strlen(name);
	char *line = strstr(r->raw, "\r\n");

	while (line && (size_t)(line - r->raw) + 2 < r->head_len) {
		line += 2;
		if (!strncasecmp(line, name, len) && line[len] == ':') {
			line += len + 1;
			line += strspn(line, " ");
			snprintf(value, sizeof(value), "%.*s",
				 (int)strcspn(line, "\r"), line);
			return value;
		}
		line = strstr(line, "\r\n");
	}
	return NULL;
}

static void take_head(reading_t *r, rig_answer_t *a)
{
	char *end = strstr(r->raw, "\r\n\r\n");
	char *v;

	if (!end)
		return;
	r->head_len = (size_t)(end - r->raw) + 4;
	r->at = r->head_len;
	sscanf(r->raw, "HTTP/1.1 %d", &a->status);
	v = find_header(r, "Transfer-Encoding");
	r->chunked = v && strstr(v, "chunked");
	v = find_header(r, "Content-Length");
	r->length = v ? atol(v) : -1;
	v = find_header(r, "Content-Type");
	a->event_stream = v && !strncmp(v, "text/event-stream", 17);
	v = find_header(r, "Retry-After");
	a->retry_after_s = v ? atof(v) : -1;
}

static void take_body(reading_t *r)
{
	while (r->at < r->raw_len && !r->whole) {
		size_t n = r->raw_len - r->at;
		char *end;

		if (!r->chunked) {
			memcpy(r->body + r->body_len, r->raw + r->at, n);
			r->body_len += n;
			r->at += n;
			break;
		}
		if (r->left > 0) {
			n = n < (size_t)r->left ? n : (size_t)r->left;
			memcpy(r->body + r->body_len, r->raw + r->at, n);
			r->body_len += n;
			r->at += n;
			r->left -= (long)n;
			if (!r->left)
				r->left = -2; /* the line end behind it */
			continue;
		}
		if (r->left == -2) {
			if (n < 2)
				return;
			r->at += 2;
			r->left = 0;
			continue;
		}
		end = strstr(r->raw + r->at, "\r\n");
		if (!end)
			return;
		r->left = strtol(r->raw + r->at, NULL, 16);
		r->at = (size_t)(end - r->raw) + 2;
		r->whole = !r->left;
	}
	if (!r->chunked && r->length >= 0 && (long)r->body_len >= r->length)
		r->whole = true;
	r->body[r->body_len] = '\0';
}

/* The ids of whole events. */
static void take_events(reading_t *r, rig_answer_t *a, size_t *seen)
{
	char *end;

	while ((end = strstr(r->body + *seen, "\n\n"))) {
		char *id = strstr(r->body + *seen, "id: ");

		if (id && id < end) {
			int n = atoi(id + 4);

			if (!a->first_event)
				a->first_event = n;
			else if (n != a->last_event + 1)
				a->disordered = true;
			a->last_event = n;
		}
		*seen = (size_t)(end - r->body) + 2;
	}
}

static rig_answer_t exchange(const char *address, const char *text, size_t len,
			     int wait_ms, int *events)
{
	int64_t until = rig_now_ms() + wait_ms;
	rig_answer_t a = { .retry_after_s = -1 };
	reading_t r = { .raw = calloc(1, READ_MAX + 1),
			.body = calloc(1, READ_MAX + 1),
			.length = -1 };
	size_t seen = 0;
	int fd = connect_to(address, 1000);

	if (fd < 0 || !send_all(fd, text, len, until))
		goto out;
	while (!r.whole && r.raw_len < READ_MAX) {
		struct pollfd p = { fd, POLLIN, 0 };
		int64_t left = until - rig_now_ms();
		ssize_t n;

		if (left <= 0 || poll(&p, 1, (int)left) < 1)
			break;
		n = recv(fd, r.raw + r.raw_len, READ_MAX - r.raw_len, 0);
		if (n <= 0) {
			/* Without a length or chunks the end is the whole. */
			r.whole =
				!n && r.head_len && !r.chunked && r.length < 0;
			break;
		}
		r.raw_len += (size_t)n;
		if (!r.head_len)
			take_head(&r, &a);
		if (!r.head_len)
			continue;
		take_body(&r);
		if (a.event_stream)
			take_events(&r, &a, &seen);
		if (events)
			*events = a.last_event;
	}
	a.whole = r.whole;
	a.length = r.body_len;
	snprintf(a.text, sizeof(a.text), "%s", r.body);
out:
	if (fd >= 0)
		close(fd);
	free(r.raw);
	free(r.body);
	return a;
}

rig_answer_t rig_ask(const rig_request_t *q)
{
	const char *body = q->body ? q->body : "order";
	size_t size =
		4096 + strlen(body) + (q->headers ? strlen(q->headers) : 0);
	char *text = malloc(size);
	rig_answer_t a;
	int len = snprintf(text, size,
			   "%s %s HTTP/1.1\r\nHost: " RIG_HOST
			   "\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"
			   "X-Api-Key: %s\r\n%sContent-Length: %zu\r\n\r\n%s",
			   q->method ? q->method : "POST", q->path, q->id,
			   q->deadline_ms, q->key ? q->key : RIG_KEY,
			   q->headers ? q->headers : "", strlen(body), body);

	a = exchange(q->address, text, (size_t)len, q->deadline_ms, q->events);
	free(text);
	return a;
}

static rig_answer_t call(const char *address, const char *method,
			 const char *path, const char *body)
{
	size_t size = 512 + strlen(body);
	char *text = malloc(size);
	rig_answer_t a;
	int len = snprintf(text, size,
			   "%s %s HTTP/1.1\r\nHost: %s\r\n"
			   "Content-Length: %zu\r\n\r\n%s",
			   method, path, address, strlen(body), body);

	a = exchange(address, text, (size_t)len, 2000, NULL);
	free(text);
	return a;
}

static void wait_until_it_answers(const char *address, const char *what)
{
	int64_t until = rig_now_ms() + READY_MAX_MS;

	while (call(address, "GET", "/stats", "").status != 200) {
		if (rig_now_ms() > until)
			rig_cannot_run(what);
		rig_sleep_ms(10);
	}
}

void rig_start_store(void)
{
	char *argv[] = { STORE_PROGRAM, "--mode",      "store",
			 "--listen",	store_address, NULL };

	snprintf(store_address, sizeof(store_address), "127.%d.9.1:8223", net);
	store_pid = start("store", NULL, argv);
	wait_until_it_answers(store_address, "the store does not answer");
}

/* Text as a JSON string. */
static char *quote(const char *text)
{
	char *out = malloc(strlen(text) * 2 + 3);
	char *p = out;

	*p++ = '"';
	for (; *text; text++) {
		if (*text == '"' || *text == '\\')
			*p++ = '\\';
		*p++ = *text;
	}
	*p++ = '"';
	*p = '\0';
	return out;
}

void rig_store_fault(const char *json)
{
	if (call(store_address, "POST", "/fault", json).status != 200)
		rig_cannot_run("the store took no order");
}

void rig_put(const char *topic, const char *key, const char *value)
{
	char *quoted = value ? quote(value) : strdup("null");
	size_t size = strlen(quoted) + 256;
	char *text = malloc(size);

	snprintf(text, size, "{\"put\":[[\"%s\",\"%s\",%s]]}", topic, key,
		 quoted);
	rig_store_fault(text);
	free(quoted);
	free(text);
}

/* Under the lock. */
static void write_entry(rig_upstream_t *u)
{
	char entry[512];

	snprintf(entry, sizeof(entry),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		 "\"version\":\"%s\",\"slot_count\":64,\"state\":\"ready\","
		 "\"cold_remaining_ms\":0,\"born\":%lld,\"sequence\":%d}",
		 u->service, u->address, u->zone, u->version,
		 (long long)u->born, ++u->sequence);
	rig_put("keyed.servers", u->id, entry);
	u->next_beat = rig_now_ms() + HEARTBEAT_MS;
}

static void *beat(void *arg)
{
	(void)arg;
	for (;;) {
		pthread_mutex_lock(&upstreams_lock);
		for (int i = 0; i < rig_upstream_count; i++) {
			rig_upstream_t *u = &rig_upstreams[i];

			if (u->announced && rig_now_ms() >= u->next_beat)
				write_entry(u);
		}
		pthread_mutex_unlock(&upstreams_lock);
		rig_sleep_ms(10);
	}
	return NULL;
}

void rig_announce(rig_upstream_t *u)
{
	static bool beating;
	pthread_t thread;

	pthread_mutex_lock(&upstreams_lock);
	u->announced = true;
	write_entry(u);
	pthread_mutex_unlock(&upstreams_lock);
	if (!beating && !pthread_create(&thread, NULL, beat, NULL))
		beating = true;
}

void rig_end_upstream(rig_upstream_t *u)
{
	pthread_mutex_lock(&upstreams_lock);
	u->announced = false;
	rig_kill(&u->pid);
	pthread_mutex_unlock(&upstreams_lock);
}

static void spawn_upstream(rig_upstream_t *u, const char *options)
{
	char born[32];
	char *copy = strdup(options);
	char *argv[40] = {
		UPSTREAM_PROGRAM, "--listen", u->address,  "--id",    u->id,
		"--born",	  born,	      "--version", u->version
	};
	int n = 9;

	u->born = wall_ms();
	snprintf(born, sizeof(born), "%lld", (long long)u->born);
	for (char *w = strtok(copy, " "); w && n < 38; w = strtok(NULL, " "))
		argv[n++] = w;
	u->pid = start(u->id, NULL, argv);
	free(copy);
	wait_until_it_answers(u->address, "an upstream does not answer");
}

rig_upstream_t *rig_start_upstream(const char *id, const char *service,
				   const char *zone, const char *options)
{
	rig_upstream_t *u = &rig_upstreams[rig_upstream_count++];

	snprintf(u->id, sizeof(u->id), "%s", id);
	snprintf(u->service, sizeof(u->service), "%s", service);
	snprintf(u->zone, sizeof(u->zone), "%s", zone);
	snprintf(u->version, sizeof(u->version), "v1");
	snprintf(u->address, sizeof(u->address), "127.%d.5.%d:8080", net,
		 rig_upstream_count);
	spawn_upstream(u, options);
	rig_announce(u);
	return u;
}

void rig_restart_upstream(rig_upstream_t *u, const char *version,
			  const char *options)
{
	rig_end_upstream(u);
	u->sequence = 0;
	snprintf(u->version, sizeof(u->version), "%s", version);
	spawn_upstream(u, options);
}

void rig_upstream_fault(const rig_upstream_t *u, const char *json)
{
	if (call(u->address, "POST", "/fault", json).status != 200)
		rig_cannot_run("an upstream took no order");
}

/* deploy/settings.tmpl with the fields of the smallest deployment. */
static void write_settings(rig_node_t *n)
{
	FILE *f = fopen(n->file, "w");

	if (!f)
		rig_cannot_run("no settings");
	fprintf(f,
		"[node]\nname = \"%s\"\ndata_centre = \"%s\"\n"
		"region = \"baires\"\nstop_s = 8\nmax_descriptors = 4100\n"
		"memory_mb = 260\n"
		"[listen]\ncallers = \"%s\"\nreadiness = \"%s\"\n"
		"directory = \"%s:8224\"\nadmin = \"%s\"\n"
		"metrics = \"%s:9464\"\npeers = \"%s:7340\"\n"
		"[peers]\nkey = \"6b63665f706c6174666f726d5f706565725f6b65795f"
		"5f5f5f5f5f5f5f5f3031\"\nseeds = [",
		n->name, n->zone, n->callers, n->readiness, n->ip, n->admin,
		n->ip, n->ip);
	for (int i = 0; i < 3 && i < rig_node_count; i++)
		fprintf(f, "%s\"%s\"", i ? "," : "", rig_nodes[i].admin);
	fprintf(f,
		"]\n[store]\naddress = \"%s\"\n[directory]\nttl_max_s = 5\n"
		"[bounds]\nleave_ms = 2000\nconfig_ms = 2000\n"
		"[retries]\nratio = 0.2\nburst = 54\nwindow_s = 10\n"
		"[rollouts]\n[streams]\ncoalesce_ms = 100\n"
		"[log]\nlevel = \"info\"\n",
		store_address);
	fclose(f);
}

void rig_start_node(rig_node_t *n)
{
	char *argv[] = { "target/kingcupforkd", "--gateway", n->file, NULL };

	n->pid = start(n->name, n->file, argv);
}

bool rig_is_ready(const rig_node_t *n)
{
	return call(n->readiness, "GET", "/api/readyz", "").status == 200;
}

void rig_start_nodes(int count)
{
	int64_t until = rig_now_ms() + READY_MAX_MS;

	rig_node_count = count;
	for (int i = 0; i < count; i++) {
		rig_node_t *n = &rig_nodes[i];

		snprintf(n->name, sizeof(n->name), "edge-baires-%c-%d",
			 'a' + i % 3, i / 3 + 1);
		snprintf(n->zone, sizeof(n->zone), "baires-%c", 'a' + i % 3);
		snprintf(n->ip, sizeof(n->ip), "127.%d.1.%d", net, i + 1);
		snprintf(n->callers, sizeof(n->callers), "%s:8227", n->ip);
		snprintf(n->readiness, sizeof(n->readiness), "%s:8220", n->ip);
		snprintf(n->admin, sizeof(n->admin), "%s:8229", n->ip);
		snprintf(n->file, sizeof(n->file), "%.60s/%.30s.conf", folder,
			 n->name);
	}
	for (int i = 0; i < count; i++) {
		write_settings(&rig_nodes[i]);
		rig_start_node(&rig_nodes[i]);
	}
	for (int i = 0; i < count; i++) {
		while (!rig_is_ready(&rig_nodes[i])) {
			if (rig_now_ms() > until)
				rig_cannot_run("a node is not ready");
			rig_sleep_ms(50);
		}
	}
	rig_record("%d nodes are ready", count);
}

char *rig_stats(const rig_upstream_t *u)
{
	static const char text[] =
		"GET /stats HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
	char *raw = calloc(1, READ_MAX + 1);
	int64_t until = rig_now_ms() + 2000;
	int fd = connect_to(u->address, 1000);
	size_t len = 0;

	if (fd < 0 || !send_all(fd, text, strlen(text), until))
		rig_cannot_run("an upstream does not tell its runs");
	while (len < READ_MAX) {
		struct pollfd p = { fd, POLLIN, 0 };
		ssize_t n;

		if (poll(&p, 1, 300) < 1)
			break;
		n = recv(fd, raw + len, READ_MAX - len, 0);
		if (n <= 0)
			break;
		len += (size_t)n;
	}
	close(fd);
	return raw;
}
