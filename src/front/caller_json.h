/** JSON of requests and answers in the query API. */
#ifndef TEALSPAR_CALLER_JSON_H
#define TEALSPAR_CALLER_JSON_H

#include "tealspar/query-t.h"

/**
 * Reads a request. Returns TS_OK, or TS_E_BAD_REQUEST with the reason in `*detail` (a static
 * string) and `request` zeroed.
 */
ts_error_t ts_caller_json_read(const char *body, size_t length, ts_query_request_t *request,
                               const char **detail);
/** Writes an answer; `detail` replaces the standard text of the error and may be NULL. The result
 * is freed with free(). */
char *ts_caller_json_write(const ts_answer_t *answer, const char *detail);
/** Name of an outcome in the JSON. */
const char *ts_outcome_name(ts_outcome_t outcome);

#endif
