/**
 * What this node knows of the configuration service: its entries, up to which revision, and when
 * that was last confirmed. Entries come from the service or from peers, in any order; each key
 * keeps its highest revision. What changes is applied to the gateway at once.
 */
#ifndef TEALSPAR_STORE_MIRROR_H
#define TEALSPAR_STORE_MIRROR_H

#include "tealspar/gateway.h"

typedef struct ts_store_mirror ts_store_mirror_t;

ts_store_mirror_t *ts_store_mirror_create(ts_gateway_t *gateway);
/** Applies entries; returns how many were newer than what is known, the others are passed over. */
unsigned ts_store_mirror_apply(ts_store_mirror_t *mirror, const GPtrArray *entries);
/** All changes up to `revision` are applied, as was confirmed at `as_of_us`. */
void ts_store_mirror_reach(ts_store_mirror_t *mirror, uint64_t revision, ts_time_us_t as_of_us);
/** Nothing changed since, as was confirmed at `as_of_us`. */
void ts_store_mirror_confirm(ts_store_mirror_t *mirror, ts_time_us_t as_of_us);
/** A whole list as of `revision` was applied: what is not among its keys has gone. */
void ts_store_mirror_keep_only(ts_store_mirror_t *mirror, GHashTable *keys, uint64_t revision);
/** Whether the entries were read whole at least once. */
bool ts_store_mirror_is_primed(const ts_store_mirror_t *mirror);
/** Whether not a single entry is known. */
bool ts_store_mirror_is_empty(const ts_store_mirror_t *mirror);
uint64_t ts_store_mirror_revision(const ts_store_mirror_t *mirror);
/** When the revision was last confirmed as the newest; 0: never. */
ts_time_us_t ts_store_mirror_confirmed_us(const ts_store_mirror_t *mirror);
/**
 * Entries changed after a revision (of const ts_store_entry_t, owned by the mirror); the caller
 * frees the array. `*is_whole` is set when these are all there are, as the changes since then are
 * not known singly.
 */
GPtrArray *ts_store_mirror_changes(const ts_store_mirror_t *mirror, uint64_t after, bool *is_whole);
/** Forgets gone entries that are long past. */
void ts_store_mirror_sweep(ts_store_mirror_t *mirror, ts_time_us_t now_us);

#endif
