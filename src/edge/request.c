/** Lifecycle of a request: routing, deadlines, admission, and the decision about its outcome. */
#include "request.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/mechanism.h"
#include "tealspar/pending.h"

#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
/* The final answer is sent at the latest this long before the caller's or the route's timeout,
 * whichever is shorter, or at 3/4 of a timeout that is not longer than four times this margin. */
#define DEADLINE_MARGIN_US (25 * TS_US_PER_MS)
/* Interval at which a request that waits for a token or a trial is checked. */
#define ADMISSION_CHECK_US (6 * TS_US_PER_MS)
/* A gather with enough answered parts is answered this long before the target latency: network time
 * from and to the caller. A target latency of at most twice this margin is ignored. */
#define TARGET_LATENCY_MARGIN_US (16 * TS_US_PER_MS)
/* Sends that were written to a connection before the request ended may finish within this time,
 * then they are cancelled; unsent ones are cancelled at once. */
#define RELEASED_SEND_GRACE_US (350 * TS_US_PER_MS)
/* Longest wait for a token of the tenant's quota; at most 1/TOKEN_WAIT_DIVISOR of the timeout. */
#define TOKEN_WAIT_US (150 * TS_US_PER_MS)
#define TOKEN_WAIT_DIVISOR 4
/* Longer timeouts of callers are reduced to this; also assumed if a caller gives none. */
#define CALLER_TIMEOUT_MAX_MS (3600ULL * 1000ULL)
#define COVERAGE_EPSILON 1e-9

