/** Loading of declarations from a file. */
#include "tealspar/declarations_file.h"

#include <stdio.h>

#include "tealspar/command.h"

ts_declarations_t *ts_declarations_load_file(const char *path)
{
    size_t length = 0;
    ts_problems_t problems;
    char *text = ts_command_read_file(path, &length);
    if (text == NULL) {
        return NULL;
    }
    ts_problems_init(&problems);
    ts_declarations_t *declarations = ts_declarations_load(text, length, &problems);
    if (declarations == NULL) {
        ts_problems_print(&problems, path);
    }
    ts_problems_clear(&problems);
    g_free(text);
    return declarations;
}
