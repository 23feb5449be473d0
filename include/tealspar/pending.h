/**
 * Requests received before the gateway has its first configuration and list of backends. The
 * configuration service answers within a few round trips, so a request is held for a small fraction
 * of its caller's timeout (a retry: for half of it) before it is refused with a retry-after time.
 */
#ifndef TEALSPAR_PENDING_H
#define TEALSPAR_PENDING_H

#include "tealspar/gateway.h"

ts_pending_t *ts_pending_create(ts_gateway_t *gateway);
/**
 * Holds the caller's request until the gateway is initialized or the hold ends; refuses it at once
 * if too many are held, the configuration service is not expected to answer in time, or the gateway
 * is stopping.
 */
void ts_pending_add(ts_pending_t *pending, ts_caller_t *caller);
/** Rejects all held requests because the gateway is stopping; later ones are rejected at once. */
void ts_pending_reject_all(ts_pending_t *pending);
/** Drops the request of a caller that has disconnected; returns whether it was held. */
bool ts_pending_remove(ts_pending_t *pending, const ts_caller_t *caller);

#endif
