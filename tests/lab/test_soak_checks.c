/** The soak's checks: each must detect its kind of violation and accept correct input. */
#include "../test_support.h"

#include <string.h>

#include "soak_check.h"
#include "tealspar/records.h"

#define SECOND TS_US_PER_S

static const char *service_of(void *ctx, const char *id)
{
    static const char *const names[] = {"a", "b", "c"};
    return id[0] >= '1' && id[0] <= '3' ? names[id[0] - '1'] : NULL;
}

static gint compare_descending(gconstpointer left, gconstpointer right)
{
    return memcmp(right, left, TS_RECORD_BYTES);
}

/* Correct merged body for parts of services a and b. */
static GString *right_body(const char *request_id)
{
    GString *body = g_string_new(NULL);
    soak_compose_body("a", request_id, body);
    soak_compose_body("b", request_id, body);
    qsort(body->str, body->len / TS_RECORD_BYTES, TS_RECORD_BYTES, compare_descending);
    g_string_truncate(body, SOAK_TOP_RECORDS * TS_RECORD_BYTES);
    return body;
}

static const char *check(const char *signatures, const GString *body)
{
    soak_gathered_t response = {"r7", signatures, 1, body->str, body->len};
    uint64_t services = 0;
    const char *error = soak_check_gathered(&response, service_of, NULL, &services);
    if (error == NULL)
        assert_int_equal(services, 3);
    return error;
}

static void test_right_answer_passes(void **state)
{
    GString *body = right_body("r7");
    assert_null(check("sig.1.5.r7, sig.2.9.r7", body));
    assert_null(check("sig.2.9.r7,sig.1.5.r7", body));
    g_string_free(body, TRUE);
}

static void test_wrong_answers_are_seen(void **state)
{
    GString *body = right_body("r7");
    assert_non_null(check("sig.1.5.r7,sig.2.9.r8", body)); /* part of another request */
    assert_non_null(check("sig.1.5.r7,sig.1.6.r7", body)); /* the same service twice */
    assert_non_null(check("sig.1.5.r7,sig.9.9.r7", body)); /* unknown instance */
    assert_non_null(check("sig.1.5.r7,sig.3.9.r7",
                          body)); /* contains records of a service without a signature */
    assert_non_null(check("sig.1.5.r7", body));
    body->str[3] ^= 1;
    assert_non_null(check("sig.1.5.r7,sig.2.9.r7", body));
    body->str[3] ^= 1;
    g_string_truncate(body, body->len - TS_RECORD_BYTES);
    assert_non_null(check("sig.1.5.r7,sig.2.9.r7", body));
    g_string_free(body, TRUE);
}

static void append_times(GArray *times, unsigned count, ts_time_us_t begin_us, ts_time_us_t step_us)
{
    for (unsigned i = 0; i < count; i++) {
        ts_time_us_t at_us = begin_us + i * step_us;
        g_array_append_val(times, at_us);
    }
}

static void test_budget_in_sliding_windows(void **state)
{
    soak_budget_log_t log = {g_array_new(FALSE, FALSE, sizeof(ts_time_us_t)),
                             g_array_new(FALSE, FALSE, sizeof(ts_time_us_t))};
    append_times(log.requests, 100, 100 * SECOND, SECOND / 10); /* 10 per second for 10 s */
    append_times(log.extra_arrivals, 24, 105 * SECOND, SECOND / 5);
    assert_true(soak_budget_excess(&log, 10 * SECOND, 0.2, 5) <= 0);
    assert_true(soak_budget_excess(&log, 10 * SECOND, 0.2, 3) > 0);
    /* no request in any of the windows considered */
    append_times(log.extra_arrivals, 10, 130 * SECOND, SECOND / 100);
    assert_true(soak_budget_excess(&log, 10 * SECOND, 0.2, 9) > 0);
    g_array_unref(log.requests);
    g_array_unref(log.extra_arrivals);
}

/* Requests to a cold searcher in one second; the window excludes its start. */
static void test_arrivals_of_a_second(void **state)
{
    GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(ts_time_us_t));
    assert_int_equal(soak_count_last_window(arrivals, SECOND), 0);
    for (ts_time_us_t at_us = 10 * SECOND; at_us <= 12 * SECOND; at_us += SECOND / 4)
        g_array_append_val(arrivals, at_us);
    assert_int_equal(soak_count_last_window(arrivals, SECOND), 4);
    ts_time_us_t more_us = 12 * SECOND + 1;
    g_array_append_val(arrivals, more_us);
    assert_int_equal(soak_count_last_window(arrivals, SECOND), 5);
    g_array_unref(arrivals);
}

static void test_max_within_a_window(void **state)
{
    GArray *times = g_array_new(FALSE, FALSE, sizeof(ts_time_us_t));
    assert_int_equal(soak_max_within(times, SECOND), 0);
    for (ts_time_us_t at_us = 10 * SECOND; at_us < 20 * SECOND; at_us += SECOND / 2)
        g_array_append_val(times, at_us);
    assert_int_equal(soak_max_within(times, 5 * SECOND), 10);
    ts_time_us_t more_us = 20 * SECOND - 1; // only the last window contains it
    g_array_append_val(times, more_us);
    assert_int_equal(soak_max_within(times, 5 * SECOND), 11);
    assert_int_equal(soak_max_within(times, SECOND / 4), 1);
    g_array_unref(times);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_arrivals_of_a_second),
        cmocka_unit_test(test_max_within_a_window),
        cmocka_unit_test(test_right_answer_passes),
        cmocka_unit_test(test_wrong_answers_are_seen),
        cmocka_unit_test(test_budget_in_sliding_windows),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
