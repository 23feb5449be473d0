/**
 * Requests received before the gateway has its first configuration and list of backends. The time
 * at which they arrive is not known, so a request is held as long as its caller can still be
 * answered in time; it is refused before that only if nothing can arrive until then, or if too many
 * requests or bytes are held.
 */
#ifndef TEALSPAR_PENDING_H
#define TEALSPAR_PENDING_H

#include "tealspar/gateway.h"

ts_pending_t *ts_pending_create(ts_gateway_t *gateway);
/**
 * Holds the caller's request until the gateway is initialized or the caller must be answered;
 * refuses it at once if too much is held, the configuration cannot arrive in time, or the gateway
 * is stopping.
 */
void ts_pending_add(ts_pending_t *pending, ts_caller_t *caller);
/** Rejects all held requests because the gateway is stopping; later ones are rejected at once. */
void ts_pending_reject_all(ts_pending_t *pending);
/** Drops the request of a caller that has disconnected; returns whether it was held. */
bool ts_pending_remove(ts_pending_t *pending, const ts_caller_t *caller);

#endif
