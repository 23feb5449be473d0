/**
 * A request that ends each back end that runs it, and comes again at any node: how many back ends
 * end, and what becomes of everybody else's requests. Several nodes with real messages between
 * them.
 */
#include "fixture.h"

#include <stdlib.h>
#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/peers.h"

#define NODES 3
#define SHARDS 3
#define REPLICAS 3
/* What a back end works on each request. */
#define WORK_MS 20
#define TRIES 8
/* A fatal request may end so many back ends beyond those of its first gather. */
#define ENDS_MORE 3
#define FATAL "/g/fatal"

typedef struct fleet {
    world_t *world;
    ts_gateway_t *nodes[NODES];
    unsigned ports[NODES];
    lab_searcher_t *searchers[SHARDS][REPLICAS]; /* the latest incarnations */
    unsigned starts;                             /* of searchers, for their ids */
    unsigned ended;
    unsigned requests;
} fleet_t;

static const char *const services[SHARDS] = {"a", "b", "c"};
static const char *const zones[] = {"z1", "z2"};

static void start_searcher(fleet_t *fleet, unsigned shard, unsigned replica)
{
    char id[16];
    g_snprintf(id, sizeof(id), "i-%u", fleet->starts++);
    lab_searcher_t *searcher =
        world_enter_searcher(fleet->world, id, services[shard], zones[replica % 2]);
    searcher->crashes_on = FATAL;
    searcher->delay_ms = WORK_MS;
    fleet->searchers[shard][replica] = searcher;
}

/* Counts what has ended since the last time, and starts another in the place of each. */
static void replace_ended(fleet_t *fleet)
{
    for (unsigned i = 0; i < SHARDS; i++) {
        for (unsigned j = 0; j < REPLICAS; j++) {
            if (!fleet->searchers[i][j]->has_ended)
                continue;
            char *key = g_strdup_printf("servers/%s", fleet->searchers[i][j]->id);
            lab_store_delete(fleet->world->store, key);
            g_free(key);
            fleet->ended++;
            start_searcher(fleet, i, j);
        }
    }
}

static void await_all(fleet_t *fleet)
{
    for (int i = 0; i < NODES; i++)
        assert_true(world_await_knowledge(fleet->world, fleet->nodes[i], 1, SHARDS * REPLICAS));
}

static ts_gateway_t *add_node(fleet_t *fleet, unsigned place, unsigned seed_port)
{
    char name[8];
    g_snprintf(name, sizeof(name), "n%u", place);
    unsigned peers_port = place == 0 ? seed_port : world_next_port();
    fleet->nodes[place] = world_add_gateway(fleet->world, name, zones[place % 2], peers_port,
                                            seed_port, fleet->world->store_port);
    fleet->ports[place] = (unsigned)atoi(strchr(fleet->nodes[place]->settings->callers, ':') + 1);
    return fleet->nodes[place];
}

static fleet_t open_fleet(const char *routes)
{
    fleet_t fleet = {.world = world_open(NULL)};
    unsigned seed_port = world_next_port();
    for (unsigned i = 0; i < SHARDS; i++) {
        for (unsigned j = 0; j < REPLICAS; j++)
            start_searcher(&fleet, i, j);
    }
    world_configure(fleet.world, 1, routes);
    for (unsigned i = 0; i < NODES; i++)
        add_node(&fleet, i, seed_port);
    await_all(&fleet);
    for (int i = 0; i < 300 && ts_peers_count(fleet.nodes[NODES - 1]->peers) < NODES; i++)
        world_run_ms(fleet.world, 10);
    world_run_ms(fleet.world, 1000); // views settle
    return fleet;
}

/* One request at a node, without waiting for its answer. */
static visit_t *ask(fleet_t *fleet, unsigned node, const char *target)
{
    visit_t *visit = visit_open(fleet->world, fleet->ports[node]);
    char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: q%u\r\n"
                                 "X-Deadline-Ms: 1400\r\n\r\n",
                                 target, fleet->requests++);
    visit_send(visit, text);
    g_free(text);
    return visit;
}

static unsigned await_status(fleet_t *fleet, visit_t *visit)
{
    unsigned status = visit_await(fleet->world, visit);
    visit_close(visit);
    return status;
}

static unsigned status_of(fleet_t *fleet, unsigned node, const char *target)
{
    return await_status(fleet, ask(fleet, node, target));
}

/* The fatal request comes again and again, at each node in turn; all is started anew between. */
static void try_fatal(fleet_t *fleet, const char *target, unsigned *first_ended)
{
    for (unsigned i = 0; i < TRIES; i++) {
        assert_int_not_equal(status_of(fleet, i % NODES, target), 200);
        world_run_ms(fleet->world, 150); // what was left behind ends too
        replace_ended(fleet);
        await_all(fleet);
        if (i == 0)
            *first_ended = fleet->ended;
    }
}

