/*
 * Streams that callers take up: which software version began them, and whether
 * they can go on there.
 */
#include "private/forward.h"

#include <kcf/counter.h>
#include <kcf/logline.h>
#include <kcf/peer_socket.h>
#include <string.h>

/*
 * Other nodes of a region answer within this time, also on slow hosts; then
 * they are asked again.
 */
#define ASK_MAX_MS 150
#define ASKS 2
/* Callers of a node that has ended come sooner after it was heard last. */
#define HEARD_MAX_MS 3000
/* Within this time the platform answers a read. */
#define READ_MAX_MS 600
/* Counted apart from other control traffic, which it must not crowd out. */
#define ORIGIN_BYTES_PER_S 65536
/* Until this node knows the version of a stream that another one knows. */
#define RETRY_UNSEEN_MS 300
/* By then the record is complete again after a restore of the log. */
#define RETRY_INCOMPLETE_MS 1000
/* Until the next heartbeat of an upstream is known, in most cases; callers give
 * a stream up after two seconds without an event.
 */
#define START_WAIT_MAX_MS 1500
/* Between looks at a doubt that a request waits for. */
#define SETTLE_INTERVAL_MS 100
/* The rest of the time is left for the answer. */
#define START_WAIT_MARGIN_MS 50
/* A caller that comes back then finds the next heartbeat known. */
#define RETRY_AFTER_START_MS 1500
/* Callers come back within a few times the longest stream. */
#define LIFE_TIMEOUT_FACTOR 2
/* 16 digits and the closing zero. */
#define STREAM_TEXT_MAX 17

static const char *const verdict_text[] = {
	[ORIGIN_FOUND] = "",
	[ORIGIN_ASK] = "",
	[ORIGIN_READ] = "",
	[ORIGIN_READ_LOG] = "",
	[ORIGIN_READ_ENTRIES] = "",
	[ORIGIN_AMBIGUOUS] = "several versions can have begun the stream",
	[ORIGIN_INCOMPLETE] = "the versions of the service are not known yet",
	[ORIGIN_NONE] = "no version of the service is known",
	[ORIGIN_UNVOUCHED] = "nobody in reach can tell the stream's version",
};

static void on_wait_over_(struct ev_loop *loop, ev_timer *w, int revents);
static void settle_(gateway_t *g);
static void hear_unknown_(gateway_t *g, uint64_t stream);
static void doubt_(forward_t *f);

/* Key of a stream as logs name it. */
static const char *stream_text_(uint64_t stream, char *out)
{
	g_snprintf(out, STREAM_TEXT_MAX, "%016" G_GINT64_MODIFIER "x", stream);
	return out;
}

/* Key of a stream by the id of the caller's try that began it. */
static uint64_t stream_key_(const forward_t *f, str_t id)
{
	uint64_t hash = str_hash64(f->in.host, 0);

	hash = str_hash64(f->in.target, hash);
	hash = str_hash64(str_of(f->customer ? f->customer->name : ""), hash);
	return str_hash64(id, hash) | 1;
}

static peer_sender_t sender_(gateway_t *g)
{
	return (peer_sender_t){ g->socket, g->conf->peer_key,
				&g->origins_budget };
}

/* The homes of a stream among the other nodes. */
static int homes_(gateway_t *g, uint64_t stream, int max, const member_t **out)
{
	uint32_t *keys = g_new(uint32_t, g->ranking->len + 1);
	const member_t **nodes = g_new(const member_t *, g->ranking->len + 1);
	guint homes[ORIGINS_ASKED];
	guint others = 0;
	int count;

	for (guint i = 0; i < g->ranking->len; i++) {
		const member_t *m = gateway_peers_at_rank(g, i);

		if (m == g->members.self)
			continue;
		keys[others] = m->key;
		nodes[others++] = m;
	}
	count = origins_select_homes(stream, keys, others, homes, max);
	for (int i = 0; i < count; i++)
		out[i] = nodes[homes[i]];
	g_free(keys);
	g_free(nodes);
	return count;
}

static void tell_(gateway_t *g, uint64_t stream, uint32_t version)
{
	peer_origin_t origin = { stream, version };
	peer_origins_t m = { .sent = (u_quad_t)clock_wall(),
			     .list = { 1, &origin } };
	const member_t *homes[ORIGINS_ASKED];
	int count = homes_(g, stream, ORIGINS_HOMES, homes);
	const member_t *writer = stream_log_writer(g);
	peer_sender_t sender = sender_(g);

	for (int i = 0; i < count; i++)
		peer_socket_send_origins(&sender, homes[i]->peer, &m);
	stream_log_note(g, stream, version);
	if (writer && writer != g->members.self)
		peer_socket_send_origins(&sender, writer->peer, &m);
}

bool resumes_is_mixed(const gateway_t *g, const char *service)
{
	uint32_t only;

	return versions_count(&g->versions, service, clock_now(), &only) > 1;
}

