/**
 * `tealspar-lab fault-proxy`: a TCP proxy for the links between nodes. It knows the zone of both
 * ends (of the dialling end by its address) and can delay, hold, reset or half-open the traffic
 * between zones. POST /control with {"zone": Z, "mode": M} sets the mode between a zone and all
 * others ("*" as zone: between all zones); modes: pass, blackhole, reset, half_open.
 */
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tealspar/address.h"
#include "tealspar/clock.h"
#include "tealspar/command.h"
#include "tealspar/http_server.h"
#include "tealspar/plugin.h"
#include "tealspar/yaml_load.h"

#define TABLE_SIZE 3
#define TEXT_MAX 200
#define LIST_MAX 1000
#define BACKLOG 128
#define CHUNK_SIZE 65536
#define BODY_BYTES_MAX 4096
#define REQUEST_TIMEOUT_MS 5000
#define CONNECTIONS_MAX 64

typedef enum link_mode { MODE_PASS, MODE_BLACKHOLE, MODE_RESET, MODE_HALF_OPEN } link_mode_t;

typedef struct link {
    char *name;
    char *zone;
    char *region;
    char *listen; /* what the node advertises */
    char *target; /* where the node listens */
    uv_tcp_t listener;
} link_t;

typedef struct proxy_settings {
    char *control;
    double zone_delay_ms;
    double region_delay_ms;
    double jitter_ms; /* added to the delays, evenly from 0 to this */
    link_t *links;
    unsigned links_count;
} proxy_settings_t;

static const cyaml_schema_field_t link_fields[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, link_t, name, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("zone", CYAML_FLAG_POINTER, link_t, zone, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("region", CYAML_FLAG_POINTER, link_t, region, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("listen", CYAML_FLAG_POINTER, link_t, listen, 1, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("target", CYAML_FLAG_POINTER, link_t, target, 1, TEXT_MAX),
    CYAML_FIELD_END};
static const cyaml_schema_value_t link_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, link_t, link_fields)};
static const cyaml_schema_field_t settings_fields[] = {
    CYAML_FIELD_STRING_PTR("control", CYAML_FLAG_POINTER, proxy_settings_t, control, 1, TEXT_MAX),
    CYAML_FIELD_FLOAT("zone_delay_ms", CYAML_FLAG_OPTIONAL, proxy_settings_t, zone_delay_ms),
    CYAML_FIELD_FLOAT("region_delay_ms", CYAML_FLAG_OPTIONAL, proxy_settings_t, region_delay_ms),
    CYAML_FIELD_FLOAT("jitter_ms", CYAML_FLAG_OPTIONAL, proxy_settings_t, jitter_ms),
    CYAML_FIELD_SEQUENCE("links", CYAML_FLAG_POINTER, proxy_settings_t, links, &link_schema, 1,
                         LIST_MAX),
    CYAML_FIELD_END};
static const cyaml_schema_value_t settings_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, proxy_settings_t, settings_fields)};

/* Bytes on their way, due at a time. */
typedef struct chunk {
    ts_time_us_t due_us;
    size_t length;
    char bytes[];
} chunk_t;

typedef struct connection connection_t;

/* One direction of a connection. */
typedef struct direction {
    connection_t *connection;
    uv_tcp_t *from;
    uv_tcp_t *to;
    GQueue *chunks;           /* of chunk_t */
    ts_time_us_t last_due_us; /* bytes of a connection never overtake each other */
    bool is_forward;          /* from the dialling node to the listening one */
} direction_t;

struct connection {
    uv_tcp_t client; /* the dialling node */
    uv_tcp_t server; /* the listening node */
    uv_timer_t timer;
    uv_connect_t connect;
    const link_t *source; /* NULL when the dialling end is no known node */
    const link_t *link;
    direction_t forward;
    direction_t backward;
    unsigned open_handles;
    bool is_closing;
};

static struct proxy {
    uv_loop_t *loop;
    proxy_settings_t *settings;
    GPtrArray *connections;
    GHashTable *modes; /* zone -> link_mode_t */
    ts_http_server_t *control;
} proxy;

