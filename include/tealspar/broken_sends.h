/**
 * Sends that left and were broken off by the end of their connection. Each is told with the digest
 * of its request, so that tries of one request can be matched over all nodes.
 */
#ifndef TEALSPAR_BROKEN_SENDS_H
#define TEALSPAR_BROKEN_SENDS_H

#include "tealspar/upstream.h"

/** A ts_upstream_broken_t. */
void ts_broken_sends_note(void *ctx, const ts_broken_send_t *send);

#endif
