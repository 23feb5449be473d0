/** Local mirror of the configuration service's entries. */
#include "tealspar/store_mirror.h"

#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/store_precedence.h"

/* Deleted entries are kept as tombstones this long, for peers that were unreachable meanwhile. */
#define TOMBSTONE_RETENTION_US (60 * TS_US_PER_S)

/*
 * The instance window: after a restore of the service a backend has written its entry again at its
 * second heartbeat at the latest.
 */
#define REWRITE_HEARTBEATS 2U
#define REWRITE_MARGIN_MS 600U
/* The evacuation window: minimum time for operators to write evacuation entries again. */
#define OPERATOR_REWRITE_MS 5000U

/* Maximum length of an entry's id in the log line about a refused entry. */
#define LOGGED_ID_MAX 64

typedef struct mirror_entry {
    ts_store_entry_t entry; /* effective */
    /* Entry of the current epoch while one of an earlier epoch is effective; otherwise NULL. */
    ts_store_entry_t *deferred;
    uint64_t version; /* configurations only */
    ts_time_us_t updated_us;
} mirror_entry_t;

struct ts_store_mirror {
    ts_gateway_t *gateway;
    GHashTable *items; /* key -> mirror_entry_t, owned */
    ts_store_position_t position;
    /* Changes after an earlier position can no longer be listed singly: tombstones were removed, or
     * a list replaced the changes. */
    ts_store_position_t history_start;
    uint64_t base_revision;
    uint64_t rewrite_window_epoch; /* epoch of the last rewrite window; 0: none */
    uv_timer_t rewrite_timer;
    bool is_instance_window_open;
    bool is_evacuation_window_open;
    ts_time_us_t confirmed_us;
    bool is_loaded;
};

static void on_rewrite_timer(uv_timer_t *timer);

static void clear_entry(ts_store_entry_t *entry)
{
    g_free(entry->key);
    g_free(entry->id);
    g_free(entry->value);
}

static void clear_deferred(mirror_entry_t *item)
{
    if (item->deferred == NULL)
        return;
    clear_entry(item->deferred);
    g_clear_pointer(&item->deferred, g_free);
}

static void free_item(gpointer data)
{
    mirror_entry_t *item = data;
    clear_deferred(item);
    clear_entry(&item->entry);
    g_free(item);
}

ts_store_mirror_t *ts_store_mirror_create(ts_gateway_t *gateway)
{
    ts_store_mirror_t *mirror = g_new0(ts_store_mirror_t, 1);
    mirror->gateway = gateway;
    mirror->items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_item);
    uv_timer_init(gateway->loop, &mirror->rewrite_timer);
    mirror->rewrite_timer.data = mirror;
    return mirror;
}

/* -- Applying to the registry ------------------------------------------------------------------ */

/*
 * Handles an invalid instance entry: removes the backend that an earlier, valid version of the
 * entry may have added. Logged once per change of the entry.
 */
static void refuse_instance(ts_registry_t *registry, const ts_store_entry_t *entry,
                            ts_error_t error, ts_time_us_t left_us)
{
    ts_count_error(error);
    ts_log(TS_EVENT_BACKEND_REFUSED, "entry=%.*s reason=%s bytes=%zu", LOGGED_ID_MAX, entry->id,
           ts_error_name(error), entry->length);
    ts_registry_delist(registry, entry->id, left_us);
}

static void apply_instance(ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                           ts_time_us_t now_us)
{
    ts_registry_t *registry = mirror->gateway->registry;
    // This node was up to date when its position was last confirmed, so the change came after that.
    ts_time_us_t left_us = mirror->confirmed_us;
    if (entry->is_deleted) {
        ts_registry_delist(registry, entry->id, left_us);
        return;
    }
    ts_instance_record_t record = {.left_us = left_us};
    ts_error_t error = mirror->gateway->dialect->read_instance(entry, &record);
    if (error == TS_OK)
        error = ts_registry_validate(&record);
    if (error == TS_OK)
        (void)ts_registry_update(registry, &record, now_us);
    else
        refuse_instance(registry, entry, error, left_us);
    ts_instance_record_clear(&record);
}

