#include <kcf/quarantine_report.h>

#include <assert.h>
#include <kcf/counter.h>
#include <kcf/logline.h>

/* Bits of the flags of a crash. */
#define FLAG_WEAK 1u
#define FLAG_ALIVE 2u
#define FLAG_KNOWN 4u
/* Size of an upstream's key as text, with its end. */
#define KEY_TEXT_MAX 16

static u_int age_(mstime_t at, mstime_t now)
{
	return (u_int)CLAMP(now - at, 0, QUARANTINE_KEEP_MS);
}

static void encode_crash_(quarantine_crash_t *c, mstime_t now,
			  peer_crash_t *out)
{
	*out = (peer_crash_t){
		.upstream = c->upstream,
		.age_ms = (u_int)CLAMP(now - c->at, 0, UINT32_MAX),
		.seen_age_ms = age_(c->seen_at, now),
		.flags = (c->weak ? FLAG_WEAK : 0) |
			 (c->alive ? FLAG_ALIVE : 0) |
			 (c->known ? FLAG_KNOWN : 0),
		.request = c->prompt.request,
	};
	out->segments.segments_len = (u_int)c->prompt.count;
	out->segments.segments_val = (u_quad_t *)c->prompt.segments;
}

static void decode_crash_(const peer_crash_t *m, mstime_t now,
			  quarantine_crash_t *out)
{
	*out = (quarantine_crash_t){
		.upstream = m->upstream,
		/* 0 stands for no time. */
		.at = MAX(1, now - (mstime_t)m->age_ms),
		.seen_at = now - (mstime_t)m->seen_age_ms,
		.prompt.request = m->request,
		.weak = m->flags & FLAG_WEAK,
		.alive = m->flags & FLAG_ALIVE,
		.known = m->flags & FLAG_KNOWN,
	};
	for (u_int i = 0; i < m->segments.segments_len; i++)
		out->prompt.segments[out->prompt.count++] =
			m->segments.segments_val[i];
}

void quarantine_report_fill(quarantine_t *q, quarantine_report_t *r,
			    mstime_t now)
{
	quarantine_answered_t answered[PEER_ANSWERED_MAX];
	int crash_count;
	int answered_count;

	assert(q && r);
	crash_count = quarantine_collect(q, r->collected, PEER_CRASHES_MAX);
	answered_count = quarantine_collect_answered(q, now, answered,
						     PEER_ANSWERED_MAX);
	for (int i = 0; i < crash_count; i++)
		encode_crash_(&r->collected[i], now, &r->crashes[i]);
	for (int i = 0; i < answered_count; i++)
		r->answered[i] = (peer_answered_t){ answered[i].key,
						    age_(answered[i].at, now) };
	r->message = (peer_crash_report_t){ .sent = (u_quad_t)clock_wall() };
	r->message.crashes.crashes_len = (u_int)crash_count;
	r->message.crashes.crashes_val = r->crashes;
	r->message.answered.answered_len = (u_int)answered_count;
	r->message.answered.answered_val = r->answered;
}

void quarantine_report_apply(quarantine_t *q, const peer_crash_report_t *m,
			     mstime_t now)
{
	assert(q && m);
	for (u_int i = 0; i < m->answered.answered_len; i++) {
		const peer_answered_t *a = &m->answered.answered_val[i];
		quarantine_answered_t answered = { a->key,
						   now - (mstime_t)a->age_ms };

		quarantine_merge_answered(q, &answered, now);
	}
	for (u_int i = 0; i < m->crashes.crashes_len; i++) {
		quarantine_crash_t c;

		decode_crash_(&m->crashes.crashes_val[i], now, &c);
		quarantine_merge_crash(q, &c, now);
	}
}

/* An upstream's key as it is logged. */
static void format_key_(uint32_t upstream, char *out)
{
	g_snprintf(out, KEY_TEXT_MAX, "%08x", upstream);
}

char *quarantine_format_prompt(const quarantine_prompt_t *p)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < p->count; i++)
		g_string_append_printf(text, "%s%016" G_GINT64_MODIFIER "x",
				       i ? "," : "", p->segments[i]);
	return g_string_free(text, FALSE);
}

void quarantine_format_request(const quarantine_prompt_t *p, char *out)
{
	g_snprintf(out, QUARANTINE_REQUEST_TEXT_MAX,
		   "%016" G_GINT64_MODIFIER "x", p->request);
}

