/** Parsers of the platform's documents. */
#include "../test_support.h"

#include <string.h>

#include "tealspar/dialect.h"
#include "tealspar/plugin.h"

static const ts_dialect_t *platform(void)
{
    const ts_dialect_t *dialect = ts_plugin_find(TS_PLUGIN_DIALECT, "platform");
    assert_non_null(dialect);
    return dialect;
}

static ts_traffic_t *read_document(const char *text, char **reasons)
{
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_traffic_t *traffic = platform()->read_traffic(text, strlen(text), &problems);
    *reasons = ts_problems_format(&problems, "config");
    ts_problems_clear(&problems);
    return traffic;
}

#define ROUTE(fields) "{\"name\":\"r\",\"host\":\"H.Example\",\"pathPrefix\":\"/a/\"," fields "}"
#define DOCUMENT(routes) "{\"version\":7,\"routes\":[" routes "],\"services\":[]}"

static void test_longest_prefix_matches(void **state)
{
    char *reasons = NULL;
    ts_traffic_t *traffic = read_document(
        DOCUMENT(ROUTE("\"service\":\"short\"") ",{\"name\":\"l\",\"host\":\"h.example\","
                                                "\"pathPrefix\":\"/a/b/\",\"service\":\"long\"}"),
        &reasons);
    assert_non_null(traffic);
    assert_int_equal(traffic->version, 7);
    assert_string_equal(ts_traffic_match(traffic, "h.example", "/a/b/c?x=/z/")->name, "l");
    assert_string_equal(ts_traffic_match(traffic, "H.EXAMPLE:80", "/a/x")->name, "r");
    assert_null(ts_traffic_match(traffic, "h.example", "/a"));
    assert_null(ts_traffic_match(traffic, "other.example", "/a/x"));
    ts_traffic_unref(traffic);
    g_free(reasons);
}

static void test_fields_of_gather_route(void **state)
{
    char *reasons = NULL;
    ts_traffic_t *traffic = read_document(
        DOCUMENT(ROUTE("\"routeType\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":120,"
                       "\"priority\":2,\"gather\":[\"x\",\"y\"],\"maxAttempts\":2,\"topK\":5,"
                       "\"minCoverage\":0.75,\"unknown\":{}")),
        &reasons);
    assert_non_null(traffic);
    const ts_traffic_route_t *route = ts_traffic_match(traffic, "h.example", "/a/");
    assert_int_equal(route->kind, TS_TARGET_GATHER);
    assert_int_equal(route->targets->len, 2);
    assert_true(route->is_repeatable);
    assert_int_equal(route->attempts_max, 2);
    assert_int_equal(route->timeout_ms, 2000);
    assert_int_equal(route->aim_ms, 120);
    assert_int_equal(route->priority, 2);
    assert_int_equal(route->top_count, 5);
    assert_true(route->coverage_min > 0.749 && route->coverage_min < 0.751);
    ts_traffic_unref(traffic);
    g_free(reasons);
}

/* Allowed regions of a route, and warm-up limits of a service's backends. */
static void test_fields_of_regions_and_warmup(void **state)
{
    char *reasons = NULL;
    ts_traffic_t *traffic =
        read_document("{\"version\":7,\"routes\":[" ROUTE(
                          "\"service\":\"s\",\"allowedRegions\":[\"north\","
                          "\"south\"]") ","
                                        "{\"name\":\"any\",\"host\":\"h\","
                                        "\"pathPrefix\":\"/b/\",\"service\":\"s\","
                                        "\"allowedRegions\":[]}],\"services\":[{"
                                        "\"name\":\"s\",\"warmupS\":2.5,"
                                        "\"warmupPerS\":12.5}]}",
                      &reasons);
    assert_non_null(traffic);
    const ts_traffic_route_t *route = ts_traffic_find_route(traffic, "r");
    assert_int_equal(route->regions->len, 2);
    assert_ptr_equal(g_ptr_array_index(route->regions, 1), g_intern_string("south"));
    assert_null(ts_traffic_find_route(traffic, "any")->regions);
    assert_null(ts_traffic_find_route(traffic, "none"));
    const ts_traffic_service_t *service = g_hash_table_lookup(traffic->services, "s");
    assert_int_equal(service->warmup_ms, 2500);
    assert_true(service->warmup_rate > 12.4 && service->warmup_rate < 12.6);
    ts_traffic_unref(traffic);
    g_free(reasons);
}

