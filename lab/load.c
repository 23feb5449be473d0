/**
 * `tealspar-lab load`: an open-loop load generator. Arrivals follow a Poisson process and do not
 * wait for answers. Latency is counted from the scheduled arrival time, which avoids coordinated
 * omission. Every answer is checked against the test oracle (load_check.h).
 */
#include "load.h"

#include <gsl/gsl_randist.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "tealspar/command.h"
#include "tealspar/declarations_file.h"
#include "tealspar/plugin.h"

#define TABLE_SIZE 10
#define NODES_MAX 200
#define KINDS_MAX 20
#define CONNECTIONS_PER_NODE 512
#define HEALTH_PERIOD_MS 200
#define US_PER_MS_DOUBLE 1000.0
#define NS_PER_US 1000
#define REPORT_DIGITS 6
#define QUANTILE_MEDIAN 0.5
#define QUANTILE_99 0.99
#define QUANTILE_999 0.999

/* ---- arrivals ---- */

static int arrivals_fd;

static void schedule_next_arrival(const lab_load_t *load, lab_load_kind_t *kind)
{
    double gap_s = gsl_ran_exponential(load->random, 1.0 / kind->rate);
    kind->next_us += (ts_time_us_t)(gap_s * (double)TS_US_PER_S);
}

static void arm_arrival_timer(const lab_load_t *load)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t due_us = load->ends_us;
    for (guint i = 0; i < load->kinds->len; i++) {
        const lab_load_kind_t *kind = g_ptr_array_index(load->kinds, i);
        due_us = MIN(due_us, kind->next_us);
    }
    ts_time_us_t left_us = due_us > now_us ? due_us - now_us : 1;
    struct itimerspec when = {0};
    when.it_value.tv_sec = (time_t)(left_us / TS_US_PER_S);
    when.it_value.tv_nsec = (long)(left_us % TS_US_PER_S * NS_PER_US);
    timerfd_settime(arrivals_fd, 0, &when, NULL);
}

static void send_due(uv_poll_t *poll, int status, int events)
{
    lab_load_t *load = poll->data;
    uint64_t expirations = 0;
    ssize_t got = read(arrivals_fd, &expirations, sizeof(expirations));
    ts_time_us_t now_us = ts_clock_now_us();
    if (got < 0 || now_us >= load->ends_us) {
        load->has_arrivals_ended = now_us >= load->ends_us;
        uv_poll_stop(poll);
        return;
    }
    for (guint i = 0; i < load->kinds->len; i++) {
        lab_load_kind_t *kind = g_ptr_array_index(load->kinds, i);
        while (kind->next_us <= now_us) {
            lab_load_send(load, kind, kind->next_us);
            schedule_next_arrival(load, kind);
        }
    }
    arm_arrival_timer(load);
}

/* ---- health ---- */

static void handle_health_result(void *context, const ts_http_result_t *result)
{
    lab_load_node_t *node = context;
    node->is_checking = false;
    node->is_ready = result->error == TS_OK && result->status == 200;
}

static void check_nodes(uv_timer_t *timer)
{
    lab_load_t *load = timer->data;
    if (load->has_arrivals_ended && load->outstanding == 0) {
        uv_stop(load->loop);
        return;
    }
    for (guint i = 0; i < load->nodes->len; i++) {
        lab_load_node_t *node = g_ptr_array_index(load->nodes, i);
        if (!node->is_checking) {
            ts_http_client_request_t send = {"GET", "/health/ready", NULL, NULL, 0};
            node->is_checking = true;
            ts_http_call(node->health_pool, &send, handle_health_result, node);
        }
    }
}

/* ---- report ---- */

static double quantile_ms(const ts_histogram_t *histogram, double quantile)
{
    return (double)ts_histogram_quantile(histogram, quantile) / US_PER_MS_DOUBLE;
}

