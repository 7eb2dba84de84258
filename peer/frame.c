#include "peer/frame.h"

#include <string.h>
#include <xxhash.h>

/* The last byte is the version of the protocol. */
static const uint8_t frame_magic[4] = { 'C', 'R', 'P', 1 };

static void put_little_endian(uint8_t *dst, uint64_t value, uint32_t bytes)
{
	for (uint32_t i = 0; i < bytes; i++)
		dst[i] = (uint8_t)(value >> (8 * i));
}

static uint64_t get_little_endian(const uint8_t *src, uint32_t bytes)
{
	uint64_t value = 0;

	for (uint32_t i = 0; i < bytes; i++)
		value |= (uint64_t)src[i] << (8 * i);
	return value;
}

int frame_encode(struct strbuf *out, const void *payload, size_t len,
		 struct error *err)
{
	uint8_t header[FRAME_HEADER_BYTES];

	if (len > FRAME_MAX_PAYLOAD_BYTES)
		return error_set(err, ERROR_INVALID,
				 "frame of %zu bytes is over the limit of %d",
				 len, FRAME_MAX_PAYLOAD_BYTES);
	memcpy(header, frame_magic, sizeof(frame_magic));
	put_little_endian(header + 4, len, 4);
	put_little_endian(header + 8, XXH64(payload, len, 0), 8);
	strbuf_add(out, header, sizeof(header));
	strbuf_add(out, payload, len);
	return 0;
}

/* A wrong magic is told from its first byte on, before a header is whole. */
static int check_magic(const uint8_t *bytes, size_t len, struct error *err)
{
	size_t known = len < 3 ? len : 3;

	if (memcmp(bytes, frame_magic, known))
		return error_set(err, ERROR_PROTOCOL,
				 "frame has a wrong magic");
	if (len >= 4 && bytes[3] != frame_magic[3])
		return error_set(err, ERROR_PROTOCOL,
				 "frame has the unknown version %u", bytes[3]);
	return 0;
}

int frame_decode(const struct strbuf *in, const uint8_t **payload, size_t *len,
		 size_t *frame_len, struct error *err)
{
	const uint8_t *bytes = (const uint8_t *)in->buf;
	size_t payload_len;

	if (check_magic(bytes, in->len, err))
		return -1;
	if (in->len < FRAME_HEADER_BYTES)
		return 0;
	payload_len = get_little_endian(bytes + 4, 4);
	if (payload_len > FRAME_MAX_PAYLOAD_BYTES)
		return error_set(err, ERROR_PROTOCOL,
				 "frame of %zu bytes is over the limit of %d",
				 payload_len, FRAME_MAX_PAYLOAD_BYTES);
	if (in->len < FRAME_HEADER_BYTES + payload_len)
		return 0;
	bytes += FRAME_HEADER_BYTES;
	if (XXH64(bytes, payload_len, 0) !=
	    get_little_endian((const uint8_t *)in->buf + 8, 8))
		return error_set(err, ERROR_PROTOCOL,
				 "frame has a wrong checksum");
	*payload = bytes;
	*len = payload_len;
	*frame_len = FRAME_HEADER_BYTES + payload_len;
	return 1;
}
