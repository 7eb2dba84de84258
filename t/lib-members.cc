#include "t/lib-members.h"

#include <cstdlib>

struct member member_of(struct membership *membership, const std::string &name)
{
	struct member found = {};
	struct member *view;
	uint32_t count = membership_view(membership, &view);

	for (uint32_t i = 0; i < count; i++)
		if (name == view[i].name)
			found = view[i];
	free(view);
	return found;
}

uint32_t members_in(struct membership *membership, enum member_state state)
{
	struct member *view;
	uint32_t count = membership_view(membership, &view);
	uint32_t found = 0;

	for (uint32_t i = 0; i < count; i++)
		found += view[i].state == state;
	free(view);
	return found;
}
