/** `tealspar gateway`: runs a gateway until SIGTERM. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tealspar/command.h"
#include "tealspar/early_stop.h"
#include "tealspar/gateway.h"
#include "tealspar/plugin.h"

#define TABLE_SIZE 4
#define ERRORS_MAX 8
#define SETTINGS_VARIABLE "TEALSPAR_CONFIG"

static ts_gateway_settings_t *load_settings(const char *path)
{
    size_t length = 0;
    char *text = ts_command_read_file(path, &length);
    if (text == NULL) {
        return NULL;
    }
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_gateway_settings_t *settings = ts_gateway_settings_load(text, length, &problems);
    if (settings == NULL) {
        ts_problems_print(&problems, path);
    }
    ts_problems_clear(&problems);
    g_free(text);
    return settings;
}

static int run_with(const char *path, ts_gateway_settings_t *settings)
{
    ts_log_open(settings->name, settings->log_format, ts_log_level_flags(settings->log_level));
    ts_error_t error = ts_gateway_run(path, settings);
    if (error != TS_OK) {
        fprintf(stderr, "tealspar gateway: %s (%s)\n", ts_error_text(error), ts_error_name(error));
        return TS_EXIT_FAILURE;
    }
    return TS_EXIT_OK;
}

static int run_file(const char *path, bool is_check)
{
    if (path == NULL) {
        fprintf(stderr, "tealspar gateway: no settings file: use --settings or set %s\n",
                SETTINGS_VARIABLE);
        return TS_EXIT_USAGE;
    }
    ts_gateway_settings_t *settings = load_settings(path);
    if (settings == NULL) {
        return TS_EXIT_USAGE;
    }
    if (is_check) {
        ts_gateway_settings_free(settings);
        return TS_EXIT_OK;
    }
    return run_with(path, settings);
}

static int run_gateway(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_file *file = arg_file0(
        "s", "settings", "FILE", "settings (YAML); default: the file named by " SETTINGS_VARIABLE);
    struct arg_lit *check = arg_lit0(NULL, "check", "validate the settings and exit");
    struct arg_end *end = arg_end(ERRORS_MAX);
    void *table[TABLE_SIZE] = {help, file, check, end};
    int exit_code = TS_EXIT_OK;
    ts_early_stop_install_handlers();
    if (ts_command_parse(argc, argv, table, TABLE_SIZE, "run a gateway until SIGTERM",
                         &exit_code)) {
        const char *path = file->count > 0 ? file->filename[0] : getenv(SETTINGS_VARIABLE);
        exit_code = run_file(path, check->count > 0);
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_gateway};
TS_REGISTER_PLUGIN(command_gateway, TS_PLUGIN_COMMAND, "gateway", 0, &command,
                   "run a gateway between callers and backends")
