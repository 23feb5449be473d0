/**
 * Requests that may crash backends: those that the quarantine suspects on admission, and those that
 * have had a broken send. Until a backend has completed such a request, the request has only one
 * send in flight at a time (an isolated send), so that a crash can be attributed to that send. A
 * trial is the first isolated send of a suspect request; until its outcome is known, all nodes
 * defer identical requests. A quarantined request is not sent at all. Other requests are not slowed
 * down.
 */
#include "request.h"
#include "tealspar/counters.h"
#include "tealspar/mechanism.h"

static ts_quarantine_state_t find_quarantine_state(const ts_request_t *request, ts_time_us_t now_us)
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

// -- Admission

ts_admission_result_t ts_request_check_quarantine(ts_request_t *request, ts_time_us_t now_us)
{
    request->is_suspect = false;
    switch (find_quarantine_state(request, now_us)) {
    case TS_QUARANTINE_QUARANTINED:
        ts_count(TS_COUNTER_QUARANTINE_REFUSED, 1);
        log_refused(request);
        return TS_ADMISSION_QUARANTINED;
    case TS_QUARANTINE_TRIAL:
        // it waits as long as the trial's outcome is of use
        return ts_request_can_finish(request, now_us) ? TS_ADMISSION_DEFERRED
                                                      : TS_ADMISSION_TRIAL_PENDING;
    case TS_QUARANTINE_SUSPECT:
        request->is_suspect = true;
        break;
    case TS_QUARANTINE_CLEAR:
        break;
    }
    return TS_ADMISSION_ADMITTED;
}

/* Selects an open part that can be sent now: preferably the one for the service whose backend last
 * crashed while running an identical request, else a random one. NULL if there is none. */
static ts_request_part_t *choose_trial_part(ts_request_t *request, ts_time_us_t now_us)
{
    const ts_quarantine_t *quarantine = request->gateway->quarantine;
    const char *crashed_service =
        ts_quarantine_service(quarantine, ts_outgoing_digest(request->outgoing));
    unsigned begin = ts_gateway_random(request->gateway) % request->parts_count;
    ts_request_part_t *chosen = NULL;
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_request_part_t *part = &request->parts[(begin + i) % request->parts_count];
        if (part->state != TS_PART_OPEN || ts_part_is_blocked(part, now_us))
            continue;
        if (g_strcmp0(part->service->name, crashed_service) == 0)
            return part;
        if (chosen == NULL)
            chosen = part;
    }
    return chosen;
}

void ts_request_begin_isolated(ts_request_t *request, ts_time_us_t now_us)
{
    ts_request_part_t *first = choose_trial_part(request, now_us);
    if (first != NULL) {
        request->is_trial = true;
        ts_quarantine_begin_trial(request->gateway->quarantine,
                                  ts_outgoing_digest(request->outgoing), now_us);
        ts_part_send_first(first);
    }
    for (unsigned i = 0; i < request->parts_count; i++) {
        if (&request->parts[i] != first && request->parts[i].state == TS_PART_OPEN)
            ts_part_recheck_soon(&request->parts[i], now_us);
    }
}

// -- Sending

static bool sends_one_at_a_time(const ts_request_t *request)
{
    if (!ts_mechanism_is_on(TS_MECHANISM_QUARANTINE))
        return false;
    return !request->outgoing->has_completed && (request->is_suspect || request->broken_sends > 0);
}

/*
 * Sends in flight are awaited first, also for a quarantined request: if a backend completes one,
 * the request is cleared. After a broken isolated send, the request waits until it is known whether
 * the backend is still alive; a backend that does not accept connections for a while counts as
 * crashed.
 */
ts_send_permission_t ts_request_check_send(const ts_request_t *request, ts_time_us_t now_us)
{
    if (request->outgoing->has_completed)
        return TS_SEND_ALLOWED;
    bool is_quarantined = find_quarantine_state(request, now_us) == TS_QUARANTINE_QUARANTINED;
    if (!is_quarantined && !sends_one_at_a_time(request))
        return TS_SEND_ALLOWED;
    if (request->outgoing->sends_in_flight > 0)
        return TS_SEND_DEFERRED;
    if (is_quarantined)
        return TS_SEND_FORBIDDEN;
    if (request->isolated_send_instance == NULL)
        return TS_SEND_ALLOWED;
    switch (ts_instance_liveness(request->isolated_send_instance, request->isolated_send_broken_us,
                                 now_us)) {
    case TS_LIVENESS_UNKNOWN:
        return TS_SEND_DEFERRED;
    case TS_LIVENESS_ENDED:
        return TS_SEND_FORBIDDEN;
    case TS_LIVENESS_ALIVE:
        break;
    }
    return TS_SEND_ALLOWED;
}

bool ts_request_mark_send_isolated(ts_request_t *request)
{
    request->outgoing->is_isolated = sends_one_at_a_time(request);
    return request->outgoing->is_isolated;
}

void ts_request_record_broken_send(ts_request_t *request, ts_instance_t *instance,
                                   bool was_isolated)
{
    request->broken_sends++;
    if (!was_isolated)
        return;
    request->isolated_send_instance = instance; // the part's `tried` list holds a reference
    request->isolated_send_broken_us = ts_clock_now_us();
}

void ts_request_record_success(ts_request_t *request, const ts_service_t *service)
{
    ts_quarantine_t *quarantine = request->gateway->quarantine;
    request->outgoing->has_completed = true;
    if (!ts_quarantine_is_empty(quarantine))
        ts_quarantine_clear(quarantine, ts_outgoing_digest(request->outgoing), service->name,
                            ts_clock_now_us());
}

void ts_request_end_trial(const ts_request_t *request)
{
    if (request->is_trial && request->isolated_send_instance == NULL)
        ts_quarantine_end_trial(request->gateway->quarantine, ts_outgoing_digest(request->outgoing),
                                ts_clock_now_us());
}
