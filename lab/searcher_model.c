/** Model of one stand-in searcher. */
#include "searcher_model.h"

#include <gsl/gsl_randist.h>
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "records.h"
#include "tealspar/clock.h"

#define HEALTH_LAG_MS 800
#define LOAD_LAG_MS 500
#define DRAIN_GRACE_PERIOD_US (2ULL * TS_US_PER_S)
#define QUEUE_PER_SLOT 4U
#define COLD_START_FACTOR 4.0
#define DEFAULT_LIMIT 10
#define MS_PER_S 1000.0

static const char *const state_names[] = {"serving", "starting", "draining", "shedding", "dead"};

/* ---- journal ---- */

/*
 * Line: "WALL_MS BACKEND EVENT ID SHARD SNAPSHOT NUMBER". NUMBER is 1 in "run" if the request is
 * unrepeatable, 1 in "cancel" if it was running, and in "after_leave" the milliseconds since
 * draining began; 0 otherwise.
 */

static void write_journal(const lab_searcher_t *searcher, const char *event, const char *id,
                          const char *shard, uint64_t snapshot, int64_t number)
{
    if (searcher->journal != NULL) {
        fprintf(searcher->journal, "%" PRId64 " %s %s %s %s %" PRIu64 " %" PRId64 "\n",
                ts_clock_wall_ms(), searcher->backend->name, event, id, shard, snapshot, number);
    }
}

/* ---- replies ---- */

static void reply_json(ts_http_exchange_t *exchange, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    ts_http_reply(exchange, status, "application/json", text, strlen(text), 0);
    free(text);
    json_decref(body);
}

static void refuse(ts_http_exchange_t *exchange, int status, const char *reason)
{
    reply_json(exchange, status, json_pack("{s:s, s:i}", "error", reason, "retry_after_ms", 100));
}

/* ---- service ---- */

static void run_waiting(lab_searcher_t *searcher);

static void free_request(uv_handle_t *handle)
{
    lab_request_t *request = handle->data;
    g_free(request->id);
    g_free(request->shard);
    g_free(request->query);
    g_free(request);
}

static void end_request(lab_request_t *request)
{
    lab_searcher_t *searcher = request->searcher;
    if (request->is_running) {
        g_ptr_array_remove_fast(searcher->running, request);
    } else {
        g_queue_remove(searcher->waiting, request);
    }
    uv_close((uv_handle_t *)&request->timer, free_request);
    run_waiting(searcher);
}

static void handle_disconnect(void *context)
{
    lab_request_t *request = context;
    write_journal(request->searcher, "cancel", request->id, request->shard, 0, request->is_running);
    request->is_abandoned = true;
    if (request->is_running && request->is_unrepeatable) {
        return; /* an unrepeatable request cannot be undone, so it runs to completion */
    }
    end_request(request);
}

static uint64_t choose_snapshot(const lab_request_t *request)
{
    const lab_searcher_t *searcher = request->searcher;
    bool has_previous =
        searcher->previous_snapshot != 0 && request->wanted_snapshot == searcher->previous_snapshot;
    return has_previous ? searcher->previous_snapshot : searcher->snapshot;
}

static void finish_service(uv_timer_t *timer)
{
    lab_request_t *request = timer->data;
    if (!request->is_abandoned) {
        reply_json(request->exchange, 200,
                   lab_record_answer(request->shard, request->query, choose_snapshot(request),
                                     request->limit));
    }
    end_request(request);
}

