/**
 * Retry budget of one service on one node, over a sliding window. Hedges are charged like retries.
 * The fleet may spend `ratio` x requests + `slack`. Each node applies the ratio to its own requests
 * and takes a small fixed share of the slack, as it does not know how many nodes are live. A node
 * with unused budget lends it to one that has run out; a loan is charged to the lender, so the
 * fleet's total does not change. Does not read the clock.
 */
#ifndef TEALSPAR_RETRY_BUDGET_H
#define TEALSPAR_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

#define TS_RETRY_BUDGET_SLICES 10U

/** Limits from the settings. */
typedef struct ts_retry_budget_rule {
    double ratio;           /**< retries per request */
    double slack_share;     /**< this node's share of the slack: retries per window */
    ts_time_us_t window_us; /**< length of the sliding window */
} ts_retry_budget_rule_t;

/** Requests and retries of one service, in slices of the window. */
typedef struct ts_retry_budget {
    uint32_t requests[TS_RETRY_BUDGET_SLICES];
    uint32_t retries[TS_RETRY_BUDGET_SLICES + 1]; /**< one slice more, as the window slides */
    uint64_t slice;                               /**< number of the current slice */
    uint32_t borrowed;                            /**< retries granted by other nodes */
    ts_time_us_t borrowed_until_us;               /**< expiry of `borrowed` */
    ts_time_us_t asked_us;                        /**< when this node last requested a loan */
} ts_retry_budget_t;

/** Counts a request for the service, whether or not it is forwarded. */
void ts_retry_budget_count_request(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                                   ts_time_us_t now_us);
/** Whether less than half of the window's budget is left. */
bool ts_retry_budget_is_low(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                            ts_time_us_t now_us);
/** Takes one retry; returns false if the budget is exhausted. */
bool ts_retry_budget_take(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                          ts_time_us_t now_us);
/** Grants up to `retries_max` retries to another node and charges them here; returns the number. */
uint32_t ts_retry_budget_lend(ts_retry_budget_t *budget, const ts_retry_budget_rule_t *rule,
                              uint32_t retries_max, ts_time_us_t now_us);
/** Adds `count` retries granted by another node; all borrowed ones expire 300 ms later. */
void ts_retry_budget_borrow(ts_retry_budget_t *budget, uint32_t count, ts_time_us_t now_us);
/** Returns a retry that was taken but not sent. */
void ts_retry_budget_refund(ts_retry_budget_t *budget);

#endif
