/**
 * The mechanisms of the decision that a setting (`without`) can switch off one by one, to measure
 * what each is worth (bench/platform/ablation). One choice for the process.
 */
#ifndef TEALSPAR_MECHANISM_H
#define TEALSPAR_MECHANISM_H

#include <stdbool.h>
#include <stdint.h>

/* X(symbol, name, what it does) */
#define TS_MECHANISM_TABLE(X)                                                                      \
    X(PENDING, "pending", "a starting gateway holds requests for a moment")                        \
    X(RETURNED, "returned", "requests that returned may wait longer for their beginning")          \
    X(SCARCE, "scarce", "parts that can be missing leave full back ends to others")                \
    X(PRIORITY, "priority", "less urgent requests are not refused less often")                     \
    X(TRAVEL, "travel", "travel to a zone is measured")                                            \
    X(FAILING, "failing", "back ends that fail part of their requests cost more")                  \
    X(MERGED, "merged", "what answers say of a back end is told to the whole fleet")               \
    X(LATE_SIGN, "late_sign", "back ends whose answers are late cost more")                        \
    X(SUSPICION, "suspicion", "an overdue send makes its back end suspected")                      \
    X(SIGHTINGS, "sightings", "other gateways are told of suspicions")                             \
    X(SECOND_SENDS, "second_sends", "overdue parts are sent again")                                \
    X(PATIENT_SECOND, "patient_second", "second sends are made as late as the aim allows")         \
    X(SPARING, "sparing", "parts that can be missing leave scarce extra sends to others")          \
    X(LOANS, "loans", "extra sends are lent among gateways")                                       \
    X(LIMITS, "limits", "limits of requests in flight are learned")                                \
    X(FORGOTTEN, "forgotten", "resets of resting connections teach how long they may rest")        \
    X(QUARANTINE, "quarantine", "requests that end back ends are sent one at a time, then held")

#define TS_MECHANISM_ENUM(symbol, name, text) TS_MECHANISM_##symbol,
typedef enum ts_mechanism {
    TS_MECHANISM_TABLE(TS_MECHANISM_ENUM) TS_MECHANISM_COUNT
} ts_mechanism_t;
#undef TS_MECHANISM_ENUM

/** Switches off the mechanisms of these bits (1 << ts_mechanism_t), and all others on. */
void ts_mechanisms_set_off(uint32_t bits);
bool ts_mechanism_is_on(ts_mechanism_t mechanism);

#endif