static json_t *report_kind(const lab_load_kind_t *kind)
{
    return json_pack("{s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f}", "sent",
                     (json_int_t)kind->sent, "answered", (json_int_t)kind->answered, "refused",
                     (json_int_t)kind->refused, "unknown", (json_int_t)kind->unknown, "lost",
                     (json_int_t)kind->lost, "p50_ms",
                     quantile_ms(&kind->latencies, QUANTILE_MEDIAN), "p99_ms",
                     quantile_ms(&kind->latencies, QUANTILE_99), "p999_ms",
                     quantile_ms(&kind->latencies, QUANTILE_999), "coverage_mean",
                     kind->answered == 0 ? 0.0 : kind->coverage_sum / (double)kind->answered);
}

json_t *lab_load_report(const lab_load_t *load)
{
    json_t *kinds = json_object();
    uint64_t totals[5] = {0};
    double coverage_sum = 0;
    double coverage_min = 1;
    uint64_t needed = 0;
    for (guint i = 0; i < load->kinds->len; i++) {
        const lab_load_kind_t *kind = g_ptr_array_index(load->kinds, i);
        json_object_set_new(kinds, kind->name, report_kind(kind));
        totals[0] += kind->answered;
        totals[1] += kind->refused;
        totals[2] += kind->unknown;
        totals[3] += kind->lost;
        totals[4] += kind->correct_coverage;
        coverage_sum += kind->coverage_sum;
        coverage_min = MIN(coverage_min, kind->coverage_min);
        needed += (kind->sent - kind->refused) *
                  (kind->selector->route == TS_ROUTE_KEY ? 1 : kind->selector->reach_count);
    }
    double mean = totals[0] == 0 ? 0 : coverage_sum / (double)totals[0];
    json_t *coverage =
        json_pack("{s:f, s:f, s:I, s:I}", "mean", mean, "min", totals[0] == 0 ? 0.0 : coverage_min,
                  "true_claims", (json_int_t)totals[4], "false_claims",
                  (json_int_t)load->violations.false_coverage);
    json_t *violations =
        json_pack("{s:I, s:I, s:I}", "mixed_snapshot", (json_int_t)load->violations.mixed_snapshot,
                  "false_coverage", (json_int_t)load->violations.false_coverage, "wrong_answer",
                  (json_int_t)load->violations.wrong_answer);
    return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o, s:o}", "answered",
                     (json_int_t)totals[0], "refused", (json_int_t)totals[1], "unknown",
                     (json_int_t)totals[2], "lost", (json_int_t)totals[3], "repeats",
                     (json_int_t)load->repeats, "subrequests_needed", (json_int_t)needed, "kinds",
                     kinds, "coverage", coverage, "violations", violations);
}

/* ---- the command ---- */

static bool add_node(lab_load_t *load, const char *text)
{
    char **parts = g_strsplit(text, "/", 2);
    lab_load_node_t *node = g_new0(lab_load_node_t, 1);
    node->callers_address = g_strdup(parts[0]);
    node->operators_address = g_strdup(parts[0] == NULL ? NULL : parts[1]);
    g_strfreev(parts);
    bool is_valid =
        node->callers_address != NULL && node->operators_address != NULL &&
        ts_http_pool_open(&node->query_pool, load->loop, node->callers_address,
                          CONNECTIONS_PER_NODE) == TS_OK &&
        ts_http_pool_open(&node->health_pool, load->loop, node->operators_address, 2) == TS_OK;
    if (!is_valid) {
        fprintf(stderr, "--node %s: expected IP:PORT/IP:PORT\n", text);
    }
    node->is_ready = true;
    g_ptr_array_add(load->nodes, node);
    return is_valid;
}

static bool add_kind(lab_load_t *load, const char *text)
{
    char **parts = g_strsplit(text, ":", 2);
    lab_load_kind_t *kind = g_new0(lab_load_kind_t, 1);
    kind->name = g_strdup(parts[0]);
    kind->rate = parts[0] != NULL && parts[1] != NULL ? g_ascii_strtod(parts[1], NULL) : 0;
    kind->selector = ts_declarations_selector(load->declarations, kind->name);
    kind->coverage_min = 1;
    kind->next_us = load->started_us;
    g_ptr_array_add(load->kinds, kind);
    g_strfreev(parts);
    if (kind->selector == NULL || kind->rate <= 0) {
        fprintf(stderr, "--kind %s: expected KIND:RATE with a declared kind and a rate above 0\n",
                text);
        return false;
    }
    schedule_next_arrival(load, kind);
    return true;
}

