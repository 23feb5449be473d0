/** `tealspar node`: runs a node. Options override the settings file. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tealspar/command.h"
#include "tealspar/early_stop.h"
#include "tealspar/node.h"
#include "tealspar/plugin.h"
#include "tealspar/settings.h"

#define OVERRIDES_MAX 20
#define TABLE_SIZE 5

/* Sets a top-level key in the YAML text: replaces its line, or appends one. Frees `text`. */
static char *override_key(char *text, const char *assignment)
{
    const char *equals = strchr(assignment, '=');
    char *key = g_strndup(assignment, (gsize)(equals - assignment));
    char *pattern = g_strdup_printf("^%s:.*$", key);
    char *line = g_strdup_printf("%s: %s", key, equals + 1);
    GRegex *regex = g_regex_new(pattern, G_REGEX_MULTILINE, 0, NULL);
    char *result = NULL;
    if (g_regex_match(regex, text, 0, NULL)) {
        result = g_regex_replace_literal(regex, text, -1, 0, line, 0, NULL);
    } else {
        result = g_strdup_printf("%s\n%s\n", text, line);
    }
    g_regex_unref(regex);
    g_free(line);
    g_free(pattern);
    g_free(key);
    g_free(text);
    return result;
}

static bool is_assignment(const char *text)
{
    size_t length = strspn(text, "abcdefghijklmnopqrstuvwxyz_");
    return length > 0 && text[length] == '=';
}

static ts_settings_t *load_settings(const char *path, const struct arg_str *overrides)
{
    size_t length = 0;
    char *text = ts_command_read_file(path, &length);
    if (text == NULL) {
        return NULL;
    }
    for (int i = 0; i < overrides->count; i++) {
        if (!is_assignment(overrides->sval[i])) {
            fprintf(stderr, "--set %s: expected key=value (%s)\n", overrides->sval[i],
                    ts_error_name(TS_E_ARGUMENT));
            g_free(text);
            return NULL;
        }
        text = override_key(text, overrides->sval[i]);
    }
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_settings_t *settings = ts_settings_load(text, strlen(text), &problems);
    if (settings == NULL) {
        ts_problems_print(&problems, path);
    }
    ts_problems_clear(&problems);
    g_free(text);
    return settings;
}

static int run_with(const ts_settings_t *settings)
{
    ts_log_open(settings->name, settings->log_format, ts_log_level_flags(settings->log_level));
    ts_error_t error = ts_node_run(settings);
    if (error != TS_OK) {
        fprintf(stderr, "tealspar node: %s (%s)\n", ts_error_text(error), ts_error_name(error));
        return TS_EXIT_FAILURE;
    }
    return TS_EXIT_OK;
}

static int run_node(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_file *file = arg_file1("s", "settings", "FILE", "settings (YAML)");
    struct arg_str *overrides =
        arg_strn(NULL, "set", "KEY=VALUE", 0, OVERRIDES_MAX, "override a setting of the file");
    struct arg_lit *check = arg_lit0(NULL, "check", "validate the settings and exit");
    struct arg_end *end = arg_end(OVERRIDES_MAX);
    void *table[TABLE_SIZE] = {help, file, overrides, check, end};
    int exit_code = TS_EXIT_OK;
    ts_early_stop_install_handlers();
    if (ts_command_parse(argc, argv, table, TABLE_SIZE, "run a node until SIGTERM", &exit_code)) {
        ts_settings_t *settings = load_settings(file->filename[0], overrides);
        exit_code = settings == NULL ? TS_EXIT_USAGE : TS_EXIT_OK;
        if (settings != NULL && check->count == 0) {
            exit_code = run_with(settings);
        }
        if (settings != NULL) {
            ts_settings_free(settings);
        }
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_node};
TS_REGISTER_PLUGIN(command_node, TS_PLUGIN_COMMAND, "node", 0, &command, "run a node")
