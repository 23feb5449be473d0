/**
 * `tealspar-lab report DIR...`: writes a self-contained HTML page that compares runs from their
 * output directories: latency distributions by kind, and answers, coverage and searcher requests
 * over time.
 */
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tealspar/command.h"
#include "tealspar/histogram.h"
#include "tealspar/plugin.h"

#define TABLE_SIZE 4
#define RUNS_MAX 8
#define FIELD_SIZE 160
#define SECONDS_MAX 3600U
#define PLOT_WIDTH 640.0
#define PLOT_HEIGHT 220.0
#define MARGIN 44.0
#define MS_PER_S 1000
#define US_PER_MS_DOUBLE 1000.0

static const char *const colours[RUNS_MAX] = {"#1b6ca8", "#c8553d", "#3a7d44", "#8e5ea2",
                                              "#b8860b", "#2f4858", "#d1495b", "#5c946e"};

/* Totals of one second of a run. */
typedef struct second {
    uint64_t answered;
    uint64_t others; /* outcomes other than "answered" */
    uint64_t searcher_requests;
    double coverage_sum;
} second_t;

/* Data read from the output directory of one run. */
typedef struct run {
    char *directory;
    json_t *report;
    GHashTable *latencies; /* kind -> ts_histogram_t, owned */
    second_t seconds[SECONDS_MAX];
    unsigned second_count;
    int64_t begin_ms; /* time of the first query in the load journal */
} run_t;

/* ---- reading ---- */

static second_t *get_second(run_t *run, int64_t at_ms)
{
    int64_t index = (at_ms - run->begin_ms) / MS_PER_S;
    if (index < 0 || index >= (int64_t)SECONDS_MAX) {
        return NULL;
    }
    run->second_count = MAX(run->second_count, (unsigned)index + 1);
    return &run->seconds[index];
}

static void read_caller_line(run_t *run, const char *line)
{
    char kind[FIELD_SIZE];
    char id[FIELD_SIZE];
    char outcome[FIELD_SIZE];
    char error[FIELD_SIZE];
    int64_t at_ms = 0;
    uint64_t latency_us = 0;
    uint64_t snapshot = 0;
    unsigned shards = 0;
    unsigned covered = 0;
    if (sscanf(line, "%" SCNd64 " %" SCNu64 " %159s %159s %159s %159s %" SCNu64 " %u %u", &at_ms,
               &latency_us, kind, id, outcome, error, &snapshot, &shards, &covered) != 9) {
        return;
    }
    run->begin_ms = run->begin_ms == 0 ? at_ms : run->begin_ms;
    second_t *second = get_second(run, at_ms);
    if (second == NULL) {
        return;
    }
    if (strcmp(outcome, "answered") != 0) {
        second->others++;
        return;
    }
    ts_histogram_t *histogram = g_hash_table_lookup(run->latencies, kind);
    if (histogram == NULL) {
        histogram = g_new0(ts_histogram_t, 1);
        g_hash_table_insert(run->latencies, g_strdup(kind), histogram);
    }
    ts_histogram_add(histogram, latency_us);
    second->answered++;
    second->coverage_sum += shards == 0 ? 0 : (double)covered / shards;
}

static void read_searcher_line(run_t *run, const char *line)
{
    char backend[FIELD_SIZE];
    char event[FIELD_SIZE];
    int64_t at_ms = 0;
    if (sscanf(line, "%" SCNd64 " %159s %159s", &at_ms, backend, event) == 3 &&
        strcmp(event, "run") == 0) {
        second_t *second = get_second(run, at_ms);
        if (second != NULL) {
            second->searcher_requests++;
        }
    }
}

static void read_file(run_t *run, const char *name, void (*read_line)(run_t *, const char *))
{
    char line[1024];
    char *path = g_build_filename(run->directory, name, NULL);
    FILE *file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        read_line(run, line);
    }
    if (file != NULL) {
        fclose(file);
    }
    g_free(path);
}

static void free_run(run_t *run)
{
    if (run != NULL) {
        json_decref(run->report);
        g_hash_table_destroy(run->latencies);
        g_free(run->directory);
        g_free(run);
    }
}

static run_t *read_run(const char *directory)
{
    run_t *run = g_new0(run_t, 1);
    run->directory = g_strdup(directory);
    run->latencies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    char *path = g_build_filename(directory, "report.json", NULL);
    run->report = json_load_file(path, 0, NULL);
    g_free(path);
    if (run->report == NULL) {
        fprintf(stderr,
                "%s: cannot read report.json; not an output directory of tealspar-lab run?\n",
                directory);
        free_run(run);
        return NULL;
    }
    read_file(run, "load.journal", read_caller_line);
    GDir *folder = g_dir_open(directory, 0, NULL);
    const char *name = NULL;
    while (folder != NULL && (name = g_dir_read_name(folder)) != NULL) {
        if (g_str_has_prefix(name, "searchers-") && g_str_has_suffix(name, ".journal")) {
            read_file(run, name, read_searcher_line);
        }
    }
    if (folder != NULL) {
        g_dir_close(folder);
    }
    return run;
}

