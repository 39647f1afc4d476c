#include <kcf/http_client.h>

#include <arpa/inet.h>
#include <assert.h>
#include <curl/curl.h>
#include <errno.h>
#include <kcf/address.h>
#include <kcf/counter.h>
#include <kcf/socket_bounds.h>
#include <kcf/socket_times.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define MSEC_TO_SEC 0.001
#define CONNECT_TIMEOUT_MS 1000L
/* A pooled connection may have gone silent; do not trust an old one. */
#define POOL_IDLE_MAX_S 20L
#define POOL_CONNECTIONS 1024L
#define COLLECT_MAX_BYTES (16 * 1024 * 1024)
/* All status lines, headers and trailers of a call together; libcurl bounds
 * single lines only. Servers' usual bound for a head is 8 to 32 KiB.
 */
#define HEAD_MAX_BYTES (64 * 1024)
/* Those of RFC 9110; others tell nothing of the request. */
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
/* Requests kept off one connection; one with more is replaced. */
#define KEPT_OFF_MAX 64
/* Remote addresses whose last end is remembered, and for how long if more. */
#define ENDED_MAX 1024
#define ENDED_KEEP_MS 60000

/* An open connection, whoever uses it. */
typedef struct connection {
	int fd;
	uint64_t id;	 /* never used again by this client */
	uint64_t remote; /* address and port, 0 before the first request */
	http_peer_t peer;
	http_call_t *call;   /* that has it, NULL while it is idle */
	mstime_t idle_since; /* while it is idle */
	uint64_t requests;   /* written on it so far */
	GArray *kept_off;    /* uint64_t, tags of requests; NULL for none */
} connection_t;

struct http_call {
	http_client_t *client;
	CURL *easy;
	struct curl_slist *headers;
	GByteArray *body;
	const http_call_ops_t *ops;
	void *ctx;
	bool paused;
	bool head_open; /* its status line is in, the blank line is not */
	bool head_seen;
	bool bodyless; /* its answer has no body, whatever the head says */
	bool encrypted;
	bool single;
	bool fresh;
	mstime_t deadline;
	uint64_t tag;
	int fd; /* of the connection that the request was sent on */
	uint64_t connection_id; /* its number, or 0 */
	uint64_t order;		/* of the request on it, from 1 */
	http_peer_t peer;	/* at its other end */
	uint64_t peer_start;	/* the only one that may get it, or 0 */
	size_t head_bytes;
	size_t upload_bytes; /* of the request's body */
	int64_t silence_ms;  /* before its connection was closed, or -1 */
	int64_t unread_ms;   /* that the end of it waited, or -1 */
	bool unacked; /* the connection closed before all of it was received */
	bool broken;  /* the connection is, which libcurl was not told */
	int sends;    /* connections on which the request was begun */
	bool unsuitable; /* the pooled connection; another one is opened */
};

const char *const http_err_string[] = {
	"ok",
	"cannot connect",
	"timed out",
	"connection broke",
	"unusable address",
	"connection refused",
};

bool http_unsent(int err)
{
	return err == HTTP_ECONNECT || err == HTTP_EURL || err == HTTP_EREFUSED;
}

static int on_socket_(CURL *easy, curl_socket_t fd, int what, void *userp,
		      void *socketp);
static int on_multi_timer_(CURLM *multi, long timeout_ms, void *userp);
static void on_io_(struct ev_loop *loop, ev_io *w, int revents);
static void on_timer_(struct ev_loop *loop, ev_timer *w, int revents);
static int on_send_(void *userp, char *remote_ip, char *local_ip,
		    int remote_port, int local_port);
static int on_open_(void *userp, curl_socket_t fd, curlsocktype purpose);
static int on_close_(void *userp, curl_socket_t fd);
static size_t on_header_(char *data, size_t size, size_t n, void *userp);
static size_t on_body_(char *data, size_t size, size_t n, void *userp);
static void reap_(http_client_t *c);
static void start_anew_(http_call_t *call);
static void end_call_(http_call_t *call, CURLcode code);
static void free_call_(http_call_t *call);
static int err_of_(http_call_t *call, CURLcode code);
static void set_method_(http_call_t *call, const http_call_spec_t *spec);

