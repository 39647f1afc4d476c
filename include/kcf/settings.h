/*
 * settings - the TOML file of one node, read into checked typed values.
 */
#ifndef KCF_SETTINGS_H
#define KCF_SETTINGS_H

#include <glib.h>
#include <jansson.h>
#include <kcf/schema.h>
#include <kcf/str.h>

typedef enum settings_err {
	SETTINGS_OK = 0,
	SETTINGS_EREAD = -1,
	SETTINGS_ESYNTAX = -2,
	SETTINGS_EFAULTS = -3,
} settings_err_t;

/* Parallel to settings_err_t, indexed by the negated error. */
extern const char *const settings_err_string[];

#define PEER_KEY_BYTES 32

typedef struct settings {
	GString *name;
	GString *data_centre;
	GString *region;
	GString *caller_listen;
	int64_t caller_max_body;   /* bytes */
	int64_t caller_max_header; /* bytes */
	int64_t caller_max_connections;
	int64_t caller_idle_timeout_s;
	int64_t caller_heartbeat_ms;
	GString *caller_tls_cert; /* file names; empty for plain TCP */
	GString *caller_tls_key;
	GString *tls_ca; /* that signs the nodes' certificates */
	GString *operator_listen;
	GString *operator_tls_cert;
	GString *operator_tls_key;
	GPtrArray *operator_names;  /* char *, parallel to operator_hashes */
	GPtrArray *operator_hashes; /* char *, SHA-256 in hexadecimal */
	GString *peer_listen;
	unsigned char peer_key[PEER_KEY_BYTES];
	int64_t peer_budget;   /* bytes a second */
	GPtrArray *peer_seeds; /* char *, ip:port */
	GString *log_url;
	GString *host_list_url;
	GString *weight_store_url;
	int64_t log_retention_s;
	int64_t drain_s;
	int log_level; /* syslog severity */
} settings_t;

/*
 * settings_init - gives every value its default.
 * @s: caller-owned memory
 */
void settings_init(settings_t *s);

/*
 * settings_finish - releases the values.
 */
void settings_finish(settings_t *s);

/*
 * settings_parse - reads a TOML text.
 * @s:      initialised settings; unchanged when the text has a fault
 * @faults: receives one text a fault, each with its line: char *, to be
 *          freed by the array
 *
 * Return: SETTINGS_OK or a negative settings_err_t.
 */
int settings_parse(settings_t *s, str_t text, GPtrArray *faults);

/*
 * settings_load - reads a TOML file; see settings_parse.
 */
int settings_load(settings_t *s, const char *file, GPtrArray *faults);

/*
 * settings_caller_scheme, settings_operator_scheme - "http", or "https" when
 * the settings give a certificate.
 */
const char *settings_caller_scheme(const settings_t *s);
const char *settings_operator_scheme(const settings_t *s);

/*
 * settings_read_key - reads a key of peers from its hexadecimal digits.
 * @out: PEER_KEY_BYTES bytes
 * @hex: checked, two digits a byte
 */
void settings_read_key(unsigned char *out, const char *hex);

/* Looks for faults that no table of fields describes. */
typedef void (*settings_check_fn)(const json_t *root, GPtrArray *found);

/*
 * settings_check - reads a TOML text and checks it against a table of fields.
 * @more:   further checks, or NULL
 * @faults: receives one text a fault, as in settings_parse
 * @err:    receives SETTINGS_OK or a negative settings_err_t
 *
 * Return: a new reference, or NULL when there is a fault.
 */
json_t *settings_check(str_t text, const schema_field_t *fields,
		       settings_check_fn more, GPtrArray *faults, int *err);

/*
 * settings_toml_to_json - turns any TOML text into a JSON tree.
 * @faults: receives the syntax fault, if there is one
 *
 * Return: a new reference, or NULL.
 */
json_t *settings_toml_to_json(str_t text, GPtrArray *faults);

#endif
