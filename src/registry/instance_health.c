/** Health and load of an instance, as learned from this node's requests to it. */
#include <math.h>

#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/mechanism.h"
#include "tealspar/registry.h"

/* A node does not report its suspicions of an instance to which it sends this many requests/s or
 * more; see should_report. */
#define REPORT_RATE_MAX 40.0
/* Half-life of `sent_rate`, and the addition per request. */
#define RATE_HALF_LIFE_US ((double)TS_US_PER_S)
#define RATE_STEP 0.693 /* ln 2 per half-life: at a constant rate the average converges to it */
/* A peer's suspicion is ignored if this node got an answer less than this ago. */
#define ANSWER_VALID_US (15 * TS_US_PER_MS)
/*
 * The limit of requests in flight is lowered when the ratio of an answer's time to the typical one
 * exceeds OVERLOADED_RATIO or the instance refuses work, and raised while the ratio is below
 * RELAXED_RATIO and the limit is reached.
 */
#define OVERLOADED_RATIO 2.5
#define RELAXED_RATIO 1.8
/* Factor applied after a slow answer; after a refused request or a rejected connection. */
#define LIMIT_DECREASE 0.85
#define LIMIT_DECREASE_REFUSED 0.7
/* Requests in flight by which the limit is raised per answer. */
#define LIMIT_INCREASE 0.25
#define LIMIT_MIN 1.0
#define LIMIT_MAX 1000.0
/* Answers to requests sent before the limit was lowered say nothing about the new limit; it is not
 * lowered again for this many typical answer times. */
#define LIMIT_SETTLE_RATIO 2.0
/* An instance with a full queue takes at least this many times the typical answer time. */
#define QUEUE_FULL_RATIO 1.5
/* How long an answer in normal time is taken as a sign that the instance's queue is not full. */
#define NORMAL_ANSWER_VALID_US (1000 * TS_US_PER_MS)
/* Time for which an instance is avoided after a failure; doubles with each consecutive failure, up
 * to the maximum. */
#define AVOID_FIRST_US (300 * TS_US_PER_MS)
#define AVOID_MAX_US (2 * TS_US_PER_S)
/* The same after a refused request or a rejected connection. */
#define AVOID_REFUSED_US (60 * TS_US_PER_MS)
/* Counts without an anomalous answer are discarded from the outbox after this time. */
#define OUTBOX_RETENTION_US TS_US_PER_S
/* A reset after a shorter idle time than this is not attributed to an idle timeout. */
#define IDLE_RESET_MIN_US (100 * TS_US_PER_MS)
/* Share of the idle time before a reset up to which connections are still reused. */
#define IDLE_RESET_SAFETY_FACTOR 0.7
/* Time since the last such reset after which the learned limit expires. */
#define IDLE_MAX_VALID_US (10 * TS_US_PER_S)

static void lower_limit(ts_instance_t *instance, double factor, ts_time_us_t now_us)
{
    if (!ts_mechanism_is_on(TS_MECHANISM_LIMITS))
        return;
    double current = instance->limit > 0 ? instance->limit : instance->in_flight;
    instance->limit = MAX(current * factor, LIMIT_MIN);
    instance->limit_lowered_us = now_us;
}

static void adapt_limit(ts_instance_t *instance, ts_time_us_t now_us, double span_us,
                        double typical_us)
{
    double settled_us = LIMIT_SETTLE_RATIO * typical_us;
    bool is_settled = (double)(now_us - instance->limit_lowered_us) > settled_us;
    if (span_us > OVERLOADED_RATIO * typical_us) {
        if (is_settled && instance->in_flight > 1) {
            lower_limit(instance, LIMIT_DECREASE, now_us);
        }
    } else if (span_us < RELAXED_RATIO * typical_us && instance->limit > 0 &&
               instance->in_flight + 1 >= instance->limit) {
        instance->limit = MIN(instance->limit + LIMIT_INCREASE, LIMIT_MAX);
    }
}

/* -- Evidence ---------------------------------------------------------------------------------- */

void ts_instance_add_to_outbox(ts_instance_t *instance, const ts_evidence_count_t *count,
                               ts_time_us_t now_us)
{
    bool is_stale = !instance->outbox.has_failure_or_slow &&
                    now_us - instance->outbox_since_us > OUTBOX_RETENTION_US;
    if (is_stale || ts_evidence_count_is_empty(&instance->outbox)) {
        instance->outbox = (ts_evidence_count_t){0};
        instance->outbox_since_us = now_us;
    }
    ts_evidence_count_merge(&instance->outbox, count);
    ts_evidence_sums_t known = ts_instance_evidence(instance, now_us);
    if (instance->outbox.has_failure_or_slow || ts_evidence_is_anomalous(&known))
        ts_registry_notify_evidence(instance);
}

