/** Blocking HTTP requests. */
#include "tealspar/http_fetch.h"

#include <string.h>

typedef struct fetch {
    uv_loop_t *loop;
    ts_http_response_t response;
    bool is_done;
} fetch_t;

static void on_result(void *context, const ts_http_result_t *result)
{
    fetch_t *fetch = context;
    fetch->response.error = result->error;
    fetch->response.status = result->status;
    fetch->response.body = g_strndup(result->body, result->body_length);
    fetch->response.body_length = result->body_length;
    fetch->is_done = true;
    uv_stop(fetch->loop);
}

static void on_timeout(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

ts_http_response_t ts_http_fetch(const char *address, const char *method, const char *path,
                                 const char *body, unsigned timeout_ms)
{
    /* Never freed, and shared by all calls, as h2o does not close its timers in the loop. */
    static uv_loop_t *loop;
    if (loop == NULL) {
        loop = g_new0(uv_loop_t, 1);
        uv_loop_init(loop);
    }
    fetch_t fetch = {.loop = loop, .response = {.error = TS_E_DEADLINE}};
    ts_http_pool_t *pool = NULL;
    ts_error_t error = ts_http_pool_open(&pool, loop, address, 1);
    if (error != TS_OK) {
        fetch.response.error = error;
        return fetch.response;
    }
    uv_timer_t timer;
    uv_timer_init(loop, &timer);
    uv_timer_start(&timer, on_timeout, timeout_ms, 0);
    ts_http_client_request_t request = {method, path, "connection: close\r\n", body,
                                        body == NULL ? 0 : strlen(body)};
    ts_http_call_t *call = ts_http_call(pool, &request, on_result, &fetch);
    uv_run(loop, UV_RUN_DEFAULT);
    if (!fetch.is_done) {
        ts_http_cancel(call);
    }
    uv_close((uv_handle_t *)&timer, NULL);
    ts_http_pool_close(pool);
    uv_run(loop, UV_RUN_NOWAIT);
    return fetch.response;
}
