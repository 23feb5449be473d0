/** Byte counters by cause and distance. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/byte_account.h"

/* Each combination of cause and distance has a counter of its own in the metrics. */
static void test_counters_are_separate(void **state)
{
    GString *text = g_string_new(NULL);
    ts_byte_account_add(TS_BYTES_FIRST_SEND, TS_DISTANCE_OTHER_REGION, 100);
    ts_byte_account_add(TS_BYTES_FIRST_SEND, TS_DISTANCE_OTHER_REGION, 20);
    ts_byte_account_add(TS_BYTES_SECOND_SEND, TS_DISTANCE_OTHER_REGION, 3);
    ts_byte_account_add(TS_BYTES_FIRST_SEND, TS_DISTANCE_SAME_REGION, 7);
    assert_int_equal(ts_byte_account_get(TS_BYTES_FIRST_SEND, TS_DISTANCE_OTHER_REGION), 120);
    assert_int_equal(ts_byte_account_get(TS_BYTES_SECOND_SEND, TS_DISTANCE_OTHER_REGION), 3);
    assert_int_equal(ts_byte_account_get(TS_BYTES_LOAN, TS_DISTANCE_OTHER_REGION), 0);
    ts_byte_account_write(text);
    assert_non_null(
        strstr(text->str, "tealspar_bytes_total{cause=\"first_send\",distance=\"far\"} 120\n"));
    assert_non_null(
        strstr(text->str, "tealspar_bytes_total{cause=\"first_send\",distance=\"region\"} 7\n"));
    g_string_free(text, TRUE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_counters_are_separate),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
