#include "usage/usage_service.h"

#include <string.h>

#define FLUSH_TICK_NS (50 * NS_PER_MS)
#define REPORT_TICK_MS 100

static void on_timer(void *arg, int64_t now_ns)
{
	struct usage_service *service = arg;

	pthread_mutex_lock(&service->flush_lock);
	usage_flush_step(&service->flush, now_ns);
	pthread_mutex_unlock(&service->flush_lock);
}

static uint32_t default_grace_s(const struct usage_service_options *options)
{
	/* Allows for two flush intervals and a slow append (3 s). */
	return options->grace_s ? options->grace_s
				: 2 * options->flush_ms / 1000 + 3;
}

void usage_service_init(struct usage_service *service,
			struct log_client *client, struct lease_keeper *keeper,
			struct usage_port *port, struct clock *clock,
			struct timer_service *timers,
			const struct usage_service_options *options,
			struct counter_set *counters,
			const struct log_part *log)
{
	struct usage_schedule schedule = { options->window_s,
					   default_grace_s(options) };

	memset(service, 0, sizeof(*service));
	service->clock = clock;
	service->timers = timers;
	service->has_port = port != NULL;
	usage_meter_init(&service->meter, options->window_s, counters);
	usage_flush_init(&service->flush, client, &service->meter,
			 options->data_centre, options->flush_ms * NS_PER_MS,
			 counters);
	usage_reporter_init(&service->reporter, client, keeper, port, clock,
			    options->data_centre, &schedule, counters, log);
	pthread_mutex_init(&service->flush_lock, NULL);
}

static void report(void *arg)
{
	usage_reporter_step(arg, (uint64_t)wall_now_ms() / 1000);
}

int usage_service_start(struct usage_service *service, struct error *err)
{
	timer_subscribe(service->timers, &service->timer, FLUSH_TICK_NS,
			on_timer, service);
	if (!service->has_port)
		return 0;
	if (!poll_thread_start(&service->thread, REPORT_TICK_MS, report,
			       &service->reporter, err))
		return 0;
	timer_unsubscribe(service->timers, &service->timer);
	return -1;
}

/* Appends all metered usage; returns whether all of it is in the log. */
static int flush_all(struct usage_service *service, int64_t timeout_ns)
{
	int64_t limit_ns = clock_now_ns(service->clock) + timeout_ns;
	int64_t left_ns = timeout_ns;
	int empty;

	do {
		pthread_mutex_lock(&service->flush_lock);
		usage_flush_now(&service->flush);
		usage_flush_step(&service->flush, clock_now_ns(service->clock));
		empty = usage_flush_is_empty(&service->flush);
		pthread_mutex_unlock(&service->flush_lock);
		if (empty || left_ns <= 0)
			break;
		log_client_flush(service->flush.client, left_ns, NULL);
		left_ns = limit_ns - clock_now_ns(service->clock);
	} while (1);
	return empty;
}

int usage_service_stop(struct usage_service *service, int64_t timeout_ns,
		       struct error *err)
{
	poll_thread_stop(&service->thread);
	timer_unsubscribe(service->timers, &service->timer);
	if (flush_all(service, timeout_ns))
		return 0;
	return error_set(err, ERROR_TIMEOUT,
			 "some metered usage was not appended to the log");
}

void usage_service_finish(struct usage_service *service)
{
	usage_reporter_finish(&service->reporter);
	usage_flush_finish(&service->flush);
	usage_meter_finish(&service->meter);
	pthread_mutex_destroy(&service->flush_lock);
}

int usage_service_add(struct usage_service *service,
		      const struct usage_figure *figure)
{
	return usage_meter_add(&service->meter, (uint64_t)wall_now_ms() / 1000,
			       figure);
}
