#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "standin/call.h"
#include "standin/load.h"
#include "standin/options.h"
#include "standin/roles.h"
#include "standin/trainer.h"

static const struct {
	const char *name;
	struct role *(*make)(const struct standin_options *options);
} roles[] = {
	{ "log", log_role_new },	 { "hosts", hosts_role_new },
	{ "engine", engine_role_new },	 { "service", service_role_new },
	{ "orders", orders_role_new },	 { "usage", usage_role_new },
	{ "weights", weights_role_new },
};

int main(int argc, char **argv)
{
	struct standin_options options;
	size_t i;

	if (argc > 1 && !strcmp(argv[1], "trainer"))
		return trainer_main(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "call"))
		return call_main(argc - 1, argv + 1);
	if (argc > 1 && !strcmp(argv[1], "load"))
		return load_main(argc - 1, argv + 1);
	standin_options_parse(&options, argc, argv);
	for (i = 0; i < ARRAY_SIZE(roles); i++)
		if (!strcmp(options.role, roles[i].name))
			return standin_serve(&options, roles[i].make(&options));
	fprintf(stderr, "currant-standin: role '%s' does not exist\n",
		options.role);
	return 2;
}
