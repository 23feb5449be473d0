/**
 * Writes lines to a file descriptor without blocking. Lines and bytes per second and the size of
 * the buffer are limited, and the descriptor is written only while it is ready. Lines over a limit
 * are dropped and counted, see ts_line_writer_take_dropped(). TS_LINE_SAMPLED lines beyond their
 * sample rate are dropped without being counted there.
 */
#ifndef TEALSPAR_LINE_WRITER_H
#define TEALSPAR_LINE_WRITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tealspar/clock.h"

/** Which lines are dropped first near a limit. */
typedef enum ts_line_priority {
    TS_LINE_SAMPLED,  /**< successful requests: at most 5 per second, up to 50% of the limits */
    TS_LINE_DETAIL,   /**< steps in the handling of requests: up to 90% of the limits */
    TS_LINE_IMPORTANT /**< failures and state changes: up to the limits */
} ts_line_priority_t;

typedef struct ts_line_writer ts_line_writer_t;

/** Creates a writer to `descriptor`, limited to `lines_max` and `bytes_max` per second. */
ts_line_writer_t *ts_line_writer_create(int descriptor, uint32_t lines_max, uint32_t bytes_max);
/** Frees the writer. Unwritten lines are lost; the descriptor stays open. */
void ts_line_writer_free(ts_line_writer_t *writer);
/** Queues a line, given without a line end. Returns whether it was accepted. */
bool ts_line_writer_add(ts_line_writer_t *writer, ts_line_priority_t priority, const char *line,
                        size_t length, ts_time_us_t now_us);
/** Whether the sample rate allows a TS_LINE_SAMPLED line, to avoid formatting it in vain. */
bool ts_line_writer_accepts_sample(ts_line_writer_t *writer, ts_time_us_t now_us);
/** Writes queued lines in batches, after 4 kB or 100 ms; call it on each loop iteration. */
void ts_line_writer_flush_batch(ts_line_writer_t *writer, ts_time_us_t now_us);
/** Writes as much as possible without blocking. */
void ts_line_writer_flush(ts_line_writer_t *writer);
/** Whether lines were dropped since the last call of ts_line_writer_take_dropped(). */
bool ts_line_writer_has_dropped(const ts_line_writer_t *writer);
/** Returns the number of lines dropped since the last call. */
uint64_t ts_line_writer_take_dropped(ts_line_writer_t *writer);

#endif
