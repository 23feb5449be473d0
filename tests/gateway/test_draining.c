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
#define ALL_NODES UINT_MAX
#define NODES_MAX 4
#define CONFIGURATION(version)                                                                     \
    "{\"version\":" #version                                                                       \
    ",\"routes\":[" SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500) "],\"services\":[]}"

static lab_link_mode_t pass_all(void *ctx, const char *source)
{
    return LAB_LINK_PASS;
}

/* Gateways, each with its own link to the store. */
typedef struct fleet {
    fixture_t *fixture;
    lab_searcher_t *searcher;
    unsigned count;
    lab_link_t *links[NODES_MAX];
    ts_gateway_t *nodes[NODES_MAX];
    unsigned callers_ports[NODES_MAX];
    double store_delay_ms;    /* of each direction, on the way to the store */
    ts_time_us_t last_run_us; /* when the searcher last received a request */
} fleet_t;

static double delay_ms(void *ctx, const char *source)
{
    return ((const fleet_t *)ctx)->store_delay_ms;
}

static const lab_link_ops_t link_ops = {pass_all, delay_ms};

static void on_request(void *ctx, lab_searcher_t *searcher, const char *request_id, bool runs)
{
    ((fleet_t *)ctx)->last_run_us = ts_clock_now_us();
}

static const lab_searcher_ops_t searcher_ops = {.on_request = on_request};

static ts_gateway_t *open_node(fleet_t *fleet, unsigned i, const char *zone,
                               const unsigned *peers_ports)
{
    char store[32];
    char link_address[32];
    g_snprintf(store, sizeof(store), "127.0.0.1:%u", fleet->fixture->store_port);
    g_snprintf(link_address, sizeof(link_address), "127.0.0.1:%u", fixture_next_port());
    fleet->links[i] = lab_link_open(&fleet->fixture->loop, link_address, store, &link_ops, fleet);
    assert_non_null(fleet->links[i]);
    fleet->callers_ports[i] = fixture_next_port();
    char *text = g_strdup_printf(
        "name: n%u\nzone: %s\ndialect: platform\ncallers: 127.0.0.1:%u\nready: 127.0.0.1:%u\n"
        "peers: 127.0.0.1:%u\nseeds: ['127.0.0.1:%u']\nstore: %s\n"
        "zones: [{zone: z1, region: r1}, {zone: z2, region: r1}]\ndrain: %ums\n",
        i, zone, fleet->callers_ports[i], fixture_next_port(), peers_ports[i], peers_ports[i == 0],
        link_address, DRAIN_MS);
    ts_gateway_t *gateway = fixture_open_gateway(fleet->fixture, text);
    g_free(text);
    return gateway;
}

static bool knows_all(const fleet_t *fleet)
{
    bool knows = true;
    for (unsigned i = 0; i < fleet->count; i++)
        knows = knows && ts_peers_count(fleet->nodes[i]->peers) == fleet->count;
    return knows;
}

/* `zones`: of each gateway; ends with NULL. */
static fleet_t *open_fleet(const char *const *zones)
{
    fleet_t *fleet = g_new0(fleet_t, 1);
    unsigned peers_ports[NODES_MAX];
    for (unsigned i = 0; i < NODES_MAX; i++)
        peers_ports[i] = fixture_next_port();
    fleet->fixture = fixture_open(NULL);
    fleet->searcher = fixture_add_searcher(fleet->fixture, "i-1", "a", "z1");
    fleet->searcher->ops = &searcher_ops;
    fleet->searcher->ctx = fleet;
    lab_store_put(fleet->fixture->store, "op/config", CONFIGURATION(1));
    for (; zones[fleet->count] != NULL; fleet->count++)
        fleet->nodes[fleet->count] =
            open_node(fleet, fleet->count, zones[fleet->count], peers_ports);
    for (unsigned i = 0; i < fleet->count; i++)
        assert_true(fixture_await_synced(fleet->fixture, fleet->nodes[i], 1, 1));
    for (int i = 0; i < 500 && !knows_all(fleet); i++)
        fixture_run_ms(fleet->fixture, 10);
    fixture_run_ms(fleet->fixture,
                   3000); // the followers' connections to the store are idle by then
    return fleet;
}

static fleet_t *open_pair(const char *second_zone)
{
    const char *const zones[] = {"z1", second_zone, NULL};
    return open_fleet(zones);
}

static fleet_t *open_two_zones(void)
{
    static const char *const zones[] = {"z1", "z1", "z2", "z2", NULL};
    return open_fleet(zones);
}

/* All gateways have just been confirmed as up to date, and watch calls have just begun. */
static void confirm_all(fleet_t *fleet)
{
    lab_store_put(fleet->fixture->store, "op/config", CONFIGURATION(2));
    for (unsigned i = 0; i < fleet->count; i++)
        assert_true(fixture_await_synced(fleet->fixture, fleet->nodes[i], 2, 1));
}

/* The first gateway that follows its zone's watcher. */
static unsigned find_follower(const fleet_t *fleet)
{
    return ts_peers_is_follower(fleet->nodes[0]->peers) ? 0 : 1;
}

/* The zones' watchers send nothing from now on, as if their processes were suspended. */
static void suspend_watchers(fleet_t *fleet)
{
    for (unsigned i = 0; i < fleet->count; i++) {
        if (!ts_peers_is_follower(fleet->nodes[i]->peers))
            ts_peers_set_mute(fleet->nodes[i]->peers, true);
    }
}

