/*
 * relay - the task that owns the callers' and the upstreams' connections.
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
	double retry_budget; /* retries that may be made now */
	ev_timer sweep;
	char *tls_cert; /* PEM text, or NULL */
	char *tls_key;
} relay_t;

/*
 * relay_init - prepares the task.
 * @r:       caller-owned memory
 * @control: task that gets the relay's messages
 */
void relay_init(relay_t *r, const settings_t *settings, task_t *control,
		uint64_t incarnation);
bool relay_start(relay_t *r);

/*
 * relay_stop - ends the task; open connections are closed.
 */
void relay_stop(relay_t *r);
void relay_finish(relay_t *r);

/*
 * relay_post - puts a message into the relay's mailbox.
 */
void relay_post(relay_t *r, message_t *m);

#endif
