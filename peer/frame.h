#ifndef PEER_FRAME_H
#define PEER_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/strbuf.h"

/*
 * Frames between daemons: magic with version (4 bytes), payload length
 * (4 bytes, little endian), XXH64 checksum of the payload (8 bytes), then
 * the payload, which is one packed PeerMessage.
 */
#define FRAME_HEADER_BYTES 16
#define FRAME_MAX_PAYLOAD_BYTES (1024 * 1024)

/* Appends one frame to `out`; -1 if the payload is over the bound. */
int frame_encode(struct strbuf *out, const void *payload, size_t len,
		 struct error *err);

/*
 * Takes the first whole frame of `in`. Returns 1 with a view of its payload
 * and the bytes it occupies, 0 if more bytes are needed, -1 if the stream is
 * broken and its connection must be closed.
 */
int frame_decode(const struct strbuf *in, const uint8_t **payload, size_t *len,
		 size_t *frame_len, struct error *err);

#endif
