/** Connections to back ends, one request at a time on each. */
#include "tealspar/upstream.h"

#include <stdlib.h>
#include <string.h>

#include "tealspar/byte_account.h"
#include "tealspar/counters.h"
#include "tealspar/stream_end.h"

#define ANSWER_HEAD_MAX 65536
#define ANSWER_BODY_MAX (4U * 1024U * 1024U)
#define CONNECT_TIMEOUT_US (1000 * TS_US_PER_MS)
/* A connection that rested longer may be closing: unrepeatable requests do not go there. */
#define FRESH_US (500 * TS_US_PER_MS)
/* Rest allowed when the back end does not tell, and the margin kept when it does. */
#define REST_DEFAULT_US (4 * TS_US_PER_S)
#define REST_MARGIN_US (700 * TS_US_PER_MS)
/* A reset this soon after the sending comes of the connection, not of the request. */
#define RESET_PROMPT_US (60 * TS_US_PER_MS)
#define TICK_MS 50
#define STATUS_MISDIRECTED 421
#define STATUS_SUCCESS_FIRST 200
#define STATUS_SERVER_ERROR 500
#define STATUS_SUCCESS_LAST 299

typedef struct ts_connection {
    uv_tcp_t socket;
    uv_connect_t connecting;
    uv_write_t writing;
    ts_upstream_t *upstream;
    ts_instance_t *instance;
    ts_exchange_t *exchange; /**< the one it carries, or NULL */
    GList place;             /**< in the instance's idle queue */
    ts_http_message_t answer;
    ts_time_us_t rested_us;     /**< since when it rests; 0: it has carried no answer yet */
    ts_time_us_t rest_taken_us; /**< how long it had rested when the request was sent */
    ts_time_us_t rest_us;       /**< how long it may rest */
    GString *sending;           /**< bytes on their way */
    bool is_idle;
    bool is_closing;
} ts_connection_t;

struct ts_exchange {
    ts_upstream_t *upstream;
    ts_connection_t *connection;
    ts_instance_t *instance;
    ts_outgoing_t *outgoing;
    ts_exchange_done_t done; /**< NULL once released */
    void *owner;
    ts_time_us_t begun_us;
    ts_time_us_t sent_us;
    ts_time_us_t until_us; /**< cancelled after this */
    bool is_unsendable;    /**< its connection took nothing of it */
    double typical_us;     /**< what such a request takes; 0: not known, or judged already */
    bool is_untimed;       /**< this process stood still while it was out */
    ts_byte_cause_t cause; /**< what its bytes are for */
    bool is_lone;          /**< its request is tried by one send at a time */
    ts_exchange_t *previous;
    ts_exchange_t *next;
};

struct ts_upstream {
    uv_loop_t *loop;
    const ts_dialect_t *dialect;
    uv_timer_t tick; /**< runs while there are exchanges */
    ts_exchange_t *exchanges;
    ts_upstream_kept_t kept; /* NULL: all connections are kept */
    void *kept_ctx;
    ts_upstream_broken_t broken; /* NULL: nobody is told */
    void *broken_ctx;
    ts_stall_detector_t *wake; /* NULL: nobody notices */
};

static void close_connection(ts_connection_t *connection);
static void check_exchanges(uv_timer_t *timer);
static void begin_reading(ts_connection_t *connection);

/* -- Exchanges --------------------------------------------------------------------------------- */

static void unlink_exchange(ts_exchange_t *exchange)
{
    ts_upstream_t *upstream = exchange->upstream;
    if (exchange->previous != NULL) {
        exchange->previous->next = exchange->next;
    } else {
        upstream->exchanges = exchange->next;
    }
    if (exchange->next != NULL) {
        exchange->next->previous = exchange->previous;
    }
    if (upstream->exchanges == NULL) {
        uv_timer_stop(&upstream->tick);
    }
}

/* Takes the exchange off its connection and frees it. */
static void free_exchange(ts_exchange_t *exchange)
{
    unlink_exchange(exchange);
    exchange->instance->in_flight--;
    if (exchange->connection != NULL) {
        exchange->connection->exchange = NULL;
    }
    ts_outgoing_unref(exchange->outgoing);
    g_free(exchange);
}

