/**
 * `tealspar-lab hollow`: measures traffic, CPU, memory and propagation times of the control plane
 * by fleet size, with the production membership code of all nodes in one process on a virtual
 * clock.
 */
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "hollow.h"
#include "tealspar/command.h"
#include "tealspar/plugin.h"

#define TABLE_SIZE 8
#define JOIN_MS_MAX 120000U
#define STEP_MS 100U
#define WAIT_MS_MAX 60000U
#define PAUSE_MS 900U
#define REPORT_DIGITS 5

static double cpu_seconds(void)
{
    return (double)clock() / CLOCKS_PER_SEC;
}

/* Kills a node; returns the virtual milliseconds until all running nodes see it as dead. */
static double measure_death_detection_ms(lab_hollow_t *fleet, unsigned node)
{
    lab_hollow_kill(fleet, node);
    unsigned waited = 0;
    while (waited < WAIT_MS_MAX &&
           lab_hollow_count_seeing(fleet, node, TS_MEMBER_DEAD) < lab_hollow_count_running(fleet)) {
        lab_hollow_advance(fleet, STEP_MS);
        waited += STEP_MS;
    }
    return waited;
}

/* Virtual milliseconds until a new configuration version has reached all running nodes. */
static double measure_config_propagation_ms(lab_hollow_t *fleet, uint64_t version)
{
    lab_hollow_set_config_version(fleet, 0, version);
    unsigned waited = 0;
    while (waited < WAIT_MS_MAX &&
           lab_hollow_count_configured(fleet, version) < lab_hollow_count_running(fleet)) {
        lab_hollow_advance(fleet, STEP_MS / 10);
        waited += STEP_MS / 10;
    }
    return waited;
}

/* Virtual milliseconds until the membership views of a new fleet have converged. */
static double measure_join_ms(lab_hollow_t *fleet)
{
    unsigned waited = 0;
    while (waited < JOIN_MS_MAX && !lab_hollow_is_converged(fleet)) {
        lab_hollow_advance(fleet, STEP_MS);
        waited += STEP_MS;
    }
    return waited;
}

/*
 * With `has_pauses`, suspends one node of every hundred every 10 s for PAUSE_MS, which is below the
 * limit from which membership treats itself as stalled.
 */
static void run_with_pauses(lab_hollow_t *fleet, unsigned nodes, unsigned seconds, bool has_pauses)
{
    for (unsigned second = 0; second < seconds; second++) {
        for (unsigned i = 0; has_pauses && i < nodes; i += 100) {
            if ((second + i / 100) % 10 == 0) {
                lab_hollow_pause(fleet, (i + second) % nodes, PAUSE_MS);
            }
        }
        lab_hollow_advance(fleet, 1000);
    }
}

static json_t *measure(const lab_hollow_config_t *config, unsigned seconds, bool has_pauses)
{
    size_t heap_before = mallinfo2().uordblks;
    lab_hollow_t *fleet = lab_hollow_create(config);
    double join_ms = measure_join_ms(fleet);
    lab_hollow_advance(fleet, 10000);
    lab_hollow_reset_report(fleet);
    double cpu_before = cpu_seconds();
    run_with_pauses(fleet, config->nodes, seconds, has_pauses);
    double cpu = cpu_seconds() - cpu_before;
    lab_hollow_report_t report = lab_hollow_report(fleet);
    size_t heap = mallinfo2().uordblks - heap_before;
    double config_ms = measure_config_propagation_ms(fleet, 1);
    double death_ms = measure_death_detection_ms(fleet, config->nodes / 2);
    double node_seconds = config->nodes * report.seconds;
    json_t *result =
        json_pack("{s:i, s:i, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:I}", "nodes", (int)config->nodes,
                  "zones", (int)config->zones, "join_ms", join_ms, "messages_per_node_s",
                  (double)report.messages / node_seconds, "bytes_per_node_s",
                  (double)report.bytes / node_seconds, "cpu_percent_of_core_per_node",
                  100.0 * cpu / node_seconds, "heap_kb_per_node",
                  (double)heap / 1024.0 / config->nodes, "config_everywhere_ms", config_ms,
                  "death_everywhere_ms", death_ms, "false_deaths", (json_int_t)report.false_deaths);
    lab_hollow_destroy(fleet);
    return result;
}

static int run_hollow(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_int *nodes = arg_intn("n", "nodes", "N", 1, 20, "fleet size; may be repeated");
    struct arg_int *zones = arg_int0(NULL, "zones", "N", "number of zones (8)");
    struct arg_int *seconds = arg_int0(NULL, "seconds", "S", "measured virtual time (30)");
    struct arg_dbl *drop = arg_dbl0(NULL, "drop", "PERCENT", "message loss (0)");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed (1)");
    struct arg_lit *pauses =
        arg_lit0(NULL, "pauses", "suspend 1% of the nodes for 0.9 s at a time");
    struct arg_end *end = arg_end(8);
    void *table[TABLE_SIZE] = {help, nodes, zones, seconds, drop, seed, pauses, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE,
                         "measure membership and propagation cost by fleet size", &exit_code)) {
        for (int i = 0; i < nodes->count; i++) {
            lab_hollow_config_t config = {
                .nodes = (unsigned)nodes->ival[i],
                .zones = zones->count > 0 ? (unsigned)zones->ival[0] : 8,
                .delay_ms = 2,
                .drop_percent = drop->count > 0 ? drop->dval[0] : 0,
                .seed = seed->count > 0 ? (uint64_t)seed->ival[0] : 1,
            };
            unsigned span = seconds->count > 0 ? (unsigned)seconds->ival[0] : 30;
            json_t *result = measure(&config, span, pauses->count > 0);
            json_dumpf(result, stdout, JSON_COMPACT | JSON_REAL_PRECISION(REPORT_DIGITS));
            printf("\n");
            fflush(stdout);
            json_decref(result);
        }
        exit_code = TS_EXIT_OK;
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_hollow};
TS_REGISTER_PLUGIN(lab_command_hollow, TS_PLUGIN_COMMAND, "hollow", 6, &command,
                   "control-plane cost by fleet size, on a virtual clock")
