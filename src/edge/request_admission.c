/** Whether a request can begin now, waits for its beginning, or is refused. */
#include "request.h"
#include "tealspar/mechanism.h"

/*
 * A request that cannot be begun waits for at most this part of its aim, and is then refused: early
 * enough for the caller to come back in time.
 */
#define ADMISSION_DIVISOR 5
/*
 * A caller that came back after a refusal seldom tries again: its request waits for up to this part
 * of the time it has left. Less patience than is usual for the route tells it.
 */
#define ADMISSION_RETURNED_DIVISOR 2
/*
 * The more of its kind is refused the less it may wait, and not at all from this share on: when
 * more comes than can be done for long, requests that are late already would take the place of
 * others.
 */
#define RETURNED_REFUSED_MAX 0.5
/* Of the shares of refused requests: how fast they follow, and by how much one may lead. */
#define REFUSED_STEP 0.03
#define REFUSED_MARGIN 0.04

double *ts_request_refused_shares(const ts_request_t *request)
{
    ts_service_t *first = request->parts[0].service;
    return request->parts_count > 1 ? first->gather_refused : first->refused;
}

ts_time_us_t ts_request_admission_span_us(const ts_request_t *request)
{
    ts_time_us_t span_us = (request->stop_us - request->arrived_us) / ADMISSION_DIVISOR;
    if (!request->has_returned || !ts_mechanism_is_on(TS_MECHANISM_RETURNED))
        return span_us;
    double refused = ts_request_refused_shares(request)[request->rank];
    double share = MAX(1 - refused / RETURNED_REFUSED_MAX, 0) / ADMISSION_RETURNED_DIVISOR;
    ts_time_us_t left_us = request->deadline_us - request->arrived_us;
    return MAX((ts_time_us_t)(share * (double)left_us), span_us);
}

/* Whether enough parts could be sent at once for the request to succeed. */
static bool can_begin(const ts_request_t *request, ts_time_us_t now_us)
{
    unsigned may_miss = request->parts_count - ts_request_parts_needed(request);
    unsigned blocked = 0;
    for (unsigned i = 0; i < request->parts_count && blocked <= may_miss; i++) {
        const ts_request_part_t *part = &request->parts[i];
        blocked += part->state == TS_PART_LOST || ts_part_is_blocked(part, now_us);
    }
    return blocked <= may_miss;
}

static void note_admission(const ts_request_t *request, bool was_refused)
{
    double *share = &ts_request_refused_shares(request)[request->rank];
    *share += REFUSED_STEP * ((was_refused ? 1.0 : 0.0) - *share);
}

/* Whether more urgent requests for the same service are refused more often than such as this. */
static bool is_behind_urgent(const ts_request_t *request)
{
    const double *refused = ts_request_refused_shares(request);
    unsigned own = request->rank;
    if (!ts_mechanism_is_on(TS_MECHANISM_PRIORITY))
        return false;
    for (unsigned rank = 0; rank < own; rank++) {
        if (refused[rank] > refused[own] + REFUSED_MARGIN) {
            return true;
        }
    }
    return false;
}

static void note_wanted(const ts_request_t *request, ts_time_us_t now_us)
{
    for (unsigned i = 0; i < request->parts_count; i++)
        ts_part_note_wanted(&request->parts[i], now_us);
}

static void log_blocked(const ts_request_t *request, ts_time_us_t now_us)
{
    for (unsigned i = 0; i < request->parts_count; i++)
        ts_part_log_blocked(&request->parts[i], now_us);
}

/*
 * Parts that no permitted instance can answer are left out before anything is sent. Returns whether
 * the request can still succeed; waiting would not help it if not.
 */
static bool leave_out_excluded(ts_request_t *request, ts_time_us_t now_us)
{
    unsigned may_miss = request->parts_count - ts_request_parts_needed(request);
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_request_part_t *part = &request->parts[i];
        if (part->state == TS_PART_OPEN && ts_part_is_excluded(part, now_us))
            ts_part_leave_out(part, now_us);
    }
    return request->parts_lost <= may_miss;
}

/* Whether its tenant may send it: TS_ADMISSION_BEGUN if so. */
static ts_admission_t check_quota(ts_request_t *request, ts_time_us_t now_us)
{
    switch (ts_request_take_quota(request, now_us)) {
    case TS_RATE_TAKEN:
        return TS_ADMISSION_BEGUN;
    case TS_RATE_EXCEEDED:
        return TS_ADMISSION_OVER_QUOTA;
    case TS_RATE_UNAVAILABLE:
        return TS_ADMISSION_UNCONFIRMED;
    case TS_RATE_PENDING:
        break;
    }
    return now_us < request->token_by_us ? TS_ADMISSION_WAITS : TS_ADMISSION_UNCONFIRMED;
}

static void send_all(ts_request_t *request)
{
    for (unsigned i = 0; i < request->parts_count; i++) {
        if (request->parts[i].state == TS_PART_OPEN)
            ts_part_send_first(&request->parts[i]);
    }
}

ts_admission_t ts_request_admit(ts_request_t *request, ts_time_us_t now_us)
{
    if (now_us >= request->deadline_us)
        return TS_ADMISSION_LATE;
    if (ts_request_is_revoked(request))
        return TS_ADMISSION_REVOKED;
    if (!leave_out_excluded(request, now_us))
        return TS_ADMISSION_EXCLUDED;
    ts_admission_t quarantine = ts_request_check_quarantine(request, now_us);
    if (quarantine != TS_ADMISSION_BEGUN)
        return quarantine;
    ts_admission_t quota = check_quota(request, now_us);
    if (quota != TS_ADMISSION_BEGUN)
        return quota;
    if (!is_behind_urgent(request) && can_begin(request, now_us)) {
        request->is_admitted = true;
        note_admission(request, false);
        if (request->is_suspect)
            ts_request_begin_lone(request, now_us);
        else
            send_all(request);
        return TS_ADMISSION_BEGUN;
    }
    note_wanted(request, now_us);
    if (now_us < request->admit_by_us)
        return TS_ADMISSION_WAITS;
    note_admission(request, true);
    log_blocked(request, now_us);
    return TS_ADMISSION_OVERLOAD;
}
