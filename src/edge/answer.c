/** The final answer of a request: its HTTP response, metrics and log line. */
#include <math.h>
#include <string.h>

#include "request.h"
#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/peers.h"
#include "tealspar/store_mirror.h"
#include "tealspar/tenant_counters.h"

#define STATUS_OK 200
#define STATUS_UNAUTHORIZED 401
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504
/* Retry-after time of a stopping gateway without peers: until its successor may be ready. */
#define SUCCESSOR_RETRY_MS 150U
/* Backends missing from the registry register again with their next heartbeat. */
#define REGISTRATION_US (1200.0 * TS_US_PER_MS)
#define QUOTA_RETRY_MIN_MS 100U
/* Retry-after time of a stopping gateway if there are others, which can take the request at once.
 */
#define ELSEWHERE_RETRY_MS 1U
/* Clients that transfer slowly are closed for others after a second. */
#define NO_ROOM_RETRY_MIN_MS 1000U
#define NO_ROOM_RETRY_MAX_MS 2000U
#define MS_PER_S 1000.0

static void append_retry_after(const ts_gateway_t *gateway, uint32_t retry_after_ms,
                               GString *fields)
{
    if (retry_after_ms > 0) {
        g_string_append_printf(fields, "%s: %.3f\r\n", gateway->dialect->headers.retry_after,
                               retry_after_ms / MS_PER_S);
    }
}

uint32_t ts_answer_retry_wait_max_ms(const ts_gateway_t *gateway, ts_time_us_t left_us)
{
    return (uint32_t)(gateway->dialect->retry_wait_share * (double)left_us / TS_US_PER_MS);
}

/* Adds the authentication challenge to a 401 answer. */
static void append_challenge(unsigned status, GString *fields)
{
    if (status == STATUS_UNAUTHORIZED)
        g_string_append(fields, "WWW-Authenticate: Bearer\r\n");
}

static char *format_error(ts_error_t error)
{
    return g_strdup_printf("{\"error\":\"%s\",\"message\":\"%s\"}\n", ts_error_name(error),
                           ts_error_text(error));
}

void ts_answer_error(ts_gateway_t *gateway, ts_caller_t *caller, unsigned status, ts_error_t error,
                     uint32_t retry_after_ms)
{
    GString *fields = g_string_new("Content-Type: application/json\r\n");
    const char *id_name = gateway->dialect->headers.request_id;
    const ts_http_message_t *message = ts_caller_message(caller);
    const char *id = message->is_head_complete ? ts_http_message_find(message, id_name) : NULL;
    if (id != NULL) {
        g_string_append_printf(fields, "%s: %s\r\n", id_name, id);
    }
    append_challenge(status, fields);
    append_retry_after(gateway, retry_after_ms, fields);
    char *body = format_error(error);
    ts_count_error(error);
    ts_count(TS_COUNTER_REQUESTS_REFUSED, 1);
    ts_log(TS_EVENT_REQUEST_FAILED, "request=%s status=%u error=%s config=%lu", id ? id : "-",
           status, ts_error_name(error),
           gateway->traffic ? (unsigned long)gateway->traffic->version : 0UL);
    ts_caller_answer(caller, status, fields->str, body, strlen(body));
    g_free(body);
    g_string_free(fields, TRUE);
}

static uint32_t stopping_retry_ms(const ts_gateway_t *gateway)
{
    bool has_peers = gateway->peers != NULL && ts_peers_count(gateway->peers) > 1;
    return has_peers ? ELSEWHERE_RETRY_MS : SUCCESSOR_RETRY_MS;
}

void ts_answer_stopping(ts_gateway_t *gateway, ts_caller_t *caller)
{
    ts_answer_error(gateway, caller, STATUS_UNAVAILABLE, TS_E_STOPPING, stopping_retry_ms(gateway));
}

