/** The broker task: which back ends this node owns, and the subrequests to them. */
#include <inttypes.h>
#include <string.h>

#include "broker_internal.h"
#include "tealspar/counters.h"
#include "tealspar/declarations.h"
#include "tealspar/log.h"
#include "tealspar/node.h"

#define TICK_MS 10
/* A gap between two runs of the broker that means that the process stood still. */
#define STALL_BOUND_US (1000ULL * TS_US_PER_MS)
#define DOUBT_US (3ULL * TS_US_PER_S)
/* With nothing in flight, only health checks are to be begun. */
#define IDLE_TICK_MS 100
#define IDEMPOTENCY_KEEP_US (600ULL * TS_US_PER_S)
/* An id older than this may have left the table already. */
#define IDEMPOTENCY_AGE_MS 300000
/* Bound on the difference between two wall clocks. */
#define CLOCK_SKEW_MS 2000
/*
 * An owner vouches only for ids issued this long after it became the owner: by then an earlier
 * owner that was cut off has noticed and dispatches nothing unrepeatable any more.
 */
#define OWNER_FENCE_MS 5000
/*
 * A stopping owner serves on for this long, so that fronts that have not yet heard of the stop are
 * not turned away; the new owner meanwhile uses half of the slots.
 */
#define HANDOVER_MS 1500

static void tick(ts_timer_t *timer);
static void give_up_all(ts_timer_t *timer);
static void set_tick(ts_broker_t *broker, uint64_t period_ms);

/* ---- replies ---- */

static void free_job(ts_job_t *job)
{
    ts_query_params_unref(job->work);
    g_hash_table_remove(job->broker->jobs, &job->part.counter);
}

/* Keeps or clears the idempotency entry of a dispatched unrepeatable request. */
static void settle_idempotency(const ts_job_t *job, const ts_subreply_t *subreply)
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
    message->subreply = *subreply; /* the hits move */
    bool is_local = job->peer == TS_PEER_SELF;
    ts_task_send(is_local ? job->broker->front : job->broker->mesh, &message->head);
}

