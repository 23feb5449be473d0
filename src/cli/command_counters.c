/** `tealspar counters`: prints the table of metrics for the operations documentation. */
#include <stdio.h>

#include "tealspar/command.h"
#include "tealspar/counters.h"
#include "tealspar/plugin.h"

static int run_counters(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_end *end = arg_end(4);
    void *table[] = {help, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, 2, "print all metrics as a Markdown table",
                         &exit_code)) {
        GString *text = g_string_new(NULL);
        ts_counters_write_markdown(text);
        fputs(text->str, stdout);
        g_string_free(text, TRUE);
        exit_code = TS_EXIT_OK;
    }
    arg_freetable(table, 2);
    return exit_code;
}

static const ts_command_t command = {run_counters};
TS_REGISTER_PLUGIN(command_counters, TS_PLUGIN_COMMAND, "counters", 8, &command,
                   "print the table of metrics")
