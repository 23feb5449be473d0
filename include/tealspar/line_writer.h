/**
 * Lines to a descriptor, bounded and never blocking: a budget of lines and bytes a second, a buffer
 * of fixed size, and a write only when the reader takes it. What does not fit is dropped and
 * counted, and said at most once a second.
 */
#ifndef TEALSPAR_LINE_WRITER_H
#define TEALSPAR_LINE_WRITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tealspar/clock.h"

/** How much a line matters when there is room for few. */
typedef enum ts_line_rank {
    TS_LINE_SAMPLE, /**< a request that went well: a few a second, while less than half is used */
    TS_LINE_DETAIL, /**< a decision on the way: written while less than nine tenths are used */
    TS_LINE_NEEDED  /**< what went wrong, and changes of state */
} ts_line_rank_t;

typedef struct ts_line_writer ts_line_writer_t;

/** Writes to `descriptor`; `lines_max` and `bytes_max` are a second's budget. */
ts_line_writer_t *ts_line_writer_create(int descriptor, uint32_t lines_max, uint32_t bytes_max);
void ts_line_writer_free(ts_line_writer_t *writer);
/** Takes a line without its end; returns whether it was taken. */
bool ts_line_writer_add(ts_line_writer_t *writer, ts_line_rank_t rank, const char *line,
                        size_t length, ts_time_us_t now_us);
/** Whether a line of rank TS_LINE_SAMPLE would be looked at, to spare its making. */
bool ts_line_writer_takes_sample(ts_line_writer_t *writer, ts_time_us_t now_us);
/** Writes what waits once it is worth a write; call it once a turn of the loop. */
void ts_line_writer_flush_batch(ts_line_writer_t *writer, ts_time_us_t now_us);
/** Writes what the reader takes now. */
void ts_line_writer_flush(ts_line_writer_t *writer);
/** Whether lines were dropped since ts_line_writer_take_dropped. */
bool ts_line_writer_has_dropped(const ts_line_writer_t *writer);
/** Lines dropped since the last call. */
uint64_t ts_line_writer_take_dropped(ts_line_writer_t *writer);

#endif
