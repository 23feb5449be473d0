/**
 * Requests that came to a gateway that has just started and does not know the configuration yet.
 * The configuration service answers within a few round trips, so they are held for a small part of
 * the caller's patience before they are refused.
 */
#ifndef TEALSPAR_PENDING_H
#define TEALSPAR_PENDING_H

#include "tealspar/gateway.h"

ts_pending_t *ts_pending_create(ts_gateway_t *gateway);
/** Holds the caller's request until the gateway can begin it, or refuses it. */
void ts_pending_add(ts_pending_t *pending, ts_caller_t *caller);
/** The caller left; returns whether its request was held. */
bool ts_pending_remove(ts_pending_t *pending, const ts_caller_t *caller);

#endif
