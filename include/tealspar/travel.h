/**
 * Travel to a zone and back, without any work: learned from how long connections take to be made.
 * One is kept for each zone that back ends stand in.
 */
#ifndef TEALSPAR_TRAVEL_H
#define TEALSPAR_TRAVEL_H

#include "tealspar/clock.h"
#include "tealspar/quantile.h"

/** How far a back end stands from this node. */
typedef enum ts_distance {
    TS_DISTANCE_ZONE,   /**< the same zone */
    TS_DISTANCE_REGION, /**< another zone of the same region */
    TS_DISTANCE_FAR,    /**< another region */
    TS_DISTANCE_COUNT
} ts_distance_t;

typedef struct ts_travel {
    ts_quantile_t round_trip; /**< a low quantile: some connections wait for a busy back end */
} ts_travel_t;

/** Begins with a guess by distance. */
void ts_travel_init(ts_travel_t *travel, ts_distance_t distance);
/** A connection was made in this time. */
void ts_travel_note(ts_travel_t *travel, ts_time_us_t span_us);
/** There and back, in microseconds. */
double ts_travel_us(const ts_travel_t *travel);

#endif