static void apply_entry(ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                        ts_time_us_t now_us)
{
    if (entry->kind == TS_STORE_INSTANCE)
        apply_instance(mirror, entry, now_us);
    else if (entry->kind == TS_STORE_EVACUATION)
        ts_registry_set_evacuated(mirror->gateway->registry, entry->id, !entry->is_deleted, now_us);
}

/* -- Storing ----------------------------------------------------------------------------------- */

static void copy_entry(ts_store_entry_t *copy, const ts_store_entry_t *entry)
{
    *copy = *entry;
    copy->key = g_strdup(entry->key);
    copy->id = g_strdup(entry->id);
    copy->value = entry->value == NULL ? NULL : g_memdup2(entry->value, entry->length + 1);
}

static mirror_entry_t *put_item(ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                                ts_time_us_t now_us)
{
    mirror_entry_t *item = g_new0(mirror_entry_t, 1);
    copy_entry(&item->entry, entry);
    item->updated_us = now_us;
    g_hash_table_replace(mirror->items, item->entry.key, item);
    return item;
}

/*
 * Stores the value, position and deletion state of `entry` in `item` without applying it to the
 * registry. The key stays, as the hash table uses it.
 */
static void replace_entry(mirror_entry_t *item, const ts_store_entry_t *entry, ts_time_us_t now_us)
{
    g_free(item->entry.value);
    item->entry.value = entry->value == NULL ? NULL : g_memdup2(entry->value, entry->length + 1);
    item->entry.length = entry->length;
    item->entry.changed = entry->changed;
    item->entry.is_deleted = entry->is_deleted;
    item->updated_us = now_us;
}

static void mark_deleted(ts_store_mirror_t *mirror, mirror_entry_t *item,
                         ts_store_position_t position, ts_time_us_t now_us)
{
    const ts_store_entry_t tombstone = {.changed = position, .is_deleted = true};
    replace_entry(item, &tombstone, now_us);
    apply_entry(mirror, &item->entry, now_us);
}

static void set_deferred(mirror_entry_t *item, const ts_store_entry_t *entry)
{
    ts_store_entry_t *copy = g_new0(ts_store_entry_t, 1);
    copy_entry(copy, entry);
    clear_deferred(item);
    item->deferred = copy;
}

/* -- Merging ----------------------------------------------------------------------------------- */

static bool is_of_earlier_epoch(const ts_store_mirror_t *mirror, const ts_store_entry_t *entry)
{
    return entry->changed.epoch < mirror->position.epoch;
}

static ts_store_epoch_state_t epoch_state(const ts_store_mirror_t *mirror, ts_store_kind_t kind)
{
    bool is_evacuation = kind == TS_STORE_EVACUATION;
    return (ts_store_epoch_state_t){mirror->position.epoch, mirror->base_revision,
                                    is_evacuation ? mirror->is_evacuation_window_open
                                                  : mirror->is_instance_window_open};
}

static uint32_t instance_rewrite_window_ms(const ts_store_mirror_t *mirror)
{
    uint32_t heartbeat_ms = mirror->gateway->settings->heartbeat_ms;
    return REWRITE_HEARTBEATS * heartbeat_ms + REWRITE_MARGIN_MS;
}

static void begin_rewrite_window(ts_store_mirror_t *mirror)
{
    mirror->rewrite_window_epoch = mirror->position.epoch;
    mirror->is_instance_window_open = true;
    mirror->is_evacuation_window_open = true;
    uv_timer_start(&mirror->rewrite_timer, on_rewrite_timer, instance_rewrite_window_ms(mirror), 0);
}

/*
 * Whether a configuration (a TS_STORE_TRAFFIC entry) replaces the one in `item`, which may be NULL:
 * the higher version wins. If the same version was written again, the later position wins.
 */
static bool is_newer_traffic(const mirror_entry_t *item, const ts_store_entry_t *entry,
                             uint64_t version)
{
    if (item == NULL || version != item->version)
        return item == NULL || version > item->version;
    return ts_store_position_compare(entry->changed, item->entry.changed) > 0;
}

static void refuse_traffic(const ts_problems_t *problems, const char *key)
{
    char *text = ts_problems_format(problems, key);
    ts_count(TS_COUNTER_CONFIG_REFUSED, 1);
    ts_log(TS_EVENT_CONFIG_REFUSED, "%s", text);
    g_free(text);
}

