#include "functions.h"

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <kcf/http_client.h>
#include <kcf/settings.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_DEFAULT_MS 30000

typedef struct batch {
	struct ev_loop *loop;
	int open;
} batch_t;

typedef struct scenario_call {
	batch_t *batch;
	int err;
	int status;
	GString *body;
	GString *headers; /* "Name: value" lines, reported_headers only */
	int64_t started;
	int64_t first;
	int64_t ended;
} scenario_call_t;

static const char *const reported_headers[] = {
	"Content-Type",	    "ETag",
	"Retry-After",	    "X-Request-Id",
	"X-Cached-Tokens",  "X-Upstream",
	"X-Prompt-Tokens",  "Idempotent-Replayed",
	"X-Retry-After-Ms", NULL,
};

static void on_data_(void *ctx, http_call_t *call, str_t data)
{
	scenario_call_t *w = ctx;

	(void)call;
	if (!w->first)
		w->first = clock_now();
	g_string_append_len(w->body, data.data, (gssize)data.len);
}

static void on_done_(void *ctx, http_call_t *call, int err, int status)
{
	scenario_call_t *w = ctx;

	w->err = err;
	w->status = status;
	w->ended = clock_now();
	for (const char *const *h = reported_headers; *h; h++) {
		str_t v = http_call_header(call, *h);

		if (v.data)
			g_string_append_printf(w->headers, "%s: %s\n", *h,
					       v.data);
	}
	if (--w->batch->open == 0)
		ev_break(w->batch->loop, EVBREAK_ALL);
}

static const http_call_ops_t call_ops = { .data = on_data_, .done = on_done_ };

static const char *get_field_(lua_State *L, int at, const char *name,
			      const char *fallback)
{
	const char *v;

	lua_getfield(L, at, name);
	v = lua_isnil(L, -1) ? fallback : lua_tostring(L, -1);
	lua_pop(L, 1);
	return v;
}

static GPtrArray *header_lines_(lua_State *L, int at)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);

	lua_getfield(L, at, "headers");
	if (lua_istable(L, -1)) {
		lua_pushnil(L);
		while (lua_next(L, -2)) {
			g_ptr_array_add(lines,
					g_strdup_printf("%s: %s",
							lua_tostring(L, -2),
							lua_tostring(L, -1)));
			lua_pop(L, 1);
		}
	}
	lua_pop(L, 1);
	g_ptr_array_add(lines, NULL);
	return lines;
}

static void start_call_(lua_State *L, int at, http_client_t *client,
			scenario_call_t *w)
{
	GPtrArray *lines = header_lines_(L, at);
	size_t len = 0;
	const char *body;
	lua_Integer timeout;
	http_call_spec_t spec = { .fresh = true };

	lua_getfield(L, at, "timeout_ms");
	timeout = luaL_optinteger(L, -1, TIMEOUT_DEFAULT_MS);
	lua_getfield(L, at, "keep");
	spec.fresh = !lua_toboolean(L, -1);
	lua_pop(L, 1);
	lua_getfield(L, at, "body");
	body = lua_isnil(L, -1) ? NULL : lua_tolstring(L, -1, &len);
	spec.method = get_field_(L, at, "method", "GET");
	spec.url = get_field_(L, at, "url", "");
	spec.headers = (const char *const *)lines->pdata;
	spec.body = (str_t){ body, len };
	spec.deadline = clock_now() + timeout;
	w->started = clock_now();
	http_call_start(client, &spec, &call_ops, w);
	lua_pop(L, 2);
	g_ptr_array_unref(lines);
}

static void push_headers_(lua_State *L, const scenario_call_t *w)
{
	char **lines = g_strsplit(w->headers->str, "\n", -1);

	lua_newtable(L);
	for (char **line = lines; *line; line++) {
		char *colon = strchr(*line, ':');

		if (!colon)
			continue;
		*colon = '\0';
		lua_pushstring(L, colon + 2);
		lua_setfield(L, -2, *line);
	}
	g_strfreev(lines);
}

