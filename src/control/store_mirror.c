/** What this node knows of the configuration service. */
#include "tealspar/store_mirror.h"

#include <string.h>

#include "tealspar/counters.h"
#include "tealspar/log.h"

/* The news that an entry is gone is kept for peers that were away. */
#define GONE_KEPT_US (60 * TS_US_PER_S)

/* Bytes of an entry's id in the line that tells that it is refused. */
#define REFUSED_ID_MAX 64

typedef struct kept {
    ts_store_entry_t entry;
    ts_time_us_t changed_us;
} kept_t;

struct ts_store_mirror {
    ts_gateway_t *gateway;
    GHashTable *entries; /* key -> kept_t, owned */
    uint64_t revision;
    uint64_t forgotten; /* some gone entry up to here is forgotten */
    ts_time_us_t confirmed_us;
    bool is_primed;
};

static void free_kept(gpointer data)
{
    kept_t *kept = data;
    g_free(kept->entry.key);
    g_free(kept->entry.id);
    g_free(kept->entry.value);
    g_free(kept);
}

ts_store_mirror_t *ts_store_mirror_create(ts_gateway_t *gateway)
{
    ts_store_mirror_t *mirror = g_new0(ts_store_mirror_t, 1);
    mirror->gateway = gateway;
    mirror->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_kept);
    return mirror;
}

/* -- Applying ---------------------------------------------------------------------------------- */

static void apply_traffic(ts_store_mirror_t *mirror, const ts_store_entry_t *entry)
{
    ts_problems_t problems;
    ts_problems_init(&problems);
    ts_traffic_t *traffic =
        mirror->gateway->dialect->read_traffic(entry->value, entry->length, &problems);
    if (traffic == NULL) {
        char *text = ts_problems_format(&problems, entry->key);
        ts_count(TS_COUNTER_CONFIG_REFUSED, 1);
        ts_log(TS_EVENT_CONFIG_REFUSED, "%s", text);
        g_free(text);
    } else {
        ts_gauge_set(TS_COUNTER_CONFIG_VERSION_LISTED, (int64_t)traffic->version);
        ts_gateway_set_traffic(mirror->gateway, traffic);
    }
    ts_problems_clear(&problems);
}

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
    ts_registry_remove(registry, entry->id, now_us);
}

static void apply_instance(ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                           ts_time_us_t now_us)
{
    ts_registry_t *registry = mirror->gateway->registry;
    if (entry->is_gone) {
        ts_registry_remove(registry, entry->id, now_us);
        return;
    }
    ts_instance_record_t record = {0};
    ts_error_t error = mirror->gateway->dialect->read_instance(entry, &record);
    if (error == TS_OK)
        error = ts_registry_check(&record);
    if (error == TS_OK)
        (void)ts_registry_update(registry, &record, now_us);
    else
        refuse_instance(registry, entry, error, now_us);
    ts_instance_record_clear(&record);
}

static void apply_entry(ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                        ts_time_us_t now_us)
{
    if (entry->kind == TS_STORE_INSTANCE) {
        apply_instance(mirror, entry, now_us);
    } else if (entry->kind == TS_STORE_EVACUATION) {
        ts_registry_set_evacuated(mirror->gateway->registry, entry->id, !entry->is_gone, now_us);
    } else if (entry->kind == TS_STORE_TRAFFIC && !entry->is_gone) {
        apply_traffic(mirror, entry);
    }
}

static kept_t *keep_entry(ts_store_mirror_t *mirror, const ts_store_entry_t *entry,
                          ts_time_us_t now_us)
{
    kept_t *kept = g_new0(kept_t, 1);
    kept->entry = *entry;
    kept->entry.key = g_strdup(entry->key);
    kept->entry.id = g_strdup(entry->id);
    kept->entry.value = entry->value == NULL ? NULL : g_memdup2(entry->value, entry->length + 1);
    kept->changed_us = now_us;
    g_hash_table_replace(mirror->entries, kept->entry.key, kept);
    return kept;
}

unsigned ts_store_mirror_apply(ts_store_mirror_t *mirror, const GPtrArray *entries)
{
    unsigned applied = 0;
    ts_time_us_t now_us = ts_clock_now_us();
    for (guint i = 0; i < entries->len; i++) {
        const ts_store_entry_t *entry = g_ptr_array_index(entries, i);
        const kept_t *known = g_hash_table_lookup(mirror->entries, entry->key);
        if (entry->kind == TS_STORE_OTHER ||
            (known != NULL && known->entry.revision >= entry->revision)) {
            continue;
        }
        apply_entry(mirror, &keep_entry(mirror, entry, now_us)->entry, now_us);
        applied++;
    }
    return applied;
}

void ts_store_mirror_reach(ts_store_mirror_t *mirror, uint64_t revision, ts_time_us_t as_of_us)
{
    if (revision >= mirror->revision) {
        mirror->revision = revision;
        ts_store_mirror_confirm(mirror, as_of_us);
    }
}

void ts_store_mirror_confirm(ts_store_mirror_t *mirror, ts_time_us_t as_of_us)
{
    if (as_of_us > mirror->confirmed_us) {
        mirror->confirmed_us = as_of_us;
    }
}

void ts_store_mirror_keep_only(ts_store_mirror_t *mirror, GHashTable *keys, uint64_t revision)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    ts_time_us_t now_us = ts_clock_now_us();
    g_hash_table_iter_init(&iterator, mirror->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        kept_t *kept = value;
        ts_store_entry_t *entry = &kept->entry;
        if (entry->is_gone || entry->revision > revision ||
            g_hash_table_contains(keys, entry->key)) {
            continue;
        }
        entry->is_gone = true;
        entry->revision = revision;
        g_clear_pointer(&entry->value, g_free);
        entry->length = 0;
        kept->changed_us = now_us;
        apply_entry(mirror, entry, now_us);
    }
    mirror->is_primed = true;
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

uint64_t ts_store_mirror_revision(const ts_store_mirror_t *mirror)
{
    return mirror->revision;
}

ts_time_us_t ts_store_mirror_confirmed_us(const ts_store_mirror_t *mirror)
{
    return mirror->confirmed_us;
}

GPtrArray *ts_store_mirror_changes(const ts_store_mirror_t *mirror, uint64_t after, bool *is_whole)
{
    GPtrArray *changes = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value = NULL;
    *is_whole = after == 0 || after < mirror->forgotten;
    g_hash_table_iter_init(&iterator, mirror->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const ts_store_entry_t *entry = &((const kept_t *)value)->entry;
        if (*is_whole ? !entry->is_gone : entry->revision > after) {
            g_ptr_array_add(changes, (gpointer)entry);
        }
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
        if (kept->entry.is_gone && now_us - kept->changed_us > GONE_KEPT_US) {
            mirror->forgotten = MAX(mirror->forgotten, kept->entry.revision);
            g_hash_table_iter_remove(&iterator);
        }
    }
}
