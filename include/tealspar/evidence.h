/**
 * What answers say of an instance, as sums that add up over gateways: how many there were, how many
 * failed, and how long they took against what is usual. All fade with one half-life, so that their
 * ratios are those of the last moments. Pure: the time is passed in.
 *
 * An instance that pauses answers everything late at once when it goes on. Therefore times count by
 * slots: all answers of one slot of time together weigh as one.
 */
#ifndef TEALSPAR_EVIDENCE_H
#define TEALSPAR_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

/** Answers counted since some moment, not faded. */
typedef struct ts_evidence_count {
    uint32_t answers;  /**< successes and failures */
    uint32_t failures; /**< answers that were failures, and connections broken off at work */
    uint32_t timed;    /**< answers, or ends of waiting, whose time was compared with the usual */
    double log_ratio;  /**< sum over these of ln(time / usual time) */
    bool has_sign;     /**< some answer was a failure or far from the usual time */
} ts_evidence_count_t;

/** Faded sums. */
typedef struct ts_evidence_sums {
    double answers;
    double failures;
    double slots;     /**< slots of time with timed answers */
    double log_ratio; /**< sum over the slots of each slot's mean of ln(time / usual time) */
} ts_evidence_sums_t;

/** Faded sums as of a time, and the slot that is open. */
typedef struct ts_evidence {
    ts_evidence_sums_t sums;
    ts_time_us_t at_us;   /**< as of when `sums` stand */
    ts_time_us_t slot_us; /**< when the latest slot began; 0: none yet */
    double slot_timed;    /**< timed answers in it */
    double slot_mean;     /**< their mean of ln(time / usual time) */
} ts_evidence_t;

/** Counts one answer, or a connection that was broken off in place of one. */
void ts_evidence_count_verdict(ts_evidence_count_t *count, bool is_failure);
/** Counts a time of `ratio` times the usual one. */
void ts_evidence_count_time(ts_evidence_count_t *count, double ratio);
/** Whether a time of `ratio` times the usual one is unusual by itself. */
bool ts_evidence_is_late(double ratio);
void ts_evidence_count_add(ts_evidence_count_t *count, const ts_evidence_count_t *more);
/** Enters what was counted up to now. */
void ts_evidence_note(ts_evidence_t *evidence, const ts_evidence_count_t *count,
                      ts_time_us_t now_us);
/** Replaces everything by sums as they stand now. */
void ts_evidence_set(ts_evidence_t *evidence, const ts_evidence_sums_t *sums, ts_time_us_t now_us);
/** The sums as they stand now. */
ts_evidence_sums_t ts_evidence_sums(const ts_evidence_t *evidence, ts_time_us_t now_us);
/** The sums of two together. */
ts_evidence_sums_t ts_evidence_join(const ts_evidence_sums_t *a, const ts_evidence_sums_t *b);
/** Share of answers that are failures, 0 to 1; little evidence counts as few failures. */
double ts_evidence_failing(const ts_evidence_sums_t *sums);
/** Times against the usual ones; 1: the same. Little evidence counts as usual. */
double ts_evidence_slowness(const ts_evidence_sums_t *sums);
/** Whether the instance seems unlike others, so that all that is known of it should be told. */
bool ts_evidence_is_unusual(const ts_evidence_sums_t *sums);
/** Whether nothing was counted. */
bool ts_evidence_count_is_empty(const ts_evidence_count_t *count);

#endif
