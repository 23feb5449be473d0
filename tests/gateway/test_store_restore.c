/** Several gateways, and a store that comes back from a copy that lacks its latest changes. */
#include "fixture.h"

#include <string.h>

#include "tealspar/peers.h"

#define NODES 4
#define ROUTE_A ROUTE_ONE("one", "/p/", "idempotent", "a", 1500)
/* A change is in force everywhere so long after its acknowledgement. */
#define APPLY_MS 3000
/* The same while the service has been back for less than this. */
#define CONTACT_MS 5000
/* The service bears more; two of the gateways read it. */
#define CALLS_A_SECOND_MOST 20
#define AWAY_MS 1500
/* Writes after the copy was taken, so that revisions must be given out again for a while. */
#define LOST_WRITES 20
#define STEP_MS 20

typedef struct fleet {
    world_t *world;
    lab_store_t *store;
    ts_gateway_t *nodes[NODES];
    unsigned ports[NODES];
    unsigned calls_most; /* to the store, in any second that was watched */
} fleet_t;

static ts_gateway_t *add_node(fleet_t *fleet, const char *name, const char *zone, unsigned port)
{
    return world_add_gateway(fleet->world, name, zone, port, fleet->ports[0],
                             fleet->world->store_port);
}

/* Two nodes in each of two zones; the store has version 1 and the back ends i-1 to i-3. */
static fleet_t open_fleet(void)
{
    fleet_t fleet = {.world = world_open(NULL)};
    fleet.store = fleet.world->store;
    world_add_searcher(fleet.world, "i-1", "a", "z1");
    world_add_searcher(fleet.world, "i-2", "a", "z1");
    world_add_searcher(fleet.world, "i-3", "a", "z2");
    world_configure(fleet.world, 1, ROUTE_A);
    for (int i = 0; i < NODES; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "n%d", i);
        fleet.ports[i] = world_next_port();
        fleet.nodes[i] = add_node(&fleet, name, i < NODES / 2 ? "z1" : "z2", fleet.ports[i]);
    }
    for (int i = 0; i < NODES; i++)
        assert_true(world_await_knowledge(fleet.world, fleet.nodes[i], 1, 3));
    for (int i = 0; i < 300 && ts_peers_count(fleet.nodes[NODES - 1]->peers) < NODES; i++)
        world_run_ms(fleet.world, 10);
    world_run_ms(fleet.world, 1000);
    return fleet;
}

static void put_version(fleet_t *fleet, unsigned version)
{
    char *text =
        g_strdup_printf("{\"version\":%u,\"routes\":[" ROUTE_A "],\"services\":[]}", version);
    lab_store_put(fleet->store, "op/config", text);
    g_free(text);
}

static void put_searcher(fleet_t *fleet, const char *id, const char *state, unsigned born)
{
    char *key = g_strdup_printf("servers/%s", id);
    char *entry = g_strdup_printf("{\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\","
                                  "\"slots\":2,\"state\":\"%s\",\"warmupLeftMs\":0,\"born\":%u}",
                                  state, born);
    lab_store_put(fleet->store, key, entry);
    g_free(entry);
    g_free(key);
}

/* Changes of an entry that no test looks at. */
static void put_noise(fleet_t *fleet, unsigned n)
{
    for (unsigned i = 0; i < n; i++)
        put_searcher(fleet, "i-noise", i % 2 == 0 ? "draining" : "ready", 1);
}

static void watch_calls(fleet_t *fleet, unsigned span_ms)
{
    for (unsigned i = 0; i < span_ms / 1000; i++) {
        unsigned before = lab_store_calls(fleet->store);
        world_run_ms(fleet->world, 1000);
        fleet->calls_most = MAX(fleet->calls_most, lab_store_calls(fleet->store) - before);
    }
}

static bool have_version(const fleet_t *fleet, unsigned version)
{
    bool have = true;
    for (int i = 0; i < NODES; i++)
        have &= fleet->nodes[i]->traffic->version == version;
    return have;
}

/* Returns after how long all have the version; `within_ms` and more: not all have it. */
static unsigned await_version(fleet_t *fleet, unsigned version, unsigned within_ms)
{
    unsigned waited = 0;
    for (; waited < within_ms && !have_version(fleet, version); waited += STEP_MS)
        world_run_ms(fleet->world, STEP_MS);
    return waited;
}

