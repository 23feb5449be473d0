/**
 * Routing mechanisms that the setting `without` can disable one by one, to measure the effect of
 * each (bench/platform/ablation). Applies to the whole process.
 */
#ifndef TEALSPAR_MECHANISM_H
#define TEALSPAR_MECHANISM_H

#include <stdbool.h>
#include <stdint.h>

/* X(symbol, name in the settings, description) */
#define TS_MECHANISM_TABLE(X)                                                                      \
    X(PENDING, "pending", "a starting gateway briefly holds requests")                             \
    X(SCARCE, "scarce", "optional parts leave scarce backends to others")                          \
    X(PRIORITY, "priority", "of waiting requests, those of higher priority are admitted first")    \
    X(TRAVEL, "travel", "round-trip times to zones are measured")                                  \
    X(FAILING, "failing", "the failure rate of an instance raises its cost")                       \
    X(MERGED, "merged", "health statistics of instances are merged across the fleet")              \
    X(LATE_SIGN, "late_sign", "slow responses of an instance raise its cost")                      \
    X(SUSPICION, "suspicion", "an overdue request makes its instance suspected")                   \
    X(SIGHTINGS, "sightings", "suspicions are shared with other gateways")                         \
    X(SECOND_SENDS, "second_sends", "overdue parts are hedged")                                    \
    X(PATIENT_SECOND, "patient_second", "hedges are sent as late as the target latency allows")    \
    X(SPARING, "sparing", "optional parts leave a low retry budget to others")                     \
    X(LOANS, "loans", "gateways lend each other retry budget")                                     \
    X(LIMITS, "limits", "limits of requests in flight are learned per instance")                   \
    X(FORGOTTEN, "forgotten", "idle timeouts of connections are learned from resets")              \
    X(QUARANTINE, "quarantine",                                                                    \
      "requests suspected of crashing instances are sent alone, then quarantined")

#define TS_MECHANISM_ENUM(symbol, name, text) TS_MECHANISM_##symbol,
typedef enum ts_mechanism {
    TS_MECHANISM_TABLE(TS_MECHANISM_ENUM) TS_MECHANISM_COUNT
} ts_mechanism_t;
#undef TS_MECHANISM_ENUM

/** Disables the mechanisms in `bits` (1 << ts_mechanism_t) and enables all others. */
void ts_mechanisms_set_off(uint32_t bits);
bool ts_mechanism_is_on(ts_mechanism_t mechanism);

#endif