static double draw_service_ms(lab_searcher_t *searcher)
{
    const lab_service_t *service = &searcher->service;
    /* mean of a log-normal distribution: exp(zeta + sigma^2 / 2) = mean_ms */
    double zeta = log(service->mean_ms) - service->sigma * service->sigma / 2;
    double ms = gsl_ran_lognormal(searcher->random, zeta, service->sigma);
    if (gsl_rng_uniform(searcher->random) * 100.0 < service->straggler_percent) {
        ms *= gsl_ran_flat(searcher->random, service->straggler_factor[0],
                           service->straggler_factor[1]);
    }
    bool is_cold = searcher->cold_ms > 0 && ts_clock_now_us() - searcher->state_since_us <
                                                (ts_time_us_t)(searcher->cold_ms * MS_PER_S);
    return ms * searcher->slow_factor * (is_cold ? COLD_START_FACTOR : 1.0);
}

static void run_request(lab_request_t *request)
{
    lab_searcher_t *searcher = request->searcher;
    request->is_running = true;
    g_ptr_array_add(searcher->running, request);
    searcher->max_running = MAX(searcher->max_running, searcher->running->len);
    write_journal(searcher, "run", request->id, request->shard, searcher->snapshot,
                  request->is_unrepeatable);
    double ms = draw_service_ms(searcher);
    /* libuv timers have a resolution of 1 ms: rounding up or down at random preserves the mean */
    double fraction = ms - floor(ms);
    uint64_t timeout_ms = (uint64_t)ms + (gsl_rng_uniform(searcher->random) < fraction ? 1 : 0);
    uv_timer_start(&request->timer, finish_service, timeout_ms, 0);
}

/* Refuses a queued request after its deadline without running it: the client has given up. */
static void refuse_expired(lab_request_t *request)
{
    write_journal(request->searcher, "late", request->id, request->shard, 0, 0);
    refuse(request->exchange, 503, "past_deadline");
    uv_close((uv_handle_t *)&request->timer, free_request);
}

static void run_waiting(lab_searcher_t *searcher)
{
    while (searcher->running->len < searcher->backend->slots &&
           !g_queue_is_empty(searcher->waiting)) {
        lab_request_t *request = g_queue_pop_head(searcher->waiting);
        if (request->deadline_us <= ts_clock_now_us()) {
            refuse_expired(request);
        } else {
            run_request(request);
        }
    }
}

/* ---- requests ---- */

static bool holds_shard(const lab_searcher_t *searcher, const char *shard)
{
    return shard != NULL && g_strv_contains((const char *const *)searcher->shards, shard);
}

static lab_request_t *create_request(lab_searcher_t *searcher, ts_http_exchange_t *exchange,
                                     const json_t *root)
{
    lab_request_t *request = g_new0(lab_request_t, 1);
    const char *text = json_string_value(json_object_get(root, "text"));
    const char *key = json_string_value(json_object_get(root, "key"));
    const char *id = json_string_value(json_object_get(root, "id"));
    json_int_t limit = json_integer_value(json_object_get(root, "limit"));
    request->searcher = searcher;
    request->exchange = exchange;
    request->id = g_strdup(id == NULL ? "-" : id);
    request->shard = g_strdup(json_string_value(json_object_get(root, "shard")));
    request->query = g_strdup(text != NULL ? text : (key != NULL ? key : ""));
    request->limit = limit > 0 ? (unsigned)limit : DEFAULT_LIMIT;
    request->wanted_snapshot = (uint64_t)json_integer_value(json_object_get(root, "snapshot"));
    json_int_t deadline_ms = json_integer_value(json_object_get(root, "deadline_ms"));
    request->deadline_us = deadline_ms <= 0
                               ? UINT64_MAX
                               : ts_clock_now_us() + (ts_time_us_t)deadline_ms * TS_US_PER_MS;
    request->is_unrepeatable = json_is_true(json_object_get(root, "unrepeatable"));
    uv_timer_init(searcher->loop, &request->timer);
    request->timer.data = request;
    return request;
}

/* Returns the error with which the current state refuses requests, or NULL if it accepts them. */
static const char *find_state_refusal(const lab_searcher_t *searcher)
{
    ts_time_us_t span_us = ts_clock_now_us() - searcher->state_since_us;
    switch (searcher->state) {
    case LAB_STARTING:
        return "starting";
    case LAB_SHEDDING:
        return "shedding";
    case LAB_DRAINING:
        return span_us > DRAIN_GRACE_PERIOD_US ? "draining" : NULL;
    default:
        return NULL;
    }
}

