/**
 * The merge of parts: records of 16 bytes, compared as bytes. The greatest `top` of all parts are
 * kept in a bounded heap; equal records all count. Pure.
 */
#ifndef TEALSPAR_RECORDS_H
#define TEALSPAR_RECORDS_H

#include <glib.h>
#include <stddef.h>

#define TS_RECORD_BYTES 16U

typedef struct ts_top_records {
    GArray *heap; /**< of records, the least at the front */
    size_t top;
} ts_top_records_t;

void ts_top_records_init(ts_top_records_t *records, size_t top);
/** Adds the records of one part; a remainder shorter than a record is no record. */
void ts_top_records_add(ts_top_records_t *records, const char *bytes, size_t length);
/** Appends what was kept, the greatest first, and frees the heap. */
void ts_top_records_finish(ts_top_records_t *records, GString *out);

#endif
