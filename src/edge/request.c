/** The life of a request: route, parts, time, and the moment it is decided. */
#include "request.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/mechanism.h"
#include "tealspar/pending.h"

#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
/* An answer must leave this long before the caller's deadline, or the route's end of patience. */
#define DEADLINE_MARGIN_US (25 * TS_US_PER_MS)
/* Between two looks whether a request that waits can begin. */
#define ADMISSION_LOOK_US (6 * TS_US_PER_MS)
/* A gathered answer leaves this long before the aim: the way back, and what the way here took. */
#define AIM_MARGIN_US (16 * TS_US_PER_MS)
/* What nobody waits for may finish for so long before it is cancelled. */
#define LEFT_BEHIND_US (350 * TS_US_PER_MS)
/* A request waits for the answer whether its tenant may send it; and at most this part of the
 * caller's patience. */
#define TOKEN_WAIT_US (150 * TS_US_PER_MS)
#define TOKEN_WAIT_DIVISOR 4
#define DEADLINE_MAX_MS (3600ULL * 1000ULL)
#define COVERAGE_ROUNDING 1e-9

unsigned ts_request_parts_needed(const ts_request_t *request)
{
    if (request->route->kind != TS_TARGET_GATHER) {
        return 1;
    }
    double needed = ceil(request->route->coverage_min * request->parts_count - COVERAGE_ROUNDING);
    return needed < 1 ? 1 : (unsigned)needed;
}

const GPtrArray *ts_request_regions(const ts_request_t *request)
{
    const ts_traffic_t *newest = request->gateway->traffic;
    const ts_traffic_route_t *route = NULL;
    if (newest != request->traffic)
        route = ts_traffic_find_route(newest, request->route->name);
    return route != NULL ? route->regions : request->route->regions;
}

bool ts_request_may_have_run(const ts_request_t *request)
{
    for (unsigned i = 0; i < request->parts_count; i++) {
        const ts_request_part_t *part = &request->parts[i];
        if (part->may_have_run || part->state == TS_PART_IN) {
            return true;
        }
        for (unsigned j = 0; j < part->sends; j++) {
            if (part->exchanges[j] != NULL && ts_exchange_sent_us(part->exchanges[j]) != 0) {
                return true;
            }
        }
    }
    return false;
}

/* -- Beginning --------------------------------------------------------------------------------- */

/* Time the caller gives, in milliseconds; 0 when it gives none that can be read. */
static uint32_t read_patience_ms(const ts_gateway_t *gateway, const ts_http_message_t *message)
{
    const char *text = ts_http_message_find(message, gateway->dialect->headers.deadline_ms);
    uint64_t given_ms = text == NULL ? 0 : strtoull(text, NULL, 10);
    return (uint32_t)MIN(given_ms, DEADLINE_MAX_MS);
}

/* Whether the caller has less time than usual, as after a refusal; notes what it has. */
static bool has_returned(ts_patience_t *patience, uint32_t patience_ms)
{
    bool result = ts_patience_has_returned(patience, patience_ms);
    ts_patience_note(patience, patience_ms);
    return result;
}

/* `given_ms`: what the caller waits; 0: it does not say. */
static void set_times(ts_request_t *request, ts_time_us_t arrived_us, uint32_t given_ms)
{
    const ts_traffic_route_t *route = request->route;
    uint64_t patience_ms = given_ms == 0 ? DEADLINE_MAX_MS : given_ms;
    request->has_returned = has_returned(&request->state->patience, given_ms);
    ts_time_us_t patience_us = MIN(patience_ms, route->timeout_ms) * TS_US_PER_MS;
    ts_time_us_t margin_us =
        patience_us > 4 * DEADLINE_MARGIN_US ? DEADLINE_MARGIN_US : patience_us / 4;
    request->arrived_us = arrived_us;
    request->deadline_us = request->arrived_us + patience_us - margin_us;
    request->outgoing->deadline_us = request->arrived_us + patience_us;
    ts_time_us_t aim_us = route->aim_ms * TS_US_PER_MS;
    request->stop_us = aim_us > 2 * AIM_MARGIN_US ? request->arrived_us + aim_us - AIM_MARGIN_US
                                                  : request->deadline_us;
    if (request->gateway->settings->policy == TS_LATE_NAIVE ||
        request->stop_us > request->deadline_us) {
        request->stop_us = request->deadline_us;
    }
    request->token_by_us =
        request->arrived_us + MIN(TOKEN_WAIT_US, patience_us / TOKEN_WAIT_DIVISOR);
    request->admit_by_us = request->arrived_us + ts_request_admission_span_us(request);
}

static void set_part(ts_request_t *request, unsigned index, const char *service)
{
    ts_request_part_t *part = &request->parts[index];
    part->request = request;
    part->service = ts_registry_ensure_service(request->gateway->registry, service);
    ts_retry_budget_count_request(&part->service->budget, &request->gateway->rule,
                                  ts_clock_now_us());
}

