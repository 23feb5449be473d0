/** Blocking HTTP requests, for commands and tests, on a separate loop. */
#ifndef TEALSPAR_HTTP_FETCH_H
#define TEALSPAR_HTTP_FETCH_H

#include <glib.h>

#include "tealspar/http_client.h"

/** Result of a request; free `body` with g_free(). */
typedef struct ts_http_response {
    ts_error_t error;
    int status;
    char *body;
    size_t body_length;
} ts_http_response_t;

/** Sends a request and waits up to `timeout_ms` for the response, else returns TS_E_DEADLINE. */
ts_http_response_t ts_http_fetch(const char *address, const char *method, const char *path,
                                 const char *body, unsigned timeout_ms);

#endif
