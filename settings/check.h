#ifndef SETTINGS_CHECK_H
#define SETTINGS_CHECK_H

#include "settings/settings.h"

/*
 * Rules between fields, checked after each field was accepted by itself.
 * settings_parse() calls it; returns -1 with the fields that clash.
 */
int settings_check(const struct settings *settings, struct error *err);

/*
 * Whether the files that the settings name can be used by this process: the
 * PEM files read, and the folder of the address file written. Returns -1
 * with the field and the file. For `currantd --check` and the start.
 */
int settings_check_files(const struct settings *settings, struct error *err);

#endif
