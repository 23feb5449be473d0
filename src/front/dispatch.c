/** Sends attempts; subrequests to the same owner go in one message. */
#include <string.h>

#include "front_internal.h"
#include "tealspar/counters.h"

typedef struct owner_batch {
    uint64_t peer; /* the owner; TS_PEER_SELF: this node */
    GArray *parts; /* of ts_subrequest_t */
} owner_batch_t;

struct ts_dispatch {
    ts_query_t *query;
    GArray *batches; /* of owner_batch_t */
    ts_time_us_t now_us;
};

ts_dispatch_t *ts_dispatch_begin(ts_query_t *query)
{
    ts_dispatch_t *dispatch = g_new0(ts_dispatch_t, 1);
    dispatch->query = query;
    dispatch->batches = g_array_new(FALSE, FALSE, sizeof(owner_batch_t));
    dispatch->now_us = ts_clock_now_us();
    return dispatch;
}

/* The subrequests to a peer; the batch is created on first use. */
static GArray *ensure_batch(ts_dispatch_t *dispatch, uint64_t peer)
{
    for (guint i = 0; i < dispatch->batches->len; i++) {
        owner_batch_t *batch = &g_array_index(dispatch->batches, owner_batch_t, i);
        if (batch->peer == peer) {
            return batch->parts;
        }
    }
    owner_batch_t batch = {peer, g_array_new(FALSE, FALSE, sizeof(ts_subrequest_t))};
    g_array_append_val(dispatch->batches, batch);
    return batch.parts;
}

/* Creates an attempt, adds it to the front's table and counts it at its replica and its peer. */
static ts_attempt_t *create_attempt(ts_dispatch_t *dispatch, uint32_t fragment_index,
                                    ts_replica_t *replica, uint64_t peer)
{
    ts_front_t *front = dispatch->query->front;
    ts_attempt_t *attempt = g_new0(ts_attempt_t, 1);
    attempt->counter = front->next_counter++;
    attempt->peer = peer;
    attempt->query = dispatch->query;
    attempt->fragment_index = fragment_index;
    attempt->replica = replica;
    attempt->sent_us = dispatch->now_us;
    replica->in_flight++;
    ts_directory_note_sent(front->directory, peer, dispatch->now_us);
    g_hash_table_insert(front->attempts, &attempt->counter, attempt);
    return attempt;
}

ts_error_t ts_dispatch_add(ts_dispatch_t *dispatch, uint32_t fragment_index, uint32_t replica_index,
                           uint64_t wanted_snapshot, bool is_hedge)
{
    ts_query_t *query = dispatch->query;
    ts_fragment_t *fragment = &query->fragments[fragment_index];
    const ts_backend_t *backend = &query->declarations->backends[fragment->replicas[replica_index]];
    const ts_view_member_t *owner = ts_directory_owner(query->front->directory, backend);
    if (owner == NULL) {
        return TS_E_NO_REPLICA;
    }
    uint64_t peer = owner->is_self ? TS_PEER_SELF : owner->id;
    ts_replica_t *replica = ts_directory_ensure_replica(query->front->directory, backend);
    ts_attempt_t *attempt = create_attempt(dispatch, fragment_index, replica, peer);
    attempt->is_hedge = is_hedge;
    attempt->replica_index = replica_index;
    attempt->wanted_snapshot = wanted_snapshot;
    fragment->attempts[fragment->attempts_in_flight++] = attempt;
    fragment->attempts_made++;
    fragment->last_peer = peer;
    fragment->tried |= 1ULL << replica_index;
    fragment->state = TS_FRAGMENT_WAITING;
    ts_subrequest_t part = {
        .counter = attempt->counter,
        .backend = backend->id,
        .shard = query->declarations->shards[fragment->shard].id,
        .wanted_snapshot = wanted_snapshot,
    };
    g_array_append_val(ensure_batch(dispatch, peer), part);
    return TS_OK;
}

static void send_batch(const ts_dispatch_t *dispatch, const owner_batch_t *batch)
{
    ts_front_t *front = dispatch->query->front;
    ts_subrequests_message_t *message =
        ts_subrequests_message(batch->peer, dispatch->query->work, batch->parts->len);
    memcpy(message->parts, batch->parts->data, batch->parts->len * sizeof(ts_subrequest_t));
    bool is_local = batch->peer == TS_PEER_SELF;
    ts_count(TS_COUNTER_SUBREQUESTS, batch->parts->len);
    ts_count(TS_COUNTER_SUBREQUESTS_LOCAL, is_local ? batch->parts->len : 0);
    ts_front_start_silence_check(front);
    ts_task_send(is_local ? front->broker : front->mesh, &message->head);
}

void ts_dispatch_send(ts_dispatch_t *dispatch)
{
    for (guint i = 0; i < dispatch->batches->len; i++) {
        owner_batch_t *batch = &g_array_index(dispatch->batches, owner_batch_t, i);
        send_batch(dispatch, batch);
        g_array_free(batch->parts, TRUE);
    }
    g_array_free(dispatch->batches, TRUE);
    g_free(dispatch);
}

static void remove_attempt(ts_fragment_t *fragment, const ts_attempt_t *attempt)
{
    for (uint32_t i = 0; i < fragment->attempts_in_flight; i++) {
        if (fragment->attempts[i] == attempt) {
            fragment->attempts[i] = fragment->attempts[--fragment->attempts_in_flight];
            return;
        }
    }
}

bool ts_attempt_is_measurable(const ts_attempt_t *attempt)
{
    return attempt->sent_us >= attempt->query->front->stalled_until_us;
}

/* The age of a cancelled attempt is a lower bound of its latency. Hedges do not enter the
 * histogram. */
static void record_cancelled(const ts_attempt_t *attempt)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t age_us = now_us - attempt->sent_us;
    ts_directory_record_cancelled(attempt->query->front->directory, attempt->replica, age_us,
                                  now_us);
    if (!attempt->is_hedge && ts_attempt_is_measurable(attempt)) {
        ts_histogram_add(&attempt->query->stats->latencies, age_us);
    }
}

void ts_attempt_end(ts_attempt_t *attempt, bool cancel)
{
    ts_front_t *front = attempt->query->front;
    remove_attempt(&attempt->query->fragments[attempt->fragment_index], attempt);
    attempt->replica->in_flight--;
    ts_directory_note_ended(front->directory, attempt->peer);
    if (cancel) {
        record_cancelled(attempt);
        ts_count(TS_COUNTER_CANCELS, 1);
        ts_front_send_cancel(front, attempt->peer, attempt->counter);
    }
    g_hash_table_remove(front->attempts, &attempt->counter);
}
