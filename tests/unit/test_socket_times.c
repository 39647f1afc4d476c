#include "suites.h"

#include <arpa/inet.h>
#include <ev.h>
#include <kcf/clock.h>
#include <kcf/http_client.h>
#include <kcf/http_server.h>
#include <kcf/socket_times.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A sound upstream is silent for no longer. */
#define SILENCE_MAX_MS 1800
#define SILENCE_MIN_MS 800
#define STEP_MS 10
/*
 * A peer that is silent for good is given up so long after the last byte from
 * it, or after the data that it does not acknowledge.
 */
#define GIVEN_UP_MAX_MS 4600
#define NEVER INT64_MAX
/* Kernel timers may be late by an eighth of their time. */
#define LATE_DIVISOR 8
/* Retransmission time-outs: Linux' least one, and that of a slow link. */
#define RTO_MIN_MS 200
#define RTO_MAX_MS 1000
/* On loopback; a probe for lost data comes before the first of them. */
#define RTO_LOOPBACK_MS 250

/* Segments are lost while a peer is silent, or arrive after it. */
typedef enum meanwhile {
	LOST,
	HELD,
} meanwhile_t;

typedef struct silence {
	mstime_t from; /* after the last byte from the peer */
	mstime_t ms;   /* NEVER: for good */
	meanwhile_t meanwhile;
} silence_t;

static mstime_t end_(const silence_t *s)
{
	return s->ms == NEVER ? NEVER : s->from + s->ms;
}

/* Whether a segment sent at that time is answered at once. */
static bool answered_(const silence_t *s, mstime_t at)
{
	return at < s->from || at >= end_(s);
}

/* A connection that is to be given up then; held segments are answered. */
static mstime_t given_up_(const silence_t *s, mstime_t at)
{
	return s->meanwhile == HELD && at >= end_(s) ? NEVER : at;
}

/*
 * As tcp_keepalive_timer of Linux: the times count from the last byte or
 * acknowledgement from the peer.
 */
static mstime_t idle_end_(const socket_times_t *t, const silence_t *s,
			  bool late)
{
	mstime_t at = 0;
	mstime_t wait = t->idle_s * MSEC_PER_SEC;
	int lost = 0;

	for (;;) {
		at += wait + (late ? wait / LATE_DIVISOR : 0);
		if (t->unacked_ms ? lost && at >= t->unacked_ms
				  : lost >= t->probes)
			return given_up_(s, at);
		if (answered_(s, at))
			return NEVER;
		lost++;
		wait = t->interval_s * MSEC_PER_SEC;
	}
}

/*
 * As tcp_retransmit_timer of Linux: the bound counts from the first
 * retransmission, and the last wait ends with it. After a probe for lost data
 * the first retransmission comes later, the others keep their distances.
 */
static mstime_t unacked_end_(const socket_times_t *t, const silence_t *s,
			     mstime_t written, mstime_t first, mstime_t rto)
{
	mstime_t last = written + first + t->unacked_ms;
	mstime_t at = written;
	mstime_t wait = first;

	if (answered_(s, written))
		return NEVER;
	for (;;) {
		at += wait;
		if (at >= last)
			return given_up_(s, last);
		if (answered_(s, at))
			return NEVER;
		rto *= 2;
		wait = rto;
	}
}

static mstime_t unacked_last_(const socket_times_t *t, const silence_t *s)
{
	return unacked_end_(t, s, 0, 2 * (mstime_t)RTO_LOOPBACK_MS,
			    RTO_LOOPBACK_MS);
}

static const struct {
	const char *what;
	const socket_times_t *times;
} sides[] = {
	{ "opened", &socket_times_opened },
	{ "accepted", &socket_times_accepted },
};

static const meanwhile_t meanwhiles[] = { LOST, HELD };

START_TEST(test_sound_upstream_cut_while_idle)
{
	const socket_times_t *t = sides[_i / 2].times;
	silence_t s = { .meanwhile = meanwhiles[_i % 2] };

	if (!t->idle_s)
		return;
	for (s.ms = SILENCE_MIN_MS; s.ms <= SILENCE_MAX_MS; s.ms += STEP_MS) {
		for (s.from = 0; s.from <= t->idle_s * MSEC_PER_SEC;
		     s.from += STEP_MS) {
			for (int late = 0; late < 2; late++)
				ck_assert_msg(
					idle_end_(t, &s, late) == NEVER,
					"%s, silent from %d to %d ms, %s: "
					"ends at %d ms",
					sides[_i / 2].what, (int)s.from,
					(int)end_(&s),
					s.meanwhile == LOST ? "lost" : "held",
					(int)idle_end_(t, &s, late));
		}
	}
}
END_TEST

