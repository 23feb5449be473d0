/** Detection of process stalls. */
#include "tealspar/stall_detector.h"

#include <glib.h>
#include <stdbool.h>

struct ts_stall_detector {
    uv_prepare_t prepare; /* runs before the loop polls */
    uv_check_t check;     /* runs after the loop has polled and handled I/O */
    ts_stall_cb_t callback;
    void *ctx;
    ts_time_us_t last_check_us;
    ts_time_us_t poll_timeout_us; /* longest poll expected since then; UINT64_MAX: unlimited */
};

void ts_stall_detector_check(ts_stall_detector_t *detector)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t elapsed_us = now_us - detector->last_check_us;
    bool is_stall =
        elapsed_us > TS_STALL_MIN_US && elapsed_us - TS_STALL_MIN_US > detector->poll_timeout_us;
    ts_time_us_t stalled_us = is_stall ? elapsed_us - detector->poll_timeout_us : 0;
    detector->last_check_us = now_us;
    detector->poll_timeout_us = 0;
    if (is_stall)
        detector->callback(detector->ctx, stalled_us);
}

static void check_before_poll(uv_prepare_t *prepare)
{
    ts_stall_detector_t *detector = prepare->data;
    ts_stall_detector_check(detector);
    int timeout_ms = uv_backend_timeout(prepare->loop);
    detector->poll_timeout_us =
        timeout_ms < 0 ? UINT64_MAX : (ts_time_us_t)timeout_ms * TS_US_PER_MS;
}

static void check_after_poll(uv_check_t *check)
{
    ts_stall_detector_check(check->data);
}

ts_stall_detector_t *ts_stall_detector_start(uv_loop_t *loop, ts_stall_cb_t callback, void *ctx)
{
    ts_stall_detector_t *detector = g_new0(ts_stall_detector_t, 1);
    detector->callback = callback;
    detector->ctx = ctx;
    detector->last_check_us = ts_clock_now_us();
    detector->poll_timeout_us = UINT64_MAX; // until the loop runs
    uv_prepare_init(loop, &detector->prepare);
    uv_check_init(loop, &detector->check);
    detector->prepare.data = detector;
    detector->check.data = detector;
    uv_prepare_start(&detector->prepare, check_before_poll);
    uv_check_start(&detector->check, check_after_poll);
    uv_unref((uv_handle_t *)&detector->prepare);
    uv_unref((uv_handle_t *)&detector->check);
    return detector;
}
