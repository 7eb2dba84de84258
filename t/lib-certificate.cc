#include "t/lib-certificate.h"

#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <filesystem>
#include <stdexcept>

#define VALID_S (24 * 3600)

static void set_common_name(X509_NAME *name, const std::string &text)
{
	X509_NAME_add_entry_by_txt(
		name, "CN", MBSTRING_ASC,
		reinterpret_cast<const unsigned char *>(text.c_str()), -1, -1,
		0);
}

static X509 *certificate_new(const std::string &subject,
			     const std::string &issuer, EVP_PKEY *key,
			     EVP_PKEY *signer, bool is_authority)
{
	X509 *certificate = X509_new();

	X509_set_version(certificate, 2);
	ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
	X509_gmtime_adj(X509_getm_notBefore(certificate), -VALID_S);
	X509_gmtime_adj(X509_getm_notAfter(certificate), VALID_S);
	X509_set_pubkey(certificate, key);
	set_common_name(X509_get_subject_name(certificate), subject);
	set_common_name(X509_get_issuer_name(certificate), issuer);
	if (is_authority) {
		BASIC_CONSTRAINTS *constraints = BASIC_CONSTRAINTS_new();

		constraints->ca = 1;
		X509_add1_ext_i2d(certificate, NID_basic_constraints,
				  constraints, 1, 0);
		BASIC_CONSTRAINTS_free(constraints);
	}
	if (!X509_sign(certificate, signer, EVP_sha256()))
		throw std::runtime_error("X509_sign");
	return certificate;
}

/* Renames into place, so that a reader never sees half a file. */
static void write_certificate(const std::string &path, X509 *certificate)
{
	FILE *file = fopen((path + ".new").c_str(), "w");

	PEM_write_X509(file, certificate);
	fclose(file);
	std::filesystem::rename(path + ".new", path);
}

static void write_key(const std::string &path, EVP_PKEY *key)
{
	FILE *file = fopen((path + ".new").c_str(), "w");

	PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
	fclose(file);
	std::filesystem::rename(path + ".new", path);
}

Authority::Authority(const std::string &in_folder, const std::string &own_name)
    : folder(in_folder), path(in_folder + "/" + own_name + ".crt"),
      name(own_name), key(EVP_EC_gen("P-256"))
{
	certificate = certificate_new(name, name, key, key, true);
	write_certificate(path, certificate);
}

Authority::~Authority()
{
	X509_free(certificate);
	EVP_PKEY_free(key);
}

struct tls_settings Authority::issue(const std::string &common_name,
				     const std::string &file)
{
	struct tls_settings settings = {};
	std::string base = folder + "/" + file;
	EVP_PKEY *own_key = EVP_EC_gen("P-256");
	X509 *own = certificate_new(common_name, name, own_key, key, false);

	write_key(base + ".key", own_key);
	write_certificate(base + ".crt", own);
	X509_free(own);
	EVP_PKEY_free(own_key);
	snprintf(settings.certificate, sizeof(settings.certificate), "%s.crt",
		 base.c_str());
	snprintf(settings.private_key, sizeof(settings.private_key), "%s.key",
		 base.c_str());
	snprintf(settings.authority, sizeof(settings.authority), "%s",
		 path.c_str());
	return settings;
}
