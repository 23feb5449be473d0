/** Several gateways, and a store that is restored from a copy without its latest changes. */
#include "fixture.h"

#include <string.h>

#include "tealspar/peers.h"

#define NODES 4
#define ROUTE_A SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500)
/* A change is active on all nodes within this time after the store acknowledged it. */
#define APPLY_MS 3000
/* APPLY_MS holds again this long after the store has recovered. */
#define RECOVERY_MS 5000
/* Two of the gateways read the store; it can serve more calls than this. */
#define STORE_CALLS_PER_SECOND_MAX 20
#define OUTAGE_MS 1500
/* Writes after the copy was taken: a restore loses them and reuses their revisions. */
#define LOST_WRITE_COUNT 20
#define STEP_MS 20

typedef struct fleet {
    fixture_t *fixture;
    lab_store_t *store;
    ts_gateway_t *nodes[NODES];
    unsigned ports[NODES];
    unsigned max_calls_per_second; /* most calls to the store in any second that was measured */
} fleet_t;

static ts_gateway_t *add_node(fleet_t *fleet, const char *name, const char *zone, unsigned port)
{
    return fixture_add_gateway(fleet->fixture, name, zone, port, fleet->ports[0],
                               fleet->fixture->store_port);
}

/* Two nodes in each of two zones; the store has version 1 and the backends i-1 to i-3. */
static fleet_t open_fleet(void)
{
    fleet_t fleet = {.fixture = fixture_open(NULL)};
    fleet.store = fleet.fixture->store;
    fixture_add_searcher(fleet.fixture, "i-1", "a", "z1");
    fixture_add_searcher(fleet.fixture, "i-2", "a", "z1");
    fixture_add_searcher(fleet.fixture, "i-3", "a", "z2");
    fixture_put_config(fleet.fixture, 1, ROUTE_A);
    for (int i = 0; i < NODES; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "n%d", i);
        fleet.ports[i] = fixture_next_port();
        fleet.nodes[i] = add_node(&fleet, name, i < NODES / 2 ? "z1" : "z2", fleet.ports[i]);
    }
    for (int i = 0; i < NODES; i++)
        assert_true(fixture_await_synced(fleet.fixture, fleet.nodes[i], 1, 3));
    for (int i = 0; i < 300 && ts_peers_count(fleet.nodes[NODES - 1]->peers) < NODES; i++)
        fixture_run_ms(fleet.fixture, 10);
    fixture_run_ms(fleet.fixture, 1000);
    return fleet;
}

/* Does not wait for the nodes. */
static void put_config_without_waiting(fleet_t *fleet, unsigned version)
{
    char *text =
        g_strdup_printf("{\"version\":%u,\"routes\":[" ROUTE_A "],\"services\":[]}", version);
    lab_store_put(fleet->store, "op/config", text);
    g_free(text);
}

/* Writes the entry of a searcher that does not exist. */
static void put_searcher_entry(fleet_t *fleet, const char *id, const char *state, unsigned born)
{
    char *key = g_strdup_printf("servers/%s", id);
    char *entry = g_strdup_printf("{\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\","
                                  "\"slots\":2,\"state\":\"%s\",\"warmupLeftMs\":0,\"born\":%u}",
                                  state, born);
    lab_store_put(fleet->store, key, entry);
    g_free(entry);
    g_free(key);
}

/* Writes an entry that no test checks, to advance the revision. */
static void advance_revision(fleet_t *fleet, unsigned n)
{
    for (unsigned i = 0; i < n; i++)
        put_searcher_entry(fleet, "i-noise", i % 2 == 0 ? "draining" : "ready", 1);
}

/* Records the most calls to the store in any of the next seconds. */
static void measure_calls(fleet_t *fleet, unsigned duration_ms)
{
    for (unsigned i = 0; i < duration_ms / 1000; i++) {
        unsigned calls_before = lab_store_call_count(fleet->store);
        fixture_run_ms(fleet->fixture, 1000);
        fleet->max_calls_per_second =
            MAX(fleet->max_calls_per_second, lab_store_call_count(fleet->store) - calls_before);
    }
}

static bool is_version_active_on_all(const fleet_t *fleet, unsigned version)
{
    bool is_active = true;
    for (int i = 0; i < NODES; i++)
        is_active &= fleet->nodes[i]->traffic->version == version;
    return is_active;
}

/* Returns how long it took until all nodes had the version; >= `timeout_ms`: they did not. */
static unsigned await_version(fleet_t *fleet, unsigned version, unsigned timeout_ms)
{
    unsigned waited = 0;
    for (; waited < timeout_ms && !is_version_active_on_all(fleet, version); waited += STEP_MS)
        fixture_run_ms(fleet->fixture, STEP_MS);
    return waited;
}

