/**
 * A fatal request crashes every backend that runs it and is sent again to any node. Checks that the
 * quarantine bounds the number of crashed backends and that other requests are still served, with
 * several nodes that exchange real messages.
 */
#include "fixture.h"

#include <stdlib.h>
#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/peers.h"

#define NODES 3
#define SHARDS 3
#define REPLICAS 3
#define SERVICE_TIME_MS 20
#define ATTEMPTS 8
/* Backends that a fatal request may crash in addition to those of its first attempt. */
#define EXTRA_CRASHES_MAX 3
#define FATAL_TARGET "/g/fatal"

typedef struct fleet {
    fixture_t *fixture;
    ts_gateway_t *nodes[NODES];
    unsigned ports[NODES];
    lab_searcher_t *searchers[SHARDS][REPLICAS]; /* current incarnations */
    unsigned searchers_started;                  /* number of the next searcher id */
    unsigned crashed;
    unsigned requests_sent;
} fleet_t;

static const char *const services[SHARDS] = {"a", "b", "c"};
static const char *const zones[] = {"z1", "z2"};

static void start_searcher(fleet_t *fleet, unsigned shard, unsigned replica)
{
    char id[16];
    g_snprintf(id, sizeof(id), "i-%u", fleet->searchers_started++);
    lab_searcher_t *searcher =
        fixture_register_searcher(fleet->fixture, id, services[shard], zones[replica % 2]);
    searcher->crash_target = FATAL_TARGET;
    searcher->delay_ms = SERVICE_TIME_MS;
    fleet->searchers[shard][replica] = searcher;
}

/* Counts the searchers that crashed since the last call and replaces each by a new one. */
static void replace_crashed(fleet_t *fleet)
{
    for (unsigned i = 0; i < SHARDS; i++) {
        for (unsigned j = 0; j < REPLICAS; j++) {
            if (!fleet->searchers[i][j]->has_crashed)
                continue;
            char *key = g_strdup_printf("servers/%s", fleet->searchers[i][j]->id);
            lab_store_delete(fleet->fixture->store, key);
            g_free(key);
            fleet->crashed++;
            start_searcher(fleet, i, j);
        }
    }
}

static void await_all_synced(fleet_t *fleet)
{
    for (int i = 0; i < NODES; i++)
        assert_true(fixture_await_synced(fleet->fixture, fleet->nodes[i], 1, SHARDS * REPLICAS));
}

static ts_gateway_t *add_node(fleet_t *fleet, unsigned index, unsigned seed_port)
{
    char name[8];
    g_snprintf(name, sizeof(name), "n%u", index);
    unsigned peers_port = index == 0 ? seed_port : fixture_next_port();
    fleet->nodes[index] = fixture_add_gateway(fleet->fixture, name, zones[index % 2], peers_port,
                                              seed_port, fleet->fixture->store_port);
    fleet->ports[index] = (unsigned)atoi(strchr(fleet->nodes[index]->settings->callers, ':') + 1);
    return fleet->nodes[index];
}

static fleet_t open_fleet(const char *routes)
{
    fleet_t fleet = {.fixture = fixture_open(NULL)};
    unsigned seed_port = fixture_next_port();
    for (unsigned i = 0; i < SHARDS; i++) {
        for (unsigned j = 0; j < REPLICAS; j++)
            start_searcher(&fleet, i, j);
    }
    fixture_put_config(fleet.fixture, 1, routes);
    for (unsigned i = 0; i < NODES; i++)
        add_node(&fleet, i, seed_port);
    await_all_synced(&fleet);
    for (int i = 0; i < 300 && ts_peers_count(fleet.nodes[NODES - 1]->peers) < NODES; i++)
        fixture_run_ms(fleet.fixture, 10);
    fixture_run_ms(fleet.fixture, 1000); // until membership views are stable
    return fleet;
}