static bool apply_traffic(ts_store_mirror_t *mirror, const mirror_entry_t *item,
                          const ts_store_entry_t *entry, ts_time_us_t now_us)
{
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_traffic_t *traffic =
        mirror->gateway->dialect->read_traffic(entry->value, entry->length, &problems);
    bool is_newer = false;
    if (traffic == NULL) {
        refuse_traffic(&problems, entry->key);
    } else {
        ts_gauge_set(TS_COUNTER_CONFIG_VERSION_LISTED, (int64_t)traffic->version);
        is_newer = is_newer_traffic(item, entry, traffic->version);
        if (is_newer)
            put_item(mirror, entry, now_us)->version = traffic->version;
        ts_gateway_set_traffic(mirror->gateway, traffic); // ignores versions that are not newer
    }
    ts_problems_clear(&problems);
    return is_newer;
}

/* Deleting a configuration has no effect: it stays effective until a newer one is written. */
static bool merge_traffic(ts_store_mirror_t *mirror, mirror_entry_t *item,
                          const ts_store_entry_t *entry, ts_time_us_t now_us)
{
    if (entry->is_deleted)
        return false;
    if (item == NULL || !ts_store_entry_equals(&item->entry, entry))
        return apply_traffic(mirror, item, entry, now_us);
    if (ts_store_position_compare(entry->changed, item->entry.changed) <= 0)
        return false;
    ts_gauge_set(TS_COUNTER_CONFIG_VERSION_LISTED, (int64_t)item->version);
    item->entry.changed = entry->changed;
    item->updated_us = now_us;
    return true;
}

/*
 * Makes an entry effective and applies it to the registry if it differs from the previous one. An
 * entry of the current epoch supersedes the deferred one.
 */
static void set_effective(ts_store_mirror_t *mirror, mirror_entry_t *item,
                          const ts_store_entry_t *entry, ts_time_us_t now_us)
{
    bool is_same = item != NULL && ts_store_entry_equals(&item->entry, entry);
    if (item == NULL)
        item = put_item(mirror, entry, now_us);
    else
        replace_entry(item, entry, now_us);
    if (!is_of_earlier_epoch(mirror, entry))
        clear_deferred(item);
    if (!is_same)
        apply_entry(mirror, &item->entry, now_us);
}

/* Makes an entry of an earlier epoch effective and defers the one of the current epoch. */
static void reinstate_entry(ts_store_mirror_t *mirror, mirror_entry_t *item,
                            const ts_store_entry_t *entry, ts_time_us_t now_us)
{
    set_deferred(item, &item->entry);
    replace_entry(item, entry, now_us);
    apply_entry(mirror, &item->entry, now_us);
}

/* Entries of an earlier epoch are considered only while the window for their kind is open. */
static bool is_considered(const ts_store_mirror_t *mirror, const ts_store_entry_t *entry)
{
    return !is_of_earlier_epoch(mirror, entry) || epoch_state(mirror, entry->kind).is_window_open;
}

/* Whether an entry was changed after the deferred one, or nothing is deferred. */
static bool is_newer_than_deferred(const mirror_entry_t *item, const ts_store_entry_t *entry)
{
    return item->deferred == NULL ||
           ts_store_position_compare(entry->changed, item->deferred->changed) > 0;
}

/*
 * Whether an entry from a sender at position `from` is already accounted for. The mirror is
 * complete up to its position: an entry that was changed before that and is missing here was
 * deleted since.
 */
static bool is_outdated(const ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                        ts_store_position_t from)
{
    return ts_store_position_compare(from, mirror->position) < 0 &&
           entry->changed.epoch == mirror->position.epoch &&
           entry->changed.revision <= mirror->position.revision;
}

