/** One part of a request: choice of its instance, retries and hedged sends. */
#include <string.h>

#include "request.h"
#include "tealspar/connection_share.h"
#include "tealspar/counters.h"
#include "tealspar/drain_budget.h"
#include "tealspar/log.h"
#include "tealspar/mechanism.h"
#include "tealspar/peers.h"

/* A service is scarce for this long after a request had to wait for it. Longer than the interval
 * at which the admission queue is checked, so that it stays scarce while a request waits. */
#define SCARCE_WINDOW_US (15 * TS_US_PER_MS)
/* Interval between attempts to find an instance while none is available, the retry budget is
 * exhausted, or a hedge has to wait. */
#define INSTANCE_RECHECK_US (15 * TS_US_PER_MS)
/* A hedge is not worth its cost on an instance whose expected cost exceeds this. */
#define HEDGE_COST_MAX_US 350000.0
/* Time reserved for a hedge, as a multiple of the sum of the overdue time and the longest round
 * trip. */
#define HEDGE_TIME_FACTOR 1.5
/* The baseline policy 'fixed-hedge' hedges after 1/FIXED_HEDGE_DIVISOR of the time to the soft
 * deadline. */
#define FIXED_HEDGE_DIVISOR 5
/* Peers are told that an instance is silent when this fraction of the overdue time has passed since
 * a send to it became overdue; most late answers have arrived by then. */
#define ANNOUNCE_DELAY_FACTOR 0.75
/* This node's connections to an instance whose connection limit is not known. */
#define CONNECTIONS_DEFAULT 4U
/* Interval between checks whether a deferred send is allowed now. */
#define DEFERRED_RECHECK_US (5 * TS_US_PER_MS)

/* This node's share of the connections that one instance accepts. */
static uint32_t connections_max(const ts_request_part_t *part)
{
    const ts_gateway_t *gateway = part->request->gateway;
    if (part->service->connections_max == 0) {
        return CONNECTIONS_DEFAULT;
    }
    return ts_connections_in_use_max(part->service->connections_max, gateway->nodes);
}

ts_replica_input_t ts_part_make_replica_input(const ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_gateway_t *gateway = part->request->gateway;
    if (part->service->warmup_rate > 0)
        ts_gateway_update_cold_shares(gateway, part->service, now_us);
    return (ts_replica_input_t){part->request->route_state->median.value_us,
                                now_us,
                                ts_drain_budget(gateway->settings->drain_ms).send_ms * TS_US_PER_MS,
                                connections_max(part),
                                gateway->nodes,
                                ts_gateway_random(gateway),
                                ts_request_regions(part->request)};
}

static unsigned count_open_exchanges(const ts_request_part_t *part)
{
    unsigned open = 0;
    for (unsigned i = 0; i < part->sends; i++) {
        open += part->exchanges[i] != NULL;
    }
    return open;
}

void ts_part_set_state(ts_request_part_t *part, ts_part_state_t state)
{
    part->state = state;
    part->overdue_us = 0;
    part->next_try_us = 0;
    part->announce_us = 0;
    part->request->parts_answered += state == TS_PART_ANSWERED;
    part->request->parts_lost += state == TS_PART_LOST;
}

/*
 * Earliest time of a hedge: as late as possible for its answer to arrive before the soft deadline.
 * Most overdue answers arrive without a hedge, and each hedge costs backend work and connections.
 */
static ts_time_us_t hedge_time_us(const ts_request_part_t *part, ts_time_us_t overdue_us)
{
    const ts_request_t *request = part->request;
    bool is_hedge_delayed = ts_mechanism_is_on(TS_MECHANISM_PATIENT_SECOND);
    if (!is_hedge_delayed || request->gateway->settings->policy != TS_STRAGGLER_ADAPTIVE) {
        return overdue_us;
    }
    ts_time_us_t hedge_duration_us =
        (ts_time_us_t)(HEDGE_TIME_FACTOR * (ts_route_state_overdue_us(request->route_state) +
                                            ts_registry_rtt_max_us(request->gateway->registry)));
    ts_time_us_t latest_us = request->soft_deadline_us > hedge_duration_us
                                 ? request->soft_deadline_us - hedge_duration_us
                                 : 0;
    return latest_us > overdue_us ? latest_us : overdue_us;
}

