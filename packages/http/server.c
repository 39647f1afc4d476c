#include <kcf/address.h>
#include <kcf/http_server.h>
#include <kcf/logline.h>
#include <kcf/socket_bounds.h>
#include <kcf/socket_loss.h>
#include <kcf/socket_times.h>

#include <assert.h>
#include <errno.h>
#include <microhttpd.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 512
#define STREAM_BLOCK_BYTES 16384
/* Least size of a block of bytes that wait in a stream: as much as a few
 * events, since a stream that is read at once holds one block at a time.
 */
#define BLOCK_MIN_BYTES 2048
/* Shorter bodies are copied, and sent in one packet with their headers. */
#define BODY_COPIED_MAX_BYTES (64 * 1024)
#define MSEC_TO_SEC 0.001
/* Upper bound between two looks at the daemon's own time-outs. */
#define MAX_POLL_S 1.0
/* So many times the largest body is read for the sake of an answer. */
#define EXCESS_FACTOR 2
/* A body of the largest size has been sent by then, on a usual link. */
#define BODIES_RETRY_S "1"
/* Passes over all connections at the end; one gives a response to the daemon,
 * another writes it.
 */
#define FINISH_PASSES 4

/* Bytes of a stream that wait for their caller, in order. */
typedef struct block {
	struct block *next;
	size_t size;
	size_t len;
	size_t taken;
	char data[];
} block_t;

struct http_request {
	http_server_t *server;
	struct MHD_Connection *connection;
	char *method;
	char *path;
	char *target;	   /* path and query as sent */
	const char *query; /* within target, or NULL */
	GByteArray *body;
	struct MHD_Response *response;
	unsigned int status;
	block_t *first; /* of the stream */
	block_t *last;	/* or NULL */
	size_t pending; /* bytes of the stream or of the reply */
	char *reply;	/* body that was handed over, or NULL */
	size_t reply_len;
	void *user;
	bool handled;
	bool suspended;
	bool streaming;
	bool stream_ended;
	bool stream_cut;
	bool no_chunks;	 /* a close ends the caller's streams */
	size_t received; /* bytes of the body, kept or not */
	bool too_large;
	bool too_many; /* other bodies take all there is room for */
	bool watched;  /* the end of the sender's side ends the request */
	bool gone;
	ev_io hangup; /* active while watched and suspended */
};

const char *const http_server_err_string[] = {
	"ok",
	"address is not a numeric ip:port",
	"cannot listen on the address",
	"cannot start the HTTP daemon",
};

static enum MHD_Result on_access_(void *cls, struct MHD_Connection *c,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **con_cls);
static void on_completed_(void *cls, struct MHD_Connection *c, void **con_cls,
			  enum MHD_RequestTerminationCode code);
static void *on_uri_(void *cls, const char *uri, struct MHD_Connection *c);
static void on_io_(struct ev_loop *loop, ev_io *w, int revents);
static void on_timer_(struct ev_loop *loop, ev_timer *w, int revents);
static void on_prepare_(struct ev_loop *loop, ev_prepare *w, int revents);
static ssize_t on_read_(void *cls, uint64_t pos, char *buf, size_t max);
static ssize_t on_read_body_(void *cls, uint64_t pos, char *buf, size_t max);
static void on_hangup_(struct ev_loop *loop, ev_io *w, int revents);
static void suspend_(http_request_t *r);
static void leave_(http_request_t *r);
static void run_(http_server_t *s);
static void wake_(http_request_t *r);
static void set_reset_on_close_(const http_request_t *r, bool on);
static void reset_connection_(const http_request_t *r);
static int listen_(const char *address, int unsent_max);
static void free_request_(http_request_t *r);
static enum MHD_Result refuse_early_(http_request_t *r, unsigned int status,
				     const char *detail);
static bool body_missing_(const http_request_t *r);

/* One libmicrohttpd daemon on the server's listening socket. */
typedef struct http_daemon {
	http_server_t *server;
	struct MHD_Daemon *mhd;
	ev_io io;
} http_daemon_t;

