/** Loading of declarations: valid documents, and the path, reason and line of problems. */
#include "../test_support.h"

#include <string.h>

static void test_computes_reachable_shards_and_replicas(void **state)
{
    ts_declarations_t *declarations = test_load(test_declarations_text);
    const ts_selector_t *all = ts_declarations_selector(declarations, "all");
    assert_int_equal(all->reach_count, 3);
    assert_int_equal(all->replicas_begin[1] - all->replicas_begin[0], 2);
    assert_string_equal(declarations->backends[all->replicas[0]].name, "b1");
    assert_int_equal(all->slot_share_percent, 100);
    const ts_selector_t *keyed = ts_declarations_selector(declarations, "keyed");
    assert_int_equal(keyed->reach_count, 2);
    assert_true(keyed->unrepeatable);
    assert_null(ts_declarations_selector(declarations, "nobody"));
    ts_declarations_unref(declarations);
}

/*
 * An edit of the valid document, in which every `from` is replaced by `to`, with the expected path
 * and a part of the expected reason.
 */
typedef struct invalid_edit {
    const char *from;
    const char *to;
    const char *path;
    const char *reason;
} invalid_edit_t;

static const invalid_edit_t invalid_edits[] = {
    {"version: 3", "version: 0", "version", "begin at 1"},
    {"version: 3", "version: 3\ncolour: red", "(document)", "Unexpected key"},
    {"slots: 2", "slots: many", "backends[0].slots", "Invalid"},
    {"'127.0.0.1:1001'", "'host:1001'", "backends[0].address", "IP address"},
    {"'127.0.0.1:1001'", "'127.0.0.1'", "backends[0].address", "IP address"},
    {"127.0.0.1:1002", "127.0.0.1:1001", "backends[1].address", "duplicate address"},
    {"name: b2", "name: b1", "backends[1].name", "duplicate name"},
    {"zone: south, shards: [two/0]", "zone: west, shards: [two/0]", "backends[3].zone", "no zone"},
    {"[two/0]", "[two/7]", "backends[3].shards[0]", "no group declares"},
    {"[service=a|b]", "[service=a, service=b]", "selectors[0].groups[1]", "contradict"},
    {"[service=a|b]", "[service]", "selectors[0].groups[0]", "not of the form"},
    {"[service=a|b]", "[service=c]", "selectors[0].groups", "no group matches"},
    {"[service=a|b],", "[service=a|b], backends: [stage=new],", "selectors[0].backends",
     "no backend"},
    {"hedge_percent: 5", "hedge_percent: 101", "selectors[0].hedge_percent", "not between"},
    {"deadline_ms: 100, least_coverage_percent: 50", "deadline_ms: 0, least_coverage_percent: 50",
     "selectors[0].deadline_ms", "not between"},
    {"unrepeatable: true", "unrepeatable: true, hedge_percent: 1", "selectors[1].hedge_percent",
     "must not be hedged"},
    {"unrepeatable: true", "unrepeatable: true, retry_percent: 1", "selectors[1].retry_percent",
     "must not be retried"},
    {"route: key, ", "", "selectors[1].route", "routed by key"},
    {"kind: keyed", "kind: all", "selectors[1].kind", "duplicate name"},
    {"wait: gain", "wait: never", "selectors[0].wait", "Invalid"},
    {"wait: gain, deadline_ms: 100, least_coverage_percent: 50",
     "wait: coverage, deadline_ms: 100, least_coverage_percent: 0", "selectors[0].wait",
     "contradicts"},
    {"connections: 10", "connections: 3", "backends[0].connections", "not between"},
};

static void test_reports_path_and_reason(void **state)
{
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_edits); i++) {
        char *text =
            test_replace(test_declarations_text, invalid_edits[i].from, invalid_edits[i].to);
        char *problems = test_load_refused(text);
        if (strstr(problems, invalid_edits[i].path) == NULL ||
            strstr(problems, invalid_edits[i].reason) == NULL) {
            fail_msg("replacing '%s' by '%s' reported: %s", invalid_edits[i].from,
                     invalid_edits[i].to, problems);
        }
        g_free(problems);
        g_free(text);
    }
}

static void test_reports_line_number(void **state)
{
    char *text = test_replace(test_declarations_text, "'127.0.0.1:1003'", "'x:1'");
    char *problems = test_load_refused(text);
    /* b3 is on line 11; test_load_refused() reports the file name as "file". */
    assert_non_null(strstr(problems, "file:11: backends[2].address"));
    g_free(problems);
    g_free(text);
}

static void test_rejects_malformed_documents(void **state)
{
    static const char *const texts[] = {
        "",
        "just text",
        "[1, 2]",
        "version: [",   // unterminated list
        "version: 1\n", // required keys missing
        "a: &x [*x]",   // recursive alias
        "\x01\x02",     // control characters
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_free(test_load_refused(texts[i]));
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_computes_reachable_shards_and_replicas),
        cmocka_unit_test(test_reports_path_and_reason),
        cmocka_unit_test(test_reports_line_number),
        cmocka_unit_test(test_rejects_malformed_documents),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
