#ifndef APP_RUNNING_KEYS_H
#define APP_RUNNING_KEYS_H

/* The requests that run, which end when their key may no longer be used. */
struct daemon;
struct running_request;

/*
 * Adds a request whose key was checked before, and cancels it at once if the
 * key was withdrawn or the daemon isolated meanwhile.
 */
void running_keys_add(struct daemon *daemon, struct running_request *request);

/* Cuts the requests that came with a key. */
void running_keys_cut(struct daemon *daemon, const char *key_id);

/* Cuts those of all keys that are known here to be withdrawn. */
void running_keys_cut_withdrawn(struct daemon *daemon);

/* Cuts all that came with a key, as this daemon is isolated. */
void running_keys_cut_isolated(struct daemon *daemon);

#endif
