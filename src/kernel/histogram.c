/** Log-linear histogram. */
#include "tealspar/histogram.h"

#include <math.h>

uint32_t ts_histogram_bucket(ts_time_us_t value_us)
{
    if (value_us < TS_HISTOGRAM_SUB_COUNT) {
        return (uint32_t)value_us;
    }
    uint32_t top_bit = 63U - (uint32_t)__builtin_clzll(value_us);
    uint32_t shift = top_bit - TS_HISTOGRAM_SUB_BITS;
    uint32_t sub = (uint32_t)(value_us >> shift) - TS_HISTOGRAM_SUB_COUNT;
    uint32_t bucket = (shift + 1) * TS_HISTOGRAM_SUB_COUNT + sub;
    return bucket < TS_HISTOGRAM_BUCKETS ? bucket : TS_HISTOGRAM_BUCKETS - 1;
}

ts_time_us_t ts_histogram_upper_us(uint32_t bucket)
{
    if (bucket < TS_HISTOGRAM_SUB_COUNT) {
        return bucket;
    }
    uint32_t shift = bucket / TS_HISTOGRAM_SUB_COUNT - 1;
    uint64_t sub = bucket % TS_HISTOGRAM_SUB_COUNT + TS_HISTOGRAM_SUB_COUNT;
    return ((sub + 1) << shift) - 1;
}

void ts_histogram_add(ts_histogram_t *histogram, ts_time_us_t value_us)
{
    histogram->buckets[ts_histogram_bucket(value_us)]++;
    histogram->total++;
    histogram->sum_us += value_us;
}

ts_time_us_t ts_histogram_quantile(const ts_histogram_t *histogram, double quantile)
{
    if (histogram->total == 0) {
        return 0;
    }
    uint64_t rank = (uint64_t)ceil(quantile * (double)histogram->total);
    uint64_t seen = 0;
    uint32_t last = 0;
    for (uint32_t i = 0; i < TS_HISTOGRAM_BUCKETS; i++) {
        if (histogram->buckets[i] == 0) {
            continue;
        }
        seen += histogram->buckets[i];
        last = i;
        if (seen >= rank) {
            break;
        }
    }
    return ts_histogram_upper_us(last);
}

void ts_histogram_decay(ts_histogram_t *histogram)
{
    uint64_t total = 0;
    for (uint32_t i = 0; i < TS_HISTOGRAM_BUCKETS; i++) {
        histogram->buckets[i] /= 2;
        total += histogram->buckets[i];
    }
    histogram->total = total;
    histogram->sum_us /= 2;
}
