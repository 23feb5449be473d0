/**
 * Aggregation of evidence about backends over the fleet.
 *
 * Counts of answers are sent up: from a node to its parent in the zone's tree, and from each zone
 * head to the collector, which is one of the zone heads. Only backends that had an anomalous answer
 * or are already considered anomalous are included, so that a healthy fleet sends next to nothing:
 * an occasional late answer. The collector adds up the counts and sends the sums of anomalous
 * backends to all nodes, down the same tree. Sums replace those received before and decay over
 * time, so that lost, late or duplicate messages do no harm.
 */
#include <string.h>

#include "peers_internal.h"
#include "tealspar/counters.h"
#include "tealspar/hash.h"

/* Evidence is batched for this long before it is sent: counts up, on the collector sums down. */
#define BATCH_MS 50
/* Minimum interval at which unchanged sums of an anomalous backend are repeated while new counts
 * arrive; well within their half-life. */
#define REPEAT_INTERVAL_US (400 * TS_US_PER_MS)
/* Sums are sent again before that interval if they differ by more than this from those sent last.
 */
#define FAILURE_RATE_CHANGE 0.1  /* difference of the failure rates */
#define LATENCY_RATIO_CHANGE 1.2 /* quotient of the latency ratios, in either direction */
/*
 * If at least this many backends, and more than this share of those that answered since the last
 * batch, are anomalous at once, the cause is more likely this node or its network link, and their
 * counts are discarded.
 */
#define LOCAL_FAULT_MIN_BACKENDS 6U
#define LOCAL_FAULT_MIN_SHARE 0.5
/* Limits for each received row of counts, so that no single node outweighs the others: the number
 * of answers, and their mean of ln(time / typical time). */
#define ROW_ANSWERS_MAX 64.0F
#define ROW_LOG_RATIO_MAX 3.0F
/* A frame whose sequence number is behind the sender's last one by less than this is stale; if it
 * is further behind, the sender has restarted. */
#define SEQUENCE_WINDOW 4096U

/* Rows of one frame, filled while iterating over the instances. */
typedef struct batch {
    ts_peers_t *peers;
    ts_time_us_t now_us;
    GArray *rows; /* of TsPeer__EvidenceRow */
    bool is_local_fault;
} batch_t;

/* Backends that answered this node since the last batch. */
typedef struct activity {
    ts_time_us_t since_us;
    unsigned active;
    unsigned anomalous; /* of these, backends with an anomalous answer */
} activity_t;

static void send_rows(ts_peers_t *peers, const GArray *rows, bool is_sums,
                      void (*send)(ts_peers_t *peers, TsPeer__Frame *frame))
{
    TsPeer__Evidence evidence = TS_PEER__EVIDENCE__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    GPtrArray *pointers = g_ptr_array_sized_new(rows->len);
    for (guint i = 0; i < rows->len; i++)
        g_ptr_array_add(pointers, &g_array_index(rows, TsPeer__EvidenceRow, i));
    evidence.sequence = ++peers->evidence_sequence;
    evidence.is_sums = is_sums;
    evidence.rows = (TsPeer__EvidenceRow **)pointers->pdata;
    evidence.n_rows = rows->len;
    frame.evidence = &evidence;
    send(peers, &frame);
    g_ptr_array_unref(pointers);
}

// -- Up: counts

static void send_up(ts_peers_t *peers, TsPeer__Frame *frame)
{
    const char *parent = ts_peers_parent(peers);
    if (parent == NULL)
        parent = peers->collector;
    if (parent != NULL)
        ts_peers_send(peers, parent, frame);
}

static bool is_worth_sending(const ts_instance_t *instance, ts_time_us_t now_us)
{
    ts_evidence_sums_t known = ts_instance_evidence(instance, now_us);
    return instance->outbox.has_failure_or_slow || ts_evidence_is_anomalous(&known);
}

static void count_activity(ts_instance_t *instance, void *ctx)
{
    activity_t *activity = ctx;
    activity->active += instance->own_evidence_us >= activity->since_us;
    activity->anomalous += instance->own_anomaly_us >= activity->since_us;
}

static bool is_local_fault(const ts_peers_t *peers)
{
    activity_t activity = {MAX(peers->evidence_us, 1), 0, 0};
    ts_registry_each_instance(peers->gateway->registry, count_activity, &activity);
    return activity.anomalous >= LOCAL_FAULT_MIN_BACKENDS &&
           activity.anomalous > LOCAL_FAULT_MIN_SHARE * activity.active;
}

