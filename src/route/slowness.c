/** Latency ratio, failure rate and warm-up state of an instance, from data of src/registry. */
#include "tealspar/mechanism.h"
#include "tealspar/registry.h"

ts_evidence_sums_t ts_instance_evidence(const ts_instance_t *instance, ts_time_us_t now_us)
{
    ts_evidence_sums_t own = ts_evidence_sums(&instance->own_evidence, now_us);
    ts_evidence_sums_t heard = ts_evidence_sums(&instance->fleet_evidence, now_us);
    return ts_evidence_merge(&own, &heard);
}

double ts_instance_latency_ratio(const ts_instance_t *instance, ts_time_us_t now_us)
{
    ts_evidence_sums_t known = ts_instance_evidence(instance, now_us);
    return ts_mechanism_is_on(TS_MECHANISM_LATE_SIGN) ? ts_evidence_latency_ratio(&known) : 1;
}

double ts_instance_failure_rate(const ts_instance_t *instance, ts_time_us_t now_us)
{
    ts_evidence_sums_t known = ts_instance_evidence(instance, now_us);
    return ts_mechanism_is_on(TS_MECHANISM_FAILING) ? ts_evidence_failure_rate(&known) : 0;
}

bool ts_instance_is_warmup_limited(const ts_instance_t *instance, ts_time_us_t now_us)
{
    return instance->service->warmup_rate > 0 && instance->warm_at_us > now_us;
}
