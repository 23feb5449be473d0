/** One part of a request: whom it is sent to, and when again. */
#include <string.h>

#include "request.h"
#include "tealspar/connection_share.h"
#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/mechanism.h"
#include "tealspar/peers.h"
#include "tealspar/replica.h"

/* A service is scarce while requests wait for it to begin; they look more often than this. */
#define SCARCE_US (15 * TS_US_PER_MS)
/* Between two looks for an instance when none is there, or the budget holds nothing. */
#define LOOK_AGAIN_US (15 * TS_US_PER_MS)
/* A second send is not worth it on an instance as doubtful as this. */
#define HEDGE_COST_MAX_US 350000.0
/* A second send is given this much more time than its answer usually takes. */
#define SECOND_SEND_SAFETY 1.5
/* The baseline 'fixed-hedge' sends again after this part of the aim. */
#define FIXED_HEDGE_DIVISOR 5
/* Others are told of a silent instance this part of the usual time later. */
#define TELL_LATER 0.75
#define CONNECTIONS_DEFAULT 4U
/* Between two looks whether the end of another send is explained. */
#define LOOK_SOON_US (5 * TS_US_PER_MS)

/* This node's share of the connections that one instance takes. */
static uint32_t connections_max(const ts_request_part_t *part)
{
    const ts_gateway_t *gateway = part->request->gateway;
    if (part->service->connections_max == 0) {
        return CONNECTIONS_DEFAULT;
    }
    return ts_connections_in_use_max(part->service->connections_max, gateway->nodes);
}

static ts_replica_input_t choice_input(const ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_gateway_t *gateway = part->request->gateway;
    if (part->service->warmup_rate > 0)
        ts_gateway_share_cold(gateway, part->service, now_us);
    return (ts_replica_input_t){part->request->state->typical.value_us,
                                now_us,
                                gateway->settings->drain_ms * TS_US_PER_MS / 2,
                                connections_max(part),
                                gateway->nodes,
                                ts_gateway_random(gateway),
                                ts_request_regions(part->request)};
}

static unsigned exchanges_out(const ts_request_part_t *part)
{
    unsigned out = 0;
    for (unsigned i = 0; i < part->sends; i++) {
        out += part->exchanges[i] != NULL;
    }
    return out;
}

void ts_part_set_state(ts_request_part_t *part, ts_part_state_t state)
{
    part->state = state;
    part->overdue_us = 0;
    part->next_try_us = 0;
    part->tell_us = 0;
    part->request->parts_in += state == TS_PART_IN;
    part->request->parts_lost += state == TS_PART_LOST;
}

/*
 * When a second send is made: as late as its answer still comes within the aim, as most answers
 * that are overdue come by themselves, and each second send costs work and links.
 */
static ts_time_us_t second_send_us(const ts_request_part_t *part, ts_time_us_t overdue_us)
{
    const ts_request_t *request = part->request;
    bool is_patient = ts_mechanism_is_on(TS_MECHANISM_PATIENT_SECOND);
    if (!is_patient || request->gateway->settings->policy != TS_LATE_ADAPTIVE) {
        return overdue_us;
    }
    ts_time_us_t need_us =
        (ts_time_us_t)(SECOND_SEND_SAFETY * (ts_route_state_overdue_us(request->state) +
                                             ts_registry_rtt_max_us(request->gateway->registry)));
    ts_time_us_t latest_us = request->stop_us > need_us ? request->stop_us - need_us : 0;
    return latest_us > overdue_us ? latest_us : overdue_us;
}

/* After how long a send is overdue. */
static ts_time_us_t overdue_after_us(const ts_request_t *request, double travel_us)
{
    ts_time_us_t aim_us = request->stop_us - request->arrived_us;
    if (request->gateway->settings->policy != TS_LATE_ADAPTIVE) {
        return aim_us / FIXED_HEDGE_DIVISOR;
    }
    return (ts_time_us_t)(ts_route_state_overdue_us(request->state) + travel_us);
}

