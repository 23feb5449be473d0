/** One owned backend: its slots, queue and health. */
#include <string.h>

#include "broker_internal.h"
#include "tealspar/admission.h"
#include "tealspar/counters.h"
#include "tealspar/hash.h"
#include "tealspar/log.h"

#define QUEUE_MIN_PER_SLOT 8U
#define QUEUE_MAX_PER_SLOT 64U
#define SERVICE_EWMA_ALPHA 0.1
/* A result handled later than this after a stall did not wait for its end. */
#define BACKLOG_US (5ULL * TS_US_PER_MS)
#define HEALTH_INTERVAL_US (1000ULL * TS_US_PER_MS)
/* How long a drain reported in a reply takes precedence over the health check. */
#define DRAIN_REPORT_TTL_US (3ULL * TS_US_PER_S)
#define HEALTH_RETRY_INTERVAL_US (200ULL * TS_US_PER_MS)
/* An owner uses half of the declared connections, so that the total stays within the limit while a
   previous owner still holds its own. */
#define CONNECTION_DIVISOR 2U

static void check_health(ts_owned_backend_t *owned);

const char *ts_owned_state_name(ts_owned_state_t state)
{
    static const char *const names[] = {"checking", "serving",     "starting",
                                        "draining", "unreachable", "retired"};
    return names[state];
}

ts_owned_backend_t *ts_owned_create(ts_broker_t *broker, const ts_backend_t *backend)
{
    ts_owned_backend_t *owned = g_new0(ts_owned_backend_t, 1);
    owned->broker = broker;
    owned->id = backend->id;
    owned->name = g_strdup(backend->name);
    owned->address = g_strdup(backend->address);
    owned->slots = backend->slots;
    owned->connections = backend->connections;
    owned->shards = g_new0(char *, backend->shards_count + 1);
    for (unsigned i = 0; i < backend->shards_count; i++) {
        owned->shards[i] = g_strdup(backend->shards[i]);
    }
    owned->running = g_ptr_array_new();
    owned->waiting = g_ptr_array_new();
    owned->owned_since_ms = ts_clock_wall_ms();
    owned->is_foreign = strcmp(backend->zone, broker->node->settings->zone) != 0;
    broker->client->open(&owned->searcher, broker->node, backend->address,
                         backend->connections / CONNECTION_DIVISOR);
    check_health(owned);
    return owned;
}

void ts_owned_free(ts_owned_backend_t *owned)
{
    owned->broker->client->close(owned->searcher);
    g_ptr_array_free(owned->running, TRUE);
    g_ptr_array_free(owned->waiting, TRUE);
    g_strfreev(owned->shards);
    g_free(owned->name);
    g_free(owned->address);
    g_free(owned);
}

void ts_owned_set_state(ts_owned_backend_t *owned, ts_owned_state_t state)
{
    if (owned->state == state || owned->state == TS_OWNED_RETIRED) {
        return;
    }
    ts_log(TS_EVENT_BACKEND_STATE, "%s: %s to %s", owned->name, ts_owned_state_name(owned->state),
           ts_owned_state_name(state));
    /* After a takeover or a stall, start with half of the slots, as another owner may still have
       requests running there; after a failure start with one. */
    bool has_passed_check = owned->state == TS_OWNED_CHECKING && state == TS_OWNED_SERVING;
    owned->state = state;
    if (has_passed_check) {
        owned->slots_allowed = MAX(1U, owned->slots / 2);
    } else if (state != TS_OWNED_SERVING) {
        owned->slots_allowed = 1;
    }
    if (state == TS_OWNED_DRAINING) {
        ts_owned_refuse_waiting(owned, TS_E_DRAINING);
    }
}

const char *ts_owned_find_shard(const ts_owned_backend_t *owned, uint64_t shard)
{
    for (char **name = owned->shards; *name != NULL; name++) {
        if (ts_hash_text(*name) == shard) {
            return *name;
        }
    }
    return NULL;
}

/* Number of running jobs of a kind. */
static uint32_t count_kind(const ts_owned_backend_t *owned, const char *kind)
{
    uint32_t count = 0;
    for (guint i = 0; i < owned->running->len; i++) {
        const ts_job_t *job = g_ptr_array_index(owned->running, i);
        count += strcmp(job->work->kind, kind) == 0;
    }
    return count;
}

static ts_time_us_t time_left_us(const ts_job_t *job, ts_time_us_t now_us)
{
    return job->work->deadline_us > now_us ? job->work->deadline_us - now_us : 0;
}

