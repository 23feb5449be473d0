/** `tealspar version`: prints the version. */
#include <stdio.h>

#include "tealspar/command.h"
#include "tealspar/plugin.h"
#include "tealspar/version.h"

static int run_version(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_end *end = arg_end(4);
    void *table[] = {help, end};
    int exit_code = TS_EXIT_OK;
    if (ts_command_parse(argc, argv, table, 2, "print the version", &exit_code)) {
        printf("tealspar %s, protocol %u\n", TS_VERSION, TS_PROTOCOL);
        exit_code = TS_EXIT_OK;
    }
    arg_freetable(table, 2);
    return exit_code;
}

static const ts_command_t command = {run_version};
TS_REGISTER_PLUGIN(command_version, TS_PLUGIN_COMMAND, "version", 9, &command, "print the version")