static link_mode_t mode_of(const char *zone)
{
    gpointer mode = g_hash_table_lookup(proxy.modes, zone);
    if (mode == NULL) {
        mode = g_hash_table_lookup(proxy.modes, "*");
    }
    return (link_mode_t)GPOINTER_TO_INT(mode);
}

static bool crosses_zones(const connection_t *connection)
{
    return connection->source != NULL &&
           strcmp(connection->source->zone, connection->link->zone) != 0;
}

static link_mode_t mode_between(const connection_t *connection)
{
    if (!crosses_zones(connection)) {
        return MODE_PASS;
    }
    link_mode_t mode = mode_of(connection->source->zone);
    return mode != MODE_PASS ? mode : mode_of(connection->link->zone);
}

static double delay_ms(const connection_t *connection)
{
    if (!crosses_zones(connection)) {
        return 0;
    }
    bool crosses_regions = strcmp(connection->source->region, connection->link->region) != 0;
    double delay =
        crosses_regions ? proxy.settings->region_delay_ms : proxy.settings->zone_delay_ms;
    return delay + proxy.settings->jitter_ms * g_random_double();
}

static bool is_held(const direction_t *direction)
{
    link_mode_t mode = mode_between(direction->connection);
    return mode == MODE_BLACKHOLE || (mode == MODE_HALF_OPEN && direction->is_forward);
}

/* ---- closing ---- */

static void free_when_closed(uv_handle_t *handle)
{
    connection_t *connection = handle->data;
    if (--connection->open_handles > 0) {
        return;
    }
    g_queue_free_full(connection->forward.chunks, g_free);
    g_queue_free_full(connection->backward.chunks, g_free);
    g_free(connection);
}

static void close_connection(connection_t *connection)
{
    if (connection->is_closing) {
        return;
    }
    connection->is_closing = true;
    g_ptr_array_remove_fast(proxy.connections, connection);
    uv_close((uv_handle_t *)&connection->client, free_when_closed);
    uv_close((uv_handle_t *)&connection->server, free_when_closed);
    uv_close((uv_handle_t *)&connection->timer, free_when_closed);
}

/* ---- forwarding ---- */

typedef struct write_request {
    uv_write_t write;
    chunk_t *chunk;
} write_request_t;

static void on_written(uv_write_t *write, int status)
{
    write_request_t *request = (write_request_t *)write;
    g_free(request->chunk);
    g_free(request);
}

static void send_due_chunks(direction_t *direction, ts_time_us_t now_us)
{
    while (!is_held(direction) && !g_queue_is_empty(direction->chunks)) {
        chunk_t *chunk = g_queue_peek_head(direction->chunks);
        if (chunk->due_us > now_us) {
            return;
        }
        g_queue_pop_head(direction->chunks);
        write_request_t *request = g_new0(write_request_t, 1);
        request->chunk = chunk;
        uv_buf_t buffer = uv_buf_init(chunk->bytes, (unsigned)chunk->length);
        if (uv_write(&request->write, (uv_stream_t *)direction->to, &buffer, 1, on_written) != 0) {
            g_free(chunk);
            g_free(request);
            close_connection(direction->connection);
            return;
        }
    }
}

static void arm_timer(connection_t *connection);

static void on_timer(uv_timer_t *timer)
{
    connection_t *connection = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    send_due_chunks(&connection->forward, now_us);
    if (!connection->is_closing) {
        send_due_chunks(&connection->backward, now_us);
    }
    if (!connection->is_closing) {
        arm_timer(connection);
    }
}

static void arm_timer(connection_t *connection)
{
    ts_time_us_t due_us = UINT64_MAX;
    const direction_t *directions[] = {&connection->forward, &connection->backward};
    for (size_t i = 0; i < G_N_ELEMENTS(directions); i++) {
        if (!is_held(directions[i]) && !g_queue_is_empty(directions[i]->chunks)) {
            const chunk_t *chunk = g_queue_peek_head(directions[i]->chunks);
            due_us = MIN(due_us, chunk->due_us);
        }
    }
    if (due_us == UINT64_MAX) {
        return;
    }
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t left_us = due_us > now_us ? due_us - now_us : 0;
    uv_timer_start(&connection->timer, on_timer, left_us / TS_US_PER_MS, 0);
}

