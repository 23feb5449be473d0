/** Request counters by tenant and outcome. */
#include "tealspar/tenant_counters.h"

/* Label of the tenants that are first seen after TS_TENANT_LABELS_MAX labels are in use. */
#define OTHERS_LABEL "(others)"

typedef struct tenant_row {
    uint64_t outcomes[TS_TENANT_OUTCOMES];
} tenant_row_t;

static GHashTable *rows; /* tenant -> tenant_row_t, owned; NULL until the first request */

static const char *const outcome_names[TS_TENANT_OUTCOMES] = {"served", "over_quota", "refused",
                                                              "failed", "left"};

static tenant_row_t *ensure_row(const char *tenant)
{
    if (rows == NULL)
        rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    tenant_row_t *row = g_hash_table_lookup(rows, tenant);
    if (row != NULL)
        return row;
    if (g_hash_table_size(rows) >= TS_TENANT_LABELS_MAX && g_strcmp0(tenant, OTHERS_LABEL) != 0)
        return ensure_row(OTHERS_LABEL);
    row = g_new0(tenant_row_t, 1);
    g_hash_table_insert(rows, g_strdup(tenant), row);
    return row;
}

void ts_tenant_count(const char *tenant, ts_tenant_outcome_t outcome)
{
    ensure_row(tenant)->outcomes[outcome]++;
}

uint64_t ts_tenant_get_count(const char *tenant, ts_tenant_outcome_t outcome)
{
    const tenant_row_t *row = rows == NULL ? NULL : g_hash_table_lookup(rows, tenant);
    return row == NULL ? 0 : row->outcomes[outcome];
}

void ts_tenant_counters_write(GString *out)
{
    GHashTableIter iterator;
    gpointer name = NULL;
    gpointer value = NULL;
    if (rows == NULL)
        return;
    g_string_append(out, "# HELP tealspar_tenant_requests_total requests by tenant and outcome\n"
                         "# TYPE tealspar_tenant_requests_total counter\n");
    g_hash_table_iter_init(&iterator, rows);
    while (g_hash_table_iter_next(&iterator, &name, &value)) {
        const tenant_row_t *row = value;
        for (int i = 0; i < TS_TENANT_OUTCOMES; i++)
            g_string_append_printf(
                out, "tealspar_tenant_requests_total{tenant=\"%s\",outcome=\"%s\"} %lu\n",
                (const char *)name, outcome_names[i], (unsigned long)row->outcomes[i]);
    }
}