/* Sends a request to a node without waiting for the response. */
static client_t *send_request(fleet_t *fleet, unsigned node, const char *target)
{
    client_t *client = client_connect(fleet->fixture, fleet->ports[node]);
    char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: q%u\r\n"
                                 "X-Deadline-Ms: 1400\r\n\r\n",
                                 target, fleet->requests_sent++);
    client_send(client, text);
    g_free(text);
    return client;
}

static unsigned await_status(fleet_t *fleet, client_t *client)
{
    unsigned status = client_await_response(fleet->fixture, client);
    client_close(client);
    return status;
}

static unsigned fetch_status(fleet_t *fleet, unsigned node, const char *target)
{
    return await_status(fleet, send_request(fleet, node, target));
}

/* Sends the fatal request to each node in turn; crashed searchers are replaced after each. */
static void repeat_fatal_request(fleet_t *fleet, const char *target, unsigned *first_crashed)
{
    for (unsigned i = 0; i < ATTEMPTS; i++) {
        assert_int_not_equal(fetch_status(fleet, i % NODES, target), 200);
        fixture_run_ms(fleet->fixture, 150); // abandoned sends crash their searchers too
        replace_crashed(fleet);
        await_all_synced(fleet);
        if (i == 0)
            *first_crashed = fleet->crashed;
    }
}

#define ROUTES                                                                                     \
    GATHER_ROUTE_JSON("all", "/g/", 0.9)                                                           \
    "," SERVICE_ROUTE_JSON("one", "/g/fatal/one/", "idempotent", "a", 1500)

static void test_fatal_gather_request_is_contained(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    unsigned crashed_first = 0;
    repeat_fatal_request(&fleet, FATAL_TARGET, &crashed_first);
    if (crashed_first > SHARDS + 1 || fleet.crashed > SHARDS + EXTRA_CRASHES_MAX)
        print_error("%u backends crashed on the first attempt, %u in total\n", crashed_first,
                    fleet.crashed);
    assert_true(crashed_first >= SHARDS && crashed_first <= SHARDS + 1);
    assert_true(fleet.crashed <= SHARDS + EXTRA_CRASHES_MAX);
}

static void test_fatal_forwarded_request_is_contained(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    unsigned crashed_first = 0;
    repeat_fatal_request(&fleet, "/g/fatal/one/x", &crashed_first);
    if (fleet.crashed > 1 + EXTRA_CRASHES_MAX)
        print_error("%u backends crashed\n", fleet.crashed);
    assert_true(fleet.crashed >= 1 && fleet.crashed <= 1 + EXTRA_CRASHES_MAX);
}

/* A quarantined request is not forwarded; the client gets 503 without delay. */
static void test_quarantined_request_is_refused_immediately(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    unsigned crashed_first = 0;
    repeat_fatal_request(&fleet, FATAL_TARGET, &crashed_first);
    unsigned crashed = fleet.crashed;
    ts_time_us_t begun_us = ts_clock_now_us();
    client_t *client = send_request(&fleet, 1, FATAL_TARGET);
    assert_int_equal(client_await_response(fleet.fixture, client), 503);
    assert_true(ts_clock_now_us() - begun_us < 60 * TS_US_PER_MS);
    assert_non_null(strstr(client->response.body->str, "quarantined"));
    // a retry would be refused too
    assert_null(ts_http_message_find(&client->response, "Retry-After"));
    fixture_run_ms(fleet.fixture, 100);
    replace_crashed(&fleet);
    assert_int_equal(fleet.crashed, crashed);
    // metrics list the digest of a quarantined request, not its target
    GString *metrics = g_string_new(NULL);
    ts_gateway_write_metrics(fleet.nodes[1], metrics);
    assert_non_null(strstr(metrics->str, "tealspar_quarantine_held_seconds{digest=\""));
    assert_null(strstr(metrics->str, "fatal"));
    g_string_free(metrics, TRUE);
}

/*
 * Requests that are in flight on a backend when a fatal request crashes it are served when they are
 * sent again, even if that happened to them several times.
 */