void resumes_init(gateway_t *g)
{
	origins_init(&g->origins);
	g->origins_budget.rate = ORIGIN_BYTES_PER_S;
}

void resumes_finish(gateway_t *g)
{
	origins_finish(&g->origins);
}

/* Whether a version is the only one that can begin streams of a route. */
static bool is_only_version_(const gateway_t *g, const routing_route_t *r,
			     uint32_t version)
{
	mstime_t now = clock_now();
	uint32_t only = 0;
	int count = 0;

	for (guint i = 0; i < r->targets->len; i++)
		count += versions_count(
			&g->versions,
			g_array_index(r->targets, route_target_t, i).service,
			now, &only);
	return count == 1 && only == version;
}

/*
 * Whether a node that takes the stream up finds its version without being told:
 * by the route that began it, or by the one now in force. It does not while the
 * record may lack versions.
 */
static bool is_implied_(const forward_t *f)
{
	const gateway_t *g = f->gateway;
	const routing_route_t *current =
		f->table == g->table
			? f->route
			: route_table_match(g->table, f->in.host, f->in.path);

	return versions_is_complete(&g->versions, clock_now()) &&
	       is_only_version_(g, f->route, f->bound_version) &&
	       (!current || is_only_version_(g, current, f->bound_version));
}

/* Streams that are open can have been begun at another version by now. */
static void tell_open_(gateway_t *g)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, g->forwards);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		forward_t *f = key;

		if (!f->stream || !f->bound_version || f->done ||
		    f->origin_told || is_implied_(f))
			continue;
		if (f->begun_sure) {
			f->origin_told = true;
			tell_(g, f->stream, f->bound_version);
		} else if (f->begun.id) {
			doubt_(f);
		}
	}
}

static void observe_(gateway_t *g, const balance_upstream_t *u, mstime_t now)
{
	if (!versions_observe(&g->versions, u->service, u->version, now))
		return;
	LOG_EVENT(LOG_NOTICE, "version.seen", F_STR("service", u->service),
		  F_STR("version", u->version), F_STR("upstream", u->id));
	tell_open_(g);
}

void resumes_ask_versions(gateway_t *g)
{
	peer_versions_t m = { .sent = (u_quad_t)clock_wall(), .wanted = TRUE };
	peer_sender_t sender = sender_(g);

	LOG_EVENT(LOG_NOTICE, "version.asked", F_INT("nodes", g->ranking->len),
		  F_INT("asks", g->versions.asks));
	for (guint i = 0; i < g->ranking->len; i++) {
		const member_t *member = gateway_peers_at_rank(g, i);

		if (member != g->members.self)
			peer_socket_send_versions(&sender, member->peer, &m);
	}
}

static void send_versions_(gateway_t *g, const char *to)
{
	peer_version_t list[PEER_VERSIONS_MAX];
	peer_versions_t m = { .sent = (u_quad_t)clock_wall(),
			      .list = { 0, list } };
	peer_sender_t sender = sender_(g);
	mstime_t now = clock_now();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->versions.by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const version_t *v = value;

		if (!versions_is_possible(&g->versions, v, now))
			continue;
		if (m.list.list_len == PEER_VERSIONS_MAX) {
			peer_socket_send_versions(&sender, to, &m);
			m.list.list_len = 0;
		}
		list[m.list.list_len++] =
			(peer_version_t){ v->service, v->name,
					  (u_int)MAX(0, now - v->seen_at) };
	}
	if (m.list.list_len)
		peer_socket_send_versions(&sender, to, &m);
}

void resumes_hear_version(gateway_t *g, const char *service, const char *name,
			  mstime_t seen_at, const char *from)
{
	if (!versions_observe(&g->versions, service, name, seen_at))
		return;
	LOG_EVENT(LOG_NOTICE, "version.told", F_STR("service", service),
		  F_STR("version", name), F_STR("from", from),
		  F_INT("age_ms", clock_now() - seen_at));
	tell_open_(g);
}

void resumes_receive_versions(gateway_t *g, const peer_versions_t *m,
			      const char *from)
{
	mstime_t now = clock_now();

	if (m->wanted) {
		send_versions_(g, from);
		return;
	}
	for (u_int i = 0; i < m->list.list_len; i++) {
		const peer_version_t *v = &m->list.list_val[i];

		resumes_hear_version(g, v->service, v->name,
				     now - (mstime_t)v->age_ms, from);
	}
}

void resumes_observe(gateway_t *g, const char *id, mstime_t now)
{
	const balance_upstream_t *u = g_hash_table_lookup(g->balance.by_id, id);

	if (u)
		observe_(g, u, now);
}

static void observe_all_(gateway_t *g, mstime_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->balance.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		observe_(g, value, now);
}