static void send_to(ts_request_part_t *part, ts_instance_t *instance, ts_time_us_t now_us)
{
    ts_request_t *request = part->request;
    double typical_us = request->state->typical.value_us;
    double travel_us = ts_travel_us(instance->rtt);
    part->tried[part->sends] = instance;
    ts_instance_note_sent(instance, now_us);
    instance->references++;
    part->attempts++;
    part->arrivals++;
    request->sends++;
    part->was_overdue = false;
    part->next_try_us = 0;
    part->overdue_us = now_us + overdue_after_us(request, travel_us);
    part->second_us = second_send_us(part, part->overdue_us);
    unsigned place = part->sends++;
    ts_send_terms_t terms = {typical_us + travel_us, place > 0, ts_request_sends_alone(request)};
    part->was_lone = terms.is_lone;
    part->exchanges[place] = ts_upstream_send(request->gateway->upstream, instance,
                                              request->outgoing, &terms, ts_part_take_result, part);
}

/* One line for a decision about the part: whom, why, and what was believed of it. */
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
           instance == NULL ? 0 : (unsigned)(ts_instance_slowness(instance, now_us) * 100),
           instance == NULL || instance->suspected_us == 0
               ? 0UL
               : (unsigned long)((now_us - instance->suspected_us) / TS_US_PER_MS),
           (unsigned long)request->traffic->version);
}

bool ts_part_is_excluded(const ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_replica_input_t input = choice_input(part, now_us);
    return ts_replica_is_excluded(part->service, &input);
}

bool ts_part_is_blocked(const ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_replica_input_t input = choice_input(part, now_us);
    return !ts_replica_is_any_free(part->service, &input);
}

void ts_part_note_wanted(const ts_request_part_t *part, ts_time_us_t now_us)
{
    if (ts_part_is_blocked(part, now_us))
        part->service->blocked_us = now_us;
}

static bool is_scarce(const ts_request_part_t *part, ts_time_us_t now_us)
{
    return ts_mechanism_is_on(TS_MECHANISM_SCARCE) && part->service->blocked_us != 0 &&
           now_us - part->service->blocked_us < SCARCE_US;
}

/* Whether the request can succeed with the parts that are in or under way beside this one. */
static bool is_dispensable(const ts_request_part_t *part)
{
    const ts_request_t *request = part->request;
    unsigned others = 0;
    for (unsigned i = 0; i < request->parts_count; i++) {
        const ts_request_part_t *other = &request->parts[i];
        bool is_under_way = other->state == TS_PART_OPEN && other->sends > 0;
        others += other != part && (other->state == TS_PART_IN || is_under_way);
    }
    return others >= ts_request_parts_needed(request);
}

void ts_part_log_blocked(const ts_request_part_t *part, ts_time_us_t now_us)
{
    if (!ts_log_is_wanted(TS_EVENT_PART_BLOCKED) || !ts_part_is_blocked(part, now_us))
        return;
    ts_replica_input_t input = choice_input(part, now_us);
    ts_replica_census_t census = ts_replica_count(part->service, &input);
    ts_log(TS_EVENT_PART_BLOCKED,
           "request=%s service=%s listed=%u misplaced=%u evacuated=%u leaving=%u full=%u "
           "avoided=%u in_flight=%u connections_max=%u",
           part->request->outgoing->request_id, part->service->name, census.listed,
           census.misplaced, census.evacuated, census.leaving, census.full, census.avoided,
           census.in_flight, input.connections_max);
}

/* The request's key was taken away before anything of the part was sent. */
static void lose_revoked(ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_part_log_decision(part, TS_EVENT_PART_LOST, "key_revoked", NULL, now_us);
    ts_count(TS_COUNTER_PARTS_LOST, 1);
    ts_part_set_state(part, TS_PART_LOST);
}

void ts_part_look_soon(ts_request_part_t *part, ts_time_us_t now_us)
{
    part->next_try_us = now_us + LOOK_SOON_US;
}

/* No send may be made now, as the end of an earlier one is not explained: it looks again soon. */
static bool is_held_back(ts_request_part_t *part, ts_time_us_t now_us)
{
    if (ts_request_caution(part->request, now_us) == TS_CAUTION_NONE)
        return false;
    ts_part_look_soon(part, now_us);
    return true;
}