static void drain_outbox(ts_instance_t *instance, void *ctx)
{
    batch_t *batch = ctx;
    if (ts_evidence_count_is_empty(&instance->outbox) || !is_worth_sending(instance, batch->now_us))
        return;
    if (batch->is_local_fault && instance->own_anomaly_us >= batch->peers->evidence_us) {
        instance->outbox = (ts_evidence_count_t){0};
        return;
    }
    TsPeer__EvidenceRow row = TS_PEER__EVIDENCE_ROW__INIT;
    row.instance = instance->id;
    row.born_ms = instance->born_ms;
    row.answers = (float)instance->outbox.answers;
    row.failures = (float)instance->outbox.failures;
    row.timed = (float)instance->outbox.timed;
    row.log_ratio = (float)instance->outbox.log_ratio;
    g_array_append_val(batch->rows, row);
    instance->outbox = (ts_evidence_count_t){0};
}

static void send_counts(ts_peers_t *peers, ts_time_us_t now_us)
{
    batch_t batch = {peers, now_us, g_array_new(FALSE, FALSE, sizeof(TsPeer__EvidenceRow)),
                     is_local_fault(peers)};
    ts_registry_each_instance(peers->gateway->registry, drain_outbox, &batch);
    ts_count(TS_COUNTER_EVIDENCE_WITHHELD, batch.is_local_fault);
    if (batch.rows->len > 0)
        send_rows(peers, batch.rows, false, send_up);
    g_array_unref(batch.rows);
}

// -- Down: sums

/* Sends to the heads of the other zones and to this node's children. */
static void send_down(ts_peers_t *peers, TsPeer__Frame *frame)
{
    for (guint i = 0; i < peers->zone_heads->len; i++) {
        const ts_view_member_t *head = g_ptr_array_index(peers->zone_heads, i);
        if (!head->is_self)
            ts_peers_send(peers, head->address, frame);
    }
    ts_peers_send_to_children(peers, frame);
}

static bool is_worth_publishing(const ts_instance_t *instance, const ts_evidence_sums_t *sums,
                                ts_time_us_t now_us)
{
    ts_evidence_sums_t published = ts_evidence_sums(&instance->fleet_evidence, now_us);
    double rate_change = ts_evidence_failure_rate(sums) - ts_evidence_failure_rate(&published);
    double ratio_change = ts_evidence_latency_ratio(sums) / ts_evidence_latency_ratio(&published);
    bool is_changed = rate_change > FAILURE_RATE_CHANGE || rate_change < -FAILURE_RATE_CHANGE ||
                      ratio_change > LATENCY_RATIO_CHANGE ||
                      ratio_change < 1 / LATENCY_RATIO_CHANGE;
    bool is_anomalous = ts_evidence_is_anomalous(sums) || ts_evidence_is_anomalous(&published);
    return is_anomalous &&
           (is_changed || now_us - instance->fleet_evidence.at_us > REPEAT_INTERVAL_US);
}

static void aggregate_outbox(ts_instance_t *instance, void *ctx)
{
    batch_t *batch = ctx;
    if (ts_evidence_count_is_empty(&instance->outbox) || !is_worth_sending(instance, batch->now_us))
        return;
    if (instance->collected_evidence == NULL)
        instance->collected_evidence = g_new0(ts_evidence_t, 1);
    if (instance->fleet_evidence.at_us > instance->collected_evidence->at_us)
        *instance->collected_evidence =
            instance->fleet_evidence; // take over from a previous collector
    ts_evidence_add(instance->collected_evidence, &instance->outbox, batch->now_us);
    instance->outbox = (ts_evidence_count_t){0};
    ts_evidence_sums_t sums = ts_evidence_sums(instance->collected_evidence, batch->now_us);
    if (!is_worth_publishing(instance, &sums, batch->now_us))
        return;
    ts_evidence_set(&instance->fleet_evidence, &sums, batch->now_us);
    TsPeer__EvidenceRow row = TS_PEER__EVIDENCE_ROW__INIT;
    row.instance = instance->id;
    row.born_ms = instance->born_ms;
    row.answers = (float)sums.answers;
    row.failures = (float)sums.failures;
    row.timed = (float)sums.slots;
    row.log_ratio = (float)sums.log_ratio;
    g_array_append_val(batch->rows, row);
}

static void send_sums(ts_peers_t *peers, ts_time_us_t now_us)
{
    batch_t batch = {peers, now_us, g_array_new(FALSE, FALSE, sizeof(TsPeer__EvidenceRow)), false};
    ts_registry_each_instance(peers->gateway->registry, aggregate_outbox, &batch);
    if (batch.rows->len > 0)
        send_rows(peers, batch.rows, true, send_down);
    g_array_unref(batch.rows);
}

static void send_batch(uv_timer_t *timer)
{
    ts_peers_t *peers = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    if (peers->is_collector)
        send_sums(peers, now_us);
    else
        send_counts(peers, now_us);
    peers->evidence_us = now_us;
}

