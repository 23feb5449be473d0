/** See world.h. */
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#define STORE_ANSWER_MS 4 /* SYSTEM.md: 4 ms an answer */
#define PAGE_ITEMS 50
#define QUEUE_MAX 12        /* requests that a searcher queues beyond its slots */
#define ENTRY_LAPSE_MS 3000 /* three heartbeats of 1,200 ms, less the time since the last one */
#define CLIENT_CONNECT_MS 1000

gateway_t world_gateways[WORLD_GATEWAYS_MAX];
int world_gateway_count;

static uv_loop_t loop;
static FILE *record;
static char *folder;
static double opened_ms;
static world_run_cb on_run;
static int exit_code = 2;
static GPtrArray *searchers;
static GPtrArray *requests;
static unsigned request_count;
static bool is_traffic_on;

/* -- Time and log ------------------------------------------------------------------------------ */

double world_now_ms(void)
{
    return (double)uv_hrtime() / 1e6 - opened_ms;
}

void world_log(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    fprintf(record, "%10.1f ", world_now_ms());
    vfprintf(record, format, args);
    fputc('\n', record);
    va_end(args);
}

typedef struct task {
    uv_timer_t timer;
    void (*run)(void *);
    void *arg;
} task_t;

static void free_handle(uv_handle_t *handle)
{
    g_free(handle->data);
}

static void on_task(uv_timer_t *timer)
{
    task_t *task = timer->data;
    uv_close((uv_handle_t *)timer, free_handle);
    task->run(task->arg);
}

void world_after(double ms, void (*run)(void *), void *arg)
{
    task_t *task = g_new0(task_t, 1);
    task->run = run;
    task->arg = arg;
    uv_update_time(&loop);
    uv_timer_init(&loop, &task->timer);
    task->timer.data = task;
    uv_timer_start(&task->timer, on_task, (uint64_t)(ms < 0 ? 0 : ms), 0);
}

/* -- HTTP, server side ------------------------------------------------------------------------- */

typedef struct connection connection_t;
typedef void (*handle_cb)(connection_t *connection, const char *target, const char *head);

struct connection {
    uv_tcp_t socket;
    GString *in;
    GPtrArray *list; /* of its owner */
    handle_cb handle;
    gateway_t *gateway;   /* store connections */
    searcher_t *searcher; /* searchers' connections */
    unsigned references;  /* pending answers */
    bool is_closed;
    bool is_silent; /* stays open, reads and says nothing any more */
    bool is_busy;
    /* A pending watch call. */
    bool is_watching;
    uint64_t after;
    double until_ms;
    double used_ms; /* of the last call */
    int wait_ms;    /* of the pending watch call */
};

static void release(connection_t *connection)
{
    if (--connection->references == 0) {
        g_string_free(connection->in, TRUE);
        g_free(connection);
    }
}

static void on_connection_closed(uv_handle_t *handle)
{
    release(handle->data);
}

static void close_connection(connection_t *connection)
{
    if (connection->is_closed)
        return;
    connection->is_closed = true;
    connection->is_watching = false;
    g_ptr_array_remove_fast(connection->list, connection);
    uv_close((uv_handle_t *)&connection->socket, on_connection_closed);
}

static char *find_field(const char *head, const char *name)
{
    size_t length = strlen(name);
    for (const char *line = strstr(head, "\r\n"); line != NULL; line = strstr(line + 2, "\r\n")) {
        if (strncasecmp(line + 2, name, length) == 0 && line[2 + length] == ':') {
            const char *value = line + 3 + length;
            value += strspn(value, " ");
            return g_strndup(value, strcspn(value, "\r"));
        }
    }
    return NULL;
}

typedef struct write {
    uv_write_t request;
    char *bytes;
} write_t;

static void on_written(uv_write_t *request, int status)
{
    write_t *write = request->data;
    g_free(write->bytes);
    g_free(write);
}

static void send_bytes(uv_stream_t *stream, const char *bytes, size_t length)
{
    write_t *write = g_new0(write_t, 1);
    write->bytes = g_memdup2(bytes, length);
    write->request.data = write;
    uv_buf_t buffer = uv_buf_init(write->bytes, (unsigned)length);
    if (uv_write(&write->request, stream, &buffer, 1, on_written) != 0) {
        g_free(write->bytes);
        g_free(write);
    }
}

