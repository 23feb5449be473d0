/** What this node knows of the configuration service. */
#include "tealspar/store_mirror.h"

#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/log.h"
#include "tealspar/store_precedence.h"

/* The news that an entry is gone is kept for peers that were away. */
#define GONE_KEPT_US (60 * TS_US_PER_S)

/* After the service came back, a back end writes again with its second heartbeat at the latest. */
#define HEARTBEATS_TO_WRITE_AGAIN 2U
#define WRITE_AGAIN_MARGIN_MS 600U
/* An operator writes again what was lost within so long. */
#define OPERATOR_WRITES_AGAIN_MS 5000U

/* Bytes of an entry's id in the line that tells that it is refused. */
#define REFUSED_ID_MAX 64

typedef struct kept {
    ts_store_entry_t entry;     /* stands */
    ts_store_entry_t *restored; /* what the service gives, while that stands against it; or NULL */
    uint64_t version;           /* of a configuration */
    ts_time_us_t changed_us;
} kept_t;

struct ts_store_mirror {
    ts_gateway_t *gateway;
    GHashTable *entries; /* key -> kept_t, owned */
    ts_store_position_t position;
    ts_store_position_t forgotten; /* some gone entry up to here is forgotten */
    uint64_t base;
    uint64_t held_epoch; /* in which entries of earlier ones were last held; 0: never */
    uv_timer_t hold;
    bool holds_instances;
    bool holds_evacuations;
    ts_time_us_t confirmed_us;
    bool is_primed;
};

static void end_hold(uv_timer_t *timer);

static void clear_entry(ts_store_entry_t *entry)
{
    g_free(entry->key);
    g_free(entry->id);
    g_free(entry->value);
}

static void drop_restored(kept_t *kept)
{
    if (kept->restored == NULL)
        return;
    clear_entry(kept->restored);
    g_clear_pointer(&kept->restored, g_free);
}

static void free_kept(gpointer data)
{
    kept_t *kept = data;
    drop_restored(kept);
    clear_entry(&kept->entry);
    g_free(kept);
}

ts_store_mirror_t *ts_store_mirror_create(ts_gateway_t *gateway)
{
    ts_store_mirror_t *mirror = g_new0(ts_store_mirror_t, 1);
    mirror->gateway = gateway;
    mirror->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_kept);
    uv_timer_init(gateway->loop, &mirror->hold);
    mirror->hold.data = mirror;
    return mirror;
}

/* -- Putting in force -------------------------------------------------------------------------- */

/*
 * An entry that names no back end to use: one that was good before has left. Told once for each
 * change of the entry.
 */
static void refuse_instance(ts_registry_t *registry, const ts_store_entry_t *entry,
                            ts_error_t error, ts_time_us_t now_us)
{
    ts_count_error(error);
    ts_log(TS_EVENT_BACKEND_REFUSED, "entry=%.*s reason=%s bytes=%zu", REFUSED_ID_MAX, entry->id,
           ts_error_name(error), entry->length);
    ts_registry_delist(registry, entry->id, now_us);
}

static void apply_instance(ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                           ts_time_us_t now_us)
{
    ts_registry_t *registry = mirror->gateway->registry;
    if (entry->is_gone) {
        ts_registry_delist(registry, entry->id, now_us);
        return;
    }
    ts_instance_record_t record = {0};
    ts_error_t error = mirror->gateway->dialect->read_instance(entry, &record);
    if (error == TS_OK)
        error = ts_registry_validate(&record);
    if (error == TS_OK)
        (void)ts_registry_update(registry, &record, now_us);
    else
        refuse_instance(registry, entry, error, now_us);
    ts_instance_record_clear(&record);
}

static void apply_entry(ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                        ts_time_us_t now_us)
{
    if (entry->kind == TS_STORE_INSTANCE)
        apply_instance(mirror, entry, now_us);
    else if (entry->kind == TS_STORE_EVACUATION)
        ts_registry_set_evacuated(mirror->gateway->registry, entry->id, !entry->is_gone, now_us);
}

/* -- Keeping ----------------------------------------------------------------------------------- */

static void copy_entry(ts_store_entry_t *copy, const ts_store_entry_t *entry)
{
    *copy = *entry;
    copy->key = g_strdup(entry->key);
    copy->id = g_strdup(entry->id);
    copy->value = entry->value == NULL ? NULL : g_memdup2(entry->value, entry->length + 1);
}

