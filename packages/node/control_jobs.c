/*
 * Deferred jobs. Any node puts a job into the log; the node that holds the
 * job's partition runs it through its own callers' interface, as background
 * work, until an answer is final, and records the answer.
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
#define RETRY_MS 2000
/* Open jobs are recorded again at this share of the retention. */
#define KEEP_AGE_SHARE 0.4
/* Ranks partitions of jobs apart from those of run-once keys. */
#define RANK_BASE 0x6a6f6273u

typedef struct job_part {
	control_t *control;
	char stream[16];
	job_stream_t jobs;
	bool held;
	bool reading;
	mstime_t next_read;
	GPtrArray *questions; /* job_query_t * that wait for a read */
} job_part_t;

typedef struct job_executor {
	job_part_t parts[JOB_PARTITIONS];
	int running;
} job_executor_t;

typedef struct submit {
	control_t *control;
	uint64_t id;
	char job[JOB_ID_MAX];
	char *record;
	mstime_t deadline;
} submit_t;

typedef struct run {
	job_part_t *part;
	char job[JOB_ID_MAX];
} run_t;

typedef struct done_append {
	job_part_t *part;
	char job[JOB_ID_MAX];
	char *record;
} done_append_t;

static void read_(job_part_t *p);
static void append_done_(done_append_t *d);

void jobs_start(control_t *c)
{
	job_executor_t *b = g_new0(job_executor_t, 1);

	c->jobs = b;
	for (int i = 0; i < JOB_PARTITIONS; i++) {
		job_part_t *p = &b->parts[i];

		p->control = c;
		snprintf(p->stream, sizeof(p->stream), "jobs-%d", i);
		job_stream_init(&p->jobs);
		p->questions = g_ptr_array_new_with_free_func(g_free);
	}
}

void jobs_stop(control_t *c)
{
	for (int i = 0; i < JOB_PARTITIONS; i++) {
		job_stream_finish(&c->jobs->parts[i].jobs);
		g_ptr_array_unref(c->jobs->parts[i].questions);
	}
	g_free(c->jobs);
	c->jobs = NULL;
}

static const char *holder_(const control_t *c, int partition)
{
	return sched_node_for(&c->sched, RANK_BASE + (uint64_t)partition);
}

static void reply_(control_t *c, uint64_t id, unsigned int status,
		   const char *text)
{
	message_t *m = message_new(MSG_JOB_ANSWER);

	m->job_reply.id = id;
	m->job_reply.status = status;
	m->job_reply.body = g_bytes_new(text, strlen(text));
	relay_post(c->relay, m);
}

static void submit_(submit_t *s);

