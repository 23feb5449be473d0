/** Request counters by tenant: the limit of labels, and the metrics. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/tenant_counters.h"

static void test_number_of_labels_is_limited(void **state)
{
    for (unsigned i = 0; i < 3 * TS_TENANT_LABELS_MAX; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "t%u", i);
        ts_tenant_count(name, TS_TENANT_SERVED);
        ts_tenant_count("t0", TS_TENANT_OVER_QUOTA);
    }
    assert_int_equal(ts_tenant_get_count("t0", TS_TENANT_SERVED), 1);
    assert_int_equal(ts_tenant_get_count("t0", TS_TENANT_OVER_QUOTA), 3 * TS_TENANT_LABELS_MAX);
    assert_int_equal(ts_tenant_get_count("t299", TS_TENANT_SERVED), 0);
    assert_int_equal(ts_tenant_get_count("(others)", TS_TENANT_SERVED), 2 * TS_TENANT_LABELS_MAX);
    GString *text = g_string_new(NULL);
    ts_tenant_counters_write(text);
    assert_non_null(strstr(text->str, "{tenant=\"t0\",outcome=\"over_quota\"} 300\n"));
    char **lines = g_strsplit(text->str, "\n", -1);
    unsigned label_count = TS_TENANT_LABELS_MAX + 1;
    assert_int_equal(g_strv_length(lines), label_count * TS_TENANT_OUTCOMES + 2 + 1);
    g_strfreev(lines);
    g_string_free(text, TRUE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_number_of_labels_is_limited),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
