/**
 * Client for searchers over HTTP/1.1 and JSON: POST /search for one shard, GET /health. A request
 * is cancelled by closing its connection. The format is described in docs/API.md.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "tealspar/http_client.h"
#include "tealspar/plugin.h"
#include "tealspar/searcher_client.h"

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_UNAVAILABLE 503
#define HTTP_DEADLINE 504

struct ts_searcher {
    ts_http_pool_t *pool;
};

struct ts_searcher_call {
    ts_http_call_t *call;
    ts_searcher_done_t done;
    void *context;
    ts_time_us_t sent_us;
};

static ts_error_t open_searcher(ts_searcher_t **opened, const ts_node_t *node, const char *address,
                                uint32_t connections)
{
    ts_searcher_t *searcher = g_new0(ts_searcher_t, 1);
    ts_error_t error = ts_http_pool_open(&searcher->pool, node->loop, address, connections);
    if (error != TS_OK) {
        g_free(searcher);
        return error;
    }
    *opened = searcher;
    return TS_OK;
}

static void close_searcher(ts_searcher_t *searcher)
{
    ts_http_pool_close(searcher->pool);
    g_free(searcher);
}

static bool read_hit(const json_t *row, ts_hit_t *hit)
{
    const char *id = json_string_value(json_object_get(row, "id"));
    const char *text = json_string_value(json_object_get(row, "text"));
    const json_t *score = json_object_get(row, "score");
    if (id == NULL || text == NULL || !json_is_number(score)) {
        return false;
    }
    hit->id = g_strdup(id);
    hit->text = g_strdup(text);
    hit->score = json_number_value(score);
    return true;
}

static bool read_hits(const json_t *rows, ts_subreply_t *subreply)
{
    if (!json_is_array(rows)) {
        return false;
    }
    subreply->hits = g_new0(ts_hit_t, json_array_size(rows));
    for (size_t i = 0; i < json_array_size(rows); i++) {
        if (!read_hit(json_array_get(rows, i), &subreply->hits[i])) {
            return false;
        }
        subreply->hits_count++;
    }
    return true;
}

static void read_answer(const ts_http_result_t *result, ts_subreply_t *subreply)
{
    json_t *root = json_loadb(result->body, result->body_length, JSON_REJECT_DUPLICATES, NULL);
    const json_t *snapshot = json_object_get(root, "snapshot");
    const json_t *total = json_object_get(root, "total");
    bool is_valid = json_is_integer(snapshot) && json_integer_value(snapshot) > 0 &&
                    json_is_integer(total) && json_integer_value(total) >= 0 &&
                    read_hits(json_object_get(root, "hits"), subreply);
    subreply->run = TS_EXECUTION_COMPLETED;
    if (is_valid) {
        subreply->snapshot = (uint64_t)json_integer_value(snapshot);
        subreply->total = (uint64_t)json_integer_value(total);
    } else {
        ts_subreply_clear(subreply);
        subreply->error = TS_E_BAD_ANSWER;
    }
    json_decref(root);
}

/* A 503 contains its reason and guarantees that the searcher has not executed the request. */
static ts_error_t read_unavailable(const ts_http_result_t *result, ts_subreply_t *subreply)
{
    json_t *root = json_loadb(result->body, result->body_length, 0, NULL);
    const char *reason = json_string_value(json_object_get(root, "error"));
    json_int_t after_ms = json_integer_value(json_object_get(root, "retry_after_ms"));
    subreply->retry_after_ms = after_ms > 0 && after_ms < UINT32_MAX ? (uint32_t)after_ms : 0;
    bool is_draining = reason != NULL && strcmp(reason, "draining") == 0;
    json_decref(root);
    return is_draining ? TS_E_DRAINING : TS_E_SHEDDING;
}

/* Only a failed connect, a 404 and a 503 guarantee that the searcher has not executed the request.
 */
