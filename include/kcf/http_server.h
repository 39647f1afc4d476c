/*
 * http_server - HTTP/1.1 server of a task, libmicrohttpd on its libev loop.
 *
 * Requests reach the handler once their body is complete. The handler may
 * answer at once, later, or as a stream. All calls belong to the loop's thread.
 */
#ifndef KCF_HTTP_SERVER_H
#define KCF_HTTP_SERVER_H

#include <ev.h>
#include <glib.h>
#include <kcf/clock.h>
#include <kcf/str.h>

typedef enum http_server_err {
	HTTP_SERVER_OK = 0,
	HTTP_SERVER_EADDRESS = -1,
	HTTP_SERVER_ELISTEN = -2,
	HTTP_SERVER_EDAEMON = -3,
} http_server_err_t;

/* Parallel to http_server_err_t, indexed by the negated error. */
extern const char *const http_server_err_string[];

/* One header of an answer. */
typedef struct http_header {
	const char *name;
	const char *value;
} http_header_t;

typedef struct http_server http_server_t;
typedef struct http_request http_request_t;

/* Behaviour of the owner of a server. */
typedef struct http_server_ops {
	/* A complete request; answer it now or later. */
	void (*request)(void *ctx, http_request_t *r);
	/*
	 * The request is over and its memory goes away after this call.
	 * whole is false when the caller did not get the answer to its end.
	 */
	void (*closed)(void *ctx, http_request_t *r, bool whole);
	/*
	 * The connection has taken in bytes of a stream, or of a body that was
	 * handed over. May be NULL; is not to write to any request.
	 */
	void (*taken)(void *ctx, http_request_t *r, size_t bytes);
} http_server_ops_t;

typedef struct http_server_conf {
	const char *address; /* ip:port */
	size_t max_body;     /* bytes */
	size_t max_bodies;   /* bytes of all together, 0 for no bound */
	size_t max_header;   /* bytes of request line and headers */
	unsigned int max_connections;
	unsigned int idle_timeout_s;
	int unsent_max;	      /* see socket_bounds_set */
	const char *tls_cert; /* PEM text, or NULL for plain TCP */
	const char *tls_key;
} http_server_conf_t;

struct http_server {
	/* The last one takes connections; others end those they have. */
	GPtrArray *daemons; /* http_daemon_t * */
	struct ev_loop *loop;
	ev_timer timer;
	ev_prepare prepare;
	const http_server_ops_t *ops;
	void *ctx;
	http_server_conf_t conf; /* without its texts */
	size_t max_body;
	size_t bodies; /* bytes held */
	bool dirty;
	bool finishing;
	bool wrote;	       /* bytes of an answer, in the current pass */
	GHashTable *suspended; /* http_request_t * */
	int listen_fd;
	unsigned int open;
};

/*
 * http_server_init - listens and serves on the loop.
 * @s:    caller-owned memory, to be kept in place until http_server_finish
 * @conf: read during the call only
 * @ops:  must outlive the server
 *
 * Return: HTTP_SERVER_OK or a negative http_server_err_t.
 */
int http_server_init(http_server_t *s, struct ev_loop *loop,
		     const http_server_conf_t *conf,
		     const http_server_ops_t *ops, void *ctx);

/*
 * http_server_set_tls - takes a new certificate and key for new connections;
 * open ones go on with the old.
 *
 * Return: HTTP_SERVER_OK, or HTTP_SERVER_EDAEMON when they cannot be used;
 * the old ones stay then.
 */
int http_server_set_tls(http_server_t *s, const char *cert, const char *key);

/*
 * http_server_quiesce - closes the listening socket; open requests go on.
 */
void http_server_quiesce(http_server_t *s);

/*
 * http_server_finish - closes every connection and releases the server.
 *
 * Responses that the owner has given are written as far as the connections take
 * them at once. A request without one ends with its connection, a stream that
 * has not ended is cut. The owner is told of each request's end, and may get
 * requests that have arrived by now, which it may only answer at once.
 */