/* What the answer tells of its instance's load; something unreadable is counted and passed over. */
static void take_load(const ts_exchange_t *exchange, const ts_http_message_t *answer,
                      ts_time_us_t now_us)
{
    const ts_dialect_t *dialect = exchange->upstream->dialect;
    const char *text = ts_http_message_find(answer, dialect->headers.load);
    ts_reported_load_t load = {0};
    if (text == NULL)
        return;
    ts_error_t error = dialect->read_load(text, &load);
    load.reported_us = error == TS_OK ? now_us : 0;
    exchange->instance->reported_load = load;
    if (error != TS_OK)
        ts_count_error(error);
}

/* Tells the owner, if there is one still, and frees the exchange. */
static void end_exchange(ts_exchange_t *exchange, ts_exchange_result_t *result)
{
    ts_time_us_t now_us = ts_clock_now_us();
    result->span_us = exchange->sent_us == 0 ? 0 : now_us - exchange->sent_us;
    if (result->span_us > TS_STALL_MIN_US && exchange->upstream->wake != NULL)
        ts_stall_detector_check(
            exchange->upstream->wake); // before the answer is held against anybody
    result->is_untimed = exchange->is_untimed;
    if (result->answer != NULL)
        take_load(exchange, result->answer, now_us);
    if (result->error == TS_OK && result->run == TS_EXECUTION_COMPLETED) {
        bool is_failure = result->answer->parser.status_code >= STATUS_SERVER_ERROR;
        ts_instance_note_result(exchange->instance, is_failure, now_us);
        ts_instance_note_answer(exchange->instance, now_us, (double)result->span_us,
                                is_failure || exchange->is_untimed ? 0 : exchange->typical_us);
    } else if (result->error == TS_OK) {
        ts_instance_note_refusal(exchange->instance, now_us);
    }
    if (result->error == TS_OK && result->answer->parser.status_code == STATUS_MISDIRECTED)
        ts_instance_note_ended(exchange->instance);
    exchange->outgoing->sends_out--;
    if (exchange->done != NULL) {
        exchange->done(exchange, result, exchange->owner);
    }
    free_exchange(exchange);
}

/* What a connection that was reset without an answer says of itself. */
static void note_reset(const ts_connection_t *connection)
{
    ts_time_us_t now_us = ts_clock_now_us();
    const ts_exchange_t *exchange = connection->exchange;
    bool is_prompt = now_us - exchange->sent_us < RESET_PROMPT_US;
    if (exchange->sent_us == 0 || !is_prompt || connection->answer.has_begun)
        return; /* it was at work, or had begun to answer */
    if (connection->rested_us == 0)
        ts_instance_note_connection_rejected(connection->instance, now_us);
    else
        ts_instance_note_idle_reset(connection->instance, connection->rest_taken_us, now_us);
}

/* Tells of a send that the end of its connection broke off. */
static void tell_broken(const ts_exchange_t *exchange)
{
    const ts_upstream_t *upstream = exchange->upstream;
    if (upstream->broken == NULL)
        return;
    ts_broken_send_t send = {exchange->instance, exchange->outgoing,
                             ts_clock_now_us() - exchange->sent_us, exchange->done != NULL,
                             exchange->is_lone};
    upstream->broken(upstream->broken_ctx, &send);
}

/*
 * The exchange fails with its connection. A request that left and brought no answer is a failure of
 * its instance, whatever the reason.
 */
static void fail_exchange(ts_exchange_t *exchange, ts_error_t error)
{
    ts_connection_t *connection = exchange->connection;
    if (exchange->sent_us != 0)
        ts_instance_note_result(exchange->instance, true, ts_clock_now_us());
    ts_execution_t run = exchange->sent_us == 0 ? TS_EXECUTION_NONE : TS_EXECUTION_POSSIBLE;
    ts_exchange_result_t result = {.error = error, .run = run};
    ts_count(TS_COUNTER_SEND_FAILURES, 1);
    ts_count_error(error);
    if (exchange->sent_us != 0 && error == TS_E_IO)
        tell_broken(exchange);
    connection->exchange = NULL;
    exchange->connection = NULL;
    close_connection(connection);
    end_exchange(exchange, &result);
}