START_TEST(test_sound_upstream_cut_with_data_in_flight)
{
	const socket_times_t *t = sides[_i / 2].times;
	silence_t s = { .meanwhile = meanwhiles[_i % 2] };

	for (s.ms = SILENCE_MIN_MS; s.ms <= SILENCE_MAX_MS; s.ms += STEP_MS) {
		for (mstime_t w = 0; w < s.ms; w += STEP_MS) {
			for (mstime_t rto = RTO_MIN_MS; rto <= RTO_MAX_MS;
			     rto += STEP_MS) {
				mstime_t at = MIN(
					unacked_end_(t, &s, w, rto, rto),
					unacked_end_(t, &s, w, 2 * rto, rto));

				ck_assert_msg(at == NEVER,
					      "%s, silent for %d ms, written "
					      "at %d, time-out %d ms, %s: "
					      "ends at %d ms",
					      sides[_i / 2].what, (int)s.ms,
					      (int)w, (int)rto,
					      s.meanwhile == LOST ? "lost"
								  : "held",
					      (int)at);
			}
		}
	}
}
END_TEST

START_TEST(test_silent_link_kept)
{
	const socket_times_t *t = &socket_times_opened;
	silence_t s = { .ms = NEVER };

	ck_assert_int_gt(t->idle_s, 0);
	for (int late = 0; late < 2; late++)
		ck_assert_int_le(idle_end_(t, &s, late), GIVEN_UP_MAX_MS);
	ck_assert_int_le(unacked_last_(t, &s), GIVEN_UP_MAX_MS);
}
END_TEST

/* Connections of this process, which the kernel gives up or keeps. */
#define ADDRESS "127.0.9.2"
#define PAIR_PHASES 10
#define WATCH_MS 7000
#define POLL_MS 5
#define FDS_MAX 1024
#define TEST_MAX_S 60

typedef enum load {
	IDLE,	 /* nothing in flight */
	WRITTEN, /* a byte, right after the silence began */
	FILLED,	 /* more than the peer takes while it does not read */
	LOADS,
} load_t;

static const char *const load_string[] = { "idle", "written", "filled" };

typedef struct pair {
	load_t load;
	int fd;	  /* with the times */
	int peer; /* silent for a while */
	mstime_t from;
	mstime_t until;
	mstime_t ended; /* 0: not yet */
	bool began;
	bool over;
} pair_t;

/* The peer's kernel loses what arrives. */
static void lose_(int fd)
{
	struct sock_filter none = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog program = { 1, &none };

	ck_assert(!setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
			      sizeof(program)));
}

static void lose_no_more_(int fd)
{
	int none = 0;

	ck_assert(!setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &none,
			      sizeof(none)));
}

static void fill_(int fd)
{
	static const char block[65536];

	while (send(fd, block, sizeof(block), MSG_DONTWAIT) > 0)
		;
}

static void drain_(int fd)
{
	static char block[65536];

	while (recv(fd, block, sizeof(block), MSG_DONTWAIT) > 0)
		;
}

static void open_pair_(pair_t *p, int listener)
{
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);
	char byte = 'x';

	ck_assert(!getsockname(listener, (struct sockaddr *)&sa, &len));
	p->fd = socket(AF_INET, SOCK_STREAM, 0);
	socket_times_set(p->fd, &socket_times_opened);
	ck_assert(!connect(p->fd, (struct sockaddr *)&sa, len));
	p->peer = accept(listener, NULL, NULL);
	ck_assert_int_ge(p->peer, 0);
	/* The last byte from the peer. */
	ck_assert_int_eq(send(p->peer, &byte, 1, 0), 1);
	ck_assert_int_eq(recv(p->fd, &byte, 1, 0), 1);
}

static void begin_(pair_t *p)
{
	p->began = true;
	if (p->load == FILLED) {
		fill_(p->fd);
		return;
	}
	lose_(p->peer);
	if (p->load == WRITTEN)
		ck_assert_int_eq(send(p->fd, "y", 1, 0), 1);
}

