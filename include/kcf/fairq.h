/*
 * fairq - weighted fair queue by customer, then by urgency.
 *
 * Start-time fair queueing: the virtual time of a customer's flow advances by
 * 1/weight with each request that is dequeued, so that a burst of one customer
 * delays its own requests rather than those of others. Within a customer, lower
 * urgencies go first, and equal ones in order of arrival. Requests of urgency 7
 * wait until no other request is queued, whatever their customer.
 */
#ifndef KCF_FAIRQ_H
#define KCF_FAIRQ_H

#include <glib.h>
#include <kcf/clock.h>
#include <stdbool.h>

#define FAIRQ_URGENCIES 8
/* Urgency of background requests. */
#define FAIRQ_BACKGROUND 7

typedef struct fairq_item {
	uint64_t id;
	char *customer;
	double weight;
	int urgency;
	mstime_t queued_at;
	mstime_t deadline;
	void *user;
	GList link;
	struct fairq_flow *flow;
} fairq_item_t;

typedef struct fairq_flow {
	char *customer;
	double finish; /* virtual time from which its next request may start */
	GQueue items[FAIRQ_URGENCIES];
	guint length;
	uint64_t seq; /* decides between flows of equal virtual time */
} fairq_flow_t;

typedef struct fairq {
	GHashTable *flows; /* customer to fairq_flow_t *; none is empty */
	GHashTable *by_id; /* id to fairq_item_t * */
	double virtual_now;
	uint64_t next_seq;
} fairq_t;

void fairq_init(fairq_t *q);

/*
 * fairq_finish - frees the queue, which must be empty.
 */
void fairq_finish(fairq_t *q);

/*
 * fairq_push - queues a request.
 * @customer: copied
 * @urgency:  0 to 7
 * @user:     returned by fairq_pop and fairq_remove
 */
void fairq_push(fairq_t *q, uint64_t id, const char *customer, double weight,
		int urgency, mstime_t now, mstime_t deadline, void *user);

/*
 * fairq_pop - dequeues the next request.
 * @user: receives the pointer passed to fairq_push
 *
 * Return: false if the queue is empty.
 */
bool fairq_pop(fairq_t *q, uint64_t *id, void **user);

/*
 * fairq_peek - the request that fairq_pop would dequeue, or NULL.
 */
const fairq_item_t *fairq_peek(const fairq_t *q);

/*
 * fairq_remove - removes a request by id.
 *
 * Return: the pointer passed to fairq_push, or NULL if it is not queued.
 */
void *fairq_remove(fairq_t *q, uint64_t id);

/*
 * fairq_length - number of queued requests of all customers.
 */
guint fairq_length(const fairq_t *q);

/*
 * fairq_ahead - estimated number of requests that would be dequeued before a
 * new one of a customer.
 */
guint fairq_ahead(const fairq_t *q, const char *customer);

/*
 * fairq_foreach - calls fn for each queued request, in no particular order; fn
 * must not change the queue.
 */
void fairq_foreach(const fairq_t *q,
		   void (*fn)(void *arg, const fairq_item_t *item), void *arg);

#endif
