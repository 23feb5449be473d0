/**
 * Merges the results of parts into the top records. A record has 16 bytes and is compared like
 * memcmp; the `top` greatest are kept in a bounded heap. Duplicates are kept.
 */
#ifndef TEALSPAR_RECORDS_H
#define TEALSPAR_RECORDS_H

#include <glib.h>
#include <stddef.h>

#define TS_RECORD_BYTES 16U

typedef struct ts_top_records {
    GArray *heap; /**< min-heap of records; NULL: none added */
    size_t top;   /**< records to keep */
} ts_top_records_t;

void ts_top_records_init(ts_top_records_t *records, size_t top);
/** Adds the records of one part; trailing bytes shorter than a record are ignored. */
void ts_top_records_add(ts_top_records_t *records, const char *bytes, size_t length);
/** Appends the kept records to `out` in descending order and empties the heap. */
void ts_top_records_finish(ts_top_records_t *records, GString *out);
/** Bytes that the heap has at most allocated. */
size_t ts_top_records_memory(const ts_top_records_t *records);
/** Frees the heap. */
void ts_top_records_clear(ts_top_records_t *records);

#endif
