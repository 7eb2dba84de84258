#include "membership/overlay.h"

#include <string.h>

#include "base/hash.h"

/* The same for (a, b) and (b, a). */
static uint64_t pair_key(const char *a, const char *b)
{
	return hash_text(a, 0) ^ hash_text(b, 0);
}

/* The hosts of one data centre. */
struct group {
	struct overlay_host *hosts;
	uint32_t count;
};

/*
 * Usable hosts come before others, which are used when there are too few:
 * otherwise two data centres that lost contact would never reconnect.
 */
static int ranks_before(const struct overlay_host *a,
			const struct overlay_host *b, uint64_t key)
{
	if (a->usable != b->usable)
		return a->usable > b->usable;
	return hash_rendezvous(key, a->name) > hash_rendezvous(key, b->name);
}

/* Finds the relays for a key; returns their number. */
static uint32_t find_relays(const struct group *group, uint64_t key,
			    struct overlay_host *relays[OVERLAY_RELAYS])
{
	uint32_t found = 0;

	for (uint32_t i = 0; i < group->count; i++) {
		struct overlay_host *host = &group->hosts[i];
		uint32_t at = found;

		while (at && ranks_before(host, relays[at - 1], key))
			at--;
		if (at >= OVERLAY_RELAYS)
			continue;
		if (found < OVERLAY_RELAYS)
			found++;
		for (uint32_t k = found - 1; k > at; k--)
			relays[k] = relays[k - 1];
		relays[at] = host;
	}
	return found;
}

static struct group group_from(struct overlay_host *hosts, uint32_t count)
{
	struct group group = { hosts, 0 };

	while (group.count < count &&
	       !strcmp(hosts[group.count].data_centre, hosts[0].data_centre))
		group.count++;
	return group;
}

static int contains_host(const struct group *group, const char *name)
{
	for (uint32_t i = 0; i < group->count; i++)
		if (!strcmp(group->hosts[i].name, name))
			return 1;
	return 0;
}

static void choose_all(struct group *group, const char *own_name)
{
	for (uint32_t i = 0; i < group->count; i++)
		group->hosts[i].chosen =
			strcmp(group->hosts[i].name, own_name) != 0;
}

static void choose_relays(const struct group *own, const struct group *other,
			  const char *own_name)
{
	struct overlay_host *relays[OVERLAY_RELAYS] = { NULL };
	uint64_t key = pair_key(own->hosts[0].data_centre,
				other->hosts[0].data_centre);
	uint32_t count = find_relays(own, key, relays);
	int is_relay = 0;

	for (uint32_t i = 0; i < count; i++)
		is_relay |= !strcmp(relays[i]->name, own_name);
	if (!is_relay)
		return;
	count = find_relays(other, key, relays);
	for (uint32_t i = 0; i < count; i++)
		relays[i]->chosen = 1;
}

void overlay_choose(struct overlay_host *hosts, uint32_t count,
		    const char *own_name)
{
	struct group own = { hosts, 0 };
	uint32_t i;

	for (i = 0; i < count; i++)
		hosts[i].chosen = 0;
	for (i = 0; i < count; i += own.count) {
		own = group_from(hosts + i, count - i);
		if (contains_host(&own, own_name))
			break;
	}
	if (i >= count)
		return;
	choose_all(&own, own_name);
	for (i = 0; i < count;) {
		struct group other = group_from(hosts + i, count - i);

		if (other.hosts != own.hosts)
			choose_relays(&own, &other, own_name);
		i += other.count;
	}
}
