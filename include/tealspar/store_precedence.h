/**
 * Decides which of two entries of the same key is effective when the configuration service may have
 * been restored from an older copy. Stateless. Configurations are ordered by their version and
 * are not handled here.
 */
#ifndef TEALSPAR_STORE_PRECEDENCE_H
#define TEALSPAR_STORE_PRECEDENCE_H

#include "tealspar/dialect.h"

/** State of the current epoch. */
typedef struct ts_store_epoch_state {
    uint64_t epoch;
    uint64_t base_revision; /**< entries changed at a higher revision were written in this epoch */
    bool is_window_open;    /**< the rewrite window for the entry's kind is open */
} ts_store_epoch_state_t;

typedef enum ts_store_decision {
    TS_STORE_APPLY,    /**< the new entry becomes effective */
    TS_STORE_IGNORE,   /**< the new entry is discarded */
    TS_STORE_DEFER,    /**< the new entry is set aside until the rewrite window ends */
    TS_STORE_REINSTATE /**< the new entry, of an earlier epoch, becomes effective and the known one
                       is set aside until the rewrite window ends */
} ts_store_decision_t;

/**
 * Decides between `known`, the effective entry, and the new `entry`. Both have the same key and are
 * of kind TS_STORE_INSTANCE or TS_STORE_EVACUATION.
 */
ts_store_decision_t ts_store_resolve(const ts_dialect_t *dialect,
                                     const ts_store_epoch_state_t *state,
                                     const ts_store_entry_t *known, const ts_store_entry_t *entry);
/** Whether both entries have the same value or are both deleted. */
bool ts_store_entry_equals(const ts_store_entry_t *a, const ts_store_entry_t *b);

#endif