static const char *get_text(const run_t *run, const char *key)
{
    const char *text = json_string_value(json_object_get(run->report, key));
    return text == NULL ? "" : text;
}

/* ---- drawing ---- */

static void begin_plot(GString *out, const char *title, const char *x_label, const char *y_label,
                       double y_max)
{
    g_string_append_printf(
        out,
        "<h3>%s</h3><svg viewBox='0 0 %.0f %.0f' width='%.0f'>"
        "<rect x='%.0f' y='10' width='%.0f' height='%.0f' fill='none' stroke='#999'/>"
        "<text x='%.0f' y='%.0f'>%s</text><text x='4' y='22'>%.4g</text>"
        "<text x='4' y='%.0f'>0</text><text x='4' y='%.0f'>%s</text>\n",
        title, PLOT_WIDTH, PLOT_HEIGHT + 30, PLOT_WIDTH, MARGIN, PLOT_WIDTH - MARGIN - 10,
        PLOT_HEIGHT - 20, PLOT_WIDTH / 2, PLOT_HEIGHT + 20, x_label, y_max, PLOT_HEIGHT - 10,
        PLOT_HEIGHT + 20, y_label);
}

static void add_line(GString *out, const GArray *points, const char *colour)
{
    g_string_append(out, "<polyline fill='none' stroke-width='1.5' stroke='");
    g_string_append_printf(out, "%s' points='", colour);
    for (guint i = 0; i + 1 < points->len; i += 2) {
        double x = MARGIN + g_array_index(points, double, i) * (PLOT_WIDTH - MARGIN - 10);
        double y = 10 + (1 - g_array_index(points, double, i + 1)) * (PLOT_HEIGHT - 20);
        g_string_append_printf(out, "%.1f,%.1f ", x, y);
    }
    g_string_append(out, "'/>\n");
}

static void add_point(GArray *points, double x, double y)
{
    g_array_append_val(points, x);
    g_array_append_val(points, y);
}

/* Plots the fraction of answers slower than a given latency, on two logarithmic axes. */
static void draw_latencies(GString *out, run_t **runs, unsigned count, const char *kind)
{
    static const double max_ms = 1000;
    static const double min_fraction = 1e-4;
    char *title = g_strdup_printf("%s: fraction of answers slower than", kind);
    begin_plot(out, title, "0.1 ms to 1 s, logarithmic", "fraction, 1 to 0.0001, logarithmic", 1);
    g_free(title);
    for (unsigned r = 0; r < count; r++) {
        const ts_histogram_t *histogram = g_hash_table_lookup(runs[r]->latencies, kind);
        GArray *points = g_array_new(FALSE, FALSE, sizeof(double));
        uint64_t seen = 0;
        for (uint32_t b = 0; histogram != NULL && b < TS_HISTOGRAM_BUCKETS; b++) {
            seen += histogram->buckets[b];
            if (histogram->buckets[b] == 0) {
                continue;
            }
            double ms = (double)ts_histogram_upper_us(b) / US_PER_MS_DOUBLE;
            double fraction = 1.0 - (double)seen / (double)histogram->total;
            double x = (log10(fmax(ms, 0.1)) + 1) / (log10(max_ms) + 1);
            double y = 1 - log10(fmax(fraction, min_fraction)) / log10(min_fraction);
            add_point(points, fmin(x, 1), y);
        }
        add_line(out, points, colours[r]);
        g_array_free(points, TRUE);
    }
    g_string_append(out, "</svg>\n");
}

static double answered_of(const second_t *second)
{
    return (double)second->answered;
}

static double others_of(const second_t *second)
{
    return (double)second->others;
}

static double requests_of(const second_t *second)
{
    return (double)second->searcher_requests;
}

static double coverage_of(const second_t *second)
{
    return second->answered == 0 ? 0 : second->coverage_sum / (double)second->answered;
}

static void draw_over_time(GString *out, run_t **runs, unsigned count, const char *title,
                           double (*value)(const second_t *second))
{
    double max = 0;
    unsigned longest = 1;
    for (unsigned r = 0; r < count; r++) {
        longest = MAX(longest, runs[r]->second_count);
        for (unsigned s = 0; s < runs[r]->second_count; s++) {
            max = fmax(max, value(&runs[r]->seconds[s]));
        }
    }
    char *x_label = g_strdup_printf("%u seconds", longest);
    begin_plot(out, title, x_label, "", max);
    g_free(x_label);
    for (unsigned r = 0; r < count; r++) {
        GArray *points = g_array_new(FALSE, FALSE, sizeof(double));
        for (unsigned s = 0; s < runs[r]->second_count; s++) {
            double y = max > 0 ? value(&runs[r]->seconds[s]) / max : 0;
            add_point(points, (double)s / longest, y);
        }
        add_line(out, points, colours[r]);
        g_array_free(points, TRUE);
    }
    g_string_append(out, "</svg>\n");
}

