/** Several gateways: who follows the store, and what they tell each other. */
#include "fixture.h"

#include "../../src/peers/peers_internal.h"
#include "tealspar/peers.h"

#define NODES 4
#define ROUTE_A ROUTE_ONE("one", "/p/", "idempotent", "a", 1500)

typedef struct fleet {
    world_t *world;
    ts_gateway_t *nodes[NODES];
    unsigned ports[NODES];
} fleet_t;

/* Three nodes in z1 and one in z2, all with the store, which has version 1 and one back end. */
static fleet_t open_fleet(void)
{
    fleet_t fleet = {.world = world_open(NULL)};
    world_add_searcher(fleet.world, "i-1", "a", "z1");
    world_configure(fleet.world, 1, ROUTE_A);
    for (int i = 0; i < NODES; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "n%d", i);
        fleet.ports[i] = world_next_port();
        fleet.nodes[i] = world_add_gateway(fleet.world, name, i < 3 ? "z1" : "z2", fleet.ports[i],
                                           fleet.ports[0], fleet.world->store_port);
    }
    for (int i = 0; i < NODES; i++) {
        assert_true(world_await_knowledge(fleet.world, fleet.nodes[i], 1, 1));
    }
    for (int i = 0; i < 300 && ts_peers_count(fleet.nodes[NODES - 1]->peers) < NODES; i++) {
        world_run_ms(fleet.world, 10);
    }
    world_run_ms(fleet.world, 1000);
    return fleet;
}

static ts_gateway_t *watcher_of(const fleet_t *fleet)
{
    for (int i = 0; i < 3; i++) {
        if (ts_peers_is_relied_on(fleet->nodes[i]->peers)) {
            return fleet->nodes[i];
        }
    }
    return NULL;
}

static void test_one_watcher_a_zone(void **state)
{
    fleet_t fleet = open_fleet();
    unsigned watchers = 0;
    for (int i = 0; i < NODES; i++) {
        assert_int_equal(ts_peers_count(fleet.nodes[i]->peers), NODES);
        watchers += ts_peers_should_watch(fleet.nodes[i]->peers, ts_clock_now_us());
    }
    assert_int_equal(watchers, 2);
}

static void test_change_reaches_all_within_the_bound(void **state)
{
    fleet_t fleet = open_fleet();
    ts_time_us_t begun_us = ts_clock_now_us();
    world_configure(fleet.world, 2, ROUTE_A);
    for (int i = 0; i < NODES; i++) {
        assert_true(world_await_knowledge(fleet.world, fleet.nodes[i], 2, 1));
    }
    assert_true(ts_clock_now_us() - begun_us < 1500 * TS_US_PER_MS);
    lab_store_delete(fleet.world->store, "servers/i-1");
    for (int i = 0; i < NODES; i++) {
        assert_true(world_await_knowledge(fleet.world, fleet.nodes[i], 2, 0));
    }
}

// A watcher's wait is long; its probes notice that a silent service has swallowed it.
static void test_swallowed_wait_of_a_watcher(void **state)
{
    fleet_t fleet = open_fleet();
    unsigned calls = lab_store_calls(fleet.world->store);
    world_run_ms(fleet.world, 5000);
    assert_true(lab_store_calls(fleet.world->store) - calls <=
                2 * 6); // two watchers: probes, and a wait at most
    lab_store_set_mode(fleet.world->store, LAB_STORE_SILENT);
    lab_store_put(fleet.world->store, "op/config",
                  "{\"version\":2,\"routes\":[" ROUTE_A "],\"services\":[]}");
    world_run_ms(fleet.world, 300);
    lab_store_set_mode(fleet.world->store, LAB_STORE_NORMAL);
    world_run_ms(fleet.world, 4000);
    for (int i = 0; i < NODES; i++)
        assert_int_equal(fleet.nodes[i]->traffic->version, 2);
}

