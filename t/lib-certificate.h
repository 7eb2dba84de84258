#ifndef T_LIB_CERTIFICATE_H
#define T_LIB_CERTIFICATE_H

#include <openssl/evp.h>
#include <openssl/x509.h>

#include <string>

extern "C" {
#include "settings/settings.h"
}

/* An authority that signs certificates for daemons in tests. */
class Authority
{
      public:
	Authority(const std::string &folder, const std::string &name);
	~Authority();
	Authority(const Authority &) = delete;
	Authority &operator=(const Authority &) = delete;

	/*
	 * Writes a certificate for `common_name` with its key to
	 * FOLDER/FILE.crt and FILE.key and returns settings that name them
	 * and this authority.
	 */
	struct tls_settings issue(const std::string &common_name,
				  const std::string &file);

      private:
	std::string folder;
	std::string path;
	std::string name;
	EVP_PKEY *key;
	X509 *certificate;
};

#endif
