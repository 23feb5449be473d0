/** The front in the simulator: cancellation of subrequests, and slow searchers that must not make a
 * node count as silent. */
#include "../test_support.h"

#include <string.h>

#include "sim.h"

#define SHARDS 12U
#define SETTLE_US (9ULL * TS_US_PER_S)
#define SERVICE_MS 300.0

static char *make_declarations(void)
{
    GString *text = g_string_new("version: 1\nzones:\n  - {name: north, region: land}\n"
                                 "  - {name: south, region: land}\ngroups:\n");
    g_string_append_printf(text, "  - {name: one, labels: [service=a], shards: %u}\nbackends:\n",
                           SHARDS);
    for (unsigned shard = 0; shard < SHARDS; shard++) {
        for (unsigned replica = 0; replica < 2; replica++) {
            g_string_append_printf(text,
                                   "  - {name: b%u-%u, address: '10.7.%u.%u:1', zone: %s, shards: "
                                   "[one/%u], slots: 2, connections: 9}\n",
                                   shard, replica, shard, replica + 1,
                                   replica == 0 ? "north" : "south", shard);
        }
    }
    g_string_append(text, "selectors:\n  - {kind: all, groups: [service=a], wait: deadline, "
                          "deadline_ms: 4000, least_coverage_percent: 100, retry_percent: 50}\n");
    return g_string_free(text, FALSE);
}

static lab_sim_t *start_sim(const char *declarations)
{
    static const lab_sim_observer_t no_observer = {0};
    lab_sim_config_t config = {.declarations = declarations,
                               .nodes_per_zone = 1,
                               .policy = "adaptive",
                               .network_ms = 0.3,
                               .zone_ms = 1,
                               .service = {SERVICE_MS, 0.0, 0, {1, 1}},
                               .seed = 1};
    lab_sim_t *sim = lab_sim_create(&config, &no_observer);
    lab_sim_advance(sim, SETTLE_US);
    lab_sim_reset_totals(sim);
    return sim;
}

static void count_answer(void *context, const ts_answer_t *answer)
{
    assert_int_equal(answer->outcome, TS_OUTCOME_ANSWERED);
    assert_int_equal(answer->covered, SHARDS);
    (*(unsigned *)context)++;
}

static ts_query_t *submit(lab_sim_t *sim, unsigned *answers)
{
    ts_query_request_t request = {
        .id = g_strdup("q"), .kind = g_strdup("all"), .text = g_strdup("t"), .limit = 10};
    return ts_front_submit(lab_sim_front(sim, 0), &request, count_answer, answers);
}

static void test_abandoned_query_is_cancelled_at_all_owners(void **state)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    unsigned answers = 0;
    double work_us = 0;
    uint64_t requests = 0;
    ts_query_t *query = submit(sim, &answers);
    lab_sim_advance(sim, 50 * TS_US_PER_MS);
    ts_front_abandon(query);
    lab_sim_advance(sim, 2 * TS_US_PER_S);
    lab_sim_totals(sim, &work_us, &requests);
    assert_int_equal(answers, 0);
    assert_int_equal(requests, SHARDS);
    assert_true(work_us < SHARDS * 60.0 * (double)TS_US_PER_MS); /* 300 ms each if not cancelled */
    lab_sim_destroy(sim);
    g_free(declarations);
}

/* A node with searchers that take 300 ms must not count as silent: all of its subrequests would be
   sent a second time. */
static void test_slow_searchers_do_not_make_node_silent(void **state)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    unsigned answers = 0;
    double work_us = 0;
    uint64_t requests = 0;
    submit(sim, &answers);
    lab_sim_advance(sim, 2 * TS_US_PER_S);
    lab_sim_totals(sim, &work_us, &requests);
    assert_int_equal(answers, 1);
    assert_int_equal(requests, SHARDS);
    lab_sim_destroy(sim);
    g_free(declarations);
}

/* Makes the searchers of the first zone too slow to answer before the deadline. */
static void slow_down_first_zone(lab_sim_t *sim)
{
    for (unsigned shard = 0; shard < SHARDS; shard++)
        lab_sim_slow_searcher(sim, shard * 2, 100);
}

// Attempts that fail because the node's own broker is silent must be cancelled at that broker. If
// the cancels are sent to the mesh instead, it drops them (frames_lost reason=unknown_peer) and the
// searchers work on until the deadline.
static void test_silence_of_own_broker_cancels_its_jobs(void **state)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    unsigned answers = 0;
    double work_us = 0;
    uint64_t requests = 0;
    slow_down_first_zone(sim);
    submit(sim, &answers);
    lab_sim_advance(sim, 5 * TS_US_PER_S);
    lab_sim_totals(sim, &work_us, &requests);
    assert_int_equal(answers, 1);
    assert_true(requests > SHARDS);
    assert_true(work_us < SHARDS * (double)TS_US_PER_S); /* 4 s each if they run to the deadline */
    lab_sim_destroy(sim);
    g_free(declarations);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_abandoned_query_is_cancelled_at_all_owners),
        cmocka_unit_test(test_slow_searchers_do_not_make_node_silent),
        cmocka_unit_test(test_silence_of_own_broker_cancels_its_jobs),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
