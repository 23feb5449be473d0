/**
 * A position in the history of the configuration service. A service that was restored from an older
 * copy reuses revision numbers in a higher epoch, so positions are ordered by epoch, then by
 * revision.
 */
#ifndef TEALSPAR_STORE_POSITION_H
#define TEALSPAR_STORE_POSITION_H

#include <stdbool.h>
#include <stdint.h>

typedef struct ts_store_position {
    uint64_t epoch; /**< internal epoch, see ts_store_epoch_from_reported */
    uint64_t revision;
} ts_store_position_t;

/** Number of low bits of an internal epoch; they count restores that the service did not report. */
#define TS_STORE_EPOCH_SHIFT 16U

/** First internal epoch for an epoch number reported by the service; 0: none is reported. */
static inline uint64_t ts_store_epoch_from_reported(uint64_t reported)
{
    return reported << TS_STORE_EPOCH_SHIFT;
}

/** Epoch number reported by the service during an internal epoch. */
static inline uint64_t ts_store_epoch_reported(uint64_t epoch)
{
    return epoch >> TS_STORE_EPOCH_SHIFT;
}

/** Number of unreported restores since the service first reported its current epoch number. */
static inline uint64_t ts_store_epoch_resets(uint64_t epoch)
{
    return epoch - ts_store_epoch_from_reported(ts_store_epoch_reported(epoch));
}

/** Compares like strcmp: negative, zero or positive if `a` is before, equal to or after `b`. */
static inline int ts_store_position_compare(ts_store_position_t a, ts_store_position_t b)
{
    if (a.epoch != b.epoch)
        return a.epoch < b.epoch ? -1 : 1;
    return a.revision < b.revision ? -1 : a.revision > b.revision;
}

#endif
