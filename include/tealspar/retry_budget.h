/**
 * The retry budget of one service on one node, over a sliding window. The fleet's budget is
 * `ratio` x requests + `slack`. The ratio part divides by itself: each node spends at most the
 * ratio of what it was asked. Of the slack a node takes a fixed small share, as it does not know
 * how many others live. What a node does not need it lends to one that has run out: a loan counts
 * where it was granted, so the fleet's sum stays the same. Pure: no clock.
 */
#ifndef TEALSPAR_RETRY_BUDGET_H
#define TEALSPAR_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

#define TS_RETRY_BUDGET_SLICES 10U

/** What the fleet may spend, from the settings. */
typedef struct ts_retry_budget_rule {
    double ratio;           /**< extra sends for each request */
    double slack_share;     /**< extra sends in a window that this node may add */
    ts_time_us_t window_us; /**< length of the window */
} ts_retry_budget_rule_t;

/** Sends to one service in the slices of the window. */
typedef struct ts_retry_budget {
    uint32_t requests[TS_RETRY_BUDGET_SLICES];
    uint32_t extras[TS_RETRY_BUDGET_SLICES + 1]; /**< one slice more: the window slides */
    uint64_t slice;                              /**< number of the slice in use */
    uint32_t borrowed;                           /**< extra sends that other nodes granted */
    ts_time_us_t borrowed_until_us;              /**< after this they are void */
    ts_time_us_t asked_us;                       /**< when a loan was last asked for */
} ts_retry_budget_t;

/** Counts a request for the service, whether or not it is sent. */
void ts_retry_budget_count_request(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                                   ts_time_us_t now_us);
/** Whether less than half of what the window allows is left. */
bool ts_retry_budget_is_low(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                            ts_time_us_t now_us);
/** Takes one extra send; false, and nothing taken, when the budget does not hold one. */
bool ts_retry_budget_take(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                          ts_time_us_t now_us);
/** Grants up to `most` extra sends to another node and counts them here; returns how many. */
uint32_t ts_retry_budget_lend(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                              uint32_t most, ts_time_us_t now_us);
/** Another node granted `count` extra sends; they are void after a moment. */
void ts_retry_budget_borrow(ts_retry_budget_t *budget, uint32_t count, ts_time_us_t now_us);
/** Gives back an extra send that never left. */
void ts_retry_budget_return(ts_retry_budget_t *budget);

#endif
