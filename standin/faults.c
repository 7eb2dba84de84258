#include <errno.h>
#include <string.h>

#include "base/alloc.h"
#include "standin/faults.h"
#include "standin/server.h"
#include "base/clock.h"
#include "base/wait.h"

void faults_init(struct faults *faults)
{
	memset(faults, 0, sizeof(*faults));
	pthread_mutex_init(&faults->lock, NULL);
	wait_cond_init(&faults->changed);
}

void faults_set(struct faults *faults, const json_t *settings)
{
	pthread_mutex_lock(&faults->lock);
	faults->down = json_is_true(json_object_get(settings, "down"));
	faults->delay_ms = (uint32_t)json_field_u64(settings, "delay_ms", 0);
	faults->lose_answers =
		(uint32_t)json_field_u64(settings, "lose_answers", 0);
	faults->refuse = (uint32_t)json_field_u64(settings, "refuse", 0);
	copy_text(faults->only, sizeof(faults->only),
		  json_field_text(settings, "only", ""));
	pthread_mutex_unlock(&faults->lock);
}

static int take(uint32_t *left)
{
	if (!*left)
		return 0;
	(*left)--;
	return 1;
}

void faults_judge(struct faults *faults, const char *path,
		  struct fault_verdict *verdict)
{
	pthread_mutex_lock(&faults->lock);
	if (!strncmp(path, faults->only, strlen(faults->only))) {
		verdict->refuse = faults->down || take(&faults->refuse);
		if (!verdict->refuse)
			verdict->lose_answer = take(&faults->lose_answers);
		if (faults->delay_ms && !faults->down) {
			int64_t due =
				wait_now_ns() + faults->delay_ms * NS_PER_MS;

			while (!faults->stopping)
				if (wait_until(&faults->changed, &faults->lock,
					       due))
					break;
		}
	}
	pthread_mutex_unlock(&faults->lock);
}

void faults_stop(struct faults *faults)
{
	pthread_mutex_lock(&faults->lock);
	faults->stopping = 1;
	pthread_cond_broadcast(&faults->changed);
	pthread_mutex_unlock(&faults->lock);
}
