/** One gateway, or a few, and a store whose epochs and answers come in odd ways. */
#include "fixture.h"

#include <string.h>

#include "../../src/peers/peers_internal.h"
#include "tealspar/peers.h"

#define ROUTE_A ROUTE_ONE("one", "/p/", "idempotent", "a", 1500)
#define APPLY_MS 3000
#define CALLS_A_SECOND_MOST 10
#define LOST_WRITES 20

static void put_version(world_t *world, unsigned version)
{
    char *text =
        g_strdup_printf("{\"version\":%u,\"routes\":[" ROUTE_A "],\"services\":[]}", version);
    lab_store_put(world->store, "op/config", text);
    g_free(text);
}

static void put_searcher(world_t *world, const char *id, const char *state)
{
    char *key = g_strdup_printf("servers/%s", id);
    char *entry = g_strdup_printf("{\"service\":\"a\",\"address\":\"127.0.0.1:1\",\"zone\":\"z1\","
                                  "\"slots\":2,\"state\":\"%s\",\"warmupLeftMs\":0,\"born\":1}",
                                  state);
    lab_store_put(world->store, key, entry);
    g_free(entry);
    g_free(key);
}

static void put_noise(world_t *world)
{
    for (unsigned i = 0; i < LOST_WRITES; i++)
        put_searcher(world, "i-noise", i % 2 == 0 ? "draining" : "ready");
}

static void come_back(world_t *world)
{
    lab_store_set_mode(world->store, LAB_STORE_BUSY);
    lab_store_cut_waits(world->store);
    world_run_ms(world, 300);
    lab_store_restore(world->store, NULL, NULL);
    lab_store_set_mode(world->store, LAB_STORE_NORMAL);
}

static bool have_version(world_t *world, const ts_gateway_t *gateway, unsigned version)
{
    for (unsigned waited = 0; waited < APPLY_MS; waited += 20) {
        if (gateway->traffic != NULL && gateway->traffic->version == version)
            return true;
        world_run_ms(world, 20);
    }
    return false;
}

static bool is_listed(const ts_gateway_t *gateway, const char *id)
{
    const ts_instance_t *instance = ts_registry_present(gateway->registry, id);
    return instance != NULL && instance->is_listed;
}

static unsigned calls_in_a_second(world_t *world)
{
    unsigned before = lab_store_calls(world->store);
    world_run_ms(world, 1000);
    return lab_store_calls(world->store) - before;
}

static void test_store_that_tells_no_epoch_may_come_back(void **state)
{
    world_t *world = world_open(NULL);
    lab_store_set_epoch(world->store, 0);
    world_configure(world, 1, ROUTE_A);
    lab_store_take_copy(world->store);
    put_searcher(world, "i-late", "ready");
    put_noise(world);
    world_configure(world, 2, ROUTE_A);
    come_back(world);
    assert_true(calls_in_a_second(world) <= CALLS_A_SECOND_MOST);
    assert_int_equal(world->gateway.traffic->version, 2);
    assert_true(is_listed(&world->gateway, "i-late"));
    put_version(world, 9);
    assert_true(have_version(world, &world->gateway, 9));
    world_run_ms(world, APPLY_MS);
    assert_false(is_listed(&world->gateway, "i-late"));
}

static void test_two_restores_in_a_row(void **state)
{
    world_t *world = world_open(NULL);
    world_configure(world, 1, ROUTE_A);
    lab_store_take_copy(world->store);
    put_searcher(world, "i-late", "ready");
    put_noise(world);
    world_configure(world, 3, ROUTE_A);
    come_back(world);
    put_noise(world);
    world_run_ms(world, 700);
    come_back(world);
    world_run_ms(world, 700);
    assert_int_equal(world->gateway.traffic->version, 3);
    assert_true(is_listed(&world->gateway, "i-late"));
    put_version(world, 9);
    put_searcher(world, "i-late", "ready");
    assert_true(have_version(world, &world->gateway, 9));
    world_run_ms(world, 2 * APPLY_MS);
    assert_true(is_listed(&world->gateway, "i-late"));
}

static void test_restore_in_the_middle_of_a_list(void **state)
{
    world_t *world = world_open(NULL);
    lab_store_set_page(world->store, 1);
    for (int i = 0; i < 40; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "i-%d", i);
        put_searcher(world, id, "ready");
    }
    world_configure(world, 1, ROUTE_A);
    lab_store_take_copy(world->store);
    put_noise(world);
    world_configure(world, 2, ROUTE_A);
    come_back(world);
    unsigned before = lab_store_calls(world->store);
    for (int i = 0; i < 1000 && lab_store_calls(world->store) < before + 5; i++)
        world_run_ms(world, 1);
    assert_true(lab_store_calls(world->store) < before + 40); // the list is not over
    lab_store_restore(world->store, NULL, NULL);
    put_version(world, 9);
    assert_true(have_version(world, &world->gateway, 9));
    assert_int_equal(ts_registry_listed(world->gateway.registry), 41);
}

