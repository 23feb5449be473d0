/**
 * What this node knows of the configuration service: its entries, up to which position, and when
 * that was last confirmed. Entries come from the service or from peers, in any order; each key
 * keeps the one that stands. What changes is applied to the gateway at once.
 *
 * A service that has come back from an older copy begins a higher epoch. What was known before goes
 * on standing against the copy for the time that its writer has to write again; see
 * docs/design/store-epochs.md.
 */
#ifndef TEALSPAR_STORE_MIRROR_H
#define TEALSPAR_STORE_MIRROR_H

#include "tealspar/gateway.h"
#include "tealspar/store_position.h"

typedef struct ts_store_mirror ts_store_mirror_t;

/** All entries there are, read whole. */
typedef struct ts_store_list {
    const GPtrArray *entries;     /**< of ts_store_entry_t */
    ts_store_position_t position; /**< of the service, or of the peer that gives them */
    uint64_t base;                /**< lowest revision at which the epoch was read; 0: this one */
    ts_time_us_t as_of_us;        /**< when that was confirmed */
    const char *source;           /**< who gives it, for the log */
} ts_store_list_t;

ts_store_mirror_t *ts_store_mirror_create(ts_gateway_t *gateway);
/**
 * Applies entries that a holder of the position `from` gives; returns how many were news. Those of
 * an epoch that is not known yet are passed over: they come with a list.
 */
unsigned ts_store_mirror_apply(ts_store_mirror_t *mirror, const GPtrArray *entries,
                               ts_store_position_t from);
/** All changes up to `position` are applied, as was confirmed at `as_of_us`. */
void ts_store_mirror_reach(ts_store_mirror_t *mirror, ts_store_position_t position,
                           ts_time_us_t as_of_us);
/** Nothing changed since, as was confirmed at `as_of_us`. */
void ts_store_mirror_confirm(ts_store_mirror_t *mirror, ts_time_us_t as_of_us);
/**
 * Applies a whole list: what it does not name has gone, unless it stands from an earlier epoch.
 * Returns how many entries were news. One of an earlier epoch than the present one ends nothing.
 */
unsigned ts_store_mirror_take_list(ts_store_mirror_t *mirror, const ts_store_list_t *list);
/** Whether the entries were read whole at least once. */
bool ts_store_mirror_is_primed(const ts_store_mirror_t *mirror);
/** Whether not a single entry is known. */
bool ts_store_mirror_is_empty(const ts_store_mirror_t *mirror);
ts_store_position_t ts_store_mirror_position(const ts_store_mirror_t *mirror);
/** Lowest revision at which the present epoch was read, as far as this node knows. */
uint64_t ts_store_mirror_base(const ts_store_mirror_t *mirror);
/** When the position was last confirmed as the newest; 0: never. */
ts_time_us_t ts_store_mirror_confirmed_us(const ts_store_mirror_t *mirror);
/** Entries that stand from an earlier epoch. */
unsigned ts_store_mirror_count_former(const ts_store_mirror_t *mirror);
/**
 * Entries changed after a position, those that stand from an earlier epoch first and always (of
 * const ts_store_entry_t, owned by the mirror); the caller frees the array. `*is_whole` is set when
 * these are all there are, as the changes since then are not known singly.
 */
GPtrArray *ts_store_mirror_changes(const ts_store_mirror_t *mirror, ts_store_position_t after,
                                   bool *is_whole);
/** Forgets gone entries that are long past. */
void ts_store_mirror_sweep(ts_store_mirror_t *mirror, ts_time_us_t now_us);

#endif
