/** The line writer respects its limits and never blocks, even if the reader has stalled. */
#include "../test_support.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "tealspar/line_writer.h"

#define LINE "0123456789012345678901234567890123456789"

static void open_pipe(int ends[2])
{
    assert_int_equal(pipe(ends), 0);
    assert_int_equal(fcntl(ends[0], F_SETFL, O_NONBLOCK), 0);
}

static size_t drain(int descriptor)
{
    static char bytes[65536];
    size_t total = 0;
    ssize_t count = 0;
    while ((count = read(descriptor, bytes, sizeof(bytes))) > 0) {
        total += (size_t)count;
    }
    return total;
}

static void test_stalled_reader_does_not_block(void **state)
{
    int ends[2];
    open_pipe(ends);
    ts_line_writer_t *writer = ts_line_writer_create(ends[1], 1000000, 1U << 30);
    ts_time_us_t started_us = ts_clock_now_us();
    unsigned accepted = 0;
    for (int i = 0; i < 100000; i++) {
        accepted += ts_line_writer_add(writer, TS_LINE_IMPORTANT, LINE, strlen(LINE), 1);
        ts_line_writer_flush(writer);
    }
    assert_true(ts_clock_now_us() - started_us < 2 * TS_US_PER_S);
    assert_true(accepted < 100000); /* the rest fits into neither pipe nor buffer */
    assert_int_equal(ts_line_writer_take_dropped(writer), 100000 - accepted);
    size_t read_bytes = 0;
    for (int i = 0; i < 100; i++) {
        read_bytes += drain(ends[0]);
        ts_line_writer_flush(writer);
    }
    assert_int_equal(read_bytes, accepted * (strlen(LINE) + 1)); /* only complete lines */
    ts_line_writer_free(writer);
}

static void test_important_lines_have_priority(void **state)
{
    int ends[2];
    open_pipe(ends);
    ts_line_writer_t *writer = ts_line_writer_create(ends[1], 100, 1U << 20);
    unsigned samples = 0;
    unsigned important = 0;
    for (int i = 0; i < 100; i++) {
        samples += ts_line_writer_add(writer, TS_LINE_SAMPLED, LINE, strlen(LINE), TS_US_PER_S);
    }
    for (int i = 0; i < 50; i++) {
        important += ts_line_writer_add(writer, TS_LINE_IMPORTANT, LINE, strlen(LINE), TS_US_PER_S);
    }
    assert_int_equal(samples, 5); /* the limit per second */
    assert_int_equal(important, 50);
    for (int i = 0; i < 45; i++) {
        important += ts_line_writer_add(writer, TS_LINE_IMPORTANT, LINE, strlen(LINE), TS_US_PER_S);
    }
    assert_int_equal(important, 95);
    assert_false(ts_line_writer_add(writer, TS_LINE_IMPORTANT, LINE, strlen(LINE), TS_US_PER_S));
    assert_true(
        ts_line_writer_add(writer, TS_LINE_SAMPLED, LINE, strlen(LINE), 2 * TS_US_PER_S + 1));
    ts_line_writer_free(writer);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_stalled_reader_does_not_block),
        cmocka_unit_test(test_important_lines_have_priority),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
