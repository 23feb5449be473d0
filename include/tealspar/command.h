/** Subcommands of a program, which are plug-ins of kind TS_PLUGIN_COMMAND. */
#ifndef TEALSPAR_COMMAND_H
#define TEALSPAR_COMMAND_H

#include <argtable2.h>
#include <stdbool.h>
#include <stddef.h>

#include "tealspar/error.h"

/** Exit codes of all subcommands; documented in the manual. */
#define TS_EXIT_OK 0
#define TS_EXIT_FAILURE 1 /**< the command ran and failed */
#define TS_EXIT_USAGE 2   /**< invalid arguments or an invalid document */

typedef struct ts_command {
    /** Runs the command; argv[0] is "PROGRAM COMMAND". Returns the exit code. */
    int (*run)(int argc, char **argv);
} ts_command_t;

/** Implements main(): runs the subcommand, or prints help. Returns the exit code. */
int ts_command_main(const char *program, const char *about, int argc, char **argv);

/**
 * Parses arguments. Returns true if the command should be executed. Otherwise it has printed help
 * on standard output or errors on standard error, and set `*exit_code`. The first entry of the
 * table must be the --help option, the last one the arg_end.
 */
bool ts_command_parse(int argc, char **argv, void **table, size_t entries, const char *about,
                      int *exit_code);

/**
 * Reads a file; the caller frees the text with g_free(). On failure prints an error on standard
 * error and returns NULL.
 */
char *ts_command_read_file(const char *path, size_t *length);

#endif
