#include "app/operator_api.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <string.h>

#include "app/caller_api.h"

static const struct problem problem_not_found = {
	.status = 404,
	.type = "unknown_path",
	.detail = "the operators' port does not serve this path",
	.run = RUN_NOT_RUN,
};
static const struct problem problem_token = {
	.status = 401,
	.type = "token_invalid",
	.detail = "an operator's token is needed: Authorization: Bearer TOKEN",
	.run = RUN_NOT_RUN,
};

static const struct operator_settings *
find_operator(const struct daemon *daemon, const struct http_exchange *exchange)
{
	const char *token = http_exchange_bearer(exchange);
	uint8_t hash[KEY_HASH_BYTES];

	if (!token)
		return NULL;
	SHA256((const unsigned char *)token, strlen(token), hash);
	for (uint32_t i = 0; i < daemon->settings.operator_count; i++) {
		const struct operator_settings *one =
			&daemon->settings.operator_list[i];

		if (!CRYPTO_memcmp(one->token_hash, hash, sizeof(hash)))
			return one;
	}
	return NULL;
}

static void send_counters(struct daemon *daemon, struct http_exchange *exchange)
{
	struct strbuf out;

	strbuf_init(&out);
	counter_set_print(&daemon->counters, &out);
	http_exchange_send(exchange, 200, "text/plain; version=0.0.4", NULL,
			   out.buf, out.len);
	strbuf_finish(&out);
}

static void send_timeline(struct daemon *daemon, struct http_exchange *exchange)
{
	struct strbuf out;

	strbuf_init(&out);
	strbuf_addf(&out,
		    "{\"process\":\"%s\",\"events\":", daemon->settings.name);
	timeline_print_json(&daemon->timeline, &out);
	strbuf_addch(&out, '}');
	http_exchange_send(exchange, 200, "application/json", NULL, out.buf,
			   out.len);
	strbuf_finish(&out);
}

static void send_health(struct daemon *daemon, struct http_exchange *exchange,
			int ready)
{
	int64_t now_ns = clock_now_ns(&daemon->clock);
	json_t *json = json_pack(
		"{s:s,s:b,s:b,s:b,s:b,s:I}", "name", daemon->settings.name,
		"ready", daemon_is_ready(daemon), "draining",
		__atomic_load_n(&daemon->draining, __ATOMIC_ACQUIRE),
		"log_reachable",
		log_client_reachable(&daemon->log_client, now_ns), "isolated",
		__atomic_load_n(&daemon->isolated, __ATOMIC_ACQUIRE),
		"log_offset",
		(json_int_t)log_client_next_offset(&daemon->log_client));

	http_exchange_send_json(exchange, ready ? 200 : 503, json);
	json_decref(json);
}

static void handle_private(struct daemon *daemon,
			   struct http_exchange *exchange)
{
	const struct operator_settings *operator_ =
		find_operator(daemon, exchange);

	if (!operator_)
		http_exchange_send_problem(exchange, &problem_token);
	else if (!strcmp(exchange->path, "/v1/timeline"))
		send_timeline(daemon, exchange);
	else if (!strcmp(exchange->path, "/v1/statements"))
		statement_api_handle(daemon, operator_, exchange);
	else
		http_exchange_send_problem(exchange, &problem_not_found);
}

void operator_api_handle(void *arg, struct http_exchange *exchange)
{
	struct daemon *daemon = arg;
	const char *path = exchange->path;

	if (!strcmp(path, "/metrics"))
		send_counters(daemon, exchange);
	else if (!strcmp(path, "/health/alive"))
		send_health(daemon, exchange, 1);
	else if (!strcmp(path, "/health/ready"))
		send_health(daemon, exchange,
			    daemon_is_ready(daemon) &&
				    !__atomic_load_n(&daemon->draining,
						     __ATOMIC_ACQUIRE));
	else if (!strcmp(path, "/v1/addresses"))
		address_api_handle(daemon, exchange);
	else
		handle_private(daemon, exchange);
}