static bool merge_entry(ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                        ts_store_position_t from, ts_time_us_t now_us)
{
    mirror_entry_t *item = g_hash_table_lookup(mirror->items, entry->key);
    if (entry->kind == TS_STORE_TRAFFIC)
        return merge_traffic(mirror, item, entry, now_us);
    if (entry->kind == TS_STORE_OTHER || !is_considered(mirror, entry) ||
        is_outdated(mirror, entry, from))
        return false;
    if (item == NULL) {
        set_effective(mirror, NULL, entry, now_us);
        return true;
    }
    ts_store_epoch_state_t state = epoch_state(mirror, entry->kind);
    switch (ts_store_resolve(mirror->gateway->dialect, &state, &item->entry, entry)) {
    case TS_STORE_APPLY:
        // An entry that is no newer than the deferred one is outdated, e.g. from a peer that lags.
        if (!is_of_earlier_epoch(mirror, entry) && !is_newer_than_deferred(item, entry))
            return false;
        set_effective(mirror, item, entry, now_us);
        return true;
    case TS_STORE_DEFER:
        if (is_newer_than_deferred(item, entry))
            set_deferred(item, entry);
        return false;
    case TS_STORE_REINSTATE:
        reinstate_entry(mirror, item, entry, now_us);
        return true;
    case TS_STORE_IGNORE:
        break;
    }
    return false;
}

/*
 * Whether this node opens its rewrite window because of an entry from a sender in the current
 * epoch: one of an earlier epoch shows that the sender's window is open, and this node has not
 * opened one in this epoch yet.
 */
static bool should_join_rewrite_window(const ts_store_mirror_t *mirror,
                                       const ts_store_entry_t *entry)
{
    return entry->kind != TS_STORE_TRAFFIC && is_of_earlier_epoch(mirror, entry) &&
           mirror->rewrite_window_epoch != mirror->position.epoch;
}

unsigned ts_store_mirror_apply(ts_store_mirror_t *mirror, const GPtrArray *entries,
                               ts_store_position_t from)
{
    unsigned applied = 0;
    ts_time_us_t now_us = ts_clock_now_us();
    bool is_current_epoch = from.epoch == mirror->position.epoch;
    for (guint i = 0; i < entries->len; i++) {
        const ts_store_entry_t *entry = g_ptr_array_index(entries, i);
        if (entry->changed.epoch > mirror->position.epoch)
            continue;
        if (is_current_epoch && should_join_rewrite_window(mirror, entry))
            begin_rewrite_window(mirror);
        applied += merge_entry(mirror, entry, from, now_us);
    }
    return applied;
}

void ts_store_mirror_advance(ts_store_mirror_t *mirror, ts_store_position_t position,
                             ts_time_us_t confirmed_us)
{
    if (position.epoch != mirror->position.epoch || position.revision < mirror->position.revision)
        return;
    mirror->position = position;
    ts_store_mirror_confirm(mirror, confirmed_us);
}

void ts_store_mirror_confirm(ts_store_mirror_t *mirror, ts_time_us_t confirmed_us)
{
    if (confirmed_us > mirror->confirmed_us) {
        mirror->confirmed_us = confirmed_us;
    }
}

/* -- Lists ------------------------------------------------------------------------------------- */

static void log_restore(const ts_store_mirror_t *mirror, const ts_store_list_t *list)
{
    ts_store_position_t before = mirror->position;
    ts_log(TS_EVENT_PLATFORM_RESTORED,
           "epoch=%lu resets=%lu revision=%lu before_epoch=%lu before_revision=%lu source=%s",
           (unsigned long)ts_store_epoch_reported(list->position.epoch),
           (unsigned long)ts_store_epoch_resets(list->position.epoch),
           (unsigned long)list->position.revision,
           (unsigned long)ts_store_epoch_reported(before.epoch), (unsigned long)before.revision,
           list->source);
}

static void begin_epoch(ts_store_mirror_t *mirror, const ts_store_list_t *list)
{
    if (mirror->is_loaded) // the first list is not a restore
        log_restore(mirror, list);
    mirror->position = (ts_store_position_t){list->position.epoch, 0};
    mirror->base_revision = list->position.revision;
    ts_gauge_set(TS_COUNTER_STORE_EPOCH, (int64_t)ts_store_epoch_reported(list->position.epoch));
    if (mirror->is_loaded) {
        ts_count(TS_COUNTER_STORE_RESTORES, 1);
        begin_rewrite_window(mirror);
    }
}

