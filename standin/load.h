#ifndef STANDIN_LOAD_H
#define STANDIN_LOAD_H

/*
 * Measures completions from many clients with kept connections, straight to
 * an engine and through a daemon, in alternating rounds of one run. Prints
 * one JSON object a line: the median of the rounds, and the lowest and the
 * highest of them. Returns the exit status.
 */
int load_main(int argc, char **argv);

#endif