static void note_evidence(ts_instance_t *instance, const ts_evidence_count_t *count,
                          ts_time_us_t now_us)
{
    ts_evidence_add(&instance->own_evidence, count, now_us);
    instance->own_evidence_us = now_us;
    if (count->has_failure_or_slow)
        instance->own_anomaly_us = now_us;
    if (ts_mechanism_is_on(TS_MECHANISM_MERGED))
        ts_instance_add_to_outbox(instance, count, now_us);
}

static void add_latency(ts_instance_t *instance, double ratio, ts_time_us_t now_us)
{
    ts_evidence_count_t count = {0};
    ts_evidence_count_add_latency(&count, ratio);
    note_evidence(instance, &count, now_us);
}

/* -- Requests and their answers ---------------------------------------------------------------- */

/* Nodes that send to an instance often detect its failure themselves before a report arrives. */
static bool should_report(const ts_instance_t *instance)
{
    return instance->sent_rate < REPORT_RATE_MAX;
}

void ts_instance_note_sent(ts_instance_t *instance, ts_time_us_t now_us)
{
    double age_us = (double)(now_us - instance->sent_rate_at_us);
    instance->sent_rate = instance->sent_rate * exp2(-age_us / RATE_HALF_LIFE_US) + RATE_STEP;
    instance->sent_rate_at_us = now_us;
    if (instance->in_flight == 0)
        instance->progress_us = now_us;
    if (instance->service->warmup_rate > 0)
        ts_cold_window_count(&instance->cold, now_us);
}

static void report_suspicion(const ts_instance_t *instance, bool is_suspected)
{
    if (!ts_mechanism_is_on(TS_MECHANISM_SIGHTINGS))
        return;
    ts_sighting_t sighting = is_suspected ? TS_SIGHTING_SUSPECTED : TS_SIGHTING_RECOVERED;
    if (should_report(instance))
        ts_registry_report_sighting(instance, sighting);
}

void ts_instance_note_answer(ts_instance_t *instance, ts_time_us_t now_us, double span_us,
                             double typical_us)
{
    instance->answered_us = now_us;
    instance->progress_us = now_us;
    instance->failures = 0;
    instance->avoid_until_us = 0;
    if (instance->suspected_us != 0) {
        ts_log(TS_EVENT_BACKEND_SUSPECT, "instance=%s state=answers after_ms=%lu", instance->id,
               (unsigned long)((now_us - instance->suspected_us) / TS_US_PER_MS));
        instance->suspected_us = 0;
        if (instance->is_suspicion_reported)
            report_suspicion(instance, false);
        instance->is_suspicion_reported = false;
    }
    if (typical_us > 0) {
        add_latency(instance, span_us / typical_us, now_us);
        if (span_us < QUEUE_FULL_RATIO * typical_us)
            instance->normal_answer_us = now_us;
        adapt_limit(instance, now_us, span_us, typical_us);
    }
}

bool ts_instance_note_unanswered(ts_instance_t *instance, ts_time_us_t now_us, double span_us,
                                 double typical_us)
{
    if (typical_us <= 0 || !ts_evidence_is_slow(span_us / typical_us))
        return false; // the answer may still arrive in normal time
    add_latency(instance, span_us / typical_us, now_us);
    return true;
}

void ts_instance_note_overdue(ts_instance_t *instance, ts_time_us_t sent_us, ts_time_us_t now_us)
{
    bool is_off = !ts_mechanism_is_on(TS_MECHANISM_SUSPICION);
    if (is_off || instance->suspected_us != 0 || instance->answered_us > sent_us) {
        return;
    }
    instance->suspected_us = now_us;
    instance->is_suspected_by_peer = false;
    instance->suspect_sent_us = now_us;
    instance->is_suspicion_reported = false;
    ts_count(TS_COUNTER_INSTANCES_SUSPECTED, 1);
    ts_log(TS_EVENT_BACKEND_SUSPECT, "instance=%s state=suspected overdue_ms=%lu", instance->id,
           (unsigned long)((now_us - sent_us) / TS_US_PER_MS));
}

