/** Estimate of the round-trip time to a zone. */
#include "tealspar/travel.h"

#define RTT_QUANTILE 0.25

/* Estimates by distance, used until the first connection is established. */
static const double guess_us[TS_DISTANCE_COUNT] = {300, 2500, 25000};

void ts_travel_init(ts_travel_t *travel, ts_distance_t distance)
{
    ts_quantile_init(&travel->round_trip, RTT_QUANTILE, guess_us[distance]);
}

void ts_travel_note(ts_travel_t *travel, ts_time_us_t span_us)
{
    if (travel->round_trip.count == 0)
        travel->round_trip.value_us = (double)span_us;
    ts_quantile_add(&travel->round_trip, (double)span_us);
}

double ts_travel_us(const ts_travel_t *travel)
{
    return travel->round_trip.value_us;
}
