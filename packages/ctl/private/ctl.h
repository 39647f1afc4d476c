/*
 * ctl - what the commands of kcfctl share.
 */
#ifndef KCF_PRIVATE_CTL_H
#define KCF_PRIVATE_CTL_H

#include <glib.h>
#include <jansson.h>
#include <kcf/http_client.h>

/* Exit status of kcfctl. */
typedef enum ctl_exit {
	CTL_FINE = 0,
	CTL_FAILED = 1, /* refused, or an answer that makes no sense */
	CTL_USAGE = 2,
	CTL_NOT_FOUND = 3,
	CTL_CONFLICT = 4, /* another change came first */
	CTL_UNREACHABLE = 5,
} ctl_exit_t;

typedef struct ctl {
	char *operators; /* ip:port of a node's operators' interface */
	char *callers;	 /* ip:port of a node's callers' interface */
	char *key;	 /* bearer key */
	char *reason;	 /* of a change, for the audit trail */
	bool json;	 /* print JSON in place of tables */
	struct ev_loop *loop;
	http_client_t http;
} ctl_t;

/* One answer. */
typedef struct ctl_reply {
	int err; /* http_err_t */
	int status;
	GString *body;
	GString *etag;
	GString *request_id;
	bool done;
} ctl_reply_t;

void ctl_reply_init(ctl_reply_t *r);
void ctl_reply_finish(ctl_reply_t *r);

/*
 * ctl_call - one call, waited for.
 * @address: ip:port
 * @headers: further header lines, NULL at the end, or NULL
 * @stream:  called for each piece of the body, or NULL to collect it
 */
void ctl_call(ctl_t *c, const char *address, const char *method,
	      const char *path, const char *const *headers, str_t body,
	      void (*stream)(str_t data), ctl_reply_t *reply);

/*
 * ctl_complain - prints what went wrong with a call.
 *
 * Return: the exit status that tells it; CTL_FINE when nothing did.
 */
ctl_exit_t ctl_complain(const ctl_reply_t *r, const char *what);

/*
 * ctl_print - prints an answer as JSON, or its items as a table.
 * @columns: names of fields, NULL at the end
 */
void ctl_print(const ctl_t *c, const ctl_reply_t *r,
	       const char *const *columns);

/*
 * ctl_options - reads the options of a command; complains of unknown ones.
 * @command: its name
 * @entries: ended by an empty one
 * @word:    receives the first argument that is no option, or NULL
 *
 * Return: false when they cannot be read.
 */
bool ctl_options(const char *command, const GOptionEntry *entries, int argc,
		 char **argv, const char **word);

/* The commands. */
ctl_exit_t cmd_get(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_apply(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_delete(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_watch(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_status(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_audit(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_explain(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_nodes(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_upstreams(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_holds(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_rollouts(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_where(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_send(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_load(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_experiment(ctl_t *c, int argc, char **argv);
ctl_exit_t cmd_peak(ctl_t *c, int argc, char **argv);

#endif
