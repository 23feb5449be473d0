/**
 * A searcher, the only one of its service, begins to drain while something keeps a gateway from
 * hearing of it. No request may reach the searcher later than the drain period after its entry was
 * written.
 */
#include "fixture.h"

#include "link.h"
#include "tealspar/peers.h"

#define DRAIN_MS 3000
#define OBSERVED_MS 4500
#define REQUEST_INTERVAL_MS 20
#define NODES 2
#define CONFIGURATION(version)                                                                     \
    "{\"version\":" #version                                                                       \
    ",\"routes\":[" SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500) "],\"services\":[]}"

static lab_link_mode_t pass_all(void *ctx, const char *source)
{
    return LAB_LINK_PASS;
}

/* Two gateways of a zone, each with its own link to the store. */
typedef struct pair {
    fixture_t *fixture;
    lab_searcher_t *searcher;
    lab_link_t *links[NODES];
    ts_gateway_t *nodes[NODES];
    unsigned callers_ports[NODES];
    double store_delay_ms;    /* of each direction, on the way to the store */
    ts_time_us_t last_run_us; /* when the searcher last received a request */
} pair_t;

static double delay_ms(void *ctx, const char *source)
{
    return ((const pair_t *)ctx)->store_delay_ms;
}

static const lab_link_ops_t link_ops = {pass_all, delay_ms};

static void on_request(void *ctx, lab_searcher_t *searcher, const char *request_id, bool runs)
{
    ((pair_t *)ctx)->last_run_us = ts_clock_now_us();
}

static const lab_searcher_ops_t searcher_ops = {.on_request = on_request};

static ts_gateway_t *open_node(pair_t *pair, int i, const char *zone, const unsigned *peers_ports)
{
    char store[32];
    char link_address[32];
    g_snprintf(store, sizeof(store), "127.0.0.1:%u", pair->fixture->store_port);
    g_snprintf(link_address, sizeof(link_address), "127.0.0.1:%u", fixture_next_port());
    pair->links[i] = lab_link_open(&pair->fixture->loop, link_address, store, &link_ops, pair);
    assert_non_null(pair->links[i]);
    pair->callers_ports[i] = fixture_next_port();
    char *text = g_strdup_printf(
        "name: n%d\nzone: %s\ndialect: platform\ncallers: 127.0.0.1:%u\nready: 127.0.0.1:%u\n"
        "peers: 127.0.0.1:%u\nseeds: ['127.0.0.1:%u']\nstore: %s\n"
        "zones: [{zone: z1, region: r1}, {zone: z2, region: r1}]\ndrain: %ums\n",
        i, zone, pair->callers_ports[i], fixture_next_port(), peers_ports[i], peers_ports[1 - i],
        link_address, DRAIN_MS);
    ts_gateway_t *gateway = fixture_open_gateway(pair->fixture, text);
    g_free(text);
    return gateway;
}

static pair_t *open_pair(const char *second_zone)
{
    pair_t *pair = g_new0(pair_t, 1);
    const unsigned peers_ports[NODES] = {fixture_next_port(), fixture_next_port()};
    pair->fixture = fixture_open(NULL);
    pair->searcher = fixture_add_searcher(pair->fixture, "i-1", "a", "z1");
    pair->searcher->ops = &searcher_ops;
    pair->searcher->ctx = pair;
    lab_store_put(pair->fixture->store, "op/config", CONFIGURATION(1));
    pair->nodes[0] = open_node(pair, 0, "z1", peers_ports);
    pair->nodes[1] = open_node(pair, 1, second_zone, peers_ports);
    for (int i = 0; i < NODES; i++)
        assert_true(fixture_await_synced(pair->fixture, pair->nodes[i], 1, 1));
    for (int i = 0; i < 500 && ts_peers_count(pair->nodes[0]->peers) < NODES; i++)
        fixture_run_ms(pair->fixture, 10);
    fixture_run_ms(pair->fixture, 3000); // the follower's connection to the store is idle by then
    return pair;
}

