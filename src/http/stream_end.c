/** Distinguishes an orderly close from a reset. */
#include "tealspar/stream_end.h"

#include <sys/socket.h>

bool ts_stream_closed_cleanly(const uv_stream_t *stream)
{
    uv_os_fd_t descriptor = -1;
    char byte = 0;
    if (uv_fileno((const uv_handle_t *)stream, &descriptor) != 0) {
        return false;
    }
    return recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0;
}