static void announce(ts_peers_t *peers, char *address, uint64_t epoch, uint64_t revision)
{
    TsPeer__Beacon beacon = TS_PEER__BEACON__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    beacon.epoch = epoch;
    beacon.revision = revision;
    frame.beacon = &beacon;
    frame.address = address;
    ts_peers_take_beacon(peers, &frame);
}

static void give_changes(ts_peers_t *peers, uint64_t epoch, uint64_t revision)
{
    TsPeer__Changes changes = TS_PEER__CHANGES__INIT;
    changes.epoch = epoch;
    changes.revision = revision;
    ts_peers_take_changes(peers, &changes);
}

/* What is announced while changes are on their way is asked for as soon as they are in. */
static void test_changes_in_quick_succession(void **state)
{
    fleet_t fleet = open_fleet();
    ts_gateway_t *watcher = watcher_of(&fleet);
    ts_peers_t *peers = fleet.nodes[fleet.nodes[0] == watcher ? 1 : 0]->peers;
    char address[32];
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", world_next_port()); /* nobody answers */
    ts_store_position_t position = ts_store_mirror_position(peers->mirror);
    uint64_t own = position.revision;
    uint64_t epoch = position.epoch;
    announce(peers, address, epoch, own + 1);
    announce(peers, address, epoch, own + 2);
    give_changes(peers, epoch, own + 1);
    assert_true(peers->pulled_us != 0); /* the second is on its way */
    give_changes(peers, epoch, own + 1);
    assert_true(peers->pulled_us == 0); /* a peer that has not got it is not asked over and over */
    give_changes(peers, epoch, own + 2);
    assert_true(peers->pulled_us == 0);
}

/* A node of another zone that speaks of a newer version is asked only if it does not come by
 * itself. */
static void test_newer_version_is_not_fetched_from_afar_at_once(void **state)
{
    fleet_t fleet = open_fleet();
    ts_peers_t *peers = fleet.nodes[NODES - 1]->peers; /* of z2 */
    char near[32];
    char far[32];
    g_snprintf(near, sizeof(near), "127.0.0.1:%u", fleet.ports[NODES - 1]);
    g_snprintf(far, sizeof(far), "127.0.0.1:%u", fleet.ports[0]);
    ts_peers_hear_config(peers, "n0", far, 2, 0);
    assert_true(peers->pulled_us == 0);
    peers->heard_us -= TS_US_PER_S;
    ts_peers_hear_config(peers, "n0", far, 2, 0);
    assert_true(peers->pulled_us != 0);
    peers->pulled_us = 0;
    ts_peers_hear_config(peers, "n3", near, 3, 0);
    assert_true(peers->pulled_us != 0);
}

static void test_start_while_the_store_is_silent(void **state)
{
    fleet_t fleet = open_fleet();
    lab_store_set_mode(fleet.world->store, LAB_STORE_SILENT);
    ts_gateway_t *late = world_add_gateway(fleet.world, "late", "z2", world_next_port(),
                                           fleet.ports[0], fleet.world->store_port);
    ts_time_us_t begun_us = ts_clock_now_us();
    assert_true(world_await_knowledge(fleet.world, late, 1, 1));
    assert_true(ts_clock_now_us() - begun_us < 2000 * TS_US_PER_MS);
}

/* The service refuses one node while it serves the others. */
static void test_refused_node_follows_its_peers(void **state)
{
    fleet_t fleet = open_fleet();
    ts_gateway_t *refused =
        world_add_gateway(fleet.world, "m", "z2", world_next_port(), fleet.ports[0], 0);
    assert_true(world_await_knowledge(fleet.world, refused, 1, 1));
    for (unsigned version = 2; version < 5; version++) {
        ts_time_us_t begun_us = ts_clock_now_us();
        world_configure(fleet.world, version, ROUTE_A);
        assert_true(world_await_knowledge(fleet.world, refused, version, 1));
        assert_true(ts_clock_now_us() - begun_us < 3000 * TS_US_PER_MS);
        world_run_ms(fleet.world, 700);
    }
}

