/** The soak's callers: send one request per connection and check its response. */
#include "soak.h"

#include <stdlib.h>
#include <string.h>

#include "../platform/names.h"
#include "tealspar/http_message.h"

#define TICK_MS 10
// Average number of requests to all gateways in 1000 ticks.
#define REQUESTS_PER_1000_TICKS 500
#define DEADLINE_MS 1500
// Tolerance after a request's deadline before a missing response counts as a violation.
#define OVERDUE_US (500 * TS_US_PER_MS)
// Gateways must apply a configuration within this time after it was written to the store.
#define APPLY_US (3 * TS_US_PER_S)
// Callers go on sending to a stopping gateway for this long, as they notice the stop late.
#define REQUESTS_AFTER_SIGTERM_US (1000 * TS_US_PER_MS)
#define HEAD_MAX 65536
#define BODY_MAX (1U << 20)

typedef enum soak_route {
    ROUTE_FORWARD,
    ROUTE_ONCE,
    ROUTE_ALL,
    ROUTE_PLACED, // forwarded within the first region only
    ROUTE_MARKER
} soak_route_t;

typedef struct call {
    soak_t *s;
    soak_node_t *node;
    unsigned incarnation; // of `node` when the request was sent
    soak_route_t route;
    uint64_t version; // newest configuration when the request was sent; names the marker route
    ts_time_us_t sent_us;
    bool was_fault_free;
    bool was_undisturbed; // the same, but the node may have been stopping
    char id[24];
    char *credentials; // header fields
    uv_tcp_t socket;
    uv_connect_t connecting;
    uv_timer_t timer;
    ts_http_message_t response;
    unsigned open_handles;
    bool is_connected;
    bool is_finished;
    soak_done_t on_done;
    soak_fatal_request_t *fatal_request; // the fatal request that this call sends; NULL: none
} call_t;

static void handle_closed(uv_handle_t *handle)
{
    call_t *call = handle->data;
    if (--call->open_handles > 0)
        return;
    ts_http_message_clear(&call->response);
    g_free(call->credentials);
    g_free(call);
}

static void finish_call(call_t *call, unsigned status)
{
    soak_t *s = call->s;
    call->is_finished = true;
    s->requests_in_flight--;
    ts_time_us_t span_us = ts_clock_now_us() - call->sent_us;
    s->responses[status / 100 < 6 ? status / 100 : 0]++;
    if (status == 200)
        g_array_append_val(s->latencies, span_us);
    if (call->on_done != NULL)
        call->on_done(s, status);
    uv_close((uv_handle_t *)&call->socket, handle_closed);
    uv_close((uv_handle_t *)&call->timer, handle_closed);
}

// -- Checks

// Whether guarantees with a time limit applied to the node from the start of the request until now.
static bool was_fault_free(const call_t *call)
{
    return call->was_fault_free && call->incarnation == call->node->incarnation &&
           soak_node_is_fault_free(call->node, ts_clock_now_us());
}

static const char *service_of(void *ctx, const char *instance_id)
{
    const soak_t *s = ctx;
    return g_hash_table_lookup(s->instances, instance_id);
}

// The merged response must consist of the shards of a single configuration version; each of them
// must have signed or be reported as missing.
static bool is_one_version(const call_t *call, uint64_t services, unsigned missing)
{
    uint64_t first = ((1ULL << SOAK_SHARDS) - 1);
    uint64_t second = first << SOAK_SHARDS;
    unsigned parts = (unsigned)__builtin_popcountll(services);
    bool is_subset = (services & ~first) == 0 || (services & ~second) == 0;
    return is_subset && parts + missing == SOAK_SHARDS;
}

