/**
 * Requests by tenant and outcome, of this process. As many tenants are named as the bound below
 * allows, the first that came; the rest are counted together.
 */
#ifndef TEALSPAR_TENANT_COUNTERS_H
#define TEALSPAR_TENANT_COUNTERS_H

#include <glib.h>
#include <stdint.h>

/** Tenants that are named in the metrics. */
#define TS_TENANTS_NAMED_MAX 100U

/** What became of a request. */
typedef enum ts_tenant_outcome {
    TS_TENANT_SERVED,     /**< answered with success */
    TS_TENANT_OVER_QUOTA, /**< refused, as the limit over the fleet was reached */
    TS_TENANT_REFUSED,    /**< refused for another reason, not run */
    TS_TENANT_FAILED,     /**< may have run, and failed */
    TS_TENANT_LEFT,       /**< its caller left first */
    TS_TENANT_OUTCOMES
} ts_tenant_outcome_t;

/** Counts a request that has ended. */
void ts_tenant_count(const char *tenant, ts_tenant_outcome_t outcome);
/** Requests so far; of a tenant that is not named: 0. */
uint64_t ts_tenant_counted(const char *tenant, ts_tenant_outcome_t outcome);
/** Appends all in the Prometheus text format. */
void ts_tenant_counters_write(GString *out);

#endif
