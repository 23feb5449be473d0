/**
 * Authenticates a request: looks up the tenant that holds the API key presented by the caller.
 * Stateless; no sockets and no clock.
 */
#ifndef TEALSPAR_AUTHENTICATION_H
#define TEALSPAR_AUTHENTICATION_H

#include "tealspar/http_message.h"
#include "tealspar/traffic.h"

/** The authenticated sender of a request. */
typedef struct ts_identity {
    const ts_tenant_t *tenant; /**< owned by the configuration; NULL: no key is needed */
    ts_key_digest_t key;       /**< digest of the presented key; zero if none is needed */
} ts_identity_t;

/**
 * Finds the tenant of a request on a route. `field`: name of the header field that carries the
 * credentials. Returns TS_OK, also if no key is needed, or TS_E_UNAUTHENTICATED.
 */
ts_error_t ts_authenticate(const ts_traffic_t *traffic, const ts_traffic_route_t *route,
                           const ts_http_message_t *message, const char *field,
                           ts_identity_t *identity);
/**
 * Whether the key that authenticated a request still belongs to a tenant in `newest`; also true if
 * no key was needed.
 */
bool ts_identity_is_valid(const ts_identity_t *identity, const ts_traffic_t *newest);

#endif
