#include "private/gateway.h"

#include <kcf/logline.h>
#include <string.h>

#define TICK_S 0.1
/* A longer time between two iterations of the loop is a pause of the process.
 */
#define PAUSE_MIN_MS 1000
/* An idle loop goes on each TICK_S. */
#define LATE_MIN_MS 200
/* Time for which callers cache a directory response. */
#define DIRECTORY_TTL_MS 2000
#define DIRECTORY_TTL_START_MS 500
/* After SIGTERM callers still connect until their cached directory expires. */
#define STOP_QUIET_MS 1200
#define STOP_MIN_MS 3000
/*
 * Requests that arrive later than this after SIGTERM are accepted only if their
 * deadline is before the latest exit. Callers know of the stop by then.
 */
#define STOP_ACCEPT_MS 2800
/* For writing the last answers, out of the margin before the node is killed. */
#define STOP_WRITE_MS 300
/* Greatest age of the data that a starting node uses, as a fraction of the
 * limit for platform changes, so that it uses no upstream that left earlier.
 */
#define START_AGE_FRACTION 0.6
/* A starting node uses older data after this time, if the platform is down or
 * this many sync responses brought nothing newer. The time is longer than the
 * replacement of a failed reader takes.
 */
#define START_STALE_WAIT_MS 2000
#define START_STALE_RESPONSES 3
/* Another node that runs answers within this time; there may be none. */
#define START_COPY_WAIT_MS 400
#define FLUSH_INTERVAL_MS 50
#define AUX_CONNECTIONS_MAX 512
#define AUX_IDLE_S 30
/* Longer than any caller keeps an idle connection. */
#define CALLER_IDLE_S 60
#define AUX_BODY_MAX_BYTES 4096
/* Request bodies of all callers: a fifth of the smallest host's memory, or of a
 * smaller one's.
 */
#define BODIES_MAX_BYTES (32 * 1024 * 1024)
#define BODIES_DIVISOR 5
/* Other nodes' requests have this part of the room of callers. */
#define RELAY_FRACTION 2
/* What another node adds to the headers of a request. */
#define RELAY_HEADER_BYTES 1024

const char *const phase_string[] = { "starting", "ready", "stopping" };

static void on_ready_(void *ctx, http_request_t *req);
static void on_directory_(void *ctx, http_request_t *req);

static const http_server_ops_t ready_ops = { on_ready_, gateway_ignore_closed };
static const http_server_ops_t directory_ops = { on_directory_,
						 gateway_ignore_closed };

/*
 * Whether the data of a feed may be used. A node that starts while the platform
 * is down accepts older data of other nodes after some time.
 */
static bool feed_is_current_(const gateway_t *g, feed_t feed)
{
	const feed_state_t *s = &g->feed_states[feed];

	if (!s->loaded)
		return false;
	return s->current_as_of >= g->data_valid_from ||
	       (g->phase == GATEWAY_STARTING &&
		(s->down || g->sync_response_count >= START_STALE_RESPONSES) &&
		clock_now() - g->started_at >= START_STALE_WAIT_MS);
}

mstime_t gateway_limit_fraction_ms(const gateway_t *g, double fraction)
{
	return (mstime_t)(fraction * (double)g->conf->apply_limit_ms);
}

mstime_t gateway_oldest_start_data(const gateway_t *g)
{
	return g->started_at - gateway_limit_fraction_ms(g, START_AGE_FRACTION);
}

bool gateway_recently_started(const gateway_t *g, mstime_t now)
{
	return now - g->started_at < GATEWAY_DISCOVERY_MS;
}

bool gateway_data_is_current(const gateway_t *g)
{
	return g->table && feed_is_current_(g, FEED_OPERATORS) &&
	       feed_is_current_(g, FEED_UPSTREAMS);
}

bool gateway_ready(const gateway_t *g)
{
	return g->phase == GATEWAY_READY && gateway_data_is_current(g);
}

bool gateway_can_finish_by(const gateway_t *g, mstime_t deadline)
{
	if (g->ended)
		return false;
	if (g->phase != GATEWAY_STOPPING ||
	    clock_now() - g->stopping_since <= STOP_ACCEPT_MS)
		return true;
	return deadline < g->stopping_since + g->conf->stop_limit_ms;
}

static void on_ready_(void *ctx, http_request_t *req)
{
	const gateway_t *g = ctx;

	if (!g->protocol->is_readiness_request(req))
		gateway_reply_json(req, 404, "{\"error\":\"no such path\"}");
	else if (gateway_ready(g))
		gateway_reply_json(req, 200, "{}");
	else
		gateway_reply_json(req, 503, "{\"error\":\"not ready\"}");
}

/* Short on a recently started node: it knows few members, which its callers
 * would overload if they used them for long.
 */
