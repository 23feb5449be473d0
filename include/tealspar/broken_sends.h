/**
 * Broken sends: requests whose connection failed after they were sent and before a complete answer
 * was received. Each one starts a check whether the backend has crashed. If it has, the request is
 * reported to the quarantine (tealspar/quarantine.h): after an isolated send in any case, else only
 * if no backend has completed the request.
 */
#ifndef TEALSPAR_BROKEN_SENDS_H
#define TEALSPAR_BROKEN_SENDS_H

#include "tealspar/quarantine.h"
#include "tealspar/upstream.h"

typedef struct ts_broken_sends ts_broken_sends_t;

/** `quarantine` is not owned. */
ts_broken_sends_t *ts_broken_sends_create(uv_loop_t *loop, ts_quarantine_t *quarantine);
/**
 * Counts and logs a broken send, and checks its backend if the request may have crashed it. A
 * ts_upstream_broken_send_cb_t; `ctx`: a ts_broken_sends_t.
 */
void ts_broken_sends_add(void *ctx, const ts_broken_send_t *send);

#endif
