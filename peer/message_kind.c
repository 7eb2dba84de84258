#include "peer/message_kind.h"

enum message_kind message_kind_of(const Currant__PeerMessage *message)
{
	switch (message->body_case) {
	case CURRANT__PEER_MESSAGE__BODY_HEARTBEAT:
		return MESSAGE_HEARTBEAT;
	case CURRANT__PEER_MESSAGE__BODY_KEY_DENIAL:
		return MESSAGE_KEY_DENIAL;
	case CURRANT__PEER_MESSAGE__BODY_QUARANTINE_HINT:
		return MESSAGE_QUARANTINE_HINT;
	case CURRANT__PEER_MESSAGE__BODY_LOAD_DIGEST:
		return MESSAGE_LOAD_DIGEST;
	case CURRANT__PEER_MESSAGE__BODY_DEMAND_SUMMARY:
		return MESSAGE_DEMAND_SUMMARY;
	case CURRANT__PEER_MESSAGE__BODY_ENTRIES_REQUEST:
		return MESSAGE_ENTRIES_REQUEST;
	case CURRANT__PEER_MESSAGE__BODY_ENTRIES:
		return MESSAGE_ENTRIES;
	case CURRANT__PEER_MESSAGE__BODY_ACKNOWLEDGEMENT:
		return MESSAGE_ACKNOWLEDGEMENT;
	default:
		return MESSAGE_OTHER;
	}
}

const char *message_kind_name(enum message_kind kind)
{
	static const char *const names[MESSAGE_KINDS] = {
		[MESSAGE_OTHER] = "other",
		[MESSAGE_HEARTBEAT] = "heartbeat",
		[MESSAGE_KEY_DENIAL] = "key_denial",
		[MESSAGE_QUARANTINE_HINT] = "quarantine_hint",
		[MESSAGE_LOAD_DIGEST] = "load_digest",
		[MESSAGE_DEMAND_SUMMARY] = "demand_summary",
		[MESSAGE_ENTRIES_REQUEST] = "entries_request",
		[MESSAGE_ENTRIES] = "entries",
		[MESSAGE_ACKNOWLEDGEMENT] = "acknowledgement",
	};

	return names[kind];
}

int message_kind_is_soft(enum message_kind kind)
{
	return kind == MESSAGE_HEARTBEAT || kind == MESSAGE_LOAD_DIGEST ||
	       kind == MESSAGE_DEMAND_SUMMARY ||
	       kind == MESSAGE_QUARANTINE_HINT;
}

int message_kind_is_reliable(enum message_kind kind)
{
	return kind == MESSAGE_KEY_DENIAL;
}