unsigned ts_request_parts_needed(const ts_request_t *request)
{
    if (request->route->kind != TS_TARGET_GATHER) {
        return 1;
    }
    double needed = ceil(request->route->coverage_min * request->parts_count - COVERAGE_EPSILON);
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
        if (part->may_have_run || part->state == TS_PART_ANSWERED) {
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

/* -- Start ------------------------------------------------------------------------------------- */

uint32_t ts_request_caller_timeout_ms(const ts_gateway_t *gateway, const ts_http_message_t *message)
{
    const char *text = ts_http_message_find(message, gateway->dialect->headers.deadline_ms);
    uint64_t given_ms = text == NULL ? 0 : strtoull(text, NULL, 10);
    return (uint32_t)MIN(given_ms, CALLER_TIMEOUT_MAX_MS);
}

ts_time_us_t ts_request_answer_within_us(ts_time_us_t timeout_us)
{
    ts_time_us_t margin_us =
        timeout_us > 4 * DEADLINE_MARGIN_US ? DEADLINE_MARGIN_US : timeout_us / 4;
    return timeout_us - margin_us;
}

/* `given_ms`: the caller's timeout; 0: not given. */
static void set_deadlines(ts_request_t *request, ts_time_us_t arrived_us, uint32_t given_ms)
{
    const ts_traffic_route_t *route = request->route;
    uint64_t caller_timeout_ms = given_ms == 0 ? CALLER_TIMEOUT_MAX_MS : given_ms;
    ts_time_us_t timeout_us = MIN(caller_timeout_ms, route->timeout_ms) * TS_US_PER_MS;
    request->arrived_us = arrived_us;
    request->caller_deadline_us =
        arrived_us + (given_ms == 0 ? route->timeout_ms : given_ms) * TS_US_PER_MS;
    request->deadline_us = request->arrived_us + ts_request_answer_within_us(timeout_us);
    request->outgoing->deadline_us = request->arrived_us + timeout_us;
    request->outgoing->arrived_us = request->arrived_us;
    ts_time_us_t target_latency_us = route->aim_ms * TS_US_PER_MS;
    request->soft_deadline_us =
        target_latency_us > 2 * TARGET_LATENCY_MARGIN_US
            ? request->arrived_us + target_latency_us - TARGET_LATENCY_MARGIN_US
            : request->deadline_us;
    if (request->gateway->settings->policy == TS_STRAGGLER_NAIVE ||
        request->soft_deadline_us > request->deadline_us) {
        request->soft_deadline_us = request->deadline_us;
    }
    ts_request_apply_shutdown(request);
    request->quota_deadline_us =
        request->arrived_us + MIN(TOKEN_WAIT_US, timeout_us / TOKEN_WAIT_DIVISOR);
}

static void init_part(ts_request_t *request, unsigned index, const char *service)
{
    ts_request_part_t *part = &request->parts[index];
    part->request = request;
    part->service = ts_registry_ensure_service(request->gateway->registry, service);
    ts_retry_budget_count_request(&part->service->budget, &request->gateway->retry_rule,
                                  ts_clock_now_us());
}

static void on_timer(uv_timer_t *timer);
static void set_timer(ts_request_t *request, ts_time_us_t now_us);

/* The tenant's priority takes precedence over the route's. */
static unsigned compute_rank(const ts_traffic_route_t *route, const ts_tenant_t *tenant)
{
    unsigned tenant_priority = tenant == NULL ? 0 : MIN(tenant->priority, TS_PRIORITIES - 1);
    return tenant_priority * TS_PRIORITIES + MIN(route->priority, TS_PRIORITIES - 1);
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
    request->rank = compute_rank(route, identity->tenant);
    request->queue_rank = ts_mechanism_is_on(TS_MECHANISM_PRIORITY) ? request->rank : 0;
    request->route_state = ts_gateway_route_state(gateway, route);
    request->parts_count = parts;
    ts_outgoing_options_t options = {&gateway->dialect->headers,
                                     identity->tenant == NULL ? NULL : identity->tenant->name,
                                     ts_tenants_count(gateway->traffic->tenants) > 0};
    request->outgoing = ts_outgoing_compose(ts_caller_mutable_message(caller), &options);
    request->outgoing->is_repeatable = route->is_repeatable;
    uv_timer_init(gateway->loop, &request->timer);
    request->timer.data = request;
    for (unsigned i = 0; is_gather && i < parts; i++) {
        init_part(request, i, g_array_index(route->targets, ts_target_t, i).service);
    }
    if (!is_gather) {
        init_part(request, 0, ts_route_state_next_target(request->route_state, route));
    }
    request->request_charge.budget = gateway->request_budget;
    ts_memory_charge_set(&request->request_charge,
                         sizeof(*request) + parts * sizeof(ts_request_part_t) +
                             ts_memory_of_string(request->outgoing->head) +
                             ts_memory_of_string(request->outgoing->body));
    request->answer_charge.budget = gateway->answer_budget;
    ts_top_records_init(&request->records, route->top_count);
    gateway->requests++;
    return request;
}

/* -- End --------------------------------------------------------------------------------------- */

static void free_request(uv_handle_t *handle)
{
    ts_request_t *request = handle->data;
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_part_clear(&request->parts[i]);
    }
    ts_memory_charge_clear(&request->request_charge);
    ts_memory_charge_clear(&request->answer_charge);
    ts_top_records_clear(&request->records);
    ts_outgoing_unref(request->outgoing);
    ts_traffic_unref(request->traffic);
    g_free(request);
}

/* Ends a request that was answered or abandoned; sends already written to a connection may finish,
 * see RELEASED_SEND_GRACE_US. */
static void end_request(ts_request_t *request)
{
    ts_time_us_t until_us = ts_clock_now_us() + RELEASED_SEND_GRACE_US;
    ts_admission_queue_remove(request->gateway->admission_queue, request);
    request->route_state->in_progress -= request->is_admitted;
    ts_request_release_quota(request);
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

/* Admits the request if possible; returns whether it was admitted or has failed. */
static bool try_admit(ts_request_t *request, ts_time_us_t now_us)
{
    switch (ts_request_admit(request, now_us)) {
    case TS_ADMISSION_ADMITTED:
        ts_admission_queue_remove(request->gateway->admission_queue, request);
        return true;
    case TS_ADMISSION_DEFERRED:
        uv_timer_start(&request->timer, on_timer, ADMISSION_CHECK_US / TS_US_PER_MS, 0);
        return false;
    case TS_ADMISSION_QUEUED:
        if (ts_admission_queue_add(request->gateway->admission_queue, request))
            return false;
        fail(request, TS_E_OVERLOAD);
        return true;
    case TS_ADMISSION_OVER_QUOTA:
        fail(request, TS_E_QUOTA);
        return true;
    case TS_ADMISSION_UNCONFIRMED:
        fail(request, TS_E_UNCONFIRMED);
        return true;
    case TS_ADMISSION_REVOKED:
        fail(request, TS_E_UNAUTHENTICATED);
        return true;
    case TS_ADMISSION_PAST_DEADLINE:
        fail(request, TS_E_PAST_DEADLINE);
        return true;
    case TS_ADMISSION_STOPPING:
        fail(request, TS_E_STOPPING);
        return true;
    case TS_ADMISSION_QUARANTINED:
        fail(request, TS_E_QUARANTINED);
        return true;
    case TS_ADMISSION_TRIAL_PENDING:
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

/* -- Decision ---------------------------------------------------------------------------------- */

/* The error of a request that can no longer succeed, from what happened to its parts. */
static ts_error_t determine_error(const ts_request_t *request)
{
    if (ts_request_is_revoked(request))
        return TS_E_UNAUTHENTICATED;
    if (ts_request_was_stopped(request, ts_clock_now_us()))
        return TS_E_STOPPING;
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

/* Answers the request if its outcome is known now; returns whether it did. */
static bool try_finish(ts_request_t *request, ts_time_us_t now_us)
{
    if (ts_request_check_send(request, now_us) == TS_SEND_FORBIDDEN) {
        fail(request, request->broken_sends > 0 ? TS_E_BACK_ENDS_ENDED : TS_E_QUARANTINED);
        return true;
    }
    unsigned needed = ts_request_parts_needed(request);
    unsigned open = request->parts_count - request->parts_answered - request->parts_lost;
    bool is_enough = request->parts_answered >= needed;
    if (is_enough && (open == 0 || now_us >= request->soft_deadline_us)) {
        succeed(request);
        return true;
    }
    if (request->parts_answered + open < needed) {
        fail(request, determine_error(request));
        return true;
    }
    if (now_us >= request->deadline_us) {
        if (ts_part_accept_error_answer(&request->parts[0]))
            succeed(request);
        else
            fail(request, request->is_shortened ? TS_E_STOPPING : TS_E_DEADLINE);
        return true;
    }
    return false;
}

static void set_timer(ts_request_t *request, ts_time_us_t now_us)
{
    ts_time_us_t due_us = request->deadline_us;
    if (request->parts_count > 1 && request->soft_deadline_us > now_us &&
        request->soft_deadline_us < due_us) {
        due_us = request->soft_deadline_us;
    }
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_time_us_t part_us = ts_part_due_us(&request->parts[i]);
        if (part_us != 0 && part_us < due_us) {
            due_us = part_us;
        }
    }
    uint64_t wait_ms = due_us <= now_us ? 0 : (due_us - now_us + TS_US_PER_MS - 1) / TS_US_PER_MS;
    uv_timer_start(&request->timer, on_timer, wait_ms, 0);
}

void ts_request_try_admit(ts_request_t *request, ts_time_us_t now_us)
{
    if (try_admit(request, now_us) && request->is_admitted)
        set_timer(request, now_us);
}

static void on_timer(uv_timer_t *timer)
{
    ts_request_t *request = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    if (request->queue_link != NULL)
        return; // the next pass over the queue checks it
    if (!request->is_admitted) {
        ts_request_try_admit(request, now_us);
        return;
    }
    for (unsigned i = 0; i < request->parts_count; i++) {
        ts_part_check(&request->parts[i], now_us);
    }
    if (!try_finish(request, now_us)) {
        set_timer(request, now_us);
    }
}

void ts_request_shorten(ts_request_t *request)
{
    ts_request_apply_shutdown(request);
    if (request->is_admitted)
        set_timer(request, ts_clock_now_us());
}

void ts_request_recheck(ts_request_t *request)
{
    uv_timer_start(&request->timer, on_timer, 0, 0);
}

void ts_request_progress(ts_request_t *request)
{
    if (request->caller == NULL) {
        return;
    }
    ts_time_us_t now_us = ts_clock_now_us();
    if (!try_finish(request, now_us)) {
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
    if (ts_gateway_is_initialized(gateway))
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
    ts_error_t error = ts_request_authenticate(gateway, caller, route, &identity);
    if (error != TS_OK) {
        ts_request_reject(gateway, caller, error);
        return;
    }
    ts_request_t *request = create_request(gateway, caller, route, &identity);
    ts_caller_set_request(caller, request);
    set_deadlines(request, arrived_us, ts_request_caller_timeout_ms(gateway, message));
    ts_request_count_quota_demand(request);
    ts_request_try_admit(request, ts_clock_now_us());
}

void ts_request_abandon(ts_gateway_t *gateway, ts_caller_t *caller)
{
    ts_request_t *request = ts_caller_request(caller);
    if (request == NULL) {
        (void)ts_pending_remove(gateway->pending, caller);
    } else {
        ts_answer_abandoned(request);
        end_request(request);
    }
}