#define ROUTES                                                                                     \
    ROUTE_GATHER("all", "/g/", 0.9) "," ROUTE_ONE("one", "/g/fatal/one/", "idempotent", "a", 1500)

static void test_gather_is_contained(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    unsigned first = 0;
    try_fatal(&fleet, FATAL, &first);
    if (first > SHARDS + 1 || fleet.ended > SHARDS + ENDS_MORE)
        print_error("%u ended under the first try, %u in all\n", first, fleet.ended);
    assert_true(first >= SHARDS && first <= SHARDS + 1);
    assert_true(fleet.ended <= SHARDS + ENDS_MORE);
}

static void test_forwarded_request_is_contained(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    unsigned first = 0;
    try_fatal(&fleet, "/g/fatal/one/x", &first);
    if (fleet.ended > 1 + ENDS_MORE)
        print_error("%u ended\n", fleet.ended);
    assert_true(fleet.ended >= 1 && fleet.ended <= 1 + ENDS_MORE);
}

/* Once it is known nothing of it is sent, its caller is told at once that nothing ran. */
static void test_refusal_comes_at_once(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    unsigned first = 0;
    try_fatal(&fleet, FATAL, &first);
    unsigned ended = fleet.ended;
    ts_time_us_t begun_us = ts_clock_now_us();
    visit_t *visit = ask(&fleet, 1, FATAL);
    assert_int_equal(visit_await(fleet.world, visit), 503);
    assert_true(ts_clock_now_us() - begun_us < 60 * TS_US_PER_MS);
    assert_non_null(strstr(visit->answer.body->str, "quarantined"));
    assert_null(ts_http_message_find(&visit->answer, "Retry-After")); // coming back is of no use
    world_run_ms(fleet.world, 100);
    replace_ended(&fleet);
    assert_int_equal(fleet.ended, ended);
    GString *metrics = g_string_new(NULL); // what is held is listed, without what it asked for
    ts_gateway_write_metrics(fleet.nodes[1], metrics);
    assert_non_null(strstr(metrics->str, "tealspar_quarantine_held_seconds{digest=\""));
    assert_null(strstr(metrics->str, "fatal"));
    g_string_free(metrics, TRUE);
}

/*
 * Requests that are aboard when back ends end, again and again under other fatal requests, are
 * served when they come again.
 */
static void test_passengers_are_served(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    char target[24];
    int64_t broken = ts_counter_value(TS_COUNTER_SENDS_BROKEN);
    for (unsigned i = 0; i < 4; i++) {
        visit_t *visits[NODES];
        g_snprintf(target, sizeof(target), FATAL "/%u", i);
        visit_t *fatal = ask(&fleet, i % NODES, target);
        world_run_ms(fleet.world, 3);
        for (unsigned j = 0; j < NODES; j++) {
            g_snprintf(target, sizeof(target), "/g/p%u", j);
            visits[j] = ask(&fleet, j, target);
        }
        await_status(&fleet, fatal);
        for (unsigned j = 0; j < NODES; j++)
            await_status(&fleet, visits[j]);
        world_run_ms(fleet.world, 150);
        replace_ended(&fleet);
        await_all(&fleet);
        for (unsigned j = 0; j < NODES; j++) {
            g_snprintf(target, sizeof(target), "/g/p%u", j);
            assert_int_equal(status_of(&fleet, (j + 1) % NODES, target), 200);
        }
    }
    broken = ts_counter_value(TS_COUNTER_SENDS_BROKEN) - broken;
    assert_true(broken > fleet.ended + 4); // more broke than those of the fatal ones
}

/* A node that starts when all is over goes by the verdict too. */
static void test_starting_node_knows(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    unsigned first = 0;
    try_fatal(&fleet, FATAL, &first);
    unsigned ended = fleet.ended;
    unsigned seed_port = (unsigned)atoi(strchr(fleet.nodes[0]->settings->peers, ':') + 1);
    (void)add_node(&fleet, NODES - 1, seed_port); // in the place of the last one, which stays
    await_all(&fleet);
    world_run_ms(fleet.world, 3000); // it compares once a second
    assert_int_equal(status_of(&fleet, NODES - 1, FATAL), 503);
    world_run_ms(fleet.world, 100);
    replace_ended(&fleet);
    assert_int_equal(fleet.ended, ended);
}

/* Nodes that get it at the same moment try it one after the other: its ends stay as few. */
static void test_tries_at_once(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    assert_int_not_equal(status_of(&fleet, 0, FATAL), 200);
    world_run_ms(fleet.world, 150);
    replace_ended(&fleet);
    await_all(&fleet);
    unsigned first = fleet.ended;
    for (unsigned i = 0; i < 4; i++) {
        visit_t *visits[NODES];
        for (unsigned j = 0; j < NODES; j++) {
            visits[j] = ask(&fleet, j, FATAL);
            world_run_ms(fleet.world, 4); // more than a message between nodes takes here
        }
        for (unsigned j = 0; j < NODES; j++)
            assert_int_not_equal(await_status(&fleet, visits[j]), 200);
        world_run_ms(fleet.world, 150);
        replace_ended(&fleet);
        await_all(&fleet);
    }
    if (fleet.ended > first + 1)
        print_error("%u ended under the first try, %u in all\n", first, fleet.ended);
    assert_true(fleet.ended <= first + 1);
}

