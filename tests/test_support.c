/** Helpers shared by several tests. */
#include "test_support.h"

#include <string.h>

const char *const test_declarations_text =
    "version: 3\n"
    "zones:\n"
    "  - {name: north, region: land}\n"
    "  - {name: south, region: land}\n"
    "groups:\n"
    "  - {name: one, labels: [service=a], shards: 2}\n"
    "  - {name: two, labels: [service=b], shards: 1}\n"
    "backends:\n"
    "  - {name: b1, address: '127.0.0.1:1001', zone: north, shards: [one/0], slots: 2, "
    "connections: 10}\n"
    "  - {name: b2, address: '127.0.0.1:1002', zone: south, shards: [one/0, one/1], slots: 2, "
    "connections: 10}\n"
    "  - {name: b3, address: '127.0.0.1:1003', zone: north, labels: [stage=new], shards: "
    "[one/1], slots: 2, connections: 10}\n"
    "  - {name: b4, address: '127.0.0.1:1004', zone: south, shards: [two/0], slots: 2, "
    "connections: 10}\n"
    "selectors:\n"
    "  - {kind: all, groups: [service=a|b], wait: gain, deadline_ms: 100, "
    "least_coverage_percent: 50, hedge_percent: 5}\n"
    "  - {kind: keyed, groups: [service=a], route: key, wait: deadline, deadline_ms: 100, "
    "least_coverage_percent: 100, unrepeatable: true}\n";

ts_declarations_t *test_load(const char *text)
{
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_declarations_t *declarations = ts_declarations_load(text, strlen(text), &problems);
    assert_int_equal(ts_problems_count(&problems), 0);
    assert_non_null(declarations);
    ts_problems_clear(&problems);
    return declarations;
}

char *test_load_refused(const char *text)
{
    ts_problems_t problems;
    ts_problems_init(&problems);
    assert_null(ts_declarations_load(text, strlen(text), &problems));
    assert_true(ts_problems_count(&problems) > 0);
    char *lines = ts_problems_format(&problems, "file");
    ts_problems_clear(&problems);
    return lines;
}

char *test_replace(const char *text, const char *from, const char *to)
{
    char **parts = g_strsplit(text, from, -1);
    assert_true(g_strv_length(parts) > 1);
    char *result = g_strjoinv(to, parts);
    g_strfreev(parts);
    return result;
}
