/*
 * Placements side by side in the model of the served systems.
 */
#include "private/ctl.h"
#include "private/experiment_work.h"
#include "private/plot.h"

#include <kcf/served_model.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define SEEDS_DEFAULT 20
/* The users' rule: at most this share in five seconds meets a full engine. */
#define RULE_SHARE 0.03

typedef struct experiment {
	served_conf_t conf;
	int seeds;
	int length_s;
	double out_from_s;
	double out_to_s;
	double add_s;
	int tell_ms;
	gboolean copies;
	gboolean tell_warmth;
	char *plot;
} experiment_t;

/* Sums over the seeds of one placement. */
typedef struct placement_sum {
	int arrivals;
	int refused;
	int warm;
	int reread;
	int over;
	int broken; /* seeds that break the rule */
	int peak;
	double first_p50_ms; /* of all seeds together */
	double first_p95_ms;
} placement_sum_t;

static bool parse_(experiment_t *x, int argc, char **argv)
{
	served_conf_t *c = &x->conf;
	const GOptionEntry entries[] = {
		{ "seeds", 0, 0, G_OPTION_ARG_INT, &x->seeds,
		  "Plays a placement, seeds 1 to N (20)", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &x->length_s,
		  "Time of arrivals (30)", "S" },
		{ "rate", 0, 0, G_OPTION_ARG_DOUBLE, &c->requests_per_s,
		  "Requests a second (100)", "N" },
		{ "clump", 0, 0, G_OPTION_ARG_DOUBLE, &c->mean_burst,
		  "Mean number that comes at once (3)", "N" },
		{ "nodes", 0, 0, G_OPTION_ARG_INT, &c->nodes,
		  "Nodes of the fleet (7)", "N" },
		{ "engines", 0, 0, G_OPTION_ARG_INT, &c->engines, "Engines (9)",
		  "N" },
		{ "data-centres", 0, 0, G_OPTION_ARG_INT, &c->data_centres,
		  "Data centres (3)", "N" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &c->slots,
		  "Requests that an engine runs at a time (64)", "N" },
		{ "prompts", 0, 0, G_OPTION_ARG_INT, &c->prompt_count,
		  "Different prompts (220)", "N" },
		{ "hot-share", 0, 0, G_OPTION_ARG_DOUBLE, &c->hot_fraction,
		  "Arrivals that ask for one prompt (0)", "0..1" },
		{ "cache", 0, 0, G_OPTION_ARG_INT, &c->cache_prompts,
		  "Prompts that an engine keeps (60)", "N" },
		{ "work-ms", 0, 0, G_OPTION_ARG_DOUBLE, &c->work_ms,
		  "Mean time from the first token to the last (450)", "MS" },
		{ "tell-ms", 0, 0, G_OPTION_ARG_INT, &x->tell_ms,
		  "Interval in which nodes tell loads", "MS" },
		{ "out-from", 0, 0, G_OPTION_ARG_DOUBLE, &x->out_from_s,
		  "A data centre is taken out", "S" },
		{ "out-to", 0, 0, G_OPTION_ARG_DOUBLE, &x->out_to_s,
		  "and back in", "S" },
		{ "add", 0, 0, G_OPTION_ARG_INT, &c->added_engines,
		  "Engines that are added", "N" },
		{ "add-at", 0, 0, G_OPTION_ARG_DOUBLE, &x->add_s,
		  "when they are added", "S" },
		{ "copies", 0, 0, G_OPTION_ARG_NONE, &x->copies,
		  "Engines copy prompts from each other", NULL },
		{ "tell-warmth", 0, 0, G_OPTION_ARG_NONE, &x->tell_warmth,
		  "Nodes tell each other of warm engines", NULL },
		{ "plot", 0, 0, G_OPTION_ARG_FILENAME, &x->plot,
		  "Write a picture of the first seed", "FILE.png" },
		{ 0 },
	};
	const char *word;

	if (!ctl_options("experiment", entries, argc, argv, &word))
		return false;
	if (word)
		fprintf(stderr, "kcfctl: unexpected argument %s\n", word);
	return !word;
}

