#ifndef FLEET_SERVER_ANSWER_H
#define FLEET_SERVER_ANSWER_H

#include <stdint.h>

/* What an answer of a backend server says beside its body. */
struct server_answer {
	uint16_t status;
	int not_run; /* the server says that it did not run the request */
	int other_server; /* another one has this address now */
	int other_version; /* its weights have another version */
	int other_request; /* the answer belongs to another request */
	int has_receipt; /* without it, a success does not count */
	int closing; /* the server may be leaving */
	int leaving; /* the server says that it leaves */
	int has_load;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint64_t weight_version; /* 0: not said */
};

#endif
