/** Several gateways: which of them watch the store, and what they exchange as peers. */
#include "fixture.h"

#include "../../src/peers/peers_internal.h"
#include "tealspar/peers.h"

#define NODES 4
#define ROUTE_A SERVICE_ROUTE_JSON("one", "/p/", "idempotent", "a", 1500)

typedef struct fleet {
    fixture_t *fixture;
    ts_gateway_t *nodes[NODES];
    unsigned ports[NODES];
} fleet_t;

/* Three nodes in z1 and one in z2; the store has configuration version 1 and one backend. */
static fleet_t open_fleet(void)
{
    fleet_t fleet = {.fixture = fixture_open(NULL)};
    fixture_add_searcher(fleet.fixture, "i-1", "a", "z1");
    fixture_put_config(fleet.fixture, 1, ROUTE_A);
    for (int i = 0; i < NODES; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "n%d", i);
        fleet.ports[i] = fixture_next_port();
        fleet.nodes[i] =
            fixture_add_gateway(fleet.fixture, name, i < 3 ? "z1" : "z2", fleet.ports[i],
                                fleet.ports[0], fleet.fixture->store_port);
    }
    for (int i = 0; i < NODES; i++) {
        assert_true(fixture_await_synced(fleet.fixture, fleet.nodes[i], 1, 1));
    }
    for (int i = 0; i < 300 && ts_peers_count(fleet.nodes[NODES - 1]->peers) < NODES; i++) {
        fixture_run_ms(fleet.fixture, 10);
    }
    fixture_run_ms(fleet.fixture, 1000);
    return fleet;
}

static ts_gateway_t *find_watcher(const fleet_t *fleet)
{
    for (int i = 0; i < 3; i++) {
        if (!ts_peers_is_follower(fleet->nodes[i]->peers)) {
            return fleet->nodes[i];
        }
    }
    return NULL;
}

static void test_one_watcher_per_zone(void **state)
{
    fleet_t fleet = open_fleet();
    unsigned watchers = 0;
    for (int i = 0; i < NODES; i++) {
        assert_int_equal(ts_peers_count(fleet.nodes[i]->peers), NODES);
        watchers += ts_peers_should_watch(fleet.nodes[i]->peers, ts_clock_now_us());
    }
    assert_int_equal(watchers, 2);
}

static void test_change_reaches_all_nodes_in_time(void **state)
{
    fleet_t fleet = open_fleet();
    ts_time_us_t start_us = ts_clock_now_us();
    fixture_put_config(fleet.fixture, 2, ROUTE_A);
    for (int i = 0; i < NODES; i++) {
        assert_true(fixture_await_synced(fleet.fixture, fleet.nodes[i], 2, 1));
    }
    assert_true(ts_clock_now_us() - start_us < 1500 * TS_US_PER_MS);
    lab_store_delete(fleet.fixture->store, "servers/i-1");
    for (int i = 0; i < NODES; i++) {
        assert_true(fixture_await_synced(fleet.fixture, fleet.nodes[i], 2, 0));
    }
}

/* The long poll of a watcher is lost in a store that did not answer for a while. */
static void test_lost_poll_of_a_watcher(void **state)
{
    fleet_t fleet = open_fleet();
    unsigned calls_before = lab_store_call_count(fleet.fixture->store);
    fixture_run_ms(fleet.fixture, 5000);
    // each of the two watchers and the fixture's own gateway: at most four polls
    assert_true(lab_store_call_count(fleet.fixture->store) - calls_before <= 2 * 6);
    lab_store_set_mode(fleet.fixture->store, LAB_STORE_SILENT);
    lab_store_put(fleet.fixture->store, "op/config",
                  "{\"version\":2,\"routes\":[" ROUTE_A "],\"services\":[]}");
    fixture_run_ms(fleet.fixture, 300);
    lab_store_set_mode(fleet.fixture->store, LAB_STORE_NORMAL);
    fixture_run_ms(fleet.fixture, 4000);
    for (int i = 0; i < NODES; i++)
        assert_int_equal(fleet.nodes[i]->traffic->version, 2);
}

static void deliver_beacon(ts_peers_t *peers, char *address, uint64_t epoch, uint64_t revision)
{
    TsPeer__Beacon beacon = TS_PEER__BEACON__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    beacon.epoch = epoch;
    beacon.revision = revision;
    frame.beacon = &beacon;
    frame.address = address;
    ts_peers_handle_beacon(peers, &frame, 0);
}

