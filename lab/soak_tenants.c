/** The soak's tenants: keys of requests, and the checks of authentication and quota. */
#include "soak.h"

#include <string.h>

#include "../platform/names.h"

// Gateways must apply a configuration within this time after it was written to the store.
#define APPLY_US (3 * TS_US_PER_S)
// Quota of the limited tenant over all gateways: requests per second, burst, and the maximum in a
// window with the tolerance of SOAK_QUOTA_SETTINGS.
#define LIMIT_RATE 4
#define LIMIT_BURST 4
#define LIMIT_WINDOW_S 5
#define LIMIT_MAX ((LIMIT_RATE * LIMIT_WINDOW_S + LIMIT_BURST) * 1.25 + 5)
// Percentage of requests sent by the limited tenant and by the one whose key changes.
#define LIMITED_PERCENT 20
#define CHANGING_PERCENT 25
// Percentage of the latter that carry a revoked key.
#define REVOKED_PERCENT 20

typedef enum soak_tenant {
    TENANT_NONE = -1,
    TENANT_FREE,     // no quota, constant key
    TENANT_LIMITED,  // sends more than its quota
    TENANT_CHANGING, // its key changes with each configuration version
    TENANT_COUNT
} soak_tenant_t;

static const char *const names[TENANT_COUNT] = {"free", "limited", "changing"};

static char *compose_key(int tenant, uint64_t version)
{
    if (tenant != TENANT_CHANGING)
        return g_strdup_printf("key-of-%s", names[tenant]);
    return g_strdup_printf("key-of-%s-%lu", names[tenant], (unsigned long)version);
}

char *soak_compose_tenants(uint64_t version, bool simulates_bugs)
{
    GString *out = g_string_new(NULL);
    for (int i = 0; i < TENANT_COUNT; i++) {
        bool is_limited = i == TENANT_LIMITED && !simulates_bugs;
        char *key = compose_key(i, version);
        g_string_append_printf(
            out, "%s{\"%s\":\"%s%s\",\"%s\":[\"%s\"],\"%s\":0,\"%s\":%d,\"%s\":%d}",
            i > 0 ? "," : "", FIELD_NAME, names[i], simulates_bugs && i == TENANT_FREE ? "-2" : "",
            FIELD_KEYS, key, FIELD_PRIORITY, FIELD_RATE, is_limited ? LIMIT_RATE : 0, FIELD_BURST,
            is_limited ? LIMIT_BURST : 0);
        g_free(key);
    }
    return g_string_free(out, FALSE);
}

static soak_tenant_t choose_tenant(soak_t *s)
{
    gint32 percent = g_rand_int_range(s->random, 0, 100);
    if (percent < LIMITED_PERCENT)
        return TENANT_LIMITED;
    return percent < LIMITED_PERCENT + CHANGING_PERCENT ? TENANT_CHANGING : TENANT_FREE;
}

char *soak_choose_credentials(soak_t *s, soak_request_record_t *record, bool without_key,
                              bool must_be_accepted)
{
    static const char forged[] = NAME_TENANT ": forged\r\n";
    record->tenant = TENANT_NONE;
    if (without_key)
        return g_strdup(forged);
    record->tenant = must_be_accepted ? TENANT_FREE : choose_tenant(s);
    uint64_t version = s->version;
    bool is_old_key = record->tenant == TENANT_CHANGING && version > 1 &&
                      g_rand_int_range(s->random, 0, 100) < REVOKED_PERCENT;
    record->version = version;
    record->has_old_key = is_old_key;
    record->is_revoked = is_old_key && ts_clock_now_us() > s->version_written_us + APPLY_US;
    record->must_accept_key = !is_old_key && ts_clock_now_us() > s->version_written_us + APPLY_US;
    char *key = compose_key(record->tenant, is_old_key ? version - 1 : version);
    char *fields = g_strdup_printf("%s: Bearer %s\r\n%s", NAME_AUTHORIZATION, key, forged);
    g_free(key);
    return fields;
}

void soak_check_tenant(soak_t *s, const lab_searcher_t *fake, const ts_http_message_t *request)
{
    const char *id = ts_http_message_find(request, NAME_REQUEST_ID);
    const soak_request_record_t *record =
        id == NULL ? NULL : g_hash_table_lookup(s->request_records, id);
    if (record == NULL)
        return; // reported as UNASKED by handle_request
    const char *tenant = ts_http_message_find(request, NAME_TENANT);
    const char *expected = record->tenant == TENANT_NONE ? NULL : names[record->tenant];
    if (g_strcmp0(tenant, expected) != 0 || ts_http_message_count(request, NAME_TENANT) > 1)
        soak_report_violation(s, "TENANT", "%s got %s as of tenant %s, it is of %s", fake->id, id,
                              tenant == NULL ? "none" : tenant,
                              expected == NULL ? "none" : expected);
    if (ts_http_message_find(request, NAME_AUTHORIZATION) != NULL)
        soak_report_violation(s, "KEY_SHOWN", "%s got the key of %s", fake->id, id);
    if (record->is_revoked && soak_node_is_fault_free(record->node, ts_clock_now_us()))
        soak_report_violation(s, "REVOKED", "%s got %s of %s, whose key had been taken away",
                              fake->id, id, record->node->name);
}

void soak_record_limited_run(soak_t *s, const soak_request_record_t *record, bool is_first)
{
    ts_time_us_t now_us = ts_clock_now_us();
    if (is_first && record->tenant == TENANT_LIMITED)
        g_array_append_val(s->limited_runs, now_us);
}

void soak_check_rejection(soak_t *s, const soak_request_record_t *record, const char *id,
                          const ts_http_message_t *response, bool was_fault_free)
{
    unsigned status = response->parser.status_code;
    bool is_changing = record->tenant == TENANT_CHANGING;
    bool is_superseded = s->version != record->version; // a newer version has revoked the key since
    bool may_be_rejected = is_changing && (record->has_old_key || is_superseded ||
                                           !record->must_accept_key || !was_fault_free);
    if (status == 401 && !may_be_rejected)
        soak_report_violation(s, "KEY_REFUSED", "%s does not know the key of %s",
                              record->node->name, id);
    if (status == 429 && record->tenant != TENANT_LIMITED)
        soak_report_violation(s, "LIMIT_REFUSED", "%s refused %s, whose tenant has no limit",
                              record->node->name, id);
    if (status == 429 && ts_http_message_find(response, NAME_RETRY_AFTER) == NULL)
        soak_report_violation(s, "RETRY_AFTER", "%s refused %s without a time to come back",
                              record->node->name, id);
}

void soak_check_quota(soak_t *s)
{
    unsigned max_runs = soak_max_within(s->limited_runs, LIMIT_WINDOW_S * TS_US_PER_S);
    soak_log(s, "the limited tenant ran %u requests, %u at most in %d s", s->limited_runs->len,
             max_runs, LIMIT_WINDOW_S);
    if (max_runs > LIMIT_MAX)
        soak_report_violation(s, "QUOTA",
                              "the limited tenant ran %u requests in %d s, %.0f are allowed",
                              max_runs, LIMIT_WINDOW_S, LIMIT_MAX);
}
