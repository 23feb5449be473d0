/** A gateway with stand-ins around it. */
#include "fixture.h"

#include <string.h>

#include "ports.h"
#include "tealspar/log.h"

#define WAIT_MS 5000

unsigned world_next_port(void)
{
    unsigned port = lab_next_port("127.0.0.1");
    assert_int_not_equal(port, 0);
    return port;
}

world_t *world_open(const char *settings)
{
    world_t *world = g_new0(world_t, 1);
    ts_log_open("test", TS_LOG_TEXT, G_LOG_LEVEL_CRITICAL);
    uv_loop_init(&world->loop);
    unsigned store_port = 0;
    for (int i = 0; i < 20 && world->store == NULL; i++) {
        store_port = world_next_port();
        world->store = lab_store_open(&world->loop, store_port);
    }
    assert_non_null(world->store);
    world->callers_port = world_next_port();
    world->ready_port = world_next_port();
    world->store_port = store_port;
    bool has_budget = settings != NULL && strstr(settings, "retry_ratio") != NULL;
    char *text = g_strdup_printf("name: test\nzone: z1\ndialect: platform\n"
                                 "callers: 127.0.0.1:%u\nready: 127.0.0.1:%u\n"
                                 "store: 127.0.0.1:%u\n"
                                 "zones: [{zone: z1, region: r1}, {zone: z1b, region: r1}, "
                                 "{zone: z2, region: r2}]\n"
                                 "%s%s\n",
                                 world->callers_port, world->ready_port, store_port,
                                 has_budget ? "" : "retry_ratio: 0.2\nretry_slack: 600\n",
                                 settings == NULL ? "" : settings);
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_gateway_settings_t *loaded = ts_gateway_settings_load(text, strlen(text), &problems);
    assert_non_null(loaded);
    ts_problems_clear(&problems);
    g_free(text);
    assert_int_equal(ts_gateway_open(&world->gateway, &world->loop, loaded), TS_OK);
    return world;
}

ts_gateway_t *world_open_gateway(world_t *world, const char *settings)
{
    ts_gateway_t *gateway = g_new0(ts_gateway_t, 1);
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_gateway_settings_t *loaded = ts_gateway_settings_load(settings, strlen(settings), &problems);
    assert_non_null(loaded);
    ts_problems_clear(&problems);
    assert_int_equal(ts_gateway_open(gateway, &world->loop, loaded), TS_OK);
    return gateway;
}

ts_gateway_t *world_add_gateway(world_t *world, const char *name, const char *zone,
                                unsigned peers_port, unsigned seed_port, unsigned store_port)
{
    char *text = g_strdup_printf("name: %s\nzone: %s\ndialect: platform\n"
                                 "callers: 127.0.0.1:%u\nready: 127.0.0.1:%u\n"
                                 "peers: 127.0.0.1:%u\nseeds: ['127.0.0.1:%u']\n"
                                 "store: 127.0.0.1:%u\n"
                                 "zones: [{zone: z1, region: r1}, {zone: z2, region: r2}]\n"
                                 "retry_ratio: 0.2\nretry_slack: 60\n",
                                 name, zone, world_next_port(), world_next_port(), peers_port,
                                 seed_port, store_port == 0 ? 1 : store_port);
    ts_gateway_t *gateway = world_open_gateway(world, text);
    g_free(text);
    return gateway;
}

bool world_await_knowledge(world_t *world, const ts_gateway_t *gateway, uint64_t version,
                           unsigned listed)
{
    for (int i = 0; i < WAIT_MS / 10; i++) {
        if (gateway->traffic != NULL && gateway->traffic->version >= version &&
            ts_registry_listed(gateway->registry) == listed) {
            return true;
        }
        world_run_ms(world, 10);
    }
    return false;
}

void world_configure(world_t *world, unsigned version, const char *routes)
{
    char *text = g_strdup_printf("{\"version\":%u,\"routes\":[%s],\"services\":[],\"limits\":"
                                 "{\"maxHeaderBytes\":4096,\"maxBodyBytes\":65536,"
                                 "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
                                 version, routes);
    lab_store_put(world->store, "op/config", text);
    g_free(text);
    world_await_version(world, version);
}

void world_await_version(world_t *world, uint64_t version)
{
    for (int i = 0; i < WAIT_MS / 10; i++) {
        if (world->gateway.traffic != NULL && world->gateway.traffic->version >= version) {
            return;
        }
        world_run_ms(world, 10);
    }
}

static void enter(world_t *world, const lab_searcher_t *searcher, bool is_draining)
{
    char *key = g_strdup_printf("servers/%s", searcher->id);
    char *entry = lab_searcher_entry(searcher, is_draining);
    lab_store_put(world->store, key, entry);
    g_free(entry);
    g_free(key);
}