static void daemon_free_(gpointer p)
{
	http_daemon_t *d = p;

	ev_io_stop(d->server->loop, &d->io);
	MHD_stop_daemon(d->mhd);
	g_free(d);
}

/* Adds a daemon that takes the connections from now on. */
static int add_daemon_(http_server_t *s, const char *cert, const char *key)
{
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
	const union MHD_DaemonInfo *info;
	http_daemon_t *d = g_new0(http_daemon_t, 1);
	/* A daemon that cannot start closes the socket that it was given. */
	int fd = dup(s->listen_fd);
	struct MHD_OptionItem tls[] = {
		{ MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)cert },
		{ MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)key },
		{ MHD_OPTION_END, 0, NULL },
	};

	if (cert)
		flags |= MHD_USE_TLS;
	else
		tls[0].option = MHD_OPTION_END;
	d->server = s;
	d->mhd = MHD_start_daemon(
		flags, 0, NULL, NULL, on_access_, s, MHD_OPTION_LISTEN_SOCKET,
		fd, MHD_OPTION_CONNECTION_LIMIT, s->conf.max_connections,
		MHD_OPTION_CONNECTION_TIMEOUT, s->conf.idle_timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, s->conf.max_header,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed_, s,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri_, s,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_ARRAY, tls,
		MHD_OPTION_END);
	if (!d->mhd) {
		g_free(d);
		return HTTP_SERVER_EDAEMON;
	}
	info = MHD_get_daemon_info(d->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&d->io, on_io_, info->epoll_fd, EV_READ);
	d->io.data = s;
	ev_io_start(s->loop, &d->io);
	g_ptr_array_add(s->daemons, d);
	return HTTP_SERVER_OK;
}

