/**
 * Searchers that come, misbehave, drain, go and are forgotten while requests run, by fixed seeds:
 * no memory is used after it was freed (run it with SANITIZE=address), every request ends, and
 * counts return to zero.
 */
#include "fixture.h"

#include <string.h>

#define SERVICES 3U
#define ROUNDS 40
#define REQUESTS 12
#define LEFT_MAX 400
#define JUMP_US (11 * TS_US_PER_S)

static ts_time_us_t clock_offset_us;

static ts_time_us_t shifted_now_us(void)
{
    return uv_hrtime() / 1000ULL + clock_offset_us;
}

typedef struct churn {
    world_t *world;
    GRand *random;
    GPtrArray *searchers; /* of lab_searcher_t that are listed */
    unsigned made;
} churn_t;

static const char *service_name(unsigned index)
{
    static const char *const names[SERVICES] = {"a", "b", "c"};
    return names[index % SERVICES];
}

static void add_searcher(churn_t *churn, unsigned service)
{
    char id[16];
    g_snprintf(id, sizeof(id), "i-%u", churn->made);
    const char *zone = churn->made % 3 == 0 ? "z2" : "z1";
    churn->made++;
    lab_searcher_t *searcher = world_enter_searcher(churn->world, id, service_name(service), zone);
    g_ptr_array_add(churn->searchers, searcher);
}

static void remove_searcher(churn_t *churn)
{
    guint index = (guint)g_rand_int_range(churn->random, 0, (gint32)churn->searchers->len);
    lab_searcher_t *searcher = g_ptr_array_index(churn->searchers, index);
    char *key = g_strdup_printf("servers/%s", searcher->id);
    if (g_rand_boolean(churn->random)) {
        world_set_draining(churn->world, searcher);
    }
    lab_store_delete(churn->world->store, key);
    searcher->behaviour = LAB_HANGS;
    g_ptr_array_remove_index_fast(churn->searchers, index);
    g_free(key);
    add_searcher(churn, (unsigned)g_rand_int(churn->random));
}

static void misbehave(churn_t *churn)
{
    for (guint i = 0; i < churn->searchers->len; i++) {
        lab_searcher_t *searcher = g_ptr_array_index(churn->searchers, i);
        bool is_good = g_rand_int_range(churn->random, 0, 3) > 0;
        searcher->behaviour =
            is_good ? LAB_ANSWERS
                    : (lab_behaviour_t)g_rand_int_range(churn->random, 0, LAB_CLOSES_AFTER + 1);
        searcher->delay_ms = (unsigned)g_rand_int_range(churn->random, 0, 40);
    }
}

static void send_requests(churn_t *churn, visit_t **visits)
{
    for (int i = 0; i < REQUESTS; i++) {
        char text[200];
        visits[i] = visit_open(churn->world, churn->world->callers_port);
        g_snprintf(text, sizeof(text),
                   "GET /%c/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r%d\r\n"
                   "X-Deadline-Ms: 400\r\n\r\n",
                   i % 2 == 0 ? 'g' : 'p', g_rand_int_range(churn->random, 0, 1000000));
        visit_send(visits[i], text);
    }
}

/* Some callers leave, the others wait for their answers. */
static void end_requests(churn_t *churn, visit_t **visits)
{
    world_run_ms(churn->world, (unsigned)g_rand_int_range(churn->random, 1, 60));
    for (int i = 0; i < REQUESTS; i++) {
        if (g_rand_int_range(churn->random, 0, 4) > 0) {
            assert_true(visit_await(churn->world, visits[i]) != 0);
        }
        visit_close(visits[i]);
    }
}

static void run_churn(uint32_t seed)
{
    churn_t churn = {.world = world_open(NULL),
                     .random = g_rand_new_with_seed(seed),
                     .searchers = g_ptr_array_new()};
    for (unsigned i = 0; i < 3 * SERVICES; i++) {
        add_searcher(&churn, i);
    }
    world_configure(
        churn.world, 1,
        ROUTE_GATHER("all", "/g/", 0.6) "," ROUTE_ONE("one", "/p/", "idempotent", "a", 1500));
    for (int round = 0; round < ROUNDS; round++) {
        visit_t *visits[REQUESTS];
        misbehave(&churn);
        send_requests(&churn, visits);
        if (round % 3 == 0) {
            remove_searcher(&churn);
        }
        if (round % 5 == 0) {
            clock_offset_us += JUMP_US; /* what has left is forgotten; deadlines pass */
            ts_gateway_sweep(&churn.world->gateway);
        }
        end_requests(&churn, visits);
        ts_gateway_sweep(&churn.world->gateway);
    }
    world_run_ms(churn.world, LEFT_MAX);
    clock_offset_us += JUMP_US;
    ts_gateway_sweep(&churn.world->gateway);
    world_run_ms(churn.world, LEFT_MAX);
    assert_int_equal(churn.world->gateway.requests, 0);
    g_rand_free(churn.random);
    g_ptr_array_unref(churn.searchers);
}

static void test_churn(void **state)
{
    ts_clock_set_source(shifted_now_us, NULL);
    for (uint32_t seed = 1; seed <= 3; seed++) {
        run_churn(seed);
    }
    ts_clock_set_source(NULL, NULL);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_churn),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