static void check_exchanges(uv_timer_t *timer)
{
    ts_upstream_t *upstream = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    ts_exchange_t *next = NULL;
    for (ts_exchange_t *exchange = upstream->exchanges; exchange != NULL; exchange = next) {
        next = exchange->next;
        bool is_late_connect =
            exchange->sent_us == 0 && now_us - exchange->begun_us > CONNECT_TIMEOUT_US;
        if (now_us > exchange->until_us && exchange->done == NULL) {
            ts_exchange_cancel(exchange);
            return; /* the list may have changed: the rest on the next turn */
        }
        if (exchange->is_unsendable) {
            uv_timer_start(timer, check_exchanges, 0, TICK_MS);
            fail_exchange(exchange, TS_E_CONNECT);
            return;
        }
        if (is_late_connect) {
            ts_count(TS_COUNTER_CONNECTS_FAILED, 1);
            ts_instance_note_failure(exchange->instance, now_us);
            fail_exchange(exchange, TS_E_CONNECT);
            return;
        }
    }
}

void ts_exchange_cancel(ts_exchange_t *exchange)
{
    ts_connection_t *connection = exchange->connection;
    exchange->done = NULL;
    exchange->outgoing->sends_out--;
    if (connection != NULL) {
        connection->exchange = NULL;
        exchange->connection = NULL;
        close_connection(connection);
    }
    free_exchange(exchange);
}

void ts_exchange_release(ts_exchange_t *exchange, ts_time_us_t until_us)
{
    ts_time_us_t now_us = ts_clock_now_us();
    exchange->done = NULL;
    exchange->owner = NULL;
    if (exchange->sent_us != 0 && !exchange->is_untimed &&
        ts_instance_note_unanswered(exchange->instance, now_us,
                                    (double)(now_us - exchange->sent_us), exchange->typical_us))
        exchange->typical_us = 0;
    if (until_us < exchange->until_us) {
        exchange->until_us = until_us;
    }
}

ts_time_us_t ts_exchange_sent_us(const ts_exchange_t *exchange)
{
    return exchange->sent_us;
}

bool ts_exchange_is_untimed(const ts_exchange_t *exchange)
{
    return exchange->is_untimed;
}

ts_instance_t *ts_exchange_instance(const ts_exchange_t *exchange)
{
    return exchange->instance;
}

/* -- Connections ------------------------------------------------------------------------------- */

static void free_connection(uv_handle_t *handle)
{
    ts_connection_t *connection = handle->data;
    ts_http_message_clear(&connection->answer);
    g_string_free(connection->sending, TRUE);
    g_free(connection);
}

static void leave_idle(ts_connection_t *connection)
{
    if (connection->is_idle) {
        g_queue_unlink(&connection->instance->idle, &connection->place);
        connection->is_idle = false;
    }
}

static void close_connection(ts_connection_t *connection)
{
    if (connection->is_closing) {
        return;
    }
    connection->is_closing = true;
    leave_idle(connection);
    connection->instance->connections--;
    uv_close((uv_handle_t *)&connection->socket, free_connection);
}

static void write_done(uv_write_t *request, int status)
{
    ts_connection_t *connection = request->data;
    if (status < 0 && status != UV_ECANCELED && connection->exchange != NULL) {
        fail_exchange(connection->exchange, TS_E_IO);
    }
}

/* Composes the bytes: the shared head, what is left of the time, and whom we expect there. */
static void compose(ts_connection_t *connection, ts_time_us_t now_us)
{
    const ts_outgoing_t *outgoing = connection->exchange->outgoing;
    const ts_header_names_t *names = &connection->upstream->dialect->headers;
    uint64_t left_ms =
        outgoing->deadline_us > now_us ? (outgoing->deadline_us - now_us) / TS_US_PER_MS : 0;
    GString *out = connection->sending;
    g_string_truncate(out, 0);
    g_string_append_len(out, outgoing->head->str, (gssize)outgoing->head->len);
    g_string_append_printf(out, "%s: %lu\r\n%s: %s\r\n\r\n", names->deadline_ms,
                           (unsigned long)(left_ms > 0 ? left_ms : 1), names->expected_instance,
                           connection->instance->id);
    if (outgoing->body != NULL) {
        g_string_append_len(out, outgoing->body->str, (gssize)outgoing->body->len);
    }
}

/*
 * The request could not be sent, or not the whole of it: the next turn of the loop reports it, as
 * the caller of ts_upstream_send does not expect the end of an exchange that it has not been given
 * yet.
 */
static void fail_soon(ts_exchange_t *exchange)
{
    exchange->is_unsendable = true;
    uv_timer_start(&exchange->upstream->tick, check_exchanges, 0, TICK_MS);
}