static void deliver_changes(ts_peers_t *peers, uint64_t epoch, uint64_t revision)
{
    TsPeer__Changes changes = TS_PEER__CHANGES__INIT;
    changes.epoch = epoch;
    changes.revision = revision;
    ts_peers_handle_changes(peers, &changes, 0);
}

/* A revision announced while a pull is in progress is pulled as soon as that one is answered. */
static void test_changes_in_quick_succession(void **state)
{
    fleet_t fleet = open_fleet();
    ts_gateway_t *watcher = find_watcher(&fleet);
    ts_peers_t *peers = fleet.nodes[fleet.nodes[0] == watcher ? 1 : 0]->peers;
    char address[32];
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", fixture_next_port()); /* not in use */
    ts_store_position_t position = ts_store_mirror_position(peers->mirror);
    uint64_t own = position.revision;
    uint64_t epoch = position.epoch;
    deliver_beacon(peers, address, epoch, own + 1);
    deliver_beacon(peers, address, epoch, own + 2);
    deliver_changes(peers, epoch, own + 1);
    assert_true(peers->pulled_us != 0); /* own + 2 is being pulled */
    deliver_changes(peers, epoch, own + 1);
    assert_true(peers->pulled_us == 0); /* the peer does not have it: no repeated pull */
    deliver_changes(peers, epoch, own + 2);
    assert_true(peers->pulled_us == 0);
}

/*
 * Guards against changes that are never applied: the answer to a pull of an earlier process begins
 * after this one's position.
 */
static void test_changes_that_leave_some_out_are_ignored(void **state)
{
    fleet_t fleet = open_fleet();
    ts_peers_t *peers = fleet.nodes[0]->peers;
    ts_store_position_t own = ts_store_mirror_position(peers->mirror);
    TsPeer__Changes changes = TS_PEER__CHANGES__INIT;
    changes.epoch = changes.after_epoch = own.epoch;
    changes.after = own.revision + 2;
    changes.revision = own.revision + 3;
    ts_peers_handle_changes(peers, &changes, 0);
    assert_int_equal(ts_store_mirror_position(peers->mirror).revision, own.revision);
    changes.after = own.revision;
    ts_peers_handle_changes(peers, &changes, 0);
    assert_int_equal(ts_store_mirror_position(peers->mirror).revision, own.revision + 3);
}

/*
 * A newer version reported by a node of another zone is pulled from there only if it has not
 * arrived through the own zone within half a second.
 */
static void test_newer_version_is_not_pulled_from_other_zone_at_once(void **state)
{
    fleet_t fleet = open_fleet();
    ts_peers_t *peers = fleet.nodes[NODES - 1]->peers; /* of z2 */
    char near[32];
    char far[32];
    g_snprintf(near, sizeof(near), "127.0.0.1:%u", fleet.ports[NODES - 1]);
    g_snprintf(far, sizeof(far), "127.0.0.1:%u", fleet.ports[0]);
    ts_peers_handle_config_version(peers, "n0", far, 2, 0);
    assert_true(peers->pulled_us == 0);
    peers->announced_version_us -= TS_US_PER_S;
    ts_peers_handle_config_version(peers, "n0", far, 2, 0);
    assert_true(peers->pulled_us != 0);
    peers->pulled_us = 0;
    ts_peers_handle_config_version(peers, "n3", near, 3, 0);
    assert_true(peers->pulled_us != 0);
}

/* A node started while the store does not answer gets configuration and backends from peers. */
static void test_start_while_store_is_silent(void **state)
{
    fleet_t fleet = open_fleet();
    lab_store_set_mode(fleet.fixture->store, LAB_STORE_SILENT);
    ts_gateway_t *new_node = fixture_add_gateway(fleet.fixture, "late", "z2", fixture_next_port(),
                                                 fleet.ports[0], fleet.fixture->store_port);
    ts_time_us_t start_us = ts_clock_now_us();
    assert_true(fixture_await_synced(fleet.fixture, new_node, 1, 1));
    assert_true(ts_clock_now_us() - start_us < 2000 * TS_US_PER_MS);
}