static void quiesce_(http_daemon_t *d)
{
	MHD_socket fd = MHD_quiesce_daemon(d->mhd);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

int http_server_init(http_server_t *s, struct ev_loop *loop,
		     const http_server_conf_t *conf,
		     const http_server_ops_t *ops, void *ctx)
{
	int err;

	assert(s && loop && conf && ops);
	*s = (http_server_t){ .loop = loop, .ops = ops, .ctx = ctx };
	s->suspended = g_hash_table_new(NULL, NULL);
	s->conf = *conf;
	s->conf.address = s->conf.tls_cert = s->conf.tls_key = NULL;
	s->max_body = conf->max_body;
	s->listen_fd = listen_(conf->address, conf->unsent_max);
	if (s->listen_fd < 0) {
		g_clear_pointer(&s->suspended, g_hash_table_destroy);
		return s->listen_fd;
	}
	s->daemons = g_ptr_array_new_with_free_func(daemon_free_);
	err = add_daemon_(s, conf->tls_cert, conf->tls_key);
	if (err) {
		close(s->listen_fd);
		g_clear_pointer(&s->daemons, g_ptr_array_unref);
		g_clear_pointer(&s->suspended, g_hash_table_destroy);
		return err;
	}
	ev_timer_init(&s->timer, on_timer_, MAX_POLL_S, MAX_POLL_S);
	ev_prepare_init(&s->prepare, on_prepare_);
	s->timer.data = s;
	s->prepare.data = s;
	ev_timer_start(loop, &s->timer);
	ev_prepare_start(loop, &s->prepare);
	return HTTP_SERVER_OK;
}

int http_server_set_tls(http_server_t *s, const char *cert, const char *key)
{
	guint before = s->daemons->len;
	http_daemon_t *old = s->daemons->pdata[before - 1];
	int err = add_daemon_(s, cert, key);

	if (!err)
		quiesce_(old);
	return err;
}

/* Ends daemons that no longer take connections and have none left. */
static void drop_drained_(http_server_t *s)
{
	while (s->daemons->len > 1) {
		http_daemon_t *d = s->daemons->pdata[0];
		const union MHD_DaemonInfo *info = MHD_get_daemon_info(
			d->mhd, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

		if (info->num_connections)
			return;
		g_ptr_array_remove_index(s->daemons, 0);
	}
}

void http_server_quiesce(http_server_t *s)
{
	if (s->listen_fd < 0)
		return;
	for (guint i = 0; i < s->daemons->len; i++)
		quiesce_(s->daemons->pdata[i]);
	close(s->listen_fd);
	s->listen_fd = -1;
}

/* libmicrohttpd aborts the process if it is stopped while a connection is
 * suspended.
 */
static void end_requests_(http_server_t *s)
{
	GList *waiting;

	s->finishing = true;
	waiting = g_hash_table_get_keys(s->suspended);
	for (GList *l = waiting; l; l = l->next)
		leave_(l->data);
	g_list_free(waiting);
	for (int i = 0; i < FINISH_PASSES; i++) {
		s->wrote = false;
		run_(s);
		/* Long answers go out in blocks, one in a pass. */
		i -= s->wrote;
	}
	assert(!g_hash_table_size(s->suspended));
	ev_timer_stop(s->loop, &s->timer);
}

void http_server_finish(http_server_t *s)
{
	if (!s->daemons)
		return;
	ev_timer_stop(s->loop, &s->timer);
	ev_prepare_stop(s->loop, &s->prepare);
	http_server_quiesce(s);
	end_requests_(s);
	g_clear_pointer(&s->daemons, g_ptr_array_unref);
	g_clear_pointer(&s->suspended, g_hash_table_destroy);
}

unsigned int http_server_connections(const http_server_t *s)
{
	unsigned int count = 0;

	for (guint i = 0; s->daemons && i < s->daemons->len; i++) {
		const http_daemon_t *d = s->daemons->pdata[i];

		count += MHD_get_daemon_info(
				 d->mhd, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
				 ->num_connections;
	}
	return count;
}

str_t http_request_method(const http_request_t *r)
{
	return str_of(r->method);
}

str_t http_request_path(const http_request_t *r)
{
	return str_of(r->path);
}

str_t http_request_target(const http_request_t *r)
{
	return str_of(r->target);
}

str_t http_request_query_string(const http_request_t *r)
{
	return str_of(r->query);
}

str_t http_request_header(const http_request_t *r, const char *name)
{
	return str_of(MHD_lookup_connection_value(r->connection,
						  MHD_HEADER_KIND, name));
}

str_t http_request_query(const http_request_t *r, const char *name)
{
	return str_of(MHD_lookup_connection_value(r->connection,
						  MHD_GET_ARGUMENT_KIND, name));
}

str_t http_request_body(const http_request_t *r)
{
	return (str_t){ (const char *)r->body->data, r->body->len };
}

typedef struct each_header {
	void (*fn)(void *arg, const char *name, str_t value);
	void *arg;
} each_header_t;

static enum MHD_Result visit_header_(void *cls, enum MHD_ValueKind kind,
				     const char *key, const char *value)
{
	const each_header_t *each = cls;

	(void)kind;
	each->fn(each->arg, key, str_of(value));
	return MHD_YES;
}

void http_request_each_header(const http_request_t *r,
			      void (*fn)(void *arg, const char *name,
					 str_t value),
			      void *arg)
{
	each_header_t each = { fn, arg };

	MHD_get_connection_values(r->connection, MHD_HEADER_KIND, visit_header_,
				  &each);
}

void http_request_set_user(http_request_t *r, void *user)
{
	r->user = user;
}

void *http_request_user(const http_request_t *r)
{
	return r->user;
}

static void set_response_(http_request_t *r, struct MHD_Response *response,
			  unsigned int status, const http_header_t *headers)
{
	assert(!r->response);
	for (const http_header_t *h = headers; h && h->name; h++)
		MHD_add_response_header(response, h->name, h->value);
	r->response = response;
	r->status = status;
	wake_(r);
}

void http_reply(http_request_t *r, unsigned int status,
		const http_header_t *headers, str_t body)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		body.len, (void *)body.data, MHD_RESPMEM_MUST_COPY);

	set_response_(r, response, status, headers);
}

void http_reply_body(http_request_t *r, unsigned int status,
		     const http_header_t *headers, GString *body)
{
	struct MHD_Response *response;

	if (body->len <= BODY_COPIED_MAX_BYTES) {
		http_reply(r, status, headers, (str_t){ body->str, body->len });
		g_string_free(body, TRUE);
		return;
	}
	response = MHD_create_response_from_callback(
		body->len, STREAM_BLOCK_BYTES, on_read_body_, r, NULL);
	/* Without the room for growth. */
	r->reply_len = body->len;
	r->reply = g_realloc(g_string_free(body, FALSE), r->reply_len);
	r->pending = r->reply_len;
	set_response_(r, response, status, headers);
}

static void drop_pending_(http_request_t *r)
{
	while (r->first) {
		block_t *next = r->first->next;

		g_free(r->first);
		r->first = next;
	}
	r->last = NULL;
	r->pending = 0;
	g_clear_pointer(&r->reply, g_free);
}

void http_request_cut(http_request_t *r)
{
	drop_pending_(r);
	r->stream_ended = true;
	r->stream_cut = true;
	reset_connection_(r);
	wake_(r);
}

void http_stream_begin(http_request_t *r, unsigned int status,
		       const http_header_t *headers)
{
	struct MHD_Response *response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, on_read_, r, NULL);

	r->streaming = true;
	/* Also if the process is killed. */
	if (r->no_chunks)
		set_reset_on_close_(r, true);
	set_response_(r, response, status, headers);
}

