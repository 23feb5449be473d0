/** Simulated searchers and platform. */
#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "records.h"
#include "sim_internal.h"
#include "tealspar/hash.h"
#include "tealspar/platform.h"

#define SEARCHER_LINK_US 150ULL /* one-way delay between node and searcher */
#define PLATFORM_DELAY_US 2000ULL
#define QUEUE_PER_SLOT 4U
#define DRAIN_GRACE_PERIOD_US (2ULL * TS_US_PER_S)
#define LEAVE_BOUND_US (3ULL * TS_US_PER_S) /* nodes must have stopped sending by then */
#define HEALTH_LAG_US (800ULL * TS_US_PER_MS)
#define PERCENT 100.0
#define HASH_SCALE 18446744073709551616.0
#define TWO_PI 6.283185307179586

/* A node's client for one searcher. */
struct ts_searcher {
    lab_sim_node_t *node;
    lab_sim_searcher_t *searcher;
};

typedef enum call_state { CALL_IN_TRANSIT, CALL_WAITING, CALL_RUNNING } call_state_t;

/* A request to a searcher; freed when its result is delivered or it ends without one. */
struct ts_searcher_call {
    lab_sim_node_t *node;
    lab_sim_searcher_t *searcher;
    ts_searcher_done_t done;
    void *context;
    call_state_t state;
    bool is_cancelled;
    ts_query_params_t *work;
    char *shard;
    uint64_t wanted_snapshot;
    ts_time_us_t sent_us;
    lab_sim_event_t *completion;
};

/* A result in transit back to the node. */
typedef struct result {
    ts_searcher_call_t *call;
    ts_subreply_t subreply;
} result_t;

static void run_waiting(lab_sim_searcher_t *searcher);

static void free_call(ts_searcher_call_t *call)
{
    ts_query_params_unref(call->work);
    g_free(call->shard);
    g_free(call);
}

static void free_result(void *context)
{
    result_t *result = context;
    ts_subreply_clear(&result->subreply);
    free_call(result->call);
    g_free(result);
}

static void deliver_result(void *context)
{
    result_t *result = context;
    ts_searcher_call_t *call = result->call;
    if (!call->is_cancelled) {
        result->subreply.service_us = (uint32_t)(call->searcher->sim->now_us - call->sent_us);
        call->done(call->context, &result->subreply);
        result->subreply.hits = NULL; /* ownership passed to the callback */
        result->subreply.hits_count = 0;
    }
    free_result(result);
}

static void send_result(ts_searcher_call_t *call, const ts_subreply_t *subreply)
{
    result_t *result = g_new0(result_t, 1);
    result->call = call;
    result->subreply = *subreply;
    lab_sim_schedule(call->searcher->sim, (int)call->node->index, SEARCHER_LINK_US, deliver_result,
                     free_result, result);
}

static void refuse(ts_searcher_call_t *call, ts_error_t error)
{
    ts_subreply_t subreply = {.error = error, .run = TS_EXECUTION_NONE};
    send_result(call, &subreply);
}

/* ---- service ---- */

static double hash_to_uniform(uint64_t hash)
{
    return ((double)hash + 1.0) / HASH_SCALE;
}

/*
 * The service time depends only on the request, shard and backend, and not on the order of events,
 * so that policies are compared under equal conditions.
 */
static double draw_service_us(const ts_searcher_call_t *call)
{
    const lab_sim_service_t *service = &call->searcher->sim->config.service;
    uint64_t hash = ts_hash_mix(ts_hash_text(call->work->request_id), call->searcher->backend->id);
    hash = ts_hash_mix(hash, ts_hash_text(call->shard));
    double first = hash_to_uniform(ts_hash_mix(hash, 1));
    double second = hash_to_uniform(ts_hash_mix(hash, 2));
    double normal = sqrt(-2.0 * log(first)) * cos(TWO_PI * second);
    double ms =
        service->mean_ms * exp(service->sigma * normal - service->sigma * service->sigma / 2);
    if (hash_to_uniform(ts_hash_mix(hash, 3)) * PERCENT < service->straggler_percent) {
        double span = service->straggler_factor[1] - service->straggler_factor[0];
        ms *= service->straggler_factor[0] + span * hash_to_uniform(ts_hash_mix(hash, 4));
    }
    return ms * call->searcher->slow_factor * (double)TS_US_PER_MS;
}

