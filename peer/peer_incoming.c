#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"
#include "peer/frame.h"
#include "peer/peer_internal.h"

/* Peers that may be connected at once. */
#define INCOMING_MAX 1024

static void refuse(struct peer_incoming *incoming, struct counter *counter,
		   const char *why)
{
	struct peer_service *service = incoming->service;
	char ip[INET_ADDRSTRLEN] = "";

	inet_ntop(AF_INET, &incoming->address.sin_addr, ip, sizeof(ip));
	log_warning(&service->log, "Connection of '%s' at %s refused: %s.",
		    incoming->name, ip, why);
	counter_add(counter, 1);
	incoming->dead = 1;
	service->woken = 1;
}

static void add_incoming(struct peer_service *service, int fd,
			 const struct sockaddr_in *address)
{
	struct peer_incoming *incoming = xcalloc(1, sizeof(*incoming));

	incoming->source.kind = PEER_SOURCE_INCOMING;
	incoming->service = service;
	incoming->address = *address;
	incoming->opened_ns = clock_now_ns(service->clock);
	incoming->last_message_ns = incoming->opened_ns;
	peer_stream_init(&incoming->stream, fd,
			 peer_tls_open(&service->tls, fd, 1));
	incoming->next = service->incoming;
	service->incoming = incoming;
	service->incoming_count++;
	peer_service_watch(service, fd, &incoming->source, EPOLLIN,
			   &incoming->events);
}