/* All gateways have just been confirmed as up to date, and watch calls have just begun. */
static void confirm_all(pair_t *pair)
{
    lab_store_put(pair->fixture->store, "op/config", CONFIGURATION(2));
    for (int i = 0; i < NODES; i++)
        assert_true(fixture_await_synced(pair->fixture, pair->nodes[i], 2, 1));
}

static int find_follower(const pair_t *pair)
{
    return ts_peers_is_follower(pair->nodes[0]->peers) ? 0 : 1;
}

/* The zone's watcher sends nothing from now on, as if its process were suspended. */
static void suspend_watcher(pair_t *pair)
{
    ts_peers_set_mute(pair->nodes[1 - find_follower(pair)]->peers, true);
}

static void send_request(pair_t *pair, int node)
{
    client_t *client = client_connect(pair->fixture, pair->callers_ports[node]);
    client_send(client, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                        "X-Deadline-Ms: 300\r\n\r\n");
    (void)client_await_response(pair->fixture, client);
    client_close(client);
}

/* Returns how long after the searcher left it received the last request of a gateway. */
static unsigned observe(pair_t *pair, int node)
{
    ts_time_us_t begun_us = ts_clock_now_us();
    assert_true(pair->last_run_us > 0);
    while (ts_clock_now_us() - begun_us < OBSERVED_MS * TS_US_PER_MS) {
        send_request(pair, node);
        fixture_run_ms(pair->fixture, REQUEST_INTERVAL_MS);
    }
    return (unsigned)((pair->last_run_us - begun_us) / TS_US_PER_MS);
}

static unsigned drain_and_observe(pair_t *pair, int node)
{
    send_request(pair, node);
    fixture_set_draining(pair->fixture, pair->searcher);
    return observe(pair, node);
}

static unsigned delete_and_observe(pair_t *pair, int node)
{
    send_request(pair, node);
    lab_store_delete(pair->fixture->store, "servers/i-1");
    return observe(pair, node);
}

/* Guards against a first call after a rest that waits on a connection that has gone silent. */
static void test_idle_connection_to_store_is_silent(void **state)
{
    pair_t *pair = open_pair("z1");
    int follower = find_follower(pair);
    lab_link_blackhole(pair->links[follower]);
    suspend_watcher(pair);
    assert_in_range(drain_and_observe(pair, follower), 0, DRAIN_MS);
}

/*
 * Guards against a watch call that is lost on a connection that has gone silent, and is given so
 * long that the drain period ends before another call reports the drain.
 */
static void test_watch_call_is_lost(void **state)
{
    pair_t *pair = open_pair("z2");
    confirm_all(pair);
    for (int i = 0; i < NODES; i++)
        lab_link_blackhole(pair->links[i]);
    assert_in_range(drain_and_observe(pair, 0), 0, DRAIN_MS);
}

/* Guards against parts of the drain period (noticing, learning, last resort) that add up to more.
 */
static void test_watcher_is_suspended(void **state)
{
    pair_t *pair = open_pair("z1");
    confirm_all(pair);
    pair->store_delay_ms = 100;
    suspend_watcher(pair);
    assert_in_range(drain_and_observe(pair, find_follower(pair)), 0, DRAIN_MS);
}

/* Guards against the sum of all of these: an entry that disappears while every connection to the
 * store is silent and the watcher is suspended. */
static void test_entry_disappears_behind_silent_connections(void **state)
{
    pair_t *pair = open_pair("z1");
    int follower = find_follower(pair);
    confirm_all(pair);
    for (int i = 0; i < NODES; i++)
        lab_link_blackhole(pair->links[i]);
    suspend_watcher(pair);
    assert_in_range(delete_and_observe(pair, follower), 0, DRAIN_MS);
}

/* Guards against a last resort that lasts too long where nothing is disturbed. */
static void test_drain_in_calm(void **state)
{
    pair_t *pair = open_pair("z1");
    confirm_all(pair);
    assert_in_range(drain_and_observe(pair, find_follower(pair)), 0, DRAIN_MS);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_idle_connection_to_store_is_silent),
        cmocka_unit_test(test_watch_call_is_lost),
        cmocka_unit_test(test_watcher_is_suspended),
        cmocka_unit_test(test_entry_disappears_behind_silent_connections),
        cmocka_unit_test(test_drain_in_calm),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
