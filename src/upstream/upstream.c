/** Connections to backends, see tealspar/upstream.h. */
#include "tealspar/upstream.h"
#include "tealspar/late_check.h"

#include <stdlib.h>
#include <string.h>

#include "tealspar/byte_account.h"
#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/stream_end.h"
#include "tealspar/stream_write.h"

#define ANSWER_HEAD_MAX 65536
/* Bodies of requests up to this size are written together with the head, from one buffer. */
#define JOINED_BODY_MAX 4096
/* Bytes of an answer that are read at once before its whole length has room in the budget. */
#define UNRESERVED_READ_BYTES 4096
/* The kernel's buffer for answers on a connection once answers hold this share of their budget. The
 * kernel allocates twice the size. */
#define SHORTAGE_RECEIVE_BYTES 8192
#define SHORTAGE_SHARE 0.25
/* Larger buffers of requests are not kept by idle connections. */
#define REQUEST_KEEP_BYTES 2048
#define ANSWER_BODY_MAX (4U * 1024U * 1024U)
#define CONNECT_TIMEOUT_US (1000 * TS_US_PER_MS)
/*
 * Non-idempotent requests are sent only on connections that have been idle for at most this time:
 * the backend may be closing a connection that has been idle for longer.
 */
#define NON_IDEMPOTENT_IDLE_MAX_US (500 * TS_US_PER_MS)
/*
 * Idle timeout if the backend announces none in its Keep-Alive field. From an announced timeout the
 * margin is subtracted, so that this node closes the connection before the backend does.
 */
#define IDLE_TIMEOUT_DEFAULT_US (4 * TS_US_PER_S)
#define IDLE_TIMEOUT_MARGIN_US (700 * TS_US_PER_MS)
/* A reset within this time after sending is attributed to the connection, not to the request. */
#define PROMPT_RESET_MAX_US (60 * TS_US_PER_MS)
#define CHECK_INTERVAL_MS 50
#define CHECK_INTERVAL_US (CHECK_INTERVAL_MS * TS_US_PER_MS)
/* The process at the address is not the instance named in the request. */
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
    ts_exchange_t *exchange; /**< its current exchange, or NULL */
    GList idle_link;         /**< link in the instance's idle queue */
    GList idle_order_link;   /**< link in `idle_order` */
    ts_http_message_t answer;
    ts_time_us_t idle_since_us;       /**< when it last became idle; 0: never */
    ts_time_us_t idle_before_send_us; /**< how long it was idle before the current exchange */
    ts_time_us_t idle_timeout_us; /**< the connection is closed once idle for longer than this */
    GString *request_bytes;       /**< head of the request being sent, with a short body */
    ts_outgoing_t *written;       /**< owner of a longer body until that is written; or NULL */
    ts_memory_charge_t charge;    /**< for the answer */
    bool is_answer_reserved;      /**< the whole answer has room */
    bool has_small_buffer;        /**< the kernel buffers less than usual */
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
    ts_time_us_t started_us;
    ts_time_us_t sent_us;
    ts_time_us_t until_us;    /**< once released, it is cancelled at this time */
    bool has_pending_failure; /**< connecting or sending failed; reported by check_exchanges() */
    double typical_us;        /**< usual response time; 0: unknown, or already counted as late */
    bool has_invalid_times;   /**< this process stalled during the exchange */
    ts_byte_cause_t cause;    /**< traffic category of its bytes, see byte_account.h */
    bool is_isolated;         /**< only one send of the request at a time */
    ts_exchange_t *previous;
    ts_exchange_t *next;
};

struct ts_upstream {
    uv_loop_t *loop;
    const ts_dialect_t *dialect;
    uv_timer_t timer;           /**< runs while there are exchanges */
    ts_late_check_t late_check; /**< of that timer */
    ts_exchange_t *exchanges;
    ts_upstream_idle_limit_cb_t idle_limit; /* NULL: no limit */
    void *idle_limit_ctx;
    ts_upstream_broken_send_cb_t broken_send; /* may be NULL */
    void *broken_send_ctx;
    ts_stall_detector_t *stall_detector; /* may be NULL */
    ts_memory_budget_t *answer_budget;   /* may be NULL */
    unsigned connections;
    unsigned connections_max; /* 0: not limited */
    GQueue idle_order;        /* idle connections to all instances, the latest first */
};

