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
/** Earliest time of the next response: now while a call is pending, else when the next one begins.
 */
ts_time_us_t ts_store_watch_earliest_us(const ts_store_watch_t *watch, ts_time_us_t now_us);
/** Applies changed settings (the service's address). */
void ts_store_watch_reload(ts_store_watch_t *watch);

#endif
