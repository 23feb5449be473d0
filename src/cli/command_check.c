/** `tealspar check`: validates declarations and settings offline. */
#include <stdio.h>
#include <string.h>

#include "tealspar/command.h"
#include "tealspar/declarations.h"
#include "tealspar/plugin.h"
#include "tealspar/settings.h"

#define FILES_MAX 100
#define TABLE_SIZE 3

/* A document with one of these top-level keys is declarations, any other is settings. */
static bool is_declarations(const char *text)
{
    return g_regex_match_simple("^(selectors|backends|groups):", text, G_REGEX_MULTILINE, 0);
}

static bool check_text(const char *path, const char *text, size_t length)
{
    ts_problems_t problems;
    ts_problems_init(&problems);
    bool has_declarations = is_declarations(text);
    if (has_declarations) {
        ts_declarations_unref(ts_declarations_load(text, length, &problems));
    } else {
        ts_settings_t *settings = ts_settings_load(text, length, &problems);
        if (settings != NULL) {
            ts_settings_free(settings);
        }
    }
    bool is_valid = ts_problems_count(&problems) == 0;
    if (is_valid) {
        printf("%s: %s valid\n", path, has_declarations ? "declarations" : "settings");
    } else {
        ts_problems_print(&problems, path);
    }
    ts_problems_clear(&problems);
    return is_valid;
}

static bool check_file(const char *path)
{
    size_t length = 0;
    char *text = ts_command_read_file(path, &length);
    bool is_valid = text != NULL && check_text(path, text, length);
    g_free(text);
    return is_valid;
}

static int run_check(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_file *files =
        arg_filen(NULL, NULL, "FILE", 1, FILES_MAX, "declarations or settings (YAML)");
    struct arg_end *end = arg_end(FILES_MAX);
    void *table[TABLE_SIZE] = {help, files, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, TABLE_SIZE,
                         "check documents; exits with 0 if all are valid, else with 2 and prints "
                         "file, line, path and reason of each problem",
                         &exit_code)) {
        bool is_valid = true;
        for (int i = 0; i < files->count; i++) {
            is_valid &= check_file(files->filename[i]);
        }
        exit_code = is_valid ? TS_EXIT_OK : TS_EXIT_USAGE;
    }
    arg_freetable(table, TABLE_SIZE);
    return exit_code;
}

static const ts_command_t command = {run_check};
TS_REGISTER_PLUGIN(command_check, TS_PLUGIN_COMMAND, "check", 1, &command,
                   "check declarations and settings")
