#ifndef BASE_ERROR_H
#define BASE_ERROR_H

/*
 * The error struct that callers pass down. A function that can fail returns
 * -1 (or NULL) and fills it; on success it is left as it was.
 */

enum error_code {
	ERROR_NONE = 0,
	ERROR_INVALID, /* the input is malformed */
	ERROR_NOT_FOUND, /* the named thing does not exist */
	ERROR_CONFLICT, /* another change came first */
	ERROR_DENIED, /* the caller may not do this */
	ERROR_FULL, /* a bound is reached; come back later */
	ERROR_TIMEOUT, /* no answer within the deadline */
	ERROR_UNAVAILABLE, /* the other side cannot be reached: not run */
	ERROR_IO, /* the system refused an operation */
	ERROR_PROTOCOL, /* the other side broke the protocol */
	ERROR_UNKNOWN_OUTCOME, /* it may or may not have taken effect */
};

#define ERROR_TEXT_MAX 256

struct error {
	enum error_code code;
	char text[ERROR_TEXT_MAX];
};

#define ERROR_INIT                                                             \
	{                                                                      \
		ERROR_NONE, ""                                                 \
	}

/* Fills `err` (which may be NULL) and returns -1. */
__attribute__((format(printf, 3, 4))) int
error_set(struct error *err, enum error_code code, const char *fmt, ...);

/* Puts "prefix: " before the text; returns -1. */
__attribute__((format(printf, 2, 3))) int error_prefix(struct error *err,
						       const char *fmt, ...);

/* Returns the stable lower-case name of a code, such as "not_found". */
const char *error_code_name(enum error_code code);

#endif
