/** Loading of declarations from a file, for commands. */
#ifndef TEALSPAR_DECLARATIONS_FILE_H
#define TEALSPAR_DECLARATIONS_FILE_H

#include "tealspar/declarations.h"

/** Loads a file. On failure returns NULL and prints all problems on standard error. */
ts_declarations_t *ts_declarations_load_file(const char *path);

#endif