static void close_connection(ts_connection_t *connection);
static void check_exchanges(uv_timer_t *timer);
static void begin_reading(ts_connection_t *connection);
static void shrink_receive_buffer(ts_connection_t *connection);
static bool is_memory_short(const ts_upstream_t *upstream);

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
        uv_timer_stop(&upstream->timer);
    }
}

/* Detaches the exchange from its connection and frees it. */
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

/*
 * Updates the instance's reported load. A malformed report is counted as an error and resets the
 * load to none reported.
 */
static void update_reported_load(const ts_exchange_t *exchange, const ts_http_message_t *answer,
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

/* Records the result, calls `done` unless released, and frees the exchange. */
static void end_exchange(ts_exchange_t *exchange, ts_exchange_result_t *result)
{
    ts_time_us_t now_us = ts_clock_now_us();
    result->span_us = exchange->sent_us == 0 ? 0 : now_us - exchange->sent_us;
    /* If a stall is found, the times become invalid and do not count against the instance. */
    if (result->span_us > TS_STALL_MIN_US && exchange->upstream->stall_detector != NULL)
        ts_stall_detector_check(exchange->upstream->stall_detector);
    result->has_invalid_times = exchange->has_invalid_times;
    if (result->answer != NULL)
        update_reported_load(exchange, result->answer, now_us);
    if (result->error == TS_OK && result->run == TS_EXECUTION_COMPLETED) {
        bool is_failure = result->answer->parser.status_code >= STATUS_SERVER_ERROR;
        ts_instance_note_result(exchange->instance, is_failure, now_us);
        /* A typical time of 0 leaves the latency statistics and the limit unchanged. */
        ts_instance_note_answer(exchange->instance, now_us, (double)result->span_us,
                                is_failure || exchange->has_invalid_times ? 0
                                                                          : exchange->typical_us);
    } else if (result->error == TS_OK) {
        ts_instance_note_refusal(exchange->instance, now_us);
    }
    /* Another process now uses the address, so the expected instance has ended. */
    if (result->error == TS_OK && result->answer->parser.status_code == STATUS_MISDIRECTED)
        ts_instance_note_ended(exchange->instance);
    exchange->outgoing->sends_in_flight--;
    if (exchange->done != NULL) {
        exchange->done(exchange, result, exchange->owner);
    }
    free_exchange(exchange);
}

/*
 * Records a reset within PROMPT_RESET_MAX_US after sending: the backend rejected a new connection,
 * or had closed a reused one while it was idle.
 */
static void record_reset(const ts_connection_t *connection)
{
    ts_time_us_t now_us = ts_clock_now_us();
    const ts_exchange_t *exchange = connection->exchange;
    bool is_prompt = now_us - exchange->sent_us < PROMPT_RESET_MAX_US;
    if (exchange->sent_us == 0 || !is_prompt || connection->answer.has_begun)
        return; /* not sent, possibly being processed, or the response had begun */
    if (connection->idle_since_us == 0)
        ts_instance_note_connection_rejected(connection->instance, now_us);
    else
        ts_instance_note_idle_reset(connection->instance, connection->idle_before_send_us, now_us);
}

/* Reports a send whose connection failed after the request was sent. */
static void report_broken_send(const ts_exchange_t *exchange)
{
    const ts_upstream_t *upstream = exchange->upstream;
    if (upstream->broken_send == NULL)
        return;
    ts_broken_send_t send = {exchange->instance, exchange->outgoing,
                             ts_clock_now_us() - exchange->sent_us, exchange->done != NULL,
                             exchange->is_isolated};
    upstream->broken_send(upstream->broken_send_ctx, &send);
}

/*
 * Closes the connection and ends its exchange with an error. A request that was sent and got no
 * valid response counts as a failure of the instance, whatever the reason. Failures before sending
 * are not recorded in the instance here.
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
        report_broken_send(exchange);
    connection->exchange = NULL;
    exchange->connection = NULL;
    close_connection(connection);
    end_exchange(exchange, &result);
}

/*
 * Cancels a released exchange after its `until_us`, and fails one that could not connect or send.
 * Ends at most one exchange per call, as the list may change while it ends.
 */
static void check_exchanges(uv_timer_t *timer)
{
    ts_upstream_t *upstream = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    bool is_late = ts_late_check_must_repeat(&upstream->late_check, now_us, CHECK_INTERVAL_US);
    ts_exchange_t *next = NULL;
    if (is_late)
        uv_timer_start(timer, check_exchanges, TS_LATE_CHECK_REPEAT_MS, CHECK_INTERVAL_MS);
    for (ts_exchange_t *exchange = upstream->exchanges; exchange != NULL; exchange = next) {
        next = exchange->next;
        bool has_connect_timed_out = !is_late && exchange->sent_us == 0 &&
                                     now_us - exchange->started_us > CONNECT_TIMEOUT_US;
        if (now_us > exchange->until_us && exchange->done == NULL) {
            ts_exchange_cancel(exchange);
            return; /* the next timer call continues */
        }
        if (exchange->has_pending_failure) {
            uv_timer_start(timer, check_exchanges, 0, CHECK_INTERVAL_MS);
            fail_exchange(exchange, TS_E_CONNECT);
            return;
        }
        if (has_connect_timed_out) {
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
    exchange->outgoing->sends_in_flight--;
    if (connection != NULL) {
        connection->exchange = NULL;
        exchange->connection = NULL;
        close_connection(connection);
    }
    free_exchange(exchange);
}

/* Reads the rest of an answer that nobody waits for, without keeping it. */
static void drop_answer_body(ts_connection_t *connection)
{
    bool is_waiting = connection->charge.wanted > 0;
    ts_http_message_drop_body(&connection->answer);
    ts_memory_charge_clear(&connection->charge);
    if (is_waiting)
        begin_reading(connection);
}

void ts_exchange_release(ts_exchange_t *exchange, ts_time_us_t until_us)
{
    ts_time_us_t now_us = ts_clock_now_us();
    exchange->done = NULL;
    exchange->owner = NULL;
    if (exchange->connection != NULL)
        drop_answer_body(exchange->connection);
    if (exchange->sent_us != 0 && !exchange->has_invalid_times &&
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

bool ts_exchange_has_invalid_times(const ts_exchange_t *exchange)
{
    return exchange->has_invalid_times;
}

bool ts_exchange_is_answer_delayed(const ts_exchange_t *exchange)
{
    return exchange->connection != NULL && exchange->connection->charge.wanted > 0;
}

ts_instance_t *ts_exchange_instance(const ts_exchange_t *exchange)
{
    return exchange->instance;
}

/* -- Connections ------------------------------------------------------------------------------- */

static void release_written(ts_connection_t *connection)
{
    if (connection->written != NULL)
        ts_outgoing_unref(connection->written);
    connection->written = NULL;
}

static void free_connection(uv_handle_t *handle)
{
    ts_connection_t *connection = handle->data;
    ts_http_message_clear(&connection->answer);
    g_string_free(connection->request_bytes, TRUE);
    release_written(connection);
    g_free(connection);
}

static void remove_from_idle(ts_connection_t *connection)
{
    if (connection->is_idle) {
        g_queue_unlink(&connection->instance->idle, &connection->idle_link);
        g_queue_unlink(&connection->upstream->idle_order, &connection->idle_order_link);
        connection->is_idle = false;
    }
}

static void close_connection(ts_connection_t *connection)
{
    if (connection->is_closing) {
        return;
    }
    connection->is_closing = true;
    ts_memory_charge_clear(&connection->charge);
    remove_from_idle(connection);
    connection->instance->connections--;
    connection->upstream->connections--;
    ts_count(TS_COUNTER_BACKEND_CONNECTIONS, -1);
    uv_close((uv_handle_t *)&connection->socket, free_connection);
}

static void on_written(uv_write_t *request, int status)
{
    ts_connection_t *connection = request->data;
    release_written(connection);
    if (status < 0 && status != UV_ECANCELED && connection->exchange != NULL) {
        fail_exchange(connection->exchange, TS_E_IO);
    }
}

/* Whether the body is written from the buffer that all sends of the request share. */
static bool has_long_body(const ts_outgoing_t *outgoing)
{
    return outgoing->body != NULL && outgoing->body->len > JOINED_BODY_MAX;
}

/*
 * Builds the request: the head, which all sends of the request share, the remaining time (at least
 * 1 ms), the expected instance, and a short body.
 */
static void build_request(ts_connection_t *connection, ts_time_us_t now_us)
{
    const ts_outgoing_t *outgoing = connection->exchange->outgoing;
    const ts_header_names_t *names = &connection->upstream->dialect->headers;
    uint64_t left_ms =
        outgoing->deadline_us > now_us ? (outgoing->deadline_us - now_us) / TS_US_PER_MS : 0;
    GString *out = connection->request_bytes;
    g_string_truncate(out, 0);
    g_string_append_len(out, outgoing->head->str, (gssize)outgoing->head->len);
    g_string_append_printf(out, "%s: %lu\r\n%s: %s\r\n\r\n", names->deadline_ms,
                           (unsigned long)(left_ms > 0 ? left_ms : 1), names->expected_instance,
                           connection->instance->id);
    if (outgoing->body != NULL && !has_long_body(outgoing)) {
        g_string_append_len(out, outgoing->body->str, (gssize)outgoing->body->len);
    }
}

/*
 * Schedules the failure of an exchange whose connection could not be started, or whose request
 * could not be sent completely. It is reported on the next loop iteration, as `done` must not be
 * called before ts_upstream_send() has returned the exchange.
 */
static void schedule_failure(ts_exchange_t *exchange)
{
    exchange->has_pending_failure = true;
    uv_timer_start(&exchange->upstream->timer, check_exchanges, 0, CHECK_INTERVAL_MS);
}

static void write_request(ts_connection_t *connection)
{
    ts_exchange_t *exchange = connection->exchange;
    exchange->sent_us = ts_clock_now_us();
    build_request(connection, exchange->sent_us);
    connection->answer.is_response_to_head = exchange->outgoing->is_head_method;
    ts_outgoing_t *outgoing = exchange->outgoing;
    GString *head = connection->request_bytes;
    uv_buf_t buffers[2] = {uv_buf_init(head->str, (unsigned)head->len)};
    unsigned count = 1;
    if (has_long_body(outgoing))
        buffers[count++] = uv_buf_init(outgoing->body->str, (unsigned)outgoing->body->len);
    ts_byte_account_add(exchange->cause, connection->instance->distance,
                        head->len + (count > 1 ? outgoing->body->len : 0));
    ts_count(TS_COUNTER_SENDS, 1);
    ts_count(TS_COUNTER_SENDS_REGION, connection->instance->distance == TS_DISTANCE_SAME_REGION);
    ts_count(TS_COUNTER_SENDS_FAR, connection->instance->distance == TS_DISTANCE_OTHER_REGION);
    bool was_sent = false;
    connection->writing.data = connection;
    int left = ts_stream_write(&connection->writing, (uv_stream_t *)&connection->socket, buffers,
                               count, on_written, &was_sent);
    if (left > 0 && count > 1)
        connection->written = ts_outgoing_ref(outgoing);
    if (left < 0) {
        exchange->sent_us = was_sent ? exchange->sent_us : 0;
        schedule_failure(exchange);
    }
}

static void on_connected(uv_connect_t *request, int status)
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
    if (is_memory_short(connection->upstream))
        shrink_receive_buffer(connection);
    begin_reading(connection);
    if (exchange != NULL) {
        ts_instance_note_connected(connection->instance, exchange->started_us);
        ts_registry_add_rtt_sample(connection->instance->service->registry, connection->instance,
                                   ts_clock_now_us() - exchange->started_us);
        write_request(connection);
    }
}

static ts_connection_t *open_connection(ts_upstream_t *upstream, ts_instance_t *instance)
{
    ts_connection_t *connection = g_new0(ts_connection_t, 1);
    connection->upstream = upstream;
    connection->instance = instance;
    connection->idle_link.data = connection;
    connection->idle_order_link.data = connection;
    connection->idle_timeout_us = IDLE_TIMEOUT_DEFAULT_US;
    connection->request_bytes = g_string_new(NULL);
    connection->charge.budget = upstream->answer_budget;
    ts_http_message_init(&connection->answer, false, ANSWER_HEAD_MAX, ANSWER_BODY_MAX);
    uv_tcp_init(upstream->loop, &connection->socket);
    uv_tcp_nodelay(&connection->socket, 1);
    connection->socket.data = connection;
    connection->connecting.data = connection;
    instance->connections++;
    upstream->connections++;
    ts_count(TS_COUNTER_BACKEND_CONNECTIONS, 1);
    ts_count(TS_COUNTER_CONNECTS, 1);
    return connection;
}

static ts_connection_t *take_idle_connection(ts_instance_t *instance, bool is_repeatable)
{
    ts_time_us_t now_us = ts_clock_now_us();
    while (instance->idle.length > 0) {
        ts_connection_t *connection = instance->idle.head->data;
        ts_time_us_t idle_us = now_us - connection->idle_since_us;
        ts_time_us_t idle_max_us = ts_instance_idle_max_us(instance, now_us);
        if (idle_us > MIN(connection->idle_timeout_us, idle_max_us)) {
            close_connection(connection);
            continue;
        }
        if (!is_repeatable && idle_us > NON_IDEMPOTENT_IDLE_MAX_US) {
            return NULL; /* the rest of the queue has been idle for even longer */
        }
        remove_from_idle(connection);
        connection->idle_before_send_us = idle_us;
        return connection;
    }
    return NULL;
}

/* Returns whether a connection may be opened; closes the one that has been idle for longest if
 * needed. */
static bool make_room_for_connection(const ts_upstream_t *upstream)
{
    if (upstream->connections_max == 0 || upstream->connections < upstream->connections_max)
        return true;
    if (upstream->idle_order.length == 0)
        return false;
    close_connection(upstream->idle_order.tail->data);
    return true;
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
    exchange->started_us = ts_clock_now_us();
    exchange->until_us = outgoing->deadline_us;
    exchange->next = upstream->exchanges;
    if (exchange->next != NULL) {
        exchange->next->previous = exchange;
    } else {
        {
            ts_late_check_start(&upstream->late_check, ts_clock_now_us());
            uv_timer_start(&upstream->timer, check_exchanges, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS);
        }
    }
    upstream->exchanges = exchange;
    instance->in_flight++;
    outgoing->sends_in_flight++;
    return exchange;
}

ts_exchange_t *ts_upstream_send(ts_upstream_t *upstream, ts_instance_t *instance,
                                ts_outgoing_t *outgoing, const ts_send_terms_t *terms,
                                ts_exchange_done_t done, void *owner)
{
    ts_exchange_t *exchange = create_exchange(upstream, instance, outgoing, done, owner);
    exchange->typical_us = terms->typical_us;
    exchange->is_isolated = terms->is_isolated;
    exchange->cause = terms->is_repeat ? TS_BYTES_SECOND_SEND : TS_BYTES_FIRST_SEND;
    ts_connection_t *connection = take_idle_connection(instance, outgoing->is_repeatable);
    bool is_new = connection == NULL;
    bool has_descriptor = !is_new || make_room_for_connection(upstream);
    if (is_new) {
        connection = open_connection(upstream, instance);
    }
    connection->exchange = exchange;
    exchange->connection = connection;
    if (!is_new) {
        write_request(connection);
        return exchange;
    }
    if (!has_descriptor) {
        ts_count(TS_COUNTER_CONNECTS_DENIED, 1);
        schedule_failure(exchange);
        return exchange;
    }
    if (uv_tcp_connect(&connection->connecting, &connection->socket,
                       (const struct sockaddr *)&instance->address, on_connected) != 0) {
        ts_count(TS_COUNTER_CONNECTS_FAILED, 1);
        schedule_failure(exchange);
    }
    return exchange;
}

/* -- Responses --------------------------------------------------------------------------------- */

static void provide_read_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[65536]; /* shared: there is one loop, and each read is consumed immediately */
    const ts_connection_t *connection = handle->data;
    bool may_read_all = connection->is_answer_reserved || connection->answer.is_body_dropped;
    *buffer = uv_buf_init(bytes, may_read_all ? sizeof(bytes) : UNRESERVED_READ_BYTES);
}

static void on_answer_reserved(void *ctx)
{
    ts_connection_t *connection = ctx;
    connection->is_answer_reserved = true;
    begin_reading(connection);
}

/* Memory that the answer takes; without a length, that of the largest allowed one. */
static size_t answer_memory(const ts_http_message_t *answer)
{
    size_t length = (size_t)MIN(answer->body_length, ANSWER_BODY_MAX - 1);
    return ts_memory_of_length(length) + ts_memory_of_string(answer->text) +
           ts_memory_of_string(answer->target);
}

/*
 * Lets the kernel buffer less of the answers on this connection. Not done in general, as it makes
 * long answers from far backends slower.
 */
static void shrink_receive_buffer(ts_connection_t *connection)
{
    int bytes = SHORTAGE_RECEIVE_BYTES;
    if (connection->has_small_buffer)
        return;
    connection->has_small_buffer = true;
    if (uv_recv_buffer_size((uv_handle_t *)&connection->socket, &bytes) != 0)
        ts_log(TS_EVENT_FAILURE, "option=receive_buffer bytes=%d instance=%s",
               SHORTAGE_RECEIVE_BYTES, connection->instance->id);
}

/* Whether answers hold so much memory that some may have to wait soon. */
static bool is_memory_short(const ts_upstream_t *upstream)
{
    return upstream->answer_budget != NULL &&
           !ts_memory_budget_has_room(upstream->answer_budget, 0, SHORTAGE_SHARE);
}

/* Reserves memory for the rest of an answer, or pauses reading until there is room for it. */
static void reserve_answer(ts_connection_t *connection)
{
    ts_http_message_t *answer = &connection->answer;
    ts_exchange_t *exchange = connection->exchange;
    if (answer->is_body_dropped)
        return;
    if (!answer->is_head_complete || connection->is_answer_reserved) {
        ts_memory_charge_set(&connection->charge,
                             MAX(connection->charge.bytes, ts_http_message_memory(answer)));
        return;
    }
    connection->is_answer_reserved =
        ts_memory_reserve(&connection->charge, answer_memory(answer),
                          exchange->outgoing->arrived_us, on_answer_reserved, connection);
    if (connection->is_answer_reserved)
        return;
    ts_count(TS_COUNTER_ANSWERS_DELAYED, 1);
    exchange->has_invalid_times = true; // the wait is this node's, not the backend's
    shrink_receive_buffer(connection);
    uv_read_stop((uv_stream_t *)&connection->socket);
}

/* Idle timeout from the Keep-Alive field, less the margin; 0: too short to reuse the connection. */
static ts_time_us_t parse_idle_timeout(const ts_http_message_t *answer)
{
    const char *value = ts_http_message_find(answer, "Keep-Alive");
    const char *timeout = value == NULL ? NULL : strcasestr(value, "timeout=");
    if (timeout == NULL) {
        return IDLE_TIMEOUT_DEFAULT_US;
    }
    ts_time_us_t announced_us = strtoul(timeout + strlen("timeout="), NULL, 10) * TS_US_PER_S;
    return announced_us > IDLE_TIMEOUT_MARGIN_US ? announced_us - IDLE_TIMEOUT_MARGIN_US : 0;
}

/* Whether the instance ran the request, according to the response. */
static ts_execution_t get_execution_state(const ts_upstream_t *upstream,
                                          const ts_http_message_t *answer)
{
    bool is_not_executed =
        ts_http_message_find(answer, upstream->dialect->headers.not_executed) != NULL;
    return is_not_executed || answer->parser.status_code == STATUS_MISDIRECTED
               ? TS_EXECUTION_NONE
               : TS_EXECUTION_COMPLETED;
}

/* Whether the response belongs to this request; a faulty backend may mix up responses. */
static bool has_expected_id(const ts_exchange_t *exchange, const ts_http_message_t *answer)
{
    const char *expected_id = exchange->outgoing->request_id;
    if (expected_id == NULL) {
        return true;
    }
    const ts_header_names_t *names = &exchange->upstream->dialect->headers;
    const char *id = ts_http_message_find(answer, names->request_id);
    if (id == NULL) {
        return answer->parser.status_code > STATUS_SUCCESS_LAST; /* some refusals have no id */
    }
    return strcmp(id, expected_id) == 0;
}

/*
 * A successful response must have the searcher's signature and no content encoding, as the body
 * must be as the searcher produced it.
 */
static bool is_valid_answer(const ts_upstream_t *upstream, const ts_http_message_t *answer)
{
    unsigned status = answer->parser.status_code;
    if (status < STATUS_SUCCESS_FIRST || status > STATUS_SUCCESS_LAST) {
        return true;
    }
    return ts_http_message_find(answer, upstream->dialect->headers.signature) != NULL &&
           ts_http_message_find(answer, "Content-Encoding") == NULL;
}

/* Closes the connections that have been idle longest, down to this node's limit. */
static void close_excess_idle(const ts_upstream_t *upstream, ts_instance_t *instance,
                              ts_time_us_t now_us)
{
    if (upstream->idle_limit == NULL || instance->idle.length == 0)
        return;
    uint32_t limit = upstream->idle_limit(upstream->idle_limit_ctx, instance, now_us);
    while (instance->idle.length > limit) {
        close_connection(instance->idle.tail->data);
    }
}

/* Frees what the last request and its answer needed, as the connection may be idle for long. */
static void free_buffers(ts_connection_t *connection)
{
    ts_http_message_reset(&connection->answer);
    ts_memory_charge_clear(&connection->charge);
    connection->is_answer_reserved = false;
    if (connection->request_bytes->allocated_len > REQUEST_KEEP_BYTES) {
        g_string_free(connection->request_bytes, TRUE);
        connection->request_bytes = g_string_new(NULL);
    }
}

static void make_idle(ts_connection_t *connection)
{
    connection->idle_since_us = ts_clock_now_us();
    connection->idle_timeout_us = parse_idle_timeout(&connection->answer);
    free_buffers(connection);
    if (connection->idle_timeout_us == 0 || connection->instance->is_draining) {
        close_connection(connection);
        return;
    }
    connection->is_idle = true;
    g_queue_push_head_link(&connection->instance->idle, &connection->idle_link);
    g_queue_push_head_link(&connection->upstream->idle_order, &connection->idle_order_link);
    close_excess_idle(connection->upstream, connection->instance, connection->idle_since_us);
}

/* Handles a complete response. `is_stream_unusable`: the stream ended, or more bytes follow. */
static void finish_answer(ts_connection_t *connection, bool is_stream_unusable)
{
    ts_exchange_t *exchange = connection->exchange;
    ts_http_message_t *answer = &connection->answer;
    if (!has_expected_id(exchange, answer) || !is_valid_answer(connection->upstream, answer)) {
        fail_exchange(exchange, TS_E_BAD_ANSWER);
        return;
    }
    ts_exchange_result_t result = {
        .error = TS_OK, .run = get_execution_state(connection->upstream, answer), .answer = answer};
    bool is_reusable = answer->keeps_alive && !is_stream_unusable &&
                       !uv_is_closing((uv_handle_t *)&connection->socket) &&
                       (!connection->has_small_buffer || is_memory_short(connection->upstream)) &&
                       connection->socket.write_queue_size == 0;
    connection->exchange = NULL;
    exchange->connection = NULL;
    end_exchange(exchange, &result);
    if (is_reusable) {
        make_idle(connection);
    } else {
        close_connection(connection);
    }
}

static void handle_stream_end(ts_connection_t *connection, ssize_t status)
{
    ts_exchange_t *exchange = connection->exchange;
    if (exchange == NULL) {
        close_connection(connection);
        return;
    }
    /* Checked once: the check clears a pending reset of the socket. */
    bool is_clean_close =
        status == UV_EOF && ts_stream_closed_cleanly((uv_stream_t *)&connection->socket);
    if (is_clean_close) {
        ts_http_message_finish(&connection->answer);
        if (connection->answer.is_complete) {
            finish_answer(connection, true);
            return;
        }
    } else {
        record_reset(connection);
    }
    fail_exchange(exchange, TS_E_IO);
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    ts_connection_t *connection = stream->data;
    if (length == 0 || connection->is_closing) {
        return;
    }
    if (length < 0) {
        handle_stream_end(connection, length);
        return;
    }
    if (connection->exchange == NULL) {
        close_connection(connection); /* unexpected bytes without a request */
        return;
    }
    ts_byte_account_add(connection->exchange->cause, connection->instance->distance,
                        (size_t)length);
    ts_http_message_t *answer = &connection->answer;
    size_t used = ts_http_message_feed(answer, buffer->base, (size_t)length);
    if (answer->error != TS_OK) {
        fail_exchange(connection->exchange, TS_E_BAD_ANSWER);
    } else if (answer->is_complete) {
        finish_answer(connection, used < (size_t)length);
    } else {
        reserve_answer(connection);
    }
}

static void begin_reading(ts_connection_t *connection)
{
    uv_read_start((uv_stream_t *)&connection->socket, provide_read_buffer, on_read);
}

/* -- Setup ------------------------------------------------------------------------------------- */

ts_upstream_t *ts_upstream_create(uv_loop_t *loop, const ts_dialect_t *dialect)
{
    ts_upstream_t *upstream = g_new0(ts_upstream_t, 1);
    upstream->loop = loop;
    upstream->dialect = dialect;
    g_queue_init(&upstream->idle_order);
    uv_timer_init(loop, &upstream->timer);
    upstream->timer.data = upstream;
    return upstream;
}

void ts_upstream_set_idle_limit_callback(ts_upstream_t *upstream,
                                         ts_upstream_idle_limit_cb_t callback, void *ctx)
{
    upstream->idle_limit = callback;
    upstream->idle_limit_ctx = ctx;
}

void ts_upstream_set_broken_send_callback(ts_upstream_t *upstream,
                                          ts_upstream_broken_send_cb_t callback, void *ctx)
{
    upstream->broken_send = callback;
    upstream->broken_send_ctx = ctx;
}

void ts_upstream_set_stall_detector(ts_upstream_t *upstream, ts_stall_detector_t *detector)
{
    upstream->stall_detector = detector;
}

void ts_upstream_set_connections_max(ts_upstream_t *upstream, unsigned connections_max)
{
    upstream->connections_max = connections_max;
}

void ts_upstream_set_answer_budget(ts_upstream_t *upstream, ts_memory_budget_t *budget)
{
    upstream->answer_budget = budget;
}

void ts_upstream_invalidate_times(ts_upstream_t *upstream)
{
    for (ts_exchange_t *exchange = upstream->exchanges; exchange != NULL; exchange = exchange->next)
        exchange->has_invalid_times = true;
}

void ts_upstream_sweep(ts_upstream_t *upstream, ts_instance_t *instance, ts_time_us_t now_us)
{
    GList *link = instance->idle.head;
    while (link != NULL) {
        ts_connection_t *connection = link->data;
        link = link->next;
        bool is_leaving = !instance->is_listed || instance->is_draining;
        if (is_leaving || now_us - connection->idle_since_us > connection->idle_timeout_us) {
            close_connection(connection);
        }
    }
    close_excess_idle(upstream, instance, now_us);
}
