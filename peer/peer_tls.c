#include "peer/peer_tls.h"

#include <openssl/err.h>
#include <openssl/x509.h>
#include <string.h>
#include <sys/stat.h>

#include "base/hash.h"

/* Puts the first of OpenSSL's errors into `err`; returns -1. */
static int tls_error(struct error *err, const char *what, const char *path)
{
	char text[160];

	ERR_error_string_n(ERR_get_error(), text, sizeof(text));
	ERR_clear_error();
	return error_set(err, ERROR_INVALID, "%s '%s': %s", what, path, text);
}

static int load_files(SSL_CTX *context, const struct tls_settings *settings,
		      struct error *err)
{
	if (SSL_CTX_use_certificate_chain_file(context,
					       settings->certificate) != 1)
		return tls_error(err, "certificate", settings->certificate);
	if (SSL_CTX_use_PrivateKey_file(context, settings->private_key,
					SSL_FILETYPE_PEM) != 1)
		return tls_error(err, "private key", settings->private_key);
	if (SSL_CTX_check_private_key(context) != 1)
		return tls_error(err, "private key", settings->private_key);
	if (SSL_CTX_load_verify_locations(context, settings->authority, NULL) !=
	    1)
		return tls_error(err, "authority", settings->authority);
	return 0;
}

static SSL_CTX *context_new(const struct tls_settings *settings,
			    struct error *err)
{
	SSL_CTX *context = SSL_CTX_new(TLS_method());

	if (!context) {
		tls_error(err, "context", "TLS");
		return NULL;
	}
	SSL_CTX_set_min_proto_version(context, TLS1_3_VERSION);
	SSL_CTX_set_mode(context, SSL_MODE_ENABLE_PARTIAL_WRITE |
					  SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
	SSL_CTX_set_verify(context,
			   SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT,
			   NULL);
	/* Tickets would outlive a certificate that was replaced. */
	SSL_CTX_set_num_tickets(context, 0);
	SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
	if (load_files(context, settings, err)) {
		SSL_CTX_free(context);
		return NULL;
	}
	return context;
}

static uint64_t file_stamp(const char *path, uint64_t seed)
{
	struct stat st;
	int64_t parts[4];

	if (stat(path, &st))
		return seed;
	parts[0] = st.st_mtim.tv_sec;
	parts[1] = st.st_mtim.tv_nsec;
	parts[2] = st.st_size;
	parts[3] = (int64_t)st.st_ino;
	return hash_bytes(parts, sizeof(parts), seed);
}

static uint64_t files_stamp(const struct tls_settings *settings)
{
	uint64_t stamp = file_stamp(settings->certificate, 1);

	stamp = file_stamp(settings->private_key, stamp);
	return file_stamp(settings->authority, stamp);
}

int peer_tls_init(struct peer_tls *tls, const struct tls_settings *settings,
		  struct error *err)
{
	memset(tls, 0, sizeof(*tls));
	tls->settings = *settings;
	tls->enabled = settings->certificate[0] != '\0';
	pthread_mutex_init(&tls->lock, NULL);
	if (!tls->enabled)
		return 0;
	tls->stamp = files_stamp(settings);
	tls->context = context_new(settings, err);
	return tls->context ? 0 : -1;
}

void peer_tls_finish(struct peer_tls *tls)
{
	SSL_CTX_free(tls->context);
	tls->context = NULL;
	pthread_mutex_destroy(&tls->lock);
}

int peer_tls_reload(struct peer_tls *tls, struct error *err)
{
	uint64_t stamp;
	SSL_CTX *context;

	if (!tls->enabled)
		return 0;
	stamp = files_stamp(&tls->settings);
	pthread_mutex_lock(&tls->lock);
	if (stamp == tls->stamp) {
		pthread_mutex_unlock(&tls->lock);
		return 0;
	}
	context = context_new(&tls->settings, err);
	if (context) {
		SSL_CTX_free(tls->context);
		tls->context = context;
		tls->stamp = stamp;
	}
	pthread_mutex_unlock(&tls->lock);
	return context ? 1 : -1;
}

SSL *peer_tls_open(struct peer_tls *tls, int fd, int is_server)
{
	SSL *ssl;

	if (!tls->enabled)
		return NULL;
	pthread_mutex_lock(&tls->lock);
	ssl = SSL_new(tls->context);
	pthread_mutex_unlock(&tls->lock);
	if (!ssl)
		return NULL;
	SSL_set_fd(ssl, fd);
	if (is_server)
		SSL_set_accept_state(ssl);
	else
		SSL_set_connect_state(ssl);
	return ssl;
}

int peer_tls_common_name(SSL *ssl, char *name, size_t size)
{
	X509 *certificate = SSL_get1_peer_certificate(ssl);
	int len;

	if (!certificate)
		return -1;
	len = X509_NAME_get_text_by_NID(X509_get_subject_name(certificate),
					NID_commonName, name, (int)size);
	X509_free(certificate);
	/* A name that holds a NUL or was cut could pass for another one. */
	return len > 0 && (size_t)len < size && strlen(name) == (size_t)len
		       ? 0
		       : -1;
}
