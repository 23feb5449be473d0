/** Decides which of two entries of the same key is effective. */
#include "tealspar/store_precedence.h"

#include <string.h>

bool ts_store_entry_equals(const ts_store_entry_t *a, const ts_store_entry_t *b)
{
    if (a->is_deleted || b->is_deleted)
        return a->is_deleted == b->is_deleted;
    return a->length == b->length && memcmp(a->value, b->value, a->length) == 0;
}

/*
 * Whether the known instance entry takes precedence over the restored one. It does not if only the
 * restored entry says that the backend drains: the backend has begun to, and draining is never
 * undone.
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
    if (restored->is_deleted || ts_store_entry_equals(known, restored))
        return false;
    if (known->is_deleted)
        return true;
    return known->kind == TS_STORE_INSTANCE && instance_overrides(dialect, known, restored);
}

/* Whether an entry may stem from the older copy rather than from a write after the restore. */
static bool may_be_restored(const ts_store_epoch_state_t *state, const ts_store_entry_t *entry)
{
    return state->is_window_open && entry->changed.epoch == state->epoch &&
           entry->changed.revision <= state->base_revision;
}

ts_store_decision_t ts_store_resolve(const ts_dialect_t *dialect,
                                     const ts_store_epoch_state_t *state,
                                     const ts_store_entry_t *known, const ts_store_entry_t *entry)
{
    bool is_later = ts_store_position_compare(entry->changed, known->changed) > 0;
    bool is_same_epoch = entry->changed.epoch == known->changed.epoch;
    if (!is_same_epoch && is_later && may_be_restored(state, entry))
        return overrides_restored(dialect, known, entry) ? TS_STORE_DEFER : TS_STORE_APPLY;
    if (!is_same_epoch && !is_later && may_be_restored(state, known))
        return overrides_restored(dialect, entry, known) ? TS_STORE_REINSTATE : TS_STORE_IGNORE;
    return is_later ? TS_STORE_APPLY : TS_STORE_IGNORE;
}
