/*
 * plot - line charts over time, one below the other, as a PNG picture.
 */
#ifndef KCF_PRIVATE_PLOT_H
#define KCF_PRIVATE_PLOT_H

#include <stdbool.h>
#include <stddef.h>

#define PLOT_LINES_MAX 4

typedef struct plot_line {
	const char *name;
	const double *values; /* one a step, NAN for none */
} plot_line_t;

typedef struct plot_chart {
	const char *title; /* with the unit of the values */
	size_t line_count;
	plot_line_t lines[PLOT_LINES_MAX];
} plot_chart_t;

typedef enum plot_err {
	PLOT_OK = 0,
	PLOT_EFILE = -1,
	PLOT_EMEMORY = -2,
} plot_err_t;

/* Parallel to plot_err_t, indexed by the negated error. */
extern const char *const plot_err_string[];

/*
 * plot_write - draws charts and writes the file.
 * @charts: at least one
 * @steps:  values of each line, at least 1
 * @step_s: seconds between two values
 *
 * Return: PLOT_OK or a negative plot_err_t.
 */
int plot_write(const char *path, const plot_chart_t *charts, size_t chart_count,
	       size_t steps, double step_s);

#endif