void ts_part_send_first(ts_request_part_t *part)
{
    ts_time_us_t now_us = ts_clock_now_us();
    if (is_held_back(part, now_us))
        return;
    if (ts_request_is_revoked(part->request)) {
        lose_revoked(part, now_us);
        return;
    }
    ts_replica_input_t input = choice_input(part, now_us);
    ts_instance_t *instance = ts_replica_choose(part->service, &input, NULL, 0);
    if (instance == NULL) {
        part->next_try_us = now_us + LOOK_AGAIN_US;
        return;
    }
    send_to(part, instance, now_us);
}

void ts_part_leave_out(ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_part_log_blocked(part, now_us);
    ts_part_log_decision(part, TS_EVENT_PART_LOST, "not_permitted", NULL, now_us);
    ts_count(TS_COUNTER_PARTS_EXCLUDED, 1);
    part->was_excluded = true;
    ts_part_set_state(part, TS_PART_LOST);
}

/* Whether the route and the table of sends allow one more. */
bool ts_part_may_send_again(const ts_request_part_t *part)
{
    const ts_traffic_route_t *route = part->request->route;
    if (ts_clock_now_us() >= part->request->deadline_us)
        return false; // nobody waits any more, as after this process stood still
    return part->attempts < route->attempts_max && part->sends < TS_SENDS_MAX &&
           (route->is_repeatable || !part->may_have_run) && !ts_request_is_revoked(part->request);
}

/*
 * Only arrivals beyond the first count against the budget: while no send has left, or may still
 * leave, the next one is free.
 */
static bool take_budget(ts_request_part_t *part, ts_time_us_t now_us)
{
    if (part->arrivals == 0) {
        return true;
    }
    ts_gateway_t *gateway = part->request->gateway;
    if (!ts_retry_budget_take(&part->service->budget, &gateway->rule, now_us)) {
        return false;
    }
    part->paid++;
    return true;
}

/* The budget holds no further send: others may lend one, and the part looks again soon. */
static void note_denied(ts_request_part_t *part, const ts_instance_t *instance, ts_time_us_t now_us)
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

/* One more send, if an instance, the route and the budget allow it. */
static bool send_again(ts_request_part_t *part, ts_time_us_t now_us, double cost_max_us,
                       const char *reason)
{
    if (!ts_part_may_send_again(part)) {
        return false;
    }
    ts_replica_input_t input = choice_input(part, now_us);
    ts_instance_t *instance = ts_replica_choose(part->service, &input, part->tried, part->sends);
    if (instance == NULL || ts_replica_cost(instance, &input) > cost_max_us) {
        return false;
    }
    if (!take_budget(part, now_us)) {
        note_denied(part, instance, now_us);
        return false;
    }
    ts_part_log_decision(part, TS_EVENT_PART_SENT_AGAIN, reason, instance, now_us);
    send_to(part, instance, now_us);
    return true;
}

/*
 * Whether the request most likely succeeds without the part: no more than half of what is still
 * open is needed.
 */
static bool is_spare(const ts_request_part_t *part)
{
    const ts_request_t *request = part->request;
    unsigned needed = ts_request_parts_needed(request);
    unsigned open = request->parts_count - request->parts_in - request->parts_lost;
    return request->parts_in >= needed || 2 * (needed - request->parts_in) <= open;
}

/* Extra sends that are scarce are left to parts that their requests cannot do without. */
static bool leaves_extra_send(const ts_request_part_t *part, ts_time_us_t now_us)
{
    return ts_mechanism_is_on(TS_MECHANISM_SPARING) && is_spare(part) &&
           ts_retry_budget_is_low(&part->service->budget, &part->request->gateway->rule, now_us);
}