static kept_t *keep_entry(ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                          ts_time_us_t now_us)
{
    kept_t *kept = g_new0(kept_t, 1);
    copy_entry(&kept->entry, entry);
    kept->changed_us = now_us;
    g_hash_table_replace(mirror->entries, kept->entry.key, kept);
    return kept;
}

/* The entry stands from now on; its key does not change, as the table goes by that. */
static void set_standing(kept_t *kept, const ts_store_entry_t *entry, ts_time_us_t now_us)
{
    g_free(kept->entry.value);
    kept->entry.value = entry->value == NULL ? NULL : g_memdup2(entry->value, entry->length + 1);
    kept->entry.length = entry->length;
    kept->entry.changed = entry->changed;
    kept->entry.is_gone = entry->is_gone;
    kept->changed_us = now_us;
}

static void set_gone(ts_store_mirror_t *mirror, kept_t *kept, ts_store_position_t position,
                     ts_time_us_t now_us)
{
    const ts_store_entry_t gone = {.changed = position, .is_gone = true};
    set_standing(kept, &gone, now_us);
    apply_entry(mirror, &kept->entry, now_us);
}

static void keep_restored(kept_t *kept, const ts_store_entry_t *entry)
{
    ts_store_entry_t *copy = g_new0(ts_store_entry_t, 1);
    copy_entry(copy, entry);
    drop_restored(kept);
    kept->restored = copy;
}

/* -- Merging ----------------------------------------------------------------------------------- */

static bool is_former(const ts_store_mirror_t *mirror, const ts_store_entry_t *entry)
{
    return entry->changed.epoch < mirror->position.epoch;
}

static ts_store_restore_t restore_of(const ts_store_mirror_t *mirror, ts_store_kind_t kind)
{
    bool is_evacuation = kind == TS_STORE_EVACUATION;
    return (ts_store_restore_t){mirror->position.epoch, mirror->base,
                                is_evacuation ? mirror->holds_evacuations
                                              : mirror->holds_instances};
}

static uint32_t instances_hold_ms(const ts_store_mirror_t *mirror)
{
    uint32_t heartbeat_ms = mirror->gateway->settings->heartbeat_ms;
    return HEARTBEATS_TO_WRITE_AGAIN * heartbeat_ms + WRITE_AGAIN_MARGIN_MS;
}

static void begin_hold(ts_store_mirror_t *mirror)
{
    mirror->held_epoch = mirror->position.epoch;
    mirror->holds_instances = true;
    mirror->holds_evacuations = true;
    uv_timer_start(&mirror->hold, end_hold, instances_hold_ms(mirror), 0);
}

/*
 * Whether a configuration of that version replaces the known one. The version decides, and for one
 * that was written again the position.
 */
static bool is_newer_traffic(const kept_t *known, const ts_store_entry_t *entry, uint64_t version)
{
    if (known == NULL || version != known->version)
        return known == NULL || version > known->version;
    return ts_store_position_compare(entry->changed, known->entry.changed) > 0;
}

static void refuse_traffic(const ts_problems_t *problems, const char *key)
{
    char *text = ts_problems_format(problems, key);
    ts_count(TS_COUNTER_CONFIG_REFUSED, 1);
    ts_log(TS_EVENT_CONFIG_REFUSED, "%s", text);
    g_free(text);
}

static bool take_traffic(ts_store_mirror_t *mirror, const kept_t *known,
                         const ts_store_entry_t *entry, ts_time_us_t now_us)
{
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_traffic_t *traffic =
        mirror->gateway->dialect->read_traffic(entry->value, entry->length, &problems);
    bool is_news = false;
    if (traffic == NULL) {
        refuse_traffic(&problems, entry->key);
    } else {
        ts_gauge_set(TS_COUNTER_CONFIG_VERSION_LISTED, (int64_t)traffic->version);
        is_news = is_newer_traffic(known, entry, traffic->version);
        if (is_news)
            keep_entry(mirror, entry, now_us)->version = traffic->version;
        ts_gateway_set_traffic(mirror->gateway, traffic);
    }
    ts_problems_clear(&problems);
    return is_news;
}

