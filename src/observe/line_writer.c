/** Bounded lines to a descriptor. */
#include "tealspar/line_writer.h"

#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

#define BUFFER_MAX (256U * 1024U)
/* Requests that went well and are written, in a second. */
#define SAMPLES_PER_S 5U
/* Lines wait until there are so many bytes or so much time has passed: each write has a price. */
#define BATCH_BYTES 4096U
#define BATCH_US (100 * TS_US_PER_MS)

struct ts_line_writer {
    int descriptor;
    uint32_t lines_max;
    uint32_t bytes_max;
    GString *waiting;
    size_t written;         /* of `waiting` */
    ts_time_us_t second_us; /* when the present second began */
    uint32_t lines;
    uint32_t samples; /* lines of rank TS_LINE_SAMPLE */
    uint32_t bytes;
    ts_time_us_t flushed_us;
    uint64_t dropped;
    uint64_t dropped_told;
};

ts_line_writer_t *ts_line_writer_create(int descriptor, uint32_t lines_max, uint32_t bytes_max)
{
    ts_line_writer_t *writer = g_new0(ts_line_writer_t, 1);
    writer->descriptor = descriptor;
    writer->lines_max = lines_max;
    writer->bytes_max = bytes_max;
    writer->waiting = g_string_new(NULL);
    return writer;
}

void ts_line_writer_free(ts_line_writer_t *writer)
{
    g_string_free(writer->waiting, TRUE);
    g_free(writer);
}

static void begin_second(ts_line_writer_t *writer, ts_time_us_t now_us)
{
    if (now_us - writer->second_us >= TS_US_PER_S) {
        writer->second_us = now_us;
        writer->lines = 0;
        writer->samples = 0;
        writer->bytes = 0;
    }
}

/* Whether a share (in tenths) of the budget and of the buffer still holds the line. */
static bool has_room(const ts_line_writer_t *writer, size_t length, uint32_t tenths)
{
    size_t waiting = writer->waiting->len - writer->written + length;
    return writer->lines < (uint64_t)writer->lines_max * tenths / 10 &&
           writer->bytes + length < (uint64_t)writer->bytes_max * tenths / 10 &&
           waiting < (uint64_t)BUFFER_MAX * tenths / 10;
}

bool ts_line_writer_takes_sample(ts_line_writer_t *writer, ts_time_us_t now_us)
{
    begin_second(writer, now_us);
    return writer->samples < SAMPLES_PER_S;
}

bool ts_line_writer_add(ts_line_writer_t *writer, ts_line_rank_t rank, const char *line,
                        size_t length, ts_time_us_t now_us)
{
    static const uint32_t tenths[] = {5, 9, 10};
    bool is_sampled_out = rank == TS_LINE_SAMPLE && !ts_line_writer_takes_sample(writer, now_us);
    begin_second(writer, now_us);
    if (is_sampled_out) {
        return false;
    }
    if (!has_room(writer, length, tenths[rank])) {
        writer->dropped++;
        return false;
    }
    writer->lines++;
    writer->samples += rank == TS_LINE_SAMPLE;
    writer->bytes += (uint32_t)length;
    g_string_append_len(writer->waiting, line, (gssize)length);
    g_string_append_c(writer->waiting, '\n');
    return true;
}

/* A pipe that polls as writable takes this much without blocking. */
static bool write_some(ts_line_writer_t *writer)
{
    struct pollfd ready = {.fd = writer->descriptor, .events = POLLOUT};
    size_t left = writer->waiting->len - writer->written;
    if (left == 0 || poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
        return false;
    }
    ssize_t count = write(writer->descriptor, writer->waiting->str + writer->written,
                          left < PIPE_BUF ? left : PIPE_BUF);
    if (count <= 0) {
        return false;
    }
    writer->written += (size_t)count;
    return true;
}

void ts_line_writer_flush_batch(ts_line_writer_t *writer, ts_time_us_t now_us)
{
    size_t left = writer->waiting->len - writer->written;
    if (left >= BATCH_BYTES || (left > 0 && now_us - writer->flushed_us >= BATCH_US)) {
        writer->flushed_us = now_us;
        ts_line_writer_flush(writer);
    }
}

void ts_line_writer_flush(ts_line_writer_t *writer)
{
    while (write_some(writer)) {
    }
    if (writer->written == writer->waiting->len) {
        g_string_truncate(writer->waiting, 0);
        writer->written = 0;
    } else if (writer->written > BUFFER_MAX / 2) {
        g_string_erase(writer->waiting, 0, (gssize)writer->written);
        writer->written = 0;
    }
}

bool ts_line_writer_has_dropped(const ts_line_writer_t *writer)
{
    return writer->dropped > writer->dropped_told;
}

uint64_t ts_line_writer_take_dropped(ts_line_writer_t *writer)
{
    uint64_t dropped = writer->dropped - writer->dropped_told;
    writer->dropped_told = writer->dropped;
    return dropped;
}
