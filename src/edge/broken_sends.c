/** Sends that were broken off, until it is known what became of their back ends. */
#include "tealspar/broken_sends.h"

#include "tealspar/counters.h"
#include "tealspar/instance_check.h"
#include "tealspar/log.h"

/* Between two looks at what is not explained yet; a check takes a round trip, 24 ms at most here.
 */
#define LOOK_MS 5U
/* More at once are not looked into: requests under these are not suspected. */
#define UNEXPLAINED_MAX 1024U
/*
 * A back end may start again under its id and address within the round trip of a check, which then
 * meets its next life: discovery tells of that within this time (a write and its way through the
 * zone's watcher, 0.5 s at most seen, and a margin), and the send is looked at again.
 */
#define NEXT_LIFE_US (2 * TS_US_PER_S)

typedef struct unexplained {
    ts_outgoing_t *outgoing; /* a reference */
    ts_instance_t *instance; /* a reference */
    ts_time_us_t sent_us;
    ts_time_us_t broken_us;
    bool is_lone;
    bool has_trial_ended; /* a check met its back end, or the next life of it */
} unexplained_t;

struct ts_broken_sends {
    ts_quarantine_t *quarantine;
    ts_instance_checks_t *checks;
    GArray *sends;    /* of unexplained_t */
    uv_timer_t timer; /* runs while there are any */
};

ts_broken_sends_t *ts_broken_sends_create(uv_loop_t *loop, ts_quarantine_t *quarantine)
{
    ts_broken_sends_t *broken = g_new0(ts_broken_sends_t, 1);
    broken->quarantine = quarantine;
    broken->checks = ts_instance_checks_create(loop);
    broken->sends = g_array_new(FALSE, FALSE, sizeof(unexplained_t));
    uv_timer_init(loop, &broken->timer);
    broken->timer.data = broken;
    return broken;
}

/* Its back end has ended. Returns whether all is said of the send. */
static bool take_end(const ts_broken_sends_t *broken, const unexplained_t *send,
                     ts_time_us_t now_us)
{
    ts_outgoing_t *outgoing = send->outgoing;
    const char *service = send->instance->service->name;
    if (send->is_lone) {
        ts_quarantine_strike(broken->quarantine, ts_outgoing_digest(outgoing), service,
                             send->sent_us, now_us);
        return true;
    }
    if (outgoing->has_run_whole)
        return true; // what ended this back end was not this request
    if (outgoing->sends_out > 0 && !outgoing->is_alone)
        return false; // one of them may run whole
    ts_quarantine_suspect(broken->quarantine, ts_outgoing_digest(outgoing), service, now_us);
    return true;
}

static bool explain(const ts_broken_sends_t *broken, unexplained_t *send, ts_time_us_t now_us)
{
    switch (ts_instance_liveness(send->instance, send->broken_us, now_us)) {
    case TS_LIVENESS_UNKNOWN:
        return false;
    case TS_LIVENESS_ALIVE:
        if (send->is_lone && !send->has_trial_ended)
            ts_quarantine_end_trial(broken->quarantine, ts_outgoing_digest(send->outgoing), now_us);
        send->has_trial_ended = true;
        return now_us - send->broken_us > NEXT_LIFE_US;
    case TS_LIVENESS_ENDED:
        return take_end(broken, send, now_us);
    }
    return true;
}

static void forget_send(ts_broken_sends_t *broken, guint i)
{
    unexplained_t send = g_array_index(broken->sends, unexplained_t, i);
    g_array_remove_index_fast(broken->sends, i);
    send.instance->references--;
    ts_outgoing_unref(send.outgoing);
}

/* Makes room for one more, from those whose back ends were met; returns whether there is some. */
static bool make_room(ts_broken_sends_t *broken)
{
    for (guint i = 0; broken->sends->len >= UNEXPLAINED_MAX && i < broken->sends->len; i++) {
        if (g_array_index(broken->sends, unexplained_t, i).has_trial_ended)
            forget_send(broken, i);
    }
    return broken->sends->len < UNEXPLAINED_MAX;
}

static void look(uv_timer_t *timer)
{
    ts_broken_sends_t *broken = timer->data;
    ts_time_us_t now_us = ts_clock_now_us();
    for (guint i = broken->sends->len; i > 0; i--) {
        if (explain(broken, &g_array_index(broken->sends, unexplained_t, i - 1), now_us))
            forget_send(broken, i - 1);
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
           (unsigned long)(send->span_us / TS_US_PER_MS), send->is_awaited, send->is_lone);
}

void ts_broken_sends_note(void *ctx, const ts_broken_send_t *send)
{
    ts_broken_sends_t *broken = ctx;
    ts_count(TS_COUNTER_SENDS_BROKEN, 1);
    log_broken(send);
    bool is_innocent = send->outgoing->has_run_whole && !send->is_lone;
    if (is_innocent || !make_room(broken))
        return;
    ts_time_us_t now_us = ts_clock_now_us();
    unexplained_t unexplained = {.outgoing = ts_outgoing_ref(send->outgoing),
                                 .instance = send->instance,
                                 .sent_us = now_us - MIN(send->span_us, now_us),
                                 .broken_us = now_us,
                                 .is_lone = send->is_lone};
    send->instance->references++;
    g_array_append_val(broken->sends, unexplained);
    ts_instance_checks_begin(broken->checks, send->instance);
    if (broken->sends->len == 1)
        uv_timer_start(&broken->timer, look, LOOK_MS, LOOK_MS);
}
