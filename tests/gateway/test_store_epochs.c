/**
 * How one gateway or two peers handle store epochs: restores from an older copy, and responses or
 * peer frames with an earlier epoch or none. Guards against applying outdated data, missing changes
 * after a restore, and polling the store too often.
 */
#include "fixture.h"

#include <string.h>

#include "../../src/peers/peers_internal.h"
#include "tealspar/peers.h"

#define ROUTE_A SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500)
/* Time within which a gateway applies a change of the store. */
#define APPLY_MS 3000
#define STORE_CALLS_PER_SECOND_MAX 10
/* Writes before a restore that are lost by it, so that their revisions are reused afterwards. */
#define LOST_WRITE_COUNT 20
/* Searchers of the tests that restore the store while a list is read. */
#define LISTED_COUNT 40
/* Pages of a list that the gateway has received when the store is restored again. */
#define PAGES_BEFORE_RESTORE 5

/* Unlike fixture_put_config, does not wait for the gateway. */
static void put_config_without_waiting(fixture_t *fixture, unsigned version)
{
    char *text =
        g_strdup_printf("{\"version\":%u,\"routes\":[" ROUTE_A "],\"services\":[]}", version);
    lab_store_put(fixture->store, "op/config", text);
    g_free(text);
}

/* Writes the entry of a searcher that does not exist. */
static void put_searcher_entry(fixture_t *fixture, const char *id, const char *state)
{
    char *key = g_strdup_printf("servers/%s", id);
    char *entry = g_strdup_printf("{\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\","
                                  "\"slots\":2,\"state\":\"%s\",\"warmupLeftMs\":0,\"born\":1}",
                                  state);
    lab_store_put(fixture->store, key, entry);
    g_free(entry);
    g_free(key);
}

/* Changes the entry of searcher i-noise. */
static void put_lost_writes(fixture_t *fixture)
{
    for (unsigned i = 0; i < LOST_WRITE_COUNT; i++)
        put_searcher_entry(fixture, "i-noise", i % 2 == 0 ? "draining" : "ready");
}

/* Fails all calls for 300 ms, then restores the store from the copy taken last. */
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

static unsigned count_store_calls_in_1s(fixture_t *fixture)
{
    unsigned calls_before = lab_store_call_count(fixture->store);
    fixture_run_ms(fixture, 1000);
    return lab_store_call_count(fixture->store) - calls_before;
}

/*
 * Without epochs the gateway must detect a restore by itself. Lost writes stay effective until the
 * rewrite window ends; i-late is not written again and is then removed.
 */
static void test_restore_of_store_without_epochs(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    lab_store_set_epoch(fixture->store, 0);
    fixture_put_config(fixture, 1, ROUTE_A);
    lab_store_take_copy(fixture->store);
    put_searcher_entry(fixture, "i-late", "ready");
    put_lost_writes(fixture);
    fixture_put_config(fixture, 2, ROUTE_A);
    restore_store(fixture);
    assert_true(count_store_calls_in_1s(fixture) <= STORE_CALLS_PER_SECOND_MAX);
    assert_int_equal(fixture->gateway.traffic->version, 2);
    assert_true(is_listed(&fixture->gateway, "i-late"));
    put_config_without_waiting(fixture, 9);
    assert_true(await_version(fixture, &fixture->gateway, 9));
    fixture_run_ms(fixture, APPLY_MS);
    assert_false(is_listed(&fixture->gateway, "i-late"));
}

/*
 * A second restore within the rewrite window of the first. Lost writes stay effective through both;
 * i-late is written again and stays listed after the window.
 */
static void test_two_successive_restores(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    fixture_put_config(fixture, 1, ROUTE_A);
    lab_store_take_copy(fixture->store);
    put_searcher_entry(fixture, "i-late", "ready");
    put_lost_writes(fixture);
    fixture_put_config(fixture, 3, ROUTE_A);
    restore_store(fixture);
    put_lost_writes(fixture);
    fixture_run_ms(fixture, 700);
    restore_store(fixture);
    fixture_run_ms(fixture, 700);
    assert_int_equal(fixture->gateway.traffic->version, 3);
    assert_true(is_listed(&fixture->gateway, "i-late"));
    put_config_without_waiting(fixture, 9);
    put_searcher_entry(fixture, "i-late", "ready");
    assert_true(await_version(fixture, &fixture->gateway, 9));
    fixture_run_ms(fixture, 2 * APPLY_MS);
    assert_true(is_listed(&fixture->gateway, "i-late"));
}

