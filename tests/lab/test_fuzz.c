/** The fuzzer: fixed seeds show no violation, runs are reproducible, planted bugs are found. */
#include "../test_support.h"

#include <string.h>
#include <sys/wait.h>

#include "fuzz.h"

#define SEEDS 60
#define ACTIONS 400
#define PLANTED_SEEDS "150"

static void test_fixed_seeds_hold_every_promise(void **state)
{
    uint64_t answered = 0;
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        GArray *actions = lab_fuzz_generate(seed, ACTIONS);
        lab_finding_t finding = lab_fuzz_run(seed, actions);
        if (finding.is_broken) {
            fail_msg("seed %lu: %s", (unsigned long)seed, finding.text);
        }
        answered += finding.answered;
        g_array_free(actions, TRUE);
    }
    assert_true(answered > SEEDS); /* the fleet has really answered queries */
}

/* Seeds that have found a bug, each with its cause (docs/FAILURES.md, 15, 16 and 73). */
static void test_seeds_that_failed_once(void **state)
{
    static const uint64_t seeds[] = {
        31380,   /* after a process stall, a node counted the stall as time spent listening to its
                    peers */
        8675332, /* a node loaded an old configuration before it knew its peers */
        31539, /* a starting node asked only one other node of its zone, and that one was stalled */
    };
    for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++) {
        GArray *actions = lab_fuzz_generate(seeds[i], ACTIONS);
        lab_finding_t finding = lab_fuzz_run(seeds[i], actions);
        if (finding.is_broken) {
            fail_msg("seed %lu: %s", (unsigned long)seeds[i], finding.text);
        }
        g_array_free(actions, TRUE);
    }
}

static void test_a_seed_replays_exactly(void **state)
{
    GArray *actions = lab_fuzz_generate(11, ACTIONS);
    lab_finding_t first = lab_fuzz_run(11, actions);
    lab_finding_t second = lab_fuzz_run(11, actions);
    assert_true(first.steps == second.steps);
    assert_true(first.answered == second.answered);
    assert_true(first.unknown == second.unknown);
    g_array_free(actions, TRUE);
}

/* Runs the fuzzer with a planted bug; returns its exit code, -1: killed by a signal. */
static int fuzz_planted(const char *bug)
{
    char *self = g_file_read_link("/proc/self/exe", NULL);
    char *tests = g_path_get_dirname(self);
    char *program = g_build_filename(tests, "..", "fuzz_planted", NULL);
    char *arguments[] = {program, "fuzz", "--seeds", PLANTED_SEEDS, "--first", "--no-shrink", NULL};
    char **environment = g_environ_setenv(g_get_environ(), "TEALSPAR_PLANT", bug, TRUE);
    int status = -1;
    assert_true(g_spawn_sync(NULL, arguments, environment, G_SPAWN_STDOUT_TO_DEV_NULL, NULL, NULL,
                             NULL, NULL, &status, NULL));
    g_strfreev(environment);
    g_free(program);
    g_free(tests);
    g_free(self);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static void test_planted_bugs_are_found(void **state)
{
    static const char *const bugs[] = {"idempotency", "fence",   "quorum",  "foreign",
                                       "stall",       "drained", "refusal", "version"};
    for (size_t i = 0; i < G_N_ELEMENTS(bugs); i++) {
        if (fuzz_planted(bugs[i]) != 1) {
            fail_msg("the planted bug '%s' was not found", bugs[i]);
        }
    }
    assert_int_equal(fuzz_planted("none"), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_fixed_seeds_hold_every_promise),
        cmocka_unit_test(test_seeds_that_failed_once),
        cmocka_unit_test(test_a_seed_replays_exactly),
        cmocka_unit_test(test_planted_bugs_are_found),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
