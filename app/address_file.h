#ifndef APP_ADDRESS_FILE_H
#define APP_ADDRESS_FILE_H

#include "app/daemon.h"

/*
 * Writes the addresses that were bound, as JSON, to the file that the
 * settings name, so that whoever started the daemon with port 0 finds it.
 * The file appears whole or not at all.
 */
int address_file_write(const struct daemon *daemon, struct error *err);

#endif
