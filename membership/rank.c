#include "membership/rank.h"

#include <string.h>

#include "base/hash.h"

uint32_t member_rank(const struct member *members, uint32_t count,
		     const char *own_name, const char *work,
		     const char *data_centre, uint32_t max)
{
	uint64_t key = hash_text(work, 0);
	uint64_t own = hash_rendezvous(key, own_name);
	uint32_t rank = 0;

	for (uint32_t i = 0; i < count && rank < max; i++) {
		const struct member *member = &members[i];

		if (member->state != MEMBER_ALIVE)
			continue;
		if (data_centre && strcmp(member->data_centre, data_centre))
			continue;
		rank += hash_rendezvous(key, member->name) > own;
	}
	return rank;
}
