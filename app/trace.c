#include "app/trace.h"

#include <stdlib.h>

#include "base/alloc.h"

static void fill_spans(Currant__SampleTrace *trace, const struct sample *sample,
		       Currant__VersionSpan *spans,
		       Currant__VersionSpan **pointers)
{
	for (uint32_t i = 0; i < sample->span_count; i++) {
		currant__version_span__init(&spans[i]);
		spans[i].version = sample->spans[i].version;
		spans[i].tokens = sample->spans[i].tokens;
		pointers[i] = &spans[i];
	}
	trace->n_spans = sample->span_count;
	trace->spans = pointers;
}

static void fill_trace(Currant__SampleTrace *trace, struct job *job,
		       struct sample *sample, uint64_t latest)
{
	currant__sample_trace__init(trace);
	trace->trainer = job->spec.trainer;
	trace->team = job->team;
	trace->route = job->route;
	trace->step = job->spec.step;
	trace->group = job->spec.group;
	trace->index = sample->index;
	trace->backend_server = sample->pick.name;
	trace->wall_ms = (uint64_t)wall_now_ms();
	trace->latest_version = latest;
}

static void submit(struct daemon *daemon, Currant__SampleTrace **traces,
		   uint32_t count)
{
	Currant__SampleTraces body = CURRANT__SAMPLE_TRACES__INIT;
	struct error err = ERROR_INIT;

	body.n_samples = count;
	body.samples = traces;
	if (trace_writer_submit(&daemon->traces, &body, &err))
		log_warning(&daemon->log_app, "sample traces are lost: %s",
			    err.text);
}

void trace_delivered(struct daemon *daemon, struct job *job, uint64_t latest)
{
	Currant__SampleTrace traces[SAMPLES_MAX];
	Currant__SampleTrace *trace_pointers[SAMPLES_MAX];
	Currant__VersionSpan(*spans)[SAMPLE_SPANS_MAX];
	Currant__VersionSpan *(*span_pointers)[SAMPLE_SPANS_MAX];

	spans = xmalloc(job->spec.n * sizeof(*spans));
	span_pointers = xmalloc(job->spec.n * sizeof(*span_pointers));
	for (uint32_t i = 0; i < job->spec.n; i++) {
		fill_trace(&traces[i], job, &job->samples[i], latest);
		fill_spans(&traces[i], &job->samples[i], spans[i],
			   span_pointers[i]);
		trace_pointers[i] = &traces[i];
	}
	submit(daemon, trace_pointers, job->spec.n);
	free(spans);
	free(span_pointers);
}