/* A node that cannot reach the store while the others can. */
static void test_node_without_store_follows_peers(void **state)
{
    fleet_t fleet = open_fleet();
    ts_gateway_t *without_store =
        fixture_add_gateway(fleet.fixture, "m", "z2", fixture_next_port(), fleet.ports[0], 0);
    assert_true(fixture_await_synced(fleet.fixture, without_store, 1, 1));
    for (unsigned version = 2; version < 5; version++) {
        ts_time_us_t start_us = ts_clock_now_us();
        fixture_put_config(fleet.fixture, version, ROUTE_A);
        assert_true(fixture_await_synced(fleet.fixture, without_store, version, 1));
        assert_true(ts_clock_now_us() - start_us < 3000 * TS_US_PER_MS);
        fixture_run_ms(fleet.fixture, 700);
    }
}

static void test_watcher_is_replaced_after_shutdown(void **state)
{
    fleet_t fleet = open_fleet();
    ts_gateway_t *watcher = find_watcher(&fleet);
    assert_non_null(watcher);
    ts_gateway_begin_shutdown(watcher, NULL);
    fixture_run_ms(fleet.fixture, 500);
    assert_ptr_not_equal(find_watcher(&fleet), watcher);
    assert_non_null(find_watcher(&fleet));
}

/* If the watcher stops sending the other nodes read the store themselves within 3 s. */
static void test_watcher_that_stops_sending_is_bypassed(void **state)
{
    fleet_t fleet = open_fleet();
    ts_gateway_t *watcher = find_watcher(&fleet);
    assert_non_null(watcher);
    ts_peers_set_mute(watcher->peers, true);
    fixture_run_ms(fleet.fixture, 100);
    ts_time_us_t start_us = ts_clock_now_us();
    fixture_put_config(fleet.fixture, 2, ROUTE_A);
    for (int i = 0; i < 3; i++) {
        assert_true(fixture_await_synced(fleet.fixture, fleet.nodes[i], 2, 1));
    }
    assert_true(ts_clock_now_us() - start_us < 3000 * TS_US_PER_MS);
}

static void test_suspicion_is_shared_within_zone(void **state)
{
    fleet_t fleet = open_fleet();
    ts_instance_t *own = ts_registry_find_current(fleet.nodes[0]->registry, "i-1");
    ts_instance_t *remote = ts_registry_find_current(fleet.nodes[1]->registry, "i-1");
    ts_instance_t *far = ts_registry_find_current(fleet.nodes[3]->registry, "i-1");
    ts_time_us_t now_us = ts_clock_now_us();
    ts_instance_note_overdue(own, now_us - 50 * TS_US_PER_MS, now_us);
    fixture_run_ms(fleet.fixture, 100);
    /* not reported yet: most late responses arrive soon after */
    assert_true(remote->suspected_us == 0);
    ts_instance_report_suspicion(own);
    for (int i = 0; i < 100 && remote->suspected_us == 0; i++) {
        fixture_run_ms(fleet.fixture, 5);
    }
    assert_true(remote->suspected_us != 0);
    assert_true(far->suspected_us == 0);
    ts_instance_note_answer(own, ts_clock_now_us(), 1000, 1000);
    for (int i = 0; i < 100 && remote->suspected_us != 0; i++) {
        fixture_run_ms(fleet.fixture, 5);
    }
    assert_true(remote->suspected_us == 0);
}

/* -- Evidence about backends ------------------------------------------------------------------- */

static ts_instance_t *instance_at(const fleet_t *fleet, int node)
{
    return ts_registry_find_current(fleet->nodes[node]->registry, "i-1");
}

static int find_collector(const fleet_t *fleet)
{
    int collector = -1;
    for (int i = 0; i < NODES; i++) {
        if (!ts_gateway_is_stopping(fleet->nodes[i]) && fleet->nodes[i]->peers->is_collector) {
            assert_int_equal(collector, -1);
            collector = i;
        }
    }
    return collector;
}

/* Waits until the failure rate that a node assumes for the backend exceeds `threshold`. */
static bool await_failure_rate(const fleet_t *fleet, int node, double threshold)
{
    const ts_instance_t *instance = instance_at(fleet, node);
    for (int i = 0; i < 200; i++) {
        if (ts_instance_failure_rate(instance, ts_clock_now_us()) > threshold)
            return true;
        fixture_run_ms(fleet->fixture, 10);
    }
    return false;
}

static void add_failures(const fleet_t *fleet, int node, int count)
{
    for (int i = 0; i < count; i++)
        ts_instance_note_result(instance_at(fleet, node), true, ts_clock_now_us());
}

/* Failures seen by one node reach the nodes of all zones, which have sent no requests. */
static void test_evidence_reaches_every_zone(void **state)
{
    fleet_t fleet = open_fleet();
    int sender = find_collector(&fleet) == 1 ? 2 : 1;
    add_failures(&fleet, sender, 6);
    for (int i = 0; i < NODES; i++)
        assert_true(await_failure_rate(&fleet, i, 0.4));
}

