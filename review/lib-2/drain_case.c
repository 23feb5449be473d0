/**
 * Runs the cases about a searcher that drains while a gateway does not follow the store:
 *   drain_case silent-at-rest|late-list|frozen-watcher  RECORD FOLDER
 * TROUBLE=0 leaves the disruption out. Exit code: 1 rule broken, 0 held, 2 could not run.
 *
 * Rule DRAIN: a request that a machine in touch sends on reaches a searcher later than drainMs
 * after the store acknowledged that it drains.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define DRAIN_MS 3000.0
#define CONTACT_MS 5000.0
/* A searcher that drains serves for drainMs and a little longer; one that leaves without a word
 * here many seconds longer. */
#define DRAINING_MS 8000
#define LEAVING_MS 12000
/* silent-at-rest: connections that have carried no call for this long go silent. */
#define REST_MS 5000.0
/* Shards of the route that gathers, as in the site. */
#define SHARDS 10

/* All machines start within 0.3 s of each other. */
#define START_GAP_MS 50

static bool has_trouble;
static bool is_list_case, is_freeze_case;
static searcher_t *leaver;
static double silent_ms;
static unsigned late_runs, late_runs_excused;
static double last_late_ms;

/* Whether the machine was undisturbed for contactMs. The store itself is never disturbed here. */
static bool is_in_touch(const gateway_t *gateway, double now_ms)
{
    if (silent_ms != 0 && now_ms - silent_ms < CONTACT_MS)
        return false; // NEWS-25: counts as a reset of the connections of all machines
    if (gateway->stopped_ms != 0 &&
        (gateway->continued_ms == 0 || now_ms - gateway->continued_ms < CONTACT_MS))
        return false;
    if (gateway->is_cut ||
        (gateway->cut_ended_ms != 0 && now_ms - gateway->cut_ended_ms < CONTACT_MS))
        return false;
    return now_ms - gateway->started_ms >= CONTACT_MS;
}

static void check_run(searcher_t *searcher, const char *id, int gateway, double now_ms)
{
    if (searcher->left_ms == 0)
        return;
    double since_ms = now_ms - searcher->left_ms;
    world_log("searcher %s runs %s, %.0f ms after it was acknowledged as draining", searcher->id,
              id, since_ms);
    if (since_ms <= DRAIN_MS)
        return;
    if (is_in_touch(&world_gateways[gateway], now_ms)) {
        late_runs++;
        last_late_ms = since_ms;
    } else {
        late_runs_excused++;
    }
}

static void put_config(void)
{
    GString *gather = g_string_new(NULL);
    GString *services = g_string_new(NULL);
    for (int i = 0; i < SHARDS; i++) {
        g_string_append_printf(gather, "%s\"roll-desk-%d\"", i ? "," : "", i);
        g_string_append_printf(services,
                               ",{\"name\":\"roll-desk-%d\",\"healthPath\":\"/health\","
                               "\"maxConnections\":41}",
                               i);
    }
    char *config = g_strdup_printf(
        "{\"version\":7,\"routes\":[{\"name\":\"r-card\",\"host\":\"cards.example\",\"pathPrefix\":"
        "\"/card/\",\"routeType\":\"idempotent\",\"timeoutMs\":15000,\"targetLatencyMs\":1000,"
        "\"priority\":2,\"service\":\"card-press\",\"maxAttempts\":2},{\"name\":\"r-roll\","
        "\"host\":"
        "\"cards.example\",\"pathPrefix\":\"/roll/"
        "\",\"routeType\":\"idempotent\",\"timeoutMs\":2000,"
        "\"targetLatencyMs\":120,\"priority\":2,\"gather\":[%s],\"maxAttempts\":2,\"topK\":5,"
        "\"minCoverage\":0.75}],\"services\":[{\"name\":\"card-press\",\"healthPath\":\"/health\","
        "\"maxConnections\":110}%s],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
        "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
        gather->str, services->str);
    (void)world_put("op/config", config);
    g_free(config);
    g_string_free(gather, TRUE);
    g_string_free(services, TRUE);
}

static void finish(void *arg)
{
    unsigned answered = 0, ok = 0;
    GPtrArray *requests = world_requests();
    for (guint i = 0; i < requests->len; i++) {
        const request_log_t *log = g_ptr_array_index(requests, i);
        answered += log->status > 0;
        ok += log->status == 200;
    }
    world_log("result: %u requests sent, %u answered, %u with 200; DRAIN: %u requests reached %s "
              "later than %.0f ms from machines in touch (the last after %.0f ms), %u from others",
              requests->len, answered, ok, late_runs, leaver->id, DRAIN_MS, last_late_ms,
              late_runs_excused);
    printf("%u late from machines in touch (last after %.0f ms), %u late from others, %u of %u "
           "requests answered 200\n",
           late_runs, last_late_ms, late_runs_excused, ok, requests->len);
    world_finish(requests->len == 0 || ok < requests->len / 2 ? 2 : late_runs > 0 ? 1 : 0);
}

static void drain(void *arg)
{
    world_drain(leaver, DRAINING_MS);
    world_after(9000, finish, NULL);
}

static void wake(void *arg)
{
    world_signal(arg, SIGCONT);
}

/* -- silent-at-rest: open connections to the store go silent; ten seconds later a gateway freezes.
 */

