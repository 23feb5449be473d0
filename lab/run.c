/**
 * `tealspar-lab run SCENARIO`: starts a fleet of real processes, generates load, injects the faults
 * of the scenario, checks the guarantees against the journals of callers and searchers, and prints
 * the report as one JSON object on the last line.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "tealspar/command.h"
#include "tealspar/plugin.h"
#include "verdict.h"
#include "watch.h"

#define TABLE_SIZE 7
#define READY_SECONDS 30.0
#define LOAD_MARGIN_SECONDS 60.0
#define CONTROL_SECONDS 10.0
#define CONFIG_PROPAGATION_MAX_MS 13000.0
#define REPORT_DIGITS 6

static bool is_never_done(void *context)
{
    return false;
}

static bool is_load_over(void *context)
{
    return !((const lab_process_t *)context)->is_running;
}

/* ---- CPU time of the nodes ---- */

/* User and system CPU seconds of a running process; 0 if it no longer exists. */
static double read_cpu_seconds(int pid)
{
    char *path = g_strdup_printf("/proc/%d/stat", pid);
    char *text = NULL;
    unsigned long user = 0;
    unsigned long system = 0;
    bool is_read = g_file_get_contents(path, &text, NULL, NULL);
    const char *fields = is_read ? strrchr(text, ')') : NULL;
    if (fields == NULL || sscanf(fields, ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
                                 &user, &system) != 2) {
        user = 0;
        system = 0;
    }
    g_free(text);
    g_free(path);
    return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

static double sum_node_cpu(const lab_fleet_t *fleet)
{
    double sum = 0;
    for (guint i = 0; i < fleet->nodes->len; i++) {
        const lab_node_t *node = g_ptr_array_index(fleet->nodes, i);
        sum += node->process.is_running ? read_cpu_seconds(node->process.handle.pid) : 0;
    }
    return sum;
}

/* ---- the load generator as a process ---- */

static bool changes_reach(const lab_scenario_t *scenario)
{
    for (unsigned i = 0; i < scenario->faults_count; i++) {
        if (scenario->faults[i].type == LAB_FAULT_REPARTITION) {
            return true;
        }
    }
    return false;
}

static bool start_load(lab_fleet_t *fleet, lab_process_t *process)
{
    const lab_scenario_t *scenario = fleet->scenario;
    GPtrArray *arguments = g_ptr_array_new_with_free_func(g_free);
    /* The load generator uses the initial declarations throughout: a repartition moves shards
     * between backends but does not change the reach. */
    char *config = g_strdup_printf("%s/load-config.yaml", fleet->directory);
    g_file_set_contents(config, fleet->first_config, -1, NULL);
    g_ptr_array_add(arguments, g_strdup(fleet->lab_program));
    g_ptr_array_add(arguments, g_strdup("load"));
    g_ptr_array_add(arguments, g_strdup("--declarations"));
    g_ptr_array_add(arguments, config);
    g_ptr_array_add(arguments, g_strdup_printf("--seconds=%g", scenario->seconds));
    g_ptr_array_add(arguments, g_strdup_printf("--seed=%" PRIu64, fleet->seed));
    g_ptr_array_add(arguments, g_strdup_printf("--journal=%s/load.journal", fleet->directory));
    g_ptr_array_add(arguments, g_strdup_printf("--tries=%s/load-tries.journal", fleet->directory));
    if (changes_reach(scenario)) {
        g_ptr_array_add(arguments, g_strdup("--reach-changes"));
    }
    for (unsigned i = 0; i < scenario->load_count; i++) {
        g_ptr_array_add(arguments, g_strdup_printf("--kind=%s:%g", scenario->load[i].kind,
                                                   scenario->load[i].rate));
    }
    for (guint i = 0; i < fleet->nodes->len; i++) {
        const lab_node_t *node = g_ptr_array_index(fleet->nodes, i);
        g_ptr_array_add(arguments, g_strdup_printf("--node=%s/%s", node->callers, node->operators));
    }
    g_ptr_array_add(arguments, NULL);
    bool is_started = lab_fleet_spawn(fleet, process, (char **)arguments->pdata, "load.json", NULL);
    g_ptr_array_free(arguments, TRUE);
    return is_started;
}

/* ---- the report ---- */

static json_t *read_load_report(const lab_fleet_t *fleet)
{
    char *path = g_strdup_printf("%s/load.json", fleet->directory);
    json_t *report = json_load_file(path, 0, NULL);
    g_free(path);
    return report;
}

static void add_journal_checks(json_t *report, const lab_verdict_t *verdict)
{
    json_t *violations = json_object_get(report, "violations");
    json_object_set_new(violations, "ran_though_refused",
                        json_integer(verdict->ran_though_refused));
    json_object_set_new(violations, "ran_twice", json_integer(verdict->ran_twice));
    json_object_set_new(violations, "work_after_leave", json_integer(verdict->work_after_leave));
    json_object_set_new(violations, "cut_by_stop", json_integer(verdict->cut_by_stop));
    json_int_t needed = json_integer_value(json_object_get(report, "subrequests_needed"));
    double extra = needed == 0 ? 0 : (double)verdict->searcher_requests / (double)needed - 1.0;
    json_object_set_new(report, "extra_load", json_real(extra));
    json_object_set_new(report, "over_slots", json_integer((json_int_t)verdict->over_slots));
}

static void add_config_checks(json_t *report, const lab_watch_t *watch, const lab_fault_log_t *log)
{
    json_t *violations = json_object_get(report, "violations");
    unsigned late = 0;
    double spread_ms = lab_watch_propagation_ms(watch, log, CONFIG_PROPAGATION_MAX_MS, &late);
    json_object_set_new(violations, "config_reverted",
                        json_integer(lab_watch_count_reverted(watch)));
    json_object_set_new(violations, "config_late", json_integer(late));
    json_object_set_new(report, "config_spread_ms", json_real(spread_ms));
}

/* Valid only if no node was restarted: the CPU time of exited processes is not counted. */
static void add_cpu(json_t *report, const lab_verdict_t *verdict, double cpu_s)
{
    double per_core = cpu_s > 0 ? (double)verdict->searcher_requests / cpu_s : 0;
    json_object_set_new(report, "node_cpu_s", json_real(cpu_s));
    json_object_set_new(report, "searcher_requests_per_core_s", json_real(per_core));
}

static bool has_no_violations(const json_t *report)
{
    const char *key = NULL;
    const json_t *value = NULL;
    json_object_foreach(json_object_get(report, "violations"), key, value)
    {
        if (json_integer_value(value) != 0) {
            return false;
        }
    }
    return true;
}

static json_int_t get_count(const json_t *report, const char *key)
{
    return json_integer_value(json_object_get(report, key));
}

/* Whether the number of queries of a kind with outcome "unknown" is within the scenario's limit. */
static bool is_unknown_within_limit(const lab_scenario_t *scenario, const lab_scenario_kind_t *kind,
                                    const json_t *report)
{
    const json_t *row = json_object_get(json_object_get(report, "kinds"), kind->kind);
    json_int_t unknown = get_count(row, "unknown");
    if (kind->unknown_at_most == NULL || unknown <= *kind->unknown_at_most) {
        return true;
    }
    fprintf(stderr, "%s: of %lld queries of kind %s, %lld ended with outcome unknown; limit %d\n",
            scenario->name, (long long)get_count(row, "sent"), kind->kind, (long long)unknown,
            *kind->unknown_at_most);
    return false;
}

/* Checks the expectations of the scenario itself; prints each one that is not met. */
static bool meets_expectations(const lab_scenario_t *scenario, const json_t *report)
{
    json_int_t answered = get_count(report, "answered");
    json_int_t lost = get_count(report, "lost");
    json_int_t all = answered + lost + get_count(report, "refused") + get_count(report, "unknown");
    double percent = all == 0 ? 0 : 100.0 * (double)answered / (double)all;
    bool is_successful = true;
    if (scenario->lost_at_most != NULL && lost > *scenario->lost_at_most) {
        fprintf(stderr, "%s: %lld queries lost; limit %d\n", scenario->name, (long long)lost,
                *scenario->lost_at_most);
        is_successful = false;
    }
    if (percent < scenario->answered_at_least_percent) {
        fprintf(stderr, "%s: %.2f%% answered; required %g%%\n", scenario->name, percent,
                scenario->answered_at_least_percent);
        is_successful = false;
    }
    for (unsigned i = 0; i < scenario->load_count; i++) {
        is_successful &= is_unknown_within_limit(scenario, &scenario->load[i], report);
    }
    return is_successful;
}

static void add_run_name(json_t *report, const lab_fleet_t *fleet)
{
    json_object_set_new(report, "scenario", json_string(fleet->scenario->name));
    json_object_set_new(report, "seed", json_integer((json_int_t)fleet->seed));
    json_object_set_new(report, "policy", json_string(fleet->policy));
}

static void write_report(const lab_fleet_t *fleet, const json_t *report)
{
    char *path = g_strdup_printf("%s/report.json", fleet->directory);
    json_dump_file(report, path, JSON_INDENT(2) | JSON_REAL_PRECISION(REPORT_DIGITS));
    g_free(path);
    json_dumpf(report, stdout, JSON_COMPACT | JSON_REAL_PRECISION(REPORT_DIGITS));
    printf("\n");
}

/* ---- the run ---- */

static void interrupt_run(uv_signal_t *handle, int number)
{
    ((lab_fleet_t *)handle->data)->is_interrupted = true;
}

static void watch_signals(lab_fleet_t *fleet)
{
    static uv_signal_t handles[2];
    static const int numbers[2] = {SIGTERM, SIGINT};
    for (int i = 0; i < 2; i++) {
        uv_signal_init(fleet->loop, &handles[i]);
        handles[i].data = fleet;
        uv_signal_start(&handles[i], interrupt_run, numbers[i]);
    }
}

/* Kills the load generator if it does not exit in time. */
static bool await_load(lab_fleet_t *fleet, lab_process_t *load)
{
    double bound = fleet->scenario->seconds + LOAD_MARGIN_SECONDS;
    if (lab_run_until(fleet, is_load_over, load, bound))
        return load->exit_status == 0;
    uv_process_kill(&load->handle, SIGKILL);
    fleet->is_interrupted = false;
    lab_run_until(fleet, is_load_over, load, LOAD_MARGIN_SECONDS);
    return false;
}

static bool run_load(lab_fleet_t *fleet, lab_fault_log_t *log)
{
    lab_process_t load = {.name = "load"};
    if (!start_load(fleet, &load)) {
        return false;
    }
    lab_faults_t *faults = lab_faults_schedule(fleet, log);
    bool is_successful = await_load(fleet, &load);
    /* A fault while the nodes stop would change how their stops are judged: a node started then
     * receives no SIGTERM, one paused then exits late, a kill then hides a failed exit. */
    lab_faults_end(faults);
    lab_run_until(fleet, lab_faults_have_ended, faults, CONTROL_SECONDS);
    return is_successful;
}

static int run_fleet(lab_fleet_t *fleet)
{
    lab_fault_log_t log = {g_array_new(FALSE, FALSE, sizeof(lab_published_t)),
                           g_array_new(FALSE, FALSE, sizeof(int64_t)),
                           g_array_new(FALSE, FALSE, sizeof(lab_disturbance_t))};
    lab_verdict_t verdict;
    watch_signals(fleet);
    if (!lab_fleet_start(fleet)) {
        lab_fleet_stop(fleet);
        return TS_EXIT_FAILURE;
    }
    double cpu_before = 0;
    lab_watch_t *watch = lab_watch_start(fleet);
    bool is_successful = lab_run_until(fleet, lab_watch_all_ready, watch, READY_SECONDS);
    if (!is_successful) {
        fprintf(stderr, "not all nodes became ready within %g s; logs are in %s\n", READY_SECONDS,
                fleet->directory);
    } else {
        lab_run_until(fleet, is_never_done, NULL, fleet->scenario->settle_s);
        cpu_before = sum_node_cpu(fleet);
        is_successful = run_load(fleet, &log);
    }
    double cpu_s = sum_node_cpu(fleet) - cpu_before;
    json_t *report = is_successful ? read_load_report(fleet) : NULL;
    if (report != NULL) {
        add_config_checks(report, watch, &log);
    }
    /* A node that has just been restarted or resumed is stopped only once it answers again;
     * interrupting the start-up is covered by separate tests. */
    lab_watch_discard_replies(watch);
    lab_run_until(fleet, lab_watch_all_responsive, watch, READY_SECONDS);
    lab_watch_stop(watch);
    unsigned failed = lab_fleet_stop(fleet);
    if (report == NULL) {
        fprintf(stderr, "no report from the load generator; logs are in %s\n", fleet->directory);
        return TS_EXIT_FAILURE;
    }
    lab_verdict_read(&verdict, fleet->directory, &log);
    add_journal_checks(report, &verdict);
    add_cpu(report, &verdict, cpu_s);
    add_run_name(report, fleet);
    json_object_set_new(report, "nodes_failed_to_stop", json_integer(failed));
    bool has_passed =
        has_no_violations(report) && meets_expectations(fleet->scenario, report) && failed == 0;
    write_report(fleet, report);
    json_decref(report);
    return has_passed ? TS_EXIT_OK : TS_EXIT_FAILURE;
}

static lab_scenario_t *load_scenario(const char *path)
{
    size_t length = 0;
    ts_problems_t problems;
    char *text = ts_command_read_file(path, &length);
    if (text == NULL) {
        return NULL;
    }
    ts_problems_init(&problems);
    lab_scenario_t *scenario = lab_scenario_load(text, length, &problems);
    if (scenario == NULL) {
        ts_problems_print(&problems, path);
    }
    ts_problems_clear(&problems);
    g_free(text);
    return scenario;
}

static int run_scenario(const char *path, const char *policy, const char *directory, uint64_t seed,
                        double seconds)
{
    lab_scenario_t *scenario = load_scenario(path);
    if (scenario == NULL) {
        return TS_EXIT_USAGE;
    }
    if (seconds > 0) {
        scenario->seconds = seconds;
    }
    char *own_policy = scenario->policy == NULL ? "adaptive" : scenario->policy;
    lab_fleet_t fleet = {.loop = uv_default_loop(),
                         .scenario = scenario,
                         .policy = policy == NULL ? own_policy : policy,
                         .directory = directory,
                         .seed = seed};
    char *folder = g_path_get_dirname(path);
    char *declarations = g_build_filename(folder, scenario->declarations, NULL);
    bool is_prepared = lab_fleet_prepare(&fleet, declarations) && lab_faults_check(&fleet);
    g_free(declarations);
    g_free(folder);
    return is_prepared ? run_fleet(&fleet) : TS_EXIT_USAGE;
}

static int run_run(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_file *file = arg_file1(NULL, NULL, "SCENARIO", "scenario (YAML)");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed (1)");
    struct arg_file *out =
        arg_file0(NULL, "out", "DIR", "output directory (lab-out/SCENARIO-SEED)");
    struct arg_str *policy = arg_str0(NULL, "policy", "NAME", "overrides the scenario's policy");
    struct arg_dbl *seconds =
        arg_dbl0(NULL, "seconds", "S", "duration of the load, overrides the scenario's");
    struct arg_end *end = arg_end(8);
    void *table[TABLE_SIZE] = {help, file, seed, out, policy, seconds, end};
    int exit_code = TS_EXIT_OK;
    signal(SIGPIPE, SIG_IGN);
    if (ts_command_parse(argc, argv, table, TABLE_SIZE,
                         "run a scenario; exit status 0: all guarantees and expectations met, "
                         "1: a violation or failure, 2: usage error",
                         &exit_code)) {
        char *directory = out->count > 0 ? g_strdup(out->filename[0])
                                         : g_strdup_printf("lab-out/%s-%d", file->basename[0],
                                                           seed->count > 0 ? seed->ival[0] : 1);
        exit_code = run_scenario(file->filename[0], policy->count > 0 ? policy->sval[0] : NULL,
                                 directory, seed->count > 0 ? (uint64_t)seed->ival[0] : 1,
                                 seconds->count > 0 ? seconds->dval[0] : 0);
        g_free(directory);
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_run};
TS_REGISTER_PLUGIN(lab_command_run, TS_PLUGIN_COMMAND, "run", 4, &command,
                   "run a scenario and check all guarantees")
