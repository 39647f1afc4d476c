#include "suites.h"

#include <arpa/inet.h>
#include <ev.h>
#include <kcf/clock.h>
#include <kcf/http_client.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDRESS "127.0.9.3"
#define DEADLINE_MS 3000
/* The other side has read or written by then, or closed. */
#define MOMENT_MS 30
#define CLOSE_MAX_MS 500
#define KIB 1024
#define MIB (1024 * KIB)
/* Far less than an upload, so that most of it stays at the client. */
#define RECEIVE_BUFFER (16 * KIB)
#define ALL SIZE_MAX

typedef enum ending {
	KEPT,  /* open for another request */
	ENDED, /* nothing more is written; the rest is not read */
	RESET,
} ending_t;

typedef struct play {
	const char *what;
	const char *answer;
	size_t upload;
	size_t read; /* of the upload, before the answer */
	ending_t ending;
	int err;
	int status;
} play_t;

#define OK_BARE "HTTP/1.1 200 OK\r\n\r\npart"
#define OK_1_0 "HTTP/1.0 200 OK\r\n\r\npart"
#define OK_LENGTH "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwhole"
#define STATUS(text) "HTTP/1.1 " text "\r\nContent-Length: 2\r\n\r\n{}"

static const play_t statuses[] = {
	{ "100 first", "HTTP/1.1 100 Continue\r\n\r\n" STATUS("200 OK"), 9, ALL,
	  KEPT, HTTP_OK, 200 },
	{ "200", STATUS("200 OK"), 9, ALL, KEPT, HTTP_OK, 200 },
	{ "no reason", STATUS("200"), 9, ALL, KEPT, HTTP_OK, 200 },
	{ "418", STATUS("418 Other"), 9, ALL, KEPT, HTTP_OK, 418 },
	{ "599", STATUS("599 Other"), 9, ALL, KEPT, HTTP_OK, 599 },
	{ "000", STATUS("000 None"), 9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "001", STATUS("001 None"), 9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "099", STATUS("099 None"), 9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "101", STATUS("101 Switched"), 9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "600", STATUS("600 None"), 9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "700 after 100", "HTTP/1.1 100 Continue\r\n\r\n" STATUS("700 None"),
	  9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "999", STATUS("999 None"), 9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "999 over 1.0", "HTTP/1.0 999 None\r\n\r\n{}", 9, ALL, ENDED,
	  HTTP_ECUT, 0 },
	{ "20", STATUS("20 None"), 9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "0200", STATUS("0200 None"), 9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "1000", STATUS("1000 None"), 9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "2000", STATUS("2000 None"), 9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "200x", STATUS("200x"), 9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "2x0", STATUS("2x0 None"), 9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "none", STATUS(""), 9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "404 in lower case",
	  "http/1.1 404 None\r\nContent-Length: 2\r\n\r\n{}", 9, ALL, KEPT,
	  HTTP_ECUT, 0 },
	{ "behind a tab", "HTTP/1.1\t999 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	  9, ALL, KEPT, HTTP_ECUT, 0 },
	{ "minus", STATUS("-200 None"), 9, ALL, KEPT, HTTP_ECUT, 0 },
};

static const play_t uploads[] = {
	{ "whole request", OK_BARE, 64 * KIB, ALL, ENDED, HTTP_OK, 200 },
	{ "whole long request", OK_BARE, 4 * MIB, ALL, ENDED, HTTP_OK, 200 },
	{ "no request body", OK_BARE, 0, ALL, ENDED, HTTP_OK, 200 },
	{ "1.0, whole request", OK_1_0, 4 * MIB, ALL, ENDED, HTTP_OK, 200 },
	{ "reset, whole request", OK_BARE, 4 * MIB, ALL, RESET, HTTP_ECUT,
	  200 },
	{ "answer with a length", OK_LENGTH, 4 * MIB, 0, ENDED, HTTP_OK, 200 },
	{ "204", "HTTP/1.1 204 None\r\nConnection: close\r\n\r\n", 4 * MIB, 0,
	  ENDED, HTTP_OK, 204 },
	{ "256 KiB", OK_BARE, 256 * KIB, 0, ENDED, HTTP_ECUT, 200 },
	{ "1 MiB", OK_BARE, MIB, 0, ENDED, HTTP_ECUT, 200 },
	{ "1 MiB, a part read", OK_BARE, MIB, 300 * KIB, ENDED, HTTP_ECUT,
	  200 },
	{ "4 MiB", OK_BARE, 4 * MIB, 0, ENDED, HTTP_ECUT, 200 },
	{ "16 MiB", OK_BARE, 16 * MIB, 0, ENDED, HTTP_ECUT, 200 },
	{ "16 MiB, most read", OK_BARE, 16 * MIB, 14 * MIB, ENDED, HTTP_ECUT,
	  200 },
	{ "1.0", OK_1_0, 4 * MIB, 0, ENDED, HTTP_ECUT, 200 },
	{ "100 first", "HTTP/1.1 100 Continue\r\n\r\n" OK_BARE, 4 * MIB, 0,
	  ENDED, HTTP_ECUT, 200 },
	{ "empty", "HTTP/1.1 200 OK\r\n\r\n", 4 * MIB, 0, ENDED, HTTP_ECUT,
	  200 },
	{ "500", "HTTP/1.1 500 Error\r\n\r\npart", 4 * MIB, 0, ENDED, HTTP_ECUT,
	  500 },
	{ "reset", OK_BARE, 4 * MIB, 0, RESET, HTTP_ECUT, 200 },
	{ "reset, 1 MiB", OK_BARE, MIB, 0, RESET, HTTP_ECUT, 200 },
	{ "reset, 1.0", OK_1_0, 4 * MIB, 64 * KIB, RESET, HTTP_ECUT, 200 },
};

typedef struct server {
	const play_t *play;
	int listener;
	char address[32];
	GThread *thread;
	bool closed; /* by the client, while the connection was to be kept */
} server_t;

typedef struct client {
	struct ev_loop *loop;
	http_client_t http;
	int done;
	int err;
	int status;
	int received;
} client_t;

static void reset_(int fd)
{
	struct linger now = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/* Reads the head and so many bytes of what comes behind it. */
static void read_(int fd, size_t want)
{
	GString *head = g_string_new(NULL);
	char data[4 * KIB];
	ssize_t n = 1;

	while (n > 0 && !g_str_has_suffix(head->str, "\r\n\r\n")) {
		n = recv(fd, data, 1, 0);
		g_string_append_len(head, data, MAX(n, 0));
	}
	for (size_t got = 0; n > 0 && got < want; got += (size_t)n)
		n = recv(fd, data, MIN(sizeof(data), want - got), 0);
	g_string_free(head, TRUE);
}

static gpointer serve_(gpointer data)
{
	server_t *s = data;
	const play_t *p = s->play;
	int fd = accept(s->listener, NULL, NULL);
	struct pollfd left = { .fd = fd, .events = POLLRDHUP };

	read_(fd, MIN(p->read, p->upload));
	ck_assert(send(fd, p->answer, strlen(p->answer), MSG_NOSIGNAL) > 0);
	if (p->ending == ENDED)
		shutdown(fd, SHUT_WR);
	if (p->ending == RESET) {
		g_usleep((gulong)MOMENT_MS * G_TIME_SPAN_MILLISECOND);
		reset_(fd);
	} else {
		s->closed = poll(&left, 1, CLOSE_MAX_MS) > 0;
	}
	close(fd);
	return NULL;
}

static void start_server_(server_t *s, const play_t *play)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	socklen_t len = sizeof(sa);
	int size = RECEIVE_BUFFER;

	*s = (server_t){ .play = play };
	s->listener = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(s->listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	sa.sin_addr.s_addr = inet_addr(ADDRESS);
	ck_assert(!bind(s->listener, (struct sockaddr *)&sa, sizeof(sa)));
	ck_assert(!listen(s->listener, 1));
	ck_assert(!getsockname(s->listener, (struct sockaddr *)&sa, &len));
	g_snprintf(s->address, sizeof(s->address), ADDRESS ":%d",
		   ntohs(sa.sin_port));
}

static void on_data_(void *ctx, http_call_t *call, str_t data)
{
	client_t *c = ctx;

	(void)call;
	c->received += (int)data.len;
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	client_t *c = ctx;

	(void)call;
	c->done++;
	c->err = err;
	c->status = status;
}

static const http_call_ops_t call_ops = { .data = on_data_, .done = on_done_ };

static void start_call_(client_t *c, const server_t *s, const char *body)
{
	char *url = g_strdup_printf("http://%s/", s->address);
	http_call_spec_t spec = { .method = "POST",
				  .url = url,
				  .body = { body, s->play->upload },
				  .single = true,
				  .deadline = clock_now() + DEADLINE_MS };

	*c = (client_t){ .loop = ev_loop_new(0) };
	http_client_init(&c->http, c->loop);
	http_call_start(&c->http, &spec, &call_ops, c);
	g_free(url);
}

static void finish_(client_t *c, server_t *s)
{
	g_thread_join(s->thread);
	http_client_finish(&c->http);
	ev_loop_destroy(c->loop);
	close(s->listener);
}

static void play_(const play_t *p)
{
	char *body = g_strnfill(p->upload, 'u');
	server_t s;
	client_t c;

	start_server_(&s, p);
	s.thread = g_thread_new("server", serve_, &s);
	start_call_(&c, &s, body);
	while (!c.done)
		ev_run(c.loop, EVRUN_ONCE);
	finish_(&c, &s);
	g_free(body);
	ck_assert_msg(c.err == p->err, "%s: %s, status %d, %d bytes", p->what,
		      http_err_string[-c.err], c.status, c.received);
	ck_assert_msg(c.status == p->status, "%s: status %d", p->what,
		      c.status);
	if (p->ending == KEPT)
		ck_assert_msg(s.closed == (p->err != HTTP_OK), "%s: %s",
			      p->what, s.closed ? "closed" : "kept");
}

START_TEST(test_no_status_taken_for_an_answer)
{
	play_(&statuses[_i]);
}
END_TEST

START_TEST(test_part_taken_for_whole_during_upload)
{
	play_(&uploads[_i]);
}
END_TEST

/* Guards against a pending error that is told to whoever asks first. */
START_TEST(test_part_taken_for_whole_after_a_look_at_its_connection)
{
	static const play_t play = { .answer = OK_BARE };
	server_t s;
	client_t c;
	int fd = -1;

	start_server_(&s, &play);
	start_call_(&c, &s, "");
	while (!c.received) {
		struct pollfd p = { .fd = s.listener, .events = POLLIN };

		ev_run(c.loop, EVRUN_NOWAIT);
		if (poll(&p, 1, 0) <= 0)
			continue;
		fd = accept(s.listener, NULL, NULL);
		ev_run(c.loop, EVRUN_NOWAIT);
		read_(fd, 0);
		ck_assert(send(fd, play.answer, strlen(play.answer), 0) > 0);
	}
	reset_(fd);
	close(fd);
	http_client_next_peer(&c.http, s.address, DEADLINE_MS);
	while (!c.done)
		ev_run(c.loop, EVRUN_ONCE);
	ck_assert_msg(c.err == HTTP_ECUT, "%s, status %d, %d bytes",
		      http_err_string[-c.err], c.status, c.received);
	http_client_finish(&c.http);
	ev_loop_destroy(c.loop);
	close(s.listener);
}
END_TEST

static const struct {
	play_t play;
	bool ended; /* by the other side */
} ends[] = {
	{ { "sound end", OK_BARE, 0, ALL, ENDED }, true },
	{ { "reset", OK_BARE, 0, ALL, RESET }, true },
	{ { "within a head", "HTTP/1.1 20", 0, ALL, ENDED }, true },
	{ { "kept", OK_LENGTH, 0, ALL, KEPT }, false },
	{ { "closed here", STATUS("999 None"), 0, ALL, KEPT }, false },
};

START_TEST(test_end_by_the_other_side)
{
	server_t s;
	client_t c;
	bool ended;

	start_server_(&s, &ends[_i].play);
	s.thread = g_thread_new("server", serve_, &s);
	start_call_(&c, &s, "");
	ck_assert(!http_client_ended_at(&c.http, s.address));
	while (!c.done)
		ev_run(c.loop, EVRUN_ONCE);
	ended = http_client_ended_at(&c.http, s.address) > 0;
	finish_(&c, &s);
	ck_assert_msg(ended == ends[_i].ended, "%s", ends[_i].play.what);
}
END_TEST

Suite *http_client_suite(void)
{
	Suite *s = suite_create("http_client");
	TCase *c = tcase_create("http_client");

	tcase_add_loop_test(c, test_no_status_taken_for_an_answer, 0,
			    G_N_ELEMENTS(statuses));
	tcase_add_loop_test(c, test_part_taken_for_whole_during_upload, 0,
			    G_N_ELEMENTS(uploads));
	tcase_add_test(
		c, test_part_taken_for_whole_after_a_look_at_its_connection);
	tcase_add_loop_test(c, test_end_by_the_other_side, 0,
			    G_N_ELEMENTS(ends));
	suite_add_tcase(s, c);
	return s;
}
