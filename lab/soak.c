/** `tealspar-lab soak`: runs real gateways under random faults; prints a JSON report last. */
#include "soak.h"

#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "tealspar/command.h"
#include "tealspar/log.h"
#include "tealspar/plugin.h"

#define TABLE_SIZE 11
#define ERRORS_MAX 8
#define SECONDS_DEFAULT 60
#define NODES_DEFAULT 5
#define STOP_WAIT_MS 8000
// Time limit for the last faults to end, and for the responses of the recovery check.
#define SETTLE_TIMEOUT_MS 8000
// Time that gateways may need to recover after the last fault.
#define RECOVERY_TIME_MS 12000
#define RECOVERY_REQUESTS 100
#define RECOVERY_MIN_SHARE 0.98
#define POLL_MS 100
#define REPORT_DIGITS 4
#define RETRY_RATIO 0.2
#define RETRY_SLACK 60
#define WINDOW_US (10 * TS_US_PER_S)

static unsigned recovery_successes;
static unsigned recovery_responses;

void soak_log(soak_t *s, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    fprintf(s->timeline, "%9.3f ", (double)(ts_clock_now_us() - s->started_us) / TS_US_PER_S);
    vfprintf(s->timeline, format, arguments);
    fprintf(s->timeline, "\n");
    fflush(s->timeline);
    va_end(arguments);
}

void soak_report_violation(soak_t *s, const char *guarantee, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    s->violations++;
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(s->violations_by_guarantee, guarantee)) + 1;
    g_hash_table_insert(s->violations_by_guarantee, g_strdup(guarantee), GUINT_TO_POINTER(count));
    soak_log(s, "BROKEN %s: %s", guarantee, text);
    fprintf(stderr, "BROKEN %s: %s\n", guarantee, text);
    g_free(text);
}

static void stop_loop(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

// SIGTERM or SIGINT: kills the gateways and exits as failed.
static void handle_signal(uv_signal_t *handle, int number)
{
    soak_t *s = handle->data;
    soak_report_violation(s, "HARNESS", "interrupted by signal %d", number);
    for (unsigned i = 0; i < s->options.nodes; i++)
        soak_node_signal(&s->nodes[i], SIGKILL);
    uv_run(&s->loop, UV_RUN_NOWAIT);
    exit(TS_EXIT_FAILURE);
}

static void watch_signals(soak_t *s)
{
    static uv_signal_t handles[2];
    static const int numbers[] = {SIGTERM, SIGINT};
    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        uv_signal_init(&s->loop, &handles[i]);
        handles[i].data = s;
        uv_signal_start(&handles[i], handle_signal, numbers[i]);
    }
}

static void run_loop(soak_t *s, uint64_t span_ms)
{
    uv_timer_t timer;
    uv_timer_init(&s->loop, &timer);
    uv_timer_start(&timer, stop_loop, span_ms, 0);
    uv_run(&s->loop, UV_RUN_DEFAULT);
    uv_close((uv_handle_t *)&timer, NULL);
    uv_run(&s->loop, UV_RUN_NOWAIT);
}

// Waits until all nodes run and no fault of a node, a node's link or the store is in effect.
static bool await_faults_ended(soak_t *s)
{
    for (unsigned waited = 0; waited < SETTLE_TIMEOUT_MS; waited += POLL_MS) {
        bool without_faults = s->store_faults == 0;
        for (unsigned i = 0; i < s->options.nodes; i++) {
            const soak_node_t *node = &s->nodes[i];
            without_faults &= node->is_running && node->active_faults == 0 && !node->is_stopping;
        }
        if (without_faults)
            return true;
        run_loop(s, POLL_MS);
    }
    return false;
}

static void count_recovery_response(soak_t *s, unsigned status)
{
    recovery_responses++;
    recovery_successes += status == 200;
}