static void freeze(void *arg)
{
    gateway_t *watcher = world_watcher("hall-a");
    if (has_trouble) {
        world_signal(watcher, SIGSTOP);
        world_after(4000, wake, watcher);
    }
    world_after(100, drain, NULL);
}

static void silence(void *arg)
{
    if (has_trouble) {
        silent_ms = world_now_ms();
        unsigned count = world_silence_store_connections(REST_MS);
        world_log("%u open connections to the store have gone silent; new ones work", count);
    }
    world_after(10000, freeze, NULL);
}

/* -- late-list: a gateway starts again and is cut off from the store for a moment while it lists;
 * meanwhile a searcher leaves. */

#define CUT_MS 900

static void leave(void *arg)
{
    world_leave(leaver, LEAVING_MS);
    world_after(LEAVING_MS + 500, finish, NULL);
}

static void leave_soon(void *arg)
{
    world_after(5, leave, NULL);
}

static void start_again(void *arg)
{
    gateway_t *gateway = arg;
    world_cut_after_first_page(gateway, CUT_MS, leave_soon);
    world_start_gateway(gateway);
}

static void kill_one(void *arg)
{
    gateway_t *gateway = &world_gateways[2]; // the only one of its zone
    if (!has_trouble) {
        leave_soon(NULL);
        return;
    }
    world_signal(gateway, SIGKILL);
    world_after(500, start_again, gateway);
}

/* -- frozen-watcher: a zone's watcher freezes, a searcher drains, the other searchers of its shard
 * crash. */

#define COPIES 3
/* The same once more on another shard, as a follower that happens to probe the frozen watcher
 * within its first second follows the store in time. */
#define PATTERNS 3
#define PATTERN_MS 11000

static searcher_t *shards[SHARDS][COPIES]; /* the first of a shard drains, the others crash */
static searcher_t *other; /* changes its entry, so that all have just heard of the store */
static int pattern;

static void change_something(void *arg);

static void crash_others(void *arg)
{
    for (int i = 1; i < COPIES && has_trouble; i++)
        world_crash(shards[pattern][i]);
}

static void next_pattern(void *arg)
{
    pattern++;
    change_something(NULL);
}

static void drain_one(void *arg)
{
    leaver = shards[pattern][0];
    world_drain(leaver, DRAINING_MS);
    world_after(1500, crash_others, NULL);
    if (pattern + 1 < PATTERNS)
        world_after(PATTERN_MS, next_pattern, NULL);
    else
        world_after(9000, finish, NULL);
}

static void freeze_watcher(void *arg)
{
    if (has_trouble) {
        gateway_t *watcher = world_watcher("hall-a");
        world_signal(watcher, SIGSTOP);
        world_after(4000, wake, watcher);
    }
    world_after(2, drain_one, NULL);
}

static void change_something(void *arg)
{
    other->slots++;
    world_write_searcher(other);
    world_after(30, freeze_watcher, NULL);
}

static void add_shards(const char *const *zones)
{
    for (int i = 0; i < SHARDS; i++) {
        for (int j = 0; j < COPIES; j++) {
            char *service = g_strdup_printf("roll-desk-%d", i);
            shards[i][j] = world_add_searcher(service, zones[j], 5, 28);
        }
    }
    other = shards[SHARDS - 1][COPIES - 1];
    leaver = shards[0][0];
}

static void start_traffic(void *arg)
{
    if (!world_all_ready()) {
        fprintf(stderr, "the gateways are not ready\n");
        world_finish(2);
        return;
    }
    for (int i = 0; i < world_gateway_count; i++)
        world_start_traffic(&world_gateways[i], "cards.example",
                            is_freeze_case ? "/roll/" : "/card/", is_freeze_case ? 40 : 25,
                            is_freeze_case ? 2000 : 15000);
    if (is_list_case)
        world_after(8000, kill_one, NULL);
    else if (is_freeze_case)
        world_after(8000, change_something, NULL);
    else
        world_after(8000, silence, NULL);
}

static void start_one(void *arg)
{
    world_start_gateway(arg);
}

int main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    if (argc != 4)
        return 2;
    has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    is_freeze_case = strcmp(argv[1], "frozen-watcher") == 0;
    is_list_case = strcmp(argv[1], "late-list") == 0;
    world_open(argv[2], argv[3]);
    world_on_run(check_run);
    put_config();
    static const char *const zones[] = {"hall-a", "hall-b", "hall-c"};
    for (int i = 0; i < 9; i++) {
        searcher_t *searcher = world_add_searcher("card-press", zones[i % 3], 3, 60);
        if (i == (is_list_case ? 1 : 0))
            leaver = searcher; // in the zone of the gateway at issue
    }
    for (int i = 0; i < 60 && is_list_case; i++) // the list takes two pages of 50 items
        (void)world_add_searcher("volunteer-roster", zones[i % 3], 3, 60);
    if (is_freeze_case) {
        add_shards(zones);
        world_add_gateway("hall-a");
    }
    world_add_gateway("hall-a");
    world_add_gateway("hall-a");
    world_add_gateway("hall-b");
    world_add_gateway("hall-c");
    for (int i = 0; i < world_gateway_count; i++)
        world_after(1 + i * START_GAP_MS, start_one, &world_gateways[i]);
    world_after(10000, start_traffic, NULL); // traffic starts 10 s after the machines
    return world_run();
}
