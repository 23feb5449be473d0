/** Stop rules, replica selection, hedging, load shedding, admission and key routing. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/admission.h"
#include "tealspar/route.h"

static const ts_policy_t *adaptive_policy(void)
{
    return ts_plugin_find(TS_PLUGIN_POLICY, "adaptive");
}

static ts_stop_t stop_at(ts_wait_rule_t wait, uint32_t covered, uint32_t possible,
                         ts_time_us_t elapsed_us)
{
    static ts_histogram_t latencies;
    ts_selector_t selector = {.wait = wait, .least_coverage_percent = 80};
    if (latencies.total == 0) {
        for (int i = 0; i < 100; i++) {
            ts_histogram_add(&latencies, 5000);
        }
    }
    ts_stop_input_t input = {&selector, &latencies, 10, covered, possible, elapsed_us, 100000};
    return adaptive_policy()->stop(&input);
}

static void test_stop_rules(void **state)
{
    assert_int_equal(stop_at(TS_WAIT_DEADLINE, 10, 0, 1), TS_STOP_COMPLETE);
    assert_int_equal(stop_at(TS_WAIT_DEADLINE, 9, 1, 50000), TS_STOP_WAIT);
    assert_int_equal(stop_at(TS_WAIT_DEADLINE, 9, 1, 100000), TS_STOP_DEADLINE);
    assert_int_equal(stop_at(TS_WAIT_DEADLINE, 9, 0, 1), TS_STOP_ENOUGH);
    assert_int_equal(stop_at(TS_WAIT_DEADLINE, 5, 2, 1), TS_STOP_UNREACHABLE);
    assert_int_equal(stop_at(TS_WAIT_COVERAGE, 7, 3, 1), TS_STOP_WAIT);
    assert_int_equal(stop_at(TS_WAIT_COVERAGE, 8, 2, 1), TS_STOP_ENOUGH);
    assert_int_equal(stop_at(TS_WAIT_GAIN, 8, 2, 6000), TS_STOP_WAIT);
    assert_int_equal(stop_at(TS_WAIT_GAIN, 8, 2, 20000), TS_STOP_ENOUGH);
    assert_int_equal(stop_at(TS_WAIT_GAIN, 7, 3, 20000), TS_STOP_WAIT);
}

static void test_min_shards_rounds_up(void **state)
{
    ts_selector_t selector = {.least_coverage_percent = 99.9};
    assert_int_equal(ts_route_min_shards(&selector, 1000), 999); /* despite rounding errors */
    selector.least_coverage_percent = 91;
    assert_int_equal(ts_route_min_shards(&selector, 10), 10);
    selector.least_coverage_percent = 0;
    assert_int_equal(ts_route_min_shards(&selector, 10), 0);
}

static int choose(ts_candidate_t *candidates, size_t count, uint64_t wanted)
{
    ts_choice_input_t input = {candidates, count, wanted, 12345};
    return adaptive_policy()->choose(&input);
}

static void test_choice_prefers_earliest_finish(void **state)
{
    ts_candidate_t candidates[2] = {{.slots = 4, .service_us = 2000, .same_zone = true},
                                    {.slots = 4, .service_us = 2000, .same_zone = true}};
    candidates[0].slots_in_use = 4;
    candidates[0].queue_length = 8;
    assert_int_equal(choose(candidates, 2, 0), 1);
    candidates[0].hint_age_us = 60 * TS_US_PER_S; /* the reported load has decayed */
    candidates[1].in_flight = 8;
    assert_int_equal(choose(candidates, 2, 0), 0);
    candidates[0].avoid = true;
    assert_int_equal(choose(candidates, 2, 0), 1);
    candidates[1].tried = true;
    assert_int_equal(choose(candidates, 2, 0), 0);
    assert_int_equal(choose(candidates, 0, 0), TS_CHOOSE_NONE);
}

static void test_choice_prefers_wanted_snapshot(void **state)
{
    ts_candidate_t candidates[2] = {
        {.slots = 4, .service_us = 1000, .same_zone = true, .snapshot = 1},
        {.slots = 4, .service_us = 9000, .same_zone = true, .snapshot = 2}};
    assert_int_equal(choose(candidates, 2, 0), 0);
    assert_int_equal(choose(candidates, 2, 2), 1);
}

static void test_unrepeatable_is_never_hedged(void **state)
{
    ts_histogram_t latencies = {0};
    ts_selector_t selector = {.hedge_percent = 5, .unrepeatable = true};
    ts_hedge_input_t input = {&selector, &latencies, 100000};
    assert_true(adaptive_policy()->hedge_after_us(&input) == TS_HEDGE_NEVER);
    const ts_policy_t *fixed = ts_plugin_find(TS_PLUGIN_POLICY, "fixed-hedge");
    assert_true(fixed->hedge_after_us(&input) == TS_HEDGE_NEVER);
}

static void test_budget(void **state)
{
    ts_budget_t budget;
    ts_budget_init(&budget, 2);
    assert_true(ts_budget_spend(&budget));
    assert_true(ts_budget_spend(&budget));
    assert_false(ts_budget_spend(&budget));
    ts_budget_credit(&budget, 5, 20);
    assert_true(ts_budget_spend(&budget));
    assert_false(ts_budget_spend(&budget));
    ts_budget_credit(&budget, 5, 100000); /* limited to the burst of 2 */
    assert_true(ts_budget_spend(&budget));
    assert_true(ts_budget_spend(&budget));
    assert_false(ts_budget_spend(&budget));
}