static void process_input(connection_t *connection)
{
    if (connection->gateway != NULL && connection->gateway->is_cut)
        return; // held up until the cut ends
    while (!connection->is_busy && !connection->is_closed && !connection->is_silent) {
        char *end = strstr(connection->in->str, "\r\n\r\n");
        if (end == NULL)
            return;
        char *head = g_strndup(connection->in->str, (gsize)(end + 2 - connection->in->str));
        g_string_erase(connection->in, 0, end + 4 - connection->in->str);
        const char *blank = strchr(head, ' ');
        char *target = g_strndup(blank + 1, strcspn(blank + 1, " "));
        connection->is_busy = true;
        connection->handle(connection, target, head);
        g_free(target);
        g_free(head);
    }
}

static void answer(connection_t *connection, int status, const char *fields, const char *body,
                   size_t length)
{
    if (connection->is_closed || connection->is_silent)
        return;
    GString *out = g_string_new(NULL);
    g_string_append_printf(out, "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n", status,
                           fields ? fields : "", length);
    g_string_append_len(out, body, (gssize)length);
    send_bytes((uv_stream_t *)&connection->socket, out->str, out->len);
    g_string_free(out, TRUE);
    connection->is_busy = false;
    process_input(connection);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
    static char bytes[65536];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_server_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    connection_t *connection = stream->data;
    if (length < 0)
        close_connection(connection);
    if (length <= 0 || connection->is_silent)
        return;
    g_string_append_len(connection->in, buffer->base, length);
    process_input(connection);
}

static connection_t *accept_connection(uv_stream_t *server, GPtrArray *list, handle_cb handle)
{
    connection_t *connection = g_new0(connection_t, 1);
    connection->in = g_string_new(NULL);
    connection->list = list;
    connection->handle = handle;
    connection->references = 1;
    uv_tcp_init(&loop, &connection->socket);
    connection->socket.data = connection;
    g_ptr_array_add(list, connection);
    if (uv_accept(server, (uv_stream_t *)&connection->socket) != 0) {
        close_connection(connection);
        return connection;
    }
    uv_tcp_nodelay(&connection->socket, 1);
    uv_read_start((uv_stream_t *)&connection->socket, on_alloc, on_server_read);
    return connection;
}

/* Listens on a free port of the loopback address; returns the port. */
static int listen_anywhere(uv_tcp_t *listener, int port, uv_connection_cb on_connection, void *data)
{
    struct sockaddr_in address;
    int length = sizeof(address);
    uv_ip4_addr("127.0.0.1", port, &address);
    uv_tcp_init(&loop, listener);
    listener->data = data;
    if (uv_tcp_bind(listener, (struct sockaddr *)&address, 0) != 0 ||
        uv_listen((uv_stream_t *)listener, 1024, on_connection) != 0) {
        fprintf(stderr, "cannot listen\n");
        exit(2);
    }
    uv_tcp_getsockname(listener, (struct sockaddr *)&address, &length);
    return ntohs(address.sin_port);
}

/* Ports for the gateways' own listeners: from below the range that outgoing connections use, found
 * free by binding, and released before the gateway starts. */
static int free_port(void)
{
    static int next;
    if (next == 0)
        next = g_random_int_range(12000, 30000);
    for (int tries = 0; tries < 1000; tries++) {
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)next)};
        int port = next++;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bool is_free = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
        close(fd);
        if (is_free)
            return port;
    }
    exit(2);
}

/* -- Store ------------------------------------------------------------------------------------- */

typedef struct change {
    uint64_t revision, made;
    double at_ms;
    char *key;
    char *value; /* base64; NULL: gone */
} change_t;

static GPtrArray *history; /* of change_t, all of them: longer than the 20 s promised */
static GTree *items;       /* key -> change_t */
static uint64_t revision = 100;

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
    return strcmp(a, b);
}

static void check_watches(void);

static uint64_t change_key(const char *key, const char *value)
{
    change_t *before = g_tree_lookup(items, key);
    change_t *change = g_new0(change_t, 1);
    change->revision = ++revision;
    change->made = before != NULL ? before->made : revision;
    change->at_ms = world_now_ms();
    change->key = g_strdup(key);
    change->value = value == NULL ? NULL : g_base64_encode((const guchar *)value, strlen(value));
    g_ptr_array_add(history, change);
    if (value == NULL)
        g_tree_remove(items, key);
    else
        g_tree_replace(items, change->key, change);
    check_watches();
    return revision;
}

uint64_t world_put(const char *key, const char *value)
{
    return change_key(key, value);
}