static void go_on_(pair_t *p)
{
	p->over = true;
	if (p->load != FILLED)
		lose_no_more_(p->peer);
}

/* At any free port. */
static int bind_(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = inet_addr(ADDRESS);
	ck_assert(!bind(fd, (struct sockaddr *)&sa, sizeof(sa)));
	return fd;
}

static void play_(pair_t *pairs, int n)
{
	int listener = bind_();
	mstime_t start;
	mstime_t now = 0;

	ck_assert(!listen(listener, n));
	for (int i = 0; i < n; i++)
		open_pair_(&pairs[i], listener);
	start = clock_now();
	for (; now < WATCH_MS; now = clock_now() - start) {
		for (int i = 0; i < n; i++) {
			pair_t *p = &pairs[i];
			struct pollfd end = { .fd = p->fd };

			if (!p->began && now >= p->from)
				begin_(p);
			if (!p->over && now >= p->until)
				go_on_(p);
			if (p->over && p->load == FILLED)
				drain_(p->peer);
			if (!p->ended && poll(&end, 1, 0) > 0)
				p->ended = now;
		}
		poll(NULL, 0, POLL_MS);
	}
	for (int i = 0; i < n; i++) {
		close(pairs[i].fd);
		close(pairs[i].peer);
	}
	close(listener);
}

START_TEST(test_sound_upstream_cut_by_the_kernel)
{
	pair_t pairs[LOADS * PAIR_PHASES] = { 0 };
	GString *seen = g_string_new(NULL);
	int n = 0;
	int cut = 0;

	for (load_t load = 0; load < LOADS; load++) {
		for (int i = 0; i < PAIR_PHASES; i++) {
			pair_t *p = &pairs[n++];

			p->load = load;
			p->from = i * MSEC_PER_SEC / PAIR_PHASES;
			p->until = p->from + SILENCE_MAX_MS;
		}
	}
	play_(pairs, n);
	for (int i = 0; i < n; i++) {
		if (!pairs[i].ended)
			continue;
		cut++;
		g_string_append_printf(seen,
				       "\n%s, silent from %d ms: ends at %d ms",
				       load_string[pairs[i].load],
				       (int)pairs[i].from, (int)pairs[i].ended);
	}
	ck_assert_msg(!cut, "%d of %d%s", cut, n, seen->str);
	g_string_free(seen, TRUE);
}
END_TEST

START_TEST(test_silent_link_kept_by_the_kernel)
{
	const socket_times_t *t = &socket_times_opened;
	silence_t s = { .ms = NEVER };
	pair_t pairs[LOADS] = { 0 };
	mstime_t last;

	for (load_t load = 0; load < LOADS; load++)
		pairs[load] = (pair_t){ .load = load, .until = NEVER };
	play_(pairs, LOADS);
	for (load_t load = 0; load < LOADS; load++) {
		ck_assert_msg(pairs[load].ended > 0 &&
				      pairs[load].ended <= GIVEN_UP_MAX_MS,
			      "%s: ends at %d ms", load_string[load],
			      (int)pairs[load].ended);
	}
	/* The rules above are those of this kernel. */
	ck_assert_int_ge(pairs[IDLE].ended, idle_end_(t, &s, false));
	ck_assert_int_le(pairs[IDLE].ended, idle_end_(t, &s, true));
	ck_assert_int_ge(pairs[WRITTEN].ended,
			 unacked_end_(t, &s, 0, RTO_MIN_MS, RTO_MIN_MS));
	last = unacked_last_(t, &s);
	ck_assert_int_le(pairs[WRITTEN].ended, last + last / LATE_DIVISOR);
}
END_TEST

static int option_(int fd, int level, int name)
{
	int value = 0;
	socklen_t len = sizeof(value);

	ck_assert(!getsockopt(fd, level, name, &value, &len));
	return value;
}

static void check_options_(int fd, const socket_times_t *t)
{
	ck_assert_int_eq(option_(fd, IPPROTO_TCP, TCP_USER_TIMEOUT),
			 t->unacked_ms);
	ck_assert_int_eq(option_(fd, SOL_SOCKET, SO_KEEPALIVE), t->idle_s > 0);
	if (!t->idle_s)
		return;
	ck_assert_int_eq(option_(fd, IPPROTO_TCP, TCP_KEEPIDLE), t->idle_s);
	ck_assert_int_eq(option_(fd, IPPROTO_TCP, TCP_KEEPINTVL),
			 t->interval_s);
	ck_assert_int_eq(option_(fd, IPPROTO_TCP, TCP_KEEPCNT), t->probes);
}

