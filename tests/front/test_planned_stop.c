/** Unrepeatable requests while the owners of their back ends are stopped by plan; in the simulator.
 */
#include "../test_support.h"

#include <inttypes.h>

#include "sim.h"

#define ZONES 3U
#define NODES_PER_ZONE 2U
#define NODES (ZONES * NODES_PER_ZONE)
#define BACKENDS_PER_ZONE 8U
#define SETTLE_US (20ULL * TS_US_PER_S)
#define DENSE_US (2ULL * TS_US_PER_MS)
#define SPARSE_US (60ULL * TS_US_PER_MS)
/* Load around the end of the process, which serves its back ends for 1.5 s more. */
#define SERVING_US (1300ULL * TS_US_PER_MS)
#define ENDING_US (900ULL * TS_US_PER_MS)

typedef struct load {
    double network_ms; /* one way, without the jitter */
    double jitter;
    ts_time_us_t step_us; /* between two requests to one node */
    unsigned seeds;
} load_t;

typedef struct outcomes {
    unsigned answered;
    unsigned refused;
    unsigned unknown;
    ts_error_t error; /* of the last unknown one */
} outcomes_t;

static char *make_declarations(void)
{
    static const char *const zones[] = {"north", "south", "east"};
    GString *text = g_string_new("version: 1\nzones:\n");
    for (unsigned z = 0; z < ZONES; z++)
        g_string_append_printf(text, "  - {name: %s, region: land}\n", zones[z]);
    g_string_append(text, "groups:\n  - {name: one, labels: [service=a], shards: 1}\nbackends:\n");
    for (unsigned i = 0; i < ZONES * BACKENDS_PER_ZONE; i++)
        g_string_append_printf(text,
                               "  - {name: b%u, address: '10.7.0.%u:1', zone: %s, shards: [one/0], "
                               "slots: 8, connections: 16}\n",
                               i, i + 1, zones[i % ZONES]);
    g_string_append(text, "selectors:\n  - {kind: send, groups: [service=a], route: key, wait: "
                          "deadline, deadline_ms: 2000, least_coverage_percent: 100, "
                          "unrepeatable: true}\n");
    return g_string_free(text, FALSE);
}

static void count_outcome(void *context, const ts_answer_t *answer)
{
    outcomes_t *outcomes = context;
    outcomes->answered += answer->outcome == TS_OUTCOME_ANSWERED;
    outcomes->refused += answer->outcome == TS_OUTCOME_REFUSED;
    if (answer->outcome == TS_OUTCOME_UNKNOWN) {
        outcomes->unknown++;
        outcomes->error = answer->error;
    }
}

/* Puts one request to each node that is not told to stop; requests of a caller are never repeated.
 */
static void submit_round(lab_sim_t *sim, unsigned stopping, unsigned *number, outcomes_t *outcomes)
{
    for (unsigned node = 0; node < NODES; node++) {
        if (node == stopping || lab_sim_front(sim, node) == NULL)
            continue;
        ts_query_request_t request = {.id = g_strdup_printf("q%u", (*number)++),
                                      .kind = g_strdup("send"),
                                      .key = g_strdup("k"),
                                      .limit = 10,
                                      .unrepeatable = true,
                                      .issued_at_ms = ts_clock_wall_ms()};
        ts_front_submit(lab_sim_front(sim, node), &request, count_outcome, outcomes);
    }
}

static void put_load(lab_sim_t *sim, const load_t *load, unsigned stopping, unsigned *number,
                     outcomes_t *outcomes)
{
    for (ts_time_us_t passed = 0; passed < ENDING_US; passed += load->step_us) {
        submit_round(sim, stopping, number, outcomes);
        lab_sim_advance(sim, load->step_us);
    }
}

static outcomes_t stop_and_start(const char *declarations, uint64_t seed, const load_t *load)
{
    static const lab_sim_observer_t nobody = {0};
    lab_sim_config_t config = {.declarations = declarations,
                               .nodes_per_zone = NODES_PER_ZONE,
                               .policy = "adaptive",
                               .network_ms = load->network_ms,
                               .zone_ms = 1,
                               .jitter = load->jitter,
                               .service = {5, 0.2, 0, {1, 1}},
                               .seed = seed};
    lab_sim_t *sim = lab_sim_create(&config, &nobody);
    outcomes_t outcomes = {0};
    unsigned number = 0;
    for (unsigned stopping = 0; stopping < NODES; stopping++) {
        lab_sim_advance(sim, SETTLE_US);
        lab_sim_stop(sim, stopping);
        lab_sim_advance(sim, SERVING_US);
        put_load(sim, load, stopping, &number, &outcomes);
        lab_sim_advance(sim, SETTLE_US);
        lab_sim_start(sim, stopping);
    }
    assert_int_equal(outcomes.answered + outcomes.refused + outcomes.unknown, number);
    assert_true(outcomes.answered > 0);
    lab_sim_destroy(sim);
    return outcomes;
}

static void check_stops(const load_t *load)
{
    char *declarations = make_declarations();
    unsigned unknown = 0;
    for (uint64_t seed = 1; seed <= load->seeds; seed++) {
        outcomes_t outcomes = stop_and_start(declarations, seed, load);
        if (outcomes.unknown > 0)
            print_message("seed %" PRIu64 ": %u answered, %u refused, %u unknown (%s)\n", seed,
                          outcomes.answered, outcomes.refused, outcomes.unknown,
                          ts_error_name(outcomes.error));
        unknown += outcomes.unknown;
    }
    g_free(declarations);
    assert_int_equal(unknown, 0);
}

// A planned stop leaves no request in doubt (rolling-stop beside load: the owner ended while fronts
// that had not heard of its leaving still asked it).
static void test_planned_stop_leaves_no_doubt(void **state)
{
    static const load_t load = {0.3, 0.2, DENSE_US, 5};
    check_stops(&load);
}

// The same while messages take up to 120 ms, as on machines without idle processors.
static void test_planned_stop_on_a_slow_network_leaves_no_doubt(void **state)
{
    static const load_t load = {5, 23, DENSE_US, 10};
    check_stops(&load);
}

// The same with so few requests that a node which is asked for nothing may still be thought live.
static void test_planned_stop_with_few_requests_leaves_no_doubt(void **state)
{
    static const load_t load = {5, 23, SPARSE_US, 100};
    check_stops(&load);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_planned_stop_leaves_no_doubt),
        cmocka_unit_test(test_planned_stop_on_a_slow_network_leaves_no_doubt),
        cmocka_unit_test(test_planned_stop_with_few_requests_leaves_no_doubt),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