/* Returns the keys of a list's entries that belong to its own epoch and are not deleted. */
static GHashTable *collect_list_keys(const ts_store_list_t *list)
{
    GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < list->entries->len; i++) {
        const ts_store_entry_t *entry = g_ptr_array_index(list->entries, i);
        if (!entry->is_deleted && entry->changed.epoch == list->position.epoch)
            g_hash_table_add(keys, entry->key);
    }
    return keys;
}

/*
 * Whether an entry that a list does not contain stays as it is: a configuration; a tombstone; an
 * entry of an earlier epoch while the rewrite window for its kind is open; or an entry that was
 * changed after the list's position.
 */
static bool is_kept_if_unlisted(const ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                                ts_store_position_t position)
{
    if (entry->kind == TS_STORE_TRAFFIC || entry->is_deleted)
        return true;
    if (is_of_earlier_epoch(mirror, entry))
        return epoch_state(mirror, entry->kind).is_window_open;
    return entry->changed.revision > position.revision;
}

static void delete_unlisted(ts_store_mirror_t *mirror, GHashTable *keys,
                            ts_store_position_t position)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    ts_time_us_t now_us = ts_clock_now_us();
    g_hash_table_iter_init(&iterator, mirror->items);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        mirror_entry_t *item = value;
        if (g_hash_table_contains(keys, item->entry.key))
            continue;
        clear_deferred(item);
        if (!is_kept_if_unlisted(mirror, &item->entry, position))
            mark_deleted(mirror, item, position, now_us);
    }
}

static void raise_position(ts_store_position_t *position, ts_store_position_t minimum)
{
    if (ts_store_position_compare(*position, minimum) < 0)
        *position = minimum;
}

unsigned ts_store_mirror_apply_list(ts_store_mirror_t *mirror, const ts_store_list_t *list)
{
    if (list->position.epoch > mirror->position.epoch)
        begin_epoch(mirror, list);
    bool is_current_epoch = list->position.epoch == mirror->position.epoch;
    if (is_current_epoch && list->base_revision > 0)
        mirror->base_revision = MIN(mirror->base_revision, list->base_revision);
    unsigned applied = ts_store_mirror_apply(mirror, list->entries, list->position);
    if (!is_current_epoch || list->position.revision < mirror->position.revision)
        return applied;
    GHashTable *keys = collect_list_keys(list);
    delete_unlisted(mirror, keys, list->position);
    g_hash_table_unref(keys);
    if (ts_store_position_compare(list->position, mirror->position) > 0)
        raise_position(&mirror->history_start, list->position);
    mirror->is_loaded = true;
    ts_store_mirror_advance(mirror, list->position, list->confirmed_us);
    return applied;
}

/* -- End of the rewrite windows ---------------------------------------------------------------- */

/* Whether an entry is of an earlier epoch and the rewrite window for its kind is closed. */
static bool is_past_rewrite_window(const ts_store_mirror_t *mirror, const ts_store_entry_t *entry)
{
    return entry->kind != TS_STORE_TRAFFIC && is_of_earlier_epoch(mirror, entry) &&
           !epoch_state(mirror, entry->kind).is_window_open;
}

/*
 * Replaces entries of earlier epochs whose rewrite window is closed: by the deferred entry or, if
 * there is none, by a tombstone, as the service no longer has the entry.
 */
static void settle_earlier_epochs(ts_store_mirror_t *mirror)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    unsigned adopted = 0;
    unsigned removed = 0;
    ts_time_us_t now_us = ts_clock_now_us();
    g_hash_table_iter_init(&iterator, mirror->items);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        mirror_entry_t *item = value;
        if (!is_past_rewrite_window(mirror, &item->entry))
            continue;
        if (item->deferred != NULL) {
            replace_entry(item, item->deferred, now_us);
            clear_deferred(item);
            apply_entry(mirror, &item->entry, now_us);
            adopted++;
        } else if (!item->entry.is_deleted) {
            mark_deleted(mirror, item, mirror->position, now_us);
            removed++;
        }
    }
    ts_log(TS_EVENT_PLATFORM_SETTLED, "epoch=%lu revision=%lu adopted=%u removed=%u",
           (unsigned long)ts_store_epoch_reported(mirror->position.epoch),
           (unsigned long)mirror->position.revision, adopted, removed);
}

/*
 * Closes the instance window first and restarts the timer for the rest of the evacuation window. If
 * the instance window is the longer one, closes both.
 */
