/** HTTP server for operators: health, metrics and status, on a separate address from callers. */
#include <stdlib.h>
#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/http_server.h"
#include "tealspar/node.h"

#define BODY_BYTES_MAX 4096
#define REQUEST_TIMEOUT_MS 5000
#define CONNECTIONS_MAX 64

static ts_http_server_t *server;

static void reply_text(ts_http_exchange_t *exchange, int status, const char *text)
{
    ts_http_reply(exchange, status, "text/plain", text, strlen(text), 0);
}

static void reply_status(ts_node_t *node, ts_http_exchange_t *exchange)
{
    json_t *status = ts_node_status(node);
    char *text = json_dumps(status, JSON_INDENT(2));
    ts_http_reply(exchange, 200, "application/json", text, strlen(text), 0);
    free(text);
    json_decref(status);
}

static void reply_ready(ts_node_t *node, ts_http_exchange_t *exchange)
{
    json_t *status = ts_node_status(node);
    bool is_ready = json_is_true(json_object_get(status, "ready"));
    json_decref(status);
    if (node->stopping) {
        reply_text(exchange, 503, "leaving\n");
    } else {
        reply_text(exchange, is_ready ? 200 : 503, is_ready ? "ready\n" : "not ready\n");
    }
}

static void reply_metrics(ts_http_exchange_t *exchange)
{
    GString *text = g_string_new(NULL);
    ts_counters_write_prometheus(text);
    ts_http_reply(exchange, 200, "text/plain; version=0.0.4", text->str, text->len, 0);
    g_string_free(text, TRUE);
}

static bool has_path(const ts_http_request_t *request, const char *path)
{
    return request->path_length == strlen(path) &&
           memcmp(request->path, path, request->path_length) == 0;
}

static void handle_request(void *context, ts_http_exchange_t *exchange,
                           const ts_http_request_t *request)
{
    ts_node_t *node = context;
    if (request->method_length != 3 || memcmp(request->method, "GET", 3) != 0) {
        reply_text(exchange, 405, "only GET\n");
    } else if (has_path(request, "/health/live")) {
        reply_text(exchange, 200, "live\n");
    } else if (has_path(request, "/health/ready")) {
        reply_ready(node, exchange);
    } else if (has_path(request, "/metrics")) {
        reply_metrics(exchange);
    } else if (has_path(request, "/status")) {
        reply_status(node, exchange);
    } else {
        reply_text(exchange, 404, "see /health/live, /health/ready, /metrics, /status\n");
    }
}

static ts_error_t start_operators(ts_node_t *node)
{
    ts_http_limits_t limits = {BODY_BYTES_MAX, REQUEST_TIMEOUT_MS, CONNECTIONS_MAX};
    return ts_http_server_open(&server, node->loop, node->settings->operators, &limits,
                               handle_request, node);
}

static const ts_task_ops_t operators_ops = {NULL, start_operators, NULL, NULL, NULL, NULL};
TS_REGISTER_PLUGIN(operators_plugin, TS_PLUGIN_TASK, "operators", 6, &operators_ops,
                   "health, metrics and status for operators")