void ts_answer_no_room(ts_gateway_t *gateway, ts_caller_t *caller)
{
    const ts_http_message_t *message = ts_caller_message(caller);
    uint32_t given_ms =
        message->is_head_complete ? ts_request_caller_timeout_ms(gateway, message) : 0;
    uint32_t wait_max_ms = ts_answer_retry_wait_max_ms(
        gateway, (given_ms == 0 ? NO_ROOM_RETRY_MAX_MS : given_ms) * TS_US_PER_MS);
    uint32_t retry_ms = NO_ROOM_RETRY_MIN_MS +
                        ts_gateway_random(gateway) % (NO_ROOM_RETRY_MAX_MS - NO_ROOM_RETRY_MIN_MS);
    ts_answer_error(gateway, caller, STATUS_UNAVAILABLE, TS_E_NO_ROOM,
                    MAX(MIN(retry_ms, wait_max_ms), 1));
}

/* -- Success ----------------------------------------------------------------------------------- */

static void answer_gathered(ts_request_t *request)
{
    const ts_header_names_t *names = &request->gateway->dialect->headers;
    GString *fields = g_string_new(NULL);
    g_string_append_printf(fields, "%s: %s\r\n%s: ", names->request_id,
                           request->outgoing->request_id, names->part_signatures);
    bool is_first = true;
    for (unsigned i = 0; i < request->parts_count; i++) {
        const ts_request_part_t *part = &request->parts[i];
        if (part->state != TS_PART_ANSWERED) {
            continue;
        }
        g_string_append_printf(fields, "%s%s", is_first ? "" : ", ", part->signature);
        is_first = false;
    }
    unsigned missing = request->parts_count - request->parts_answered;
    g_string_append_printf(fields, "\r\n%s: %u\r\n", names->missing_parts, missing);
    GString *body = g_string_new(NULL);
    ts_top_records_finish(&request->records, body);
    ts_memory_charge_clear(&request->answer_charge);
    ts_count(TS_COUNTER_REQUESTS_PARTIAL, missing > 0);
    ts_caller_answer_with(request->caller, STATUS_OK, fields->str, body);
    g_string_free(fields, TRUE);
}

static void answer_forwarded(ts_request_t *request)
{
    ts_request_part_t *part = &request->parts[0];
    GString *body = part->body;
    part->body = NULL;
    ts_memory_charge_clear(&request->answer_charge);
    if (!request->route->is_repeatable)
        ts_caller_keep_answer(request->caller, request->caller_deadline_us);
    ts_caller_answer_with(request->caller, part->status, part->fields->str, body);
}

/* Time since this node's copy of the configuration was last confirmed as current. */
static unsigned long confirmed_age_ms(const ts_gateway_t *gateway)
{
    ts_time_us_t confirmed_us = ts_store_mirror_confirmed_us(gateway->mirror);
    return (unsigned long)((ts_clock_now_us() - confirmed_us) / TS_US_PER_MS);
}

static void count_tenant(const ts_request_t *request, ts_tenant_outcome_t outcome)
{
    if (request->identity.tenant != NULL)
        ts_tenant_count(request->identity.tenant->name, outcome);
}

static const char *tenant_name(const ts_request_t *request)
{
    return request->identity.tenant == NULL ? "-" : request->identity.tenant->name;
}

static void log_outcome(const ts_request_t *request, ts_event_t event, unsigned status,
                        const char *error)
{
    if (!ts_log_is_wanted(event)) {
        return;
    }
    ts_log(event,
           "request=%s route=%s tenant=%s status=%u error=%s after_ms=%lu aim_ms=%u parts=%u in=%u "
           "lost=%u "
           "sends=%u config=%lu confirmed_ms=%lu",
           request->outgoing->request_id, request->route->name, tenant_name(request), status, error,
           (unsigned long)((ts_clock_now_us() - request->arrived_us) / TS_US_PER_MS),
           request->route->aim_ms, request->parts_count, request->parts_answered,
           request->parts_lost, request->sends, (unsigned long)request->traffic->version,
           confirmed_age_ms(request->gateway));
}

static void log_missing(const ts_request_t *request)
{
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_part_log_missing(&request->parts[i]);
    }
}