/* Time after which a send is overdue. */
static ts_time_us_t overdue_delay_us(const ts_request_t *request, double rtt_us)
{
    ts_time_us_t soft_timeout_us = request->soft_deadline_us - request->arrived_us;
    if (request->gateway->settings->policy != TS_STRAGGLER_ADAPTIVE) {
        return soft_timeout_us / FIXED_HEDGE_DIVISOR;
    }
    return (ts_time_us_t)(ts_route_state_overdue_us(request->route_state) + rtt_us);
}

static void send_to(ts_request_part_t *part, ts_instance_t *instance, ts_time_us_t now_us)
{
    ts_request_t *request = part->request;
    double typical_us = request->route_state->median.value_us;
    double rtt_us = ts_rtt_estimate_us(instance->rtt);
    part->tried[part->sends] = instance;
    ts_instance_note_sent(instance, now_us);
    instance->references++;
    part->attempts++;
    part->deliveries++;
    request->sends++;
    part->was_overdue = false;
    part->next_try_us = 0;
    part->overdue_us = now_us + overdue_delay_us(request, rtt_us);
    part->hedge_us = hedge_time_us(part, part->overdue_us);
    unsigned index = part->sends++;
    part->turns[index] = (float)ts_forecast_turns(instance, instance->in_flight);
    ts_send_terms_t terms = {typical_us + rtt_us, index > 0,
                             ts_request_mark_send_isolated(request)};
    part->was_isolated = terms.is_isolated;
    part->exchanges[index] =
        ts_upstream_send(request->gateway->upstream, instance, request->outgoing, &terms,
                         ts_part_handle_result, part);
}

void ts_part_log_decision(const ts_request_part_t *part, ts_event_t event, const char *reason,
                          const ts_instance_t *instance, ts_time_us_t now_us)
{
    if (!ts_log_is_wanted(event)) {
        return;
    }
    const ts_request_t *request = part->request;
    const char *id = instance == NULL ? "-" : instance->id;
    ts_log(event,
           "request=%s service=%s instance=%s reason=%s after_ms=%lu sends=%u attempts=%u "
           "in_flight=%u slowness_percent=%u suspected_ms=%lu config=%lu",
           request->outgoing->request_id, part->service->name, id, reason,
           (unsigned long)((now_us - request->arrived_us) / TS_US_PER_MS), part->sends,
           part->attempts, instance == NULL ? 0 : instance->in_flight,
           instance == NULL ? 0 : (unsigned)(ts_instance_latency_ratio(instance, now_us) * 100),
           instance == NULL || instance->suspected_us == 0
               ? 0UL
               : (unsigned long)((now_us - instance->suspected_us) / TS_US_PER_MS),
           (unsigned long)request->traffic->version);
}

bool ts_part_is_excluded(const ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_replica_input_t input = ts_part_make_replica_input(part, now_us);
    return ts_replica_is_excluded(part->service, &input);
}

bool ts_part_is_blocked(const ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_replica_input_t input = ts_part_make_replica_input(part, now_us);
    return !ts_replica_is_any_free(part->service, &input);
}

void ts_part_record_blocked(ts_request_part_t *part, ts_time_us_t now_us)
{
    part->is_blocked = ts_part_is_blocked(part, now_us);
    if (part->is_blocked)
        part->service->blocked_us = now_us;
}

static bool is_scarce(const ts_request_part_t *part, ts_time_us_t now_us)
{
    return ts_mechanism_is_on(TS_MECHANISM_SCARCE) && part->service->blocked_us != 0 &&
           now_us - part->service->blocked_us < SCARCE_WINDOW_US;
}

/* Whether the request can succeed with its other parts that are answered or in flight. */
static bool is_covered_by_others(const ts_request_part_t *part)
{
    const ts_request_t *request = part->request;
    unsigned others = 0;
    for (unsigned i = 0; i < request->parts_count; i++) {
        const ts_request_part_t *other = &request->parts[i];
        bool is_in_flight = other->state == TS_PART_OPEN && other->sends > 0;
        others += other != part && (other->state == TS_PART_ANSWERED || is_in_flight);
    }
    return others >= ts_request_parts_needed(request);
}

