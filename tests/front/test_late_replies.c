/** Queries whose replies arrive late, but long before the deadline, in the simulator. Nodes are
 * suspended for a moment, as on machines with saturated CPUs. */
#include "../test_support.h"

#include <inttypes.h>

#include "sim.h"
#include "tealspar/counters.h"

#define ZONES 3U
#define NODES 6U
#define SHARDS 20U
#define REPLICAS 2U
#define ROLLS (SHARDS * REPLICAS) /* back ends of the group "rolls" */
#define SETTLE_US (20ULL * TS_US_PER_S)
#define DEADLINE_US (4ULL * TS_US_PER_S)
/* Subrequests have left the node, replies have not arrived. */
#define SEND_US 100ULL
/* Above the silence timeout with few samples, and far below the deadline. */
#define STALL_MS 600U
/* Above the silence timeout of a node that has measured short latencies. */
#define SHORT_STALL_MS 150U
#define WARM_UP_QUERIES 20U
/* Their subrequests are more than the retry budget allows to repeat. */
#define LOOKUPS 24U
#define FEW_LOOKUPS 4U
/* Longer than AWAKE_MS with the factor, so that no lookup ends between two stalls. */
#define SLOW_FACTOR 25
#define AWAKE_MS 30U
#define FETCH_INTERVAL_MS 15U
/* A broker takes this for a stall and checks its back ends again. */
#define LONG_STALL_MS 1500U
/* Requests are at the searchers, and their results have not been read. */
#define AT_SEARCHERS_US 2000ULL
#define BURST_LOOKUPS 12U
/* More per back end than eight per slot. */
#define LARGE_BURST_LOOKUPS 50U

typedef struct metrics {
    int64_t silent;
    int64_t retries;
    int64_t retries_denied;
    int64_t unmatched;
    int64_t cannot_finish;
    int64_t queue_full;
} metrics_t;

typedef struct outcomes {
    lab_sim_t *sim;
    unsigned submitted;
    unsigned answered;
    unsigned refused;
    unsigned unknown;
    ts_time_us_t start_us;
    ts_time_us_t last_end_us; /* when the last query without an answer ended */
    ts_error_t error;         /* of that query */
    metrics_t before;         /* of all nodes together */
} outcomes_t;

static char *make_declarations(void)
{
    static const char *const zones[ZONES] = {"north", "south", "east"};
    GString *text = g_string_new("version: 1\nzones:\n");
    for (unsigned z = 0; z < ZONES; z++)
        g_string_append_printf(text, "  - {name: %s, region: land}\n", zones[z]);
    g_string_append_printf(text,
                           "groups:\n  - {name: rolls, labels: [service=rolls], shards: %u}\n"
                           "  - {name: cards, labels: [service=cards], shards: %u}\nbackends:\n",
                           SHARDS, SHARDS);
    for (unsigned i = 0; i < 2 * ROLLS; i++) {
        bool is_roll = i < ROLLS;
        unsigned shard = i % ROLLS / REPLICAS;
        unsigned zone = (shard + i % REPLICAS) % ZONES;
        g_string_append_printf(text,
                               "  - {name: b%u, address: '10.7.0.%u:1', zone: %s, shards: [%s/%u], "
                               "slots: 5, connections: 75}\n",
                               i, i + 1, zones[zone], is_roll ? "rolls" : "cards", shard);
    }
    g_string_append(text, "selectors:\n"
                          "  - {kind: lookup, groups: [service=rolls], wait: gain, deadline_ms: "
                          "4000, least_coverage_percent: 90, hedge_percent: 3, retry_percent: 5, "
                          "priority: 3, slot_share_percent: 80}\n"
                          "  - {kind: fetch, groups: [service=cards], route: key, wait: deadline, "
                          "deadline_ms: 4000, least_coverage_percent: 100, hedge_percent: 3, "
                          "retry_percent: 5, priority: 5}\n");
    return g_string_free(text, FALSE);
}

