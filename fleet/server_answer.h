#ifndef FLEET_SERVER_ANSWER_H
#define FLEET_SERVER_ANSWER_H

#include <stdint.h>

/* Status and header fields of a backend server's answer. */
struct server_answer {
	uint16_t status;
	int not_run; /* the server did not run the request */
	int other_server; /* another server has this address now */
	int other_version; /* the weights have a different version */
	int other_request; /* the answer belongs to another request */
	int has_receipt; /* a success without it does not count */
	int closing; /* the server may be leaving */
	int leaving; /* the server announces that it is leaving */
	int has_load;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t slowdown_percent; /* 100: as usual; 0: not reported */
	uint64_t weight_version; /* 0: not reported */
};

#endif
