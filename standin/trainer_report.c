#include <stdio.h>

#include "base/alloc.h"
#include "base/json_field.h"
#include "standin/trainer.h"

static void add_span(json_t *tokens, const json_t *span)
{
	uint64_t count = json_field_u64(span, "tokens", 0);
	char version[24];

	snprintf(version, sizeof(version), "%llu",
		 (unsigned long long)json_field_u64(span, "version", 0));
	count += json_field_u64(tokens, version, 0);
	json_object_set_new(tokens, version, json_integer((json_int_t)count));
}

static void add_spans(json_t *tokens, const json_t *spans)
{
	size_t i;

	for (i = 0; i < json_array_size(spans); i++)
		add_span(tokens, json_array_get(spans, i));
}

/* Tokens that each weight version made. */
static json_t *versions_json(const struct trainer *trainer)
{
	json_t *tokens = json_object();
	uint32_t group;
	size_t i;

	for (group = 0; group < trainer->options.groups; group++) {
		const json_t *choices =
			json_object_get(trainer->answers[group], "choices");

		for (i = 0; i < json_array_size(choices); i++)
			add_spans(tokens,
				  json_object_get(json_array_get(choices, i),
						  "weight_versions"));
	}
	return tokens;
}

json_t *trainer_report(const struct trainer *trainer, double seconds)
{
	const struct trainer_counts *c = &trainer->counts;
	uint32_t asked = trainer->options.groups * trainer->options.samples;
	json_t *report = json_object();
	const struct {
		const char *name;
		uint64_t value;
	} fields[] = {
		{ "samples", asked },
		{ "accepted", c->accepted },
		{ "lost", asked > c->accepted ? asked - c->accepted : 0 },
		{ "doubled", c->doubled },
		{ "over_bound", c->over_bound },
		{ "malformed", c->malformed },
		{ "wrong_versions", c->wrong_versions },
		{ "wrong_texts", c->wrong_texts },
		{ "verified", c->verified },
		{ "resumed", c->resumed },
		{ "unverifiable", c->unverifiable },
		{ "worst_staleness", c->worst_staleness },
		{ "published", trainer->published_count },
		{ "refusals", c->refusals },
		{ "refusals_without_time", c->refusals_without_time },
		{ "reconnects", c->reconnects },
		{ "fatal", c->fatal },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(fields); i++)
		json_object_set_new(report, fields[i].name,
				    json_integer((json_int_t)fields[i].value));
	json_object_set_new(report, "seconds", json_real(seconds));
	json_object_set_new(report, "tokens_by_version",
			    versions_json(trainer));
	json_object_set_new(report, "first_fault",
			    json_string(trainer->first_fault));
	return report;
}

int trainer_all_right(const struct trainer *trainer)
{
	const struct trainer_counts *c = &trainer->counts;
	uint32_t asked = trainer->options.groups * trainer->options.samples;

	return c->accepted == asked && !c->doubled && !c->over_bound &&
	       !c->malformed && !c->fatal && !c->wrong_versions &&
	       !c->wrong_texts && !trainer->first_fault[0];
}

int trainer_report_write(const json_t *report, const char *path)
{
	char temporary[4096];

	if (!path) {
		json_dumpf(report, stdout, JSON_INDENT(2));
		printf("\n");
		return 0;
	}
	snprintf(temporary, sizeof(temporary), "%s.tmp", path);
	if (json_dump_file(report, temporary, JSON_INDENT(2)) < 0)
		return -1;
	return rename(temporary, path);
}
