/**
 * How many idle connections each gateway node keeps to an instance. An instance accepts a limited
 * number from all callers together. The limit is divided without coordination: all nodes compute
 * the same order for an instance, those in its region first and then by rendezvous weight, and a
 * node's index in that order gives its share. Pure functions.
 */
#ifndef TEALSPAR_CONNECTION_SHARE_H
#define TEALSPAR_CONNECTION_SHARE_H

#include <stdint.h>

/**
 * Idle connections that the node with index `index` (from 0) of `nodes` may keep to an instance
 * that accepts `connections_max` from all nodes; 0: connections are closed after use. The shares of
 * all indices never exceed two thirds of the limit, as an instance accepts fewer while its queue is
 * long.
 */
uint32_t ts_connection_share(uint32_t connections_max, unsigned nodes, unsigned index);

/**
 * Connections to one instance that a node may use at once: an even share, but at least two if the
 * instance accepts as many connections as there are nodes (few nodes use two at the same time), and
 * at least one otherwise.
 */
uint32_t ts_connections_in_use_max(uint32_t connections_max, unsigned nodes);

#endif
