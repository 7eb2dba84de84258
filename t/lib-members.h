#ifndef T_LIB_MEMBERS_H
#define T_LIB_MEMBERS_H

#include <cstdint>
#include <string>

extern "C" {
#include "membership/membership.h"
}

// The membership's view of one member; all zero if there is none.
struct member member_of(struct membership *membership, const std::string &name);

// How many members are in a state.
uint32_t members_in(struct membership *membership, enum member_state state);

#endif
