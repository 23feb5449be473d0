/** The table of unrepeatable requests. */
#include "tealspar/idempotency.h"

#include <string.h>

#include "tealspar/hash.h"

typedef struct entry {
    uint64_t digest; /* of what is asked, to tell a repeat from a reuse of the id */
    bool is_finished;
    ts_subreply_t outcome;
    ts_time_us_t changed_us;
} entry_t;

struct ts_idempotency {
    GHashTable *entries; /* request id -> entry_t, both owned */
    ts_time_us_t keep_us;
};

static void free_entry(gpointer pointer)
{
    entry_t *entry = pointer;
    ts_subreply_clear(&entry->outcome);
    g_free(entry);
}

ts_idempotency_t *ts_idempotency_create(ts_time_us_t keep_us)
{
    ts_idempotency_t *table = g_new0(ts_idempotency_t, 1);
    table->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
    table->keep_us = keep_us;
    return table;
}

void ts_idempotency_destroy(ts_idempotency_t *table)
{
    g_hash_table_destroy(table->entries);
    g_free(table);
}

static uint64_t digest_work(const ts_query_params_t *work)
{
    uint64_t digest = ts_hash_text(work->kind);
    digest = ts_hash_mix(digest, ts_hash_text(work->key == NULL ? "" : work->key));
    return ts_hash_mix(digest, ts_hash_text(work->text == NULL ? "" : work->text));
}

ts_idempotency_verdict_t ts_idempotency_admit(ts_idempotency_t *table,
                                              const ts_query_params_t *work, ts_time_us_t now_us)
{
    entry_t *entry = g_hash_table_lookup(table->entries, work->request_id);
    uint64_t digest = digest_work(work);
    if (entry == NULL) {
        entry = g_new0(entry_t, 1);
        entry->digest = digest;
        entry->changed_us = now_us;
        g_hash_table_insert(table->entries, g_strdup(work->request_id), entry);
        return TS_IDEMPOTENCY_RUN;
    }
    if (entry->digest != digest) {
        return TS_IDEMPOTENCY_REUSED;
    }
    return entry->is_finished ? TS_IDEMPOTENCY_REPLAY : TS_IDEMPOTENCY_UNKNOWN;
}

void ts_idempotency_release(ts_idempotency_t *table, const char *request_id)
{
    g_hash_table_remove(table->entries, request_id);
}

static void copy_outcome(ts_subreply_t *to, const ts_subreply_t *from)
{
    *to = *from;
    to->hits = g_new0(ts_hit_t, from->hits_count);
    for (size_t i = 0; i < from->hits_count; i++) {
        to->hits[i].id = g_strdup(from->hits[i].id);
        to->hits[i].text = g_strdup(from->hits[i].text);
        to->hits[i].score = from->hits[i].score;
    }
}

void ts_idempotency_finish(ts_idempotency_t *table, const char *request_id,
                           const ts_subreply_t *outcome, ts_time_us_t now_us)
{
    entry_t *entry = g_hash_table_lookup(table->entries, request_id);
    if (entry == NULL) {
        return;
    }
    ts_subreply_clear(&entry->outcome);
    copy_outcome(&entry->outcome, outcome);
    entry->is_finished = true;
    entry->changed_us = now_us;
}

void ts_idempotency_replay(const ts_idempotency_t *table, const char *request_id,
                           ts_subreply_t *outcome)
{
    const entry_t *entry = g_hash_table_lookup(table->entries, request_id);
    copy_outcome(outcome, &entry->outcome);
}

void ts_idempotency_expire(ts_idempotency_t *table, ts_time_us_t now_us)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, table->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const entry_t *entry = value;
        if (now_us - entry->changed_us > table->keep_us) {
            g_hash_table_iter_remove(&iterator);
        }
    }
}

size_t ts_idempotency_size(const ts_idempotency_t *table)
{
    return g_hash_table_size(table->entries);
}
