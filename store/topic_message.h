#ifndef STORE_TOPIC_MESSAGE_H
#define STORE_TOPIC_MESSAGE_H

#include <protobuf-c/protobuf-c.h>

#include "base/strbuf.h"

/*
 * Append a record with the serialised message to `out`; see topic_add_record()
 * and topic_add_keyed().
 */
void topic_add_message(struct strbuf *out, const ProtobufCMessage *message);
void topic_add_keyed_message(struct strbuf *out, const char *key,
			     const ProtobufCMessage *message);

#endif
