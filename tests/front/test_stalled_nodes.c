/** Queries of nodes that got little processor time, in the simulator: states that the fixes for
 * late replies leave open. */
#include "../test_support.h"

#include <inttypes.h>
#include <string.h>

#include "sim.h"
#include "sim_internal.h"
#include "tealspar/counters.h"

#define ZONES 3U
#define NODES 6U
#define SHARDS 20U
#define REPLICAS 3U
#define BACKENDS (SHARDS * REPLICAS)
#define SETTLE_US (20ULL * TS_US_PER_S)
#define DEADLINE_US (4ULL * TS_US_PER_S)
#define DEADLINE_MS 4000U
/* Subrequests have left the node, replies have not arrived. */
#define SEND_US 100ULL
/* The searchers execute the first requests, and no result has been sent. */
#define EXECUTING_US 700ULL
/* A node has replied to some requests. */
#define FIRST_REPLIES_US 2000ULL
/* Longer than any deadline here. */
#define FROZEN_MS 20000U
/* Above the silence timeout of a node that has measured short latencies. */
#define SHORT_STALL_MS 150U
#define WARM_UP_QUERIES 20U
#define LOOKUPS 24U
/* Of the zone of node 0, which prefers its back ends. */
#define SAME_ZONE_NODE 3U

typedef struct outcomes {
    lab_sim_t *sim;
    unsigned submitted;
    unsigned answered;
    unsigned refused;
    unsigned unknown;
    ts_time_us_t start_us;
    ts_time_us_t last_end_us;
    int64_t silent;
    int64_t retries;
    int64_t denied;
} outcomes_t;

static unsigned requests_after_leave;
static GHashTable *executed_ids; /* NULL: not recorded */
static unsigned refused_but_executed;

static void count_after_leave(void *context, const char *request_id, const char *backend)
{
    requests_after_leave++;
}

static void count_execution(void *context, const lab_sim_execution_t *execution)
{
    if (executed_ids != NULL)
        g_hash_table_add(executed_ids, g_strdup(execution->request_id));
}

/* Without hedges, so that only the silence check moves the work of a silent node. */
static char *make_declarations(void)
{
    static const char *const zones[ZONES] = {"north", "south", "east"};
    GString *text = g_string_new("version: 1\nzones:\n");
    for (unsigned z = 0; z < ZONES; z++)
        g_string_append_printf(text, "  - {name: %s, region: land}\n", zones[z]);
    g_string_append_printf(text,
                           "groups:\n  - {name: rolls, labels: [service=rolls], shards: %u}\n"
                           "backends:\n",
                           SHARDS);
    for (unsigned i = 0; i < BACKENDS; i++) {
        unsigned shard = i / REPLICAS;
        g_string_append_printf(text,
                               "  - {name: b%u, address: '10.7.0.%u:1', zone: %s, shards: "
                               "[rolls/%u], slots: 5, connections: 75}\n",
                               i, i + 1, zones[(shard + i % REPLICAS) % ZONES], shard);
    }
    g_string_append(text, "selectors:\n"
                          "  - {kind: lookup, groups: [service=rolls], wait: gain, deadline_ms: "
                          "4000, least_coverage_percent: 90, hedge_percent: 0, retry_percent: 5, "
                          "priority: 3, slot_share_percent: 80}\n"
                          "  - {kind: fetch, groups: [service=rolls], route: key, wait: deadline, "
                          "deadline_ms: 4000, least_coverage_percent: 100, hedge_percent: 0, "
                          "retry_percent: 5, priority: 5}\n");
    return g_string_free(text, FALSE);
}

static lab_sim_t *start_sim(const char *declarations)
{
    lab_sim_observer_t observer = {.on_execution = count_execution,
                                   .on_after_leave = count_after_leave};
    lab_sim_config_t config = {.declarations = declarations,
                               .nodes_per_zone = NODES / ZONES,
                               .policy = "adaptive",
                               .network_ms = 0.3,
                               .zone_ms = 1,
                               .jitter = 0.2,
                               .service = {2, 0.4, 0, {1, 1}},
                               .seed = 1};
    lab_sim_t *sim = lab_sim_create(&config, &observer);
    lab_sim_advance(sim, SETTLE_US);
    requests_after_leave = 0;
    return sim;
}

