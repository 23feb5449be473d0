/**
 * Which gateways keep connections to a back end while they rest. A back end takes a limited number
 * from all callers together, so the nodes agree without talking: all order themselves in the same
 * way for each instance, those nearest to it first and then by rendezvous weight, and the
 * connections are dealt out in that order. Pure.
 */
#ifndef TEALSPAR_CONNECTION_SHARE_H
#define TEALSPAR_CONNECTION_SHARE_H

#include <stdint.h>

/**
 * Connections that the node at `place` (0: the first) among `nodes` may keep to an instance that
 * takes `connections_max` from all; 0 means that it opens one when it needs one and closes it
 * after. The shares of all places together never exceed two thirds of the limit, as an instance
 * takes fewer while its queue is long.
 */
uint32_t ts_connection_share(uint32_t connections_max, unsigned nodes, unsigned place);

/**
 * How many connections to one instance a node may use at once: an even share, but two at least
 * where the instance takes as many connections as there are nodes (few use two at the same time),
 * else one.
 */
uint32_t ts_connections_in_use_max(uint32_t connections_max, unsigned nodes);

#endif