void quarantine_log_suspected(void *ctx, const quarantine_crash_t *crash)
{
	char *segments = quarantine_format_prompt(&crash->prompt);
	char fingerprint[QUARANTINE_REQUEST_TEXT_MAX];
	char upstream[KEY_TEXT_MAX];

	(void)ctx;
	format_key_(crash->upstream, upstream);
	quarantine_format_request(&crash->prompt, fingerprint);
	counter_add(COUNTER_CRASHES_SUSPECTED, 1);
	LOG_EVENT(LOG_NOTICE, "quarantine.suspected", F_STR("key", upstream),
		  F_INT("weak", crash->weak), F_INT("alive", crash->alive),
		  F_INT("known", crash->known),
		  F_STR("fingerprint", fingerprint),
		  F_STR("segments", segments));
	g_free(segments);
}

/* Time for which a request must stay away before it may be tried again. */
static mstime_t hold_ms_(const quarantine_hold_t *hold)
{
	if (hold->until == MSTIME_NEVER)
		return QUARANTINE_KEEP_MS;
	return hold->until - hold->last_at;
}

static void log_hold_(const char *event, const quarantine_hold_t *hold,
		      const char *why)
{
	char *segments = quarantine_format_prompt(&hold->prompt);
	char fingerprint[QUARANTINE_REQUEST_TEXT_MAX];

	quarantine_format_request(&hold->prompt, fingerprint);
	LOG_EVENT(LOG_NOTICE, event, F_STR("fingerprint", fingerprint),
		  F_STR("segments", segments), F_STR("why", why),
		  F_INT("crashes", hold->crashes),
		  F_INT("over_ms", hold->last_at - hold->first_at),
		  F_INT("hold_ms", hold_ms_(hold)),
		  F_INT("final", hold->until == MSTIME_NEVER));
	g_free(segments);
}

void quarantine_log_held(void *ctx, const quarantine_hold_t *hold)
{
	(void)ctx;
	counter_add(COUNTER_QUARANTINE_HOLDS, 1);
	log_hold_("quarantine.held", hold, "upstreams crashed");
}

void quarantine_log_released(void *ctx, const quarantine_hold_t *hold,
			     const char *why)
{
	(void)ctx;
	counter_add(COUNTER_QUARANTINE_RELEASES, 1);
	log_hold_("quarantine.released", hold, why);
}

static json_t *hold_json_(const quarantine_hold_t *h, mstime_t now)
{
	bool final = h->until == MSTIME_NEVER;
	char *segments = quarantine_format_prompt(&h->prompt);
	char fingerprint[QUARANTINE_REQUEST_TEXT_MAX];
	mstime_t rest_ms = final ? hold_ms_(h) : h->until - now;
	json_t *o;

	quarantine_format_request(&h->prompt, fingerprint);
	o = json_pack("{s:s,s:s,s:i,s:I,s:I,s:b}", "fingerprint", fingerprint,
		      "segments", segments, "crashes", h->crashes,
		      "last_crash_age_ms", (json_int_t)(now - h->last_at),
		      "hold_ms", (json_int_t)MAX(0, rest_ms), "final", final);

	g_free(segments);
	return o;
}

static json_t *crash_json_(const quarantine_crash_t *c, mstime_t now)
{
	char *segments = quarantine_format_prompt(&c->prompt);
	char fingerprint[QUARANTINE_REQUEST_TEXT_MAX];
	char key[KEY_TEXT_MAX];
	json_t *o;

	format_key_(c->upstream, key);
	quarantine_format_request(&c->prompt, fingerprint);
	o = json_pack("{s:s,s:I,s:b,s:b,s:b,s:s,s:s}", "upstream_key", key,
		      "age_ms", (json_int_t)(now - c->at), "weak", c->weak,
		      "alive", c->alive, "known", c->known, "fingerprint",
		      fingerprint, "segments", segments);
	g_free(segments);
	return o;
}

json_t *quarantine_report_json(const quarantine_t *q, mstime_t now)
{
	json_t *holds = json_array();
	json_t *crashes = json_array();

	assert(q);
	for (int i = 0; i < q->hold_count; i++)
		json_array_append_new(holds, hold_json_(&q->holds[i], now));
	for (int i = 0; i < q->crash_count; i++)
		json_array_append_new(crashes,
				      crash_json_(&q->crashes[i], now));
	return json_pack("{s:o,s:o}", "items", holds, "crashes", crashes);
}
