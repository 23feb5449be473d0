/** The broker task: ownership of backends, and the subrequests to them. */
#include <inttypes.h>
#include <string.h>

#include "broker_internal.h"
#include "tealspar/counters.h"
#include "tealspar/declarations.h"
#include "tealspar/log.h"
#include "tealspar/node.h"

#define TICK_MS 10
/* A longer gap between two runs of the broker is a stall of the process. */
#define STALL_THRESHOLD_US (1000ULL * TS_US_PER_MS)
/* The lateness of a run of the broker is excluded from service times if it exceeds this. */
#define LATE_RUN_MIN_US (10ULL * TS_US_PER_MS)
/* Time after a stall during which nothing unrepeatable is dispatched. */
#define STALL_FENCE_US (3ULL * TS_US_PER_S)
/* Tick period without jobs, when only health checks can become due. */
#define IDLE_TICK_MS 100
#define IDEMPOTENCY_RETENTION_US (600ULL * TS_US_PER_S)
/* Older ids are not dispatched: their entries may already have been removed from the table. */
#define ID_AGE_MAX_MS 300000
/* Maximum assumed difference between the wall clocks of two machines. */
#define CLOCK_SKEW_MAX_MS 2000
/*
 * An owner dispatches only ids that were issued at least this long after it became the owner. By
 * then a previous owner that was partitioned has noticed it and dispatches nothing unrepeatable.
 */
#define OWNER_FENCE_MS 5000
/*
 * A stopping owner keeps serving for this long, so that fronts that do not know of the stop yet are
 * not refused. Meanwhile the new owner uses half of the slots.
 */
#define HANDOVER_MS 1500

static void tick(ts_timer_t *timer);
static void release_all_backends(ts_timer_t *timer);
static void set_tick_period(ts_broker_t *broker, uint64_t period_ms);

/* ---- replies ---- */

static void free_job(ts_job_t *job)
{
    ts_query_params_unref(job->work);
    g_hash_table_remove(job->broker->jobs, &job->part.counter);
}

/* Stores the outcome of a dispatched unrepeatable request, or removes its entry if it was not
   executed. */
static void update_idempotency(const ts_job_t *job, const ts_subreply_t *subreply)
{
    if (!job->work->unrepeatable) {
        return;
    }
    if (subreply->run == TS_EXECUTION_NONE) {
        ts_idempotency_release(job->broker->idempotency, job->work->request_id);
    } else if (subreply->run == TS_EXECUTION_COMPLETED) {
        ts_idempotency_finish(job->broker->idempotency, job->work->request_id, subreply,
                              ts_clock_now_us());
    }
}

static void send_subreply(ts_job_t *job, ts_subreply_t *subreply)
{
    ts_subreply_message_t *message = ts_subreply_message(job->peer);
    subreply->counter = job->part.counter;
    if (job->owned != NULL) {
        subreply->slots_in_use = job->owned->running->len;
        subreply->queue_length = job->owned->waiting->len;
    }
    message->subreply = *subreply; /* takes over the hits */
    bool is_local = job->peer == TS_PEER_SELF;
    ts_task_send(is_local ? job->broker->front : job->broker->mesh, &message->head);
}

void ts_job_reply(ts_job_t *job, ts_subreply_t *subreply)
{
    update_idempotency(job, subreply);
    send_subreply(job, subreply);
    free_job(job);
}

void ts_job_refuse(ts_job_t *job, ts_error_t error)
{
    ts_subreply_t subreply = {.error = error, .run = TS_EXECUTION_NONE};
    ts_count(TS_COUNTER_BROKER_REFUSED, 1);
    ts_count_error(error);
    ts_job_reply(job, &subreply);
}

/* Replies without changing the idempotency table, as this job has not dispatched the request. */
static void reply_undispatched(ts_job_t *job, ts_subreply_t *subreply)
{
    send_subreply(job, subreply);
    free_job(job);
}

static void refuse_undispatched(ts_job_t *job, ts_error_t error)
{
    ts_subreply_t subreply = {.error = error, .run = TS_EXECUTION_NONE};
    ts_count(TS_COUNTER_BROKER_REFUSED, 1);
    ts_count_error(error);
    reply_undispatched(job, &subreply);
}

static void reply_unknown(ts_job_t *job, ts_error_t error)
{
    ts_subreply_t subreply = {.error = error, .run = TS_EXECUTION_POSSIBLE};
    ts_count_error(error);
    reply_undispatched(job, &subreply);
}