static void allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[CHUNK_SIZE];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void take_bytes(direction_t *direction, const char *bytes, size_t length)
{
    connection_t *connection = direction->connection;
    chunk_t *chunk = g_malloc(sizeof(*chunk) + length);
    chunk->due_us = ts_clock_now_us() + (ts_time_us_t)(delay_ms(connection) * (double)TS_US_PER_MS);
    chunk->due_us = MAX(chunk->due_us, direction->last_due_us);
    direction->last_due_us = chunk->due_us;
    chunk->length = length;
    memcpy(chunk->bytes, bytes, length);
    g_queue_push_tail(direction->chunks, chunk);
    send_due_chunks(direction, ts_clock_now_us());
    if (!connection->is_closing) {
        arm_timer(connection);
    }
}

static void on_client_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    connection_t *connection = stream->data;
    if (length < 0) {
        close_connection(connection);
    } else if (length > 0) {
        take_bytes(&connection->forward, buffer->base, (size_t)length);
    }
}

static void on_server_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    connection_t *connection = stream->data;
    if (length < 0) {
        close_connection(connection);
    } else if (length > 0) {
        take_bytes(&connection->backward, buffer->base, (size_t)length);
    }
}

/* ---- accepting ---- */

static const link_t *find_source(const uv_tcp_t *client)
{
    struct sockaddr_storage address;
    int length = sizeof(address);
    char text[TS_ADDRESS_TEXT_MAX];
    uv_tcp_getpeername(client, (struct sockaddr *)&address, &length);
    uv_ip4_name((struct sockaddr_in *)&address, text, sizeof(text));
    size_t text_length = strlen(text);
    for (unsigned i = 0; i < proxy.settings->links_count; i++) {
        const link_t *link = &proxy.settings->links[i];
        if (strncmp(link->target, text, text_length) == 0 && link->target[text_length] == ':') {
            return link;
        }
    }
    return NULL;
}

static void on_connected(uv_connect_t *connect, int status)
{
    connection_t *connection = connect->data;
    if (status != 0 || connection->is_closing) {
        close_connection(connection);
        return;
    }
    uv_read_start((uv_stream_t *)&connection->client, allocate, on_client_read);
    uv_read_start((uv_stream_t *)&connection->server, allocate, on_server_read);
}

static void open_direction(direction_t *direction, connection_t *connection, uv_tcp_t *from,
                           uv_tcp_t *to, bool is_forward)
{
    direction->connection = connection;
    direction->from = from;
    direction->to = to;
    direction->chunks = g_queue_new();
    direction->is_forward = is_forward;
}

static void on_accept(uv_stream_t *listener, int status)
{
    connection_t *connection = g_new0(connection_t, 1);
    struct sockaddr_storage target;
    connection->link = listener->data;
    connection->open_handles = 3;
    uv_tcp_init(proxy.loop, &connection->client);
    uv_tcp_init(proxy.loop, &connection->server);
    uv_timer_init(proxy.loop, &connection->timer);
    connection->client.data = connection;
    connection->server.data = connection;
    connection->timer.data = connection;
    connection->connect.data = connection;
    open_direction(&connection->forward, connection, &connection->client, &connection->server,
                   true);
    open_direction(&connection->backward, connection, &connection->server, &connection->client,
                   false);
    g_ptr_array_add(proxy.connections, connection);
    if (uv_accept(listener, (uv_stream_t *)&connection->client) != 0) {
        close_connection(connection);
        return;
    }
    connection->source = find_source(&connection->client);
    uv_tcp_nodelay(&connection->client, 1);
    uv_tcp_nodelay(&connection->server, 1);
    ts_address_parse(connection->link->target, &target);
    if (mode_between(connection) == MODE_RESET ||
        uv_tcp_connect(&connection->connect, &connection->server, (struct sockaddr *)&target,
                       on_connected) != 0) {
        close_connection(connection);
    }
}

