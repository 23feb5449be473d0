/** Quarantine table: entries, their states, and the merge of rows from other nodes. */
#include "tealspar/quarantine.h"

#include <glib.h>
#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/hash.h"
#include "tealspar/log.h"

/*
 * Strikes after which a request is quarantined. A single crash may have been caused by another
 * request at the same backend; each further strike costs another backend if the request is fatal.
 */
#define QUARANTINE_MIN_STRIKES 2U
/* Length of a quarantine from the last strike; it doubles with each further strike. */
#define QUARANTINE_US (600 * TS_US_PER_S)
#define QUARANTINE_DOUBLINGS_MAX 3U
/* Suspects expire after this time, and quarantined entries this long after their quarantine. */
#define SUSPECT_EXPIRY_US (600 * TS_US_PER_S)
/* Cleared entries are kept while older rows may still arrive from other nodes. */
#define CLEARED_EXPIRY_US (30 * TS_US_PER_S)
/* A trial without outcome counts as ended after this time: its node is gone or stalled. */
#define TRIAL_TIMEOUT_US (2 * TS_US_PER_S)
/* Limits of entries with `is_quarantined` unset, and of those with it set; a full table takes 759
 * kB (bench_quarantine). */
#define SUSPECTS_MAX 1024U
#define QUARANTINED_MAX 1024U
#define SERVICE_NAME_MAX 256U

typedef struct entry {
    ts_request_digest_t digest;
    uint32_t epoch;
    uint32_t strikes;
    uint32_t trials_begun;
    uint32_t trials_ended;
    bool is_cleared;
    bool is_quarantined;     /* remains set after the quarantine has ended, see is_quarantined() */
    ts_time_us_t changed_us; /* when `strikes` or `is_cleared` last changed */
    ts_time_us_t trial_us;   /* when this node learned of the last trial */
    ts_time_us_t struck_us;  /* when this node learned of the last strike */
    char *service;
} entry_t;

struct ts_quarantine {
    GHashTable *entries;  /* digest -> entry_t, owned */
    unsigned quarantined; /* entries with `is_quarantined` set */
    ts_quarantine_publish_t publisher;
    void *publisher_ctx;
};

static void free_entry(gpointer data)
{
    entry_t *entry = data;
    g_free(entry->service);
    g_free(entry);
}

ts_quarantine_t *ts_quarantine_create(void)
{
    ts_quarantine_t *quarantine = g_new0(ts_quarantine_t, 1);
    quarantine->entries =
        g_hash_table_new_full(ts_request_digest_hash, ts_request_digest_equal, NULL, free_entry);
    return quarantine;
}

void ts_quarantine_destroy(ts_quarantine_t *quarantine)
{
    g_hash_table_destroy(quarantine->entries);
    g_free(quarantine);
}

void ts_quarantine_set_publisher(ts_quarantine_t *quarantine, ts_quarantine_publish_t publisher,
                                 void *ctx)
{
    quarantine->publisher = publisher;
    quarantine->publisher_ctx = ctx;
}

bool ts_quarantine_is_empty(const ts_quarantine_t *quarantine)
{
    return g_hash_table_size(quarantine->entries) == 0;
}

static entry_t *find(const ts_quarantine_t *quarantine, const ts_request_digest_t *digest)
{
    return g_hash_table_lookup(quarantine->entries, digest);
}

// -- States

static ts_time_us_t quarantine_span_us(const entry_t *entry)
{
    return QUARANTINE_US << MIN(entry->strikes - QUARANTINE_MIN_STRIKES, QUARANTINE_DOUBLINGS_MAX);
}

static bool is_quarantined(const entry_t *entry, ts_time_us_t now_us)
{
    return entry->is_quarantined && now_us - entry->changed_us < quarantine_span_us(entry);
}

static bool is_on_trial(const entry_t *entry, ts_time_us_t now_us)
{
    return entry->trials_begun > entry->trials_ended && now_us - entry->trial_us < TRIAL_TIMEOUT_US;
}

static ts_quarantine_state_t state_of(const entry_t *entry, ts_time_us_t now_us)
{
    if (entry->is_cleared)
        return TS_QUARANTINE_CLEAR;
    if (is_quarantined(entry, now_us))
        return TS_QUARANTINE_QUARANTINED;
    return is_on_trial(entry, now_us) ? TS_QUARANTINE_TRIAL : TS_QUARANTINE_SUSPECT;
}

