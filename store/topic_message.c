#include "store/topic_message.h"

#include "port/topic_log.h"

static void pack(const ProtobufCMessage *message, struct strbuf *out)
{
	strbuf_init(out);
	strbuf_grow(out, protobuf_c_message_get_packed_size(message));
	out->len = protobuf_c_message_pack(message, (uint8_t *)out->buf);
}

void topic_add_message(struct strbuf *out, const ProtobufCMessage *message)
{
	struct strbuf packed;

	pack(message, &packed);
	topic_add_record(out, packed.buf, packed.len);
	strbuf_finish(&packed);
}

void topic_add_keyed_message(struct strbuf *out, const char *key,
			     const ProtobufCMessage *message)
{
	struct strbuf packed;

	pack(message, &packed);
	topic_add_keyed(out, key, packed.buf, packed.len);
	strbuf_finish(&packed);
}
