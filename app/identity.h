#ifndef APP_IDENTITY_H
#define APP_IDENTITY_H

#include "app/daemon.h"
#include "http/exchange.h"
#include "request/problem.h"

/*
 * Who calls, and through which route. A key reads cr_ID_SECRET; only its
 * salted hash is known here.
 */
#define KEY_SECRET_BYTES 24

struct identity {
	char key_id[NAME_BYTES]; /* "": none was needed */
	char team[NAME_BYTES]; /* "": none was needed */
	uint32_t weight; /* the team\'s share */
	struct route route; /* a copy */
};

/* Finds the route of a model; fills the problem if there is none. */
int identity_route_by_model(struct daemon *daemon, const char *model,
			    struct identity *identity, struct problem *problem);

/* The same for a plain service, by the longest path prefix. */
int identity_route_by_path(struct daemon *daemon, const char *path,
			   struct identity *identity, struct problem *problem);

/* Checks the caller's key for identity->route. */
int identity_check_key(struct daemon *daemon,
		       const struct http_exchange *exchange,
		       struct identity *identity, struct problem *problem);

/* Whether no withdrawal of the key is known here; for keys checked before. */
int identity_key_is_usable(struct daemon *daemon, const char *key_id);

/* Hash of a secret as the configuration keeps it. */
void identity_hash_secret(const uint8_t salt[KEY_SALT_BYTES],
			  const char *secret, uint8_t out[KEY_HASH_BYTES]);

#endif