static void test_watcher_that_leaves_is_replaced(void **state)
{
    fleet_t fleet = open_fleet();
    ts_gateway_t *watcher = watcher_of(&fleet);
    assert_non_null(watcher);
    ts_gateway_leave(watcher);
    world_run_ms(fleet.world, 500);
    assert_ptr_not_equal(watcher_of(&fleet), watcher);
    assert_non_null(watcher_of(&fleet));
}

/* A watcher that says nothing more: the others ask the service themselves, within the bound. */
static void test_silent_watcher_is_not_waited_for(void **state)
{
    fleet_t fleet = open_fleet();
    ts_gateway_t *watcher = watcher_of(&fleet);
    assert_non_null(watcher);
    ts_peers_set_mute(watcher->peers, true);
    world_run_ms(fleet.world, 100);
    ts_time_us_t begun_us = ts_clock_now_us();
    world_configure(fleet.world, 2, ROUTE_A);
    for (int i = 0; i < 3; i++) {
        assert_true(world_await_knowledge(fleet.world, fleet.nodes[i], 2, 1));
    }
    assert_true(ts_clock_now_us() - begun_us < 3000 * TS_US_PER_MS);
}

static void test_suspicion_is_shared_in_the_zone(void **state)
{
    fleet_t fleet = open_fleet();
    ts_instance_t *own = ts_registry_present(fleet.nodes[0]->registry, "i-1");
    ts_instance_t *theirs = ts_registry_present(fleet.nodes[1]->registry, "i-1");
    ts_instance_t *far = ts_registry_present(fleet.nodes[3]->registry, "i-1");
    ts_time_us_t now_us = ts_clock_now_us();
    ts_instance_note_overdue(own, now_us - 50 * TS_US_PER_MS, now_us);
    world_run_ms(fleet.world, 100);
    assert_true(theirs->suspected_us == 0); /* most late answers come soon: not told yet */
    ts_instance_tell_overdue(own);
    for (int i = 0; i < 100 && theirs->suspected_us == 0; i++) {
        world_run_ms(fleet.world, 5);
    }
    assert_true(theirs->suspected_us != 0);
    assert_true(far->suspected_us == 0);
    ts_instance_note_answer(own, ts_clock_now_us(), 1000, 1000);
    for (int i = 0; i < 100 && theirs->suspected_us != 0; i++) {
        world_run_ms(fleet.world, 5);
    }
    assert_true(theirs->suspected_us == 0);
}

/* -- Evidence about back ends ------------------------------------------------------------------ */

static ts_instance_t *instance_at(const fleet_t *fleet, int node)
{
    return ts_registry_present(fleet->nodes[node]->registry, "i-1");
}

static int find_collector(const fleet_t *fleet)
{
    int collector = -1;
    for (int i = 0; i < NODES; i++) {
        if (!fleet->nodes[i]->is_stopping && fleet->nodes[i]->peers->is_collector) {
            assert_int_equal(collector, -1);
            collector = i;
        }
    }
    return collector;
}

/* Whether a node comes to believe that a share of the back end's answers fail. */
static bool await_failing(const fleet_t *fleet, int node, double least)
{
    const ts_instance_t *instance = instance_at(fleet, node);
    for (int i = 0; i < 200; i++) {
        if (ts_instance_failing(instance, ts_clock_now_us()) > least)
            return true;
        world_run_ms(fleet->world, 10);
    }
    return false;
}

static void note_failures(const fleet_t *fleet, int node, int count)
{
    for (int i = 0; i < count; i++)
        ts_instance_note_verdict(instance_at(fleet, node), true, ts_clock_now_us());
}

/* What one node meets is known in all zones; none of the others has sent anything yet. */
static void test_evidence_reaches_every_zone(void **state)
{
    fleet_t fleet = open_fleet();
    int sender = find_collector(&fleet) == 1 ? 2 : 1;
    note_failures(&fleet, sender, 6);
    for (int i = 0; i < NODES; i++)
        assert_true(await_failing(&fleet, i, 0.4));
}

