#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include <stdint.h>

#include "base/error.h"
#include "base/logger.h"
#include "state/config.h"

/*
 * What one daemon reads from its JSON settings file. The file is checked
 * whole before anything starts: an unknown or wrong field is refused with
 * its path, what is expected there and what it held.
 */
#define SETTINGS_OPERATORS_MAX 16
#define SETTINGS_PATH_BYTES 256

struct listen_settings {
	char address[NAME_BYTES]; /* ip:port; port 0: a free one */
	uint32_t threads; /* one running request each */
};

struct operator_settings {
	char name[NAME_BYTES];
	uint8_t token_hash[KEY_HASH_BYTES]; /* SHA-256 of the token */
	int read_only; /* the monitor */
};

struct tls_settings {
	char certificate[SETTINGS_PATH_BYTES]; /* "": no TLS */
	char private_key[SETTINGS_PATH_BYTES];
	char authority[SETTINGS_PATH_BYTES];
};

struct settings {
	char name[NAME_BYTES];
	char data_centre[NAME_BYTES];
	char region[NAME_BYTES];
	struct listen_settings batch; /* callers: rollouts */
	struct listen_settings latency; /* callers: latency-bound routes */
	struct listen_settings operators; /* statements, health, counters */
	char peer_address[NAME_BYTES];
	struct tls_settings peer_tls;
	char log_url[SETTINGS_PATH_BYTES];
	char hosts_url[SETTINGS_PATH_BYTES];
	char orders_url[SETTINGS_PATH_BYTES]; /* "": none */
	char usage_url[SETTINGS_PATH_BYTES]; /* "": none */
	char weights_url[SETTINGS_PATH_BYTES]; /* "": none */
	struct operator_settings operator_list[SETTINGS_OPERATORS_MAX];
	uint32_t operator_count;
	enum log_level log_level;
	char address_file[SETTINGS_PATH_BYTES]; /* bound addresses as JSON */
	uint32_t max_body_bytes;
	uint32_t max_bodies_bytes; /* of each port; 0: see http/server.h */
	uint32_t max_queued; /* admitted requests that wait for an engine */
	uint32_t heartbeat_ms;
	uint32_t isolation_ms; /* without log and peers: stop keyed routes */
	uint32_t lease_ms;
	uint32_t usage_window_s;
	uint32_t usage_flush_ms;
	uint32_t address_ttl_ms;
	uint32_t drain_ms; /* longest graceful stop */
};

/* Fills in every default; name, data centre and URLs are left empty. */
void settings_init(struct settings *settings);

/* Reads and checks a JSON text; `origin` names it in errors. */
int settings_parse(struct settings *settings, const char *text, size_t len,
		   const char *origin, struct error *err);
int settings_read_file(struct settings *settings, const char *path,
		       struct error *err);

#endif