void world_delete(const char *key)
{
    (void)change_key(key, NULL);
}

static void append_item(GString *out, const change_t *change)
{
    if (change->value == NULL)
        g_string_append_printf(out, "{\"privateKey\":\"%s\",\"revision\":%lu,\"gone\":true}",
                               change->key, (unsigned long)change->revision);
    else
        g_string_append_printf(out,
                               "{\"privateKey\":\"%s\",\"value\":\"%s\",\"revision\":%lu,"
                               "\"made\":%lu,\"lease\":0}",
                               change->key, change->value, (unsigned long)change->revision,
                               (unsigned long)change->made);
}

typedef struct late_answer {
    connection_t *connection;
    GString *body;
    bool is_first_page;
} late_answer_t;

static gateway_t *cut_gateway; /* is cut off after the first page of its next list */
static double cut_for_ms;
static void (*on_cut_begun)(void *);

static void end_cut(void *arg)
{
    gateway_t *gateway = arg;
    gateway->is_cut = false;
    gateway->cut_ended_ms = world_now_ms();
    world_log("the cut between %s and the store ends", gateway->name);
    for (guint i = gateway->store_connections->len; i > 0; i--)
        process_input(g_ptr_array_index(gateway->store_connections, i - 1));
}

static void begin_cut(gateway_t *gateway)
{
    cut_gateway = NULL;
    gateway->is_cut = true;
    world_log("%s is cut off from the store", gateway->name);
    world_after(cut_for_ms, end_cut, gateway);
    if (on_cut_begun != NULL)
        on_cut_begun(gateway);
}

void world_cut_after_first_page(gateway_t *gateway, double ms, void (*on_cut)(void *))
{
    cut_gateway = gateway;
    cut_for_ms = ms;
    on_cut_begun = on_cut;
}

static void run_late_answer(void *arg)
{
    late_answer_t *late = arg;
    gateway_t *gateway = late->connection->gateway;
    if (gateway->is_cut) { // held up
        world_after(5, run_late_answer, late);
        return;
    }
    answer(late->connection, 200, "Content-Type: application/json\r\n", late->body->str,
           late->body->len);
    if (late->is_first_page && gateway == cut_gateway)
        begin_cut(gateway);
    release(late->connection);
    g_string_free(late->body, TRUE);
    g_free(late);
}

static void answer_store(connection_t *connection, GString *body, bool is_first_page)
{
    late_answer_t *late = g_new0(late_answer_t, 1);
    late->is_first_page = is_first_page;
    late->connection = connection;
    late->body = body;
    connection->references++;
    world_after(STORE_ANSWER_MS, run_late_answer, late);
}

typedef struct range {
    GString *out;
    const char *prefix, *after;
    unsigned count;
    bool has_more;
} range_t;

static gboolean add_to_range(gpointer key, gpointer value, gpointer data)
{
    range_t *range = data;
    if (!g_str_has_prefix(key, range->prefix) ||
        (range->after != NULL && strcmp(key, range->after) <= 0))
        return FALSE;
    if (range->count == PAGE_ITEMS) {
        range->has_more = true;
        return TRUE;
    }
    if (range->count++ > 0)
        g_string_append_c(range->out, ',');
    append_item(range->out, value);
    return FALSE;
}

static char *query_value(const char *target, const char *name)
{
    char *key = g_strdup_printf("%s=", name);
    for (const char *at = strpbrk(target, "?&"); at != NULL; at = strpbrk(at + 1, "?&")) {
        if (strncmp(at + 1, key, strlen(key)) == 0) {
            const char *value = at + 1 + strlen(key);
            char *raw = g_strndup(value, strcspn(value, "&"));
            char *plain = g_uri_unescape_string(raw, NULL);
            g_free(raw);
            g_free(key);
            return plain;
        }
    }
    g_free(key);
    return NULL;
}

static bool answer_watch(connection_t *connection)
{
    bool is_first = true;
    double now_ms = world_now_ms();
    if (revision <= connection->after && now_ms < connection->until_ms)
        return false;
    GString *out = g_string_new("{\"events\":[");
    for (guint i = 0; i < history->len; i++) {
        const change_t *change = g_ptr_array_index(history, i);
        if (change->revision <= connection->after)
            continue;
        if (!is_first)
            g_string_append_c(out, ',');
        append_item(out, change);
        is_first = false;
    }
    g_string_append_printf(out, "],\"at\":%lu}", (unsigned long)revision);
    connection->is_watching = false;
    answer_store(connection, out, false);
    return true;
}