/* A configuration is never gone: it stands until a newer one is written. */
static bool merge_traffic(ts_store_mirror_t *mirror, kept_t *known, const ts_store_entry_t *entry,
                          ts_time_us_t now_us)
{
    if (entry->is_gone)
        return false;
    if (known == NULL || !ts_store_is_same(&known->entry, entry))
        return take_traffic(mirror, known, entry, now_us);
    if (ts_store_position_compare(entry->changed, known->entry.changed) <= 0)
        return false;
    ts_gauge_set(TS_COUNTER_CONFIG_VERSION_LISTED, (int64_t)known->version);
    known->entry.changed = entry->changed;
    known->changed_us = now_us;
    return true;
}

static void take_entry(ts_store_mirror_t *mirror, kept_t *known, const ts_store_entry_t *entry,
                       ts_time_us_t now_us)
{
    bool is_same = known != NULL && ts_store_is_same(&known->entry, entry);
    if (known == NULL)
        known = keep_entry(mirror, entry, now_us);
    else
        set_standing(known, entry, now_us);
    if (!is_former(mirror, entry))
        drop_restored(known);
    if (!is_same)
        apply_entry(mirror, &known->entry, now_us);
}

/* The entry of an earlier epoch stands; what the present one gives waits beside it. */
static void recall_entry(ts_store_mirror_t *mirror, kept_t *known, const ts_store_entry_t *entry,
                         ts_time_us_t now_us)
{
    keep_restored(known, &known->entry);
    set_standing(known, entry, now_us);
    apply_entry(mirror, &known->entry, now_us);
}

/* One of an earlier epoch counts only while those stand. */
static bool counts(const ts_store_mirror_t *mirror, const ts_store_entry_t *entry)
{
    return !is_former(mirror, entry) || restore_of(mirror, entry->kind).is_holding;
}

/* Whether the service gave something else since the entry that it is compared with stands. */
static bool is_after_restored(const kept_t *known, const ts_store_entry_t *entry)
{
    return known->restored == NULL ||
           ts_store_position_compare(entry->changed, known->restored->changed) > 0;
}

static bool merge_entry(ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                        ts_time_us_t now_us)
{
    kept_t *known = g_hash_table_lookup(mirror->entries, entry->key);
    if (entry->kind == TS_STORE_TRAFFIC)
        return merge_traffic(mirror, known, entry, now_us);
    if (entry->kind == TS_STORE_OTHER || !counts(mirror, entry))
        return false;
    if (known == NULL) {
        take_entry(mirror, NULL, entry, now_us);
        return true;
    }
    ts_store_restore_t restore = restore_of(mirror, entry->kind);
    switch (ts_store_judge(mirror->gateway->dialect, &restore, &known->entry, entry)) {
    case TS_STORE_TAKE:
        if (!is_former(mirror, entry) && !is_after_restored(known, entry))
            return false;
        take_entry(mirror, known, entry, now_us);
        return true;
    case TS_STORE_HOLD:
        if (is_after_restored(known, entry))
            keep_restored(known, entry);
        return false;
    case TS_STORE_RECALL:
        recall_entry(mirror, known, entry, now_us);
        return true;
    case TS_STORE_PASS_OVER:
        break;
    }
    return false;
}

static bool is_held_by_others(const ts_store_mirror_t *mirror, const ts_store_entry_t *entry)
{
    return entry->kind != TS_STORE_TRAFFIC && is_former(mirror, entry) &&
           mirror->held_epoch != mirror->position.epoch;
}

unsigned ts_store_mirror_apply(ts_store_mirror_t *mirror, const GPtrArray *entries,
                               ts_store_position_t from)
{
    unsigned applied = 0;
    ts_time_us_t now_us = ts_clock_now_us();
    bool is_present = from.epoch == mirror->position.epoch;
    for (guint i = 0; i < entries->len; i++) {
        const ts_store_entry_t *entry = g_ptr_array_index(entries, i);
        if (entry->changed.epoch > mirror->position.epoch)
            continue;
        if (is_present && is_held_by_others(mirror, entry))
            begin_hold(mirror);
        applied += merge_entry(mirror, entry, now_us);
    }
    return applied;
}

void ts_store_mirror_reach(ts_store_mirror_t *mirror, ts_store_position_t position,
                           ts_time_us_t as_of_us)
{
    if (position.epoch != mirror->position.epoch || position.revision < mirror->position.revision)
        return;
    mirror->position = position;
    ts_store_mirror_confirm(mirror, as_of_us);
}