static void free_connection_(gpointer p)
{
	connection_t *connection = p;

	if (connection->kept_off)
		g_array_unref(connection->kept_off);
	g_free(connection);
}

void http_client_init(http_client_t *c, struct ev_loop *loop)
{
	CURLM *multi = curl_multi_init();

	*c = (http_client_t){ .multi = multi, .loop = loop };
	c->calls = g_hash_table_new(NULL, NULL);
	c->sockets = g_hash_table_new(NULL, NULL);
	c->connections =
		g_hash_table_new_full(NULL, NULL, NULL, free_connection_);
	c->opened = g_hash_table_new(NULL, NULL);
	c->by_remote =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	c->connected = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, NULL);
	c->ended = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 g_free);
	ev_timer_init(&c->timer, on_timer_, 0, 0);
	c->timer.data = c;
	curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, on_socket_);
	curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, c);
	curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, on_multi_timer_);
	curl_multi_setopt(multi, CURLMOPT_TIMERDATA, c);
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, POOL_CONNECTIONS);
}

void http_client_finish(http_client_t *c)
{
	GList *calls = g_hash_table_get_keys(c->calls);
	GList *sockets;

	for (GList *l = calls; l; l = l->next)
		http_call_cancel(l->data);
	g_list_free(calls);
	curl_multi_cleanup(c->multi);
	sockets = g_hash_table_get_values(c->sockets);
	for (GList *l = sockets; l; l = l->next) {
		ev_io_stop(c->loop, l->data);
		g_free(l->data);
	}
	g_list_free(sockets);
	ev_timer_stop(c->loop, &c->timer);
	g_hash_table_destroy(c->calls);
	g_hash_table_destroy(c->sockets);
	g_hash_table_destroy(c->opened);
	g_hash_table_destroy(c->by_remote);
	g_hash_table_destroy(c->connected);
	g_hash_table_destroy(c->ended);
	g_hash_table_destroy(c->connections);
}

static bool has_header_(const http_call_spec_t *spec, const char *name)
{
	size_t len = strlen(name);

	for (const char *const *h = spec->headers; h && *h; h++) {
		if (!g_ascii_strncasecmp(*h, name, len) && (*h)[len] == ':')
			return true;
	}
	return false;
}

/* A name without a value keeps libcurl from adding the header. */
static void omit_default_headers_(http_call_t *call,
				  const http_call_spec_t *spec)
{
	static const char *const defaults[] = { "Accept", "Content-Type",
						"User-Agent" };

	for (size_t i = 0; i < G_N_ELEMENTS(defaults); i++) {
		char *line;

		if (has_header_(spec, defaults[i]))
			continue;
		line = g_strconcat(defaults[i], ":", NULL);
		call->headers = curl_slist_append(call->headers, line);
		g_free(line);
	}
}

/* libcurl counts from when the call is added. */
static void limit_time_(http_call_t *call)
{
	mstime_t left;

	if (call->deadline == MSTIME_NEVER)
		return;
	left = MAX(1, call->deadline - clock_now());
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, (long)left);
}

