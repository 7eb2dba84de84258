#ifndef STANDIN_OPTIONS_H
#define STANDIN_OPTIONS_H

#include <stdint.h>

/* Command line of one stand-in; each role reads the flags that it needs. */
struct standin_options {
	const char *role;
	const char *listen; /* ip:port; port 0: a free one */
	const char *address_file; /* gets the bound ip:port; NULL: none */
	uint32_t threads; /* one running request or kept connection each */

	uint32_t retain; /* log: entries that are kept */
	uint32_t appends_per_s; /* log */
	uint32_t lag_ms; /* hosts: age of the list that is served */

	const char *name; /* engine, service */
	const char *pool; /* engine */
	uint32_t capacity; /* engine: requests that run at once */
	uint32_t max_waiting; /* engine: requests that queue */
	uint32_t token_us; /* engine: time of a token when it runs alone */
	uint32_t tokens_per_event; /* engine: tokens in one stream event */
	uint64_t version; /* engine: weights that it starts with */
	const char *weights_url; /* engine; NULL: swaps without a fetch */
	uint32_t load_ms; /* engine: duration of a swap */
	const char *crash_on; /* engine: text of a prompt that ends it */
	int checks_fencing; /* engine, orders */

	uint32_t work_ms; /* service: duration of a call */
	uint32_t boot_ms; /* orders: time until a server runs */
	uint32_t fetches_per_s; /* weights */
	uint32_t weight_bytes; /* weights: size of one version */
};

/* Reads the command line; prints usage and exits if it is wrong. */
void standin_options_parse(struct standin_options *options, int argc,
			   char **argv);

#endif
