#include "private/experiment_work.h"

#include <kcf/work_model.h>
#include <stdio.h>

#define SEEDS_DEFAULT 40

typedef struct experiment {
	work_conf_t conf;
	int seeds;
	int length_s;
	int skip_s;
} experiment_t;

static bool parse_(experiment_t *x, int argc, char **argv)
{
	work_conf_t *c = &x->conf;
	const GOptionEntry entries[] = {
		{ "seeds", 0, 0, G_OPTION_ARG_INT, &x->seeds,
		  "Plays a policy, seeds 1 to N (40)", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &x->length_s,
		  "Time of arrivals (30)", "S" },
		{ "skip", 0, 0, G_OPTION_ARG_INT, &x->skip_s,
		  "Time at the start that is not measured (0)", "S" },
		{ "nodes", 0, 0, G_OPTION_ARG_INT, &c->nodes,
		  "Nodes of the fleet (69)", "N" },
		{ "engines", 0, 0, G_OPTION_ARG_INT, &c->engines,
		  "Engines (60)", "N" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &c->slots,
		  "Requests that an engine runs at a time (64)", "N" },
		{ "long-rate", 0, 0, G_OPTION_ARG_DOUBLE,
		  &c->kinds[WORK_KIND_LONG].per_s,
		  "Long requests a second (87)", "N" },
		{ "chunk", 0, 0, G_OPTION_ARG_INT, &c->chunk_tokens,
		  "Prompt tokens between two output tokens (512)", "N" },
		{ "tokens-per-ms", 0, 0, G_OPTION_ARG_DOUBLE, &c->tokens_per_ms,
		  "Prefill rate (68)", "N" },
		{ "cache", 0, 0, G_OPTION_ARG_INT, &c->cache_tokens,
		  "Tokens in an engine's memory (550000)", "N" },
		{ "slow-pace", 0, 0, G_OPTION_ARG_INT, &c->slow_pace,
		  "Pace of a slow engine (250)", "N" },
		{ "slow-share", 0, 0, G_OPTION_ARG_DOUBLE, &c->slow_fraction,
		  "Time for which an engine is slow (0.15)", "0..1" },
		{ "lies", 0, 0, G_OPTION_ARG_DOUBLE, &c->pace_lie,
		  "Engines that report a false pace (0)", "0..1" },
		{ "hint-error", 0, 0, G_OPTION_ARG_DOUBLE, &c->hint_error,
		  "Hints are off by up to this factor (4)", "N" },
		{ "loss", 0, 0, G_OPTION_ARG_DOUBLE, &c->loss,
		  "Messages between nodes that are lost (0)", "0..1" },
		{ 0 },
	};
	const char *word;

	if (!ctl_options("experiment work", entries, argc, argv, &word))
		return false;
	if (word)
		fprintf(stderr, "kcfctl: unexpected argument %s\n", word);
	return !word;
}

/* NULL when the settings make sense, else what is wrong. */
static const char *wrong_(const experiment_t *x)
{
	const work_conf_t *c = &x->conf;

	if (x->seeds < 1 || x->length_s < 1 || x->skip_s < 0)
		return "--seeds and --seconds must be 1 or more, --skip 0 or "
		       "more";
	if (c->nodes < 1 || c->engines < 1 || c->slots < 1)
		return "--nodes, --engines and --slots must be 1 or more";
	if (!(c->kinds[WORK_KIND_LONG].per_s > 0) || c->chunk_tokens < 1 ||
	    !(c->tokens_per_ms > 0) || c->cache_tokens < 1)
		return "--long-rate, --chunk, --tokens-per-ms and --cache must "
		       "be above 0";
	if (c->slow_pace < 1 || !(c->hint_error >= 1))
		return "--slow-pace and --hint-error must be 1 or more";
	if (!(c->slow_fraction >= 0) || !(c->pace_lie >= 0) || !(c->loss >= 0))
		return "--slow-share, --lies and --loss must not be negative";
	return NULL;
}

static void play_(const experiment_t *x, work_policy_t policy,
		  work_result_t *sum)
{
	work_conf_t conf = x->conf;

	conf.policy = policy;
	conf.arrivals_ms = (mstime_t)x->length_s * MSEC_PER_SEC;
	conf.skip_ms = (mstime_t)x->skip_s * MSEC_PER_SEC;
	work_result_init(sum);
	for (int seed = 1; seed <= x->seeds; seed++) {
		conf.seed = (guint32)seed;
		work_model_run(&conf, sum);
	}
}