void ts_part_log_blocked(const ts_request_part_t *part, ts_time_us_t now_us)
{
    if (!ts_log_is_wanted(TS_EVENT_PART_BLOCKED) || !ts_part_is_blocked(part, now_us))
        return;
    ts_replica_input_t input = ts_part_make_replica_input(part, now_us);
    ts_replica_summary_t summary = ts_replica_summarize(part->service, &input);
    ts_log(TS_EVENT_PART_BLOCKED,
           "request=%s service=%s listed=%u misplaced=%u evacuated=%u leaving=%u full=%u "
           "avoided=%u in_flight=%u connections_max=%u",
           part->request->outgoing->request_id, part->service->name, summary.listed,
           summary.misplaced, summary.evacuated, summary.leaving, summary.full, summary.avoided,
           summary.in_flight, input.connections_max);
}

/* Gives up a part that was not sent yet because the request's key was revoked. */
static void lose_revoked_part(ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_part_log_decision(part, TS_EVENT_PART_LOST, "key_revoked", NULL, now_us);
    ts_count(TS_COUNTER_PARTS_LOST, 1);
    ts_part_set_state(part, TS_PART_LOST);
}

void ts_part_recheck_soon(ts_request_part_t *part, ts_time_us_t now_us)
{
    part->next_try_us = now_us + DEFERRED_RECHECK_US;
}

/* If the part must not be sent now, schedules another check and returns true. */
static bool defer_send(ts_request_part_t *part, ts_time_us_t now_us)
{
    if (ts_request_check_send(part->request, now_us) == TS_SEND_ALLOWED)
        return false;
    ts_part_recheck_soon(part, now_us);
    return true;
}

void ts_part_send_first(ts_request_part_t *part)
{
    ts_time_us_t now_us = ts_clock_now_us();
    if (defer_send(part, now_us))
        return;
    if (ts_request_is_revoked(part->request)) {
        lose_revoked_part(part, now_us);
        return;
    }
    ts_replica_input_t input = ts_part_make_replica_input(part, now_us);
    ts_instance_t *instance = ts_replica_choose(part->service, &input, NULL, 0);
    if (instance == NULL) {
        part->next_try_us = now_us + INSTANCE_RECHECK_US;
        return;
    }
    send_to(part, instance, now_us);
}

void ts_part_exclude(ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_part_log_blocked(part, now_us);
    ts_part_log_decision(part, TS_EVENT_PART_LOST, "not_permitted", NULL, now_us);
    ts_count(TS_COUNTER_PARTS_EXCLUDED, 1);
    part->was_excluded = true;
    ts_part_set_state(part, TS_PART_LOST);
}

bool ts_part_may_send_again(const ts_request_part_t *part)
{
    const ts_traffic_route_t *route = part->request->route;
    if (ts_clock_now_us() >= part->request->deadline_us)
        return false; // the caller has timed out, e.g. during a process stall
    return part->attempts < route->attempts_max && part->sends < TS_SENDS_MAX &&
           (route->is_repeatable || !part->may_have_run) && !ts_request_is_revoked(part->request) &&
           ts_part_can_finish_before_exit(part, ts_clock_now_us()) &&
           ts_part_can_finish(part, ts_clock_now_us());
}

/*
 * Charges the next send to the retry budget; returns false if the budget is exhausted. The send is
 * free while no other send was written to a connection or may still be.
 */
static bool take_budget(ts_request_part_t *part, ts_time_us_t now_us)
{
    if (part->deliveries == 0) {
        return true;
    }
    ts_gateway_t *gateway = part->request->gateway;
    if (!ts_retry_budget_take(&part->service->budget, &gateway->retry_rule, now_us)) {
        return false;
    }
    part->charged++;
    return true;
}

/* Records that the retry budget is exhausted, and asks peers to lend from their budgets. */
static void record_denied(ts_request_part_t *part, const ts_instance_t *instance,
                          ts_time_us_t now_us)
{
    ts_gateway_t *gateway = part->request->gateway;
    if (gateway->peers != NULL)
        ts_peers_request_loan(gateway->peers, part->service, now_us);
    if (part->was_denied)
        return;
    part->was_denied = true;
    ts_count(TS_COUNTER_RETRIES_DENIED, 1);
    ts_part_log_decision(part, TS_EVENT_PART_DENIED, "budget", instance, now_us);
}

