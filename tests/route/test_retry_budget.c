/** Retry budget of a node: sliding window, loans between nodes, and when it is low. */
#include "../test_support.h"

#include "tealspar/retry_budget.h"

#define MS TS_US_PER_MS

/*
 * In any window, a node's retries stay within ratio x requests + its share of the slack, where
 * requests are those of the window or of the one before, whichever are more; one more retry is
 * tolerated.
 */
static void test_budget_holds_in_every_window(void **state)
{
    const ts_retry_budget_rule_t rule = {
        .ratio = 0.2, .slack_share = 2, .window_us = 10 * TS_US_PER_S};
    ts_retry_budget_t budget = {0};
    GRand *random = g_rand_new_with_seed(11);
    enum { SPAN_MS = 60000, WINDOW_MS = 10000 };
    static uint32_t requests[SPAN_MS];
    static uint32_t retries[SPAN_MS];
    for (int ms = 0; ms < SPAN_MS; ms++) {
        ts_time_us_t now_us = 5 * TS_US_PER_S + (ts_time_us_t)ms * MS;
        int rate = (ms / 7000) % 3 == 1 ? 30 : 2; /* percent per ms; high and low periods */
        if (g_rand_int_range(random, 0, 100) < rate) {
            ts_retry_budget_count_request(&budget, &rule, now_us);
            requests[ms]++;
        }
        retries[ms] = ts_retry_budget_take(&budget, &rule, now_us);
    }
    for (int begin = 0; begin + WINDOW_MS <= SPAN_MS; begin += 50) {
        uint32_t request_count = 0;
        uint32_t retry_count = 0;
        uint32_t previous_request_count = 0;
        for (int ms = begin; ms < begin + WINDOW_MS; ms++) {
            request_count += requests[ms];
            retry_count += retries[ms];
            previous_request_count += ms >= WINDOW_MS ? requests[ms - WINDOW_MS] : 0;
        }
        uint32_t request_count_max =
            request_count > previous_request_count ? request_count : previous_request_count;
        assert_true(retry_count <= rule.ratio * request_count_max + rule.slack_share + 1);
    }
    g_rand_free(random);
}

static void test_new_budget_is_its_slack_share(void **state)
{
    const ts_retry_budget_rule_t rule = {
        .ratio = 0.2, .slack_share = 2, .window_us = 10 * TS_US_PER_S};
    ts_retry_budget_t budget = {0};
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    assert_true(ts_retry_budget_take(&budget, &rule, now_us));
    assert_true(ts_retry_budget_take(&budget, &rule, now_us));
    assert_false(ts_retry_budget_take(&budget, &rule, now_us));
    ts_retry_budget_refund(&budget);
    assert_true(ts_retry_budget_take(&budget, &rule, now_us));
}

/* Whatever is lent and borrowed, the retries of two nodes stay within the sum of their budgets. */
static void test_loans_do_not_raise_the_total(void **state)
{
    const ts_retry_budget_rule_t rule = {
        .ratio = 0.2, .slack_share = 5, .window_us = 10 * TS_US_PER_S};
    ts_retry_budget_t nodes[2] = {0};
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    unsigned taken = 0;
    for (int i = 0; i < 100; i++) { /* the first node borrows whenever it has none left */
        now_us += 10 * MS;
        if (ts_retry_budget_take(&nodes[0], &rule, now_us)) {
            taken++;
            continue;
        }
        uint32_t granted = ts_retry_budget_lend(&nodes[1], &rule, 2, now_us);
        ts_retry_budget_borrow(&nodes[0], granted, now_us);
    }
    assert_int_equal(taken, 9); /* its own five and four borrowed ones; the lender reserves one */
    assert_true(ts_retry_budget_take(&nodes[1], &rule, now_us));
    assert_false(ts_retry_budget_take(&nodes[1], &rule, now_us));
}

static void test_loan_expires(void **state)
{
    const ts_retry_budget_rule_t rule = {
        .ratio = 0, .slack_share = 0, .window_us = 10 * TS_US_PER_S};
    ts_retry_budget_t budget = {0};
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    ts_retry_budget_borrow(&budget, 2, now_us);
    assert_true(ts_retry_budget_take(&budget, &rule, now_us + 100 * MS));
    assert_false(ts_retry_budget_take(&budget, &rule, now_us + 400 * MS));
    ts_retry_budget_borrow(&budget, 1, now_us + 500 * MS); /* expired retries do not return */
    assert_true(ts_retry_budget_take(&budget, &rule, now_us + 600 * MS));
    assert_false(ts_retry_budget_take(&budget, &rule, now_us + 600 * MS));
}

/* Low is less than half of what the window allows, so it depends on the requests too. */
static void test_low_budget(void **state)
{
    const ts_retry_budget_rule_t rule = {
        .ratio = 0.2, .slack_share = 4, .window_us = 10 * TS_US_PER_S};
    ts_retry_budget_t budget = {0};
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    assert_false(ts_retry_budget_is_low(&budget, &rule, now_us));
    for (int i = 0; i < 3; i++)
        assert_true(ts_retry_budget_take(&budget, &rule, now_us));
    assert_true(ts_retry_budget_is_low(&budget, &rule, now_us));
    for (int i = 0; i < 40; i++)
        ts_retry_budget_count_request(&budget, &rule, now_us);
    assert_false(ts_retry_budget_is_low(&budget, &rule, now_us));
    assert_false(ts_retry_budget_is_low(&budget, &rule, now_us + 30 * TS_US_PER_S));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_budget_holds_in_every_window),
        cmocka_unit_test(test_new_budget_is_its_slack_share),
        cmocka_unit_test(test_loans_do_not_raise_the_total),
        cmocka_unit_test(test_loan_expires),
        cmocka_unit_test(test_low_budget),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
