/**
 * Evidence about back ends, merged over the fleet.
 *
 * Counts of answers go up: from a node to its parent in the zone's tree, from the zone's head to
 * the one head that collects for all zones. They are sent only of back ends that some answer was
 * unusual of, or that are believed bad already; while all is well nothing is sent but for a late
 * answer now and then. The collector adds the counts up and tells everybody the sums of what is
 * bad, down the same tree. The sums replace what was heard before, so that a message that is lost,
 * late or sent twice does no harm, and they fade by themselves.
 */
#include <string.h>

#include "peers_internal.h"
#include "tealspar/counters.h"
#include "tealspar/hash.h"

/* Counts are gathered for so long before they go one step up. */
#define TELL_MS 50
/* Sums that did not change much are told again after this, well within their half-life. */
#define REPEAT_US (400 * TS_US_PER_MS)
/* What counts as a change of what was told. */
#define FAILING_CHANGE 0.1
#define SLOWNESS_CHANGE 1.2
/*
 * When so many back ends, and more than this share of those that answered within a turn, look bad
 * at once, it is rather this node or its link that is.
 */
#define OWN_TROUBLE_LEAST 6U
#define OWN_TROUBLE_SHARE 0.5
/* Most that one row may add, so that no single node outweighs the others. */
#define ROW_ANSWERS_MAX 64.0F
#define ROW_LOG_RATIO_MAX 3.0F
/* A sequence that lies behind by less than this is old, by more is that of a new process. */
#define SEQUENCE_WINDOW 4096U

/* Rows of one frame, built while instances are visited. */
typedef struct rows {
    ts_peers_t *peers;
    ts_time_us_t now_us;
    GArray *rows; /* of TsPeer__EvidenceRow */
    bool is_own_trouble;
} rows_t;

