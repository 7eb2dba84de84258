#ifndef APP_RUNNING_KEYS_H
#define APP_RUNNING_KEYS_H

/* Cuts the requests that run with a key which may no longer be used. */
struct daemon;

void running_keys_cut(struct daemon *daemon, const char *key_id);

/* Cuts those of all keys that are known here to be withdrawn. */
void running_keys_cut_withdrawn(struct daemon *daemon);

#endif
