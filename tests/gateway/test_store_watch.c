/** Configuration and back ends from the store, also when it fails. */
#include "fixture.h"

#include <string.h>

#define ROUTE_A ROUTE_ONE("one", "/p/", "idempotent", "a", 1500)

static void test_list_by_pages(void **state)
{
    world_t *world = world_open(NULL);
    lab_store_set_page(world->store, 2);
    for (int i = 0; i < 5; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "i-%d", i);
        lab_searcher_t *searcher = lab_searcher_open(&world->loop, id, "a", "z1");
        char *key = g_strdup_printf("servers/%s", id);
        char *entry = lab_searcher_entry(searcher, false);
        lab_store_put(world->store, key, entry);
        g_free(entry);
        g_free(key);
    }
    world_configure(world, 3, ROUTE_A);
    assert_int_equal(ts_registry_listed(world->gateway.registry), 5);
    assert_int_equal(world->gateway.traffic->version, 3);
}

static void test_entry_that_goes(void **state)
{
    world_t *world = world_open(NULL);
    world_add_searcher(world, "i-1", "a", "z1");
    world_add_searcher(world, "i-2", "a", "z1");
    lab_store_delete(world->store, "servers/i-1");
    world_await_listed(world, 1);
    assert_int_equal(ts_registry_listed(world->gateway.registry), 1);
}

static void test_forgotten_history(void **state)
{
    world_t *world = world_open(NULL);
    world_add_searcher(world, "i-1", "a", "z1");
    world_add_searcher(world, "i-2", "a", "z1");
    world_configure(world, 1, ROUTE_A);
    lab_store_set_mode(world->store, LAB_STORE_SILENT); /* what is written now is not heard */
    lab_store_delete(world->store, "servers/i-2");
    lab_store_put(world->store, "op/config",
                  "{\"version\":9,\"routes\":[" ROUTE_A "],\"services\":[]}");
    lab_store_set_mode(world->store, LAB_STORE_NORMAL);
    lab_store_forget(world->store);
    world_await_version(world, 9);
    assert_int_equal(world->gateway.traffic->version, 9);
    assert_int_equal(ts_registry_listed(world->gateway.registry), 1);
}

static void test_older_version_is_ignored(void **state)
{
    world_t *world = world_open(NULL);
    world_configure(world, 5, ROUTE_A);
    lab_store_put(world->store, "op/config", "{\"version\":4,\"routes\":[],\"services\":[]}");
    world_run_ms(world, 1500);
    assert_int_equal(world->gateway.traffic->version, 5);
}

static void test_invalid_document_is_refused_whole(void **state)
{
    static const char *const documents[] = {
        "{",
        "[]",
        "{\"version\":8}",
        "{\"version\":8,\"routes\":[{\"name\":\"x\",\"host\":\"h\",\"pathPrefix\":\"/no\","
        "\"service\":\"a\"}]}",
        "{\"version\":8,\"routes\":[{\"name\":\"x\",\"host\":\"h\",\"pathPrefix\":\"/p/\"}]}",
        "{\"version\":8,\"routes\":[{\"name\":\"x\",\"host\":\"h\",\"pathPrefix\":\"/p/\","
        "\"routeType\":\"idempotent\",\"gather\":[\"a\",\"a\"]}]}",
    };
    world_t *world = world_open(NULL);
    world_configure(world, 5, ROUTE_A);
    for (size_t i = 0; i < G_N_ELEMENTS(documents); i++) {
        lab_store_put(world->store, "op/config", documents[i]);
        world_run_ms(world, 900);
        assert_int_equal(world->gateway.traffic->version, 5);
    }
}

static void test_store_that_refuses(void **state)
{
    world_t *world = world_open(NULL);
    world_configure(world, 1, ROUTE_A);
    lab_store_set_mode(world->store, LAB_STORE_THROTTLED);
    lab_store_forget(world->store); /* cuts the watch, so that the next call is refused */
    unsigned calls = lab_store_calls(world->store);
    world_run_ms(world, 2000);
    assert_true(lab_store_calls(world->store) - calls < 10); /* each call is priced */
    lab_store_set_mode(world->store, LAB_STORE_NORMAL);
    world_configure(world, 2, ROUTE_A);
    assert_int_equal(world->gateway.traffic->version, 2);
}