static void on_submitted_(void *arg, int err, uint64_t offset)
{
	submit_t *s = arg;
	control_t *c = s->control;
	char text[160];

	(void)offset;
	if (err == LOG_EUNKNOWN && clock_now() < s->deadline) {
		/* The same job twice in the stream is one job. */
		submit_(s);
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

static void submit_(submit_t *s)
{
	control_t *c = s->control;
	job_part_t *p = &c->jobs->parts[job_partition(s->job)];

	c->log.ops->append(&c->log, p->stream, str_of(s->record), on_submitted_,
			   s);
}

void jobs_submit(control_t *c, const job_submit_t *q)
{
	submit_t *s = g_new0(submit_t, 1);
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
	submit_(s);
}

static void answer_question_(control_t *c, const job_query_t *q)
{
	job_part_t *p = &c->jobs->parts[job_partition(q->job)];
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
	job_part_t *p = &c->jobs->parts[partition];
	const char *holder = holder_(c, partition);
	message_t *m;

	if (!q->answer_here && holder &&
	    strcmp(holder, c->settings->name->str) != 0) {
		m = message_new(MSG_JOB_ANSWER);
		m->job_reply.id = q->id;
		g_strlcpy(m->job_reply.node, holder, sizeof(m->job_reply.node));
		relay_post(c->relay, m);
		return;
	}
	/* Another node may have put the job into the stream just now. */
	g_ptr_array_add(p->questions, g_memdup2(q, sizeof(*q)));
	p->next_read = 0;
	read_(p);
}

static void answer_questions_(job_part_t *p)
{
	for (guint i = 0; i < p->questions->len; i++)
		answer_question_(p->control, p->questions->pdata[i]);
	g_ptr_array_set_size(p->questions, 0);
}

static void on_read_(void *arg, int err, const log_batch_t *batch)
{
	job_part_t *p = arg;

	if (!p->control->jobs)
		return;
	p->reading = false;
	if (err) {
		p->next_read = clock_now() + READ_RETRY_MS;
		answer_questions_(p);
		return;
	}
	for (size_t i = 0; i < batch->count; i++)
		job_apply_record(&p->jobs, batch->records[i].offset,
				 batch->records[i].at, batch->records[i].body);
	p->jobs.next_offset = MAX(p->jobs.next_offset, batch->first);
	if (p->jobs.next_offset < batch->next) {
		read_(p);
		return;
	}
	p->next_read = clock_now() + READ_INTERVAL_MS;
	answer_questions_(p);
}

static void read_(job_part_t *p)
{
	control_t *c = p->control;

	if (p->reading || clock_now() < p->next_read)
		return;
	p->reading = true;
	c->log.ops->read(&c->log, p->stream, p->jobs.next_offset, 0, on_read_,
			 p);
}

static void on_recorded_(void *arg, int err, uint64_t offset)
{
	done_append_t *d = arg;
	job_t *j;

	(void)offset;
	if (!d->part->control->jobs)
		return;
	j = g_hash_table_lookup(d->part->jobs.jobs, d->job);
	if (err && j && !j->done) {
		/* Only the record is missing; tried again with the next tick.
		 */
		j->running = false;
		j->next_attempt = clock_now() + RETRY_MS;
	} else if (j) {
		j->running = false;
		j->done = true;
		d->part->next_read = 0;
	}
	g_free(d->record);
	g_free(d);
}

static void append_done_(done_append_t *d)
{
	control_t *c = d->part->control;

	c->log.ops->append(&c->log, d->part->stream, str_of(d->record),
			   on_recorded_, d);
}

/* Final is what another try would not change. */
static bool final_(int err, int status)
{
	if (err)
		return false;
	return status != 401 && status != 409 && status != 429 && status < 500;
}

static void on_ran_(void *ctx, http_call_t *call, int err, int status)
{
	run_t *r = ctx;
	job_part_t *p = r->part;
	job_t *j = g_hash_table_lookup(p->jobs.jobs, r->job);
	str_t body = http_call_body(call);
	done_append_t *d;

	p->control->jobs->running--;
	LOG_EVENT(LOG_INFO, "job.ran", F_STR("job", r->job),
		  F_INT("status", status), F_INT("err", err));
	if (j && final_(err, status)) {
		d = g_new0(done_append_t, 1);
		d->part = p;
		g_strlcpy(d->job, r->job, sizeof(d->job));
		d->record = job_done_record(j, status, body);
		j->status = status;
		j->answer = body.len <= JOB_ANSWER_MAX ? str_dup(body) : NULL;
		append_done_(d);
	} else if (j) {
		j->running = false;
		j->next_attempt = clock_now() + RETRY_MS;
	}
	g_free(r);
}

static const http_call_ops_t run_ops = { .done = on_ran_ };

static void run_(job_part_t *p, job_t *j, mstime_t now)
{
	control_t *c = p->control;
	run_t *r = g_new0(run_t, 1);
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
	r->part = p;
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

static void on_kept_(void *arg, int err, uint64_t offset)
{
	(void)arg;
	(void)offset;
	if (err)
		counter_add(COUNTER_LOG_ERRORS, 1);
}

/* Keeps an open job in the stream beyond the retention. */
static void keep_(job_part_t *p, job_t *j, mstime_t wall)
{
	control_t *c = p->control;
	mstime_t age = (mstime_t)((double)c->settings->log_retention_s *
				  MSEC_PER_SEC * KEEP_AGE_SHARE);
	char *record;

	if (wall - j->recorded_at < age)
		return;
	j->recorded_at = wall;
	record = job_record(j);
	c->log.ops->append(&c->log, p->stream, str_of(record), on_kept_, c);
	g_free(record);
}

static void tick_part_(job_part_t *p, mstime_t now)
{
	control_t *c = p->control;
	GHashTableIter iter;
	gpointer value;

	read_(p);
	g_hash_table_iter_init(&iter, p->jobs.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job_t *j = value;

		if (j->done)
			continue;
		keep_(p, j, clock_wall());
		if (j->running || now < j->next_attempt ||
		    c->jobs->running >= RUNNING_MAX)
			continue;
		run_(p, j, now);
	}
	job_expire(&p->jobs,
		   clock_wall() - c->settings->log_retention_s * MSEC_PER_SEC);
}

void jobs_tick(control_t *c, mstime_t now)
{
	for (int i = 0; i < JOB_PARTITIONS; i++) {
		job_part_t *p = &c->jobs->parts[i];
		const char *holder = holder_(c, i);
		bool held = holder && !strcmp(holder, c->settings->name->str);

		if (held && !p->held)
			p->next_read = 0;
		p->held = held;
		if (held && c->phase == PHASE_READY)
			tick_part_(p, now);
	}
}