static void on_rewrite_timer(uv_timer_t *timer)
{
    ts_store_mirror_t *mirror = timer->data;
    uint32_t instance_ms = instance_rewrite_window_ms(mirror);
    if (mirror->is_instance_window_open && instance_ms < OPERATOR_REWRITE_MS)
        uv_timer_start(timer, on_rewrite_timer, OPERATOR_REWRITE_MS - instance_ms, 0);
    else
        mirror->is_evacuation_window_open = false;
    mirror->is_instance_window_open = false;
    settle_earlier_epochs(mirror);
}

/* -- Queries ----------------------------------------------------------------------------------- */

bool ts_store_mirror_is_loaded(const ts_store_mirror_t *mirror)
{
    return mirror->is_loaded;
}

bool ts_store_mirror_is_empty(const ts_store_mirror_t *mirror)
{
    return g_hash_table_size(mirror->items) == 0;
}

ts_store_position_t ts_store_mirror_position(const ts_store_mirror_t *mirror)
{
    return mirror->position;
}

uint64_t ts_store_mirror_base_revision(const ts_store_mirror_t *mirror)
{
    return mirror->base_revision;
}

ts_time_us_t ts_store_mirror_confirmed_us(const ts_store_mirror_t *mirror)
{
    return mirror->confirmed_us;
}

/*
 * Whether an entry of an earlier epoch is effective. A tombstone counts only if an entry is
 * deferred because of it.
 */
static bool is_kept_from_earlier_epoch(const ts_store_mirror_t *mirror, const mirror_entry_t *item)
{
    return is_of_earlier_epoch(mirror, &item->entry) &&
           (!item->entry.is_deleted || item->deferred != NULL);
}

unsigned ts_store_mirror_count_earlier_epoch(const ts_store_mirror_t *mirror)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    unsigned n = 0;
    g_hash_table_iter_init(&iterator, mirror->items);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        n += is_kept_from_earlier_epoch(mirror, value);
    return n;
}

static void add_kept_from_earlier_epoch(const ts_store_mirror_t *mirror, GPtrArray *changes)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, mirror->items);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        mirror_entry_t *item = value;
        if (is_kept_from_earlier_epoch(mirror, item))
            g_ptr_array_add(changes, &item->entry);
    }
}

/* Returns the entry of the current epoch, effective or deferred; NULL if there is none. */
static ts_store_entry_t *current_epoch_entry(const ts_store_mirror_t *mirror, mirror_entry_t *item)
{
    return is_of_earlier_epoch(mirror, &item->entry) ? item->deferred : &item->entry;
}

GPtrArray *ts_store_mirror_changes(const ts_store_mirror_t *mirror, ts_store_position_t after,
                                   bool *is_whole)
{
    const ts_store_position_t nothing = {0, 0};
    bool is_initial = ts_store_position_compare(after, nothing) == 0;
    bool is_other_epoch = after.epoch != mirror->position.epoch;
    GPtrArray *changes = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value = NULL;
    *is_whole =
        is_initial || is_other_epoch || ts_store_position_compare(after, mirror->history_start) < 0;
    add_kept_from_earlier_epoch(mirror, changes);
    g_hash_table_iter_init(&iterator, mirror->items);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_store_entry_t *entry = current_epoch_entry(mirror, value);
        if (entry == NULL)
            continue;
        // A peer in another epoch must get the tombstones too: in its rewrite window it keeps
        // entries that a list merely lacks (see is_kept_if_unlisted).
        bool is_included = !entry->is_deleted || (is_other_epoch && !is_initial);
        if (*is_whole ? is_included : ts_store_position_compare(entry->changed, after) > 0)
            g_ptr_array_add(changes, entry);
    }
    return changes;
}

void ts_store_mirror_sweep(ts_store_mirror_t *mirror, ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, mirror->items);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const mirror_entry_t *item = value;
        bool is_expired = item->entry.is_deleted && item->deferred == NULL &&
                          now_us - item->updated_us > TOMBSTONE_RETENTION_US;
        if (!is_expired)
            continue;
        raise_position(&mirror->history_start, item->entry.changed);
        g_hash_table_iter_remove(&iterator);
    }
}
