/**
 * Replication of the quarantine between nodes. A node sends its own changes to the head of each
 * zone, from where they are forwarded down the zone's tree; each node forwards only rows that
 * changed its own table. Lost rows are repaired by anti-entropy: once a second, each node that has
 * suspects or quarantined requests, or has just started, sends the checksum of its quarantined
 * requests to a random node of its zone; a zone head, and a node alone in its zone, also sends it
 * to a random head of another zone. If the checksums differ, both nodes send their rows.
 */
#include <string.h>

#include "peers_internal.h"
#include "tealspar/counters.h"
#include "tealspar/quarantine.h"
#include "tealspar/request_digest.h"

/* Changed rows are batched for this long before they are sent. */
#define BATCH_MS 2
/* Ticks of membership (250 ms) between comparisons. */
#define COMPARE_TICKS 4U
/* A node that started less than this ago compares even an empty table: it may have restarted. */
#define STARTUP_US (5 * TS_US_PER_S)
/* Suspects sent along with the quarantined requests when checksums differ; about 60 bytes each. */
#define SUSPECTS_SENT_MAX 64U
/* Maximum number of rows in a frame, and of changed rows that wait to be sent. */
#define ROWS_MAX 2048U

struct ts_peers_quarantine {
    GHashTable *unsent; /* set of digests whose rows are to be sent, owned */
    uv_timer_t timer;   /* runs while the set is not empty */
};

// -- Rows

typedef struct row_list {
    GArray *rows;       /* of TsPeer__QuarantineRow; strings and digests are owned */
    GHashTable *wanted; /* digests to include; NULL: all */
} row_list_t;

/* Returns whether further rows fit. */
static bool append_row(void *ctx, const ts_quarantine_row_t *row)
{
    row_list_t *list = ctx;
    if (list->wanted != NULL && !g_hash_table_contains(list->wanted, &row->digest))
        return true;
    TsPeer__QuarantineRow out = TS_PEER__QUARANTINE_ROW__INIT;
    out.digest.data = g_memdup2(row->digest.bytes, sizeof(row->digest.bytes));
    out.digest.len = sizeof(row->digest.bytes);
    out.epoch = row->epoch;
    out.is_cleared = row->is_cleared;
    out.strikes = row->strikes;
    out.trials_begun = row->trials_begun;
    out.trials_ended = row->trials_ended;
    out.age_ms = row->age_ms;
    out.service = g_strdup(row->service);
    g_array_append_val(list->rows, out);
    return list->rows->len < ROWS_MAX;
}

static void clear_row(gpointer data)
{
    TsPeer__QuarantineRow *row = data;
    g_free(row->digest.data);
    g_free(row->service);
}

static GArray *collect_rows(const ts_peers_t *peers, GHashTable *wanted, unsigned suspects_max)
{
    row_list_t list = {g_array_new(FALSE, FALSE, sizeof(TsPeer__QuarantineRow)), wanted};
    g_array_set_clear_func(list.rows, clear_row);
    ts_quarantine_foreach(peers->gateway->quarantine, ts_clock_now_us(), suspects_max, append_row,
                          &list);
    return list.rows;
}

typedef void (*send_frame_t)(ts_peers_t *peers, TsPeer__Frame *frame, const char *address);

static void send_rows(ts_peers_t *peers, const GArray *rows, bool wants_rows, send_frame_t send,
                      const char *address)
{
    TsPeer__Quarantine quarantine = TS_PEER__QUARANTINE__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    GPtrArray *pointers = g_ptr_array_sized_new(rows->len + 1);
    for (guint i = 0; i < rows->len; i++)
        g_ptr_array_add(pointers, &g_array_index(rows, TsPeer__QuarantineRow, i));
    quarantine.rows = (TsPeer__QuarantineRow **)pointers->pdata;
    quarantine.n_rows = rows->len;
    quarantine.wants_rows = wants_rows;
    frame.quarantine = &quarantine;
    send(peers, &frame, address);
    g_ptr_array_unref(pointers);
}

static void send_to_one(ts_peers_t *peers, TsPeer__Frame *frame, const char *address)
{
    ts_peers_send(peers, address, frame);
}

static void send_down(ts_peers_t *peers, TsPeer__Frame *frame, const char *address)
{
    ts_peers_send_to_children(peers, frame);
}

/* Sends to all zone heads; a node that is one itself sends to its children. */
static void send_to_heads(ts_peers_t *peers, TsPeer__Frame *frame, const char *address)
{
    for (guint i = 0; i < peers->zone_heads->len; i++) {
        const ts_view_member_t *head = g_ptr_array_index(peers->zone_heads, i);
        if (head->is_self)
            ts_peers_send_to_children(peers, frame);
        else
            ts_peers_send(peers, head->address, frame);
    }
}

// -- Sending local changes

static void send_changes(uv_timer_t *timer)
{
    ts_peers_t *peers = timer->data;
    GHashTable *unsent = peers->quarantine->unsent;
    GArray *rows = collect_rows(peers, unsent, ROWS_MAX);
    if (rows->len > 0)
        send_rows(peers, rows, false, send_to_heads, NULL);
    g_array_unref(rows);
    g_hash_table_remove_all(unsent);
}