static void end_sim(lab_sim_t *sim, char *declarations)
{
    lab_sim_destroy(sim);
    g_free(declarations);
}

static void advance_ms(lab_sim_t *sim, unsigned span_ms)
{
    lab_sim_advance(sim, span_ms * TS_US_PER_MS);
}

static outcomes_t begin_outcomes(lab_sim_t *sim)
{
    outcomes_t outcomes = {.sim = sim,
                           .start_us = lab_sim_now_us(sim),
                           .silent = ts_counter_value(TS_COUNTER_PEERS_SILENT),
                           .retries = ts_counter_value(TS_COUNTER_RETRIES),
                           .denied = ts_counter_value(TS_COUNTER_RETRIES_DENIED)};
    return outcomes;
}

static void count_outcome(void *context, const ts_answer_t *answer)
{
    outcomes_t *outcomes = context;
    outcomes->answered += answer->outcome == TS_OUTCOME_ANSWERED;
    outcomes->refused += answer->outcome == TS_OUTCOME_REFUSED;
    outcomes->unknown += answer->outcome == TS_OUTCOME_UNKNOWN;
    outcomes->last_end_us = lab_sim_now_us(outcomes->sim);
    refused_but_executed += answer->outcome == TS_OUTCOME_REFUSED && executed_ids != NULL &&
                            g_hash_table_contains(executed_ids, answer->id);
}

static void submit(outcomes_t *outcomes, unsigned node, const char *kind, unsigned deadline_ms)
{
    unsigned number = outcomes->submitted++;
    ts_query_request_t request = {.id = g_strdup_printf("%s%u", kind, number),
                                  .kind = g_strdup(kind),
                                  .text = g_strdup("t"),
                                  .key = g_strdup_printf("k%u", number),
                                  .deadline_ms = deadline_ms,
                                  .limit = 10};
    ts_front_submit(lab_sim_front(outcomes->sim, node), &request, count_outcome, outcomes);
}

static void submit_lookups(outcomes_t *outcomes, unsigned node, unsigned count,
                           unsigned deadline_ms)
{
    for (unsigned i = 0; i < count; i++)
        submit(outcomes, node, "lookup", deadline_ms);
}

/* Lets a node measure enough latencies for a short silence timeout. */
static void warm_up(lab_sim_t *sim, unsigned node)
{
    outcomes_t outcomes = begin_outcomes(sim);
    for (unsigned i = 0; i < WARM_UP_QUERIES; i++) {
        submit(&outcomes, node, "lookup", 0);
        advance_ms(sim, 100);
    }
    assert_int_equal(outcomes.answered, WARM_UP_QUERIES);
}

static void print_outcomes(const char *title, const outcomes_t *outcomes)
{
    print_message("%s: %u of %u answered, %u refused, %u unknown, the last after %u ms; silent "
                  "%" PRId64 ", retries %" PRId64 ", denied %" PRId64 "\n",
                  title, outcomes->answered, outcomes->submitted, outcomes->refused,
                  outcomes->unknown,
                  (unsigned)((outcomes->last_end_us - outcomes->start_us) / TS_US_PER_MS),
                  ts_counter_value(TS_COUNTER_PEERS_SILENT) - outcomes->silent,
                  ts_counter_value(TS_COUNTER_RETRIES) - outcomes->retries,
                  ts_counter_value(TS_COUNTER_RETRIES_DENIED) - outcomes->denied);
}

static void check_all_answered(const char *title, const outcomes_t *outcomes)
{
    print_outcomes(title, outcomes);
    assert_int_equal(outcomes->answered, outcomes->submitted);
}

/* ---- a node that is frozen for good ---- */

/* A rollout has reached two of three replicas of each shard, so that shards are queried again for
 * the new snapshot. Freezes a node `after_us` after the queries start. */
static outcomes_t query_during_rollout(unsigned frozen, ts_time_us_t after_us)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    warm_up(sim, 0);
    for (unsigned i = 0; i < BACKENDS; i++)
        if (i % REPLICAS != 0)
            lab_sim_set_snapshot(sim, i, 2, false);
    outcomes_t outcomes = begin_outcomes(sim);
    submit_lookups(&outcomes, 0, 12, 0);
    lab_sim_advance(sim, after_us);
    lab_sim_pause(sim, frozen, FROZEN_MS * TS_US_PER_MS);
    lab_sim_advance(sim, DEADLINE_US + TS_US_PER_S);
    if (outcomes.answered < outcomes.submitted) {
        char *title = g_strdup_printf("frozen %u after %u ms", frozen, (unsigned)(after_us / 1000));
        print_outcomes(title, &outcomes);
        g_free(title);
    }
    end_sim(sim, declarations);
    return outcomes;
}

