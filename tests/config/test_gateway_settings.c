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

static void test_durations(void **state)
{
    ts_gateway_settings_t *settings = load("grace: 6.5s\ndrain: 2500ms\nretry_window: 10.0004 s\n");
    assert_null(settings); // a blank before the unit
    settings = load("grace: 6.5s\ndrain: 2500.6ms\nretry_window: 10.0004s\nrevoke_ms: 4000\n");
    assert_non_null(settings);
    assert_int_equal(settings->grace_ms, 6500);
    assert_int_equal(settings->drain_ms, 2501);
    assert_int_equal(settings->retry_window_ms, 10000);
    assert_int_equal(settings->revoke_ms, 4000);
    assert_int_equal(settings->quota_window_ms, 5000);
    ts_gateway_settings_free(settings);
    static const char *const invalid[] = {
        "grace: 6.5\n",    "grace: s\n",         "grace: 6s5\n",
        "grace: -6s\n",    "grace: nans\n",      "grace: 1e9s\n",
        "grace: 0.006s\n", "grace_ms: 6.5000\n", "grace: 6s\ngrace_ms: 6000\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
        assert_null(load(invalid[i]));
}

static void test_limits_of_the_process(void **state)
{
    ts_gateway_settings_t *settings = load("memory_mb: 260\ndescriptors_max: 4100\n");
    assert_non_null(settings);
    assert_int_equal(settings->memory_mb, 260);
    assert_int_equal(settings->descriptors_max, 4100);
    ts_gateway_settings_free(settings);
    settings = load("");
    assert_int_equal(settings->memory_mb, 0);
    assert_int_equal(settings->descriptors_max, 0);
    ts_gateway_settings_free(settings);
    assert_null(load("memory_mb: 31\n"));
    assert_null(load("descriptors_max: 399\n"));
}

/* Replaces all matches of a pattern in `*text`. */
static void replace(char **text, const char *pattern, const char *replacement)
{
    GRegex *regex = g_regex_new(pattern, G_REGEX_MULTILINE, 0, NULL);
    char *result = g_regex_replace_literal(regex, *text, -1, 0, replacement, 0, NULL);
    g_regex_unref(regex);
    g_free(*text);
    *text = result;
}

/* What the platform fills into the template, in this order; sections are kept. */
static const struct {
    const char *pattern;
    const char *value;
} rendering[] = {
    {"^zones: .*$", ""},
    {"\\{\\{bounds\\.graceS\\}\\}", "6.5"},
    {"\\{\\{bounds\\.budgetWindowS\\}\\}", "2.25"},
    {"(?<=memory_mb: )\\{\\{\\.\\}\\}", "260"},
    {"(?<=descriptors_max: )\\{\\{\\.\\}\\}", "4100"},
    {"(?<=grace: )\\{\\{\\.\\}\\}", "6.5"},
    {"(?<=retry_window: )\\{\\{\\.\\}\\}", "2.25"},
    {"(?<=quota_window: )\\{\\{\\.\\}\\}", "1.5"},
    {"(?<=quota_window_ms: )\\{\\{\\.\\}\\}", "1.5"},
    {"\\{\\{[#/,][^}]*\\}\\}", ""},
    {"'\\{\\{\\.\\}\\}'", "127.0.0.1:1"},
    {"\\{\\{(listenAddrs\\.[a-z]+|platform\\.address)\\}\\}", "127.0.0.1:1"},
    {"\\{\\{ip\\}\\}", "127.0.0.1"},
    {"\\{\\{[^}]*\\}\\}", "7"},
};

/* A deployment may give its durations as fractions of a second: the settings template must not turn
 * 6.5 s into 6 ms, so that a planned stop has no time to answer anything. */
static void test_template_keeps_fractions_of_seconds(void **state)
{
    char *text = NULL;
    assert_true(g_file_get_contents("deploy/gateway.yaml", &text, NULL, NULL));
    for (size_t i = 0; i < G_N_ELEMENTS(rendering); i++)
        replace(&text, rendering[i].pattern, rendering[i].value);
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_gateway_settings_t *settings = ts_gateway_settings_load(text, strlen(text), &problems);
    ts_problems_print(&problems, "rendered template");
    assert_non_null(settings);
    assert_int_equal(settings->grace_ms, 6500);
    assert_int_equal(settings->retry_window_ms, 2250);
    assert_int_equal(settings->quota_window_ms, 1500);
    ts_gateway_settings_free(settings);
    ts_problems_clear(&problems);
    g_free(text);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_defaults),
        cmocka_unit_test(test_peer_address),
        cmocka_unit_test(test_rejects_invalid_settings),
        cmocka_unit_test(test_disabled_mechanisms),
        cmocka_unit_test(test_durations),
        cmocka_unit_test(test_limits_of_the_process),
        cmocka_unit_test(test_template_keeps_fractions_of_seconds),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
