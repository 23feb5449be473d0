/** Decides which of two entries of the same key is effective. */
#include "tealspar/store_precedence.h"

#include <string.h>

bool ts_store_is_same(const ts_store_entry_t *a, const ts_store_entry_t *b)
{
    if (a->is_gone || b->is_gone)
        return a->is_gone == b->is_gone;
    return a->length == b->length && memcmp(a->value, b->value, a->length) == 0;
}

/*
 * A back end that drains only according to the restored entry has begun to drain. Draining is never
 * undone, so the known entry does not override that.
 */
static bool instance_overrides(const ts_dialect_t *dialect, const ts_store_entry_t *known,
                               const ts_store_entry_t *restored)
{
    ts_instance_record_t before = {0};
    ts_instance_record_t after = {0};
    bool is_read = dialect->read_instance(known, &before) == TS_OK;
    bool is_now_draining = dialect->read_instance(restored, &after) == TS_OK && after.is_draining;
    bool overrides = is_read && (before.is_draining || !is_now_draining);
    ts_instance_record_clear(&before);
    ts_instance_record_clear(&after);
    return overrides;
}

/* Whether the entry known from before the restore is the safer choice. */
static bool overrides_restored(const ts_dialect_t *dialect, const ts_store_entry_t *known,
                               const ts_store_entry_t *restored)
{
    if (restored->is_gone || ts_store_is_same(known, restored))
        return false;
    if (known->is_gone)
        return true;
    return known->kind == TS_STORE_INSTANCE && instance_overrides(dialect, known, restored);
}

static bool may_be_restored(const ts_store_restore_t *restore, const ts_store_entry_t *entry)
{
    return restore->is_holding && entry->changed.epoch == restore->epoch &&
           entry->changed.revision <= restore->base;
}

ts_store_verdict_t ts_store_judge(const ts_dialect_t *dialect, const ts_store_restore_t *restore,
                                  const ts_store_entry_t *known, const ts_store_entry_t *entry)
{
    bool is_later = ts_store_position_compare(entry->changed, known->changed) > 0;
    bool is_same_epoch = entry->changed.epoch == known->changed.epoch;
    if (!is_same_epoch && is_later && may_be_restored(restore, entry))
        return overrides_restored(dialect, known, entry) ? TS_STORE_HOLD : TS_STORE_TAKE;
    if (!is_same_epoch && !is_later && may_be_restored(restore, known))
        return overrides_restored(dialect, entry, known) ? TS_STORE_RECALL : TS_STORE_PASS_OVER;
    return is_later ? TS_STORE_TAKE : TS_STORE_PASS_OVER;
}