/* NULL when the settings make sense, else what is wrong. */
static const char *wrong_(const experiment_t *x)
{
	const served_conf_t *c = &x->conf;

	if (x->seeds < 1 || x->length_s < 1 || x->tell_ms < 1)
		return "--seeds, --seconds and --tell-ms must be 1 or more";
	if (c->nodes < 1 || c->engines < 1 || c->data_centres < 1)
		return "--nodes, --engines and --data-centres must be 1 or "
		       "more";
	if (c->slots < 1 || c->prompt_count < 1 || c->cache_prompts < 1)
		return "--slots, --prompts and --cache must be 1 or more";
	if (!(c->requests_per_s > 0) || !(c->mean_burst >= 1) ||
	    !(c->work_ms > 0))
		return "--rate and --work-ms must be above 0, --clump 1 or "
		       "more";
	if (c->added_engines < 0 || x->add_s < 0 || x->out_from_s < 0)
		return "--add, --add-at and --out-from must not be negative";
	if (x->out_to_s > x->out_from_s &&
	    (c->data_centres < 2 || c->engines < 2))
		return "no engine is left when the data centre is out";
	return NULL;
}

static void settle_(experiment_t *x)
{
	served_conf_t *c = &x->conf;

	c->arrivals_ms = (mstime_t)x->length_s * MSEC_PER_SEC;
	c->gossip_interval_ms = x->tell_ms;
	c->drain_at = (mstime_t)(x->out_from_s * MSEC_PER_SEC);
	c->restore_at = (mstime_t)(x->out_to_s * MSEC_PER_SEC);
	c->add_at = (mstime_t)(x->add_s * MSEC_PER_SEC);
	c->copies = x->copies;
	c->share_warmth = x->tell_warmth;
}

static void add_(placement_sum_t *sum, const served_result_t *r)
{
	sum->arrivals += r->arrivals;
	sum->refused += r->refused;
	sum->warm += r->warm_hits;
	sum->reread += r->reread;
	sum->over += r->over_limit;
	sum->broken += r->over_limit_worst > RULE_SHARE;
	sum->peak = MAX(sum->peak, r->peak_load);
	sum->first_p50_ms += r->first_p50_ms;
	sum->first_p95_ms += r->first_p95_ms;
}

static placement_sum_t play_(const experiment_t *x, placement_t placement,
			     GArray *seconds)
{
	served_conf_t conf = x->conf;
	placement_sum_t sum = { 0 };

	conf.placement = placement;
	for (int seed = 1; seed <= x->seeds; seed++) {
		served_result_t r;

		conf.seed = (guint32)seed;
		served_run(&conf, &r, seed == 1 ? seconds : NULL);
		add_(&sum, &r);
	}
	sum.first_p50_ms /= x->seeds;
	sum.first_p95_ms /= x->seeds;
	return sum;
}

static double share_(int part, int whole)
{
	return whole ? (double)part / whole : 0;
}

static void print_table_(const experiment_t *x, const placement_sum_t *sums)
{
	printf("%-13s %9s %8s %6s %8s %8s %8s %5s %7s %7s\n", "placement",
	       "arrivals", "refused", "warm", "reread", "over", "broken",
	       "peak", "p50 ms", "p95 ms");
	for (int i = 0; i < PLACEMENT_COUNT; i++) {
		const placement_sum_t *s = &sums[i];

		printf("%-13s %9d %8d %6.3f %8d %8.4f %4d/%-3d %5d %7.0f "
		       "%7.0f\n",
		       placement_string[i], s->arrivals, s->refused,
		       share_(s->warm, s->arrivals), s->reread,
		       share_(s->over, s->arrivals), s->broken, x->seeds,
		       s->peak, s->first_p50_ms, s->first_p95_ms);
	}
}

