/** A stand-in searcher. */
#include "standin_searcher.h"

#include <inttypes.h>
#include <string.h>

#include "../platform/names.h"
#include "ports.h"
#include "tealspar/clock.h"
#include "tealspar/http_message.h"

#define HEAD_MAX 65536
#define BODY_MAX (1U << 20)
/* When the first life began, and how much later each one after it. */
#define FIRST_BORN_MS 1700000000000U
#define LIFE_MS 1000U
#define LISTEN_IP "127.0.0.1"
#define BACKLOG 64
/* Bytes that an answer which is broken off lacks. */
#define HALF_BROKEN 8

typedef struct visitor {
    uv_tcp_t socket;
    uv_timer_t timer;
    lab_searcher_t *searcher;
    ts_http_message_t request;
    GString *answer;
    unsigned handles;      /* open ones */
    ts_time_us_t heard_us; /* when the last bytes came or an answer left */
    bool is_refused;       /* the request under way is not run */
    bool is_working;
    bool is_closing;
} visitor_t;

static void handle_closed(uv_handle_t *handle)
{
    visitor_t *visitor = handle->data;
    if (--visitor->handles == 0) {
        ts_http_message_clear(&visitor->request);
        g_string_free(visitor->answer, TRUE);
        g_free(visitor);
    }
}

static void close_visitor(visitor_t *visitor, bool resets)
{
    if (visitor->is_closing) {
        return;
    }
    visitor->is_closing = true;
    g_ptr_array_remove_fast(visitor->searcher->visitors, visitor);
    visitor->searcher->open--;
    visitor->searcher->closed_early += visitor->is_working;
    if (resets) {
        uv_tcp_close_reset(&visitor->socket, handle_closed);
    } else {
        uv_close((uv_handle_t *)&visitor->socket, handle_closed);
    }
    uv_close((uv_handle_t *)&visitor->timer, handle_closed);
}

static void send_bytes(visitor_t *visitor)
{
    uv_buf_t buffer = uv_buf_init(visitor->answer->str, (unsigned)visitor->answer->len);
    (void)uv_try_write((uv_stream_t *)&visitor->socket, &buffer, 1);
    visitor->heard_us = ts_clock_now_us();
}

static void append_head(visitor_t *visitor, unsigned status, const char *id, const char *extra)
{
    g_string_append_printf(visitor->answer, "HTTP/1.1 %u X\r\n%s: %s\r\n%s", status,
                           NAME_REQUEST_ID, id, extra);
}

/* The body of the answer to a request, for the caller to free. */
static GString *compose_body(lab_searcher_t *searcher, const char *id)
{
    GString *body = g_string_new_len(searcher->body->str, (gssize)searcher->body->len);
    if (searcher->ops != NULL && searcher->ops->compose != NULL) {
        g_string_truncate(body, 0);
        searcher->ops->compose(searcher->ctx, searcher, id, body);
    }
    return body;
}

static void append_whole(visitor_t *visitor, unsigned status, const char *id, const char *extra)
{
    lab_searcher_t *searcher = visitor->searcher;
    GString *body = compose_body(searcher, id);
    char *fields =
        g_strdup_printf("%s: sig.%s.%u.%s\r\n%sContent-Length: %zu\r\n\r\n", NAME_SIGNATURE,
                        searcher->id, searcher->runs, id, extra, body->len);
    append_head(visitor, status, id, fields);
    g_string_append_len(visitor->answer, body->str, (gssize)body->len);
    g_string_free(body, TRUE);
    g_free(fields);
}

/* An answer that ends with its connection; half of it or the whole. */
static void append_unframed(visitor_t *visitor, const char *id, bool is_whole)
{
    lab_searcher_t *searcher = visitor->searcher;
    GString *body = compose_body(searcher, id);
    char *fields = g_strdup_printf("%s: sig.%s.%u.%s\r\n\r\n", NAME_SIGNATURE, searcher->id,
                                   searcher->runs, id);
    append_head(visitor, 200, id, fields);
    g_string_append_len(visitor->answer, body->str, (gssize)(is_whole ? body->len : body->len / 2));
    g_string_free(body, TRUE);
    g_free(fields);
}