// Checks that all gateways serve again after the faults have ended.
static void check_recovery(soak_t *s)
{
    if (!await_faults_ended(s)) {
        soak_report_violation(s, "HARNESS", "faults did not end");
        return;
    }
    run_loop(s, RECOVERY_TIME_MS);
    for (unsigned i = 0; i < RECOVERY_REQUESTS; i++) {
        soak_send_request(s, &s->nodes[i % s->options.nodes], count_recovery_response);
        run_loop(s, POLL_MS / 5);
    }
    for (unsigned waited = 0; waited < SETTLE_TIMEOUT_MS && recovery_responses < RECOVERY_REQUESTS;
         waited += POLL_MS)
        run_loop(s, POLL_MS);
    if (recovery_successes < RECOVERY_MIN_SHARE * RECOVERY_REQUESTS)
        soak_report_violation(s, "RECOVER", "%u of %d requests served after the faults",
                              recovery_successes, RECOVERY_REQUESTS);
}

static void check_budgets(soak_t *s)
{
    for (unsigned i = 0; i < SOAK_SERVICES; i++) {
        double excess = soak_budget_excess(&s->budgets[i], WINDOW_US, RETRY_RATIO, RETRY_SLACK);
        if (excess > 0)
            soak_report_violation(s, "BUDGET",
                                  "service %s got %.0f arrivals too many in ten seconds",
                                  soak_service_name(i), excess);
    }
}

// Stops the gateways started by this soak; kills those that do not stop in time.
static void stop_nodes(soak_t *s)
{
    for (unsigned i = 0; i < s->options.nodes; i++)
        soak_node_signal(&s->nodes[i], SIGTERM);
    for (unsigned waited = 0; waited < STOP_WAIT_MS; waited += POLL_MS) {
        unsigned running = 0;
        for (unsigned i = 0; i < s->options.nodes; i++)
            running += s->nodes[i].is_running;
        if (running == 0)
            return;
        run_loop(s, POLL_MS);
    }
    for (unsigned i = 0; i < s->options.nodes; i++) {
        if (s->nodes[i].is_running)
            soak_report_violation(s, "STOP", "%s did not stop", s->nodes[i].name);
        soak_node_signal(&s->nodes[i], SIGKILL);
    }
    run_loop(s, POLL_MS);
}

static gint compare_times(gconstpointer left, gconstpointer right)
{
    const ts_time_us_t a = *(const ts_time_us_t *)left;
    const ts_time_us_t b = *(const ts_time_us_t *)right;
    return (a > b) - (a < b);
}

// Quantile `share` of the latencies in milliseconds; they must be sorted.
static double latency_ms(const soak_t *s, double share)
{
    guint n = s->latencies->len;
    guint index = n == 0 ? 0 : MIN((guint)(share * n), n - 1);
    return n == 0 ? 0 : (double)g_array_index(s->latencies, ts_time_us_t, index) / TS_US_PER_MS;
}

static void print_report(const soak_t *s)
{
    GHashTableIter it;
    gpointer guarantee = NULL;
    gpointer count = NULL;
    json_t *violations_by_guarantee = json_object();
    g_hash_table_iter_init(&it, s->violations_by_guarantee);
    while (g_hash_table_iter_next(&it, &guarantee, &count))
        json_object_set_new(violations_by_guarantee, guarantee,
                            json_integer(GPOINTER_TO_UINT(count)));
    json_t *report =
        json_pack("{s:I, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:o}", "seed",
                  (json_int_t)s->options.seed, "seconds", (int)s->options.seconds, "gateways",
                  (int)s->options.nodes, "faults", (int)s->faults_begun, "versions",
                  (int)s->version, "searchers", (int)s->searchers_created, "requests",
                  (int)s->requests_sent, "ok", (int)s->responses[2], "refused_or_failed",
                  (int)s->responses[5], "no_answer", (int)s->responses[0], "promises_broken",
                  (int)s->violations, "broken", violations_by_guarantee);
    json_object_set_new(report, "fatal_requests", json_integer(s->fatal_requests));
    json_object_set_new(report, "ended_under_one", json_integer(s->max_crashes_per_fatal));
    json_object_set_new(report, "kept_requests", json_integer(s->kept_requests));
    json_object_set_new(report, "kept_ok", json_integer(s->kept_responses[2]));
    json_object_set_new(report, "kept_refused_or_failed", json_integer(s->kept_responses[5]));
    json_object_set_new(report, "kept_no_answer", json_integer(s->kept_responses[0]));
    g_array_sort(s->latencies, compare_times);
    json_object_set_new(report, "p50_ms", json_real(latency_ms(s, 0.5)));
    json_object_set_new(report, "p99_ms", json_real(latency_ms(s, 0.99)));
    char *text = json_dumps(report, JSON_COMPACT | JSON_REAL_PRECISION(REPORT_DIGITS));
    printf("%s\n", text);
    g_free(text);
    json_decref(report);
}

