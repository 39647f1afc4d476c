/*
 * http_client - HTTP client of a task, libcurl multi on its libev loop.
 *
 * All calls belong to the loop's thread.
 */
#ifndef KCF_HTTP_CLIENT_H
#define KCF_HTTP_CLIENT_H

#include <ev.h>
#include <kcf/clock.h>
#include <kcf/str.h>

typedef enum http_err {
	HTTP_OK = 0,
	HTTP_ECONNECT = -1, /* nothing was sent */
	HTTP_ETIMEOUT = -2, /* may have been sent */
	HTTP_ECUT = -3,	    /* may have been sent; broke before the end */
	HTTP_EURL = -4,	    /* nothing was sent */
	HTTP_EREFUSED = -5, /* nothing was sent; nobody listens there */
} http_err_t;

/* Parallel to http_err_t, indexed by the negated error. */
extern const char *const http_err_string[];

/*
 * http_unsent - whether an error shows that nothing was sent.
 */
bool http_unsent(int err);

typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

/* Behaviour of the owner of a call; each function may be NULL but done. */
typedef struct http_call_ops {
	/*
	 * Status line and headers are in. False rejects the response: the call
	 * fails, and its connection is closed, since the request that was sent
	 * on it may not have been answered yet.
	 */
	bool (*head)(void *ctx, http_call_t *call, int status);
	/* Body bytes; without it the body is collected in the call. */
	void (*data)(void *ctx, http_call_t *call, str_t data);
	/* The call is over, freed after this; status is 0 without a head. */
	void (*done)(void *ctx, http_call_t *call, int err, int status);
	/* The call was cancelled; no other function is called any more. */
	void (*dropped)(void *ctx);
	/*
	 * Asked right before the request is written; false leaves it unsent and
	 * closes the connection. http_call_peer tells where it would go.
	 */
	bool (*start)(void *ctx);
} http_call_ops_t;

typedef struct http_call_spec {
	const char *method;
	const char *url;
	const char *const *headers; /* "Name: value" lines, NULL at the end */
	str_t body;
	bool body_stays;     /* in place until the call is over; else copied */
	mstime_t deadline;   /* MSTIME_NEVER for none */
	bool fresh;	     /* a connection of its own, never reused */
	bool bare;	     /* only the given headers, and Host */
	bool single;	     /* never sent again on another connection */
	bool inflate;	     /* takes a deflated answer, as it was before */
	const char *target;  /* request target as sent, or NULL for the URL's */
	uint64_t tag;	     /* of the request in all of its tries, see
				http_call_keep_off; 0 for none */
	uint64_t peer_start; /* connections to another start are not used, see
				http_call_name_peer; 0 for any */
	mstime_t connect_max_ms; /* 0 for the default */
	mstime_t idle_max_ms;	 /* of a pooled connection; 0 for the default */
} http_call_spec_t;

struct http_client {
	void *multi;
	struct ev_loop *loop;
	ev_timer timer;
	GHashTable *calls;
	GHashTable *sockets;
	GHashTable *connections; /* open ones, by descriptor */
	uint64_t last_connection;
	GHashTable *opened;    /* descriptors whose ends are not known yet */
	GHashTable *by_remote; /* remote address to GPtrArray of open ones */
	GHashTable *connected; /* ends of a connection to its descriptor */
	GHashTable *ended;     /* remote address to mstime_t * */
	int unsent_max;	       /* bytes of a request that the kernel takes and
				  cannot send yet; 0 for its own bound */
	int unread_max;	       /* bytes that it takes of an answer that is not
				  read; 0 for its own bound */
	const char *ca_file;   /* authority of https servers, or NULL */
	int64_t bytes; /* sent and received by ended calls, headers counted */
};

/*
 * http_client_init - prepares a client on a loop.
 * @c: caller-owned memory, to be kept in place until http_client_finish
 */
void http_client_init(http_client_t *c, struct ev_loop *loop);

/*
 * http_client_finish - drops all open calls without calling their owners.
 */
void http_client_finish(http_client_t *c);

/*
 * http_call_start - begins a call.
 * @spec: copied, but for a body that stays
 * @ops:  must outlive the call
 *
 * Return: the call; it lives until its done function returns or until
 * http_call_cancel. Never NULL; errors reach the done function later.
 */
