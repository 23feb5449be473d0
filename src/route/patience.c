/** Typical timeout of callers. */
#include "tealspar/patience.h"

#include <glib.h>

/* A timeout below this share of the typical one counts as a retry; the margin is for rounding. */
#define RETRY_TIMEOUT_SHARE 0.95
/* Outliers that are ignored: one in this many samples, and at most this many of all samples. */
#define SAMPLES_PER_OUTLIER 4U
#define OUTLIERS_MAX 3U

void ts_patience_note(ts_patience_t *patience, uint32_t patience_ms)
{
    if (patience_ms == 0)
        return;
    patience->latest_ms[patience->count % TS_PATIENCE_SAMPLES] = patience_ms;
    patience->count++;
}

/* Whether at most `outliers` of the samples are greater than `value_ms`. */
static bool is_upper_bound(const ts_patience_t *patience, uint32_t samples, uint32_t value_ms,
                           uint32_t outliers)
{
    uint32_t greater = 0;
    for (uint32_t i = 0; i < samples; i++)
        greater += patience->latest_ms[i] > value_ms;
    return greater <= outliers;
}

uint32_t ts_patience_usual_ms(const ts_patience_t *patience)
{
    uint32_t samples = MIN(patience->count, TS_PATIENCE_SAMPLES);
    uint32_t outliers = MIN(samples / SAMPLES_PER_OUTLIER, OUTLIERS_MAX);
    uint32_t typical_ms = 0;
    for (uint32_t i = 0; i < samples; i++) {
        uint32_t value_ms = patience->latest_ms[i];
        if ((typical_ms == 0 || value_ms < typical_ms) &&
            is_upper_bound(patience, samples, value_ms, outliers))
            typical_ms = value_ms;
    }
    return typical_ms;
}

bool ts_patience_has_returned(const ts_patience_t *patience, uint32_t patience_ms)
{
    return patience_ms != 0 && patience_ms < RETRY_TIMEOUT_SHARE * ts_patience_usual_ms(patience);
}