static void handle_search(lab_searcher_t *searcher, ts_http_exchange_t *exchange,
                          const ts_http_request_t *http)
{
    json_t *root = json_loadb(http->body, http->body_length, 0, NULL);
    const char *shard = json_string_value(json_object_get(root, "shard"));
    const char *refusal = find_state_refusal(searcher);
    if (searcher->state == LAB_DRAINING) {
        const char *id = json_string_value(json_object_get(root, "id"));
        int64_t since_ms = (int64_t)((ts_clock_now_us() - searcher->state_since_us) / TS_US_PER_MS);
        write_journal(searcher, "after_leave", id == NULL ? "-" : id, "-", 0, since_ms);
    }
    if (refusal == NULL && searcher->running->len >= searcher->backend->slots &&
        searcher->waiting->length >= (guint)(searcher->backend->slots * QUEUE_PER_SLOT)) {
        refusal = "shedding";
    }
    if (root == NULL || shard == NULL) {
        refuse(exchange, 400, "bad_request");
    } else if (refusal != NULL) {
        refuse(exchange, 503, refusal);
    } else if (!holds_shard(searcher, shard)) {
        refuse(exchange, 404, "wrong_shard");
    } else {
        lab_request_t *request = create_request(searcher, exchange, root);
        ts_http_set_abandoned_callback(exchange, handle_disconnect, request);
        if (searcher->running->len < searcher->backend->slots) {
            run_request(request);
        } else {
            write_journal(searcher, "over_slots", request->id, shard, 0, 0);
            g_queue_push_tail(searcher->waiting, request);
        }
    }
    json_decref(root);
}

/* ---- control ---- */

static void report_state(uv_timer_t *timer)
{
    lab_searcher_t *searcher = timer->data;
    searcher->reported = searcher->state;
}

/*
 * The load endpoint reports outdated values on purpose: those of the sample before the last, which
 * are LOAD_LAG_MS to about twice that old if polled continuously.
 */
static void refresh_load(lab_searcher_t *searcher)
{
    ts_time_us_t now_us = ts_clock_now_us();
    if (now_us - searcher->load_sampled_us > LOAD_LAG_MS * TS_US_PER_MS) {
        searcher->load_sampled_us = now_us;
        searcher->reported_running = searcher->sampled_running;
        searcher->reported_waiting = searcher->sampled_waiting;
        searcher->sampled_running = searcher->running->len;
        searcher->sampled_waiting = searcher->waiting->length;
    }
}

static void handle_load(lab_searcher_t *searcher, ts_http_exchange_t *exchange)
{
    refresh_load(searcher);
    reply_json(exchange, 200,
               json_pack("{s:i, s:i, s:i}", "slots", (int)searcher->backend->slots, "running",
                         (int)searcher->reported_running, "waiting",
                         (int)searcher->reported_waiting));
}

static void set_state(lab_searcher_t *searcher, lab_searcher_state_t state)
{
    searcher->state = state;
    searcher->state_since_us = ts_clock_now_us();
    uv_timer_start(&searcher->report_timer, report_state, HEALTH_LAG_MS, 0);
    write_journal(searcher, state_names[state], "-", "-", searcher->snapshot, 0);
}

static void set_state_by_name(lab_searcher_t *searcher, const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(state_names); i++) {
        if (strcmp(state_names[i], name) == 0) {
            set_state(searcher, (lab_searcher_state_t)i);
        }
    }
}

static void set_shards(lab_searcher_t *searcher, const json_t *names)
{
    g_strfreev(searcher->shards);
    searcher->shards = g_new0(char *, json_array_size(names) + 1);
    for (size_t i = 0; i < json_array_size(names); i++) {
        searcher->shards[i] = g_strdup(json_string_value(json_array_get(names, i)));
    }
}