/* Fails all calls for OUTAGE_MS. */
static void stop_store(fleet_t *fleet)
{
    lab_store_set_mode(fleet->store, LAB_STORE_UNAVAILABLE);
    lab_store_fail_watches(fleet->store);
    fixture_run_ms(fleet->fixture, OUTAGE_MS);
}

/* Restores the store from the copy taken last and ends the outage. */
static void restore_store(fleet_t *fleet)
{
    lab_store_restore(fleet->store, NULL, NULL);
    lab_store_set_mode(fleet->store, LAB_STORE_NORMAL);
}

static void assert_listed(const fleet_t *fleet, const char *id, bool is_listed)
{
    for (int i = 0; i < NODES; i++) {
        const ts_instance_t *instance = ts_registry_find_current(fleet->nodes[i]->registry, id);
        assert_int_equal(instance != NULL && instance->is_listed, is_listed);
    }
}

static void assert_draining(const fleet_t *fleet, const char *id)
{
    for (int i = 0; i < NODES; i++)
        assert_true(ts_registry_find_current(fleet->nodes[i]->registry, id)->is_draining);
}

static void assert_evacuated(const fleet_t *fleet, const char *zone, bool is_evacuated)
{
    for (int i = 0; i < NODES; i++)
        assert_int_equal(ts_registry_is_evacuated(fleet->nodes[i]->registry, zone), is_evacuated);
}

/* A change written `delay_ms` after a restore must be applied in time and without many calls. */
static void check_change_after_restore(unsigned delay_ms)
{
    fleet_t fleet = open_fleet();
    lab_store_take_copy(fleet.store);
    advance_revision(&fleet, LOST_WRITE_COUNT);
    put_config_without_waiting(&fleet, 2);
    assert_true(await_version(&fleet, 2, APPLY_MS) < APPLY_MS);
    stop_store(&fleet);
    restore_store(&fleet);
    put_config_without_waiting(&fleet, 2);
    fixture_run_ms(fleet.fixture, delay_ms);
    put_config_without_waiting(&fleet, 9);
    unsigned waited = await_version(&fleet, 9, APPLY_MS);
    measure_calls(&fleet, 3000);
    if (waited >= APPLY_MS)
        print_error("version 9 is not active on all nodes after %u ms; up to %u calls per second\n",
                    waited, fleet.max_calls_per_second);
    assert_true(waited < APPLY_MS);
    assert_true(fleet.max_calls_per_second <= STORE_CALLS_PER_SECOND_MAX);
}

static void test_change_soon_after_restore_is_applied(void **state)
{
    check_change_after_restore(300);
}

static void test_change_some_time_after_restore_is_applied(void **state)
{
    check_change_after_restore(2500);
}

static void test_restored_store_is_not_polled_rapidly(void **state)
{
    fleet_t fleet = open_fleet();
    lab_store_take_copy(fleet.store);
    advance_revision(&fleet, LOST_WRITE_COUNT);
    fixture_run_ms(fleet.fixture, 2000);
    stop_store(&fleet);
    restore_store(&fleet);
    measure_calls(&fleet, 4000);
    if (fleet.max_calls_per_second > STORE_CALLS_PER_SECOND_MAX)
        print_error("%u calls per second\n", fleet.max_calls_per_second);
    assert_true(fleet.max_calls_per_second <= STORE_CALLS_PER_SECOND_MAX);
}

/*
 * Before any node calls the restored store it has reused more revisions than were lost: its
 * revision is higher than the one the nodes know, which must not hide the change.
 */
static void test_change_behind_reused_revisions_is_applied(void **state)
{
    fleet_t fleet = open_fleet();
    lab_store_take_copy(fleet.store);
    advance_revision(&fleet, LOST_WRITE_COUNT);
    fixture_run_ms(fleet.fixture, 2000);
    lab_store_set_mode(fleet.store, LAB_STORE_SILENT);
    lab_store_restore(fleet.store, NULL, NULL);
    put_config_without_waiting(&fleet, 9);
    advance_revision(&fleet, 2 * LOST_WRITE_COUNT);
    lab_store_set_mode(fleet.store, LAB_STORE_NORMAL);
    assert_true(await_version(&fleet, 9, RECOVERY_MS) < RECOVERY_MS);
}

/* A node that starts after the restore must get the newer configuration from its peers. */
static void test_older_configuration_of_copy_is_not_applied(void **state)
{
    fleet_t fleet = open_fleet();
    lab_store_take_copy(fleet.store);
    put_config_without_waiting(&fleet, 2);
    assert_true(await_version(&fleet, 2, APPLY_MS) < APPLY_MS);
    stop_store(&fleet);
    restore_store(&fleet);
    ts_gateway_t *new_node = add_node(&fleet, "late", "z1", fixture_next_port());
    fixture_run_ms(fleet.fixture, APPLY_MS);
    assert_true(is_version_active_on_all(&fleet, 2));
    assert_int_equal(new_node->traffic->version, 2); // from its peers
    put_config_without_waiting(&fleet, 3);
    assert_true(await_version(&fleet, 3, APPLY_MS) < APPLY_MS);
    assert_true(fixture_await_synced(fleet.fixture, new_node, 3, 3));
}

