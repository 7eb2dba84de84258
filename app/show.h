#ifndef APP_SHOW_H
#define APP_SHOW_H

#include "app/daemon.h"
#include "http/exchange.h"
#include "lang/statement.h"

/* Answers a show statement from what this daemon knows. */
void show_handle(struct daemon *daemon, const struct statement *statement,
		 struct http_exchange *exchange);

#endif