static lab_sim_t *start_sim(const char *declarations)
{
    static const lab_sim_observer_t no_observer = {0};
    lab_sim_config_t config = {.declarations = declarations,
                               .nodes_per_zone = NODES / ZONES,
                               .policy = "adaptive",
                               .network_ms = 0.3,
                               .zone_ms = 1,
                               .jitter = 0.2,
                               .service = {2, 0.4, 0, {1, 1}},
                               .seed = 1};
    lab_sim_t *sim = lab_sim_create(&config, &no_observer);
    lab_sim_advance(sim, SETTLE_US);
    return sim;
}

static void advance_ms(lab_sim_t *sim, unsigned span_ms)
{
    lab_sim_advance(sim, span_ms * TS_US_PER_MS);
}

static metrics_t read_metrics(void)
{
    metrics_t metrics = {
        .silent = ts_counter_value(TS_COUNTER_PEERS_SILENT),
        .retries = ts_counter_value(TS_COUNTER_RETRIES),
        .retries_denied = ts_counter_value(TS_COUNTER_RETRIES_DENIED),
        .unmatched = ts_counter_value(TS_COUNTER_SUBREPLIES_UNMATCHED),
        .cannot_finish = ts_error_count(TS_E_CANNOT_FINISH),
        .queue_full = ts_error_count(TS_E_QUEUE_FULL),
    };
    return metrics;
}

static outcomes_t begin_outcomes(lab_sim_t *sim)
{
    outcomes_t outcomes = {.sim = sim, .start_us = lab_sim_now_us(sim), .before = read_metrics()};
    return outcomes;
}

static void count_outcome(void *context, const ts_answer_t *answer)
{
    outcomes_t *outcomes = context;
    outcomes->answered += answer->outcome == TS_OUTCOME_ANSWERED;
    outcomes->refused += answer->outcome == TS_OUTCOME_REFUSED;
    outcomes->unknown += answer->outcome == TS_OUTCOME_UNKNOWN;
    if (answer->outcome != TS_OUTCOME_ANSWERED) {
        outcomes->last_end_us = lab_sim_now_us(outcomes->sim);
        outcomes->error = answer->error;
    }
}

static void submit(outcomes_t *outcomes, unsigned node, const char *kind)
{
    unsigned number = outcomes->submitted++;
    ts_query_request_t request = {.id = g_strdup_printf("%s%u", kind, number),
                                  .kind = g_strdup(kind),
                                  .text = g_strdup("t"),
                                  .key = g_strdup_printf("k%u", number),
                                  .limit = 10};
    ts_front_submit(lab_sim_front(outcomes->sim, node), &request, count_outcome, outcomes);
}

static void submit_lookups(outcomes_t *outcomes, unsigned node, unsigned count)
{
    for (unsigned i = 0; i < count; i++)
        submit(outcomes, node, "lookup");
}

/* Lets a node measure enough latencies for a short silence timeout. */
static void warm_up(lab_sim_t *sim, unsigned node)
{
    outcomes_t outcomes = begin_outcomes(sim);
    for (unsigned i = 0; i < WARM_UP_QUERIES; i++) {
        submit(&outcomes, node, "lookup");
        advance_ms(sim, 100);
    }
    assert_int_equal(outcomes.answered, WARM_UP_QUERIES);
}

static void pause_peers(lab_sim_t *sim, unsigned span_ms)
{
    for (unsigned node = 1; node < NODES; node++)
        lab_sim_pause(sim, node, span_ms * TS_US_PER_MS);
}

static void print_outcomes(const outcomes_t *outcomes)
{
    metrics_t now = read_metrics();
    const metrics_t *before = &outcomes->before;
    print_message("%u of %u answered, %u refused, %u unknown (%s), the last after %u ms; ",
                  outcomes->answered, outcomes->submitted, outcomes->refused, outcomes->unknown,
                  ts_error_name(outcomes->error),
                  (unsigned)((outcomes->last_end_us - outcomes->start_us) / TS_US_PER_MS));
    print_message("silent %" PRId64 ", retries %" PRId64 ", retries_denied %" PRId64
                  ", unmatched %" PRId64 ", cannot_finish %" PRId64 ", queue_full %" PRId64 "\n",
                  now.silent - before->silent, now.retries - before->retries,
                  now.retries_denied - before->retries_denied, now.unmatched - before->unmatched,
                  now.cannot_finish - before->cannot_finish, now.queue_full - before->queue_full);
}