void resumes_apply_table(gateway_t *g)
{
	mstime_t longest = 0;

	for (guint i = 0; i < g->table->routes->len; i++) {
		const routing_route_t *r = g->table->routes->pdata[i];

		if (r->kind == ROUTE_KIND_STREAM)
			longest = MAX(longest, r->timeout_ms);
	}
	versions_set_life(&g->versions, longest * LIFE_TIMEOUT_FACTOR);
	tell_open_(g);
}

void resumes_tick(gateway_t *g, mstime_t now)
{
	observe_all_(g, now);
	origins_tick(&g->origins, g->versions.life_ms, now);
}

void resumes_check_start(const forward_t *f)
{
	const balance_upstream_t *u = f->selected;
	const balance_t *b = &f->gateway->balance;
	http_peer_t peer = http_call_peer(f->call);
	mstime_t now = clock_now();

	if (starts_is_proven(f->gateway, u, peer) ||
	    !resumes_is_mixed(f->gateway, f->service))
		return;
	counter_add(COUNTER_STREAMS_UNSURE, 1);
	LOG_EVENT(
		LOG_NOTICE, "stream.unsure", F_VIEW("request", f->in.id),
		F_STR("upstream", u->id), F_INT("start", (int64_t)u->start_id),
		F_STR("version", u->version), F_INT("after", f->last_event_id),
		F_INT("entry_age_ms",
		      now - MAX(u->alive_at, b->entries_alive_at)),
		F_INT("named", (int64_t)peer.start),
		F_INT("connection_ms", now - peer.witnessed_since));
}

/* The version that began a stream of this node is known. */
static void note_(forward_t *f)
{
	gateway_t *g = f->gateway;

	origins_put(&g->origins, f->stream, f->bound_version, clock_now());
	if (is_implied_(f))
		return;
	f->origin_told = true;
	tell_(g, f->stream, f->bound_version);
}

static void send_doubt_(gateway_t *g, const origin_doubt_t *d, const char *to)
{
	peer_doubt_t doubt = {
		d->stream,	   d->begin.version,
		d->begin.id,	   d->begin.address,
		d->begin.start_id, (u_int)(clock_now() - d->begin.since)
	};
	peer_doubts_t m = { .sent = (u_quad_t)clock_wall(),
			    .list = { 1, &doubt } };
	peer_sender_t sender = sender_(g);

	peer_socket_send_doubts(&sender, to, &m);
}

/* Homes settle the doubt by themselves, should this node be gone by then. */
static void tell_doubt_(gateway_t *g, const origin_doubt_t *d)
{
	const member_t *homes[ORIGINS_ASKED];
	int count = homes_(g, d->stream, ORIGINS_HOMES, homes);
	const member_t *writer = stream_log_writer(g);

	for (int i = 0; i < count; i++)
		send_doubt_(g, d, homes[i]->peer);
	stream_log_note_doubt(g, d);
	if (writer && writer != g->members.self)
		send_doubt_(g, d, writer->peer);
}

void resumes_receive_doubts(gateway_t *g, const peer_doubts_t *m)
{
	mstime_t now = clock_now();

	for (u_int i = 0; i < m->list.list_len; i++) {
		const peer_doubt_t *d = &m->list.list_val[i];
		origin_doubt_t doubt = {
			.stream = d->stream,
			.begin = { .id = d->upstream,
				   .address = d->address,
				   .start_id = d->start,
				   .version = d->software,
				   .since = now - (mstime_t)d->age_ms },
			.until = now + ORIGIN_DOUBT_MAX_MS,
		};

		versions_hear(&g->versions, d->software, now);
		if (d->stream && !d->upstream && !d->software) {
			hear_unknown_(g, d->stream);
			continue;
		}
		if (!doubt.stream || !origins_doubt(&g->origins, &doubt))
			continue;
		stream_log_note_doubt(g, &doubt);
	}
	settle_(g);
}

/* While the version is implied, no doubt matters. */
static void doubt_(forward_t *f)
{
	origin_doubt_t doubt = { .stream = f->stream,
				 .begin = f->begun,
				 .own = true,
				 .until = clock_now() + ORIGIN_DOUBT_MAX_MS };

	if (origins_doubt(&f->gateway->origins, &doubt))
		tell_doubt_(f->gateway, &doubt);
}

/* What is begun at a start that is not sure is noted once it is. */
static void note_begin_(forward_t *f)
{
	gateway_t *g = f->gateway;
	http_peer_t peer = http_call_peer(f->call);

	balance_describe_begin(f->selected, peer.witnessed_since, peer.start,
			       &f->begun);
	f->begun_sure = starts_is_proven(g, f->selected, peer);
	if (f->begun_sure)
		note_(f);
	else if (!f->begun.version || !is_implied_(f))
		doubt_(f);
}

