/** What a node learns of an instance from the requests it sends there. */
#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/registry.h"

/* A span this many times the typical one is a sign of slowness, whatever its length: a pause of a
 * few hundred milliseconds must not count as more than one slow answer. */
#define SLOW_RATIO 2.0
#define SLOWNESS_RISE 1.25
#define SLOWNESS_STEP 0.1
#define SLOWNESS_MAX 12.0
/* What a peer says weighs less than an answer that this node had just now. */
#define HEARD_AFTER_US (15 * TS_US_PER_MS)
#define AVOID_FIRST_US (300 * TS_US_PER_MS)
#define AVOID_MAX_US (2 * TS_US_PER_S)
#define AVOID_REFUSED_US (60 * TS_US_PER_MS)

static void note_span(ts_instance_t *instance, double ratio) {
    if (ratio < SLOW_RATIO) {
        instance->slowness += SLOWNESS_STEP * (ratio - instance->slowness);
    } else if (instance->slowness < SLOWNESS_MAX) {
        instance->slowness *= SLOWNESS_RISE;
    }
}

void ts_instance_note_answer(ts_instance_t *instance, ts_time_us_t now_us, double span_us,
                             double typical_us) {
    instance->answered_us = now_us;
    instance->failures = 0;
    instance->avoid_until_us = 0;
    if (instance->suspected_us != 0) {
        ts_log(TS_EVENT_BACKEND_SUSPECT, "instance=%s state=answers after_ms=%lu", instance->id,
               (unsigned long)((now_us - instance->suspected_us) / TS_US_PER_MS));
        instance->suspected_us = 0;
        if (!instance->is_suspected_by_peer) {
            ts_registry_tell_suspected(instance, false);
        }
    }
    if (typical_us > 0) {
        note_span(instance, span_us / typical_us);
        instance->slowness_at_us = now_us;
    }
}

void ts_instance_note_overdue(ts_instance_t *instance, ts_time_us_t sent_us, ts_time_us_t now_us) {
    if (instance->suspected_us != 0 || instance->answered_us > sent_us) {
        return;
    }
    instance->suspected_us = now_us;
    instance->is_suspected_by_peer = false;
    instance->tried_us = now_us;
    ts_registry_tell_suspected(instance, true);
    ts_count(TS_COUNTER_INSTANCES_SUSPECTED, 1);
    ts_log(TS_EVENT_BACKEND_SUSPECT, "instance=%s state=suspected overdue_ms=%lu", instance->id,
           (unsigned long)((now_us - sent_us) / TS_US_PER_MS));
}

void ts_instance_hear_suspicion(ts_instance_t *instance, bool suspected, ts_time_us_t now_us) {
    bool answered_lately =
        instance->answered_us != 0 && now_us - instance->answered_us < HEARD_AFTER_US;
    if (suspected && instance->suspected_us == 0 && !answered_lately) {
        instance->suspected_us = now_us;
        instance->is_suspected_by_peer = true;
        instance->tried_us = now_us;
    } else if (!suspected && instance->is_suspected_by_peer) {
        instance->suspected_us = 0;
        instance->is_suspected_by_peer = false;
    }
}

void ts_instance_note_failure(ts_instance_t *instance, ts_time_us_t now_us) {
    ts_time_us_t pause_us = AVOID_FIRST_US << (instance->failures < 3 ? instance->failures : 3);
    instance->failures++;
    instance->avoid_until_us = now_us + (pause_us < AVOID_MAX_US ? pause_us : AVOID_MAX_US);
}

void ts_instance_note_refusal(ts_instance_t *instance, ts_time_us_t now_us) {
    instance->answered_us = now_us;
    instance->avoid_until_us = now_us + AVOID_REFUSED_US;
}
