/*
 * kingcupforkd - one node of the fleet.
 */
#include "private/control.h"
#include "private/relay.h"

#include "../../platform/platform_protocol.h"

#include <curl/curl.h>
#include <kcf/gateway.h>
#include <kcf/logline.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>

#define EXIT_OK 0
#define EXIT_FAILED 1
#define EXIT_USAGE 2

static const char version[] = "0.1.0";

typedef struct process {
	settings_t settings;
	control_t control;
	relay_t relay;
	struct ev_loop *loop;
	ev_async stopped;
} process_t;

static gchar *config_file;
static gchar *gateway_file;
static gboolean check_only;
static gboolean show_version;

static const GOptionEntry options[] = {
	{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &config_file,
	  "Settings file of this node", "FILE" },
	{ "gateway", 'g', 0, G_OPTION_ARG_FILENAME, &gateway_file,
	  "Settings file of a gateway on the platform", "FILE" },
	{ "check", 0, 0, G_OPTION_ARG_NONE, &check_only,
	  "Check the settings file and exit", NULL },
	{ "version", 0, 0, G_OPTION_ARG_NONE, &show_version,
	  "Print the version and exit", NULL },
	{ 0 },
};

static bool parse_arguments_(int argc, char **argv)
{
	GOptionContext *context =
		g_option_context_new("- run a node of the fleet");
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, options, NULL);
	ok = g_option_context_parse(context, &argc, &argv, &error);
	if (!ok) {
		fprintf(stderr, "kingcupforkd: %s\n", error->message);
		g_error_free(error);
	} else if (argc > 1) {
		fprintf(stderr, "kingcupforkd: unexpected argument: %s\n",
			argv[1]);
		ok = false;
	} else if (!config_file == !gateway_file && !show_version) {
		fprintf(stderr, "kingcupforkd: exactly one of --config "
				"and --gateway is required\n");
		ok = false;
	}
	g_option_context_free(context);
	return ok;
}

static bool load_settings_(settings_t *s)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	int err = settings_load(s, config_file, faults);

	for (guint i = 0; i < faults->len; i++)
		fprintf(stderr, "%s: %s\n", config_file,
			(char *)faults->pdata[i]);
	g_ptr_array_unref(faults);
	return err == SETTINGS_OK;
}

/* Runs on the control task's thread. */
static void on_control_stopped_(void *arg)
{
	process_t *p = arg;

	ev_async_send(p->loop, &p->stopped);
}

static void on_node_stopped_(struct ev_loop *loop, ev_async *w, int revents)
{
	(void)w;
	(void)revents;
	ev_break(loop, EVBREAK_ALL);
}

static void on_terminate_(struct ev_loop *loop, ev_signal *w, int revents)
{
	process_t *p = w->data;
	message_t *m = message_new(MSG_PHASE);

	(void)loop;
	(void)revents;
	m->phase = PHASE_LEAVING;
	task_post(&p->control.task, m);
}

/* Reloads the settings that may change at run time: log level and TLS files. */
static void on_reload_(struct ev_loop *loop, ev_signal *w, int revents)
{
	process_t *p = w->data;
	settings_t fresh;

	(void)loop;
	(void)revents;
	settings_init(&fresh);
	if (load_settings_(&fresh)) {
		logline_setup(fresh.name->str, fresh.log_level);
		task_post(&p->control.task, message_new(MSG_RELOAD_TLS));
		relay_post(&p->relay, message_new(MSG_RELOAD_TLS));
		LOG_EVENT(LOG_NOTICE, "settings.reloaded",
			  F_STR("file", config_file));
	} else {
		LOG_EVENT(LOG_ERR, "settings.rejected",
			  F_STR("file", config_file));
	}
	settings_finish(&fresh);
}

static int serve_(process_t *p)
{
	ev_signal terminate;
	ev_signal interrupt;
	ev_signal reload;

	p->loop = ev_default_loop(EVFLAG_AUTO);
	ev_async_init(&p->stopped, on_node_stopped_);
	ev_async_start(p->loop, &p->stopped);
	/* Wall time: later than any earlier start of this name on any host. */
	control_init(&p->control, &p->settings, (uint64_t)clock_wall(),
		     on_control_stopped_, p);
	relay_init(&p->relay, &p->settings, &p->control.task,
		   p->control.incarnation);
	if (!relay_start(&p->relay))
		return EXIT_FAILED;
	if (!control_start(&p->control, &p->relay)) {
		relay_stop(&p->relay);
		return EXIT_FAILED;
	}
	LOG_EVENT(LOG_NOTICE, "node.start",
		  F_STR("callers", p->settings.caller_listen->str),
		  F_STR("operators", p->settings.operator_listen->str),
		  F_STR("peers", p->settings.peer_listen->str));
	ev_signal_init(&terminate, on_terminate_, SIGTERM);
	ev_signal_init(&interrupt, on_terminate_, SIGINT);
	ev_signal_init(&reload, on_reload_, SIGHUP);
	terminate.data = p;
	interrupt.data = p;
	reload.data = p;
	ev_signal_start(p->loop, &terminate);
	ev_signal_start(p->loop, &interrupt);
	ev_signal_start(p->loop, &reload);
	ev_run(p->loop, 0);
	relay_stop(&p->relay);
	control_stop(&p->control);
	relay_finish(&p->relay);
	control_finish(&p->control);
	LOG_EVENT(LOG_NOTICE, "node.stop", F_INT("status", EXIT_OK));
	return EXIT_OK;
}

static int serve_gateway_(void)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	gateway_conf_t conf;
	int status = EXIT_OK;

	if (gateway_conf_load(&conf, gateway_file, faults)) {
		for (guint i = 0; i < faults->len; i++)
			fprintf(stderr, "%s: %s\n", gateway_file,
				(char *)faults->pdata[i]);
		status = EXIT_USAGE;
	} else if (check_only) {
		printf("%s: settings are valid\n", gateway_file);
	} else if (!gateway_serve(&conf, gateway_file, &platform_protocol,
				  &platform_feed_ops)) {
		status = EXIT_FAILED;
	}
	gateway_conf_finish(&conf);
	g_ptr_array_unref(faults);
	return status;
}

int main(int argc, char **argv)
{
	process_t *p;
	int status;

	if (!parse_arguments_(argc, argv))
		return EXIT_USAGE;
	if (show_version) {
		printf("kingcupforkd %s\n", version);
		return EXIT_OK;
	}
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0)
		return EXIT_FAILED;
	if (gateway_file) {
		status = serve_gateway_();
		curl_global_cleanup();
		return status;
	}
	p = g_new0(process_t, 1);
	settings_init(&p->settings);
	if (!load_settings_(&p->settings)) {
		status = EXIT_USAGE;
	} else if (check_only) {
		printf("%s: settings are valid\n", config_file);
		status = EXIT_OK;
	} else {
		logline_setup(p->settings.name->str, p->settings.log_level);
		status = serve_(p);
	}
	settings_finish(&p->settings);
	g_free(p);
	curl_global_cleanup();
	return status;
}