/* The latest send is overdue: its instance is suspected, and another one is asked. */
static void check_overdue(ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_exchange_t *latest = part->sends > 0 ? part->exchanges[part->sends - 1] : NULL;
    part->overdue_us = 0;
    if (latest == NULL) {
        return;
    }
    ts_time_us_t sent_us = ts_exchange_sent_us(latest);
    ts_late_policy_t policy = part->request->gateway->settings->policy;
    if (policy == TS_LATE_NAIVE) {
        return;
    }
    bool is_new = !part->was_overdue && !ts_exchange_is_untimed(latest);
    if (is_new && policy == TS_LATE_ADAPTIVE) {
        part->was_overdue = true;
        ts_route_state_note_overdue(part->request->state);
        part->tell_us =
            now_us + (ts_time_us_t)(TELL_LATER * ts_route_state_overdue_us(part->request->state));
        ts_instance_note_overdue(ts_exchange_instance(latest), sent_us == 0 ? now_us : sent_us,
                                 now_us);
    }
    bool may_repeat = ts_mechanism_is_on(TS_MECHANISM_SECOND_SENDS);
    if (!may_repeat || !part->request->route->is_repeatable) {
        return;
    }
    if (now_us < part->second_us) {
        part->overdue_us = part->second_us;
        return;
    }
    if (ts_request_caution(part->request, now_us) != TS_CAUTION_NONE) {
        part->overdue_us = now_us + LOOK_AGAIN_US;
        return;
    }
    bool is_left = leaves_extra_send(part, now_us);
    if (!is_left && send_again(part, now_us, HEDGE_COST_MAX_US, "overdue")) {
        ts_count(TS_COUNTER_HEDGES, 1);
    } else if (ts_part_may_send_again(part)) {
        part->overdue_us = now_us + LOOK_AGAIN_US;
    }
}

/*
 * A denied part may still get a loan. The request does not wait for it alone: enough others must be
 * in or under way, so that it holds nothing up.
 */
static bool may_wait_for_budget(const ts_request_part_t *part)
{
    const ts_request_t *request = part->request;
    unsigned others = request->parts_count - request->parts_lost - 1;
    return part->was_denied && others >= ts_request_parts_needed(request) &&
           request->parts_in < others;
}

bool ts_part_settle(ts_request_part_t *part)
{
    if (part->state != TS_PART_OPEN || part->fields == NULL)
        return false;
    ts_part_set_state(part, TS_PART_IN);
    return true;
}

/* Nothing is out and nothing can be sent now: the part looks again soon, or is lost. */
static void wait_or_lose(ts_request_part_t *part, ts_time_us_t now_us)
{
    ts_replica_input_t input = choice_input(part, now_us);
    bool is_worth_waiting =
        ts_replica_is_worth_waiting(part->service, &input, part->tried, part->sends);
    part->overdue_us = 0;
    if (ts_part_may_send_again(part) && (is_worth_waiting || may_wait_for_budget(part))) {
        part->next_try_us = now_us + LOOK_AGAIN_US;
        return;
    }
    if (ts_part_settle(part))
        return;
    ts_part_log_decision(part, TS_EVENT_PART_LOST, "no_send_left", NULL, now_us);
    ts_count(TS_COUNTER_PARTS_LOST, 1);
    ts_part_set_state(part, TS_PART_LOST);
}

/* Others are told of an instance that is still silent when most late answers have come. */
static void tell_overdue(const ts_request_part_t *part)
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
    if (part->tell_us != 0 && now_us >= part->tell_us) {
        part->tell_us = 0;
        tell_overdue(part);
    }
    if (part->next_try_us == 0 || now_us < part->next_try_us || is_held_back(part, now_us)) {
        return;
    }
    if (part->sends == 0 && is_scarce(part, now_us) && is_dispensable(part)) {
        part->next_try_us = now_us + LOOK_AGAIN_US; // left to requests that cannot do without it
    } else if (part->sends == 0) {
        ts_part_send_first(part);
    } else if (!send_again(part, now_us, G_MAXDOUBLE, "failed")) {
        wait_or_lose(part, now_us);
    } else {
        ts_count(TS_COUNTER_RETRIES, 1);
    }
}

/* The earlier of two times, of which 0 means never. */
static ts_time_us_t earlier(ts_time_us_t a, ts_time_us_t b)
{
    return a == 0 || b == 0 ? a + b : MIN(a, b);
}

ts_time_us_t ts_part_due_us(const ts_request_part_t *part)
{
    if (part->state != TS_PART_OPEN)
        return 0;
    return earlier(earlier(part->overdue_us, part->next_try_us), part->tell_us);
}

/* A send came to nothing: another is made at once, or later, or the part is lost. */
void ts_part_try_elsewhere(ts_request_part_t *part)
{
    ts_time_us_t now_us = ts_clock_now_us();
    if (exchanges_out(part) > 0) {
        return; /* another send may still bring the answer */
    }
    if (is_held_back(part, now_us))
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
        return; /* what was lost was said when it was */
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