// A query for another snapshot at a node that freezes must move to another replica. As the fragment
// has an answer of the old snapshot, it is not retried, and waits for the frozen node until the
// deadline.
static void test_snapshot_repeat_leaves_frozen_node(void **state)
{
    outcomes_t all = {0};
    for (unsigned frozen = 1; frozen < NODES; frozen++) {
        for (unsigned after_ms = 2; after_ms <= 8; after_ms++) {
            outcomes_t outcomes = query_during_rollout(frozen, after_ms * TS_US_PER_MS);
            all.submitted += outcomes.submitted;
            all.answered += outcomes.answered;
            all.unknown += outcomes.unknown;
        }
    }
    print_message("rollout: %u of %u answered, %u unknown\n", all.answered, all.submitted,
                  all.unknown);
    assert_int_equal(all.answered, all.submitted);
}

static void freeze_peer_during_own_stalls(unsigned stall_ms, unsigned awake_ms)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    outcomes_t outcomes = begin_outcomes(sim);
    submit_lookups(&outcomes, 0, LOOKUPS, 3000);
    lab_sim_advance(sim, SEND_US);
    lab_sim_pause(sim, 1, FROZEN_MS * TS_US_PER_MS);
    for (unsigned elapsed_ms = 0; elapsed_ms < DEADLINE_MS; elapsed_ms += stall_ms + awake_ms) {
        advance_ms(sim, awake_ms);
        if (stall_ms > 0)
            lab_sim_pause(sim, 0, stall_ms * TS_US_PER_MS);
        advance_ms(sim, stall_ms);
    }
    advance_ms(sim, 1000);
    char *title = g_strdup_printf("stalls of %u ms, awake for %u ms", stall_ms, awake_ms);
    check_all_answered(title, &outcomes);
    g_free(title);
    end_sim(sim, declarations);
}

// A node that freezes after a reply, with requests outstanding, must be noticed although nothing
// more is sent to it. The reply ended the measurement of its silence.
static void test_node_frozen_after_reply_is_noticed(void **state)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    outcomes_t outcomes = begin_outcomes(sim);
    for (unsigned i = 0; i < 60; i++)
        submit(&outcomes, 0, "fetch", 0);
    lab_sim_advance(sim, FIRST_REPLIES_US);
    lab_sim_pause(sim, SAME_ZONE_NODE, FROZEN_MS * TS_US_PER_MS);
    lab_sim_advance(sim, DEADLINE_US + TS_US_PER_S);
    check_all_answered("frozen after a reply", &outcomes);
    end_sim(sim, declarations);
}

// Without own stalls the work of a frozen node moves to other replicas.
static void test_frozen_node_is_noticed(void **state)
{
    freeze_peer_during_own_stalls(0, 25);
}

// A node that gets little processor time must still notice a frozen peer. Each late check excludes
// all of its lateness from the silence, although the sockets are read between two checks.
static void test_frozen_node_is_noticed_during_own_stalls(void **state)
{
    freeze_peer_during_own_stalls(200, 25);
}

/* Lookups with a deadline of one second to a node of which one peer freezes. */
static void check_frozen_peer_with_short_deadline(bool has_stalled)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    warm_up(sim, 0);
    if (has_stalled) {
        outcomes_t before = begin_outcomes(sim);
        submit_lookups(&before, 0, LOOKUPS, 0);
        lab_sim_advance(sim, SEND_US);
        lab_sim_pause(sim, 0, 600 * TS_US_PER_MS);
        advance_ms(sim, 2000);
        check_all_answered("before", &before);
    }
    outcomes_t outcomes = begin_outcomes(sim);
    submit_lookups(&outcomes, 0, LOOKUPS, 1000);
    lab_sim_advance(sim, SEND_US);
    lab_sim_pause(sim, 1, FROZEN_MS * TS_US_PER_MS);
    advance_ms(sim, 2000);
    check_all_answered(has_stalled ? "after an own stall" : "without a stall", &outcomes);
    end_sim(sim, declarations);
}