/* Restores the store and stops the gateway's list after a few pages, until it is released. */
static void restore_and_hold_list(fixture_t *fixture)
{
    lab_store_hold_list_call(fixture->store, PAGES_BEFORE_RESTORE);
    restore_store(fixture);
    for (unsigned waited = 0; waited < APPLY_MS; waited++) {
        if (lab_store_is_list_call_held(fixture->store))
            return;
        fixture_run_ms(fixture, 1);
    }
    fail_msg("no list call was made within " G_STRINGIFY(APPLY_MS) " ms");
}

/* The epoch that the gateway has applied, as reported by the store. */
static uint64_t gateway_epoch(const fixture_t *fixture)
{
    return ts_store_epoch_reported(ts_store_mirror_position(fixture->gateway.mirror).epoch);
}

static bool await_epoch_change(fixture_t *fixture, uint64_t epoch)
{
    for (unsigned waited = 0; waited < APPLY_MS; waited++) {
        if (gateway_epoch(fixture) != epoch)
            return true;
        fixture_run_ms(fixture, 1);
    }
    return false;
}

/*
 * Puts LISTED_COUNT searchers and a configuration, then restores the store twice: the second time
 * while the gateway reads the list after the first one, which takes a call per entry. The list
 * stays incomplete, as one of its pages is held until lab_store_release_list_call.
 */
static fixture_t *restore_while_list_is_read(void)
{
    fixture_t *fixture = fixture_open(NULL);
    lab_store_set_page_size(fixture->store, 1);
    for (int i = 0; i < LISTED_COUNT; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "i-%d", i);
        put_searcher_entry(fixture, id, "ready");
    }
    fixture_put_config(fixture, 1, ROUTE_A);
    lab_store_take_copy(fixture->store);
    put_lost_writes(fixture);
    fixture_put_config(fixture, 2, ROUTE_A);
    uint64_t epoch = gateway_epoch(fixture);
    restore_and_hold_list(fixture);
    assert_true(lab_store_is_list_call_held(fixture->store));
    assert_true(gateway_epoch(fixture) == epoch); // nothing of the list has been applied
    lab_store_restore(fixture->store, NULL, NULL);
    return fixture;
}

/*
 * A change is written right after a restore that takes place while the gateway reads a list. The
 * change must be applied, and no entry may be missing.
 */
static void test_restore_while_list_is_read(void **state)
{
    fixture_t *fixture = restore_while_list_is_read();
    put_config_without_waiting(fixture, 9);
    lab_store_release_list_call(fixture->store);
    assert_true(await_version(fixture, &fixture->gateway, 9));
    // with i-noise, which is kept during the rewrite window
    assert_int_equal(ts_registry_count_listed(fixture->gateway.registry), LISTED_COUNT + 1);
}

/*
 * Guards against combining pages from before and after a restore into one list: the gateway would
 * take the epoch of the first page, and learn of the restore only when its next watch call ends.
 */
static void test_pages_of_two_epochs_are_not_combined(void **state)
{
    fixture_t *fixture = restore_while_list_is_read();
    uint64_t epoch = gateway_epoch(fixture);
    lab_store_release_list_call(fixture->store);
    assert_true(await_epoch_change(fixture, epoch));
    assert_true(gateway_epoch(fixture) == lab_store_epoch(fixture->store));
    assert_int_equal(ts_registry_count_listed(fixture->gateway.registry), LISTED_COUNT + 1);
}

/*
 * Responses with an earlier epoch, or none (`epoch` 0), are ignored and must not cause rapid
 * retries.
 */
static void check_responses_with_epoch(uint64_t epoch)
{
    fixture_t *fixture = fixture_open(NULL);
    lab_store_set_epoch(fixture->store, 5);
    put_searcher_entry(fixture, "i-1", "ready");
    fixture_put_config(fixture, 1, ROUTE_A);
    lab_store_set_epoch(fixture->store, epoch);
    lab_store_delete(fixture->store, "servers/i-1");
    lab_store_fail_watches(fixture->store);
    assert_true(count_store_calls_in_1s(fixture) <= STORE_CALLS_PER_SECOND_MAX);
    assert_true(count_store_calls_in_1s(fixture) <= STORE_CALLS_PER_SECOND_MAX);
    assert_true(is_listed(&fixture->gateway, "i-1"));
    lab_store_set_epoch(fixture->store, 5);
    put_config_without_waiting(fixture, 2);
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
    ts_gateway_t *reader;        /* in z1, reads the store */
    ts_gateway_t *without_store; /* in z2, reaches its peer but not the store */
} pair_t;

