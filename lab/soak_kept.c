/**
 * Clients of the soak that keep their connections: each sends one request after the other on one
 * connection until the gateway closes it, also while the gateway stops, and then opens another.
 * Some requests take longer than a gateway's shutdown. A stopping gateway also gets further
 * signals, and is suspended for up to a second.
 */
#include "soak.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "../platform/names.h"
#include "tealspar/http_message.h"

#define CLIENTS_PER_NODE 3
#define PAUSE_MIN_MS 50
#define PAUSE_MAX_MS 500
#define DEADLINE_MS 9000
// Of 1000 requests, those that take SLOW_MIN_MS to SLOW_MAX_MS.
#define SLOW_PER_1000 30
#define SLOW_MIN_MS 1000
#define SLOW_MAX_MS 7000
#define ONCE_ONLY_PERCENT 40
// Probability of a further signal to a stopping gateway, at each pause of a client.
#define SIGNAL_PERCENT 3
#define SUSPEND_PERCENT 1
#define SUSPEND_MIN_MS 200
#define SUSPEND_MAX_MS 1000
// Later suspensions could last beyond the grace period.
#define SUSPEND_BEGIN_MAX_US (4 * TS_US_PER_S)
// A connection that is closed at the same time as a request is sent on it has not read the request.
#define CROSSING_US (200 * TS_US_PER_MS)
#define HEAD_MAX 65536
#define BODY_MAX (1U << 20)

typedef enum kept_state {
    KEPT_CLOSED,
    KEPT_CONNECTING,
    KEPT_IDLE,
    KEPT_AWAITING, // a response
    KEPT_CLOSING
} kept_state_t;

typedef struct kept_client {
    soak_t *s;
    soak_node_t *node;
    kept_state_t state;
    uv_tcp_t socket;
    uv_connect_t connecting;
    uv_timer_t timer; // the next connection or request
    ts_http_message_t response;
    char id[24];
    soak_request_record_t *record;
    unsigned incarnation; // of `node` when the request was sent
    ts_time_us_t sent_us;
    bool was_undisturbed; // the node, when the request was sent
} kept_client_t;

// Of its own, so that the draws of the faults do not depend on these clients.
static GRand *random_source;

static void schedule(kept_client_t *client);

static unsigned random_between(unsigned begin, unsigned end)
{
    return (unsigned)g_rand_int_range(random_source, (gint32)begin, (gint32)end);
}

unsigned soak_response_delay_ms(const char *target)
{
    const char *prefix = strstr(target, SOAK_TIMED_TEXT);
    return prefix == NULL ? 0 : (unsigned)atoi(prefix + strlen(SOAK_TIMED_TEXT));
}

// -- End of a request

static void handle_closed(uv_handle_t *handle)
{
    kept_client_t *client = handle->data;
    client->state = KEPT_CLOSED;
    schedule(client);
}

static void close_connection(kept_client_t *client)
{
    if (client->state == KEPT_CLOSED || client->state == KEPT_CLOSING)
        return;
    client->state = KEPT_CLOSING;
    uv_close((uv_handle_t *)&client->socket, handle_closed);
}

// The connection was closed while a response was awaited. Allowed if the gateway or its links were
// disturbed, or if it has not read the request.
static void check_closed(const kept_client_t *client)
{
    ts_time_us_t age_us = ts_clock_now_us() - client->sent_us;
    bool was_read = client->record->runs > 0 || age_us > CROSSING_US;
    bool is_undisturbed = client->was_undisturbed &&
                          client->incarnation == client->node->incarnation &&
                          soak_node_is_undisturbed_since(client->node, client->sent_us);
    if (was_read && is_undisturbed)
        soak_report_violation(client->s, "LOST", "%s closed %s without an answer after %lu ms%s%s",
                              client->node->name, client->id,
                              (unsigned long)(age_us / TS_US_PER_MS),
                              client->record->runs > 0 ? ", a searcher has run it" : "",
                              client->node->is_stopping ? ", while it stopped" : "");
}

static void check_response(kept_client_t *client)
{
    unsigned status = client->response.parser.status_code;
    const char *signature = ts_http_message_find(&client->response, NAME_SIGNATURE);
    bool is_refusal = status == 429 || status == 503;
    client->record->was_refused |= is_refusal;
    if (is_refusal && client->record->runs > 0 && !client->record->is_repeatable)
        soak_report_violation(client->s, "REFUSED", "%s answered %s with %u though it ran",
                              client->node->name, client->id, status);
    if (status == 200 && (signature == NULL || !g_str_has_suffix(signature, client->id)))
        soak_report_violation(client->s, "MIXED", "%s answered %s with another's answer",
                              client->node->name, client->id);
    client->s->kept_responses[status / 100 < 6 ? status / 100 : 0]++;
}

// -- Requests

static void allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[65536];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void read_bytes(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    kept_client_t *client = stream->data;
    if (length > 0 && client->state == KEPT_AWAITING)
        (void)ts_http_message_feed(&client->response, buffer->base, (size_t)length);
    if (client->state == KEPT_AWAITING && client->response.is_complete) {
        check_response(client);
        client->state = KEPT_IDLE;
        if (client->response.keeps_alive)
            schedule(client);
        else
            close_connection(client);
    }
    if (length >= 0)
        return;
    if (client->state == KEPT_AWAITING) {
        client->s->kept_responses[0]++;
        check_closed(client);
    }
    uv_timer_stop(&client->timer);
    close_connection(client);
}

