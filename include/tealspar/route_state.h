/**
 * What a node learns about the requests of one route, kept by the route's name across versions of
 * the configuration: how long a back end typically takes, when an answer is overdue, and whose turn
 * it is in a weighted split. Pure: spans are given.
 */
#ifndef TEALSPAR_ROUTE_STATE_H
#define TEALSPAR_ROUTE_STATE_H

#include <glib.h>

#include "tealspar/quantile.h"
#include "tealspar/traffic.h"

typedef struct ts_route_state {
    ts_quantile_t typical; /**< the median time of a back end, without travel */
    ts_quantile_t overdue; /**< the quantile after which a second send is worth its cost */
    GHashTable *credits;   /**< service -> double*, its turn in the split */
} ts_route_state_t;

ts_route_state_t *ts_route_state_create(uint32_t aim_ms);
void ts_route_state_free(ts_route_state_t *state);
/** A back end of the zone answered after this span. */
void ts_route_state_note(ts_route_state_t *state, double span_us);
/** A send was not answered in time; its span is not known yet. */
void ts_route_state_note_overdue(ts_route_state_t *state);
/** The next target of a split, so that shares follow the weights as closely as whole numbers do. */
const char *ts_route_state_next_target(ts_route_state_t *state, const ts_traffic_route_t *route);

#endif
