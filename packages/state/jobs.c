#include <kcf/jobs.h>
#include <kcf/json_text.h>

#include <assert.h>
#include <string.h>

#define RECORD_FORMAT 1

static void job_free_(gpointer p)
{
	job_t *j = p;

	g_free(j->id);
	g_free(j->customer);
	g_free(j->method);
	g_free(j->path);
	g_free(j->body);
	g_free(j->chat);
	g_free(j->once_key);
	g_free(j->answer);
	g_free(j);
}

void job_stream_init(job_stream_t *s)
{
	assert(s);
	s->next_offset = 1;
	s->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free_);
}

void job_stream_finish(job_stream_t *s)
{
	g_hash_table_destroy(s->jobs);
}

int job_partition(const char *id)
{
	return (int)(str_hash64(str_of(id), 0) % JOB_PARTITIONS);
}

char *job_record(const job_t *j)
{
	return json_text(json_pack("{s:i,s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s}", "v",
				   RECORD_FORMAT, "type", "job", "id", j->id,
				   "customer", j->customer, "method", j->method,
				   "path", j->path, "body", j->body, "chat",
				   j->chat, "once_key", j->once_key));
}

char *job_done_record(const job_t *j, int status, str_t answer)
{
	json_t *o = json_pack("{s:i,s:s,s:s,s:s,s:i}", "v", RECORD_FORMAT,
			      "type", "done", "id", j->id, "customer",
			      j->customer, "status", status);

	if (answer.len <= JOB_ANSWER_MAX)
		json_object_set_new(o, "answer",
				    json_stringn(answer.data ? answer.data : "",
						 answer.len));
	return json_text(o);
}

static job_t *new_job_(const json_t *o, const char *id, const char *customer)
{
	const char *method;
	const char *path;
	const char *body;
	const char *chat;
	const char *once_key;
	job_t *j;

	if (json_unpack((json_t *)o, "{s:s,s:s,s:s,s:s,s:s}", "method", &method,
			"path", &path, "body", &body, "chat", &chat, "once_key",
			&once_key) != 0)
		return NULL;
	j = g_new0(job_t, 1);
	j->id = g_strdup(id);
	j->customer = g_strdup(customer);
	j->method = g_strdup(method);
	j->path = g_strdup(path);
	j->body = g_strdup(body);
	j->chat = g_strdup(chat);
	j->once_key = g_strdup(once_key);
	return j;
}

/* The log may drop the record of a job before the record of its answer. */
static job_t *new_done_job_(const char *id, const char *customer)
{
	job_t *j = g_new0(job_t, 1);

	j->id = g_strdup(id);
	j->customer = g_strdup(customer);
	return j;
}

static void mark_done_(job_t *j, const json_t *o)
{
	const char *answer = json_string_value(json_object_get(o, "answer"));

	if (j->done)
		return;
	j->done = true;
	j->status = (int)json_integer_value(json_object_get(o, "status"));
	j->answer = g_strdup(answer);
}

void job_apply_record(job_stream_t *s, uint64_t offset, mstime_t wall,
		      str_t record)
{
	json_t *o;
	const char *type;
	const char *id;
	const char *customer;
	job_t *j;

	if (offset < s->next_offset)
		return;
	s->next_offset = offset + 1;
	o = json_loadb(record.data ? record.data : "", record.len, 0, NULL);
	if (json_unpack(o, "{s:s,s:s,s:s}", "type", &type, "id", &id,
			"customer", &customer) != 0) {
		json_decref(o);
		return;
	}
	j = g_hash_table_lookup(s->jobs, id);
	if (!j) {
		j = strcmp(type, "done") ? new_job_(o, id, customer)
					 : new_done_job_(id, customer);
		if (j)
			g_hash_table_insert(s->jobs, j->id, j);
	}
	if (j) {
		j->recorded_at = wall;
		if (!strcmp(type, "done"))
			mark_done_(j, o);
	}
	json_decref(o);
}

static gboolean is_expired_(gpointer key, gpointer value, gpointer data)
{
	const job_t *j = value;

	(void)key;
	return j->done && !j->running && j->recorded_at < *(mstime_t *)data;
}

void job_expire(job_stream_t *s, mstime_t before)
{
	g_hash_table_foreach_remove(s->jobs, is_expired_, &before);
}