static void check_watches(void)
{
    for (int g = 0; g < world_gateway_count; g++) {
        GPtrArray *list = world_gateways[g].store_connections;
        for (guint i = list->len; i > 0; i--) {
            connection_t *connection = g_ptr_array_index(list, i - 1);
            if (connection->is_watching && !connection->is_silent)
                (void)answer_watch(connection);
        }
    }
}

static void handle_store(connection_t *connection, const char *target, const char *head)
{
    char *prefix = query_value(target, "pathPrefix");
    char *after = query_value(target, "after");
    char *stale = query_value(target, "stale");
    char *wait = query_value(target, "waitMs");
    gateway_t *gateway = connection->gateway;
    connection->used_ms = world_now_ms();
    if (g_str_has_prefix(target, "/api/kv-watch")) {
        connection->is_watching = true;
        connection->wait_ms = wait ? atoi(wait) : 0;
        connection->after = after ? strtoull(after, NULL, 10) : 0;
        connection->until_ms = world_now_ms() + (wait ? atoi(wait) : 0);
        gateway->watches++;
        gateway->watch_ms = world_now_ms();
        gateway->watch_wait_ms = wait ? atoi(wait) : 0;
        world_log("store: %s watches after %lu for %d ms", gateway->name,
                  (unsigned long)connection->after, gateway->watch_wait_ms);
        (void)answer_watch(connection);
    } else {
        GString *out = g_string_new("{\"items\":[");
        range_t range = {out, prefix ? prefix : "", after, 0, false};
        g_tree_foreach(items, add_to_range, &range);
        uint64_t at = revision;
        g_string_append_printf(out, "],\"more\":%s,\"at\":%lu}", range.has_more ? "true" : "false",
                               (unsigned long)at);
        if (stale == NULL)
            world_log("store: %s lists after '%s', %u items at %lu", gateway->name,
                      after ? after : "", range.count, (unsigned long)at);
        answer_store(connection, out, stale == NULL && after == NULL);
    }
    g_free(prefix);
    g_free(after);
    g_free(stale);
    g_free(wait);
}

static void on_store_connection(uv_stream_t *server, int status)
{
    gateway_t *gateway = server->data;
    if (status == 0)
        accept_connection(server, gateway->store_connections, handle_store)->gateway = gateway;
}

static void on_watch_tick(uv_timer_t *timer)
{
    check_watches();
}

unsigned world_silence_store_connections(double rest_ms)
{
    unsigned count = 0;
    for (int g = 0; g < world_gateway_count; g++) {
        GPtrArray *list = world_gateways[g].store_connections;
        for (guint i = 0; i < list->len; i++) {
            connection_t *connection = g_ptr_array_index(list, i);
            if (connection->is_silent || world_now_ms() - connection->used_ms < rest_ms)
                continue;
            if (rest_ms > 0 && connection->is_watching)
                continue;
            count++;
            world_log("store: a connection of %s goes silent, %s", world_gateways[g].name,
                      connection->is_watching ? "with a watch call" : "at rest");
            connection->is_silent = true;
            connection->is_watching = false;
        }
    }
    return count;
}

/* -- Searchers --------------------------------------------------------------------------------- */

typedef struct run {
    connection_t *connection;
    char *id;
} run_t;

static void start_next_run(searcher_t *searcher);

static void free_run(run_t *run)
{
    release(run->connection);
    g_free(run->id);
    g_free(run);
}

static void end_run(void *arg)
{
    run_t *run = arg;
    searcher_t *searcher = run->connection->searcher;
    bool is_leaving = searcher->left_ms != 0;
    char *fields =
        g_strdup_printf("X-Request-Id: %s\r\nX-Server-Stamp: %s.%s\r\n%s", run->id, searcher->id,
                        run->id, is_leaving ? "Connection: close\r\n" : "");
    char body[64];
    memset(body, 'r', sizeof(body));
    answer(run->connection, 200, fields, body, sizeof(body));
    if (is_leaving)
        close_connection(run->connection);
    free_run(run);
    g_free(fields);
    searcher->running--;
    start_next_run(searcher);
}

static void start_run(searcher_t *searcher, run_t *run)
{
    searcher->running++;
    world_after(searcher->work_ms, end_run, run);
}