static void check_all_answered(const outcomes_t *outcomes)
{
    if (outcomes->answered < outcomes->submitted)
        print_outcomes(outcomes);
    assert_int_equal(outcomes->answered, outcomes->submitted);
}

/* Suspends node 0 while replies arrive. Its timers fire before it reads them, as in libuv. */
static void check_own_stall(bool is_warm, unsigned lookups, unsigned stall_ms)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    if (is_warm)
        warm_up(sim, 0);
    outcomes_t outcomes = begin_outcomes(sim);
    submit_lookups(&outcomes, 0, lookups);
    lab_sim_advance(sim, SEND_US);
    lab_sim_pause(sim, 0, stall_ms * TS_US_PER_MS);
    lab_sim_advance(sim, DEADLINE_US);
    check_all_answered(&outcomes);
    lab_sim_destroy(sim);
    g_free(declarations);
}

/* Suspends the nodes 1 to `peers` before they read the subrequests of node 0. */
static void check_peers_stall(bool is_warm, unsigned lookups, unsigned peers, unsigned stall_ms)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    if (is_warm)
        warm_up(sim, 0);
    outcomes_t outcomes = begin_outcomes(sim);
    submit_lookups(&outcomes, 0, lookups);
    lab_sim_advance(sim, SEND_US);
    for (unsigned node = 1; node <= peers; node++)
        lab_sim_pause(sim, node, stall_ms * TS_US_PER_MS);
    lab_sim_advance(sim, DEADLINE_US);
    check_all_answered(&outcomes);
    lab_sim_destroy(sim);
    g_free(declarations);
}

// Replies that arrived while this process stood still must be used. The silence check ran before
// they were read, failed their attempts, and the retries used up the budget: all queries "unknown".
static void test_replies_unread_during_own_stall_are_used(void **state)
{
    check_own_stall(false, LOOKUPS, STALL_MS);
}

// As test_replies_unread_during_own_stall_are_used, on a node with a short silence timeout.
static void test_replies_unread_during_short_own_stall_are_used(void **state)
{
    check_own_stall(true, LOOKUPS, SHORT_STALL_MS);
}

// One query has enough retries to survive the same stall.
static void test_single_query_survives_own_stall(void **state)
{
    check_own_stall(false, 1, STALL_MS);
}

// Peers that stand still must not use up the retry budget. Their attempts failed, and once the
// budget was used up, queries ended "unknown" seconds before their deadline.
static void test_stalled_peers_do_not_use_up_retries(void **state)
{
    check_peers_stall(false, LOOKUPS, NODES - 1, STALL_MS);
}

// As test_stalled_peers_do_not_use_up_retries, on a node with a short silence timeout.
static void test_briefly_stalled_peers_do_not_use_up_retries(void **state)
{
    check_peers_stall(true, LOOKUPS, NODES - 1, SHORT_STALL_MS);
}

// Few queries have enough retries to survive the same stall.
static void test_few_queries_survive_stalled_peers(void **state)
{
    check_peers_stall(false, FEW_LOOKUPS, NODES - 1, STALL_MS);
}

static void test_queries_survive_one_stalled_peer(void **state)
{
    check_peers_stall(false, LOOKUPS, 1, STALL_MS);
}

