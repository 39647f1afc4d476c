/*
 * standin - small processes that stand for upstreams and the platform.
 *
 * Each mode is a table of functions over one HTTP server. Faults are set with
 * POST /fault and counts are read with GET /stats.
 */
#ifndef KCF_STANDIN_H
#define KCF_STANDIN_H

#include <ev.h>
#include <jansson.h>
#include <kcf/http_server.h>

typedef struct standin_options {
	const char *listen;
	const char *name;
	int prefill_tps; /* prompt tokens a second */
	int token_ms;	 /* between two tokens */
	int cache_tokens;
	int lag_ms;	  /* of load reports */
	int delay_ms;	  /* of a plain service's answer */
	int retention_ms; /* of the log; 0 for ever */
	int rate;	  /* appends or loads a second; 0 for no limit */
} standin_options_t;

typedef struct standin_ops {
	const char *mode;
	void (*init)(struct ev_loop *loop, const standin_options_t *o);
	void (*request)(http_request_t *r);
	/* A request is over, answered or not. */
	void (*closed)(http_request_t *r, bool whole);
	/* Switches of POST /fault; unknown ones are ignored. */
	void (*fault)(const json_t *switches);
	json_t *(*stats)(void);
} standin_ops_t;

extern const standin_ops_t engine_ops;
extern const standin_ops_t service_ops;
extern const standin_ops_t log_ops;
extern const standin_ops_t hosts_ops;
extern const standin_ops_t weights_ops;
extern const standin_ops_t store_ops;

void standin_json(http_request_t *r, unsigned int status, json_t *body);
/* Integer or boolean switch, as a number; keeps the value when absent. */
void standin_switch(const json_t *switches, const char *name, int *value);

#endif