static void leave(fleet_t *fleet)
{
    lab_store_set_mode(fleet->store, LAB_STORE_BUSY);
    lab_store_cut_waits(fleet->store);
    world_run_ms(fleet->world, AWAY_MS);
}

static void come_back(fleet_t *fleet)
{
    lab_store_restore(fleet->store, NULL, NULL);
    lab_store_set_mode(fleet->store, LAB_STORE_NORMAL);
}

static void assert_listed(const fleet_t *fleet, const char *id, bool is_listed)
{
    for (int i = 0; i < NODES; i++) {
        const ts_instance_t *instance = ts_registry_present(fleet->nodes[i]->registry, id);
        assert_int_equal(instance != NULL && instance->is_listed, is_listed);
    }
}

static void assert_draining(const fleet_t *fleet, const char *id)
{
    for (int i = 0; i < NODES; i++)
        assert_true(ts_registry_present(fleet->nodes[i]->registry, id)->is_draining);
}

static void assert_evacuated(const fleet_t *fleet, const char *zone, bool is_evacuated)
{
    for (int i = 0; i < NODES; i++)
        assert_int_equal(ts_registry_is_evacuated(fleet->nodes[i]->registry, zone), is_evacuated);
}

static void check_change_after_restore(unsigned after_ms)
{
    fleet_t fleet = open_fleet();
    lab_store_take_copy(fleet.store);
    put_noise(&fleet, LOST_WRITES);
    put_version(&fleet, 2);
    assert_true(await_version(&fleet, 2, APPLY_MS) < APPLY_MS);
    leave(&fleet);
    come_back(&fleet);
    put_version(&fleet, 2);
    world_run_ms(fleet.world, after_ms);
    put_version(&fleet, 9);
    unsigned waited = await_version(&fleet, 9, APPLY_MS);
    watch_calls(&fleet, 3000);
    if (waited >= APPLY_MS)
        print_error("not in force everywhere in %u ms; %u calls in a second\n", waited,
                    fleet.calls_most);
    assert_true(waited < APPLY_MS);
    assert_true(fleet.calls_most <= CALLS_A_SECOND_MOST);
}

static void test_change_soon_after_a_restore_is_put_in_force(void **state)
{
    check_change_after_restore(300);
}

static void test_change_a_while_after_a_restore_is_put_in_force(void **state)
{
    check_change_after_restore(2500);
}

static void test_restored_store_is_not_asked_without_pause(void **state)
{
    fleet_t fleet = open_fleet();
    lab_store_take_copy(fleet.store);
    put_noise(&fleet, LOST_WRITES);
    world_run_ms(fleet.world, 2000);
    leave(&fleet);
    come_back(&fleet);
    watch_calls(&fleet, 4000);
    if (fleet.calls_most > CALLS_A_SECOND_MOST)
        print_error("%u calls in a second\n", fleet.calls_most);
    assert_true(fleet.calls_most <= CALLS_A_SECOND_MOST);
}

/* The store has given out more revisions anew than were lost before anybody asks it again. */
static void test_change_behind_reused_revisions_is_put_in_force(void **state)
{
    fleet_t fleet = open_fleet();
    lab_store_take_copy(fleet.store);
    put_noise(&fleet, LOST_WRITES);
    world_run_ms(fleet.world, 2000);
    lab_store_set_mode(fleet.store, LAB_STORE_SILENT);
    lab_store_restore(fleet.store, NULL, NULL);
    put_version(&fleet, 9);
    put_noise(&fleet, 2 * LOST_WRITES);
    lab_store_set_mode(fleet.store, LAB_STORE_NORMAL);
    assert_true(await_version(&fleet, 9, CONTACT_MS) < CONTACT_MS);
}

static void test_older_configuration_of_a_copy_is_not_put_in_force(void **state)
{
    fleet_t fleet = open_fleet();
    lab_store_take_copy(fleet.store);
    put_version(&fleet, 2);
    assert_true(await_version(&fleet, 2, APPLY_MS) < APPLY_MS);
    leave(&fleet);
    come_back(&fleet);
    ts_gateway_t *late = add_node(&fleet, "late", "z1", world_next_port());
    world_run_ms(fleet.world, APPLY_MS);
    assert_true(have_version(&fleet, 2));
    assert_int_equal(late->traffic->version, 2); // from its peers
    put_version(&fleet, 3);
    assert_true(await_version(&fleet, 3, APPLY_MS) < APPLY_MS);
    assert_true(world_await_knowledge(fleet.world, late, 3, 3));
}