/* Back ends that answered this node since the last turn. */
typedef struct activity {
    ts_time_us_t since_us;
    unsigned active;
    unsigned unusual; /* of these, the ones of which an answer was unusual */
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

static bool is_worth_telling(const ts_instance_t *instance, ts_time_us_t now_us)
{
    ts_evidence_sums_t known = ts_instance_evidence(instance, now_us);
    return instance->outbox.has_failure_or_slow || ts_evidence_is_anomalous(&known);
}

static void count_activity(ts_instance_t *instance, void *ctx)
{
    activity_t *activity = ctx;
    activity->active += instance->own_us >= activity->since_us;
    activity->unusual += instance->own_sign_us >= activity->since_us;
}

static bool is_own_trouble(const ts_peers_t *peers)
{
    activity_t activity = {MAX(peers->evidence_us, 1), 0, 0};
    ts_registry_each_instance(peers->gateway->registry, count_activity, &activity);
    return activity.unusual >= OWN_TROUBLE_LEAST &&
           activity.unusual > OWN_TROUBLE_SHARE * activity.active;
}

static void take_outbox(ts_instance_t *instance, void *ctx)
{
    rows_t *batch = ctx;
    if (ts_evidence_count_is_empty(&instance->outbox) || !is_worth_telling(instance, batch->now_us))
        return;
    if (batch->is_own_trouble && instance->own_sign_us >= batch->peers->evidence_us) {
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

static void tell_up(ts_peers_t *peers, ts_time_us_t now_us)
{
    rows_t batch = {peers, now_us, g_array_new(FALSE, FALSE, sizeof(TsPeer__EvidenceRow)),
                    is_own_trouble(peers)};
    ts_registry_each_instance(peers->gateway->registry, take_outbox, &batch);
    ts_count(TS_COUNTER_EVIDENCE_WITHHELD, batch.is_own_trouble);
    if (batch.rows->len > 0)
        send_rows(peers, batch.rows, false, send_up);
    g_array_unref(batch.rows);
}

// -- Down: sums

/* To the heads of the other zones and this node's own children. */
static void send_down(ts_peers_t *peers, TsPeer__Frame *frame)
{
    for (guint i = 0; i < peers->zone_heads->len; i++) {
        const ts_view_member_t *head = g_ptr_array_index(peers->zone_heads, i);
        if (!head->is_self)
            ts_peers_send(peers, head->address, frame);
    }
    ts_peers_send_to_children(peers, frame);
}

static bool is_news(const ts_instance_t *instance, const ts_evidence_sums_t *sums,
                    ts_time_us_t now_us)
{
    ts_evidence_sums_t told = ts_evidence_sums(&instance->heard, now_us);
    double failing = ts_evidence_failure_rate(sums) - ts_evidence_failure_rate(&told);
    double slowness = ts_evidence_latency_ratio(sums) / ts_evidence_latency_ratio(&told);
    bool is_changed = failing > FAILING_CHANGE || failing < -FAILING_CHANGE ||
                      slowness > SLOWNESS_CHANGE || slowness < 1 / SLOWNESS_CHANGE;
    bool is_unusual = ts_evidence_is_anomalous(sums) || ts_evidence_is_anomalous(&told);
    return is_unusual && (is_changed || now_us - instance->heard.at_us > REPEAT_US);
}

static void collect(ts_instance_t *instance, void *ctx)
{
    rows_t *batch = ctx;
    if (ts_evidence_count_is_empty(&instance->outbox) || !is_worth_telling(instance, batch->now_us))
        return;
    if (instance->collected == NULL)
        instance->collected = g_new0(ts_evidence_t, 1);
    if (instance->heard.at_us > instance->collected->at_us)
        *instance->collected = instance->heard; // goes on from what another collector knew
    ts_evidence_add(instance->collected, &instance->outbox, batch->now_us);
    instance->outbox = (ts_evidence_count_t){0};
    ts_evidence_sums_t sums = ts_evidence_sums(instance->collected, batch->now_us);
    if (!is_news(instance, &sums, batch->now_us))
        return;
    ts_evidence_set(&instance->heard, &sums, batch->now_us);
    TsPeer__EvidenceRow row = TS_PEER__EVIDENCE_ROW__INIT;
    row.instance = instance->id;
    row.born_ms = instance->born_ms;
    row.answers = (float)sums.answers;
    row.failures = (float)sums.failures;
    row.timed = (float)sums.slots;
    row.log_ratio = (float)sums.log_ratio;
    g_array_append_val(batch->rows, row);
}

static void tell_down(ts_peers_t *peers, ts_time_us_t now_us)
{
    rows_t batch = {peers, now_us, g_array_new(FALSE, FALSE, sizeof(TsPeer__EvidenceRow)), false};
    ts_registry_each_instance(peers->gateway->registry, collect, &batch);
    if (batch.rows->len > 0)
        send_rows(peers, batch.rows, true, send_down);
    g_array_unref(batch.rows);
}

static void tell(uv_timer_t *timer)
{
    ts_peers_t *peers = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    if (peers->is_collector)
        tell_down(peers, now_us);
    else
        tell_up(peers, now_us);
    peers->evidence_us = now_us;
}

void ts_peers_wake_evidence(void *ctx)
{
    ts_peers_t *peers = ctx;
    if (!uv_is_active((uv_handle_t *)&peers->evidence_timer))
        uv_timer_start(&peers->evidence_timer, tell, TELL_MS, 0);
}

// -- Receiving

/* Whether the frame is newer than what came from its sender before. */
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

static void take_counts(ts_instance_t *instance, const TsPeer__EvidenceRow *row,
                        ts_time_us_t now_us)
{
    ts_evidence_count_t count = {.has_failure_or_slow = true};
    count.answers = (uint32_t)CLAMP(row->answers, 0, ROW_ANSWERS_MAX);
    count.failures = (uint32_t)CLAMP(row->failures, 0, (float)count.answers);
    count.timed = (uint32_t)CLAMP(row->timed, 0, ROW_ANSWERS_MAX);
    float most = ROW_LOG_RATIO_MAX * (float)count.timed;
    count.log_ratio = CLAMP(row->log_ratio, -most, most);
    ts_instance_add_to_outbox(instance, &count, now_us);
}

static void take_sums(ts_instance_t *instance, const TsPeer__EvidenceRow *row, ts_time_us_t now_us)
{
    ts_evidence_sums_t sums = {row->answers, row->failures, row->timed, row->log_ratio};
    ts_evidence_set(&instance->heard, &sums, now_us);
}

void ts_peers_take_evidence(ts_peers_t *peers, const TsPeer__Frame *frame)
{
    const TsPeer__Evidence *evidence = frame->evidence;
    ts_time_us_t now_us = ts_clock_now_us();
    if (!note_sequence(peers, frame->name, evidence->sequence)) {
        ts_count(TS_COUNTER_EVIDENCE_STALE, 1);
        return;
    }
    for (size_t i = 0; i < evidence->n_rows; i++) {
        const TsPeer__EvidenceRow *row = evidence->rows[i];
        ts_life_t life = {row->instance, row->born_ms};
        ts_instance_t *instance = ts_registry_find(peers->gateway->registry, life);
        if (instance == NULL)
            continue; // that life is not known here yet, or no longer the present one
        if (evidence->is_sums)
            take_sums(instance, row, now_us);
        else
            take_counts(instance, row, now_us);
    }
    if (!evidence->is_sums)
        return;
    TsPeer__Evidence onward = *evidence;
    TsPeer__Frame copy = TS_PEER__FRAME__INIT;
    onward.sequence = ++peers->evidence_sequence;
    copy.evidence = &onward;
    ts_peers_send_to_children(peers, &copy);
}

// -- Who collects

void ts_peers_find_collector(ts_peers_t *peers)
{
    GHashTable *heads = g_hash_table_new(g_str_hash, g_str_equal); // zone -> its first member
    const ts_view_member_t *best = NULL;
    uint64_t best_weight = 0;
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
        if (best == NULL || weight > best_weight) {
            best = head;
            best_weight = weight;
        }
    }
    g_hash_table_unref(heads);
    peers->collector = best == NULL ? NULL : best->address;
    peers->is_collector = best != NULL && best->is_self;
}

void ts_peers_open_evidence(ts_peers_t *peers)
{
    peers->zone_heads = g_ptr_array_new();
    peers->evidence_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    peers->evidence_sequence = ts_gateway_random(peers->gateway);
    uv_timer_init(peers->gateway->loop, &peers->evidence_timer);
    peers->evidence_timer.data = peers;
    ts_peers_find_collector(peers);
}