void ts_job_reply(ts_job_t *job, ts_subreply_t *subreply)
{
    settle_idempotency(job, subreply);
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

/* Answers without touching the idempotency table: the request was not dispatched by this job. */
static void answer_undispatched(ts_job_t *job, ts_subreply_t *subreply)
{
    send_subreply(job, subreply);
    free_job(job);
}

static void refuse_undispatched(ts_job_t *job, ts_error_t error)
{
    ts_subreply_t subreply = {.error = error, .run = TS_EXECUTION_NONE};
    ts_count(TS_COUNTER_BROKER_REFUSED, 1);
    ts_count_error(error);
    answer_undispatched(job, &subreply);
}

static void answer_unknown(ts_job_t *job, ts_error_t error)
{
    ts_subreply_t subreply = {.error = error, .run = TS_EXECUTION_POSSIBLE};
    ts_count_error(error);
    answer_undispatched(job, &subreply);
}

/*
 * This owner can't vouch for earlier ones. Whether that leaves a doubt is for the front to say: a
 * request that was never sent before has not run, and its caller may come back when this owner can.
 */
static void answer_unvouched(ts_job_t *job, ts_error_t error, int64_t since_ms)
{
    int64_t wait_ms = since_ms + OWNER_FENCE_MS + CLOCK_SKEW_MS - ts_clock_wall_ms();
    ts_subreply_t subreply = {
        .error = error, .run = TS_EXECUTION_NOT_HERE, .retry_after_ms = (uint32_t)MAX(wait_ms, 0)};
    ts_count_error(error);
    answer_undispatched(job, &subreply);
}

/* ---- unrepeatable requests ---- */

/* Since when this owner has been the only one. */
static int64_t vouching_since_ms(const ts_job_t *job)
{
    return MAX(job->owned->owned_since_ms, job->broker->standing_since_ms);
}

/* Whether this owner can vouch that no earlier owner has dispatched the id. */
static ts_error_t check_vouching(const ts_job_t *job)
{
    const ts_broker_t *broker = job->broker;
    int64_t now_ms = ts_clock_wall_ms();
    int64_t issued_ms = job->work->issued_at_ms;
    if (broker->view == NULL || !broker->view->has_quorum || job->owned->is_foreign) {
        return TS_E_NO_QUORUM;
    }
    if (ts_clock_now_us() < broker->doubt_until_us) {
        return TS_E_NO_QUORUM;
    }
    if (issued_ms > now_ms + CLOCK_SKEW_MS || issued_ms < now_ms - IDEMPOTENCY_AGE_MS) {
        return TS_E_OWNER_CHANGED;
    }
    if (issued_ms < vouching_since_ms(job) + OWNER_FENCE_MS + CLOCK_SKEW_MS) {
        return TS_E_OWNER_CHANGED;
    }
    return TS_OK;
}

static void log_dispatch(const ts_job_t *job, ts_error_t error)
{
    bool is_taken = error == TS_OK;
    ts_log(is_taken ? TS_EVENT_DISPATCH_TAKEN : TS_EVENT_DISPATCH_REFUSED,
           "id=%s backend=%s error=%s peer=%016" PRIx64, job->work->request_id,
           job->owned == NULL ? "-" : job->owned->name, ts_error_name(error), job->peer);
}

static void submit_unrepeatable(ts_job_t *job)
{
    ts_broker_t *broker = job->broker;
    ts_subreply_t kept = {0};
    ts_error_t error = check_vouching(job);
    log_dispatch(job, error);
    if (error != TS_OK) {
        answer_unvouched(job, error, vouching_since_ms(job));
        return;
    }
    switch (ts_idempotency_admit(broker->idempotency, job->work, ts_clock_now_us())) {
    case TS_IDEMPOTENCY_RUN:
        ts_owned_submit(job->owned, job);
        break;
    case TS_IDEMPOTENCY_REPLAY:
        ts_count(TS_COUNTER_IDEMPOTENCY_REPLAYED, 1);
        ts_idempotency_replay(broker->idempotency, job->work->request_id, &kept);
        answer_undispatched(job, &kept);
        break;
    case TS_IDEMPOTENCY_UNKNOWN:
        answer_unknown(job, TS_E_DEADLINE);
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
    job->taken_us = ts_clock_now_us();
    g_hash_table_insert(broker->jobs, &job->part.counter, job);
    set_tick(broker, TICK_MS);
    return job;
}

static void submit_part(ts_broker_t *broker, const ts_subrequests_message_t *message,
                        const ts_subrequest_t *part)
{
    if (g_hash_table_contains(broker->jobs, &part->counter)) {
        return; /* a doubled message */
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
static void take_cancel(ts_broker_t *broker, const ts_cancel_message_t *message)
{
    ts_job_t *job = g_hash_table_lookup(broker->jobs, &message->counter);
    if (job != NULL && job->peer == message->peer) {
        ts_owned_cancel(job);
    }
}

/* ---- ownership ---- */

static void retire_owned(ts_owned_t *owned)
{
    ts_broker_t *broker = owned->broker;
    ts_log(TS_EVENT_OWNERSHIP, "gave up %s", owned->name);
    ts_owned_set_state(owned, TS_OWNED_RETIRED);
    ts_owned_refuse_waiting(owned, TS_E_NOT_OWNER);
    g_ptr_array_add(broker->retired, owned);
}

/* Whether a back end that stays owned was declared anew in a way that needs a fresh start. */
static bool is_redeclared(const ts_owned_t *owned, const ts_backend_t *backend)
{
    bool same_shards = g_strv_length(owned->shards) == backend->shards_count;
    for (unsigned i = 0; same_shards && i < backend->shards_count; i++) {
        same_shards = strcmp(owned->shards[i], backend->shards[i]) == 0;
    }
    return !same_shards || owned->slots != backend->slots ||
           owned->connections != backend->connections ||
           strcmp(owned->address, backend->address) != 0;
}

static bool is_own(const ts_broker_t *broker, const ts_backend_t *backend)
{
    const ts_view_member_t *owner = ts_view_owner(broker->view, backend);
    return owner != NULL && owner->is_self;
}

/* Gives up what is not wanted any more; `since` keeps the start of ownership of what is redeclared.
 */
static void give_up_lost(ts_broker_t *broker, GHashTable *wanted, GHashTable *since)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, broker->owned);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_owned_t *owned = value;
        const ts_backend_t *backend = g_hash_table_lookup(wanted, &owned->id);
        if (backend == NULL || is_redeclared(owned, backend)) {
            retire_owned(owned);
            g_hash_table_insert(since, &owned->id, &owned->owned_since_ms);
            g_hash_table_iter_steal(&iterator);
        }
    }
}

static void take_gained(ts_broker_t *broker, GHashTable *wanted, GHashTable *since)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, wanted);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const ts_backend_t *backend = value;
        if (g_hash_table_contains(broker->owned, &backend->id)) {
            continue;
        }
        ts_owned_t *owned = ts_owned_create(broker, backend);
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
    if (broker->view == NULL || broker->declarations == NULL || broker->stopping) {
        return;
    }
    GHashTable *wanted = g_hash_table_new(g_int64_hash, g_int64_equal);
    GHashTable *since = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (unsigned i = 0; i < broker->declarations->backends_count; i++) {
        ts_backend_t *backend = &broker->declarations->backends[i];
        if (is_own(broker, backend)) {
            g_hash_table_insert(wanted, &backend->id, backend);
        }
    }
    give_up_lost(broker, wanted, since);
    take_gained(broker, wanted, since);
    g_hash_table_destroy(wanted);
    g_hash_table_destroy(since);
    ts_gauge_set(TS_COUNTER_BROKER_OWNED, g_hash_table_size(broker->owned));
}