// Without a stall the work of a frozen node moves before a deadline of one second.
static void test_short_deadline_with_frozen_node(void **state)
{
    check_frozen_peer_with_short_deadline(false);
}

// The time for which a node did not run must not count as latency of its peers. It makes the
// silence timeout three times as long as the stall.
static void test_own_stall_is_not_latency(void **state)
{
    check_frozen_peer_with_short_deadline(true);
}

// A frozen node's requests that the retry budget denied must be retried once it allows them again.
static void test_denied_retry_is_tried_again(void **state)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    outcomes_t outcomes = begin_outcomes(sim);
    submit_lookups(&outcomes, 0, 4 * LOOKUPS, 0);
    lab_sim_advance(sim, SEND_US);
    lab_sim_pause(sim, 1, FROZEN_MS * TS_US_PER_MS);
    for (unsigned i = 0; i < 300; i++) { // 300 retries are credited
        advance_ms(sim, 10);
        submit_lookups(&outcomes, 0, 1, 0);
    }
    advance_ms(sim, 5000);
    check_all_answered("denied retries", &outcomes);
    end_sim(sim, declarations);
}

/* ---- retry budget ---- */

static void check_refusals_after_stall(unsigned peers)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    warm_up(sim, 0);
    outcomes_t before = begin_outcomes(sim);
    submit_lookups(&before, 0, LOOKUPS, 0);
    lab_sim_advance(sim, SEND_US);
    for (unsigned node = 1; node <= peers; node++)
        lab_sim_pause(sim, node, SHORT_STALL_MS * TS_US_PER_MS);
    advance_ms(sim, 1000);
    check_all_answered("during the stall", &before);
    for (unsigned i = 0; i < BACKENDS; i += REPLICAS)
        lab_sim_set_searcher_state(sim, i, LAB_SIM_SHEDDING);
    outcomes_t outcomes = begin_outcomes(sim);
    submit_lookups(&outcomes, 0, 4, 0);
    advance_ms(sim, 5000);
    check_all_answered("refusals afterwards", &outcomes);
    end_sim(sim, declarations);
}

// Without a stall the retries suffice for the same refusals.
static void test_refusals_are_retried(void **state)
{
    check_refusals_after_stall(0);
}

// Nodes that only stood still for a moment must not use up the retries that refusals need.
static void test_refusals_are_retried_after_stall(void **state)
{
    check_refusals_after_stall(NODES - 1);
}

/* ---- truth of the outcome ---- */

// A request that a silent node has executed must not be reported as not run, although the attempt
// there was replaced and all others were refused.
static void test_replaced_attempt_may_have_run(void **state)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    outcomes_t outcomes = begin_outcomes(sim);
    executed_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    refused_but_executed = 0;
    for (unsigned i = 0; i < 60; i++)
        submit(&outcomes, 0, "fetch", 0);
    lab_sim_advance(sim, EXECUTING_US);
    lab_sim_pause(sim, SAME_ZONE_NODE, FROZEN_MS * TS_US_PER_MS);
    for (unsigned i = 0; i < BACKENDS; i++)
        lab_sim_set_searcher_state(sim, i, LAB_SIM_SHEDDING);
    lab_sim_advance(sim, DEADLINE_US + TS_US_PER_S);
    print_outcomes("replaced", &outcomes);
    assert_true(ts_counter_value(TS_COUNTER_RETRIES) > outcomes.retries);
    assert_int_equal(refused_but_executed, 0);
    g_clear_pointer(&executed_ids, g_hash_table_destroy);
    end_sim(sim, declarations);
}

/* ---- owners ---- */

static double mean_service_us(lab_sim_t *sim)
{
    double sum = 0;
    unsigned count = 0;
    for (unsigned node = 0; node < NODES; node++) {
        json_t *status = ts_node_status(&sim->nodes[node].node);
        size_t index = 0;
        json_t *row = NULL;
        json_array_foreach(json_object_get(status, "owned"), index, row)
        {
            double service_us = json_real_value(json_object_get(row, "service_us"));
            sum += service_us;
            count += service_us > 0;
        }
        json_decref(status);
    }
    return count > 0 ? sum / count : 0;
}

