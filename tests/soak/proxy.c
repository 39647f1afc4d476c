/*
 * proxy - a TCP relay that harms the connections through it.
 *
 * usage: kcf-proxy LISTEN TARGET CONTROL
 * A line sent to CONTROL sets the mode of all connections, open and new:
 *   pass, delay MS, silent (nothing passes, nothing closes), up (only towards
 *   the target), down (only from it), refuse (new ones are closed), reset
 *   (open ones are reset once, then pass)
 */
#include <glib.h>
#include <kcf/address.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BUFFER_BYTES 16384
#define LOOK_MS 20
#define BACKLOG 128

typedef enum mode {
	MODE_PASS,
	MODE_DELAY,
	MODE_SILENT,
	MODE_UP,
	MODE_DOWN,
	MODE_REFUSE,
	MODE_RESET,
} link_mode_t;

static const char *const words[] = { "pass", "delay",  "silent", "up",
				     "down", "refuse", "reset" };

static gint mode;
static gint delay_ms;
static gint resets; /* grows with each reset */
static struct sockaddr_in target;

/* One direction of a connection. */
typedef struct way {
	int from;
	int to;
	link_mode_t only; /* the one-way mode that lets it pass */
	bool open;
} way_t;

static bool blocked_(const way_t *w)
{
	int m = g_atomic_int_get(&mode);

	return m == MODE_SILENT ||
	       ((m == MODE_UP || m == MODE_DOWN) && m != (int)w->only);
}

static void reset_(int fd)
{
	struct linger now = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

static bool pass_(way_t *w)
{
	char data[BUFFER_BYTES];
	ssize_t n = recv(w->from, data, sizeof(data), MSG_DONTWAIT);

	/* A reset stays one: an end would make a cut answer look whole. */
	if (n < 0) {
		reset_(w->to);
		return false;
	}
	if (!n) {
		shutdown(w->to, SHUT_WR);
		w->open = false;
		return true;
	}
	if (g_atomic_int_get(&mode) == MODE_DELAY)
		g_usleep((gulong)g_atomic_int_get(&delay_ms) * 1000);
	return send(w->to, data, (size_t)n, MSG_NOSIGNAL) == n;
}

static void relay_(int caller, int callee)
{
	way_t ways[] = { { caller, callee, MODE_UP, true },
			 { callee, caller, MODE_DOWN, true } };
	int born = g_atomic_int_get(&resets);
	bool sound = true;

	while (sound && (ways[0].open || ways[1].open)) {
		struct pollfd p[2];

		if (g_atomic_int_get(&resets) != born) {
			reset_(caller);
			reset_(callee);
			return;
		}
		for (int i = 0; i < 2; i++)
			p[i] = (struct pollfd){
				.fd = ways[i].open && !blocked_(&ways[i])
					      ? ways[i].from
					      : -1,
				.events = POLLIN
			};
		poll(p, 2, LOOK_MS);
		for (int i = 0; i < 2 && sound; i++) {
			if (p[i].revents)
				sound = pass_(&ways[i]);
		}
	}
}

static gpointer connection_(gpointer data)
{
	int caller = GPOINTER_TO_INT(data);
	int callee = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (!connect(callee, (struct sockaddr *)&target, sizeof(target)))
		relay_(caller, callee);
	else
		reset_(caller);
	close(caller);
	close(callee);
	return NULL;
}

static int listen_(const char *address)
{
	struct sockaddr_in sa;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (!address_parse(address, &sa))
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, BACKLOG))
		return -1;
	return fd;
}

static gpointer accept_(gpointer data)
{
	int fd = GPOINTER_TO_INT(data);

	for (;;) {
		int caller = accept(fd, NULL, NULL);

		if (caller < 0)
			continue;
		if (g_atomic_int_get(&mode) == MODE_REFUSE) {
			reset_(caller);
			close(caller);
			continue;
		}
		g_thread_unref(g_thread_new("connection", connection_,
					    GINT_TO_POINTER(caller)));
	}
	return NULL;
}

static void obey_(char *line)
{
	char *space = strchr(line, ' ');

	if (space) {
		*space = '\0';
		g_atomic_int_set(&delay_ms, atoi(space + 1));
	}
	for (size_t i = 0; i < G_N_ELEMENTS(words); i++) {
		if (!strcmp(line, words[i]))
			g_atomic_int_set(&mode,
					 i == MODE_RESET ? MODE_PASS : (int)i);
	}
	if (!strcmp(line, words[MODE_RESET]))
		g_atomic_int_inc(&resets);
}

int main(int argc, char **argv)
{
	int data_fd;
	int control_fd;

	if (argc != 4 || !address_parse(argv[2], &target))
		return 2;
	signal(SIGPIPE, SIG_IGN);
	data_fd = listen_(argv[1]);
	control_fd = listen_(argv[3]);
	if (data_fd < 0 || control_fd < 0)
		return 1;
	g_thread_unref(
		g_thread_new("accept", accept_, GINT_TO_POINTER(data_fd)));
	for (;;) {
		int fd = accept(control_fd, NULL, NULL);
		char line[64] = { 0 };

		if (fd < 0)
			continue;
		if (recv(fd, line, sizeof(line) - 1, 0) > 0) {
			line[strcspn(line, "\r\n")] = '\0';
			obey_(line);
			send(fd, "ok\n", 3, MSG_NOSIGNAL);
		}
		close(fd);
	}
}
