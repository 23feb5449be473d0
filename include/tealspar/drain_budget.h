/**
 * Divides the time that a leaving backend keeps serving (`drain_ms` of the settings) among the
 * steps from its announcement in the configuration service to the last request sent to it. All
 * times run from the last confirmation that this node's position was the newest: the backend cannot
 * have announced earlier what this node did not know then.
 */
#ifndef TEALSPAR_DRAIN_BUDGET_H
#define TEALSPAR_DRAIN_BUDGET_H

#include <stdint.h>

typedef struct ts_drain_budget {
    uint32_t watch_ms;   /**< a node that follows the service is confirmed again after this */
    uint32_t answer_ms;  /**< time for the service's response beyond the wait that was requested */
    uint32_t standby_ms; /**< age of the confirmation at which a node calls the service itself */
    uint32_t send_ms;    /**< a leaving backend gets no request after this */
} ts_drain_budget_t;

/** Pure. Leaves room for one failed call and its repetition before `send_ms`. */
ts_drain_budget_t ts_drain_budget(uint32_t drain_ms);

#endif
