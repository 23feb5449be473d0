/**
 * Ports to listen on, for programs of tests and the lab that run at once on one machine. A program
 * takes whole blocks of them, each held by a bound socket until it ends, so that no other one is
 * given the same port between its choice and its use.
 */
#ifndef LAB_PORTS_H
#define LAB_PORTS_H

/** A port of `ip` that no other program is given and nobody listens on now; 0: there is none. */
unsigned lab_next_port(const char *ip);

#endif