/*
 * Replies that this owner has not executed the request but an earlier owner may have. The front
 * decides on the outcome: a request that was never sent before has not been executed, and its
 * caller may retry when this owner accepts new ids.
 */
static void reply_not_run_here(ts_job_t *job, ts_error_t error, int64_t since_ms)
{
    int64_t wait_ms = since_ms + OWNER_FENCE_MS + CLOCK_SKEW_MAX_MS - ts_clock_wall_ms();
    ts_subreply_t subreply = {
        .error = error, .run = TS_EXECUTION_NOT_HERE, .retry_after_ms = (uint32_t)MAX(wait_ms, 0)};
    ts_count_error(error);
    reply_undispatched(job, &subreply);
}

/* ---- unrepeatable requests ---- */

/* Start of this node's uninterrupted ownership of the job's backend, wall clock. */
static int64_t exclusive_owner_since_ms(const ts_job_t *job)
{
    return MAX(job->owned->owned_since_ms, job->broker->exclusive_since_ms);
}

/* Returns TS_OK only if no other owner can have dispatched the id, and an earlier dispatch by this
   one would still be in the idempotency table. */
static ts_error_t rule_out_earlier_dispatch(const ts_job_t *job)
{
    const ts_broker_t *broker = job->broker;
    int64_t now_ms = ts_clock_wall_ms();
    int64_t issued_ms = job->work->issued_at_ms;
    if (broker->view == NULL || !broker->view->has_quorum || job->owned->is_foreign) {
        return TS_E_NO_QUORUM;
    }
    if (ts_clock_now_us() < broker->fence_until_us) {
        return TS_E_NO_QUORUM;
    }
    if (issued_ms > now_ms + CLOCK_SKEW_MAX_MS || issued_ms < now_ms - ID_AGE_MAX_MS) {
        return TS_E_OWNER_CHANGED;
    }
    if (issued_ms < exclusive_owner_since_ms(job) + OWNER_FENCE_MS + CLOCK_SKEW_MAX_MS) {
        return TS_E_OWNER_CHANGED;
    }
    return TS_OK;
}

static void log_dispatch(const ts_job_t *job, ts_error_t error)
{
    bool is_accepted = error == TS_OK;
    ts_log(is_accepted ? TS_EVENT_DISPATCH_TAKEN : TS_EVENT_DISPATCH_REFUSED,
           "id=%s backend=%s error=%s peer=%016" PRIx64, job->work->request_id,
           job->owned == NULL ? "-" : job->owned->name, ts_error_name(error), job->peer);
}

static void submit_unrepeatable(ts_job_t *job)
{
    ts_broker_t *broker = job->broker;
    ts_subreply_t outcome = {0};
    ts_error_t error = rule_out_earlier_dispatch(job);
    log_dispatch(job, error);
    if (error != TS_OK) {
        reply_not_run_here(job, error, exclusive_owner_since_ms(job));
        return;
    }
    switch (ts_idempotency_admit(broker->idempotency, job->work, ts_clock_now_us())) {
    case TS_IDEMPOTENCY_RUN:
        ts_owned_submit(job->owned, job);
        break;
    case TS_IDEMPOTENCY_REPLAY:
        ts_count(TS_COUNTER_IDEMPOTENCY_REPLAYED, 1);
        ts_idempotency_replay(broker->idempotency, job->work->request_id, &outcome);
        reply_undispatched(job, &outcome);
        break;
    case TS_IDEMPOTENCY_UNKNOWN:
        reply_unknown(job, TS_E_DEADLINE);
        break;
    case TS_IDEMPOTENCY_REUSED:
        refuse_undispatched(job, TS_E_ID_REUSED);
        break;
    }
}

/* ---- subrequests ---- */

static ts_job_t *create_job(ts_broker_t *broker, const ts_subrequests_message_t *message,
                            const ts_subrequest_t *part)
{
    ts_job_t *job = g_new0(ts_job_t, 1);
    job->broker = broker;
    job->peer = message->peer;
    job->part = *part;
    job->work = ts_query_params_ref(message->work);
    job->received_us = ts_clock_now_us();
    g_hash_table_insert(broker->jobs, &job->part.counter, job);
    set_tick_period(broker, TICK_MS);
    return job;
}