void resumes_bind(forward_t *f)
{
	bool known = f->bound_version != 0;

	f->origin_noted = true;
	f->bound_version = f->selected->version_key;
	if (!f->route->resumable)
		return;
	if (!f->stream)
		f->stream = stream_key_(f, f->in.id);
	f->begun_sure = known;
	if (known)
		note_(f);
	else
		note_begin_(f);
}

/*
 * Another start is known under the id since. If connections of this node have
 * been open to it since the stream was begun here, it was begun there. False
 * if not.
 */
static bool rebind_(gateway_t *g, balance_begin_t *begin)
{
	const balance_upstream_t *u = balance_find_begin(&g->balance, begin);
	mstime_t since;

	/* One that names its start has said which one it is. */
	if (!u || u->nameless_until != MSTIME_NEVER || !balance_is_at(u, begin))
		return false;
	since = http_client_next_peer(&g->upstreams, u->address,
				      send_idle_max(u))
			.witnessed_since;
	if (since > begin->since)
		return false;
	balance_describe_begin(u, begin->since, 0, begin);
	return true;
}

/* How a doubt ends, and what this node knew of the upstream then. */
static void log_settled_(const gateway_t *g, const origin_doubt_t *d,
			 const char *outcome)
{
	const balance_upstream_t *u =
		balance_find_begin(&g->balance, &d->begin);
	const version_t *v = versions_find(&g->versions, d->begin.version);
	mstime_t now = clock_now();
	char key[STREAM_TEXT_MAX];

	LOG_EVENT(LOG_NOTICE, "stream.settled",
		  F_STR("stream", stream_text_(d->stream, key)),
		  F_STR("outcome", outcome), F_INT("own", d->own),
		  F_STR("version", v ? v->name : "-"),
		  F_INT("start", (int64_t)d->begin.start_id),
		  F_INT("connection_ms", now - d->begin.since),
		  F_STR("upstream", u ? u->id : "-"),
		  F_INT("entry_start", u ? (int64_t)u->start_id : -1),
		  F_INT("entry_age_ms",
			u ? now - MAX(u->alive_at, g->balance.entries_alive_at)
			  : -1));
}

/* Homes may have dropped the doubt, or know the upstream by older entries. */
static void settle_sure_(gateway_t *g, const origin_doubt_t *d)
{
	origins_put(&g->origins, d->stream, d->begin.version, clock_now());
	if (d->own)
		tell_(g, d->stream, d->begin.version);
}

/* A start of which no entry has come may have been of a version that nobody
 * knows.
 */
static void settle_unknown_(gateway_t *g, const origin_doubt_t *d)
{
	counter_add(COUNTER_ORIGINS_DROPPED, 1);
	if (!d->begin.version)
		origins_put_unknown(&g->origins, d->stream, clock_now());
}

static void settle_(gateway_t *g)
{
	GArray *rebound = g_array_new(FALSE, FALSE, sizeof(origin_doubt_t));
	origin_doubt_t doubt;
	bool sure;

	while (origins_settle(&g->origins, &g->balance, clock_now(), &doubt,
			      &sure)) {
		bool again = !sure && doubt.own && rebind_(g, &doubt.begin);

		log_settled_(g, &doubt,
			     sure    ? "sure"
			     : again ? "rebound"
				     : "dropped");
		if (again)
			g_array_append_val(rebound, doubt);
		else if (sure)
			settle_sure_(g, &doubt);
		else
			settle_unknown_(g, &doubt);
	}
	for (guint i = 0; i < rebound->len; i++)
		origins_doubt(&g->origins,
			      &g_array_index(rebound, origin_doubt_t, i));
	g_array_unref(rebound);
}

/* Whether a home has said that it knows nothing of the stream. */
static bool is_untold_(const forward_t *f, uint32_t key)
{
	for (int i = 0; i < f->home_count; i++) {
		if (f->homes[i] == key)
			return f->untold & 1u << i;
	}
	return false;
}

static int count_untold_(const forward_t *f)
{
	return __builtin_popcount(f->untold);
}

/* Whether a feed was read since the request came. */
static bool is_read_for_(const forward_t *f, feed_t feed)
{
	return feeds_known_to(f->gateway, feed) >= f->received_at;
}

/* Whether the log of streams was read for the request. */
static const char *log_text_(const forward_t *f)
{
	if (!f->resume_logged)
		return "unread";
	return is_read_for_(f, FEED_STREAMS) ? "read" : "failed";
}

static void log_resume_(const forward_t *f, const origin_answer_t *a,
			const char *outcome)
{
	const gateway_t *g = f->gateway;
	const version_t *version = versions_find(&g->versions, a->version);
	mstime_t now = clock_now();
	char key[STREAM_TEXT_MAX];

	LOG_EVENT(LOG_NOTICE, "stream.resume", F_VIEW("request", f->in.id),
		  F_VIEW("resumes", f->in.resumes),
		  F_STR("stream", stream_text_(f->stream, key)),
		  F_INT("after", f->in.last_event_id),
		  F_STR("service", f->service),
		  F_STR("version", version ? version->name : "-"),
		  F_STR("known", origin_source_string[a->source]),
		  F_STR("versions", versions_basis_text(&g->versions, now)),
		  F_INT("entries_age_ms",
			now - feeds_known_to(g, FEED_UPSTREAMS)),
		  F_INT("homes", f->home_count),
		  F_INT("untold", count_untold_(f)), F_STR("log", log_text_(f)),
		  F_INT("nodes", g->ranking->len),
		  F_INT("ms", now - f->received_at), F_STR("outcome", outcome));
}

