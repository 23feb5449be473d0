/** How the other side of a TCP stream ended it. */
#ifndef TEALSPAR_STREAM_END_H
#define TEALSPAR_STREAM_END_H

#include <stdbool.h>
#include <uv.h>

/**
 * Whether a stream that libuv reports as ended (UV_EOF) was closed in order, and not reset. libuv
 * reports a reset as an end when it is polled together with a short read (uv__stream_io, POLLHUP),
 * so the socket itself is asked.
 */
bool ts_stream_ended_in_order(const uv_stream_t *stream);

#endif
