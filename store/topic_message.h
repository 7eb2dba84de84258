#ifndef STORE_TOPIC_MESSAGE_H
#define STORE_TOPIC_MESSAGE_H

#include <protobuf-c/protobuf-c.h>

#include "base/strbuf.h"

/* Records that hold a message; see topic_add_record(), topic_add_keyed(). */
void topic_add_message(struct strbuf *out, const ProtobufCMessage *message);
void topic_add_keyed_message(struct strbuf *out, const char *key,
			     const ProtobufCMessage *message);

#endif
