#include "standin/fence.h"
#include "base/clock.h"

#define MAX_RECEIVED 100000

void fence_init(struct fence *fence, int checks)
{
	fence->checks = checks;
	fence->highest = json_object();
	fence->received = json_array();
}

static void record(struct fence *fence, const json_t *order, int accepted)
{
	struct clock clock;
	json_t *copy = json_deep_copy(order);

	/* Time stamps that other processes on this host can compare. */
	system_clock_init(&clock);
	if (json_array_size(fence->received) == MAX_RECEIVED)
		json_array_remove(fence->received, 0);
	json_array_append_new(fence->received,
			      json_pack("{s:I, s:b, s:o}", "at_ns",
					(json_int_t)clock_now_ns(&clock),
					"accepted", accepted, "order", copy));
}

int fence_pass(struct fence *fence, const char *scope, const json_t *order,
	       struct reply *reply)
{
	uint64_t epoch = json_field_u64(order, "epoch", 0);
	uint64_t highest = json_field_u64(fence->highest, scope, 0);

	if (fence->checks && epoch < highest) {
		record(fence, order, 0);
		reply_json(reply, 409,
			   json_pack("{s:I}", "epoch", (json_int_t)highest));
		return 0;
	}
	if (epoch > highest)
		json_object_set_new(fence->highest, scope,
				    json_integer((json_int_t)epoch));
	record(fence, order, 1);
	return 1;
}

json_t *fence_received(const struct fence *fence)
{
	return json_deep_copy(fence->received);
}
