/**
 * Which of two entries of one key stands, when the configuration service may have come back from an
 * older copy. Pure; configurations are ordered by their version and are not judged here.
 */
#ifndef TEALSPAR_STORE_PRECEDENCE_H
#define TEALSPAR_STORE_PRECEDENCE_H

#include "tealspar/dialect.h"

/** What is known of the present epoch. */
typedef struct ts_store_restore {
    uint64_t epoch;
    uint64_t base;   /**< entries changed above this revision were written in it */
    bool is_holding; /**< writers have not yet had the time to write again */
} ts_store_restore_t;

typedef enum ts_store_verdict {
    TS_STORE_TAKE,      /**< the new one stands */
    TS_STORE_PASS_OVER, /**< the known one stands */
    TS_STORE_HOLD,      /**< the known one stands, until the time to write again is over */
    TS_STORE_RECALL     /**< the same with the new one, which is of an earlier epoch */
} ts_store_verdict_t;

/** `entry` has come while `known` stands; both of one key, of kind instance or evacuation. */
ts_store_verdict_t ts_store_judge(const ts_dialect_t *dialect, const ts_store_restore_t *restore,
                                  const ts_store_entry_t *known, const ts_store_entry_t *entry);
/** Whether both hold the same value, or are both gone. */
bool ts_store_is_same(const ts_store_entry_t *a, const ts_store_entry_t *b);

#endif
