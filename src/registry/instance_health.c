/** What a node learns of an instance from the requests it sends there. */
#include <math.h>

#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/mechanism.h"
#include "tealspar/registry.h"

/* A node that sends an instance more requests a second than this tells nobody of it. */
#define TELL_RATE_MAX 40.0
#define RATE_HALF_LIFE_US ((double)TS_US_PER_S)
#define RATE_STEP 0.693 /* ln 2 a half-life: a steady rate settles at itself */
/* What a peer says weighs less than an answer that this node had just now. */
#define HEARD_AFTER_US (15 * TS_US_PER_MS)
/*
 * The limit of requests in flight falls when answers take this much longer than usual, or when the
 * instance refuses work, and rises while answers come in time and the limit is used.
 */
#define OVERLOADED_RATIO 2.5
#define RELAXED_RATIO 1.8
#define LIMIT_FALL 0.85
#define LIMIT_FALL_REFUSED 0.7
#define LIMIT_RISE 0.25
#define LIMIT_LEAST 1.0
#define LIMIT_MOST 1000.0
/* Answers to requests that were sent before the limit fell say nothing about the new one. */
#define LIMIT_SETTLES_RATIO 2.0
/* Answers of an instance whose queue is full take this many times as long as usual, and more. */
#define FULL_RATIO 1.5
/* For so long an answer in usual time shows that an instance is not full. */
#define USUAL_VALID_US (1000 * TS_US_PER_MS)
#define AVOID_FIRST_US (300 * TS_US_PER_MS)
#define AVOID_MAX_US (2 * TS_US_PER_S)
#define AVOID_REFUSED_US (60 * TS_US_PER_MS)
/* What lies in an outbox for longer without a sign is forgotten. */
#define OUTBOX_KEEPS_US TS_US_PER_S
/* A reset after less rest than this says nothing about how long connections are remembered. */
#define FORGOTTEN_REST_LEAST_US (100 * TS_US_PER_MS)
#define FORGOTTEN_REST_SHARE 0.7
#define FORGOTTEN_BELIEVED_US (10 * TS_US_PER_S)

static void lower_limit(ts_instance_t *instance, double factor, ts_time_us_t now_us)
{
    if (!ts_mechanism_is_on(TS_MECHANISM_LIMITS))
        return;
    double present = instance->limit > 0 ? instance->limit : instance->in_flight;
    instance->limit = MAX(present * factor, LIMIT_LEAST);
    instance->limited_us = now_us;
}

static void adapt_limit(ts_instance_t *instance, ts_time_us_t now_us, double span_us,
                        double typical_us)
{
    double settled_us = LIMIT_SETTLES_RATIO * typical_us;
    bool is_settled = (double)(now_us - instance->limited_us) > settled_us;
    if (span_us > OVERLOADED_RATIO * typical_us) {
        if (is_settled && instance->in_flight > 1) {
            lower_limit(instance, LIMIT_FALL, now_us);
        }
    } else if (span_us < RELAXED_RATIO * typical_us && instance->limit > 0 &&
               instance->in_flight + 1 >= instance->limit) {
        instance->limit = MIN(instance->limit + LIMIT_RISE, LIMIT_MOST);
    }
}

/* -- Evidence ---------------------------------------------------------------------------------- */

void ts_instance_add_to_outbox(ts_instance_t *instance, const ts_evidence_count_t *count,
                               ts_time_us_t now_us)
{
    bool is_stale = !instance->outbox.has_failure_or_slow &&
                    now_us - instance->outbox_since_us > OUTBOX_KEEPS_US;
    if (is_stale || ts_evidence_count_is_empty(&instance->outbox)) {
        instance->outbox = (ts_evidence_count_t){0};
        instance->outbox_since_us = now_us;
    }
    ts_evidence_count_merge(&instance->outbox, count);
    ts_evidence_sums_t known = ts_instance_evidence(instance, now_us);
    if (instance->outbox.has_failure_or_slow || ts_evidence_is_anomalous(&known))
        ts_registry_wake(instance);
}

static void note_evidence(ts_instance_t *instance, const ts_evidence_count_t *count,
                          ts_time_us_t now_us)
{
    ts_evidence_add(&instance->own, count, now_us);
    instance->own_us = now_us;
    if (count->has_failure_or_slow)
        instance->own_sign_us = now_us;
    if (ts_mechanism_is_on(TS_MECHANISM_MERGED))
        ts_instance_add_to_outbox(instance, count, now_us);
}

static void note_time(ts_instance_t *instance, double ratio, ts_time_us_t now_us)
{
    ts_evidence_count_t count = {0};
    ts_evidence_count_add_latency(&count, ratio);
    note_evidence(instance, &count, now_us);
}

/* -- Requests and their answers ---------------------------------------------------------------- */

/* Nodes that ask an instance often learn of it sooner by themselves than from others. */
static bool is_worth_telling(const ts_instance_t *instance)
{
    return instance->sent_rate < TELL_RATE_MAX;
}

void ts_instance_note_sent(ts_instance_t *instance, ts_time_us_t now_us)
{
    double age_us = (double)(now_us - instance->sent_rate_at_us);
    instance->sent_rate = instance->sent_rate * exp2(-age_us / RATE_HALF_LIFE_US) + RATE_STEP;
    instance->sent_rate_at_us = now_us;
    if (instance->service->warmup_rate > 0)
        ts_cold_window_count(&instance->cold, now_us);
}

