#include "fuzz.h"

#include "../../packages/gateway/private/gateway.h"
#include "../../packages/node/private/hop.h"
#include "../../packages/node/private/job_header.h"
#include "../../packages/node/private/once_key.h"
#include "../../packages/node/private/peer_proof.h"
#include "../../platform/platform_protocol.h"
#include <kcf/config.h>
#include <kcf/datagram.h>
#include <kcf/quarantine_report.h>
#include <kcf/jobs.h>
#include <kcf/logline.h>
#include <kcf/once.h>
#include <kcf/settings.h>
#include <kcf/sse.h>
#include <string.h>

static const unsigned char key[PEER_KEY_BYTES] = { 1, 2, 3 };
/* Time at which reports are applied. */
#define FUZZ_NOW 1000000

static str_t view_(const uint8_t *data, size_t size)
{
	return (str_t){ (const char *)data, size };
}

static const quarantine_ops_t quarantine_ops = { 0 };

static void fuzz_origins_(const uint8_t *data, size_t size)
{
	peer_origins_t m = { 0 };
	XDR xdrs;

	if (!datagram_decode_origins(key, view_(data, size), 0, &m))
		datagram_free_origins(&m);
	m = (peer_origins_t){ 0 };
	xdrmem_create(&xdrs, (char *)data, (u_int)size, XDR_DECODE);
	(void)xdr_peer_origins_t(&xdrs, &m);
	xdr_destroy(&xdrs);
	datagram_free_origins(&m);
}

static void fuzz_doubts_(const uint8_t *data, size_t size)
{
	peer_doubts_t m = { 0 };
	XDR xdrs;

	if (!datagram_decode_doubts(key, view_(data, size), 0, &m))
		datagram_free_doubts(&m);
	m = (peer_doubts_t){ 0 };
	xdrmem_create(&xdrs, (char *)data, (u_int)size, XDR_DECODE);
	(void)xdr_peer_doubts_t(&xdrs, &m);
	xdr_destroy(&xdrs);
	datagram_free_doubts(&m);
}

static void fuzz_versions_(const uint8_t *data, size_t size)
{
	peer_versions_t m = { 0 };
	XDR xdrs;

	if (!datagram_decode_versions(key, view_(data, size), 0, &m))
		datagram_free_versions(&m);
	m = (peer_versions_t){ 0 };
	xdrmem_create(&xdrs, (char *)data, (u_int)size, XDR_DECODE);
	(void)xdr_peer_versions_t(&xdrs, &m);
	xdr_destroy(&xdrs);
	datagram_free_versions(&m);
}

static void fuzz_warmth_(const uint8_t *data, size_t size)
{
	peer_warmth_t m = { 0 };
	XDR xdrs;

	if (!datagram_decode_warmth(key, view_(data, size), 0, &m))
		datagram_free_warmth(&m);
	m = (peer_warmth_t){ 0 };
	xdrmem_create(&xdrs, (char *)data, (u_int)size, XDR_DECODE);
	(void)xdr_peer_warmth_t(&xdrs, &m);
	xdr_destroy(&xdrs);
	datagram_free_warmth(&m);
}

static void fuzz_rollout_(const uint8_t *data, size_t size)
{
	peer_rollout_evidence_t evidence = { 0 };
	peer_rollout_state_t state = { 0 };
	XDR xdrs;

	if (!datagram_decode_evidence(key, view_(data, size), 0, &evidence))
		datagram_free_evidence(&evidence);
	if (!datagram_decode_rollout(key, view_(data, size), 0, &state))
		datagram_free_rollout(&state);
	xdrmem_create(&xdrs, (char *)data, (u_int)size, XDR_DECODE);
	(void)xdr_peer_rollout_evidence_t(&xdrs, &evidence);
	xdr_destroy(&xdrs);
	datagram_free_evidence(&evidence);
	xdrmem_create(&xdrs, (char *)data, (u_int)size, XDR_DECODE);
	(void)xdr_peer_rollout_state_t(&xdrs, &state);
	xdr_destroy(&xdrs);
	datagram_free_rollout(&state);
}

static void fuzz_crash_report_(const uint8_t *data, size_t size)
{
	peer_crash_report_t r = { 0 };
	quarantine_t q;
	XDR xdrs;

	if (!datagram_decode_crashes(key, view_(data, size), 0, &r))
		datagram_free_crashes(&r);
	memset(&r, 0, sizeof(r));
	quarantine_init(&q, 0, &quarantine_ops, NULL);
	xdrmem_create(&xdrs, (char *)data, (u_int)size, XDR_DECODE);
	if (xdr_peer_crash_report_t(&xdrs, &r))
		quarantine_report_apply(&q, &r, FUZZ_NOW);
	xdr_destroy(&xdrs);
	datagram_free_crashes(&r);
	quarantine_finish(&q);
}

