/*
 * gateway - a node that sends callers' requests directly to upstreams.
 *
 * One libev loop owns all sockets and all state. Configuration and upstreams
 * come from the platform's feeds, or from other nodes while the platform does
 * not respond. Requests, responses and feeds are encoded and decoded by a
 * protocol_ops_t.
 */
#ifndef KCF_GATEWAY_H
#define KCF_GATEWAY_H

#include <kcf/coalesce.h>
#include <kcf/placement.h>
#include <kcf/retry_budget.h>
#include <kcf/rollout.h>
#include <kcf/settings.h>
#include <kcf/protocol.h>

/* Settings of a gateway; the strings belong to json. */
typedef struct gateway_conf {
	json_t *json;
	const char *name;
	const char *data_centre;
	const char *region;
	const char *callers; /* ip:port of each interface */
	const char *readiness;
	const char *directory;
	const char *admin;
	const char *metrics;
	const char *peers;
	const char *store;
	unsigned char peer_key[PEER_KEY_BYTES];
	GPtrArray *seeds;	 /* char *, ip:port of nodes' datagrams */
	GPtrArray *seed_admins;	 /* parallel, of their operators' interfaces */
	mstime_t apply_limit_ms; /* for platform changes, on all nodes */
	mstime_t stop_limit_ms;	 /* from SIGTERM to the latest exit */
	mstime_t directory_ttl_max_ms;
	retry_budget_conf_t retries;
	rollout_bounds_t rollouts; /* no roll-outs if share is 0 */
	placement_t placement;
	bool admission; /* late requests are rejected where a pace is reported
			 */
	coalesce_conf_t coalesce;
	int log_level;
	int64_t max_body;   /* bytes */
	int64_t max_header; /* bytes */
	int64_t max_connections;
	int64_t memory; /* bytes that the node may use, 0 if unknown */
} gateway_conf_t;

/*
 * gateway_conf_load - reads and checks a settings file.
 * @faults: receives one message for each fault
 *
 * Return: SETTINGS_OK or a negative settings_err_t.
 */
int gateway_conf_load(gateway_conf_t *c, const char *file, GPtrArray *faults);
void gateway_conf_finish(gateway_conf_t *c);

/*
 * gateway_serve - runs a gateway until SIGTERM or SIGINT.
 * @file: settings file, read again on SIGHUP
 *
 * Return: true after a graceful stop, false if it could not start.
 */
bool gateway_serve(gateway_conf_t *conf, const char *file,
		   const protocol_ops_t *protocol,
		   const feed_client_ops_t *feed_ops);

#endif