/* ---- running ---- */

static void run_next(ts_owned_backend_t *owned);

/* Records the service time of a successful request and allows one more slot, up to `slots`. */
static void update_service_time(ts_owned_backend_t *owned, const ts_subreply_t *subreply)
{
    double service = subreply->service_us;
    owned->service_us =
        owned->service_us <= 0
            ? service
            : owned->service_us + SERVICE_EWMA_ALPHA * (service - owned->service_us);
    ts_observe_us(TS_HISTOGRAM_SERVICE_TIME, subreply->service_us);
    if (owned->state != TS_OWNED_CHECKING) {
        owned->slots_allowed = MIN(owned->slots_allowed + 1, owned->slots);
    }
}

/* Updates service time, usable slots and state of a backend by the outcome of a request. */
static void apply_outcome(ts_owned_backend_t *owned, const ts_subreply_t *subreply)
{
    switch (subreply->error) {
    case TS_OK:
        update_service_time(owned, subreply);
        if (owned->state != TS_OWNED_CHECKING && owned->state != TS_OWNED_DRAINING) {
            ts_owned_set_state(owned, TS_OWNED_SERVING);
        }
        break;
    case TS_E_DRAINING:
        owned->drain_reported_us = ts_clock_now_us();
        ts_owned_set_state(owned, TS_OWNED_DRAINING);
        break;
    case TS_E_CONNECT:
        ts_owned_set_state(owned, TS_OWNED_UNREACHABLE);
        owned->health_due_us = 0;
        break;
    case TS_E_SHEDDING:
        owned->slots_allowed = MAX(1U, owned->slots_allowed / 2);
        break;
    default:
        break;
    }
}

/* Excludes the stall of this process after which the result is read. Earlier stalls did not delay
   it. */
static void exclude_stalls(const ts_job_t *job, ts_subreply_t *subreply)
{
    const ts_broker_t *broker = job->broker;
    ts_time_us_t now_us = ts_clock_now_us();
    ts_broker_detect_stall(job->broker);
    if (broker->stall_end_us == 0 || now_us - broker->stall_end_us > BACKLOG_US) {
        return;
    }
    ts_time_us_t stalled_us = MIN(broker->stalled_us, now_us - job->started_us);
    subreply->service_us -= (uint32_t)MIN(stalled_us, subreply->service_us);
}

static void handle_result(void *context, ts_subreply_t *subreply)
{
    ts_job_t *job = context;
    ts_owned_backend_t *owned = job->owned;
    exclude_stalls(job, subreply);
    g_ptr_array_remove_fast(owned->running, job);
    ts_count(TS_COUNTER_BROKER_SLOTS_IN_USE, -1);
    ts_count(TS_COUNTER_SEARCHER_ERRORS, subreply->error != TS_OK);
    apply_outcome(owned, subreply);
    job->call = NULL;
    subreply->queue_us = (uint32_t)(job->started_us - job->received_us);
    ts_job_reply(job, subreply);
    run_next(owned);
}

static void run_job(ts_owned_backend_t *owned, ts_job_t *job)
{
    job->started_us = ts_clock_now_us();
    g_ptr_array_add(owned->running, job);
    ts_count(TS_COUNTER_BROKER_SLOTS_IN_USE, 1);
    ts_count(TS_COUNTER_SEARCHER_REQUESTS, 1);
    ts_observe_us(TS_HISTOGRAM_QUEUE_TIME, job->started_us - job->received_us);
    job->call = owned->broker->client->search(
        owned->searcher, job->work, ts_owned_find_shard(owned, job->part.shard),
        job->part.wanted_snapshot, time_left_us(job, job->started_us), handle_result, job);
}

/* The waiting job of the highest ts_admission_rank() that may use a slot now, or NULL. */
static ts_job_t *choose_waiting(const ts_owned_backend_t *owned, ts_time_us_t now_us)
{
    ts_job_t *best = NULL;
    double best_rank = -1;
    const char *full_kind = NULL; // the last kind found without a free slot
    if (owned->running->len >= owned->slots_allowed) {
        return NULL;
    }
    for (guint i = 0; i < owned->waiting->len; i++) {
        ts_job_t *job = g_ptr_array_index(owned->waiting, i);
        const char *kind = job->work->kind;
        double rank = ts_admission_rank(job->work->priority, now_us - job->received_us);
        if (rank <= best_rank || (full_kind != NULL && strcmp(kind, full_kind) == 0)) {
            continue;
        }
        if (ts_admission_has_slot(owned->slots_allowed, owned->running->len,
                                  count_kind(owned, kind), job->work->slot_share_percent)) {
            best = job;
            best_rank = rank;
        } else {
            full_kind = kind;
        }
    }
    return best;
}

