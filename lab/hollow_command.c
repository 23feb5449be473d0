/**
 * `tealspar-lab hollow`: what control costs and how fast it is at a fleet size, by the real
 * membership code of all nodes in one process on a virtual clock.
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

/* Virtual milliseconds until every other node believes a killed node dead. */
static double measure_death(lab_hollow_t *fleet, unsigned node)
{
    lab_hollow_kill(fleet, node);
    unsigned waited = 0;
    while (waited < WAIT_MS_MAX &&
           lab_hollow_believers(fleet, node, TS_MEMBER_DEAD) < lab_hollow_running(fleet)) {
        lab_hollow_run(fleet, STEP_MS);
        waited += STEP_MS;
    }
    return waited;
}

static double measure_configuration(lab_hollow_t *fleet, uint64_t version)
{
    lab_hollow_configure(fleet, 0, version);
    unsigned waited = 0;
    while (waited < WAIT_MS_MAX &&
           lab_hollow_configured(fleet, version) < lab_hollow_running(fleet)) {
        lab_hollow_run(fleet, STEP_MS / 10);
        waited += STEP_MS / 10;
    }
    return waited;
}

static double measure_join(lab_hollow_t *fleet)
{
    unsigned waited = 0;
    while (waited < JOIN_MS_MAX && !lab_hollow_is_converged(fleet)) {
        lab_hollow_run(fleet, STEP_MS);
        waited += STEP_MS;
    }
    return waited;
}

/* One node in a hundred stands still for less than the bound of self-doubt, once every 10 s. */
static void run_with_pauses(lab_hollow_t *fleet, unsigned nodes, unsigned seconds, bool pauses)
{
    for (unsigned second = 0; second < seconds; second++) {
        for (unsigned i = 0; pauses && i < nodes; i += 100) {
            if ((second + i / 100) % 10 == 0) {
                lab_hollow_pause(fleet, (i + second) % nodes, PAUSE_MS);
            }
        }
        lab_hollow_run(fleet, 1000);
    }
}

static json_t *measure(const lab_hollow_config_t *config, unsigned seconds, bool pauses)
{
    size_t heap_before = mallinfo2().uordblks;
    lab_hollow_t *fleet = lab_hollow_create(config);
    double join_ms = measure_join(fleet);
    lab_hollow_run(fleet, 10000);
    lab_hollow_reset_report(fleet);
    double cpu_before = cpu_seconds();
    run_with_pauses(fleet, config->nodes, seconds, pauses);
    double cpu = cpu_seconds() - cpu_before;
    lab_hollow_report_t report = lab_hollow_report(fleet);
    size_t heap = mallinfo2().uordblks - heap_before;
    double config_ms = measure_configuration(fleet, 1);
    double death_ms = measure_death(fleet, config->nodes / 2);
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
    struct arg_int *nodes = arg_intn("n", "nodes", "N", 1, 20, "fleet size; may be given again");
    struct arg_int *zones = arg_int0(NULL, "zones", "N", "zones (8)");
    struct arg_int *seconds = arg_int0(NULL, "seconds", "S", "virtual time measured (30)");
    struct arg_dbl *drop = arg_dbl0(NULL, "drop", "PERCENT", "messages lost (0)");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed (1)");
    struct arg_lit *pauses = arg_lit0(NULL, "pauses", "1% of nodes stand still for 0.9 s");
    struct arg_end *end = arg_end(8);
    void *table[TABLE_SIZE] = {help, nodes, zones, seconds, drop, seed, pauses, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE,
                         "what membership and propagation cost, by fleet size", &exit_code)) {
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
                   "what control costs by fleet size, on a virtual clock")
