#include "entry/config_diff.h"

#include <inttypes.h>
#include <stddef.h>
#include <string.h>

#include "base/alloc.h"
#include "base/strbuf.h"
#include "entry/named_list.h"

enum field_type {
	FIELD_U32,
	FIELD_U64,
	FIELD_BOOL,
	FIELD_NUMBER,
	FIELD_TEXT,
};

/* A member of a struct that is compared, and what it is called. */
struct diff_field {
	const char *name;
	enum field_type type;
	size_t offset;
};

#define FIELD(owner, name, type, member)                                       \
	{                                                                      \
		name, type, offsetof(struct owner, member)                     \
	}
#define ROUTE(...) FIELD(entry_route, __VA_ARGS__)
#define SERVICE(...) FIELD(entry_service, __VA_ARGS__)
#define LIMIT(...) FIELD(caller_limits, __VA_ARGS__)

static const struct diff_field route_fields[] = {
	ROUTE("host", FIELD_TEXT, host),
	ROUTE("path prefix", FIELD_TEXT, path_prefix),
	ROUTE("timeout_ms", FIELD_U32, timeout_ms),
	ROUTE("goal_ms", FIELD_U32, goal_ms),
	ROUTE("priority", FIELD_U32, priority),
	ROUTE("max_attempts", FIELD_U32, max_attempts),
	ROUTE("public", FIELD_BOOL, is_public),
	ROUTE("states tokens", FIELD_BOOL, carries_tokens),
	ROUTE("single_version", FIELD_BOOL, single_version),
};

static const struct diff_field batch_fields[] = {
	ROUTE("due_ms", FIELD_U32, due_ms),
	ROUTE("retention in ms", FIELD_U32, retention_ms),
};

static const struct diff_field service_fields[] = {
	SERVICE("connections to a server", FIELD_U32, max_connections),
	SERVICE("time of cold servers in ms", FIELD_U32, cold_ms),
	SERVICE("rate of cold servers", FIELD_NUMBER, cold_per_s),
	SERVICE("engine", FIELD_BOOL, is_engine),
	SERVICE("slots", FIELD_U32, slots),
	SERVICE("memory in tokens", FIELD_U32, memory_tokens),
	SERVICE("tokens of an event", FIELD_U32, tokens_per_event),
	SERVICE("scaling", FIELD_BOOL, scaling.allowed),
	SERVICE("scaling min", FIELD_U32, scaling.min),
	SERVICE("scaling max", FIELD_U32, scaling.max),
	SERVICE("scaling boot in ms", FIELD_U32, scaling.boot_ms),
	SERVICE("scaling spot price", FIELD_NUMBER, scaling.spot_price),
};

static const struct diff_field limit_fields[] = {
	LIMIT("max bytes of a head", FIELD_U32, max_head_bytes),
	LIMIT("max bytes of a body", FIELD_U64, max_body_bytes),
	LIMIT("timeout of a head in ms", FIELD_U32, head_timeout_ms),
	LIMIT("idle timeout in ms", FIELD_U32, idle_timeout_ms),
};

/* Two things of the same name, and where their differences go. */
struct diff {
	struct config_findings *findings;
	const char *what; /* "route" */
	const char *name; /* NULL: there is only one */
	struct strbuf before; /* a value of each, as text */
	struct strbuf after;
};

static void diff_init(struct diff *diff, const char *what,
		      struct config_findings *findings)
{
	diff->findings = findings;
	diff->what = what;
	diff->name = NULL;
	strbuf_init(&diff->before);
	strbuf_init(&diff->after);
}

static void diff_finish(struct diff *diff)
{
	strbuf_finish(&diff->before);
	strbuf_finish(&diff->after);
}

/* Compares the texts in `before` and `after`, and empties them. */
static void compare_texts(struct diff *diff, const char *field)
{
	if (strcmp(diff->before.buf, diff->after.buf) != 0)
		config_findings_add(diff->findings, FINDING_CHANGED,
				    "%s%s%s%s: %s %s -> %s", diff->what,
				    diff->name ? " '" : "",
				    diff->name ? diff->name : "",
				    diff->name ? "'" : "", field,
				    diff->before.buf, diff->after.buf);
	strbuf_reset(&diff->before);
	strbuf_reset(&diff->after);
}

static void write_field(struct strbuf *out, const struct diff_field *field,
			const void *thing)
{
	const void *member = (const char *)thing + field->offset;

	switch (field->type) {
	case FIELD_U32:
		strbuf_addf(out, "%" PRIu32, *(const uint32_t *)member);
		break;
	case FIELD_U64:
		strbuf_addf(out, "%" PRIu64, *(const uint64_t *)member);
		break;
	case FIELD_BOOL:
		strbuf_addstr(out, *(const int *)member ? "yes" : "no");
		break;
	case FIELD_NUMBER:
		strbuf_addf(out, "%g", *(const double *)member);
		break;
	case FIELD_TEXT:
		strbuf_addf(out, "'%s'", *(char *const *)member);
		break;
	}
}

static void compare_fields(struct diff *diff, const struct diff_field *fields,
			   size_t count, const void *before, const void *after)
{
	for (size_t i = 0; i < count; i++) {
		write_field(&diff->before, &fields[i], before);
		write_field(&diff->after, &fields[i], after);
		compare_texts(diff, fields[i].name);
	}
}

/* "a:90, b:10" */
static void write_targets(struct strbuf *out, const struct entry_route *route)
{
	for (uint32_t i = 0; i < route->target_count; i++)
		strbuf_addf(out, "%s%s:%" PRIu32, i ? ", " : "",
			    route->targets[i].service,
			    route->targets[i].weight);
}