static void tell_suspected(const ts_instance_t *instance, bool is_suspected)
{
    if (!ts_mechanism_is_on(TS_MECHANISM_SIGHTINGS))
        return;
    ts_sighting_t sighting = is_suspected ? TS_SIGHTING_SUSPECTED : TS_SIGHTING_ANSWERS;
    if (is_worth_telling(instance))
        ts_registry_tell(instance, sighting);
}

void ts_instance_note_answer(ts_instance_t *instance, ts_time_us_t now_us, double span_us,
                             double typical_us)
{
    instance->answered_us = now_us;
    instance->failures = 0;
    instance->avoid_until_us = 0;
    if (instance->suspected_us != 0) {
        ts_log(TS_EVENT_BACKEND_SUSPECT, "instance=%s state=answers after_ms=%lu", instance->id,
               (unsigned long)((now_us - instance->suspected_us) / TS_US_PER_MS));
        instance->suspected_us = 0;
        if (instance->is_suspicion_told)
            tell_suspected(instance, false);
        instance->is_suspicion_told = false;
    }
    if (typical_us > 0) {
        note_time(instance, span_us / typical_us, now_us);
        if (span_us < FULL_RATIO * typical_us)
            instance->usual_us = now_us;
        adapt_limit(instance, now_us, span_us, typical_us);
    }
}

bool ts_instance_note_unanswered(ts_instance_t *instance, ts_time_us_t now_us, double span_us,
                                 double typical_us)
{
    if (typical_us <= 0 || !ts_evidence_is_slow(span_us / typical_us))
        return false; // it may still come in time
    note_time(instance, span_us / typical_us, now_us);
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
    instance->tried_us = now_us;
    instance->is_suspicion_told = false;
    ts_count(TS_COUNTER_INSTANCES_SUSPECTED, 1);
    ts_log(TS_EVENT_BACKEND_SUSPECT, "instance=%s state=suspected overdue_ms=%lu", instance->id,
           (unsigned long)((now_us - sent_us) / TS_US_PER_MS));
}

void ts_instance_tell_overdue(ts_instance_t *instance)
{
    bool is_own = instance->suspected_us != 0 && !instance->is_suspected_by_peer;
    if (!is_own || instance->is_suspicion_told)
        return;
    instance->is_suspicion_told = true;
    tell_suspected(instance, true);
}

static void hear_suspected(ts_instance_t *instance, ts_time_us_t now_us)
{
    bool answered_lately =
        instance->answered_us != 0 && now_us - instance->answered_us < HEARD_AFTER_US;
    if (instance->suspected_us != 0 || answered_lately)
        return;
    instance->suspected_us = now_us;
    instance->is_suspected_by_peer = true;
    instance->tried_us = now_us;
}

void ts_instance_hear(ts_instance_t *instance, ts_sighting_t sighting, ts_time_us_t now_us)
{
    switch (sighting) {
    case TS_SIGHTING_SUSPECTED:
        hear_suspected(instance, now_us);
        break;
    case TS_SIGHTING_ANSWERS:
        if (instance->is_suspected_by_peer)
            instance->suspected_us = 0;
        instance->is_suspected_by_peer = false;
        break;
    }
}

void ts_instance_note_verdict(ts_instance_t *instance, bool is_failure, ts_time_us_t now_us)
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
 * Whether the instance refuses although it is not full: it tells so, or it answered as fast as
 * usual a moment ago, which a full one does not.
 */
static bool is_refusing_idle(const ts_instance_t *instance, ts_time_us_t now_us)
{
    if (instance->told.reported_us != 0)
        return ts_reported_load_is_idle(&instance->told);
    return instance->usual_us != 0 && now_us - instance->usual_us < USUAL_VALID_US;
}

void ts_instance_note_refusal(ts_instance_t *instance, ts_time_us_t now_us)
{
    instance->answered_us = now_us;
    instance->avoid_until_us = now_us + AVOID_REFUSED_US;
    /* A refused request is sent once more from the budget, as a failed one is. */
    if (is_refusing_idle(instance, now_us))
        ts_instance_note_verdict(instance, true, now_us);
    if (!ts_reported_load_is_idle(&instance->told))
        lower_limit(instance, LIMIT_FALL_REFUSED, now_us);
}

void ts_instance_note_forgotten(ts_instance_t *instance, ts_time_us_t rest_us, ts_time_us_t now_us)
{
    if (rest_us < FORGOTTEN_REST_LEAST_US || !ts_mechanism_is_on(TS_MECHANISM_FORGOTTEN))
        return;
    ts_time_us_t most_us = (ts_time_us_t)(FORGOTTEN_REST_SHARE * (double)rest_us);
    bool is_new = now_us >= instance->rest_max_until_us;
    if (is_new || most_us < instance->rest_max_us)
        instance->rest_max_us = most_us;
    instance->rest_max_until_us = now_us + FORGOTTEN_BELIEVED_US;
    if (is_new)
        ts_log(TS_EVENT_BACKEND_STATE, "instance=%s service=%s zone=%s state=forgets rest_ms=%lu",
               instance->id, instance->service->name, instance->zone,
               (unsigned long)(rest_us / TS_US_PER_MS));
}

ts_time_us_t ts_instance_rest_max_us(const ts_instance_t *instance, ts_time_us_t now_us)
{
    return now_us < instance->rest_max_until_us ? instance->rest_max_us : UINT64_MAX;
}

void ts_instance_note_turned_away(ts_instance_t *instance, ts_time_us_t now_us)
{
    instance->avoid_until_us = now_us + AVOID_REFUSED_US;
    lower_limit(instance, LIMIT_FALL_REFUSED, now_us);
}
