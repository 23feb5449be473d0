/** Token bucket for the calls that read changes. */
#include "../test_support.h"

#include "tealspar/call_pace.h"

#define MS TS_US_PER_MS

/* The first two changes after an idle period are read without delay. */
static void test_first_changes_are_read_without_delay(void **state)
{
    ts_call_pace_t pace = {0};
    ts_time_us_t now_us = 100 * TS_US_PER_S;
    assert_int_equal(ts_call_pace_take(&pace, now_us), 0);
    assert_int_equal(ts_call_pace_take(&pace, now_us + 20 * MS), 0);
    assert_true(ts_call_pace_take(&pace, now_us + 40 * MS) > 0);
    assert_int_equal(ts_call_pace_take(&pace, now_us + 8 * TS_US_PER_S), 0);
}

/* Continuous changes are read in batches, by a bounded number of calls. */
static void test_steady_changes_are_batched(void **state)
{
    ts_call_pace_t pace = {0};
    ts_time_us_t start_us = 100 * TS_US_PER_S;
    unsigned calls = 0;
    for (ts_time_us_t now_us = start_us; now_us < start_us + 60 * TS_US_PER_S; calls++)
        now_us +=
            ts_call_pace_take(&pace, now_us) + 10 * MS; /* the next change comes 10 ms later */
    assert_in_range(calls, 60, 120);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_first_changes_are_read_without_delay),
        cmocka_unit_test(test_steady_changes_are_batched),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
