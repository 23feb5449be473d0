/**
 * Allocates listening ports for test and lab programs that run in parallel on one machine. A
 * program reserves whole blocks of ports, each locked by a bound socket until the program exits, so
 * that no other program can allocate the same port before it is used.
 */
#ifndef LAB_PORTS_H
#define LAB_PORTS_H

/** Returns a port that is reserved for this program and free on `ip`; 0: none is left. */
unsigned lab_next_port(const char *ip);

#endif