static mstime_t directory_ttl_(const gateway_t *g)
{
	return gateway_recently_started(g, clock_now()) ? DIRECTORY_TTL_START_MS
							: DIRECTORY_TTL_MS;
}

static void on_directory_(void *ctx, http_request_t *req)
{
	gateway_t *g = ctx;
	GPtrArray *list;
	char *text;
	str_t data_centre;

	if (!g->protocol->is_directory_request(req, &data_centre)) {
		gateway_reply_json(req, 404, "{\"error\":\"no such path\"}");
		return;
	}
	list = gateway_peers_serving(g, data_centre, GATEWAY_DIRECTORY_MAX);
	if (list->len) {
		text = g->protocol->format_directory(
			list,
			MIN(directory_ttl_(g), g->conf->directory_ttl_max_ms));
		gateway_reply_json(req, 200, text);
		g_free(text);
	} else {
		gateway_reply_json(req, 503,
				   "{\"error\":\"no node is ready\"}");
	}
	g_ptr_array_unref(list);
}

/* Requires feeds to be read again after a pause, as they may have changed. */
static void detect_pause_(gateway_t *g, mstime_t now)
{
	mstime_t gap = g->last_iteration_at ? now - g->last_iteration_at : 0;

	g->last_iteration_at = now;
	if (gap >= LATE_MIN_MS)
		g->late_at = now;
	if (gap < PAUSE_MIN_MS)
		return;
	g->data_valid_from = now;
	reader_resume(g, gap, now);
	quarantine_gossip_ask(&g->crash_gossip, now);
	versions_miss(&g->versions, now);
	LOG_EVENT(LOG_WARNING, "node.paused", F_INT("ms", gap));
}

/* A restored log may be older than what other nodes know. */
static bool waits_for_copy_(const gateway_t *g, mstime_t now)
{
	return g->feed_states[FEED_OPERATORS].epoch &&
	       now < g->first_copy_until &&
	       now - g->started_at < START_COPY_WAIT_MS;
}

static void check_ready_(gateway_t *g)
{
	mstime_t now = clock_now();
	mstime_t oldest = MIN(g->feed_states[FEED_OPERATORS].current_as_of,
			      g->feed_states[FEED_UPSTREAMS].current_as_of);

	if (g->phase != GATEWAY_STARTING || !gateway_data_is_current(g) ||
	    waits_for_copy_(g, now))
		return;
	g->phase = GATEWAY_READY;
	g->data_valid_from = MIN(g->data_valid_from, oldest);
	LOG_EVENT(LOG_NOTICE, "node.ready",
		  F_INT("config", (int64_t)g->table->version),
		  F_INT("age_ms", now - oldest),
		  F_INT("members", g->ranking->len),
		  F_INT("ms", now - g->started_at));
}

void gateway_feeds_updated(gateway_t *g, mstime_t now)
{
	phase_t before = g->phase;

	check_ready_(g);
	if (g->phase != before)
		gateway_peers_tick(g, now);
	reader_tick(g, now);
	feed_sync_notify_waiters(g, now);
	resumes_feeds_updated(g);
}

static bool can_exit_(gateway_t *g, mstime_t now)
{
	mstime_t since = now - g->stopping_since;

	if (since >= g->conf->stop_limit_ms) {
		forwards_end(g);
		return (!g->callers.open && !g->relays.open) ||
		       since >= g->conf->stop_limit_ms + STOP_WRITE_MS;
	}
	/* Requests that are still being read are not in forwards yet. */
	return since >= STOP_MIN_MS && !g->callers.open && !g->relays.open &&
	       !g_hash_table_size(g->forwards) &&
	       now - g->last_request_at >= STOP_QUIET_MS;
}

static void on_tick_(struct ev_loop *loop, ev_timer *w, int revents)
{
	gateway_t *g = w->data;
	mstime_t now = clock_now();

	(void)revents;
	reader_tick(g, now);
	feed_sync_tick(g, now);
	check_ready_(g);
	gateway_peers_tick(g, now);
	forwards_tick(g);
	if (g->phase == GATEWAY_STOPPING && can_exit_(g, now)) {
		g->ended = true;
		ev_break(loop, EVBREAK_ALL);
	}
}

/* Runs before any request of the iteration is handled. */
static void on_iteration_(struct ev_loop *loop, ev_check *w, int revents)
{
	(void)loop;
	(void)revents;
	detect_pause_(w->data, clock_now());
}

static void on_flush_(struct ev_loop *loop, ev_prepare *w, int revents)
{
	gateway_t *g = w->data;
	mstime_t now = clock_now();

	(void)loop;
	(void)revents;
	if (now - g->flushed_at < FLUSH_INTERVAL_MS)
		return;
	g->flushed_at = now;
	logline_flush();
}