http_call_t *http_call_start(http_client_t *c, const http_call_spec_t *spec,
			     const http_call_ops_t *ops, void *ctx)
{
	http_call_t *call = g_new0(http_call_t, 1);

	assert(ops && ops->done);
	call->client = c;
	call->ops = ops;
	call->ctx = ctx;
	call->easy = curl_easy_init();
	call->body = g_byte_array_new();
	for (const char *const *h = spec->headers; h && *h; h++)
		call->headers = curl_slist_append(call->headers, *h);
	call->headers = curl_slist_append(call->headers, "Expect:");
	call->encrypted = g_str_has_prefix(spec->url, "https:");
	call->single = spec->single;
	call->deadline = spec->deadline;
	call->tag = spec->tag;
	call->peer = (http_peer_t){ MSTIME_NEVER, MSTIME_NEVER, 0 };
	call->peer_start = spec->peer_start;
	call->silence_ms = call->unread_ms = -1;
	call->fresh = spec->fresh;
	if (spec->bare)
		omit_default_headers_(call, spec);
	if (spec->inflate)
		curl_easy_setopt(call->easy, CURLOPT_ACCEPT_ENCODING,
				 "deflate");
	if (spec->target)
		curl_easy_setopt(call->easy, CURLOPT_REQUEST_TARGET,
				 spec->target);
	curl_easy_setopt(call->easy, CURLOPT_PREREQFUNCTION, on_send_);
	curl_easy_setopt(call->easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_SOCKOPTFUNCTION, on_open_);
	curl_easy_setopt(call->easy, CURLOPT_SOCKOPTDATA, c);
	curl_easy_setopt(call->easy, CURLOPT_CLOSESOCKETFUNCTION, on_close_);
	curl_easy_setopt(call->easy, CURLOPT_CLOSESOCKETDATA, c);
	curl_easy_setopt(call->easy, CURLOPT_URL, spec->url);
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(call->easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, on_header_);
	curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_body_);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 spec->connect_max_ms ? (long)spec->connect_max_ms
					      : CONNECT_TIMEOUT_MS);
	curl_easy_setopt(call->easy, CURLOPT_MAXAGE_CONN,
			 spec->idle_max_ms
				 ? (long)(spec->idle_max_ms / MSEC_PER_SEC)
				 : POOL_IDLE_MAX_S);
	if (c->ca_file) {
		/* Nodes are known by their authority, at whatever address. */
		curl_easy_setopt(call->easy, CURLOPT_CAINFO, c->ca_file);
		curl_easy_setopt(call->easy, CURLOPT_SSL_VERIFYHOST, 0L);
	}
	if (spec->fresh) {
		curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	limit_time_(call);
	set_method_(call, spec);
	g_hash_table_add(c->calls, call);
	curl_multi_add_handle(c->multi, call->easy);
	return call;
}

/* The connection that the request was sent on; NULL once it is closed. */
static connection_t *connection_of_(const http_call_t *call)
{
	connection_t *connection = g_hash_table_lookup(
		call->client->connections, GINT_TO_POINTER(call->fd));

	return connection && connection->id == call->connection_id ? connection
								   : NULL;
}

/* The connection of a call that leaves it is idle, if it is still open. */
static void release_connection_(const http_call_t *call)
{
	connection_t *connection = connection_of_(call);

	if (!connection)
		return;
	connection->call = NULL;
	connection->idle_since = clock_now();
}

void http_call_cancel(http_call_t *call)
{
	curl_multi_remove_handle(call->client->multi, call->easy);
	release_connection_(call);
	if (call->ops->dropped)
		call->ops->dropped(call->ctx);
	free_call_(call);
}

void http_call_pause(http_call_t *call, bool pause)
{
	if (call->paused == pause)
		return;
	call->paused = pause;
	curl_easy_pause(call->easy, pause ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}

int64_t http_call_received(http_call_t *call)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	if (!connection_of_(call) ||
	    getsockopt(call->fd, IPPROTO_TCP, TCP_INFO, &info, &len) ||
	    len < offsetof(struct tcp_info, tcpi_bytes_received) +
			    sizeof(info.tcpi_bytes_received))
		return -1;
	return (int64_t)info.tcpi_bytes_received;
}

size_t http_call_unread(const http_call_t *call)
{
	int bytes = 0;

	assert(call);
	if (!connection_of_(call) || ioctl(call->fd, SIOCINQ, &bytes))
		return 0;
	return (size_t)MAX(0, bytes);
}

size_t http_call_unsent(const http_call_t *call)
{
	curl_off_t sent = 0;

	assert(call);
	if (curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &sent))
		return 0;
	return call->upload_bytes - MIN((size_t)sent, call->upload_bytes);
}

uint64_t http_call_connection(const http_call_t *call, uint64_t *order)
{
	assert(call && order);
	*order = call->order;
	return call->connection_id;
}

int64_t http_call_silence(const http_call_t *call)
{
	assert(call);
	return call->silence_ms;
}

int64_t http_call_end_unread(const http_call_t *call)
{
	assert(call);
	return call->unread_ms;
}

bool http_call_acked(const http_call_t *call)
{
	assert(call);
	return call->silence_ms >= 0 && !call->unacked;
}

http_peer_t http_call_peer(const http_call_t *call)
{
	assert(call);
	return call->peer;
}

bool http_call_name_peer(const http_call_t *call, uint64_t start)
{
	connection_t *connection;

	assert(call && start);
	connection = connection_of_(call);
	if (connection)
		connection->peer.start = start;
	return connection != NULL;
}

