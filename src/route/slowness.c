/** Latency ratio, failure rate and warm-up state of an instance, from data of src/registry. */
#include "tealspar/mechanism.h"
#include "tealspar/registry.h"

ts_evidence_sums_t ts_instance_evidence(const ts_instance_t *instance, ts_time_us_t now_us)
{
    ts_evidence_sums_t own = ts_evidence_sums(&instance->own_evidence, now_us);
    ts_evidence_sums_t fleet = ts_evidence_sums(&instance->fleet_evidence, now_us);
    return ts_evidence_merge(&own, &fleet);
}

double ts_instance_latency_ratio(const ts_instance_t *instance, ts_time_us_t now_us)
{
    ts_evidence_sums_t merged = ts_instance_evidence(instance, now_us);
    return ts_mechanism_is_on(TS_MECHANISM_LATE_SIGN) ? ts_evidence_latency_ratio(&merged) : 1;
}

double ts_instance_failure_rate(const ts_instance_t *instance, ts_time_us_t now_us)
{
    ts_evidence_sums_t merged = ts_instance_evidence(instance, now_us);
    return ts_mechanism_is_on(TS_MECHANISM_FAILING) ? ts_evidence_failure_rate(&merged) : 0;
}

bool ts_instance_is_warmup_limited(const ts_instance_t *instance, ts_time_us_t now_us)
{
    return instance->service->warmup_rate > 0 && instance->warm_at_us > now_us;
}