/* Sends the part once more if an instance, the route and the retry budget allow it. */
static bool send_again(ts_request_part_t *part, ts_time_us_t now_us, double cost_max_us,
                       const char *reason)
{
    if (!ts_part_may_send_again(part)) {
        return false;
    }
    ts_replica_input_t input = ts_part_make_replica_input(part, now_us);
    ts_instance_t *instance = ts_replica_choose(part->service, &input, part->tried, part->sends);
    if (instance == NULL || ts_replica_cost(instance, &input) > cost_max_us) {
        return false;
    }
    if (!take_budget(part, now_us)) {
        record_denied(part, instance, now_us);
        return false;
    }
    ts_part_log_decision(part, TS_EVENT_PART_SENT_AGAIN, reason, instance, now_us);
    send_to(part, instance, now_us);
    return true;
}

/*
 * Whether the request most likely succeeds without the part: at most half of the open parts are
 * needed.
 */
static bool is_likely_dispensable(const ts_request_part_t *part)
{
    const ts_request_t *request = part->request;
    unsigned needed = ts_request_parts_needed(request);
    unsigned open = request->parts_count - request->parts_answered - request->parts_lost;
    return request->parts_answered >= needed || 2 * (needed - request->parts_answered) <= open;
}

/* Whether the part forgoes a hedge, to leave a low retry budget to parts that are needed. */
static bool yields_hedge(const ts_request_part_t *part, ts_time_us_t now_us)
{
    return ts_mechanism_is_on(TS_MECHANISM_SPARING) && is_likely_dispensable(part) &&
           ts_retry_budget_is_low(&part->service->budget, &part->request->gateway->retry_rule,
                                  now_us);
}

/* Handles an overdue send: its instance is suspected, and the part is hedged when it is time. */
static void check_overdue(ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_exchange_t *latest = part->sends > 0 ? part->exchanges[part->sends - 1] : NULL;
    part->overdue_us = 0;
    if (latest == NULL) {
        return;
    }
    if (ts_exchange_is_answer_delayed(latest)) {
        part->overdue_us = now_us + INSTANCE_RECHECK_US;
        return;
    }
    ts_time_us_t sent_us = ts_exchange_sent_us(latest);
    ts_straggler_policy_t policy = part->request->gateway->settings->policy;
    if (policy == TS_STRAGGLER_NAIVE) {
        return;
    }
    bool is_new = !part->was_overdue && !ts_exchange_has_invalid_times(latest);
    if (is_new && policy == TS_STRAGGLER_ADAPTIVE) {
        part->was_overdue = true;
        ts_route_state_add_overdue(part->request->route_state);
        part->announce_us =
            now_us + (ts_time_us_t)(ANNOUNCE_DELAY_FACTOR *
                                    ts_route_state_overdue_us(part->request->route_state));
        ts_instance_note_overdue(ts_exchange_instance(latest), sent_us == 0 ? now_us : sent_us,
                                 now_us);
    }
    bool may_hedge = ts_mechanism_is_on(TS_MECHANISM_SECOND_SENDS);
    if (!may_hedge || !part->request->route->is_repeatable) {
        return;
    }
    if (now_us < part->hedge_us) {
        part->overdue_us = part->hedge_us;
        return;
    }
    if (ts_request_check_send(part->request, now_us) != TS_SEND_ALLOWED) {
        part->overdue_us = now_us + INSTANCE_RECHECK_US;
        return;
    }
    bool is_yielded = yields_hedge(part, now_us);
    if (!is_yielded && send_again(part, now_us, HEDGE_COST_MAX_US, "overdue")) {
        ts_count(TS_COUNTER_HEDGES, 1);
    } else if (ts_part_may_send_again(part)) {
        part->overdue_us = now_us + INSTANCE_RECHECK_US;
    }
}

/*
 * Whether a part that was denied a send by the retry budget waits for budget lent by peers. It may
 * wait only while the request could succeed without this part and still waits for other parts, so
 * that the wait delays nothing.
 */
static bool may_wait_for_budget(const ts_request_part_t *part)
{
    const ts_request_t *request = part->request;
    unsigned others = request->parts_count - request->parts_lost - 1;
    return part->was_denied && others >= ts_request_parts_needed(request) &&
           request->parts_answered < others;
}

bool ts_part_accept_error_answer(ts_request_part_t *part)
{
    if (part->state != TS_PART_OPEN || part->fields == NULL)
        return false;
    ts_part_set_state(part, TS_PART_ANSWERED);
    return true;
}

/* With no send in flight and none possible now: schedules another try, accepts an error answer, or
 * gives the part up. */
