/*
 * Runs deferred jobs. Any node may append a job to the log. The owner of the
 * job's partition sends it to its own callers' interface at background
 * priority, repeats it until the answer is final, and records the answer.
 */
#include "private/control.h"
#include "private/job_header.h"

#include <kcf/jobs.h>
#include <kcf/logline.h>
#include <stdio.h>
#include <string.h>

#define READ_INTERVAL_MS 3000
#define READ_RETRY_MS 500
#define SUBMIT_TIMEOUT_MS 5000
#define RUN_TIMEOUT_MS 600000
#define RUNNING_MAX 8
#define RUN_RETRY_MS 2000
/*
 * Records of open jobs are appended again at this fraction of the retention
 * time, before the log drops them.
 */
#define REAPPEND_AGE_FRACTION 0.4
/* Added to partition numbers, to rank owners apart from run-once partitions. */
#define PARTITION_BASE 0x6a6f6273u

/* Jobs of one partition. */
typedef struct job_queue {
	control_t *control;
	char stream[16];
	job_stream_t jobs;
	bool owned;
	bool reading;
	mstime_t next_read;
	GPtrArray *queries; /* job_query_t *, answered after the next read */
} job_queue_t;

typedef struct job_executor {
	job_queue_t queues[JOB_PARTITIONS];
	int running;
} job_executor_t;

/* A job that is being appended. */
typedef struct submission {
	control_t *control;
	uint64_t id;
	char job[JOB_ID_MAX];
	char *record;
	mstime_t deadline;
} submission_t;

/* A request to the own callers' interface. */
typedef struct job_run {
	job_queue_t *queue;
	char job[JOB_ID_MAX];
} job_run_t;

/* An answer that is being appended. */
typedef struct done_record {
	job_queue_t *queue;
	char job[JOB_ID_MAX];
	char *record;
} done_record_t;

static void read_stream_(job_queue_t *p);
static void append_done_record_(done_record_t *d);

void jobs_start(control_t *c)
{
	job_executor_t *b = g_new0(job_executor_t, 1);

	c->jobs = b;
	for (int i = 0; i < JOB_PARTITIONS; i++) {
		job_queue_t *p = &b->queues[i];

		p->control = c;
		snprintf(p->stream, sizeof(p->stream), "jobs-%d", i);
		job_stream_init(&p->jobs);
		p->queries = g_ptr_array_new_with_free_func(g_free);
	}
}

void jobs_stop(control_t *c)
{
	for (int i = 0; i < JOB_PARTITIONS; i++) {
		job_stream_finish(&c->jobs->queues[i].jobs);
		g_ptr_array_unref(c->jobs->queues[i].queries);
	}
	g_free(c->jobs);
	c->jobs = NULL;
}

static const char *partition_owner_(const control_t *c, int partition)
{
	return sched_node_for_partition(&c->sched,
					PARTITION_BASE + (uint64_t)partition);
}

static void reply_(control_t *c, uint64_t id, unsigned int status,
		   const char *text)
{
	message_t *m = message_new(MSG_JOB_REPLY);

	m->job_reply.id = id;
	m->job_reply.status = status;
	m->job_reply.body = g_bytes_new(text, strlen(text));
	relay_post(c->relay, m);
}

static void append_job_(submission_t *s);

static void on_job_appended_(void *arg, int err, uint64_t offset)
{
	submission_t *s = arg;
	control_t *c = s->control;
	char text[160];

	(void)offset;
	if (err == LOG_EUNKNOWN && clock_now() < s->deadline) {
		/* Repeated: two records of one id are one job. */
		append_job_(s);
		return;
	}
	if (err == LOG_OK) {
		snprintf(text, sizeof(text),
			 "{\"job\":\"%s\",\"status\":\"/v1/jobs/%s\"}", s->job,
			 s->job);
		reply_(c, s->id, 202, text);
	} else {
		snprintf(text, sizeof(text),
			 "{\"type\":\"about:blank\",\"status\":503,\"title\":"
			 "\"the job could not be kept\",\"ran\":\"%s\"}",
			 err == LOG_EREFUSED ? "no" : "unknown");
		reply_(c, s->id, 503, text);
	}
	g_free(s->record);
	g_free(s);
}

static void append_job_(submission_t *s)
{
	control_t *c = s->control;
	job_queue_t *p = &c->jobs->queues[job_partition(s->job)];

	c->log.ops->append(&c->log, p->stream, str_of(s->record),
			   on_job_appended_, s);
}