void http_call_keep_off(const http_call_t *call)
{
	connection_t *connection;

	assert(call);
	connection = connection_of_(call);
	if (!connection || !call->tag)
		return;
	if (!connection->kept_off)
		connection->kept_off =
			g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_array_append_val(connection->kept_off, call->tag);
}

bool http_call_reused(http_call_t *call)
{
	long opened = 0;

	curl_easy_getinfo(call->easy, CURLINFO_NUM_CONNECTS, &opened);
	return !opened;
}

str_t http_call_header(http_call_t *call, const char *name)
{
	struct curl_header *h;

	if (curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &h))
		return STR_NONE;
	return str_of(h->value);
}

bool http_call_ends_with_connection(http_call_t *call)
{
	str_t encoding;
	str_t length;
	long status = 0;

	assert(call);
	encoding = http_call_header(call, "Transfer-Encoding");
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (call->bodyless || status == STATUS_NO_CONTENT ||
	    status == STATUS_NOT_MODIFIED)
		return false;
	if (encoding.data)
		return !strcasestr(encoding.data, "chunked");
	/* libcurl reads on to the end where it cannot hold the number. */
	length = http_call_header(call, "Content-Length");
	return !length.len ||
	       !g_ascii_string_to_unsigned(length.data, 10, 0, INT64_MAX, NULL,
					   NULL);
}

void http_call_each_header(http_call_t *call,
			   void (*fn)(void *arg, const char *name,
				      const char *value),
			   void *arg)
{
	struct curl_header *h = NULL;

	while ((h = curl_easy_nextheader(call->easy, CURLH_HEADER, -1, h)))
		fn(arg, h->name, h->value);
}

str_t http_call_body(const http_call_t *call)
{
	return (str_t){ (const char *)call->body->data, call->body->len };
}

static void set_method_(http_call_t *call, const http_call_spec_t *spec)
{
	if (!strcmp(spec->method, "GET") && !spec->body.len)
		return;
	if (!strcmp(spec->method, "HEAD")) {
		call->bodyless = true;
		curl_easy_setopt(call->easy, CURLOPT_NOBODY, 1L);
		return;
	}
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, spec->method);
	if (!spec->body.len && strcmp(spec->method, "POST") != 0 &&
	    strcmp(spec->method, "PUT") != 0)
		return;
	call->upload_bytes = spec->body.len;
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)spec->body.len);
	curl_easy_setopt(call->easy,
			 spec->body_stays ? CURLOPT_POSTFIELDS
					  : CURLOPT_COPYPOSTFIELDS,
			 spec->body.len ? spec->body.data : "");
}

static int on_socket_(CURL *easy, curl_socket_t fd, int what, void *userp,
		      void *socketp)
{
	http_client_t *c = userp;
	ev_io *io = socketp;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (!io)
			return 0;
		ev_io_stop(c->loop, io);
		g_hash_table_remove(c->sockets, io);
		g_free(io);
		curl_multi_assign(c->multi, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	if (!io) {
		io = g_new0(ev_io, 1);
		ev_io_init(io, on_io_, fd, events);
		io->data = c;
		g_hash_table_insert(c->sockets, io, io);
		curl_multi_assign(c->multi, fd, io);
	} else {
		ev_io_stop(c->loop, io);
		ev_io_set(io, fd, events);
	}
	ev_io_start(c->loop, io);
	return 0;
}

/* Both ends of a connection in one number: IPv4 address and two ports. */
static uint64_t ends_(uint32_t remote_ip, uint16_t remote_port,
		      uint16_t local_port)
{
	return (uint64_t)remote_ip << 32 | (uint64_t)remote_port << 16 |
	       local_port;
}

static uint64_t ends_of_(int fd)
{
	struct sockaddr_in local = { 0 };
	struct sockaddr_in remote = { 0 };
	socklen_t len = sizeof(local);

	if (getsockname(fd, (struct sockaddr *)&local, &len))
		return 0;
	len = sizeof(remote);
	if (getpeername(fd, (struct sockaddr *)&remote, &len))
		return 0;
	return ends_(ntohl(remote.sin_addr.s_addr), ntohs(remote.sin_port),
		     ntohs(local.sin_port));
}

static gboolean is_socket_(gpointer ends, gpointer value, gpointer fd)
{
	(void)ends;
	return value == fd;
}

/* Before the socket is closed, since its ends are asked for. */
static void forget_socket_(http_client_t *c, int fd)
{
	gpointer value = GINT_TO_POINTER(fd);
	uint64_t ends = ends_of_(fd);

	if (g_hash_table_remove(c->opened, value))
		return;
	if (g_hash_table_lookup(c->connected, &ends) == value)
		g_hash_table_remove(c->connected, &ends);
	else
		/* A connection that was reset has no ends any more. */
		g_hash_table_foreach_remove(c->connected, is_socket_, value);
}

/* The socket of a connection, which libcurl does not tell; NULL if unknown. */
static gpointer socket_of_(http_client_t *c, uint64_t ends)
{
	gpointer found = g_hash_table_lookup(c->connected, &ends);
	GHashTableIter iter;
	gpointer key;

	if (found)
		return found;
	g_hash_table_iter_init(&iter, c->opened);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		int fd = GPOINTER_TO_INT(key);
		uint64_t *copy;

		if (ends_of_(fd) != ends)
			continue;
		copy = g_new(uint64_t, 1);
		*copy = ends;
		g_hash_table_iter_remove(&iter);
		g_hash_table_insert(c->connected, copy, key);
		return key;
	}
	return NULL;
}