/* Failures that three nodes met weigh more than those of one, and good answers of others less. */
static void test_evidence_adds_up(void **state)
{
    fleet_t fleet = open_fleet();
    for (int i = 0; i < NODES; i++)
        note_failures(&fleet, i, 2);
    assert_true(await_failing(&fleet, 0, 0.65)); // 2 of its own alone: 0.4
    for (int i = 0; i < 30; i++) {
        for (int node = 0; node < NODES; node++)
            ts_instance_note_verdict(instance_at(&fleet, node), false, ts_clock_now_us());
        world_run_ms(fleet.world, 20);
    }
    assert_false(ts_instance_failing(instance_at(&fleet, 0), ts_clock_now_us()) > 0.25);
}

/* When the node that collects leaves, another does. */
static void test_collector_that_leaves_is_replaced(void **state)
{
    fleet_t fleet = open_fleet();
    int collector = find_collector(&fleet);
    assert_true(collector >= 0);
    ts_gateway_leave(fleet.nodes[collector]);
    world_run_ms(fleet.world, 500);
    int next = find_collector(&fleet);
    assert_true(next >= 0 && next != collector);
    note_failures(&fleet, collector == 0 ? 1 : 0, 6);
    assert_true(await_failing(&fleet, collector == 3 ? 2 : 3, 0.4));
}

/* Sums of the life that was born at a moment. */
static void give_sums_of(ts_peers_t *peers, uint64_t born_ms, uint32_t sequence, float failures)
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
    ts_peers_take_evidence(peers, &frame);
}

static void give_sums(ts_peers_t *peers, uint32_t sequence, float failures)
{
    ts_instance_t *instance = ts_registry_present(peers->gateway->registry, "i-1");
    give_sums_of(peers, instance->born_ms, sequence, failures);
}

/* What is told of a life that a back end has left behind, or that is not known yet, changes
 * nothing. */
static void test_evidence_of_another_life_is_ignored(void **state)
{
    fleet_t fleet = open_fleet();
    ts_peers_t *peers = fleet.nodes[0]->peers;
    uint64_t born_ms = instance_at(&fleet, 0)->born_ms;
    give_sums_of(peers, born_ms - 1000, 7, 16);
    give_sums_of(peers, born_ms + 1000, 8, 16);
    assert_true(ts_instance_failing(instance_at(&fleet, 0), ts_clock_now_us()) < 0.1);
    give_sums_of(peers, born_ms, 9, 16);
    assert_true(ts_instance_failing(instance_at(&fleet, 0), ts_clock_now_us()) > 0.6);
}

/* A message that comes once more, or after a newer one, changes nothing. */
static void test_replayed_evidence_is_ignored(void **state)
{
    fleet_t fleet = open_fleet();
    ts_peers_t *peers = fleet.nodes[0]->peers;
    give_sums(peers, 7, 16);
    double failing = ts_instance_failing(instance_at(&fleet, 0), ts_clock_now_us());
    assert_true(failing > 0.6);
    give_sums(peers, 8, 0); // it is well again
    for (int i = 0; i < 5; i++)
        give_sums(peers, 7, 16);
    assert_true(ts_instance_failing(instance_at(&fleet, 0), ts_clock_now_us()) < 0.1);
    give_sums(peers, 7U - (1U << 20U), 16); // a new process begins anywhere
    assert_true(ts_instance_failing(instance_at(&fleet, 0), ts_clock_now_us()) > 0.6);
}

enum { MORE = 9 };

/* MORE back ends of service a beside i-1, j-0 and so on, that all nodes know. */
static void enter_many(const fleet_t *fleet)
{
    for (int i = 0; i < MORE; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "j-%d", i);
        world_enter_searcher(fleet->world, id, "a", "z1");
    }
    for (int i = 0; i < NODES; i++)
        assert_true(world_await_knowledge(fleet->world, fleet->nodes[i], 1, 1 + MORE));
}