/* Starts the next queued request; those whose connection has closed are dropped. */
static void start_next_run(searcher_t *searcher)
{
    while (searcher->running < searcher->slots && searcher->queue.length > 0) {
        run_t *run = g_queue_pop_head(&searcher->queue);
        if (run->connection->is_closed)
            free_run(run);
        else
            start_run(searcher, run);
    }
}

static void take_request(searcher_t *searcher, connection_t *connection, const char *id)
{
    if (searcher->running >= searcher->slots && searcher->queue.length >= QUEUE_MAX) {
        char *fields = g_strdup_printf("X-Request-Id: %s\r\nX-Not-Executed: 1\r\n", id);
        answer(connection, 503, fields, "", 0);
        g_free(fields);
        return;
    }
    run_t *run = g_new0(run_t, 1);
    run->connection = connection;
    run->id = g_strdup(id);
    connection->references++;
    if (searcher->running < searcher->slots)
        start_run(searcher, run);
    else
        g_queue_push_tail(&searcher->queue, run);
}

static void handle_searcher(connection_t *connection, const char *target, const char *head)
{
    searcher_t *searcher = connection->searcher;
    char *expected = find_field(head, "X-Expected-Instance");
    char *id = find_field(head, "X-Request-Id");
    if (strcmp(target, "/health") == 0) {
        char *fields = g_strdup_printf("X-Instance-Id: %s\r\n", searcher->id);
        answer(connection, searcher->is_draining ? 503 : 200, fields, "", 0);
        g_free(fields);
    } else if (id == NULL) {
        answer(connection, 400, "X-Not-Executed: 1\r\n", "", 0);
    } else if (expected != NULL && strcmp(expected, searcher->id) != 0) {
        char *fields =
            g_strdup_printf("X-Request-Id: %s\r\nX-Instance-Id: %s\r\n", id, searcher->id);
        answer(connection, 421, fields, "", 0);
        g_free(fields);
    } else {
        searcher->runs++;
        if (on_run != NULL)
            on_run(searcher, id, atoi(id + 1), world_now_ms());
        take_request(searcher, connection, id);
    }
    g_free(expected);
    g_free(id);
}

static void on_searcher_connection(uv_stream_t *server, int status)
{
    searcher_t *searcher = server->data;
    if (status == 0)
        accept_connection(server, searcher->connections, handle_searcher)->searcher = searcher;
}

void world_write_searcher(searcher_t *searcher)
{
    char *key = g_strdup_printf("servers/%s", searcher->id);
    char *value = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\","
        "\"slots\":%d,\"state\":\"%s\",\"warmupLeftMs\":0,\"callSeq\":%u}",
        searcher->service, searcher->port, searcher->zone, searcher->slots,
        searcher->is_draining ? "draining" : "ready", searcher->runs);
    (void)world_put(key, value);
    g_free(key);
    g_free(value);
}

searcher_t *world_add_searcher(const char *service, const char *zone, int slots, int work_ms)
{
    static unsigned count;
    searcher_t *searcher = g_new0(searcher_t, 1);
    searcher->id = g_strdup_printf("i-%02u-%s", count++, service);
    searcher->service = service;
    searcher->zone = zone;
    searcher->slots = slots;
    searcher->work_ms = work_ms;
    searcher->connections = g_ptr_array_new();
    searcher->port = listen_anywhere(&searcher->listener, 0, on_searcher_connection, searcher);
    g_ptr_array_add(searchers, searcher);
    world_write_searcher(searcher);
    return searcher;
}

static void remove_entry(void *arg)
{
    const searcher_t *searcher = arg;
    char *key = g_strdup_printf("servers/%s", searcher->id);
    if (g_tree_lookup(items, key) != NULL)
        world_delete(key);
    g_free(key);
}

/* Its listener and connections are closed. */
static void stop_serving(searcher_t *searcher)
{
    searcher->is_down = true;
    uv_close((uv_handle_t *)&searcher->listener, NULL);
    while (searcher->connections->len > 0)
        close_connection(g_ptr_array_index(searcher->connections, 0));
}

static void end_searcher(void *arg)
{
    searcher_t *searcher = arg;
    world_log("searcher %s ends", searcher->id);
    remove_entry(searcher);
    stop_serving(searcher);
}

void world_drain(searcher_t *searcher, double serve_ms)
{
    searcher->is_draining = true;
    world_write_searcher(searcher);
    searcher->left_ms = world_now_ms();
    world_log("searcher %s is draining: acknowledged by the store", searcher->id);
    world_after(serve_ms, end_searcher, searcher);
}

