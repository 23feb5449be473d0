/** Loading, validation and lookup of declarations. */
#ifndef TEALSPAR_DECLARATIONS_H
#define TEALSPAR_DECLARATIONS_H

#include "tealspar/declarations-t.h"
#include "tealspar/problem.h"

#define TS_PRIORITY_MAX 9U
#define TS_DEADLINE_MS_MAX 60000U
#define TS_RESULT_LIMIT_MAX 1000U
#define TS_DECLARATIONS_BYTES_MAX (16U * 1024U * 1024U)

/**
 * Loads and validates a document. Returns it with one reference, or NULL with the problems found. A
 * document with any problem is rejected as a whole.
 */
ts_declarations_t *ts_declarations_load(const char *text, size_t length, ts_problems_t *problems);
ts_declarations_t *ts_declarations_ref(ts_declarations_t *declarations);
/** Releases a reference and frees the declarations with the last one. NULL is allowed. */
void ts_declarations_unref(ts_declarations_t *declarations);
/** Returns the selector of a query kind, or NULL. */
const ts_selector_t *ts_declarations_selector(const ts_declarations_t *declarations,
                                              const char *kind);
/** Returns the index of a backend by id, or -1. */
int ts_declarations_backend_index(const ts_declarations_t *declarations, uint64_t id);
/** Returns the index of a zone by name, or -1. */
int ts_declarations_zone_index(const ts_declarations_t *declarations, const char *name);

/** Whether a set of labels matches all terms ("key=value|value"). */
bool ts_labels_match(char **terms, unsigned term_count, char **labels, unsigned label_count);
/** Whether a string is a label "key=value" or, with `allow_alternatives`, a term. */
bool ts_label_is_valid(const char *text, bool allow_alternatives);
/** Whether two labels or terms have the same key. A list of terms may have one term per key. */
bool ts_label_has_same_key(const char *left, const char *right);

#endif
