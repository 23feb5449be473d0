/** Connections between peers that stop carrying data without a reset, while new ones work, or that
 * carry it late. */
#include "fixture.h"

#include "../../src/peers/peers_internal.h"
#include "link.h"
#include "tealspar/counters.h"
#include "tealspar/peers.h"

#define ROUTE_A SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500)
#define CONFIGURATION(version) "{\"version\":" #version ",\"routes\":[" ROUTE_A "],\"services\":[]}"
#define WAIT_MS 5000
/* A follower may date a confirmation later than the watcher by this, which `send_ms` has to spare.
 */
#define DATING_ERROR_US (100 * TS_US_PER_MS)

static lab_link_mode_t pass_all(void *ctx, const char *source)
{
    return LAB_LINK_PASS;
}

static double delay_ms;

static double current_delay(void *ctx, const char *source)
{
    return delay_ms;
}

static const lab_link_ops_t link_ops = {pass_all, current_delay};

/* Two gateways connected through proxies; the second cannot reach the store. */
typedef struct pair {
    fixture_t *fixture;
    lab_link_t *links[2];
    ts_gateway_t *nodes[2];
    char address[2][32]; /**< at which peers reach them */
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
    fixture_add_searcher(pair.fixture, "i-1", "a", "z1");
    lab_store_put(pair.fixture->store, "op/config", CONFIGURATION(1));
    for (int i = 0; i < 2; i++) {
        g_snprintf(listen_address[i], sizeof(listen_address[i]), "127.0.0.1:%u",
                   fixture_next_port());
        g_snprintf(pair.address[i], sizeof(pair.address[i]), "127.0.0.1:%u", fixture_next_port());
        pair.links[i] =
            lab_link_open(&pair.fixture->loop, pair.address[i], listen_address[i], &link_ops, NULL);
        assert_non_null(pair.links[i]);
    }
    pair.nodes[0] = open_node(pair.fixture, "n0", listen_address[0], pair.address[0],
                              pair.address[1], pair.fixture->store_port);
    pair.nodes[1] =
        open_node(pair.fixture, "n1", listen_address[1], pair.address[1], pair.address[0], 1);
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

/* The first node announces its confirmation to the second. */
static void send_beacon(const pair_t *pair)
{
    const ts_store_mirror_t *mirror = pair->nodes[0]->mirror;
    ts_store_position_t position = ts_store_mirror_position(mirror);
    ts_time_us_t age_us = ts_clock_now_us() - ts_store_mirror_confirmed_us(mirror);
    TsPeer__Beacon beacon = TS_PEER__BEACON__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    beacon.epoch = position.epoch;
    beacon.revision = position.revision;
    beacon.age_ms = (uint32_t)(age_us / TS_US_PER_MS);
    frame.beacon = &beacon;
    ts_peers_send(pair->nodes[0]->peers, pair->address[1], &frame);
}

/* No node takes its entries for newer than at the last answer of the service, at `last_us`. */
static void assert_dated_in_time(const pair_t *pair, ts_time_us_t last_us)
{
    for (int i = 0; i < 2; i++) {
        ts_time_us_t confirmed_us = ts_store_mirror_confirmed_us(pair->nodes[i]->mirror);
        assert_true(confirmed_us <= last_us + DATING_ERROR_US);
    }
}

/* Silences the service; returns when the first node was last confirmed. */
static ts_time_us_t end_confirmations(const pair_t *pair)
{
    fixture_run_ms(pair->fixture, 2000);
    lab_store_set_mode(pair->fixture->store, LAB_STORE_SILENT);
    return ts_store_mirror_confirmed_us(pair->nodes[0]->mirror);
}

/*
 * Guards against drains that are dated too late: a suspended process read the beacons that had
 * waited in its sockets as if they had just been sent.
 */
static void test_beacons_that_waited_in_sockets(void **state)
{
    pair_t pair = open_pair();
    ts_time_us_t last_us = end_confirmations(&pair);
    send_beacon(&pair);
    g_usleep(1500 * 1000);
    for (int i = 0; i < 50; i++) {
        fixture_run_ms(pair.fixture, 10);
        assert_dated_in_time(&pair, last_us);
    }
}

/* The same for a link that becomes slow. */
static void test_beacons_on_slow_link(void **state)
{
    pair_t pair = open_pair();
    ts_time_us_t last_us = end_confirmations(&pair);
    delay_ms = 1500;
    for (int i = 0; i < WAIT_MS / 10; i++) {
        if (i % 50 == 0)
            send_beacon(&pair);
        fixture_run_ms(pair.fixture, 10);
        assert_dated_in_time(&pair, last_us);
    }
    delay_ms = 0;
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_working_links_are_kept),
        cmocka_unit_test(test_both_directions_stalled),
        cmocka_unit_test(test_link_to_informed_node_stalled),
        cmocka_unit_test(test_link_from_informed_node_stalled),
        cmocka_unit_test(test_beacons_that_waited_in_sockets),
        cmocka_unit_test(test_beacons_on_slow_link),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
