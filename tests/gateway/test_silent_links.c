/** Connections that go silent without a reset, while new ones work. */
#include "fixture.h"

#include "link.h"
#include "tealspar/counters.h"
#include "tealspar/peers.h"

#define ROUTE_A ROUTE_ONE("one", "/p/", "idempotent", "a", 1500)
#define CONFIGURATION(version) "{\"version\":" #version ",\"routes\":[" ROUTE_A "],\"services\":[]}"
#define WAIT_MS 5000

static lab_link_mode_t pass(void *ctx, const char *source)
{
    return LAB_LINK_PASS;
}

static double no_delay(void *ctx, const char *source)
{
    return 0;
}

static const lab_link_ops_t link_ops = {pass, no_delay};

/* Two gateways that reach each other over links; the second has no service to ask. */
typedef struct pair {
    world_t *world;
    lab_link_t *links[2];
    ts_gateway_t *nodes[2];
} pair_t;

static ts_gateway_t *open_node(world_t *world, const char *name, const char *own, const char *seen,
                               const char *seed, unsigned store_port)
{
    char *text =
        g_strdup_printf("name: %s\nzone: z1\ndialect: platform\ncallers: 127.0.0.1:%u\n"
                        "ready: 127.0.0.1:%u\npeers: %s\nadvertised: %s\nseeds: ['%s']\n"
                        "store: 127.0.0.1:%u\nzones: [{zone: z1, region: r1}]\n",
                        name, world_next_port(), world_next_port(), own, seen, seed, store_port);
    ts_gateway_t *gateway = world_open_gateway(world, text);
    g_free(text);
    return gateway;
}

static pair_t open_pair(void)
{
    pair_t pair = {.world = world_open(NULL)};
    char own[2][32];
    char seen[2][32];
    world_add_searcher(pair.world, "i-1", "a", "z1");
    lab_store_put(pair.world->store, "op/config", CONFIGURATION(1));
    for (int i = 0; i < 2; i++) {
        g_snprintf(own[i], sizeof(own[i]), "127.0.0.1:%u", world_next_port());
        g_snprintf(seen[i], sizeof(seen[i]), "127.0.0.1:%u", world_next_port());
        pair.links[i] = lab_link_open(&pair.world->loop, seen[i], own[i], &link_ops, NULL);
        assert_non_null(pair.links[i]);
    }
    pair.nodes[0] = open_node(pair.world, "n0", own[0], seen[0], seen[1], pair.world->store_port);
    pair.nodes[1] = open_node(pair.world, "n1", own[1], seen[1], seen[0], 1);
    for (int i = 0; i < 2; i++)
        assert_true(world_await_knowledge(pair.world, pair.nodes[i], 1, 1));
    world_run_ms(pair.world, 1500);
    return pair;
}

/* What a peer sends into a silent connection is lost; soon it is sent over a new one. */
static void check_silence(bool is_first, bool is_second)
{
    pair_t pair = open_pair();
    int64_t unheard = ts_counter_value(TS_COUNTER_PEERS_UNHEARD);
    if (is_first)
        lab_link_swallow(pair.links[0]);
    if (is_second)
        lab_link_swallow(pair.links[1]);
    lab_store_put(pair.world->store, "op/config", CONFIGURATION(2));
    ts_time_us_t begun_us = ts_clock_now_us();
    assert_true(world_await_knowledge(pair.world, pair.nodes[1], 2, 1));
    assert_true(ts_clock_now_us() - begun_us < 4 * TS_US_PER_S);
    for (int i = 0; i < WAIT_MS / 10; i++) {
        world_run_ms(pair.world, 10);
        assert_int_equal(ts_peers_count(pair.nodes[0]->peers), 2); // nobody is taken for dead
        assert_int_equal(ts_peers_count(pair.nodes[1]->peers), 2);
    }
    assert_true(ts_counter_value(TS_COUNTER_PEERS_UNHEARD) > unheard);
}

static void test_both_directions(void **state)
{
    check_silence(true, true);
}

static void test_towards_the_informed(void **state)
{
    check_silence(true, false);
}

static void test_from_the_informed(void **state)
{
    check_silence(false, true);
}

/* In calm no connection is given up. */
static void test_calm(void **state)
{
    int64_t unheard = ts_counter_value(TS_COUNTER_PEERS_UNHEARD);
    pair_t pair = open_pair();
    world_run_ms(pair.world, 4000);
    assert_int_equal(ts_counter_value(TS_COUNTER_PEERS_UNHEARD), unheard);
    assert_int_equal(ts_peers_count(pair.nodes[0]->peers), 2);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_calm),
        cmocka_unit_test(test_both_directions),
        cmocka_unit_test(test_towards_the_informed),
        cmocka_unit_test(test_from_the_informed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
