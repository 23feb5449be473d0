/** The front's directory of backends. */
#include "tealspar/directory.h"

#include <math.h>
#include <string.h>

#define SERVICE_EWMA_ALPHA 0.1
#define MEAN_EWMA_ALPHA 0.01
#define AVOID_BASE_US 20000ULL
#define AVOID_MAX_SHIFT 6U
#define NO_HINT_AGE_US (10ULL * TS_US_PER_S)

/* Half-life at which a service time above the mean decays towards the mean, so that a slow replica
   is tried again. */
#define SLOW_HALF_LIFE_US 1000000.0
/* A silent peer may be tried once per interval, to find out whether it answers again. */
#define SILENT_PROBE_INTERVAL_US (250ULL * TS_US_PER_MS)
#define SILENT_OUTSTANDING_MIN 3U

/* Subrequests outstanding at a node; id TS_PEER_SELF: this one. */
typedef struct peer_record {
    uint64_t id;
    uint32_t outstanding;             /* subrequests not ended yet */
    ts_time_us_t unanswered_since_us; /* its last reply, or the first send if nothing was
                                         outstanding then; 0: nothing is outstanding */
    ts_time_us_t next_probe_us;       /* when a silent peer may be tried again; unused otherwise */
    bool is_silent;
} peer_record_t;

struct ts_directory {
    GHashTable *replicas;    /* &id -> ts_replica_t, owned */
    GHashTable *peers;       /* &id -> peer_record_t, owned */
    double mean_service_us;  /* moving average over all replicas */
    double mean_overhead_us; /* moving average of latency minus service time: network and queue */
    ts_view_t *view;
    const char *self_zone; /* points into the view */
    uint64_t view_count;   /* incremented with every view, to recompute owners */
};

ts_directory_t *ts_directory_create(void)
{
    ts_directory_t *directory = g_new0(ts_directory_t, 1);
    directory->replicas = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    directory->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return directory;
}

void ts_directory_destroy(ts_directory_t *directory)
{
    g_hash_table_destroy(directory->replicas);
    g_hash_table_destroy(directory->peers);
    ts_view_unref(directory->view);
    g_free(directory);
}

void ts_directory_set_view(ts_directory_t *directory, ts_view_t *view)
{
    ts_view_unref(directory->view);
    directory->view = ts_view_ref(view);
    directory->view_count++;
    directory->self_zone = "";
    for (size_t i = 0; i < view->count; i++) {
        if (view->members[i].is_self) {
            directory->self_zone = view->members[i].zone;
        }
    }
}

const ts_view_t *ts_directory_view(const ts_directory_t *directory)
{
    return directory->view;
}

ts_replica_t *ts_directory_ensure_replica(ts_directory_t *directory, const ts_backend_t *backend)
{
    ts_replica_t *replica = g_hash_table_lookup(directory->replicas, &backend->id);
    if (replica == NULL) {
        replica = g_new0(ts_replica_t, 1);
        replica->id = backend->id;
        g_hash_table_insert(directory->replicas, &replica->id, replica);
    }
    return replica;
}

const ts_view_member_t *ts_directory_owner(ts_directory_t *directory, const ts_backend_t *backend)
{
    if (directory->view == NULL) {
        return NULL;
    }
    ts_replica_t *replica = ts_directory_ensure_replica(directory, backend);
    if (replica->owner_view_count != directory->view_count) {
        replica->owner = ts_view_owner(directory->view, backend);
        replica->owner_view_count = directory->view_count;
    }
    return replica->owner;
}

/* Whether an error is caused by the backend or its owner rather than by the request. */
static bool is_backend_failure(ts_error_t error)
{
    switch (error) {
    case TS_E_DRAINING:
    case TS_E_SHEDDING:
    case TS_E_CONNECT:
    case TS_E_IO:
    case TS_E_BAD_ANSWER:
    case TS_E_WRONG_SHARD:
    case TS_E_PEER_LOST:
    case TS_E_NOT_OWNER:
        return true;
    default:
        return false;
    }
}

static void update_service_time(ts_replica_t *replica, double service_us, ts_time_us_t now_us)
{
    replica->service_updated_us = now_us;
    replica->service_us =
        replica->service_us <= 0
            ? service_us
            : replica->service_us + SERVICE_EWMA_ALPHA * (service_us - replica->service_us);
}

void ts_directory_record_cancelled(ts_directory_t *directory, ts_replica_t *replica,
                                   ts_time_us_t age_us, ts_time_us_t now_us)
{
    double service_us = (double)age_us - directory->mean_overhead_us;
    if (service_us > replica->service_us && replica->queue_length == 0) {
        update_service_time(replica, service_us, now_us);
    }
}