void peer_incoming_accept(struct peer_service *service)
{
	struct sockaddr_in address;
	socklen_t len = sizeof(address);
	int fd;

	while ((fd = accept4(service->listen_fd, (struct sockaddr *)&address,
			     &len, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		len = sizeof(address);
		if (service->incoming_count >= INCOMING_MAX) {
			counter_add(service->counters.refused_full, 1);
			close(fd);
		} else if (!service->tls.enabled &&
			   !peer_service_lists_address(service, &address)) {
			counter_add(service->counters.refused_stranger, 1);
			close(fd);
		} else {
			add_incoming(service, fd, &address);
		}
	}
}

/* Looks it up again only after the list has changed. */
static int is_still_listed(struct peer_incoming *incoming)
{
	struct peer_service *service = incoming->service;
	uint64_t generation =
		__atomic_load_n(&service->list_generation, __ATOMIC_ACQUIRE);

	if (incoming->list_generation == generation)
		return 1;
	incoming->list_generation = generation;
	if (!incoming->name[0])
		return service->tls.enabled ||
		       peer_service_lists_address(service, &incoming->address);
	return peer_service_lists(service, incoming->name, NULL);
}

/* Whether the sender is whom it names; the first message fixes the name. */
static int is_genuine(struct peer_incoming *incoming,
		      const Currant__PeerMessage *message)
{
	struct peer_service *service = incoming->service;

	if (incoming->name[0])
		return !strcmp(incoming->name, message->from) &&
		       is_still_listed(incoming);
	if (!peer_service_lists(service, message->from, &incoming->address) ||
	    copy_text(incoming->name, sizeof(incoming->name), message->from)) {
		incoming->name[0] = '\0';
		return 0;
	}
	return 1;
}

static void acknowledge(struct peer_service *service,
			const Currant__PeerMessage *message)
{
	Currant__Acknowledgement body = CURRANT__ACKNOWLEDGEMENT__INIT;
	Currant__PeerMessage answer = CURRANT__PEER_MESSAGE__INIT;

	body.of_sequence = message->sequence;
	answer.body_case = CURRANT__PEER_MESSAGE__BODY_ACKNOWLEDGEMENT;
	answer.acknowledgement = &body;
	peer_service_send(service, message->from, &answer, NULL);
}

static void take_acknowledgement(struct peer_service *service,
				 const Currant__PeerMessage *message)
{
	struct peer_link *link;

	pthread_mutex_lock(&service->lock);
	link = peer_service_find(service, message->from);
	if (link)
		send_queue_acknowledge(&link->queue,
				       message->acknowledgement->of_sequence);
	pthread_mutex_unlock(&service->lock);
}

static void deliver(struct peer_incoming *incoming,
		    const Currant__PeerMessage *message, size_t frame_len)
{
	struct peer_service *service = incoming->service;
	enum message_kind kind = message_kind_of(message);

	counter_add(service->counters.bytes_in[kind], (int64_t)frame_len);
	counter_add(service->counters.messages_in[kind], 1);
	incoming->last_message_ns = clock_now_ns(service->clock);
	if (service->timeline)
		timeline_on_receive(service->timeline, message->lamport);
	if (kind == MESSAGE_ACKNOWLEDGEMENT) {
		take_acknowledgement(service, message);
		return;
	}
	if (service->handler && kind != MESSAGE_OTHER)
		service->handler->vt->on_message(service->handler, message);
	if (message_kind_is_reliable(kind))
		acknowledge(service, message);
}

/* Applies one frame's payload; the connection dies if it is not genuine. */
static void take_payload(struct peer_incoming *incoming, const uint8_t *payload,
			 size_t len, size_t frame_len)
{
	struct peer_service *service = incoming->service;
	Currant__PeerMessage *message =
		currant__peer_message__unpack(NULL, len, payload);

	if (!message)
		refuse(incoming, service->counters.refused_frame,
		       "payload is no message");
	else if (!is_genuine(incoming, message))
		refuse(incoming, service->counters.refused_stranger,
		       "sender is not a listed member");
	else
		deliver(incoming, message, frame_len);
	if (message)
		currant__peer_message__free_unpacked(message, NULL);
}

static void take_frames(struct peer_incoming *incoming)
{
	struct peer_service *service = incoming->service;
	struct error err = ERROR_INIT;
	const uint8_t *payload;
	size_t len, frame_len;
	int found = 0;

	while (!incoming->dead &&
	       (found = frame_decode(&incoming->stream.in, &payload, &len,
				     &frame_len, &err)) > 0) {
		take_payload(incoming, payload, len, frame_len);
		strbuf_consume(&incoming->stream.in, frame_len);
		incoming->partial_since_ns = 0;
	}
	if (found < 0)
		refuse(incoming, service->counters.refused_frame, err.text);
	if (!incoming->stream.in.len)
		incoming->partial_since_ns = 0;
	else if (!incoming->partial_since_ns)
		incoming->partial_since_ns = clock_now_ns(service->clock);
}

/* Goes on with the handshake; with TLS the certificate gives the name. */
static int establish(struct peer_incoming *incoming)
{
	struct peer_service *service = incoming->service;
	struct error err = ERROR_INIT;
	int done = peer_stream_handshake(&incoming->stream, &err);

	if (done < 0) {
		refuse(incoming, service->counters.refused_tls, err.text);
		return 0;
	}
	if (!done || !incoming->stream.ssl)
		return done;
	if (peer_tls_common_name(incoming->stream.ssl, incoming->name,
				 sizeof(incoming->name)) ||
	    !peer_service_lists(service, incoming->name, NULL)) {
		refuse(incoming, service->counters.refused_stranger,
		       "its certificate is not of a listed member");
		return 0;
	}
	return 1;
}

void peer_incoming_on_event(struct peer_incoming *incoming, uint32_t events)
{
	struct error err = ERROR_INIT;
	int ended;

	(void)events;
	if (incoming->dead)
		return;
	if (incoming->stream.established || establish(incoming)) {
		ended = peer_stream_read(&incoming->stream, &err);
		take_frames(incoming);
		if (ended)
			incoming->dead = 1;
	}
	if (!incoming->dead)
		peer_service_watch(incoming->service, incoming->stream.fd,
				   &incoming->source,
				   peer_stream_events(&incoming->stream),
				   &incoming->events);
}

static void check_time(struct peer_incoming *incoming, int64_t now_ns)
{
	struct counter *counter = incoming->service->counters.refused_timeout;

	if (!incoming->stream.established &&
	    now_ns - incoming->opened_ns > PEER_HANDSHAKE_NS)
		refuse(incoming, counter, "no handshake in time");
	else if (incoming->partial_since_ns &&
		 now_ns - incoming->partial_since_ns > PEER_FRAME_NS)
		refuse(incoming, counter, "a frame stays half sent");
	else if (!incoming->name[0] &&
		 now_ns - incoming->opened_ns > PEER_HANDSHAKE_NS)
		refuse(incoming, counter, "no message in time");
	else if (now_ns - incoming->last_message_ns > PEER_IDLE_NS)
		incoming->dead = 1;
}

void peer_incoming_tick(struct peer_service *service, int64_t now_ns)
{
	struct peer_incoming **at = &service->incoming;

	while (*at) {
		struct peer_incoming *incoming = *at;

		if (!incoming->dead)
			check_time(incoming, now_ns);
		if (!incoming->dead && !is_still_listed(incoming))
			incoming->dead = 1;
		if (!incoming->dead) {
			at = &incoming->next;
			continue;
		}
		*at = incoming->next;
		service->incoming_count--;
		peer_stream_finish(&incoming->stream);
		free(incoming);
	}
}

void peer_incoming_finish_all(struct peer_service *service)
{
	for (struct peer_incoming *i = service->incoming; i; i = i->next)
		i->dead = 1;
	peer_incoming_tick(service, 0);
}
