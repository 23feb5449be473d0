/** Restores of the store from an older copy, with missing, old or repeatedly changing epochs. */
#include "fixture.h"

#include <string.h>

#include "../../src/peers/peers_internal.h"
#include "tealspar/peers.h"

#define ROUTE_A SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500)
#define APPLY_MS 3000
#define CALLS_PER_SECOND_MAX 10
#define LOST_WRITE_COUNT 20

static void put_version(fixture_t *fixture, unsigned version)
{
    char *text =
        g_strdup_printf("{\"version\":%u,\"routes\":[" ROUTE_A "],\"services\":[]}", version);
    lab_store_put(fixture->store, "op/config", text);
    g_free(text);
}

static void put_searcher(fixture_t *fixture, const char *id, const char *state)
{
    char *key = g_strdup_printf("servers/%s", id);
    char *entry = g_strdup_printf("{\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\","
                                  "\"slots\":2,\"state\":\"%s\",\"warmupLeftMs\":0,\"born\":1}",
                                  state);
    lab_store_put(fixture->store, key, entry);
    g_free(entry);
    g_free(key);
}

static void put_unrelated_changes(fixture_t *fixture)
{
    for (unsigned i = 0; i < LOST_WRITE_COUNT; i++)
        put_searcher(fixture, "i-noise", i % 2 == 0 ? "draining" : "ready");
}

static void restore_store(fixture_t *fixture)
{
    lab_store_set_mode(fixture->store, LAB_STORE_UNAVAILABLE);
    lab_store_fail_watches(fixture->store);
    fixture_run_ms(fixture, 300);
    lab_store_restore(fixture->store, NULL, NULL);
    lab_store_set_mode(fixture->store, LAB_STORE_NORMAL);
}

static bool await_version(fixture_t *fixture, const ts_gateway_t *gateway, unsigned version)
{
    for (unsigned waited = 0; waited < APPLY_MS; waited += 20) {
        if (gateway->traffic != NULL && gateway->traffic->version == version)
            return true;
        fixture_run_ms(fixture, 20);
    }
    return false;
}

static bool is_listed(const ts_gateway_t *gateway, const char *id)
{
    const ts_instance_t *instance = ts_registry_find_current(gateway->registry, id);
    return instance != NULL && instance->is_listed;
}

static unsigned count_calls_per_second(fixture_t *fixture)
{
    unsigned calls_before = lab_store_call_count(fixture->store);
    fixture_run_ms(fixture, 1000);
    return lab_store_call_count(fixture->store) - calls_before;
}

static void test_restore_of_store_without_epochs(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    lab_store_set_epoch(fixture->store, 0);
    fixture_put_config(fixture, 1, ROUTE_A);
    lab_store_take_copy(fixture->store);
    put_searcher(fixture, "i-late", "ready");
    put_unrelated_changes(fixture);
    fixture_put_config(fixture, 2, ROUTE_A);
    restore_store(fixture);
    assert_true(count_calls_per_second(fixture) <= CALLS_PER_SECOND_MAX);
    assert_int_equal(fixture->gateway.traffic->version, 2);
    assert_true(is_listed(&fixture->gateway, "i-late"));
    put_version(fixture, 9);
    assert_true(await_version(fixture, &fixture->gateway, 9));
    fixture_run_ms(fixture, APPLY_MS);
    assert_false(is_listed(&fixture->gateway, "i-late"));
}

static void test_two_successive_restores(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    fixture_put_config(fixture, 1, ROUTE_A);
    lab_store_take_copy(fixture->store);
    put_searcher(fixture, "i-late", "ready");
    put_unrelated_changes(fixture);
    fixture_put_config(fixture, 3, ROUTE_A);
    restore_store(fixture);
    put_unrelated_changes(fixture);
    fixture_run_ms(fixture, 700);
    restore_store(fixture);
    fixture_run_ms(fixture, 700);
    assert_int_equal(fixture->gateway.traffic->version, 3);
    assert_true(is_listed(&fixture->gateway, "i-late"));
    put_version(fixture, 9);
    put_searcher(fixture, "i-late", "ready");
    assert_true(await_version(fixture, &fixture->gateway, 9));
    fixture_run_ms(fixture, 2 * APPLY_MS);
    assert_true(is_listed(&fixture->gateway, "i-late"));
}

static void test_restore_while_list_is_read(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    lab_store_set_page_size(fixture->store, 1);
    for (int i = 0; i < 40; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "i-%d", i);
        put_searcher(fixture, id, "ready");
    }
    fixture_put_config(fixture, 1, ROUTE_A);
    lab_store_take_copy(fixture->store);
    put_unrelated_changes(fixture);
    fixture_put_config(fixture, 2, ROUTE_A);
    restore_store(fixture);
    unsigned calls_before = lab_store_call_count(fixture->store);
    for (int i = 0; i < 1000 && lab_store_call_count(fixture->store) < calls_before + 5; i++)
        fixture_run_ms(fixture, 1);
    // the list is still being read
    assert_true(lab_store_call_count(fixture->store) < calls_before + 40);
    lab_store_restore(fixture->store, NULL, NULL);
    put_version(fixture, 9);
    assert_true(await_version(fixture, &fixture->gateway, 9));
    assert_int_equal(ts_registry_count_listed(fixture->gateway.registry), 41);
}

