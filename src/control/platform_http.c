/**
 * Platform plug-in for HTTP: GET /config (YAML, with the quoted version as ETag) and GET /machines
 * (JSON). The formats are described in docs/API.md.
 */
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "tealspar/http_client.h"
#include "tealspar/platform.h"
#include "tealspar/plugin.h"

#define MAX_CONNECTIONS 4
#define HTTP_OK 200
#define HTTP_NOT_MODIFIED 304
#define HEADER_MAX 64

typedef struct document_call {
    ts_platform_document_t done;
    void *context;
} document_call_t;

typedef struct machines_call {
    ts_platform_machines_t done;
    void *context;
} machines_call_t;

static ts_error_t open_platform(void **handle, const ts_node_t *node)
{
    return ts_http_pool_open((ts_http_pool_t **)handle, node->loop, node->settings->platform,
                             MAX_CONNECTIONS);
}

static void on_document(void *context, const ts_http_result_t *result)
{
    document_call_t *call = context;
    if (result->error != TS_OK) {
        call->done(call->context, result->error, NULL, 0);
    } else if (result->status == HTTP_OK) {
        call->done(call->context, TS_OK, result->body, result->body_length);
    } else if (result->status == HTTP_NOT_MODIFIED) {
        call->done(call->context, TS_OK, NULL, 0);
    } else {
        call->done(call->context, TS_E_BAD_ANSWER, NULL, 0);
    }
    g_free(call);
}

static void read_document(void *pool, uint64_t version, ts_platform_document_t done, void *context)
{
    char header[HEADER_MAX];
    g_snprintf(header, sizeof(header), "if-none-match: \"%" PRIu64 "\"\r\n", version);
    document_call_t *call = g_new0(document_call_t, 1);
    call->done = done;
    call->context = context;
    ts_http_client_request_t request = {"GET", "/config", header, NULL, 0};
    ts_http_call(pool, &request, on_document, call);
}

static bool add_machine(ts_machines_message_t *message, const json_t *row)
{
    const char *name = json_string_value(json_object_get(row, "name"));
    const char *address = json_string_value(json_object_get(row, "address"));
    const char *zone = json_string_value(json_object_get(row, "zone"));
    const char *state = json_string_value(json_object_get(row, "state"));
    if (name == NULL || address == NULL || zone == NULL || state == NULL) {
        return false;
    }
    ts_machines_message_add(message, name, address, zone, strcmp(state, "leaving") == 0);
    return true;
}

static ts_machines_message_t *parse_machines(const ts_http_result_t *result)
{
    json_t *root = json_loadb(result->body, result->body_length, 0, NULL);
    const json_t *rows = json_object_get(root, "machines");
    ts_machines_message_t *message = json_is_array(rows) ? ts_machines_message() : NULL;
    for (size_t i = 0; message != NULL && i < json_array_size(rows); i++) {
        if (!add_machine(message, json_array_get(rows, i))) {
            message->head.destroy(&message->head);
            message = NULL;
        }
    }
    json_decref(root);
    return message;
}

static void on_machines(void *context, const ts_http_result_t *result)
{
    machines_call_t *call = context;
    ts_error_t error = result->error;
    ts_machines_message_t *message = NULL;
    if (error == TS_OK) {
        message = result->status == HTTP_OK ? parse_machines(result) : NULL;
        error = message == NULL ? TS_E_BAD_ANSWER : TS_OK;
    }
    call->done(call->context, error, message);
    g_free(call);
}

static void read_machines(void *pool, ts_platform_machines_t done, void *context)
{
    machines_call_t *call = g_new0(machines_call_t, 1);
    call->done = done;
    call->context = context;
    ts_http_client_request_t request = {"GET", "/machines", NULL, NULL, 0};
    ts_http_call(pool, &request, on_machines, call);
}

static const ts_platform_t platform_http = {open_platform, read_document, read_machines};
TS_REGISTER_PLUGIN(platform_http_plugin, TS_PLUGIN_PLATFORM, "http", 0, &platform_http,
                   "configuration and machines over HTTP")
