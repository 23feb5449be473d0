/**
 * A stand-in of the platform's configuration service, by its published protocol: list by pages,
 * watch by long calls, a history that can be forgotten, and the ways it fails.
 */
#ifndef LAB_STANDIN_STORE_H
#define LAB_STANDIN_STORE_H

#include <stdint.h>
#include <uv.h>

typedef struct lab_store lab_store_t;

typedef enum lab_store_mode {
    LAB_STORE_NORMAL,
    LAB_STORE_UNAVAILABLE, /**< every call gets 503 */
    LAB_STORE_THROTTLED,   /**< every call gets 429 */
    LAB_STORE_NO_HISTORY,  /**< it keeps no history: every wait gets 410 */
    LAB_STORE_SILENT       /**< no call is answered, nor those that wait, also not later */
} lab_store_mode_t;

/** Listens on 127.0.0.1 at the port; NULL when that fails. */
lab_store_t *lab_store_open(uv_loop_t *loop, unsigned port);
/** Writes an entry, and answers the watches that wait for it. */
void lab_store_put(lab_store_t *store, const char *key, const char *value);
void lab_store_delete(lab_store_t *store, const char *key);
/** The history is gone: watches that begin before now get 410; those that wait are cut. */
void lab_store_drop_history(lab_store_t *store);
void lab_store_set_mode(lab_store_t *store, lab_store_mode_t mode);
/** The calls that wait get 503. */
void lab_store_fail_watches(lab_store_t *store);
/** Takes a copy of what the store holds now; the one taken before is dropped. */
void lab_store_take_copy(lab_store_t *store);
/** A key that was written since the copy was taken, and its value; NULL: it was gone. */
typedef void (*lab_store_lost_write_t)(void *ctx, const char *key, const char *value);
/**
 * Comes back from that copy, with its epoch one higher: later writes are lost, and their revisions
 * are given out again. The calls that wait are never answered. `lost` (may be NULL) is told what
 * the writers are to write again.
 */
void lab_store_restore(lab_store_t *store, lab_store_lost_write_t lost, void *ctx);
/** Writes so far; no restore takes that back. */
uint64_t lab_store_write_count(const lab_store_t *store);
/** Writes or (`value` NULL) deletes an entry again, unless that was done after `writes` of them. */
void lab_store_rewrite(lab_store_t *store, const char *key, const char *value, uint64_t writes);
/** Epoch in its answers from now on; 0: they tell none. Begins at 1. */
void lab_store_set_epoch(lab_store_t *store, uint64_t epoch);
uint64_t lab_store_epoch(const lab_store_t *store);
/** Entries on one page of a list. */
void lab_store_set_page_size(lab_store_t *store, unsigned entries);
/** Calls so far. */
unsigned lab_store_call_count(const lab_store_t *store);

#endif