static void log_cut_request(ts_caller_t *caller, void *ctx)
{
    const ts_gateway_t *gateway = ctx;
    const ts_request_t *request = ts_caller_request(caller);
    const char *id =
        ts_http_message_find(ts_caller_message(caller), gateway->dialect->headers.request_id);
    ts_count(TS_COUNTER_REQUESTS_CUT, 1);
    ts_log(TS_EVENT_REQUEST_CUT, "request=%s state=%s after_ms=%lu route=%s admitted=%s sends=%u",
           id == NULL ? "-" : id, ts_caller_state_name(caller),
           (unsigned long)(ts_caller_state_age_us(caller) / TS_US_PER_MS),
           request == NULL ? "-" : request->route->name,
           request != NULL && request->is_admitted ? "yes" : "no",
           request == NULL ? 0 : request->sends);
}

unsigned ts_gateway_log_cut_requests(ts_gateway_t *gateway)
{
    int64_t before = ts_counter_value(TS_COUNTER_REQUESTS_CUT);
    ts_listener_each_unanswered(gateway->caller_listener, log_cut_request, gateway);
    return (unsigned)(ts_counter_value(TS_COUNTER_REQUESTS_CUT) - before);
}

void ts_answer_abandoned(const ts_request_t *request)
{
    ts_count(TS_COUNTER_REQUESTS_LEFT, 1);
    count_tenant(request, TS_TENANT_ABANDONED);
    ts_route_state_record_outcome(request->route_state, TS_OUTCOME_ABANDONED,
                                  ts_clock_now_us() - request->arrived_us);
    log_outcome(request, TS_EVENT_REQUEST_LEFT, 0, "caller_left");
}

void ts_answer_success(ts_request_t *request)
{
    ts_time_us_t span_us = ts_clock_now_us() - request->arrived_us;
    bool is_partial = request->parts_answered < request->parts_count;
    ts_count(TS_COUNTER_REQUESTS_OK, 1);
    count_tenant(request, TS_TENANT_SERVED);
    ts_observe_us(TS_HISTOGRAM_QUERY_LATENCY, span_us);
    ts_route_state_record_outcome(request->route_state,
                                  is_partial ? TS_OUTCOME_PARTIAL : TS_OUTCOME_OK, span_us);
    if (is_partial) {
        log_missing(request);
    }
    log_outcome(request, is_partial ? TS_EVENT_REQUEST_PARTIAL : TS_EVENT_REQUEST_DONE,
                request->route->kind == TS_TARGET_GATHER ? STATUS_OK : request->parts[0].status,
                is_partial ? "parts_missing" : "none");
    if (request->route->kind == TS_TARGET_GATHER) {
        answer_gathered(request);
    } else {
        answer_forwarded(request);
    }
}

/* -- Failure ----------------------------------------------------------------------------------- */

static unsigned failure_status(ts_error_t error, bool may_have_run)
{
    if (!may_have_run && error == TS_E_UNAUTHENTICATED)
        return STATUS_UNAUTHORIZED;
    if (!may_have_run && error == TS_E_QUOTA)
        return STATUS_TOO_MANY_REQUESTS;
    if (!may_have_run) {
        return STATUS_UNAVAILABLE;
    }
    bool is_out_of_time = error == TS_E_DEADLINE || error == TS_E_STOPPING;
    return is_out_of_time ? STATUS_GATEWAY_TIMEOUT : STATUS_BAD_GATEWAY;
}

/* Time until a token may be available, plus a jitter of up to the same length, as other callers may
 * retry for the same token. */
static uint32_t quota_retry_ms(const ts_request_t *request)
{
    uint32_t wait_ms = MAX(ts_request_quota_wait_ms(request), QUOTA_RETRY_MIN_MS);
    return wait_ms + ts_gateway_random(request->gateway) % wait_ms;
}

/* A random time in this range, at least 1 ms. */
static uint32_t return_between_ms(ts_gateway_t *gateway, double from_us, double until_us)
{
    double share = (double)ts_gateway_random(gateway) / UINT32_MAX;
    return (uint32_t)((from_us + share * (until_us - from_us)) / TS_US_PER_MS) + 1;
}

/* Backends have no entry or are not permitted: callers return when most have registered again. */
static uint32_t registration_retry_ms(const ts_request_t *request, double wait_max_us)
{
    return return_between_ms(request->gateway, MIN(REGISTRATION_US, wait_max_us),
                             MIN(2 * REGISTRATION_US, wait_max_us));
}

