/**
 * Health statistics of an instance, as sums that can be added up over gateways: responses,
 * failures, and response times relative to the expected time. All sums decay with the same
 * half-life, so that their ratios describe the last few seconds. Does not read the clock.
 *
 * An instance that resumes after a pause answers all pending requests late at once. Response times
 * are therefore averaged per time slot, and each slot has the weight of one response.
 */
#ifndef TEALSPAR_EVIDENCE_H
#define TEALSPAR_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

/** Counts over some period, without decay. */
typedef struct ts_evidence_count {
    uint32_t answers;  /**< successes and failures */
    uint32_t failures; /**< failed responses, and connections lost during a request */
    uint32_t timed;    /**< responses, or waits given up, with a time ratio */
    double log_ratio;  /**< sum over `timed` of ln(time / expected time) */
    bool has_anomaly;  /**< includes a failure or a slow response */
} ts_evidence_count_t;

/** Sums with exponential decay. */
typedef struct ts_evidence_sums {
    double answers;
    double failures;
    double slots;     /**< time slots with timed responses */
    double log_ratio; /**< sum over the slots of the slot's mean ln(time / expected time) */
} ts_evidence_sums_t;

/** Decaying sums and the current time slot. */
typedef struct ts_evidence {
    ts_evidence_sums_t sums;
    ts_time_us_t at_us;   /**< time up to which `sums` have decayed */
    ts_time_us_t slot_us; /**< start of the current slot; 0: none yet */
    double slot_timed;    /**< timed responses in the current slot */
    double slot_mean;     /**< their mean ln(time / expected time) */
} ts_evidence_t;

/** Counts a response, or a connection that was lost instead. */
void ts_evidence_count_result(ts_evidence_count_t *count, bool is_failure);
/** Counts a response time; `ratio` is relative to the expected time. */
void ts_evidence_count_latency(ts_evidence_count_t *count, double ratio);
/** Whether a single response time counts as slow; `ratio` is relative to the expected time. */
bool ts_evidence_is_outlier(double ratio);
void ts_evidence_count_merge(ts_evidence_count_t *count, const ts_evidence_count_t *more);
/** Adds counts to the sums. */
void ts_evidence_add(ts_evidence_t *evidence, const ts_evidence_count_t *count,
                     ts_time_us_t now_us);
/** Replaces the sums. */
void ts_evidence_set(ts_evidence_t *evidence, const ts_evidence_sums_t *sums, ts_time_us_t now_us);
/** The sums, decayed to `now_us`. */
ts_evidence_sums_t ts_evidence_sums(const ts_evidence_t *evidence, ts_time_us_t now_us);
ts_evidence_sums_t ts_evidence_merge(const ts_evidence_sums_t *a, const ts_evidence_sums_t *b);
/** Share of responses that failed, 0 to 1; biased towards 0 while there are few responses. */
double ts_evidence_failure_rate(const ts_evidence_sums_t *sums);
/** Mean ratio of response time to expected time; biased towards 1 while there are few slots. */
double ts_evidence_latency_ratio(const ts_evidence_sums_t *sums);
/** Whether failures or response times are high enough to report all counts to other nodes. */
bool ts_evidence_is_anomalous(const ts_evidence_sums_t *sums);
bool ts_evidence_count_is_empty(const ts_evidence_count_t *count);

#endif
