/** Writes buffers to a stream, immediately as far as possible. */
#ifndef TEALSPAR_STREAM_WRITE_H
#define TEALSPAR_STREAM_WRITE_H

#include <stdbool.h>
#include <uv.h>

/**
 * Writes as much as the stream takes now, and the rest later. Returns 0 if all was written:
 * `request` is not used, and `done` not called. Returns a positive number if the rest will be
 * written: `request` and the memory of the buffers must stay valid until `done`. Otherwise returns
 * libuv's error. `was_sent` (may be NULL) is set to true if any byte was written, also before an
 * error.
 */
int ts_stream_write(uv_write_t *request, uv_stream_t *stream, uv_buf_t *buffers, unsigned count,
                    uv_write_cb done, bool *was_sent);

#endif
