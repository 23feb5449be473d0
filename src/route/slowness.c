/** How slow, failing or cold an instance is believed to be; that is learned in src/registry. */
#include <math.h>

#include "tealspar/mechanism.h"
#include "tealspar/registry.h"

/* Beliefs about slowness fade with this half-life, so that an instance is tried again. */
#define SLOWNESS_HALF_LIFE_US (4.0 * (double)TS_US_PER_S)
#define FAILING_HALF_LIFE_US (4.0 * (double)TS_US_PER_S)

ts_evidence_sums_t ts_instance_evidence(const ts_instance_t *instance, ts_time_us_t now_us)
{
    ts_evidence_sums_t own = ts_evidence_sums(&instance->own, now_us);
    ts_evidence_sums_t heard = ts_evidence_sums(&instance->heard, now_us);
    return ts_evidence_join(&own, &heard);
}

double ts_instance_slowness(const ts_instance_t *instance, ts_time_us_t now_us)
{
    if (ts_mechanism_is_on(TS_MECHANISM_MERGED)) {
        ts_evidence_sums_t known = ts_instance_evidence(instance, now_us);
        return ts_evidence_slowness(&known);
    }
    double age_us = (double)(now_us - instance->slowness_at_us);
    return 1 + (instance->slowness - 1) * exp2(-age_us / SLOWNESS_HALF_LIFE_US);
}

double ts_instance_failing(const ts_instance_t *instance, ts_time_us_t now_us)
{
    if (ts_mechanism_is_on(TS_MECHANISM_MERGED)) {
        ts_evidence_sums_t known = ts_instance_evidence(instance, now_us);
        return ts_evidence_failing(&known);
    }
    double age_us = (double)(now_us - instance->failing_at_us);
    return instance->failing * exp2(-age_us / FAILING_HALF_LIFE_US);
}

bool ts_instance_is_cold_bound(const ts_instance_t *instance, ts_time_us_t now_us)
{
    return instance->service->warmup_rate > 0 && instance->warm_at_us > now_us;
}