void http_server_finish(http_server_t *s);

/*
 * http_server_connections - open connections, busy or idle; 0 of a server that
 * has not been initialized.
 */
unsigned int http_server_connections(const http_server_t *s);

/* Method, path without query, header, query argument and body of a request. */
str_t http_request_method(const http_request_t *r);
str_t http_request_path(const http_request_t *r);
str_t http_request_header(const http_request_t *r, const char *name);
str_t http_request_query(const http_request_t *r, const char *name);
str_t http_request_body(const http_request_t *r);

/*
 * http_request_target - path and query byte for byte as sent.
 */
str_t http_request_target(const http_request_t *r);

/*
 * http_request_query_string - the query part as sent, without question mark.
 */
str_t http_request_query_string(const http_request_t *r);

/*
 * http_request_each_header - calls fn for each request header.
 */
void http_request_each_header(const http_request_t *r,
			      void (*fn)(void *arg, const char *name,
					 str_t value),
			      void *arg);

/* A pointer of the owner's choice, kept with the request. */
void http_request_set_user(http_request_t *r, void *user);
void *http_request_user(const http_request_t *r);

/*
 * http_request_ends_with_connection - the sender never closes one direction
 * alone, so that the end of its sending side ends the request at once, also
 * while nothing is written. Other senders may half-close and are served on.
 */
void http_request_ends_with_connection(http_request_t *r);

/*
 * http_request_answered - whether a response has been given, or a stream begun.
 */
bool http_request_answered(const http_request_t *r);

/*
 * http_request_left - whether the sender has closed its connection by now,
 * looked up at the socket: a loop that is late finds the request and the end
 * of its connection side by side. The request then ends like any whose sender
 * leaves. Only for requests that end with their connection.
 */
bool http_request_left(http_request_t *r);

/*
 * http_reply - answers a request whole.
 * @headers: ended by an entry whose name is NULL, or NULL for none
 * Precondition: the request has not been answered yet.
 */
void http_reply(http_request_t *r, unsigned int status,
		const http_header_t *headers, str_t body);

/*
 * http_reply_body - the same with a body that is handed over: freed as soon as
 * it is copied to the connection's memory, or with the request.
 */
void http_reply_body(http_request_t *r, unsigned int status,
		     const http_header_t *headers, GString *body);

/*
 * http_request_cut - ends an answer at once with a reset of its connection and
 * drops what is not sent of it. What the caller has does not look complete. The
 * closed function follows later.
 */
void http_request_cut(http_request_t *r);

/*
 * http_stream_begin - answers with a stream of unknown length.
 * Precondition: the request has not been answered yet.
 */
void http_stream_begin(http_request_t *r, unsigned int status,
		       const http_header_t *headers);

/*
 * http_stream_write - appends bytes to a stream that has begun.
 */
void http_stream_write(http_request_t *r, str_t data);

/*
 * http_stream_hold - appends bytes that may wait for http_stream_flush, the
 * next http_stream_write or the end. They are sent earlier if bytes before them
 * are still being sent.
 */
void http_stream_hold(http_request_t *r, str_t data);

/*
 * http_stream_flush - sends bytes that wait.
 */
void http_stream_flush(http_request_t *r);

/*
 * http_request_lost - packets that the caller's connection has lost, see
 * socket_loss_count.
 */
int64_t http_request_lost(const http_request_t *r);

/*
 * http_request_unacked - bytes written to the caller that it has not
 * acknowledged; see socket_unacked.
 */
int http_request_unacked(const http_request_t *r, int64_t *rtt_ms);

/*
 * http_stream_end - ends a stream.
 * @whole: false closes the connection so that the caller sees the cut
 */
void http_stream_end(http_request_t *r, bool whole);

/*
 * http_stream_pending - bytes written to the stream, or of a body that was
 * handed over, and not yet taken by the connection.
 */
size_t http_stream_pending(const http_request_t *r);

#endif
