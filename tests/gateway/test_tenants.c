/** Requests with keys: who is let in, what back ends see, and keys that are taken away. */
#include "fixture.h"

#include <stdlib.h>
#include <string.h>

#include "tealspar/counters.h"

#define OPEN_ROUTE                                                                                 \
    "{\"name\":\"open\",\"host\":\"h.example\",\"pathPrefix\":\"/open/\","                         \
    "\"routeType\":\"idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":200,\"priority\":1,"      \
    "\"service\":\"a\",\"maxAttempts\":2,\"authExempt\":true}"
#define ROUTES ROUTE_ONE("one", "/p/", "idempotent", "a", 3000) "," OPEN_ROUTE
#define TENANT(name, keys) "{\"name\":\"" name "\",\"apiKeys\":[" keys "],\"priority\":0}"

static void configure(world_t *world, unsigned version, const char *tenants)
{
    char *text = g_strdup_printf("{\"version\":%u,\"routes\":[" ROUTES "],\"services\":[],"
                                 "\"tenants\":[%s]}",
                                 version, tenants);
    lab_store_put(world->store, "op/config", text);
    g_free(text);
    world_await_version(world, version);
}

static world_t *open_world(const char *settings, lab_searcher_t **searcher)
{
    world_t *world = world_open(settings);
    *searcher = world_add_searcher(world, "i-1", "a", "z1");
    configure(world, 1, TENANT("red", "\"red-1\",\"red-2\"") "," TENANT("blue", "\"blue-1\""));
    return world;
}

/* Sends a request with the further fields; returns the status, and the visit. */
static unsigned ask(world_t *world, const char *target, const char *fields, visit_t **visit)
{
    *visit = visit_open(world, world->callers_port);
    char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                                 "X-Deadline-Ms: 2500\r\n%s\r\n",
                                 target, fields);
    visit_send(*visit, text);
    g_free(text);
    return visit_await(world, *visit);
}

static unsigned status_of(world_t *world, const char *target, const char *fields)
{
    visit_t *visit = NULL;
    unsigned status = ask(world, target, fields, &visit);
    visit_close(visit);
    return status;
}

static unsigned count_fields(const char *head, const char *name)
{
    char **lines = g_strsplit(head, "\r\n", -1);
    unsigned n = 0;
    for (unsigned i = 0; lines[i] != NULL; i++) {
        size_t length = strlen(name);
        n += g_ascii_strncasecmp(lines[i], name, length) == 0 && lines[i][length] == ':';
    }
    g_strfreev(lines);
    return n;
}

static const char *last_head(const lab_searcher_t *searcher)
{
    return g_ptr_array_index(searcher->heads, searcher->heads->len - 1);
}

/* What a caller writes about its tenant never passes, however it is spelled. */
static void test_back_end_sees_the_tenant_and_no_key(void **state)
{
    static const char *const forged[] = {
        "",
        "X-Tenant: blue\r\n",
        "x-tenant: blue\r\nX-TENANT: green\r\n",
        "Connection: X-Tenant\r\nX-Tenant: blue\r\n",
        "Connection: Authorization\r\n",
    };
    lab_searcher_t *searcher = NULL;
    world_t *world = open_world(NULL, &searcher);
    for (size_t i = 0; i < G_N_ELEMENTS(forged); i++) {
        char *fields = g_strdup_printf("authorization: bearer red-2\r\n%s", forged[i]);
        assert_int_equal(status_of(world, "/p/x", fields), 200);
        g_free(fields);
        const char *head = last_head(searcher);
        assert_int_equal(count_fields(head, "X-Tenant"), 1);
        assert_non_null(strstr(head, "\r\nX-Tenant: red\r\n"));
        assert_int_equal(count_fields(head, "Authorization"), 0);
        assert_null(strstr(head, "red-2"));
    }
    assert_int_equal(
        status_of(world, "/open/x", "X-tenant: blue\r\nAuthorization: Bearer red-1\r\n"), 200);
    assert_int_equal(count_fields(last_head(searcher), "X-Tenant"), 0);
    assert_int_equal(count_fields(last_head(searcher), "Authorization"), 0);
}

