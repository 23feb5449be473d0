/** Typical timeout of callers. */
#include "tealspar/caller_timeouts.h"

#include <glib.h>

/* A timeout below this share of the typical one counts as a retry; the margin is for rounding. */
#define RETRY_TIMEOUT_SHARE 0.95
/* Outliers that are ignored: one in this many samples, and at most this many of all samples. */
#define SAMPLES_PER_OUTLIER 4U
#define OUTLIERS_MAX 3U

void ts_caller_timeouts_add(ts_caller_timeouts_t *timeouts, uint32_t timeout_ms)
{
    if (timeout_ms == 0)
        return;
    timeouts->latest_ms[timeouts->count % TS_CALLER_TIMEOUT_SAMPLES] = timeout_ms;
    timeouts->count++;
}

/* Whether at most `outliers` of the samples are greater than `value_ms`. */
static bool is_upper_bound(const ts_caller_timeouts_t *timeouts, uint32_t samples,
                           uint32_t value_ms, uint32_t outliers)
{
    uint32_t greater = 0;
    for (uint32_t i = 0; i < samples; i++)
        greater += timeouts->latest_ms[i] > value_ms;
    return greater <= outliers;
}

uint32_t ts_caller_timeouts_typical_ms(const ts_caller_timeouts_t *timeouts)
{
    uint32_t samples = MIN(timeouts->count, TS_CALLER_TIMEOUT_SAMPLES);
    uint32_t outliers = MIN(samples / SAMPLES_PER_OUTLIER, OUTLIERS_MAX);
    uint32_t typical_ms = 0;
    for (uint32_t i = 0; i < samples; i++) {
        uint32_t value_ms = timeouts->latest_ms[i];
        if ((typical_ms == 0 || value_ms < typical_ms) &&
            is_upper_bound(timeouts, samples, value_ms, outliers))
            typical_ms = value_ms;
    }
    return typical_ms;
}

bool ts_caller_timeouts_is_retry(const ts_caller_timeouts_t *timeouts, uint32_t timeout_ms)
{
    return timeout_ms != 0 &&
           timeout_ms < RETRY_TIMEOUT_SHARE * ts_caller_timeouts_typical_ms(timeouts);
}
