/**
 * Counters of this process's requests, by tenant and outcome. The first TS_TENANT_LABELS_MAX
 * tenants have a label of their own; all later ones share one label, to limit the number of time
 * series.
 */
#ifndef TEALSPAR_TENANT_COUNTERS_H
#define TEALSPAR_TENANT_COUNTERS_H

#include <glib.h>
#include <stdint.h>

/** Number of tenants with a label of their own in the metrics. */
#define TS_TENANT_LABELS_MAX 100U

/** Outcome of a request. */
typedef enum ts_tenant_outcome {
    TS_TENANT_SERVED,     /**< answered successfully */
    TS_TENANT_OVER_QUOTA, /**< refused because the tenant's fleet-wide rate limit was exceeded */
    TS_TENANT_REFUSED,    /**< refused for another reason and not run */
    TS_TENANT_FAILED,     /**< failed; may have run */
    TS_TENANT_ABANDONED,  /**< the caller disconnected before the response */
    TS_TENANT_OUTCOMES
} ts_tenant_outcome_t;

/** Counts a completed request. */
void ts_tenant_count(const char *tenant, ts_tenant_outcome_t outcome);
/** Requests counted under the tenant's own label; 0 if it has none. */
uint64_t ts_tenant_get_count(const char *tenant, ts_tenant_outcome_t outcome);
/** Appends the counters in the Prometheus text format. */
void ts_tenant_counters_write(GString *out);

#endif
