/** Test fixture: a gateway with a fake store, fake searchers and clients. */
#include "fixture.h"

#include <string.h>

#include "ports.h"
#include "tealspar/log.h"

/* Time after which every wait gives up. */
#define WAIT_MS 5000

unsigned fixture_next_port(void)
{
    unsigned port = lab_next_port("127.0.0.1");
    assert_int_not_equal(port, 0);
    return port;
}

fixture_t *fixture_open(const char *settings)
{
    fixture_t *fixture = g_new0(fixture_t, 1);
    ts_log_open("test", TS_LOG_TEXT, G_LOG_LEVEL_CRITICAL);
    uv_loop_init(&fixture->loop);
    unsigned store_port = 0;
    for (int i = 0; i < 20 && fixture->store == NULL; i++) {
        store_port = fixture_next_port();
        fixture->store = lab_store_open(&fixture->loop, store_port);
    }
    assert_non_null(fixture->store);
    fixture->callers_port = fixture_next_port();
    fixture->ready_port = fixture_next_port();
    fixture->store_port = store_port;
    bool has_retry_budget = settings != NULL && strstr(settings, "retry_ratio") != NULL;
    char *text = g_strdup_printf("name: test\nzone: z1\ndialect: platform\n"
                                 "callers: 127.0.0.1:%u\nready: 127.0.0.1:%u\n"
                                 "store: 127.0.0.1:%u\n"
                                 "zones: [{zone: z1, region: r1}, {zone: z1b, region: r1}, "
                                 "{zone: z2, region: r2}]\n"
                                 "%s%s\n",
                                 fixture->callers_port, fixture->ready_port, store_port,
                                 has_retry_budget ? "" : "retry_ratio: 0.2\nretry_slack: 600\n",
                                 settings == NULL ? "" : settings);
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_gateway_settings_t *loaded = ts_gateway_settings_load(text, strlen(text), &problems);
    assert_non_null(loaded);
    ts_problems_clear(&problems);
    g_free(text);
    assert_int_equal(ts_gateway_open(&fixture->gateway, &fixture->loop, loaded), TS_OK);
    return fixture;
}

ts_gateway_t *fixture_open_gateway(fixture_t *fixture, const char *settings)
{
    ts_gateway_t *gateway = g_new0(ts_gateway_t, 1);
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_gateway_settings_t *loaded = ts_gateway_settings_load(settings, strlen(settings), &problems);
    assert_non_null(loaded);
    ts_problems_clear(&problems);
    assert_int_equal(ts_gateway_open(gateway, &fixture->loop, loaded), TS_OK);
    return gateway;
}

ts_gateway_t *fixture_add_gateway(fixture_t *fixture, const char *name, const char *zone,
                                  unsigned peers_port, unsigned seed_port, unsigned store_port)
{
    char *text = g_strdup_printf("name: %s\nzone: %s\ndialect: platform\n"
                                 "callers: 127.0.0.1:%u\nready: 127.0.0.1:%u\n"
                                 "peers: 127.0.0.1:%u\nseeds: ['127.0.0.1:%u']\n"
                                 "store: 127.0.0.1:%u\n"
                                 "zones: [{zone: z1, region: r1}, {zone: z2, region: r2}]\n"
                                 "retry_ratio: 0.2\nretry_slack: 60\n",
                                 name, zone, fixture_next_port(), fixture_next_port(), peers_port,
                                 seed_port, store_port == 0 ? 1 : store_port);
    ts_gateway_t *gateway = fixture_open_gateway(fixture, text);
    g_free(text);
    return gateway;
}

bool fixture_await_synced(fixture_t *fixture, const ts_gateway_t *gateway, uint64_t version,
                          unsigned backend_count)
{
    for (int i = 0; i < WAIT_MS / 10; i++) {
        if (gateway->traffic != NULL && gateway->traffic->version >= version &&
            ts_registry_count_listed(gateway->registry) == backend_count) {
            return true;
        }
        fixture_run_ms(fixture, 10);
    }
    return false;
}

void fixture_put_config(fixture_t *fixture, unsigned version, const char *routes)
{
    char *text = g_strdup_printf("{\"version\":%u,\"routes\":[%s],\"services\":[],\"limits\":"
                                 "{\"maxHeaderBytes\":4096,\"maxBodyBytes\":65536,"
                                 "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
                                 version, routes);
    lab_store_put(fixture->store, "op/config", text);
    g_free(text);
    fixture_await_version(fixture, version);
}

void fixture_await_version(fixture_t *fixture, uint64_t version)
{
    for (int i = 0; i < WAIT_MS / 10; i++) {
        if (fixture->gateway.traffic != NULL && fixture->gateway.traffic->version >= version) {
            return;
        }
        fixture_run_ms(fixture, 10);
    }
}

static void put_searcher_entry(fixture_t *fixture, const lab_searcher_t *searcher, bool is_draining)
{
    char *key = g_strdup_printf("servers/%s", searcher->id);
    char *entry = lab_searcher_entry(searcher, is_draining);
    lab_store_put(fixture->store, key, entry);
    g_free(entry);
    g_free(key);
}

