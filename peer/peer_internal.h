#ifndef PEER_PEER_INTERNAL_H
#define PEER_PEER_INTERNAL_H

#include <netinet/in.h>

#include "peer/peer_service.h"
#include "peer/peer_stream.h"
#include "peer/send_queue.h"

/* What the files of the peer service share; not for other parts. */

/* Longest time for a connection and its handshake to be made. */
#define PEER_HANDSHAKE_NS (5 * NS_PER_S)

/* Longest time that a frame may stay half sent. */
#define PEER_FRAME_NS (5 * NS_PER_S)

/* Incoming connections without any message for this long are closed. */
#define PEER_IDLE_NS (120 * NS_PER_S)

/* Outgoing connections that were opened for single messages. */
#define PEER_LINK_IDLE_NS (30 * NS_PER_S)

enum link_state { LINK_IDLE = 0, LINK_BACKOFF, LINK_OPENING, LINK_UP };

/* The outgoing side of one listed member. */
struct peer_link {
	struct peer_source source;
	struct peer_service *service;
	struct peer_link *next; /* under service->lock */
	char name[NAME_BYTES];
	struct sockaddr_in address; /* under service->lock */
	int listed; /* under service->lock */
	int connect; /* under service->lock */
	struct send_queue queue; /* under service->lock */
	int state; /* enum link_state; atomic, written by the thread */
	struct peer_stream stream; /* service thread from here on */
	struct sockaddr_in connected_to;
	uint32_t failures; /* since the last connection */
	int64_t retry_at_ns;
	int64_t opened_ns;
	int64_t last_used_ns;
	uint32_t events;
};

/* A connection that a peer opened; belongs to the service thread. */
struct peer_incoming {
	struct peer_source source;
	struct peer_service *service;
	struct peer_incoming *next;
	struct peer_stream stream;
	struct sockaddr_in address;
	char name[NAME_BYTES]; /* "": not known yet */
	int64_t opened_ns;
	int64_t last_message_ns;
	int64_t partial_since_ns; /* 0: no frame is half read */
	uint32_t events;
	uint64_t list_generation; /* that its name was checked against */
	int dead;
};

/* peer_counters.c */
void peer_counters_init(struct peer_counters *counters,
			struct counter_set *set);

/* peer_address.c */
int peer_address_parse(const char *text, struct sockaddr_in *address,
		       struct error *err);

/* peer_link.c */
struct peer_link *peer_link_new(struct peer_service *service, const char *name);
void peer_link_free(struct peer_link *link);
void peer_link_on_event(struct peer_link *link, uint32_t events);

/* Opens, closes, times out and flushes as the time asks. */
void peer_link_tick(struct peer_link *link, int64_t now_ns);

/* peer_incoming.c */
void peer_incoming_accept(struct peer_service *service);
void peer_incoming_on_event(struct peer_incoming *incoming, uint32_t events);

/* Ends what is late or no longer listed; frees what ended. */
void peer_incoming_tick(struct peer_service *service, int64_t now_ns);
void peer_incoming_finish_all(struct peer_service *service);

/* peer_service.c */

/* Finds a listed member; the lock is held. */
struct peer_link *peer_service_find(struct peer_service *service,
				    const char *name);

/* Whether a listed member has this source address; takes the lock. */
int peer_service_lists_address(struct peer_service *service,
			       const struct sockaddr_in *address);

/* Whether this member is listed, with this address unless NULL. */
int peer_service_lists(struct peer_service *service, const char *name,
		       const struct sockaddr_in *address);

/* Watches a descriptor for events, or for others than before. */
void peer_service_watch(struct peer_service *service, int fd,
			struct peer_source *source, uint32_t events,
			uint32_t *watched);

#endif