void ts_instance_report_suspicion(ts_instance_t *instance)
{
    bool is_own = instance->suspected_us != 0 && !instance->is_suspected_by_peer;
    if (!is_own || instance->is_suspicion_reported)
        return;
    instance->is_suspicion_reported = true;
    report_suspicion(instance, true);
}

static void apply_peer_suspicion(ts_instance_t *instance, ts_time_us_t now_us)
{
    bool has_answered_recently =
        instance->answered_us != 0 && now_us - instance->answered_us < ANSWER_VALID_US;
    if (instance->suspected_us != 0 || has_answered_recently)
        return;
    instance->suspected_us = now_us;
    instance->is_suspected_by_peer = true;
    instance->suspect_sent_us = now_us;
}

void ts_instance_apply_sighting(ts_instance_t *instance, ts_sighting_t sighting,
                                ts_time_us_t now_us)
{
    switch (sighting) {
    case TS_SIGHTING_SUSPECTED:
        apply_peer_suspicion(instance, now_us);
        break;
    case TS_SIGHTING_RECOVERED:
        if (instance->is_suspected_by_peer)
            instance->suspected_us = 0;
        instance->is_suspected_by_peer = false;
        break;
    }
}

void ts_instance_note_result(ts_instance_t *instance, bool is_failure, ts_time_us_t now_us)
{
    ts_evidence_count_t count = {0};
    ts_evidence_count_add_result(&count, is_failure);
    note_evidence(instance, &count, now_us);
}

void ts_instance_note_failure(ts_instance_t *instance, ts_time_us_t now_us)
{
    ts_time_us_t pause_us = AVOID_FIRST_US << (instance->failures < 3 ? instance->failures : 3);
    instance->failures++;
    instance->avoid_until_us = now_us + (pause_us < AVOID_MAX_US ? pause_us : AVOID_MAX_US);
}

/*
 * Whether the instance refuses although its queue is not full: it reports free slots, or it has
 * recently answered in normal time, which it does not do with a full queue.
 */
static bool is_refusing_with_capacity(const ts_instance_t *instance, ts_time_us_t now_us)
{
    if (instance->reported_load.reported_us != 0)
        return ts_reported_load_is_idle(&instance->reported_load);
    return instance->normal_answer_us != 0 &&
           now_us - instance->normal_answer_us < NORMAL_ANSWER_VALID_US;
}

void ts_instance_note_refusal(ts_instance_t *instance, ts_time_us_t now_us)
{
    instance->answered_us = now_us;
    instance->progress_us = now_us;
    instance->avoid_until_us = now_us + AVOID_REFUSED_US;
    /* A refusal consumes retry budget like a failure, so it counts as one here. */
    if (is_refusing_with_capacity(instance, now_us))
        ts_instance_note_result(instance, true, now_us);
    if (!ts_reported_load_is_idle(&instance->reported_load))
        lower_limit(instance, LIMIT_DECREASE_REFUSED, now_us);
}

void ts_instance_note_idle_reset(ts_instance_t *instance, ts_time_us_t idle_us, ts_time_us_t now_us)
{
    if (idle_us < IDLE_RESET_MIN_US || !ts_mechanism_is_on(TS_MECHANISM_FORGOTTEN))
        return;
    ts_time_us_t idle_max_us = (ts_time_us_t)(IDLE_RESET_SAFETY_FACTOR * (double)idle_us);
    bool is_new = now_us >= instance->idle_max_until_us;
    if (is_new || idle_max_us < instance->idle_max_us)
        instance->idle_max_us = idle_max_us;
    instance->idle_max_until_us = now_us + IDLE_MAX_VALID_US;
    if (is_new)
        ts_log(TS_EVENT_BACKEND_STATE, "instance=%s service=%s zone=%s state=forgets rest_ms=%lu",
               instance->id, instance->service->name, instance->zone,
               (unsigned long)(idle_us / TS_US_PER_MS));
}

ts_time_us_t ts_instance_idle_max_us(const ts_instance_t *instance, ts_time_us_t now_us)
{
    return now_us < instance->idle_max_until_us ? instance->idle_max_us : UINT64_MAX;
}

void ts_instance_note_connection_rejected(ts_instance_t *instance, ts_time_us_t now_us)
{
    instance->avoid_until_us = now_us + AVOID_REFUSED_US;
    lower_limit(instance, LIMIT_DECREASE_REFUSED, now_us);
}