static void test_who_is_not_let_in(void **state)
{
    static const char *const fields[] = {
        "",
        "Authorization: \r\n",
        "Authorization: Bearer\r\n",
        "Authorization: Bearer \r\n",
        "Authorization: Bearerred-1\r\n",
        "Authorization: Basic red-1\r\n",
        "Authorization: red-1\r\n",
        "Authorization: Bearer unknown\r\n",
        "Authorization: Bearer red\r\n",
        "Authorization: Bearer RED-1\r\n",
        "Authorization: Bearer red-1x\r\n",
        "Authorization: Bearer red-1, blue-1\r\n",
        "Authorization: Bearer red-1 red-1\r\n",
        "Authorization: Bearer red-1;\r\n",
        "Authorization: Bearer red-1\r\nAuthorization: Bearer red-1\r\n",
        "Authorization: Bearer red-1\r\nauthorization: Bearer unknown\r\n",
        "X-Authorization: Bearer red-1\r\nX-Tenant: red\r\n",
    };
    lab_searcher_t *searcher = NULL;
    world_t *world = open_world(NULL, &searcher);
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        visit_t *visit = NULL;
        unsigned status = ask(world, "/p/x", fields[i], &visit);
        if (status != 401)
            print_error("%zu: %u\n%s\n", i, status, fields[i]);
        assert_int_equal(status, 401);
        assert_string_equal(ts_http_message_find(&visit->answer, "WWW-Authenticate"), "Bearer");
        assert_null(ts_http_message_find(&visit->answer, "Retry-After"));
        visit_close(visit);
    }
    assert_int_equal(searcher->runs, 0);
    assert_int_equal(status_of(world, "/p/x", "Authorization:Bearer   red-1  \r\n"), 200);
    assert_int_equal(status_of(world, "/none/x", "Authorization: Bearer unknown\r\n"), 404);
}

/* A connection that stays open asks anew with each request. */
static void test_key_that_is_taken_away(void **state)
{
    lab_searcher_t *searcher = NULL;
    visit_t *visit = NULL;
    world_t *world = open_world(NULL, &searcher);
    assert_int_equal(ask(world, "/p/x", "Authorization: Bearer red-1\r\n", &visit), 200);
    configure(world, 2, TENANT("red", "\"red-2\"") "," TENANT("blue", "\"blue-1\",\"red-1\""));
    visit_send(visit, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r2\r\n"
                      "Authorization: Bearer red-1\r\n\r\n");
    assert_int_equal(visit_await(world, visit), 200);
    assert_non_null(strstr(last_head(searcher), "\r\nX-Tenant: blue\r\n")); // moved
    configure(world, 3, TENANT("red", "") "," TENANT("blue", "\"blue-1\""));
    visit_send(visit, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r3\r\n"
                      "Authorization: Bearer red-1\r\n\r\n");
    assert_int_equal(visit_await(world, visit), 401);
    assert_int_equal(status_of(world, "/p/x", "Authorization: Bearer red-2\r\n"), 401);
    configure(world, 4, TENANT("red", "\"red-2\""));
    assert_int_equal(status_of(world, "/p/x", "Authorization: Bearer red-2\r\n"), 200);
}

/* No second send is made once the key is gone; with it, one is made. */
static void check_second_send(bool is_taken_away)
{
    lab_searcher_t *first = NULL;
    world_t *world = open_world("policy: naive", &first); // no second send for lateness alone
    lab_searcher_t *second = world_add_searcher(world, "i-2", "a", "z2");
    first->delay_ms = 600;
    first->behaviour = LAB_BREAKS_OFF;
    visit_t *visit = visit_open(world, world->callers_port);
    visit_send(visit, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                      "X-Deadline-Ms: 2500\r\nAuthorization: Bearer red-1\r\n\r\n");
    assert_true(world_run_until(world, &first->runs, 1));
    configure(world, 2, is_taken_away ? TENANT("red", "\"red-2\"") : TENANT("red", "\"red-1\""));
    unsigned status = visit_await(world, visit);
    assert_int_equal(status, is_taken_away ? 502 : 200);
    assert_int_equal(second->runs, is_taken_away ? 0 : 1);
    if (!is_taken_away)
        assert_int_equal(count_fields(last_head(second), "X-Tenant"), 1);
}

static void test_second_send_after_the_key_is_gone(void **state)
{
    check_second_send(true);
}

static void test_second_send_names_the_tenant(void **state)
{
    check_second_send(false);
}