static bool is_expired(const entry_t *entry, ts_time_us_t now_us)
{
    ts_time_us_t age_us = now_us - entry->changed_us;
    if (entry->is_cleared)
        return age_us > CLEARED_EXPIRY_US;
    return age_us > SUSPECT_EXPIRY_US + (entry->is_quarantined ? quarantine_span_us(entry) : 0);
}

ts_quarantine_state_t ts_quarantine_find(const ts_quarantine_t *quarantine,
                                         const ts_request_digest_t *digest, ts_time_us_t now_us)
{
    const entry_t *entry = find(quarantine, digest);
    return entry == NULL ? TS_QUARANTINE_CLEAR : state_of(entry, now_us);
}

const char *ts_quarantine_service(const ts_quarantine_t *quarantine,
                                  const ts_request_digest_t *digest)
{
    const entry_t *entry = find(quarantine, digest);
    return entry == NULL ? NULL : entry->service;
}

// -- Changes

static ts_quarantine_row_t row_of(const entry_t *entry, ts_time_us_t now_us)
{
    return (ts_quarantine_row_t){
        .digest = entry->digest,
        .epoch = entry->epoch,
        .strikes = entry->strikes,
        .trials_begun = entry->trials_begun,
        .trials_ended = entry->trials_ended,
        .age_ms = (uint32_t)MIN((now_us - entry->changed_us) / TS_US_PER_MS, UINT32_MAX),
        .service = entry->service,
        .is_cleared = entry->is_cleared,
    };
}

static void publish(const ts_quarantine_t *quarantine, const entry_t *entry, ts_time_us_t now_us)
{
    ts_quarantine_row_t row = row_of(entry, now_us);
    if (quarantine->publisher != NULL)
        quarantine->publisher(quarantine->publisher_ctx, &row);
}

/* Logs a state change. The event of quarantined requests has a higher level than that of suspects,
 * which may be numerous. */
static void log_state(const entry_t *entry, ts_event_t event, const char *state, const char *source)
{
    char digest[TS_REQUEST_DIGEST_TEXT];
    ts_request_digest_print(&entry->digest, digest);
    ts_log(event, "digest=%s state=%s service=%s strikes=%u source=%s", digest, state,
           entry->service, entry->strikes, source);
}

/* Quarantines an entry with enough strikes, unless the limit is reached; evicts no other entry. */
static void quarantine_if_due(ts_quarantine_t *quarantine, entry_t *entry, const char *source)
{
    if (entry->is_quarantined || entry->is_cleared || entry->strikes < QUARANTINE_MIN_STRIKES)
        return;
    if (quarantine->quarantined >= QUARANTINED_MAX) {
        ts_count(TS_COUNTER_QUARANTINE_FULL, 1);
        return;
    }
    entry->is_quarantined = true;
    quarantine->quarantined++;
    ts_count(TS_COUNTER_QUARANTINE_HELD, 1);
    log_state(entry, TS_EVENT_QUARANTINE_STATE, "held", source);
}

static void release(ts_quarantine_t *quarantine, entry_t *entry)
{
    quarantine->quarantined -= entry->is_quarantined;
    entry->is_quarantined = false;
}

static void remove_entry(ts_quarantine_t *quarantine, entry_t *entry)
{
    release(quarantine, entry);
    g_hash_table_remove(quarantine->entries, &entry->digest);
}

static void evict_if_full(ts_quarantine_t *quarantine)
{
    entry_t *oldest = NULL;
    GHashTableIter iterator;
    gpointer value = NULL;
    if (g_hash_table_size(quarantine->entries) - quarantine->quarantined < SUSPECTS_MAX)
        return;
    g_hash_table_iter_init(&iterator, quarantine->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        entry_t *entry = value;
        if (!entry->is_quarantined && (oldest == NULL || entry->changed_us < oldest->changed_us))
            oldest = entry;
    }
    if (oldest == NULL)
        return;
    ts_count(TS_COUNTER_QUARANTINE_PUSHED_OUT, 1);
    remove_entry(quarantine, oldest);
}

static entry_t *add_entry(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                          const char *service, ts_time_us_t now_us)
{
    evict_if_full(quarantine);
    entry_t *entry = g_new0(entry_t, 1);
    entry->digest = *digest;
    entry->changed_us = now_us;
    entry->service = g_strndup(service, SERVICE_NAME_MAX);
    g_hash_table_insert(quarantine->entries, &entry->digest, entry);
    return entry;
}