static void test_shedder_adapts_to_overload(void **state)
{
    ts_shedder_t shedder;
    ts_shedder_init(&shedder);
    assert_true(ts_shedder_admits(&shedder, UINT64_MAX));
    for (int i = 0; i < 1000; i++) {
        ts_shedder_record(&shedder, true);
    }
    // Some queries are always admitted, to detect the end of the overload.
    assert_true(shedder.admit_ratio == TS_SHEDDER_MIN_RATIO);
    assert_false(ts_shedder_admits(&shedder, UINT64_MAX));
    assert_true(ts_shedder_admits(&shedder, 0));
    for (int i = 0; i < 1000; i++) {
        ts_shedder_record(&shedder, false);
    }
    assert_true(shedder.admit_ratio == 1.0);
    assert_true(ts_route_is_overload(TS_E_QUEUE_FULL));
    assert_false(ts_route_is_overload(TS_E_PEER_LOST));
}

static void test_admission(void **state)
{
    ts_error_t error = TS_OK;
    ts_admission_input_t input = {.slots = 5,
                                  .kind_share_percent = 80,
                                  .queue_max = 40,
                                  .service_us = 2000,
                                  .left_us = 50000};
    assert_int_equal(ts_admission_decide(&input, &error), TS_ADMIT_RUN);
    input.kind_in_use = 4; /* the whole share of the kind: 80% of five slots */
    input.slots_in_use = 4;
    assert_int_equal(ts_admission_decide(&input, &error), TS_ADMIT_QUEUE);
    input.queue_ahead = 200;
    assert_int_equal(ts_admission_decide(&input, &error), TS_ADMIT_REFUSE);
    assert_int_equal(error, TS_E_CANNOT_FINISH);
    input.queue_length = 40;
    assert_int_equal(ts_admission_decide(&input, &error), TS_ADMIT_REFUSE);
    assert_int_equal(error, TS_E_QUEUE_FULL);
    input.left_us = 0;
    assert_int_equal(ts_admission_decide(&input, &error), TS_ADMIT_REFUSE);
    assert_int_equal(error, TS_E_PAST_DEADLINE);
}

// The queue limit must follow the time left. With a fixed limit of eight per slot, a burst after a
// stall was refused as queue_full although it would have been answered within milliseconds.
static void test_queue_limit_follows_time_left(void **state)
{
    ts_error_t error = TS_OK;
    ts_admission_input_t input = {.slots = 5,
                                  .slots_in_use = 5,
                                  .kind_share_percent = 80,
                                  .queue_min = 40,
                                  .queue_max = 320,
                                  .queue_length = 100,
                                  .queue_ahead = 100,
                                  .service_us = 2000,
                                  .left_us = 160000};
    assert_int_equal(ts_admission_decide(&input, &error), TS_ADMIT_QUEUE); // 42 of 160 ms
    input.left_us = 60000;
    assert_int_equal(ts_admission_decide(&input, &error), TS_ADMIT_REFUSE);
    assert_int_equal(error, TS_E_QUEUE_FULL);
    input.queue_length = 39;
    assert_int_equal(ts_admission_decide(&input, &error), TS_ADMIT_QUEUE); // below queue_min
    input.left_us = 4000000;
    input.queue_length = 320;
    assert_int_equal(ts_admission_decide(&input, &error), TS_ADMIT_REFUSE);
    assert_int_equal(error, TS_E_QUEUE_FULL);
}

static void test_rank_rises_with_waiting_time(void **state)
{
    assert_true(ts_admission_rank(9, 0) > ts_admission_rank(3, 0));
    assert_true(ts_admission_rank(3, 1000000) > ts_admission_rank(9, 0));
}

static void test_keys_move_only_to_new_shard(void **state)
{
    ts_declarations_t *before = test_load(test_declarations_text);
    char *resized_text = test_replace(test_declarations_text, "labels: [service=a], shards: 2",
                                      "labels: [service=a], shards: 3");
    char *after_text = test_replace(resized_text, "shards: [one/0],", "shards: [one/0, one/2],");
    ts_declarations_t *after = test_load(after_text);
    const ts_selector_t *old_selector = ts_declarations_selector(before, "keyed");
    const ts_selector_t *new_selector = ts_declarations_selector(after, "keyed");
    for (int i = 0; i < 1000; i++) {
        char key[16];
        g_snprintf(key, sizeof(key), "key-%d", i);
        uint32_t old_shard = ts_route_shard_of_key(before, old_selector, key);
        uint32_t new_shard = ts_route_shard_of_key(after, new_selector, key);
        assert_true(new_shard == old_shard || new_shard == 2); /* 2: the new shard */
    }
    ts_declarations_unref(before);
    ts_declarations_unref(after);
    g_free(after_text);
    g_free(resized_text);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_stop_rules),
        cmocka_unit_test(test_min_shards_rounds_up),
        cmocka_unit_test(test_choice_prefers_earliest_finish),
        cmocka_unit_test(test_choice_prefers_wanted_snapshot),
        cmocka_unit_test(test_unrepeatable_is_never_hedged),
        cmocka_unit_test(test_budget),
        cmocka_unit_test(test_shedder_adapts_to_overload),
        cmocka_unit_test(test_admission),
        cmocka_unit_test(test_queue_limit_follows_time_left),
        cmocka_unit_test(test_rank_rises_with_waiting_time),
        cmocka_unit_test(test_keys_move_only_to_new_shard),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
