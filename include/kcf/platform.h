/*
 * platform - clients of the platform's log, host list and weight store.
 *
 * Each is a table of functions, since how the real services speak may differ
 * from site to site; the HTTP and JSON form below is the one that ships. All
 * answers come through callbacks on the loop's thread.
 */
#ifndef KCF_PLATFORM_H
#define KCF_PLATFORM_H

#include <kcf/http_client.h>

typedef enum log_err {
	LOG_OK = 0,
	LOG_EREFUSED = -1, /* the record was not appended */
	LOG_EUNKNOWN = -2, /* the record may have been appended */
	LOG_EDOWN = -3,	   /* nothing could be read */
	LOG_EBAD = -4,	   /* the answer could not be understood */
} log_err_t;

/* Parallel to log_err_t, indexed by the negated error. */
extern const char *const log_err_string[];

/* One record as read back. */
typedef struct log_record {
	uint64_t offset;
	mstime_t appended_at; /* wall time at which the log took it */
	str_t body;
} log_record_t;

/* Part of a stream. */
typedef struct log_batch {
	uint64_t first_offset; /* lowest offset that the log still keeps */
	uint64_t next_offset;  /* offset after the last record of the stream */
	const log_record_t *records;
	size_t count;
} log_batch_t;

typedef void (*log_append_fn)(void *arg, int err, uint64_t offset);
/* batch is NULL unless err is LOG_OK. */
typedef void (*log_read_fn)(void *arg, int err, const log_batch_t *batch);

typedef struct log_client log_client_t;

typedef struct log_client_ops {
	void (*append)(log_client_t *l, const char *stream, str_t record,
		       log_append_fn fn, void *arg);
	void (*read)(log_client_t *l, const char *stream, uint64_t from,
		     mstime_t wait_ms, log_read_fn fn, void *arg);
} log_client_ops_t;

struct log_client {
	const log_client_ops_t *ops;
	http_client_t *http;
	const char *url;
};

extern const log_client_ops_t log_http_ops;

/* Records asked for in one read. */
#define LOG_READ_MAX 500

/* One host of the platform's list. */
typedef struct host_entry {
	const char *name;
	const char *peer;
} host_entry_t;

/* hosts is NULL when the list could not be read or has not changed. */
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
