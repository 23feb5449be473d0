/** Subcommand lookup, argument parsing and help. */
#include "tealspar/command.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tealspar/plugin.h"

static void print_commands(FILE *out, const char *program, const char *about)
{
    const ts_plugin_t *plugin = NULL;
    fprintf(out, "%s: %s\n\nUsage: %s COMMAND [OPTION...]\n\n", program, about, program);
    while ((plugin = ts_plugin_next(TS_PLUGIN_COMMAND, plugin)) != NULL) {
        fprintf(out, "  %-12s %s\n", plugin->name, plugin->description);
    }
    fprintf(out, "\nSee '%s COMMAND --help' for the options of a command.\n", program);
}

int ts_command_main(const char *program, const char *about, int argc, char **argv)
{
    if (argc < 2) {
        print_commands(stderr, program, about);
        return TS_EXIT_USAGE;
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0) {
        print_commands(stdout, program, about);
        return TS_EXIT_OK;
    }
    const ts_command_t *command = ts_plugin_find(TS_PLUGIN_COMMAND, argv[1]);
    if (command == NULL) {
        fprintf(stderr, "%s: unknown command '%s'; see '%s --help'\n", program, argv[1], program);
        return TS_EXIT_USAGE;
    }
    char *name = g_strdup_printf("%s %s", program, argv[1]);
    argv[1] = name;
    int exit_code = command->run(argc - 1, argv + 1);
    g_free(name);
    return exit_code;
}

bool ts_command_parse(int argc, char **argv, void **table, size_t entries, const char *about,
                      int *exit_code)
{
    *exit_code = TS_EXIT_USAGE;
    if (arg_nullcheck(table) != 0) {
        fprintf(stderr, "%s: out of memory\n", argv[0]);
        return false;
    }
    int errors = arg_parse(argc, argv, table);
    const struct arg_lit *help = table[0];
    if (help->count > 0) {
        printf("%s: %s\n\nUsage: %s", argv[0], about, argv[0]);
        arg_print_syntax(stdout, table, "\n\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
        *exit_code = TS_EXIT_OK;
        return false;
    }
    if (errors > 0) {
        arg_print_errors(stderr, table[entries - 1], argv[0]);
        fprintf(stderr, "See '%s --help'.\n", argv[0]);
        return false;
    }
    return true;
}

char *ts_command_read_file(const char *path, size_t *length)
{
    char *text = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, length, &error)) {
        fprintf(stderr, "%s: %s (%s)\n", path, error->message, ts_error_name(TS_E_FILE));
        g_error_free(error);
        return NULL;
    }
    return text;
}
