#include "policy/key_trust.h"

#include "base/clock.h"

void key_trust_set_bound(struct key_trust *trust, uint32_t bound_ms)
{
	int64_t bound_ns = bound_ms * NS_PER_MS;

	trust->valid_ns = bound_ns - bound_ns / KEY_TRUST_MARGIN_DENOMINATOR;
}

void key_trust_confirm(struct key_trust *trust, int64_t at_ns)
{
	if (at_ns > trust->confirmed_ns)
		trust->confirmed_ns = at_ns;
}

int key_trust_holds(const struct key_trust *trust, int64_t now_ns)
{
	return !trust->valid_ns ||
	       now_ns - trust->confirmed_ns <= trust->valid_ns;
}
