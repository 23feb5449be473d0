/** Estimate of the round-trip time to a zone. */
#include "tealspar/rtt.h"

#define RTT_QUANTILE 0.25

/* Estimates by distance, used until the first connection is established. */
static const double guess_us[TS_DISTANCE_COUNT] = {300, 2500, 25000};

void ts_rtt_init(ts_rtt_t *rtt, ts_distance_t distance)
{
    ts_quantile_init(&rtt->round_trip, RTT_QUANTILE, guess_us[distance]);
}

void ts_rtt_add_sample(ts_rtt_t *rtt, ts_time_us_t span_us)
{
    if (rtt->round_trip.count == 0)
        rtt->round_trip.value_us = (double)span_us;
    ts_quantile_add(&rtt->round_trip, (double)span_us);
}

double ts_rtt_estimate_us(const ts_rtt_t *rtt)
{
    return rtt->round_trip.value_us;
}