static void queue_change(void *ctx, const ts_quarantine_row_t *row)
{
    ts_peers_t *peers = ctx;
    ts_peers_quarantine_t *own = peers->quarantine;
    if (g_hash_table_size(own->unsent) >= ROWS_MAX)
        return; // a comparison will transfer the row if its request is quarantined
    g_hash_table_add(own->unsent, g_memdup2(&row->digest, sizeof(row->digest)));
    if (!uv_is_active((uv_handle_t *)&own->timer))
        uv_timer_start(&own->timer, send_changes, BATCH_MS, 0);
}

// -- Anti-entropy

static void send_comparison(ts_peers_t *peers, const char *address)
{
    TsPeer__Quarantine quarantine = TS_PEER__QUARANTINE__INIT;
    TsPeer__Frame frame = TS_PEER__FRAME__INIT;
    quarantine.is_comparison = true;
    quarantine.sum = ts_quarantine_checksum(peers->gateway->quarantine, ts_clock_now_us());
    frame.quarantine = &quarantine;
    ts_peers_send(peers, address, &frame);
}

/* A random live member of the list other than this node, or NULL. */
static const ts_view_member_t *choose_other(const ts_peers_t *peers, const GPtrArray *members)
{
    guint begin = members->len == 0 ? 0 : ts_gateway_random(peers->gateway) % members->len;
    for (guint i = 0; i < members->len; i++) {
        const ts_view_member_t *member = g_ptr_array_index(members, (begin + i) % members->len);
        if (!member->is_self && member->state == TS_MEMBER_LIVE)
            return member;
    }
    return NULL;
}

void ts_peers_compare_quarantine(ts_peers_t *peers)
{
    const ts_gateway_t *gateway = peers->gateway;
    bool is_starting = ts_clock_now_us() - gateway->opened_us < STARTUP_US;
    bool is_idle = ts_quarantine_is_empty(gateway->quarantine) && !is_starting;
    if (peers->ticks % COMPARE_TICKS != 0 || is_idle)
        return;
    const ts_view_member_t *near = choose_other(peers, peers->zone_order);
    bool is_head = peers->own_index == 0;
    const ts_view_member_t *far =
        is_head || near == NULL ? choose_other(peers, peers->zone_heads) : NULL;
    if (near != NULL)
        send_comparison(peers, near->address);
    if (far != NULL)
        send_comparison(peers, far->address);
}

// -- Receiving

static bool read_row(const TsPeer__QuarantineRow *in, ts_quarantine_row_t *row)
{
    if (in->digest.len != sizeof(row->digest.bytes))
        return false;
    memcpy(row->digest.bytes, in->digest.data, sizeof(row->digest.bytes));
    row->epoch = in->epoch;
    row->is_cleared = in->is_cleared;
    row->strikes = in->strikes;
    row->trials_begun = in->trials_begun;
    row->trials_ended = in->trials_ended;
    row->age_ms = in->age_ms;
    row->service = in->service;
    return true;
}

/* Merges rows, and forwards those that changed the local table down the zone's tree. */
static void merge_rows(ts_peers_t *peers, const TsPeer__Quarantine *quarantine)
{
    ts_time_us_t now_us = ts_clock_now_us();
    GHashTable *changed = ts_request_digest_set();
    for (size_t i = 0; i < quarantine->n_rows; i++) {
        ts_quarantine_row_t row;
        if (!read_row(quarantine->rows[i], &row))
            ts_count_error(TS_E_PROTOCOL);
        else if (ts_quarantine_merge(peers->gateway->quarantine, &row, now_us))
            g_hash_table_add(changed, g_memdup2(&row.digest, sizeof(row.digest)));
    }
    if (g_hash_table_size(changed) > 0) {
        GArray *rows = collect_rows(peers, changed, ROWS_MAX);
        send_rows(peers, rows, false, send_down, NULL);
        g_array_unref(rows);
    }
    g_hash_table_unref(changed);
}

/* Sends all quarantined requests and the latest suspects. */
static void send_table(ts_peers_t *peers, const char *address, bool wants_rows)
{
    GArray *rows = collect_rows(peers, NULL, SUSPECTS_SENT_MAX);
    send_rows(peers, rows, wants_rows, send_to_one, address);
    g_array_unref(rows);
}

static bool is_different(const ts_peers_t *peers, uint64_t sum)
{
    return sum != ts_quarantine_checksum(peers->gateway->quarantine, ts_clock_now_us());
}

void ts_peers_handle_quarantine(ts_peers_t *peers, const TsPeer__Frame *frame)
{
    const TsPeer__Quarantine *quarantine = frame->quarantine;
    merge_rows(peers, quarantine);
    if (quarantine->is_comparison && is_different(peers, quarantine->sum))
        send_table(peers, frame->address, true);
    else if (quarantine->wants_rows)
        send_table(peers, frame->address, false);
}

void ts_peers_init_quarantine(ts_peers_t *peers)
{
    peers->quarantine = g_new0(ts_peers_quarantine_t, 1);
    peers->quarantine->unsent = ts_request_digest_set();
    uv_timer_init(peers->gateway->loop, &peers->quarantine->timer);
    peers->quarantine->timer.data = peers;
    ts_quarantine_set_publisher(peers->gateway->quarantine, queue_change, peers);
}