void world_leave(searcher_t *searcher, double serve_ms)
{
    remove_entry(searcher);
    searcher->left_ms = world_now_ms();
    world_log("searcher %s leaves: its entry is gone from the store, it serves on", searcher->id);
    world_after(serve_ms, end_searcher, searcher);
}

void world_crash(searcher_t *searcher)
{
    world_log("searcher %s crashes", searcher->id);
    stop_serving(searcher);
    world_after(ENTRY_LAPSE_MS, remove_entry, searcher);
}

/* -- Gateways ---------------------------------------------------------------------------------- */

gateway_t *world_add_gateway(const char *zone)
{
    gateway_t *gateway = &world_gateways[world_gateway_count];
    gateway->index = world_gateway_count++;
    gateway->zone = zone;
    gateway->name = g_strdup_printf("front-%s-%d", zone, gateway->index);
    gateway->callers = free_port();
    gateway->ready = free_port();
    gateway->peers = free_port();
    gateway->metrics = free_port();
    gateway->store_connections = g_ptr_array_new();
    gateway->store = listen_anywhere(&gateway->store_listener, 0, on_store_connection, gateway);
    return gateway;
}

static void on_process_exit(uv_process_t *process, int64_t status, int number)
{
    gateway_t *gateway = process->data;
    gateway->is_running = false;
    gateway->is_ready = false;
    world_log("gateway %s ended: status %ld, signal %d", gateway->name, (long)status, number);
    uv_close((uv_handle_t *)process, NULL);
}

/* The settings as the platform makes them of deploy/gateway.yaml, with the bounds of the small
 * sites. */
static char *write_settings(const gateway_t *gateway)
{
    char *path = g_strdup_printf("%s/%s.yaml", folder, gateway->name);
    FILE *file = fopen(path, "w");
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    fprintf(file, "name: %s\nzone: %s\ndialect: platform\ncallers: 127.0.0.1:%d\n", gateway->name,
            gateway->zone, gateway->callers);
    fprintf(file, "ready: 127.0.0.1:%d\npeers: 127.0.0.1:%d\nseeds: [", gateway->ready,
            gateway->peers);
    for (int i = 0; i < world_gateway_count && i < 3; i++)
        fprintf(file, "%s'127.0.0.1:%d'", i ? "," : "", world_gateways[i].peers);
    fprintf(file, "]\nstore: 127.0.0.1:%d\nzones: [", gateway->store);
    for (int i = 0; i < world_gateway_count; i++) {
        if (g_hash_table_add(zones, (gpointer)world_gateways[i].zone))
            fprintf(file, "%s{zone: %s, region: region-%s }", i ? "," : "", world_gateways[i].zone,
                    world_gateways[i].zone);
    }
    fprintf(file,
            "]\nheartbeat: 1200ms\ndrain: 3000ms\ngrace: 6s\nretry_ratio: 0.2\n"
            "retry_window: 10s\nretry_slack: 58\nmetrics: 127.0.0.1:%d\n"
            "log_format: json\nlog_level: info\n",
            gateway->metrics);
    g_hash_table_unref(zones);
    fclose(file);
    return path;
}

void world_start_gateway(gateway_t *gateway)
{
    char *path = write_settings(gateway);
    char *variable = g_strdup_printf("TEALSPAR_CONFIG=%s", path);
    char *log_path = g_strdup_printf("%s/%s.log", folder, gateway->name);
    FILE *log = fopen(log_path, "a");
    char *args[] = {"target/tealspar", "gateway", NULL}; /* deploy/system.toml */
    char *env[] = {variable, "PATH=/usr/bin:/bin", NULL};
    uv_stdio_container_t stdio[3] = {{.flags = UV_IGNORE},
                                     {.flags = UV_INHERIT_FD, .data.fd = fileno(log)},
                                     {.flags = UV_INHERIT_FD, .data.fd = fileno(log)}};
    uv_process_options_t options = {.file = args[0],
                                    .args = args,
                                    .env = env,
                                    .exit_cb = on_process_exit,
                                    .stdio = stdio,
                                    .stdio_count = 3};
    gateway->process = (uv_process_t){.data = gateway};
    int status = uv_spawn(&loop, &gateway->process, &options);
    fclose(log);
    if (status != 0) {
        fprintf(stderr, "cannot start a gateway: %s\n", uv_strerror(status));
        world_finish(2);
        return;
    }
    gateway->is_running = true;
    gateway->started_ms = world_now_ms();
    world_log("gateway %s started", gateway->name);
    g_free(path);
    g_free(variable);
    g_free(log_path);
}