static void read_result(const ts_http_result_t *result, ts_subreply_t *subreply)
{
    if (result->error != TS_OK) {
        subreply->error = result->error;
        subreply->run = result->error == TS_E_CONNECT ? TS_EXECUTION_NONE : TS_EXECUTION_POSSIBLE;
        return;
    }
    switch (result->status) {
    case HTTP_OK:
        read_answer(result, subreply);
        break;
    case HTTP_NOT_FOUND:
        subreply->error = TS_E_WRONG_SHARD;
        subreply->run = TS_EXECUTION_NONE;
        break;
    case HTTP_UNAVAILABLE:
        subreply->error = read_unavailable(result, subreply);
        subreply->run = TS_EXECUTION_NONE;
        break;
    case HTTP_DEADLINE:
        subreply->error = TS_E_DEADLINE;
        subreply->run = TS_EXECUTION_POSSIBLE;
        break;
    default:
        subreply->error = TS_E_BAD_ANSWER;
        subreply->run = TS_EXECUTION_POSSIBLE;
    }
}

static void on_search_done(void *context, const ts_http_result_t *result)
{
    ts_searcher_call_t *call = context;
    ts_subreply_t subreply = {0};
    read_result(result, &subreply);
    subreply.service_us = (uint32_t)(ts_clock_now_us() - call->sent_us);
    call->done(call->context, &subreply);
    g_free(call);
}

static char *write_request(const ts_query_params_t *work, const char *shard,
                           uint64_t wanted_snapshot, ts_time_us_t left_us)
{
    json_t *root =
        json_pack("{s:s, s:s, s:s, s:i, s:I, s:b}", "id", work->request_id, "kind", work->kind,
                  "shard", shard, "limit", (int)work->limit, "deadline_ms",
                  (json_int_t)(left_us / TS_US_PER_MS), "unrepeatable", work->unrepeatable);
    if (work->text != NULL) {
        json_object_set_new(root, "text", json_string(work->text));
    }
    if (work->key != NULL) {
        json_object_set_new(root, "key", json_string(work->key));
    }
    if (wanted_snapshot != 0) {
        json_object_set_new(root, "snapshot", json_integer((json_int_t)wanted_snapshot));
    }
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static ts_searcher_call_t *search(ts_searcher_t *searcher, const ts_query_params_t *work,
                                  const char *shard, uint64_t wanted_snapshot, ts_time_us_t left_us,
                                  ts_searcher_done_t done, void *context)
{
    ts_searcher_call_t *call = g_new0(ts_searcher_call_t, 1);
    call->done = done;
    call->context = context;
    call->sent_us = ts_clock_now_us();
    char *body = write_request(work, shard, wanted_snapshot, left_us);
    ts_http_client_request_t send = {"POST", "/search", NULL, body, strlen(body)};
    call->call = ts_http_call(searcher->pool, &send, on_search_done, call);
    free(body);
    return call;
}

static void cancel_search(ts_searcher_call_t *call)
{
    ts_http_cancel(call->call);
    g_free(call);
}

typedef struct health_call {
    ts_searcher_health_done_t done;
    void *context;
} health_call_t;

static ts_searcher_health_t read_health(const ts_http_result_t *result)
{
    if (result->error != TS_OK) {
        return TS_HEALTH_UNREACHABLE;
    }
    json_t *root = json_loadb(result->body, result->body_length, 0, NULL);
    const char *state = json_string_value(json_object_get(root, "state"));
    ts_searcher_health_t health = TS_HEALTH_UNREACHABLE;
    if (state != NULL && strcmp(state, "serving") == 0) {
        health = TS_HEALTH_SERVING;
    } else if (state != NULL && strcmp(state, "draining") == 0) {
        health = TS_HEALTH_DRAINING;
    } else if (state != NULL && strcmp(state, "starting") == 0) {
        health = TS_HEALTH_STARTING;
    }
    json_decref(root);
    return health;
}

static void on_health_done(void *context, const ts_http_result_t *result)
{
    health_call_t *call = context;
    call->done(call->context, read_health(result));
    g_free(call);
}

static void check_health(ts_searcher_t *searcher, ts_searcher_health_done_t done, void *context)
{
    health_call_t *call = g_new0(health_call_t, 1);
    call->done = done;
    call->context = context;
    ts_http_client_request_t send = {"GET", "/health", NULL, NULL, 0};
    ts_http_call(searcher->pool, &send, on_health_done, call);
}

static const ts_searcher_client_t searcher_http = {open_searcher, close_searcher, search,
                                                   cancel_search, check_health};
TS_REGISTER_PLUGIN(searcher_http_plugin, TS_PLUGIN_SEARCHER_CLIENT, "http-json", 0, &searcher_http,
                   "HTTP/1.1 with JSON bodies")
