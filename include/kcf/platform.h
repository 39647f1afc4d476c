/*
 * platform - clients of the platform's log, host list and weight store.
 *
 * Each is a table of functions, since the protocol of the real services may
 * differ between sites; the HTTP and JSON implementation declared below ships
 * with the product. Results are passed to callbacks on the loop's thread.
 */
#ifndef KCF_PLATFORM_H
#define KCF_PLATFORM_H

#include <kcf/http_client.h>

typedef enum log_err {
	LOG_OK = 0,
	LOG_EREFUSED = -1, /* the record was not appended */
	LOG_EUNKNOWN = -2, /* the record may have been appended */
	LOG_EDOWN = -3,	   /* nothing could be read */
	LOG_EBAD = -4,	   /* malformed response */
} log_err_t;

/* Parallel to log_err_t, indexed by the negated error. */
extern const char *const log_err_string[];

/* A record that was read from the log. */
typedef struct log_record {
	uint64_t offset;
	mstime_t appended_at; /* wall time at which the log appended it */
	str_t body;
} log_record_t;

/* Consecutive records of a stream. */
typedef struct log_batch {
	uint64_t first_offset; /* lowest retained offset */
	uint64_t next_offset;  /* offset after the last record of the stream */
	const log_record_t *records;
	size_t count;
} log_batch_t;

typedef void (*log_append_fn)(void *arg, int err, uint64_t offset);
/* batch is NULL unless err is LOG_OK. */
typedef void (*log_read_fn)(void *arg, int err, const log_batch_t *batch);

typedef struct log_client log_client_t;

typedef struct log_client_ops {
	/* Appends a record to a stream; fn receives its offset. */
	void (*append)(log_client_t *l, const char *stream, str_t record,
		       log_append_fn fn, void *arg);
	/* Reads records from an offset on; waits up to wait_ms for one. */
	void (*read)(log_client_t *l, const char *stream, uint64_t from,
		     mstime_t wait_ms, log_read_fn fn, void *arg);
} log_client_ops_t;

struct log_client {
	const log_client_ops_t *ops;
	http_client_t *http;
	const char *url;
};

extern const log_client_ops_t log_http_ops;

/* Most records that one read requests. */
#define LOG_READ_MAX 500

/* One entry of the platform's host list. */
typedef struct host_entry {
	const char *name;
	const char *peer;
} host_entry_t;

/* hosts is NULL if the list could not be read or has not changed. */
typedef void (*host_list_fn)(void *arg, const host_entry_t *hosts,
			     size_t count);

typedef struct host_list_client host_list_client_t;

typedef struct host_list_ops {
	void (*fetch)(host_list_client_t *h, host_list_fn fn, void *arg);
} host_list_ops_t;

struct host_list_client {
	const host_list_ops_t *ops;
	http_client_t *http;
	const char *url;
	char *etag;
};

extern const host_list_ops_t host_list_http_ops;

#endif
