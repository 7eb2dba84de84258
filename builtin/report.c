#include <argp.h>
#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/builtin.h"
#include "builtin/client.h"
#include "builtin/report_series.h"

#define BUCKET_MAX_S 86400
#define BUCKET_DEFAULT_S 2

struct report_options {
	const char *svg;
	int64_t bucket_ms;
	int json;
	char **files;
	int file_count;
};

static const struct argp_option options[] = {
	{ "svg", 's', "FILE", 0, "Write plots to FILE", 0 },
	{ "step", 't', "SECONDS", 0, "Length of a row; 2 by default", 0 },
	{ "json", 'j', 0, 0, "Print one JSON array", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct report_options *report = state->input;
	char *end;
	int64_t seconds;

	switch (key) {
	case 's':
		report->svg = arg;
		return 0;
	case 't':
		seconds = strtoll(arg, &end, 10);
		if (*end || seconds < 1 || seconds > BUCKET_MAX_S)
			argp_error(state, "--step must be 1 to %d, not '%s'",
				   BUCKET_MAX_S, arg);
		report->bucket_ms = seconds * 1000;
		return 0;
	case 'j':
		report->json = 1;
		return 0;
	case ARGP_KEY_ARGS:
		report->files = state->argv + state->next;
		report->file_count = state->argc - state->next;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void print_text(const struct report *report)
{
	printf("%8s", "second");
	for (int s = 0; s < SERIES_COUNT; s++)
		printf(" %9s", report_series_name((enum report_series)s));
	printf("\n");
	for (size_t i = 0; i < report->count; i++) {
		printf("%8.0f", (double)i * (double)report->bucket_ms / 1000);
		for (int s = 0; s < SERIES_COUNT; s++)
			printf(" %9lld",
			       (long long)report->buckets[i].values[s]);
		printf("\n");
	}
}

static void print_json(const struct report *report)
{
	json_t *rows = json_array();

	for (size_t i = 0; i < report->count; i++) {
		json_t *row = json_object();

		json_object_set_new(
			row, "wall_ms",
			json_integer(report->from_ms +
				     (json_int_t)i * report->bucket_ms));
		for (int s = 0; s < SERIES_COUNT; s++)
			json_object_set_new(
				row, report_series_name((enum report_series)s),
				json_integer(report->buckets[i].values[s]));
		json_array_append_new(rows, row);
	}
	client_print_json(rows);
	json_decref(rows);
}

int cmd_report(int argc, char **argv)
{
	static const struct argp argp = {
		options,
		parse_option,
		"[FILE...]",
		"Sums up the lines of all daemons, in files or on standard "
		"input, over time: requests by outcome, batches, items, hosts "
		"without the store, weight versions." EXIT_STATUS_DOC,
		NULL,
		NULL,
		NULL
	};
	struct report_options wanted = { .bucket_ms = BUCKET_DEFAULT_S * 1000 };
	struct log_lines lines;
	struct report report;
	int status;

	argp_parse(&argp, argc, argv, 0, NULL, &wanted);
	log_lines_init(&lines);
	status = log_lines_read(&lines, wanted.files, wanted.file_count);
	report_init(&report, &lines, wanted.bucket_ms);
	if (!status && wanted.json)
		print_json(&report);
	else if (!status)
		print_text(&report);
	if (!status && wanted.svg && report_write_svg(&report, wanted.svg)) {
		client_complain("%s: %s", wanted.svg, strerror(errno));
		status = EXIT_USAGE;
	}
	report_finish(&report);
	log_lines_finish(&lines);
	return status;
}