static void remove_waiting(ts_owned_backend_t *owned, ts_job_t *job)
{
    g_ptr_array_remove_fast(owned->waiting, job);
    ts_count(TS_COUNTER_BROKER_QUEUED, -1);
}

static void run_next(ts_owned_backend_t *owned)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ts_job_t *job = NULL;
    while ((job = choose_waiting(owned, now_us)) != NULL) {
        remove_waiting(owned, job);
        if (time_left_us(job, now_us) == 0) {
            ts_job_refuse(job, TS_E_PAST_DEADLINE);
        } else {
            run_job(owned, job);
        }
    }
}

/* ---- admission ---- */

static ts_error_t state_error(ts_owned_state_t state)
{
    switch (state) {
    case TS_OWNED_CHECKING:
    case TS_OWNED_SERVING:
        return TS_OK;
    case TS_OWNED_DRAINING:
        return TS_E_DRAINING;
    case TS_OWNED_STARTING:
    case TS_OWNED_UNREACHABLE:
        return TS_E_CONNECT;
    case TS_OWNED_RETIRED:
        return TS_E_NOT_OWNER;
    }
    return TS_E_NOT_OWNER;
}

static ts_admission_input_t make_admission_input(const ts_owned_backend_t *owned,
                                                 const ts_job_t *job)
{
    uint32_t ahead = 0;
    for (guint i = 0; i < owned->waiting->len; i++) {
        const ts_job_t *other = g_ptr_array_index(owned->waiting, i);
        ahead += other->work->priority >= job->work->priority;
    }
    ts_admission_input_t input = {
        .slots = owned->slots_allowed,
        .slots_in_use = owned->running->len,
        .kind_in_use = count_kind(owned, job->work->kind),
        .kind_share_percent = job->work->slot_share_percent,
        .queue_ahead = ahead,
        .queue_length = owned->waiting->len,
        .queue_min = owned->slots * QUEUE_MIN_PER_SLOT,
        .queue_max = owned->slots * QUEUE_MAX_PER_SLOT,
        .service_us = owned->service_us,
        .left_us = time_left_us(job, job->received_us),
    };
    return input;
}

/* Makes room in a full queue by refusing the job of the lowest priority, if below this one's. */
static bool displace_lower_priority(ts_owned_backend_t *owned, const ts_job_t *job)
{
    ts_job_t *lowest = NULL;
    for (guint i = 0; i < owned->waiting->len; i++) {
        ts_job_t *other = g_ptr_array_index(owned->waiting, i);
        if (other->work->priority < job->work->priority &&
            (lowest == NULL || other->work->priority < lowest->work->priority)) {
            lowest = other;
        }
    }
    if (lowest == NULL) {
        return false;
    }
    remove_waiting(owned, lowest);
    ts_job_refuse(lowest, TS_E_QUEUE_FULL);
    return true;
}

void ts_owned_submit(ts_owned_backend_t *owned, ts_job_t *job)
{
    ts_error_t error = state_error(owned->state);
    if (error != TS_OK) {
        ts_job_refuse(job, error);
        return;
    }
    ts_admission_input_t input = make_admission_input(owned, job);
    ts_admission_t admission = ts_admission_decide(&input, &error);
    if (error == TS_E_QUEUE_FULL && displace_lower_priority(owned, job)) {
        admission = TS_ADMIT_QUEUE;
    }
    switch (admission) {
    case TS_ADMIT_RUN:
        ts_count(TS_COUNTER_BROKER_ADMITTED, 1);
        run_job(owned, job);
        break;
    case TS_ADMIT_QUEUE:
        ts_count(TS_COUNTER_BROKER_ADMITTED, 1);
        ts_count(TS_COUNTER_BROKER_QUEUED, 1);
        g_ptr_array_add(owned->waiting, job);
        break;
    case TS_ADMIT_REFUSE:
        ts_job_refuse(job, error);
        break;
    }
}

/* ---- cancellation, deadlines and health ---- */

/* Cancels the call of a running job and frees its slot, or removes a waiting job from the queue.
   Neither replies to the job nor frees it. */
