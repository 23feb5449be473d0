/**
 * Per-route statistics of a node: response times of backends, outcomes of requests, and the state
 * of a weighted round robin. Kept by route name, so that they survive a configuration change. Does
 * not read the clock.
 */
#ifndef TEALSPAR_ROUTE_STATE_H
#define TEALSPAR_ROUTE_STATE_H

#include <glib.h>

#include "tealspar/histogram.h"
#include "tealspar/quantile.h"
#include "tealspar/traffic.h"
#include "tealspar/work_estimate.h"

/** Outcome of a request. */
typedef enum ts_outcome {
    TS_OUTCOME_OK,
    TS_OUTCOME_PARTIAL,   /**< succeeded with parts missing */
    TS_OUTCOME_REFUSED,   /**< rejected without having been executed */
    TS_OUTCOME_FAILED,    /**< failed; may have been executed */
    TS_OUTCOME_ABANDONED, /**< the caller disconnected before the response */
    TS_OUTCOME_COUNT
} ts_outcome_t;

/** Name of an outcome, used as a metric label. */
const char *ts_route_outcome_name(ts_outcome_t outcome);

typedef struct ts_route_state {
    ts_quantile_t median;  /**< median response time, as if the backend were in the nearest zone */
    ts_quantile_t overdue; /**< 0.9 quantile of the same; bounds ts_route_state_overdue_us() */
    ts_work_estimate_t work; /**< of one part, at a backend in the nearest zone */
    unsigned in_progress;    /**< admitted requests that have not ended */
    ts_histogram_t *latencies[TS_OUTCOME_COUNT]; /**< by outcome; NULL until first used */
    GHashTable *credits;    /**< service -> double *, credit in the weighted round robin */
    uint32_t turns_to_skip; /**< turns of the round robin to skip before the first */
} ts_route_state_t;

ts_route_state_t *ts_route_state_create(uint32_t target_latency_ms);
/**
 * Starts the round robin at a random position. If all nodes started at the same one, their first
 * requests would all go to the same service.
 */
void ts_route_state_set_start(ts_route_state_t *state, uint32_t random);
void ts_route_state_free(ts_route_state_t *state);
/** Adds the response time of a backend, reduced to that of one in the nearest zone. */
void ts_route_state_add_response_time(ts_route_state_t *state, double response_time_us);
/**
 * Time after which a request to a backend in the nearest zone is overdue: the quantile `overdue`,
 * but at most 2.5 times the median.
 */
double ts_route_state_overdue_us(const ts_route_state_t *state);
/**
 * A long response time: the given quantile of the latencies of successful requests, or the estimate
 * `overdue` if that is longer.
 */
double ts_route_state_long_us(const ts_route_state_t *state, double quantile);
/** Adds an overdue request, whose response time is still unknown. */
void ts_route_state_add_overdue(ts_route_state_t *state);
/** Records the outcome of a request and its latency, from its arrival to its end. */
void ts_route_state_record_outcome(ts_route_state_t *state, ts_outcome_t outcome,
                                   ts_time_us_t latency_us);
/** Selects the next target by smooth weighted round robin. */
const char *ts_route_state_next_target(ts_route_state_t *state, const ts_traffic_route_t *route);

#endif
