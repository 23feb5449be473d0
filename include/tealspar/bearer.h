/** Bearer token of a request, taken from its Authorization field (RFC 6750, 2.1). */
#ifndef TEALSPAR_BEARER_H
#define TEALSPAR_BEARER_H

#include "tealspar/http_message.h"

/** A token; points into the message and is not terminated. */
typedef struct ts_bearer {
    const char *token;
    size_t length;
} ts_bearer_t;

/**
 * Finds the token in the field named `field`. Returns TS_OK, or TS_E_UNAUTHENTICATED if the field
 * is missing, repeated, or does not consist of the scheme Bearer (case-insensitive) and one
 * well-formed token.
 */
ts_error_t ts_bearer_find(const ts_http_message_t *message, const char *field, ts_bearer_t *bearer);

#endif
