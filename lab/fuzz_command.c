/** `tealspar-lab fuzz`: stateful fuzzing of whole nodes with consecutive seeds. */
#include <stdio.h>

#include "fuzz.h"
#include "tealspar/clock.h"
#include "tealspar/command.h"
#include "tealspar/plugin.h"

#define TABLE_SIZE 8
#define DEFAULT_ACTIONS 400

/* Runs one seed; prints a violation and, if requested, shrinks its actions. Returns whether there
 * was none. */
static bool fuzz_seed(uint64_t seed, unsigned count, bool shrinks, lab_finding_t *finding)
{
    GArray *actions = lab_fuzz_generate(seed, count);
    *finding = lab_fuzz_run(seed, actions);
    if (finding->is_broken) {
        printf("seed %lu: %s (after %u actions, %lu steps)\n", (unsigned long)seed, finding->text,
               finding->actions, (unsigned long)finding->steps);
    }
    if (finding->is_broken && shrinks) {
        GArray *shortest = lab_fuzz_shrink(seed, actions);
        lab_finding_t rerun = lab_fuzz_run(seed, shortest);
        printf("shortest trace: %u actions: %s\n", shortest->len, rerun.text);
        for (guint i = 0; i < shortest->len; i++) {
            GString *line = g_string_new(NULL);
            lab_fuzz_describe(&g_array_index(shortest, lab_action_t, i), line);
            printf("  %s\n", line->str);
            g_string_free(line, TRUE);
        }
        g_array_free(shortest, TRUE);
    }
    fflush(stdout);
    g_array_free(actions, TRUE);
    return !finding->is_broken;
}

/* Runs continue until both `seeds` have been run and `seconds` have passed. */
typedef struct limits {
    unsigned seeds;
    unsigned seconds;
    bool stops_at_first;
} run_limits_t;

static int fuzz(uint64_t seed, unsigned count, const run_limits_t *limits, bool shrinks)
{
    ts_time_us_t begin_us = ts_clock_now_us();
    uint64_t steps = 0;
    uint64_t outcomes[3] = {0};
    unsigned runs = 0;
    unsigned broken = 0;
    do {
        lab_finding_t finding;
        broken += !fuzz_seed(seed + runs, count, shrinks, &finding);
        steps += finding.steps;
        outcomes[0] += finding.answered;
        outcomes[1] += finding.refused;
        outcomes[2] += finding.unknown;
        runs++;
        if (broken > 0 && limits->stops_at_first) {
            break;
        }
    } while (runs < limits->seeds || ts_clock_now_us() - begin_us < limits->seconds * TS_US_PER_S);
    double span_s = (double)(ts_clock_now_us() - begin_us) / (double)TS_US_PER_S;
    printf("{\"seeds\": %u, \"broken\": %u, \"steps\": %lu, \"steps_per_s\": %.0f, \"answered\": "
           "%lu, \"refused\": %lu, \"unknown\": %lu}\n",
           runs, broken, (unsigned long)steps, (double)steps / span_s, (unsigned long)outcomes[0],
           (unsigned long)outcomes[1], (unsigned long)outcomes[2]);
    return broken == 0 ? TS_EXIT_OK : TS_EXIT_FAILURE;
}

static int run_fuzz(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "first seed (1)");
    struct arg_int *steps = arg_int0(NULL, "steps", "N", "actions per seed (400)");
    struct arg_int *seconds =
        arg_int0(NULL, "seconds", "S", "continue with further seeds for this time (0)");
    struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "minimum number of seeds (1)");
    struct arg_lit *first = arg_lit0(NULL, "first", "stop at the first violation");
    struct arg_lit *plain = arg_lit0(NULL, "no-shrink", "do not shrink the actions of a violation");
    struct arg_end *end = arg_end(8);
    void *table[TABLE_SIZE] = {help, seed, steps, seconds, seeds, first, plain, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE,
                         "fuzz whole nodes against the oracle; exit 0 if there was no violation",
                         &exit_code)) {
        run_limits_t limits = {seeds->count > 0 ? (unsigned)seeds->ival[0] : 1,
                               seconds->count > 0 ? (unsigned)seconds->ival[0] : 0,
                               first->count > 0};
        exit_code = fuzz(seed->count > 0 ? (uint64_t)seed->ival[0] : 1,
                         steps->count > 0 ? (unsigned)steps->ival[0] : DEFAULT_ACTIONS, &limits,
                         plain->count == 0);
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_fuzz};
TS_REGISTER_PLUGIN(lab_command_fuzz, TS_PLUGIN_COMMAND, "fuzz", 7, &command,
                   "stateful fuzzing of whole nodes against an oracle")