static connection_t *find_connection_(http_client_t *c, uint64_t ends)
{
	return g_hash_table_lookup(c->connections, socket_of_(c, ends));
}

/* What can be read of a connection without taking it. */
typedef enum input {
	INPUT_NONE, /* the other end is open */
	INPUT_BYTES,
	INPUT_END,
} input_t;

static input_t peek_(connection_t *connection)
{
	char byte;
	ssize_t n = recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n > 0)
		return INPUT_BYTES;
	if (!n)
		return INPUT_END;
	if (errno == EAGAIN || errno == EWOULDBLOCK)
		return INPUT_NONE;
	/* An error is told once; libcurl will read a sound end. */
	if (connection->call)
		connection->call->broken = true;
	return INPUT_END;
}

/*
 * An idle connection has nothing to read: bytes there belong to no request of
 * this client, and an end means that nobody reads what is written. libcurl
 * looks for this once a second only.
 */
static bool soiled_(connection_t *connection)
{
	return connection && peek_(connection) != INPUT_NONE;
}

static uint64_t remote_(uint32_t ip, uint16_t port)
{
	return (uint64_t)ip << 16 | port;
}

/* The remote address of an address in text; 0 if it is none. */
static uint64_t remote_of_(const char *address)
{
	struct sockaddr_in sa;

	if (!address_parse(address, &sa))
		return 0;
	return remote_(ntohl(sa.sin_addr.s_addr), ntohs(sa.sin_port));
}

/* libcurl takes the oldest of those that are idle. */
static connection_t *oldest_idle_(const http_client_t *c, uint64_t remote,
				  mstime_t idle_max_ms)
{
	const GPtrArray *all = g_hash_table_lookup(c->by_remote, &remote);
	mstime_t now = clock_now();
	connection_t *oldest = NULL;

	for (guint i = 0; all && i < all->len; i++) {
		connection_t *connection = all->pdata[i];

		if (!connection->call &&
		    now - connection->idle_since <= idle_max_ms &&
		    (!oldest || connection->id < oldest->id))
			oldest = connection;
	}
	return oldest;
}

/* Earliest moment from which open connections have reached one process. */
static mstime_t witnessed_since_(const http_client_t *c, uint64_t remote)
{
	const GPtrArray *all = g_hash_table_lookup(c->by_remote, &remote);
	mstime_t since = MSTIME_NEVER;

	for (guint i = 0; all && i < all->len; i++) {
		connection_t *connection = all->pdata[i];

		/* An end may come behind bytes. */
		if (peek_(connection) == INPUT_NONE)
			since = MIN(since, connection->peer.witnessed_since);
	}
	return since;
}

http_peer_t http_client_next_peer(http_client_t *c, const char *address,
				  mstime_t idle_max_ms)
{
	uint64_t remote = remote_of_(address);
	connection_t *connection;

	assert(c && address);
	connection = oldest_idle_(c, remote, idle_max_ms);
	if (!connection || soiled_(connection))
		return (http_peer_t){ MSTIME_NEVER, witnessed_since_(c, remote),
				      0 };
	return connection->peer;
}

