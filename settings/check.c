#include "settings/check.h"

#include <libgen.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"

#define MS_PER_S 1000

static int check_tls(const struct tls_settings *tls, struct error *err)
{
	uint32_t named =
		!!*tls->certificate + !!*tls->private_key + !!*tls->authority;

	if (named == 0 || named == 3)
		return 0;
	return error_set(err, ERROR_INVALID,
			 "'peer.tls' must name all of certificate, "
			 "private_key and authority, but lacks '%s'",
			 !*tls->certificate   ? "certificate"
			 : !*tls->private_key ? "private_key"
					      : "authority");
}

static int check_operators(const struct settings *settings, struct error *err)
{
	const struct operator_settings *list = settings->operator_list;

	for (uint32_t i = 0; i < settings->operator_count; i++) {
		for (uint32_t j = 0; j < i; j++) {
			if (!strcmp(list[i].name, list[j].name))
				return error_set(err, ERROR_INVALID,
						 "operator '%s' is listed "
						 "twice in 'operator_list'",
						 list[i].name);
			if (!memcmp(list[i].token_hash, list[j].token_hash,
				    KEY_HASH_BYTES))
				return error_set(err, ERROR_INVALID,
						 "operators '%s' and '%s' "
						 "have the same token",
						 list[j].name, list[i].name);
		}
	}
	return 0;
}

static int check_times(const struct settings *settings, struct error *err)
{
	if (settings->isolation_ms < 2 * settings->heartbeat_ms)
		return error_set(err, ERROR_INVALID,
				 "'isolation_ms' must be at least twice "
				 "'heartbeat_ms' (%u), but holds %u",
				 settings->heartbeat_ms,
				 settings->isolation_ms);
	if (settings->usage_flush_ms > settings->usage_window_s * MS_PER_S)
		return error_set(err, ERROR_INVALID,
				 "'usage_flush_ms' must be at most "
				 "'usage_window_s' (%u s), but holds %u",
				 settings->usage_window_s,
				 settings->usage_flush_ms);
	return 0;
}

int settings_check(const struct settings *settings, struct error *err)
{
	if (check_tls(&settings->peer_tls, err))
		return -1;
	if (check_operators(settings, err))
		return -1;
	return check_times(settings, err);
}

static int check_readable(const char *field, const char *path,
			  struct error *err)
{
	if (!*path || !access(path, R_OK))
		return 0;
	return error_set(err, ERROR_IO, "field '%s': cannot read %s: %m", field,
			 path);
}

static int check_folder(const char *field, const char *path, struct error *err)
{
	char copy[SETTINGS_PATH_BYTES];
	const char *folder;

	if (!*path)
		return 0;
	copy_text(copy, sizeof(copy), path);
	folder = dirname(copy);
	if (!access(folder, W_OK | X_OK))
		return 0;
	return error_set(err, ERROR_IO,
			 "field '%s': cannot write in folder %s: %m", field,
			 folder);
}

int settings_check_files(const struct settings *settings, struct error *err)
{
	const struct tls_settings *tls = &settings->peer_tls;

	if (check_readable("peer.tls.certificate", tls->certificate, err) ||
	    check_readable("peer.tls.private_key", tls->private_key, err) ||
	    check_readable("peer.tls.authority", tls->authority, err))
		return -1;
	return check_folder("address_file", settings->address_file, err);
}