static void push_result_(lua_State *L, const scenario_call_t *w)
{
	lua_newtable(L);
	lua_pushinteger(L, w->status);
	lua_setfield(L, -2, "status");
	if (w->err) {
		lua_pushstring(L, http_err_string[-w->err]);
		lua_setfield(L, -2, "err");
	}
	lua_pushlstring(L, w->body->str, w->body->len);
	lua_setfield(L, -2, "body");
	lua_pushinteger(L, w->ended - w->started);
	lua_setfield(L, -2, "ms");
	lua_pushinteger(L, w->first ? w->first - w->started : -1);
	lua_setfield(L, -2, "first_ms");
	push_headers_(L, w);
	lua_setfield(L, -2, "headers");
}

/* Concurrent requests on an event loop of their own. */
typedef struct scenario_batch {
	batch_t batch;
	http_client_t *client; /* own, or the shared one */
	http_client_t own;
	scenario_call_t *calls;
	lua_Integer count;
	GThread *thread;
} scenario_batch_t;

/*
 * Requests with keep = true share connections, also between batches; only one
 * such batch may be open at a time.
 */
static struct {
	struct ev_loop *loop;
	http_client_t client;
} shared;

static bool keeps_connections_(lua_State *L)
{
	bool keep;

	if (lua_geti(L, 1, 1) != LUA_TTABLE) {
		lua_pop(L, 1);
		return false;
	}
	lua_getfield(L, -1, "keep");
	keep = lua_toboolean(L, -1);
	lua_pop(L, 2);
	if (keep && !shared.loop) {
		shared.loop = ev_loop_new(EVFLAG_AUTO);
		http_client_init(&shared.client, shared.loop);
	}
	return keep;
}

static scenario_batch_t *start_batch_(lua_State *L)
{
	scenario_batch_t *b = g_new0(scenario_batch_t, 1);

	b->count = luaL_len(L, 1);
	b->calls = g_new0(scenario_call_t, (gsize)b->count + 1);
	if (keeps_connections_(L)) {
		b->batch = (batch_t){ shared.loop, (int)b->count };
		b->client = &shared.client;
	} else {
		b->batch = (batch_t){ ev_loop_new(EVFLAG_AUTO), (int)b->count };
		b->client = &b->own;
		http_client_init(b->client, b->batch.loop);
	}
	lua_getglobal(L, "CA_FILE");
	b->client->ca_file = lua_tostring(L, -1);
	lua_pop(L, 1);
	for (lua_Integer i = 0; i < b->count; i++) {
		b->calls[i].batch = &b->batch;
		b->calls[i].body = g_string_new(NULL);
		b->calls[i].headers = g_string_new(NULL);
		lua_geti(L, 1, i + 1);
		start_call_(L, lua_gettop(L), b->client, &b->calls[i]);
		lua_pop(L, 1);
	}
	return b;
}

static gpointer run_batch_(gpointer data)
{
	scenario_batch_t *b = data;

	while (b->batch.open > 0)
		ev_run(b->batch.loop, 0);
	return NULL;
}

static void push_batch_(lua_State *L, scenario_batch_t *b)
{
	lua_newtable(L);
	for (lua_Integer i = 0; i < b->count; i++) {
		push_result_(L, &b->calls[i]);
		lua_seti(L, -2, i + 1);
		g_string_free(b->calls[i].body, TRUE);
		g_string_free(b->calls[i].headers, TRUE);
	}
	if (b->client == &b->own) {
		http_client_finish(b->client);
		ev_loop_destroy(b->batch.loop);
	}
	g_free(b->calls);
	g_free(b);
}

/* http_all({request...}) -> {result...}; runs all concurrently */
static int http_all_(lua_State *L)
{
	scenario_batch_t *b = start_batch_(L);

	run_batch_(b);
	push_batch_(L, b);
	return 1;
}

/* http_start({request...}) -> handle; runs in the background */
static int http_start_(lua_State *L)
{
	scenario_batch_t *b = start_batch_(L);

	b->thread = g_thread_new("http", run_batch_, b);
	lua_pushlightuserdata(L, b);
	return 1;
}

