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
 * Whether the known instance entry takes precedence over the restored one. It does not if it is
 * invalid, or if only the restored entry says that the backend drains: the backend has begun to
 * drain then, and draining is never undone.
 */
static bool instance_overrides(const ts_dialect_t *dialect, const ts_store_entry_t *known,
                               const ts_store_entry_t *restored)
{
    ts_instance_record_t known_record = {0};
    ts_instance_record_t restored_record = {0};
    bool is_known_valid = dialect->read_instance(known, &known_record) == TS_OK;
    bool is_now_draining =
        dialect->read_instance(restored, &restored_record) == TS_OK && restored_record.is_draining;
    bool overrides = is_known_valid && (known_record.is_draining || !is_now_draining);
    ts_instance_record_clear(&known_record);
    ts_instance_record_clear(&restored_record);
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