/* Outcomes seen by all nodes are added up: failures raise the rate, successes lower it. */
static void test_evidence_adds_up(void **state)
{
    fleet_t fleet = open_fleet();
    for (int i = 0; i < NODES; i++)
        add_failures(&fleet, i, 2);
    assert_true(await_failure_rate(&fleet, 0, 0.65)); // its own 2 failures alone give 0.4
    for (int i = 0; i < 30; i++) {
        for (int node = 0; node < NODES; node++)
            ts_instance_note_result(instance_at(&fleet, node), false, ts_clock_now_us());
        fixture_run_ms(fleet.fixture, 20);
    }
    assert_false(ts_instance_failure_rate(instance_at(&fleet, 0), ts_clock_now_us()) > 0.25);
}

/* When the collector shuts down, another node takes over. */
static void test_collector_is_replaced_after_shutdown(void **state)
{
    fleet_t fleet = open_fleet();
    int collector = find_collector(&fleet);
    assert_true(collector >= 0);
    ts_gateway_begin_shutdown(fleet.nodes[collector], NULL);
    fixture_run_ms(fleet.fixture, 500);
    int next = find_collector(&fleet);
    assert_true(next >= 0 && next != collector);
    add_failures(&fleet, collector == 0 ? 1 : 0, 6);
    assert_true(await_failure_rate(&fleet, collector == 3 ? 2 : 3, 0.4));
}

/* Delivers evidence sums of the incarnation with this birth time. */
static void deliver_sums_of(ts_peers_t *peers, uint64_t born_ms, uint32_t sequence, float failures)
{
    TsPeer__EvidenceRow row = TS_PEER__EVIDENCE_ROW__INIT;
    TsPeer__EvidenceRow *rows[] = {&row};
    TsPeer__Evidence evidence = TS_PEER__EVIDENCE__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    row.instance = "i-1";
    row.born_ms = born_ms;
    row.answers = 20;
    row.failures = failures;
    evidence.sequence = sequence;
    evidence.is_sums = true;
    evidence.rows = rows;
    evidence.n_rows = 1;
    frame.name = "somebody";
    frame.evidence = &evidence;
    ts_peers_handle_evidence(peers, &frame);
}

static void deliver_sums(ts_peers_t *peers, uint32_t sequence, float failures)
{
    ts_instance_t *instance = ts_registry_find_current(peers->gateway->registry, "i-1");
    deliver_sums_of(peers, instance->born_ms, sequence, failures);
}

/* Evidence about a previous incarnation, or about one that is not known yet, is ignored. */
static void test_evidence_about_other_incarnation_is_ignored(void **state)
{
    fleet_t fleet = open_fleet();
    ts_peers_t *peers = fleet.nodes[0]->peers;
    uint64_t born_ms = instance_at(&fleet, 0)->born_ms;
    deliver_sums_of(peers, born_ms - 1000, 7, 16);
    deliver_sums_of(peers, born_ms + 1000, 8, 16);
    assert_true(ts_instance_failure_rate(instance_at(&fleet, 0), ts_clock_now_us()) < 0.1);
    deliver_sums_of(peers, born_ms, 9, 16);
    assert_true(ts_instance_failure_rate(instance_at(&fleet, 0), ts_clock_now_us()) > 0.6);
}

/* Duplicated and reordered evidence messages are ignored. */
static void test_duplicate_evidence_is_ignored(void **state)
{
    fleet_t fleet = open_fleet();
    ts_peers_t *peers = fleet.nodes[0]->peers;
    deliver_sums(peers, 7, 16);
    double failure_rate = ts_instance_failure_rate(instance_at(&fleet, 0), ts_clock_now_us());
    assert_true(failure_rate > 0.6);
    deliver_sums(peers, 8, 0); // recovered
    for (int i = 0; i < 5; i++)
        deliver_sums(peers, 7, 16);
    assert_true(ts_instance_failure_rate(instance_at(&fleet, 0), ts_clock_now_us()) < 0.1);
    deliver_sums(peers, 7U - (1U << 20U), 16); // a restarted process may start at any sequence
    assert_true(ts_instance_failure_rate(instance_at(&fleet, 0), ts_clock_now_us()) > 0.6);
}

enum { EXTRA_BACKENDS = 9 };

