#include "private/work_engine.h"

#include <assert.h>

/* Longer than a simulation: parts leave the cache only by eviction. */
#define CACHE_IDLE_MS (24 * 3600 * MSEC_PER_SEC)

void work_engine_init(work_engine_t *e, const work_conf_t *conf)
{
	assert(e && conf);
	*e = (work_engine_t){ .conf = conf, .pace = WORK_PACE_NORMAL };
	g_queue_init(&e->prefill);
	e->running = g_ptr_array_new();
	lru_init(&e->cache, conf->cache_tokens, CACHE_IDLE_MS);
}

void work_engine_finish(work_engine_t *e)
{
	g_queue_clear(&e->prefill);
	g_ptr_array_unref(e->running);
	lru_finish(&e->cache);
}

int work_engine_load(const work_engine_t *e)
{
	return (int)(e->prefill.length + e->running->len);
}

bool work_engine_has_cached(const work_engine_t *e, uint64_t prompt)
{
	return lru_get(&e->cache, 0, prompt) != NULL;
}

/* Cached parts yield to the tokens of open requests. */
static void hold_(work_engine_t *e, int tokens)
{
	e->held += tokens;
	lru_set_weight_max(&e->cache, MAX(1, e->conf->cache_tokens - e->held));
}

static int held_(const work_job_t *job)
{
	return job->tokens.own + job->output;
}

void work_engine_submit(work_engine_t *e, work_job_t *job)
{
	job->left = job->tokens.own;
	hold_(e, held_(job));
	g_queue_push_tail(&e->prefill, job);
}

/*
 * The prompt's shared part is looked up when its turn comes: another request
 * may have brought it by then.
 */
static bool look_up_(work_engine_t *e, work_job_t *job, double now,
		     const work_step_ops_t *ops, void *ctx)
{
	const work_conf_t *c = e->conf;

	if (job->looked_up)
		return now >= job->ready_at;
	job->looked_up = true;
	if (work_engine_has_cached(e, job->prompt))
		return true;
	if (job->copy_source &&
	    work_engine_has_cached(job->copy_source, job->prompt)) {
		job->ready_at = now + c->copy_setup_ms +
				job->tokens.shared / c->copy_tokens_per_ms;
		ops->copied(ctx, job);
		return false;
	}
	job->left += job->tokens.shared;
	ops->missed(ctx, e, job);
	return true;
}

/* The first request in the queue that has a slot and no copy under way. */
static work_job_t *next_prefill_(work_engine_t *e, double now,
				 const work_step_ops_t *ops, void *ctx,
				 double *ready_at)
{
	int slots = e->conf->slots - (int)e->running->len;

	*ready_at = 0;
	for (GList *l = e->prefill.head; l && slots > 0; l = l->next, slots--) {
		work_job_t *job = l->data;

		if (look_up_(e, job, now, ops, ctx))
			return job;
		if (!*ready_at || job->ready_at < *ready_at)
			*ready_at = job->ready_at;
	}
	return NULL;
}

double work_engine_begin_step(work_engine_t *e, double now,
			      const work_step_ops_t *ops, void *ctx)
{
	const work_conf_t *c = e->conf;
	double ready_at;
	double ms;

	assert(!e->stepping);
	e->chunk = 0;
	e->chunk_job = next_prefill_(e, now, ops, ctx, &ready_at);
	if (!e->chunk_job && !e->running->len)
		return -ready_at;
	if (e->chunk_job) {
		if (!e->chunk_job->started_at) {
			e->chunk_job->started_at = now;
			ops->started(ctx, e->chunk_job);
		}
		e->chunk = MIN(e->chunk_job->left, c->chunk_tokens);
	}
	ms = c->step_ms + c->step_slot_ms * e->running->len +
	     e->chunk / c->tokens_per_ms;
	e->stepping = true;
	return now + ms * e->pace / WORK_PACE_NORMAL;
}

static void produce_(work_engine_t *e, const work_step_ops_t *ops, void *ctx)
{
	for (guint i = e->running->len; i-- > 0;) {
		work_job_t *job = e->running->pdata[i];

		job->produced++;
		if (job->produced ==
		    MIN(job->output, e->conf->tokens_per_event))
			ops->first_output(ctx, job);
		if (job->produced < job->output)
			continue;
		g_ptr_array_remove_index_fast(e->running, i);
		hold_(e, -held_(job));
		ops->ended(ctx, job);
	}
}

void work_engine_end_step(work_engine_t *e, double now,
			  const work_step_ops_t *ops, void *ctx)
{
	work_job_t *job = e->chunk_job;

	assert(e->stepping);
	e->stepping = false;
	produce_(e, ops, ctx);
	if (!job)
		return;
	job->left -= e->chunk;
	if (job->left > 0)
		return;
	g_queue_remove(&e->prefill, job);
	lru_put(&e->cache, (mstime_t)now, job->prompt, 0, job->tokens.shared);
	g_ptr_array_add(e->running, job);
}