static void refuse_(forward_t *f, const origin_answer_t *a, const char *why,
		    mstime_t retry_ms)
{
	log_resume_(f, a, why);
	forward_refuse(f, 503, why, COUNTER_REFUSED_RESUME, retry_ms);
}

/* The service of the route that the version belongs to, or NULL. */
static const char *service_of_(const forward_t *f, uint32_t key)
{
	const version_t *version = versions_find(&f->gateway->versions, key);

	for (guint i = 0; version && i < f->route->targets->len; i++) {
		const route_target_t *t =
			&g_array_index(f->route->targets, route_target_t, i);

		if (!strcmp(t->service, version->service))
			return t->service;
	}
	return NULL;
}

static bool go_on_(forward_t *f, const origin_answer_t *a)
{
	const char *service = service_of_(f, a->version);

	if (!versions_find(&f->gateway->versions, a->version)) {
		refuse_(f, a, "the stream's version is not known here yet",
			RETRY_UNSEEN_MS);
		return false;
	}
	if (!service) {
		refuse_(f, a, "the stream's service is not on the route", 0);
		return false;
	}
	if (!balance_has_version(&f->gateway->balance, a->version)) {
		refuse_(f, a, "no upstream has the stream's version", 0);
		return false;
	}
	f->service = service;
	f->bound_version = a->version;
	counter_add(a->source == ORIGIN_TOLD ? COUNTER_RESUMES_TOLD
					     : COUNTER_RESUMES_ONLY,
		    1);
	log_resume_(f, a, "goes on");
	return true;
}

static void wait_(forward_t *f, resume_wait_t what, mstime_t ms)
{
	f->resume_wait = what;
	ev_timer_stop(f->gateway->loop, &f->resume_timer);
	ev_timer_init(&f->resume_timer, on_wait_over_,
		      (double)ms / MSEC_PER_SEC, 0);
	f->resume_timer.data = f;
	ev_timer_start(f->gateway->loop, &f->resume_timer);
}

static void wait_for_feed_(forward_t *f, feed_t feed)
{
	f->awaited = feed;
	wait_(f, RESUME_WAITS_FOR_FEED, READ_MAX_MS);
	reader_want(f->gateway, feed, f->received_at);
}

/* Asks the homes that have not replied; false if there is none. */
static bool ask_(forward_t *f)
{
	gateway_t *g = f->gateway;
	mstime_t age = clock_now() - feeds_known_to(g, FEED_UPSTREAMS);
	/* Of a question, the second number is what homes have to cover. */
	peer_origin_t origin = { f->stream, (u_int)MIN(age, G_MAXINT32) };
	peer_origins_t m = { .sent = (u_quad_t)clock_wall(),
			     .asks = TRUE,
			     .list = { 1, &origin } };
	const member_t *homes[ORIGINS_ASKED];
	peer_sender_t sender = sender_(g);
	int count = homes_(g, f->stream, ORIGINS_ASKED, homes);
	uint32_t keys[ORIGINS_ASKED];
	unsigned int untold = 0;

	for (int i = 0; i < count; i++) {
		keys[i] = homes[i]->key;
		if (is_untold_(f, keys[i]))
			untold |= 1u << i;
		else
			peer_socket_send_origins(&sender, homes[i]->peer, &m);
	}
	memcpy(f->homes, keys, sizeof(keys[0]) * (size_t)count);
	f->home_count = count;
	f->untold = untold;
	return count > count_untold_(f);
}

static bool is_vouched_for_(const forward_t *f)
{
	const gateway_t *g = f->gateway;
	mstime_t known_to = feeds_known_to(g, FEED_UPSTREAMS);
	GArray *nodes;
	GHashTableIter iter;
	gpointer value;
	bool vouched;

	if (!f->untold)
		return false;
	nodes = g_array_new(FALSE, FALSE, sizeof(origin_witness_t));
	g_hash_table_iter_init(&iter, g->members.by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const member_t *m = value;
		origin_witness_t w = { m->key, is_untold_(f, m->key),
				       f->received_at - m->received_at <=
					       HEARD_MAX_MS };

		if (m != g->members.self &&
		    (m->state == MEMBER_LIVE || m->state == MEMBER_JOINING ||
		     m->since >= known_to))
			g_array_append_val(nodes, w);
	}
	vouched = origins_is_untold(
		f->stream, (const origin_witness_t *)(void *)nodes->data,
		nodes->len);
	g_array_unref(nodes);
	return vouched;
}