static void run_generator(lab_load_t *load)
{
    uv_poll_t poll;
    uv_timer_t health;
    signal(SIGPIPE, SIG_IGN);
    arrivals_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    uv_poll_init(load->loop, &poll, arrivals_fd);
    poll.data = load;
    uv_poll_start(&poll, UV_READABLE, send_due);
    uv_timer_init(load->loop, &health);
    health.data = load;
    uv_timer_start(&health, check_nodes, 0, HEALTH_PERIOD_MS);
    arm_arrival_timer(load);
    uv_run(load->loop, UV_RUN_DEFAULT);
}

static bool prepare(lab_load_t *load, const char *path, const struct arg_str *nodes,
                    const struct arg_str *kinds)
{
    load->declarations = ts_declarations_load_file(path);
    if (load->declarations == NULL) {
        return false;
    }
    bool is_valid = true;
    for (int i = 0; i < nodes->count; i++) {
        is_valid &= add_node(load, nodes->sval[i]);
    }
    for (int i = 0; i < kinds->count; i++) {
        is_valid &= add_kind(load, kinds->sval[i]);
    }
    return is_valid;
}

static int run_load(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_file *file = arg_file1("d", "declarations", "FILE", "declarations in effect");
    struct arg_str *nodes = arg_strn("a", "node", "CALLERS/OPERATORS", 1, NODES_MAX,
                                     "a node's two addresses, IP:PORT/IP:PORT");
    struct arg_str *kinds = arg_strn("k", "kind", "KIND:RATE", 1, KINDS_MAX, "queries per second");
    struct arg_dbl *seconds = arg_dbl1("t", "seconds", "S", "duration of the arrivals");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed (1)");
    struct arg_file *out = arg_file0(NULL, "journal", "FILE", "write one line per query");
    struct arg_file *tries =
        arg_file0(NULL, "tries", "FILE", "write one line per attempt of an unrepeatable query");
    struct arg_lit *reach_changes =
        arg_lit0(NULL, "reach-changes", "the declared reach changes during the run");
    struct arg_end *end = arg_end(8);
    void *table[TABLE_SIZE] = {help, file, nodes, kinds,         seconds,
                               seed, out,  tries, reach_changes, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE,
                         "send queries at a fixed mean rate, check every answer, print a report",
                         &exit_code)) {
        lab_load_t load = {.loop = uv_default_loop(),
                           .kinds = g_ptr_array_new(),
                           .nodes = g_ptr_array_new(),
                           .check_reach = reach_changes->count == 0,
                           .seed = seed->count > 0 ? (uint64_t)seed->ival[0] : 1};
        load.random = gsl_rng_alloc(gsl_rng_taus2);
        gsl_rng_set(load.random, load.seed);
        load.started_us = ts_clock_now_us();
        load.ends_us = load.started_us + (ts_time_us_t)(seconds->dval[0] * (double)TS_US_PER_S);
        load.journal = out->count > 0 ? fopen(out->filename[0], "w") : NULL;
        load.tries = tries->count > 0 ? fopen(tries->filename[0], "w") : NULL;
        exit_code = TS_EXIT_USAGE;
        if (prepare(&load, file->filename[0], nodes, kinds)) {
            run_generator(&load);
            json_t *report = lab_load_report(&load);
            json_dumpf(report, stdout, JSON_INDENT(2) | JSON_REAL_PRECISION(REPORT_DIGITS));
            printf("\n");
            json_decref(report);
            exit_code = TS_EXIT_OK;
        }
        if (load.journal != NULL) {
            fclose(load.journal);
        }
        if (load.tries != NULL)
            fclose(load.tries);
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_load};
TS_REGISTER_PLUGIN(lab_command_load, TS_PLUGIN_COMMAND, "load", 3, &command,
                   "open-loop load generator that checks every answer")