/* Port of an end of a connection, 0 if there is none. */
static int port_(int fd,
		 int (*end)(int fd, struct sockaddr *sa, socklen_t *len))
{
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);

	if (end(fd, (struct sockaddr *)&sa, &len))
		return 0;
	return ntohs(sa.sin_port);
}

typedef struct exchange {
	struct ev_loop *loop;
	int port;
	int opened;
	int accepted;
	bool answered;
} exchange_t;

static int local_name_(int fd, struct sockaddr *sa, socklen_t *len)
{
	return getsockname(fd, sa, len);
}

static int peer_name_(int fd, struct sockaddr *sa, socklen_t *len)
{
	return getpeername(fd, sa, len);
}

/* Both ends are open now. */
static void on_request_(void *ctx, http_request_t *r)
{
	exchange_t *x = ctx;

	for (int fd = 0; fd < FDS_MAX; fd++) {
		if (!port_(fd, peer_name_))
			continue;
		if (port_(fd, peer_name_) == x->port) {
			check_options_(fd, &socket_times_opened);
			x->opened++;
		} else if (port_(fd, local_name_) == x->port) {
			check_options_(fd, &socket_times_accepted);
			x->accepted++;
		}
	}
	http_reply(r, 200, NULL, STR_NONE);
}

static void on_closed_(void *ctx, http_request_t *r, bool whole)
{
	(void)ctx;
	(void)r;
	(void)whole;
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	exchange_t *x = ctx;

	(void)call;
	ck_assert_int_eq(err, HTTP_OK);
	ck_assert_int_eq(status, 200);
	x->answered = true;
	ev_break(x->loop, EVBREAK_ALL);
}

START_TEST(test_library_changes_socket_times)
{
	static const http_server_ops_t server_ops = { on_request_, on_closed_ };
	static const http_call_ops_t call_ops = { .done = on_done_ };
	http_server_conf_t conf = { .max_body = 1024,
				    .max_header = 8192,
				    .max_connections = 8,
				    .idle_timeout_s = 5 };
	exchange_t x = { .loop = ev_loop_new(0) };
	http_call_spec_t spec = { .method = "GET",
				  .deadline = clock_now() + WATCH_MS };
	http_server_t server;
	http_client_t client;
	int free_port = bind_();
	char *address;
	char *url;

	x.port = port_(free_port, local_name_);
	close(free_port);
	address = g_strdup_printf(ADDRESS ":%d", x.port);
	url = g_strdup_printf("http://%s/", address);
	conf.address = address;
	spec.url = url;
	ck_assert_int_eq(
		http_server_init(&server, x.loop, &conf, &server_ops, &x),
		HTTP_SERVER_OK);
	http_client_init(&client, x.loop);
	http_call_start(&client, &spec, &call_ops, &x);
	ev_run(x.loop, 0);
	ck_assert(x.answered);
	ck_assert_int_eq(x.opened, 1);
	ck_assert_int_eq(x.accepted, 1);
	http_client_finish(&client);
	http_server_finish(&server);
	ev_loop_destroy(x.loop);
	g_free(address);
	g_free(url);
}
END_TEST

Suite *socket_times_suite(void)
{
	Suite *s = suite_create("socket_times");
	TCase *c = tcase_create("socket_times");
	int cases = G_N_ELEMENTS(sides) * G_N_ELEMENTS(meanwhiles);

	tcase_set_timeout(c, TEST_MAX_S);
	tcase_add_loop_test(c, test_sound_upstream_cut_while_idle, 0, cases);
	tcase_add_loop_test(c, test_sound_upstream_cut_with_data_in_flight, 0,
			    cases);
	tcase_add_test(c, test_silent_link_kept);
	tcase_add_test(c, test_sound_upstream_cut_by_the_kernel);
	tcase_add_test(c, test_silent_link_kept_by_the_kernel);
	tcase_add_test(c, test_library_changes_socket_times);
	suite_add_tcase(s, c);
	return s;
}