/* Back ends that reset connections and live: nobody is suspected, and tries go on as before. */
static void test_resets_speak_against_nobody(void **state)
{
    fleet_t fleet = open_fleet(ROUTES);
    for (unsigned i = 0; i < SHARDS; i++) {
        for (unsigned j = 0; j < REPLICAS; j++)
            fleet.searchers[i][j]->behaviour = LAB_BREAKS_OFF;
    }
    for (unsigned i = 0; i < 6; i++)
        assert_int_not_equal(status_of(&fleet, i % NODES, "/g/popular"), 200);
    for (unsigned i = 0; i < SHARDS; i++) {
        for (unsigned j = 0; j < REPLICAS; j++)
            fleet.searchers[i][j]->behaviour = LAB_ANSWERS;
    }
    world_run_ms(fleet.world, 2500); // they are avoided no longer
    for (unsigned i = 0; i < NODES; i++) {
        assert_int_equal(status_of(&fleet, i, "/g/popular"), 200);
        assert_true(ts_quarantine_is_empty(fleet.nodes[i]->quarantine));
    }
}

/* Until discovery tells of the next life of a back end. */
#define TOLD_MS 200
#define STEP_MS 5

/* The next life listens at its address before anybody can look whether the one before lives. */
static void restart_at_once(void *ctx, lab_searcher_t *searcher, const char *request_id)
{
    fleet_t *fleet = ctx;
    lab_searcher_restart(searcher);
    fleet->ended++;
}

/* Each back end that has been back for a while is entered as its next life. */
static void enter_next_lives(const fleet_t *fleet, unsigned since_ms[SHARDS][REPLICAS],
                             uint64_t told_ms[SHARDS][REPLICAS])
{
    for (unsigned i = 0; i < SHARDS; i++) {
        for (unsigned j = 0; j < REPLICAS; j++) {
            const lab_searcher_t *searcher = fleet->searchers[i][j];
            since_ms[i][j] = searcher->born_ms == told_ms[i][j] ? 0 : since_ms[i][j] + STEP_MS;
            if (since_ms[i][j] < TOLD_MS)
                continue;
            char *key = g_strdup_printf("servers/%s", searcher->id);
            char *entry = lab_searcher_entry(searcher, false);
            lab_store_put(fleet->world->store, key, entry);
            told_ms[i][j] = searcher->born_ms;
            g_free(entry);
            g_free(key);
        }
    }
}

/*
 * Back ends that are back before anybody looks whether they live: what a check meets there is their
 * next life, and the request is contained all the same, once discovery has told of that.
 */
static void test_next_life_is_not_taken_for_the_one_before(void **state)
{
    static const lab_searcher_ops_t ops = {.ended = restart_at_once};
    fleet_t fleet = open_fleet(ROUTES);
    unsigned since_ms[SHARDS][REPLICAS] = {0};
    uint64_t told_ms[SHARDS][REPLICAS];
    for (unsigned i = 0; i < SHARDS; i++) {
        for (unsigned j = 0; j < REPLICAS; j++) {
            fleet.searchers[i][j]->ops = &ops;
            fleet.searchers[i][j]->ctx = &fleet;
            told_ms[i][j] = fleet.searchers[i][j]->born_ms;
        }
    }
    for (unsigned i = 0; i < 2 * TRIES; i++) {
        visit_t *visit = ask(&fleet, i % NODES, FATAL);
        for (unsigned waited = 0; waited < 600; waited += STEP_MS) { // while it runs and after it
            world_run_ms(fleet.world, STEP_MS);
            enter_next_lives(&fleet, since_ms, told_ms);
        }
        assert_int_not_equal(await_status(&fleet, visit), 200);
    }
    if (fleet.ended > SHARDS + ENDS_MORE)
        print_error("%u ended\n", fleet.ended);
    assert_true(fleet.ended <= SHARDS + ENDS_MORE);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_gather_is_contained),
        cmocka_unit_test(test_forwarded_request_is_contained),
        cmocka_unit_test(test_refusal_comes_at_once),
        cmocka_unit_test(test_passengers_are_served),
        cmocka_unit_test(test_starting_node_knows),
        cmocka_unit_test(test_tries_at_once),
        cmocka_unit_test(test_next_life_is_not_taken_for_the_one_before),
        cmocka_unit_test(test_resets_speak_against_nobody),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