static void check_gathered(const call_t *call)
{
    const ts_http_message_t *response = &call->response;
    const char *signatures = ts_http_message_find(response, NAME_PART_SIGNATURES);
    const char *missing = ts_http_message_find(response, NAME_MISSING_PARTS);
    soak_gathered_t gathered = {call->id, signatures == NULL ? "" : signatures,
                                missing == NULL ? 0 : (unsigned)atoi(missing), response->body->str,
                                response->body->len};
    uint64_t services = 0;
    const char *error = soak_check_gathered(&gathered, service_of, call->s, &services);
    if (error == NULL && !is_one_version(call, services, gathered.missing))
        error = "parts that are not those of one version";
    if (error != NULL)
        soak_report_violation(call->s, "MIXED", "%s answered %s with %s", call->node->name,
                              call->id, error);
}

// A forwarded response must be the unchanged response of one searcher.
static void check_forwarded(const call_t *call)
{
    const ts_http_message_t *response = &call->response;
    const char *signature = ts_http_message_find(response, NAME_SIGNATURE);
    char **words = g_strsplit(signature == NULL ? "" : signature, ".", 4);
    const char *service = g_strv_length(words) == 4 && strcmp(words[3], call->id) == 0
                              ? service_of(call->s, words[1])
                              : NULL;
    GString *expected = g_string_new(NULL);
    if (service != NULL)
        soak_compose_body(service, call->id, expected);
    if (service == NULL || expected->len != response->body->len ||
        memcmp(expected->str, response->body->str, expected->len) != 0)
        soak_report_violation(call->s, "MIXED", "%s answered %s with another's answer (%s)",
                              call->node->name, call->id,
                              signature == NULL ? "unsigned" : signature);
    g_string_free(expected, TRUE);
    g_strfreev(words);
}

