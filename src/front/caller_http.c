/** Query API over HTTP: POST /v1/query. */
#include <stdlib.h>
#include <string.h>

#include "caller_json.h"
#include "tealspar/counters.h"
#include "tealspar/front.h"
#include "tealspar/http_server.h"
#include "tealspar/plugin.h"

#define REQUEST_TIMEOUT_MS 5000U
#define REQUEST_ID_HEADER "x-request-id"
#define REQUEST_ID_SIZE 129

static ts_http_server_t *server;
static ts_front_t *front_instance;

/* An HTTP request whose query is in progress. */
typedef struct caller_request {
    ts_http_exchange_t *exchange;
    ts_query_t *query;
} caller_request_t;

static int refusal_status(ts_error_t error)
{
    switch (error) {
    case TS_E_BAD_REQUEST:
        return 400;
    case TS_E_UNKNOWN_KIND:
    case TS_E_NOT_FOUND:
        return 404;
    case TS_E_METHOD:
        return 405;
    case TS_E_ID_REUSED:
        return 409;
    case TS_E_TOO_LARGE:
        return 413;
    default:
        return 503;
    }
}

static int answer_status(const ts_answer_t *answer)
{
    switch (answer->outcome) {
    case TS_OUTCOME_ANSWERED:
        return 200;
    case TS_OUTCOME_REFUSED:
        return refusal_status(answer->error);
    case TS_OUTCOME_UNKNOWN:
        return 504;
    }
    return 500;
}

static void send_answer(ts_http_exchange_t *exchange, const ts_answer_t *answer, const char *detail)
{
    char *text = ts_caller_json_write(answer, detail);
    int status = answer_status(answer);
    bool is_retryable = status >= 500;
    ts_http_reply(exchange, status, "application/json", text, strlen(text),
                  is_retryable ? answer->retry_after_ms : 0);
    free(text);
}

static void refuse(ts_http_exchange_t *exchange, ts_error_t error, const char *detail)
{
    ts_answer_t answer = {.outcome = TS_OUTCOME_REFUSED, .error = error};
    ts_count(TS_COUNTER_HTTP_BAD_REQUESTS, 1);
    ts_count_error(error);
    send_answer(exchange, &answer, detail);
}

static void on_answer(void *context, const ts_answer_t *answer)
{
    caller_request_t *caller_request = context;
    send_answer(caller_request->exchange, answer, NULL);
    g_free(caller_request);
}

static void on_disconnect(void *context)
{
    caller_request_t *caller_request = context;
    ts_front_abandon(caller_request->query);
    g_free(caller_request);
}

/* Sets the id if the body has none: from the header or else generated, so that log lines and
   journals can be matched. A generated id is issued now, unless the body gives a time. */
static void ensure_id(ts_http_exchange_t *exchange, ts_query_request_t *request)
{
    char id[REQUEST_ID_SIZE];
    if (request->id != NULL) {
        return;
    }
    bool has_header = ts_http_header(exchange, REQUEST_ID_HEADER, id, sizeof(id)) &&
                      id[0] != '\0' && g_utf8_validate(id, -1, NULL);
    if (has_header) {
        request->id = g_strdup(id);
        return;
    }
    request->id = g_uuid_string_random();
    if (request->issued_at_ms == 0) {
        request->issued_at_ms = ts_clock_wall_ms();
    }
}

static void start_query(ts_http_exchange_t *exchange, ts_query_request_t *request)
{
    caller_request_t *caller_request = g_new0(caller_request_t, 1);
    caller_request->exchange = exchange;
    ensure_id(exchange, request);
    ts_query_t *query = ts_front_submit(front_instance, request, on_answer, caller_request);
    if (query != NULL) { /* else on_answer() has freed `caller_request` */
        caller_request->query = query;
        ts_http_set_abandoned_callback(exchange, on_disconnect, caller_request);
    }
}

static bool equals(const char *text, size_t length, const char *expected)
{
    return strlen(expected) == length && memcmp(text, expected, length) == 0;
}

static void handle_request(void *context, ts_http_exchange_t *exchange,
                           const ts_http_request_t *http)
{
    ts_query_request_t request;
    const char *detail = NULL;
    if (!equals(http->path, http->path_length, "/v1/query")) {
        refuse(exchange, TS_E_NOT_FOUND, "the only resource here is /v1/query");
        return;
    }
    if (!equals(http->method, http->method_length, "POST")) {
        refuse(exchange, TS_E_METHOD, "queries are sent with POST");
        return;
    }
    ts_error_t error = ts_caller_json_read(http->body, http->body_length, &request, &detail);
    if (error != TS_OK) {
        refuse(exchange, error, detail);
        return;
    }
    start_query(exchange, &request);
}

static ts_error_t open_api(uv_loop_t *loop, const ts_settings_t *settings, ts_front_t *front)
{
    ts_http_limits_t limits = {settings->body_bytes_max, REQUEST_TIMEOUT_MS,
                               settings->connections_max};
    front_instance = front;
    return ts_http_server_open(&server, loop, settings->callers, &limits, handle_request, NULL);
}

static void leave_api(void)
{
    ts_http_server_disable_keepalive(server);
}

static void drain_api(void)
{
    ts_http_server_drain(server);
}

static const ts_caller_api_t caller_http = {open_api, leave_api, drain_api};
TS_REGISTER_PLUGIN(caller_http_plugin, TS_PLUGIN_CALLER_API, "http", 0, &caller_http,
                   "JSON over HTTP/1.1 and HTTP/2")
