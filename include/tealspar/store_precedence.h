/**
 * Decides which of two entries of the same key is effective when the configuration service may have
 * been restored from an older backup. Stateless. Configurations are ordered by their version and
 * are not handled here.
 */
#ifndef TEALSPAR_STORE_PRECEDENCE_H
#define TEALSPAR_STORE_PRECEDENCE_H

#include "tealspar/dialect.h"

/** State of the current epoch. */
typedef struct ts_store_restore {
    uint64_t epoch;
    uint64_t base;   /**< entries changed at a higher revision were written in this epoch */
    bool is_holding; /**< writers may still be writing again what the restore lost */
} ts_store_restore_t;

typedef enum ts_store_verdict {
    TS_STORE_TAKE,      /**< the new entry becomes effective */
    TS_STORE_PASS_OVER, /**< the new entry is discarded */
    TS_STORE_HOLD,      /**< the new entry is set aside until the grace period ends */
    TS_STORE_RECALL     /**< the new entry, of an earlier epoch, becomes effective and the known one
                           is set aside until the grace period ends */
} ts_store_verdict_t;

/**
 * Decides between `known`, the effective entry, and the new `entry`. Both have the same key and are
 * of kind TS_STORE_INSTANCE or TS_STORE_EVACUATION.
 */
ts_store_verdict_t ts_store_judge(const ts_dialect_t *dialect, const ts_store_restore_t *restore,
                                  const ts_store_entry_t *known, const ts_store_entry_t *entry);
/** Whether both entries have the same value or are both deleted. */
bool ts_store_is_same(const ts_store_entry_t *a, const ts_store_entry_t *b);

#endif
