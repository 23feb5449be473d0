/** Requests by tenant: the bound on names, and what the metrics say. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/tenant_counters.h"

static void test_names_are_bounded(void **state)
{
    for (unsigned i = 0; i < 3 * TS_TENANTS_NAMED_MAX; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "t%u", i);
        ts_tenant_count(name, TS_TENANT_SERVED);
        ts_tenant_count("t0", TS_TENANT_OVER_QUOTA);
    }
    assert_int_equal(ts_tenant_counted("t0", TS_TENANT_SERVED), 1);
    assert_int_equal(ts_tenant_counted("t0", TS_TENANT_OVER_QUOTA), 3 * TS_TENANTS_NAMED_MAX);
    assert_int_equal(ts_tenant_counted("t299", TS_TENANT_SERVED), 0);
    assert_int_equal(ts_tenant_counted("(others)", TS_TENANT_SERVED), 2 * TS_TENANTS_NAMED_MAX);
    GString *text = g_string_new(NULL);
    ts_tenant_counters_write(text);
    assert_non_null(strstr(text->str, "{tenant=\"t0\",outcome=\"over_quota\"} 300\n"));
    char **lines = g_strsplit(text->str, "\n", -1);
    unsigned named = TS_TENANTS_NAMED_MAX + 1;
    assert_int_equal(g_strv_length(lines), named * TS_TENANT_OUTCOMES + 2 + 1);
    g_strfreev(lines);
    g_string_free(text, TRUE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_names_are_bounded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
