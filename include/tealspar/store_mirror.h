/**
 * Local mirror of the configuration service: its entries, the position they are known up to, and
 * when that position was last confirmed. Entries arrive from the service or from peers in any
 * order; for each key one entry is effective, and changes are applied to the gateway immediately.
 *
 * A service that was restored from an older copy begins a higher epoch. For a rewrite window,
 * in which the writers can write their entries again, an entry known before the restore may then
 * keep precedence over the restored one (see ts_store_resolve and docs/design/store-epochs.md).
 */
#ifndef TEALSPAR_STORE_MIRROR_H
#define TEALSPAR_STORE_MIRROR_H

#include "tealspar/gateway.h"
#include "tealspar/store_position.h"

typedef struct ts_store_mirror ts_store_mirror_t;

/** A complete list of the entries. */
typedef struct ts_store_list {
    const GPtrArray *entries;     /**< of ts_store_entry_t */
    ts_store_position_t position; /**< position of the service or peer that sent the list */
    uint64_t base_revision;       /**< see ts_store_mirror_base_revision; 0: the list's own */
    ts_time_us_t confirmed_us;    /**< when the position was confirmed as the latest */
    const char *source;           /**< sender, for the log */
} ts_store_list_t;

ts_store_mirror_t *ts_store_mirror_create(ts_gateway_t *gateway);
/**
 * Applies entries from a sender whose position is `from`; returns how many changed the mirror.
 * Entries of an epoch later than the mirror's are ignored, as a new epoch begins with a list. So
 * are entries that were changed up to the mirror's position, if the sender's is earlier: the mirror
 * is complete up to its position, so what it lacks was deleted since.
 */
unsigned ts_store_mirror_apply(ts_store_mirror_t *mirror, const GPtrArray *entries,
                               ts_store_position_t from);
/**
 * Records that all changes up to `position` are applied, confirmed at `confirmed_us`. Ignored if
 * the position is of another epoch or an earlier revision than the mirror's.
 */
void ts_store_mirror_advance(ts_store_mirror_t *mirror, ts_store_position_t position,
                             ts_time_us_t confirmed_us);
/** Records that the position was confirmed as the latest at `confirmed_us`. */
void ts_store_mirror_confirm(ts_store_mirror_t *mirror, ts_time_us_t confirmed_us);
/**
 * Applies a complete list; returns how many entries changed the mirror. Entries that the list does
 * not contain are marked deleted, except configurations, entries changed after the list's position,
 * and entries of an earlier epoch while the rewrite window for their kind is open. A list older
 * than the mirror's position deletes nothing.
 */
unsigned ts_store_mirror_apply_list(ts_store_mirror_t *mirror, const ts_store_list_t *list);
/** Whether a complete list was applied at least once. */
bool ts_store_mirror_is_loaded(const ts_store_mirror_t *mirror);
bool ts_store_mirror_is_empty(const ts_store_mirror_t *mirror);
ts_store_position_t ts_store_mirror_position(const ts_store_mirror_t *mirror);
/**
 * Lowest revision at which this node, or a peer it learned from, first listed the current epoch.
 * Entries changed at a higher revision were written after the restore.
 */
uint64_t ts_store_mirror_base_revision(const ts_store_mirror_t *mirror);
/** When the position was last confirmed as the latest; 0: never. */
ts_time_us_t ts_store_mirror_confirmed_us(const ts_store_mirror_t *mirror);
/** Number of entries of earlier epochs that are still effective. */
unsigned ts_store_mirror_count_earlier_epoch(const ts_store_mirror_t *mirror);
/**
 * Returns the entries (const ts_store_entry_t, owned by the mirror) changed after a position,
 * preceded by all entries kept from an earlier epoch. `*is_whole` is set if the individual changes
 * since then are not known and the array holds all entries instead. The caller frees the array.
 */
GPtrArray *ts_store_mirror_changes(const ts_store_mirror_t *mirror, ts_store_position_t after,
                                   bool *is_whole);
/** Removes tombstones after their retention time, unless an entry is deferred because of them. */
void ts_store_mirror_sweep(ts_store_mirror_t *mirror, ts_time_us_t now_us);

#endif