static void print_json_(const experiment_t *x, const placement_sum_t *sums)
{
	json_t *items = json_array();
	json_t *report;
	char *text;

	for (int i = 0; i < PLACEMENT_COUNT; i++) {
		const placement_sum_t *s = &sums[i];

		json_array_append_new(
			items,
			json_pack("{s:s,s:i,s:i,s:f,s:i,s:f,s:i,s:i,s:f,s:f}",
				  "placement", placement_string[i], "arrivals",
				  s->arrivals, "refused", s->refused, "warm",
				  share_(s->warm, s->arrivals), "reread",
				  s->reread, "over",
				  share_(s->over, s->arrivals), "broken_seeds",
				  s->broken, "peak", s->peak, "first_p50_ms",
				  s->first_p50_ms, "first_p95_ms",
				  s->first_p95_ms));
	}
	report = json_pack("{s:i,s:o}", "seeds", x->seeds, "placements", items);
	text = json_dumps(report, JSON_INDENT(2));
	puts(text);
	free(text);
	json_decref(report);
}

/* Values of one placement for the picture, one a second. */
typedef struct line_values {
	double *peak;
	double *warm;
} line_values_t;

static line_values_t values_(const GArray *seconds, size_t count)
{
	line_values_t v = { g_new(double, count), g_new(double, count) };

	for (size_t i = 0; i < count; i++) {
		const served_second_t *s =
			&g_array_index(seconds, served_second_t, i);

		v.peak[i] = s->arrivals ? s->peak_load : NAN;
		v.warm[i] =
			s->arrivals ? share_(s->warm_hits, s->arrivals) : NAN;
	}
	return v;
}

static ctl_exit_t draw_(const char *path, GArray *const *seconds)
{
	plot_chart_t charts[] = {
		{ "highest load that a request met", PLACEMENT_COUNT },
		{ "share of warm prompts", PLACEMENT_COUNT },
	};
	line_values_t values[PLACEMENT_COUNT];
	size_t count = G_MAXSIZE;
	int err;

	for (int i = 0; i < PLACEMENT_COUNT; i++)
		count = MIN(count, seconds[i]->len);
	for (int i = 0; i < PLACEMENT_COUNT; i++) {
		const char *name = placement_string[i];

		values[i] = values_(seconds[i], count);
		charts[0].lines[i] = (plot_line_t){ name, values[i].peak };
		charts[1].lines[i] = (plot_line_t){ name, values[i].warm };
	}
	err = plot_write(path, charts, G_N_ELEMENTS(charts), count, 1.0);
	for (int i = 0; i < PLACEMENT_COUNT; i++) {
		g_free(values[i].peak);
		g_free(values[i].warm);
	}
	if (!err)
		return CTL_FINE;
	fprintf(stderr, "kcfctl: %s: %s\n", path, plot_err_string[-err]);
	return CTL_FAILED;
}

static ctl_exit_t run_(const ctl_t *c, const experiment_t *x)
{
	GArray *seconds[PLACEMENT_COUNT];
	placement_sum_t sums[PLACEMENT_COUNT];
	ctl_exit_t status = CTL_FINE;

	for (int i = 0; i < PLACEMENT_COUNT; i++) {
		seconds[i] = g_array_new(FALSE, TRUE, sizeof(served_second_t));
		sums[i] = play_(x, (placement_t)i, seconds[i]);
	}
	if (c->json)
		print_json_(x, sums);
	else
		print_table_(x, sums);
	if (x->plot)
		status = draw_(x->plot, seconds);
	for (int i = 0; i < PLACEMENT_COUNT; i++)
		g_array_unref(seconds[i]);
	return status;
}

ctl_exit_t cmd_experiment(ctl_t *c, int argc, char **argv)
{
	experiment_t x = { .seeds = SEEDS_DEFAULT };
	ctl_exit_t status = CTL_USAGE;
	const char *wrong;

	if (argc && !strcmp(argv[0], "work"))
		return experiment_work(c, argc - 1, argv + 1);
	served_conf_init(&x.conf);
	x.length_s = (int)(x.conf.arrivals_ms / MSEC_PER_SEC);
	x.tell_ms = (int)x.conf.gossip_interval_ms;
	if (!parse_(&x, argc, argv))
		goto out;
	wrong = wrong_(&x);
	if (wrong) {
		fprintf(stderr, "kcfctl: %s\n", wrong);
		goto out;
	}
	settle_(&x);
	status = run_(c, &x);
out:
	g_free(x.plot);
	return status;
}