/* Also the part behind the MAC, which random bytes would never reach. */
int fuzz_datagram(const uint8_t *data, size_t size)
{
	peer_message_t m = { 0 };
	unsigned int proc;
	XDR xdrs;

	if (!datagram_decode(key, view_(data, size), 0, &proc, &m))
		datagram_free(&m);
	xdrmem_create(&xdrs, (char *)data, (u_int)size, XDR_DECODE);
	memset(&m, 0, sizeof(m));
	xdr_peer_message_t(&xdrs, &m);
	xdr_destroy(&xdrs);
	datagram_free(&m);
	fuzz_crash_report_(data, size);
	fuzz_origins_(data, size);
	fuzz_doubts_(data, size);
	fuzz_versions_(data, size);
	fuzz_warmth_(data, size);
	fuzz_rollout_(data, size);
	return 0;
}

int fuzz_settings(const uint8_t *data, size_t size)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	settings_t s;

	settings_init(&s);
	settings_parse(&s, view_(data, size), faults);
	settings_finish(&s);
	g_ptr_array_unref(faults);
	return 0;
}

int fuzz_resource(const uint8_t *data, size_t size)
{
	json_t *body = json_loadb((const char *)data, size, 0, NULL);
	GPtrArray *faults = schema_faults_new();

	for (int k = 0; body && k < KIND_COUNT; k++)
		schema_check(body, resource_fields((resource_kind_t)k), "",
			     faults);
	g_ptr_array_unref(faults);
	json_decref(body);
	return 0;
}

int fuzz_record(const uint8_t *data, size_t size)
{
	config_t c;
	config_result_t r;
	once_keys_t once;
	job_stream_t jobs;

	config_init(&c);
	once_keys_init(&once);
	job_stream_init(&jobs);
	config_apply_record(&c, 1, 0, view_(data, size), &r);
	config_result_finish(&r);
	config_scan_snapshot(&c, 1, 0, view_(data, size));
	once_apply_record(&once, 1, 0, view_(data, size));
	job_apply_record(&jobs, 1, 0, view_(data, size));
	config_finish(&c);
	once_keys_finish(&once);
	job_stream_finish(&jobs);
	return 0;
}

int fuzz_events(const uint8_t *data, size_t size)
{
	sse_event_t event;
	sse_t s;

	sse_init(&s);
	sse_feed(&s, view_(data, size / 2));
	while (sse_next(&s, &event))
		sse_pass_on(&s);
	sse_feed(&s, view_(data + size / 2, size - size / 2));
	sse_take_lf(&s);
	while (sse_next(&s, &event))
		;
	sse_ends_inside_event(sse_rest(&s));
	sse_finish(&s);
	return 0;
}

int fuzz_headers(const uint8_t *data, size_t size)
{
	str_t text = view_(data, size);
	issued_key_t issued;
	char customer[64];
	hop_t hop;

	hop_parse(key, "r", text, &hop);
	once_key_is_valid(text);
	once_key_parse_issued(key, text, &issued);
	peer_proof_is_valid(key, 0, text);
	job_header_parse(key, "j", text, customer, sizeof(customer));
	return 0;
}

static void fuzz_feeds_(gateway_t *g, str_t text)
{
	feed_record_t config = { .key = str_of("config"),
				 .data = text,
				 .offset = 1 };
	feed_record_t upstream = { .key = str_of("u"),
				   .data = text,
				   .offset = 1 };
	str_t after;
	json_t *mirror = feed_sync_parse(text, &after);

	feeds_apply_record(&g->feed_states[FEED_OPERATORS], &config, 1);
	feeds_apply_record(&g->feed_states[FEED_UPSTREAMS], &upstream, 1);
	if (mirror)
		feed_sync_apply(&g->feed_states[FEED_UPSTREAMS], mirror, &after,
				1, 1);
	json_decref(mirror);
}

/* Records and answers of the platform, and what other nodes tell of them. */
int fuzz_platform(const uint8_t *data, size_t size)
{
	GArray *records = g_array_new(FALSE, TRUE, sizeof(feed_record_t));
	gateway_t g = { .protocol = &platform_protocol };
	uint64_t next;
	double per_s;

	logline_setup("fuzz", LOG_EMERG);
	if (platform_parse_rate(view_(data, size), &per_s) && !(per_s >= 0))
		abort();
	balance_init(&g.balance, "dc", 1);
	versions_init(&g.versions, 1);
	g.forwards = g_hash_table_new(NULL, NULL);
	feeds_init(&g);
	platform_parse_log_records(view_(data, size), 0, records, &next);
	fuzz_feeds_(&g, view_(data, size));
	feeds_finish(&g);
	g_hash_table_destroy(g.forwards);
	versions_finish(&g.versions);
	balance_finish(&g.balance);
	route_table_unref(g.table);
	g_array_unref(records);
	return 0;
}
