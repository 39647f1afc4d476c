/*
 * relay - the task that serves callers and calls upstreams and other nodes.
 *
 * It owns these connections and the exchanges. Decisions are made by the
 * control task, with which it communicates by messages only.
 */
#ifndef KCF_PRIVATE_RELAY_H
#define KCF_PRIVATE_RELAY_H

#include "messages.h"
#include <kcf/http_client.h>
#include <kcf/http_server.h>
#include <kcf/settings.h>
#include <kcf/task.h>

typedef struct relay {
	task_t task;
	task_t *control;
	const settings_t *settings;
	http_server_t callers;
	http_client_t upstreams;
	view_t *view;
	roster_t *roster;
	node_phase_t phase;
	GHashTable *exchanges; /* id to exchange_t * */
	uint64_t next_id;
	uint64_t incarnation;
	double retry_budget; /* retries that are allowed at present */
	ev_timer sweep;	     /* calls exchange_check_timeouts */
	char *tls_cert;	     /* PEM text, or NULL */
	char *tls_key;
} relay_t;

/*
 * relay_init - initialises the task without starting it.
 * @r: caller-owned memory, kept in place until relay_finish
 * @settings: kept until relay_finish
 * @control: task that receives the relay's messages
 * @incarnation: of this node, for the keys that it issues
 */
void relay_init(relay_t *r, const settings_t *settings, task_t *control,
		uint64_t incarnation);

/*
 * relay_start - listens for callers and runs the task's thread.
 *
 * Return: false when certificate, key or address cannot be used.
 */
bool relay_start(relay_t *r);

/*
 * relay_stop - ends the task; open connections are closed.
 */
void relay_stop(relay_t *r);

/*
 * relay_finish - releases what a stopped task holds.
 */
void relay_finish(relay_t *r);

/*
 * relay_post - posts a message to the relay; may be called on any thread.
 */
void relay_post(relay_t *r, message_t *m);

#endif
