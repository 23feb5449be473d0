/**
 * Account of the bytes that go between zones and regions, by what they are for: links there have a
 * price. Counted where bytes are handed to a socket or taken from one, without the framing below.
 */
#ifndef TEALSPAR_BYTE_ACCOUNT_H
#define TEALSPAR_BYTE_ACCOUNT_H

#include <glib.h>
#include <stddef.h>

#include "tealspar/rtt.h"

/* X(symbol, name, description) */
#define TS_BYTE_CAUSE_TABLE(X)                                                                     \
    X(FIRST_SEND, "first_send", "first sends of requests and parts, and their answers")            \
    X(SECOND_SEND, "second_send", "sends beyond the first, and their answers")                     \
    X(MEMBERSHIP, "membership", "who is in the fleet")                                             \
    X(STORE, "store", "what the configuration service said, passed on")                            \
    X(SIGHTING, "sighting", "suspicions of back ends")                                             \
    X(EVIDENCE, "evidence", "what answers say of back ends")                                       \
    X(LOAN, "loan", "extra sends that are asked for and granted")                                  \
    X(RATE, "rate", "tokens of rates that the fleet keeps together")                               \
    X(QUARANTINE, "quarantine", "requests that may end back ends")

#define TS_BYTE_CAUSE_ENUM(symbol, name, description) TS_BYTES_##symbol,
typedef enum ts_byte_cause {
    TS_BYTE_CAUSE_TABLE(TS_BYTE_CAUSE_ENUM) TS_BYTE_CAUSES
} ts_byte_cause_t;
#undef TS_BYTE_CAUSE_ENUM

/** Counts bytes on the loop's thread. */
void ts_account_bytes(ts_byte_cause_t cause, ts_distance_t distance, size_t bytes);
/** Bytes so far. */
uint64_t ts_accounted_bytes(ts_byte_cause_t cause, ts_distance_t distance);
/** Appends the account in the Prometheus text format. */
void ts_byte_account_write(GString *out);

#endif