static bool open_timeline(soak_t *s)
{
    char *path = g_strdup_printf("%s/timeline.log", s->options.directory);
    g_mkdir_with_parents(s->options.directory, 0755);
    s->timeline = fopen(path, "w");
    if (s->timeline == NULL)
        fprintf(stderr, "soak: cannot write %s\n", path);
    g_free(path);
    return s->timeline != NULL;
}

static int run_soak(const soak_options_t *options)
{
    static soak_t s;
    s.options = *options;
    s.random = g_rand_new_with_seed((guint32)(options->seed ^ options->seed >> 32));
    s.request_records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s.instances = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s.violations_by_guarantee = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s.limited_runs = g_array_new(FALSE, FALSE, sizeof(ts_time_us_t));
    s.latencies = g_array_new(FALSE, FALSE, sizeof(ts_time_us_t));
    s.started_us = ts_clock_now_us();
    signal(SIGPIPE, SIG_IGN);
    ts_log_open("soak", TS_LOG_TEXT, G_LOG_LEVEL_CRITICAL);
    uv_loop_init(&s.loop);
    watch_signals(&s);
    if (!open_timeline(&s) || !soak_world_open(&s)) {
        fprintf(stderr, "soak: set-up failed\n");
        return TS_EXIT_USAGE;
    }
    run_loop(&s, RECOVERY_TIME_MS / 4);
    soak_callers_start(&s);
    soak_kept_clients_start(&s);
    if (!options->without_faults)
        soak_faults_start(&s);
    run_loop(&s, (uint64_t)options->seconds * 1000);
    s.is_load_ended = true;
    check_recovery(&s);
    check_budgets(&s);
    soak_check_quota(&s);
    stop_nodes(&s);
    print_report(&s);
    fclose(s.timeline);
    return s.violations == 0 ? TS_EXIT_OK : TS_EXIT_FAILURE;
}

static int run(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_int *seconds =
        arg_int0(NULL, "seconds", "N", "duration of the faults in seconds (60)");
    struct arg_str *seed = arg_str0(NULL, "seed", "N", "seed of requests and faults (random)");
    struct arg_int *nodes = arg_int0(NULL, "gateways", "N", "number of gateways, 3 to 8 (5)");
    struct arg_file *program = arg_file1(NULL, "program", "FILE", "the program tealspar");
    struct arg_file *skewed =
        arg_file0(NULL, "skewed-program", "FILE", "build of tealspar with a skewed wall clock");
    struct arg_file *directory = arg_file1(NULL, "directory", "DIR", "for logs and the timeline");
    struct arg_lit *calm = arg_lit0(NULL, "calm", "no faults");
    struct arg_lit *plant = arg_lit0(NULL, "plant", "simulate bugs that the checks must detect");
    struct arg_lit *stalled = arg_lit0(NULL, "stalled-logs", "never read the gateways' log output");
    struct arg_end *end = arg_end(ERRORS_MAX);
    void *table[TABLE_SIZE] = {help,      seconds, seed,  nodes,   program, skewed,
                               directory, calm,    plant, stalled, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE, "gateways under random faults",
                         &exit_code)) {
        soak_options_t options = {
            .seconds = seconds->count > 0 ? (unsigned)seconds->ival[0] : SECONDS_DEFAULT,
            .seed = seed->count > 0 ? g_ascii_strtoull(seed->sval[0], NULL, 10) : g_random_int(),
            .nodes = nodes->count > 0 ? (unsigned)CLAMP(nodes->ival[0], 3, SOAK_NODES_MAX)
                                      : NODES_DEFAULT,
            .program = program->filename[0],
            .skewed_program = skewed->count > 0 ? skewed->filename[0] : NULL,
            .directory = directory->filename[0],
            .without_faults = calm->count > 0,
            .simulates_bugs = plant->count > 0,
            .is_log_stalled = stalled->count > 0};
        exit_code = run_soak(&options);
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run};
TS_REGISTER_PLUGIN(lab_command_soak, TS_PLUGIN_COMMAND, "soak", 9, &command,
                   "gateways as processes under random faults")