static void test_fields_of_tenants(void **state)
{
    char *reasons = NULL;
    ts_traffic_t *traffic = read_document(
        "{\"version\":7,\"routes\":[" ROUTE(
            "\"service\":\"s\",\"authExempt\":true") ",{\"name\":\"k\","
                                                     "\"host\":\"h.example\",\"pathPrefix\":\"/k/"
                                                     "\",\"service\":\"s\",\"authExempt\":false}],"
                                                     "\"tenants\":[{\"name\":\"t\",\"apiKeys\":["
                                                     "\"a\",\"b\"],\"priority\":2,\"ratePerS\":1.5,"
                                                     "\"burst\":20},{\"name\":\"u\",\"apiKeys\":[]}"
                                                     "]}",
        &reasons);
    assert_non_null(traffic);
    assert_true(ts_traffic_find_route(traffic, "r")->is_auth_exempt);
    assert_false(ts_traffic_find_route(traffic, "k")->is_auth_exempt);
    const ts_tenant_t *tenant = ts_tenants_find(traffic->tenants, "t");
    ts_key_digest_t digest = ts_key_digest("b", 1);
    assert_ptr_equal(ts_tenants_find_by_key(traffic->tenants, &digest), tenant);
    assert_int_equal(tenant->priority, 2);
    assert_true(tenant->rate == 1.5 && tenant->burst == 20);
    assert_true(ts_tenants_find(traffic->tenants, "u")->rate == 0);
    ts_traffic_unref(traffic);
    g_free(reasons);
}

static void test_reported_load(void **state)
{
    ts_reported_load_t load = {0};
    assert_int_equal(platform()->read_load("3,1,8", &load), TS_OK);
    assert_int_equal(load.running + 10 * load.waiting + 100 * load.slots, 813);
    assert_int_equal(platform()->read_load(" 4, 0 ,4,250", &load), TS_OK);
    assert_int_equal(load.running, 4);
    static const char *const malformed[] = {
        "",       "3,1",  "3,1,8,100,5", "a,b,c",
        "-1,0,4", "3,,8", "1e3,0,4",     "99999999999999999999,0,4",
        "3;1;8",  ",,,"};
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
        assert_int_equal(platform()->read_load(malformed[i], &load), TS_E_SYNTAX);
    GRand *random = g_rand_new_with_seed(11);
    for (int i = 0; i < 20000; i++) { /* random input: accepted only within the bounds */
        char text[24] = {0};
        for (int j = 0; j < 20; j++)
            text[j] = "0123456789,, -.x"[g_rand_int_range(random, 0, 16)];
        if (platform()->read_load(text, &load) == TS_OK)
            assert_true(load.running <= 1000000 && load.slots <= 1000000);
    }
    g_rand_free(random);
}