static void fill_hits(const ts_searcher_call_t *call, uint64_t snapshot, ts_subreply_t *subreply)
{
    const char *query = call->work->text != NULL ? call->work->text : call->work->key;
    unsigned total = lab_record_count(call->shard, query, snapshot);
    subreply->hits = g_new0(ts_hit_t, total);
    subreply->hits_count = MIN(total, call->work->limit);
    for (unsigned i = 0; i < subreply->hits_count; i++) {
        char id[128];
        char text[64];
        lab_record_id(id, sizeof(id), call->shard, snapshot, i);
        lab_record_text(text, sizeof(text), query, snapshot, i);
        subreply->hits[i].id = g_strdup(id);
        subreply->hits[i].text = g_strdup(text);
        subreply->hits[i].score = lab_record_score(call->shard, query, snapshot, i);
    }
    subreply->total = total;
}

static void end_service(void *context)
{
    ts_searcher_call_t *call = context;
    lab_sim_searcher_t *searcher = call->searcher;
    searcher->running--;
    call->completion = NULL;
    if (call->is_cancelled) {
        free_call(call);
    } else if (searcher->state == LAB_SIM_DEAD) {
        ts_subreply_t lost = {.error = TS_E_IO, .run = TS_EXECUTION_POSSIBLE};
        send_result(call, &lost);
    } else {
        bool has_previous = searcher->previous_snapshot != 0 &&
                            call->wanted_snapshot == searcher->previous_snapshot;
        uint64_t snapshot = has_previous ? searcher->previous_snapshot : searcher->snapshot;
        ts_subreply_t subreply = {.run = TS_EXECUTION_COMPLETED, .snapshot = snapshot};
        fill_hits(call, snapshot, &subreply);
        send_result(call, &subreply);
    }
    run_waiting(searcher);
}

static void drop_call(void *context)
{
    free_call(context);
}

static void begin_service(ts_searcher_call_t *call)
{
    lab_sim_searcher_t *searcher = call->searcher;
    lab_sim_t *sim = searcher->sim;
    double service_us = draw_service_us(call);
    lab_sim_execution_t execution = {
        .request_id = call->work->request_id,
        .backend = searcher->backend->name,
        .is_unrepeatable = call->work->unrepeatable,
    };
    call->state = CALL_RUNNING;
    searcher->running++;
    sim->requests++;
    sim->work_us += service_us;
    if (sim->observer.on_execution != NULL) {
        sim->observer.on_execution(sim->observer.context, &execution);
    }
    call->completion = lab_sim_schedule(sim, LAB_SIM_NO_NODE, (ts_time_us_t)service_us, end_service,
                                        drop_call, call);
}

static void run_waiting(lab_sim_searcher_t *searcher)
{
    while (searcher->running < searcher->backend->slots && !g_queue_is_empty(searcher->waiting)) {
        begin_service(g_queue_pop_head(searcher->waiting));
    }
}

/* ---- arrival ---- */

static bool holds_shard(const lab_sim_searcher_t *searcher, const char *shard)
{
    for (unsigned i = 0; i < searcher->backend->shards_count; i++) {
        if (strcmp(searcher->backend->shards[i], shard) == 0) {
            return true;
        }
    }
    return false;
}

static ts_error_t check_refusal(const ts_searcher_call_t *call)
{
    const lab_sim_searcher_t *searcher = call->searcher;
    ts_time_us_t span_us = searcher->sim->now_us - searcher->state_since_us;
    bool is_full = searcher->running >= searcher->backend->slots &&
                   searcher->waiting->length >= searcher->backend->slots * QUEUE_PER_SLOT;
    if (searcher->state == LAB_SIM_DEAD) {
        return TS_E_CONNECT;
    }
    if (searcher->state == LAB_SIM_SHEDDING || is_full) {
        return TS_E_SHEDDING;
    }
    if (searcher->state == LAB_SIM_DRAINING && span_us > DRAIN_GRACE_PERIOD_US) {
        return TS_E_DRAINING;
    }
    return holds_shard(searcher, call->shard) ? TS_OK : TS_E_WRONG_SHARD;
}