mstime_t http_client_ended_at(const http_client_t *c, const char *address)
{
	uint64_t remote = remote_of_(address);
	const mstime_t *at;

	assert(c && address);
	at = g_hash_table_lookup(c->ended, &remote);
	return at ? *at : 0;
}

/* Before its first request. */
static void identify_(http_client_t *c, connection_t *connection,
		      uint64_t remote)
{
	GPtrArray *all = g_hash_table_lookup(c->by_remote, &remote);
	mstime_t now = clock_now();

	connection->remote = remote;
	connection->peer.since = now;
	connection->peer.witnessed_since =
		MIN(now, witnessed_since_(c, remote));
	if (!all) {
		all = g_ptr_array_new();
		g_hash_table_insert(c->by_remote,
				    g_memdup2(&remote, sizeof(remote)), all);
	}
	g_ptr_array_add(all, connection);
}

static void remove_remote_(http_client_t *c, connection_t *connection)
{
	GPtrArray *all = g_hash_table_lookup(c->by_remote, &connection->remote);

	if (!all)
		return;
	g_ptr_array_remove_fast(all, connection);
	if (!all->len)
		g_hash_table_remove(c->by_remote, &connection->remote);
}

static bool is_kept_off_(const connection_t *connection, uint64_t tag)
{
	if (!connection || !connection->kept_off || !tag)
		return false;
	for (guint i = 0; i < connection->kept_off->len; i++) {
		if (g_array_index(connection->kept_off, uint64_t, i) == tag)
			return true;
	}
	return false;
}

static bool is_used_up_(const connection_t *connection)
{
	return connection && connection->kept_off &&
	       connection->kept_off->len >= KEPT_OFF_MAX;
}

/* Whether another start of the process answers there. */
static bool reaches_other_(const http_call_t *call,
			   const connection_t *connection)
{
	return call->peer_start && connection && connection->peer.start &&
	       connection->peer.start != call->peer_start;
}

/* Whether the request must not be written on a pooled connection. */
static bool is_unsuitable_(const http_call_t *call, connection_t *connection)
{
	return (call->single && soiled_(connection)) ||
	       is_used_up_(connection) || is_kept_off_(connection, call->tag) ||
	       reaches_other_(call, connection);
}

static void number_request_(http_call_t *call, connection_t *connection)
{
	release_connection_(call);
	if (connection) {
		call->peer = connection->peer;
		connection->call = call;
	}
	call->fd = connection ? connection->fd : -1;
	call->connection_id = connection ? connection->id : 0;
	call->order = connection ? ++connection->requests : 0;
	call->unacked = call->broken = false;
}

/*
 * Runs before each write of the request. libcurl writes it again by itself
 * when a reused connection ends without an answer, though it may have run.
 */
static int on_send_(void *userp, char *remote_ip, char *local_ip,
		    int remote_port, int local_port)
{
	http_call_t *call = userp;
	connection_t *connection = NULL;
	struct in_addr remote;

	(void)local_ip;
	if (call->sends && call->single) {
		counter_add(COUNTER_SECOND_WRITES_STOPPED, 1);
		return CURL_PREREQFUNC_ABORT;
	}
	if (inet_pton(AF_INET, remote_ip, &remote) == 1)
		connection = find_connection_(call->client,
					      ends_(ntohl(remote.s_addr),
						    (uint16_t)remote_port,
						    (uint16_t)local_port));
	if (!call->fresh && is_unsuitable_(call, connection)) {
		call->unsuitable = true;
		curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
		return CURL_PREREQFUNC_ABORT;
	}
	if (connection && !connection->remote)
		identify_(call->client, connection,
			  remote_(ntohl(remote.s_addr), (uint16_t)remote_port));
	number_request_(call, connection);
	if (call->ops->start && !call->ops->start(call->ctx))
		return CURL_PREREQFUNC_ABORT;
	call->sends++;
	return CURL_PREREQFUNC_OK;
}