static pair_t open_pair(fixture_t *fixture)
{
    unsigned reader_port = fixture_next_port();
    unsigned port_without_store = fixture_next_port();
    pair_t pair = {.reader = fixture_add_gateway(fixture, "n1", "z1", reader_port,
                                                 port_without_store, fixture->store_port),
                   .without_store = fixture_add_gateway(fixture, "n2", "z2", port_without_store,
                                                        reader_port, 0)};
    assert_true(await_version(fixture, pair.reader, 1));
    assert_true(await_version(fixture, pair.without_store, 1));
    return pair;
}

/*
 * Waits longer than APPLY_MS: a node that cannot reach the store pulls from a random peer after
 * each failed call of its own, with pauses of up to 1.5 s in between.
 */
static void await_draining(fixture_t *fixture, const ts_gateway_t *gateway, const char *id)
{
    for (unsigned waited = 0; waited < 2 * APPLY_MS; waited += 20) {
        if (ts_registry_find_current(gateway->registry, id)->is_draining)
            return;
        fixture_run_ms(fixture, 20);
    }
    fail_msg("instance %s is not draining after 2 * " G_STRINGIFY(APPLY_MS) " ms", id);
}

static void test_node_without_store_learns_of_restore_from_peers(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    put_searcher_entry(fixture, "i-1", "ready");
    fixture_put_config(fixture, 1, ROUTE_A);
    pair_t pair = open_pair(fixture);
    lab_store_take_copy(fixture->store);
    put_lost_writes(fixture);
    put_searcher_entry(fixture, "i-1", "draining");
    await_draining(fixture, pair.without_store, "i-1");
    restore_store(fixture);
    fixture_run_ms(fixture, 2000);
    assert_int_equal(ts_store_mirror_position(pair.without_store->mirror).epoch,
                     ts_store_mirror_position(pair.reader->mirror).epoch);
    assert_true(ts_registry_find_current(pair.without_store->registry, "i-1")->is_draining);
    put_config_without_waiting(fixture, 9);
    assert_true(await_version(fixture, pair.without_store, 9));
    lab_store_delete(fixture->store, "servers/i-1");
    fixture_run_ms(fixture, APPLY_MS);
    assert_false(is_listed(pair.without_store, "i-1"));
}

/* Frames without an epoch, as older builds send them, are ignored whatever their revision. */
static void test_peer_frames_without_epoch_are_ignored(void **state)
{
    fixture_t *fixture = fixture_open(NULL);
    put_searcher_entry(fixture, "i-1", "ready");
    fixture_put_config(fixture, 1, ROUTE_A);
    ts_peers_t *peers = open_pair(fixture).reader->peers;
    char address[32];
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", fixture_next_port()); // not in use
    TsPeer__Beacon beacon = TS_PEER__BEACON__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    beacon.revision = 1000;
    frame.beacon = &beacon;
    frame.address = address;
    peers->pulled_us = 0;
    ts_peers_handle_beacon(peers, &frame, 0);
    assert_true(peers->pulled_us == 0); // no pull was sent in response
    TsPeer__Changes changes = TS_PEER__CHANGES__INIT;
    changes.revision = 1000;
    changes.is_whole = true;
    ts_peers_handle_changes(peers, &changes, 0);
    assert_true(is_listed(peers->gateway, "i-1"));
    assert_true(ts_store_mirror_position(peers->mirror).revision < 1000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_restore_of_store_without_epochs),
        cmocka_unit_test(test_two_successive_restores),
        cmocka_unit_test(test_restore_while_list_is_read),
        cmocka_unit_test(test_pages_of_two_epochs_are_not_combined),
        cmocka_unit_test(test_responses_of_earlier_epoch_are_ignored),
        cmocka_unit_test(test_responses_without_epoch_are_ignored),
        cmocka_unit_test(test_node_without_store_learns_of_restore_from_peers),
        cmocka_unit_test(test_peer_frames_without_epoch_are_ignored),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