lab_searcher_t *fixture_register_searcher(fixture_t *fixture, const char *id, const char *service,
                                          const char *zone)
{
    lab_searcher_t *searcher = lab_searcher_open(&fixture->loop, id, service, zone);
    put_searcher_entry(fixture, searcher, false);
    return searcher;
}

lab_searcher_t *fixture_add_searcher(fixture_t *fixture, const char *id, const char *service,
                                     const char *zone)
{
    lab_searcher_t *searcher = fixture_register_searcher(fixture, id, service, zone);
    fixture_await_backend_count(fixture, ts_registry_count_listed(fixture->gateway.registry) + 1);
    return searcher;
}

void fixture_add_existing_searcher(fixture_t *fixture, const lab_searcher_t *searcher)
{
    unsigned backend_count = ts_registry_count_listed(fixture->gateway.registry);
    put_searcher_entry(fixture, searcher, false);
    fixture_await_backend_count(fixture, backend_count + 1);
}

void fixture_await_backend_count(fixture_t *fixture, unsigned backend_count)
{
    for (int i = 0; i < WAIT_MS / 10; i++) {
        if (ts_registry_count_listed(fixture->gateway.registry) == backend_count) {
            return;
        }
        fixture_run_ms(fixture, 10);
    }
}

void fixture_set_draining(fixture_t *fixture, const lab_searcher_t *searcher)
{
    put_searcher_entry(fixture, searcher, true);
}

static void stop_loop(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

static void free_timer(uv_handle_t *handle)
{
    g_free(handle);
}

void fixture_run_ms(fixture_t *fixture, unsigned duration_ms)
{
    uv_timer_t *timer = g_new0(uv_timer_t, 1);
    uv_timer_init(&fixture->loop, timer);
    uv_timer_start(timer, stop_loop, duration_ms, 0);
    uv_run(&fixture->loop, UV_RUN_DEFAULT);
    uv_close((uv_handle_t *)timer, free_timer);
}

bool fixture_run_until(fixture_t *fixture, const unsigned *value, unsigned minimum)
{
    for (int i = 0; i < WAIT_MS / 5 && *value < minimum; i++) {
        fixture_run_ms(fixture, 5);
    }
    return *value >= minimum;
}

static void allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[65536];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void read_bytes(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    client_t *client = stream->data;
    if (length < 0) {
        client->is_closed_by_peer = true;
        client->was_reset = length != UV_EOF;
        return;
    }
    g_string_append_len(client->received, buffer->base, length);
    (void)ts_http_message_feed(&client->response, buffer->base, (size_t)length);
}

static void connected(uv_connect_t *request, int status)
{
    client_t *client = request->data;
    client->is_connected = status == 0;
    uv_read_start((uv_stream_t *)&client->socket, allocate, read_bytes);
}

client_t *client_connect(fixture_t *fixture, unsigned port)
{
    client_t *client = g_new0(client_t, 1);
    struct sockaddr_in address;
    client->received = g_string_new(NULL);
    ts_http_message_init(&client->response, false, 65536, 1U << 20);
    uv_ip4_addr("127.0.0.1", (int)port, &address);
    uv_tcp_init(&fixture->loop, &client->socket);
    client->socket.data = client;
    client->connect_request.data = client;
    assert_int_equal(uv_tcp_connect(&client->connect_request, &client->socket,
                                    (const struct sockaddr *)&address, connected),
                     0);
    for (int i = 0; i < WAIT_MS / 2 && !client->is_connected; i++) {
        fixture_run_ms(fixture, 2);
    }
    assert_true(client->is_connected);
    return client;
}

void client_send(client_t *client, const char *bytes)
{
    uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned)strlen(bytes));
    assert_int_equal(uv_try_write((uv_stream_t *)&client->socket, &buffer, 1), (int)strlen(bytes));
}

unsigned client_await_response(fixture_t *fixture, client_t *client)
{
    if (client->is_response_returned) {
        ts_http_message_reset(&client->response);
    }
    client->is_response_returned = true;
    for (int i = 0; i < WAIT_MS / 2; i++) {
        if (client->response.is_complete || client->is_closed_by_peer) {
            break;
        }
        fixture_run_ms(fixture, 2);
    }
    return client->response.is_complete ? client->response.parser.status_code : 0;
}

void client_stop_reading(client_t *client)
{
    uv_read_stop((uv_stream_t *)&client->socket);
}

void client_resume_reading(client_t *client)
{
    uv_read_start((uv_stream_t *)&client->socket, allocate, read_bytes);
}

void client_close(client_t *client)
{
    uv_close((uv_handle_t *)&client->socket, NULL);
}

client_t *client_get(fixture_t *fixture, const char *target, const char *id, unsigned deadline_ms,
                     unsigned *status)
{
    client_t *client = client_connect(fixture, fixture->callers_port);
    char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n"
                                 "X-Deadline-Ms: %u\r\n\r\n",
                                 target, id, deadline_ms);
    client_send(client, text);
    g_free(text);
    *status = client_await_response(fixture, client);
    return client;
}
