/**
 * Care with requests under which back ends may end: one send at a time, until one has run whole,
 * and none at all once the quarantine holds the request. Others pay nothing for it.
 */
#include "request.h"
#include "tealspar/counters.h"
#include "tealspar/mechanism.h"

/* A request whose like is on trial waits for this part of its aim, and is then told to come back.
 */
#define TRIAL_WAIT_DIVISOR 2

static ts_quarantine_state_t find_state(const ts_request_t *request, ts_time_us_t now_us)
{
    const ts_quarantine_t *quarantine = request->gateway->quarantine;
    if (ts_quarantine_is_empty(quarantine) || !ts_mechanism_is_on(TS_MECHANISM_QUARANTINE))
        return TS_QUARANTINE_CLEAR;
    return ts_quarantine_find(quarantine, ts_outgoing_digest(request->outgoing), now_us);
}

static void log_refused(const ts_request_t *request)
{
    char digest[TS_REQUEST_DIGEST_TEXT];
    if (!ts_log_is_wanted(TS_EVENT_QUARANTINE_REFUSED))
        return;
    ts_request_digest_print(ts_outgoing_digest(request->outgoing), digest);
    ts_log(TS_EVENT_QUARANTINE_REFUSED, "request=%s digest=%s route=%s",
           request->outgoing->request_id, digest, request->route->name);
}

// -- Beginning

ts_admission_t ts_request_check_quarantine(ts_request_t *request, ts_time_us_t now_us)
{
    ts_time_us_t aim_us = request->stop_us - request->arrived_us;
    request->is_suspect = false;
    switch (find_state(request, now_us)) {
    case TS_QUARANTINE_HELD:
        ts_count(TS_COUNTER_QUARANTINE_REFUSED, 1);
        log_refused(request);
        return TS_ADMISSION_QUARANTINED;
    case TS_QUARANTINE_TRIAL:
        return now_us - request->arrived_us < aim_us / TRIAL_WAIT_DIVISOR ? TS_ADMISSION_WAITS
                                                                          : TS_ADMISSION_ON_TRIAL;
    case TS_QUARANTINE_SUSPECT:
        request->is_suspect = true;
        break;
    case TS_QUARANTINE_CLEAR:
        break;
    }
    return TS_ADMISSION_BEGUN;
}

/* The part of the service where a back end ended under it, or else one drawn at random. */
static ts_request_part_t *choose_lone_part(ts_request_t *request, ts_time_us_t now_us)
{
    const ts_quarantine_t *quarantine = request->gateway->quarantine;
    const char *blamed = ts_quarantine_service(quarantine, ts_outgoing_digest(request->outgoing));
    unsigned begin = ts_gateway_random(request->gateway) % request->parts_count;
    ts_request_part_t *chosen = NULL;
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_request_part_t *part = &request->parts[(begin + i) % request->parts_count];
        if (part->state != TS_PART_OPEN || ts_part_is_blocked(part, now_us))
            continue;
        if (g_strcmp0(part->service->name, blamed) == 0)
            return part;
        if (chosen == NULL)
            chosen = part;
    }
    return chosen;
}

void ts_request_begin_lone(ts_request_t *request, ts_time_us_t now_us)
{
    ts_request_part_t *first = choose_lone_part(request, now_us);
    if (first != NULL) {
        request->is_trial = true;
        ts_quarantine_begin_trial(request->gateway->quarantine,
                                  ts_outgoing_digest(request->outgoing), now_us);
        ts_part_send_first(first);
    }
    for (unsigned i = 0; i < request->parts_count; i++) {
        if (&request->parts[i] != first && request->parts[i].state == TS_PART_OPEN)
            ts_part_look_soon(&request->parts[i], now_us);
    }
}

// -- Under way

static bool is_cautious(const ts_request_t *request)
{
    if (!ts_mechanism_is_on(TS_MECHANISM_QUARANTINE))
        return false;
    return !request->outgoing->has_run_whole && (request->is_suspect || request->broken > 0);
}

ts_caution_t ts_request_caution(const ts_request_t *request, ts_time_us_t now_us)
{
    if (request->outgoing->has_run_whole)
        return TS_CAUTION_NONE;
    bool is_held = find_state(request, now_us) == TS_QUARANTINE_HELD;
    if (!is_held && !is_cautious(request))
        return TS_CAUTION_NONE;
    if (request->outgoing->sends_out > 0)
        return TS_CAUTION_WAIT;
    if (is_held)
        return TS_CAUTION_STOP;
    if (request->lone_broken == NULL)
        return TS_CAUTION_NONE;
    switch (ts_instance_liveness(request->lone_broken, request->lone_broken_us, now_us)) {
    case TS_LIVENESS_UNKNOWN:
        return TS_CAUTION_WAIT;
    case TS_LIVENESS_ENDED:
        return TS_CAUTION_STOP;
    case TS_LIVENESS_ALIVE:
        break;
    }
    return TS_CAUTION_NONE;
}

bool ts_request_sends_alone(ts_request_t *request)
{
    request->outgoing->is_alone = is_cautious(request);
    return request->outgoing->is_alone;
}

void ts_request_note_broken(ts_request_t *request, ts_instance_t *instance, bool was_lone)
{
    request->broken++;
    if (!was_lone)
        return;
    request->lone_broken = instance; // the part that tried it keeps a reference
    request->lone_broken_us = ts_clock_now_us();
}

void ts_request_note_whole(ts_request_t *request, const ts_service_t *service)
{
    ts_quarantine_t *quarantine = request->gateway->quarantine;
    request->outgoing->has_run_whole = true;
    if (!ts_quarantine_is_empty(quarantine))
        ts_quarantine_clear(quarantine, ts_outgoing_digest(request->outgoing), service->name,
                            ts_clock_now_us());
}

void ts_request_end_trial(const ts_request_t *request)
{
    if (request->is_trial && request->lone_broken == NULL)
        ts_quarantine_end_trial(request->gateway->quarantine, ts_outgoing_digest(request->outgoing),
                                ts_clock_now_us());
}
