/**
 * Evidence of an instance's health, as sums that can be added up over gateways: responses,
 * failures, and latency ratios. A latency ratio is a response time divided by the expected time
 * (the median of the route, adjusted for the network distance); the caller computes it.
 * All sums decay with a half-life of 1.5 s, so that their ratios describe the last few seconds.
 * Does not read the clock.
 *
 * An instance that resumes after a pause answers all pending requests late at once. Counted singly,
 * they would outweigh all other responses. Response times are therefore averaged per time slot of
 * 100 ms, and each slot counts once.
 */
#ifndef TEALSPAR_EVIDENCE_H
#define TEALSPAR_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "tealspar/clock.h"

/** Counts over some period, without decay. */
typedef struct ts_evidence_count {
    uint32_t answers;  /**< results: responses, and connections lost during a request */
    uint32_t failures; /**< those of `answers` that were not successful */
    uint32_t timed;    /**< number of response times, and of waiting times of requests given up */
    double log_ratio;  /**< sum over `timed` of ln(time / expected time) */
    bool has_failure_or_slow; /**< has a failure or slow response, or is from another node */
} ts_evidence_count_t;

/** Sums with exponential decay. */
typedef struct ts_evidence_sums {
    double answers;
    double failures;
    double slots;     /**< time slots with response times */
    double log_ratio; /**< sum over the slots of the slot's mean ln(time / expected time) */
} ts_evidence_sums_t;

/** Decaying sums and the latest time slot. */
typedef struct ts_evidence {
    ts_evidence_sums_t sums;
    ts_time_us_t at_us;   /**< time up to which `sums` have decayed */
    ts_time_us_t slot_us; /**< start of the latest slot, at its first response time; 0: none yet */
    double slot_timed;    /**< response times in the latest slot */
    double slot_mean;     /**< their mean ln(time / expected time) */
} ts_evidence_t;

/** Counts a response, or a connection that was lost instead. */
void ts_evidence_count_add_result(ts_evidence_count_t *count, bool is_failure);
/** Counts a response time by its latency ratio. */
void ts_evidence_count_add_latency(ts_evidence_count_t *count, double ratio);
/** Whether a single response with this latency ratio counts as slow. */
bool ts_evidence_is_slow(double ratio);
void ts_evidence_count_merge(ts_evidence_count_t *count, const ts_evidence_count_t *more);
/** Decays the sums to `now_us` and adds counts; their response times enter the slot at `now_us`. */
void ts_evidence_add(ts_evidence_t *evidence, const ts_evidence_count_t *count,
                     ts_time_us_t now_us);
/** Replaces everything by sums as of `now_us`; the next response time starts a new slot. */
void ts_evidence_set(ts_evidence_t *evidence, const ts_evidence_sums_t *sums, ts_time_us_t now_us);
/** The sums, decayed to `now_us`. */
ts_evidence_sums_t ts_evidence_sums(const ts_evidence_t *evidence, ts_time_us_t now_us);
ts_evidence_sums_t ts_evidence_merge(const ts_evidence_sums_t *a, const ts_evidence_sums_t *b);
/** Share of responses that failed, 0 to 1; biased towards 0 while there are few responses. */
double ts_evidence_failure_rate(const ts_evidence_sums_t *sums);
/** Geometric mean of the latency ratios; biased towards 1 while there are few slots. */
double ts_evidence_latency_ratio(const ts_evidence_sums_t *sums);
/**
 * Whether the failure rate or latency ratio exceeds its threshold. Nodes report all counts of such
 * an instance to others; of other instances only counts with a failure or slow response.
 */
bool ts_evidence_is_anomalous(const ts_evidence_sums_t *sums);
bool ts_evidence_count_is_empty(const ts_evidence_count_t *count);

#endif
