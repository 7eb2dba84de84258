/* Statements of operators: changes through the log, shows from the state. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "app/identity.h"
#include "app/operator_api.h"
#include "app/show.h"
#include "base/alloc.h"
#include "base/hex.h"
#include "lang/statement.h"
#include "request/json_body.h"

#define COMMAND_TIMEOUT_NS (8 * NS_PER_S)
#define COMMAND_RETRY_NS (2 * NS_PER_S)
#define GRANT_ATTRIBUTES 2

/* One statement that came over HTTP. */
struct statement_call {
	struct daemon *daemon;
	const struct operator_settings *operator_;
	struct http_exchange *exchange;
	struct statement statement;
	char id[NAME_BYTES];
	char secret[2 * KEY_SECRET_BYTES + 1]; /* of a granted key */
	int denied; /* the key is denied before the log has the withdrawal */
};

static void send_problem(struct http_exchange *exchange, int status,
			 const char *type, const char *detail,
			 enum run_status run, int64_t retry_after_ns)
{
	struct problem problem = {
		.status = status,
		.type = type,
		.detail = detail,
		.run = run,
		.retry_after_ns = retry_after_ns,
	};

	http_exchange_send_problem(exchange, &problem);
}

static void send_parse_error(struct http_exchange *exchange,
			     const struct parse_error *err)
{
	json_t *json = json_pack("{s:s,s:s,s:i,s:s,s:i,s:s}", "type",
				 "statement_invalid", "title", "Bad Request",
				 "status", 400, "detail", err->text, "column",
				 (int)err->column, "ran", "not_run");
	char *text = json_dumps(json, JSON_COMPACT);

	http_exchange_send(exchange, 400, "application/problem+json", NULL,
			   text, strlen(text));
	free(text);
	json_decref(json);
}

static void set_attribute(Currant__Attribute *attribute, char *name,
			  char *value)
{
	currant__attribute__init(attribute);
	attribute->name = name;
	attribute->value = value;
}

/* Whether the withdrawal would be accepted, as far as is known here. */
static int is_valid_withdrawal(struct statement_call *call)
{
	struct log_client *client = &call->daemon->log_client;
	const struct statement *statement = &call->statement;
	const struct config *config;
	const struct key *key;
	int valid;

	if (statement->verb != CURRANT__CHANGE_VERB__CHANGE_VERB_WITHDRAW)
		return 0;
	config = log_client_config_begin(client);
	key = config_key(config, statement->name);
	valid = key && !key->withdrawn &&
		(!statement->has_expected_version ||
		 statement->expected_version == key->version);
	log_client_config_end(client);
	return valid;
}

static int submit(struct statement_call *call, Currant__Change *change,
		  struct log_result *result, struct error *err)
{
	Currant__Record record = CURRANT__RECORD__INIT;
	Currant__Command command = CURRANT__COMMAND__INIT;

	command.id = call->id;
	command.operator_name = (char *)call->operator_->name;
	command.change = change;
	command.wall_ms = (uint64_t)wall_now_ms();
	if (is_valid_withdrawal(call))
		call->denied = !withdrawals_deny(&call->daemon->withdrawals,
						 &command, err);
	record.body_case = CURRANT__RECORD__BODY_COMMAND;
	record.command = &command;
	return log_client_append(&call->daemon->log_client, &record,
				 COMMAND_TIMEOUT_NS, result, err);
}

/* Adds salt and hash of a fresh secret, which the configuration keeps. */
static int submit_grant(struct statement_call *call, Currant__Change *change,
			struct log_result *result, struct error *err)
{
	uint8_t random[KEY_SECRET_BYTES];
	uint8_t salt[KEY_SALT_BYTES];
	uint8_t hash[KEY_HASH_BYTES];
	char salt_text[2 * KEY_SALT_BYTES + 1];
	char hash_text_[2 * KEY_HASH_BYTES + 1];
	Currant__Attribute added[GRANT_ATTRIBUTES];
	Currant__Attribute *all[STATEMENT_ATTRIBUTES_MAX + GRANT_ATTRIBUTES];
	Currant__Change copy = *change;

	random_bytes(random, sizeof(random));
	random_bytes(salt, sizeof(salt));
	hex_print(call->secret, random, sizeof(random));
	identity_hash_secret(salt, call->secret, hash);
	hex_print(salt_text, salt, sizeof(salt));
	hex_print(hash_text_, hash, sizeof(hash));
	set_attribute(&added[0], "salt", salt_text);
	set_attribute(&added[1], "hash", hash_text_);
	for (size_t i = 0; i < change->n_attributes; i++)
		all[i] = change->attributes[i];
	all[change->n_attributes] = &added[0];
	all[change->n_attributes + 1] = &added[1];
	copy.attributes = all;
	copy.n_attributes = change->n_attributes + GRANT_ATTRIBUTES;
	return submit(call, &copy, result, err);
}