static void on_terminate_(struct ev_loop *loop, ev_signal *w, int revents)
{
	gateway_t *g = w->data;

	(void)loop;
	(void)revents;
	if (g->phase == GATEWAY_STOPPING)
		return;
	g->phase = GATEWAY_STOPPING;
	g->stopping_since = clock_now();
	LOG_EVENT(LOG_NOTICE, "node.stopping",
		  F_INT("open", g_hash_table_size(g->forwards)),
		  F_INT("within_ms", g->conf->stop_limit_ms));
	gateway_peers_tick(g, g->stopping_since);
}

/* Applies the log level, the retry budget and the placement; all other settings
 * need a restart.
 */
static void on_reload_(struct ev_loop *loop, ev_signal *w, int revents)
{
	gateway_t *g = w->data;
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	gateway_conf_t fresh;
	int err;

	(void)loop;
	(void)revents;
	err = gateway_conf_load(&fresh, g->conf_file, faults);
	if (err) {
		for (guint i = 0; i < faults->len; i++)
			LOG_EVENT(LOG_ERR, "settings.rejected",
				  F_STR("fault", faults->pdata[i]));
	} else {
		logline_setup(g->conf->name, fresh.log_level);
		g->conf->log_level = fresh.log_level;
		g->conf->retries = fresh.retries;
		g->conf->placement = fresh.placement;
		g->balance.placement = fresh.placement;
		LOG_EVENT(LOG_NOTICE, "settings.reloaded",
			  F_STR("file", g->conf_file));
	}
	gateway_conf_finish(&fresh);
	g_ptr_array_unref(faults);
}

typedef struct listener {
	http_server_t *server;
	const char *address;
	const http_server_ops_t *ops;
	const char *name;
} listener_t;

/* Requests of callers, or of other nodes for theirs. */
static bool takes_requests_(const gateway_t *g, const http_server_t *s)
{
	return s == &g->callers || s == &g->relays;
}

static size_t bodies_max_(const gateway_conf_t *c)
{
	size_t part = (size_t)c->memory / BODIES_DIVISOR;

	return part ? MIN(part, BODIES_MAX_BYTES) : BODIES_MAX_BYTES;
}

static backlog_limits_t backlog_limits_(const gateway_conf_t *c)
{
	return backlog_limits((size_t)c->memory, bodies_max_(c));
}

static bool listen_at_(gateway_t *g, const listener_t *l)
{
	const gateway_conf_t *c = g->conf;
	bool requests = takes_requests_(g, l->server);
	http_server_conf_t conf = {
		.address = l->address,
		.max_body = requests ? (size_t)c->max_body : AUX_BODY_MAX_BYTES,
		.max_bodies = requests ? bodies_max_(c) : 0,
		.max_header = (size_t)c->max_header,
		.max_connections = requests ? (unsigned int)c->max_connections
					    : AUX_CONNECTIONS_MAX,
		.idle_timeout_s = requests ? CALLER_IDLE_S : AUX_IDLE_S,
		.unsent_max = requests ? backlog_limits_(c).unsent_max : 0,
	};
	int err;

	if (l->server == &g->relays) {
		conf.max_bodies /= RELAY_FRACTION;
		conf.max_connections /= RELAY_FRACTION;
		conf.max_header += RELAY_HEADER_BYTES;
	}
	err = http_server_init(l->server, g->loop, &conf, l->ops, g);
	if (!err)
		return true;
	LOG_EVENT(LOG_ERR, "node.listen", F_STR("interface", l->name),
		  F_STR("address", l->address),
		  F_STR("error", http_server_err_string[-err]));
	return false;
}