/* A request that waits for a free back end is refused as soon as its key is gone: nothing ran. */
static void test_waiting_request_whose_key_is_taken_away(void **state)
{
    world_t *world = world_open(NULL);
    lab_searcher_t *searcher = world_enter_searcher(world, "i-1", "b", "z1");
    configure(world, 1, TENANT("red", "\"red-1\""));
    visit_t *visit = visit_open(world, world->callers_port);
    visit_send(visit, "GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                      "X-Deadline-Ms: 100000\r\nAuthorization: Bearer red-1\r\n\r\n");
    world_run_ms(world, 10);
    assert_int_equal(world->gateway.requests, 1);
    configure(world, 2, TENANT("red", "\"red-2\""));
    assert_int_equal(visit_await(world, visit), 401);
    assert_int_equal(searcher->runs, 0);
}

/* With nothing confirmed for longer than allowed, keys are trusted or not as the settings say. */
static void check_unconfirmed(const char *settings, unsigned expected)
{
    lab_searcher_t *searcher = NULL;
    visit_t *visit = NULL;
    world_t *world = open_world(settings, &searcher);
    lab_store_set_mode(world->store, LAB_STORE_SILENT);
    world_run_ms(world, 700);
    assert_int_equal(ask(world, "/p/x", "Authorization: Bearer red-1\r\n", &visit), expected);
    if (expected == 503)
        assert_non_null(ts_http_message_find(&visit->answer, "Retry-After"));
    assert_int_equal(status_of(world, "/open/x", ""), 200);
    assert_int_equal(status_of(world, "/p/x", "Authorization: Bearer unknown\r\n"), 401);
}

static void test_unconfirmed_keys_fail_closed(void **state)
{
    check_unconfirmed("revoke_ms: 300\nrevoke_fail_closed: true", 503);
}

static void test_unconfirmed_keys_go_on(void **state)
{
    check_unconfirmed("revoke_ms: 300\nrevoke_fail_closed: false", 200);
}

/* Keys stand in no metric, answer or line; what became of requests stands there by tenant. */
static void test_keys_are_shown_nowhere(void **state)
{
    lab_searcher_t *searcher = NULL;
    visit_t *visit = NULL;
    world_t *world = open_world(NULL, &searcher);
    assert_int_equal(ask(world, "/p/x", "Authorization: Bearer red-1\r\n", &visit), 200);
    assert_null(strstr(visit->received->str, "red-1"));
    assert_int_equal(ask(world, "/p/x", "Authorization: Bearer no-key-at-all\r\n", &visit), 401);
    assert_null(strstr(visit->received->str, "no-key-at-all"));
    GString *metrics = g_string_new(NULL);
    ts_gateway_write_metrics(&world->gateway, metrics);
    assert_null(strstr(metrics->str, "red-1"));
    assert_null(strstr(metrics->str, "no-key-at-all"));
    assert_non_null(strstr(metrics->str, "requests_total{tenant=\"red\",outcome=\"served\"}"));
    g_string_free(metrics, TRUE);
}

/* A gateway that the service does not serve hears from its peers that a key is gone. */
static void test_key_is_taken_away_through_a_peer(void **state)
{
    lab_searcher_t *searcher = NULL;
    world_t *world = open_world(NULL, &searcher);
    unsigned ports[2] = {world_next_port(), world_next_port()};
    ts_gateway_t *informed =
        world_add_gateway(world, "n0", "z1", ports[0], ports[1], world->store_port);
    ts_gateway_t *cut = world_add_gateway(world, "n1", "z1", ports[1], ports[0], 0);
    assert_true(world_await_knowledge(world, informed, 1, 1));
    assert_true(world_await_knowledge(world, cut, 1, 1));
    configure(world, 2, TENANT("red", "\"red-2\""));
    assert_true(world_await_knowledge(world, cut, 2, 1));
    unsigned port = (unsigned)atoi(strchr(cut->settings->callers, ':') + 1);
    static const char *const keys[] = {"red-1", "red-2"};
    static const unsigned statuses[] = {401, 200};
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        visit_t *visit = visit_open(world, port);
        char *text = g_strdup_printf("GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n"
                                     "Authorization: Bearer %s\r\n\r\n",
                                     keys[i]);
        visit_send(visit, text);
        g_free(text);
        assert_int_equal(visit_await(world, visit), statuses[i]);
    }
}

/* A configuration whose tenants contradict themselves changes nothing. */
static void test_contradicting_tenants_are_refused_whole(void **state)
{
    lab_searcher_t *searcher = NULL;
    world_t *world = open_world(NULL, &searcher);
    int64_t refused = ts_counter_value(TS_COUNTER_CONFIG_REFUSED);
    lab_store_put(world->store, "op/config",
                  "{\"version\":2,\"routes\":[" ROUTES "],\"services\":[],\"tenants\":[" TENANT(
                      "red", "\"k\"") "," TENANT("blue", "\"k\"") "]}");
    world_run_ms(world, 300);
    assert_int_equal(ts_counter_value(TS_COUNTER_CONFIG_REFUSED) - refused, 1);
    assert_int_equal(status_of(world, "/p/x", "Authorization: Bearer red-1\r\n"), 200);
    assert_int_equal(status_of(world, "/p/x", "Authorization: Bearer k\r\n"), 401);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_back_end_sees_the_tenant_and_no_key),
        cmocka_unit_test(test_who_is_not_let_in),
        cmocka_unit_test(test_key_that_is_taken_away),
        cmocka_unit_test(test_second_send_after_the_key_is_gone),
        cmocka_unit_test(test_second_send_names_the_tenant),
        cmocka_unit_test(test_waiting_request_whose_key_is_taken_away),
        cmocka_unit_test(test_unconfirmed_keys_fail_closed),
        cmocka_unit_test(test_unconfirmed_keys_go_on),
        cmocka_unit_test(test_keys_are_shown_nowhere),
        cmocka_unit_test(test_key_is_taken_away_through_a_peer),
        cmocka_unit_test(test_contradicting_tenants_are_refused_whole),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