/* A node for which all back ends are late at once, as its own link is, tells nothing of them. */
static void test_own_trouble_is_not_told(void **state)
{
    fleet_t fleet = open_fleet();
    enter_many(&fleet);
    int sender = find_collector(&fleet) == 1 ? 2 : 1;
    for (int round = 0; round < 5; round++) {
        for (int i = 0; i < MORE; i++) {
            char id[8];
            g_snprintf(id, sizeof(id), "j-%d", i);
            ts_instance_t *instance = ts_registry_present(fleet.nodes[sender]->registry, id);
            ts_instance_note_answer(instance, ts_clock_now_us(), 200000, 10000);
        }
        world_run_ms(fleet.world, 110);
    }
    const ts_instance_t *own = ts_registry_present(fleet.nodes[sender]->registry, "j-0");
    const ts_instance_t *theirs = ts_registry_present(fleet.nodes[3]->registry, "j-0");
    assert_true(ts_instance_slowness(own, ts_clock_now_us()) > 2);
    assert_true(ts_instance_slowness(theirs, ts_clock_now_us()) < 1.1);
}

/* What several nodes meet at many back ends is no trouble of the node that passes it on. */
static void test_evidence_of_many_is_passed_on(void **state)
{
    fleet_t fleet = open_fleet();
    int head = -1;
    for (int i = 0; i < 3; i++)
        head = ts_peers_is_watcher(fleet.nodes[i]->peers) ? i : head;
    assert_true(head >= 0);
    fleet.nodes[head]->peers->is_collector = false; // whoever it is: the head of z1 passes on
    fleet.nodes[head]->peers->collector = fleet.nodes[3]->settings->peers;
    fleet.nodes[3]->peers->is_collector = true;
    enter_many(&fleet);
    for (int i = 0; i < MORE; i++) { // each of the two others meets fewer than would be its own
        char id[8];
        g_snprintf(id, sizeof(id), "j-%d", i);
        int sender = (head + 1 + i % 2) % 3;
        for (int j = 0; j < 6; j++)
            ts_instance_note_verdict(ts_registry_present(fleet.nodes[sender]->registry, id), true,
                                     ts_clock_now_us());
    }
    const ts_instance_t *theirs = ts_registry_present(fleet.nodes[3]->registry, "j-0");
    for (int i = 0; i < 100 && ts_instance_failing(theirs, ts_clock_now_us()) < 0.4; i++)
        world_run_ms(fleet.world, 10);
    assert_true(ts_instance_failing(theirs, ts_clock_now_us()) > 0.4);
}

static void test_limits_are_divided_by_the_most_nodes_seen(void **state)
{
    fleet_t fleet = open_fleet();
    assert_true(fleet.nodes[0]->nodes > NODES); /* young, hence unsure: the smaller share */
    for (int i = 0; i < 600 && fleet.nodes[0]->nodes > NODES; i++) {
        world_run_ms(fleet.world, 10);
        ts_gateway_sweep(fleet.nodes[0]);
    }
    double share = fleet.nodes[0]->rule.slack_share;
    assert_int_equal(fleet.nodes[0]->nodes, NODES);
    assert_true(share <= 0.5 * 60.0 / NODES); /* the fleet grew lately */
    fleet.nodes[0]->grown_us -= 60 * TS_US_PER_S;
    ts_gateway_sweep(fleet.nodes[0]);
    assert_true(fleet.nodes[0]->rule.slack_share > share);
    assert_true(fleet.nodes[0]->rule.slack_share < 60.0 / NODES);
    world_add_gateway(fleet.world, "m5", "z2", world_next_port(), fleet.ports[0],
                      fleet.world->store_port);
    for (int i = 0; i < 300 && fleet.nodes[0]->nodes < 5; i++) {
        world_run_ms(fleet.world, 10);
    }
    assert_true(fleet.nodes[0]->rule.slack_share < share);
    ts_gateway_leave(fleet.nodes[1]);
    world_run_ms(fleet.world, 500);
    assert_int_equal(fleet.nodes[0]->nodes, 5); /* one that is down comes back with full rights */
}