/* ---- the task ---- */

/* Ticks faster while something is in flight, for the deadlines. */
static void set_tick(ts_broker_t *broker, uint64_t period_ms)
{
    if (broker->tick.repeat_ms != period_ms) {
        ts_timer_start(&broker->tick, period_ms, period_ms);
    }
}

/* From now on this node vouches anew: others may have owned the same until here. */
static void lose_standing(ts_broker_t *broker)
{
    broker->standing_since_ms = ts_clock_wall_ms();
}

/*
 * A process that stood still believes old things: its ownership may have passed on, and back ends
 * may have left. Nothing is sent on such beliefs before they are renewed.
 */
static void notice_stall(ts_broker_t *broker)
{
    ts_time_us_t now_us = ts_clock_now_us();
    bool has_stalled = broker->awake_us != 0 && now_us - broker->awake_us > STALL_BOUND_US;
    broker->awake_us = now_us;
    if (!has_stalled) {
        return;
    }
    lose_standing(broker);
    broker->doubt_until_us = now_us + DOUBT_US;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, broker->owned);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_owned_recheck(value);
    }
}

static void take_view(ts_broker_t *broker, ts_view_t *view)
{
    bool had_quorum = broker->view != NULL && broker->view->has_quorum;
    if (view->ownership_epoch != broker->standing || (view->has_quorum && !had_quorum)) {
        lose_standing(broker);
    }
    broker->standing = view->ownership_epoch;
    ts_view_unref(broker->view);
    broker->view = ts_view_ref(view);
    update_ownership(broker);
}

static bool has_nothing_left(const ts_broker_t *broker)
{
    return broker->gave_up && g_hash_table_size(broker->jobs) == 0;
}

static void tell_idle(ts_broker_t *broker)
{
    if (broker->has_told_idle || !has_nothing_left(broker))
        return;
    broker->has_told_idle = true;
    ts_task_send(broker->membership, ts_broker_idle_message());
}

