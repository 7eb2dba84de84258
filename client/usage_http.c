#include "client/guarded_call.h"
#include "client/usage_http.h"

static json_t *figure_json(const struct usage_figure *figure)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I}",
			 "team", figure->team, "route", figure->route,
			 "data_centre", figure->data_centre, "backend_class",
			 figure->backend_class, "requests",
			 (json_int_t)figure->requests, "prompt_tokens",
			 (json_int_t)figure->prompt_tokens, "completion_tokens",
			 (json_int_t)figure->completion_tokens, "backend_us",
			 (json_int_t)figure->backend_us, "late_requests",
			 (json_int_t)figure->late_requests);
}

static int report(struct usage_port *port, const struct usage_window *window,
		  uint64_t epoch, int64_t deadline_ns, struct error *err)
{
	struct usage_http *usage = (struct usage_http *)port;
	json_t *figures = json_array();
	uint32_t i;

	for (i = 0; i < window->figure_count; i++)
		json_array_append_new(figures,
				      figure_json(&window->figures[i]));
	return guarded_post(&usage->pool, "/v1/reports",
			    json_pack("{s:I, s:s, s:I, s:o}", "window_start_s",
				      (json_int_t)window->start_s, "partition",
				      window->partition, "epoch",
				      (json_int_t)epoch, "figures", figures),
			    deadline_ns, "usage reports", err);
}

static void finish(struct usage_port *port)
{
	http_pool_finish(&((struct usage_http *)port)->pool);
}

int usage_http_init(struct usage_http *usage, const char *url,
		    struct error *err)
{
	static const struct usage_port_vtable vtable = {
		.report = report,
		.finish = finish,
	};

	usage->base.vt = &vtable;
	return http_pool_init(&usage->pool, url, err);
}