// Peers that stand still repeatedly must not use up the attempts of a fragment. After three, a
// query ended "unknown" at a third of its deadline. Replies to other queries end the silence in
// between.
static void test_repeated_stalls_do_not_use_up_attempts(void **state)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    outcomes_t lookups = begin_outcomes(sim);
    outcomes_t fetches = begin_outcomes(sim);
    for (unsigned i = 0; i < ROLLS; i++)
        lab_sim_slow_searcher(sim, i, SLOW_FACTOR);
    submit(&lookups, 0, "lookup");
    for (unsigned elapsed_ms = 0; elapsed_ms < 2 * (AWAKE_MS + STALL_MS); elapsed_ms += 5) {
        if (elapsed_ms % (AWAKE_MS + STALL_MS) == AWAKE_MS)
            pause_peers(sim, STALL_MS);
        if (elapsed_ms % FETCH_INTERVAL_MS == 0)
            submit(&fetches, 0, "fetch");
        advance_ms(sim, 5);
    }
    lab_sim_advance(sim, DEADLINE_US);
    check_all_answered(&fetches);
    check_all_answered(&lookups);
    lab_sim_destroy(sim);
    g_free(declarations);
}

/* Twelve lookups at once to each node except the first; the slots of the searchers are enough to
 * answer them in less than a second. */
static void check_burst(lab_sim_t *sim)
{
    outcomes_t outcomes = begin_outcomes(sim);
    for (unsigned i = 0; i < ROLLS; i++)
        lab_sim_slow_searcher(sim, i, SLOW_FACTOR);
    for (unsigned node = 1; node < NODES; node++)
        submit_lookups(&outcomes, node, BURST_LOOKUPS);
    lab_sim_advance(sim, DEADLINE_US);
    check_all_answered(&outcomes);
}

// The time for which an owner stood still must not count as service time of its searchers. It
// refused requests as cannot_finish that they would have answered in time.
static void test_stall_is_not_service_time(void **state)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    outcomes_t before = begin_outcomes(sim);
    submit_lookups(&before, 0, 10);
    lab_sim_advance(sim, AT_SEARCHERS_US);
    for (unsigned node = 0; node < NODES; node++)
        lab_sim_pause(sim, node, LONG_STALL_MS * TS_US_PER_MS);
    advance_ms(sim, LONG_STALL_MS + 200);
    check_all_answered(&before);
    check_burst(sim);
    lab_sim_destroy(sim);
    g_free(declarations);
}

// Without the stall the same burst is answered.
static void test_burst_without_stall_is_answered(void **state)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    check_burst(sim);
    lab_sim_destroy(sim);
    g_free(declarations);
}

static void check_large_burst(bool is_warm)
{
    char *declarations = make_declarations();
    lab_sim_t *sim = start_sim(declarations);
    for (unsigned node = 0; is_warm && node < NODES; node++)
        warm_up(sim, node);
    outcomes_t outcomes = begin_outcomes(sim);
    for (unsigned node = 0; node < NODES; node++)
        submit_lookups(&outcomes, node, LARGE_BURST_LOOKUPS);
    lab_sim_advance(sim, DEADLINE_US);
    check_all_answered(&outcomes);
    lab_sim_destroy(sim);
    g_free(declarations);
}

// A burst that the searchers can answer long before the deadline must be queued. It was refused as
// queue_full, as after a moment in which no node ran, and most queries ended "unknown".
static void test_large_burst_is_queued(void **state)
{
    check_large_burst(true);
}

// As test_large_burst_is_queued, at owners that have not measured a service time yet.
static void test_large_burst_at_new_owners_is_queued(void **state)
{
    check_large_burst(false);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_replies_unread_during_own_stall_are_used),
        cmocka_unit_test(test_replies_unread_during_short_own_stall_are_used),
        cmocka_unit_test(test_single_query_survives_own_stall),
        cmocka_unit_test(test_stalled_peers_do_not_use_up_retries),
        cmocka_unit_test(test_briefly_stalled_peers_do_not_use_up_retries),
        cmocka_unit_test(test_few_queries_survive_stalled_peers),
        cmocka_unit_test(test_queries_survive_one_stalled_peer),
        cmocka_unit_test(test_repeated_stalls_do_not_use_up_attempts),
        cmocka_unit_test(test_stall_is_not_service_time),
        cmocka_unit_test(test_burst_without_stall_is_answered),
        cmocka_unit_test(test_large_burst_is_queued),
        cmocka_unit_test(test_large_burst_at_new_owners_is_queued),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
