/** Which of two entries of one key stands. */
#include "tealspar/store_precedence.h"

#include <string.h>

bool ts_store_is_same(const ts_store_entry_t *a, const ts_store_entry_t *b)
{
    if (a->is_gone || b->is_gone)
        return a->is_gone == b->is_gone;
    return a->length == b->length && memcmp(a->value, b->value, a->length) == 0;
}

/* A back end that drains in the copy alone has begun to: nothing takes that back. */
static bool instance_stands(const ts_dialect_t *dialect, const ts_store_entry_t *known,
                            const ts_store_entry_t *copied)
{
    ts_instance_record_t before = {0};
    ts_instance_record_t after = {0};
    bool is_read = dialect->read_instance(known, &before) == TS_OK;
    bool drains_now = dialect->read_instance(copied, &after) == TS_OK && after.is_draining;
    bool stands = is_read && (before.is_draining || !drains_now);
    ts_instance_record_clear(&before);
    ts_instance_record_clear(&after);
    return stands;
}

/* Whether what was known before the service came back is the safer belief. */
static bool stands_against(const ts_dialect_t *dialect, const ts_store_entry_t *known,
                           const ts_store_entry_t *copied)
{
    if (copied->is_gone || ts_store_is_same(known, copied))
        return false;
    if (known->is_gone)
        return true;
    return known->kind == TS_STORE_INSTANCE && instance_stands(dialect, known, copied);
}

static bool may_be_copied(const ts_store_restore_t *restore, const ts_store_entry_t *entry)
{
    return restore->is_holding && entry->changed.epoch == restore->epoch &&
           entry->changed.revision <= restore->base;
}

ts_store_verdict_t ts_store_judge(const ts_dialect_t *dialect, const ts_store_restore_t *restore,
                                  const ts_store_entry_t *known, const ts_store_entry_t *entry)
{
    bool is_later = ts_store_position_compare(entry->changed, known->changed) > 0;
    bool is_same_epoch = entry->changed.epoch == known->changed.epoch;
    if (!is_same_epoch && is_later && may_be_copied(restore, entry))
        return stands_against(dialect, known, entry) ? TS_STORE_HOLD : TS_STORE_TAKE;
    if (!is_same_epoch && !is_later && may_be_copied(restore, known))
        return stands_against(dialect, entry, known) ? TS_STORE_RECALL : TS_STORE_PASS_OVER;
    return is_later ? TS_STORE_TAKE : TS_STORE_PASS_OVER;
}
