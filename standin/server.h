#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include <jansson.h>
#include <stdint.h>

#include "base/strbuf.h"
#include "base/json_field.h"
#include "standin/options.h"

/*
 * The part that all roles share: an HTTP server that reads a call whole,
 * applies the fault settings, lets the role handle the call and sends the
 * reply.
 */
#define REPLY_ETAG_BYTES 64

struct mg_connection;
struct role;

struct call {
	struct mg_connection *conn;
	const char *method;
	const char *path;
	const char *query; /* "" if there is none */
	struct strbuf body;
	int mute; /* the answer is lost: the role writes nothing itself */
};

struct reply {
	int status;
	json_t *body; /* owned by the reply; NULL: raw is sent */
	struct strbuf raw;
	const char *raw_type; /* NULL: application/octet-stream */
	uint32_t retry_after_s; /* 0: no such header */
	char etag[REPLY_ETAG_BYTES]; /* "": no such header */
	char delta_base[REPLY_ETAG_BYTES]; /* likewise */
	int sent; /* the role wrote the answer itself */
	int cut; /* close the connection without an answer */
};

struct role_vtable {
	/* Handles one call; runs in several threads at once. */
	void (*handle)(struct role *role, struct call *call,
		       struct reply *reply);
	/* Takes the role's own fault settings; may be NULL. */
	void (*set_faults)(struct role *role, const json_t *faults);
	/* Makes calls that wait return soon; may be NULL. */
	void (*stop)(struct role *role);
};

struct role {
	const struct role_vtable *vt;
};

/* Serves until SIGTERM or SIGINT; returns the exit status. */
int standin_serve(const struct standin_options *options, struct role *role);

int call_is(const struct call *call, const char *method, const char *path);
uint64_t call_query_u64(const struct call *call, const char *name,
			uint64_t otherwise);
/* Copies a query value; "" if there is none. */
void call_query_text(const struct call *call, const char *name, char *out,
		     size_t size);

/* A header of the call; "" if it has none of that name. */
const char *call_header(const struct call *call, const char *name);

/* Parses the body as a JSON object; NULL with a 400 reply if it is none. */
json_t *call_json(struct call *call, struct reply *reply);

/* Sets the reply; takes the reference to `body`. */
void reply_json(struct reply *reply, int status, json_t *body);
void reply_error(struct reply *reply, int status, const char *detail);
void reply_not_found(struct reply *reply, const struct call *call);

#endif
