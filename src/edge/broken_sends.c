/** Tracks broken sends until it is known whether their backends have crashed. */
#include "tealspar/broken_sends.h"
#include "tealspar/late_check.h"

#include "tealspar/counters.h"
#include "tealspar/instance_check.h"
#include "tealspar/log.h"

/* Interval at which unresolved sends are checked; an instance check takes one network round trip,
 * 24 ms at most. */
#define CHECK_INTERVAL_MS 5U
/* Maximum number of unresolved sends. At this limit, sends whose backend was reached are dropped to
 * make room for a new one; if there are none, the new send is dropped. A request is not suspected
 * for a dropped send. */
#define UNRESOLVED_MAX 1024U
/*
 * A backend may crash and restart with the same id and address within the round trip of a check,
 * which then reaches the new incarnation. Discovery reports the restart within this time (a write
 * and its propagation through the zone's watcher took up to 0.5 s, plus a margin). A send whose
 * backend was reached therefore stays unresolved for this long.
 */
#define RESTART_DETECTION_US (2 * TS_US_PER_S)

typedef struct unresolved_send {
    ts_outgoing_t *outgoing; /* holds a reference */
    ts_instance_t *instance; /* holds a reference */
    ts_time_us_t sent_us;
    ts_time_us_t broken_us;
    bool is_isolated;
    bool was_backend_reached; /* a check reached the backend, or its next incarnation */
} unresolved_send_t;

struct ts_broken_sends {
    ts_quarantine_t *quarantine;
    ts_instance_checks_t *checks;
    GArray *sends;    /* of unresolved_send_t */
    uv_timer_t timer; /* runs while `sends` is not empty */
    ts_late_check_t late_check;
};

ts_broken_sends_t *ts_broken_sends_create(uv_loop_t *loop, ts_quarantine_t *quarantine)
{
    ts_broken_sends_t *broken = g_new0(ts_broken_sends_t, 1);
    broken->quarantine = quarantine;
    broken->checks = ts_instance_checks_create(loop);
    broken->sends = g_array_new(FALSE, FALSE, sizeof(unresolved_send_t));
    uv_timer_init(loop, &broken->timer);
    broken->timer.data = broken;
    return broken;
}

/* Handles a send whose backend crashed. Returns whether the send is resolved. */
static bool record_crash(const ts_broken_sends_t *broken, const unresolved_send_t *send,
                         ts_time_us_t now_us)
{
    ts_outgoing_t *outgoing = send->outgoing;
    const char *service = send->instance->service->name;
    if (send->is_isolated) {
        ts_quarantine_strike(broken->quarantine, ts_outgoing_digest(outgoing), service,
                             send->sent_us, now_us);
        return true;
    }
    if (outgoing->has_completed)
        return true; // another send was completed, so the request did not cause the crash
    if (outgoing->sends_in_flight > 0 && !outgoing->is_isolated)
        return false; // another send in flight may still complete
    ts_quarantine_suspect(broken->quarantine, ts_outgoing_digest(outgoing), service, now_us);
    return true;
}

static bool resolve_send(const ts_broken_sends_t *broken, unresolved_send_t *send,
                         ts_time_us_t now_us)
{
    switch (ts_instance_liveness(send->instance, send->broken_us, now_us)) {
    case TS_LIVENESS_UNKNOWN:
        return false;
    case TS_LIVENESS_ALIVE:
        if (send->is_isolated && !send->was_backend_reached)
            ts_quarantine_end_trial(broken->quarantine, ts_outgoing_digest(send->outgoing), now_us);
        send->was_backend_reached = true;
        return now_us - send->broken_us > RESTART_DETECTION_US;
    case TS_LIVENESS_ENDED:
        return record_crash(broken, send, now_us);
    }
    return true;
}

static void remove_send(ts_broken_sends_t *broken, guint i)
{
    unresolved_send_t send = g_array_index(broken->sends, unresolved_send_t, i);
    g_array_remove_index_fast(broken->sends, i);
    send.instance->references--;
    ts_outgoing_unref(send.outgoing);
}

/* Makes room for one more send by dropping sends whose backends were reached; returns whether there
 * is room. */
static bool make_room(ts_broken_sends_t *broken)
{
    for (guint i = 0; broken->sends->len >= UNRESOLVED_MAX && i < broken->sends->len; i++) {
        if (g_array_index(broken->sends, unresolved_send_t, i).was_backend_reached)
            remove_send(broken, i);
    }
    return broken->sends->len < UNRESOLVED_MAX;
}

static void check_sends(uv_timer_t *timer)
{
    ts_broken_sends_t *broken = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    if (ts_late_check_must_repeat(&broken->late_check, now_us, CHECK_INTERVAL_MS * TS_US_PER_MS)) {
        uv_timer_start(timer, check_sends, TS_LATE_CHECK_REPEAT_MS, CHECK_INTERVAL_MS);
        return;
    }
    for (guint i = broken->sends->len; i > 0; i--) {
        if (resolve_send(broken, &g_array_index(broken->sends, unresolved_send_t, i - 1), now_us))
            remove_send(broken, i - 1);
    }
    if (broken->sends->len == 0)
        uv_timer_stop(timer);
}

static void log_broken(const ts_broken_send_t *send)
{
    char digest[TS_REQUEST_DIGEST_TEXT];
    if (!ts_log_is_wanted(TS_EVENT_SEND_BROKEN))
        return;
    ts_request_digest_print(ts_outgoing_digest(send->outgoing), digest);
    ts_log(TS_EVENT_SEND_BROKEN,
           "request=%s digest=%s service=%s instance=%s after_ms=%lu awaited=%d lone=%d",
           send->outgoing->request_id, digest, send->instance->service->name, send->instance->id,
           (unsigned long)(send->span_us / TS_US_PER_MS), send->is_awaited, send->is_isolated);
}

void ts_broken_sends_add(void *ctx, const ts_broken_send_t *send)
{
    ts_broken_sends_t *broken = ctx;
    ts_count(TS_COUNTER_SENDS_BROKEN, 1);
    log_broken(send);
    bool is_exonerated = send->outgoing->has_completed && !send->is_isolated;
    if (is_exonerated || !make_room(broken))
        return;
    ts_time_us_t now_us = ts_clock_now_us();
    unresolved_send_t unresolved_send = {.outgoing = ts_outgoing_ref(send->outgoing),
                                         .instance = send->instance,
                                         .sent_us = now_us - MIN(send->span_us, now_us),
                                         .broken_us = now_us,
                                         .is_isolated = send->is_isolated};
    send->instance->references++;
    g_array_append_val(broken->sends, unresolved_send);
    ts_instance_checks_begin(broken->checks, send->instance);
    if (broken->sends->len == 1) {
        ts_late_check_start(&broken->late_check, ts_clock_now_us());
        uv_timer_start(&broken->timer, check_sends, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS);
    }
}
