/*
 * load - a workload of returning chats: its options, its state, its report.
 */
#ifndef KCF_PRIVATE_LOAD_H
#define KCF_PRIVATE_LOAD_H

#include "ctl.h"
#include "samples.h"

#include <ev.h>
#include <glib.h>

#define KEYS_MAX 64
#define ADDRESSES_MAX 4

typedef struct load_options {
	char *model;
	char *service;
	char *keys;  /* comma-separated key[=share] */
	char *surge; /* key index:factor:from_ms:to_ms */
	char *direct;
	char *once_path;
	double rate;
	double once_share;
	int duration_ms;
	int warmup_ms; /* answers before this do not count */
	int chats;
	int prompt_bytes;
	int max_tokens;
	int deadline_ms;
	int seed;
	gboolean stream;
	gboolean any; /* use any node, without asking where */
	char *plot;   /* file of the picture */
} load_options_t;

typedef struct customer_load {
	char *key;
	double share;
	samples_t total_ms;
	int64_t ok;
	int64_t refused;
} customer_load_t;

typedef struct chat_load {
	char *id;
	int turns;
	int customer;
	bool busy;
	char *addresses[ADDRESSES_MAX]; /* of the last answer of where */
	int address;			/* index of the one in use */
	char *upstream;			/* that answered last */
	int64_t start_id;		/* of that upstream then */
	int64_t prompt;			/* tokens that it then held */
	mstime_t valid_until;
} chat_load_t;

/* The end of one request, for the picture. */
typedef struct load_point {
	double at_s; /* after the start */
	double total_ms;
	bool ok;
} load_point_t;

typedef struct load {
	ctl_t *ctl;
	load_options_t o;
	GRand *rand;
	customer_load_t customers[KEYS_MAX];
	int customer_count;
	double share_sum;
	chat_load_t *chats;
	mstime_t started;
	mstime_t ends;
	int open;
	int64_t sent;
	int64_t ok;
	int64_t once_sent;
	int64_t again;	 /* tries at another node */
	int64_t skipped; /* arrivals without a free chat */
	int64_t prompt;
	int64_t cached;
	int64_t ideal; /* cached tokens, had each chat gone to its last engine
			*/
	GHashTable *starts; /* upstream to its newest start id */
	samples_t total_ms;
	samples_t first_ms;
	char *slowest; /* request id of the slowest answer */
	double slowest_ms;
	GHashTable *reasons;
	GHashTable *upstreams;
	GArray *timeline; /* load_point_t */
	ev_timer arrival;
} load_t;

/*
 * load_options_parse - reads the arguments after "load"; complains on standard
 * error.
 *
 * Return: false when they are unusable.
 */
bool load_options_parse(load_options_t *o, int argc, char **argv);

/*
 * load_options_customers - makes the customers of the keys given.
 *
 * Return: false when there is none.
 */
bool load_options_customers(load_t *l);

/*
 * load_report - what was measured; a new reference.
 */
json_t *load_report(load_t *l);

/*
 * load_plot - writes latencies and answers over time as a PNG picture.
 *
 * Return: false when the file cannot be written; complains on standard error.
 */
bool load_plot(const load_t *l, const char *path);

#endif
