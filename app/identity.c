#include "app/identity.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <string.h>

#include "base/alloc.h"

#define KEY_PREFIX "cr_"
#define ISOLATED_RETRY_NS (2 * NS_PER_S)

static const struct problem problem_no_route = {
	.status = 404,
	.type = "unknown_route",
	.detail = "no route serves this model or path",
	.run = RUN_NOT_RUN,
};
static const struct problem problem_no_key = {
	.status = 401,
	.type = "key_missing",
	.detail = "the route needs a key: Authorization: Bearer cr_ID_SECRET",
	.run = RUN_NOT_RUN,
};
static const struct problem problem_wrong_key = {
	.status = 401,
	.type = "key_invalid",
	.detail = "the key is not known or was withdrawn",
	.run = RUN_NOT_RUN,
};
static const struct problem problem_other_team = {
	.status = 403,
	.type = "route_denied",
	.detail = "the route does not serve the key's team",
	.run = RUN_NOT_RUN,
};
static const struct problem problem_isolated = {
	.status = 503,
	.type = "isolated",
	.detail = "this host hears neither the log nor other hosts, so it "
		  "cannot know of withdrawn keys; use another address",
	.run = RUN_NOT_RUN,
	.retry_after_ns = ISOLATED_RETRY_NS,
};

static int take_route(struct identity *identity, const struct route *route,
		      struct problem *problem)
{
	if (!route) {
		*problem = problem_no_route;
		return -1;
	}
	identity->route = *route;
	return 0;
}

int identity_route_by_model(struct daemon *daemon, const char *model,
			    struct identity *identity, struct problem *problem)
{
	const struct config *config =
		log_client_config_begin(&daemon->log_client);
	const struct route *route = config_route(config, model);
	int result;

	if (route && route->kind != ROUTE_ENGINE)
		route = NULL;
	result = take_route(identity, route, problem);
	log_client_config_end(&daemon->log_client);
	return result;
}

int identity_route_by_path(struct daemon *daemon, const char *path,
			   struct identity *identity, struct problem *problem)
{
	const struct config *config =
		log_client_config_begin(&daemon->log_client);
	int result = take_route(identity, config_route_for_path(config, path),
				problem);

	log_client_config_end(&daemon->log_client);
	return result;
}

void identity_hash_secret(const uint8_t salt[KEY_SALT_BYTES],
			  const char *secret, uint8_t out[KEY_HASH_BYTES])
{
	uint8_t input[KEY_SALT_BYTES + 2 * KEY_SECRET_BYTES + 1];
	size_t len = strnlen(secret, 2 * KEY_SECRET_BYTES + 1);

	memcpy(input, salt, KEY_SALT_BYTES);
	memcpy(input + KEY_SALT_BYTES, secret, len);
	SHA256(input, KEY_SALT_BYTES + len, out);
}

/* Splits cr_ID_SECRET at its last underscore; ids may hold others. */
static const char *split_key(const char *text, char id[NAME_BYTES])
{
	const char *secret;
	size_t len;

	if (strncmp(text, KEY_PREFIX, strlen(KEY_PREFIX)))
		return NULL;
	text += strlen(KEY_PREFIX);
	secret = strrchr(text, '_');
	if (!secret)
		return NULL;
	len = (size_t)(secret - text);
	if (!len || len >= NAME_BYTES)
		return NULL;
	memcpy(id, text, len);
	id[len] = '\0';
	return secret + 1;
}

/*
 * Finds a key that is neither denied nor withdrawn; NULL if there is none. It
 * is valid until log_client_config_end(), which the caller calls either way.
 */
static const struct key *begin_usable_key(struct daemon *daemon,
					  const char *key_id,
					  const struct config **config)
{
	/*
	 * A denial is lifted only after the configuration is published, so
	 * it is looked for first.
	 */
	int denied = denial_set_contains(&daemon->denials.set, key_id);
	const struct key *key;

	*config = log_client_config_begin(&daemon->log_client);
	key = config_key(*config, key_id);
	return key && !denied && !key->withdrawn ? key : NULL;
}

int identity_key_is_usable(struct daemon *daemon, const char *key_id)
{
	const struct config *config;
	int usable = begin_usable_key(daemon, key_id, &config) != NULL;

	log_client_config_end(&daemon->log_client);
	return usable;
}

static int key_matches(const struct key *key, const char *secret)
{
	uint8_t hash[KEY_HASH_BYTES];

	identity_hash_secret(key->salt, secret, hash);
	return !CRYPTO_memcmp(hash, key->hash, sizeof(hash));
}

/* Takes the team of a usable key. */
static int take_team(struct daemon *daemon, struct identity *identity,
		     const char *secret)
{
	const struct config *config;
	const struct key *key =
		begin_usable_key(daemon, identity->key_id, &config);
	int matches = key && key_matches(key, secret);

	if (matches) {
		const struct team *team = config_team(config, key->team);

		copy_text(identity->team, sizeof(identity->team), key->team);
		identity->weight = team ? team->weight : 1;
	}
	log_client_config_end(&daemon->log_client);
	return matches;
}

static int check_presented(struct daemon *daemon, const char *text,
			   struct identity *identity, struct problem *problem)
{
	const char *secret = split_key(text, identity->key_id);

	if (!secret || !take_team(daemon, identity, secret)) {
		*problem = problem_wrong_key;
		return -1;
	}
	if (identity->route.team[0] &&
	    strcmp(identity->route.team, identity->team)) {
		*problem = problem_other_team;
		return -1;
	}
	return 0;
}

int identity_check_key(struct daemon *daemon,
		       const struct http_exchange *exchange,
		       struct identity *identity, struct problem *problem)
{
	const char *presented = http_exchange_bearer(exchange);

	if (identity->route.open) {
		identity->key_id[0] = '\0';
		identity->team[0] = '\0';
		return 0;
	}
	if (!presented) {
		*problem = problem_no_key;
		return -1;
	}
	if (__atomic_load_n(&daemon->isolated, __ATOMIC_ACQUIRE)) {
		*problem = problem_isolated;
		return -1;
	}
	return check_presented(daemon, presented, identity, problem);
}
