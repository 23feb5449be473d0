/**
 * Estimate of the network round-trip time to a zone, from connection set-up times. A node keeps one
 * estimate for each zone that has backends.
 */
#ifndef TEALSPAR_RTT_H
#define TEALSPAR_RTT_H

#include "tealspar/clock.h"
#include "tealspar/quantile.h"

/** Location of a backend relative to this node. */
typedef enum ts_distance {
    TS_DISTANCE_SAME_ZONE,    /**< same zone */
    TS_DISTANCE_SAME_REGION,  /**< same region, different zone */
    TS_DISTANCE_OTHER_REGION, /**< different region */
    TS_DISTANCE_COUNT
} ts_distance_t;

typedef struct ts_rtt {
    ts_quantile_t round_trip; /**< low quantile, as some connections wait for a busy backend */
} ts_rtt_t;

/** Initializes the estimate with a default for the distance. */
void ts_rtt_init(ts_rtt_t *rtt, ts_distance_t distance);
/** Adds a connection set-up time. */
void ts_rtt_add_sample(ts_rtt_t *rtt, ts_time_us_t span_us);
/** Estimated round-trip time in microseconds. */
double ts_rtt_estimate_us(const ts_rtt_t *rtt);

#endif