/* Answers of an epoch that is over, or of none, change nothing and are not asked for in haste. */
static void check_answers_of(uint64_t epoch)
{
    world_t *world = world_open(NULL);
    lab_store_set_epoch(world->store, 5);
    put_searcher(world, "i-1", "ready");
    world_configure(world, 1, ROUTE_A);
    lab_store_set_epoch(world->store, epoch);
    lab_store_delete(world->store, "servers/i-1");
    lab_store_cut_waits(world->store);
    assert_true(calls_in_a_second(world) <= CALLS_A_SECOND_MOST);
    assert_true(calls_in_a_second(world) <= CALLS_A_SECOND_MOST);
    assert_true(is_listed(&world->gateway, "i-1"));
    lab_store_set_epoch(world->store, 5);
    put_version(world, 2);
    assert_true(have_version(world, &world->gateway, 2));
    assert_false(is_listed(&world->gateway, "i-1"));
}

static void test_answers_of_an_earlier_epoch_are_not_believed(void **state)
{
    check_answers_of(4);
}

static void test_answers_without_an_epoch_are_not_believed(void **state)
{
    check_answers_of(0);
}

typedef struct pair {
    ts_gateway_t *reader; /* of z1, with the store */
    ts_gateway_t *cut;    /* of z2, cut off from it */
} pair_t;

static pair_t open_pair(world_t *world)
{
    unsigned reader_port = world_next_port();
    unsigned cut_port = world_next_port();
    pair_t pair = {
        .reader = world_add_gateway(world, "n1", "z1", reader_port, cut_port, world->store_port),
        .cut = world_add_gateway(world, "n2", "z2", cut_port, reader_port, 0)};
    assert_true(have_version(world, pair.reader, 1));
    assert_true(have_version(world, pair.cut, 1));
    return pair;
}

/* A node without the store asks its peers now and then. */
static void await_draining(world_t *world, const ts_gateway_t *gateway, const char *id)
{
    for (unsigned waited = 0; waited < 2 * APPLY_MS; waited += 20) {
        if (ts_registry_present(gateway->registry, id)->is_draining)
            return;
        world_run_ms(world, 20);
    }
    fail_msg("%s does not drain", id);
}

static void test_node_that_is_cut_off_hears_of_a_restore_from_peers(void **state)
{
    world_t *world = world_open(NULL);
    put_searcher(world, "i-1", "ready");
    world_configure(world, 1, ROUTE_A);
    pair_t pair = open_pair(world);
    lab_store_take_copy(world->store);
    put_noise(world);
    put_searcher(world, "i-1", "draining");
    await_draining(world, pair.cut, "i-1");
    come_back(world);
    world_run_ms(world, 2000);
    assert_int_equal(ts_store_mirror_position(pair.cut->mirror).epoch,
                     ts_store_mirror_position(pair.reader->mirror).epoch);
    assert_true(ts_registry_present(pair.cut->registry, "i-1")->is_draining);
    put_version(world, 9);
    assert_true(have_version(world, pair.cut, 9));
    lab_store_delete(world->store, "servers/i-1");
    world_run_ms(world, APPLY_MS);
    assert_false(is_listed(pair.cut, "i-1"));
}

/* Frames without an epoch, as those of a build that knows none: whatever their revision. */
static void test_peers_without_an_epoch_are_not_believed(void **state)
{
    world_t *world = world_open(NULL);
    put_searcher(world, "i-1", "ready");
    world_configure(world, 1, ROUTE_A);
    ts_peers_t *peers = open_pair(world).reader->peers;
    char address[32];
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", world_next_port()); // nobody answers
    TsPeer__Beacon beacon = TS_PEER__BEACON__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    beacon.revision = 1000;
    frame.beacon = &beacon;
    frame.address = address;
    peers->pulled_us = 0;
    ts_peers_take_beacon(peers, &frame);
    assert_true(peers->pulled_us == 0);
    TsPeer__Changes changes = TS_PEER__CHANGES__INIT;
    changes.revision = 1000;
    changes.is_whole = true;
    ts_peers_take_changes(peers, &changes);
    assert_true(is_listed(peers->gateway, "i-1"));
    assert_true(ts_store_mirror_position(peers->mirror).revision < 1000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_store_that_tells_no_epoch_may_come_back),
        cmocka_unit_test(test_two_restores_in_a_row),
        cmocka_unit_test(test_restore_in_the_middle_of_a_list),
        cmocka_unit_test(test_answers_of_an_earlier_epoch_are_not_believed),
        cmocka_unit_test(test_answers_without_an_epoch_are_not_believed),
        cmocka_unit_test(test_node_that_is_cut_off_hears_of_a_restore_from_peers),
        cmocka_unit_test(test_peers_without_an_epoch_are_not_believed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
