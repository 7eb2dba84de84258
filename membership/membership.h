#ifndef MEMBERSHIP_MEMBERSHIP_H
#define MEMBERSHIP_MEMBERSHIP_H

#include <stdint.h>

#include "membership/summary.h"
#include "peer/peer_outbox.h"
#include "port/host_port.h"
#include "proto/peer.pb-c.h"

/*
 * Keeps track of the entry hosts and which of them are reachable. The
 * platform's list defines the members, and their heartbeats show which are
 * reachable; a host that is not listed is no member. The module does no I/O:
 * time and messages are passed in, and peer/ manages the connections.
 */
enum member_state {
	MEMBER_UNKNOWN = 0, /* listed, no heartbeat received yet */
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* heartbeats are late */
	MEMBER_LEAVING, /* leaving by its heartbeat or by the list */
	MEMBER_GONE, /* no heartbeat for a long time */
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
	int64_t last_seen_ns;
	uint64_t log_head;
	int log_reachable;
	uint32_t requests_in_flight;
	uint32_t request_capacity;
	int listed_leaving;
	uint64_t ticket_generation; /* of the tickets that it accepts */
};

struct membership;

struct membership *membership_new(const char *own_name, int64_t heartbeat_ns);
void membership_free(struct membership *membership);

/*
 * Sets the own data centre and region from the settings, for the time before
 * the list contains the own host.
 */
void membership_set_own(struct membership *membership, const char *data_centre,
			const char *region);

/*
 * Applies the entry hosts of the platform's list. A list of an older
 * generation is ignored for a while, because a late answer may carry it.
 * Returns 0 if the list was applied, -1 if it was ignored.
 */
int membership_set_list(struct membership *membership,
			const struct host_list *list, int64_t now_ns);

/*
 * Records that the platform still has the list of this generation. Returns -1,
 * and does nothing, if that is not the generation applied last.
 */
int membership_confirm_list(struct membership *membership, uint64_t generation,
			    int64_t now_ns);

/*
 * Applies one heartbeat; one from a replaced incarnation is ignored. Returns 1
 * if it is the first from this incarnation of the member.
 */
int membership_on_heartbeat(struct membership *membership, const char *from,
			    uint64_t incarnation,
			    const Currant__Heartbeat *heartbeat,
			    int64_t now_ns);

/* Updates the states of members for the current time. */
void membership_tick(struct membership *membership, int64_t now_ns);

/* Copies the members except the own host; the caller frees `*out`. */
uint32_t membership_view(struct membership *membership, struct member **out);

/* Time of the last heartbeat from any peer; -1 if there was none. */
int64_t membership_last_seen_ns(struct membership *membership);

/* The number of other daemons that are reachable from this one. */
struct reach {
	uint32_t listed; /* other daemons on the list */
	uint32_t reachable; /* directly, or by a recent summary */
	uint32_t log_readers; /* direct peers that reach the log */
};

void membership_reach(struct membership *membership, int64_t now_ns,
		      struct reach *reach);

/*
 * Chooses the peers to stay connected to (membership/overlay.h) and copies all
 * listed members, with `connect` set for those; the caller frees `*out`.
 */
uint32_t membership_choose_peers(struct membership *membership, int64_t now_ns,
				 struct peer_member **out);

/* One heartbeat that is due: its receiver and the fields specific to it. */
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
 * frees `*out`. Must be called once each period.
 */
uint32_t membership_heartbeats_due(struct membership *membership,
				   int64_t now_ns, struct heartbeat_due **out);

/*
 * Copies the summaries of data centres, the own one first, aggregated from
 * its members and `own`; the caller frees `*out`.
 */
uint32_t membership_data_centres(struct membership *membership,
				 const Currant__Heartbeat *own, int64_t now_ns,
				 struct data_centre_summary **out);

#endif