static double share_(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

static json_t *describe_(const experiment_t *x, work_policy_t policy,
			 work_result_t *r)
{
	json_t *item = json_pack(
		"{s:s,s:i,s:i,s:f,s:f,s:f,s:f,s:f}", "policy",
		work_policy_string[policy], "arrivals", r->arrivals, "refused",
		r->refused, "over", share_(r->over_limit, r->arrivals),
		"tokens_again", r->shared_tokens_again / x->seeds,
		"tokens_first", r->shared_tokens_first / x->seeds,
		"tokens_copied", r->tokens_copied / x->seeds,
		"notice_bytes_per_s",
		r->notice_bytes / x->seeds / x->conf.nodes / x->length_s);

	for (int k = 0; k < WORK_KIND_COUNT; k++)
		json_object_set_new(
			item, work_kind_string[k],
			json_pack("{s:f,s:f,s:f,s:f}", "p50_ms",
				  work_result_quantile(r->first_ms[k], 0.5),
				  "p95_ms",
				  work_result_quantile(r->first_ms[k], 0.95),
				  "p99_ms",
				  work_result_quantile(r->first_ms[k], 0.99),
				  "wait_p99_ms",
				  work_result_quantile(r->wait_ms[k], 0.99)));
	return item;
}

static void print_table_(const json_t *items)
{
	const json_t *item;
	size_t i;

	printf("%-15s %8s %7s %7s %9s %9s %9s %7s", "policy", "arrivals",
	       "refused", "over", "again", "first", "copied", "B/s");
	for (int k = 0; k < WORK_KIND_COUNT; k++)
		printf(" %6s p50 %5s %5s %6s", work_kind_string[k], "p95",
		       "p99", "wait99");
	puts("");
	json_array_foreach (items, i, item) {
		printf("%-15s %8d %7d %7.4f %9.0f %9.0f %9.0f "
		       "%7.0f",
		       json_string_value(json_object_get(item, "policy")),
		       (int)json_integer_value(
			       json_object_get(item, "arrivals")),
		       (int)json_integer_value(
			       json_object_get(item, "refused")),
		       json_real_value(json_object_get(item, "over")),
		       json_real_value(json_object_get(item, "tokens_again")),
		       json_real_value(json_object_get(item, "tokens_first")),
		       json_real_value(json_object_get(item, "tokens_copied")),
		       json_real_value(
			       json_object_get(item, "notice_bytes_per_s")));
		for (int k = 0; k < WORK_KIND_COUNT; k++) {
			const json_t *t =
				json_object_get(item, work_kind_string[k]);

			printf(" %10.0f %5.0f %5.0f %6.0f",
			       json_real_value(json_object_get(t, "p50_ms")),
			       json_real_value(json_object_get(t, "p95_ms")),
			       json_real_value(json_object_get(t, "p99_ms")),
			       json_real_value(
				       json_object_get(t, "wait_p99_ms")));
		}
		puts("");
	}
}

static void print_(const ctl_t *c, const json_t *items)
{
	char *text;

	if (!c->json) {
		print_table_(items);
		return;
	}
	text = json_dumps(items, JSON_INDENT(2));
	puts(text);
	free(text);
}

ctl_exit_t experiment_work(const ctl_t *c, int argc, char **argv)
{
	experiment_t x = { .seeds = SEEDS_DEFAULT };
	const char *wrong;
	json_t *items;

	work_conf_init(&x.conf);
	x.length_s = (int)(x.conf.arrivals_ms / MSEC_PER_SEC);
	if (!parse_(&x, argc, argv))
		return CTL_USAGE;
	wrong = wrong_(&x);
	if (wrong) {
		fprintf(stderr, "kcfctl: %s\n", wrong);
		return CTL_USAGE;
	}
	items = json_array();
	for (int i = 0; i < WORK_POLICY_COUNT; i++) {
		work_result_t sum;

		play_(&x, (work_policy_t)i, &sum);
		json_array_append_new(items,
				      describe_(&x, (work_policy_t)i, &sum));
		work_result_finish(&sum);
	}
	print_(c, items);
	json_decref(items);
	return CTL_FINE;
}