static block_t *append_block_(http_request_t *r, size_t len)
{
	size_t size = CLAMP(len, BLOCK_MIN_BYTES, STREAM_BLOCK_BYTES);
	block_t *b = g_malloc(sizeof(*b) + size);

	*b = (block_t){ .size = size };
	if (r->last)
		r->last->next = b;
	else
		r->first = b;
	r->last = b;
	return b;
}

void http_stream_hold(http_request_t *r, str_t data)
{
	assert(r->streaming);
	if (r->stream_ended)
		return;
	r->pending += data.len;
	while (data.len) {
		block_t *b = r->last;
		size_t n;

		if (!b || b->len == b->size)
			b = append_block_(r, data.len);
		n = MIN(data.len, b->size - b->len);
		memcpy(b->data + b->len, data.data, n);
		b->len += n;
		data = str_skip(data, n);
	}
}

void http_stream_flush(http_request_t *r)
{
	assert(r->streaming);
	if (http_stream_pending(r))
		wake_(r);
}

void http_stream_write(http_request_t *r, str_t data)
{
	if (!data.len || r->stream_ended)
		return;
	http_stream_hold(r, data);
	wake_(r);
}

void http_stream_end(http_request_t *r, bool whole)
{
	assert(r->streaming);
	r->stream_ended = true;
	r->stream_cut = !whole;
	wake_(r);
}

size_t http_stream_pending(const http_request_t *r)
{
	return r->pending;
}

static int listen_(const char *address, int unsent_max)
{
	struct sockaddr_in sa;
	int one = 1;
	int fd;

	if (!address_parse(address, &sa))
		return HTTP_SERVER_EADDRESS;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return HTTP_SERVER_ELISTEN;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	/* Accepted connections inherit these. */
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	socket_times_set(fd, &socket_times_accepted);
	socket_bounds_set(fd, unsent_max, 0);
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		close(fd);
		return HTTP_SERVER_ELISTEN;
	}
	return fd;
}

/* Runs before the URL is split, and so sees the query string as sent. */
static void *on_uri_(void *cls, const char *uri, struct MHD_Connection *c)
{
	http_server_t *s = cls;
	http_request_t *r = g_new0(http_request_t, 1);
	const char *mark;

	r->server = s;
	r->connection = c;
	r->target = g_strdup(uri);
	mark = strchr(r->target, '?');
	r->query = mark ? mark + 1 : NULL;
	r->body = g_byte_array_new();
	s->open++;
	return r;
}