/* Responses with an earlier epoch or none are ignored and must not cause rapid retries. */
static void check_responses_with_epoch(uint64_t epoch)
{
    fixture_t *fixture = fixture_open(NULL);
    lab_store_set_epoch(fixture->store, 5);
    put_searcher(fixture, "i-1", "ready");
    fixture_put_config(fixture, 1, ROUTE_A);
    lab_store_set_epoch(fixture->store, epoch);
    lab_store_delete(fixture->store, "servers/i-1");
    lab_store_fail_watches(fixture->store);
    assert_true(count_calls_per_second(fixture) <= CALLS_PER_SECOND_MAX);
    assert_true(count_calls_per_second(fixture) <= CALLS_PER_SECOND_MAX);
    assert_true(is_listed(&fixture->gateway, "i-1"));
    lab_store_set_epoch(fixture->store, 5);
    put_version(fixture, 2);
    assert_true(await_version(fixture, &fixture->gateway, 2));
    assert_false(is_listed(&fixture->gateway, "i-1"));
}

static void test_responses_of_earlier_epoch_are_ignored(void **state)
{
    check_responses_with_epoch(4);
}

static void test_responses_without_epoch_are_ignored(void **state)
{
    check_responses_with_epoch(0);
}

typedef struct pair {
    ts_gateway_t *reader;   /* in z1, reads the store */
    ts_gateway_t *isolated; /* in z2, cannot reach the store */
} pair_t;

static pair_t open_pair(fixture_t *fixture)
{
    unsigned reader_port = fixture_next_port();
    unsigned isolated_port = fixture_next_port();
    pair_t pair = {.reader = fixture_add_gateway(fixture, "n1", "z1", reader_port, isolated_port,
                                                 fixture->store_port),
                   .isolated =
                       fixture_add_gateway(fixture, "n2", "z2", isolated_port, reader_port, 0)};
    assert_true(await_version(fixture, pair.reader, 1));
    assert_true(await_version(fixture, pair.isolated, 1));
    return pair;
}

/* Waits longer than APPLY_MS: a node without the store polls its peers only now and then. */
static void await_draining(fixture_t *fixture, const ts_gateway_t *gateway, const char *id)
{
    for (unsigned waited = 0; waited < 2 * APPLY_MS; waited += 20) {
        if (ts_registry_find_current(gateway->registry, id)->is_draining)
            return;
        fixture_run_ms(fixture, 20);
    }
    fail_msg("instance %s is not draining on the node after 2 * APPLY_MS", id);
}

static void test_isolated_node_learns_of_restore_from_peers(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    put_searcher(fixture, "i-1", "ready");
    fixture_put_config(fixture, 1, ROUTE_A);
    pair_t pair = open_pair(fixture);
    lab_store_take_copy(fixture->store);
    put_unrelated_changes(fixture);
    put_searcher(fixture, "i-1", "draining");
    await_draining(fixture, pair.isolated, "i-1");
    restore_store(fixture);
    fixture_run_ms(fixture, 2000);
    assert_int_equal(ts_store_mirror_position(pair.isolated->mirror).epoch,
                     ts_store_mirror_position(pair.reader->mirror).epoch);
    assert_true(ts_registry_find_current(pair.isolated->registry, "i-1")->is_draining);
    put_version(fixture, 9);
    assert_true(await_version(fixture, pair.isolated, 9));
    lab_store_delete(fixture->store, "servers/i-1");
    fixture_run_ms(fixture, APPLY_MS);
    assert_false(is_listed(pair.isolated, "i-1"));
}

/* Frames without an epoch, as older builds send them, are ignored whatever their revision. */
static void test_peer_frames_without_epoch_are_ignored(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    put_searcher(fixture, "i-1", "ready");
    fixture_put_config(fixture, 1, ROUTE_A);
    ts_peers_t *peers = open_pair(fixture).reader->peers;
    char address[32];
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", fixture_next_port()); // nobody listens
    TsPeer__Beacon beacon = TS_PEER__BEACON__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    beacon.revision = 1000;
    frame.beacon = &beacon;
    frame.address = address;
    peers->pulled_us = 0;
    ts_peers_handle_beacon(peers, &frame);
    assert_true(peers->pulled_us == 0);
    TsPeer__Changes changes = TS_PEER__CHANGES__INIT;
    changes.revision = 1000;
    changes.is_whole = true;
    ts_peers_handle_changes(peers, &changes);
    assert_true(is_listed(peers->gateway, "i-1"));
    assert_true(ts_store_mirror_position(peers->mirror).revision < 1000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_restore_of_store_without_epochs),
        cmocka_unit_test(test_two_successive_restores),
        cmocka_unit_test(test_restore_while_list_is_read),
        cmocka_unit_test(test_responses_of_earlier_epoch_are_ignored),
        cmocka_unit_test(test_responses_without_epoch_are_ignored),
        cmocka_unit_test(test_isolated_node_learns_of_restore_from_peers),
        cmocka_unit_test(test_peer_frames_without_epoch_are_ignored),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