// Records a request for the checks of its arrivals at searchers.
static void record_request(kept_client_t *client, bool is_once_only)
{
    soak_t *s = client->s;
    soak_request_record_t *record = g_new0(soak_request_record_t, 1);
    record->node = client->node;
    record->is_repeatable = !is_once_only && !s->options.simulates_bugs;
    g_hash_table_insert(s->request_records, g_strdup(client->id), record);
    g_array_append_val(s->budgets[soak_forward_service(s->version)].requests, client->sent_us);
    client->record = record;
}

static void send_request(kept_client_t *client)
{
    soak_t *s = client->s;
    bool is_once_only = random_between(0, 100) < ONCE_ONLY_PERCENT;
    bool is_slow = random_between(0, 1000) < SLOW_PER_1000;
    unsigned work_ms = is_slow ? random_between(SLOW_MIN_MS, SLOW_MAX_MS) : 0;
    client->sent_us = ts_clock_now_us();
    client->incarnation = client->node->incarnation;
    client->was_undisturbed = soak_node_is_undisturbed(client->node, client->sent_us);
    g_snprintf(client->id, sizeof(client->id), "k%u", ++s->kept_requests);
    record_request(client, is_once_only);
    char *credentials = soak_choose_credentials(s, client->record, false, true);
    char *text =
        g_strdup_printf("GET /%s/" SOAK_TIMED_TEXT
                        "%u/%s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n%s\r\n",
                        is_once_only ? "kept-once" : "kept", work_ms, client->id, NAME_REQUEST_ID,
                        client->id, NAME_DEADLINE_MS, DEADLINE_MS, credentials);
    uv_buf_t buffer = uv_buf_init(text, (unsigned)strlen(text));
    client->state = KEPT_AWAITING;
    ts_http_message_reset(&client->response);
    (void)uv_try_write((uv_stream_t *)&client->socket, &buffer, 1);
    g_free(text);
    g_free(credentials);
}

// -- Connections

static void on_connected(uv_connect_t *request, int status)
{
    kept_client_t *client = request->data;
    if (client->state != KEPT_CONNECTING)
        return;
    if (status != 0) {
        close_connection(client);
        return;
    }
    uv_read_start((uv_stream_t *)&client->socket, allocate, read_bytes);
    send_request(client);
}

static void connect_client(kept_client_t *client)
{
    struct sockaddr_in address;
    uv_tcp_init(&client->s->loop, &client->socket);
    client->socket.data = client;
    client->connecting.data = client;
    client->state = KEPT_CONNECTING;
    uv_ip4_addr(client->node->ip, (int)client->node->callers_port, &address);
    if (uv_tcp_connect(&client->connecting, &client->socket, (const struct sockaddr *)&address,
                       on_connected) != 0)
        close_connection(client);
}

// A platform may repeat its stop signal or report changed settings during a shutdown.
static void signal_stopping_node(soak_node_t *node)
{
    static const int numbers[] = {SIGHUP, SIGTERM, SIGINT};
    if (node->is_running && node->is_stopping && random_between(0, 100) < SIGNAL_PERCENT)
        soak_node_repeat_signal(node, numbers[random_between(0, G_N_ELEMENTS(numbers))]);
}

static void resume_node(uv_timer_t *timer)
{
    soak_node_repeat_signal(timer->data, SIGCONT);
}

// Requests that arrive meanwhile must be read before their connections are closed.
static void suspend_stopping_node(soak_node_t *node)
{
    ts_time_us_t since_us = ts_clock_now_us() - node->sigterm_us;
    bool is_possible = node->is_running && node->is_stopping && since_us < SUSPEND_BEGIN_MAX_US &&
                       !uv_is_active((const uv_handle_t *)&node->resume_timer);
    if (!is_possible || random_between(0, 100) >= SUSPEND_PERCENT)
        return;
    soak_node_repeat_signal(node, SIGSTOP);
    uv_timer_start(&node->resume_timer, resume_node, random_between(SUSPEND_MIN_MS, SUSPEND_MAX_MS),
                   0);
}

static void on_timer(uv_timer_t *timer)
{
    kept_client_t *client = timer->data;
    signal_stopping_node(client->node);
    suspend_stopping_node(client->node);
    if (client->state == KEPT_IDLE)
        send_request(client);
    else if (client->state == KEPT_CLOSED && client->node->is_running)
        connect_client(client);
    else
        schedule(client);
}

// Schedules the next request, or the next connection if it is closed.
static void schedule(kept_client_t *client)
{
    uv_timer_start(&client->timer, on_timer, random_between(PAUSE_MIN_MS, PAUSE_MAX_MS), 0);
}

void soak_kept_clients_start(soak_t *s)
{
    random_source = g_rand_new_with_seed((guint32)s->options.seed + 1);
    for (unsigned i = 0; i < s->options.nodes; i++) {
        uv_timer_init(&s->loop, &s->nodes[i].resume_timer);
        s->nodes[i].resume_timer.data = &s->nodes[i];
    }
    for (unsigned i = 0; i < s->options.nodes * CLIENTS_PER_NODE; i++) {
        kept_client_t *client = g_new0(kept_client_t, 1);
        client->s = s;
        client->node = &s->nodes[i % s->options.nodes];
        ts_http_message_init(&client->response, false, HEAD_MAX, BODY_MAX);
        uv_timer_init(&s->loop, &client->timer);
        client->timer.data = client;
        schedule(client);
    }
}
