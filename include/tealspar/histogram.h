/**
 * Log-linear histogram of durations: fixed memory, relative error below 1/16, mergeable. The last
 * bucket also counts all larger values. Used for metrics, for the quantiles that determine hedge
 * and stop times, and by the lab.
 */
#ifndef TEALSPAR_HISTOGRAM_H
#define TEALSPAR_HISTOGRAM_H

#include <stdint.h>

#include "tealspar/clock.h"

#define TS_HISTOGRAM_SUB_BITS 4
#define TS_HISTOGRAM_SUB_COUNT (1U << TS_HISTOGRAM_SUB_BITS)
#define TS_HISTOGRAM_OCTAVES 28U
#define TS_HISTOGRAM_BUCKETS (TS_HISTOGRAM_OCTAVES * TS_HISTOGRAM_SUB_COUNT)

typedef struct ts_histogram {
    uint64_t total;
    uint64_t sum_us;
    uint32_t buckets[TS_HISTOGRAM_BUCKETS];
} ts_histogram_t;

/** Index of the bucket for a value. */
uint32_t ts_histogram_bucket(ts_time_us_t value_us);
/** Upper bound of a bucket (inclusive), in microseconds; the last bucket also counts more. */
ts_time_us_t ts_histogram_upper_us(uint32_t bucket);
void ts_histogram_add(ts_histogram_t *histogram, ts_time_us_t value_us);
/** Upper bound of the bucket that contains the quantile (0 to 1), or 0 if empty. */
ts_time_us_t ts_histogram_quantile(const ts_histogram_t *histogram, double quantile);
/** Halves all counts, so that old values lose weight. */
void ts_histogram_decay(ts_histogram_t *histogram);

#endif