static int on_open_(void *userp, curl_socket_t fd, curlsocktype purpose)
{
	http_client_t *c = userp;
	connection_t *connection = g_new(connection_t, 1);

	(void)purpose;
	*connection =
		(connection_t){ .fd = fd,
				.id = ++c->last_connection,
				.peer = { MSTIME_NEVER, MSTIME_NEVER, 0 } };
	g_hash_table_insert(c->connections, GINT_TO_POINTER(fd), connection);
	g_hash_table_add(c->opened, GINT_TO_POINTER(fd));
	socket_times_set(fd, &socket_times_opened);
	socket_bounds_set(fd, c->unsent_max, c->unread_max);
	return CURL_SOCKOPT_OK;
}

/* An end comes with the acknowledgement of all that was received before it. */
static void note_unacked_(http_call_t *call, int fd)
{
	int bytes = 0;

	/* The end of TLS itself has just been written. */
	if (!call->encrypted && !ioctl(fd, SIOCOUTQ, &bytes))
		call->unacked = bytes > 0;
}

static void note_silence_(http_call_t *call, int fd)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len))
		return;
	call->silence_ms = info.tcpi_last_data_recv;
	/* An end acknowledges as well, and nothing comes after it. */
	call->unread_ms = info.tcpi_last_ack_recv;
}

static gboolean is_long_ago_(gpointer key, gpointer at, gpointer now)
{
	(void)key;
	return *(mstime_t *)now - *(mstime_t *)at > ENDED_KEEP_MS;
}

/* Notes that the other side has ended a connection which is closed now. */
static void note_end_(http_client_t *c, const connection_t *connection)
{
	mstime_t now = clock_now();
	ssize_t n;
	char byte;

	n = recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))
		return;
	if (g_hash_table_size(c->ended) >= ENDED_MAX)
		g_hash_table_foreach_remove(c->ended, is_long_ago_, &now);
	g_hash_table_insert(
		c->ended,
		g_memdup2(&connection->remote, sizeof(connection->remote)),
		g_memdup2(&now, sizeof(now)));
}

static int on_close_(void *userp, curl_socket_t fd)
{
	http_client_t *c = userp;
	connection_t *connection =
		g_hash_table_lookup(c->connections, GINT_TO_POINTER(fd));

	if (connection && connection->call) {
		note_unacked_(connection->call, fd);
		note_silence_(connection->call, fd);
	}
	if (connection && connection->remote) {
		note_end_(c, connection);
		remove_remote_(c, connection);
	}
	forget_socket_(c, fd);
	g_hash_table_remove(c->connections, GINT_TO_POINTER(fd));
	return close(fd);
}

static int on_multi_timer_(CURLM *multi, long timeout_ms, void *userp)
{
	http_client_t *c = userp;

	(void)multi;
	ev_timer_stop(c->loop, &c->timer);
	if (timeout_ms >= 0) {
		ev_timer_set(&c->timer, (double)timeout_ms * MSEC_TO_SEC, 0);
		ev_timer_start(c->loop, &c->timer);
	}
	return 0;
}

static void on_io_(struct ev_loop *loop, ev_io *w, int revents)
{
	http_client_t *c = w->data;
	int flags = 0;
	int running;

	(void)loop;
	if (revents & EV_READ)
		flags |= CURL_CSELECT_IN;
	if (revents & EV_WRITE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(c->multi, w->fd, flags, &running);
	reap_(c);
}

static void on_timer_(struct ev_loop *loop, ev_timer *w, int revents)
{
	http_client_t *c = w->data;
	int running;

	(void)loop;
	(void)revents;
	curl_multi_socket_action(c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	reap_(c);
}

static void reap_(http_client_t *c)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(c->multi, &left))) {
		http_call_t *call;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &call);
		if (call->unsuitable)
			start_anew_(call);
		else
			end_call_(call, code);
	}
}

/*
 * Nothing was sent yet, or libcurl was to send again what may be sent twice:
 * the call goes on with a connection of its own.
 */
static void start_anew_(http_call_t *call)
{
	call->unsuitable = false;
	call->fresh = true;
	curl_multi_remove_handle(call->client->multi, call->easy);
	curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 0L);
	curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	limit_time_(call);
	curl_multi_add_handle(call->client->multi, call->easy);
}

/*
 * Whether an answer that ends with its connection ended too early. A server
 * that closes before it has received its request was not done with it; an end
 * that looks sound can be that of a connection that broke.
 */