static void test_requests_in_flight_at_crashes_are_served(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    char target[24];
    int64_t sends_broken = ts_counter_value(TS_COUNTER_SENDS_BROKEN);
    for (unsigned i = 0; i < 4; i++) {
        client_t *clients[NODES];
        g_snprintf(target, sizeof(target), FATAL_TARGET "/%u", i);
        client_t *fatal = send_request(&fleet, i % NODES, target);
        fixture_run_ms(fleet.fixture, 3);
        for (unsigned j = 0; j < NODES; j++) {
            g_snprintf(target, sizeof(target), "/g/p%u", j);
            clients[j] = send_request(&fleet, j, target);
        }
        await_status(&fleet, fatal);
        for (unsigned j = 0; j < NODES; j++)
            await_status(&fleet, clients[j]);
        fixture_run_ms(fleet.fixture, 150);
        replace_crashed(&fleet);
        await_all_synced(&fleet);
        for (unsigned j = 0; j < NODES; j++) {
            g_snprintf(target, sizeof(target), "/g/p%u", j);
            assert_int_equal(fetch_status(&fleet, (j + 1) % NODES, target), 200);
        }
    }
    sends_broken = ts_counter_value(TS_COUNTER_SENDS_BROKEN) - sends_broken;
    // more sends broke than those of the fatal requests
    assert_true(sends_broken > fleet.crashed + 4);
}

/* A node that joins later receives the quarantine entry and refuses the request too. */
static void test_new_node_receives_quarantine(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    unsigned crashed_first = 0;
    repeat_fatal_request(&fleet, FATAL_TARGET, &crashed_first);
    unsigned crashed = fleet.crashed;
    unsigned seed_port = (unsigned)atoi(strchr(fleet.nodes[0]->settings->peers, ':') + 1);
    // takes the array slot of the last node, which keeps running
    (void)add_node(&fleet, NODES - 1, seed_port);
    await_all_synced(&fleet);
    fixture_run_ms(fleet.fixture, 3000); // quarantines are compared once a second
    assert_int_equal(fetch_status(&fleet, NODES - 1, FATAL_TARGET), 503);
    fixture_run_ms(fleet.fixture, 100);
    replace_crashed(&fleet);
    assert_int_equal(fleet.crashed, crashed);
}

/*
 * Nodes that receive a suspect request at the same time try it one after the other, so that it
 * crashes at most one more backend.
 */
static void test_concurrent_attempts_are_serialized(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    assert_int_not_equal(fetch_status(&fleet, 0, FATAL_TARGET), 200);
    fixture_run_ms(fleet.fixture, 150);
    replace_crashed(&fleet);
    await_all_synced(&fleet);
    unsigned crashed_first = fleet.crashed;
    for (unsigned i = 0; i < 4; i++) {
        client_t *clients[NODES];
        for (unsigned j = 0; j < NODES; j++) {
            clients[j] = send_request(&fleet, j, FATAL_TARGET);
            fixture_run_ms(fleet.fixture, 4); // longer than a message between nodes takes here
        }
        for (unsigned j = 0; j < NODES; j++)
            assert_int_not_equal(await_status(&fleet, clients[j]), 200);
        fixture_run_ms(fleet.fixture, 150);
        replace_crashed(&fleet);
        await_all_synced(&fleet);
    }
    if (fleet.crashed > crashed_first + 1)
        print_error("%u backends crashed on the first attempt, %u in total\n", crashed_first,
                    fleet.crashed);
    assert_true(fleet.crashed <= crashed_first + 1);
}

/*
 * Backends that reset connections but stay alive: the request is not quarantined, and it is served
 * once they respond again.
 */
static void test_connection_resets_are_not_quarantined(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    for (unsigned i = 0; i < SHARDS; i++) {
        for (unsigned j = 0; j < REPLICAS; j++)
            fleet.searchers[i][j]->behaviour = LAB_TRUNCATES;
    }
    for (unsigned i = 0; i < 6; i++)
        assert_int_not_equal(fetch_status(&fleet, i % NODES, "/g/popular"), 200);
    for (unsigned i = 0; i < SHARDS; i++) {
        for (unsigned j = 0; j < REPLICAS; j++)
            fleet.searchers[i][j]->behaviour = LAB_ANSWERS;
    }
    fixture_run_ms(fleet.fixture, 2500); // until the backends are not avoided any more
    for (unsigned i = 0; i < NODES; i++) {
        assert_int_equal(fetch_status(&fleet, i, "/g/popular"), 200);
        assert_true(ts_quarantine_is_empty(fleet.nodes[i]->quarantine));
    }
}