void jobs_submit(control_t *c, const job_submit_t *q)
{
	submission_t *s = g_new0(submission_t, 1);
	job_t job = { .id = (char *)q->job,
		      .customer = (char *)q->customer,
		      .method = q->method,
		      .path = q->path,
		      .body = q->body,
		      .chat = q->chat,
		      .once_key = q->once_key };

	s->control = c;
	s->id = q->id;
	s->deadline = clock_now() + SUBMIT_TIMEOUT_MS;
	s->record = job_record(&job);
	g_strlcpy(s->job, q->job, sizeof(s->job));
	append_job_(s);
}

static void reply_job_state_(control_t *c, const job_query_t *q)
{
	job_queue_t *p = &c->jobs->queues[job_partition(q->job)];
	const job_t *j = g_hash_table_lookup(p->jobs.jobs, q->job);
	json_t *o;
	char *text;

	if (!j || strcmp(j->customer, q->customer) != 0) {
		reply_(c, q->id, 404,
		       "{\"type\":\"about:blank\",\"status\":404,\"title\":"
		       "\"no such job\",\"ran\":\"no\"}");
		return;
	}
	o = json_pack("{s:s,s:s}", "job", j->id, "state",
		      j->done	   ? "done"
		      : j->running ? "running"
				   : "waiting");
	if (j->done) {
		json_object_set_new(o, "status", json_integer(j->status));
		json_object_set_new(o, "answer",
				    j->answer ? json_string(j->answer)
					      : json_null());
	}
	text = json_dumps(o, JSON_COMPACT);
	reply_(c, q->id, 200, text);
	free(text);
	json_decref(o);
}

void jobs_query(control_t *c, const job_query_t *q)
{
	int partition = job_partition(q->job);
	job_queue_t *p = &c->jobs->queues[partition];
	const char *owner = partition_owner_(c, partition);
	message_t *m;

	if (!q->answer_here && owner &&
	    strcmp(owner, c->settings->name->str) != 0) {
		m = message_new(MSG_JOB_REPLY);
		m->job_reply.id = q->id;
		g_strlcpy(m->job_reply.node, owner, sizeof(m->job_reply.node));
		relay_post(c->relay, m);
		return;
	}
	/* Read first: another node may have just appended the job. */
	g_ptr_array_add(p->queries, g_memdup2(q, sizeof(*q)));
	p->next_read = 0;
	read_stream_(p);
}

static void reply_to_queries_(job_queue_t *p)
{
	for (guint i = 0; i < p->queries->len; i++)
		reply_job_state_(p->control, p->queries->pdata[i]);
	g_ptr_array_set_size(p->queries, 0);
}

static void on_read_(void *arg, int err, const log_batch_t *batch)
{
	job_queue_t *p = arg;

	if (!p->control->jobs)
		return;
	p->reading = false;
	if (err) {
		p->next_read = clock_now() + READ_RETRY_MS;
		reply_to_queries_(p);
		return;
	}
	for (size_t i = 0; i < batch->count; i++)
		job_apply_record(&p->jobs, batch->records[i].offset,
				 batch->records[i].appended_at,
				 batch->records[i].body);
	p->jobs.next_offset = MAX(p->jobs.next_offset, batch->first_offset);
	if (p->jobs.next_offset < batch->next_offset) {
		read_stream_(p);
		return;
	}
	p->next_read = clock_now() + READ_INTERVAL_MS;
	reply_to_queries_(p);
}

static void read_stream_(job_queue_t *p)
{
	control_t *c = p->control;

	if (p->reading || clock_now() < p->next_read)
		return;
	p->reading = true;
	c->log.ops->read(&c->log, p->stream, p->jobs.next_offset, 0, on_read_,
			 p);
}

static void on_done_appended_(void *arg, int err, uint64_t offset)
{
	done_record_t *d = arg;
	job_t *j;

	(void)offset;
	if (!d->queue->control->jobs)
		return;
	j = g_hash_table_lookup(d->queue->jobs.jobs, d->job);
	if (err && j && !j->done) {
		/* The answer is not recorded: the job runs again. */
		j->running = false;
		j->next_attempt = clock_now() + RUN_RETRY_MS;
	} else if (j) {
		j->running = false;
		j->done = true;
		d->queue->next_read = 0;
	}
	g_free(d->record);
	g_free(d);
}

static void append_done_record_(done_record_t *d)
{
	control_t *c = d->queue->control;

	c->log.ops->append(&c->log, d->queue->stream, str_of(d->record),
			   on_done_appended_, d);
}