static enum MHD_Result refuse_early_(http_request_t *r, unsigned int status,
				     const char *detail)
{
	char *body = g_strdup_printf("{\"type\":\"about:blank\",\"status\":%u,"
				     "\"title\":\"%s\",\"ran\":\"no\"}",
				     status, detail);
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(body), body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result ret;

	g_free(body);
	MHD_add_response_header(response, "Content-Type",
				"application/problem+json");
	MHD_add_response_header(response, "Connection", "close");
	if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
		MHD_add_response_header(response, "Retry-After",
					BODIES_RETRY_S);
	LOG_EVENT(LOG_NOTICE, "http.refused", F_INT("status", status),
		  F_STR("why", detail),
		  F_INT("body_bytes", (int64_t)r->received),
		  F_INT("all_bodies_bytes", (int64_t)r->server->bodies));
	ret = MHD_queue_response(r->connection, status, response);
	MHD_destroy_response(response);
	return ret;
}

typedef struct framing {
	int lengths;
	int encodings;
	bool bad;
} framing_t;

static enum MHD_Result note_framing_(void *cls, enum MHD_ValueKind kind,
				     const char *key, const char *value)
{
	framing_t *f = cls;

	(void)kind;
	if (!g_ascii_strcasecmp(key, "Content-Length"))
		f->lengths++;
	if (g_ascii_strcasecmp(key, "Transfer-Encoding") != 0)
		return MHD_YES;
	f->encodings++;
	f->bad = f->bad || g_ascii_strcasecmp(value, "chunked") != 0;
	return MHD_YES;
}

/* Two readers could disagree on where such a request ends. */
static bool framing_ambiguous_(const http_request_t *r)
{
	framing_t f = { 0 };

	MHD_get_connection_values(r->connection, MHD_HEADER_KIND, note_framing_,
				  &f);
	return f.bad || f.lengths + f.encodings > 1;
}

/* Whether a method that carries a body came without a length of any kind. */
static bool body_missing_(const http_request_t *r)
{
	if (strcmp(r->method, "POST") != 0 && strcmp(r->method, "PUT") != 0)
		return false;
	return !http_request_header(r, "Content-Length").data &&
	       !http_request_header(r, "Transfer-Encoding").data;
}

static enum MHD_Result first_call_(http_request_t *r, const char *url,
				   const char *method, const char *version)
{
	int64_t length;

	r->no_chunks = strcmp(version, MHD_HTTP_VERSION_1_1) != 0;
	r->method = g_strdup(method);
	r->path = g_strdup(url);
	if (framing_ambiguous_(r))
		return refuse_early_(r, MHD_HTTP_BAD_REQUEST,
				     "length of the body is ambiguous");
	if (body_missing_(r))
		return refuse_early_(r, MHD_HTTP_LENGTH_REQUIRED,
				     "a body needs Content-Length");
	if (str_to_int(http_request_header(r, "Content-Length"), &length) &&
	    (uint64_t)length > r->server->max_body)
		return refuse_early_(r, MHD_HTTP_CONTENT_TOO_LARGE,
				     "body is larger than allowed");
	return MHD_YES;
}

static void drop_body_(http_request_t *r)
{
	r->server->bodies -= r->body->len;
	g_byte_array_unref(r->body);
	r->body = g_byte_array_new();
}

/*
 * False when the connection is to be closed: what is too large is read to its
 * end for an answer, but not without end.
 */
static bool take_body_(http_request_t *r, const char *data, size_t size)
{
	http_server_t *s = r->server;

	r->received += size;
	if (r->received > s->max_body)
		r->too_large = true;
	else if (s->conf.max_bodies && s->bodies + size > s->conf.max_bodies)
		r->too_many = true;
	if (r->too_large || r->too_many) {
		drop_body_(r);
		return r->received <= s->max_body * EXCESS_FACTOR;
	}
	g_byte_array_append(r->body, (const guint8 *)data, (guint)size);
	s->bodies += size;
	return true;
}

static enum MHD_Result on_access_(void *cls, struct MHD_Connection *c,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **con_cls)
{
	http_server_t *s = cls;
	http_request_t *r = *con_cls;