static bool is_refusal(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// Each configuration version has a marker route of its own. A 404 on it is a violation if the
// version is still the newest and the gateway has shown before that it knows it, or has had the
// time to apply it.
static void check_marker(const call_t *call, unsigned status)
{
    soak_t *s = call->s;
    bool is_newest = call->version == s->version;
    if (status == 404 && is_newest && call->node->version_seen >= call->version &&
        call->incarnation == call->node->incarnation)
        soak_report_violation(s, "REVERTED", "%s had version %lu and answers 404 to %s",
                              call->node->name, (unsigned long)call->version, call->id);
    bool must_be_applied = call->sent_us > s->version_written_us + APPLY_US && is_newest;
    if (status == 404 && must_be_applied && was_fault_free(call))
        soak_report_violation(
            s, "CONFIG", "%s does not know version %lu after %lu ms", call->node->name,
            (unsigned long)call->version,
            (unsigned long)((call->sent_us - s->version_written_us) / TS_US_PER_MS));
    if (status != 404 && status != 0 && status != 503 &&
        call->incarnation == call->node->incarnation)
        call->node->version_seen = MAX(call->node->version_seen, call->version);
}

static void check_response(const call_t *call)
{
    soak_t *s = call->s;
    unsigned status = call->response.parser.status_code;
    soak_request_record_t *record = g_hash_table_lookup(s->request_records, call->id);
    if (is_refusal(status)) {
        record->was_refused = true;
        if (record->runs > 0 && !record->is_repeatable)
            soak_report_violation(s, "REFUSED", "%s answered %s with %u though it ran",
                                  call->node->name, call->id, status);
        bool is_quarantined = strstr(call->response.body->str, "quarantined") != NULL;
        if (is_quarantined && call->fatal_request == NULL)
            soak_report_violation(s, "INNOCENT", "%s holds %s, which ends nothing",
                                  call->node->name, call->id);
        bool has_time = ts_http_message_find(&call->response, NAME_RETRY_AFTER) != NULL;
        if (!has_time && !is_quarantined && status == 503)
            soak_report_violation(s, "RETRY_AFTER", "%s refused %s without a time to come back",
                                  call->node->name, call->id);
    }
    if (call->route == ROUTE_MARKER)
        check_marker(call, status);
    if (status == 401 || status == 429)
        soak_check_rejection(s, record, call->id, &call->response, was_fault_free(call));
    if (call->route != ROUTE_MARKER && status >= 400 && status < 500 && status != 401 &&
        !is_refusal(status))
        soak_report_violation(s, "DENIED", "%s answered %s with %u", call->node->name, call->id,
                              status);
    if (status < 200 || status > 299)
        return;
    if (call->route == ROUTE_ALL)
        check_gathered(call);
    else
        check_forwarded(call);
}

// The connection was closed without a response.
static void check_closed(const call_t *call)
{
    soak_node_t *node = call->node;
    bool is_cut_by_stop = node->is_stopping && call->incarnation == node->incarnation &&
                          call->was_undisturbed &&
                          soak_node_is_undisturbed_since(node, call->sent_us);
    if (call->is_connected && (was_fault_free(call) || is_cut_by_stop))
        soak_report_violation(call->s, "LOST", "%s closed %s without an answer after %lu ms%s",
                              node->name, call->id,
                              (unsigned long)((ts_clock_now_us() - call->sent_us) / TS_US_PER_MS),
                              is_cut_by_stop ? " while it stopped" : "");
}

static void check_overdue(uv_timer_t *timer)
{
    call_t *call = timer->data;
    if (was_fault_free(call))
        soak_report_violation(call->s, "HELD",
                              "%s has not answered %s half a second after its deadline",
                              call->node->name, call->id);
    finish_call(call, 0);
}

// -- Requests

static void allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[65536];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void read_bytes(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
    call_t *call = stream->data;
    if (call->is_finished)
        return;
    if (length > 0)
        (void)ts_http_message_feed(&call->response, buffer->base, (size_t)length);
    if (call->response.error != TS_OK) {
        soak_report_violation(call->s, "MIXED", "%s answered %s with bytes that are no answer",
                              call->node->name, call->id);
        finish_call(call, 0);
    } else if (call->response.is_complete) {
        check_response(call);
        finish_call(call, call->response.parser.status_code);
    } else if (length < 0) {
        check_closed(call);
        finish_call(call, 0);
    }
}

static char *compose_request(const call_t *call)
{
    static const char *const targets[] = {"/forward/x", "/once/x", "/all/x", "/placed/x"};
    char *marker = g_strdup_printf("/v%lu/x", (unsigned long)call->version);
    const char *target = call->route == ROUTE_MARKER ? marker : targets[call->route];
    target = call->fatal_request != NULL ? call->fatal_request->target : target;
    char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n%s\r\n",
                                 target, NAME_REQUEST_ID, call->id, NAME_DEADLINE_MS, DEADLINE_MS,
                                 call->credentials);
    g_free(marker);
    return text;
}

static void on_connected(uv_connect_t *request, int status)
{
    call_t *call = request->data;
    if (call->is_finished)
        return;
    if (status != 0) {
        finish_call(call, 0);
        return;
    }
    char *text = compose_request(call);
    uv_buf_t buffer = uv_buf_init(text, (unsigned)strlen(text));
    call->is_connected = true;
    uv_read_start((uv_stream_t *)&call->socket, allocate, read_bytes);
    (void)uv_try_write((uv_stream_t *)&call->socket, &buffer, 1);
    g_free(text);
}

static soak_route_t choose_route(soak_t *s)
{
    gint32 percent = g_rand_int_range(s->random, 0, 100);
    if (percent < 25)
        return ROUTE_FORWARD;
    if (percent < 35)
        return ROUTE_PLACED;
    if (percent < 55)
        return ROUTE_ONCE;
    return percent < 85 ? ROUTE_ALL : ROUTE_MARKER;
}

static void record_budget_request(call_t *call, unsigned service)
{
    g_array_append_val(call->s->budgets[service].requests, call->sent_us);
}