void ts_directory_record_reply(ts_directory_t *directory, ts_replica_t *replica,
                               const ts_subreply_t *subreply, ts_time_us_t latency_us,
                               ts_time_us_t now_us)
{
    replica->slots_in_use = subreply->slots_in_use;
    replica->queue_length = subreply->queue_length;
    replica->load_updated_us = now_us;
    if (subreply->error == TS_OK) {
        update_service_time(replica, subreply->service_us, now_us);
        directory->mean_service_us +=
            MEAN_EWMA_ALPHA * (subreply->service_us - directory->mean_service_us);
        double overhead_us = (double)latency_us - subreply->service_us;
        directory->mean_overhead_us +=
            MEAN_EWMA_ALPHA * (overhead_us - directory->mean_overhead_us);
        replica->snapshot = subreply->snapshot;
        replica->failures = 0;
        replica->avoid_until_us = 0;
    } else if (is_backend_failure(subreply->error)) {
        unsigned shift = MIN(replica->failures, AVOID_MAX_SHIFT);
        ts_time_us_t backoff_us = AVOID_BASE_US << shift;
        ts_time_us_t reported_us = (ts_time_us_t)subreply->retry_after_ms * TS_US_PER_MS;
        replica->avoid_until_us = now_us + MAX(backoff_us, reported_us);
        replica->failures++;
    }
}

/* ---- silent peers ---- */

static peer_record_t *ensure_peer(ts_directory_t *directory, uint64_t id)
{
    peer_record_t *peer = g_hash_table_lookup(directory->peers, &id);
    if (peer == NULL) {
        peer = g_new0(peer_record_t, 1);
        peer->id = id;
        g_hash_table_insert(directory->peers, &peer->id, peer);
    }
    return peer;
}

void ts_directory_note_sent(ts_directory_t *directory, uint64_t id, ts_time_us_t now_us)
{
    peer_record_t *peer = ensure_peer(directory, id);
    peer->outstanding++;
    if (peer->unanswered_since_us == 0) {
        peer->unanswered_since_us = now_us;
    }
}

void ts_directory_note_reply(ts_directory_t *directory, uint64_t id, ts_time_us_t now_us)
{
    peer_record_t *peer = ensure_peer(directory, id);
    bool is_more_outstanding = peer->outstanding > 1; // this one counts until it has ended
    peer->unanswered_since_us = is_more_outstanding ? now_us : 0;
    peer->is_silent = false;
}

void ts_directory_note_ended(ts_directory_t *directory, uint64_t id)
{
    ensure_peer(directory, id)->outstanding--;
}

bool ts_directory_is_silent(ts_directory_t *directory, uint64_t id)
{
    return ensure_peer(directory, id)->is_silent;
}

GArray *ts_directory_find_silent_peers(ts_directory_t *directory, ts_time_us_t timeout_us,
                                       ts_time_us_t now_us)
{
    GArray *silent = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, directory->peers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        peer_record_t *peer = value;
        if (!peer->is_silent && peer->outstanding >= SILENT_OUTSTANDING_MIN &&
            peer->unanswered_since_us != 0 && now_us - peer->unanswered_since_us > timeout_us) {
            peer->is_silent = true;
            peer->next_probe_us = now_us + SILENT_PROBE_INTERVAL_US;
            g_array_append_val(silent, peer->id);
        }
    }
    return silent;
}

/* Whether to avoid a peer. If a probe of a silent peer is due, returns false and schedules the next
   probe. */
static bool should_avoid_peer(ts_directory_t *directory, uint64_t id, ts_time_us_t now_us)
{
    peer_record_t *peer = ensure_peer(directory, id);
    if (!peer->is_silent) {
        return false;
    }
    if (now_us < peer->next_probe_us) {
        return true;
    }
    peer->next_probe_us = now_us + SILENT_PROBE_INTERVAL_US;
    return false;
}

/* Service time of a replica, decayed towards the mean if it is above the mean. */
static double decayed_service_us(const ts_directory_t *directory, const ts_replica_t *replica,
                                 ts_time_us_t now_us)
{
    double mean_us = directory->mean_service_us;
    if (replica->service_us <= mean_us || mean_us <= 0) {
        return replica->service_us;
    }
    double age_us = (double)(now_us - replica->service_updated_us);
    return mean_us + (replica->service_us - mean_us) * exp2(-age_us / SLOW_HALF_LIFE_US);
}

void ts_directory_fill_candidate(ts_directory_t *directory, const ts_backend_t *backend,
                                 ts_time_us_t now_us, ts_candidate_t *candidate)
{
    const ts_replica_t *replica = ts_directory_ensure_replica(directory, backend);
    const ts_view_member_t *owner = ts_directory_owner(directory, backend);
    candidate->slots = backend->slots;
    candidate->in_flight = replica->in_flight;
    candidate->slots_in_use = replica->slots_in_use;
    candidate->queue_length = replica->queue_length;
    candidate->hint_age_us =
        replica->load_updated_us == 0 ? NO_HINT_AGE_US : now_us - replica->load_updated_us;
    candidate->service_us = decayed_service_us(directory, replica, now_us);
    candidate->snapshot = replica->snapshot;
    candidate->avoid = replica->avoid_until_us > now_us;
    if (owner != NULL && !owner->is_self) {
        candidate->avoid |= should_avoid_peer(directory, owner->id, now_us);
    }
    candidate->same_zone = owner != NULL && strcmp(owner->zone, directory->self_zone) == 0;
    candidate->tried = false;
}
