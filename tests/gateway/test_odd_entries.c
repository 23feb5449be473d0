/**
 * Entries of another writer among those of the searchers. Gateways that read them, from the store
 * or from a peer, must go on following the store.
 */
#include "fixture.h"

#include <string.h>

#define ROUTE_A SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500)
#define CONFIGURATION(version) "{\"version\":" #version ",\"routes\":[" ROUTE_A "],\"services\":[]}"
#define NESTING 100000U
#define FIELDS 40000U
#define LARGE_BYTES (1U << 20)
#define MANY_ENTRIES 3000U

#define ENTRY(address, slots, warmup)                                                              \
    "{\"service\":\"a\",\"address\":" address ",\"zone\":\"z1\",\"slots\":" slots                  \
    ",\"state\":\"ready\",\"warmupLeftMs\":" warmup "}"
#define ADDRESS "\"127.0.0.1:9\""
#define DIGITS_40 "1234567890123456789012345678901234567890"

static const char *const odd_values[] = {
    "",
    "{",
    "[[[[",
    "7",
    "null",
    "\xff\xfe\xfd",
    "{\"service\":\"\xff\xfe\"}",
    ENTRY("\"127.0.0.1:0\"", "4", "0"),
    ENTRY("\"127.0.0.1:65536\"", "4", "0"),
    ENTRY("\"127.0.0.1:70000\"", "4", "0"),
    ENTRY("\"127.0.0.1:-1\"", "4", "0"),
    ENTRY("\"127.0.0.1:" DIGITS_40 "\"", "4", "0"),
    ENTRY("\"127.0.0.1:1e400\"", "4", "0"),
    ENTRY("\"127.0.0.1\"", "4", "0"),
    ENTRY("\"\"", "4", "0"),
    ENTRY("\"999.0.0.1:80\"", "4", "0"),
    ENTRY("{\"host\":1}", "4", "0"),
    ENTRY(ADDRESS, "1e400", "0"),
    ENTRY(ADDRESS, DIGITS_40, "0"),
    ENTRY(ADDRESS, "-4", "0"),
    ENTRY(ADDRESS, "0", "0"),
    ENTRY(ADDRESS, "\"4\"", "0"),
    ENTRY(ADDRESS, "4", "1e400"),
    ENTRY(ADDRESS, "4", DIGITS_40),
    ENTRY(ADDRESS, "4", "-1"),
    ENTRY(ADDRESS, "4", "[]"),
};

static char *repeat(const char *text, unsigned times)
{
    GString *repeated = g_string_new(NULL);
    for (unsigned i = 0; i < times; i++)
        g_string_append(repeated, text);
    return g_string_free(repeated, FALSE);
}

static void put_and_free(fixture_t *fixture, const char *key, char *value)
{
    lab_store_put(fixture->store, key, value);
    g_free(value);
}

static void put_large_entries(fixture_t *fixture)
{
    char *arrays = repeat("[", NESTING);
    char *objects = repeat("{\"a\":", NESTING);
    char *fields = repeat("\"f\":1,", FIELDS);
    char *letters = g_strnfill(LARGE_BYTES, 'x');
    lab_store_put(fixture->store, "servers/nested-arrays", arrays);
    lab_store_put(fixture->store, "servers/nested-objects", objects);
    put_and_free(fixture, "servers/nested-field",
                 g_strdup_printf("{\"service\":\"a\",\"extra\":%s", arrays));
    put_and_free(fixture, "servers/many-fields", g_strdup_printf("{%s\"service\":\"a\"}", fields));
    put_and_free(fixture, "servers/large-service",
                 g_strdup_printf("{\"service\":\"%s\"}", letters));
    g_free(arrays);
    g_free(objects);
    g_free(fields);
    g_free(letters);
}

static void put_odd_entries(fixture_t *fixture)
{
    for (size_t i = 0; i < G_N_ELEMENTS(odd_values); i++) {
        char *key = g_strdup_printf("servers/odd-%zu", i);
        lab_store_put(fixture->store, key, odd_values[i]);
        g_free(key);
        key = g_strdup_printf("op/evacuate/odd-%zu", i);
        lab_store_put(fixture->store, key, odd_values[i]);
        g_free(key);
    }
    put_large_entries(fixture);
    lab_store_put(fixture->store, "servers/", "{}");
    lab_store_put(fixture->store, "servers/a b", odd_values[0]);
    lab_store_put(fixture->store, "servers/..%2f\x01", odd_values[0]);
    lab_store_put(fixture->store, "op/evacuate/", "{}");
    lab_store_put(fixture->store, "op/unknown", "[[[[");
}

/* Opens a gateway that reads the store, and one that only hears of it from the first. */
static void open_nodes(fixture_t *fixture, ts_gateway_t **nodes)
{
    unsigned ports[2] = {fixture_next_port(), fixture_next_port()};
    nodes[0] = fixture_add_gateway(fixture, "n0", "z1", ports[0], ports[1], fixture->store_port);
    nodes[1] = fixture_add_gateway(fixture, "n1", "z1", ports[1], ports[0], 0);
}

static void check_nodes_follow(fixture_t *fixture, ts_gateway_t **nodes, const char *id,
                               unsigned backend_count)
{
    (void)fixture_register_searcher(fixture, id, "a", "z1");
    for (int i = 0; i < 2; i++)
        assert_true(fixture_await_synced(fixture, nodes[i], 1, backend_count));
}

/* Guards against odd entries that end a gateway, or its reading, when it lists them at its start.
 */
static void test_odd_entries_before_the_start(void **state)
{
    ts_gateway_t *nodes[2];
    fixture_t *fixture = fixture_open(NULL);
    lab_store_put(fixture->store, "op/config", CONFIGURATION(1));
    put_odd_entries(fixture);
    open_nodes(fixture, nodes);
    check_nodes_follow(fixture, nodes, "i-1", 1);
    check_nodes_follow(fixture, nodes, "i-2", 2);
}

/* The same for entries that are written while it watches for changes. */
static void test_odd_entries_while_running(void **state)
{
    ts_gateway_t *nodes[2];
    fixture_t *fixture = fixture_open(NULL);
    lab_store_put(fixture->store, "op/config", CONFIGURATION(1));
    open_nodes(fixture, nodes);
    check_nodes_follow(fixture, nodes, "i-1", 1);
    put_odd_entries(fixture);
    check_nodes_follow(fixture, nodes, "i-2", 2);
}

/* Guards against a reader that does not get through a large number of them. */
static void test_many_odd_entries(void **state)
{
    ts_gateway_t *nodes[2];
    fixture_t *fixture = fixture_open(NULL);
    lab_store_put(fixture->store, "op/config", CONFIGURATION(1));
    open_nodes(fixture, nodes);
    check_nodes_follow(fixture, nodes, "i-1", 1);
    for (unsigned i = 0; i < MANY_ENTRIES; i++) {
        char *key = g_strdup_printf("servers/many-%u", i);
        lab_store_put(fixture->store, key, odd_values[i % G_N_ELEMENTS(odd_values)]);
        g_free(key);
    }
    check_nodes_follow(fixture, nodes, "i-2", 2);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_odd_entries_before_the_start),
        cmocka_unit_test(test_odd_entries_while_running),
        cmocka_unit_test(test_many_odd_entries),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
