/**
 * What a node learns about the requests of one route, kept by the route's name across versions of
 * the configuration: how long a back end typically takes, when an answer is overdue, and whose turn
 * it is in a weighted split. Pure: spans are given.
 */
#ifndef TEALSPAR_ROUTE_STATE_H
#define TEALSPAR_ROUTE_STATE_H

#include <glib.h>

#include "tealspar/histogram.h"
#include "tealspar/patience.h"
#include "tealspar/quantile.h"
#include "tealspar/traffic.h"

/** How a request ended. */
typedef enum ts_outcome {
    TS_OUTCOME_OK,
    TS_OUTCOME_PARTIAL, /**< a success with parts missing */
    TS_OUTCOME_REFUSED, /**< not run */
    TS_OUTCOME_FAILED,  /**< it may have run */
    TS_OUTCOME_LEFT,    /**< the caller left first */
    TS_OUTCOME_COUNT
} ts_outcome_t;

/** Stable name of an outcome, for metrics. */
const char *ts_route_outcome_name(ts_outcome_t outcome);

typedef struct ts_route_state {
    ts_quantile_t typical; /**< the median time of a back end, without travel */
    ts_quantile_t overdue; /**< the quantile after which a second send is worth its cost */
    ts_patience_t patience;
    ts_histogram_t *latencies[TS_OUTCOME_COUNT]; /**< NULL until the first such outcome */
    GHashTable *credits;                         /**< service -> double*, its turn in the split */
    uint32_t turns_ahead; /**< turns of the split that are passed over before the first */
} ts_route_state_t;

ts_route_state_t *ts_route_state_create(uint32_t aim_ms);
/**
 * Where in the order of a split this node begins. Nodes that all begin at the same place would
 * together send their first requests to the same service.
 */
void ts_route_state_set_phase(ts_route_state_t *state, uint32_t random);
void ts_route_state_free(ts_route_state_t *state);
/** A back end of the zone answered after this span. */
void ts_route_state_note(ts_route_state_t *state, double span_us);
/** After how long a send within the zone is overdue. */
double ts_route_state_overdue_us(const ts_route_state_t *state);
/** A send was not answered in time; its span is not known yet. */
void ts_route_state_note_overdue(ts_route_state_t *state);
/** A request of the route ended after this span. */
void ts_route_state_count(ts_route_state_t *state, ts_outcome_t outcome, ts_time_us_t span_us);
/** The next target of a split, so that shares follow the weights as closely as whole numbers do. */
const char *ts_route_state_next_target(ts_route_state_t *state, const ts_traffic_route_t *route);

#endif