/* Registers the backends j-0, j-1, ... of service a and waits until all nodes list them. */
static void register_extra_backends(const fleet_t *fleet)
{
    for (int i = 0; i < EXTRA_BACKENDS; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "j-%d", i);
        fixture_register_searcher(fleet->fixture, id, "a", "z1");
    }
    for (int i = 0; i < NODES; i++)
        assert_true(fixture_await_synced(fleet->fixture, fleet->nodes[i], 1, 1 + EXTRA_BACKENDS));
}

/* A node that sees all backends late at once has a local problem and must not report them. */
static void test_local_problem_is_not_reported(void **state)
{
    fleet_t fleet = open_fleet();
    register_extra_backends(&fleet);
    int sender = find_collector(&fleet) == 1 ? 2 : 1;
    for (int round = 0; round < 5; round++) {
        for (int i = 0; i < EXTRA_BACKENDS; i++) {
            char id[8];
            g_snprintf(id, sizeof(id), "j-%d", i);
            ts_instance_t *instance = ts_registry_find_current(fleet.nodes[sender]->registry, id);
            ts_instance_note_answer(instance, ts_clock_now_us(), 200000, 10000);
        }
        fixture_run_ms(fleet.fixture, 110);
    }
    const ts_instance_t *own = ts_registry_find_current(fleet.nodes[sender]->registry, "j-0");
    const ts_instance_t *remote = ts_registry_find_current(fleet.nodes[3]->registry, "j-0");
    assert_true(ts_instance_latency_ratio(own, ts_clock_now_us()) > 2);
    assert_true(ts_instance_latency_ratio(remote, ts_clock_now_us()) < 1.1);
}

/* Evidence from several nodes about many backends must be forwarded: it is no local problem. */
static void test_evidence_about_many_backends_is_forwarded(void **state)
{
    fleet_t fleet = open_fleet();
    int head = -1;
    for (int i = 0; i < 3; i++)
        head = ts_peers_is_watcher(fleet.nodes[i]->peers) ? i : head;
    assert_true(head >= 0);
    // make n3 the collector, so that the head of z1 has to forward the evidence of its zone
    fleet.nodes[head]->peers->is_collector = false;
    fleet.nodes[head]->peers->collector = fleet.nodes[3]->settings->peers;
    fleet.nodes[3]->peers->is_collector = true;
    register_extra_backends(&fleet);
    // each of the two other nodes sees too few bad backends for a local problem
    for (int i = 0; i < EXTRA_BACKENDS; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "j-%d", i);
        int sender = (head + 1 + i % 2) % 3;
        for (int j = 0; j < 6; j++)
            ts_instance_note_result(ts_registry_find_current(fleet.nodes[sender]->registry, id),
                                    true, ts_clock_now_us());
    }
    const ts_instance_t *remote = ts_registry_find_current(fleet.nodes[3]->registry, "j-0");
    for (int i = 0; i < 100 && ts_instance_failure_rate(remote, ts_clock_now_us()) < 0.4; i++)
        fixture_run_ms(fleet.fixture, 10);
    assert_true(ts_instance_failure_rate(remote, ts_clock_now_us()) > 0.4);
}

static void test_limits_are_divided_by_largest_fleet_seen(void **state)
{
    fleet_t fleet = open_fleet();
    assert_true(fleet.nodes[0]->nodes > NODES); /* recently started: assumes a larger fleet */
    for (int i = 0; i < 600 && fleet.nodes[0]->nodes > NODES; i++) {
        fixture_run_ms(fleet.fixture, 10);
        ts_gateway_sweep(fleet.nodes[0]);
    }
    double share = fleet.nodes[0]->retry_rule.slack_share;
    assert_int_equal(fleet.nodes[0]->nodes, NODES);
    /* half of an even share of retry_slack, as the fleet grew recently */
    assert_true(share <= 0.5 * 60.0 / NODES);
    fleet.nodes[0]->nodes_grown_us -= 60 * TS_US_PER_S;
    ts_gateway_sweep(fleet.nodes[0]);
    assert_true(fleet.nodes[0]->retry_rule.slack_share > share);
    assert_true(fleet.nodes[0]->retry_rule.slack_share < 60.0 / NODES);
    fixture_add_gateway(fleet.fixture, "m5", "z2", fixture_next_port(), fleet.ports[0],
                        fleet.fixture->store_port);
    for (int i = 0; i < 300 && fleet.nodes[0]->nodes < 5; i++) {
        fixture_run_ms(fleet.fixture, 10);
    }
    assert_true(fleet.nodes[0]->retry_rule.slack_share < share);
    ts_gateway_begin_shutdown(fleet.nodes[1], NULL);
    fixture_run_ms(fleet.fixture, 500);
    assert_int_equal(fleet.nodes[0]->nodes, 5); /* n1 may come back and use its share */
}