static void test_reason_of_refusal(void **state)
{
    static const struct {
        const char *text;
        const char *reason;
    } cases[] = {
        {"{\"version\":7}", "no version or no routes"},
        {"[1]", "no version or no routes"},
        {DOCUMENT("{\"name\":\"r\",\"pathPrefix\":\"/a/\",\"service\":\"s\"}"),
         "needs a name and a host"},
        {DOCUMENT("{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/a\",\"service\":\"s\"}"),
         "begin and end with a slash"},
        {DOCUMENT(ROUTE("\"priority\":1")), "leads to no service"},
        {DOCUMENT(ROUTE("\"gather\":[\"x\",\"y\"]")), "must be repeatable"},
        {DOCUMENT(ROUTE("\"routeType\":\"idempotent\",\"gather\":[\"x\",\"x\"]")), "named twice"},
        {DOCUMENT(ROUTE("\"service\":\"s\",\"timeoutMs\":0")), "above zero"},
        {DOCUMENT(ROUTE("\"service\":\"s\",\"minCoverage\":1.5")), "between 0 and 1"},
        {DOCUMENT(ROUTE("\"service\":\"s\",\"allowedRegions\":\"north\"")), "list of names"},
        {DOCUMENT(ROUTE("\"service\":\"s\",\"allowedRegions\":[5]")), "list of names"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *reasons = NULL;
        assert_null(read_document(cases[i].text, &reasons));
        if (strstr(reasons, cases[i].reason) == NULL) {
            fail_msg("case %zu: %s", i, reasons);
        }
        g_free(reasons);
    }
}

static void test_page_with_changes(void **state)
{
    const char *text =
        "{\"events\":[{\"privateKey\":\"servers/i-1\",\"value\":\"e30=\",\"revision\":4},"
        "{\"privateKey\":\"servers/i-2\",\"revision\":5,\"gone\":true},"
        "{\"privateKey\":\"my/own\",\"value\":\"e30=\",\"revision\":6}],\"at\":9}";
    ts_store_page_t *page = ts_store_page_create();
    assert_int_equal(platform()->read_page(text, strlen(text), page), TS_OK);
    assert_int_equal(page->position.revision, 9);
    assert_int_equal(page->entries->len, 3);
    const ts_store_entry_t *first = g_ptr_array_index(page->entries, 0);
    const ts_store_entry_t *second = g_ptr_array_index(page->entries, 1);
    const ts_store_entry_t *third = g_ptr_array_index(page->entries, 2);
    assert_string_equal(first->id, "i-1");
    assert_string_equal(first->value, "{}");
    assert_int_equal(first->changed.revision, 4);
    assert_true(second->is_deleted);
    assert_int_equal(third->kind, TS_STORE_OTHER);
    ts_instance_record_t record = {0};
    assert_int_equal(platform()->read_instance(first, &record), TS_E_SYNTAX); /* no service */
    ts_instance_record_clear(&record);
    ts_store_page_free(page);
}

static ts_error_t read_entry(const char *value, size_t length, ts_instance_record_t *record)
{
    ts_store_entry_t entry = {.kind = TS_STORE_INSTANCE,
                              .key = "servers/i-1",
                              .id = "i-1",
                              .value = (char *)value,
                              .length = length};
    return platform()->read_instance(&entry, record);
}

#define ENTRY(state, slots, warmup, born)                                                          \
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":\"v1\","            \
    "\"slots\":" slots ",\"state\":" state ",\"warmupLeftMs\":" warmup ",\"born\":" born           \
    ",\"callSeq\":4}"

static void test_searcher_entry(void **state)
{
    const char *text = ENTRY("\"draining\"", "4", "20", "1775471149069");
    ts_instance_record_t record = {0};
    assert_int_equal(read_entry(text, strlen(text), &record), TS_OK);
    assert_true(record.is_draining && record.slots == 4 && record.warmup_left_ms == 20);
    assert_true(record.born_ms == 1775471149069ULL);
    ts_instance_record_clear(&record);
    const char *older = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":1,"
                        "\"state\":\"ready\",\"warmupLeftMs\":0}";
    assert_int_equal(read_entry(older, strlen(older), &record), TS_OK);
    assert_true(record.born_ms == 0 && !record.is_draining);
    ts_instance_record_clear(&record);
}

/* Malformed entries from other writers are refused. */
static void test_malformed_entries(void **state)
{
    static const char *const texts[] = {
        "",
        "null",
        "7",
        "[]",
        "{}",
        "{\"service\":\"s\"}",
        "\xff\xfe\x00",
        "{\"service\":\"\xff\"}",
        ENTRY("\"starting\"", "4", "0", "1"),
        ENTRY("null", "4", "0", "1"),
        ENTRY("1", "4", "0", "1"),
        ENTRY("\"READY\"", "4", "0", "1"),
        ENTRY("\"ready\"", "0", "0", "1"),
        ENTRY("\"ready\"", "-1", "0", "1"),
        ENTRY("\"ready\"", "4.5", "0", "1"),
        ENTRY("\"ready\"", "\"4\"", "0", "1"),
        ENTRY("\"ready\"", "1e400", "0", "1"),
        ENTRY("\"ready\"", "NaN", "0", "1"),
        ENTRY("\"ready\"", "99999999999999999999", "0", "1"),
        ENTRY("\"ready\"", "1000001", "0", "1"),
        ENTRY("\"ready\"", "4", "-5", "1"),
        ENTRY("\"ready\"", "4", "true", "1"),
        ENTRY("\"ready\"", "4", "0", "1.5"),
        ENTRY("\"ready\"", "4", "0", "-1"),
        ENTRY("\"ready\"", "4", "0", "\"1\""),
        ENTRY("\"ready\"", "4", "0", "null"),
        ENTRY("\"ready\"", "4,\"slots\":5", "0", "1"),
        ENTRY("\"ready\"", "4", "0", "1") "x",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        ts_instance_record_t record = {0};
        if (read_entry(texts[i], strlen(texts[i]), &record) == TS_OK)
            fail_msg("accepted: %s", texts[i]);
        ts_instance_record_clear(&record);
    }
}

/* Valid entries with a few random bytes, and truncated ones. */
static void test_corrupted_entries(void **state)
{
    GRand *random = g_rand_new_with_seed(44);
    const char *valid = ENTRY("\"ready\"", "4", "0", "1775471149069");
    size_t length = strlen(valid);
    for (int i = 0; i < 20000; i++) {
        char *bytes = g_memdup2(valid, length + 1);
        for (int j = g_rand_int_range(random, 1, 6); j > 0; j--)
            bytes[g_rand_int_range(random, 0, (gint32)length)] = (char)g_rand_int(random);
        ts_instance_record_t record = {0};
        size_t truncated_length = (size_t)g_rand_int_range(random, 0, (gint32)length + 1);
        if (read_entry(bytes, i % 2 == 0 ? length : truncated_length, &record) == TS_OK) {
            assert_true(record.slots >= 1 && record.slots <= 1000000);
            assert_true(record.service != NULL && record.address != NULL && record.zone != NULL);
        }
        ts_instance_record_clear(&record);
        g_free(bytes);
    }
    g_rand_free(random);
}

static void test_malformed_pages(void **state)
{
    static const char *const texts[] = {"",
                                        "{",
                                        "null",
                                        "{\"items\":{}}",
                                        "{\"items\":[{}]}",
                                        "{\"items\":[{\"privateKey\":\"a\"}]}"};
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        ts_store_page_t *page = ts_store_page_create();
        assert_int_not_equal(platform()->read_page(texts[i], strlen(texts[i]), page), TS_OK);
        ts_store_page_free(page);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_longest_prefix_matches),
        cmocka_unit_test(test_fields_of_gather_route),
        cmocka_unit_test(test_fields_of_regions_and_warmup),
        cmocka_unit_test(test_fields_of_tenants),
        cmocka_unit_test(test_reported_load),
        cmocka_unit_test(test_reason_of_refusal),
        cmocka_unit_test(test_page_with_changes),
        cmocka_unit_test(test_searcher_entry),
        cmocka_unit_test(test_malformed_entries),
        cmocka_unit_test(test_corrupted_entries),
        cmocka_unit_test(test_malformed_pages),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