static bool is_cut_(http_call_t *call, curl_off_t uploaded)
{
	return http_call_ends_with_connection(call) &&
	       (call->broken || call->unacked ||
		(size_t)uploaded < call->upload_bytes);
}

static void end_call_(http_call_t *call, CURLcode code)
{
	long status = 0;
	long request_size = 0;
	long header_size = 0;
	curl_off_t up = 0;
	curl_off_t down = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_size);
	curl_easy_getinfo(call->easy, CURLINFO_HEADER_SIZE, &header_size);
	curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &up);
	curl_easy_getinfo(call->easy, CURLINFO_SIZE_DOWNLOAD_T, &down);
	call->client->bytes += request_size + header_size + up + down;
	if (code == CURLE_OK && is_cut_(call, up))
		code = CURLE_PARTIAL_FILE;
	/* Taken out first, so that the owner may start new calls. */
	curl_multi_remove_handle(call->client->multi, call->easy);
	release_connection_(call);
	call->ops->done(call->ctx, call, err_of_(call, code),
			call->head_seen ? (int)status : 0);
	free_call_(call);
}

static int err_of_(http_call_t *call, CURLcode code)
{
	long os_errno = 0;

	/* Bytes that are no answer are reported like an unknown protocol. */
	if (code != CURLE_OK && call->sends)
		return code == CURLE_OPERATION_TIMEDOUT ? HTTP_ETIMEOUT
							: HTTP_ECUT;
	switch (code) {
	case CURLE_OK:
		return HTTP_OK;
	case CURLE_COULDNT_CONNECT:
		curl_easy_getinfo(call->easy, CURLINFO_OS_ERRNO, &os_errno);
		return os_errno == ECONNREFUSED ? HTTP_EREFUSED : HTTP_ECONNECT;
	case CURLE_COULDNT_RESOLVE_HOST:
		return HTTP_ECONNECT;
	case CURLE_URL_MALFORMAT:
	case CURLE_UNSUPPORTED_PROTOCOL:
		return HTTP_EURL;
	default:
		return HTTP_ECONNECT;
	}
}

static void free_call_(http_call_t *call)
{
	g_hash_table_remove(call->client->calls, call);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	g_byte_array_unref(call->body);
	g_free(call);
}

/* The status of a status line; -1 if it has none. */
static int status_of_(str_t line)
{
	static const char version[] = "HTTP/1.1";
	const char *space =
		memchr(line.data, ' ', MIN(line.len, sizeof(version)));
	const char *end = line.data + line.len;
	const char *at = space ? space + 1 : end;
	int status = 0;

	if (end - at < 4 || !g_ascii_isspace(at[3]) ||
	    !str_starts_with(line, str_of("HTTP/")))
		return -1;
	for (int i = 0; i < 3; i++) {
		if (!g_ascii_isdigit(at[i]))
			return -1;
		status = status * 10 + at[i] - '0';
	}
	return status;
}

/* libcurl takes any three digits, whatever stands right behind them. */
static bool has_status_(str_t line)
{
	int status = status_of_(line);

	/* No request asks for another protocol. */
	return status >= STATUS_MIN && status <= STATUS_MAX &&
	       status != STATUS_SWITCHING_PROTOCOLS;
}

static size_t on_header_(char *data, size_t size, size_t n, void *userp)
{
	http_call_t *call = userp;
	size_t len = size * n;
	str_t line = { data, len };
	long status = 0;

	call->head_bytes += len;
	if (call->head_bytes > HEAD_MAX_BYTES)
		return 0;
	if (!call->head_seen && !call->head_open && !has_status_(line))
		return 0;
	call->head_open = true;
	if (len > 2 || (len && data[0] != '\r' && data[0] != '\n'))
		return len;
	call->head_open = false;
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status < 200 || call->head_seen)
		return len;
	call->head_seen = true;
	if (call->ops->head && !call->ops->head(call->ctx, call, (int)status))
		return 0;
	return len;
}

static size_t on_body_(char *data, size_t size, size_t n, void *userp)
{
	http_call_t *call = userp;
	size_t len = size * n;

	if (call->ops->data) {
		call->ops->data(call->ctx, call, (str_t){ data, len });
		return len;
	}
	if (call->body->len + len > COLLECT_MAX_BYTES)
		return 0;
	g_byte_array_append(call->body, (const guint8 *)data, (guint)len);
	return len;
}