static void test_back_ends_missing_in_a_copy_are_kept_until_they_write_again(void **state)
{
    fleet_t fleet = open_fleet();
    lab_store_take_copy(fleet.store);
    put_searcher(&fleet, "i-writes", "ready", 1);
    put_searcher(&fleet, "i-ended", "ready", 1);
    world_run_ms(fleet.world, 2000);
    leave(&fleet);
    come_back(&fleet);
    world_run_ms(fleet.world, 1000);
    assert_listed(&fleet, "i-writes", true);
    assert_listed(&fleet, "i-ended", true);
    put_searcher(&fleet, "i-writes", "ready", 1);
    world_run_ms(fleet.world, CONTACT_MS);
    assert_listed(&fleet, "i-writes", true);
    assert_listed(&fleet, "i-ended", false);
    assert_listed(&fleet, "i-1", true);
}

static void test_back_ends_that_left_do_not_come_back_with_a_copy(void **state)
{
    fleet_t fleet = open_fleet();
    put_searcher(&fleet, "i-restarted", "ready", 1);
    lab_store_take_copy(fleet.store);
    put_searcher(&fleet, "i-1", "draining", 1);
    put_searcher(&fleet, "i-restarted", "ready", 2);
    lab_store_delete(fleet.store, "servers/i-2");
    world_run_ms(fleet.world, 2000);
    assert_draining(&fleet, "i-1");
    leave(&fleet);
    come_back(&fleet);
    world_run_ms(fleet.world, 1000);
    assert_draining(&fleet, "i-1");
    assert_listed(&fleet, "i-2", false);
    for (int i = 0; i < NODES; i++)
        assert_int_equal(ts_registry_present(fleet.nodes[i]->registry, "i-restarted")->born_ms, 2);
    put_searcher(&fleet, "i-1", "draining", 1);
    put_searcher(&fleet, "i-restarted", "ready", 2);
    lab_store_delete(fleet.store, "servers/i-2");
    world_run_ms(fleet.world, CONTACT_MS);
    assert_draining(&fleet, "i-1");
    assert_listed(&fleet, "i-2", false);
    for (int i = 0; i < NODES; i++)
        assert_int_equal(ts_registry_present(fleet.nodes[i]->registry, "i-restarted")->born_ms, 2);
}

static void test_evacuations_stand_until_the_operator_writes_again(void **state)
{
    fleet_t fleet = open_fleet();
    lab_store_put(fleet.store, "op/evacuate/z2", "{}");
    world_run_ms(fleet.world, 2000);
    lab_store_take_copy(fleet.store);
    lab_store_put(fleet.store, "op/evacuate/z1", "{}");
    lab_store_delete(fleet.store, "op/evacuate/z2");
    world_run_ms(fleet.world, 2000);
    leave(&fleet);
    come_back(&fleet);
    world_run_ms(fleet.world, 1000);
    assert_evacuated(&fleet, "z1", true);
    assert_evacuated(&fleet, "z2", false);
    lab_store_put(fleet.store, "op/evacuate/z1", "{}");
    lab_store_delete(fleet.store, "op/evacuate/z2");
    world_run_ms(fleet.world, CONTACT_MS);
    assert_evacuated(&fleet, "z1", true);
    assert_evacuated(&fleet, "z2", false);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_change_soon_after_a_restore_is_put_in_force),
        cmocka_unit_test(test_change_a_while_after_a_restore_is_put_in_force),
        cmocka_unit_test(test_restored_store_is_not_asked_without_pause),
        cmocka_unit_test(test_change_behind_reused_revisions_is_put_in_force),
        cmocka_unit_test(test_older_configuration_of_a_copy_is_not_put_in_force),
        cmocka_unit_test(test_back_ends_missing_in_a_copy_are_kept_until_they_write_again),
        cmocka_unit_test(test_back_ends_that_left_do_not_come_back_with_a_copy),
        cmocka_unit_test(test_evacuations_stand_until_the_operator_writes_again),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
