/** `tealspar query` and `tealspar status`: send a query to a node, or print its status. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tealspar/clock.h"
#include "tealspar/command.h"
#include "tealspar/http_fetch.h"
#include "tealspar/plugin.h"

#define QUERY_TABLE_SIZE 11
#define STATUS_TABLE_SIZE 3
#define TIMEOUT_MS 65000U
#define STATUS_TIMEOUT_MS 5000U
#define HTTP_OK 200
#define HTTP_UNKNOWN 504
#define EXIT_REFUSED 3
#define EXIT_UNKNOWN 4

static void set_text(json_t *root, const char *key, const struct arg_str *option)
{
    if (option->count > 0) {
        json_object_set_new(root, key, json_string(option->sval[0]));
    }
}

static void set_number(json_t *root, const char *key, const struct arg_int *option)
{
    if (option->count > 0) {
        json_object_set_new(root, key, json_integer(option->ival[0]));
    }
}

static int print_response(const ts_http_response_t *response)
{
    if (response->error != TS_OK) {
        fprintf(stderr, "tealspar: %s (%s)\n", ts_error_text(response->error),
                ts_error_name(response->error));
        return TS_EXIT_FAILURE;
    }
    printf("%s\n", response->body);
    if (response->status == HTTP_OK) {
        return TS_EXIT_OK;
    }
    return response->status == HTTP_UNKNOWN ? EXIT_UNKNOWN : EXIT_REFUSED;
}

static int run_query(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_str *address = arg_str1("a", "address", "IP:PORT", "a node's address for callers");
    struct arg_str *kind = arg_str1("k", "kind", "KIND", "query kind, as declared");
    struct arg_str *text = arg_str0("t", "text", "TEXT", "search text");
    struct arg_str *key = arg_str0(NULL, "key", "KEY", "key, for kinds routed by key");
    struct arg_str *id = arg_str0(NULL, "id", "ID", "request id");
    struct arg_int *limit = arg_int0("n", "limit", "N", "maximum number of hits");
    struct arg_int *offset = arg_int0(NULL, "offset", "N", "number of hits to skip");
    struct arg_int *deadline = arg_int0(NULL, "deadline", "MS", "time limit for the answer");
    struct arg_lit *unrepeatable = arg_lit0(NULL, "unrepeatable", "run at most once");
    struct arg_end *end = arg_end(8);
    void *table[QUERY_TABLE_SIZE] = {help,  address, kind,     text,         key, id,
                                     limit, offset,  deadline, unrepeatable, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(
            argc, argv, table, QUERY_TABLE_SIZE,
            "send one query; exits with 0: answered, 3: refused, 4: unknown, 1: failed",
            &exit_code)) {
        json_t *root = json_object();
        set_text(root, "kind", kind);
        set_text(root, "text", text);
        set_text(root, "key", key);
        set_text(root, "id", id);
        set_number(root, "limit", limit);
        set_number(root, "offset", offset);
        set_number(root, "deadline_ms", deadline);
        if (unrepeatable->count > 0) {
            json_object_set_new(root, "unrepeatable", json_true());
            json_object_set_new(root, "issued_at_ms", json_integer(ts_clock_wall_ms()));
        }
        char *body = json_dumps(root, JSON_COMPACT);
        ts_http_response_t response =
            ts_http_fetch(address->sval[0], "POST", "/v1/query", body, TIMEOUT_MS);
        exit_code = print_response(&response);
        g_free(response.body);
        free(body);
        json_decref(root);
    }
    arg_freetable(table, QUERY_TABLE_SIZE);
    return exit_code;
}

static int run_status(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_str *address = arg_str1(NULL, NULL, "IP:PORT", "a node's address for operators");
    struct arg_end *end = arg_end(4);
    void *table[STATUS_TABLE_SIZE] = {help, address, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(
            argc, argv, table, STATUS_TABLE_SIZE,
            "print a node's view of the fleet, its owned backends and its configuration",
            &exit_code)) {
        ts_http_response_t response =
            ts_http_fetch(address->sval[0], "GET", "/status", NULL, STATUS_TIMEOUT_MS);
        exit_code = print_response(&response);
        g_free(response.body);
    }
    arg_freetable(table, STATUS_TABLE_SIZE);
    return exit_code;
}

static const ts_command_t query = {run_query};
TS_REGISTER_PLUGIN(command_query, TS_PLUGIN_COMMAND, "query", 3, &query, "send one query to a node")
static const ts_command_t status = {run_status};
TS_REGISTER_PLUGIN(command_status, TS_PLUGIN_COMMAND, "status", 4, &status,
                   "print a node's view of the fleet")
