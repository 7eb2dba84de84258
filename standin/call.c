#include <stdio.h>
#include <string.h>

#include "client/http_call.h"
#include "standin/call.h"

#define EXIT_NO_ANSWER 3

int call_main(int argc, char **argv)
{
	struct error err = ERROR_INIT;
	struct http_pool pool;
	struct http_call call;
	int result;

	if (argc < 4 || argc > 5) {
		fprintf(stderr, "usage: currant-standin call METHOD URL PATH "
				"[BODY]\n");
		return 2;
	}
	if (http_pool_init(&pool, argv[2], &err) < 0) {
		fprintf(stderr, "currant-standin call: %s\n", err.text);
		return 2;
	}
	http_call_init(&call);
	call.method = argv[1];
	call.path = argv[3];
	if (argc == 5) {
		call.body = argv[4];
		call.body_len = strlen(argv[4]);
	}
	result = http_call_run(&pool, &call, &err);
	if (result < 0)
		fprintf(stderr, "currant-standin call: %s\n", err.text);
	else
		printf("%s\n", call.response.buf);
	result = result < 0 ? EXIT_NO_ANSWER : call.status / 100 == 2 ? 0 : 1;
	http_call_finish(&call);
	http_pool_finish(&pool);
	return result;
}
