/**
 * Fake configuration service that speaks the platform's published protocol: paged lists, watches by
 * long polling, a history that can be dropped, and the service's failure modes.
 */
#ifndef LAB_STANDIN_STORE_H
#define LAB_STANDIN_STORE_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

typedef struct lab_store lab_store_t;

typedef enum lab_store_mode {
    LAB_STORE_NORMAL,
    LAB_STORE_UNAVAILABLE, /**< responds to every call with 503 */
    LAB_STORE_THROTTLED,   /**< responds to every call with 429 */
    LAB_STORE_NO_HISTORY,  /**< keeps no history: responds to every watch with 410 */
    LAB_STORE_SILENT /**< never responds to calls, nor to pending watches after a change of mode */
} lab_store_mode_t;

/** Listens on 127.0.0.1 at the port; NULL on failure. */
lab_store_t *lab_store_open(uv_loop_t *loop, unsigned port);
/** Writes an entry and answers the pending watches whose prefix matches its key. */
void lab_store_put(lab_store_t *store, const char *key, const char *value);
void lab_store_delete(lab_store_t *store, const char *key);
/** Drops the history: pending watches and later ones that begin at an earlier revision get 410. */
void lab_store_drop_history(lab_store_t *store);
void lab_store_set_mode(lab_store_t *store, lab_store_mode_t mode);
/** Answers pending watches with 503. */
void lab_store_fail_watches(lab_store_t *store);
/** Copies the current entries and revision; replaces the previous copy. */
void lab_store_take_copy(lab_store_t *store);
/** Reports a key written since the copy was taken, and its latest value; NULL: deleted. */
typedef void (*lab_store_lost_write_t)(void *ctx, const char *key, const char *value);
/**
 * Restores the copy and increments the epoch. Later writes are lost and their revisions are reused.
 * Pending watches are never answered. `lost` (may be NULL) receives the lost writes, which their
 * writers have to repeat.
 */
void lab_store_restore(lab_store_t *store, lab_store_lost_write_t lost, void *ctx);
/** Number of writes so far, including those lost by a restore. */
uint64_t lab_store_write_count(const lab_store_t *store);
/**
 * Repeats a write or (`value` NULL) a deletion, unless the key was written after the first `writes`
 * writes.
 */
void lab_store_rewrite(lab_store_t *store, const char *key, const char *value, uint64_t writes);
/** Sets the epoch reported in responses; 0: none is reported. Initially 1. */
void lab_store_set_epoch(lab_store_t *store, uint64_t epoch);
uint64_t lab_store_epoch(const lab_store_t *store);
/** Sets the maximum number of entries on a page of a list. */
void lab_store_set_page_size(lab_store_t *store, unsigned entries);
/**
 * Answers `calls_before` list calls and holds the one after them until it is released. If the
 * client closes the connection meanwhile, the next list call is held instead.
 */
void lab_store_hold_list_call(lab_store_t *store, unsigned calls_before);
bool lab_store_is_list_call_held(const lab_store_t *store);
/** Answers the held call with the entries and epoch of now; no list call is held afterwards. */
void lab_store_release_list_call(lab_store_t *store);
/** Number of calls received so far. */
unsigned lab_store_call_count(const lab_store_t *store);

#endif