static void send_accepted(struct statement_call *call, uint64_t position,
			  int fresh)
{
	json_t *json = json_pack("{s:s,s:b,s:I,s:s}", "kind", "change",
				 "accepted", 1, "version", (json_int_t)position,
				 "id", call->id);

	if (fresh && call->secret[0])
		json_object_set_new(json, "secret",
				    json_sprintf("cr_%s_%s",
						 call->statement.name,
						 call->secret));
	http_exchange_send_json(call->exchange, 200, json);
	json_decref(json);
}

static void send_rejected(struct statement_call *call, const struct error *why)
{
	int status = why->code == ERROR_CONFLICT    ? 409
		     : why->code == ERROR_NOT_FOUND ? 404
						    : 422;

	send_problem(call->exchange, status, "change_rejected", why->text,
		     RUN_NOT_RUN, 0);
}

static void send_append_error(struct statement_call *call,
			      const struct error *err)
{
	char detail[2 * ERROR_TEXT_MAX];

	if (call->denied) {
		snprintf(detail, sizeof(detail),
			 "the key is denied on all hosts that can be reached; "
			 "the log does not hold it yet, ask again with id "
			 "'%s': %s",
			 call->id, err->text);
		send_problem(call->exchange, 503, "denied_not_final", detail,
			     RUN_UNKNOWN, COMMAND_RETRY_NS);
		return;
	}
	if (err->code != ERROR_UNKNOWN_OUTCOME) {
		send_problem(call->exchange, 503, "log_unavailable", err->text,
			     RUN_NOT_RUN, COMMAND_RETRY_NS);
		return;
	}
	snprintf(detail, sizeof(detail),
		 "outcome unknown, ask again with id '%s': %s", call->id,
		 err->text);
	send_problem(call->exchange, 504, "outcome_unknown", detail,
		     RUN_UNKNOWN, COMMAND_RETRY_NS);
}

/* What the log says of an id that was used before. */
struct verdict_search {
	const char *id;
	int found;
	struct verdict verdict;
};

static void find_verdict(const struct state *state, void *arg)
{
	struct verdict_search *search = arg;

	search->found = !state_verdict(state, search->id, &search->verdict);
}

/* Answers from an earlier verdict on the same id; returns 1 if it did. */
static int answer_from_verdict(struct statement_call *call)
{
	struct verdict_search search = { .id = call->id };

	log_client_with_state(&call->daemon->log_client, find_verdict, &search);
	if (!search.found)
		return 0;
	if (search.verdict.accepted)
		send_accepted(call, search.verdict.position, 0);
	else
		send_rejected(call, &search.verdict.error);
	return 1;
}

static void run_change(struct statement_call *call)
{
	struct error err = ERROR_INIT;
	struct log_result result;
	Currant__Change *change;
	int failed;

	if (call->operator_->read_only) {
		send_problem(call->exchange, 403, "read_only",
			     "this token may only ask", RUN_NOT_RUN, 0);
		return;
	}
	if (answer_from_verdict(call))
		return;
	change = statement_to_change(&call->statement);
	if (call->statement.verb == CURRANT__CHANGE_VERB__CHANGE_VERB_GRANT)
		failed = submit_grant(call, change, &result, &err);
	else
		failed = submit(call, change, &result, &err);
	currant__change__free_unpacked(change, NULL);
	if (failed)
		send_append_error(call, &err);
	else if (result.accepted)
		send_accepted(call, result.position, 1);
	else
		send_rejected(call, &result.why);
}

static int read_call(struct statement_call *call, const json_t *root)
{
	const json_t *text = json_object_get(root, "text");
	const char *id = json_string_value(json_object_get(root, "id"));
	struct parse_error err;

	if (!json_is_string(text) || (id && strlen(id) >= NAME_BYTES)) {
		send_problem(call->exchange, 400, "malformed_request",
			     "the body must be an object with the string "
			     "'text' and optionally an 'id' of up to 63 bytes",
			     RUN_NOT_RUN, 0);
		return -1;
	}
	if (id)
		copy_text(call->id, sizeof(call->id), id);
	memset(&err, 0, sizeof(err));
	if (!statement_parse(json_string_value(text),
			     (uint32_t)json_string_length(text),
			     &call->statement, &err))
		return 0;
	send_parse_error(call->exchange, &err);
	return -1;
}

static void fill_id(struct statement_call *call)
{
	uint8_t random[16];

	if (call->id[0])
		return;
	random_bytes(random, sizeof(random));
	hex_print(call->id, random, sizeof(random));
}

void statement_api_handle(struct daemon *daemon,
			  const struct operator_settings *operator_,
			  struct http_exchange *exchange)
{
	struct statement_call *call = xcalloc(1, sizeof(*call));
	json_error_t why;
	json_t *root =
		json_body_parse(exchange->body.buf, exchange->body.len, &why);

	call->daemon = daemon;
	call->operator_ = operator_;
	call->exchange = exchange;
	if (!read_call(call, root)) {
		fill_id(call);
		if (call->statement.kind == STATEMENT_CHANGE)
			run_change(call);
		else
			show_handle(daemon, &call->statement, exchange);
	}
	json_decref(root);
	free(call);
}