static void write_request(ts_connection_t *connection)
{
    ts_exchange_t *exchange = connection->exchange;
    exchange->sent_us = ts_clock_now_us();
    compose(connection, exchange->sent_us);
    connection->answer.answers_head = exchange->outgoing->is_head_method;
    ts_account_bytes(exchange->cause, connection->instance->distance, connection->sending->len);
    ts_count(TS_COUNTER_SENDS, 1);
    ts_count(TS_COUNTER_SENDS_REGION, connection->instance->distance == TS_DISTANCE_SAME_REGION);
    ts_count(TS_COUNTER_SENDS_FAR, connection->instance->distance == TS_DISTANCE_OTHER_REGION);
    uv_buf_t buffer = uv_buf_init(connection->sending->str, (unsigned)connection->sending->len);
    int sent = uv_try_write((uv_stream_t *)&connection->socket, &buffer, 1);
    if (sent == (int)buffer.len) {
        return;
    }
    if (sent < 0 && sent != UV_EAGAIN) {
        exchange->sent_us = 0; /* nothing of it left */
        fail_soon(exchange);
        return;
    }
    if (sent > 0) {
        buffer.base += sent;
        buffer.len -= (size_t)sent;
    }
    connection->writing.data = connection;
    if (uv_write(&connection->writing, (uv_stream_t *)&connection->socket, &buffer, 1,
                 write_done) != 0) {
        exchange->sent_us = sent > 0 ? exchange->sent_us : 0;
        fail_soon(exchange);
    }
}

static void connected(uv_connect_t *request, int status)
{
    ts_connection_t *connection = request->data;
    if (connection->is_closing) {
        return;
    }
    ts_exchange_t *exchange = connection->exchange;
    if (status < 0) {
        ts_count(TS_COUNTER_CONNECTS_FAILED, 1);
        ts_instance_note_failure(connection->instance, ts_clock_now_us());
        if (status == UV_ECONNREFUSED)
            ts_instance_note_ended(connection->instance);
        if (exchange != NULL) {
            fail_exchange(exchange, TS_E_CONNECT);
        } else {
            close_connection(connection);
        }
        return;
    }
    begin_reading(connection);
    if (exchange != NULL) {
        ts_instance_note_connected(connection->instance, exchange->begun_us);
        ts_registry_add_rtt_sample(connection->instance->service->registry, connection->instance,
                                   ts_clock_now_us() - exchange->begun_us);
        write_request(connection);
    }
}

static ts_connection_t *open_connection(ts_upstream_t *upstream, ts_instance_t *instance)
{
    ts_connection_t *connection = g_new0(ts_connection_t, 1);
    connection->upstream = upstream;
    connection->instance = instance;
    connection->place.data = connection;
    connection->rest_us = REST_DEFAULT_US;
    connection->sending = g_string_new(NULL);
    ts_http_message_init(&connection->answer, false, ANSWER_HEAD_MAX, ANSWER_BODY_MAX);
    uv_tcp_init(upstream->loop, &connection->socket);
    uv_tcp_nodelay(&connection->socket, 1);
    connection->socket.data = connection;
    connection->connecting.data = connection;
    instance->connections++;
    ts_count(TS_COUNTER_CONNECTS, 1);
    return connection;
}

static ts_connection_t *take_idle(ts_instance_t *instance, bool is_repeatable)
{
    ts_time_us_t now_us = ts_clock_now_us();
    while (instance->idle.length > 0) {
        ts_connection_t *connection = instance->idle.head->data;
        ts_time_us_t rest_us = now_us - connection->rested_us;
        ts_time_us_t most_us = ts_instance_idle_max_us(instance, now_us);
        if (rest_us > MIN(connection->rest_us, most_us)) {
            close_connection(connection);
            continue;
        }
        if (!is_repeatable && rest_us > FRESH_US) {
            return NULL;
        }
        leave_idle(connection);
        connection->rest_taken_us = rest_us;
        return connection;
    }
    return NULL;
}

static ts_exchange_t *create_exchange(ts_upstream_t *upstream, ts_instance_t *instance,
                                      ts_outgoing_t *outgoing, ts_exchange_done_t done, void *owner)
{
    ts_exchange_t *exchange = g_new0(ts_exchange_t, 1);
    exchange->upstream = upstream;
    exchange->instance = instance;
    exchange->outgoing = ts_outgoing_ref(outgoing);
    exchange->done = done;
    exchange->owner = owner;
    exchange->begun_us = ts_clock_now_us();
    exchange->until_us = outgoing->deadline_us;
    exchange->next = upstream->exchanges;
    if (exchange->next != NULL) {
        exchange->next->previous = exchange;
    } else {
        uv_timer_start(&upstream->tick, check_exchanges, TICK_MS, TICK_MS);
    }
    upstream->exchanges = exchange;
    instance->in_flight++;
    outgoing->sends_out++;
    return exchange;
}

