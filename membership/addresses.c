#include "membership/addresses.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

/* Minimum weight as a share of capacity; keeps full hosts in the draw. */
#define MIN_WEIGHT_SHARE 0.02

/* Nearer hosts are preferred. */
enum proximity {
	PROXIMITY_DATA_CENTRE = 0,
	PROXIMITY_REGION,
	PROXIMITY_ANYWHERE,
	PROXIMITY_COUNT
};

struct candidate {
	const struct member *member;
	enum proximity proximity;
	int is_full;
	double score; /* lowest is best */
};

static const char *address_of(const struct member *member,
			      const struct address_request *request)
{
	return request->latency_bound ? member->latency_address
				      : member->caller_address;
}

static enum proximity proximity_of(const struct member *member,
				   const struct address_request *request)
{
	if (!strcmp(member->data_centre, request->data_centre))
		return PROXIMITY_DATA_CENTRE;
	if (!strcmp(member->region, request->region))
		return PROXIMITY_REGION;
	return PROXIMITY_ANYWHERE;
}

/* Hosts in state unknown are used only when no host is alive. */
static int is_eligible(const struct member *member,
		       const struct address_request *request,
		       enum member_state wanted)
{
	return member->state == wanted && !member->listed_leaving &&
	       address_of(member, request)[0];
}

/* Random score weighted by free capacity: exponential, lowest wins. */
static double draw_score(const struct member *member, struct rng *rng)
{
	double capacity = member->request_capacity ? member->request_capacity
						   : 1;
	double weight = capacity - member->requests_in_flight;

	if (weight < capacity * MIN_WEIGHT_SHARE)
		weight = capacity * MIN_WEIGHT_SHARE;
	return -log1p(-rng_unit(rng)) / weight;
}

static double score_of(const struct member *member,
		       const struct address_request *request, struct rng *rng)
{
	if (!request->group || !request->group[0])
		return draw_score(member, rng);
	return -(double)hash_rendezvous(hash_text(request->group, 0),
					member->name);
}

static int compare_candidates(const void *a, const void *b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	if (left->is_full != right->is_full)
		return left->is_full - right->is_full;
	if (left->proximity != right->proximity)
		return (int)left->proximity - (int)right->proximity;
	if (left->score != right->score)
		return left->score < right->score ? -1 : 1;
	return strcmp(left->member->name, right->member->name);
}

static uint32_t collect_candidates(const struct member *members, uint32_t count,
				   const struct address_request *request,
				   enum member_state wanted, struct rng *rng,
				   struct candidate *out)
{
	uint32_t found = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct member *member = &members[i];

		if (!is_eligible(member, request, wanted))
			continue;
		out[found++] = (struct candidate){
			.member = member,
			.proximity = proximity_of(member, request),
			.is_full = member->request_capacity &&
				   member->requests_in_flight >=
					   member->request_capacity,
			.score = score_of(member, request, rng),
		};
	}
	return found;
}

static int has_suspect(const struct member *members, uint32_t count,
		       const struct address_request *request)
{
	for (uint32_t i = 0; i < count; i++)
		if (members[i].state == MEMBER_SUSPECT &&
		    proximity_of(&members[i], request) == PROXIMITY_DATA_CENTRE)
			return 1;
	return 0;
}

static uint32_t add_jitter(uint32_t keep_ms, struct rng *rng)
{
	return (uint32_t)(keep_ms * (0.8 + 0.4 * rng_unit(rng)));
}

int addresses_choose(const struct member *members, uint32_t count,
		     const struct address_request *request, uint32_t keep_ms,
		     struct rng *rng, struct address_answer *answer,
		     struct error *err)
{
	struct candidate *candidates =
		xcalloc(count ? count : 1, sizeof(*candidates));
	uint32_t found = collect_candidates(members, count, request,
					    MEMBER_ALIVE, rng, candidates);

	if (!found)
		found = collect_candidates(members, count, request,
					   MEMBER_UNKNOWN, rng, candidates);
	memset(answer, 0, sizeof(*answer));
	qsort(candidates, found, sizeof(*candidates), compare_candidates);
	for (uint32_t i = 0; i < found && i < ADDRESS_ANSWER_MAX; i++) {
		struct address *address = &answer->addresses[answer->count++];
		const struct member *member = candidates[i].member;

		copy_text(address->name, sizeof(address->name), member->name);
		copy_text(address->address, sizeof(address->address),
			  address_of(member, request));
	}
	free(candidates);
	if (!answer->count)
		return error_set(err, ERROR_UNAVAILABLE,
				 "no entry host can be named");
	if (has_suspect(members, count, request))
		keep_ms /= 2;
	answer->keep_ms = add_jitter(keep_ms, rng);
	return 0;
}