static bool listen_(gateway_t *g)
{
	const gateway_conf_t *c = g->conf;
	listener_t listeners[] = {
		{ &g->callers, c->callers, &forward_server_ops, "callers" },
		{ &g->readiness, c->readiness, &ready_ops, "readiness" },
		{ &g->directory, c->directory, &directory_ops, "directory" },
		{ &g->admin, c->admin, &admin_server_ops, "admin" },
		{ &g->metrics, c->metrics, &metrics_server_ops, "metrics" },
		{ &g->relays, c->peers, &relays_server_ops, "relays" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++) {
		const listener_t *l = &listeners[i];

		/* Without that one the node serves its own callers. */
		if (l->address && !listen_at_(g, l) && l->server != &g->relays)
			return false;
	}
	return true;
}

static void init_(gateway_t *g)
{
	backlog_limits_t limits = backlog_limits_(g->conf);

	g->loop = ev_default_loop(EVFLAG_AUTO);
	g->started_at = clock_now();
	g->data_valid_from = gateway_oldest_start_data(g);
	/* Higher than that of any earlier start of this name on any host. */
	g->incarnation = (uint64_t)clock_wall();
	g->rand = g_rand_new();
	g->forwards = g_hash_table_new(NULL, NULL);
	g->retry_budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = 0; i < ROUTE_KIND_COUNT; i++) {
		latency_init(&g->latency_first_byte[i]);
		latency_init(&g->latency_total[i]);
	}
	balance_init(&g->balance, g->conf->data_centre, g_rand_int(g->rand));
	g->balance.placement = g->conf->placement;
	shares_init(&g->shares);
	admission_init(&g->admission);
	crashes_init(g);
	ends_init(g);
	versions_init(&g->versions, g->started_at);
	resumes_init(g);
	rollouts_init(&g->rollouts, &gateway_rollouts_ops, g,
		      &g->conf->rollouts);
	relays_init(g);
	stream_log_init(g);
	backlogs_init(&g->backlogs, g->loop, &limits, &answer_backlogs_ops);
	http_client_init(&g->upstreams, g->loop);
	g->upstreams.unsent_max = limits.unsent_max;
	g->upstreams.unread_max = limits.unread_max;
	http_client_init(&g->store, g->loop);
	g->feed_client.http = &g->store;
	g->feed_client.address = g->conf->store;
	feeds_init(g);
	feed_sync_init(g);
}

/* Needs all that requests use: the last ones are answered here. */
static void close_servers_(gateway_t *g)
{
	feed_sync_stop(g);
	http_server_finish(&g->callers);
	http_server_finish(&g->relays);
	http_server_finish(&g->readiness);
	http_server_finish(&g->directory);
	http_server_finish(&g->admin);
	http_server_finish(&g->metrics);
}

static void finish_(gateway_t *g)
{
	feed_sync_finish(g);
	rollouts_finish(&g->rollouts);
	backlogs_finish(&g->backlogs);
	ends_finish(g);
	http_client_finish(&g->upstreams);
	http_client_finish(&g->store);
	feeds_finish(g);
	for (int i = 0; i < ROUTE_KIND_COUNT; i++) {
		latency_finish(&g->latency_first_byte[i]);
		latency_finish(&g->latency_total[i]);
	}
	crashes_finish(g);
	stream_log_finish(g);
	relays_finish(g);
	resumes_finish(g);
	versions_finish(&g->versions);
	balance_finish(&g->balance);
	shares_finish(&g->shares);
	admission_finish(&g->admission);
	route_table_unref(g->table);
	g_hash_table_destroy(g->retry_budgets);
	g_hash_table_destroy(g->forwards);
	g_rand_free(g->rand);
}

static void watch_signal_(gateway_t *g, ev_signal *w, int number,
			  void (*fn)(struct ev_loop *, ev_signal *, int))
{
	ev_signal_init(w, fn, number);
	w->data = g;
	ev_signal_start(g->loop, w);
}

static void run_(gateway_t *g)
{
	watch_signal_(g, &g->terminate, SIGTERM, on_terminate_);
	watch_signal_(g, &g->interrupt, SIGINT, on_terminate_);
	watch_signal_(g, &g->reload, SIGHUP, on_reload_);
	ev_timer_init(&g->tick, on_tick_, 0, TICK_S);
	g->tick.data = g;
	ev_timer_start(g->loop, &g->tick);
	ev_check_init(&g->iteration, on_iteration_);
	ev_set_priority(&g->iteration, EV_MAXPRI);
	g->iteration.data = g;
	ev_check_start(g->loop, &g->iteration);
	ev_prepare_init(&g->flush, on_flush_);
	g->flush.data = g;
	ev_prepare_start(g->loop, &g->flush);
	LOG_EVENT(LOG_NOTICE, "node.start", F_STR("callers", g->conf->callers),
		  F_STR("directory", g->conf->directory),
		  F_STR("admin", g->conf->admin),
		  F_STR("peers", g->conf->peers),
		  F_STR("store", g->conf->store));
	ev_run(g->loop, 0);
	LOG_EVENT(LOG_NOTICE, "node.stop",
		  F_INT("open", g_hash_table_size(g->forwards)),
		  F_INT("ms", clock_now() - g->stopping_since));
}

bool gateway_serve(gateway_conf_t *conf, const char *file,
		   const protocol_ops_t *protocol,
		   const feed_client_ops_t *feed_ops)
{
	gateway_t g = { .conf = conf,
			.conf_file = file,
			.protocol = protocol,
			.feed_client.ops = feed_ops };
	bool ok;

	logline_setup(conf->name, conf->log_level);
	logline_to_stdout();
	init_(&g);
	ok = listen_(&g) && gateway_peers_start(&g);
	if (ok)
		run_(&g);
	close_servers_(&g);
	if (ok)
		gateway_peers_stop(&g);
	finish_(&g);
	logline_flush();
	return ok;
}