ts_exchange_t *ts_upstream_send(ts_upstream_t *upstream, ts_instance_t *instance,
                                ts_outgoing_t *outgoing, const ts_send_terms_t *terms,
                                ts_exchange_done_t done, void *owner)
{
    ts_exchange_t *exchange = create_exchange(upstream, instance, outgoing, done, owner);
    exchange->typical_us = terms->typical_us;
    exchange->is_lone = terms->is_lone;
    exchange->cause = terms->is_repeat ? TS_BYTES_SECOND_SEND : TS_BYTES_FIRST_SEND;
    ts_connection_t *connection = take_idle(instance, outgoing->is_repeatable);
    bool is_new = connection == NULL;
    if (is_new) {
        connection = open_connection(upstream, instance);
    }
    connection->exchange = exchange;
    exchange->connection = connection;
    if (!is_new) {
        ts_http_message_reset(&connection->answer);
        write_request(connection);
        return exchange;
    }
    if (uv_tcp_connect(&connection->connecting, &connection->socket,
                       (const struct sockaddr *)&instance->address, connected) != 0) {
        ts_count(TS_COUNTER_CONNECTS_FAILED, 1);
        fail_soon(exchange);
    }
    return exchange;
}

/* -- Answers ----------------------------------------------------------------------------------- */

static void allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[65536]; /* one loop, and each read is used up at once */
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

/* How long the back end lets the connection rest, by its Keep-Alive field. */
static ts_time_us_t read_rest(const ts_http_message_t *answer)
{
    const char *value = ts_http_message_find(answer, "Keep-Alive");
    const char *timeout = value == NULL ? NULL : strcasestr(value, "timeout=");
    if (timeout == NULL) {
        return REST_DEFAULT_US;
    }
    ts_time_us_t told_us = strtoul(timeout + strlen("timeout="), NULL, 10) * TS_US_PER_S;
    return told_us > REST_MARGIN_US ? told_us - REST_MARGIN_US : 0;
}

/* Whether the request was run, as the answer tells it. */
static ts_execution_t read_run(const ts_upstream_t *upstream, const ts_http_message_t *answer)
{
    bool says_not = ts_http_message_find(answer, upstream->dialect->headers.not_executed) != NULL;
    return says_not || answer->parser.status_code == STATUS_MISDIRECTED ? TS_EXECUTION_NONE
                                                                        : TS_EXECUTION_COMPLETED;
}

/* Whether the answer is one to this request: another's may come in its place. */
static bool is_own_answer(const ts_exchange_t *exchange, const ts_http_message_t *answer)
{
    const char *wanted = exchange->outgoing->request_id;
    if (wanted == NULL) {
        return true;
    }
    const ts_header_names_t *names = &exchange->upstream->dialect->headers;
    const char *id = ts_http_message_find(answer, names->request_id);
    if (id == NULL) {
        return answer->parser.status_code > STATUS_SUCCESS_LAST; /* some refusals carry no id */
    }
    return strcmp(id, wanted) == 0;
}

/* Success must carry the searcher's signature and its own bytes. */
static bool is_usable(const ts_upstream_t *upstream, const ts_http_message_t *answer)
{
    unsigned status = answer->parser.status_code;
    if (status < STATUS_SUCCESS_FIRST || status > STATUS_SUCCESS_LAST) {
        return true;
    }
    return ts_http_message_find(answer, upstream->dialect->headers.signature) != NULL &&
           ts_http_message_find(answer, "Content-Encoding") == NULL;
}

/* Closes what rests beyond this node's share, the longest at rest first. */
static void close_surplus(const ts_upstream_t *upstream, ts_instance_t *instance,
                          ts_time_us_t now_us)
{
    if (upstream->kept == NULL || instance->idle.length == 0)
        return;
    uint32_t kept = upstream->kept(upstream->kept_ctx, instance, now_us);
    while (instance->idle.length > kept) {
        close_connection(instance->idle.tail->data);
    }
}

