/** Helpers shared by several tests. */
#ifndef TEALSPAR_TEST_SUPPORT_H
#define TEALSPAR_TEST_SUPPORT_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "tealspar/declarations.h"

/** Valid declarations: two zones, two groups (labels service=a and service=b), four backends. */
extern const char *const test_declarations_text;

/** Loads a valid document. */
ts_declarations_t *test_load(const char *text);
/** Loads an invalid document and returns the formatted problems (g_free). */
char *test_load_refused(const char *text);
/** Replaces every `from` in the text, which must contain it, by `to`; g_free. */
char *test_replace(const char *text, const char *from, const char *to);

#endif
