/** Checks whether backends accept connections, see tealspar/instance_check.h. */
#include "tealspar/instance_check.h"

#include "tealspar/counters.h"

/* A check without a result after this time is abandoned and records nothing. */
#define CHECK_TIMEOUT_MS 1000U

typedef struct check {
    uv_tcp_t socket;
    uv_timer_t timer;
    uv_connect_t connect_request;
    ts_instance_checks_t *checks;
    ts_instance_t *instance;
    ts_time_us_t started_us;
    unsigned open_handles; /* the check is freed when both are closed */
    bool is_ending;
} check_t;

struct ts_instance_checks {
    uv_loop_t *loop;
    GHashTable *in_progress; /* set of ts_instance_t */
};

ts_instance_checks_t *ts_instance_checks_create(uv_loop_t *loop)
{
    ts_instance_checks_t *checks = g_new0(ts_instance_checks_t, 1);
    checks->loop = loop;
    checks->in_progress = g_hash_table_new(NULL, NULL);
    return checks;
}

static void on_handle_closed(uv_handle_t *handle)
{
    check_t *check = handle->data;
    if (--check->open_handles == 0)
        g_free(check);
}

static void end_check(check_t *check)
{
    if (check->is_ending)
        return;
    check->is_ending = true;
    g_hash_table_remove(check->checks->in_progress, check->instance);
    check->instance->references--;
    uv_close((uv_handle_t *)&check->socket, on_handle_closed);
    uv_close((uv_handle_t *)&check->timer, on_handle_closed);
}

static void on_connected(uv_connect_t *request, int status)
{
    check_t *check = request->data;
    if (check->is_ending)
        return;
    if (status == 0)
        ts_instance_note_connected(check->instance, check->started_us);
    else if (status == UV_ECONNREFUSED)
        ts_instance_note_ended(check->instance);
    end_check(check);
}

static void on_timeout(uv_timer_t *timer)
{
    end_check(timer->data);
}

void ts_instance_checks_begin(ts_instance_checks_t *checks, ts_instance_t *instance)
{
    if (instance->has_ended || !g_hash_table_add(checks->in_progress, instance))
        return;
    check_t *check = g_new0(check_t, 1);
    check->checks = checks;
    check->instance = instance;
    check->started_us = ts_clock_now_us();
    check->open_handles = 2;
    instance->references++;
    uv_tcp_init(checks->loop, &check->socket);
    uv_timer_init(checks->loop, &check->timer);
    check->socket.data = check;
    check->timer.data = check;
    check->connect_request.data = check;
    uv_timer_start(&check->timer, on_timeout, CHECK_TIMEOUT_MS, 0);
    ts_count(TS_COUNTER_INSTANCE_CHECKS, 1);
    if (uv_tcp_connect(&check->connect_request, &check->socket,
                       (const struct sockaddr *)&instance->address, on_connected) != 0)
        end_check(check);
}