void world_signal(gateway_t *gateway, int number)
{
    world_log("gateway %s gets signal %s", gateway->name, strsignal(number));
    if (number == SIGSTOP)
        gateway->stopped_ms = world_now_ms();
    if (number == SIGCONT)
        gateway->continued_ms = world_now_ms();
    if (number == SIGKILL)
        gateway->killed_ms = world_now_ms();
    if (gateway->is_running)
        uv_process_kill(&gateway->process, number);
}

/* How long the gateway's pending watch call waits; 0: none is pending. */
static int pending_watch_ms(const gateway_t *gateway)
{
    int wait_ms = 0;
    for (guint i = 0; i < gateway->store_connections->len; i++) {
        const connection_t *connection = g_ptr_array_index(gateway->store_connections, i);
        if (connection->is_watching && !connection->is_silent)
            wait_ms = MAX(wait_ms, connection->wait_ms);
    }
    return wait_ms;
}

gateway_t *world_watcher(const char *zone)
{
    gateway_t *watcher = NULL;
    for (int i = 0; i < world_gateway_count; i++) {
        gateway_t *gateway = &world_gateways[i];
        if (strcmp(gateway->zone, zone) == 0 &&
            (watcher == NULL || pending_watch_ms(gateway) > pending_watch_ms(watcher)))
            watcher = gateway;
    }
    return watcher;
}

/* -- Clients ----------------------------------------------------------------------------------- */

typedef struct client {
    uv_tcp_t socket;
    uv_connect_t connect;
    uv_timer_t timer;
    gateway_t *gateway;
    char *text;
    GString *in;
    request_log_t *log;
    bool is_probe; /* asks for readiness */
    bool is_closed;
    unsigned open_handles;
} client_t;

static void on_client_closed(uv_handle_t *handle)
{
    client_t *client = handle->data;
    if (--client->open_handles > 0)
        return;
    g_string_free(client->in, TRUE);
    g_free(client->text);
    g_free(client);
}

static void end_client(client_t *client, int status)
{
    if (client->is_closed)
        return;
    client->is_closed = true;
    if (client->is_probe) {
        client->gateway->is_ready = status == 200;
    } else {
        client->log->status = status;
        client->log->ended_ms = world_now_ms();
        world_log("client: %s answered %d after %.0f ms", client->log->id, status,
                  client->log->ended_ms - client->log->sent_ms);
    }
    uv_close((uv_handle_t *)&client->socket, on_client_closed);
    uv_close((uv_handle_t *)&client->timer, on_client_closed);
}

static void on_client_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    client_t *client = stream->data;
    if (length < 0) {
        end_client(client, -1);
        return;
    }
    g_string_append_len(client->in, buffer->base, length);
    char *end = strstr(client->in->str, "\r\n\r\n");
    if (end == NULL)
        return;
    char *head = g_strndup(client->in->str, (gsize)(end + 2 - client->in->str));
    char *size = find_field(head, "Content-Length");
    size_t whole =
        (size_t)(end + 4 - client->in->str) + (size > (char *)0 ? strtoul(size, NULL, 10) : 0);
    if (client->in->len >= whole)
        end_client(client, atoi(head + strlen("HTTP/1.1 ")));
    g_free(size);
    g_free(head);
}

static void on_client_connected(uv_connect_t *connect, int status)
{
    client_t *client = connect->data;
    if (client->is_closed)
        return;
    if (status != 0) {
        end_client(client, -1);
        return;
    }
    uv_read_start((uv_stream_t *)&client->socket, on_alloc, on_client_read);
    send_bytes((uv_stream_t *)&client->socket, client->text, strlen(client->text));
}

static void on_client_timeout(uv_timer_t *timer)
{
    end_client(timer->data, 0);
}

static void start_client(gateway_t *gateway, int port, char *text, request_log_t *log,
                         int timeout_ms)
{
    struct sockaddr_in address;
    client_t *client = g_new0(client_t, 1);
    client->gateway = gateway;
    client->text = text;
    client->log = log;
    client->is_probe = log == NULL;
    client->in = g_string_new(NULL);
    client->open_handles = 2;
    uv_tcp_init(&loop, &client->socket);
    uv_timer_init(&loop, &client->timer);
    client->socket.data = client->timer.data = client->connect.data = client;
    uv_ip4_addr("127.0.0.1", port, &address);
    uv_timer_start(&client->timer, on_client_timeout, (uint64_t)timeout_ms, 0);
    uv_tcp_connect(&client->connect, &client->socket, (struct sockaddr *)&address,
                   on_client_connected);
}

