#include "app/load_share.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/clock.h"

#define SHARE_AGAIN_NS (1 * NS_PER_S)
#define SHARE_FORGET_NS (60 * NS_PER_S)
#define SHARE_FRAME_BYTES 64 /* sender, position and frame header */
/* Share of the capacity by which a load has to differ. */
#define CHANGE_NUMERATOR 1
#define CHANGE_DENOMINATOR 8

void load_share_init(struct load_share *share, struct peer_outbox *outbox)
{
	memset(share, 0, sizeof(*share));
	share->outbox = outbox;
	share->bytes = LOAD_SHARE_BYTES_PER_S;
	pthread_mutex_init(&share->lock, NULL);
}

void load_share_finish(struct load_share *share)
{
	free(share->loads);
	pthread_mutex_destroy(&share->lock);
}

static int differs(uint64_t a, uint64_t b, uint64_t by)
{
	return (a > b ? a - b : b - a) > by;
}

static enum load_news news_of(const struct shared_load *load, int64_t now_ns)
{
	const struct load_report *seen = &load->seen;
	const struct load_report *told = &load->told;
	uint32_t by = seen->capacity * CHANGE_NUMERATOR / CHANGE_DENOMINATOR;

	if (!load->told_ns || seen->incarnation != told->incarnation ||
	    seen->version != told->version)
		return NEWS_URGENT;
	if (seen->capacity != told->capacity ||
	    differs((uint64_t)seen->running + seen->waiting,
		    (uint64_t)told->running + told->waiting, by) ||
	    differs((uint64_t)seen->tokens_per_s, (uint64_t)told->tokens_per_s,
		    (uint64_t)told->tokens_per_s * CHANGE_NUMERATOR /
			    CHANGE_DENOMINATOR))
		return NEWS_LOAD;
	return now_ns - load->told_ns > SHARE_AGAIN_NS ? NEWS_AGAIN : NEWS_NONE;
}

static struct shared_load *find_or_add(struct load_share *share,
				       const char *pool, const char *name)
{
	struct shared_load *load;

	for (uint32_t i = 0; i < share->count; i++)
		if (!strcmp(share->loads[i].name, name) &&
		    !strcmp(share->loads[i].pool, pool))
			return &share->loads[i];
	if (share->count == share->alloc) {
		share->alloc = share->alloc * 2 + 16;
		share->loads = xrealloc(share->loads,
					share->alloc * sizeof(*share->loads));
	}
	load = &share->loads[share->count++];
	memset(load, 0, sizeof(*load));
	copy_text(load->pool, sizeof(load->pool), pool);
	copy_text(load->name, sizeof(load->name), name);
	return load;
}

void load_share_note(struct load_share *share, const char *pool,
		     const char *name, const struct load_report *report,
		     int64_t now_ns)
{
	struct shared_load *load;

	pthread_mutex_lock(&share->lock);
	load = find_or_add(share, pool, name);
	load->seen = *report;
	load->seen_ns = now_ns;
	load->news = news_of(load, now_ns);
	pthread_mutex_unlock(&share->lock);
}

/* Forgets what is no longer watched; returns the weight of the news. */
static enum load_news tidy(struct load_share *share, int64_t now_ns)
{
	enum load_news most = NEWS_NONE;

	for (uint32_t i = 0; i < share->count;) {
		if (now_ns - share->loads[i].seen_ns > SHARE_FORGET_NS) {
			share->loads[i] = share->loads[--share->count];
			continue;
		}
		if (share->loads[i].news > most)
			most = share->loads[i].news;
		i++;
	}
	return most;
}

static void fill_load(Currant__BackendLoad *out, struct shared_load *load)
{
	currant__backend_load__init(out);
	out->name = load->name;
	out->pool = load->pool;
	out->running = load->seen.running;
	out->waiting = load->seen.waiting;
	out->capacity = load->seen.capacity;
	out->tokens_per_s = (uint64_t)load->seen.tokens_per_s;
	out->version = load->seen.version;
	out->incarnation = load->seen.incarnation;
}

/* Takes news of at least this weight in turn; returns how many. */
static uint32_t collect(struct load_share *share, enum load_news at_least,
			Currant__BackendLoad *out, int64_t now_ns)
{
	uint32_t start = share->count ? share->next % share->count : 0;
	uint32_t taken = 0;

	for (uint32_t i = 0; i < share->count && taken < LOAD_SHARE_MAX; i++) {
		uint32_t at = (start + i) % share->count;
		struct shared_load *load = &share->loads[at];

		if (load->news < at_least)
			continue;
		fill_load(&out[taken++], load);
		load->told = load->seen;
		load->told_ns = now_ns;
		load->news = NEWS_NONE;
		share->next = at + 1;
	}
	return taken;
}

static void refill(struct load_share *share, int64_t now_ns)
{
	if (share->filled_ns)
		share->bytes += (double)(now_ns - share->filled_ns) *
				LOAD_SHARE_BYTES_PER_S / NS_PER_S;
	if (share->bytes > LOAD_SHARE_BYTES_PER_S)
		share->bytes = LOAD_SHARE_BYTES_PER_S;
	share->filled_ns = now_ns;
}

static void send_locked(struct load_share *share, Currant__BackendLoad *loads,
			uint32_t count)
{
	Currant__PeerMessage message = CURRANT__PEER_MESSAGE__INIT;
	Currant__LoadDigest digest = CURRANT__LOAD_DIGEST__INIT;
	Currant__BackendLoad *pointers[LOAD_SHARE_MAX];
	size_t bytes;

	for (uint32_t i = 0; i < count; i++)
		pointers[i] = &loads[i];
	digest.n_loads = count;
	digest.loads = pointers;
	message.body_case = CURRANT__PEER_MESSAGE__BODY_LOAD_DIGEST;
	message.load_digest = &digest;
	bytes = currant__load_digest__get_packed_size(&digest) +
		SHARE_FRAME_BYTES;
	share->bytes -= (double)bytes *
			share->outbox->vt->broadcast(share->outbox, &message);
}

void load_share_tick(struct load_share *share, int64_t now_ns)
{
	Currant__BackendLoad loads[LOAD_SHARE_MAX];
	uint32_t count = 0;
	enum load_news most;

	pthread_mutex_lock(&share->lock);
	refill(share, now_ns);
	most = tidy(share, now_ns);
	if (most == NEWS_URGENT || (most != NEWS_NONE && share->bytes > 0))
		count = collect(share, most, loads, now_ns);
	if (count)
		send_locked(share, loads, count);
	pthread_mutex_unlock(&share->lock);
}
