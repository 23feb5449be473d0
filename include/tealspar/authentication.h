/**
 * Whose request it is: the key that a caller shows against the tenants of a configuration. Pure; it
 * keeps nothing.
 */
#ifndef TEALSPAR_AUTHENTICATION_H
#define TEALSPAR_AUTHENTICATION_H

#include "tealspar/http_message.h"
#include "tealspar/traffic.h"

/** Who sent a request. */
typedef struct ts_identity {
    const ts_tenant_t *tenant; /**< NULL: none is needed; lives as long as its configuration */
    ts_key_digest_t key;       /**< of the tenant's that was shown */
} ts_identity_t;

/**
 * Finds the tenant of a request on a route. `field`: name of the credentials' field. TS_OK, also
 * where no key is needed, or TS_E_UNAUTHENTICATED.
 */
ts_error_t ts_authenticate(const ts_traffic_t *traffic, const ts_traffic_route_t *route,
                           const ts_http_message_t *message, const char *field,
                           ts_identity_t *identity);
/** Whether the key by which a request was let in is held by any tenant of a configuration. */
bool ts_identity_is_held(const ts_identity_t *identity, const ts_traffic_t *newest);

#endif
