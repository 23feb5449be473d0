/** Loads YAML by a libcyaml schema and reports errors as ts_problem_t instead of log lines. */
#ifndef TEALSPAR_YAML_LOAD_H
#define TEALSPAR_YAML_LOAD_H

#include <cyaml/cyaml.h>

#include "tealspar/problem.h"

/**
 * Loads `text` into `*data` according to `schema`. On failure adds one problem, sets `*data` to
 * NULL and returns TS_E_SYNTAX. The data is freed with ts_yaml_free().
 */
ts_error_t ts_yaml_load(const char *text, size_t length, const cyaml_schema_value_t *schema,
                        void **data, ts_problems_t *problems);
/** Frees data loaded by ts_yaml_load(). */
void ts_yaml_free(const cyaml_schema_value_t *schema, void *data);

#endif
