/** Admission control: whether a request is sent now, waits, or is refused. */
#include "request.h"
#include "tealspar/mechanism.h"

/*
 * A request waits for admission for at most 1/ADMISSION_WAIT_DIVISOR of the time to its soft
 * deadline. It is then refused with a retry-after time, early enough for the caller to retry in
 * time.
 */
#define ADMISSION_WAIT_DIVISOR 5
/*
 * A caller that retries after a refusal seldom retries again, so the retry waits for up to
 * 1/ADMISSION_WAIT_RETRY_DIVISOR of the time to its deadline. A retry is recognized by a timeout
 * that is shorter than usual for the route.
 */
#define ADMISSION_WAIT_RETRY_DIVISOR 2
/*
 * The additional wait of a retry decreases with the share of refused requests of the same kind and
 * rank, to none at this share. Under lasting overload, requests that are already late would
 * otherwise displace others.
 */
#define RETRY_REFUSED_SHARE_MAX 0.5
/* Weight of a new sample in the moving average of the share of refused requests. */
#define REFUSED_SHARE_WEIGHT 0.03
/* A request waits while the share of refused requests of a more urgent rank exceeds that of its own
 * rank by more than this. */
#define REFUSED_SHARE_MARGIN 0.04

double *ts_request_refused_shares(const ts_request_t *request)
{
    ts_service_t *first = request->parts[0].service;
    return request->parts_count > 1 ? first->gather_refused : first->refused;
}

ts_time_us_t ts_request_admission_timeout_us(const ts_request_t *request)
{
    ts_time_us_t span_us =
        (request->soft_deadline_us - request->arrived_us) / ADMISSION_WAIT_DIVISOR;
    if (!request->is_retry || !ts_mechanism_is_on(TS_MECHANISM_RETURNED))
        return span_us;
    double refused = ts_request_refused_shares(request)[request->rank];
    double share = MAX(1 - refused / RETRY_REFUSED_SHARE_MAX, 0) / ADMISSION_WAIT_RETRY_DIVISOR;
    ts_time_us_t left_us = request->deadline_us - request->arrived_us;
    return MAX((ts_time_us_t)(share * (double)left_us), span_us);
}

/* Whether enough parts can be sent immediately for the request to succeed. */
static bool can_begin(const ts_request_t *request, ts_time_us_t now_us)
{
    unsigned missing_max = request->parts_count - ts_request_parts_needed(request);
    unsigned blocked = 0;
    for (unsigned i = 0; i < request->parts_count && blocked <= missing_max; i++) {
        const ts_request_part_t *part = &request->parts[i];
        blocked += part->state == TS_PART_LOST || ts_part_is_blocked(part, now_us);
    }
    return blocked <= missing_max;
}

static void record_admission(const ts_request_t *request, bool was_refused)
{
    double *share = &ts_request_refused_shares(request)[request->rank];
    *share += REFUSED_SHARE_WEIGHT * ((was_refused ? 1.0 : 0.0) - *share);
}

/* Whether requests of this kind and of a more urgent rank are refused more often than those of this
 * rank, by more than REFUSED_SHARE_MARGIN. */
static bool yields_to_urgent(const ts_request_t *request)
{
    const double *refused = ts_request_refused_shares(request);
    unsigned own = request->rank;
    if (!ts_mechanism_is_on(TS_MECHANISM_PRIORITY))
        return false;
    for (unsigned rank = 0; rank < own; rank++) {
        if (refused[rank] > refused[own] + REFUSED_SHARE_MARGIN) {
            return true;
        }
    }
    return false;
}

static void record_blocked(const ts_request_t *request, ts_time_us_t now_us)
{
    for (unsigned i = 0; i < request->parts_count; i++)
        ts_part_record_blocked(&request->parts[i], now_us);
}

static void log_blocked(const ts_request_t *request, ts_time_us_t now_us)
{
    for (unsigned i = 0; i < request->parts_count; i++)
        ts_part_log_blocked(&request->parts[i], now_us);
}

/*
 * Gives up parts without a permitted instance before anything is sent. Returns whether the request
 * can still succeed; if not, waiting would not help.
 */
static bool exclude_parts(ts_request_t *request, ts_time_us_t now_us)
{
    unsigned missing_max = request->parts_count - ts_request_parts_needed(request);
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_request_part_t *part = &request->parts[i];
        if (part->state == TS_PART_OPEN && ts_part_is_excluded(part, now_us))
            ts_part_exclude(part, now_us);
    }
    return request->parts_lost <= missing_max;
}

/* TS_ADMISSION_ADMITTED if the tenant's quota allows the request. */
static ts_admission_result_t check_quota(ts_request_t *request, ts_time_us_t now_us)
{
    switch (ts_request_acquire_quota(request, now_us)) {
    case TS_RATE_TAKEN:
        return TS_ADMISSION_ADMITTED;
    case TS_RATE_EXCEEDED:
        return TS_ADMISSION_OVER_QUOTA;
    case TS_RATE_UNAVAILABLE:
        return TS_ADMISSION_UNCONFIRMED;
    case TS_RATE_PENDING:
        break;
    }
    return now_us < request->quota_deadline_us ? TS_ADMISSION_DEFERRED : TS_ADMISSION_UNCONFIRMED;
}

static void send_parts(ts_request_t *request)
{
    for (unsigned i = 0; i < request->parts_count; i++) {
        if (request->parts[i].state == TS_PART_OPEN)
            ts_part_send_first(&request->parts[i]);
    }
}

ts_admission_result_t ts_request_admit(ts_request_t *request, ts_time_us_t now_us)
{
    if (now_us >= request->deadline_us)
        return request->is_shortened ? TS_ADMISSION_STOPPING : TS_ADMISSION_PAST_DEADLINE;
    if (ts_request_is_revoked(request))
        return TS_ADMISSION_REVOKED;
    if (!exclude_parts(request, now_us))
        return TS_ADMISSION_EXCLUDED;
    if (!ts_request_can_finish(request, now_us))
        return TS_ADMISSION_STOPPING;
    ts_admission_result_t quarantine = ts_request_check_quarantine(request, now_us);
    if (quarantine != TS_ADMISSION_ADMITTED)
        return quarantine;
    ts_admission_result_t quota = check_quota(request, now_us);
    if (quota != TS_ADMISSION_ADMITTED)
        return quota;
    if (!yields_to_urgent(request) && can_begin(request, now_us)) {
        request->is_admitted = true;
        record_admission(request, false);
        if (request->is_suspect)
            ts_request_begin_isolated(request, now_us);
        else
            send_parts(request);
        return TS_ADMISSION_ADMITTED;
    }
    record_blocked(request, now_us);
    if (now_us < request->admission_deadline_us)
        return TS_ADMISSION_DEFERRED;
    record_admission(request, true);
    log_blocked(request, now_us);
    return TS_ADMISSION_OVERLOAD;
}
