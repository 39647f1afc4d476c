/*
 * A service of few slots in a traffic peak, without and with admission.
 */
#include "private/ctl.h"

#include <kcf/peak_model.h>
#include <stdio.h>

#define SEEDS_DEFAULT 20
#define ROWS (PEAK_KINDS + 3)

typedef struct peak_options {
	peak_conf_t conf;
	int seeds;
	int length_s;
	bool alike;
} peak_options_t;

static bool parse_(peak_options_t *o, int argc, char **argv)
{
	peak_conf_t *c = &o->conf;
	gboolean alike = FALSE;
	const GOptionEntry entries[] = {
		{ "seeds", 0, 0, G_OPTION_ARG_INT, &o->seeds,
		  "Plays seeds 1 to N (20)", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &o->length_s,
		  "Time of arrivals (60)", "S" },
		{ "factor", 0, 0, G_OPTION_ARG_DOUBLE, &c->factor,
		  "Of the traffic in the peak (2)", "N" },
		{ "large", 0, 0, G_OPTION_ARG_DOUBLE, &c->large_factor,
		  "Of one customer's traffic, on top of it (8)", "N" },
		{ "wave", 0, 0, G_OPTION_ARG_DOUBLE, &c->wave,
		  "Amplitude of the wave (0.55)", "0..1" },
		{ "nodes", 0, 0, G_OPTION_ARG_INT, &c->nodes,
		  "Nodes of the fleet (69)", "N" },
		{ "customers", 0, 0, G_OPTION_ARG_INT, &c->customers,
		  "Customers of the service (24)", "N" },
		{ "work-ms", 0, 0, G_OPTION_ARG_DOUBLE, &c->work_ms,
		  "Mean time of a request (60)", "MS" },
		{ "alike", 0, 0, G_OPTION_ARG_NONE, &alike,
		  "Both kinds are equally urgent", NULL },
		{ 0 },
	};
	const char *word;

	if (!ctl_options("peak", entries, argc, argv, &word))
		return false;
	o->alike = alike;
	if (word)
		fprintf(stderr, "kcfctl: unexpected argument %s\n", word);
	return !word;
}

/* NULL when the settings make sense, else what is wrong. */
static const char *wrong_(const peak_options_t *o)
{
	const peak_conf_t *c = &o->conf;

	if (o->seeds < 1 || o->length_s < 1)
		return "--seeds and --seconds must be 1 or more";
	if (c->nodes < 1 || c->customers < 1 ||
	    c->customers > PEAK_CUSTOMERS_MAX)
		return "--nodes must be 1 or more, --customers 1 to 64";
	if (!(c->factor > 0) || !(c->large_factor > 0) || !(c->work_ms > 0))
		return "--factor, --large and --work-ms must be above 0";
	if (!(c->wave >= 0) || !(c->wave <= 1))
		return "--wave must be 0 to 1";
	return NULL;
}

static void play_(const peak_options_t *o, bool admission, peak_tally_t *rows)
{
	peak_conf_t conf = o->conf;

	conf.admission = admission;
	for (int seed = 1; seed <= o->seeds; seed++) {
		peak_result_t r;

		conf.seed = (guint32)seed;
		peak_run(&conf, &r);
		for (int k = 0; k < PEAK_KINDS; k++) {
			peak_tally_add(&rows[k], &r.kinds[k]);
			peak_tally_add(&rows[ROWS - 1], &r.kinds[k]);
		}
		peak_tally_add(&rows[PEAK_KINDS], &r.large);
		peak_tally_add(&rows[PEAK_KINDS + 1], &r.others);
	}
}

static const char *row_name_(const peak_conf_t *c, int row)
{
	static const char *const names[] = { "large", "others", "all" };

	return row < PEAK_KINDS ? c->kinds[row].name : names[row - PEAK_KINDS];
}

static double share_(double part, const peak_tally_t *t)
{
	return t->requests ? part / t->requests : 0;
}

static void print_table_(const peak_options_t *o, bool admission,
			 const peak_tally_t *rows)
{
	printf("%-9s %-9s %9s %8s %8s %8s %8s %8s %7s\n",
	       admission ? "admission" : "none", "", "requests", "in time",
	       "try in t", "late", "rejected", "lost", "worth");
	for (int i = 0; i < ROWS; i++) {
		const peak_tally_t *t = &rows[i];

		printf("%-9s %-9s %9d %8.4f %8.4f %8.4f %8.4f %8.4f %7.4f\n",
		       "", row_name_(&o->conf, i), t->requests,
		       share_(t->in_time, t), share_(t->tries_in_time, t),
		       share_(t->late, t), share_(t->rejected, t),
		       share_(t->lost, t), share_(t->worth, t));
	}
}

static json_t *json_of_(const peak_options_t *o, const peak_tally_t *rows)
{
	json_t *list = json_array();

	for (int i = 0; i < ROWS; i++) {
		const peak_tally_t *t = &rows[i];

		json_array_append_new(
			list,
			json_pack("{s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:f}", "name",
				  row_name_(&o->conf, i), "requests",
				  t->requests, "in_time", t->in_time,
				  "tries_in_time", t->tries_in_time, "late",
				  t->late, "rejected", t->rejected, "lost",
				  t->lost, "worth", t->worth));
	}
	return list;
}

static void print_json_(const peak_options_t *o, const peak_tally_t *without,
			const peak_tally_t *with)
{
	json_t *report =
		json_pack("{s:i,s:o,s:o}", "seeds", o->seeds, "none",
			  json_of_(o, without), "admission", json_of_(o, with));
	char *text = json_dumps(report, JSON_INDENT(2));

	puts(text);
	free(text);
	json_decref(report);
}

ctl_exit_t cmd_peak(ctl_t *c, int argc, char **argv)
{
	peak_options_t o = { .seeds = SEEDS_DEFAULT };
	peak_tally_t without[ROWS] = { 0 };
	peak_tally_t with[ROWS] = { 0 };
	const char *wrong;

	peak_conf_init(&o.conf);
	o.length_s = (int)(o.conf.arrivals_ms / MSEC_PER_SEC);
	if (!parse_(&o, argc, argv))
		return CTL_USAGE;
	wrong = wrong_(&o);
	if (wrong) {
		fprintf(stderr, "kcfctl: %s\n", wrong);
		return CTL_USAGE;
	}
	o.conf.arrivals_ms = (mstime_t)o.length_s * MSEC_PER_SEC;
	if (o.alike)
		o.conf.kinds[1].urgency = o.conf.kinds[0].urgency;
	play_(&o, false, without);
	play_(&o, true, with);
	if (c->json) {
		print_json_(&o, without, with);
		return CTL_FINE;
	}
	print_table_(&o, false, without);
	print_table_(&o, true, with);
	return CTL_FINE;
}