static bool open_link(link_t *link)
{
    struct sockaddr_storage address;
    uv_tcp_init(proxy.loop, &link->listener);
    link->listener.data = link;
    return ts_address_parse(link->listen, &address) == TS_OK &&
           uv_tcp_bind(&link->listener, (struct sockaddr *)&address, 0) == 0 &&
           uv_listen((uv_stream_t *)&link->listener, BACKLOG, on_accept) == 0;
}

/* ---- control ---- */

static void apply_modes(void)
{
    for (guint i = proxy.connections->len; i > 0; i--) {
        connection_t *connection = g_ptr_array_index(proxy.connections, i - 1);
        if (mode_between(connection) == MODE_RESET) {
            close_connection(connection);
        } else {
            arm_timer(connection);
        }
    }
}

static void handle_control(void *context, ts_http_exchange_t *exchange,
                           const ts_http_request_t *request)
{
    static const char *const names[] = {"pass", "blackhole", "reset", "half_open"};
    json_t *root = json_loadb(request->body, request->body_length, 0, NULL);
    const char *zone = json_string_value(json_object_get(root, "zone"));
    const char *mode = json_string_value(json_object_get(root, "mode"));
    for (size_t i = 0; zone != NULL && mode != NULL && i < G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i], mode) == 0) {
            g_hash_table_insert(proxy.modes, g_strdup(zone), GINT_TO_POINTER(i));
        }
    }
    json_decref(root);
    apply_modes();
    ts_http_reply(exchange, 200, "application/json", "{}\n", strlen("{}\n"), 0);
}

static void stop_loop(uv_signal_t *handle, int number)
{
    uv_stop(handle->loop);
}

static int serve(void)
{
    uv_signal_t terminate;
    ts_http_limits_t limits = {BODY_BYTES_MAX, REQUEST_TIMEOUT_MS, CONNECTIONS_MAX};
    proxy.loop = uv_default_loop();
    proxy.connections = g_ptr_array_new();
    proxy.modes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    signal(SIGPIPE, SIG_IGN);
    for (unsigned i = 0; i < proxy.settings->links_count; i++) {
        if (!open_link(&proxy.settings->links[i])) {
            fprintf(stderr, "fault-proxy: cannot listen on %s\n", proxy.settings->links[i].listen);
            return TS_EXIT_FAILURE;
        }
    }
    if (ts_http_server_open(&proxy.control, proxy.loop, proxy.settings->control, &limits,
                            handle_control, NULL) != TS_OK) {
        fprintf(stderr, "fault-proxy: cannot listen on %s\n", proxy.settings->control);
        return TS_EXIT_FAILURE;
    }
    uv_signal_init(proxy.loop, &terminate);
    uv_signal_start(&terminate, stop_loop, SIGTERM);
    printf("ready\n");
    fflush(stdout);
    uv_run(proxy.loop, UV_RUN_DEFAULT);
    return TS_EXIT_OK;
}

static int run_proxy(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_file *file = arg_file1("s", "settings", "FILE", "links and delays (YAML)");
    struct arg_end *end = arg_end(4);
    void *table[TABLE_SIZE] = {help, file, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE,
                         "a TCP proxy that delays, holds, resets or half-opens links",
                         &exit_code)) {
        size_t length = 0;
        void *data = NULL;
        ts_problems_t problems;
        ts_problems_init(&problems);
        char *text = ts_command_read_file(file->filename[0], &length);
        exit_code = TS_EXIT_USAGE;
        if (text != NULL &&
            ts_yaml_load(text, length, &settings_schema, &data, &problems) == TS_OK) {
            proxy.settings = data;
            exit_code = serve();
        } else {
            ts_problems_print(&problems, file->filename[0]);
        }
        g_free(text);
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_proxy};
TS_REGISTER_PLUGIN(lab_command_proxy, TS_PLUGIN_COMMAND, "fault-proxy", 2, &command,
                   "a fault-injecting TCP proxy")