void ts_store_mirror_confirm(ts_store_mirror_t *mirror, ts_time_us_t as_of_us)
{
    if (as_of_us > mirror->confirmed_us) {
        mirror->confirmed_us = as_of_us;
    }
}

/* -- Lists ------------------------------------------------------------------------------------- */

static void log_restored(const ts_store_mirror_t *mirror, const ts_store_list_t *list)
{
    ts_store_position_t before = mirror->position;
    ts_log(TS_EVENT_PLATFORM_RESTORED,
           "epoch=%lu resets=%lu revision=%lu before_epoch=%lu before_revision=%lu source=%s",
           (unsigned long)ts_store_epoch_told(list->position.epoch),
           (unsigned long)ts_store_epoch_resets(list->position.epoch),
           (unsigned long)list->position.revision, (unsigned long)ts_store_epoch_told(before.epoch),
           (unsigned long)before.revision, list->source);
}

static void begin_epoch(ts_store_mirror_t *mirror, const ts_store_list_t *list)
{
    if (mirror->is_primed)
        log_restored(mirror, list);
    mirror->position = (ts_store_position_t){list->position.epoch, 0};
    mirror->base = list->position.revision;
    ts_gauge_set(TS_COUNTER_STORE_EPOCH, (int64_t)ts_store_epoch_told(list->position.epoch));
    if (mirror->is_primed) {
        ts_count(TS_COUNTER_STORE_RESTORES, 1);
        begin_hold(mirror);
    }
}

/* Keys that a list names as there in its own epoch. */
static GHashTable *listed_keys(const ts_store_list_t *list)
{
    GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < list->entries->len; i++) {
        const ts_store_entry_t *entry = g_ptr_array_index(list->entries, i);
        if (!entry->is_gone && entry->changed.epoch == list->position.epoch)
            g_hash_table_add(keys, entry->key);
    }
    return keys;
}

static bool stands_unlisted(const ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                            ts_store_position_t position)
{
    if (entry->kind == TS_STORE_TRAFFIC || entry->is_gone)
        return true;
    if (is_former(mirror, entry))
        return restore_of(mirror, entry->kind).is_holding;
    return entry->changed.revision > position.revision;
}

static void keep_only(ts_store_mirror_t *mirror, GHashTable *keys, ts_store_position_t position)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    ts_time_us_t now_us = ts_clock_now_us();
    g_hash_table_iter_init(&iterator, mirror->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        kept_t *kept = value;
        if (g_hash_table_contains(keys, kept->entry.key))
            continue;
        drop_restored(kept);
        if (!stands_unlisted(mirror, &kept->entry, position))
            set_gone(mirror, kept, position, now_us);
    }
}

unsigned ts_store_mirror_take_list(ts_store_mirror_t *mirror, const ts_store_list_t *list)
{
    if (list->position.epoch > mirror->position.epoch)
        begin_epoch(mirror, list);
    bool is_present = list->position.epoch == mirror->position.epoch;
    if (is_present && list->base > 0)
        mirror->base = MIN(mirror->base, list->base);
    unsigned applied = ts_store_mirror_apply(mirror, list->entries, list->position);
    if (!is_present || list->position.revision < mirror->position.revision)
        return applied;
    GHashTable *keys = listed_keys(list);
    keep_only(mirror, keys, list->position);
    g_hash_table_unref(keys);
    mirror->is_primed = true;
    ts_store_mirror_reach(mirror, list->position, list->as_of_us);
    return applied;
}

/* -- What stands from an earlier epoch --------------------------------------------------------- */

/* Whether an entry of this kind stands against what the service gives no longer. */
static bool is_time_over(const ts_store_mirror_t *mirror, const ts_store_entry_t *entry)
{
    return entry->kind != TS_STORE_TRAFFIC && is_former(mirror, entry) &&
           !restore_of(mirror, entry->kind).is_holding;
}

