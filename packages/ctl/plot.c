#include "private/plot.h"

#include <assert.h>
#include <cairo.h>
#include <math.h>
#include <stdio.h>

#define WIDTH 960
#define CHART_HEIGHT 300
#define MARGIN_LEFT 80.0
#define MARGIN_RIGHT 20.0
#define MARGIN_TOP 40.0
#define MARGIN_BOTTOM 40.0
#define FONT_SIZE 13
#define GRID_LINES 4
#define LEGEND_STEP 90.0

const char *const plot_err_string[] = {
	"ok",
	"cannot write the file",
	"out of memory",
};

static const double colours[PLOT_LINES_MAX][3] = {
	{ 0.12, 0.35, 0.70 },
	{ 0.85, 0.45, 0.10 },
	{ 0.75, 0.10, 0.15 },
	{ 0.20, 0.55, 0.25 },
};

/* One chart's frame in the picture. */
typedef struct frame {
	cairo_t *cr;
	double top;
	double max; /* value at the upper edge */
	size_t steps;
	double step_s;
} frame_t;

static double x_(const frame_t *f, size_t step)
{
	double width = WIDTH - MARGIN_LEFT - MARGIN_RIGHT;

	return MARGIN_LEFT + width * (double)step / (double)f->steps;
}

static double y_(const frame_t *f, double value)
{
	double height = CHART_HEIGHT - MARGIN_TOP - MARGIN_BOTTOM;

	return f->top + MARGIN_TOP + height * (1 - value / f->max);
}

/* A round number at or above the largest value. */
static double upper_edge_(const plot_chart_t *chart, size_t steps)
{
	double max = 0;
	double unit;

	for (size_t i = 0; i < chart->line_count; i++) {
		for (size_t j = 0; j < steps; j++)
			max = fmax(max, chart->lines[i].values[j]);
	}
	if (max <= 0)
		return 1;
	unit = pow(10, floor(log10(max)));
	return ceil(max / unit) * unit;
}

static void text_(const frame_t *f, double x, double y, const char *text)
{
	cairo_move_to(f->cr, x, y);
	cairo_show_text(f->cr, text);
}

static void draw_grid_(const frame_t *f)
{
	char label[32];

	for (int i = 0; i <= GRID_LINES; i++) {
		double value = f->max * i / GRID_LINES;
		size_t step = f->steps * (size_t)i / GRID_LINES;

		cairo_set_source_rgb(f->cr, 0.85, 0.85, 0.85);
		cairo_move_to(f->cr, x_(f, 0), y_(f, value));
		cairo_line_to(f->cr, x_(f, f->steps), y_(f, value));
		cairo_stroke(f->cr);
		cairo_set_source_rgb(f->cr, 0.2, 0.2, 0.2);
		snprintf(label, sizeof(label), "%.4g", value);
		text_(f, FONT_SIZE, y_(f, value) + FONT_SIZE / 3.0, label);
		snprintf(label, sizeof(label), "%.4g s",
			 (double)step * f->step_s);
		text_(f, x_(f, step) - FONT_SIZE, y_(f, 0) + 2 * FONT_SIZE,
		      label);
	}
}

static void draw_line_(const frame_t *f, const plot_line_t *line, size_t n)
{
	const double *c = colours[n];

	cairo_set_source_rgb(f->cr, c[0], c[1], c[2]);
	text_(f, WIDTH / 2.0 + LEGEND_STEP * (double)n, f->top + MARGIN_TOP / 2,
	      line->name);
	cairo_new_path(f->cr);
	for (size_t i = 0; i < f->steps; i++) {
		if (isnan(line->values[i]))
			cairo_new_sub_path(f->cr);
		else
			cairo_line_to(f->cr, x_(f, i), y_(f, line->values[i]));
	}
	cairo_stroke(f->cr);
}

static void draw_chart_(frame_t *f, const plot_chart_t *chart)
{
	f->max = upper_edge_(chart, f->steps);
	draw_grid_(f);
	cairo_set_source_rgb(f->cr, 0, 0, 0);
	text_(f, MARGIN_LEFT, f->top + MARGIN_TOP / 2, chart->title);
	for (size_t i = 0; i < chart->line_count; i++)
		draw_line_(f, &chart->lines[i], i);
}

int plot_write(const char *path, const plot_chart_t *charts, size_t chart_count,
	       size_t steps, double step_s)
{
	cairo_surface_t *surface;
	frame_t f = { .steps = steps, .step_s = step_s };
	int err = PLOT_OK;

	assert(path && charts && chart_count && steps);
	surface = cairo_image_surface_create(CAIRO_FORMAT_RGB24, WIDTH,
					     CHART_HEIGHT * (int)chart_count);
	f.cr = cairo_create(surface);
	cairo_set_source_rgb(f.cr, 1, 1, 1);
	cairo_paint(f.cr);
	cairo_set_font_size(f.cr, FONT_SIZE);
	for (size_t i = 0; i < chart_count; i++) {
		f.top = (double)(CHART_HEIGHT * i);
		draw_chart_(&f, &charts[i]);
	}
	if (cairo_status(f.cr))
		err = PLOT_EMEMORY;
	else if (cairo_surface_write_to_png(surface, path))
		err = PLOT_EFILE;
	cairo_destroy(f.cr);
	cairo_surface_destroy(surface);
	return err;
}
