/** Authentication of requests against the active configuration, and revocation of keys. */
#include "request.h"
#include "tealspar/store_mirror.h"

#define STATUS_UNAUTHORIZED 401
#define STATUS_UNAVAILABLE 503
/* Retry-after time while keys are not trusted. They are trusted again once the configuration
 * service or a peer confirms the configuration. */
#define UNCONFIRMED_RETRY_MS 1000

/* Whether keys must not be trusted because this node may have missed a revocation. */
static bool is_unconfirmed(const ts_gateway_t *gateway)
{
    const ts_gateway_settings_t *settings = gateway->settings;
    ts_time_us_t confirmed_us = ts_store_mirror_confirmed_us(gateway->mirror);
    return settings->revoke_fail_closed &&
           ts_clock_now_us() - confirmed_us > settings->revoke_ms * TS_US_PER_MS;
}

ts_error_t ts_request_authenticate(const ts_gateway_t *gateway, const ts_caller_t *caller,
                                   const ts_traffic_route_t *route, ts_identity_t *identity)
{
    ts_error_t error = ts_authenticate(gateway->traffic, route, ts_caller_message(caller),
                                       gateway->dialect->headers.authorization, identity);
    if (error == TS_OK && identity->tenant != NULL && is_unconfirmed(gateway))
        return TS_E_UNCONFIRMED;
    return error;
}

bool ts_request_is_revoked(const ts_request_t *request)
{
    const ts_traffic_t *newest = request->gateway->traffic;
    return newest != request->traffic && !ts_identity_is_valid(&request->identity, newest);
}

void ts_request_reject(ts_gateway_t *gateway, ts_caller_t *caller, ts_error_t error)
{
    if (error == TS_E_UNCONFIRMED)
        ts_answer_error(gateway, caller, STATUS_UNAVAILABLE, error, UNCONFIRMED_RETRY_MS);
    else
        ts_answer_error(gateway, caller, STATUS_UNAUTHORIZED, error, 0);
}