/* All nodes agree on the order of nodes for each instance; nodes of its region come first. */
static void test_node_order_at_instances(void **state)
{
    fleet_t fleet = open_fleet();
    fixture_register_searcher(fleet.fixture, "i-2", "a", "z2");
    for (int i = 0; i < NODES; i++)
        assert_true(fixture_await_synced(fleet.fixture, fleet.nodes[i], 1, 2));
    unsigned seen = 0;
    for (int i = 0; i < NODES; i++) {
        const ts_gateway_t *node = fleet.nodes[i];
        unsigned near =
            ts_peers_index(node->peers, ts_registry_find_current(node->registry, "i-1"));
        unsigned far = ts_peers_index(node->peers, ts_registry_find_current(node->registry, "i-2"));
        seen |= 1U << near;
        assert_true(i < 3 ? near < 3 : near == 3); /* n0 to n2 are in the region of i-1 */
        assert_true(i < 3 ? far > 0 : far == 0);
    }
    assert_int_equal(seen, (1U << NODES) - 1);
}

/* A zone with more nodes than one node informs directly: changes are forwarded along a tree. */
static void test_large_zone_is_informed_along_tree(void **state)
{
    enum { MANY = 24 };
    fixture_t *fixture = fixture_open(NULL);
    ts_gateway_t *nodes[MANY];
    fixture_add_searcher(fixture, "i-1", "a", "z1");
    fixture_put_config(fixture, 1, ROUTE_A);
    unsigned first_port = fixture_next_port();
    for (int i = 0; i < MANY; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "n%d", i);
        nodes[i] =
            fixture_add_gateway(fixture, name, "z1", i == 0 ? first_port : fixture_next_port(),
                                first_port, fixture->store_port);
    }
    for (int i = 0; i < MANY; i++) {
        assert_true(fixture_await_synced(fixture, nodes[i], 1, 1));
        for (int j = 0; j < 500 && ts_peers_count(nodes[i]->peers) < MANY; j++) {
            fixture_run_ms(fixture, 20);
        }
    }
    fixture_run_ms(fixture, 3000);
    unsigned watching = 0;
    for (int i = 0; i < MANY; i++) {
        watching += ts_peers_should_watch(nodes[i]->peers, ts_clock_now_us());
    }
    assert_int_equal(watching, 1);
    ts_time_us_t start_us = ts_clock_now_us();
    fixture_put_config(fixture, 2, ROUTE_A);
    for (int i = 0; i < MANY; i++) {
        assert_true(fixture_await_synced(fixture, nodes[i], 2, 1));
    }
    assert_true(ts_clock_now_us() - start_us < 2500 * TS_US_PER_MS);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_one_watcher_per_zone),
        cmocka_unit_test(test_change_reaches_all_nodes_in_time),
        cmocka_unit_test(test_lost_poll_of_a_watcher),
        cmocka_unit_test(test_changes_in_quick_succession),
        cmocka_unit_test(test_changes_that_leave_some_out_are_ignored),
        cmocka_unit_test(test_newer_version_is_not_pulled_from_other_zone_at_once),
        cmocka_unit_test(test_start_while_store_is_silent),
        cmocka_unit_test(test_node_without_store_follows_peers),
        cmocka_unit_test(test_watcher_is_replaced_after_shutdown),
        cmocka_unit_test(test_watcher_that_stops_sending_is_bypassed),
        cmocka_unit_test(test_suspicion_is_shared_within_zone),
        cmocka_unit_test(test_node_order_at_instances),
        cmocka_unit_test(test_large_zone_is_informed_along_tree),
        cmocka_unit_test(test_evidence_reaches_every_zone),
        cmocka_unit_test(test_evidence_adds_up),
        cmocka_unit_test(test_collector_is_replaced_after_shutdown),
        cmocka_unit_test(test_duplicate_evidence_is_ignored),
        cmocka_unit_test(test_evidence_about_other_incarnation_is_ignored),
        cmocka_unit_test(test_local_problem_is_not_reported),
        cmocka_unit_test(test_evidence_about_many_backends_is_forwarded),
        cmocka_unit_test(test_limits_are_divided_by_largest_fleet_seen),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
