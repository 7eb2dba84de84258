#ifndef MEMBERSHIP_MEMBERSHIP_H
#define MEMBERSHIP_MEMBERSHIP_H

#include <stdint.h>

#include "membership/summary.h"
#include "peer/peer_outbox.h"
#include "port/host_port.h"
#include "proto/peer.pb-c.h"

/*
 * Which entry hosts there are and which of them can be reached. The
 * platform's list says who is allowed, the peers' own heartbeats who is
 * reachable; one that is off the list is no member. Pure decisions: time comes
 * in as an argument, messages go in and views come out; the connections are
 * peer/'s.
 */
enum member_state {
	MEMBER_UNKNOWN = 0, /* listed, not heard of yet */
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* heartbeats are late */
	MEMBER_LEAVING, /* says or is said to be leaving */
	MEMBER_GONE, /* silent for long */
};

struct member {
	char name[NAME_BYTES];
	char data_centre[NAME_BYTES];
	char region[NAME_BYTES];
	char peer_address[NAME_BYTES];
	char caller_address[NAME_BYTES];
	char latency_address[NAME_BYTES];
	char operator_address[NAME_BYTES];
	enum member_state state;
	uint64_t incarnation;
	int64_t last_heard_ns;
	uint64_t log_head;
	int log_reachable;
	uint32_t requests_in_flight;
	uint32_t request_capacity;
	int listed_leaving;
	uint64_t ticket_generation; /* of the tickets that it takes */
};

struct membership;

struct membership *membership_new(const char *own_name, int64_t heartbeat_ns);
void membership_free(struct membership *membership);

/*
 * Sets the own data centre, which a daemon knows from its settings before
 * the list holds it.
 */
void membership_set_own(struct membership *membership, const char *data_centre,
			const char *region);

/*
 * Takes the platform's list over; entry hosts only. A list of an older
 * generation is passed over for a while, as the list may lag. Returns 0 if
 * it was taken, -1 if it was passed over.
 */
int membership_set_list(struct membership *membership,
			const struct host_list *list, int64_t now_ns);

/*
 * The platform still shows the list of this generation. Returns -1, and does
 * nothing, if that is not the one which was taken last.
 */
int membership_confirm_list(struct membership *membership, uint64_t generation,
			    int64_t now_ns);

/*
 * Takes one heartbeat over; a replaced incarnation's is ignored. Returns 1 if
 * it is the first one that this process of the member sent here.
 */
int membership_on_heartbeat(struct membership *membership, const char *from,
			    uint64_t incarnation,
			    const Currant__Heartbeat *heartbeat,
			    int64_t now_ns);

/* Moves members along as time passes. */
void membership_tick(struct membership *membership, int64_t now_ns);

/* Copies the members, own host left out; the caller frees `*out`. */
uint32_t membership_view(struct membership *membership, struct member **out);

/* The last moment that any peer was heard; -1 if none ever was. */
int64_t membership_last_heard_ns(struct membership *membership);

/* How much of the system this daemon hears, itself left out. */
struct reach {
	uint32_t listed; /* other daemons on the list */
	uint32_t heard; /* directly, or by a fresh summary */
	uint32_t reads_log; /* directly heard ones that reach the log */
};

void membership_reach(struct membership *membership, int64_t now_ns,
		      struct reach *reach);

/*
 * Chooses whom to stay connected to (membership/overlay.h) and copies all
 * that are listed, with `connect` set for these; the caller frees `*out`.
 */
uint32_t membership_choose_peers(struct membership *membership, int64_t now_ns,
				 struct peer_member **out);

/* One heartbeat that is due: to whom, and what it says about that peer. */
struct heartbeat_due {
	char name[NAME_BYTES];
	int hears_receiver;
	int expects_answer;
	int same_data_centre;
	uint32_t period_ms; /* until the next one to this peer */
};

/*
 * Copies the heartbeats that are due in this period, to the peers that were
 * chosen last and to those that have chosen this daemon; the caller
 * frees `*out`. Called once each period.
 */
uint32_t membership_heartbeats_due(struct membership *membership,
				   int64_t now_ns, struct heartbeat_due **out);

/*
 * Copies what is known of data centres, the own one first, summed up from
 * its members and `own`; the caller frees `*out`.
 */
uint32_t membership_data_centres(struct membership *membership,
				 const Currant__Heartbeat *own, int64_t now_ns,
				 struct data_centre_summary **out);

#endif