static void set_service(entry_t *entry, const char *service)
{
    if (strcmp(entry->service, service) == 0)
        return;
    g_free(entry->service);
    entry->service = g_strndup(service, SERVICE_NAME_MAX);
}

/* Finds or creates the entry of a suspected request; starts a new epoch if it was cleared. */
static entry_t *mark_suspect(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                             const char *service, ts_time_us_t now_us)
{
    entry_t *entry = find(quarantine, digest);
    bool is_new = entry == NULL || entry->is_cleared;
    if (entry == NULL)
        entry = add_entry(quarantine, digest, service, now_us);
    if (entry->is_cleared) {
        entry->is_cleared = false;
        entry->epoch++;
        entry->strikes = entry->trials_begun = entry->trials_ended = 0;
    }
    entry->changed_us = now_us;
    set_service(entry, service);
    if (is_new) {
        ts_count(TS_COUNTER_QUARANTINE_SUSPECTED, 1);
        log_state(entry, TS_EVENT_QUARANTINE_SUSPECT, "suspect", "own");
    }
    return entry;
}

void ts_quarantine_suspect(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                           const char *service, ts_time_us_t now_us)
{
    if (ts_quarantine_find(quarantine, digest, now_us) == TS_QUARANTINE_QUARANTINED)
        return; // the broken sends date from before the quarantine
    publish(quarantine, mark_suspect(quarantine, digest, service, now_us), now_us);
}

void ts_quarantine_strike(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                          const char *service, ts_time_us_t sent_us, ts_time_us_t now_us)
{
    entry_t *entry = mark_suspect(quarantine, digest, service, now_us);
    bool is_independent = entry->strikes == 0 || sent_us >= entry->struck_us;
    entry->trials_ended = entry->trials_begun;
    if (is_independent) {
        entry->strikes++;
        entry->struck_us = now_us;
        ts_count(TS_COUNTER_QUARANTINE_STRIKES, 1);
    }
    quarantine_if_due(quarantine, entry, "own");
    publish(quarantine, entry, now_us);
}

void ts_quarantine_clear(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                         const char *service, ts_time_us_t now_us)
{
    entry_t *entry = find(quarantine, digest);
    if (entry == NULL || entry->is_cleared || strcmp(entry->service, service) != 0)
        return;
    bool was_quarantined = entry->is_quarantined;
    release(quarantine, entry);
    entry->is_cleared = true;
    entry->changed_us = now_us;
    ts_count(TS_COUNTER_QUARANTINE_CLEARED, 1);
    log_state(entry, was_quarantined ? TS_EVENT_QUARANTINE_STATE : TS_EVENT_QUARANTINE_SUSPECT,
              "cleared", "own");
    publish(quarantine, entry, now_us);
}

void ts_quarantine_begin_trial(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                               ts_time_us_t now_us)
{
    entry_t *entry = find(quarantine, digest);
    if (entry == NULL || entry->is_cleared)
        return;
    entry->trials_begun = MAX(entry->trials_begun, entry->trials_ended) + 1;
    entry->trial_us = now_us;
    ts_count(TS_COUNTER_QUARANTINE_TRIALS, 1);
    publish(quarantine, entry, now_us);
}

void ts_quarantine_end_trial(ts_quarantine_t *quarantine, const ts_request_digest_t *digest,
                             ts_time_us_t now_us)
{
    entry_t *entry = find(quarantine, digest);
    if (entry == NULL || entry->trials_ended >= entry->trials_begun)
        return;
    entry->trials_ended = entry->trials_begun;
    publish(quarantine, entry, now_us);
}

// -- Merging

/* Whether the row supersedes the entry: a later epoch, or cleared in the same epoch. */
static bool supersedes(const ts_quarantine_row_t *row, const entry_t *entry)
{
    if (row->epoch != entry->epoch)
        return row->epoch > entry->epoch;
    return row->is_cleared && !entry->is_cleared;
}

static bool is_superseded(const ts_quarantine_row_t *row, const entry_t *entry)
{
    if (row->epoch != entry->epoch)
        return row->epoch < entry->epoch;
    return entry->is_cleared && !row->is_cleared;
}

static ts_time_us_t changed_at(const ts_quarantine_row_t *row, ts_time_us_t now_us)
{
    ts_time_us_t age_us = row->age_ms * TS_US_PER_MS;
    return age_us < now_us ? now_us - age_us : 0;
}

