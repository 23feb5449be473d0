/** Noticing that the process stood still. */
#include "tealspar/wake.h"

#include <glib.h>
#include <stdbool.h>

struct ts_wake {
    uv_prepare_t before; /* before the loop waits */
    uv_check_t after;    /* after it has waited, and handled what came */
    ts_wake_notice_t notice;
    void *ctx;
    ts_time_us_t looked_us;
    ts_time_us_t wait_us; /* that the loop may wait from then on; UINT64_MAX: any time */
};

void ts_wake_look(ts_wake_t *wake)
{
    ts_time_us_t now_us = ts_clock_now_us();
    ts_time_us_t span_us = now_us - wake->looked_us;
    bool is_late = span_us > TS_WAKE_LEAST_US && span_us - TS_WAKE_LEAST_US > wake->wait_us;
    ts_time_us_t lost_us = is_late ? span_us - wake->wait_us : 0;
    wake->looked_us = now_us;
    wake->wait_us = 0;
    if (is_late)
        wake->notice(wake->ctx, lost_us);
}

static void look_before(uv_prepare_t *before)
{
    ts_wake_t *wake = before->data;
    ts_wake_look(wake);
    int wait_ms = uv_backend_timeout(before->loop);
    wake->wait_us = wait_ms < 0 ? UINT64_MAX : (ts_time_us_t)wait_ms * TS_US_PER_MS;
}

static void look_after(uv_check_t *after)
{
    ts_wake_look(after->data);
}

ts_wake_t *ts_wake_watch(uv_loop_t *loop, ts_wake_notice_t notice, void *ctx)
{
    ts_wake_t *wake = g_new0(ts_wake_t, 1);
    wake->notice = notice;
    wake->ctx = ctx;
    wake->looked_us = ts_clock_now_us();
    wake->wait_us = UINT64_MAX; // until the loop runs
    uv_prepare_init(loop, &wake->before);
    uv_check_init(loop, &wake->after);
    wake->before.data = wake;
    wake->after.data = wake;
    uv_prepare_start(&wake->before, look_before);
    uv_check_start(&wake->after, look_after);
    uv_unref((uv_handle_t *)&wake->before);
    uv_unref((uv_handle_t *)&wake->after);
    return wake;
}