static void misbehave(visitor_t *visitor, const char *id)
{
    switch (visitor->searcher->behaviour) {
    case LAB_BREAKS_OFF:
        append_whole(visitor, 200, id, "");
        g_string_truncate(visitor->answer, visitor->answer->len - HALF_BROKEN);
        send_bytes(visitor);
        close_visitor(visitor, true);
        break;
    case LAB_UNFRAMED:
        append_unframed(visitor, id, true);
        send_bytes(visitor);
        close_visitor(visitor, false);
        break;
    case LAB_UNFRAMED_RESET:
        append_unframed(visitor, id, false);
        send_bytes(visitor);
        close_visitor(visitor, true);
        break;
    case LAB_GARBAGE:
        g_string_append(visitor->answer, "these bytes are no answer\r\n\r\n");
        send_bytes(visitor);
        break;
    default:
        break;
    }
}

/* Whether a request is refused was decided when it came; the rest as the searcher is now. */
static lab_behaviour_t behaviour_for(const visitor_t *visitor)
{
    if (visitor->is_refused)
        return LAB_SHEDS;
    lab_behaviour_t behaviour = visitor->searcher->behaviour;
    return behaviour == LAB_SHEDS ? LAB_ANSWERS : behaviour;
}

static void start_again(uv_handle_t *socket);

static void reset_visitors(lab_searcher_t *searcher)
{
    while (searcher->visitors->len > 0)
        close_visitor(g_ptr_array_index(searcher->visitors, 0), true);
}

static void socket_closed(uv_handle_t *socket)
{
    lab_searcher_t *searcher = socket->data;
    searcher->is_closed = true;
    if (searcher->restarts)
        start_again(socket);
    searcher->restarts = false;
    reset_visitors(searcher);
}

void lab_searcher_end(lab_searcher_t *searcher, const char *request_id)
{
    if (searcher->has_ended)
        return;
    searcher->has_ended = true;
    if (searcher->ops != NULL && searcher->ops->ended != NULL)
        searcher->ops->ended(searcher->ctx, searcher, request_id);
    searcher->is_closed = false;
    uv_close((uv_handle_t *)&searcher->socket, socket_closed);
    if (!searcher->restarts)
        reset_visitors(searcher);
}

static bool is_fatal(const visitor_t *visitor)
{
    const char *fatal = visitor->searcher->crashes_on;
    return fatal != NULL && !visitor->is_refused &&
           strstr(visitor->request.target->str, fatal) != NULL;
}

static void answer(visitor_t *visitor)
{
    lab_searcher_t *searcher = visitor->searcher;
    const char *id = ts_http_message_find(&visitor->request, NAME_REQUEST_ID);
    id = id == NULL ? "" : id;
    if (is_fatal(visitor)) {
        lab_searcher_end(searcher, id);
        return;
    }
    g_string_truncate(visitor->answer, 0);
    visitor->is_working = false;
    switch (behaviour_for(visitor)) {
    case LAB_ANSWERS:
    case LAB_CLOSES_AFTER:
        append_whole(visitor, 200, id, "");
        break;
    case LAB_SHEDS:
        append_head(visitor, 503, id, NAME_NOT_EXECUTED ": 1\r\nContent-Length: 0\r\n\r\n");
        break;
    case LAB_FAILS:
        append_whole(visitor, 500, id, "");
        break;
    case LAB_ANSWERS_TWICE:
        append_whole(visitor, 200, id, "");
        append_whole(visitor, 200, id, "");
        break;
    case LAB_FOREIGN_ID:
        append_whole(visitor, 200, "another", "");
        break;
    case LAB_UNSIGNED:
        append_head(visitor, 200, id, "Content-Length: 0\r\n\r\n");
        break;
    case LAB_ENCODED:
        append_whole(visitor, 200, id, "Content-Encoding: gzip\r\n");
        break;
    case LAB_HANGS:
        visitor->is_working = true;
        return;
    default:
        misbehave(visitor, id);
        return;
    }
    send_bytes(visitor);
    if (searcher->behaviour == LAB_CLOSES_AFTER) {
        close_visitor(visitor, false);
        return;
    }
    ts_http_message_reset(&visitor->request);
}

