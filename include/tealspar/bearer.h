/** Credentials of a request: one bearer token in its Authorization field (RFC 6750, 2.1). */
#ifndef TEALSPAR_BEARER_H
#define TEALSPAR_BEARER_H

#include "tealspar/http_message.h"

/** A token within the message's text. */
typedef struct ts_bearer {
    const char *token;
    size_t length;
} ts_bearer_t;

/**
 * Finds the token of a request. `field`: name of the field that holds it. TS_OK, or
 * TS_E_UNAUTHENTICATED when the field is missing, stands more than once, or is not the scheme
 * Bearer (in any case) with one well-formed token.
 */
ts_error_t ts_bearer_find(const ts_http_message_t *message, const char *field, ts_bearer_t *bearer);

#endif