static void check_parts(uv_timer_t *timer);
static void set_timer(ts_request_t *request, ts_time_us_t now_us);

/* A tenant's priority goes before its route's. */
static unsigned rank_of(const ts_traffic_route_t *route, const ts_tenant_t *tenant)
{
    unsigned first = tenant == NULL ? 0 : MIN(tenant->priority, TS_PRIORITIES - 1);
    return first * TS_PRIORITIES + MIN(route->priority, TS_PRIORITIES - 1);
}

static ts_request_t *create_request(ts_gateway_t *gateway, ts_caller_t *caller,
                                    const ts_traffic_route_t *route, const ts_identity_t *identity)
{
    bool is_gather = route->kind == TS_TARGET_GATHER;
    unsigned parts = is_gather ? route->targets->len : 1;
    ts_request_t *request = g_malloc0(sizeof(*request) + parts * sizeof(ts_request_part_t));
    request->gateway = gateway;
    request->caller = caller;
    request->traffic = ts_traffic_ref(gateway->traffic);
    request->route = route;
    request->identity = *identity;
    request->rank = rank_of(route, identity->tenant);
    request->state = ts_gateway_route_state(gateway, route);
    request->parts_count = parts;
    ts_outgoing_rule_t rule = {&gateway->dialect->headers,
                               identity->tenant == NULL ? NULL : identity->tenant->name,
                               ts_tenants_count(gateway->traffic->tenants) > 0};
    request->outgoing = ts_outgoing_compose(ts_caller_message(caller), &rule);
    request->outgoing->is_repeatable = route->is_repeatable;
    uv_timer_init(gateway->loop, &request->timer);
    request->timer.data = request;
    for (unsigned i = 0; is_gather && i < parts; i++) {
        set_part(request, i, g_array_index(route->targets, ts_target_t, i).service);
    }
    if (!is_gather) {
        set_part(request, 0, ts_route_state_next_target(request->state, route));
    }
    gateway->requests++;
    return request;
}

/* -- Ending ------------------------------------------------------------------------------------ */

static void free_request(uv_handle_t *handle)
{
    ts_request_t *request = handle->data;
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_part_clear(&request->parts[i]);
    }
    ts_outgoing_unref(request->outgoing);
    ts_traffic_unref(request->traffic);
    g_free(request);
}

/* Nothing is waited for any more; what is still out may finish for a moment. */
static void end_request(ts_request_t *request)
{
    ts_time_us_t until_us = ts_clock_now_us() + LEFT_BEHIND_US;
    ts_request_end_quota(request);
    ts_request_end_trial(request);
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_part_release(&request->parts[i], until_us);
    }
    request->caller = NULL;
    request->gateway->requests--;
    uv_close((uv_handle_t *)&request->timer, free_request);
}

static void succeed(ts_request_t *request)
{
    ts_answer_success(request);
    end_request(request);
}

static void fail(ts_request_t *request, ts_error_t error)
{
    ts_answer_failure(request, error);
    end_request(request);
}

/* Begins the request if it can be begun; returns whether it is begun or refused. */
static bool try_admit(ts_request_t *request, ts_time_us_t now_us)
{
    switch (ts_request_admit(request, now_us)) {
    case TS_ADMISSION_BEGUN:
        return true;
    case TS_ADMISSION_WAITS:
        uv_timer_start(&request->timer, check_parts, ADMISSION_LOOK_US / TS_US_PER_MS, 0);
        return false;
    case TS_ADMISSION_OVER_QUOTA:
        fail(request, TS_E_QUOTA);
        return true;
    case TS_ADMISSION_UNCONFIRMED:
        fail(request, TS_E_UNCONFIRMED);
        return true;
    case TS_ADMISSION_REVOKED:
        fail(request, TS_E_UNAUTHENTICATED);
        return true;
    case TS_ADMISSION_LATE:
        fail(request, TS_E_PAST_DEADLINE);
        return true;
    case TS_ADMISSION_QUARANTINED:
        fail(request, TS_E_QUARANTINED);
        return true;
    case TS_ADMISSION_ON_TRIAL:
        fail(request, TS_E_ON_TRIAL);
        return true;
    case TS_ADMISSION_EXCLUDED:
        fail(request, TS_E_PLACEMENT);
        return true;
    case TS_ADMISSION_OVERLOAD:
        fail(request, TS_E_OVERLOAD);
        return true;
    }
    return true;
}

/* -- Deciding ---------------------------------------------------------------------------------- */

/* Why a request without a success failed, by what its parts met. */
static ts_error_t find_failure(const ts_request_t *request)
{
    if (ts_request_is_revoked(request))
        return TS_E_UNAUTHENTICATED;
    for (unsigned i = 0; i < request->parts_count; i++) {
        if (request->parts[i].state == TS_PART_LOST && request->parts[i].was_refused) {
            return TS_E_OVERLOAD;
        }
    }
    for (unsigned i = 0; i < request->parts_count; i++) {
        if (request->parts[i].was_excluded)
            return TS_E_PLACEMENT;
    }
    return request->parts_count > 1 ? TS_E_COVERAGE : TS_E_NO_REPLICA;
}

