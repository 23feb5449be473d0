/**
 * Searchers are added, respond wrongly or not at all, drain, leave and expire from the registry
 * while requests run, with random choices from fixed seeds. Guards against use after free (build
 * with SANITIZE=address), requests that never finish, and a count of active requests that does not
 * return to zero.
 */
#include "fixture.h"

#include <string.h>

#define SERVICES 3U
#define ROUNDS 40
#define REQUESTS 12
/* X-Deadline-Ms of the requests: none is active after this time. */
#define REQUEST_DEADLINE_MS 400
/* Longer than the 10 s after which the registry forgets removed searchers. */
#define CLOCK_STEP_US (11 * TS_US_PER_S)

static ts_time_us_t clock_offset_us;

static ts_time_us_t shifted_now_us(void)
{
    return uv_hrtime() / 1000ULL + clock_offset_us;
}

typedef struct churn {
    fixture_t *fixture;
    GRand *random;
    GPtrArray *searchers; /* of lab_searcher_t, registered in the store */
    unsigned searchers_created;
} churn_t;

static const char *service_name(unsigned index)
{
    static const char *const names[SERVICES] = {"a", "b", "c"};
    return names[index % SERVICES];
}

static void add_searcher(churn_t *churn, unsigned service)
{
    char id[16];
    g_snprintf(id, sizeof(id), "i-%u", churn->searchers_created);
    const char *zone = churn->searchers_created % 3 == 0 ? "z2" : "z1";
    churn->searchers_created++;
    lab_searcher_t *searcher =
        fixture_register_searcher(churn->fixture, id, service_name(service), zone);
    g_ptr_array_add(churn->searchers, searcher);
}

/*
 * Removes a random searcher from the store, in half of the cases after its draining state, and adds
 * another. The removed one leaves further requests unanswered.
 */
static void replace_searcher(churn_t *churn)
{
    guint index = (guint)g_rand_int_range(churn->random, 0, (gint32)churn->searchers->len);
    lab_searcher_t *searcher = g_ptr_array_index(churn->searchers, index);
    char *key = g_strdup_printf("servers/%s", searcher->id);
    if (g_rand_boolean(churn->random)) {
        fixture_set_draining(churn->fixture, searcher);
    }
    lab_store_delete(churn->fixture->store, key);
    searcher->behaviour = LAB_HANGS;
    g_ptr_array_remove_index_fast(churn->searchers, index);
    g_free(key);
    add_searcher(churn, (unsigned)g_rand_int(churn->random));
}

/* Two thirds of the searchers respond normally, the others get any behaviour, including that. */
static void randomize_behaviour(churn_t *churn)
{
    for (guint i = 0; i < churn->searchers->len; i++) {
        lab_searcher_t *searcher = g_ptr_array_index(churn->searchers, i);
        bool is_default = g_rand_int_range(churn->random, 0, 3) > 0;
        searcher->behaviour = is_default ? LAB_ANSWERS
                                         : (lab_searcher_behaviour_t)g_rand_int_range(
                                               churn->random, 0, LAB_CLOSES_AFTER + 1);
        searcher->delay_ms = (unsigned)g_rand_int_range(churn->random, 0, 40);
    }
}

/* Alternates between the gather route and the service route. */
static void start_requests(churn_t *churn, client_t **clients)
{
    for (int i = 0; i < REQUESTS; i++) {
        char text[200];
        clients[i] = client_connect(churn->fixture, churn->fixture->callers_port);
        g_snprintf(text, sizeof(text),
                   "GET /%c/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r%d\r\n"
                   "X-Deadline-Ms: " G_STRINGIFY(REQUEST_DEADLINE_MS) "\r\n\r\n",
                   i % 2 == 0 ? 'g' : 'p', g_rand_int_range(churn->random, 0, 1000000));
        client_send(clients[i], text);
    }
}

/* About a quarter of the clients disconnect early; the others wait for their responses. */
static void finish_requests(churn_t *churn, client_t **clients)
{
    fixture_run_ms(churn->fixture, (unsigned)g_rand_int_range(churn->random, 1, 60));
    for (int i = 0; i < REQUESTS; i++) {
        if (g_rand_int_range(churn->random, 0, 4) > 0) {
            assert_true(client_await_response(churn->fixture, clients[i]) != 0);
        }
        client_close(clients[i]);
    }
}

static void run_churn(uint32_t seed)
{
    churn_t churn = {.fixture = fixture_open(NULL),
                     .random = g_rand_new_with_seed(seed),
                     .searchers = g_ptr_array_new()};
    for (unsigned i = 0; i < 3 * SERVICES; i++) {
        add_searcher(&churn, i);
    }
    fixture_put_config(churn.fixture, 1,
                       GATHER_ROUTE_JSON("all", "/g/", 0.6) "," SERVICE_ROUTE_JSON(
                           "one", "/p/", "idempotent", "a", 1500));
    for (int round = 0; round < ROUNDS; round++) {
        client_t *clients[REQUESTS];
        randomize_behaviour(&churn);
        start_requests(&churn, clients);
        if (round % 3 == 0) {
            replace_searcher(&churn);
        }
        if (round % 5 == 0) {
            clock_offset_us += CLOCK_STEP_US; /* removed searchers and deadlines expire */
            ts_gateway_sweep(&churn.fixture->gateway);
        }
        finish_requests(&churn, clients);
        ts_gateway_sweep(&churn.fixture->gateway);
    }
    fixture_run_ms(churn.fixture, REQUEST_DEADLINE_MS);
    clock_offset_us += CLOCK_STEP_US;
    ts_gateway_sweep(&churn.fixture->gateway);
    fixture_run_ms(churn.fixture, REQUEST_DEADLINE_MS);
    assert_int_equal(churn.fixture->gateway.requests, 0);
    g_rand_free(churn.random);
    g_ptr_array_unref(churn.searchers);
}

static void test_searcher_churn(void **state)
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
        cmocka_unit_test(test_searcher_churn),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
