/**
 * Keeps the mirror up to date from the configuration service: lists all entries once, then watches
 * for changes with long polls. Lists again when the service no longer has the requested history or
 * was restored from an older copy.
 */
#ifndef TEALSPAR_STORE_WATCH_H
#define TEALSPAR_STORE_WATCH_H

#include "tealspar/gateway.h"

ts_store_watch_t *ts_store_watch_create(ts_gateway_t *gateway);
void ts_store_watch_start(ts_store_watch_t *watch);
/** Whether the last call failed. */
bool ts_store_watch_is_failing(const ts_store_watch_t *watch);
/** Applies changed settings (the service's address). */
void ts_store_watch_reload(ts_store_watch_t *watch);

#endif
