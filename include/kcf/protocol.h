/*
 * protocol - formats of callers, upstreams, operators and the platform.
 *
 * The gateway depends on none of them: a table of functions converts each
 * format to and from the types below.
 */
#ifndef KCF_PROTOCOL_H
#define KCF_PROTOCOL_H

#include <kcf/balance.h>
#include <kcf/feed.h>
#include <kcf/http_client.h>
#include <kcf/http_server.h>
#include <jansson.h>
#include <kcf/route_table.h>

/* A request as its caller sent it; views last as long as the request. */
typedef struct inbound_request {
	str_t id; /* of this attempt of the caller, empty when missing */
	str_t method;
	str_t host;
	str_t target; /* path and query as sent */
	str_t path;
	str_t key;	       /* of a customer */
	mstime_t remaining_ms; /* that the caller will wait, -1 when not told */
	int64_t last_event_id; /* that the caller has, -1 for none */
	bool generation;       /* asks for a model */
	uint64_t
		affinity; /* hash of the prompt parts that others share, or 0 */
	bool well_formed; /* headers are well formed */
} inbound_request_t;

/* What the gateway adds to a request that it sends. */
typedef struct outbound_request {
	const char *upstream;	 /* id of the only one that may run it */
	const char *customer;	 /* NULL for none */
	const char *copy_source; /* ip:port of an upstream that may hold the
				    prompt */
	mstime_t remaining_ms;
	int urgency;	       /* 0 is first, -1 not told */
	int64_t last_event_id; /* after which a stream goes on, -1 for none */
} outbound_request_t;

/* What an upstream's answer says beside its status. */
typedef struct upstream_response {
	int status;
	bool mismatched;      /* belongs to another request */
	bool has_signature;   /* carries the upstream's proof of origin */
	bool not_executed;    /* says that the request has not run */
	bool wrong_instance;  /* another process has the address */
	bool event_stream;    /* a stream of events */
	bool encoded;	      /* the body is not the upstream's own */
	int outstanding;      /* requests there, -1 when not told */
	int slots;	      /* 0 when not told */
	mstime_t idle_max_ms; /* idle connections are closed then, 0 unknown */
} upstream_response_t;

typedef enum operator_change_kind {
	CHANGE_NONE,	/* a record that means nothing here */
	CHANGE_INVALID, /* one that cannot be read */
	CHANGE_ROUTE_TABLE,
	CHANGE_DATA_CENTRE,
} operator_change_kind_t;

typedef struct operator_change {
	operator_change_kind_t kind;
	route_table_t *table; /* new reference, CHANGE_ROUTE_TABLE */
	char data_centre[64]; /* CHANGE_DATA_CENTRE */
	bool drained;
	const char *error; /* CHANGE_INVALID */
} operator_change_t;

typedef struct protocol_ops {
	void (*parse_request)(const http_request_t *req, inbound_request_t *in);
	/*
	 * Header lines for the upstream, NULL at the end; to be freed by the
	 * array.
	 */
	GPtrArray *(*build_request_headers)(const http_request_t *req,
					    const outbound_request_t *out);
	void (*parse_response)(http_call_t *call, int status, str_t request_id,
			       upstream_response_t *answer);
	/* Whether a header of an answer is for the caller. */
	bool (*forwards_response_header)(const char *name);
	/* A record of FEED_OPERATORS; data is empty for a dropped key. */
	void (*parse_operator_record)(const feed_record_t *r,
				      operator_change_t *out);
	/*
	 * A record of FEED_UPSTREAMS; false when it describes none. What the
	 * entry points to lasts as long as the holder, a new reference.
	 */
	bool (*parse_upstream_record)(const feed_record_t *r, mstime_t now,
				      balance_spec_t *out, json_t **holder);
	/* Whether a request asks whether this node is ready. */
	bool (*is_readiness_request)(const http_request_t *req);
	/* Whether a request asks which nodes to use, and from where. */
	bool (*is_directory_request)(const http_request_t *req,
				     str_t *data_centre);
	/* Answer to that; to be freed with g_free. */
	char *(*format_directory)(const GPtrArray *addresses,
				  mstime_t valid_ms);
	/* Seconds as the callers read them; at least 32 bytes. */
	void (*format_retry_after)(mstime_t ms, char *out);
} protocol_ops_t;

#endif
