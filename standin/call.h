#ifndef STANDIN_CALL_H
#define STANDIN_CALL_H

/*
 * `currant-standin call METHOD URL PATH [BODY]`: one HTTP call from a shell
 * script. Prints the answer's body; the exit status is 0 for 2xx, 1 for
 * other answers and 3 if there was none.
 */
int call_main(int argc, char **argv);

#endif