// Records a request for the checks. The gateway may still apply an older configuration; the budget
// counts the request for the services of the newest one.
static void record_request(call_t *call)
{
    soak_t *s = call->s;
    soak_request_record_t *record = g_new0(soak_request_record_t, 1);
    record->node = call->node;
    record->is_repeatable = call->route != ROUTE_ONCE && !s->options.simulates_bugs;
    record->is_region_restricted = call->route == ROUTE_PLACED;
    call->credentials =
        soak_choose_credentials(s, record, call->route == ROUTE_MARKER,
                                call->on_done != NULL || call->fatal_request != NULL);
    record->fatal_request = call->fatal_request;
    g_hash_table_insert(s->request_records, g_strdup(call->id), record);
    if (call->route == ROUTE_ALL) {
        unsigned first = soak_first_shard(s->version);
        for (unsigned i = 0; i < SOAK_SHARDS; i++)
            record_budget_request(call, first + i);
    } else {
        record_budget_request(call, soak_forward_service(s->version));
    }
}

static call_t *create_call(soak_t *s, soak_node_t *node, soak_route_t route)
{
    call_t *call = g_new0(call_t, 1);
    call->s = s;
    call->node = node;
    call->incarnation = node->incarnation;
    call->route = route;
    call->version = s->version;
    call->sent_us = ts_clock_now_us();
    call->was_fault_free = soak_node_is_fault_free(node, call->sent_us);
    call->was_undisturbed = soak_node_is_undisturbed(node, call->sent_us);
    call->open_handles = 2;
    g_snprintf(call->id, sizeof(call->id), "r%u", ++s->requests_sent);
    return call;
}

static void send_call(call_t *call)
{
    soak_t *s = call->s;
    const soak_node_t *node = call->node;
    struct sockaddr_in address;
    s->requests_in_flight++;
    ts_http_message_init(&call->response, false, HEAD_MAX, BODY_MAX);
    record_request(call);
    uv_tcp_init(&s->loop, &call->socket);
    uv_timer_init(&s->loop, &call->timer);
    call->socket.data = call;
    call->timer.data = call;
    call->connecting.data = call;
    uv_ip4_addr(node->ip, (int)node->callers_port, &address);
    uv_timer_start(&call->timer, check_overdue, DEADLINE_MS + OVERDUE_US / TS_US_PER_MS, 0);
    if (uv_tcp_connect(&call->connecting, &call->socket, (const struct sockaddr *)&address,
                       on_connected) != 0)
        finish_call(call, 0);
}

void soak_send_request(soak_t *s, soak_node_t *node, soak_done_t on_done)
{
    call_t *call = create_call(s, node, on_done == NULL ? choose_route(s) : ROUTE_ALL);
    call->on_done = on_done;
    send_call(call);
}

void soak_send_fatal_request(soak_t *s, soak_node_t *node, soak_fatal_request_t *fatal)
{
    bool is_gather = g_str_has_prefix(fatal->target, "/all/");
    call_t *call = create_call(s, node, is_gather ? ROUTE_ALL : ROUTE_FORWARD);
    call->fatal_request = fatal;
    fatal->attempts++;
    send_call(call);
}

bool soak_node_accepts_requests(const soak_node_t *node)
{
    return node->is_running &&
           (!node->is_stopping || ts_clock_now_us() - node->sigterm_us < REQUESTS_AFTER_SIGTERM_US);
}

static void tick(uv_timer_t *timer)
{
    soak_t *s = timer->data;
    if (s->is_load_ended) {
        uv_timer_stop(timer);
        return;
    }
    soak_node_t *node = &s->nodes[g_rand_int_range(s->random, 0, (gint32)s->options.nodes)];
    if (g_rand_int_range(s->random, 0, 1000) < REQUESTS_PER_1000_TICKS &&
        soak_node_accepts_requests(node))
        soak_send_request(s, node, NULL);
}

void soak_callers_start(soak_t *s)
{
    static uv_timer_t timer;
    uv_timer_init(&s->loop, &timer);
    timer.data = s;
    uv_timer_start(&timer, tick, TICK_MS, TICK_MS);
}
