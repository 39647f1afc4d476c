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
#include <kcf/quarantine.h>
#include <kcf/route_table.h>

/* A request as its caller sent it; the views are valid as long as it is. */
typedef struct inbound_request {
	str_t id; /* differs for each try of the caller, empty if missing */
	str_t method;
	str_t host;
	str_t target; /* path and query as sent */
	str_t path;
	str_t key;	       /* identifies a customer */
	mstime_t remaining_ms; /* until the caller's deadline, -1 if unset */
	int64_t last_event_id; /* last one that the caller has, -1 for none */
	str_t resumes;	       /* id of the try that brought the first event of
				  a stream that is taken up, or empty */
	bool generation;       /* names a model */
	uint64_t affinity;     /* hash of the shared prompt segments, or 0 */
	quarantine_prompt_t prompt; /* keys of the shared prompt segments */
	bool well_formed;	    /* its headers could be parsed */
} inbound_request_t;

/* What the gateway adds to a request for an upstream. */
typedef struct outbound_request {
	const char *upstream;	 /* id of the only one that may run it */
	const char *customer;	 /* NULL for none */
	const char *copy_source; /* ip:port of an upstream that may have the
				    prompt cached, or NULL */
	mstime_t remaining_ms;
	int urgency;	       /* 0 is most urgent, -1 if unset */
	int64_t last_event_id; /* a stream resumes after it, -1 for none */
	const char *omit;      /* header that is not passed on */
} outbound_request_t;

/* What the headers of an upstream's response say. */
typedef struct upstream_response {
	int status;
	bool mismatched;     /* belongs to another request */
	bool has_signature;  /* carries the upstream's signature */
	bool not_executed;   /* confirms that the request has not run */
	bool wrong_instance; /* another instance has the address */
	bool event_stream;   /* the body is a stream of events */
	bool encoded;	  /* has a content encoding: not the upstream's body */
	bool leaving;	  /* it announces that this start of it leaves */
	bool names_limit; /* on the requests of all nodes together */
	double limit_per_s;   /* below 0 if it cannot be read */
	bool names_brittle;   /* it falls over if it refuses more in a second */
	int turned_per_s;     /* than this; below 0 if it cannot be read */
	int outstanding;      /* reported load, -1 if unset */
	int slots;	      /* requests that it runs at a time, 0 if unset */
	int pace;	      /* 100 is normal, 250 that work takes 2.5 times
				 as long; 0 if unset */
	mstime_t idle_max_ms; /* it closes idle connections then, 0 if unset */
} upstream_response_t;

typedef enum operator_change_kind {
	CHANGE_NONE,	/* a record that does not concern the gateway */
	CHANGE_INVALID, /* a malformed record */
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

/* Functions that encode and decode the formats of one platform. */
typedef struct protocol_ops {
	void (*parse_request)(const http_request_t *req, inbound_request_t *in);
	/*
	 * Header lines for the upstream, with a NULL at the end; released with
	 * g_ptr_array_unref.
	 */
	GPtrArray *(*build_request_headers)(const http_request_t *req,
					    const outbound_request_t *out);
	/*
	 * The same for another node: all that its caller would send to it, with
	 * the time that is left. Only remaining_ms, last_event_id and omit of
	 * out are used.
	 */
	GPtrArray *(*build_relay_headers)(const http_request_t *req,
					  const outbound_request_t *out);
	void (*parse_response)(http_call_t *call, int status, str_t request_id,
			       upstream_response_t *response);
	/* Whether a response to a health check shows that this upstream serves.
	 */
	bool (*confirms_health)(http_call_t *call, int status,
				const char *upstream);
	/* Request target at which an upstream tells its state. */
	const char *state_target;
	/* Whether a response's head belongs to such a request. */
	bool (*is_state_response)(http_call_t *call);
	/* The start that the state names, 0 if it names none. */
	uint64_t (*parse_state)(str_t body);
	/* Whether a header of a response is passed on to the caller. */
	bool (*forwards_response_header)(const char *name);
	/* Parses a record of FEED_OPERATORS; data is empty for a removed key.
	 */
	void (*parse_operator_record)(const feed_record_t *r,
				      operator_change_t *out);
	/*
	 * Parses a record of FEED_UPSTREAMS; false if it is malformed. The
	 * strings of the entry belong to holder, a new reference.
	 */
	bool (*parse_upstream_record)(const feed_record_t *r, mstime_t now,
				      balance_spec_t *out, json_t **holder);
	/* Whether a request is a readiness check. */
	bool (*is_readiness_request)(const http_request_t *req);
	/* Whether a request is for the directory, and its data centre. */
	bool (*is_directory_request)(const http_request_t *req,
				     str_t *data_centre);
	/* Body of a directory response; released with g_free. */
	char *(*format_directory)(const GPtrArray *addresses,
				  mstime_t valid_ms);
	/* Value of Retry-After; out has at least 32 bytes. */
	void (*format_retry_after)(mstime_t ms, char *out);
} protocol_ops_t;

#endif