/* Delay until the store has the entry of a restarted searcher. */
#define DISCOVERY_DELAY_MS 200
#define STEP_MS 5

/* The new incarnation listens before a node can check whether the old one is alive. */
static void restart_immediately(void *ctx, lab_searcher_t *searcher, const char *request_id)
{
    fleet_t *fleet = ctx;
    lab_searcher_restart(searcher);
    fleet->crashed++;
}

/* Registers the new incarnation of each searcher that restarted DISCOVERY_DELAY_MS ago. */
static void register_restarted(const fleet_t *fleet, unsigned restarted_for_ms[SHARDS][REPLICAS],
                               uint64_t registered_born_ms[SHARDS][REPLICAS])
{
    for (unsigned i = 0; i < SHARDS; i++) {
        for (unsigned j = 0; j < REPLICAS; j++) {
            const lab_searcher_t *searcher = fleet->searchers[i][j];
            restarted_for_ms[i][j] = searcher->born_ms == registered_born_ms[i][j]
                                         ? 0
                                         : restarted_for_ms[i][j] + STEP_MS;
            if (restarted_for_ms[i][j] < DISCOVERY_DELAY_MS)
                continue;
            char *key = g_strdup_printf("servers/%s", searcher->id);
            char *entry = lab_searcher_entry(searcher, false);
            lab_store_put(fleet->fixture->store, key, entry);
            registered_born_ms[i][j] = searcher->born_ms;
            g_free(entry);
            g_free(key);
        }
    }
}

/*
 * A backend that restarts before a node checks it: the check reaches the new incarnation and must
 * not take it for the old one. The request is contained once discovery reports the restart.
 */
static void test_new_incarnation_is_not_taken_for_the_old_one(void **state)
{
    static const lab_searcher_ops_t ops = {.on_crash = restart_immediately};
    fleet_t fleet = open_fleet(ROUTES);
    unsigned restarted_for_ms[SHARDS][REPLICAS] = {0};
    uint64_t registered_born_ms[SHARDS][REPLICAS];
    for (unsigned i = 0; i < SHARDS; i++) {
        for (unsigned j = 0; j < REPLICAS; j++) {
            fleet.searchers[i][j]->ops = &ops;
            fleet.searchers[i][j]->ctx = &fleet;
            registered_born_ms[i][j] = fleet.searchers[i][j]->born_ms;
        }
    }
    for (unsigned i = 0; i < 2 * ATTEMPTS; i++) {
        client_t *client = send_request(&fleet, i % NODES, FATAL_TARGET);
        for (unsigned waited = 0; waited < 600; waited += STEP_MS) {
            fixture_run_ms(fleet.fixture, STEP_MS);
            register_restarted(&fleet, restarted_for_ms, registered_born_ms);
        }
        assert_int_not_equal(await_status(&fleet, client), 200);
    }
    if (fleet.crashed > SHARDS + EXTRA_CRASHES_MAX)
        print_error("%u backends crashed\n", fleet.crashed);
    assert_true(fleet.crashed <= SHARDS + EXTRA_CRASHES_MAX);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_fatal_gather_request_is_contained),
        cmocka_unit_test(test_fatal_forwarded_request_is_contained),
        cmocka_unit_test(test_quarantined_request_is_refused_immediately),
        cmocka_unit_test(test_requests_in_flight_at_crashes_are_served),
        cmocka_unit_test(test_new_node_receives_quarantine),
        cmocka_unit_test(test_concurrent_attempts_are_serialized),
        cmocka_unit_test(test_new_incarnation_is_not_taken_for_the_old_one),
        cmocka_unit_test(test_connection_resets_are_not_quarantined),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
