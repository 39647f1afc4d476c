/*
 * served_engine - simulates an engine: slots, a queue before them and a prompt
 * cache.
 */
#ifndef KCF_PRIVATE_SERVED_ENGINE_H
#define KCF_PRIVATE_SERVED_ENGINE_H

#include <kcf/balance.h>
#include <kcf/lru.h>

typedef struct served_request {
	int node;
	int engine;
	uint64_t prompt;
	mstime_t arrived_at;
	double work_ms;
	bool warm;
	struct served_engine *source; /* it is told to copy from, or NULL */
	bool copied;		      /* and that one had the prompt */
	balance_upstream_t *upstream; /* the engine, in the node's balance_t */
} served_request_t;

typedef struct served_engine {
	int data_centre;
	int slots;
	int running;
	GQueue queue; /* served_request_t * */
	lru_t cache;
} served_engine_t;

/*
 * served_engine_init - initialises an idle engine with an empty cache.
 * @prompts: capacity of the cache
 */
void served_engine_init(served_engine_t *e, int data_centre, int slots,
			int prompts);
void served_engine_finish(served_engine_t *e);

/*
 * served_engine_load - outstanding requests, running and queued.
 */
int served_engine_load(const served_engine_t *e);

/*
 * served_engine_read - the prompt of a request that has started is read until
 * a time, before which it cannot be copied.
 */
void served_engine_read(served_engine_t *e, const served_request_t *r,
			mstime_t until, mstime_t now);

/*
 * served_engine_has - whether a prompt can be copied from an engine.
 */
bool served_engine_has(const served_engine_t *e, uint64_t prompt, mstime_t now);

/*
 * served_engine_submit - starts a request or queues it until a slot is free.
 *
 * Return: whether it was started.
 */
bool served_engine_submit(served_engine_t *e, served_request_t *r,
			  mstime_t now);

/*
 * served_engine_complete - ends a running request and starts the next one in
 * the queue.
 *
 * Return: the request that was started, or NULL.
 */
served_request_t *served_engine_complete(served_engine_t *e, mstime_t now);

#endif