static origin_answer_t query_origin_(const forward_t *f)
{
	const gateway_t *g = f->gateway;
	const GArray *targets = f->route->targets;
	const char **services = g_new(const char *, targets->len);
	origin_query_t query = { .stream = f->stream,
				 .services = services,
				 .service_count = (int)targets->len,
				 .came_at = f->received_at,
				 .known_to = feeds_known_to(g, FEED_UPSTREAMS),
				 .log_to = feeds_known_to(g, FEED_STREAMS),
				 .asked = f->resume_asked,
				 .untold = is_vouched_for_(f),
				 .read = f->resume_read,
				 .logged = f->resume_logged,
				 .refreshed = f->resume_refreshed };
	origin_answer_t a;

	for (guint i = 0; i < targets->len; i++)
		services[i] = g_array_index(targets, route_target_t, i).service;
	a = origins_resolve(&g->origins, &g->versions, &query, clock_now());
	g_free(services);
	return a;
}

/* Whether a request may wait for what nodes learn of an upstream's start. */
static bool may_wait_(forward_t *f)
{
	mstime_t now = clock_now();

	if (!f->start_wait_until)
		f->start_wait_until = MIN(now + START_WAIT_MAX_MS,
					  f->deadline - START_WAIT_MARGIN_MS);
	return now < f->start_wait_until;
}

/* The version of the stream may be settled yet. */
static bool wait_for_origin_(forward_t *f)
{
	if (!origins_find_doubt(&f->gateway->origins, f->stream) ||
	    !may_wait_(f))
		return false;
	wait_(f, RESUME_WAITS_FOR_ORIGIN, SETTLE_INTERVAL_MS);
	return true;
}

/* When a stream that is refused may be known, or 0. */
static mstime_t retry_ms_(const forward_t *f, origin_verdict_t verdict)
{
	if (origins_find_doubt(&f->gateway->origins, f->stream))
		return RETRY_AFTER_START_MS;
	if (verdict == ORIGIN_UNVOUCHED)
		return RETRY_UNSEEN_MS;
	return verdict == ORIGIN_INCOMPLETE ? RETRY_INCOMPLETE_MS : 0;
}

/* False while the request waits, or when it was refused. */
static bool resolve_(forward_t *f)
{
	gateway_t *g = f->gateway;
	origin_answer_t a = query_origin_(f);

	switch (a.verdict) {
	case ORIGIN_FOUND:
		return go_on_(f, &a);
	case ORIGIN_ASK:
		f->resume_asked = ++f->resume_asks == ASKS;
		if (!ask_(f)) {
			f->resume_asked = true;
			return resolve_(f);
		}
		wait_(f, RESUME_WAITS_FOR_HOMES, ASK_MAX_MS);
		return false;
	case ORIGIN_READ:
		f->resume_read = true;
		wait_(f, RESUME_WAITS_FOR_RECORD, READ_MAX_MS);
		version_record_read(g);
		return false;
	case ORIGIN_READ_LOG:
		f->resume_logged = true;
		if (is_read_for_(f, FEED_STREAMS))
			return resolve_(f);
		wait_for_feed_(f, FEED_STREAMS);
		return false;
	case ORIGIN_READ_ENTRIES:
		f->resume_refreshed = true;
		wait_for_feed_(f, FEED_UPSTREAMS);
		return false;
	case ORIGIN_AMBIGUOUS:
		if (a.source == ORIGIN_UNKNOWN && wait_for_origin_(f))
			return false;
		/* fall through */
	default:
		refuse_(f, &a, verdict_text[a.verdict],
			retry_ms_(f, a.verdict));
		return false;
	}
}

/* Resolves a request that has waited, and places it. */
static void continue_(forward_t *f)
{
	ev_timer_stop(f->gateway->loop, &f->resume_timer);
	if (f->resume_wait == RESUME_WAITS_FOR_START)
		forward_retry_or_end(f, f->waiting_fault);
	else if (resolve_(f))
		forward_place(f);
}

/* The least trust in an upstream at which a stream may go on. */
static balance_trust_t least_trust_(const forward_t *f, const char *service)
{
	if (!resumes_is_mixed(f->gateway, service))
		return starts_may_matter(f->gateway, service)
			       ? BALANCE_TRUST_UNSURE
			       : BALANCE_TRUST_REFUTED;
	return starts_may_ask(f) ? BALANCE_TRUST_UNKNOWN : BALANCE_TRUST_SURE;
}

