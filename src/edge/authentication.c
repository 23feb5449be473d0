/** Authentication of requests by API key. */
#include "tealspar/authentication.h"

#include "tealspar/bearer.h"

ts_error_t ts_authenticate(const ts_traffic_t *traffic, const ts_traffic_route_t *route,
                           const ts_http_message_t *message, const char *field,
                           ts_identity_t *identity)
{
    *identity = (ts_identity_t){0};
    if (route->is_auth_exempt || ts_tenants_count(traffic->tenants) == 0)
        return TS_OK;
    ts_bearer_t bearer;
    ts_error_t error = ts_bearer_find(message, field, &bearer);
    if (error != TS_OK)
        return error;
    identity->key = ts_key_digest(bearer.token, bearer.length);
    identity->tenant = ts_tenants_find_by_key(traffic->tenants, &identity->key);
    return identity->tenant == NULL ? TS_E_UNAUTHENTICATED : TS_OK;
}

bool ts_identity_is_valid(const ts_identity_t *identity, const ts_traffic_t *newest)
{
    return identity->tenant == NULL ||
           ts_tenants_find_by_key(newest->tenants, &identity->key) != NULL;
}
