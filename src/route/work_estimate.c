/** Time that the requests of a route take. */
#include "tealspar/work_estimate.h"

#include <glib.h>
#include <math.h>

void ts_work_estimate_add(ts_work_estimate_t *estimate, double work_us)
{
    estimate->samples_us[estimate->count % TS_WORK_SAMPLES] = (float)work_us;
    estimate->count++;
}

static void insert_sorted(float *sorted, uint32_t count, float value)
{
    uint32_t i = count;
    for (; i > 0 && sorted[i - 1] > value; i--)
        sorted[i] = sorted[i - 1];
    sorted[i] = value;
}

double ts_work_estimate_quantile_us(const ts_work_estimate_t *estimate, double quantile)
{
    float sorted[TS_WORK_SAMPLES];
    uint32_t count = MIN(estimate->count, TS_WORK_SAMPLES);
    if (count == 0)
        return 0;
    for (uint32_t i = 0; i < count; i++)
        insert_sorted(sorted, i, estimate->samples_us[i]);
    uint32_t rank = (uint32_t)ceil(quantile * count);
    return sorted[CLAMP(rank, 1, count) - 1];
}
