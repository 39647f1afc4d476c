/*
 * served_engine - an engine: slots, a queue before them, and a cache.
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
	balance_upstream_t *upstream; /* as the node knows it */
} served_request_t;

typedef struct served_engine {
	int data_centre;
	int slots;
	int running;
	GQueue queue; /* served_request_t * */
	lru_t cache;
} served_engine_t;

/*
 * served_engine_init - an empty engine.
 * @prompts: that its cache holds
 */
void served_engine_init(served_engine_t *e, int data_centre, int slots,
			int prompts);
void served_engine_finish(served_engine_t *e);

/*
 * served_engine_load - outstanding requests, those that wait included.
 */
int served_engine_load(const served_engine_t *e);

/*
 * served_engine_submit - takes a request.
 *
 * Return: whether it runs at once; else it waits for a slot.
 */
bool served_engine_submit(served_engine_t *e, served_request_t *r,
			  mstime_t now);

/*
 * served_engine_complete - a running request has ended.
 *
 * Return: the next one, which runs now, or NULL.
 */
served_request_t *served_engine_complete(served_engine_t *e, mstime_t now);

#endif