typedef struct stream {
    uv_timer_t timer;
    gateway_t *gateway;
    const char *host, *path;
    int deadline_ms;
} stream_t;

static void send_request(uv_timer_t *timer)
{
    stream_t *stream = timer->data;
    if (!is_traffic_on || !stream->gateway->is_ready)
        return;
    request_log_t *log = g_new0(request_log_t, 1);
    log->gateway = stream->gateway->index;
    log->id = g_strdup_printf("g%d-%06u", log->gateway, request_count++);
    log->sent_ms = world_now_ms();
    g_ptr_array_add(requests, log);
    char *text = g_strdup_printf("GET %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
                                 "X-Deadline-Ms: %d\r\nConnection: close\r\n\r\n",
                                 stream->path, log->id, stream->host, log->id, stream->deadline_ms);
    start_client(stream->gateway, stream->gateway->callers, text, log, stream->deadline_ms);
}

void world_start_traffic(gateway_t *gateway, const char *host, const char *path, double per_s,
                         int deadline_ms)
{
    stream_t *stream = g_new0(stream_t, 1);
    *stream =
        (stream_t){.gateway = gateway, .host = host, .path = path, .deadline_ms = deadline_ms};
    is_traffic_on = true;
    uv_timer_init(&loop, &stream->timer);
    stream->timer.data = stream;
    uv_timer_start(&stream->timer, send_request, 1, (uint64_t)(1000 / per_s));
}

GPtrArray *world_requests(void)
{
    return requests;
}

/* Readiness is asked each second, as the platform does; faster until the first 200. */
static void ask_readiness(uv_timer_t *timer)
{
    for (int i = 0; i < world_gateway_count; i++) {
        gateway_t *gateway = &world_gateways[i];
        if (gateway->is_running)
            start_client(gateway, gateway->ready,
                         g_strdup("GET /api/readiness HTTP/1.1\r\nHost: ready\r\n"
                                  "Connection: close\r\n\r\n"),
                         NULL, 900);
    }
}

bool world_all_ready(void)
{
    for (int i = 0; i < world_gateway_count; i++)
        if (!world_gateways[i].is_ready)
            return false;
    return true;
}

/* -- Start and end ----------------------------------------------------------------------------- */

static uv_timer_t watch_timer, ready_timer;
static uv_signal_t terminate;

/* Ends the run, so that the gateways are ended too. */
static void on_terminate(uv_signal_t *handle, int number)
{
    world_finish(2);
}

void world_open(const char *record_path, const char *work_folder)
{
    signal(SIGPIPE, SIG_IGN);
    opened_ms = (double)uv_hrtime() / 1e6;
    record = fopen(record_path, "w");
    if (record == NULL)
        exit(2);
    folder = g_strdup(work_folder);
    uv_loop_init(&loop);
    searchers = g_ptr_array_new();
    requests = g_ptr_array_new();
    history = g_ptr_array_new();
    items = g_tree_new_full(compare_keys, NULL, NULL, NULL);
    uv_timer_init(&loop, &watch_timer);
    uv_timer_start(&watch_timer, on_watch_tick, 10, 10);
    uv_signal_init(&loop, &terminate);
    uv_signal_start(&terminate, on_terminate, SIGTERM);
    uv_timer_init(&loop, &ready_timer);
    uv_timer_start(&ready_timer, ask_readiness, 500, 1000);
}

void world_on_run(world_run_cb callback)
{
    on_run = callback;
}

void world_finish(int code)
{
    exit_code = code;
    uv_stop(&loop);
}

int world_run(void)
{
    uv_run(&loop, UV_RUN_DEFAULT);
    for (int i = 0; i < world_gateway_count; i++) {
        if (world_gateways[i].is_running) {
            uv_process_kill(&world_gateways[i].process, SIGCONT);
            uv_process_kill(&world_gateways[i].process, SIGKILL);
        }
    }
    uv_run(&loop, UV_RUN_NOWAIT);
    usleep(100000);
    uv_run(&loop, UV_RUN_NOWAIT);
    fclose(record);
    return exit_code;
}