	if (!r)
		return MHD_NO;
	if (!r->method)
		return first_call_(r, url, method, version);
	if (*size) {
		bool goes_on = take_body_(r, data, *size);

		if (!goes_on)
			LOG_EVENT(LOG_NOTICE, "http.closed",
				  F_STR("why", "body without end"),
				  F_INT("body_bytes", (int64_t)r->received));
		*size = 0;
		return goes_on ? MHD_YES : MHD_NO;
	}
	if (r->too_large)
		return refuse_early_(r, MHD_HTTP_CONTENT_TOO_LARGE,
				     "body is larger than allowed");
	if (r->too_many)
		return refuse_early_(r, MHD_HTTP_SERVICE_UNAVAILABLE,
				     "too many bodies at a time");
	if (!r->handled) {
		r->handled = true;
		s->ops->request(s->ctx, r);
	}
	if (r->response)
		return MHD_queue_response(c, r->status, r->response);
	if (r->gone || s->finishing)
		return MHD_NO;
	suspend_(r);
	return MHD_YES;
}

static void on_completed_(void *cls, struct MHD_Connection *c, void **con_cls,
			  enum MHD_RequestTerminationCode code)
{
	http_server_t *s = cls;
	http_request_t *r = *con_cls;
	bool whole;

	(void)c;
	if (!r)
		return;
	whole = code == MHD_REQUEST_TERMINATED_COMPLETED_OK && !r->stream_cut;
	if (r->streaming && r->no_chunks) {
		if (whole)
			set_reset_on_close_(r, false);
		else
			reset_connection_(r);
	}
	if (r->handled)
		s->ops->closed(s->ctx, r, whole);
	s->open--;
	free_request_(r);
	*con_cls = NULL;
}

static void free_request_(http_request_t *r)
{
	if (r->watched)
		ev_io_stop(r->server->loop, &r->hangup);
	if (r->response)
		MHD_destroy_response(r->response);
	drop_pending_(r);
	r->server->bodies -= r->body->len;
	g_byte_array_unref(r->body);
	g_free(r->method);
	g_free(r->path);
	g_free(r->target);
	g_free(r);
}

static void note_taken_(http_request_t *r, size_t bytes)
{
	http_server_t *s = r->server;

	r->pending -= bytes;
	s->wrote = true;
	if (s->ops->taken)
		s->ops->taken(s->ctx, r, bytes);
}

static ssize_t on_read_body_(void *cls, uint64_t pos, char *buf, size_t max)
{
	http_request_t *r = cls;
	size_t n;

	if (!r->reply)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	n = MIN(max, r->reply_len - (size_t)pos);
	memcpy(buf, r->reply + pos, n);
	note_taken_(r, n);
	return (ssize_t)n;
}

/* Copies bytes that wait in a stream and frees their blocks. */
static size_t take_pending_(http_request_t *r, char *buf, size_t max)
{
	size_t n = 0;

	while (r->first && n < max) {
		block_t *b = r->first;
		size_t part = MIN(max - n, b->len - b->taken);

		memcpy(buf + n, b->data + b->taken, part);
		b->taken += part;
		n += part;
		if (b->taken < b->len)
			break;
		r->first = b->next;
		if (!r->first)
			r->last = NULL;
		g_free(b);
	}
	return n;
}

static ssize_t on_read_(void *cls, uint64_t pos, char *buf, size_t max)
{
	http_request_t *r = cls;
	size_t n;

	(void)pos;
	if (!r->pending) {
		if (r->stream_cut ||
		    (r->server->finishing && !r->stream_ended)) {
			/* libmicrohttpd would send a FIN first. */
			if (r->no_chunks)
				reset_connection_(r);
			return MHD_CONTENT_READER_END_WITH_ERROR;
		}
		if (r->stream_ended)
			return MHD_CONTENT_READER_END_OF_STREAM;
		suspend_(r);
		return 0;
	}
	n = take_pending_(r, buf, max);
	note_taken_(r, n);
	return (ssize_t)n;
}

static int socket_(const http_request_t *r)
{
	return MHD_get_connection_info(r->connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD)
		->connect_fd;
}

