/**
 * Keeps the configuration and the registry up to date from the configuration service: lists all
 * entries once, then waits for changes; lists again when the service has forgotten its history.
 */
#ifndef TEALSPAR_STORE_WATCH_H
#define TEALSPAR_STORE_WATCH_H

#include "tealspar/gateway.h"

ts_store_watch_t *ts_store_watch_create(ts_gateway_t *gateway);
/** Begins to read. */
void ts_store_watch_start(ts_store_watch_t *watch);
/** The settings changed. */
/** Whether the last call failed. */
bool ts_store_watch_is_lost(const ts_store_watch_t *watch);
void ts_store_watch_reload(ts_store_watch_t *watch);

#endif
