/*
 * kcfctl - the operators' and callers' command line.
 */
#include "private/ctl.h"

#include <curl/curl.h>
#include <ev.h>
#include <stdio.h>
#include <string.h>

static const char version[] = "0.1.0";

typedef struct command {
	const char *name;
	ctl_exit_t (*run)(ctl_t *c, int argc, char **argv);
	bool operators; /* needs --operators */
	bool callers;	/* needs --callers */
	const char *help;
} command_t;

static const command_t commands[] = {
	{ "get", cmd_get, true, false, "show resources of a kind, or one" },
	{ "apply", cmd_apply, true, false, "create or change resources" },
	{ "delete", cmd_delete, true, false, "delete a resource" },
	{ "watch", cmd_watch, true, false, "follow changes of a kind" },
	{ "status", cmd_status, true, false, "on how many nodes in force" },
	{ "audit", cmd_audit, true, false, "who changed what, when and why" },
	{ "explain", cmd_explain, true, false, "how one request went" },
	{ "nodes", cmd_nodes, true, false, "nodes of the fleet" },
	{ "upstreams", cmd_upstreams, true, false, "loads as one node knows" },
	{ "holds", cmd_holds, true, false, "prompts that are held back" },
	{ "rollouts", cmd_rollouts, true, false,
	  "new versions as one node knows them" },
	{ "where", cmd_where, false, true, "which address to use" },
	{ "send", cmd_send, false, true, "send one chat request" },
	{ "load", cmd_load, false, true, "drive a workload and report" },
	{ "experiment", cmd_experiment, false, false,
	  "placements side by side in the model" },
	{ "peak", cmd_peak, false, false,
	  "a service of few slots in a peak, in the model" },
};

static ctl_t ctl;
static gchar *output;
static gchar *key_file;
static gchar *ca_file;

static const GOptionEntry entries[] = {
	{ "operators", 'o', 0, G_OPTION_ARG_STRING, &ctl.operators,
	  "Operators' address of any node (KCF_OPERATORS)", "IP:PORT" },
	{ "callers", 'c', 0, G_OPTION_ARG_STRING, &ctl.callers,
	  "Callers' address of any node (KCF_CALLERS)", "IP:PORT" },
	{ "key-file", 'k', 0, G_OPTION_ARG_FILENAME, &key_file,
	  "File with the bearer key (else KCF_KEY)", "FILE" },
	{ "ca-file", 0, 0, G_OPTION_ARG_FILENAME, &ca_file,
	  "Authority of https addresses", "FILE" },
	{ "reason", 'r', 0, G_OPTION_ARG_STRING, &ctl.reason,
	  "Reason of a change, for the audit trail", "TEXT" },
	{ "output", 0, 0, G_OPTION_ARG_STRING, &output, "table or json",
	  "FORMAT" },
	{ 0 },
};

static char *summary_(void)
{
	GString *text = g_string_new("Commands:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		g_string_append_printf(text, "  %-11s %s\n", commands[i].name,
				       commands[i].help);
	g_string_append(text, "  version     print the version\n");
	return g_string_free(text, FALSE);
}

static const command_t *find_(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	}
	return NULL;
}

static void default_from_(char **value, const char *variable)
{
	const char *text = g_getenv(variable);

	if (!*value && text)
		*value = g_strdup(text);
}

static bool take_key_(void)
{
	if (!key_file) {
		default_from_(&ctl.key, "KCF_KEY");
		return true;
	}
	if (!g_file_get_contents(key_file, &ctl.key, NULL, NULL)) {
		fprintf(stderr, "kcfctl: cannot read %s\n", key_file);
		return false;
	}
	g_strstrip(ctl.key);
	return true;
}

static bool take_options_(void)
{
	if (output && strcmp(output, "json") != 0 &&
	    strcmp(output, "table") != 0) {
		fprintf(stderr, "kcfctl: --output must be table or json\n");
		return false;
	}
	ctl.json = output && !strcmp(output, "json");
	default_from_(&ctl.operators, "KCF_OPERATORS");
	default_from_(&ctl.callers, "KCF_CALLERS");
	return take_key_();
}

static ctl_exit_t run_(const command_t *cmd, int argc, char **argv)
{
	ctl_exit_t status;

	if (cmd->operators && !ctl.operators) {
		fprintf(stderr, "kcfctl: --operators is required\n");
		return CTL_USAGE;
	}
	if (cmd->callers && !ctl.callers) {
		fprintf(stderr, "kcfctl: --callers is required\n");
		return CTL_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	ctl.loop = ev_default_loop(0);
	http_client_init(&ctl.http, ctl.loop);
	ctl.http.ca_file = ca_file;
	status = cmd->run(&ctl, argc, argv);
	http_client_finish(&ctl.http);
	curl_global_cleanup();
	return status;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("COMMAND [ARGUMENT...]");
	GError *error = NULL;
	char *summary = summary_();
	const command_t *cmd;
	int status = CTL_USAGE;

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	/* Options after the command belong to the command. */
	g_option_context_set_strict_posix(context, TRUE);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "kcfctl: %s\n", error->message);
		g_error_free(error);
	} else if (argc < 2) {
		fprintf(stderr, "%s", summary);
	} else if (!strcmp(argv[1], "version")) {
		printf("kcfctl %s\n", version);
		status = CTL_FINE;
	} else if (!(cmd = find_(argv[1]))) {
		fprintf(stderr, "kcfctl: unknown command %s\n", argv[1]);
	} else if (take_options_()) {
		status = (int)run_(cmd, argc - 2, argv + 2);
	}
	g_free(summary);
	g_free(ctl.key);
	g_option_context_free(context);
	return status;
}
