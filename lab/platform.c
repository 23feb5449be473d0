/**
 * `tealspar-lab platform`: a stand-in for the platform. It serves the configuration file at /config
 * and the machine list at /machines and reads them again for every request. POST /control sets the
 * mode: "down" answers everything else with status 500, any other value serves normally.
 */
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tealspar/command.h"
#include "tealspar/http_server.h"
#include "tealspar/plugin.h"

#define TABLE_SIZE 5
#define BODY_BYTES_MAX 4096
#define REQUEST_TIMEOUT_MS 5000
#define CONNECTIONS_MAX 4096

typedef enum platform_mode { MODE_UP, MODE_DOWN } platform_mode_t;

static struct platform {
    const char *config_path;
    const char *machines_path;
    platform_mode_t mode;
    uint64_t reads; /* requests other than /control */
    ts_http_server_t *server;
} platform;

static void reply(ts_http_exchange_t *exchange, int status, const char *type, const char *text)
{
    ts_http_reply(exchange, status, type, text, strlen(text), 0);
}

static uint64_t find_version(const char *text)
{
    const char *line = strstr(text, "version:");
    return line == NULL ? 0 : strtoull(line + strlen("version:"), NULL, 10);
}

static void reply_config(ts_http_exchange_t *exchange)
{
    char *text = NULL;
    char have[64] = "";
    char current[64];
    if (!g_file_get_contents(platform.config_path, &text, NULL, NULL)) {
        reply(exchange, 404, "text/plain", "cannot read the configuration file\n");
        return;
    }
    snprintf(current, sizeof(current), "\"%" PRIu64 "\"", find_version(text));
    ts_http_header(exchange, "if-none-match", have, sizeof(have));
    if (strcmp(have, current) == 0) {
        reply(exchange, 304, "text/plain", "");
    } else {
        reply(exchange, 200, "application/yaml", text);
    }
    g_free(text);
}

static void reply_machines(ts_http_exchange_t *exchange)
{
    char *text = NULL;
    if (!g_file_get_contents(platform.machines_path, &text, NULL, NULL)) {
        reply(exchange, 404, "text/plain", "cannot read the machine list\n");
        return;
    }
    reply(exchange, 200, "application/json", text);
    g_free(text);
}

static void handle_control(ts_http_exchange_t *exchange, const ts_http_request_t *request)
{
    json_t *root = json_loadb(request->body, request->body_length, 0, NULL);
    const char *mode = json_string_value(json_object_get(root, "mode"));
    if (mode != NULL) {
        platform.mode = strcmp(mode, "down") == 0 ? MODE_DOWN : MODE_UP;
    }
    json_decref(root);
    char text[64];
    snprintf(text, sizeof(text), "{\"reads\": %" PRIu64 "}\n", platform.reads);
    reply(exchange, 200, "application/json", text);
}

static bool is_path(const ts_http_request_t *request, const char *path)
{
    return request->path_length == strlen(path) &&
           memcmp(request->path, path, request->path_length) == 0;
}

static void handle_request(void *context, ts_http_exchange_t *exchange,
                           const ts_http_request_t *request)
{
    if (is_path(request, "/control")) {
        handle_control(exchange, request);
        return;
    }
    platform.reads++;
    if (platform.mode == MODE_DOWN) {
        reply(exchange, 500, "text/plain", "down\n");
    } else if (is_path(request, "/config")) {
        reply_config(exchange);
    } else if (is_path(request, "/machines")) {
        reply_machines(exchange);
    } else {
        reply(exchange, 404, "text/plain", "not found; known paths: /config, /machines\n");
    }
}

static void handle_stop_signal(uv_signal_t *handle, int number)
{
    uv_stop(handle->loop);
}

static int serve(const char *address)
{
    uv_loop_t *loop = uv_default_loop();
    uv_signal_t terminate;
    ts_http_limits_t limits = {BODY_BYTES_MAX, REQUEST_TIMEOUT_MS, CONNECTIONS_MAX};
    ts_error_t error =
        ts_http_server_open(&platform.server, loop, address, &limits, handle_request, NULL);
    if (error != TS_OK) {
        fprintf(stderr, "platform: cannot listen on %s: %s\n", address, ts_error_text(error));
        return TS_EXIT_FAILURE;
    }
    signal(SIGPIPE, SIG_IGN);
    uv_signal_init(loop, &terminate);
    uv_signal_start(&terminate, handle_stop_signal, SIGTERM);
    printf("ready\n");
    fflush(stdout);
    uv_run(loop, UV_RUN_DEFAULT);
    return TS_EXIT_OK;
}

static int run_platform(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_str *address = arg_str1("a", "address", "IP:PORT", "address to listen on");
    struct arg_file *config = arg_file1("c", "config", "FILE", "declarations to serve");
    struct arg_file *machines = arg_file1("m", "machines", "FILE", "machine list (JSON)");
    struct arg_end *end = arg_end(8);
    void *table[TABLE_SIZE] = {help, address, config, machines, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE, "stand-in for the platform", &exit_code)) {
        platform.config_path = config->filename[0];
        platform.machines_path = machines->filename[0];
        exit_code = serve(address->sval[0]);
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_platform};
TS_REGISTER_PLUGIN(lab_command_platform, TS_PLUGIN_COMMAND, "platform", 1, &command,
                   "stand-in for the platform")