static void rest(ts_connection_t *connection)
{
    connection->rested_us = ts_clock_now_us();
    connection->rest_us = read_rest(&connection->answer);
    if (connection->rest_us == 0 || connection->instance->is_draining) {
        close_connection(connection);
        return;
    }
    connection->is_idle = true;
    g_queue_push_head_link(&connection->instance->idle, &connection->place);
    close_surplus(connection->upstream, connection->instance, connection->rested_us);
}

/* One whole answer is in; `has_extra`: further bytes came with it. */
static void end_answer(ts_connection_t *connection, bool has_extra)
{
    ts_exchange_t *exchange = connection->exchange;
    const ts_http_message_t *answer = &connection->answer;
    if (!is_own_answer(exchange, answer) || !is_usable(connection->upstream, answer)) {
        fail_exchange(exchange, TS_E_BAD_ANSWER);
        return;
    }
    ts_exchange_result_t result = {
        .error = TS_OK, .run = read_run(connection->upstream, answer), .answer = answer};
    bool is_reusable = answer->keeps_alive && !has_extra &&
                       !uv_is_closing((uv_handle_t *)&connection->socket) &&
                       connection->socket.write_queue_size == 0;
    connection->exchange = NULL;
    exchange->connection = NULL;
    end_exchange(exchange, &result);
    if (is_reusable) {
        rest(connection);
    } else {
        close_connection(connection);
    }
}

static void read_end(ts_connection_t *connection, ssize_t status)
{
    ts_exchange_t *exchange = connection->exchange;
    if (exchange == NULL) {
        close_connection(connection);
        return;
    }
    /* Asked once: the question takes a reset off the socket. */
    bool is_in_order =
        status == UV_EOF && ts_stream_ended_in_order((uv_stream_t *)&connection->socket);
    if (is_in_order) {
        ts_http_message_finish(&connection->answer);
        if (connection->answer.is_complete) {
            end_answer(connection, true);
            return;
        }
    } else {
        note_reset(connection);
    }
    fail_exchange(exchange, TS_E_IO);
}

static void read_bytes(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    ts_connection_t *connection = stream->data;
    if (length == 0 || connection->is_closing) {
        return;
    }
    if (length < 0) {
        read_end(connection, length);
        return;
    }
    if (connection->exchange == NULL) {
        close_connection(connection); /* bytes that belong to no request */
        return;
    }
    ts_account_bytes(connection->exchange->cause, connection->instance->distance, (size_t)length);
    ts_http_message_t *answer = &connection->answer;
    size_t used = ts_http_message_feed(answer, buffer->base, (size_t)length);
    if (answer->error != TS_OK) {
        fail_exchange(connection->exchange, TS_E_BAD_ANSWER);
    } else if (answer->is_complete) {
        end_answer(connection, used < (size_t)length);
    }
}

static void begin_reading(ts_connection_t *connection)
{
    uv_read_start((uv_stream_t *)&connection->socket, allocate, read_bytes);
}

/* -- Life -------------------------------------------------------------------------------------- */

ts_upstream_t *ts_upstream_create(uv_loop_t *loop, const ts_dialect_t *dialect)
{
    ts_upstream_t *upstream = g_new0(ts_upstream_t, 1);
    upstream->loop = loop;
    upstream->dialect = dialect;
    uv_timer_init(loop, &upstream->tick);
    upstream->tick.data = upstream;
    return upstream;
}

void ts_upstream_on_rest(ts_upstream_t *upstream, ts_upstream_kept_t kept, void *ctx)
{
    upstream->kept = kept;
    upstream->kept_ctx = ctx;
}

void ts_upstream_on_broken(ts_upstream_t *upstream, ts_upstream_broken_t broken, void *ctx)
{
    upstream->broken = broken;
    upstream->broken_ctx = ctx;
}

void ts_upstream_on_late(ts_upstream_t *upstream, ts_stall_detector_t *wake)
{
    upstream->wake = wake;
}

void ts_upstream_forget_times(ts_upstream_t *upstream)
{
    for (ts_exchange_t *exchange = upstream->exchanges; exchange != NULL; exchange = exchange->next)
        exchange->is_untimed = true;
}

void ts_upstream_sweep(ts_upstream_t *upstream, ts_instance_t *instance, ts_time_us_t now_us)
{
    GList *link = instance->idle.head;
    while (link != NULL) {
        ts_connection_t *connection = link->data;
        link = link->next;
        bool has_left = !instance->is_listed || instance->is_draining;
        if (has_left || now_us - connection->rested_us > connection->rest_us) {
            close_connection(connection);
        }
    }
    close_surplus(upstream, instance, now_us);
}