static void detach_job(ts_job_t *job)
{
    ts_owned_backend_t *owned = job->owned;
    if (job->call == NULL) {
        remove_waiting(owned, job);
        return;
    }
    owned->broker->client->cancel(job->call);
    job->call = NULL;
    g_ptr_array_remove_fast(owned->running, job);
    ts_count(TS_COUNTER_BROKER_SLOTS_IN_USE, -1);
}

void ts_owned_cancel(ts_job_t *job)
{
    ts_owned_backend_t *owned = job->owned;
    bool is_unrepeatable = job->work->unrepeatable;
    bool is_running = job->call != NULL;
    if (is_unrepeatable && is_running) {
        return; /* its outcome is stored for a repeat */
    }
    detach_job(job);
    ts_count(TS_COUNTER_BROKER_CANCELLED, 1);
    if (is_unrepeatable) {
        ts_idempotency_release(owned->broker->idempotency, job->work->request_id);
    }
    ts_query_params_unref(job->work);
    g_hash_table_remove(owned->broker->jobs, &job->part.counter);
    run_next(owned);
}

void ts_owned_refuse_waiting(ts_owned_backend_t *owned, ts_error_t error)
{
    while (owned->waiting->len > 0) {
        ts_job_t *job = g_ptr_array_index(owned->waiting, 0);
        remove_waiting(owned, job);
        ts_job_refuse(job, error);
    }
}

static void expire_running(ts_owned_backend_t *owned, ts_time_us_t now_us)
{
    for (guint i = owned->running->len; i > 0; i--) {
        ts_job_t *job = g_ptr_array_index(owned->running, i - 1);
        if (time_left_us(job, now_us) > 0) {
            continue;
        }
        ts_subreply_t subreply = {.error = TS_E_DEADLINE, .run = TS_EXECUTION_POSSIBLE};
        subreply.service_us = (uint32_t)(now_us - job->started_us);
        detach_job(job);
        ts_job_reply(job, &subreply);
    }
}

static void expire_waiting(ts_owned_backend_t *owned, ts_time_us_t now_us)
{
    for (guint i = owned->waiting->len; i > 0; i--) {
        ts_job_t *job = g_ptr_array_index(owned->waiting, i - 1);
        if (time_left_us(job, now_us) == 0) {
            remove_waiting(owned, job);
            ts_job_refuse(job, TS_E_PAST_DEADLINE);
        }
    }
}

/* Whether to ignore a health result: the health endpoint may lag behind a drain that was reported
   in a reply. */
static bool is_outdated_health(const ts_owned_backend_t *owned, ts_searcher_health_t health)
{
    return owned->state == TS_OWNED_DRAINING && health == TS_HEALTH_SERVING &&
           ts_clock_now_us() - owned->drain_reported_us < DRAIN_REPORT_TTL_US;
}

static void handle_health(void *context, ts_searcher_health_t health)
{
    static const ts_owned_state_t states[] = {TS_OWNED_UNREACHABLE, TS_OWNED_STARTING,
                                              TS_OWNED_SERVING, TS_OWNED_DRAINING};
    ts_owned_backend_t *owned = context;
    ts_broker_detect_stall(owned->broker);
    owned->is_health_pending = false;
    if (owned->is_health_stale) {
        owned->is_health_stale = false;
        owned->health_due_us = 0; /* sent before a stall: check again */
        return;
    }
    if (!is_outdated_health(owned, health)) {
        ts_owned_set_state(owned, states[health]);
    }
    bool has_started = health == TS_HEALTH_SERVING || health == TS_HEALTH_DRAINING;
    owned->health_due_us =
        ts_clock_now_us() + (has_started ? HEALTH_INTERVAL_US : HEALTH_RETRY_INTERVAL_US);
    run_next(owned);
}

void ts_owned_recheck(ts_owned_backend_t *owned)
{
    if (owned->state == TS_OWNED_RETIRED) {
        return;
    }
    ts_owned_set_state(owned, TS_OWNED_CHECKING);
    owned->slots_allowed = 0;
    owned->is_health_stale = owned->is_health_pending;
    owned->health_due_us = 0;
}

static void check_health(ts_owned_backend_t *owned)
{
    owned->is_health_pending = true;
    owned->broker->client->check_health(owned->searcher, handle_health, owned);
}

void ts_owned_tick(ts_owned_backend_t *owned, ts_time_us_t now_us)
{
    if (!owned->broker->is_run_late) {
        expire_running(owned, now_us);
    }
    expire_waiting(owned, now_us);
    run_next(owned);
    if (owned->state != TS_OWNED_RETIRED && !owned->is_health_pending &&
        owned->health_due_us <= now_us) {
        check_health(owned);
    }
}
