/** Problems found in a document, with location, error type and reason. */
#ifndef TEALSPAR_PROBLEM_H
#define TEALSPAR_PROBLEM_H

#include <glib.h>

#include "tealspar/error.h"

/** A reason to reject a document. */
typedef struct ts_problem {
    ts_error_t error;
    unsigned line; /**< 1-based; 0 when unknown */
    char *path;    /**< for example "selectors[1].groups[0]" */
    char *reason;
} ts_problem_t;

/** A growing list of problems. */
typedef struct ts_problems {
    GPtrArray *list; /**< of ts_problem_t, owned */
} ts_problems_t;

void ts_problems_init(ts_problems_t *problems);
void ts_problems_clear(ts_problems_t *problems);
/** Adds a problem; the reason is formatted. */
void ts_problems_add(ts_problems_t *problems, ts_error_t error, unsigned line, const char *path,
                     const char *format, ...) G_GNUC_PRINTF(5, 6);
unsigned ts_problems_count(const ts_problems_t *problems);
/** Formats one line "FILE:LINE: PATH: REASON (ERROR)" per problem; the caller frees the text. */
char *ts_problems_format(const ts_problems_t *problems, const char *file);

/** Prints the result of ts_problems_format() on standard error. */
void ts_problems_print(const ts_problems_t *problems, const char *file);

/**
 * Returns the line of a path such as "a.b[2].c" in a YAML text, or of its nearest existing parent;
 * 0 if the text is not valid YAML.
 */
unsigned ts_yaml_find_line(const char *text, size_t length, const char *path);

#endif