/* Decides the request if it can be decided now; returns whether it did. */
static bool decide(ts_request_t *request, ts_time_us_t now_us)
{
    if (ts_request_caution(request, now_us) == TS_CAUTION_STOP) {
        fail(request, request->broken > 0 ? TS_E_BACK_ENDS_ENDED : TS_E_QUARANTINED);
        return true;
    }
    unsigned needed = ts_request_parts_needed(request);
    unsigned open = request->parts_count - request->parts_in - request->parts_lost;
    bool is_enough = request->parts_in >= needed;
    if (is_enough && (open == 0 || now_us >= request->stop_us)) {
        succeed(request);
        return true;
    }
    if (request->parts_in + open < needed) {
        fail(request, find_failure(request));
        return true;
    }
    if (now_us >= request->deadline_us) {
        if (ts_part_settle(&request->parts[0]))
            succeed(request);
        else
            fail(request, TS_E_DEADLINE);
        return true;
    }
    return false;
}

static void set_timer(ts_request_t *request, ts_time_us_t now_us)
{
    ts_time_us_t due_us = request->deadline_us;
    if (request->parts_count > 1 && request->stop_us > now_us && request->stop_us < due_us) {
        due_us = request->stop_us;
    }
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_time_us_t part_us = ts_part_due_us(&request->parts[i]);
        if (part_us != 0 && part_us < due_us) {
            due_us = part_us;
        }
    }
    uint64_t wait_ms = due_us <= now_us ? 0 : (due_us - now_us + TS_US_PER_MS - 1) / TS_US_PER_MS;
    uv_timer_start(&request->timer, check_parts, wait_ms, 0);
}

static void check_parts(uv_timer_t *timer)
{
    ts_request_t *request = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    if (!request->is_admitted) {
        if (try_admit(request, now_us) && request->is_admitted) {
            set_timer(request, now_us);
        }
        return;
    }
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_part_check(&request->parts[i], now_us);
    }
    if (!decide(request, now_us)) {
        set_timer(request, now_us);
    }
}

void ts_request_look_again(ts_request_t *request)
{
    uv_timer_start(&request->timer, check_parts, 0, 0);
}

void ts_request_progress(ts_request_t *request)
{
    if (request->caller == NULL) {
        return;
    }
    ts_time_us_t now_us = ts_clock_now_us();
    if (!decide(request, now_us)) {
        set_timer(request, now_us);
    }
}

/* -- Entry ------------------------------------------------------------------------------------- */

static const ts_traffic_route_t *find_route(const ts_gateway_t *gateway,
                                            const ts_http_message_t *message)
{
    const char *host = ts_http_message_find(message, "Host");
    return host == NULL ? NULL : ts_traffic_match(gateway->traffic, host, message->target->str);
}

void ts_request_begin(ts_gateway_t *gateway, ts_caller_t *caller)
{
    if (ts_gateway_is_informed(gateway))
        ts_request_begin_at(gateway, caller, ts_clock_now_us());
    else
        ts_pending_add(gateway->pending, caller);
}

void ts_request_begin_at(ts_gateway_t *gateway, ts_caller_t *caller, ts_time_us_t arrived_us)
{
    const ts_http_message_t *message = ts_caller_message(caller);
    const ts_traffic_route_t *route = find_route(gateway, message);
    if (route == NULL) {
        ts_answer_error(gateway, caller, STATUS_NOT_FOUND, TS_E_NOT_FOUND, 0);
        return;
    }
    if (ts_http_message_find(message, gateway->dialect->headers.request_id) == NULL) {
        ts_answer_error(gateway, caller, STATUS_BAD_REQUEST, TS_E_BAD_REQUEST, 0);
        return;
    }
    ts_identity_t identity;
    ts_error_t error = ts_request_identify(gateway, caller, route, &identity);
    if (error != TS_OK) {
        ts_request_turn_away(gateway, caller, error);
        return;
    }
    ts_request_t *request = create_request(gateway, caller, route, &identity);
    ts_caller_set_request(caller, request);
    set_times(request, arrived_us, read_patience_ms(gateway, message));
    ts_request_note_quota(request);
    ts_time_us_t now_us = ts_clock_now_us();
    if (try_admit(request, now_us) && request->is_admitted)
        set_timer(request, now_us);
}

void ts_request_abandon(ts_gateway_t *gateway, ts_caller_t *caller)
{
    ts_request_t *request = ts_caller_request(caller);
    if (request == NULL) {
        (void)ts_pending_remove(gateway->pending, caller);
    } else {
        ts_answer_left(request);
        end_request(request);
    }
}
