/** Gateway settings: defaults, invalid values, peer address and disabled mechanisms. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/gateway_settings.h"
#include "tealspar/mechanism.h"

#define REQUIRED                                                                                   \
    "name: n1\nzone: z1\ndialect: platform\ncallers: 127.0.0.1:1\nready: 127.0.0.1:2\n"            \
    "store: 127.0.0.1:3\n"

static ts_gateway_settings_t *load(const char *optional)
{
    ts_problems_t problems;
    char *text = g_strconcat(REQUIRED, optional, NULL);
    ts_problems_init(&problems);
    ts_gateway_settings_t *settings = ts_gateway_settings_load(text, strlen(text), &problems);
    assert_int_equal(settings == NULL, ts_problems_count(&problems) > 0);
    ts_problems_clear(&problems);
    g_free(text);
    return settings;
}

static void test_defaults(void **state)
{
    ts_gateway_settings_t *settings = load("");
    assert_non_null(settings);
    assert_int_equal(settings->drain_ms, 3000);
    assert_int_equal(settings->retry_window_ms, 10000);
    assert_null(ts_gateway_settings_peer_address(settings));
    ts_gateway_settings_free(settings);
}

static void test_peer_address(void **state)
{
    ts_gateway_settings_t *settings = load("peers: 127.0.0.1:4\n");
    assert_string_equal(ts_gateway_settings_peer_address(settings), "127.0.0.1:4");
    ts_gateway_settings_free(settings);
    settings = load("peers: 127.0.0.1:4\nadvertised: 127.0.0.9:5\n");
    assert_string_equal(ts_gateway_settings_peer_address(settings), "127.0.0.9:5");
    ts_gateway_settings_free(settings);
}

static void test_rejects_invalid_settings(void **state)
{
    assert_null(load("peers: somewhere:4\n"));
    assert_null(load("peers: 127.0.0.1:4\nadvertised: somewhere\n"));
    assert_null(load("retry_ratio: -1\n"));
    assert_null(load("retry_window_ms: 5\n"));
    assert_null(load("no_such_key: 1\n"));
}

static void test_disabled_mechanisms(void **state)
{
    ts_gateway_settings_t *settings = load("without: [travel, loans]\n");
    assert_non_null(settings);
    assert_int_equal(settings->without, 1U << TS_MECHANISM_TRAVEL | 1U << TS_MECHANISM_LOANS);
    ts_gateway_settings_free(settings);
    assert_null(load("without: [nonsense]\n"));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_defaults),
        cmocka_unit_test(test_peer_address),
        cmocka_unit_test(test_rejects_invalid_settings),
        cmocka_unit_test(test_disabled_mechanisms),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