balance_trust_t resumes_wanted_trust(const forward_t *f,
				     const balance_request_t *request)
{
	gateway_t *g = f->gateway;
	balance_trust_t least;
	balance_trust_t best;

	if (!request->version)
		return BALANCE_TRUST_NONE;
	least = least_trust_(f, request->service);
	starts_observe(g, request->version);
	/* Without a choice of versions, the warmest upstream is asked. */
	if (least <= BALANCE_TRUST_UNSURE && !f->moving)
		return least;
	best = balance_best_trust(&g->balance, request, clock_now());
	/* None that would have to be asked. */
	if (f->moving && best == BALANCE_TRUST_UNKNOWN)
		return BALANCE_TRUST_SURE;
	return MAX(least, best);
}

/* Whether the version that the stream is bound to began it. */
static balance_trust_t check_begin_(forward_t *f)
{
	balance_trust_t trust;
	uint32_t version;

	if (!f->begun.id || f->begun_sure)
		return BALANCE_TRUST_SURE;
	trust = balance_check_start(&f->gateway->balance, &f->begun, &version);
	if (trust == BALANCE_TRUST_NONE && rebind_(f->gateway, &f->begun))
		trust = balance_check_start(&f->gateway->balance, &f->begun,
					    &version);
	f->begun_sure = trust == BALANCE_TRUST_SURE;
	if (f->begun_sure)
		f->bound_version = version;
	return trust;
}

/* Whether a stream may have been begun at another version than it is bound to.
 */
static bool may_be_misbound_(const forward_t *f)
{
	return resumes_is_mixed(f->gateway, f->service) ||
	       (f->begun.id && !f->begun.version && !f->begun_sure);
}

/* Whether a stream may go on at an upstream of its version. */
static bool has_upstream_(const forward_t *f)
{
	balance_request_t request;
	balance_trust_t least;
	balance_trust_t best;

	forward_describe(f, &request);
	least = least_trust_(f, request.service);
	starts_observe(f->gateway, request.version);
	best = balance_best_trust(&f->gateway->balance, &request, clock_now());
	/* None at all is another matter, for whoever places the request. */
	return best == BALANCE_TRUST_NONE || best >= least;
}

resume_step_t resumes_check(forward_t *f)
{
	balance_trust_t begin;

	if (!f->bound_version)
		return RESUME_GOES_ON;
	begin = may_be_misbound_(f) ? check_begin_(f) : BALANCE_TRUST_SURE;
	if (begin == BALANCE_TRUST_SURE && has_upstream_(f))
		return RESUME_GOES_ON;
	return begin != BALANCE_TRUST_NONE && may_wait_(f) ? RESUME_WAITS
							   : RESUME_LOST;
}

bool resumes_may_move(forward_t *f)
{
	gateway_t *g = f->gateway;
	balance_request_t request;
	balance_trust_t best;

	if (!f->bound_version || !starts_may_matter(g, f->service))
		return true;
	if (may_be_misbound_(f) && check_begin_(f) != BALANCE_TRUST_SURE)
		return false;
	forward_describe(f, &request);
	starts_observe(g, request.version);
	best = balance_best_trust(&g->balance, &request, clock_now());
	if (best == BALANCE_TRUST_SURE || best == BALANCE_TRUST_NONE)
		return true;
	if (best == BALANCE_TRUST_UNSURE && !resumes_is_mixed(g, f->service))
		return true;
	starts_open(g, request.version);
	return false;
}

void resumes_wait(forward_t *f, fault_t why)
{
	f->waiting_fault = why;
	if (!f->begun.id || f->begun_sure)
		starts_open(f->gateway, f->bound_version);
	wait_(f, RESUME_WAITS_FOR_START, f->start_wait_until - clock_now());
}

void resumes_refuse(forward_t *f)
{
	forward_refuse(f, 503, "no upstream is known to have its version",
		       COUNTER_REFUSED_RESUME, RETRY_AFTER_START_MS);
}

static void on_wait_over_(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	continue_(w->data);
}

bool resumes_resolve(forward_t *f)
{
	if (f->route->kind != ROUTE_KIND_STREAM || f->in.last_event_id < 0)
		return true;
	if (f->in.resumes.len)
		f->stream = stream_key_(f, f->in.resumes);
	return resolve_(f);
}

/* What a home says of a stream. */
typedef struct reply {
	uint64_t stream;
	uint32_t home;	  /* key of the node, 0 if it is not known */
	uint32_t version; /* 0 if it was told nothing */
} reply_t;

/* Waiting requests that a condition holds for go on. */
static void continue_waiting_(gateway_t *g,
			      bool (*fits)(forward_t *f, const void *arg),
			      const void *arg)
{
	GList *all = g_hash_table_get_keys(g->forwards);

	for (GList *l = all; l; l = l->next) {
		forward_t *f = l->data;

		if (ev_is_active(&f->resume_timer) && !f->done && fits(f, arg))
			continue_(f);
	}
	g_list_free(all);
}

static bool waits_for_record_(forward_t *f, const void *arg)
{
	(void)arg;
	return f->resume_wait == RESUME_WAITS_FOR_RECORD;
}

