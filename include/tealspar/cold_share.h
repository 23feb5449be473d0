/**
 * Rate limit for requests to an instance that is warming up (cold). It applies to all nodes
 * together in any second, without coordination: the rate is divided by node index as connections
 * are (connection_share.h), and each node enforces its share over a window of 1.25 to 1.5 s. Does
 * not read the clock.
 */
#ifndef TEALSPAR_COLD_SHARE_H
#define TEALSPAR_COLD_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

/** Request limit of a cold instance, for all nodes together. */
typedef struct ts_cold_rule {
    double overrun; /**< factor on the service's warm-up rate */
    double slack;   /**< requests per second on top of that */
} ts_cold_rule_t;

/** A node's view of the fleet, as needed to compute shares. */
typedef struct ts_fleet_index {
    unsigned nodes; /**< highest number of live nodes seen at once */
    unsigned index; /**< index of this node in the order of nodes for the instance */
    bool is_stable; /**< others likely see the same: this node is not new and misses few nodes */
} ts_fleet_index_t;

/** Slices of the sliding window. */
#define TS_COLD_SLICES 6U

/** Requests sent by one node to one instance, in a sliding window of time slices. */
typedef struct ts_cold_window {
    uint32_t share;  /**< requests that this node may send per window */
    uint64_t latest; /**< number of the latest slice counted */
    uint16_t sent[TS_COLD_SLICES];
} ts_cold_window_t;

/**
 * Requests per window that a node may send to a cold instance whose service allows `rate` per
 * second during warm-up. The shares of all indices add up to at most two thirds of the limit. While
 * its view of the fleet is not stable, a node takes only the share that every index has, as another
 * node may hold the same index in a different view.
 */
uint32_t ts_cold_share(const ts_cold_rule_t *rule, double rate, const ts_fleet_index_t *fleet);
/** Whether the share allows another request now. */
bool ts_cold_window_has_room(const ts_cold_window_t *window, ts_time_us_t now_us);
/** Counts a request that is being sent. */
void ts_cold_window_count(ts_cold_window_t *window, ts_time_us_t now_us);

#endif