/* The nodes agree on an order for each instance, those of its region first. */
static void test_places_at_an_instance(void **state)
{
    fleet_t fleet = open_fleet();
    world_enter_searcher(fleet.world, "i-2", "a", "z2");
    for (int i = 0; i < NODES; i++)
        assert_true(world_await_knowledge(fleet.world, fleet.nodes[i], 1, 2));
    unsigned seen = 0;
    for (int i = 0; i < NODES; i++) {
        const ts_gateway_t *node = fleet.nodes[i];
        unsigned near = ts_peers_place(node->peers, ts_registry_present(node->registry, "i-1"));
        unsigned far = ts_peers_place(node->peers, ts_registry_present(node->registry, "i-2"));
        seen |= 1U << near;
        assert_true(i < 3 ? near < 3 : near == 3); /* three nodes stand in the region of i-1 */
        assert_true(i < 3 ? far > 0 : far == 0);
    }
    assert_int_equal(seen, (1U << NODES) - 1);
}

/* More nodes than one tells by itself: what is known goes down a tree. */
static void test_large_zone_is_told_down_a_tree(void **state)
{
    enum { MANY = 24 };
    world_t *world = world_open(NULL);
    ts_gateway_t *nodes[MANY];
    world_add_searcher(world, "i-1", "a", "z1");
    world_configure(world, 1, ROUTE_A);
    unsigned first_port = world_next_port();
    for (int i = 0; i < MANY; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "n%d", i);
        nodes[i] = world_add_gateway(world, name, "z1", i == 0 ? first_port : world_next_port(),
                                     first_port, world->store_port);
    }
    for (int i = 0; i < MANY; i++) {
        assert_true(world_await_knowledge(world, nodes[i], 1, 1));
        for (int j = 0; j < 500 && ts_peers_count(nodes[i]->peers) < MANY; j++) {
            world_run_ms(world, 20);
        }
    }
    world_run_ms(world, 3000);
    unsigned watching = 0;
    for (int i = 0; i < MANY; i++) {
        watching += ts_peers_should_watch(nodes[i]->peers, ts_clock_now_us());
    }
    assert_int_equal(watching, 1);
    ts_time_us_t begun_us = ts_clock_now_us();
    world_configure(world, 2, ROUTE_A);
    for (int i = 0; i < MANY; i++) {
        assert_true(world_await_knowledge(world, nodes[i], 2, 1));
    }
    assert_true(ts_clock_now_us() - begun_us < 2500 * TS_US_PER_MS);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_one_watcher_a_zone),
        cmocka_unit_test(test_change_reaches_all_within_the_bound),
        cmocka_unit_test(test_swallowed_wait_of_a_watcher),
        cmocka_unit_test(test_changes_in_quick_succession),
        cmocka_unit_test(test_newer_version_is_not_fetched_from_afar_at_once),
        cmocka_unit_test(test_start_while_the_store_is_silent),
        cmocka_unit_test(test_refused_node_follows_its_peers),
        cmocka_unit_test(test_watcher_that_leaves_is_replaced),
        cmocka_unit_test(test_silent_watcher_is_not_waited_for),
        cmocka_unit_test(test_suspicion_is_shared_in_the_zone),
        cmocka_unit_test(test_places_at_an_instance),
        cmocka_unit_test(test_large_zone_is_told_down_a_tree),
        cmocka_unit_test(test_evidence_reaches_every_zone),
        cmocka_unit_test(test_evidence_adds_up),
        cmocka_unit_test(test_collector_that_leaves_is_replaced),
        cmocka_unit_test(test_replayed_evidence_is_ignored),
        cmocka_unit_test(test_evidence_of_another_life_is_ignored),
        cmocka_unit_test(test_own_trouble_is_not_told),
        cmocka_unit_test(test_evidence_of_many_is_passed_on),
        cmocka_unit_test(test_limits_are_divided_by_the_most_nodes_seen),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