void ts_peers_schedule_evidence(void *ctx)
{
    ts_peers_t *peers = ctx;
    if (!uv_is_active((uv_handle_t *)&peers->evidence_timer))
        uv_timer_start(&peers->evidence_timer, send_batch, BATCH_MS, 0);
}

// -- Receiving

/* Records a sequence number; returns whether it is newer than the sender's previous one. */
static bool note_sequence(ts_peers_t *peers, const char *name, uint32_t sequence)
{
    gpointer last = NULL;
    bool is_known = g_hash_table_lookup_extended(peers->evidence_seen, name, NULL, &last);
    uint32_t behind = GPOINTER_TO_UINT(last) - sequence;
    if (is_known && behind < SEQUENCE_WINDOW)
        return false;
    g_hash_table_insert(peers->evidence_seen, g_strdup(name), GUINT_TO_POINTER(sequence));
    return true;
}

static void add_counts(ts_instance_t *instance, const TsPeer__EvidenceRow *row, ts_time_us_t now_us)
{
    ts_evidence_count_t count = {.has_failure_or_slow = true};
    count.answers = (uint32_t)CLAMP(row->answers, 0, ROW_ANSWERS_MAX);
    count.failures = (uint32_t)CLAMP(row->failures, 0, (float)count.answers);
    count.timed = (uint32_t)CLAMP(row->timed, 0, ROW_ANSWERS_MAX);
    float log_ratio_max = ROW_LOG_RATIO_MAX * (float)count.timed;
    count.log_ratio = CLAMP(row->log_ratio, -log_ratio_max, log_ratio_max);
    ts_instance_add_to_outbox(instance, &count, now_us);
}

static void apply_sums(ts_instance_t *instance, const TsPeer__EvidenceRow *row, ts_time_us_t now_us)
{
    ts_evidence_sums_t sums = {row->answers, row->failures, row->timed, row->log_ratio};
    ts_evidence_set(&instance->fleet_evidence, &sums, now_us);
}

void ts_peers_handle_evidence(ts_peers_t *peers, const TsPeer__Frame *frame)
{
    const TsPeer__Evidence *evidence = frame->evidence;
    ts_time_us_t now_us = ts_clock_now_us();
    if (!note_sequence(peers, frame->name, evidence->sequence)) {
        ts_count(TS_COUNTER_EVIDENCE_STALE, 1);
        return;
    }
    for (size_t i = 0; i < evidence->n_rows; i++) {
        const TsPeer__EvidenceRow *row = evidence->rows[i];
        ts_instance_key_t key = {row->instance, row->born_ms};
        ts_instance_t *instance = ts_registry_find(peers->gateway->registry, key);
        if (instance == NULL)
            continue; // this incarnation is not known here yet, or was replaced
        if (evidence->is_sums)
            apply_sums(instance, row, now_us);
        else
            add_counts(instance, row, now_us);
    }
    if (!evidence->is_sums)
        return;
    TsPeer__Evidence forwarded = *evidence;
    TsPeer__Frame copy = TS_PEER__FRAME__INIT;
    forwarded.sequence = ++peers->evidence_sequence;
    copy.evidence = &forwarded;
    ts_peers_send_to_children(peers, &copy);
}

// -- Choice of the collector

void ts_peers_choose_collector(ts_peers_t *peers)
{
    GHashTable *heads = g_hash_table_new(g_str_hash, g_str_equal); // zone -> first live member
    const ts_view_member_t *collector = NULL;
    uint64_t collector_weight = 0;
    for (size_t i = 0; i < peers->view->count; i++) {
        ts_view_member_t *member = &peers->view->members[i];
        ts_view_member_t *head = g_hash_table_lookup(heads, member->zone);
        bool is_first = head == NULL || ts_peers_compare_members(&member, &head) < 0;
        if (member->state == TS_MEMBER_LIVE && is_first)
            g_hash_table_insert(heads, member->zone, member);
    }
    g_ptr_array_set_size(peers->zone_heads, 0);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, heads);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const ts_view_member_t *head = value;
        uint64_t weight = ts_hash_mix(head->id, ts_hash_text("evidence"));
        g_ptr_array_add(peers->zone_heads, value);
        if (collector == NULL || weight > collector_weight) {
            collector = head;
            collector_weight = weight;
        }
    }
    g_hash_table_unref(heads);
    peers->collector = collector == NULL ? NULL : collector->address;
    peers->is_collector = collector != NULL && collector->is_self;
}

void ts_peers_init_evidence(ts_peers_t *peers)
{
    peers->zone_heads = g_ptr_array_new();
    peers->evidence_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    peers->evidence_sequence = ts_gateway_random(peers->gateway);
    uv_timer_init(peers->gateway->loop, &peers->evidence_timer);
    peers->evidence_timer.data = peers;
    ts_peers_choose_collector(peers);
}
