/** Distinguishes an orderly close of a TCP stream by the peer from a reset. */
#ifndef TEALSPAR_STREAM_END_H
#define TEALSPAR_STREAM_END_H

#include <stdbool.h>
#include <uv.h>

/**
 * Whether a stream for which libuv reported UV_EOF was closed in an orderly way, and not reset.
 * libuv reports a reset as UV_EOF if the poll that returns POLLHUP also returned data and the read
 * was short (uv__stream_io), so the socket itself is checked. The check clears a pending reset:
 * call it once.
 */
bool ts_stream_closed_cleanly(const uv_stream_t *stream);

#endif