/* Whether another attempt would get the same answer. */
static bool is_final_(int err, int status)
{
	if (err)
		return false;
	return status != 401 && status != 409 && status != 429 && status < 500;
}

static void on_run_done_(void *ctx, http_call_t *call, int err, int status)
{
	job_run_t *r = ctx;
	job_queue_t *p = r->queue;
	job_t *j = g_hash_table_lookup(p->jobs.jobs, r->job);
	str_t body = http_call_body(call);
	done_record_t *d;

	p->control->jobs->running--;
	LOG_EVENT(LOG_INFO, "job.ran", F_STR("job", r->job),
		  F_INT("status", status), F_INT("err", err));
	if (j && is_final_(err, status)) {
		d = g_new0(done_record_t, 1);
		d->queue = p;
		g_strlcpy(d->job, r->job, sizeof(d->job));
		d->record = job_done_record(j, status, body);
		j->status = status;
		j->answer = body.len <= JOB_ANSWER_MAX ? str_dup(body) : NULL;
		append_done_record_(d);
	} else if (j) {
		j->running = false;
		j->next_attempt = clock_now() + RUN_RETRY_MS;
	}
	g_free(r);
}

static const http_call_ops_t run_ops = { .done = on_run_done_ };

static void start_run_(job_queue_t *p, job_t *j, mstime_t now)
{
	control_t *c = p->control;
	job_run_t *r = g_new0(job_run_t, 1);
	char *url = g_strdup_printf("%s://%s%s",
				    settings_caller_scheme(c->settings),
				    c->settings->caller_listen->str, j->path);
	char *proof =
		job_header_line(c->settings->peer_key, j->id, j->customer);
	char *id = g_strdup_printf("X-Request-Id: %s", j->id);
	char *chat = g_strdup_printf("X-Chat-Id: %s", j->chat);
	char *key = g_strdup_printf("Idempotency-Key: %s", j->once_key);
	const char *headers[8] = { proof, id, "Priority: u=7",
				   "Content-Type: application/json" };
	int n = 4;
	http_call_spec_t spec = { .method = j->method,
				  .url = url,
				  .headers = headers,
				  .body = str_of(j->body),
				  .deadline = now + RUN_TIMEOUT_MS };

	if (*j->chat)
		headers[n++] = chat;
	if (*j->once_key)
		headers[n++] = key;
	r->queue = p;
	g_strlcpy(r->job, j->id, sizeof(r->job));
	j->running = true;
	g_clear_pointer(&j->answer, g_free);
	c->jobs->running++;
	http_call_start(&c->http, &spec, &run_ops, r);
	g_free(url);
	g_free(proof);
	g_free(id);
	g_free(chat);
	g_free(key);
}

static void on_reappended_(void *arg, int err, uint64_t offset)
{
	(void)arg;
	(void)offset;
	if (err)
		counter_add(COUNTER_LOG_ERRORS, 1);
}

/* Appends an open job again before the log drops its record. */
static void reappend_if_old_(job_queue_t *p, job_t *j, mstime_t wall)
{
	control_t *c = p->control;
	mstime_t age = (mstime_t)((double)c->settings->log_retention_s *
				  MSEC_PER_SEC * REAPPEND_AGE_FRACTION);
	char *record;

	if (wall - j->recorded_at < age)
		return;
	j->recorded_at = wall;
	record = job_record(j);
	c->log.ops->append(&c->log, p->stream, str_of(record), on_reappended_,
			   c);
	g_free(record);
}

static void tick_queue_(job_queue_t *p, mstime_t now)
{
	control_t *c = p->control;
	GHashTableIter iter;
	gpointer value;

	read_stream_(p);
	g_hash_table_iter_init(&iter, p->jobs.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job_t *j = value;

		if (j->done)
			continue;
		reappend_if_old_(p, j, clock_wall());
		if (j->running || now < j->next_attempt ||
		    c->jobs->running >= RUNNING_MAX)
			continue;
		start_run_(p, j, now);
	}
	job_expire(&p->jobs,
		   clock_wall() - c->settings->log_retention_s * MSEC_PER_SEC);
}

void jobs_tick(control_t *c, mstime_t now)
{
	for (int i = 0; i < JOB_PARTITIONS; i++) {
		job_queue_t *p = &c->jobs->queues[i];
		const char *owner = partition_owner_(c, i);
		bool owned = owner && !strcmp(owner, c->settings->name->str);

		if (owned && !p->owned)
			p->next_read = 0;
		p->owned = owned;
		if (owned && c->phase == PHASE_READY)
			tick_queue_(p, now);
	}
}