/* Raises the entry's counts to those of the row; returns whether any was raised. */
static bool merge_counts(entry_t *entry, const ts_quarantine_row_t *row, ts_time_us_t now_us)
{
    bool is_changed = row->strikes > entry->strikes || row->trials_begun > entry->trials_begun ||
                      row->trials_ended > entry->trials_ended;
    if (row->strikes > entry->strikes) {
        entry->changed_us = changed_at(row, now_us);
        entry->struck_us = now_us;
        set_service(entry, row->service);
    }
    if (row->trials_begun > entry->trials_begun)
        entry->trial_us = now_us;
    entry->strikes = MAX(entry->strikes, row->strikes);
    entry->trials_begun = MAX(entry->trials_begun, row->trials_begun);
    entry->trials_ended = MAX(entry->trials_ended, row->trials_ended);
    return is_changed;
}

static void replace_entry(ts_quarantine_t *quarantine, entry_t *entry,
                          const ts_quarantine_row_t *row, ts_time_us_t now_us)
{
    release(quarantine, entry);
    entry->epoch = row->epoch;
    entry->is_cleared = row->is_cleared;
    entry->strikes = entry->trials_begun = entry->trials_ended = 0;
    entry->changed_us = changed_at(row, now_us);
    set_service(entry, row->service);
    (void)merge_counts(entry, row, now_us);
}

bool ts_quarantine_merge(ts_quarantine_t *quarantine, const ts_quarantine_row_t *row,
                         ts_time_us_t now_us)
{
    entry_t *entry = find(quarantine, &row->digest);
    bool is_new = entry == NULL;
    if (is_new)
        entry = add_entry(quarantine, &row->digest, row->service, changed_at(row, now_us));
    if (!is_new && is_superseded(row, entry))
        return false;
    bool is_changed = true;
    if (is_new || supersedes(row, entry))
        replace_entry(quarantine, entry, row, now_us);
    else
        is_changed = merge_counts(entry, row, now_us);
    quarantine_if_due(quarantine, entry, "peer");
    if (is_expired(entry, now_us)) {
        remove_entry(quarantine, entry);
        return false;
    }
    return is_changed;
}

// -- All entries

uint64_t ts_quarantine_checksum(const ts_quarantine_t *quarantine, ts_time_us_t now_us)
{
    uint64_t sum = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, quarantine->entries);
    while (quarantine->quarantined > 0 && g_hash_table_iter_next(&iterator, NULL, &value)) {
        const entry_t *entry = value;
        uint64_t digest;
        memcpy(&digest, entry->digest.bytes, sizeof(digest));
        if (is_quarantined(entry, now_us))
            sum ^= ts_hash_mix(digest, ((uint64_t)entry->epoch << 32) + entry->strikes);
    }
    return sum;
}

static gint compare_entries(gconstpointer left, gconstpointer right)
{
    const entry_t *a = *(entry_t *const *)left;
    const entry_t *b = *(entry_t *const *)right;
    if (a->is_quarantined != b->is_quarantined)
        return a->is_quarantined ? -1 : 1;
    return (a->changed_us < b->changed_us) - (a->changed_us > b->changed_us);
}

void ts_quarantine_foreach(const ts_quarantine_t *quarantine, ts_time_us_t now_us,
                           unsigned suspects_max, ts_quarantine_visit_t visit, void *ctx)
{
    GPtrArray *order = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, quarantine->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        g_ptr_array_add(order, value);
    g_ptr_array_sort(order, compare_entries);
    for (guint i = 0; i < order->len && i < quarantine->quarantined + suspects_max; i++) {
        ts_quarantine_row_t row = row_of(g_ptr_array_index(order, i), now_us);
        if (!visit(ctx, &row))
            break;
    }
    g_ptr_array_unref(order);
}

void ts_quarantine_expire(ts_quarantine_t *quarantine, ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, quarantine->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (!is_expired(value, now_us))
            continue;
        release(quarantine, value);
        g_hash_table_iter_remove(&iterator);
    }
}

unsigned ts_quarantine_count(const ts_quarantine_t *quarantine, ts_quarantine_state_t state,
                             ts_time_us_t now_us)
{
    unsigned count = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, quarantine->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        count += state_of(value, now_us) == state;
    return count;
}
