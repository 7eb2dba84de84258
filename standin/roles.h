#ifndef STANDIN_ROLES_H
#define STANDIN_ROLES_H

#include "standin/server.h"

/* Each makes the state of one role; it lives until the process ends. */
struct role *log_role_new(const struct standin_options *options);
struct role *hosts_role_new(const struct standin_options *options);
struct role *engine_role_new(const struct standin_options *options);
struct role *service_role_new(const struct standin_options *options);
struct role *orders_role_new(const struct standin_options *options);
struct role *usage_role_new(const struct standin_options *options);
struct role *weights_role_new(const struct standin_options *options);

#endif
