#include "builtin/statement_call.h"

#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hex.h"
#include "base/rng.h"
#include "base/strbuf.h"
#include "builtin/builtin.h"
#include "lang/statement.h"
#include "lang/table.h"

#define RANDOM_ID_BYTES 16
#define MARK_COLUMN_MAX 2000

static void make_id(char *out)
{
	uint8_t random[RANDOM_ID_BYTES];

	random_bytes(random, sizeof(random));
	hex_print(out, random, sizeof(random));
}

static void print_place(const struct statement_source *source, uint32_t column,
			struct strbuf *out)
{
	if (source->name)
		strbuf_addf(out, "%s: ", source->name);
	if (source->line)
		strbuf_addf(out, "line %u%s", source->line,
			    column ? ", " : ": ");
	if (column)
		strbuf_addf(out, "column %u: ", column);
}

void statement_complain(const struct statement_source *source, const char *text,
			uint32_t column, const char *why)
{
	struct strbuf place;

	strbuf_init(&place);
	print_place(source, column, &place);
	client_complain("%s%s", place.buf, why);
	strbuf_finish(&place);
	if (!column || column > MARK_COLUMN_MAX || strchr(text, '\n'))
		return;
	fprintf(stderr, "  %s\n  ", text);
	/* A tab of the text stays one, so that the mark stands below. */
	for (uint32_t i = 1; i < column && text[i - 1]; i++)
		fputc(text[i - 1] == '\t' ? '\t' : ' ', stderr);
	fputs("^\n", stderr);
}

static int print_table(const json_t *json)
{
	struct error err = ERROR_INIT;
	struct strbuf out;
	int result;

	strbuf_init(&out);
	result = table_json_print_text(json, &out, &err);
	if (result)
		client_complain("%s", err.text);
	else
		fputs(out.buf, stdout);
	strbuf_finish(&out);
	return result ? EXIT_UNREACHABLE : EXIT_DONE;
}

static int print_change(const json_t *json)
{
	const char *secret = json_string_value(json_object_get(json, "secret"));

	printf("accepted, version %" JSON_INTEGER_FORMAT "\n",
	       json_integer_value(json_object_get(json, "version")));
	if (secret)
		printf("secret %s (shown this once)\n", secret);
	return EXIT_DONE;
}

static int print_done(struct client *client, const json_t *json)
{
	const char *kind = json_string_value(json_object_get(json, "kind"));

	if (client->json) {
		client_print_json(json);
		return EXIT_DONE;
	}
	if (kind && !strcmp(kind, "change"))
		return print_change(json);
	return print_table(json);
}

/* Whether running it again alters nothing. */
static int is_show(const char *text)
{
	struct statement statement;
	struct parse_error err;

	return !statement_parse(text, (uint32_t)strlen(text), &statement,
				&err) &&
	       statement.kind == STATEMENT_SHOW;
}

/* Nobody can tell whether a change that was sent has taken effect. */
static int complain_unknown(const char *id, const char *text, const char *why)
{
	if (is_show(text)) {
		client_complain("no answer: %s", why);
		return EXIT_UNREACHABLE;
	}
	client_complain("outcome unknown: %s", why);
	client_complain("ask again: currant run --id %s '%s'", id, text);
	return EXIT_OUTCOME_UNKNOWN;
}

static int print_refused(struct client *client,
			 const struct client_answer *answer, const char *id,
			 const char *text,
			 const struct statement_source *source)
{
	const char *detail =
		json_string_value(json_object_get(answer->json, "detail"));
	const char *ran =
		json_string_value(json_object_get(answer->json, "ran"));
	json_int_t column =
		json_integer_value(json_object_get(answer->json, "column"));
	char status[64];

	snprintf(status, sizeof(status), "HTTP status %d without a reason",
		 answer->status);
	if (client->json && answer->json)
		client_print_json(answer->json);
	if (!detail)
		detail = status;
	if (ran && !strcmp(ran, "unknown"))
		return complain_unknown(id, text, detail);
	if (answer->status >= 400 && answer->status < 500) {
		statement_complain(source, text, (uint32_t)column, detail);
		return EXIT_REJECTED;
	}
	if (!ran)
		return complain_unknown(id, text, detail);
	client_complain("not run: %s", detail);
	return EXIT_UNREACHABLE;
}

int statement_call_run(struct client *client, const char *text, const char *id,
		       const struct statement_source *source)
{
	char own_id[STATEMENT_ID_BYTES];
	struct client_answer answer;
	struct error err = ERROR_INIT;
	json_t *body;
	int result;

	if (!id) {
		make_id(own_id);
		id = own_id;
	}
	body = json_pack("{s:s, s:s}", "id", id, "text", text);
	if (!body) {
		statement_complain(source, text, 0, "the text is not UTF-8");
		return EXIT_USAGE;
	}
	if (!client_call(client, "POST", "/v1/statements", body, &answer,
			 &err)) {
		if (answer.status == 200 && answer.json)
			result = print_done(client, answer.json);
		else
			result = print_refused(client, &answer, id, text,
					       source);
	} else if (answer.outcome == HTTP_NOT_SENT) {
		client_complain("not run: %s", err.text);
		result = EXIT_UNREACHABLE;
	} else {
		result = complain_unknown(id, text, err.text);
	}
	client_answer_finish(&answer);
	json_decref(body);
	return result;
}