static void apply_control(lab_searcher_t *searcher, const json_t *root)
{
    const json_t *value = json_object_get(root, "snapshot");
    if (json_is_integer(value)) {
        bool keep_previous = json_is_true(json_object_get(root, "keep_previous"));
        searcher->previous_snapshot = keep_previous ? searcher->snapshot : 0;
        searcher->snapshot = (uint64_t)json_integer_value(value);
        write_journal(searcher, "snapshot", "-", "-", searcher->snapshot, 0);
    }
    value = json_object_get(root, "slow_factor");
    if (json_is_number(value)) {
        searcher->slow_factor = json_number_value(value);
    }
    value = json_object_get(root, "cold_ms");
    if (json_is_number(value)) {
        searcher->cold_ms = json_number_value(value);
    }
    value = json_object_get(root, "shards");
    if (json_is_array(value)) {
        set_shards(searcher, value);
    }
    value = json_object_get(root, "state");
    if (json_is_string(value)) {
        set_state_by_name(searcher, json_string_value(value));
    }
}

static void handle_control(lab_searcher_t *searcher, ts_http_exchange_t *exchange,
                           const ts_http_request_t *http)
{
    json_t *root = json_loadb(http->body, http->body_length, 0, NULL);
    apply_control(searcher, root);
    json_decref(root);
    reply_json(exchange, 200,
               json_pack("{s:s, s:I, s:i, s:i}", "state", state_names[searcher->state], "snapshot",
                         (json_int_t)searcher->snapshot, "most_running", (int)searcher->max_running,
                         "connections", (int)ts_http_server_connections(searcher->server)));
}

static void handle_health(const lab_searcher_t *searcher, ts_http_exchange_t *exchange)
{
    const char *state = state_names[searcher->reported];
    /* a shedding searcher is healthy: shedding shows only in its replies */
    const char *health = searcher->reported == LAB_SHEDDING ? "serving" : state;
    reply_json(
        exchange, 200,
        json_pack("{s:s, s:I}", "state", health, "snapshot", (json_int_t)searcher->snapshot));
}

void lab_searcher_handle(void *context, ts_http_exchange_t *exchange, const ts_http_request_t *http)
{
    lab_searcher_t *searcher = context;
    if (http->path_length == strlen("/control") && memcmp(http->path, "/control", 8) == 0) {
        handle_control(searcher, exchange, http);
    } else if (searcher->state == LAB_DEAD) {
        ts_http_abort(exchange);
    } else if (http->path_length == strlen("/health") && memcmp(http->path, "/health", 7) == 0) {
        handle_health(searcher, exchange);
    } else if (http->path_length == strlen("/load") && memcmp(http->path, "/load", 5) == 0) {
        handle_load(searcher, exchange);
    } else {
        handle_search(searcher, exchange, http);
    }
}

lab_searcher_t *lab_searcher_create(uv_loop_t *loop, const ts_backend_t *backend,
                                    const lab_service_t *service, uint64_t seed, FILE *journal)
{
    lab_searcher_t *searcher = g_new0(lab_searcher_t, 1);
    searcher->loop = loop;
    searcher->backend = backend;
    searcher->service = *service;
    searcher->slow_factor = 1.0;
    searcher->snapshot = 1;
    searcher->journal = journal;
    searcher->running = g_ptr_array_new();
    searcher->waiting = g_queue_new();
    searcher->random = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(searcher->random, (unsigned long)(seed ^ backend->id));
    searcher->shards = g_new0(char *, backend->shards_count + 1);
    for (unsigned i = 0; i < backend->shards_count; i++) {
        searcher->shards[i] = g_strdup(backend->shards[i]);
    }
    uv_timer_init(loop, &searcher->report_timer);
    searcher->report_timer.data = searcher;
    return searcher;
}
