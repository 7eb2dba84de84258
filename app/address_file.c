#include "app/address_file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "base/alloc.h"

static void add_address(json_t *json, const char *name, const char *ip,
			uint32_t port)
{
	json_object_set_new(json, name, json_sprintf("%s:%u", ip, port));
}

int address_file_write(const struct daemon *daemon, struct error *err)
{
	const char *path = daemon->settings.address_file;
	char temporary[SETTINGS_PATH_BYTES + 8];
	char ip[NAME_BYTES];
	json_t *json;
	int result;

	if (!path[0])
		return 0;
	copy_text(ip, sizeof(ip), daemon->settings.peer_address);
	ip[strcspn(ip, ":")] = '\0';
	json = json_object();
	add_address(json, "batch", daemon->batch.ip, daemon->batch.port);
	add_address(json, "latency", daemon->latency.ip, daemon->latency.port);
	add_address(json, "operators", daemon->operators.ip,
		    daemon->operators.port);
	add_address(json, "peer", ip, peer_service_port(&daemon->peers));
	snprintf(temporary, sizeof(temporary), "%s.tmp", path);
	result = json_dump_file(json, temporary, JSON_INDENT(2));
	json_decref(json);
	if (result || rename(temporary, path))
		return error_set(err, ERROR_IO,
				 "address file '%s' cannot be written: %s",
				 path, strerror(errno));
	return 0;
}
