/** Schedule of a graceful shutdown, on given times. */
#include "../test_support.h"

#include "tealspar/shutdown.h"

#define BEGUN_US (100 * TS_US_PER_S)

static ts_time_us_t at_ms(unsigned since_begin_ms)
{
    return BEGUN_US + since_begin_ms * TS_US_PER_MS;
}

static void test_usual_grace_period(void **state)
{
    ts_shutdown_t shutdown = {0};
    assert_int_equal(ts_shutdown_answer_by_us(&shutdown), UINT64_MAX);
    ts_shutdown_begin(&shutdown, BEGUN_US, 6 * TS_US_PER_S);
    assert_int_equal(ts_shutdown_answer_by_us(&shutdown), at_ms(5600));
    assert_int_equal(ts_shutdown_advance(&shutdown, at_ms(3500), true), TS_SHUTDOWN_ACCEPTING);
    assert_int_equal(ts_shutdown_advance(&shutdown, at_ms(3501), false), TS_SHUTDOWN_CLOSING);
    assert_int_equal(ts_shutdown_advance(&shutdown, at_ms(5600), false), TS_SHUTDOWN_CLOSING);
    assert_int_equal(ts_shutdown_advance(&shutdown, at_ms(5601), false), TS_SHUTDOWN_FLUSHING);
    assert_int_equal(ts_shutdown_advance(&shutdown, at_ms(5800), false), TS_SHUTDOWN_FLUSHING);
    assert_int_equal(ts_shutdown_advance(&shutdown, at_ms(5801), false), TS_SHUTDOWN_ENDED);
}

static void test_idle_shutdown_ends_after_accepting(void **state)
{
    ts_shutdown_t shutdown = {0};
    ts_shutdown_begin(&shutdown, BEGUN_US, 6 * TS_US_PER_S);
    assert_int_equal(ts_shutdown_advance(&shutdown, at_ms(3550), true), TS_SHUTDOWN_CLOSING);
    assert_int_equal(ts_shutdown_advance(&shutdown, at_ms(3600), true), TS_SHUTDOWN_ENDED);
    assert_int_equal(ts_shutdown_advance(&shutdown, at_ms(9000), false), TS_SHUTDOWN_ENDED);
}

/* Answers need time in every grace period, and the exit comes before its end. */
static void test_short_grace_periods(void **state)
{
    for (unsigned grace_ms = 1; grace_ms <= 5000; grace_ms++) {
        ts_shutdown_t shutdown = {0};
        ts_shutdown_begin(&shutdown, BEGUN_US, grace_ms * TS_US_PER_MS);
        assert_true(shutdown.close_listener_us < shutdown.answer_by_us);
        assert_true(shutdown.answer_by_us < shutdown.exit_us);
        assert_true(shutdown.exit_us < at_ms(grace_ms));
    }
}

/* After a stall beyond the exit each phase is still entered once, so that sockets are polled in it.
 */
static void test_stall_skips_no_phase(void **state)
{
    ts_shutdown_t shutdown = {0};
    ts_shutdown_begin(&shutdown, BEGUN_US, 6 * TS_US_PER_S);
    assert_int_equal(ts_shutdown_advance(&shutdown, at_ms(5900), false), TS_SHUTDOWN_CLOSING);
    assert_int_equal(ts_shutdown_advance(&shutdown, at_ms(5900), false), TS_SHUTDOWN_FLUSHING);
    assert_int_equal(ts_shutdown_advance(&shutdown, at_ms(5900), false), TS_SHUTDOWN_ENDED);
}

static void test_second_begin_changes_nothing(void **state)
{
    ts_shutdown_t shutdown = {0};
    ts_shutdown_begin(&shutdown, BEGUN_US, 6 * TS_US_PER_S);
    ts_shutdown_begin(&shutdown, at_ms(2000), 60 * TS_US_PER_S);
    assert_int_equal(ts_shutdown_answer_by_us(&shutdown), at_ms(5600));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_usual_grace_period),
        cmocka_unit_test(test_idle_shutdown_ends_after_accepting),
        cmocka_unit_test(test_short_grace_periods),
        cmocka_unit_test(test_stall_skips_no_phase),
        cmocka_unit_test(test_second_begin_changes_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
