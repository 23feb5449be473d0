/** Evidence of an instance's health. */
#include "tealspar/evidence.h"

#include <glib.h>
#include <math.h>

/* Half-life of the sums; most disturbances of a backend last a few seconds. */
#define HALF_LIFE_US (1.5 * (double)TS_US_PER_S)
/* Response times within one slot are averaged and count as one. */
#define SLOT_US (100 * TS_US_PER_MS)
/* Prior: successful responses, and slots with the expected response time, added to those seen. */
#define PRIOR_ANSWERS 3.0
#define PRIOR_SLOTS 3.0
/* Latency ratios are clamped to this range; more extreme ones carry no further information. */
#define RATIO_MIN 0.25
#define RATIO_MAX 16.0
/* Responses with a higher latency ratio count as slow: 1 in 200 of a healthy instance. */
#define SLOW_RATIO 2.5
/* Thresholds above which an instance counts as anomalous. */
#define ANOMALOUS_FAILURE_RATE 0.08
#define ANOMALOUS_LATENCY_RATIO 1.3

bool ts_evidence_is_slow(double ratio)
{
    return ratio > SLOW_RATIO;
}

void ts_evidence_count_add_result(ts_evidence_count_t *count, bool is_failure)
{
    count->answers++;
    count->failures += is_failure;
    count->has_failure_or_slow |= is_failure;
}

void ts_evidence_count_add_latency(ts_evidence_count_t *count, double ratio)
{
    count->timed++;
    count->log_ratio += log(CLAMP(ratio, RATIO_MIN, RATIO_MAX));
    count->has_failure_or_slow |= ts_evidence_is_slow(ratio);
}

bool ts_evidence_count_is_empty(const ts_evidence_count_t *count)
{
    return count->answers == 0 && count->timed == 0;
}

void ts_evidence_count_merge(ts_evidence_count_t *count, const ts_evidence_count_t *more)
{
    count->answers += more->answers;
    count->failures += more->failures;
    count->timed += more->timed;
    count->log_ratio += more->log_ratio;
    count->has_failure_or_slow |= more->has_failure_or_slow;
}

ts_evidence_sums_t ts_evidence_sums(const ts_evidence_t *evidence, ts_time_us_t now_us)
{
    ts_evidence_sums_t sums = evidence->sums;
    if (now_us <= evidence->at_us)
        return sums;
    double decay = exp2(-(double)(now_us - evidence->at_us) / HALF_LIFE_US);
    sums.answers *= decay;
    sums.failures *= decay;
    sums.slots *= decay;
    sums.log_ratio *= decay;
    return sums;
}

/* Adds response times to the latest slot, or to a new one if that has ended. The slot counts once,
 * however many response times it has. */
static void add_times(ts_evidence_t *evidence, const ts_evidence_count_t *count,
                      ts_time_us_t now_us)
{
    if (evidence->slot_us == 0 || now_us - evidence->slot_us >= SLOT_US) {
        evidence->slot_us = now_us;
        evidence->slot_timed = 0;
        evidence->slot_mean = 0;
        evidence->sums.slots += 1;
    }
    double before = evidence->slot_mean;
    double sum = before * evidence->slot_timed + count->log_ratio;
    evidence->slot_timed += count->timed;
    evidence->slot_mean = sum / evidence->slot_timed;
    evidence->sums.log_ratio += evidence->slot_mean - before;
}

void ts_evidence_add(ts_evidence_t *evidence, const ts_evidence_count_t *count, ts_time_us_t now_us)
{
    evidence->sums = ts_evidence_sums(evidence, now_us);
    evidence->at_us = now_us;
    evidence->sums.answers += count->answers;
    evidence->sums.failures += count->failures;
    if (count->timed > 0)
        add_times(evidence, count, now_us);
}

void ts_evidence_set(ts_evidence_t *evidence, const ts_evidence_sums_t *sums, ts_time_us_t now_us)
{
    *evidence = (ts_evidence_t){.sums = *sums, .at_us = now_us};
}

ts_evidence_sums_t ts_evidence_merge(const ts_evidence_sums_t *a, const ts_evidence_sums_t *b)
{
    return (ts_evidence_sums_t){a->answers + b->answers, a->failures + b->failures,
                                a->slots + b->slots, a->log_ratio + b->log_ratio};
}

double ts_evidence_failure_rate(const ts_evidence_sums_t *sums)
{
    return sums->failures / (sums->answers + PRIOR_ANSWERS);
}

double ts_evidence_latency_ratio(const ts_evidence_sums_t *sums)
{
    return exp(sums->log_ratio / (sums->slots + PRIOR_SLOTS));
}

bool ts_evidence_is_anomalous(const ts_evidence_sums_t *sums)
{
    return ts_evidence_failure_rate(sums) > ANOMALOUS_FAILURE_RATE ||
           ts_evidence_latency_ratio(sums) > ANOMALOUS_LATENCY_RATIO;
}
