#include <errno.h>
#include <stdio.h>

#include "base/alloc.h"
#include "builtin/report_series.h"

/* Points of the drawing, in its own units. */
#define PLOT_WIDTH 900
#define PLOT_HEIGHT 120
#define PLOT_GAP 50
#define MARGIN 60

struct curve {
	enum report_series series;
	const char *colour;
};

struct plot {
	const char *title;
	struct curve curves[3];
	uint32_t count;
};

static const struct plot plots[] = {
	{ "single requests",
	  { { SERIES_ANSWERED, "#2a7" },
	    { SERIES_REFUSED, "#d83" },
	    { SERIES_UNKNOWN, "#c22" } },
	  3 },
	{ "batches",
	  { { SERIES_BATCHES, "#2a7" }, { SERIES_BATCHES_REFUSED, "#d83" } },
	  2 },
	{ "items",
	  { { SERIES_ITEMS, "#2a7" },
	    { SERIES_RUNNING, "#27c" },
	    { SERIES_RUNS_LOST, "#c22" } },
	  3 },
	{ "hosts without the store, newest weight version",
	  { { SERIES_STORE_LOST, "#c22" }, { SERIES_VERSION, "#27c" } },
	  2 },
};

static int64_t highest(const struct report *report, const struct plot *plot)
{
	int64_t most = 1;

	for (size_t i = 0; i < report->count; i++)
		for (uint32_t c = 0; c < plot->count; c++) {
			int64_t value = report->buckets[i]
						.values[plot->curves[c].series];

			if (value > most)
				most = value;
		}
	return most;
}

static void draw_curve(FILE *out, const struct report *report,
		       const struct curve *curve, int64_t most, int top)
{
	double step = report->count > 1
			      ? (double)PLOT_WIDTH / (double)(report->count - 1)
			      : 0;

	fprintf(out, "<polyline fill=\"none\" stroke=\"%s\" points=\"",
		curve->colour);
	for (size_t i = 0; i < report->count; i++)
		fprintf(out, "%.1f,%.1f ", MARGIN + step * (double)i,
			top + PLOT_HEIGHT -
				(double)report->buckets[i]
						.values[curve->series] *
					PLOT_HEIGHT / (double)most);
	fprintf(out, "\"/>\n");
}

static void draw_plot(FILE *out, const struct report *report,
		      const struct plot *plot, int top)
{
	int64_t most = highest(report, plot);
	int x = MARGIN;

	fprintf(out,
		"<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" "
		"fill=\"none\" stroke=\"#999\"/>\n"
		"<text x=\"%d\" y=\"%d\">%s</text>\n"
		"<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%lld</text>\n",
		MARGIN, top, PLOT_WIDTH, PLOT_HEIGHT, MARGIN, top - 20,
		plot->title, MARGIN - 6, top + 10, (long long)most);
	for (uint32_t c = 0; c < plot->count; c++) {
		const struct curve *curve = &plot->curves[c];

		fprintf(out, "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n",
			x, top - 4, curve->colour,
			report_series_name(curve->series));
		x += 120;
		draw_curve(out, report, curve, most, top);
	}
}

int report_write_svg(const struct report *report, const char *path)
{
	FILE *out = fopen(path, "w");
	int step = PLOT_HEIGHT + PLOT_GAP;
	int count = (int)ARRAY_SIZE(plots);
	int failed;

	if (!out)
		return -1;
	fprintf(out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n",
		PLOT_WIDTH + 2 * MARGIN, count * step + MARGIN);
	for (int i = 0; i < count; i++)
		draw_plot(out, report, &plots[i], MARGIN + i * step);
	fprintf(out,
		"<text x=\"%d\" y=\"%d\">%.0f s, in steps of %.1f s</text>\n"
		"</svg>\n",
		MARGIN, count * step + MARGIN / 2,
		(double)report->bucket_ms * (double)report->count / 1000,
		(double)report->bucket_ms / 1000);
	failed = ferror(out);
	return fclose(out) || failed ? -1 : 0;
}
