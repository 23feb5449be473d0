/**
 * Sends that left and were broken off by the end of their connection. Whether their back end ended
 * with it is asked at once; where it did, the request is held against, see tealspar/quarantine.h.
 */
#ifndef TEALSPAR_BROKEN_SENDS_H
#define TEALSPAR_BROKEN_SENDS_H

#include "tealspar/quarantine.h"
#include "tealspar/upstream.h"

typedef struct ts_broken_sends ts_broken_sends_t;

/** `quarantine` is not owned. */
ts_broken_sends_t *ts_broken_sends_create(uv_loop_t *loop, ts_quarantine_t *quarantine);
/** A ts_upstream_broken_t; `ctx` is a ts_broken_sends_t. */
void ts_broken_sends_note(void *ctx, const ts_broken_send_t *send);

#endif