void resumes_record_read(gateway_t *g)
{
	continue_waiting_(g, waits_for_record_, NULL);
}

static bool may_go_on_(forward_t *f, const void *arg)
{
	(void)arg;
	switch (f->resume_wait) {
	case RESUME_WAITS_FOR_START:
		return resumes_check(f) != RESUME_WAITS;
	case RESUME_WAITS_FOR_FEED:
		return is_read_for_(f, f->awaited);
	default:
		return false;
	}
}

void resumes_feeds_updated(gateway_t *g)
{
	settle_(g);
	continue_waiting_(g, may_go_on_, NULL);
}

static bool waits_for_feed_(forward_t *f, const void *arg)
{
	const feed_t *feed = arg;

	return f->resume_wait == RESUME_WAITS_FOR_FEED && f->awaited == *feed;
}

void resumes_read_failed(gateway_t *g, feed_t feed)
{
	continue_waiting_(g, waits_for_feed_, &feed);
}

/* Whether a reply of a home ends the wait. */
static bool is_answered_(forward_t *f, const void *arg)
{
	const gateway_t *g = f->gateway;
	const reply_t *reply = arg;

	if (f->stream != reply->stream ||
	    f->resume_wait != RESUME_WAITS_FOR_HOMES)
		return false;
	for (int i = 0; i < f->home_count && !reply->version; i++) {
		if (f->homes[i] == reply->home)
			f->untold |= 1u << i;
	}
	f->resume_asked = f->resume_asked || count_untold_(f) == f->home_count;
	return f->resume_asked ||
	       origins_get(&g->origins, f->stream, clock_now()) ||
	       origins_is_unknown(&g->origins, f->stream, clock_now());
}

static void hear_unknown_(gateway_t *g, uint64_t stream)
{
	const reply_t reply = { .stream = stream };
	mstime_t now = clock_now();

	if (!origins_get(&g->origins, stream, now))
		origins_put_unknown(&g->origins, stream, now);
	continue_waiting_(g, is_answered_, &reply);
}

/* Says that nobody can know the version of a stream. */
static void send_unknown_(gateway_t *g, uint64_t stream, const char *to)
{
	origin_doubt_t doubt = { .stream = stream,
				 .begin = { .since = clock_now() } };

	send_doubt_(g, &doubt, to);
}

/*
 * Whether this node would have been told of a stream that the asking one does
 * not know. Streams of the time before its start may have been told then. A
 * version that alone was left here for a stream's life is not told.
 *
 * age_ms: of the entries that the asking node knows
 */
static bool covers_(const gateway_t *g, mstime_t age_ms, mstime_t now)
{
	mstime_t ahead_ms = feeds_known_to(g, FEED_UPSTREAMS) - (now - age_ms);

	return age_ms <= now - g->started_at && ahead_ms < g->versions.life_ms;
}

static void reply_(gateway_t *g, const peer_origins_t *m, const char *to)
{
	peer_origin_t list[PEER_ORIGINS_MAX];
	peer_origins_t reply = { .sent = (u_quad_t)clock_wall(),
				 .list = { 0, list } };
	peer_sender_t sender = sender_(g);
	mstime_t now = clock_now();

	for (u_int i = 0; i < m->list.list_len; i++) {
		const peer_origin_t *asked = &m->list.list_val[i];
		uint32_t version = origins_get(&g->origins, asked->stream, now);
		const origin_doubt_t *doubt =
			origins_find_doubt(&g->origins, asked->stream);

		if (origins_is_unknown(&g->origins, asked->stream, now)) {
			send_unknown_(g, asked->stream, to);
			continue;
		}
		/* It comes first, so that the reply does not end the wait. */
		if (doubt)
			send_doubt_(g, doubt, to);
		if (!version && !covers_(g, asked->software, now))
			continue;
		list[reply.list.list_len++] =
			(peer_origin_t){ asked->stream, version };
	}
	if (reply.list.list_len)
		peer_socket_send_origins(&sender, to, &reply);
}

bool resumes_learn(gateway_t *g, uint64_t stream, uint32_t version,
		   mstime_t now)
{
	versions_hear(&g->versions, version, now);
	return origins_put(&g->origins, stream, version, now);
}

void resumes_receive(gateway_t *g, const peer_origins_t *m, const char *from)
{
	const member_t *home = members_find_by_address(&g->members, from);

	if (m->asks) {
		reply_(g, m, from);
		return;
	}
	for (u_int i = 0; i < m->list.list_len; i++) {
		const peer_origin_t *origin = &m->list.list_val[i];
		reply_t reply = { origin->stream, home ? home->key : 0,
				  origin->software };

		if (!origin->stream)
			continue;
		if (origin->software &&
		    resumes_learn(g, origin->stream, origin->software,
				  clock_now()))
			stream_log_note(g, origin->stream, origin->software);
		continue_waiting_(g, is_answered_, &reply);
	}
}
