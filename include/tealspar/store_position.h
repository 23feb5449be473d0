/**
 * A point in the history of the configuration service. A service that has come back from an older
 * copy of itself gives revisions out again, in a higher epoch: positions are ordered by epoch, then
 * by revision.
 */
#ifndef TEALSPAR_STORE_POSITION_H
#define TEALSPAR_STORE_POSITION_H

#include <stdbool.h>
#include <stdint.h>

typedef struct ts_store_position {
    uint64_t epoch; /**< see ts_store_epoch */
    uint64_t revision;
} ts_store_position_t;

/** Room below a told epoch for times that the service went back without telling. */
#define TS_STORE_EPOCH_SHIFT 16U

/** The first epoch of those that go by the number that the service tells; 0: it tells none. */
static inline uint64_t ts_store_epoch(uint64_t told)
{
    return told << TS_STORE_EPOCH_SHIFT;
}

/** The number that the service tells in an epoch. */
static inline uint64_t ts_store_epoch_told(uint64_t epoch)
{
    return epoch >> TS_STORE_EPOCH_SHIFT;
}

/** How often it went back since it told that number, without telling. */
static inline uint64_t ts_store_epoch_resets(uint64_t epoch)
{
    return epoch - ts_store_epoch(ts_store_epoch_told(epoch));
}

/** Below 0, 0, or above 0, as `a` lies before `b`, is it, or lies after it. */
static inline int ts_store_position_compare(ts_store_position_t a, ts_store_position_t b)
{
    if (a.epoch != b.epoch)
        return a.epoch < b.epoch ? -1 : 1;
    return a.revision < b.revision ? -1 : a.revision > b.revision;
}

#endif