static void submit_part(ts_broker_t *broker, const ts_subrequests_message_t *message,
                        const ts_subrequest_t *part)
{
    if (g_hash_table_contains(broker->jobs, &part->counter)) {
        return; /* duplicate message */
    }
    ts_job_t *job = create_job(broker, message, part);
    job->owned = g_hash_table_lookup(broker->owned, &part->backend);
    if (job->owned == NULL) {
        if (job->work->unrepeatable)
            log_dispatch(job, TS_E_NOT_OWNER);
        refuse_undispatched(job, TS_E_NOT_OWNER);
        return;
    }
    if (ts_owned_find_shard(job->owned, part->shard) == NULL) {
        refuse_undispatched(job, TS_E_WRONG_SHARD);
        return;
    }
    if (job->work->unrepeatable) {
        submit_unrepeatable(job);
    } else {
        ts_owned_submit(job->owned, job);
    }
}

/* Only the node that sent a subrequest may cancel it. */
static void handle_cancel(ts_broker_t *broker, const ts_cancel_message_t *message)
{
    ts_job_t *job = g_hash_table_lookup(broker->jobs, &message->counter);
    if (job != NULL && job->peer == message->peer) {
        ts_owned_cancel(job);
    }
}

/* ---- ownership ---- */

static void release_backend(ts_owned_backend_t *owned)
{
    ts_broker_t *broker = owned->broker;
    ts_log(TS_EVENT_OWNERSHIP, "released %s", owned->name);
    ts_owned_set_state(owned, TS_OWNED_RETIRED);
    ts_owned_refuse_waiting(owned, TS_E_NOT_OWNER);
    g_ptr_array_add(broker->retired, owned);
}

/* Whether the declaration of an owned backend has changed so that it has to be created again. */
static bool is_redeclared(const ts_owned_backend_t *owned, const ts_backend_t *backend)
{
    bool same_shards = g_strv_length(owned->shards) == backend->shards_count;
    for (unsigned i = 0; same_shards && i < backend->shards_count; i++) {
        same_shards = strcmp(owned->shards[i], backend->shards[i]) == 0;
    }
    return !same_shards || owned->slots != backend->slots ||
           owned->connections != backend->connections ||
           strcmp(owned->address, backend->address) != 0;
}

static bool is_owned_here(const ts_broker_t *broker, const ts_backend_t *backend)
{
    const ts_view_member_t *owner = ts_view_owner(broker->view, backend);
    return owner != NULL && owner->is_self;
}

/* Releases backends that are not in `wanted` or are redeclared. Puts their start of ownership into
   `since` (&id -> &owned_since_ms, both in the released backend), for the redeclared ones to keep.
 */
static void release_lost_backends(ts_broker_t *broker, GHashTable *wanted, GHashTable *since)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, broker->owned);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_owned_backend_t *owned = value;
        const ts_backend_t *backend = g_hash_table_lookup(wanted, &owned->id);
        if (backend == NULL || is_redeclared(owned, backend)) {
            release_backend(owned);
            g_hash_table_insert(since, &owned->id, &owned->owned_since_ms);
            g_hash_table_iter_steal(&iterator);
        }
    }
}

static void add_gained_backends(ts_broker_t *broker, GHashTable *wanted, GHashTable *since)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, wanted);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const ts_backend_t *backend = value;
        if (g_hash_table_contains(broker->owned, &backend->id)) {
            continue;
        }
        ts_owned_backend_t *owned = ts_owned_create(broker, backend);
        const int64_t *since_ms = g_hash_table_lookup(since, &backend->id);
        if (since_ms != NULL) {
            owned->owned_since_ms = *since_ms;
        }
        ts_log(TS_EVENT_OWNERSHIP, "took over %s", owned->name);
        g_hash_table_insert(broker->owned, &owned->id, owned);
    }
}

static void update_ownership(ts_broker_t *broker)
{
    if (broker->view == NULL || broker->declarations == NULL || broker->is_stopping) {
        return;
    }
    GHashTable *wanted = g_hash_table_new(g_int64_hash, g_int64_equal);
    GHashTable *since = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (unsigned i = 0; i < broker->declarations->backends_count; i++) {
        ts_backend_t *backend = &broker->declarations->backends[i];
        if (is_owned_here(broker, backend)) {
            g_hash_table_insert(wanted, &backend->id, backend);
        }
    }
    release_lost_backends(broker, wanted, since);
    add_gained_backends(broker, wanted, since);
    g_hash_table_destroy(wanted);
    g_hash_table_destroy(since);
    ts_gauge_set(TS_COUNTER_BROKER_OWNED, g_hash_table_size(broker->owned));
}

