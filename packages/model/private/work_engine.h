/*
 * work_engine - simulates an engine in steps: each yields one output token for
 * every running request and prefills one chunk of the first waiting prompt.
 */
#ifndef KCF_PRIVATE_WORK_ENGINE_H
#define KCF_PRIVATE_WORK_ENGINE_H

#include <kcf/balance.h>
#include <kcf/lru.h>
#include <kcf/work_model.h>

typedef struct work_engine work_engine_t;

typedef struct work_job {
	int node;
	int engine;
	work_kind_t kind;
	uint64_t prompt;
	work_tokens_t tokens;
	int output; /* real number of output tokens */
	double arrived_at;
	const work_engine_t *copy_source; /* or NULL */
	double ready_at;		  /* end of the copy */
	bool looked_up;			  /* its shared part, in the cache */
	double started_at;		  /* its prefill */
	double left;			  /* tokens to prefill */
	int produced;			  /* output tokens */
	bool measured;
	balance_upstream_t *upstream; /* in the node's balance_t */
	work_request_t work;
	bool answered; /* the first output has come */
	mstime_t sent_at;
} work_job_t;

/* What a step has brought. */
typedef struct work_step_ops {
	void (*started)(void *ctx, work_job_t *job);
	void (*first_output)(void *ctx, work_job_t *job);
	void (*ended)(void *ctx, work_job_t *job);
	/* The shared part is not in the cache of the engine. */
	void (*missed)(void *ctx, work_engine_t *e, work_job_t *job);
	/* It is copied from another engine. */
	void (*copied)(void *ctx, work_job_t *job);
} work_step_ops_t;

struct work_engine {
	const work_conf_t *conf;
	GQueue prefill;	    /* work_job_t *, in the order of arrival */
	GPtrArray *running; /* work_job_t *, that produce output */
	lru_t cache;
	int held; /* tokens of open requests that are not cached */
	int pace;
	bool stepping;	       /* a step is under way */
	double chunk;	       /* that it prefills */
	work_job_t *chunk_job; /* of this request */
};

void work_engine_init(work_engine_t *e, const work_conf_t *conf);
void work_engine_finish(work_engine_t *e);

/* Requests that it has, running and waiting. */
int work_engine_load(const work_engine_t *e);

bool work_engine_has_cached(const work_engine_t *e, uint64_t prompt);

/*
 * work_engine_submit - adds a request.
 */
void work_engine_submit(work_engine_t *e, work_job_t *job);

/*
 * work_engine_begin_step - begins a step if there is something to do.
 *
 * Return: its end, 0 when the engine is idle, or below 0 the negated time at
 * which a copy ends, before which there is nothing to do.
 */
double work_engine_begin_step(work_engine_t *e, double now,
			      const work_step_ops_t *ops, void *ctx);

/*
 * work_engine_end_step - ends the step that was begun.
 */
void work_engine_end_step(work_engine_t *e, double now,
			  const work_step_ops_t *ops, void *ctx);

#endif
