#include <kcf/counter.h>

#include <assert.h>
#include <stdatomic.h>
#include <string.h>

static _Atomic int64_t values[COUNTER_COUNT];

/* Parallel to counter_t. */
static const char *const names[COUNTER_COUNT] = {
	[COUNTER_REQUESTS] = "kcf_requests_total",
	[COUNTER_RESPONSES_COMPLETE] = "kcf_answers_whole_total",
	[COUNTER_RESPONSES_TRUNCATED] = "kcf_answers_cut_total",
	[COUNTER_FORWARDED] = "kcf_forwarded_total",
	[COUNTER_STREAMS_RESUMED] = "kcf_streams_resumed_total",
	[COUNTER_STREAMS_INCOMPLETE] = "kcf_streams_incomplete_total",
	[COUNTER_ANSWERS_UNFRAMED] = "kcf_answers_unframed_total",
	[COUNTER_ENDS_UNPROVEN] = "kcf_ends_unproven_total",
	[COUNTER_RESUMES_TOLD] = "kcf_resumes_total{version=\"told\"}",
	[COUNTER_STREAMS_UNSURE] = "kcf_streams_unsure_total",
	[COUNTER_STARTS_ASKED] = "kcf_starts_asked_total",
	[COUNTER_ORIGINS_DROPPED] = "kcf_origins_dropped_total",
	[COUNTER_RESUMES_ONLY] = "kcf_resumes_total{version=\"only_one\"}",
	[COUNTER_RESPONSES_MISMATCHED] = "kcf_crossed_answers_total",
	[COUNTER_RETRIES] = "kcf_retries_total",
	[COUNTER_RETRIES_CONNECT] =
		"kcf_retries_by_fault_total{fault=\"cannot_connect\"}",
	[COUNTER_RETRIES_SHED] = "kcf_retries_by_fault_total{fault=\"shed\"}",
	[COUNTER_RETRIES_INSTANCE] =
		"kcf_retries_by_fault_total{fault=\"other_start\"}",
	[COUNTER_RETRIES_DISCONNECT] =
		"kcf_retries_by_fault_total{fault=\"connection_broke\"}",
	[COUNTER_RETRIES_TIMEOUT] =
		"kcf_retries_by_fault_total{fault=\"timed_out\"}",
	[COUNTER_RETRIES_MISMATCH] =
		"kcf_retries_by_fault_total{fault=\"crossed_answer\"}",
	[COUNTER_RETRIES_ERROR] =
		"kcf_retries_by_fault_total{fault=\"upstream_error\"}",
	[COUNTER_RETRIES_RESUME] =
		"kcf_retries_by_fault_total{fault=\"resume_refused\"}",
	[COUNTER_RETRIES_UNBOUNDED] =
		"kcf_retries_by_fault_total{fault=\"answer_without_end\"}",
	[COUNTER_RETRIES_STALLED] =
		"kcf_retries_by_fault_total{fault=\"stream_stalled\"}",
	[COUNTER_RETRIES_INCOMPLETE] =
		"kcf_retries_by_fault_total{fault=\"stream_ended_early\"}",
	[COUNTER_RETRIES_UNABLE] =
		"kcf_retries_by_fault_total{fault=\"other_node_unable\"}",
	[COUNTER_RETRIES_UNCHARGED] = "kcf_retries_uncharged_total",
	[COUNTER_RETRIES_OVER_BUDGET] = "kcf_retries_over_budget_total",
	[COUNTER_SECOND_WRITES_STOPPED] = "kcf_second_writes_stopped_total",
	[COUNTER_OWNER_WAITS] = "kcf_owner_waits_total",
	[COUNTER_REFUSED_INPUT] = "kcf_refusals_total{reason=\"input\"}",
	[COUNTER_REFUSED_AUTH] = "kcf_refusals_total{reason=\"auth\"}",
	[COUNTER_REFUSED_LOAD] = "kcf_refusals_total{reason=\"load\"}",
	[COUNTER_REFUSED_DEADLINE] = "kcf_refusals_total{reason=\"deadline\"}",
	[COUNTER_REFUSED_UPSTREAM] = "kcf_refusals_total{reason=\"upstream\"}",
	[COUNTER_REFUSED_NOT_READY] =
		"kcf_refusals_total{reason=\"not_ready\"}",
	[COUNTER_REFUSED_QUARANTINE] =
		"kcf_refusals_total{reason=\"quarantine\"}",
	[COUNTER_REFUSED_RESUME] = "kcf_refusals_total{reason=\"resume\"}",
	[COUNTER_REFUSED_RATE] = "kcf_refusals_total{reason=\"rate\"}",
	[COUNTER_REFUSED_RESERVED] = "kcf_refusals_total{reason=\"reserved\"}",
	[COUNTER_CALLERS_DISCONNECTED] = "kcf_callers_gone_total",
	[COUNTER_CACHED_TOKENS] = "kcf_cached_tokens_total",
	[COUNTER_PROMPT_TOKENS] = "kcf_prompt_tokens_total",
	[COUNTER_PLACED_FIRST] = "kcf_placed_total{rank=\"first\"}",
	[COUNTER_PLACED_WARM] = "kcf_placed_total{rank=\"warm\"}",
	[COUNTER_PLACED_SPILL] = "kcf_placed_total{rank=\"spill\"}",
	[COUNTER_PLACED_WORK] = "kcf_placed_total{rank=\"work\"}",
	[COUNTER_QUEUED] = "kcf_queued_total",
	[COUNTER_CONFIG_APPLIED] = "kcf_config_applied_total",
	[COUNTER_CONFIG_REJECTED] = "kcf_config_rejected_total",
	[COUNTER_CONFIG_CONFLICTS] = "kcf_config_conflicts_total",
	[COUNTER_CONTROL_SENT_BYTES] = "kcf_control_sent_bytes_total",
	[COUNTER_CONTROL_RECEIVED_BYTES] = "kcf_control_received_bytes_total",
	[COUNTER_CONTROL_DROPPED] = "kcf_control_over_budget_total",
	[COUNTER_DATAGRAMS_REJECTED] = "kcf_datagrams_rejected_total",
	[COUNTER_LOG_ERRORS] = "kcf_log_errors_total",
	[COUNTER_STORE_NEWEST_CALLS] = "kcf_store_calls_total{call=\"newest\"}",
	[COUNTER_STORE_READ_CALLS] = "kcf_store_calls_total{call=\"read\"}",
	[COUNTER_STORE_APPEND_CALLS] = "kcf_store_calls_total{call=\"append\"}",
	[COUNTER_FEED_CALLS] = "kcf_feed_calls_total",
	[COUNTER_ONCE_RUNS] = "kcf_once_runs_total",
	[COUNTER_ONCE_REFUSED] = "kcf_once_refused_total",
	[COUNTER_ONCE_UNKNOWN] = "kcf_once_unknown_total",
	[COUNTER_CRASHES_SUSPECTED] = "kcf_crashes_suspected_total",
	[COUNTER_CRASH_CHECKS] = "kcf_crash_checks_total",
	[COUNTER_QUARANTINE_HOLDS] = "kcf_quarantine_holds_total",
	[COUNTER_QUARANTINE_RELEASES] = "kcf_quarantine_releases_total",
	[COUNTER_LEAVES_ANNOUNCED] = "kcf_leaves_announced_total",
	[COUNTER_RATES_NAMED] = "kcf_upstream_rates_total{change=\"named\"}",
	[COUNTER_RATES_ENDED] = "kcf_upstream_rates_total{change=\"ended\"}",
	[COUNTER_BRITTLE_NAMED] =
		"kcf_upstream_brittle_total{change=\"named\"}",
	[COUNTER_BRITTLE_ENDED] =
		"kcf_upstream_brittle_total{change=\"ended\"}",
	[COUNTER_RELAYS_SENT] = "kcf_relays_total{side=\"sent\"}",
	[COUNTER_RELAYS_SERVED] = "kcf_relays_total{side=\"served\"}",
	[COUNTER_RELAYS_UNABLE] = "kcf_relays_total{side=\"unable\"}",
	[COUNTER_CUTS] = "kcf_cuts_total",
	[COUNTER_WARMTH_TOLD] = "kcf_warmth_pairs_total{change=\"told\"}",
	[COUNTER_WARMTH_LEARNT] = "kcf_warmth_pairs_total{change=\"learnt\"}",
	[COUNTER_WARMTH_COPIES] = "kcf_warmth_used_total{for=\"copy\"}",
	[COUNTER_WARMTH_PLACED] = "kcf_warmth_used_total{for=\"placement\"}",
	[COUNTER_ROLLOUT_STEPS] = "kcf_rollout_steps_total",
	[COUNTER_ROLLOUT_BAD_ANSWERS] = "kcf_rollout_bad_answers_total",
	[COUNTER_ROLLOUT_LEASES_LOST] = "kcf_rollout_leases_lost_total",
	[COUNTER_ROLLOUTS_COMPLETED] =
		"kcf_rollouts_total{state=\"completed\"}",
	[COUNTER_ROLLOUTS_REVERTED] = "kcf_rollouts_total{state=\"reverted\"}",
	[COUNTER_SLOW_CALLERS_CUT] = "kcf_slow_cut_total{reader=\"caller\"}",
	[COUNTER_SLOW_REQUESTS_CUT] = "kcf_slow_cut_total{reader=\"upstream\"}",
	[GAUGE_OPEN_REQUESTS] = "kcf_open_requests",
	[GAUGE_APPLIED_OFFSET] = "kcf_applied_offset",
	[GAUGE_MEMBERS_LIVE] = "kcf_members_live",
	[GAUGE_SHARING_NODES] = "kcf_sharing_nodes",
	[GAUGE_BURST_PARTS] = "kcf_retry_burst_parts",
	[GAUGE_OWNED_UPSTREAMS] = "kcf_owned_upstreams",
	[GAUGE_QUEUE_LENGTH] = "kcf_queue_length",
	[GAUGE_QUARANTINE_HOLDS] = "kcf_quarantine_holds",
	[GAUGE_REACH_STATE] = "kcf_reach_state",
	[GAUGE_WORK_PENDING] = "kcf_work_pending_tokens",
	[GAUGE_WORK_PACE] = "kcf_work_pace",
	[GAUGE_ROLLOUT_SHARE] = "kcf_rollout_share_ppm",
	[GAUGE_HELD_ANSWERS] = "kcf_held_bytes{for=\"caller\"}",
	[GAUGE_HELD_REQUESTS] = "kcf_held_bytes{for=\"upstream\"}",
};

void counter_add(counter_t c, int64_t n)
{
	assert(c < COUNTER_COUNT);
	atomic_fetch_add_explicit(&values[c], n, memory_order_relaxed);
}

void counter_set(counter_t c, int64_t v)
{
	assert(c < COUNTER_COUNT);
	atomic_store_explicit(&values[c], v, memory_order_relaxed);
}

int64_t counter_get(counter_t c)
{
	assert(c < COUNTER_COUNT);
	return atomic_load_explicit(&values[c], memory_order_relaxed);
}

void counter_render(GString *out)
{
	size_t last_len = 0;

	for (int c = 0; c < COUNTER_COUNT; c++) {
		size_t len = strcspn(names[c], "{");
		bool gauge = c >= GAUGE_OPEN_REQUESTS;

		if (!c || len != last_len ||
		    strncmp(names[c], names[c - 1], len) != 0)
			g_string_append_printf(out, "# TYPE %.*s %s\n",
					       (int)len, names[c],
					       gauge ? "gauge" : "counter");
		last_len = len;
		g_string_append_printf(out, "%s %" G_GINT64_FORMAT "\n",
				       names[c], counter_get((counter_t)c));
	}
}