/*
 * Reserves the next place for a returning caller of the request's service: when room is expected
 * for it behind the callers that were refused before. If that is later than `until_us`, no place is
 * reserved, and the caller returns at a random time until then.
 */
static uint32_t reserve_return_ms(const ts_request_t *request, double room_in_us, double until_us,
                                  ts_time_us_t now_us)
{
    ts_time_us_t *return_us = &request->parts[0].service->return_us;
    double interval_us = ts_request_forecast(request, 1, now_us).begin_in_us - room_in_us;
    double in_us = (double)*return_us - (double)now_us + interval_us;
    if (in_us > until_us)
        return return_between_ms(request->gateway, room_in_us, until_us);
    in_us = MAX(in_us, room_in_us);
    *return_us = now_us + (ts_time_us_t)in_us;
    return return_between_ms(request->gateway, in_us, in_us);
}

/*
 * Time after which a refused caller returns: when room is expected, within the time for which
 * callers wait and early enough to be answered. If that is too late already by the forecast, only a
 * wrong forecast leaves a chance; the caller is then told the longest time, when most others have
 * left.
 */
static uint32_t room_retry_ms(const ts_request_t *request)
{
    ts_gateway_t *gateway = request->gateway;
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t left_us = request->caller_deadline_us - MIN(now_us, request->caller_deadline_us);
    double wait_max_us = (double)(ts_answer_retry_wait_max_ms(gateway, left_us) * TS_US_PER_MS);
    ts_forecast_t next = ts_request_forecast(request, 0, now_us);
    if (!isfinite(next.begin_in_us))
        return registration_retry_ms(request, wait_max_us);
    double latest_begin_us = (double)left_us - (next.answer_in_us - next.begin_in_us);
    double until_us = MIN(latest_begin_us, wait_max_us);
    if (next.begin_in_us >= until_us)
        return return_between_ms(gateway, wait_max_us, wait_max_us);
    return reserve_return_ms(request, next.begin_in_us, until_us, now_us);
}

/* Delay after which the caller may retry. 0: the answer has no retry-after field. */
static uint32_t retry_after_ms(const ts_request_t *request, ts_error_t error)
{
    if (error == TS_E_UNAUTHENTICATED || error == TS_E_QUARANTINED)
        return 0; // a retry with the same key, or of the same request, would be refused again
    if (error == TS_E_STOPPING)
        return stopping_retry_ms(request->gateway);
    if (error == TS_E_QUOTA)
        return quota_retry_ms(request);
    return room_retry_ms(request);
}

void ts_answer_failure(ts_request_t *request, ts_error_t error)
{
    bool may_have_run = ts_request_may_have_run(request);
    unsigned status = failure_status(error, may_have_run);
    GString *fields = g_string_new("Content-Type: application/json\r\n");
    g_string_append_printf(fields, "%s: %s\r\n", request->gateway->dialect->headers.request_id,
                           request->outgoing->request_id);
    append_challenge(status, fields);
    append_retry_after(request->gateway, may_have_run ? 0 : retry_after_ms(request, error), fields);
    char *body = format_error(error);
    ts_tenant_outcome_t refusal = error == TS_E_QUOTA ? TS_TENANT_OVER_QUOTA : TS_TENANT_REFUSED;
    ts_count_error(error);
    count_tenant(request, may_have_run ? TS_TENANT_FAILED : refusal);
    ts_count(may_have_run ? TS_COUNTER_REQUESTS_FAILED : TS_COUNTER_REQUESTS_REFUSED, 1);
    ts_route_state_record_outcome(request->route_state,
                                  may_have_run ? TS_OUTCOME_FAILED : TS_OUTCOME_REFUSED,
                                  ts_clock_now_us() - request->arrived_us);
    if (request->is_admitted)
        log_missing(request); // before admission, part_blocked lines tell what was missing
    log_outcome(request, TS_EVENT_REQUEST_FAILED, status, ts_error_name(error));
    ts_caller_answer(request->caller, status, fields->str, body, strlen(body));
    g_free(body);
    g_string_free(fields, TRUE);
}
