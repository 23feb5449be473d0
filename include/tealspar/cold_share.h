/**
 * How many requests a node may send to a cold back end. All nodes together must stay within what it
 * bears in any second, without talking: the rate is dealt out by place as connections are, and each
 * node keeps to its share in a window that is somewhat longer than the second. Pure.
 */
#ifndef TEALSPAR_COLD_SHARE_H
#define TEALSPAR_COLD_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

/** What a cold back end bears from all nodes together. */
typedef struct ts_cold_rule {
    double overrun; /**< times its service's rate */
    double slack;   /**< requests a second beyond that */
} ts_cold_rule_t;

/** How a node sees the fleet, as far as shares depend on it. */
typedef struct ts_fleet_place {
    unsigned nodes;  /**< the most that were seen live at once */
    unsigned place;  /**< of this node in the order for the instance; 0: the first */
    bool is_certain; /**< the node has known a fleet of about this size for a while */
} ts_fleet_place_t;

#define TS_COLD_SLICES 6U

/** Sends of one node to one instance, by slices of time. */
typedef struct ts_cold_window {
    uint32_t share;  /**< requests that this node may send within the window */
    uint64_t latest; /**< number of the slice that was counted last */
    uint16_t sent[TS_COLD_SLICES];
} ts_cold_window_t;

/**
 * Requests a window that a node may send to a cold instance which bears `rate` a second. The shares
 * of all places sum to two thirds of the bound. A node that is not certain of the fleet takes only
 * what every node has, as others may hold the same place in another view.
 */
uint32_t ts_cold_share(const ts_cold_rule_t *rule, double rate, const ts_fleet_place_t *fleet);
/** Whether the share allows one more request now. */
bool ts_cold_window_has_room(const ts_cold_window_t *window, ts_time_us_t now_us);
/** A request is sent. */
void ts_cold_window_note(ts_cold_window_t *window, ts_time_us_t now_us);

#endif
