#ifndef PEER_PEER_SERVICE_H
#define PEER_PEER_SERVICE_H

#include <pthread.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/logger.h"
#include "base/rng.h"
#include "base/timer.h"
#include "peer/message_kind.h"
#include "peer/peer_outbox.h"
#include "peer/peer_tls.h"
#include "proto/peer.pb-c.h"
#include "settings/settings.h"
#include "timeline/timeline.h"

/*
 * The connections between daemons. One thread with epoll accepts peers and
 * keeps one outgoing connection to each chosen member; messages to a member
 * go out on that connection, and its own come in on the one that it opened.
 *
 * A connection that breaks the framing, that leaves a frame half sent for
 * too long, or whose other side is not who it says, is closed and counted;
 * nothing of it is applied. With TLS the certificate's common name must be
 * the sender's name; without, the source address must be that of the listed
 * member with the sender's name.
 */
struct peer_settings {
	char listen_address[NAME_BYTES]; /* ip:port; port 0: a free one */
	char name[NAME_BYTES];
	uint64_t incarnation;
	uint64_t seed; /* of the jitter between connection attempts */
	struct tls_settings tls;
};

struct peer_handler;

struct peer_handler_vtable {
	/* Called on the service's thread; must be short. */
	void (*on_message)(struct peer_handler *handler,
			   const Currant__PeerMessage *message);
};

struct peer_handler {
	const struct peer_handler_vtable *vt;
};

struct peer_link;
struct peer_incoming;

/* What an epoll event belongs to. */
struct peer_source {
	enum {
		PEER_SOURCE_LISTEN,
		PEER_SOURCE_WAKE,
		PEER_SOURCE_LINK,
		PEER_SOURCE_INCOMING
	} kind;
};

struct peer_counters {
	struct counter *bytes_out[MESSAGE_KINDS];
	struct counter *bytes_in[MESSAGE_KINDS];
	struct counter *messages_out[MESSAGE_KINDS];
	struct counter *messages_in[MESSAGE_KINDS];
	struct counter *dropped;
	struct counter *reconnects;
	struct counter *refused_stranger;
	struct counter *refused_frame;
	struct counter *refused_timeout;
	struct counter *refused_tls;
	struct counter *refused_full;
};

struct peer_service {
	struct peer_outbox outbox; /* first */
	struct peer_settings settings;
	struct timeline *timeline;
	struct clock *clock;
	struct log_part log;
	struct peer_counters counters;
	struct peer_handler *handler;
	struct peer_tls tls;
	struct timer reload_timer;
	struct timer_service *reload_service;
	struct rng rng; /* service thread only */
	int listen_fd;
	int wake_fd;
	int epoll_fd;
	uint16_t port;
	struct peer_source listen_source;
	struct peer_source wake_source;
	pthread_t thread;
	int running;
	int stopping;
	struct peer_incoming *incoming; /* service thread only */
	uint32_t incoming_count;
	int woken; /* service thread only */
	int64_t last_tick_ns;
	pthread_mutex_t lock; /* guards the links, their queues, sequence */
	struct peer_link *links;
	uint64_t sequence;
	uint64_t list_generation; /* atomic */
};

/*
 * Binds the listen address and reads the certificates; -1 if either fails.
 * `timeline` may be NULL. The other arguments must outlive the service.
 */
int peer_service_init(struct peer_service *service,
		      const struct peer_settings *settings,
		      struct timeline *timeline, struct counter_set *counters,
		      struct clock *clock, const struct log_part *log,
		      struct error *err);
void peer_service_finish(struct peer_service *service);

/* Sets who is told of messages; before the start. */
void peer_service_set_handler(struct peer_service *service,
			      struct peer_handler *handler);

int peer_service_start(struct peer_service *service, struct error *err);
void peer_service_stop(struct peer_service *service);

/* Looks for changed certificates each period; ends with the service. */
void peer_service_watch_certificates(struct peer_service *service,
				     struct timer_service *timers,
				     int64_t period_ns);

/* The port that is bound. */
uint16_t peer_service_port(const struct peer_service *service);

/*
 * Replaces the list of those who may connect and be sent to; connections of
 * others are closed. The own name in the list is passed over.
 */
void peer_service_set_members(struct peer_service *service,
			      const struct peer_member *members,
			      uint32_t count);

/*
 * Sends a message to one member, from any thread. The envelope (from,
 * incarnation, sequence, lamport) is filled in. A connection is opened if
 * there is none. ERROR_NOT_FOUND if the name is not listed, ERROR_FULL if
 * its queue is full.
 */
int peer_service_send(struct peer_service *service, const char *name,
		      Currant__PeerMessage *message, struct error *err);

/* Sends to each member with `connect` set; returns how many took it. */
uint32_t peer_service_broadcast(struct peer_service *service,
				Currant__PeerMessage *message);

/* Whether the outgoing connection to this member is established. */
int peer_service_connected(struct peer_service *service, const char *name);

#endif
