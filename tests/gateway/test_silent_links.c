/** Connections between peers that stop carrying data without a reset, while new ones work. */
#include "fixture.h"

#include "link.h"
#include "tealspar/counters.h"
#include "tealspar/peers.h"

#define ROUTE_A SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500)
#define CONFIGURATION(version) "{\"version\":" #version ",\"routes\":[" ROUTE_A "],\"services\":[]}"
#define WAIT_MS 5000

static lab_link_mode_t pass_all(void *ctx, const char *source)
{
    return LAB_LINK_PASS;
}

static double no_delay(void *ctx, const char *source)
{
    return 0;
}

static const lab_link_ops_t link_ops = {pass_all, no_delay};

/* Two gateways connected through proxies; the second cannot reach the store. */
typedef struct pair {
    fixture_t *fixture;
    lab_link_t *links[2];
    ts_gateway_t *nodes[2];
} pair_t;

static ts_gateway_t *open_node(fixture_t *fixture, const char *name, const char *listen_address,
                               const char *proxy_address, const char *seed, unsigned store_port)
{
    char *text = g_strdup_printf("name: %s\nzone: z1\ndialect: platform\ncallers: 127.0.0.1:%u\n"
                                 "ready: 127.0.0.1:%u\npeers: %s\nadvertised: %s\nseeds: ['%s']\n"
                                 "store: 127.0.0.1:%u\nzones: [{zone: z1, region: r1}]\n",
                                 name, fixture_next_port(), fixture_next_port(), listen_address,
                                 proxy_address, seed, store_port);
    ts_gateway_t *gateway = fixture_open_gateway(fixture, text);
    g_free(text);
    return gateway;
}

static pair_t open_pair(void)
{
    pair_t pair = {.fixture = fixture_open(NULL)};
    char listen_address[2][32];
    char proxy_address[2][32];
    fixture_add_searcher(pair.fixture, "i-1", "a", "z1");
    lab_store_put(pair.fixture->store, "op/config", CONFIGURATION(1));
    for (int i = 0; i < 2; i++) {
        g_snprintf(listen_address[i], sizeof(listen_address[i]), "127.0.0.1:%u",
                   fixture_next_port());
        g_snprintf(proxy_address[i], sizeof(proxy_address[i]), "127.0.0.1:%u", fixture_next_port());
        pair.links[i] = lab_link_open(&pair.fixture->loop, proxy_address[i], listen_address[i],
                                      &link_ops, NULL);
        assert_non_null(pair.links[i]);
    }
    pair.nodes[0] = open_node(pair.fixture, "n0", listen_address[0], proxy_address[0],
                              proxy_address[1], pair.fixture->store_port);
    pair.nodes[1] =
        open_node(pair.fixture, "n1", listen_address[1], proxy_address[1], proxy_address[0], 1);
    for (int i = 0; i < 2; i++)
        assert_true(fixture_await_synced(pair.fixture, pair.nodes[i], 1, 1));
    fixture_run_ms(pair.fixture, 1500);
    return pair;
}

/*
 * Messages written to a stalled connection are lost. The peer must open a new connection in time to
 * deliver a change, without any node being declared dead.
 */
static void check_stalled_links(bool stalls_first, bool stalls_second)
{
    pair_t pair = open_pair();
    int64_t unheard_before = ts_counter_value(TS_COUNTER_PEERS_UNHEARD);
    if (stalls_first)
        lab_link_blackhole(pair.links[0]);
    if (stalls_second)
        lab_link_blackhole(pair.links[1]);
    lab_store_put(pair.fixture->store, "op/config", CONFIGURATION(2));
    ts_time_us_t start_us = ts_clock_now_us();
    assert_true(fixture_await_synced(pair.fixture, pair.nodes[1], 2, 1));
    assert_true(ts_clock_now_us() - start_us < 4 * TS_US_PER_S);
    for (int i = 0; i < WAIT_MS / 10; i++) {
        fixture_run_ms(pair.fixture, 10);
        assert_int_equal(ts_peers_count(pair.nodes[0]->peers), 2); // nobody is declared dead
        assert_int_equal(ts_peers_count(pair.nodes[1]->peers), 2);
    }
    assert_true(ts_counter_value(TS_COUNTER_PEERS_UNHEARD) > unheard_before);
}

static void test_both_directions_stalled(void **state)
{
    check_stalled_links(true, true);
}

static void test_link_to_informed_node_stalled(void **state)
{
    check_stalled_links(true, false);
}

static void test_link_from_informed_node_stalled(void **state)
{
    check_stalled_links(false, true);
}

/* Working connections are not replaced. */
static void test_working_links_are_kept(void **state)
{
    int64_t unheard_before = ts_counter_value(TS_COUNTER_PEERS_UNHEARD);
    pair_t pair = open_pair();
    fixture_run_ms(pair.fixture, 4000);
    assert_int_equal(ts_counter_value(TS_COUNTER_PEERS_UNHEARD), unheard_before);
    assert_int_equal(ts_peers_count(pair.nodes[0]->peers), 2);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_working_links_are_kept),
        cmocka_unit_test(test_both_directions_stalled),
        cmocka_unit_test(test_link_to_informed_node_stalled),
        cmocka_unit_test(test_link_from_informed_node_stalled),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