/* Lists take the place of waits that a service without a history can't answer, with pauses. */
static void test_service_without_history_is_not_asked_in_haste(void **state)
{
    world_t *world = world_open(NULL);
    world_configure(world, 1, ROUTE_A);
    lab_store_set_mode(world->store, LAB_STORE_FORGETFUL);
    lab_store_cut_waits(world->store);
    world_run_ms(world, 2000);
    unsigned calls = lab_store_calls(world->store);
    world_run_ms(world, 2000);
    assert_true(lab_store_calls(world->store) - calls <= 10); /* each call is priced */
    world_configure(world, 2, ROUTE_A);
    assert_int_equal(world->gateway.traffic->version, 2);
    lab_store_set_mode(world->store, LAB_STORE_NORMAL);
    world_configure(world, 3, ROUTE_A);
    assert_int_equal(world->gateway.traffic->version, 3);
}

/* A wait that a silent service swallowed is given up soon after the service is back. */
static void test_swallowed_watch(void **state)
{
    world_t *world = world_open(NULL);
    world_configure(world, 1, ROUTE_A);
    world_run_ms(world, 1500); /* a call waits now */
    lab_store_set_mode(world->store, LAB_STORE_SILENT);
    lab_store_put(world->store, "op/config",
                  "{\"version\":2,\"routes\":[" ROUTE_A "],\"services\":[]}");
    world_run_ms(world, 300);
    lab_store_set_mode(world->store, LAB_STORE_NORMAL);
    world_run_ms(world, 4000);
    assert_int_equal(world->gateway.traffic->version, 2);
}

// A gateway that starts while the service is silent knows the configuration soon after its return.
static void test_swallowed_first_list(void **state)
{
    world_t *world = world_open(NULL);
    world_configure(world, 1, ROUTE_A);
    lab_store_set_mode(world->store, LAB_STORE_SILENT);
    ts_gateway_t *late = world_add_gateway(world, "late", "z1", world_next_port(),
                                           world_next_port(), world->store_port);
    world_run_ms(world, 200);
    assert_null(late->traffic);
    lab_store_set_mode(world->store, LAB_STORE_NORMAL);
    world_run_ms(world, 1500);
    assert_non_null(late->traffic);
}

static void test_calls_on_a_calm_day_are_few(void **state)
{
    world_t *world = world_open(NULL);
    world_configure(world, 1, ROUTE_A);
    unsigned calls = lab_store_calls(world->store);
    world_run_ms(world, 2000);
    assert_true(lab_store_calls(world->store) - calls <= 2);
}

/* An entry of another writer costs no other one, and a good one that turns bad has left. */
static void test_entries_of_other_writers(void **state)
{
    world_t *world = world_open(NULL);
    (void)world_add_searcher(world, "i-1", "a", "z1");
    lab_store_put(world->store, "servers/i-0", "{\"service\":7}");
    lab_store_put(world->store, "servers/i-2 x", "not to be read");
    (void)world_add_searcher(world, "i-3", "a", "z1"); // comes after these, and is known
    assert_int_equal(ts_registry_listed(world->gateway.registry), 2);
    lab_store_put(world->store, "servers/i-1", "{\"state\":\"resting\"}");
    world_await_listed(world, 1);
    assert_false(ts_registry_present(world->gateway.registry, "i-1")->is_listed);
    assert_true(ts_registry_present(world->gateway.registry, "i-3")->is_listed);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_entries_of_other_writers),
        cmocka_unit_test(test_list_by_pages),
        cmocka_unit_test(test_entry_that_goes),
        cmocka_unit_test(test_forgotten_history),
        cmocka_unit_test(test_older_version_is_ignored),
        cmocka_unit_test(test_invalid_document_is_refused_whole),
        cmocka_unit_test(test_store_that_refuses),
        cmocka_unit_test(test_service_without_history_is_not_asked_in_haste),
        cmocka_unit_test(test_swallowed_watch),
        cmocka_unit_test(test_swallowed_first_list),
        cmocka_unit_test(test_calls_on_a_calm_day_are_few),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
