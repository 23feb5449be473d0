/** Evidence about an instance: it fades, adds up, and tells a pause from slowness. */
#include "../test_support.h"

#include <math.h>

#include "tealspar/evidence.h"

#define MS TS_US_PER_MS
#define BEGIN_US (100 * TS_US_PER_S)

static void note_time(ts_evidence_t *evidence, double ratio, ts_time_us_t now_us)
{
    ts_evidence_count_t count = {0};
    ts_evidence_count_add_result(&count, false);
    ts_evidence_count_add_latency(&count, ratio);
    ts_evidence_add(evidence, &count, now_us);
}

static double slowness(const ts_evidence_t *evidence, ts_time_us_t now_us)
{
    ts_evidence_sums_t sums = ts_evidence_sums(evidence, now_us);
    return ts_evidence_latency_ratio(&sums);
}

static double failing(const ts_evidence_t *evidence, ts_time_us_t now_us)
{
    ts_evidence_sums_t sums = ts_evidence_sums(evidence, now_us);
    return ts_evidence_failure_rate(&sums);
}

static void test_nothing_known_is_usual(void **state)
{
    ts_evidence_t evidence = {0};
    ts_evidence_sums_t sums = ts_evidence_sums(&evidence, BEGIN_US);
    assert_true(ts_evidence_latency_ratio(&sums) == 1);
    assert_true(ts_evidence_failure_rate(&sums) == 0);
    assert_false(ts_evidence_is_anomalous(&sums));
}

/* Thirty late answers of one pause weigh less than eight that come one after another. */
static void test_pause_is_no_slowness(void **state)
{
    ts_evidence_t paused = {0};
    ts_evidence_t slow = {0};
    ts_time_us_t now_us = BEGIN_US;
    for (int i = 0; i < 20; i++) // both usual before
        note_time(&paused, 1, now_us += 100 * MS);
    slow = paused;
    for (int i = 0; i < 30; i++)
        note_time(&paused, 10, now_us + (ts_time_us_t)i * MS);
    assert_true(slowness(&paused, now_us + 30 * MS) < 1.3);
    for (int i = 0; i < 8; i++)
        note_time(&slow, 10, now_us += 100 * MS);
    assert_true(slowness(&slow, now_us) > 2);
}

static void test_evidence_fades(void **state)
{
    ts_evidence_t evidence = {0};
    ts_evidence_count_t count = {0};
    for (int i = 0; i < 10; i++)
        ts_evidence_count_add_result(&count, true);
    ts_evidence_add(&evidence, &count, BEGIN_US);
    note_time(&evidence, 8, BEGIN_US);
    assert_true(failing(&evidence, BEGIN_US) > 0.6);
    assert_true(failing(&evidence, BEGIN_US + 20 * TS_US_PER_S) < 0.01);
    assert_true(slowness(&evidence, BEGIN_US + 20 * TS_US_PER_S) < 1.01);
    /* A clock that seems to go back, as between two threads' readings, changes nothing. */
    assert_true(failing(&evidence, BEGIN_US - 5 * TS_US_PER_S) > 0.6);
}

/* The counts of two nodes, noted by a third one, are those of one node that saw all. */
static void test_counts_add_up(void **state)
{
    ts_evidence_count_t a = {0};
    ts_evidence_count_t b = {0};
    ts_evidence_count_t both = {0};
    ts_evidence_t joined = {0};
    ts_evidence_t alone = {0};
    for (int i = 0; i < 12; i++) {
        ts_evidence_count_add_result(i % 2 ? &a : &b, i % 3 == 0);
        ts_evidence_count_add_latency(i % 2 ? &a : &b, 1 + i);
        ts_evidence_count_add_result(&both, i % 3 == 0);
        ts_evidence_count_add_latency(&both, 1 + i);
    }
    ts_evidence_count_merge(&a, &b);
    ts_evidence_add(&joined, &a, BEGIN_US);
    ts_evidence_add(&alone, &both, BEGIN_US);
    assert_true(fabs(slowness(&joined, BEGIN_US) - slowness(&alone, BEGIN_US)) < 1e-9);
    assert_true(fabs(failing(&joined, BEGIN_US) - failing(&alone, BEGIN_US)) < 1e-9);
    assert_true(a.has_failure_or_slow);
}

/* Absurd times count as no more than very late ones. */
static void test_ratios_are_bounded(void **state)
{
    ts_evidence_t evidence = {0};
    for (int i = 0; i < 50; i++)
        note_time(&evidence, 1e9, BEGIN_US + (ts_time_us_t)i * 200 * MS);
    assert_true(slowness(&evidence, BEGIN_US + 10 * TS_US_PER_S) <= 16);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_nothing_known_is_usual), cmocka_unit_test(test_pause_is_no_slowness),
        cmocka_unit_test(test_evidence_fades),         cmocka_unit_test(test_counts_add_up),
        cmocka_unit_test(test_ratios_are_bounded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