lab_searcher_t *world_enter_searcher(world_t *world, const char *id, const char *service,
                                     const char *zone)
{
    lab_searcher_t *searcher = lab_searcher_open(&world->loop, id, service, zone);
    enter(world, searcher, false);
    return searcher;
}

lab_searcher_t *world_add_searcher(world_t *world, const char *id, const char *service,
                                   const char *zone)
{
    lab_searcher_t *searcher = world_enter_searcher(world, id, service, zone);
    world_await_listed(world, ts_registry_listed(world->gateway.registry) + 1);
    return searcher;
}

void world_enter_existing(world_t *world, const lab_searcher_t *searcher)
{
    unsigned listed = ts_registry_listed(world->gateway.registry);
    enter(world, searcher, false);
    world_await_listed(world, listed + 1);
}

void world_await_listed(world_t *world, unsigned listed)
{
    for (int i = 0; i < WAIT_MS / 10; i++) {
        if (ts_registry_listed(world->gateway.registry) == listed) {
            return;
        }
        world_run_ms(world, 10);
    }
}

void world_set_draining(world_t *world, const lab_searcher_t *searcher)
{
    enter(world, searcher, true);
}

static void stop_loop(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

static void free_timer(uv_handle_t *handle)
{
    g_free(handle);
}

void world_run_ms(world_t *world, unsigned span_ms)
{
    uv_timer_t *timer = g_new0(uv_timer_t, 1);
    uv_timer_init(&world->loop, timer);
    uv_timer_start(timer, stop_loop, span_ms, 0);
    uv_run(&world->loop, UV_RUN_DEFAULT);
    uv_close((uv_handle_t *)timer, free_timer);
}

bool world_run_until(world_t *world, const unsigned *value, unsigned least)
{
    for (int i = 0; i < WAIT_MS / 5 && *value < least; i++) {
        world_run_ms(world, 5);
    }
    return *value >= least;
}

static void allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[65536];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void read_bytes(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    visit_t *visit = stream->data;
    if (length < 0) {
        visit->is_ended = true;
        visit->was_reset = length != UV_EOF;
        return;
    }
    g_string_append_len(visit->received, buffer->base, length);
    (void)ts_http_message_feed(&visit->answer, buffer->base, (size_t)length);
}

static void connected(uv_connect_t *request, int status)
{
    visit_t *visit = request->data;
    visit->is_open = status == 0;
    uv_read_start((uv_stream_t *)&visit->socket, allocate, read_bytes);
}

visit_t *visit_open(world_t *world, unsigned port)
{
    visit_t *visit = g_new0(visit_t, 1);
    struct sockaddr_in address;
    visit->received = g_string_new(NULL);
    ts_http_message_init(&visit->answer, false, 65536, 1U << 20);
    uv_ip4_addr("127.0.0.1", (int)port, &address);
    uv_tcp_init(&world->loop, &visit->socket);
    visit->socket.data = visit;
    visit->connecting.data = visit;
    assert_int_equal(uv_tcp_connect(&visit->connecting, &visit->socket,
                                    (const struct sockaddr *)&address, connected),
                     0);
    for (int i = 0; i < WAIT_MS / 2 && !visit->is_open; i++) {
        world_run_ms(world, 2);
    }
    assert_true(visit->is_open);
    return visit;
}

void visit_send(visit_t *visit, const char *bytes)
{
    uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned)strlen(bytes));
    assert_int_equal(uv_try_write((uv_stream_t *)&visit->socket, &buffer, 1), (int)strlen(bytes));
}

unsigned visit_await(world_t *world, visit_t *visit)
{
    if (visit->is_answer_taken) {
        ts_http_message_reset(&visit->answer);
    }
    visit->is_answer_taken = true;
    for (int i = 0; i < WAIT_MS / 2; i++) {
        if (visit->answer.is_complete || visit->is_ended) {
            break;
        }
        world_run_ms(world, 2);
    }
    return visit->answer.is_complete ? visit->answer.parser.status_code : 0;
}

void visit_close(visit_t *visit)
{
    uv_close((uv_handle_t *)&visit->socket, NULL);
}

visit_t *visit_get(world_t *world, const char *target, const char *id, unsigned deadline_ms,
                   unsigned *status)
{
    visit_t *visit = visit_open(world, world->callers_port);
    char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n"
                                 "X-Deadline-Ms: %u\r\n\r\n",
                                 target, id, deadline_ms);
    visit_send(visit, text);
    g_free(text);
    *status = visit_await(world, visit);
    return visit;
}
