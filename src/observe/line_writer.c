/** Rate-limited, non-blocking line writer, see tealspar/line_writer.h. */
#include "tealspar/line_writer.h"

#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

#define BUFFER_BYTES_MAX (256U * 1024U)
/* Maximum number of TS_LINE_SAMPLED lines per second. */
#define SAMPLED_LINES_PER_S 5U
/* Lines are written in batches of this size, or after this time, to reduce system calls. */
#define BATCH_BYTES 4096U
#define BATCH_MAX_DELAY_US (100 * TS_US_PER_MS)

struct ts_line_writer {
    int descriptor;
    uint32_t lines_max;
    uint32_t bytes_max;
    GString *buffer;
    size_t written;         /* bytes of `buffer` that were written already */
    ts_time_us_t window_us; /* start of the current one-second window */
    uint32_t lines;         /* accepted in the window */
    uint32_t samples;       /* TS_LINE_SAMPLED lines accepted in the window */
    uint32_t bytes;         /* accepted in the window */
    ts_time_us_t flushed_us;
    uint64_t dropped;
    uint64_t dropped_reported; /* `dropped` at the last call of ts_line_writer_take_dropped() */
};

ts_line_writer_t *ts_line_writer_create(int descriptor, uint32_t lines_max, uint32_t bytes_max)
{
    ts_line_writer_t *writer = g_new0(ts_line_writer_t, 1);
    writer->descriptor = descriptor;
    writer->lines_max = lines_max;
    writer->bytes_max = bytes_max;
    writer->buffer = g_string_new(NULL);
    return writer;
}

void ts_line_writer_free(ts_line_writer_t *writer)
{
    g_string_free(writer->buffer, TRUE);
    g_free(writer);
}

static void update_window(ts_line_writer_t *writer, ts_time_us_t now_us)
{
    if (now_us - writer->window_us >= TS_US_PER_S) {
        writer->window_us = now_us;
        writer->lines = 0;
        writer->samples = 0;
        writer->bytes = 0;
    }
}

/* Whether the line fits into `tenths`/10 of the limits and of the buffer. */
static bool has_room(const ts_line_writer_t *writer, size_t length, uint32_t tenths)
{
    size_t buffered = writer->buffer->len - writer->written + length;
    return writer->lines < (uint64_t)writer->lines_max * tenths / 10 &&
           writer->bytes + length < (uint64_t)writer->bytes_max * tenths / 10 &&
           buffered < (uint64_t)BUFFER_BYTES_MAX * tenths / 10;
}

bool ts_line_writer_accepts_sample(ts_line_writer_t *writer, ts_time_us_t now_us)
{
    update_window(writer, now_us);
    return writer->samples < SAMPLED_LINES_PER_S;
}

bool ts_line_writer_add(ts_line_writer_t *writer, ts_line_priority_t priority, const char *line,
                        size_t length, ts_time_us_t now_us)
{
    static const uint32_t tenths[] = {5, 9, 10}; /* by priority */
    bool is_sampled_out =
        priority == TS_LINE_SAMPLED && !ts_line_writer_accepts_sample(writer, now_us);
    update_window(writer, now_us);
    if (is_sampled_out) {
        return false;
    }
    if (!has_room(writer, length, tenths[priority])) {
        writer->dropped++;
        return false;
    }
    writer->lines++;
    writer->samples += priority == TS_LINE_SAMPLED;
    writer->bytes += (uint32_t)length;
    g_string_append_len(writer->buffer, line, (gssize)length);
    g_string_append_c(writer->buffer, '\n');
    return true;
}

/* Writes up to PIPE_BUF bytes: a pipe that polls as writable accepts them without blocking. */
static bool write_chunk(ts_line_writer_t *writer)
{
    struct pollfd ready = {.fd = writer->descriptor, .events = POLLOUT};
    size_t unwritten = writer->buffer->len - writer->written;
    if (unwritten == 0 || poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        return false;
    }
    ssize_t count = write(writer->descriptor, writer->buffer->str + writer->written,
                          unwritten < PIPE_BUF ? unwritten : PIPE_BUF);
    if (count <= 0) {
        return false;
    }
    writer->written += (size_t)count;
    return true;
}

void ts_line_writer_flush_batch(ts_line_writer_t *writer, ts_time_us_t now_us)
{
    size_t unwritten = writer->buffer->len - writer->written;
    if (unwritten >= BATCH_BYTES ||
        (unwritten > 0 && now_us - writer->flushed_us >= BATCH_MAX_DELAY_US)) {
        writer->flushed_us = now_us;
        ts_line_writer_flush(writer);
    }
}

void ts_line_writer_flush(ts_line_writer_t *writer)
{
    while (write_chunk(writer)) {
    }
    if (writer->written == writer->buffer->len) {
        g_string_truncate(writer->buffer, 0);
        writer->written = 0;
    } else if (writer->written > BUFFER_BYTES_MAX / 2) {
        g_string_erase(writer->buffer, 0, (gssize)writer->written);
        writer->written = 0;
    }
}

bool ts_line_writer_has_dropped(const ts_line_writer_t *writer)
{
    return writer->dropped > writer->dropped_reported;
}

uint64_t ts_line_writer_take_dropped(ts_line_writer_t *writer)
{
    uint64_t dropped = writer->dropped - writer->dropped_reported;
    writer->dropped_reported = writer->dropped;
    return dropped;
}