/* Searchers that take 100 ms, at nodes that stand still for `stall_ms` again and again. */
static double measure_service_us(unsigned stall_ms, unsigned awake_ms)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    for (unsigned i = 0; i < BACKENDS; i++)
        lab_sim_slow_searcher(sim, i, 50);
    outcomes_t outcomes = begin_outcomes(sim);
    for (unsigned i = 0; i < 60; i++) {
        submit_lookups(&outcomes, i % NODES, 1, 0);
        advance_ms(sim, awake_ms);
        for (unsigned node = 0; stall_ms > 0 && node < NODES; node++)
            lab_sim_pause(sim, node, stall_ms * TS_US_PER_MS);
        advance_ms(sim, stall_ms);
    }
    advance_ms(sim, 5000);
    double service_us = mean_service_us(sim);
    print_message("stalls of %u ms, awake for %u ms: service time %.0f us\n", stall_ms, awake_ms,
                  service_us);
    end_sim(sim, declarations);
    return service_us;
}

// Searchers work while their owner does not run. The owner must not take off more of a service time
// than the stall in which the result arrived: earlier stalls did not delay it.
static void test_earlier_stalls_are_service_time(void **state)
{
    double without_us = measure_service_us(0, 45);
    double with_us = measure_service_us(40, 5);
    assert_true(with_us > without_us / 2);
}

// After a stall an owner sends nothing to a back end before it has checked its health. A result
// that arrived during the stall allowed a slot again, and a back end that had left meanwhile got
// work.
static void test_no_work_after_leave_when_owner_stalled(void **state)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    for (unsigned i = 0; i < BACKENDS; i++)
        lab_sim_slow_searcher(sim, i, 50);
    outcomes_t outcomes = begin_outcomes(sim);
    for (unsigned node = 0; node < NODES; node++)
        submit_lookups(&outcomes, node, 10, 0);
    lab_sim_advance(sim, 10 * TS_US_PER_MS);
    for (unsigned i = 0; i < BACKENDS; i++)
        lab_sim_set_searcher_state(sim, i, LAB_SIM_DRAINING);
    for (unsigned node = 0; node < NODES; node++)
        lab_sim_pause(sim, node, 3300 * TS_US_PER_MS);
    lab_sim_advance(sim, DEADLINE_US + TS_US_PER_S);
    print_outcomes("leave", &outcomes);
    print_message("%u requests after the leave\n", requests_after_leave);
    assert_int_equal(requests_after_leave, 0);
    end_sim(sim, declarations);
}

/* ---- the simulator ---- */

static uint64_t count_steps(void)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    warm_up(sim, 0);
    outcomes_t outcomes = begin_outcomes(sim);
    submit_lookups(&outcomes, 0, 4 * LOOKUPS, 0);
    lab_sim_advance(sim, SEND_US);
    for (unsigned node = 1; node < NODES; node++)
        lab_sim_pause(sim, node, SHORT_STALL_MS * TS_US_PER_MS);
    advance_ms(sim, 2000);
    uint64_t steps = lab_sim_steps(sim);
    end_sim(sim, declarations);
    return steps;
}

// The same seed must give the same events. The queries of a silent node are stepped in the order of
// their addresses, so that a finding of the fuzzer may not occur again with its seed.
static void test_seed_replays_exactly(void **state)
{
    uint64_t steps = count_steps();
    for (unsigned i = 0; i < 5; i++)
        assert_int_equal(count_steps(), steps);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_snapshot_repeat_leaves_frozen_node),
        cmocka_unit_test(test_node_frozen_after_reply_is_noticed),
        cmocka_unit_test(test_frozen_node_is_noticed),
        cmocka_unit_test(test_frozen_node_is_noticed_during_own_stalls),
        cmocka_unit_test(test_short_deadline_with_frozen_node),
        cmocka_unit_test(test_own_stall_is_not_latency),
        cmocka_unit_test(test_denied_retry_is_tried_again),
        cmocka_unit_test(test_refusals_are_retried),
        cmocka_unit_test(test_refusals_are_retried_after_stall),
        cmocka_unit_test(test_replaced_attempt_may_have_run),
        cmocka_unit_test(test_earlier_stalls_are_service_time),
        cmocka_unit_test(test_no_work_after_leave_when_owner_stalled),
        cmocka_unit_test(test_seed_replays_exactly),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