static void tick(ts_timer_t *timer)
{
    ts_broker_t *broker = timer->data;
    notice_stall(broker);
    ts_time_us_t now_us = ts_clock_now_us();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, broker->owned);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_owned_tick(value, now_us);
    }
    for (guint i = broker->retired->len; i > 0; i--) {
        ts_owned_t *owned = g_ptr_array_index(broker->retired, i - 1);
        ts_owned_tick(owned, now_us);
        if (owned->running->len == 0 && !owned->health_pending) {
            g_ptr_array_remove_index_fast(broker->retired, i - 1);
            ts_owned_free(owned);
        }
    }
    tell_idle(broker);
    bool is_busy = broker->stopping || g_hash_table_size(broker->jobs) > 0;
    set_tick(broker, is_busy ? TICK_MS : IDLE_TICK_MS);
    ts_idempotency_expire(broker->idempotency, now_us);
    ts_gauge_set(TS_COUNTER_IDEMPOTENCY_ENTRIES, (int64_t)ts_idempotency_size(broker->idempotency));
}

static void take_subrequests(ts_broker_t *broker, const ts_subrequests_message_t *message)
{
    for (size_t i = 0; i < message->parts_count; i++) {
        submit_part(broker, message, &message->parts[i]);
    }
}

static void handle_message(void *state, ts_message_t *message)
{
    ts_broker_t *broker = state;
    notice_stall(broker);
    switch (message->type) {
    case TS_MESSAGE_SUBREQUESTS:
        take_subrequests(broker, (const ts_subrequests_message_t *)message);
        break;
    case TS_MESSAGE_CANCEL:
        take_cancel(broker, (const ts_cancel_message_t *)message);
        break;
    case TS_MESSAGE_DECLARATIONS:
        ts_declarations_unref(broker->declarations);
        broker->declarations =
            ts_declarations_ref(((ts_declarations_message_t *)message)->declarations);
        update_ownership(broker);
        break;
    case TS_MESSAGE_VIEW:
        take_view(broker, ((ts_view_message_t *)message)->view);
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
    broker->idempotency = ts_idempotency_create(IDEMPOTENCY_KEEP_US);
    broker->task = ts_task_create(node->tasks, "broker", handle_message, broker);
    return TS_OK;
}

static ts_error_t start_broker(ts_node_t *node)
{
    ts_broker_t *broker = ts_node_state(node, "broker");
    broker->front = ts_task_find(node->tasks, "front");
    broker->mesh = ts_task_find(node->tasks, "mesh");
    broker->membership = ts_task_find(node->tasks, "membership");
    ts_timer_init(&broker->tick, node->runtime, tick, broker);
    ts_timer_init(&broker->handover, node->runtime, give_up_all, broker);
    ts_timer_start(&broker->tick, IDLE_TICK_MS, IDLE_TICK_MS);
    return TS_OK;
}

static void give_up_all(ts_timer_t *timer)
{
    ts_broker_t *broker = timer->data;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, broker->owned);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        retire_owned(value);
        g_hash_table_iter_steal(&iterator);
    }
    broker->gave_up = true;
}

static void stop_broker(ts_node_t *node)
{
    ts_broker_t *broker = ts_node_state(node, "broker");
    broker->stopping = true;
    ts_timer_start(&broker->handover, HANDOVER_MS, 0);
}

static bool is_broker_idle(ts_node_t *node)
{
    const ts_broker_t *broker = ts_node_state(node, "broker");
    return broker->has_told_idle && has_nothing_left(broker);
}

static void describe_broker(ts_node_t *node, json_t *status)
{
    const ts_broker_t *broker = ts_node_state(node, "broker");
    json_t *rows = json_array();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, broker->owned);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const ts_owned_t *owned = value;
        json_array_append_new(rows,
                              json_pack("{s:s, s:s, s:i, s:i, s:i, s:i, s:f}", "name", owned->name,
                                        "state", ts_owned_state_name(owned->state), "slots",
                                        (int)owned->slots, "slots_allowed", (int)owned->allowed,
                                        "slots_in_use", (int)owned->running->len, "queued",
                                        (int)owned->waiting->len, "service_us", owned->service_us));
    }
    json_object_set_new(status, "owned", rows);
}

/* Frees a job without an answer. */
static void drop_job(ts_job_t *job)
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
        drop_job(value);
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
                   "owns back ends: their connections, slots and queues")
