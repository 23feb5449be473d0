/** Writes to streams. */
#include "tealspar/stream_write.h"

/* Skips the first bytes of the buffers; returns the index of the first one with bytes left. */
static unsigned skip_bytes(uv_buf_t *buffers, unsigned count, size_t bytes)
{
    unsigned i = 0;
    while (i < count && bytes >= buffers[i].len)
        bytes -= buffers[i++].len;
    if (i < count) {
        buffers[i].base += bytes;
        buffers[i].len -= bytes;
    }
    return i;
}

int ts_stream_write(uv_write_t *request, uv_stream_t *stream, uv_buf_t *buffers, unsigned count,
                    uv_write_cb done, bool *was_sent)
{
    int sent = uv_try_write(stream, buffers, count);
    if (sent < 0 && sent != UV_EAGAIN)
        return sent;
    if (was_sent != NULL && sent > 0)
        *was_sent = true;
    unsigned first = sent > 0 ? skip_bytes(buffers, count, (size_t)sent) : 0;
    if (first == count)
        return 0;
    int error = uv_write(request, stream, buffers + first, count - first, done);
    return error == 0 ? 1 : error;
}
