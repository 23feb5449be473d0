/** Delays of messages, measured without a common clock. */
#include "../test_support.h"

#include "tealspar/transit.h"

#define CLOCK 7
/* Receiver's clock less sender's; the sender has run for longer. */
#define DIFFERENCE_US (-90 * (int64_t)TS_US_PER_S)
#define SENT_US (200 * TS_US_PER_S)
#define MS TS_US_PER_MS

/* A message sent `at_us` after the first one, which is `way_us` on its way. */
static ts_time_us_t add(ts_transit_t *transit, ts_time_us_t at_us, ts_time_us_t way_us)
{
    ts_time_us_t sent_us = SENT_US + at_us;
    ts_time_us_t received_us = (ts_time_us_t)((int64_t)(sent_us + way_us) + DIFFERENCE_US);
    return ts_transit_add(transit, CLOCK, sent_us, received_us);
}

static void test_delay_is_beyond_fastest_message(void **state)
{
    ts_transit_t transit = {0};
    assert_int_equal(add(&transit, 0, 20 * MS), 0);
    assert_int_equal(add(&transit, 500 * MS, 5 * MS), 0);
    assert_int_equal(add(&transit, 900 * MS, 1505 * MS), 1500 * MS);
    assert_int_equal(add(&transit, 800 * MS, 1705 * MS), 1700 * MS); // overtaken
    assert_int_equal(add(&transit, 3000 * MS, 5 * MS), 0);
}

/* Nothing arrives for several windows; then what has waited since. */
static void test_delay_after_long_silence(void **state)
{
    ts_transit_t transit = {0};
    assert_int_equal(add(&transit, 0, 5 * MS), 0);
    assert_int_equal(add(&transit, 1000 * MS, 400005 * MS), 400000 * MS);
    assert_int_equal(add(&transit, 400900 * MS, 105 * MS), 100 * MS);
}

/* A way that stays longer is the usual one after two windows. */
static void test_longer_way_becomes_usual(void **state)
{
    ts_transit_t transit = {0};
    assert_int_equal(add(&transit, 0, 5 * MS), 0);
    assert_int_equal(add(&transit, 1000 * MS, 65 * MS), 60 * MS);
    for (unsigned s = 2; s < 130; s++)
        (void)add(&transit, s * TS_US_PER_S, 65 * MS);
    assert_int_equal(add(&transit, 130 * TS_US_PER_S, 65 * MS), 0);
}

/* The sender's process was replaced by one on another machine. */
static void test_other_clock_starts_anew(void **state)
{
    ts_transit_t transit = {0};
    assert_int_equal(add(&transit, 0, 5 * MS), 0);
    assert_int_equal(ts_transit_add(&transit, CLOCK + 1, MS, 500 * TS_US_PER_S), 0);
    assert_int_equal(ts_transit_add(&transit, CLOCK + 1, 2 * MS, 500 * TS_US_PER_S + 9 * MS),
                     8 * MS);
}

static void test_message_without_clock_has_no_delay(void **state)
{
    ts_transit_t transit = {0};
    assert_int_equal(ts_transit_add(&transit, 0, 0, 500 * TS_US_PER_S), 0);
    assert_int_equal(ts_transit_add(&transit, 0, 0, 900 * TS_US_PER_S), 0);
    assert_int_equal(add(&transit, 0, 5 * MS), 0);
}

/* The sender's clock is slower by 500 us a second. */
static void test_drift_of_clocks(void **state)
{
    ts_transit_t transit = {0};
    for (unsigned s = 0; s < 3600; s++) {
        ts_time_us_t sent_us = SENT_US + s * TS_US_PER_S;
        ts_time_us_t received_us = s * TS_US_PER_S + s * 500UL;
        assert_in_range(ts_transit_add(&transit, CLOCK, sent_us, received_us), 0, 61 * MS);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_delay_is_beyond_fastest_message),
        cmocka_unit_test(test_delay_after_long_silence),
        cmocka_unit_test(test_longer_way_becomes_usual),
        cmocka_unit_test(test_other_clock_starts_anew),
        cmocka_unit_test(test_message_without_clock_has_no_delay),
        cmocka_unit_test(test_drift_of_clocks),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
