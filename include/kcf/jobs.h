/*
 * jobs - deferred jobs in the platform's log, a state machine over its streams.
 *
 * A job is a request whose caller does not wait for the answer. It is open
 * until the stream has a record of its answer.
 */
#ifndef KCF_JOBS_H
#define KCF_JOBS_H

#include <glib.h>
#include <jansson.h>
#include <kcf/clock.h>
#include <kcf/str.h>

/* Number of streams that share the jobs, by hash of their ids. */
#define JOB_PARTITIONS 16
#define JOB_ID_MAX 64
/* Bodies of answers that are longer are not recorded. */
#define JOB_ANSWER_MAX (256 * 1024)

typedef struct job {
	char *id;
	char *customer;
	char *method;
	char *path; /* with query */
	char *body;
	char *chat;	/* X-Chat-Id, or empty */
	char *once_key; /* Idempotency-Key, or empty */
	bool done;
	int status;	      /* of the answer */
	char *answer;	      /* body of the answer, or NULL */
	mstime_t recorded_at; /* wall time of its latest record */
	mstime_t next_attempt;
	bool running;
} job_t;

typedef struct job_stream {
	GHashTable *jobs;     /* id to job_t * */
	uint64_t next_offset; /* next offset to read */
} job_stream_t;

/*
 * job_stream_init - no jobs, nothing read; release with job_stream_finish.
 */
void job_stream_init(job_stream_t *s);
void job_stream_finish(job_stream_t *s);

/*
 * job_partition - number of the stream that a job belongs to.
 */
int job_partition(const char *id);

/*
 * job_apply_record - applies the next record; malformed ones are skipped.
 */
void job_apply_record(job_stream_t *s, uint64_t offset, mstime_t wall,
		      str_t record);

/*
 * job_record, job_done_record - log records of a job and of its answer; free
 * with g_free.
 */
char *job_record(const job_t *j);
char *job_done_record(const job_t *j, int status, str_t answer);

/*
 * job_expire - removes done jobs recorded before a wall time.
 */
void job_expire(job_stream_t *s, mstime_t before);

#endif
