/**
 * A bound on the bytes that many holders have in memory together. Each holder has a charge in its
 * own structure and sets it to what it holds; the budget keeps the sum. Charging never fails: a
 * holder that can wait asks first, with ts_memory_reserve().
 */
#ifndef TEALSPAR_MEMORY_BUDGET_H
#define TEALSPAR_MEMORY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

typedef struct ts_memory_budget ts_memory_budget_t;

/** What one holder has charged; all zero: nothing, and not waiting. */
typedef struct ts_memory_charge {
    ts_memory_budget_t *budget; /**< NULL: not counted */
    size_t bytes;
    bool is_reclaimable; /**< set by the holder: the reclaim callback may free it */
    /* While it waits for room. */
    size_t wanted; /**< 0: not waiting */
    uint64_t order;
    void (*granted)(void *ctx);
    void *ctx;
    GList link;
} ts_memory_charge_t;

/**
 * Frees reclaimable charges until `bytes` more have room, as far as that is justified now. It may
 * be called from ts_memory_reserve() and must not free the charge that asks.
 */
typedef void (*ts_memory_reclaim_cb_t)(void *ctx, ts_memory_budget_t *budget, size_t bytes);

ts_memory_budget_t *ts_memory_budget_create(uv_loop_t *loop, ts_memory_reclaim_cb_t reclaim,
                                            void *ctx);
/** Sets the limit in bytes; it is SIZE_MAX at first. What is held already stays. */
void ts_memory_budget_set_limit(ts_memory_budget_t *budget, size_t limit);
size_t ts_memory_budget_limit(const ts_memory_budget_t *budget);
/** Bytes charged. */
size_t ts_memory_budget_used(const ts_memory_budget_t *budget);
/** Number of charges that wait for room. */
unsigned ts_memory_budget_waiting(const ts_memory_budget_t *budget);
/** Whether this many more bytes fit below `share` (0 to 1) of the limit. */
bool ts_memory_budget_has_room(const ts_memory_budget_t *budget, size_t bytes, double share);
/** The same, after reclaiming if there is no room. */
bool ts_memory_budget_make_room(ts_memory_budget_t *budget, size_t bytes, double share);

/** Sets what the holder has; it may exceed the limit. */
void ts_memory_charge_set(ts_memory_charge_t *charge, size_t bytes);
/** Clears the charge and stops waiting. */
void ts_memory_charge_clear(ts_memory_charge_t *charge);
/**
 * Raises the charge to `bytes` if there is room, and returns true. Otherwise the charge waits, and
 * `granted(ctx)` is called in a later loop iteration when it was raised. Those that wait are served
 * in the order of `order`, the smallest first.
 */
bool ts_memory_reserve(ts_memory_charge_t *charge, size_t bytes, uint64_t order,
                       void (*granted)(void *ctx), void *ctx);
/** Bytes that a GString has allocated; 0 for NULL. */
size_t ts_memory_of_string(const GString *string);
/** Bytes that a GString of this length allocates: a power of two. */
size_t ts_memory_of_length(size_t length);

#endif
