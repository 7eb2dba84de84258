#ifndef PEER_PEER_TLS_H
#define PEER_PEER_TLS_H

#include <openssl/ssl.h>
#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "settings/settings.h"

/*
 * Mutual TLS between daemons by OpenSSL: both sides show a certificate of
 * the settings' authority, whose common name is the daemon's name.
 */
struct peer_tls {
	struct tls_settings settings;
	int enabled;
	pthread_mutex_t lock; /* guards context and stamp */
	SSL_CTX *context;
	uint64_t stamp; /* of the files that the context was read from */
};

/* Reads the files; a settings struct without certificate means no TLS. */
int peer_tls_init(struct peer_tls *tls, const struct tls_settings *settings,
		  struct error *err);
void peer_tls_finish(struct peer_tls *tls);

/*
 * Reads the files again if one of them changed. Returns 1 if new ones are
 * in use for connections from now on, 0 if nothing changed, -1 if the new
 * files are unusable and the old ones stay in use.
 */
int peer_tls_reload(struct peer_tls *tls, struct error *err);

/* Makes the state of one connection; NULL without TLS. */
SSL *peer_tls_open(struct peer_tls *tls, int fd, int is_server);

/* Copies the common name of the other side's certificate; -1 if none. */
int peer_tls_common_name(SSL *ssl, char *name, size_t size);

#endif