static void compare_routes(struct diff *diff, const void *before,
			   const void *after)
{
	const struct entry_route *old = before;
	const struct entry_route *new = after;

	strbuf_addstr(&diff->before, request_kind_name(old->kind));
	strbuf_addstr(&diff->after, request_kind_name(new->kind));
	compare_texts(diff, "kind");
	write_targets(&diff->before, old);
	write_targets(&diff->after, new);
	compare_texts(diff, "services");
	compare_fields(diff, route_fields, ARRAY_SIZE(route_fields), old, new);
	if (old->kind == REQUEST_BATCH || new->kind == REQUEST_BATCH)
		compare_fields(diff, batch_fields, ARRAY_SIZE(batch_fields),
			       old, new);
}

static void write_models(struct strbuf *out,
			 const struct entry_service *service)
{
	for (uint32_t i = 0; i < service->model_count; i++)
		strbuf_addf(out, "%s%s", i ? ", " : "", service->models[i]);
	if (!service->model_count)
		strbuf_addstr(out, "none");
}

/* "alfa:1, beta:0.8" */
static void write_prices(struct strbuf *out,
			 const struct entry_scaling *scaling)
{
	for (uint32_t i = 0; i < scaling->data_centre_count; i++)
		strbuf_addf(out, "%s%s:%g", i ? ", " : "",
			    scaling->data_centres[i], scaling->prices[i]);
	if (!scaling->data_centre_count)
		strbuf_addstr(out, "none");
}

static void compare_services(struct diff *diff, const void *before,
			     const void *after)
{
	const struct entry_service *old = before;
	const struct entry_service *new = after;

	compare_fields(diff, service_fields, ARRAY_SIZE(service_fields), old,
		       new);
	write_models(&diff->before, old);
	write_models(&diff->after, new);
	compare_texts(diff, "models");
	write_prices(&diff->before, &old->scaling);
	write_prices(&diff->after, &new->scaling);
	compare_texts(diff, "scaling prices");
}

static void write_priority(struct strbuf *out, const struct entry_team *team)
{
	if (team->has_priority)
		strbuf_addf(out, "%" PRIu32, team->priority);
	else
		strbuf_addstr(out, "none");
}

static void compare_teams(struct diff *diff, const void *before,
			  const void *after)
{
	write_priority(&diff->before, before);
	write_priority(&diff->after, after);
	compare_texts(diff, "priority");
}

typedef void (*compare_things)(struct diff *diff, const void *before,
			       const void *after);

static void diff_lists(const char *what, struct named_list before,
		       struct named_list after, compare_things compare,
		       struct config_findings *findings)
{
	struct diff diff;

	diff_init(&diff, what, findings);
	for (uint32_t i = 0; i < after.count; i++) {
		const void *thing = named_list_at(&after, i);
		const void *old;

		diff.name = thing_name(thing);
		old = named_list_find(&before, diff.name);
		if (old)
			compare(&diff, old, thing);
		else
			config_findings_add(findings, FINDING_ADDED, "%s '%s'",
					    what, diff.name);
	}
	for (uint32_t i = 0; i < before.count; i++) {
		const char *name = thing_name(named_list_at(&before, i));

		if (!named_list_find(&after, name))
			config_findings_add(findings, FINDING_REMOVED,
					    "%s '%s'", what, name);
	}
	diff_finish(&diff);
}

/* Whether a team of this name owns the key. */
static int owns_key(const struct entry_config *config, const char *team,
		    const char *secret)
{
	const struct entry_team *owner = entry_config_team(config, secret);

	return owner && !strcmp(owner->name, team);
}

/* Says how many of the team's keys aren't the team's in `other`. */
static void diff_keys(const struct entry_config *config,
		      const struct entry_config *other, uint32_t team,
		      enum finding_kind kind, struct config_findings *findings)
{
	const char *name = config->teams[team].name;
	uint32_t count = 0;

	for (uint32_t i = 0; i < config->key_count; i++)
		count += config->keys[i].team == team &&
			 !owns_key(other, name, config->keys[i].secret);
	if (count)
		config_findings_add(findings, kind, "team '%s': %u key%s", name,
				    count, count == 1 ? "" : "s");
}

static void diff_all_keys(const struct entry_config *before,
			  const struct entry_config *after,
			  struct config_findings *findings)
{
	for (uint32_t i = 0; i < after->team_count; i++)
		diff_keys(after, before, i, FINDING_ADDED, findings);
	for (uint32_t i = 0; i < before->team_count; i++)
		diff_keys(before, after, i, FINDING_REMOVED, findings);
}

static void diff_single(const struct entry_config *before,
			const struct entry_config *after,
			struct config_findings *findings)
{
	static const struct diff_field version[] = {
		{ "version", FIELD_U64,
		  offsetof(struct entry_config, version) },
		{ "keys required", FIELD_BOOL,
		  offsetof(struct entry_config, has_teams) },
	};
	struct diff diff;

	diff_init(&diff, "configuration", findings);
	compare_fields(&diff, version, ARRAY_SIZE(version), before, after);
	diff.what = "limits";
	compare_fields(&diff, limit_fields, ARRAY_SIZE(limit_fields),
		       &before->limits, &after->limits);
	diff_finish(&diff);
}

void config_diff(const struct entry_config *before,
		 const struct entry_config *after,
		 struct config_findings *findings)
{
	diff_single(before, after, findings);
	diff_lists("route", named_routes(before), named_routes(after),
		   compare_routes, findings);
	diff_lists("service", named_services(before), named_services(after),
		   compare_services, findings);
	diff_lists("team", named_teams(before), named_teams(after),
		   compare_teams, findings);
	diff_all_keys(before, after, findings);
}