static void report_after_leave(const ts_searcher_call_t *call)
{
    const lab_sim_searcher_t *searcher = call->searcher;
    const lab_sim_observer_t *observer = &searcher->sim->observer;
    bool has_left = searcher->state == LAB_SIM_DRAINING &&
                    searcher->sim->now_us - searcher->state_since_us > LEAVE_BOUND_US;
    if (has_left && observer->on_after_leave != NULL) {
        observer->on_after_leave(observer->context, call->work->request_id,
                                 searcher->backend->name);
    }
}

static void handle_arrival(void *context)
{
    ts_searcher_call_t *call = context;
    if (call->is_cancelled) {
        free_call(call);
        return;
    }
    report_after_leave(call);
    ts_error_t error = check_refusal(call);
    if (error != TS_OK) {
        refuse(call, error);
    } else if (call->searcher->running < call->searcher->backend->slots) {
        begin_service(call);
    } else {
        call->state = CALL_WAITING;
        g_queue_push_tail(call->searcher->waiting, call);
    }
}

/* ---- searcher client plug-in ---- */

static ts_error_t open_searcher(ts_searcher_t **opened, const ts_node_t *node, const char *address,
                                uint32_t connections)
{
    ts_searcher_t *searcher = g_new0(ts_searcher_t, 1);
    searcher->node = lab_sim_node_of(node);
    lab_sim_t *sim = searcher->node->sim;
    for (unsigned i = 0; i < sim->declarations->backends_count; i++) {
        if (strcmp(sim->searchers[i].backend->address, address) == 0) {
            searcher->searcher = &sim->searchers[i];
        }
    }
    g_assert(searcher->searcher != NULL);
    *opened = searcher;
    return TS_OK;
}

static void close_searcher(ts_searcher_t *searcher)
{
    g_free(searcher);
}

static ts_searcher_call_t *search(ts_searcher_t *searcher, const ts_query_params_t *work,
                                  const char *shard, uint64_t wanted_snapshot, ts_time_us_t left_us,
                                  ts_searcher_done_t done, void *context)
{
    ts_searcher_call_t *call = g_new0(ts_searcher_call_t, 1);
    call->node = searcher->node;
    call->searcher = searcher->searcher;
    call->done = done;
    call->context = context;
    call->work = ts_query_params_ref((ts_query_params_t *)work);
    call->shard = g_strdup(shard);
    call->wanted_snapshot = wanted_snapshot;
    call->sent_us = searcher->node->sim->now_us;
    lab_sim_schedule(searcher->node->sim, LAB_SIM_NO_NODE, SEARCHER_LINK_US, handle_arrival,
                     drop_call, call);
    return call;
}

/* Frees the slot at once, except for an unrepeatable request, which runs to completion. */
static void cancel(ts_searcher_call_t *call)
{
    lab_sim_searcher_t *searcher = call->searcher;
    call->is_cancelled = true;
    if (call->state == CALL_WAITING) {
        g_queue_remove(searcher->waiting, call);
        free_call(call);
    } else if (call->completion != NULL && !call->work->unrepeatable) {
        double left_us = (double)(call->completion->due_us - searcher->sim->now_us);
        searcher->sim->work_us -= left_us;
        call->completion->is_cancelled = true;
        searcher->running--;
        free_call(call);
        run_waiting(searcher);
    }
}

typedef struct health_call {
    lab_sim_searcher_t *searcher;
    ts_searcher_health_done_t done;
    void *context;
} health_call_t;

static void answer_health(void *context)
{
    health_call_t *call = context;
    const lab_sim_searcher_t *searcher = call->searcher;
    bool is_known = searcher->sim->now_us - searcher->state_since_us > HEALTH_LAG_US;
    ts_searcher_health_t health = TS_HEALTH_SERVING;
    if (searcher->state == LAB_SIM_DEAD) {
        health = TS_HEALTH_UNREACHABLE;
    } else if (searcher->state == LAB_SIM_DRAINING && is_known) {
        health = TS_HEALTH_DRAINING;
    }
    call->done(call->context, health);
    g_free(call);
}