static void send_request(fleet_t *fleet, unsigned node)
{
    client_t *client = client_connect(fleet->fixture, fleet->callers_ports[node]);
    client_send(client, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                        "X-Deadline-Ms: 300\r\n\r\n");
    (void)client_await_response(fleet->fixture, client);
    client_close(client);
}

/* Returns how long after the searcher left it received the last request of a gateway; `node`: its
 * number, or ALL_NODES. */
static unsigned observe(fleet_t *fleet, unsigned node)
{
    ts_time_us_t begun_us = ts_clock_now_us();
    assert_true(fleet->last_run_us > 0);
    while (ts_clock_now_us() - begun_us < OBSERVED_MS * TS_US_PER_MS) {
        for (unsigned i = 0; i < fleet->count; i++) {
            if (i == node || node == ALL_NODES)
                send_request(fleet, i);
        }
        fixture_run_ms(fleet->fixture, REQUEST_INTERVAL_MS);
    }
    return (unsigned)((fleet->last_run_us - begun_us) / TS_US_PER_MS);
}

static unsigned drain_and_observe(fleet_t *fleet, unsigned node)
{
    send_request(fleet, node == ALL_NODES ? 0 : node);
    fixture_set_draining(fleet->fixture, fleet->searcher);
    return observe(fleet, node);
}

static unsigned delete_and_observe(fleet_t *fleet, unsigned node)
{
    send_request(fleet, node == ALL_NODES ? 0 : node);
    lab_store_delete(fleet->fixture->store, "servers/i-1");
    return observe(fleet, node);
}

/* Guards against a first call after a rest that waits on a connection that has gone silent. */
static void test_idle_connection_to_store_is_silent(void **state)
{
    fleet_t *fleet = open_pair("z1");
    unsigned follower = find_follower(fleet);
    lab_link_blackhole(fleet->links[follower]);
    suspend_watchers(fleet);
    assert_in_range(drain_and_observe(fleet, follower), 0, DRAIN_MS);
}

/*
 * Guards against a watch call that is lost on a connection that has gone silent, and is given so
 * long that the drain period ends before another call reports the drain.
 */
static void test_watch_call_is_lost(void **state)
{
    fleet_t *fleet = open_pair("z2");
    confirm_all(fleet);
    for (unsigned i = 0; i < fleet->count; i++)
        lab_link_blackhole(fleet->links[i]);
    assert_in_range(drain_and_observe(fleet, 0), 0, DRAIN_MS);
}

/* Guards against parts of the drain period (noticing, learning, last resort) that add up to more.
 */
static void test_watcher_is_suspended(void **state)
{
    fleet_t *fleet = open_pair("z1");
    confirm_all(fleet);
    fleet->store_delay_ms = 100;
    suspend_watchers(fleet);
    assert_in_range(drain_and_observe(fleet, find_follower(fleet)), 0, DRAIN_MS);
}

/* Guards against the sum of all of these: an entry that disappears while every connection to the
 * store is silent and the watcher is suspended. */
static void test_entry_disappears_behind_silent_connections(void **state)
{
    fleet_t *fleet = open_pair("z1");
    unsigned follower = find_follower(fleet);
    confirm_all(fleet);
    for (unsigned i = 0; i < fleet->count; i++)
        lab_link_blackhole(fleet->links[i]);
    suspend_watchers(fleet);
    assert_in_range(delete_and_observe(fleet, follower), 0, DRAIN_MS);
}

/* Guards against watchers that hide a drain from their followers in several zones at once. */
static void test_watchers_of_both_zones_are_suspended(void **state)
{
    fleet_t *fleet = open_two_zones();
    confirm_all(fleet);
    suspend_watchers(fleet);
    assert_in_range(drain_and_observe(fleet, ALL_NODES), 0, DRAIN_MS);
}

/* Guards against followers that depend on a watcher that they no longer hear. */
static void test_links_between_gateways_are_silent(void **state)
{
    fleet_t *fleet = open_two_zones();
    confirm_all(fleet);
    for (unsigned i = 0; i < fleet->count; i++)
        ts_peers_set_mute(fleet->nodes[i]->peers, true);
    assert_in_range(drain_and_observe(fleet, ALL_NODES), 0, DRAIN_MS);
}

/* The same while every connection to the store is silent as well and the entry disappears. */
static void test_all_connections_are_silent(void **state)
{
    fleet_t *fleet = open_two_zones();
    confirm_all(fleet);
    for (unsigned i = 0; i < fleet->count; i++) {
        ts_peers_set_mute(fleet->nodes[i]->peers, true);
        lab_link_blackhole(fleet->links[i]);
    }
    assert_in_range(delete_and_observe(fleet, ALL_NODES), 0, DRAIN_MS);
}

/* Guards against a last resort that lasts too long where nothing is disturbed. */
static void test_drain_in_calm(void **state)
{
    fleet_t *fleet = open_pair("z1");
    confirm_all(fleet);
    assert_in_range(drain_and_observe(fleet, find_follower(fleet)), 0, DRAIN_MS);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_idle_connection_to_store_is_silent),
        cmocka_unit_test(test_watch_call_is_lost),
        cmocka_unit_test(test_watcher_is_suspended),
        cmocka_unit_test(test_entry_disappears_behind_silent_connections),
        cmocka_unit_test(test_watchers_of_both_zones_are_suspended),
        cmocka_unit_test(test_links_between_gateways_are_silent),
        cmocka_unit_test(test_all_connections_are_silent),
        cmocka_unit_test(test_drain_in_calm),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
