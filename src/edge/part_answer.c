/** Results of the sends of one part of a request. */
#include "request.h"
#include "tealspar/retry_budget.h"

#define STATUS_SERVER_ERROR 500
#define STATUS_SUCCESS_FIRST 200
#define STATUS_SUCCESS_LAST 299
#define STATUS_MISDIRECTED 421

/* Saves the header fields of an answer that are forwarded to the caller. */
static void save_fields(ts_request_part_t *part, const ts_http_message_t *answer)
{
    GString *fields = g_string_new(NULL);
    for (guint i = 0; i < answer->fields->len; i++) {
        const ts_http_field_t *field = &g_array_index(answer->fields, ts_http_field_t, i);
        const char *name = ts_http_message_text(answer, field->name);
        if (!ts_http_message_is_unforwarded_field(answer, name)) {
            g_string_append_printf(fields, "%s: %s\r\n", name,
                                   ts_http_message_text(answer, field->value));
        }
    }
    part->fields = fields;
}

/* Saves an answer that is forwarded; takes its body. */
static void save_forwarded(ts_request_part_t *part, ts_http_message_t *answer)
{
    if (part->body != NULL)
        g_string_free(part->body, TRUE);
    part->body = ts_http_message_take_body(answer);
    if (part->fields != NULL)
        g_string_free(part->fields, TRUE);
    save_fields(part, answer);
}

/* Saves an answer: merges it if it is gathered, else keeps it. */
static void save_answer(ts_request_part_t *part, ts_http_message_t *answer)
{
    ts_request_t *request = part->request;
    part->status = answer->parser.status_code;
    g_free(part->signature);
    part->signature =
        g_strdup(ts_http_message_find(answer, request->gateway->dialect->headers.signature));
    if (request->route->kind == TS_TARGET_GATHER)
        ts_top_records_add(&request->records, answer->body->str, answer->body->len);
    else
        save_forwarded(part, answer);
    ts_memory_charge_set(&request->answer_charge, ts_top_records_memory(&request->records) +
                                                      ts_memory_of_string(part->body));
}

/* After a send that was never written to a connection. The first delivery is free, so a
 * charge is refunded if more deliveries are charged than remain after the first. */
static void refund_delivery(ts_request_part_t *part)
{
    part->deliveries--;
    if (part->charged > 0 && part->charged >= part->deliveries) {
        part->charged--;
        ts_retry_budget_refund(&part->service->budget);
    }
}

/* Handles the failure of a send that left this node: retries it or accepts the error answer. */
static void handle_failure(ts_request_part_t *part, const ts_exchange_result_t *result)
{
    if (result->run == TS_EXECUTION_NONE) {
        part->attempts--;
        part->was_refused = true;
    } else {
        part->may_have_run = true;
    }
    bool is_gather = part->request->route->kind == TS_TARGET_GATHER;
    bool has_run = result->answer != NULL && result->run == TS_EXECUTION_COMPLETED;
    if (has_run && result->answer->parser.status_code < STATUS_SERVER_ERROR)
        ts_request_record_success(part->request, part->service);
    if (has_run && !is_gather) {
        save_answer(part, result->answer);
        bool is_final = part->status < STATUS_SERVER_ERROR || !ts_part_may_send_again(part);
        if (is_final) {
            ts_part_set_state(part, TS_PART_ANSWERED);
            return;
        }
    }
    ts_part_retry(part);
}

/* A send that never left this node counts neither as an attempt nor against the retry budget. */
static void handle_unsent(ts_request_part_t *part, const ts_instance_t *instance)
{
    part->attempts--;
    refund_delivery(part);
    ts_part_retry(part);
}

/* Forgets the exchange and returns the index of its send. */
static unsigned forget_exchange(ts_request_part_t *part, const ts_exchange_t *exchange)
{
    unsigned i = 0;
    while (i + 1 < part->sends && part->exchanges[i] != exchange)
        i++;
    part->exchanges[i] = NULL;
    return i;
}

static void handle_success(ts_request_part_t *part, const ts_exchange_result_t *result,
                           unsigned index)
{
    const ts_instance_t *instance = part->tried[index];
    if (instance->distance != TS_DISTANCE_OTHER_REGION && !result->has_invalid_times) {
        double extra_us = ts_rtt_estimate_us(instance->rtt) -
                          ts_registry_rtt_min_us(part->request->gateway->registry);
        double span_us = MAX((double)result->span_us - extra_us, 1);
        ts_route_state_add_response_time(part->request->route_state, span_us);
        ts_work_estimate_add(&part->request->route_state->work, span_us / part->turns[index]);
    }
    save_answer(part, result->answer);
    ts_part_set_state(part, TS_PART_ANSWERED);
    ts_request_record_success(part->request, part->service);
}

/* Reason of a failed send for the log. */
static const char *failure_reason(const ts_exchange_result_t *result, unsigned status)
{
    if (result->error != TS_OK) {
        return ts_error_name(result->error);
    }
    if (result->run == TS_EXECUTION_NONE) {
        return status == STATUS_MISDIRECTED ? "misdirected" : "not_executed";
    }
    return "searcher_failed";
}

void ts_part_handle_result(ts_exchange_t *exchange, const ts_exchange_result_t *result, void *owner)
{
    ts_request_part_t *part = owner;
    ts_instance_t *instance = ts_exchange_instance(exchange);
    bool was_sent = ts_exchange_sent_us(exchange) != 0;
    unsigned index = forget_exchange(part, exchange);
    if (part->state != TS_PART_OPEN) {
        return;
    }
    unsigned status = result->answer == NULL ? 0 : result->answer->parser.status_code;
    if (status < STATUS_SUCCESS_FIRST || status > STATUS_SUCCESS_LAST) {
        ts_part_log_decision(part, TS_EVENT_PART_FAILED, failure_reason(result, status), instance,
                             ts_clock_now_us());
    }
    if (was_sent && result->error == TS_E_IO)
        ts_request_record_broken_send(part->request, instance, part->was_isolated);
    if (status == STATUS_MISDIRECTED) {
        ts_instance_note_failure(instance, ts_clock_now_us());
    }
    if (result->run == TS_EXECUTION_COMPLETED && status >= STATUS_SUCCESS_FIRST &&
        status <= STATUS_SUCCESS_LAST) {
        handle_success(part, result, index);
    } else if (!was_sent) {
        handle_unsent(part, instance);
    } else {
        handle_failure(part, result);
    }
    ts_request_progress(part->request);
}