/* ---- the page ---- */

static void write_numbers(GString *out, const run_t *run, const char *colour)
{
    const char *kind = NULL;
    const json_t *row = NULL;
    g_string_append_printf(out,
                           "<h3 style='color:%s'>%s, %s, seed %lld</h3><table><tr><th>kind</th>"
                           "<th>sent</th><th>answered</th><th>p50 ms</th><th>p99 ms</th>"
                           "<th>p99.9 ms</th><th>coverage</th></tr>",
                           colour, get_text(run, "scenario"), get_text(run, "policy"),
                           (long long)json_integer_value(json_object_get(run->report, "seed")));
    json_object_foreach(json_object_get(run->report, "kinds"), kind, row)
    {
        g_string_append_printf(
            out,
            "<tr><td>%s</td><td>%lld</td><td>%lld</td><td>%.2f</td><td>%.2f</td><td>%.2f</td>"
            "<td>%.4f</td></tr>",
            kind, (long long)json_integer_value(json_object_get(row, "sent")),
            (long long)json_integer_value(json_object_get(row, "answered")),
            json_number_value(json_object_get(row, "p50_ms")),
            json_number_value(json_object_get(row, "p99_ms")),
            json_number_value(json_object_get(row, "p999_ms")),
            json_number_value(json_object_get(row, "coverage_mean")));
    }
    char *violations = json_dumps(json_object_get(run->report, "violations"), JSON_COMPACT);
    g_string_append_printf(out, "</table><p>extra load %.4f; violated guarantees %s</p>\n",
                           json_number_value(json_object_get(run->report, "extra_load")),
                           violations == NULL ? "{}" : violations);
    free(violations);
}

static char *write_page(run_t **runs, unsigned count)
{
    const char *kind = NULL;
    const json_t *row = NULL;
    g_assert(runs[0] != NULL);
    GString *out = g_string_new("<!doctype html><meta charset='utf-8'><title>tealspar runs</title>"
                                "<style>body{font:14px sans-serif;margin:2em;max-width:60em}"
                                "svg text{font-size:11px;fill:#555}td,th{padding:2px 10px;"
                                "text-align:right}</style><h1>tealspar runs</h1>\n");
    for (unsigned r = 0; r < count; r++) {
        write_numbers(out, runs[r], colours[r]);
    }
    json_object_foreach(json_object_get(runs[0]->report, "kinds"), kind, row)
    {
        draw_latencies(out, runs, count, kind);
    }
    draw_over_time(out, runs, count, "answers per second", answered_of);
    draw_over_time(out, runs, count, "refused, unknown or lost per second", others_of);
    draw_over_time(out, runs, count, "mean coverage", coverage_of);
    draw_over_time(out, runs, count, "searcher requests per second", requests_of);
    return g_string_free(out, FALSE);
}

static int write_report(const struct arg_file *directories, const char *path)
{
    run_t *runs[RUNS_MAX] = {NULL};
    unsigned count = (unsigned)CLAMP(directories->count, 1, (int)RUNS_MAX);
    bool are_read = true;
    for (unsigned i = 0; i < count; i++) {
        runs[i] = read_run(directories->filename[i]);
        are_read = are_read && runs[i] != NULL;
    }
    char *page = are_read ? write_page(runs, count) : NULL;
    for (unsigned i = 0; i < count; i++) {
        free_run(runs[i]);
    }
    if (page == NULL) {
        return TS_EXIT_USAGE;
    }
    bool is_written = g_file_set_contents(path, page, -1, NULL);
    g_free(page);
    if (!is_written) {
        fprintf(stderr, "cannot write %s\n", path);
        return TS_EXIT_FAILURE;
    }
    printf("%s\n", path);
    return TS_EXIT_OK;
}

static int run_report(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_file *directories =
        arg_filen(NULL, NULL, "DIR", 1, RUNS_MAX, "output directories of 'tealspar-lab run'");
    struct arg_file *out = arg_file0("o", "out", "FILE", "output file (DIR/report.html)");
    struct arg_end *end = arg_end(8);
    void *table[TABLE_SIZE] = {help, directories, out, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE, "write an HTML page that compares runs",
                         &exit_code)) {
        char *path = out->count > 0
                         ? g_strdup(out->filename[0])
                         : g_build_filename(directories->filename[0], "report.html", NULL);
        exit_code = write_report(directories, path);
        g_free(path);
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_report};
TS_REGISTER_PLUGIN(lab_command_report, TS_PLUGIN_COMMAND, "report", 5, &command,
                   "HTML page that compares runs")
