/** Metrics of the gateway in the Prometheus text format. */
#include "tealspar/byte_account.h"
#include "tealspar/counters.h"
#include "tealspar/gateway.h"
#include "tealspar/store_mirror.h"
#include "tealspar/tenant_counters.h"

/* Maximum number of routes with metrics of their own; a configuration may have hundreds. */
#define ROUTES_MAX 50U
#define US_PER_S_DOUBLE 1e6
/* Maximum number of quarantined requests listed by digest. */
#define QUARANTINED_LISTED_MAX 50U

static const ts_time_us_t bucket_bounds_us[] = {1000,   2500,    5000,    10000,   25000,
                                                50000,  75000,   100000,  150000,  250000,
                                                500000, 1000000, 2500000, 10000000};

static uint64_t count_up_to(const ts_histogram_t *histogram, ts_time_us_t bound_us)
{
    uint64_t count = 0;
    for (uint32_t i = 0; i < TS_HISTOGRAM_BUCKETS && ts_histogram_upper_us(i) <= bound_us; i++) {
        count += histogram->buckets[i];
    }
    return count;
}

static void write_latency(GString *out, const char *route, const char *outcome,
                          const ts_histogram_t *histogram)
{
    static const char name[] = "tealspar_request_latency_seconds";
    for (size_t i = 0; i < G_N_ELEMENTS(bucket_bounds_us); i++) {
        g_string_append_printf(out, "%s_bucket{route=\"%s\",outcome=\"%s\",le=\"%g\"} %lu\n", name,
                               route, outcome, (double)bucket_bounds_us[i] / US_PER_S_DOUBLE,
                               (unsigned long)count_up_to(histogram, bucket_bounds_us[i]));
    }
    g_string_append_printf(out, "%s_bucket{route=\"%s\",outcome=\"%s\",le=\"+Inf\"} %lu\n", name,
                           route, outcome, (unsigned long)histogram->total);
    g_string_append_printf(out, "%s_sum{route=\"%s\",outcome=\"%s\"} %.6f\n", name, route, outcome,
                           (double)histogram->sum_us / US_PER_S_DOUBLE);
    g_string_append_printf(out, "%s_count{route=\"%s\",outcome=\"%s\"} %lu\n", name, route, outcome,
                           (unsigned long)histogram->total);
}

static void write_routes(const ts_gateway_t *gateway, GString *out)
{
    GHashTableIter iterator;
    gpointer name = NULL;
    gpointer value = NULL;
    unsigned routes = 0;
    g_string_append(out, "# HELP tealspar_request_latency_seconds time from a request's arrival to "
                         "its final answer, by route and outcome\n"
                         "# TYPE tealspar_request_latency_seconds histogram\n");
    g_hash_table_iter_init(&iterator, gateway->route_states);
    while (g_hash_table_iter_next(&iterator, &name, &value) && routes < ROUTES_MAX) {
        const ts_route_state_t *state = value;
        routes++;
        for (int i = 0; i < TS_OUTCOME_COUNT; i++) {
            if (state->latencies[i] != NULL) {
                write_latency(out, name, ts_route_outcome_name(i), state->latencies[i]);
            }
        }
    }
}

typedef struct quarantined_writer {
    const ts_quarantine_t *quarantine;
    ts_time_us_t now_us;
    GString *out;
    unsigned listed;
} quarantined_writer_t;

/* Writes a row if its request is quarantined; returns whether more rows may be listed. */
static bool write_quarantined(void *ctx, const ts_quarantine_row_t *row)
{
    quarantined_writer_t *list = ctx;
    char digest[TS_REQUEST_DIGEST_TEXT];
    if (ts_quarantine_find(list->quarantine, &row->digest, list->now_us) !=
        TS_QUARANTINE_QUARANTINED)
        return true;
    ts_request_digest_print(&row->digest, digest);
    g_string_append_printf(
        list->out, "tealspar_quarantine_held_seconds{digest=\"%s\",service=\"%s\"} %u\n", digest,
        row->service, row->age_ms / (unsigned)(TS_US_PER_S / TS_US_PER_MS));
    return ++list->listed < QUARANTINED_LISTED_MAX;
}

/* Lists quarantined requests and their ages; by digest, as a request may contain secrets. */
static void write_quarantine(const ts_gateway_t *gateway, GString *out)
{
    quarantined_writer_t list = {gateway->quarantine, ts_clock_now_us(), out, 0};
    if (ts_quarantine_is_empty(gateway->quarantine))
        return;
    g_string_append(out, "# HELP tealspar_quarantine_held_seconds requests on hold: since a back "
                         "end last ended under them\n"
                         "# TYPE tealspar_quarantine_held_seconds gauge\n");
    ts_quarantine_foreach(gateway->quarantine, list.now_us, 0, write_quarantined, &list);
}

void ts_gateway_write_metrics(const ts_gateway_t *gateway, GString *out)
{
    ts_time_us_t confirmed_us = ts_store_mirror_confirmed_us(gateway->mirror);
    ts_gauge_set(TS_COUNTER_CONFIG_CONFIRMED_AGE,
                 (int64_t)((ts_clock_now_us() - confirmed_us) / TS_US_PER_MS));
    ts_gauge_set(TS_COUNTER_STORE_REVISION,
                 (int64_t)ts_store_mirror_position(gateway->mirror).revision);
    ts_gauge_set(TS_COUNTER_STORE_FORMER_ENTRIES,
                 ts_store_mirror_count_earlier_epoch(gateway->mirror));
    ts_gauge_set(TS_COUNTER_REQUEST_BYTES, (int64_t)ts_memory_budget_used(gateway->request_budget));
    ts_gauge_set(TS_COUNTER_ANSWER_BYTES, (int64_t)ts_memory_budget_used(gateway->answer_budget));
    ts_gauge_set(TS_COUNTER_INSTANCES_LISTED, ts_registry_count_listed(gateway->registry));
    ts_counters_write_prometheus(out);
    ts_byte_account_write(out);
    ts_tenant_counters_write(out);
    write_quarantine(gateway, out);
    write_routes(gateway, out);
}
