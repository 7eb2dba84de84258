#ifndef STATE_NAME_H
#define STATE_NAME_H

/*
 * Names of objects, hosts and operators: letters, digits, '-', '_' and '.',
 * from 1 to 63 bytes. They appear in paths, labels and statements as they
 * are, so nothing in them ever needs an escape.
 */
#define NAME_EXPECTED "a name of 1 to 63 letters, digits, '-', '_' or '.'"

int name_is_valid(const char *name);

/* Whether a byte may stand in a name. */
int name_byte_is_valid(char c);

#endif