/*
 * Backends registered after the copy was taken stay listed in the rewrite window, and beyond it if
 * they are written again.
 */
static void test_backends_missing_in_copy_are_kept_until_rewritten(void **state)
{
    fleet_t fleet = open_fleet();
    lab_store_take_copy(fleet.store);
    put_searcher_entry(&fleet, "i-writes", "ready", 1);
    put_searcher_entry(&fleet, "i-ended", "ready", 1);
    fixture_run_ms(fleet.fixture, 2000);
    stop_store(&fleet);
    restore_store(&fleet);
    fixture_run_ms(fleet.fixture, 1000);
    assert_listed(&fleet, "i-writes", true);
    assert_listed(&fleet, "i-ended", true);
    put_searcher_entry(&fleet, "i-writes", "ready", 1);
    fixture_run_ms(fleet.fixture, RECOVERY_MS);
    assert_listed(&fleet, "i-writes", true);
    assert_listed(&fleet, "i-ended", false);
    assert_listed(&fleet, "i-1", true);
}

/* Entries in the copy that were changed or deleted later must not become effective again. */
static void test_removed_backends_do_not_return_with_copy(void **state)
{
    fleet_t fleet = open_fleet();
    put_searcher_entry(&fleet, "i-restarted", "ready", 1);
    lab_store_take_copy(fleet.store);
    put_searcher_entry(&fleet, "i-1", "draining", 1);
    put_searcher_entry(&fleet, "i-restarted", "ready", 2);
    lab_store_delete(fleet.store, "servers/i-2");
    fixture_run_ms(fleet.fixture, 2000);
    assert_draining(&fleet, "i-1");
    stop_store(&fleet);
    restore_store(&fleet);
    fixture_run_ms(fleet.fixture, 1000);
    assert_draining(&fleet, "i-1");
    assert_listed(&fleet, "i-2", false);
    for (int i = 0; i < NODES; i++)
        assert_int_equal(ts_registry_find_current(fleet.nodes[i]->registry, "i-restarted")->born_ms,
                         2);
    put_searcher_entry(&fleet, "i-1", "draining", 1);
    put_searcher_entry(&fleet, "i-restarted", "ready", 2);
    lab_store_delete(fleet.store, "servers/i-2");
    fixture_run_ms(fleet.fixture, RECOVERY_MS);
    assert_draining(&fleet, "i-1");
    assert_listed(&fleet, "i-2", false);
    for (int i = 0; i < NODES; i++)
        assert_int_equal(ts_registry_find_current(fleet.nodes[i]->registry, "i-restarted")->born_ms,
                         2);
}

/* Evacuations started or ended after the copy was taken stay so in the rewrite window. */
static void test_evacuations_are_kept_until_rewritten(void **state)
{
    fleet_t fleet = open_fleet();
    lab_store_put(fleet.store, "op/evacuate/z2", "{}");
    fixture_run_ms(fleet.fixture, 2000);
    lab_store_take_copy(fleet.store);
    lab_store_put(fleet.store, "op/evacuate/z1", "{}");
    lab_store_delete(fleet.store, "op/evacuate/z2");
    fixture_run_ms(fleet.fixture, 2000);
    stop_store(&fleet);
    restore_store(&fleet);
    fixture_run_ms(fleet.fixture, 1000);
    assert_evacuated(&fleet, "z1", true);
    assert_evacuated(&fleet, "z2", false);
    lab_store_put(fleet.store, "op/evacuate/z1", "{}");
    lab_store_delete(fleet.store, "op/evacuate/z2");
    fixture_run_ms(fleet.fixture, RECOVERY_MS);
    assert_evacuated(&fleet, "z1", true);
    assert_evacuated(&fleet, "z2", false);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_change_soon_after_restore_is_applied),
        cmocka_unit_test(test_change_some_time_after_restore_is_applied),
        cmocka_unit_test(test_restored_store_is_not_polled_rapidly),
        cmocka_unit_test(test_change_behind_reused_revisions_is_applied),
        cmocka_unit_test(test_older_configuration_of_copy_is_not_applied),
        cmocka_unit_test(test_backends_missing_in_copy_are_kept_until_rewritten),
        cmocka_unit_test(test_removed_backends_do_not_return_with_copy),
        cmocka_unit_test(test_evacuations_are_kept_until_rewritten),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
