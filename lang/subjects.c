#include "lang/subjects.h"

#include <stdio.h>
#include <string.h>

#include "base/alloc.h"

#define DIGITS_MAX 18

#define T(name)                                                                \
	{                                                                      \
		name, COLUMN_TEXT                                              \
	}
#define I(name)                                                                \
	{                                                                      \
		name, COLUMN_INTEGER                                           \
	}
#define B(name)                                                                \
	{                                                                      \
		name, COLUMN_BOOLEAN                                           \
	}

static const struct column teams[] = { T("name"), I("weight"),
				       I("max_in_flight"), I("version") };
static const struct column keys[] = { T("id"), T("team"), B("withdrawn"),
				      I("version") };
static const struct column routes[] = {
	T("name"),    T("kind"),	T("class"),	 T("pool"),
	T("path"),    T("team"),	B("open"),	 B("repeatable"),
	T("methods"), I("deadline_ms"), I("max_tokens"), I("version"),
};
static const struct column bounds[] = { T("route"), I("max_versions"),
					I("version") };
static const struct column budgets[] = {
	T("data_centre"),	 T("pool"),   I("max_dear"), I("max_cheap"),
	I("max_cents_per_hour"), I("version")
};
static const struct column configuration[] = { T("kind"), T("name"),
					       T("attributes"), I("version") };
static const struct column samples[] = {
	T("trainer"),	T("team"),    T("route"),	   I("step"),
	I("group"),	I("index"),   T("backend_server"), T("versions"),
	I("staleness"), I("wall_ms"),
};
static const struct column requests[] = {
	T("id"),    T("team"),		 T("route"),
	T("state"), T("backend_server"), I("age_ms")
};
static const struct column usage[] = {
	I("window_start_s"),
	T("partition"),
	B("closed"),
	B("acknowledged"),
	T("team"),
	T("route"),
	T("data_centre"),
	T("backend_class"),
	I("requests"),
	I("prompt_tokens"),
	I("completion_tokens"),
	I("backend_us"),
};
static const struct column weights[] = { T("pool"), I("version") };
static const struct column backend_servers[] = {
	T("name"),    T("pool"),    T("data_centre"), T("class"),   T("state"),
	I("running"), I("waiting"), I("capacity"),    I("version"),
};
static const struct column hosts[] = {
	T("name"),	  T("data_centre"), T("region"),    T("state"),
	T("incarnation"), I("log_head"),    I("in_flight"),
};
static const struct column leases[] = { T("name"), T("holder"), I("epoch"),
					I("position"), I("duration_ms") };

#define SUBJECT(id, list)                                                      \
	{                                                                      \
		id, #list, list, ARRAY_SIZE(list)                              \
	}

static const struct subject subjects[] = {
	SUBJECT(SHOW_TEAMS, teams),
	SUBJECT(SHOW_KEYS, keys),
	SUBJECT(SHOW_ROUTES, routes),
	SUBJECT(SHOW_BOUNDS, bounds),
	SUBJECT(SHOW_BUDGETS, budgets),
	SUBJECT(SHOW_CONFIGURATION, configuration),
	SUBJECT(SHOW_SAMPLES, samples),
	SUBJECT(SHOW_REQUESTS, requests),
	SUBJECT(SHOW_USAGE, usage),
	SUBJECT(SHOW_WEIGHTS, weights),
	SUBJECT(SHOW_BACKEND_SERVERS, backend_servers),
	SUBJECT(SHOW_HOSTS, hosts),
	SUBJECT(SHOW_LEASES, leases),
};

const struct subject *subject_get(enum show_subject subject)
{
	return &subjects[subject];
}

const struct subject *subject_by_word(const char *word, uint32_t len)
{
	for (uint32_t i = 0; i < ARRAY_SIZE(subjects); i++)
		if (strlen(subjects[i].word) == len &&
		    !memcmp(subjects[i].word, word, len))
			return &subjects[i];
	return NULL;
}

int subject_column(const struct subject *subject, const char *name)
{
	for (uint32_t i = 0; i < subject->column_count; i++)
		if (!strcmp(subject->columns[i].name, name))
			return (int)i;
	return -1;
}

static void add_word(char *out, uint32_t size, const char *word)
{
	size_t used = strlen(out);

	snprintf(out + used, size - used, "%s%s", used ? ", " : "", word);
}

void subjects_print(char *out, uint32_t size)
{
	*out = '\0';
	for (uint32_t i = 0; i < ARRAY_SIZE(subjects); i++)
		add_word(out, size, subjects[i].word);
}

void subject_print_columns(const struct subject *subject, char *out,
			   uint32_t size)
{
	*out = '\0';
	for (uint32_t i = 0; i < subject->column_count; i++)
		add_word(out, size, subject->columns[i].name);
}

int column_value_check(enum column_type type, const char *value)
{
	size_t len = strlen(value);
	int valid = 1;

	if (type == COLUMN_INTEGER)
		valid = len && len <= DIGITS_MAX &&
			strspn(value, "0123456789") == len;
	else if (type == COLUMN_BOOLEAN)
		valid = !strcmp(value, "true") || !strcmp(value, "false");
	return valid ? 0 : -1;
}