/* The writers had the time to write again: what the service gives counts. */
static void settle(ts_store_mirror_t *mirror)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    unsigned adopted = 0;
    unsigned removed = 0;
    ts_time_us_t now_us = ts_clock_now_us();
    g_hash_table_iter_init(&iterator, mirror->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        kept_t *kept = value;
        if (!is_time_over(mirror, &kept->entry))
            continue;
        if (kept->restored != NULL) {
            set_standing(kept, kept->restored, now_us);
            drop_restored(kept);
            apply_entry(mirror, &kept->entry, now_us);
            adopted++;
        } else if (!kept->entry.is_gone) {
            set_gone(mirror, kept, mirror->position, now_us);
            removed++;
        }
    }
    ts_log(TS_EVENT_PLATFORM_SETTLED, "epoch=%lu revision=%lu adopted=%u removed=%u",
           (unsigned long)ts_store_epoch_told(mirror->position.epoch),
           (unsigned long)mirror->position.revision, adopted, removed);
}

static void end_hold(uv_timer_t *timer)
{
    ts_store_mirror_t *mirror = timer->data;
    uint32_t instances_ms = instances_hold_ms(mirror);
    if (mirror->holds_instances && instances_ms < OPERATOR_WRITES_AGAIN_MS)
        uv_timer_start(timer, end_hold, OPERATOR_WRITES_AGAIN_MS - instances_ms, 0);
    else
        mirror->holds_evacuations = false;
    mirror->holds_instances = false;
    settle(mirror);
}

/* -- Asking ------------------------------------------------------------------------------------ */

bool ts_store_mirror_is_primed(const ts_store_mirror_t *mirror)
{
    return mirror->is_primed;
}

bool ts_store_mirror_is_empty(const ts_store_mirror_t *mirror)
{
    return g_hash_table_size(mirror->entries) == 0;
}

ts_store_position_t ts_store_mirror_position(const ts_store_mirror_t *mirror)
{
    return mirror->position;
}

uint64_t ts_store_mirror_base(const ts_store_mirror_t *mirror)
{
    return mirror->base;
}

ts_time_us_t ts_store_mirror_confirmed_us(const ts_store_mirror_t *mirror)
{
    return mirror->confirmed_us;
}

/* Whether an entry of an earlier epoch is more than the news that it has gone. */
static bool is_standing_former(const ts_store_mirror_t *mirror, const kept_t *kept)
{
    return is_former(mirror, &kept->entry) && (!kept->entry.is_gone || kept->restored != NULL);
}

unsigned ts_store_mirror_count_former(const ts_store_mirror_t *mirror)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    unsigned n = 0;
    g_hash_table_iter_init(&iterator, mirror->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        n += is_standing_former(mirror, value);
    return n;
}

static void add_former(const ts_store_mirror_t *mirror, GPtrArray *changes)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, mirror->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        kept_t *kept = value;
        if (is_standing_former(mirror, kept))
            g_ptr_array_add(changes, &kept->entry);
    }
}

/* What the present epoch gives for a key; NULL: nothing. */
static ts_store_entry_t *present_entry(const ts_store_mirror_t *mirror, kept_t *kept)
{
    return is_former(mirror, &kept->entry) ? kept->restored : &kept->entry;
}

GPtrArray *ts_store_mirror_changes(const ts_store_mirror_t *mirror, ts_store_position_t after,
                                   bool *is_whole)
{
    const ts_store_position_t nothing = {0, 0};
    bool knows_nothing = ts_store_position_compare(after, nothing) == 0;
    bool is_foreign = after.epoch != mirror->position.epoch;
    GPtrArray *changes = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value = NULL;
    *is_whole =
        knows_nothing || is_foreign || ts_store_position_compare(after, mirror->forgotten) < 0;
    add_former(mirror, changes);
    g_hash_table_iter_init(&iterator, mirror->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ts_store_entry_t *entry = present_entry(mirror, value);
        if (entry == NULL)
            continue;
        // Another epoch's absent entries may stand there: that one has gone must be told.
        bool is_told = !entry->is_gone || (is_foreign && !knows_nothing);
        if (*is_whole ? is_told : ts_store_position_compare(entry->changed, after) > 0)
            g_ptr_array_add(changes, entry);
    }
    return changes;
}

void ts_store_mirror_sweep(ts_store_mirror_t *mirror, ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, mirror->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const kept_t *kept = value;
        bool is_past = kept->entry.is_gone && kept->restored == NULL &&
                       now_us - kept->changed_us > GONE_KEPT_US;
        if (!is_past)
            continue;
        if (ts_store_position_compare(kept->entry.changed, mirror->forgotten) > 0)
            mirror->forgotten = kept->entry.changed;
        g_hash_table_iter_remove(&iterator);
    }
}