/* ---- task ---- */

/* The tick is faster while there are jobs, to enforce their deadlines. */
static void set_tick_period(ts_broker_t *broker, uint64_t period_ms)
{
    if (broker->tick_timer.repeat_ms != period_ms) {
        ts_timer_start(&broker->tick_timer, period_ms, period_ms);
    }
}

/* Other nodes may have owned the same backends until now. */
static void reset_exclusive_since(ts_broker_t *broker)
{
    broker->exclusive_since_ms = ts_clock_wall_ms();
}

/*
 * After a process stall the state is outdated: other nodes may have taken over the backends, and
 * backends may have shut down. Nothing is sent to a backend until its health has been checked, and
 * nothing unrepeatable for STALL_FENCE_US.
 */
void ts_broker_detect_stall(ts_broker_t *broker)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t elapsed_us = broker->last_run_us == 0 ? 0 : now_us - broker->last_run_us;
    ts_time_us_t period_us = broker->tick_timer.repeat_ms * TS_US_PER_MS;
    broker->last_run_us = now_us;
    broker->is_run_late = elapsed_us > period_us + LATE_RUN_MIN_US;
    if (broker->is_run_late) {
        broker->stalled_us = elapsed_us - period_us;
        broker->stall_end_us = now_us;
    }
    if (elapsed_us <= STALL_THRESHOLD_US) {
        return;
    }
    reset_exclusive_since(broker);
    broker->fence_until_us = now_us + STALL_FENCE_US;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, broker->owned);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_owned_recheck(value);
    }
}

static void set_view(ts_broker_t *broker, ts_view_t *view)
{
    bool had_quorum = broker->view != NULL && broker->view->has_quorum;
    if (view->ownership_epoch != broker->ownership_epoch || (view->has_quorum && !had_quorum)) {
        reset_exclusive_since(broker);
    }
    broker->ownership_epoch = view->ownership_epoch;
    ts_view_unref(broker->view);
    broker->view = ts_view_ref(view);
    update_ownership(broker);
}

static bool has_finished_jobs(const ts_broker_t *broker)
{
    return broker->has_released_all && g_hash_table_size(broker->jobs) == 0;
}

static void report_idle(ts_broker_t *broker)
{
    if (broker->has_reported_idle || !has_finished_jobs(broker))
        return;
    broker->has_reported_idle = true;
    ts_task_send(broker->membership, ts_broker_idle_message());
}

static void tick(ts_timer_t *timer)
{
    ts_broker_t *broker = timer->data;
    ts_broker_detect_stall(broker);
    ts_time_us_t now_us = ts_clock_now_us();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, broker->owned);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_owned_tick(value, now_us);
    }
    for (guint i = broker->retired->len; i > 0; i--) {
        ts_owned_backend_t *owned = g_ptr_array_index(broker->retired, i - 1);
        ts_owned_tick(owned, now_us);
        if (owned->running->len == 0 && !owned->is_health_pending) {
            g_ptr_array_remove_index_fast(broker->retired, i - 1);
            ts_owned_free(owned);
        }
    }
    report_idle(broker);
    bool is_busy = broker->is_stopping || g_hash_table_size(broker->jobs) > 0;
    set_tick_period(broker, is_busy ? TICK_MS : IDLE_TICK_MS);
    ts_idempotency_expire(broker->idempotency, now_us);
    ts_gauge_set(TS_COUNTER_IDEMPOTENCY_ENTRIES, (int64_t)ts_idempotency_size(broker->idempotency));
}

static void handle_subrequests(ts_broker_t *broker, const ts_subrequests_message_t *message)
{
    for (size_t i = 0; i < message->parts_count; i++) {
        submit_part(broker, message, &message->parts[i]);
    }
}

static void handle_message(void *state, ts_message_t *message)
{
    ts_broker_t *broker = state;
    ts_broker_detect_stall(broker);
    switch (message->type) {
    case TS_MESSAGE_SUBREQUESTS:
        handle_subrequests(broker, (const ts_subrequests_message_t *)message);
        break;
    case TS_MESSAGE_CANCEL:
        handle_cancel(broker, (const ts_cancel_message_t *)message);
        break;
    case TS_MESSAGE_DECLARATIONS:
        ts_declarations_unref(broker->declarations);
        broker->declarations =
            ts_declarations_ref(((ts_declarations_message_t *)message)->declarations);
        update_ownership(broker);
        break;
    case TS_MESSAGE_VIEW:
        set_view(broker, ((ts_view_message_t *)message)->view);
        break;
    default:
        break;
    }
}