http_call_t *http_call_start(http_client_t *c, const http_call_spec_t *spec,
			     const http_call_ops_t *ops, void *ctx);

/*
 * http_call_cancel - closes a call's connection and frees the call; its
 * done function is not called, but its dropped function is. Not allowed inside
 * the call's own functions head and data.
 */
void http_call_cancel(http_call_t *call);

/*
 * http_call_pause - stops or restarts reading the answer.
 */
void http_call_pause(http_call_t *call, bool pause);

/*
 * http_call_received - bytes that have come on the call's connection since it
 * was opened, whatever they mean; -1 if unknown.
 */
int64_t http_call_received(http_call_t *call);

/*
 * http_call_unread - bytes that have come on the call's connection and are not
 * read yet; 0 if unknown.
 */
size_t http_call_unread(const http_call_t *call);

/*
 * http_call_unsent - bytes of the request's body that the kernel has not taken.
 */
size_t http_call_unsent(const http_call_t *call);

/*
 * http_call_connection - number of the connection that the request was sent on,
 * 0 if it was not sent; each connection of a client has another.
 * @order: receives the place of the request on it, from 1
 */
uint64_t http_call_connection(const http_call_t *call, uint64_t *order);

/*
 * http_call_ends_with_connection - whether only the end of the connection marks
 * that of the answer, whose head has been received.
 */
bool http_call_ends_with_connection(http_call_t *call);

/*
 * http_call_silence - milliseconds from the last bytes that the kernel took in
 * on the connection of a call that is done until it was closed, -1 if it is
 * open or this is unknown.
 */
int64_t http_call_silence(const http_call_t *call);

/*
 * http_call_end_unread - milliseconds that the end of the connection of a call
 * that is done had been there when it was closed, -1 if this is unknown.
 */
int64_t http_call_end_unread(const http_call_t *call);

/*
 * http_call_acked - whether the other end's kernel had taken in all that was
 * written on the connection of a call that is done when it was closed.
 */
bool http_call_acked(const http_call_t *call);

/* What is known of the process at the other end of a connection. */
typedef struct http_peer {
	mstime_t since; /* the connection has reached it, MSTIME_NEVER for none
			 */
	/*
	 * Others to the address have reached it, that were open then and whose
	 * end was not seen; since, or earlier.
	 */
	mstime_t witnessed_since;
	uint64_t start; /* see http_call_name_peer, 0 if it is not named */
} http_peer_t;

/*
 * http_call_peer - the process that the request was sent to; of no connection
 * if it was not sent.
 */
http_peer_t http_call_peer(const http_call_t *call);

/*
 * http_call_name_peer - keeps with the connection of a call which start of a
 * process answers on it, as one of its answers has told. For a call that is
 * done.
 * @start: not 0
 *
 * Return: false if the connection has ended.
 */
bool http_call_name_peer(const http_call_t *call, uint64_t start);

/*
 * http_client_next_peer - the process that the next call to an address would
 * reach; of no connection if it would open one, which open ones witness.
 * @address: IP:PORT
 * @idle_max_ms: as in the call's spec
 */
http_peer_t http_client_next_peer(http_client_t *c, const char *address,
				  mstime_t idle_max_ms);

/*
 * http_client_ended_at - when a connection to an address was last found ended
 * by the other side, 0 if that is not known; it may have ended earlier.
 * @address: IP:PORT
 */
mstime_t http_client_ended_at(const http_client_t *c, const char *address);

/*
 * http_call_keep_off - keeps later calls with the tag of this one off its
 * connection, where a second copy of its answer may still arrive. Nothing in
 * the copy would tell it from their own answer. For a call that is done; does
 * nothing without a tag.
 */
void http_call_keep_off(const http_call_t *call);

/*
 * http_call_reused - whether the request was sent on a connection that had
 * carried another one, so that an answer may belong to that one.
 */
bool http_call_reused(http_call_t *call);

/*
 * http_call_header - a header of the answer; empty view when absent.
 */
str_t http_call_header(http_call_t *call, const char *name);

/*
 * http_call_each_header - calls fn for each header of the answer.
 */
void http_call_each_header(http_call_t *call,
			   void (*fn)(void *arg, const char *name,
				      const char *value),
			   void *arg);

/*
 * http_call_body - the collected body, for calls without a data function.
 */
str_t http_call_body(const http_call_t *call);

#endif