int64_t http_request_lost(const http_request_t *r)
{
	return socket_loss_count(socket_(r));
}

int http_request_unacked(const http_request_t *r, int64_t *rtt_ms)
{
	return socket_unacked(socket_(r), rtt_ms);
}

static void log_socket_error_(const char *call)
{
	LOG_EVENT(LOG_WARNING, "http.reset_failed", F_STR("call", call),
		  F_STR("error", g_strerror(errno)));
}

static void set_reset_on_close_(const http_request_t *r, bool on)
{
	struct linger linger = { .l_onoff = on };

	if (setsockopt(socket_(r), SOL_SOCKET, SO_LINGER, &linger,
		       sizeof(linger)))
		log_socket_error_("setsockopt");
}

/*
 * Resets the connection at once. Bytes that the caller has not acknowledged
 * are not sent again.
 */
static void reset_connection_(const http_request_t *r)
{
	const struct sockaddr none = { .sa_family = AF_UNSPEC };

	if (connect(socket_(r), &none, sizeof(none)))
		log_socket_error_("connect");
}

void http_request_ends_with_connection(http_request_t *r)
{
	r->watched = true;
	ev_io_init(&r->hangup, on_hangup_, socket_(r), EV_READ);
	r->hangup.data = r;
}

/* The sender has closed its connection. */
static void leave_(http_request_t *r)
{
	r->gone = true;
	if (r->streaming) {
		r->stream_ended = true;
		r->stream_cut = true;
	}
	wake_(r);
}

bool http_request_answered(const http_request_t *r)
{
	return r->response;
}

bool http_request_left(http_request_t *r)
{
	char byte;

	assert(r->watched);
	if (!r->gone && !recv(socket_(r), &byte, 1, MSG_PEEK | MSG_DONTWAIT))
		leave_(r);
	return r->gone;
}

/* A suspended connection is not looked at by the daemon. */
static void suspend_(http_request_t *r)
{
	MHD_suspend_connection(r->connection);
	r->suspended = true;
	g_hash_table_add(r->server->suspended, r);
	if (r->watched)
		ev_io_start(r->server->loop, &r->hangup);
}

static void on_hangup_(struct ev_loop *loop, ev_io *w, int revents)
{
	http_request_t *r = w->data;
	char byte;
	ssize_t n = recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	(void)revents;
	ev_io_stop(loop, w);
	/* Bytes of a next request wait until this one is over. */
	if (n > 0)
		return;
	if (n < 0 && errno == EAGAIN) {
		ev_io_start(loop, w);
		return;
	}
	leave_(r);
}

static void wake_(http_request_t *r)
{
	r->server->dirty = true;
	if (!r->suspended)
		return;
	r->suspended = false;
	g_hash_table_remove(r->server->suspended, r);
	if (r->watched)
		ev_io_stop(r->server->loop, &r->hangup);
	MHD_resume_connection(r->connection);
}

static void on_io_(struct ev_loop *loop, ev_io *w, int revents)
{
	(void)loop;
	(void)revents;
	run_(w->data);
}

static void on_timer_(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	drop_drained_(w->data);
	run_(w->data);
}

static void on_prepare_(struct ev_loop *loop, ev_prepare *w, int revents)
{
	http_server_t *s = w->data;

	(void)loop;
	(void)revents;
	while (s->dirty) {
		s->dirty = false;
		run_(s);
	}
}

static void run_(http_server_t *s)
{
	double wait_s = MAX_POLL_S;

	for (guint i = 0; i < s->daemons->len; i++) {
		struct MHD_Daemon *mhd =
			((http_daemon_t *)s->daemons->pdata[i])->mhd;
		MHD_UNSIGNED_LONG_LONG wait;

		MHD_run(mhd);
		if (MHD_get_timeout(mhd, &wait) == MHD_YES)
			wait_s = MIN(wait_s, (double)wait * MSEC_TO_SEC);
	}
	s->timer.repeat = MAX(wait_s, MSEC_TO_SEC);
	ev_timer_again(s->loop, &s->timer);
}