static void wait_or_lose(ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_replica_input_t input = ts_part_make_replica_input(part, now_us);
    bool is_worth_waiting =
        ts_replica_is_worth_waiting(part->service, &input, part->tried, part->sends);
    part->overdue_us = 0;
    if (ts_part_may_send_again(part) && (is_worth_waiting || may_wait_for_budget(part))) {
        part->next_try_us = now_us + INSTANCE_RECHECK_US;
        return;
    }
    if (ts_part_accept_error_answer(part))
        return;
    ts_part_log_decision(part, TS_EVENT_PART_LOST, "no_send_left", NULL, now_us);
    ts_count(TS_COUNTER_PARTS_LOST, 1);
    ts_part_set_state(part, TS_PART_LOST);
}

/* Tells peers of the instances that have not answered yet. */
static void announce_overdue(const ts_request_part_t *part)
{
    for (unsigned i = 0; i < part->sends; i++) {
        if (part->exchanges[i] != NULL)
            ts_instance_report_suspicion(ts_exchange_instance(part->exchanges[i]));
    }
}

void ts_part_check(ts_request_part_t *part, ts_time_us_t now_us)
{
    if (part->state != TS_PART_OPEN) {
        return;
    }
    if (part->overdue_us != 0 && now_us >= part->overdue_us) {
        check_overdue(part, now_us);
    }
    if (part->announce_us != 0 && now_us >= part->announce_us) {
        part->announce_us = 0;
        announce_overdue(part);
    }
    if (part->next_try_us == 0 || now_us < part->next_try_us || defer_send(part, now_us)) {
        return;
    }
    if (part->sends == 0 && is_scarce(part, now_us) && is_covered_by_others(part)) {
        // leave the instance to requests that cannot succeed without it
        part->next_try_us = now_us + INSTANCE_RECHECK_US;
    } else if (part->sends == 0) {
        ts_part_send_first(part);
    } else if (!send_again(part, now_us, G_MAXDOUBLE, "failed")) {
        wait_or_lose(part, now_us);
    } else {
        ts_count(TS_COUNTER_RETRIES, 1);
    }
}

/* The earlier of two times; 0 means never. */
static ts_time_us_t earlier_time(ts_time_us_t a, ts_time_us_t b)
{
    return a == 0 || b == 0 ? a + b : MIN(a, b);
}

ts_time_us_t ts_part_due_us(const ts_request_part_t *part)
{
    if (part->state != TS_PART_OPEN)
        return 0;
    return earlier_time(earlier_time(part->overdue_us, part->next_try_us), part->announce_us);
}

void ts_part_retry(ts_request_part_t *part)
{
    ts_time_us_t now_us = ts_clock_now_us();
    if (count_open_exchanges(part) > 0) {
        return; /* another send may still be answered */
    }
    if (defer_send(part, now_us))
        return;
    if (send_again(part, now_us, G_MAXDOUBLE, "failed")) {
        ts_count(TS_COUNTER_RETRIES, 1);
        return;
    }
    wait_or_lose(part, now_us);
}

void ts_part_log_missing(const ts_request_part_t *part)
{
    if (part->state != TS_PART_OPEN) {
        return; /* lost parts were logged when they were given up */
    }
    const ts_instance_t *latest = part->sends > 0 ? part->tried[part->sends - 1] : NULL;
    ts_part_log_decision(part, TS_EVENT_PART_LOST, latest == NULL ? "no_instance" : "not_in_time",
                         latest, ts_clock_now_us());
}

void ts_part_release(ts_request_part_t *part, ts_time_us_t until_us)
{
    for (unsigned i = 0; i < part->sends; i++) {
        ts_exchange_t *exchange = part->exchanges[i];
        part->exchanges[i] = NULL;
        if (exchange == NULL) {
            continue;
        }
        if (ts_exchange_sent_us(exchange) == 0) {
            ts_exchange_cancel(exchange);
        } else {
            ts_exchange_release(exchange, until_us);
        }
    }
}

void ts_part_clear(ts_request_part_t *part)
{
    for (unsigned i = 0; i < part->sends; i++) {
        part->tried[i]->references--;
    }
    if (part->fields != NULL) {
        g_string_free(part->fields, TRUE);
    }
    if (part->body != NULL) {
        g_string_free(part->body, TRUE);
    }
    g_free(part->signature);
}
