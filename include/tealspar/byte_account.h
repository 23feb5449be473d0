/**
 * Counters of bytes sent to nodes and exchanged with backends, by cause and by distance, as traffic
 * between zones and regions is billed. Bytes are counted when they are written to or read from a
 * socket, without the overhead of lower layers.
 */
#ifndef TEALSPAR_BYTE_ACCOUNT_H
#define TEALSPAR_BYTE_ACCOUNT_H

#include <glib.h>
#include <stddef.h>

#include "tealspar/rtt.h"

/* X(symbol, name, description) */
#define TS_BYTE_CAUSE_TABLE(X)                                                                     \
    X(FIRST_SEND, "first_send", "first sends of requests and parts, and their answers")            \
    X(SECOND_SEND, "second_send", "hedges and retries, and their answers")                         \
    X(MEMBERSHIP, "membership", "membership gossip")                                               \
    X(STORE, "store", "entries of the configuration service, sent between nodes")                  \
    X(SIGHTING, "sighting", "suspected and recovered backends")                                    \
    X(EVIDENCE, "evidence", "statistics of backend failures and latencies")                        \
    X(LOAN, "loan", "borrowed retry budget")                                                       \
    X(RATE, "rate", "fleet-wide rate limits")                                                      \
    X(QUARANTINE, "quarantine", "requests that may crash backends")

#define TS_BYTE_CAUSE_ENUM(symbol, name, description) TS_BYTES_##symbol,
typedef enum ts_byte_cause {
    TS_BYTE_CAUSE_TABLE(TS_BYTE_CAUSE_ENUM) TS_BYTE_CAUSES
} ts_byte_cause_t;
#undef TS_BYTE_CAUSE_ENUM

/** Adds to a counter; to be called on the event loop's thread. */
void ts_byte_account_add(ts_byte_cause_t cause, ts_distance_t distance, size_t bytes);
/** Bytes counted since the process started. */
uint64_t ts_byte_account_get(ts_byte_cause_t cause, ts_distance_t distance);
/** Appends the counters in the Prometheus text format. */
void ts_byte_account_write(GString *out);

#endif
