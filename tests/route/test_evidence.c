/** Health statistics of an instance: decay, sums over nodes, and pauses versus slowness. */
#include "../test_support.h"

#include <math.h>

#include "tealspar/evidence.h"

#define MS TS_US_PER_MS
#define BEGIN_US (100 * TS_US_PER_S)

static void add_latency(ts_evidence_t *evidence, double ratio, ts_time_us_t now_us)
{
    ts_evidence_count_t count = {0};
    ts_evidence_count_add_result(&count, false);
    ts_evidence_count_add_latency(&count, ratio);
    ts_evidence_add(evidence, &count, now_us);
}

static double latency_ratio(const ts_evidence_t *evidence, ts_time_us_t now_us)
{
    ts_evidence_sums_t sums = ts_evidence_sums(evidence, now_us);
    return ts_evidence_latency_ratio(&sums);
}

static double failure_rate(const ts_evidence_t *evidence, ts_time_us_t now_us)
{
    ts_evidence_sums_t sums = ts_evidence_sums(evidence, now_us);
    return ts_evidence_failure_rate(&sums);
}

static void test_no_evidence_is_normal(void **state)
{
    ts_evidence_t evidence = {0};
    ts_evidence_sums_t sums = ts_evidence_sums(&evidence, BEGIN_US);
    assert_true(ts_evidence_latency_ratio(&sums) == 1);
    assert_true(ts_evidence_failure_rate(&sums) == 0);
    assert_false(ts_evidence_is_anomalous(&sums));
}

/* Thirty late answers after one pause have less weight than eight late ones at intervals. */
static void test_pause_is_not_slowness(void **state)
{
    ts_evidence_t paused = {0};
    ts_evidence_t slow = {0};
    ts_time_us_t now_us = BEGIN_US;
    for (int i = 0; i < 20; i++) // both instances answer in normal time at first
        add_latency(&paused, 1, now_us += 100 * MS);
    slow = paused;
    for (int i = 0; i < 30; i++)
        add_latency(&paused, 10, now_us + (ts_time_us_t)i * MS);
    assert_true(latency_ratio(&paused, now_us + 30 * MS) < 1.3);
    for (int i = 0; i < 8; i++)
        add_latency(&slow, 10, now_us += 100 * MS);
    assert_true(latency_ratio(&slow, now_us) > 2);
}

static void test_evidence_decays(void **state)
{
    ts_evidence_t evidence = {0};
    ts_evidence_count_t count = {0};
    for (int i = 0; i < 10; i++)
        ts_evidence_count_add_result(&count, true);
    ts_evidence_add(&evidence, &count, BEGIN_US);
    add_latency(&evidence, 8, BEGIN_US);
    assert_true(failure_rate(&evidence, BEGIN_US) > 0.6);
    assert_true(failure_rate(&evidence, BEGIN_US + 20 * TS_US_PER_S) < 0.01);
    assert_true(latency_ratio(&evidence, BEGIN_US + 20 * TS_US_PER_S) < 1.01);
    /* A time before the last update, as from another thread's clock reading, has no effect. */
    assert_true(failure_rate(&evidence, BEGIN_US - 5 * TS_US_PER_S) > 0.6);
}

/* Counts of two nodes, added by a third one, equal those of one node that got all answers. */
static void test_counts_add_up(void **state)
{
    ts_evidence_count_t a = {0};
    ts_evidence_count_t b = {0};
    ts_evidence_count_t both = {0};
    ts_evidence_t merged = {0};
    ts_evidence_t single = {0};
    for (int i = 0; i < 12; i++) {
        ts_evidence_count_add_result(i % 2 ? &a : &b, i % 3 == 0);
        ts_evidence_count_add_latency(i % 2 ? &a : &b, 1 + i);
        ts_evidence_count_add_result(&both, i % 3 == 0);
        ts_evidence_count_add_latency(&both, 1 + i);
    }
    ts_evidence_count_merge(&a, &b);
    ts_evidence_add(&merged, &a, BEGIN_US);
    ts_evidence_add(&single, &both, BEGIN_US);
    assert_true(fabs(latency_ratio(&merged, BEGIN_US) - latency_ratio(&single, BEGIN_US)) < 1e-9);
    assert_true(fabs(failure_rate(&merged, BEGIN_US) - failure_rate(&single, BEGIN_US)) < 1e-9);
    assert_true(a.has_failure_or_slow);
}

/* Extreme ratios of response time to expected time are capped at 16. */
static void test_ratios_are_bounded(void **state)
{
    ts_evidence_t evidence = {0};
    for (int i = 0; i < 50; i++)
        add_latency(&evidence, 1e9, BEGIN_US + (ts_time_us_t)i * 200 * MS);
    assert_true(latency_ratio(&evidence, BEGIN_US + 10 * TS_US_PER_S) <= 16);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_no_evidence_is_normal), cmocka_unit_test(test_pause_is_not_slowness),
        cmocka_unit_test(test_evidence_decays),       cmocka_unit_test(test_counts_add_up),
        cmocka_unit_test(test_ratios_are_bounded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
