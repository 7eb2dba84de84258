#include "settings/field.h"

#include "base/alloc.h"
#include "settings/settings.h"

#define NO_TLS "the packaged CivetWeb has no TLS"

#define AT(member)                                                             \
	(uint32_t) offsetof(struct settings, member),                          \
		(uint32_t)sizeof(((struct settings *)0)->member)
#define TEXT(path, type, member, required)                                     \
	{                                                                      \
		path, type, AT(member), 0, 0, required, NULL                   \
	}
#define NUMBER(path, member, min, max)                                         \
	{                                                                      \
		path, FIELD_UINT, AT(member), min, max, 0, NULL                \
	}
#define REFUSED(path, reason)                                                  \
	{                                                                      \
		path, FIELD_REFUSED, 0, 0, 0, 0, 0, reason                     \
	}

static const struct field fields[] = {
	TEXT("name", FIELD_NAME, name, 1),
	TEXT("data_centre", FIELD_NAME, data_centre, 1),
	TEXT("region", FIELD_NAME, region, 0),
	TEXT("batch.address", FIELD_ADDRESS, batch.address, 0),
	NUMBER("batch.threads", batch.threads, 1, 10000),
	REFUSED("batch.tls", NO_TLS),
	TEXT("latency.address", FIELD_ADDRESS, latency.address, 0),
	NUMBER("latency.threads", latency.threads, 1, 10000),
	REFUSED("latency.tls", NO_TLS),
	TEXT("operators.address", FIELD_ADDRESS, operators.address, 0),
	NUMBER("operators.threads", operators.threads, 1, 1000),
	REFUSED("operators.tls", NO_TLS),
	TEXT("peer.address", FIELD_ADDRESS, peer_address, 0),
	TEXT("peer.tls.certificate", FIELD_FILE, peer_tls.certificate, 0),
	TEXT("peer.tls.private_key", FIELD_FILE, peer_tls.private_key, 0),
	TEXT("peer.tls.authority", FIELD_FILE, peer_tls.authority, 0),
	TEXT("log_url", FIELD_URL, log_url, 1),
	TEXT("hosts_url", FIELD_URL, hosts_url, 1),
	TEXT("orders_url", FIELD_URL, orders_url, 0),
	TEXT("usage_url", FIELD_URL, usage_url, 0),
	TEXT("weights_url", FIELD_URL, weights_url, 0),
	{ "log_level", FIELD_LOG_LEVEL, AT(log_level), 0, 0, 0, NULL },
	TEXT("address_file", FIELD_FILE, address_file, 0),
	NUMBER("max_body_bytes", max_body_bytes, 1024, 67108864),
	NUMBER("max_bodies_bytes", max_bodies_bytes, 1024, 1073741824),
	NUMBER("max_queued", max_queued, 1, 1000000),
	NUMBER("heartbeat_ms", heartbeat_ms, 10, 60000),
	NUMBER("isolation_ms", isolation_ms, 100, 600000),
	NUMBER("lease_ms", lease_ms, 200, 600000),
	NUMBER("usage_window_s", usage_window_s, 1, 86400),
	NUMBER("usage_flush_ms", usage_flush_ms, 50, 600000),
	NUMBER("address_ttl_ms", address_ttl_ms, 100, 3600000),
	NUMBER("drain_ms", drain_ms, 100, 3600000),
};

#define OPERATOR_AT(member)                                                    \
	(uint32_t) offsetof(struct operator_settings, member),                 \
		(uint32_t)sizeof(((struct operator_settings *)0)->member)

static const struct field operator_entry[] = {
	{ "name", FIELD_NAME, OPERATOR_AT(name), 0, 0, 1, NULL },
	{ "token_sha256", FIELD_SHA256, OPERATOR_AT(token_hash), 0, 0, 1,
	  NULL },
	{ "read_only", FIELD_BOOL, OPERATOR_AT(read_only), 0, 0, 0, NULL },
};

const struct field *settings_fields(uint32_t *count)
{
	*count = ARRAY_SIZE(fields);
	return fields;
}

const struct field *operator_fields(uint32_t *count)
{
	*count = ARRAY_SIZE(operator_entry);
	return operator_entry;
}