static void check_health(ts_searcher_t *searcher, ts_searcher_health_done_t done, void *context)
{
    health_call_t *call = g_new0(health_call_t, 1);
    call->searcher = searcher->searcher;
    call->done = done;
    call->context = context;
    lab_sim_schedule(searcher->node->sim, (int)searcher->node->index, 2 * SEARCHER_LINK_US,
                     answer_health, g_free, call);
}

static const ts_searcher_client_t client = {open_searcher, close_searcher, search, cancel,
                                            check_health};
TS_REGISTER_PLUGIN(sim_client, TS_PLUGIN_SEARCHER_CLIENT, "simulated", 1, &client,
                   "simulated searchers")

/* ---- searcher faults ---- */

void lab_sim_set_searcher_state(lab_sim_t *sim, unsigned index, lab_sim_searcher_state_t state)
{
    if (sim->searchers[index].state != state) {
        sim->searchers[index].state = state;
        sim->searchers[index].state_since_us = sim->now_us;
    }
}

void lab_sim_slow_searcher(lab_sim_t *sim, unsigned searcher, double factor)
{
    sim->searchers[searcher].slow_factor = factor;
}

void lab_sim_set_snapshot(lab_sim_t *sim, unsigned index, uint64_t snapshot, bool keep_previous)
{
    lab_sim_searcher_t *searcher = &sim->searchers[index];
    searcher->previous_snapshot = keep_previous ? searcher->snapshot : 0;
    searcher->snapshot = snapshot;
}

/* ---- platform plug-in ---- */

typedef struct platform_call {
    lab_sim_node_t *node;
    uint64_t have; /* version that the node has; a document is sent only if it differs */
    ts_platform_document_t document_done;
    ts_platform_machines_t machines_done;
    void *context;
} platform_call_t;

uint64_t lab_sim_parse_version(const char *text)
{
    const char *line = strstr(text, "version:");
    return line == NULL ? 0 : strtoull(line + strlen("version:"), NULL, 10);
}

static void answer_document(void *context)
{
    platform_call_t *call = context;
    const char *text = call->node->sim->platform_text;
    if (text == NULL) {
        call->document_done(call->context, TS_E_CONNECT, NULL, 0);
    } else if (lab_sim_parse_version(text) == call->have) {
        call->document_done(call->context, TS_OK, NULL, 0);
    } else {
        call->document_done(call->context, TS_OK, text, strlen(text));
    }
    g_free(call);
}

static void answer_machines(void *context)
{
    platform_call_t *call = context;
    lab_sim_t *sim = call->node->sim;
    if (sim->platform_text == NULL) {
        call->machines_done(call->context, TS_E_CONNECT, NULL);
        g_free(call);
        return;
    }
    ts_machines_message_t *machines = ts_machines_message();
    for (unsigned i = 0; i < sim->node_count; i++) {
        const ts_settings_t *settings = &sim->nodes[i].settings;
        ts_machines_message_add(machines, settings->name, settings->advertise, settings->zone,
                                false);
    }
    call->machines_done(call->context, TS_OK, machines);
    g_free(call);
}

static ts_error_t open_platform(void **handle, const ts_node_t *node)
{
    *handle = lab_sim_node_of(node);
    return TS_OK;
}

static platform_call_t *make_call(lab_sim_node_t *node, void *context)
{
    platform_call_t *call = g_new0(platform_call_t, 1);
    call->node = node;
    call->context = context;
    return call;
}

static void read_document(void *handle, uint64_t have, ts_platform_document_t done, void *context)
{
    lab_sim_node_t *node = handle;
    platform_call_t *call = make_call(node, context);
    call->have = have;
    call->document_done = done;
    lab_sim_schedule(node->sim, (int)node->index, PLATFORM_DELAY_US, answer_document, g_free, call);
}

static void read_machines(void *handle, ts_platform_machines_t done, void *context)
{
    lab_sim_node_t *node = handle;
    platform_call_t *call = make_call(node, context);
    call->machines_done = done;
    lab_sim_schedule(node->sim, (int)node->index, PLATFORM_DELAY_US, answer_machines, g_free, call);
}

static const ts_platform_t platform = {open_platform, read_document, read_machines};
TS_REGISTER_PLUGIN(sim_platform, TS_PLUGIN_PLATFORM, "simulated", 1, &platform,
                   "simulated platform")