static ts_error_t open_broker(ts_node_t *node)
{
    ts_broker_t *broker = g_new0(ts_broker_t, 1);
    ts_node_set_state(node, "broker", broker);
    broker->node = node;
    broker->client = ts_plugin_find(TS_PLUGIN_SEARCHER_CLIENT, node->searcher_client);
    broker->owned = g_hash_table_new(g_int64_hash, g_int64_equal);
    broker->retired = g_ptr_array_new();
    broker->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    broker->idempotency = ts_idempotency_create(IDEMPOTENCY_RETENTION_US);
    broker->task = ts_task_create(node->tasks, "broker", handle_message, broker);
    return TS_OK;
}

static ts_error_t start_broker(ts_node_t *node)
{
    ts_broker_t *broker = ts_node_state(node, "broker");
    broker->front = ts_task_find(node->tasks, "front");
    broker->mesh = ts_task_find(node->tasks, "mesh");
    broker->membership = ts_task_find(node->tasks, "membership");
    ts_timer_init(&broker->tick_timer, node->runtime, tick, broker);
    ts_timer_init(&broker->handover_timer, node->runtime, release_all_backends, broker);
    ts_timer_start(&broker->tick_timer, IDLE_TICK_MS, IDLE_TICK_MS);
    return TS_OK;
}

static void release_all_backends(ts_timer_t *timer)
{
    ts_broker_t *broker = timer->data;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, broker->owned);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        release_backend(value);
        g_hash_table_iter_steal(&iterator);
    }
    broker->has_released_all = true;
}

static void stop_broker(ts_node_t *node)
{
    ts_broker_t *broker = ts_node_state(node, "broker");
    broker->is_stopping = true;
    ts_timer_start(&broker->handover_timer, HANDOVER_MS, 0);
}

static bool is_broker_idle(ts_node_t *node)
{
    const ts_broker_t *broker = ts_node_state(node, "broker");
    return broker->has_reported_idle && has_finished_jobs(broker);
}

static void describe_broker(ts_node_t *node, json_t *status)
{
    const ts_broker_t *broker = ts_node_state(node, "broker");
    json_t *rows = json_array();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, broker->owned);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const ts_owned_backend_t *owned = value;
        json_array_append_new(
            rows, json_pack("{s:s, s:s, s:i, s:i, s:i, s:i, s:f}", "name", owned->name, "state",
                            ts_owned_state_name(owned->state), "slots", (int)owned->slots,
                            "slots_allowed", (int)owned->slots_allowed, "slots_in_use",
                            (int)owned->running->len, "queued", (int)owned->waiting->len,
                            "service_us", owned->service_us));
    }
    json_object_set_new(status, "owned", rows);
}

/* Cancels a job's call and releases its work, without a reply. */
static void discard_job(ts_job_t *job)
{
    if (job->call != NULL) {
        job->broker->client->cancel(job->call);
    }
    ts_query_params_unref(job->work);
}

static void close_broker(ts_node_t *node)
{
    ts_broker_t *broker = ts_node_state(node, "broker");
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, broker->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        discard_job(value);
    }
    g_hash_table_destroy(broker->jobs);
    g_hash_table_iter_init(&iterator, broker->owned);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_owned_free(value);
    }
    g_hash_table_destroy(broker->owned);
    for (guint i = 0; i < broker->retired->len; i++) {
        ts_owned_free(g_ptr_array_index(broker->retired, i));
    }
    g_ptr_array_free(broker->retired, TRUE);
    ts_idempotency_destroy(broker->idempotency);
    ts_declarations_unref(broker->declarations);
    ts_view_unref(broker->view);
    g_free(broker);
}

static const ts_task_ops_t broker_ops = {open_broker,    start_broker,    stop_broker,
                                         is_broker_idle, describe_broker, close_broker};
TS_REGISTER_PLUGIN(broker_plugin, TS_PLUGIN_TASK, "broker", 1, &broker_ops,
                   "owns backends: their connections, slots and queues")
