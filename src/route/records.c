/** Merges the results of parts into the top records. */
#include "tealspar/records.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

/* A record as two integers in host byte order, which compare like its bytes. */
typedef struct record {
    uint64_t high;
    uint64_t low;
} record_t;

static bool is_less(const record_t *left, const record_t *right)
{
    return left->high != right->high ? left->high < right->high : left->low < right->low;
}

static record_t read_record(const char *bytes)
{
    uint64_t halves[2];
    memcpy(halves, bytes, sizeof(halves));
    return (record_t){GUINT64_FROM_BE(halves[0]), GUINT64_FROM_BE(halves[1])};
}

static record_t *record_at(ts_top_records_t *records, size_t index)
{
    return &g_array_index(records->heap, record_t, index);
}

static void swap(record_t *left, record_t *right)
{
    record_t saved = *left;
    *left = *right;
    *right = saved;
}

void ts_top_records_init(ts_top_records_t *records, size_t top)
{
    records->heap = NULL;
    records->top = top;
}

static void sift_up(ts_top_records_t *records, size_t index)
{
    while (index > 0) {
        size_t parent = (index - 1) / 2;
        if (!is_less(record_at(records, index), record_at(records, parent))) {
            return;
        }
        swap(record_at(records, index), record_at(records, parent));
        index = parent;
    }
}

static void sift_down(ts_top_records_t *records)
{
    size_t index = 0;
    for (;;) {
        size_t least = index;
        for (size_t child = 2 * index + 1; child <= 2 * index + 2; child++) {
            if (child < records->heap->len &&
                is_less(record_at(records, child), record_at(records, least))) {
                least = child;
            }
        }
        if (least == index) {
            return;
        }
        swap(record_at(records, index), record_at(records, least));
        index = least;
    }
}

static void add_record(ts_top_records_t *records, const record_t *record)
{
    if (records->heap->len < records->top) {
        g_array_append_vals(records->heap, record, 1);
        sift_up(records, records->heap->len - 1);
        return;
    }
    if (records->top > 0 && is_less(record_at(records, 0), record)) {
        *record_at(records, 0) = *record;
        sift_down(records);
    }
}

void ts_top_records_add(ts_top_records_t *records, const char *bytes, size_t length)
{
    if (records->heap == NULL)
        records->heap = g_array_new(FALSE, FALSE, sizeof(record_t));
    for (size_t at = 0; at + TS_RECORD_BYTES <= length; at += TS_RECORD_BYTES) {
        record_t record = read_record(bytes + at);
        add_record(records, &record);
    }
}

size_t ts_top_records_memory(const ts_top_records_t *records)
{
    return records->heap == NULL ? 0 : 2 * (size_t)records->heap->len * sizeof(record_t);
}

static gint compare_descending(gconstpointer left, gconstpointer right)
{
    return is_less(left, right) - is_less(right, left);
}

void ts_top_records_finish(ts_top_records_t *records, GString *out)
{
    if (records->heap == NULL)
        return;
    g_array_sort(records->heap, compare_descending);
    for (guint i = 0; i < records->heap->len; i++) {
        const record_t *record = record_at(records, i);
        uint64_t halves[2] = {GUINT64_TO_BE(record->high), GUINT64_TO_BE(record->low)};
        g_string_append_len(out, (const char *)halves, sizeof(halves));
    }
    ts_top_records_clear(records);
}

void ts_top_records_clear(ts_top_records_t *records)
{
    if (records->heap != NULL)
        g_array_free(records->heap, TRUE);
    records->heap = NULL;
}