/* http_finish(handle) -> {result...} */
static int http_finish_(lua_State *L)
{
	scenario_batch_t *b = lua_touserdata(L, 1);

	g_thread_join(b->thread);
	push_batch_(L, b);
	return 1;
}

static void push_json_(lua_State *L, const json_t *v)
{
	const char *key;
	json_t *item;
	size_t i;

	switch (json_typeof(v)) {
	case JSON_OBJECT:
		lua_newtable(L);
		json_object_foreach ((json_t *)v, key, item) {
			push_json_(L, item);
			lua_setfield(L, -2, key);
		}
		break;
	case JSON_ARRAY:
		lua_newtable(L);
		json_array_foreach ((json_t *)v, i, item) {
			push_json_(L, item);
			lua_seti(L, -2, (lua_Integer)i + 1);
		}
		break;
	case JSON_STRING:
		lua_pushlstring(L, json_string_value(v), json_string_length(v));
		break;
	case JSON_INTEGER:
		lua_pushinteger(L, json_integer_value(v));
		break;
	case JSON_REAL:
		lua_pushnumber(L, json_real_value(v));
		break;
	case JSON_TRUE:
	case JSON_FALSE:
		lua_pushboolean(L, json_is_true(v));
		break;
	default:
		lua_pushnil(L);
	}
}

static int json_decode_(lua_State *L)
{
	size_t len;
	const char *text = luaL_checklstring(L, 1, &len);
	json_t *v = json_loadb(text, len, JSON_DECODE_ANY, NULL);

	if (!v)
		return 0;
	push_json_(L, v);
	json_decref(v);
	return 1;
}

/* toml_decode(text) -> table */
static int toml_decode_(lua_State *L)
{
	size_t len;
	const char *text = luaL_checklstring(L, 1, &len);
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	json_t *v = settings_toml_to_json((str_t){ text, len }, faults);

	if (!v)
		return luaL_error(L, "%s", (char *)faults->pdata[0]);
	push_json_(L, v);
	json_decref(v);
	g_ptr_array_unref(faults);
	return 1;
}

static json_t *to_json_(lua_State *L, int at)
{
	json_t *out;

	at = lua_absindex(L, at);
	switch (lua_type(L, at)) {
	case LUA_TBOOLEAN:
		return json_boolean(lua_toboolean(L, at));
	case LUA_TNUMBER:
		return lua_isinteger(L, at) ? json_integer(lua_tointeger(L, at))
					    : json_real(lua_tonumber(L, at));
	case LUA_TSTRING:
		return json_string(lua_tostring(L, at));
	case LUA_TTABLE:
		break;
	default:
		return json_null();
	}
	if (luaL_len(L, at) > 0) {
		out = json_array();
		for (lua_Integer i = 1; i <= luaL_len(L, at); i++) {
			lua_geti(L, at, i);
			json_array_append_new(out, to_json_(L, -1));
			lua_pop(L, 1);
		}
		return out;
	}
	out = json_object();
	lua_pushnil(L);
	while (lua_next(L, at)) {
		json_object_set_new(out, lua_tostring(L, -2), to_json_(L, -1));
		lua_pop(L, 1);
	}
	return out;
}

static int json_encode_(lua_State *L)
{
	json_t *v = to_json_(L, 1);
	char *text = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);

	lua_pushstring(L, text);
	free(text);
	json_decref(v);
	return 1;
}

static int sha256_(lua_State *L)
{
	size_t len;
	const char *text = luaL_checklstring(L, 1, &len);
	unsigned char digest[crypto_hash_sha256_BYTES];
	char hex[2 * crypto_hash_sha256_BYTES + 1];

	crypto_hash_sha256(digest, (const unsigned char *)text, len);
	sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
	lua_pushstring(L, hex);
	return 1;
}

void register_http_functions(lua_State *L)
{
	lua_register(L, "http_all", http_all_);
	lua_register(L, "http_start", http_start_);
	lua_register(L, "http_finish", http_finish_);
	lua_register(L, "json_decode", json_decode_);
	lua_register(L, "json_encode", json_encode_);
	lua_register(L, "toml_decode", toml_decode_);
	lua_register(L, "sha256", sha256_);
}
