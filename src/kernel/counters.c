/** Storage and text output of the metrics. */
#include "tealspar/counters.h"
#include <inttypes.h>

#include <stdlib.h>

#include "tealspar/histogram.h"

/* Array size. Errors whose absolute number is not below it are not counted. */
#define ERROR_NUMBER_END 64
#define US_PER_S_DOUBLE 1e6

typedef struct metric_row {
    const char *type;
    const char *name;
    const char *description;
} metric_row_t;

#define TS_COUNTER_ROW(symbol, type, name, description) {#type, name, description},
static const metric_row_t counter_rows[] = {TS_COUNTER_TABLE(TS_COUNTER_ROW)};
#undef TS_COUNTER_ROW
#define TS_HISTOGRAM_ROW(symbol, name, description) {"histogram", name, description},
static const metric_row_t histogram_rows[] = {TS_HISTOGRAM_TABLE(TS_HISTOGRAM_ROW)};
#undef TS_HISTOGRAM_ROW

static int64_t counter_values[TS_COUNTER_COUNT];
static int64_t error_values[ERROR_NUMBER_END];
static ts_histogram_t histograms[TS_HISTOGRAM_COUNT];

void ts_count(ts_counter_t counter, int64_t amount)
{
    counter_values[counter] += amount;
}

void ts_gauge_set(ts_counter_t counter, int64_t value)
{
    counter_values[counter] = value;
}

int64_t ts_counter_value(ts_counter_t counter)
{
    return counter_values[counter];
}

void ts_count_error(ts_error_t error)
{
    int number = abs((int)error);
    if (number < ERROR_NUMBER_END) {
        error_values[number]++;
    }
}

int64_t ts_error_count(ts_error_t error)
{
    int number = abs((int)error);
    return number < ERROR_NUMBER_END ? error_values[number] : 0;
}

void ts_observe_us(ts_histogram_id_t histogram, ts_time_us_t span_us)
{
    ts_histogram_add(&histograms[histogram], span_us);
}

/*
 * Writes one Prometheus bucket per power of two. The last bucket with a finite bound also counts
 * all larger values.
 */
static void write_histogram(GString *out, const metric_row_t *row, const ts_histogram_t *h)
{
    g_string_append_printf(out, "# HELP tealspar_%s %s\n# TYPE tealspar_%s histogram\n", row->name,
                           row->description, row->name);
    uint64_t cumulative = 0;
    for (uint32_t octave = 0; octave < TS_HISTOGRAM_OCTAVES; octave++) {
        for (uint32_t sub = 0; sub < TS_HISTOGRAM_SUB_COUNT; sub++) {
            cumulative += h->buckets[octave * TS_HISTOGRAM_SUB_COUNT + sub];
        }
        uint32_t last = octave * TS_HISTOGRAM_SUB_COUNT + TS_HISTOGRAM_SUB_COUNT - 1;
        double upper_s = (double)ts_histogram_upper_us(last) / US_PER_S_DOUBLE;
        g_string_append_printf(out, "tealspar_%s_bucket{le=\"%.6f\"} %" PRIu64 "\n", row->name,
                               upper_s, cumulative);
    }
    g_string_append_printf(out, "tealspar_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n", row->name,
                           h->total);
    g_string_append_printf(out, "tealspar_%s_sum %.6f\ntealspar_%s_count %" PRIu64 "\n", row->name,
                           (double)h->sum_us / US_PER_S_DOUBLE, row->name, h->total);
}

static void write_error_line(GString *out, ts_error_t error)
{
    if (ts_error_count(error) != 0) {
        g_string_append_printf(out, "tealspar_errors_total{type=\"%s\"} %" PRId64 "\n",
                               ts_error_name(error), ts_error_count(error));
    }
}

void ts_counters_write_prometheus(GString *out)
{
    for (int i = 0; i < TS_COUNTER_COUNT; i++) {
        const metric_row_t *row = &counter_rows[i];
        g_string_append_printf(out, "# HELP tealspar_%s %s\n# TYPE tealspar_%s %s\n", row->name,
                               row->description, row->name, row->type);
        g_string_append_printf(out, "tealspar_%s %" PRId64 "\n", row->name, counter_values[i]);
    }
    g_string_append(out, "# HELP tealspar_errors_total failures and refusals by type\n"
                         "# TYPE tealspar_errors_total counter\n");
#define TS_ERROR_LINE(symbol, number, name, text) write_error_line(out, symbol);
    TS_ERROR_TABLE(TS_ERROR_LINE)
#undef TS_ERROR_LINE
    for (int i = 0; i < TS_HISTOGRAM_COUNT; i++) {
        write_histogram(out, &histogram_rows[i], &histograms[i]);
    }
}

static void write_markdown_rows(GString *out, const metric_row_t *rows, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        g_string_append_printf(out, "| `tealspar_%s` | %s | %s |\n", rows[i].name, rows[i].type,
                               rows[i].description);
    }
}

void ts_counters_write_markdown(GString *out)
{
    g_string_append(out, "| counter | type | meaning |\n| --- | --- | --- |\n");
    write_markdown_rows(out, counter_rows, TS_COUNTER_COUNT);
    write_markdown_rows(out, histogram_rows, TS_HISTOGRAM_COUNT);
}