static void answer_later(uv_timer_t *timer)
{
    answer(timer->data);
}

static void remember(visitor_t *visitor)
{
    const ts_http_message_t *request = &visitor->request;
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "%s %s\r\n",
                           http_method_str((enum http_method)request->parser.method),
                           request->target->str);
    for (guint i = 0; i < request->fields->len; i++) {
        const ts_http_field_t *field = &g_array_index(request->fields, ts_http_field_t, i);
        g_string_append_printf(text, "%s: %s\r\n", ts_http_message_text(request, field->name),
                               ts_http_message_text(request, field->value));
    }
    g_string_append_printf(text, "\r\n%s", request->body->str);
    g_ptr_array_add(visitor->searcher->heads, g_string_free(text, FALSE));
}

static void take_request(visitor_t *visitor)
{
    lab_searcher_t *searcher = visitor->searcher;
    const char *expected = ts_http_message_find(&visitor->request, NAME_EXPECTED_INSTANCE);
    if (expected != NULL && strcmp(expected, searcher->id) != 0) {
        searcher->misdirected++;
        g_string_truncate(visitor->answer, 0);
        g_string_append(visitor->answer,
                        "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        send_bytes(visitor);
        ts_http_message_reset(&visitor->request);
        return;
    }
    visitor->is_refused = searcher->behaviour == LAB_SHEDS;
    if (searcher->ops != NULL && searcher->ops->heard != NULL)
        searcher->ops->heard(searcher->ctx, searcher, &visitor->request);
    if (searcher->ops == NULL)
        remember(visitor);
    else if (searcher->ops->arrived != NULL)
        searcher->ops->arrived(searcher->ctx, searcher,
                               ts_http_message_find(&visitor->request, NAME_REQUEST_ID),
                               !visitor->is_refused);
    searcher->runs += !visitor->is_refused;
    visitor->is_working = true;
    if (searcher->delay_ms == 0) {
        answer(visitor);
    } else {
        uv_timer_start(&visitor->timer, answer_later, searcher->delay_ms, 0);
    }
}

static void allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[65536];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static bool has_forgotten(const visitor_t *visitor)
{
    unsigned forgets_ms = visitor->searcher->forgets_ms;
    ts_time_us_t rest_us = ts_clock_now_us() - visitor->heard_us;
    return forgets_ms > 0 && rest_us > forgets_ms * TS_US_PER_MS;
}

static void read_bytes(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    visitor_t *visitor = stream->data;
    if (length < 0) {
        close_visitor(visitor, false);
        return;
    }
    if (has_forgotten(visitor)) {
        visitor->searcher->resets++;
        close_visitor(visitor, true);
        return;
    }
    visitor->heard_us = ts_clock_now_us();
    (void)ts_http_message_feed(&visitor->request, buffer->base, (size_t)length);
    if (visitor->request.is_complete) {
        take_request(visitor);
    }
}

static void accept_visitor(uv_stream_t *server, int status)
{
    visitor_t *visitor = g_new0(visitor_t, 1);
    visitor->searcher = server->data;
    visitor->searcher->connections++;
    visitor->searcher->open++;
    g_ptr_array_add(visitor->searcher->visitors, visitor);
    visitor->heard_us = ts_clock_now_us();
    visitor->answer = g_string_new(NULL);
    visitor->handles = 2;
    ts_http_message_init(&visitor->request, true, HEAD_MAX, BODY_MAX);
    uv_tcp_init(server->loop, &visitor->socket);
    uv_timer_init(server->loop, &visitor->timer);
    visitor->socket.data = visitor;
    visitor->timer.data = visitor;
    if (uv_accept(server, (uv_stream_t *)&visitor->socket) != 0) {
        close_visitor(visitor, false);
        return;
    }
    const lab_searcher_t *searcher = visitor->searcher;
    if (searcher->connections_max > 0 && searcher->open > searcher->connections_max) {
        visitor->searcher->resets++;
        close_visitor(visitor, true);
        return;
    }
    uv_read_start((uv_stream_t *)&visitor->socket, allocate, read_bytes);
}

/* A stand-in that nobody can reach would make a test judge something else: the program ends. */
static void begin_listening(lab_searcher_t *searcher)
{
    struct sockaddr_in address;
    uv_tcp_init(searcher->loop, &searcher->socket);
    searcher->socket.data = searcher;
    uv_ip4_addr(LISTEN_IP, (int)searcher->port, &address);
    uv_tcp_bind(&searcher->socket, (const struct sockaddr *)&address, 0);
    int status = uv_listen((uv_stream_t *)&searcher->socket, BACKLOG, accept_visitor);
    if (status != 0)
        g_error("searcher %s cannot listen on port %u: %s", searcher->id, searcher->port,
                uv_strerror(status));
}

static void start_again(uv_handle_t *socket)
{
    lab_searcher_t *searcher = socket->data;
    searcher->has_ended = false;
    begin_listening(searcher);
}

void lab_searcher_restart(lab_searcher_t *searcher)
{
    searcher->born_ms += LIFE_MS;
    if (uv_is_closing((const uv_handle_t *)&searcher->socket) && searcher->is_closed)
        start_again((uv_handle_t *)&searcher->socket);
    else
        searcher->restarts = true; // as soon as the socket is closed
}

lab_searcher_t *lab_searcher_open(uv_loop_t *loop, const char *id, const char *service,
                                  const char *zone)
{
    lab_searcher_t *searcher = g_new0(lab_searcher_t, 1);
    searcher->id = g_strdup(id);
    searcher->service = g_strdup(service);
    searcher->zone = g_strdup(zone);
    searcher->body = g_string_new("0123456789abcdef");
    searcher->heads = g_ptr_array_new_with_free_func(g_free);
    searcher->visitors = g_ptr_array_new();
    searcher->loop = loop;
    searcher->born_ms = FIRST_BORN_MS;
    searcher->port = lab_next_port(LISTEN_IP);
    begin_listening(searcher);
    return searcher;
}

char *lab_searcher_entry(const lab_searcher_t *searcher, bool is_draining)
{
    return g_strdup_printf("{\"%s\":\"%s\",\"%s\":\"" LISTEN_IP ":%u\",\"%s\":\"%s\",\"%s\":4,"
                           "\"%s\":\"%s\",\"%s\":0,\"%s\":%" PRIu64 "}",
                           FIELD_SERVICE, searcher->service, FIELD_ADDRESS, searcher->port,
                           FIELD_ZONE, searcher->zone, FIELD_SLOTS, FIELD_STATE,
                           is_draining ? VALUE_DRAINING : VALUE_READY, FIELD_WARMUP_MS,
                           FIELD_START_TIME_MS, searcher->born_ms);
}

char *lab_searcher_last_field(const lab_searcher_t *searcher, const char *name)
{
    if (searcher->heads->len == 0) {
        return NULL;
    }
    const char *text = g_ptr_array_index(searcher->heads, searcher->heads->len - 1);
    char *wanted = g_strdup_printf("\r\n%s: ", name);
    const char *found = strstr(text, wanted);
    char *value = NULL;
    if (found != NULL) {
        found += strlen(wanted);
        value = g_strndup(found, strcspn(found, "\r\n"));
    }
    g_free(wanted);
    return value;
}
